//! Lines that the logging code itself adds to a log, in the format of that log.

use crate::logging::CodeLocation;
use crate::schema::Format;

/// A report about log lines that were not written.
pub(super) enum Notice {
    /// Lines from one code location exceeded the limit on repeated lines.
    Suppressed {
        /// Number of lines.
        lines: u64,
        /// The code location that logged the lines.
        location: CodeLocation,
    },
    /// Lines could not be written, as the log was blocked, its reader had exited or its disk was full.
    Dropped {
        /// Number of lines.
        lines: u64,
    },
}

impl Notice {
    /// Formats the report as a line, including the line feed.
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
