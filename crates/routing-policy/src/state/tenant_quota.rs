//! The quota of a tenant.

use super::TokenBucket;
use crate::interface::Settings;

/// A tenant's quota over all routers, and the token bucket for this router's share of it.
pub(crate) struct TenantQuota {
    /// The quota in requests per second, over all routers.
    pub(crate) quota_per_s: f64,
    /// Requests that this router may still admit at once.
    pub(crate) bucket: TokenBucket,
}

impl TenantQuota {
    /// The quotas of all tenants, or a single unlimited one if there are no tenants.
    pub(crate) fn for_all_tenants(settings: &Settings) -> Vec<TenantQuota> {
        let quota = |quota_per_s| TenantQuota {
            quota_per_s,
            bucket: TokenBucket::default(),
        };
        if settings.tenants.is_empty() {
            return vec![quota(f64::INFINITY)];
        }
        let tenants = settings.tenants.iter();
        tenants.map(|tenant| quota(tenant.quota_per_s)).collect()
    }
}
