//! How the limit on memory is divided.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cache_router::memory_plan::{BYTES_PER_MB, Capacity};

/// The least memory and the most descriptors.
const LEAST: Capacity = Capacity {
    memory_mb: 32,
    connections: 504,
    requests: 1_024,
    endpoints: 16,
};

#[test]
fn all_that_may_be_held_at_once_stays_within_the_limit() {
    for memory_mb in [32, 48, 192] {
        for connections in [120, 184, 504] {
            for endpoints in [16, 200, 1_000] {
                let capacity = Capacity {
                    memory_mb,
                    connections,
                    endpoints,
                    ..LEAST
                };
                let most = capacity.unreserved_bytes() + 2 * capacity.budget_bytes();
                assert!(most <= memory_mb * BYTES_PER_MB, "{capacity:?}: {most}");
            }
        }
    }
}

#[test]
fn content_gets_at_most_half_of_the_limit_and_at_least_a_few_long_values() {
    let most = Capacity {
        memory_mb: 192,
        ..LEAST
    };
    assert_eq!(most.budget_bytes(), 47 * BYTES_PER_MB);
    assert!(LEAST.budget_bytes() >= 2 * BYTES_PER_MB);
    let too_many_endpoints = Capacity {
        endpoints: 100_000,
        ..LEAST
    };
    assert_eq!(too_many_endpoints.budget_bytes(), BYTES_PER_MB);
}
