//! No effect happens twice: a request that must not run again is neither sent nor rejected while an attempt may have run.

use std::collections::BTreeMap;

use crate::Micros;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be retried and rejected freely.
    Idempotent,
    /// It carries an idempotency key: servers drop a duplicate for a while.
    Deduplicated {
        /// For how long, in microseconds, after the first attempt that may have run was sent.
        window: Micros,
    },
    /// It may run once at most: it is retried or rejected only if no attempt can have run.
    NotIdempotent,
}

/// The attempts of a request that may have run.
#[derive(Debug)]
pub(super) struct EffectRecord {
    idempotency: Idempotency,
    /// When each of them was sent.
    may_have_run: BTreeMap<u16, Micros>,
}

impl EffectRecord {
    pub(super) fn new(idempotency: Idempotency) -> Self {
        EffectRecord {
            idempotency,
            may_have_run: BTreeMap::new(),
        }
    }

    /// Records an attempt that is sent now. Whether it might be a second run.
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

    /// An attempt is proved never to have run.
    pub(super) fn never_ran(&mut self, attempt: u16) {
        self.may_have_run.remove(&attempt);
    }

    /// Whether a rejection is untrue: the request may have run, and its caller may not repeat it then.
    pub(super) fn rejection_is_untrue(&self) -> bool {
        self.idempotency == Idempotency::NotIdempotent && !self.may_have_run.is_empty()
    }
}
