//! Estimates the capacity of a warm server of each kind from the traces, which do not state it.

use std::collections::BTreeMap;

use super::findings::Capacity;
use super::recording::Recording;
use crate::trace::{Micros, RuleParameters};

/// With at least this many saturated windows, the capacity of a kind is the median rate of these windows.
const MIN_SATURATED_WINDOWS: usize = 20;
/// With fewer saturated windows, the capacity of a kind is at least the rate at this quantile of all windows.
const OBSERVED_RATE_QUANTILE: f64 = 0.95;
/// A window is saturated if the server rejected more than one attempt for each this many that it answered. The server
/// was then offered more than its capacity for most of the window.
const ANSWERS_PER_REJECTION: usize = 10;
/// Microseconds in a second.
pub(super) const US_PER_S: f64 = 1e6;

/// Rates at which warm servers of one kind answered, in attempts per second, one for each window.
#[derive(Default)]
struct WindowRates {
    all: Vec<f64>,
    /// Rates of the saturated windows.
    saturated: Vec<f64>,
}

/// The capacity of a warm server of each kind.
pub(super) fn by_kind(
    recording: &Recording,
    parameters: &RuleParameters,
) -> BTreeMap<i64, Capacity> {
    let mut rates_by_kind: BTreeMap<i64, WindowRates> = BTreeMap::new();
    for server in recording.answers.keys() {
        let rates = rates_by_kind.entry(recording.kind_of(*server)).or_default();
        add_window_rates(recording, parameters, *server, rates);
    }
    rates_by_kind
        .into_iter()
        .filter(|(kind, rates)| *kind != parameters.origin_kind && !rates.all.is_empty())
        .map(|(kind, rates)| (kind, capacity_from(rates)))
        .collect()
}

/// Adds the rate of each window in which a server was warm, from its first answer to its last.
fn add_window_rates(
    recording: &Recording,
    parameters: &RuleParameters,
    server: u32,
    rates: &mut WindowRates,
) {
    let answers = recording
        .answers
        .get(&server)
        .map_or(&[][..], Vec::as_slice);
    let (Some(first), Some(last)) = (answers.first(), answers.last()) else {
        return;
    };
    let window = parameters.overload_window_us as Micros;
    let mut from = warm_since(recording, parameters, server).max(*first);
    while from + window <= *last {
        let answered = count_between(answers, from, from + window);
        let rejections = recording.rejections.get(&server);
        let rejected = rejections.map_or(0, |times| count_between(times, from, from + window));
        let rate = answered as f64 * US_PER_S / window as f64;
        rates.all.push(rate);
        if rejected * ANSWERS_PER_REJECTION > answered {
            rates.saturated.push(rate);
        }
        from += window;
    }
}

/// Time from which a server was warm after its last start; 0 if it started long ago.
fn warm_since(recording: &Recording, parameters: &RuleParameters, server: u32) -> Micros {
    match recording.last_start(server) {
        0 => 0,
        started => started + parameters.warm_up_us as Micros,
    }
}

/// Number of the sorted times in `from..until`.
fn count_between(times: &[Micros], from: Micros, until: Micros) -> usize {
    times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
}

fn capacity_from(mut rates: WindowRates) -> Capacity {
    if rates.saturated.len() >= MIN_SATURATED_WINDOWS {
        return Capacity {
            attempts_per_s: quantile(&mut rates.saturated, 0.5),
            is_saturated: true,
        };
    }
    Capacity {
        attempts_per_s: quantile(&mut rates.all, OBSERVED_RATE_QUANTILE),
        is_saturated: false,
    }
}

/// A quantile of the values, of which there must be at least one.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * fraction) as usize]
}
