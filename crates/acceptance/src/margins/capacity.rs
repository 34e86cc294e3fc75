//! What a warm server of each kind can do. Nobody is told it; it is estimated from what the nodes saw.

use std::collections::BTreeMap;

use super::findings::Capacity;
use super::recording::Recording;
use crate::trace::{Micros, RuleParameters};

/// The median of the windows in which warm servers rejected attempts gives their kind's capacity where there are at
/// least so many.
const MIN_BUSY_WINDOWS: usize = 20;
/// Where there are fewer, a kind's capacity is at least the rate at this quantile of all windows.
const SEEN_RATE_QUANTILE: f64 = 0.95;
/// A server was busy in a window where it rejected more than one attempt for so many that it answered: it was offered
/// more than it could do for the better part of the window.
const ANSWERS_FOR_EACH_REJECTION: usize = 10;
/// Microseconds in a second.
pub(super) const US_PER_S: f64 = 1e6;

/// The rates at which warm servers of one kind answered, in attempts a second, one for each window.
#[derive(Default)]
struct WindowRates {
    all: Vec<f64>,
    /// Those of windows in which the server also rejected attempts.
    busy: Vec<f64>,
}

/// What a warm server of each kind can do.
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
        if rejected * ANSWERS_FOR_EACH_REJECTION > answered {
            rates.busy.push(rate);
        }
        from += window;
    }
}

/// When a server was warm after its last start; 0 where it started long ago.
fn warm_since(recording: &Recording, parameters: &RuleParameters, server: u32) -> Micros {
    match recording.last_start(server) {
        0 => 0,
        started => started + parameters.warm_up_us as Micros,
    }
}

/// How many of some sorted times are from `from` on and before `until`.
fn count_between(times: &[Micros], from: Micros, until: Micros) -> usize {
    times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
}

fn capacity_from(mut rates: WindowRates) -> Capacity {
    if rates.busy.len() >= MIN_BUSY_WINDOWS {
        return Capacity {
            attempts_per_s: quantile(&mut rates.busy, 0.5),
            seen_busy: true,
        };
    }
    Capacity {
        attempts_per_s: quantile(&mut rates.all, SEEN_RATE_QUANTILE),
        seen_busy: false,
    }
}

/// A quantile of some values, of which there is at least one.
fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * part) as usize]
}
