//! The record of a node for an audit of the rules: a line for each list, attempt and final answer, on standard
//! error beside the log. Off unless the configuration has `node.trace`; `docs/FLEET.md` has the lines and their fields.

use std::fmt::Arguments;
use std::io::Write;

use routing_policy::Micros;

/// Where the lines go, or nowhere.
pub struct Trace {
    on: bool,
}

impl Trace {
    /// On or off.
    pub fn new(on: bool) -> Self {
        Trace { on }
    }

    /// Writes a line for something that happened at a time (Unix time in microseconds). Like the log, what can't
    /// be written is no reason to stop. While it is off, the fields are not even formatted.
    pub fn line(&self, at: Micros, fields: Arguments<'_>) {
        if self.on {
            let _ = std::io::stderr().write_all(format!("trace {at} {fields}\n").as_bytes());
        }
    }
}
