//! The margins of a recorded run: for each rule the event that came nearest to its limit.

use std::collections::{BTreeMap, HashMap};

use super::recording::{NOTIFIED_AFTER, RecordedSend, Recording};
use super::report::{Capacity, Margins, NotificationDelay, SendAfterDrain, WarmUpLoad};
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
const US_PER_S: f64 = 1e6;

/// Evaluates a recording whose events are sorted.
pub(super) fn evaluate(recording: Recording, parameters: RuleParameters) -> Margins {
    let capacity = capacity_by_kind(&recording, &parameters);
    Margins {
        warm_up_load: worst_warm_up_load(&recording, &parameters, &capacity),
        send_after_drain: latest_send_after_drain(&recording),
        notification_delay: longest_notification_delay(&recording),
        parameters,
        latest_answer: recording.latest_answer,
        unanswered: recording.unanswered,
        capacity,
        outcomes: recording.outcomes,
        discovery_calls: recording.discovery_calls,
        broken_lines: recording.broken_lines,
    }
}

fn latest_send_after_drain(recording: &Recording) -> Option<SendAfterDrain> {
    let mut worst: Option<SendAfterDrain> = None;
    for send in &recording.sends {
        let since_own_list = send
            .unready_since
            .map(|since| send.at.saturating_sub(since));
        // The first node to be notified shows when discovery had it.
        let first = recording.first_unready_notification(send.server, send.at);
        let since_counted_as_notified =
            first.and_then(|first| send.at.checked_sub(first + NOTIFIED_AFTER));
        let Some(elapsed) = since_own_list.max(since_counted_as_notified) else {
            continue;
        };
        if worst.as_ref().is_none_or(|worst| elapsed > worst.elapsed) {
            worst = Some(SendAfterDrain {
                server: send.server,
                node: send.node,
                elapsed,
                in_own_list: since_own_list >= since_counted_as_notified,
            });
        }
    }
    worst
}

fn longest_notification_delay(recording: &Recording) -> Option<NotificationDelay> {
    let delays = recording.notifications.iter().map(|notification| {
        let at = notification.at;
        let first = recording
            .first_unready_notification(notification.server, at)
            .unwrap_or(at);
        let due_since = first.max(notification.process_started).min(at);
        NotificationDelay {
            delay: at - due_since,
            node: notification.node,
        }
    });
    delays.max()
}

/// The rates at which warm servers of one kind answered, in attempts a second, one for each window.
#[derive(Default)]
struct WindowRates {
    all: Vec<f64>,
    /// Those of windows in which the server also rejected attempts.
    busy: Vec<f64>,
}

/// What a warm server of each kind can do.
fn capacity_by_kind(recording: &Recording, parameters: &RuleParameters) -> BTreeMap<i64, Capacity> {
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

/// The load on a server that is warming up which came nearest to that at which it collapses.
fn worst_warm_up_load(
    recording: &Recording,
    parameters: &RuleParameters,
    capacity: &BTreeMap<i64, Capacity>,
) -> Option<WarmUpLoad> {
    let mut sends_by_server: HashMap<u32, Vec<&RecordedSend>> = HashMap::new();
    for send in &recording.sends {
        sends_by_server.entry(send.server).or_default().push(send);
    }
    let mut worst: Option<WarmUpLoad> = None;
    for (server, sends) in &sends_by_server {
        let kind = recording.kind_of(*server);
        let Some(capacity) = capacity.get(&kind) else {
            continue;
        };
        for last in 0..sends.len() {
            let window = WarmUpWindow::ending_with(recording, parameters, sends, last);
            let Some(window) = window else {
                continue;
            };
            let load = window.load(parameters, capacity);
            if worst.as_ref().is_some_and(|worst| load <= worst.load) {
                continue;
            }
            let informed_attempts = window.informed_attempts(recording);
            // The rule is broken by those who knew of the start: where they sent less than two thirds, it is not.
            if informed_attempts * 3 >= window.sends.len() * 2 {
                worst = Some(WarmUpLoad {
                    server: *server,
                    kind,
                    age: window.age,
                    attempts: window.sends.len(),
                    informed_attempts,
                    answered: window.answered(),
                    load,
                });
            }
        }
    }
    worst
}

/// The sends to a server that is warming up in the time that the overload rule names.
struct WarmUpWindow<'a> {
    /// How long after the server's start the window ends.
    age: Micros,
    sends: &'a [&'a RecordedSend],
}

impl<'a> WarmUpWindow<'a> {
    /// The window that ends with one of the sends to a server, if the server was warming up then.
    fn ending_with(
        recording: &Recording,
        parameters: &RuleParameters,
        sends: &'a [&'a RecordedSend],
        last: usize,
    ) -> Option<WarmUpWindow<'a>> {
        let at = sends[last].at;
        let start = recording.start_before(sends[last]).at;
        let age = at.saturating_sub(start);
        if start == 0 || age as f64 >= parameters.warm_up_us {
            return None;
        }
        let length = parameters.overload_window_us as Micros;
        let from = at.saturating_sub(length).max(start);
        let first = sends.partition_point(|send| send.at < from);
        Some(WarmUpWindow {
            age,
            sends: &sends[first..=last],
        })
    }

    /// The attempts as a part of those at which the server collapses.
    fn load(&self, parameters: &RuleParameters, capacity: &Capacity) -> f64 {
        let length = parameters.overload_window_us as Micros;
        // A server never warms up slower than evenly over the stated time: its capacity is at least this.
        let middle = self.age.saturating_sub(length / 2) as f64 / parameters.warm_up_us;
        let warm_share =
            parameters.initial_capacity_share + (1.0 - parameters.initial_capacity_share) * middle;
        let least = capacity.attempts_per_s * warm_share * length as f64 / US_PER_S;
        // And it was able to do what it answered.
        let possible = least.max(self.answered() as f64);
        self.sends.len() as f64 / collapse_limit(parameters.overload_multiple * possible)
    }

    fn answered(&self) -> usize {
        self.sends.iter().filter(|send| send.answered).count()
    }

    /// Attempts from nodes that knew of the server's start or count as notified of it.
    fn informed_attempts(&self, recording: &Recording) -> usize {
        let informed = |send: &&&RecordedSend| recording.start_before(send).node_informed;
        self.sends.iter().filter(informed).count()
    }
}

/// The number of attempts in a window above which a server that is warming up collapses, given the number that the
/// settings allow: the rules leave room for chance.
fn collapse_limit(allowed: f64) -> f64 {
    allowed + 3.0 * allowed.sqrt() + 3.0
}
