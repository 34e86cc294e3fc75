//! The record of a node for an audit of the rules: a line for each list, attempt and final answer, on standard
//! error beside the log. Off unless the configuration has `node.trace`; `docs/FLEET.md` has the lines and their fields.

use std::fmt::Arguments;
use std::io::Write;

use routing_policy::{AttemptStatus, CacheLookup, EndpointState, ListUpdate, Micros};

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

/// The word of a trace line for how an attempt ended. Trace files are read by other programs and outlive a renaming
/// in the code, so the words are given here and not by `Debug`.
pub fn status_word(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Served => "Served",
        AttemptStatus::Miss => "Miss",
        AttemptStatus::Error => "Error",
        AttemptStatus::Rejected => "Full",
        AttemptStatus::TimedOut => "TimedOut",
        AttemptStatus::ConnectFailed => "ConnectFailed",
        AttemptStatus::Reset => "Reset",
        AttemptStatus::Cancelled => "Cancelled",
        AttemptStatus::NotSent => "NotSent",
    }
}

/// The word of a trace line for what a server said of the key.
pub fn lookup_word(lookup: CacheLookup) -> &'static str {
    match lookup {
        CacheLookup::Unknown => "None",
        CacheLookup::Hit => "Hit",
        CacheLookup::Miss => "Miss",
        CacheLookup::MissBeingFetched => "MissBeingFetched",
    }
}

/// The word of a trace line for the state of an endpoint.
pub fn state_word(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "Ready",
        EndpointState::Draining => "Draining",
        EndpointState::Removed => "Gone",
    }
}

/// The word of a trace line for how an endpoint list relates to the one in force.
pub fn update_word(update: ListUpdate) -> &'static str {
    match update {
        ListUpdate::Full => "Full",
        ListUpdate::Cached => "Cached",
        ListUpdate::Delta => "Delta",
        ListUpdate::Failed => "Failed",
        ListUpdate::WatchSilent => "Silent",
    }
}
