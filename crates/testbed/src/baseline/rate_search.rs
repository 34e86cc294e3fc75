//! Searches for the maximum rate that a target sustains.

use std::net::SocketAddr;
use std::time::Duration;

use crate::load::{Load, Outcome, send};

/// Maximum rate that is tested, in requests per second.
const MAX_RATE: f64 = 1_000_000.0;
/// Minimum rate that is tested, in requests per second.
const MIN_RATE: f64 = 1.0;
/// Minimum fraction of the requests that must be served for a rate to count as sustained.
const MIN_SERVED_SHARE: f64 = 0.999;
/// Maximum 99th percentile of the latency for a rate to count as sustained.
const MAX_P99: Duration = Duration::from_millis(50);
/// The search ends when the ratio of its upper to its lower bound is at most this.
const SEARCH_PRECISION: f64 = 1.04;

/// Returns whether a rate was sustained.
pub fn is_sustained(outcome: &Outcome) -> bool {
    outcome.served as f64 >= outcome.intended as f64 * MIN_SERVED_SHARE
        && outcome.latency.value_at_quantile(0.99) <= MAX_P99.as_nanos() as u64
}

/// Returns the maximum rate that an address sustains, in requests per second, or 0 if it sustains none. The search
/// starts at the load's rate. It doubles the rate until one is not sustained, or halves it until one is, and then
/// bisects the interval between the two. `on_result` is called with each rate and its outcome.
///
/// # Errors
/// Returns an error if the address can't be reached.
pub fn max_sustained_rate(
    to: SocketAddr,
    load: &Load,
    mut on_result: impl FnMut(f64, &Outcome),
) -> std::io::Result<f64> {
    let mut sustains = |per_s: f64| {
        let load = Load {
            per_s,
            ..load.clone()
        };
        let outcome = send(to, &load)?;
        on_result(per_s, &outcome);
        Ok::<_, std::io::Error>(is_sustained(&outcome))
    };
    let mut low = load.per_s;
    let mut high = load.per_s * 2.0;
    if sustains(low)? {
        while high < MAX_RATE && sustains(high)? {
            low = high;
            high *= 2.0;
        }
    } else {
        loop {
            high = low;
            low /= 2.0;
            if low < MIN_RATE {
                return Ok(0.0);
            }
            if sustains(low)? {
                break;
            }
        }
    }
    while high / low > SEARCH_PRECISION {
        let middle = (low * high).sqrt();
        if sustains(middle)? {
            low = middle;
        } else {
            high = middle;
        }
    }
    Ok(low)
}
