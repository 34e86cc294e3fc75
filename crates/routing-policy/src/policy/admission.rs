//! Admission of requests by their tenants' quotas.

use super::Policy;
use crate::interface::{Micros, Request, Settings};
use crate::state::{InFlightRequest, MajorityVote, TenantQuota, TokenBucket};

/// Tokens that a tenant's bucket holds beyond what fills it within one latency objective: which of the routers a request
/// reaches is left to chance.
const BURST_TOKENS: f64 = 5.0;
/// Fraction of the sum of all quotas that tenants may use in common: those within their quotas leave about the rest
/// unused.
const SHARED_QUOTA_FRACTION: f64 = 0.8;
/// Fraction of its class's deadline by which a remaining deadline may differ and still count as the same: the network
/// takes some of it.
const DEADLINE_TOLERANCE: f64 = 0.01;
/// Requests with the same remaining deadline, less those with another, from which it counts as the usual one of a class.
const VOTES_KNOWN: u32 = 4;
/// The most of these that are counted, so that a change of the usual deadline is noticed.
const VOTES_MOST: u32 = 16;

/// The quotas of all tenants, and what is known of their clients' deadlines.
pub(super) struct Admission {
    tenants: Vec<TenantQuota>,
    shared: TokenBucket,
    /// The remaining deadline that most tries of a class have.
    usual_deadlines: Vec<MajorityVote>,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Self {
        Admission {
            tenants: TenantQuota::of_all(settings),
            shared: TokenBucket::default(),
            usual_deadlines: vec![MajorityVote::default(); settings.classes.len()],
        }
    }

    /// Gives back what an unserved request was charged: a quota is of answers.
    pub(super) fn refund(&mut self, charged_tenant: Option<usize>) {
        if let Some(quota) = charged_tenant.and_then(|tenant| self.tenants.get_mut(tenant)) {
            quota.bucket.give_back();
        }
    }
}

impl Policy {
    /// A tenant's bucket fills with this router's part of its quota, times the quota multiplier: those furthest
    /// over are rejected first. A rate measured by one of many routers would reject those within their quotas.
    pub(super) fn admit(&mut self, request: &mut InFlightRequest, tenant: usize) -> bool {
        let admission = &mut self.admission;
        let Some(quota) = admission.tenants.get_mut(tenant) else {
            return true;
        };
        let multiplier = self.load_shedding.quota_multiplier();
        // While all together stay below their quotas, chance in a small bucket rejects none. A falling
        // multiplier empties the buckets too: what many hold back would keep an overload going for long.
        let burst = (BURST_TOKENS * multiplier).clamp(1.0, BURST_TOKENS);
        let shared_rate = SHARED_QUOTA_FRACTION * self.request_rate.quota_share() * multiplier;
        let in_shared = admission.shared.fill(self.now, shared_rate, burst);
        let rate = multiplier * quota.per_s / self.settings.router_count();
        let depth = burst + rate * self.objective as f64 / 1e6;
        let in_quota = quota.bucket.fill(self.now, rate, depth);
        if !in_quota && !in_shared && self.load_shedding.limits_tenants() {
            return false;
        }
        quota.bucket.take();
        admission.shared.take();
        request.charged_tenant = Some(tenant);
        true
    }

    /// How long a client has waited before this retry. A deadline spans all its retries, and the objective
    /// counts from the first request: one with the usual remaining deadline may be that, any other has what
    /// the earlier ones left. Served under load as though new, what is late takes the place of what is not.
    pub(super) fn waited_before(&mut self, request: &Request) -> Micros {
        if request.write {
            return 0;
        }
        let deadline = self.settings.classes[request.class].deadline;
        let tolerance = deadline as f64 * DEADLINE_TOLERANCE;
        let usual = &mut self.admission.usual_deadlines[request.class];
        let is_usual = usual.take(request.remaining_deadline, tolerance, VOTES_MOST);
        if is_usual || usual.votes() < VOTES_KNOWN || !self.load_shedding.limits_tenants() {
            return 0;
        }
        deadline.saturating_sub(request.remaining_deadline)
    }

    /// Requests per second that are this router's: its part of all quotas, or those admitted where there are none.
    pub(super) fn own_rate(&self, admitted_per_s: f64) -> f64 {
        let quota = self.request_rate.quota_share();
        if quota > 0.0 { quota } else { admitted_per_s }
    }
}
