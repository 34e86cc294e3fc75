//! Finds the largest rate that an address sustains.

use std::net::SocketAddr;
use std::time::Duration;

use crate::load::{Load, Outcome, send};

/// Largest rate that is tried, in requests per second.
const MAX_RATE: f64 = 1_000_000.0;
/// Smallest rate that is tried, in requests per second.
const MIN_RATE: f64 = 1.0;
/// A rate is sustained if this fraction of the requests is served
const MIN_SERVED_SHARE: f64 = 0.999;
/// and the 99th percentile of the latency is at most this.
const MAX_P99: Duration = Duration::from_millis(50);
/// The search for the largest sustained rate ends when its bounds are within this factor.
const SEARCH_PRECISION: f64 = 1.04;

/// Whether a rate was sustained.
pub fn sustained(outcome: &Outcome) -> bool {
    outcome.served as f64 >= outcome.intended as f64 * MIN_SERVED_SHARE
        && outcome.latency.value_at_quantile(0.99) <= MAX_P99.as_nanos() as u64
}

/// The largest rate that an address sustains, in requests per second; 0 if it sustains none. From the load's rate on,
/// rates are doubled until one is not sustained, or halved until one is, and what lies between is bisected. Each rate and
/// its outcome are passed to `tried`.
///
/// # Errors
/// If the address can't be reached.
pub fn max_sustained_rate(
    to: SocketAddr,
    load: &Load,
    mut tried: impl FnMut(f64, &Outcome),
) -> std::io::Result<f64> {
    let mut sustains = |per_s: f64| {
        let load = Load {
            per_s,
            ..load.clone()
        };
        let outcome = send(to, &load)?;
        tried(per_s, &outcome);
        Ok::<_, std::io::Error>(sustained(&outcome))
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
