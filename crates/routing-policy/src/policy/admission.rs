//! Admission of requests by their tenants' quotas.

use super::Policy;
use crate::interface::{Micros, Request, Settings};
use crate::state::{InFlightRequest, MajorityVote, TenantQuota, TokenBucket};

/// Tokens that a tenant's bucket holds in addition to what fills it within one latency objective. They absorb
/// the random variation in which router a request reaches.
const BURST_TOKENS: f64 = 5.0;
/// Fraction of the sum of all quotas that tenants may use in common. Tenants within their quotas leave about
/// the rest unused.
const SHARED_QUOTA_FRACTION: f64 = 0.8;
/// Fraction of its class's deadline by which two remaining deadlines may differ and still count as equal: the
/// network takes some of the time.
const DEADLINE_TOLERANCE: f64 = 0.01;
/// Votes from which a remaining deadline counts as the usual one of a class. The votes are the requests with
/// that remaining deadline, less those with another.
const MIN_DEADLINE_VOTES: u32 = 4;
/// The most votes that are counted, so that a change of the usual deadline is noticed.
const MAX_DEADLINE_VOTES: u32 = 16;

/// The quotas of all tenants, and the usual deadlines of their clients.
pub(super) struct Admission {
    tenants: Vec<TenantQuota>,
    shared: TokenBucket,
    /// The remaining deadline that most requests of a class have.
    usual_deadlines: Vec<MajorityVote>,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Self {
        Admission {
            tenants: TenantQuota::for_all_tenants(settings),
            shared: TokenBucket::default(),
            usual_deadlines: vec![MajorityVote::default(); settings.classes.len()],
        }
    }

    /// Refunds what an unserved request was charged: a quota limits answered requests.
    pub(super) fn refund(&mut self, charged_tenant: Option<usize>) {
        if let Some(quota) = charged_tenant.and_then(|tenant| self.tenants.get_mut(tenant)) {
            quota.bucket.refund();
        }
    }
}

impl Policy {
    /// Charges a request to its tenant's quota; returns false if the tenant is over its quota and load is being
    /// shed. A tenant's bucket fills at this router's share of the quota, times the quota multiplier, so that
    /// the tenants furthest over their quotas are rejected first. A rate measured by one of many routers is too
    /// inaccurate and would reject tenants within their quotas.
    pub(super) fn admit(&mut self, request: &mut InFlightRequest, tenant: usize) -> bool {
        let admission = &mut self.admission;
        let Some(quota) = admission.tenants.get_mut(tenant) else {
            return true;
        };
        let multiplier = self.load_shedding.quota_multiplier();
        // While all tenants together stay below their quotas, the shared bucket admits what a tenant's small
        // bucket would reject through random variation. A falling multiplier also shrinks the buckets: tokens
        // saved at many routers would prolong an overload.
        let burst = (BURST_TOKENS * multiplier).clamp(1.0, BURST_TOKENS);
        let shared_rate = SHARED_QUOTA_FRACTION * self.request_rate.quota_share() * multiplier;
        let in_shared = admission.shared.refill(self.now, shared_rate, burst);
        let rate = multiplier * quota.quota_per_s / self.settings.router_count();
        let depth = burst + rate * self.objective as f64 / 1e6;
        let in_quota = quota.bucket.refill(self.now, rate, depth);
        if !in_quota && !in_shared && self.load_shedding.limits_tenants() {
            return false;
        }
        quota.bucket.take();
        admission.shared.take();
        request.charged_tenant = Some(tenant);
        true
    }

    /// Time since the client's first request, or 0 if this may be the first. A client's deadline spans all its
    /// retries, and the latency objective counts from the first request. A request with the usual remaining
    /// deadline may be a first one; for any other, earlier tries have used up part of the deadline. If late
    /// retries were served like new requests under load, they would take the place of requests that can still
    /// be in time.
    pub(super) fn time_since_first_request(&mut self, request: &Request) -> Micros {
        if request.write {
            return 0;
        }
        let deadline = self.settings.classes[request.class].deadline;
        let tolerance = deadline as f64 * DEADLINE_TOLERANCE;
        let usual = &mut self.admission.usual_deadlines[request.class];
        let is_usual = usual.observe(request.remaining_deadline, tolerance, MAX_DEADLINE_VOTES);
        if is_usual || usual.votes() < MIN_DEADLINE_VOTES || !self.load_shedding.limits_tenants() {
            return 0;
        }
        deadline.saturating_sub(request.remaining_deadline)
    }

    /// Requests per second for this router to serve: its share of all quotas, or the given rate of admitted
    /// requests if there are no quotas.
    pub(super) fn router_request_rate(&self, admitted_per_s: f64) -> f64 {
        let quota = self.request_rate.quota_share();
        if quota > 0.0 { quota } else { admitted_per_s }
    }
}
