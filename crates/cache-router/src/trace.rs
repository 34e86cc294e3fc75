//! The trace: a line for each endpoint list, attempt and final reply, on standard error beside the log, from which an
//! audit can check the rules of the protocol. Off unless the configuration has `node.trace`; `docs/FLEET.md` describes
//! the lines and their fields.

use std::fmt::Arguments;

use router_config::logging;
use routing_policy::{AttemptStatus, CacheLookup, EndpointState, ListUpdate, Micros};

use crate::message::DepartureCause;

/// The writer of trace lines.
#[derive(Clone, Copy)]
pub struct Trace {
    is_enabled: bool,
}

impl Trace {
    /// A trace that writes its lines, or one that drops them.
    pub fn new(is_enabled: bool) -> Self {
        Trace { is_enabled }
    }

    /// Writes a line for something that happened at a time (Unix time in microseconds). As with the log, neither a
    /// blocked nor a failed write stops the router. If the trace is off, the fields are not even formatted.
    pub fn line(&self, at: Micros, fields: Arguments<'_>) {
        if self.is_enabled {
            let line = format!("trace {at} {fields}\n");
            logging::standard_error().push(line.into_bytes());
        }
    }
}

/// How an attempt ended, as a word of a trace line. Trace files are read by other programs and outlive a renaming in
/// the code, so the words are given here and not by `Debug`.
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

/// The cache lookup that a server reported, as a word of a trace line.
pub fn lookup_word(lookup: CacheLookup) -> &'static str {
    match lookup {
        CacheLookup::Unknown => "None",
        CacheLookup::Hit => "Hit",
        CacheLookup::Miss => "Miss",
        CacheLookup::MissBeingFetched => "MissBeingFetched",
    }
}

/// The state of an endpoint, as a word of a trace line.
pub fn state_word(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "Ready",
        EndpointState::Draining => "Draining",
        EndpointState::Removed => "Gone",
    }
}

/// How an endpoint list relates to the one in force, as a word of a trace line.
pub fn update_word(update: ListUpdate) -> &'static str {
    match update {
        ListUpdate::Full => "Full",
        ListUpdate::Cached => "Cached",
        ListUpdate::Delta => "Delta",
        ListUpdate::Failed => "Failed",
        ListUpdate::WatchSilent => "Silent",
    }
}

/// The word for a client's departure while it is owed a reply.
pub fn departure_word(cause: DepartureCause) -> &'static str {
    match cause {
        DepartureCause::Closed => "departed",
        DepartureCause::CutOff => "dropped",
    }
}
