//! The calls to the origin that are outstanding, and those of the present window.

use super::CallKind;
use crate::interface::Micros;

/// How many calls there are, and how many fetches among them.
#[derive(Default)]
pub(crate) struct CallCounts {
    all: u32,
    fetches: u32,
}

impl CallCounts {
    fn add(&mut self, call: CallKind) {
        self.all += 1;
        self.fetches += u32::from(call == CallKind::OriginFetch);
    }

    fn remove(&mut self, call: CallKind) {
        self.all -= 1;
        self.fetches -= u32::from(call == CallKind::OriginFetch);
    }

    /// Whether one more call of any kind is within a limit.
    pub(crate) fn has_room(&self, limit: f64) -> bool {
        f64::from(self.all + 1) <= limit
    }

    /// Whether one more fetch is within a limit.
    pub(crate) fn has_fetch_room(&self, limit: f64) -> bool {
        f64::from(self.fetches + 1) <= limit
    }

    /// Whether there are no calls but fetches.
    pub(crate) fn has_only_fetches(&self) -> bool {
        self.all == self.fetches
    }
}

/// Outstanding calls and the tally of a window of time.
#[derive(Default)]
pub(crate) struct OriginCalls {
    outstanding: CallCounts,
    tally: CallCounts,
    window_start: Micros,
}

impl OriginCalls {
    /// Counts a call that is sent.
    pub(crate) fn begin(&mut self, call: CallKind) {
        self.outstanding.add(call);
        self.tally.add(call);
    }

    /// Counts the end of a call.
    pub(crate) fn end(&mut self, call: CallKind) {
        self.outstanding.remove(call);
    }

    /// The calls without outcome.
    pub(crate) fn outstanding(&self) -> &CallCounts {
        &self.outstanding
    }

    /// The calls sent in the present window; a new window begins where that one is over.
    pub(crate) fn tally(&mut self, now: Micros, window: Micros) -> &CallCounts {
        if now >= self.window_start + window {
            self.window_start = now;
            self.tally = CallCounts::default();
        }
        &self.tally
    }
}
