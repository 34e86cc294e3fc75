//! The schema: every key, its default and its allowed values. Every key is read by at least one program.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::environment::DeprecatedVariables;
use crate::error::InvalidValue;
use crate::units::HumanDuration;

/// All options that an operator can set.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Options of the log of all programs.
    pub log: Log,
    /// Options of the router process, which is called a node.
    pub node: Node,
}

/// Options of the log of all programs.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The lowest severity that is logged.
    pub level: Level,
    /// Format of a log line.
    pub format: Format,
    /// Limit on repeated lines from one code location.
    pub repeat: Repeat,
    /// Environment variables that were read under their deprecated names. This is not a configuration key: it is set
    /// when the layers are read, and the initialization of logging warns about it once.
    #[serde(skip)]
    pub deprecated_variables: DeprecatedVariables,
}

/// The severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is logged.
    Off,
    /// The program cannot perform its function.
    Error,
    /// Something is wrong, and the program continues.
    Warn,
    /// Information about normal operation.
    #[default]
    Info,
    /// Each request and attempt.
    Debug,
    /// All details.
    Trace,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Limit on repeated lines from one code location, so that a fault that occurs with every request cannot fill a disk.
/// Lines over the limit are suppressed and counted. The count is written before the next line of the location after
/// the interval, or at the end of the program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Repeat {
    /// Maximum number of lines in an interval.
    pub lines: u32,
    /// Length of an interval.
    pub per: HumanDuration,
}

impl Default for Repeat {
    fn default() -> Self {
        Repeat {
            lines: 50,
            per: HumanDuration(Duration::from_secs(10)),
        }
    }
}

/// Options of the router process, which is called a node.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// Whether the node writes a trace line for each endpoint list, attempt and answer. `docs/FLEET.md` describes the
    /// lines.
    pub trace: bool,
}

/// Minimum value of `log.repeat.per`.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum value of `log.repeat.per`.
const MAX_REPEAT_INTERVAL: Duration = Duration::from_secs(3600);

impl Config {
    /// The first value that has the right type but is not acceptable.
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
            let shortest = HumanDuration(MIN_REPEAT_INTERVAL);
            let longest = HumanDuration(MAX_REPEAT_INTERVAL);
            return Some(InvalidValue {
                key: "log.repeat.per".into(),
                message: format!("found {per}: write {shortest} to {longest}"),
            });
        }
        None
    }
}
