//! The schema: every key, its default and what it may be. A key that no program reads is not in it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::Span;

/// All that an operator chooses.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// What programs log, and how.
    pub log: Log,
    /// The node in service.
    pub node: Node,
}

/// What programs log, and how.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least grave lines that are written.
    pub level: Level,
    /// How a line is written.
    pub format: Format,
    /// How often a line from one place in the program is repeated.
    pub repeat: Repeat,
}

/// How grave a line is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// No line at all.
    Off,
    /// A program can't do what it is for.
    Error,
    /// Something is wrong and the program copes.
    Warn,
    /// What an operator wants to know of a sound program.
    #[default]
    Info,
    /// Each request and attempt.
    Debug,
    /// Everything.
    Trace,
}

/// How a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// How often a line from one place in the program is repeated: what is over is counted, and the number is written
/// once there is room again. So a fault that comes with every request can't fill a disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Repeat {
    /// So many lines at most
    pub lines: u32,
    /// in this time.
    pub per: Span,
}

impl Default for Repeat {
    fn default() -> Self {
        Repeat {
            lines: 50,
            per: Span(Duration::from_secs(10)),
        }
    }
}

/// The node in service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// Whether it writes the record of each list, attempt and answer that `docs/FLEET.md` describes.
    pub trace: bool,
}

/// The least and the longest time that `log.repeat.per` may be.
const PER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3600));

impl Config {
    /// The first value that is of the right kind and yet impossible: its key, and what would do.
    pub(crate) fn impossible(&self) -> Option<(String, String)> {
        let Repeat { lines, per } = &self.log.repeat;
        if *lines == 0 {
            let wanted = "found 0, so that no line would ever be written: write 1 or more, or log.level = \"off\"";
            return Some(("log.repeat.lines".into(), wanted.into()));
        }
        if per.0 < PER.0 || per.0 > PER.1 {
            let (least, most) = (Span(PER.0), Span(PER.1));
            return Some((
                "log.repeat.per".into(),
                format!("found {per}: write {least} to {most}"),
            ));
        }
        None
    }
}
