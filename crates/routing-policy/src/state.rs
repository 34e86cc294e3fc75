//! In-memory state of a router: records, containers and estimators. This module makes no decisions; the policy
//! supplies every threshold and parameter that a decision depends on.

mod crossing;
mod decaying_ratio;
mod fleet;
mod key_orders;
mod key_share;
mod leaky_bucket;
mod machine_kind;
mod majority_vote;
mod origin_calls;
mod position_hash;
mod random;
mod rate_estimator;
mod recent_keys;
mod request;
mod request_rate;
mod retry_budget;
mod server;
mod smoothed_time;
mod tenant_quota;
mod timer_queue;
mod token_bucket;
mod unit_hash;

pub(crate) use crossing::ThresholdCrossing;
pub(crate) use decaying_ratio::DecayingRatio;
pub(crate) use fleet::Fleet;
pub(crate) use key_orders::{KeyOrders, OrderSegment};
pub(crate) use key_share::KeyShare;
pub(crate) use leaky_bucket::{BurstAllowance, LeakyBucket};
pub(crate) use machine_kind::MachineKind;
pub(crate) use majority_vote::MajorityVote;
pub(crate) use origin_calls::OriginCalls;
pub(crate) use position_hash::PositionHash;
pub(crate) use random::Random;
pub(crate) use rate_estimator::RateEstimator;
pub(crate) use recent_keys::RecentKeys;
pub(crate) use request::{Attempt, AttemptId, AttemptKind, InFlightRequest};
pub(crate) use request_rate::RequestRate;
pub(crate) use retry_budget::RetryBudget;
pub(crate) use server::{Ejection, Server};
pub(crate) use smoothed_time::SmoothedTime;
pub(crate) use tenant_quota::TenantQuota;
pub(crate) use timer_queue::{Deferral, Timer, TimerQueue};
pub(crate) use token_bucket::TokenBucket;
pub(crate) use unit_hash::{HashPurpose, unit_hash, unit_interval};
