//! Overload signals and the load that is shed for them: tenants over their quotas, and keys of overloaded
//! servers.

use super::{MIN_OBSERVATIONS_FOR_DECAY, Policy, REVIEW_DECAY_FACTOR};
use crate::interface::{Action, Micros, ServerId};
use crate::log_event::LogEvent;
use crate::state::{DecayingRatio, KeyShare, ThresholdCrossing};

/// Overload signals per attempt above which the quota multiplier moves to 1, so that tenants are held to their
/// quotas. An attempt that is rejected or nearly late is one signal, a slow one half a signal.
const OVERLOAD_SIGNAL_RATIO: f64 = 0.06;
/// Overload signals per attempt above which the quota multiplier falls below 1.
const COLLAPSE_SIGNAL_RATIO: f64 = 0.55;
/// The lowest multiplier of the rates at which tenants' buckets fill. A collapsed fleet recovers when it is
/// half idle.
const MIN_QUOTA_MULTIPLIER: f64 = 0.25;
/// The multiplier at the start of a router: tenants are held to exactly their quotas.
const NEUTRAL_QUOTA_MULTIPLIER: f64 = 1.0;
/// The highest multiplier. At this value no tenant is limited.
const MAX_QUOTA_MULTIPLIER: f64 = 4.0;
/// Factor applied to the multiplier at each review under overload.
const MULTIPLIER_CUT_FACTOR: f64 = 0.92;
/// Factor applied to the multiplier at any other review.
const MULTIPLIER_GROWTH_FACTOR: f64 = 1.04;
/// Attempts observed since the last review from which these factors apply in full. One of many routers observes
/// few.
const FULL_STEP_ATTEMPTS: f64 = 5.0;
/// Factor applied to a server's key share, the fraction of its keys that it keeps, at each attempt that it
/// rejects or is nearly late with. Cuts and growth balance when about a twentieth of its attempts are late. One
/// of many routers sees the server less often and takes larger steps. They grow with the square root of the
/// number of routers, since the random errors of the routers average out.
const KEY_SHARE_CUT_FACTOR: f64 = 0.8;
/// Added to a server's key share at each answer in good time.
const KEY_SHARE_GROWTH: f64 = 0.01;
/// The lowest key share.
const MIN_KEY_SHARE: f64 = 0.05;
/// The smallest step of a machine kind's key share, relative to a server's step, since all servers of the kind
/// contribute to it.
const MIN_KIND_STEP: f64 = 0.25;
/// Attempts over which a kind's step shrinks from a full one to the smallest. A router starts without any
/// observations, often together with most others, and overloads the kinds of low capacity until it knows them.
const KIND_STEP_ATTEMPTS: f64 = 24.0;
/// Every key share is back at 1 after at most this multiple of the longest latency objective. A server with
/// few keys gives few answers that could show that it keeps up.
const KEY_SHARE_RESTORE_OBJECTIVES: f64 = 256.0;

/// The overload signals of recent attempts, and the quota multiplier that follows from them.
pub(super) struct LoadShedding {
    signals: DecayingRatio,
    quota_multiplier: f64,
}

impl LoadShedding {
    pub(super) fn new() -> Self {
        LoadShedding {
            signals: DecayingRatio::default(),
            quota_multiplier: NEUTRAL_QUOTA_MULTIPLIER,
        }
    }

    /// Counts overload signals and the attempts that gave them.
    pub(super) fn observe(&mut self, signals: f64, attempts: f64) {
        self.signals.add(signals, attempts);
    }

    pub(super) fn quota_multiplier(&self) -> f64 {
        self.quota_multiplier
    }

    /// Whether tenants are held to any multiple of their quotas.
    pub(super) fn limits_tenants(&self) -> bool {
        self.quota_multiplier < MAX_QUOTA_MULTIPLIER
    }

    pub(super) fn is_below_quotas(&self) -> bool {
        self.quota_multiplier < NEUTRAL_QUOTA_MULTIPLIER
    }

    /// Adjusts the quota multiplier to the recent overload signals.
    fn review(&mut self, is_idle: bool) -> Option<LogEvent> {
        let signals = self.signals.value();
        let (collapsing, overloaded) = (
            signals > COLLAPSE_SIGNAL_RATIO,
            signals > OVERLOAD_SIGNAL_RATIO,
        );
        // Full steps in a collapse, which reinforces itself, and when few or no attempts are left to judge by.
        let is_urgent = collapsing || self.is_below_quotas() || (is_idle && signals <= 0.0);
        let partial_step = (self.signals.observations_since_decay() / FULL_STEP_ATTEMPTS).min(1.0);
        let step = if is_urgent { 1.0 } else { partial_step };
        let before = self.quota_multiplier;
        let cut = before * MULTIPLIER_CUT_FACTOR.powf(step);
        let grown = before * MULTIPLIER_GROWTH_FACTOR.powf(step);
        self.quota_multiplier = if collapsing {
            cut.max(MIN_QUOTA_MULTIPLIER)
        } else if overloaded && before > NEUTRAL_QUOTA_MULTIPLIER {
            cut.max(NEUTRAL_QUOTA_MULTIPLIER)
        } else if overloaded {
            grown.min(NEUTRAL_QUOTA_MULTIPLIER)
        } else {
            grown.min(MAX_QUOTA_MULTIPLIER)
        };
        self.signals
            .decay(REVIEW_DECAY_FACTOR, MIN_OBSERVATIONS_FOR_DECAY);
        let (started, ended) = (LogEvent::LoadSheddingStarted, LogEvent::LoadSheddingEnded);
        let crossing = ThresholdCrossing::new(before, self.quota_multiplier, MAX_QUOTA_MULTIPLIER);
        crossing.event_for_direction(started, ended)
    }
}

impl Policy {
    /// A server rejected an attempt or is nearly late with it: its key share and that of its kind are cut.
    pub(super) fn on_server_overloaded(&mut self, id: ServerId) {
        let server_step = self.relative_visit_interval.sqrt();
        if let Some((server, kind)) = self.fleet.server_and_kind_mut(id) {
            let kind_step = kind.next_step_size(MIN_KIND_STEP, KIND_STEP_ATTEMPTS);
            server
                .key_share
                .cut(KEY_SHARE_CUT_FACTOR.powf(server_step), MIN_KEY_SHARE);
            kind.key_share
                .cut(KEY_SHARE_CUT_FACTOR.powf(kind_step), MIN_KEY_SHARE);
            server.kind_cut_steps += kind_step;
        }
    }

    /// A server answered in good time.
    pub(super) fn on_answer_in_time(&mut self, id: ServerId) {
        let server_step = self.relative_visit_interval.sqrt();
        if let Some((server, kind)) = self.fleet.server_and_kind_mut(id) {
            let kind_step = kind.next_step_size(MIN_KIND_STEP, KIND_STEP_ATTEMPTS);
            server.key_share.grow(KEY_SHARE_GROWTH * server_step);
            kind.key_share.grow(KEY_SHARE_GROWTH * kind_step);
            server.kind_cut_steps = 0.0;
            if server.is_warm(self.now, self.settings.warm_up_period) {
                kind.count_warm_answer();
            }
        }
    }

    /// A server failed or did not answer. That says nothing about how many keys it or its kind can take, so the
    /// cuts are undone.
    pub(super) fn undo_key_share_cuts(&mut self, id: ServerId) {
        if let Some(server) = self.fleet.servers.get_mut(&id) {
            server.key_share = KeyShare::default();
            if let Some(kind) = self.fleet.machine_kinds.get_mut(&server.endpoint.kind) {
                let steps = std::mem::take(&mut server.kind_cut_steps);
                kind.key_share.undo_cut(KEY_SHARE_CUT_FACTOR.powf(steps));
            }
        }
    }

    /// Updates the quota multiplier, and restores key shares slowly.
    pub(super) fn review_load(&mut self, period: Micros) {
        let crossing = self
            .load_shedding
            .review(self.fleet.cache_attempts_in_flight == 0);
        self.actions.extend(crossing.map(Action::Log));
        let restored = period as f64 / (KEY_SHARE_RESTORE_OBJECTIVES * self.objective as f64);
        self.fleet.grow_key_shares(restored);
        self.fleet.end_period(period);
    }
}
