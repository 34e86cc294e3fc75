//! Signs of overload, and what is shed for them: tenants beyond their quotas, keys of overloaded servers.

use super::{Policy, REVIEW_KEEP, REVIEW_LEAST};
use crate::interface::{Action, Micros, ServerId};
use crate::log_event::LogEvent;
use crate::state::{Crossing, DecayingRatio, KeyShare};

/// Signs of overload per attempt from which tenants are held closer to their quotas. An attempt that is rejected or nearly
/// late is one sign, a slow one half a sign.
const OVERLOADED_SIGNS: f64 = 0.06;
/// Signs of overload per attempt from which tenants are held even below their quotas.
const COLLAPSING_SIGNS: f64 = 0.55;
/// The lowest multiple of the quotas that fills the tenants' buckets: a collapsed fleet recovers when it is half idle.
const LOWEST_MULTIPLIER: f64 = 0.25;
/// The multiple with which a router starts: the quotas themselves.
const NEUTRAL_MULTIPLIER: f64 = 1.0;
/// The highest multiple, at which no tenant is limited.
const HIGHEST_MULTIPLIER: f64 = 4.0;
/// Factor of the multiple at a review under overload.
const MULTIPLIER_CUT_FACTOR: f64 = 0.92;
/// Factor of the multiple at any other review.
const MULTIPLIER_GROWTH_FACTOR: f64 = 1.04;
/// Attempts judged since the last review from which these factors apply in full: one of many routers sees few.
const FULL_STEP_ATTEMPTS: f64 = 5.0;
/// Factor of a server's key share, the part of its keys that it is left, at each attempt that it rejects or is nearly
/// late with. Cut and growth balance where about a twentieth is late. One of many routers meets the server less often and
/// takes larger steps, by the root of their number, since chance in them evens out.
const KEY_SHARE_FACTOR: f64 = 0.8;
/// What an answer in good time adds to a server's key share.
const KEY_SHARE_GROWTH: f64 = 0.01;
/// The least key share.
const KEY_SHARE_LEAST: f64 = 0.05;
/// Step of the key share of a machine kind, relative to a server's, as all servers of the kind take part in it.
const KIND_STEP: f64 = 0.25;
/// Attempts over which a kind's step shrinks from a whole one to that: a router begins with nothing, often together with
/// most others, and until it knows the kinds it overloads the weak ones.
const KIND_STEP_ATTEMPTS: f64 = 24.0;
/// A server has all its keys again after this multiple of the longest objective at the latest: one left with
/// few keys has few answers to show that it keeps up.
const KEYS_RESTORED_OBJECTIVES: f64 = 256.0;

/// The signs of overload in recent attempts, and how tightly they make the quotas hold.
pub(super) struct LoadShedding {
    signs: DecayingRatio,
    quota_multiplier: f64,
}

impl LoadShedding {
    pub(super) fn new() -> Self {
        LoadShedding {
            signs: DecayingRatio::default(),
            quota_multiplier: NEUTRAL_MULTIPLIER,
        }
    }

    /// Counts signs of overload, and the attempts that they were among.
    pub(super) fn observe(&mut self, signs: f64, attempts: f64) {
        self.signs.add(signs, attempts);
    }

    pub(super) fn quota_multiplier(&self) -> f64 {
        self.quota_multiplier
    }

    /// Whether tenants are held to any multiple of their quotas.
    pub(super) fn limits_tenants(&self) -> bool {
        self.quota_multiplier < HIGHEST_MULTIPLIER
    }

    pub(super) fn is_below_quotas(&self) -> bool {
        self.quota_multiplier < NEUTRAL_MULTIPLIER
    }

    /// Moves the quota multiplier by the signs seen lately.
    fn review(&mut self, is_idle: bool) -> Option<LogEvent> {
        let signs = self.signs.value();
        let (collapsing, overloaded) = (signs > COLLAPSING_SIGNS, signs > OVERLOADED_SIGNS);
        // Fast in a collapse, which grows by itself, and where few or no requests are left to judge by.
        let is_urgent = collapsing || self.is_below_quotas() || (is_idle && signs <= 0.0);
        let judged = (self.signs.since_decay() / FULL_STEP_ATTEMPTS).min(1.0);
        let step = if is_urgent { 1.0 } else { judged };
        let before = self.quota_multiplier;
        let cut = before * MULTIPLIER_CUT_FACTOR.powf(step);
        let grown = before * MULTIPLIER_GROWTH_FACTOR.powf(step);
        self.quota_multiplier = if collapsing {
            cut.max(LOWEST_MULTIPLIER)
        } else if overloaded && before > NEUTRAL_MULTIPLIER {
            cut.max(NEUTRAL_MULTIPLIER)
        } else if overloaded {
            grown.min(NEUTRAL_MULTIPLIER)
        } else {
            grown.min(HIGHEST_MULTIPLIER)
        };
        self.signs.decay(REVIEW_KEEP, REVIEW_LEAST);
        let (fallen, risen) = (LogEvent::LoadSheddingStarted, LogEvent::LoadSheddingEnded);
        let crossing = Crossing::new(before, self.quota_multiplier, HIGHEST_MULTIPLIER);
        crossing.choose(fallen, risen)
    }
}

impl Policy {
    /// A server rejected an attempt or is nearly late with it: it and its kind are left fewer of their keys.
    pub(super) fn on_server_overloaded(&mut self, id: ServerId) {
        let server_step = self.visit_interval.sqrt();
        if let Some((server, kind)) = self.fleet.with_kind(id) {
            let kind_step = kind.next_step(KIND_STEP, KIND_STEP_ATTEMPTS);
            server
                .key_share
                .cut(KEY_SHARE_FACTOR.powf(server_step), KEY_SHARE_LEAST);
            kind.key_share
                .cut(KEY_SHARE_FACTOR.powf(kind_step), KEY_SHARE_LEAST);
            server.kind_steps += kind_step;
        }
    }

    /// A server answered in good time.
    pub(super) fn on_answer_in_time(&mut self, id: ServerId) {
        let server_step = self.visit_interval.sqrt();
        if let Some((server, kind)) = self.fleet.with_kind(id) {
            let kind_step = kind.next_step(KIND_STEP, KIND_STEP_ATTEMPTS);
            server.key_share.grow(KEY_SHARE_GROWTH * server_step);
            kind.key_share.grow(KEY_SHARE_GROWTH * kind_step);
            server.kind_steps = 0.0;
            if server.is_warm(self.now, self.settings.warm_up_period) {
                kind.count_warm_answer();
            }
        }
    }

    /// A server failed or did not answer: that tells nothing of how many keys it can take, or its kind.
    pub(super) fn forget_overload(&mut self, id: ServerId) {
        if let Some(server) = self.fleet.servers.get_mut(&id) {
            server.key_share = KeyShare::default();
            if let Some(kind) = self.fleet.kinds.get_mut(&server.endpoint.kind) {
                let steps = std::mem::take(&mut server.kind_steps);
                kind.key_share.undo_cut(KEY_SHARE_FACTOR.powf(steps));
            }
        }
    }

    /// Judges the load anew, and restores key shares slowly.
    pub(super) fn review_load(&mut self, period: Micros) {
        let crossing = self.load_shedding.review(self.fleet.cache_attempts == 0);
        self.actions.extend(crossing.map(Action::Log));
        let restored = period as f64 / (KEYS_RESTORED_OBJECTIVES * self.objective as f64);
        self.fleet.grow_key_shares(restored);
        self.fleet.end_period(period);
    }
}
