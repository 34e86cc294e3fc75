//! Invariant: no effect happens twice. A request that must not run again is neither sent nor rejected once an attempt
//! of it may have run.

use std::collections::BTreeMap;

use crate::Micros;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be retried and rejected without restriction.
    Idempotent,
    /// It carries an idempotency key. Servers drop duplicates within a time window.
    Deduplicated {
        /// Length of the window in microseconds, from the sending of the first attempt that may have run.
        window: Micros,
    },
    /// It may run at most once. It may be retried or rejected only if no attempt can have run.
    NotIdempotent,
}

/// The attempts of a request that may have run.
#[derive(Debug)]
pub(super) struct EffectRecord {
    idempotency: Idempotency,
    /// Attempts that may have run, with the time at which each was sent.
    may_have_run: BTreeMap<u16, Micros>,
}

impl EffectRecord {
    pub(super) fn new(idempotency: Idempotency) -> Self {
        EffectRecord {
            idempotency,
            may_have_run: BTreeMap::new(),
        }
    }

    /// Records an attempt that is sent now. Returns whether it might run the request a second time.
    pub(super) fn sent(&mut self, now: Micros, attempt: u16) -> bool {
        let might_run_twice = self.might_run_twice(now);
        self.may_have_run.insert(attempt, now);
        might_run_twice
    }

    fn might_run_twice(&self, now: Micros) -> bool {
        let Some(first) = self.may_have_run.values().min() else {
            return false;
        };
        match self.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::Deduplicated { window } => now > first + window,
            Idempotency::NotIdempotent => true,
        }
    }

    /// Records the proof that an attempt never ran.
    pub(super) fn never_ran(&mut self, attempt: u16) {
        self.may_have_run.remove(&attempt);
    }

    /// Whether a rejection would be false: the request may have run, and its caller must not repeat it then.
    pub(super) fn rejection_would_be_false(&self) -> bool {
        self.idempotency == Idempotency::NotIdempotent && !self.may_have_run.is_empty()
    }
}
