//! The schema: every key, its default and the values that it may have. It holds no key that no program reads.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::environment::DeprecatedVariables;
use crate::error::InvalidValue;
use crate::units::Span;

/// All that an operator can configure.
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
    /// The least severe lines that are written.
    pub level: Level,
    /// How a line is written.
    pub format: Format,
    /// How often a line from one place in the program is repeated.
    pub repeat: Repeat,
    /// Environment variables that were read under their deprecated names. It is no key of the configuration: reading
    /// the layers fills it, and setting up logging warns about it once.
    #[serde(skip)]
    pub deprecated_variables: DeprecatedVariables,
}

/// The severity of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// No line at all.
    Off,
    /// A program cannot do what it is for.
    Error,
    /// Something is wrong and the program goes on.
    Warn,
    /// What an operator wants to know of a healthy program.
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

/// How often a line from one place in the program is repeated. The lines over the limit are suppressed and counted, and
/// the count is written when the next line is, so that a fault that comes with every request cannot fill a disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Repeat {
    /// The most lines in an interval.
    pub lines: u32,
    /// Length of an interval.
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

/// The shortest interval that `log.repeat.per` may be.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// The longest interval that `log.repeat.per` may be.
const MAX_REPEAT_INTERVAL: Duration = Duration::from_secs(3600);

impl Config {
    /// The first value that has the right type and is still not acceptable.
    pub(crate) fn first_invalid_value(&self) -> Option<InvalidValue> {
        let Repeat { lines, per } = &self.log.repeat;
        if *lines == 0 {
            return Some(InvalidValue {
                key: "log.repeat.lines".into(),
                message: "found 0, so that no line would ever be written: write 1 or more, or log.level = \"off\""
                    .into(),
            });
        }
        if per.0 < MIN_REPEAT_INTERVAL || per.0 > MAX_REPEAT_INTERVAL {
            let shortest = Span(MIN_REPEAT_INTERVAL);
            let longest = Span(MAX_REPEAT_INTERVAL);
            return Some(InvalidValue {
                key: "log.repeat.per".into(),
                message: format!("found {per}: write {shortest} to {longest}"),
            });
        }
        None
    }
}
