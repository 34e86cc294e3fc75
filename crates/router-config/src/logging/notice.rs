//! Lines that the logging itself adds to a log, in the format of that log.

use crate::logging::CodeLocation;
use crate::schema::Format;

/// What the logging has to say.
pub(super) enum Notice {
    /// Lines from one place in the program were over the limit on repeated lines.
    Suppressed {
        /// How many.
        lines: u64,
        /// The place.
        location: CodeLocation,
    },
    /// Lines could not be written: the log was blocked, its reader gone or its disk full.
    Dropped {
        /// How many.
        lines: u64,
    },
}

impl Notice {
    /// The line, with its line feed.
    pub(super) fn to_line(&self, format: Format) -> Vec<u8> {
        let mut line = match format {
            Format::Text => self.text(),
            Format::Json => self.json().to_string(),
        };
        line.push('\n');
        line.into_bytes()
    }

    fn text(&self) -> String {
        match self {
            Notice::Suppressed { lines, location } => {
                format!("WARN log: {lines} more lines from {location} were left out")
            }
            Notice::Dropped { lines } => {
                format!("WARN log: {lines} lines could not be written and were dropped")
            }
        }
    }

    fn json(&self) -> serde_json::Value {
        match self {
            Notice::Suppressed { lines, location } => serde_json::json!({
                "level": "WARN",
                "target": "log",
                "left_out": lines,
                "at": location.to_string(),
                "message": "lines were left out",
            }),
            Notice::Dropped { lines } => serde_json::json!({
                "level": "WARN",
                "target": "log",
                "dropped": lines,
                "message": "lines could not be written and were dropped",
            }),
        }
    }
}
