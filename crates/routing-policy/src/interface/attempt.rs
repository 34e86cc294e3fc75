//! Outcomes of attempts, and the load reports of servers.

use crate::identifiers::{Micros, RequestId, ServerId};

/// A load report: values in the order of [`Settings::load_fields`](super::Settings::load_fields).
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// How many of `values` are set.
    pub count: u8,
    /// The values.
    pub values: [f32; 4],
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Served,
    /// The server has no value for this key; the attempt did not run.
    Miss,
    /// The server reported an error; it may have run.
    Error,
    /// The server rejected it before execution; it did not run.
    Rejected,
    /// No answer in time; it may have run or may still be running.
    TimedOut,
    /// No connection was established; it did not run.
    ConnectFailed,
    /// The connection was lost; it may have run.
    Reset,
    /// Cancelled by this router; it may have run.
    Cancelled,
    /// Never sent: the request had ended or had no attempts left; it did not run.
    NotSent,
}

impl AttemptStatus {
    /// Whether this outcome proves that the attempt did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptStatus::Miss
                | AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::NotSent
        )
    }
}

/// What a response says about the key in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CacheLookup {
    /// Nothing.
    #[default]
    Unknown,
    /// The value was cached.
    Hit,
    /// It was not cached.
    Miss,
    /// It was not cached, and another request is fetching it.
    MissBeingFetched,
}

/// The outcome of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptOutcome {
    /// Its request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0, in the order of sending.
    pub attempt: u16,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Whether the request has its final answer, from this outcome or an earlier one.
    pub request_complete: bool,
    /// What the response says about the key.
    pub cache_lookup: CacheLookup,
    /// Time from sending to this outcome.
    pub elapsed: Micros,
    /// Load report of the server, empty if there was none.
    pub load: LoadReport,
}
