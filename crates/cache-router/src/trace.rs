//! The trace: one line for each endpoint list, attempt and final reply, from which an audit can check the rules of the
//! protocol. It is written to standard error together with the log. It is off unless the configuration has
//! `node.trace`. `docs/FLEET.md` describes the lines and their fields.

use std::fmt::Arguments;

use router_config::logging;
use routing_policy::{AttemptStatus, CacheLookup, EndpointState, ListUpdate, Micros};

use crate::message::DisconnectCause;

/// The writer of trace lines.
#[derive(Clone, Copy)]
pub struct Trace {
    is_enabled: bool,
}

impl Trace {
    /// Creates a writer, which drops all lines unless it is enabled.
    pub fn new(is_enabled: bool) -> Self {
        Trace { is_enabled }
    }

    /// Writes a line for an event that happened at `at` (Unix time in microseconds). As with the log, neither a blocked
    /// nor a failed write stops the router. If the trace is off, the fields are not formatted.
    pub fn line(&self, at: Micros, fields: Arguments<'_>) {
        if self.is_enabled {
            let line = format!("trace {at} {fields}\n");
            logging::standard_error().push(line.into_bytes());
        }
    }
}

/// Returns the word for the status of an attempt. Trace files are read by other programs and outlast renamed variants
/// in the code, so the words are defined here and not derived from `Debug`.
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

/// Returns the word for the cache lookup that a server reported.
pub fn lookup_word(lookup: CacheLookup) -> &'static str {
    match lookup {
        CacheLookup::Unknown => "None",
        CacheLookup::Hit => "Hit",
        CacheLookup::Miss => "Miss",
        CacheLookup::MissBeingFetched => "MissBeingFetched",
    }
}

/// Returns the word for the state of an endpoint.
pub fn state_word(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "Ready",
        EndpointState::Draining => "Draining",
        EndpointState::Removed => "Gone",
    }
}

/// Returns the word for how an endpoint list relates to the current one.
pub fn update_word(update: ListUpdate) -> &'static str {
    match update {
        ListUpdate::Full => "Full",
        ListUpdate::Cached => "Cached",
        ListUpdate::Delta => "Delta",
        ListUpdate::Failed => "Failed",
        ListUpdate::WatchStalled => "Silent",
    }
}

/// Returns the word for the disconnect of a client that has requests without a reply.
pub fn disconnect_word(cause: DisconnectCause) -> &'static str {
    match cause {
        DisconnectCause::ClosedByClient => "departed",
        DisconnectCause::OutputStalled => "dropped",
    }
}
