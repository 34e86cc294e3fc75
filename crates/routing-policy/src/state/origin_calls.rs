//! Counts calls to the origin: those outstanding, and those sent in the current window.

use super::AttemptKind;
use crate::interface::Micros;

/// A number of calls, and how many of them are fetches.
#[derive(Default)]
pub(crate) struct CallCounts {
    all: u32,
    fetches: u32,
}

impl CallCounts {
    fn add(&mut self, kind: AttemptKind) {
        self.all += 1;
        self.fetches += u32::from(kind == AttemptKind::OriginFetch);
    }

    fn remove(&mut self, kind: AttemptKind) {
        self.all -= 1;
        self.fetches -= u32::from(kind == AttemptKind::OriginFetch);
    }

    /// Whether one more call of any kind stays within `limit`.
    pub(crate) fn has_room(&self, limit: f64) -> bool {
        f64::from(self.all + 1) <= limit
    }

    /// Whether one more fetch stays within `limit`.
    pub(crate) fn has_fetch_room(&self, limit: f64) -> bool {
        f64::from(self.fetches + 1) <= limit
    }

    /// Whether all counted calls are fetches.
    pub(crate) fn has_only_fetches(&self) -> bool {
        self.all == self.fetches
    }
}

/// Counts of outstanding calls and of calls sent in the current time window.
#[derive(Default)]
pub(crate) struct OriginCalls {
    outstanding: CallCounts,
    window_counts: CallCounts,
    window_start: Micros,
}

impl OriginCalls {
    /// Counts a call when it is sent.
    pub(crate) fn record_sent(&mut self, kind: AttemptKind) {
        self.outstanding.add(kind);
        self.window_counts.add(kind);
    }

    /// Removes a call from the outstanding count when it ends.
    pub(crate) fn record_ended(&mut self, kind: AttemptKind) {
        self.outstanding.remove(kind);
    }

    /// The calls that have no outcome yet.
    pub(crate) fn outstanding(&self) -> &CallCounts {
        &self.outstanding
    }

    /// The calls sent in the current window. Starts a new window if the current one is over.
    pub(crate) fn sent_in_window(&mut self, now: Micros, window: Micros) -> &CallCounts {
        if now >= self.window_start + window {
            self.window_start = now;
            self.window_counts = CallCounts::default();
        }
        &self.window_counts
    }
}
