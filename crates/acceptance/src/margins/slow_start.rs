//! Compares the load on restarted servers while they warmed up, summed over all nodes, with the slow-start budget.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::capacity::US_PER_S;
use super::findings::{Capacity, SlowStart, SlowStartWindow};
use super::limits;
use super::recording::{RecordedSend, Recording};
use crate::trace::{Micros, RuleParameters};

/// Finds the worst window of each start of a server.
pub(super) fn evaluate(
    recording: &Recording,
    parameters: &RuleParameters,
    capacity: &BTreeMap<i64, Capacity>,
) -> SlowStart {
    let mut sends_by_server: HashMap<u32, Vec<&RecordedSend>> = HashMap::new();
    for send in &recording.sends {
        sends_by_server.entry(send.server).or_default().push(send);
    }
    let mut found = SlowStart::default();
    for (server, sends) in &sends_by_server {
        let kind = recording.kind_of(*server);
        if kind == parameters.origin_kind {
            continue;
        }
        let windows = WarmUpWindows {
            recording,
            parameters,
            sends,
        };
        match capacity.get(&kind) {
            Some(capacity) => found
                .worst_windows
                .extend(windows.worst_of_each_start(capacity)),
            None => found.starts_of_unknown_capacity += windows.starts(),
        }
    }
    found.worst_windows.sort_by(|left, right| {
        let by_load = right.load().total_cmp(&left.load());
        by_load
            .then((left.server, left.end_after_start).cmp(&(right.server, right.end_after_start)))
    });
    found
}

/// The windows in which one server was warming up.
struct WarmUpWindows<'a> {
    recording: &'a Recording,
    parameters: &'a RuleParameters,
    /// All sends to the server.
    sends: &'a [&'a RecordedSend],
}

impl<'a> WarmUpWindows<'a> {
    /// Number of starts of the server that were followed by a send while it warmed up.
    fn starts(&self) -> usize {
        let starts = (0..self.sends.len()).filter_map(|last| self.ending_with(last));
        starts
            .map(|window| window.start)
            .collect::<HashSet<_>>()
            .len()
    }

    /// For each start, the window that came closest to the budget, among the windows that count against the notified
    /// nodes.
    fn worst_of_each_start(&self, capacity: &Capacity) -> Vec<SlowStartWindow> {
        let mut worst: BTreeMap<Micros, SlowStartWindow> = BTreeMap::new();
        for last in 0..self.sends.len() {
            let Some(window) = self.ending_with(last) else {
                continue;
            };
            let budget = window.budget(self.parameters, capacity);
            let load = window.sends.len() as f64 / budget;
            let worst_load = worst.get(&window.start).map(SlowStartWindow::load);
            if worst_load.is_some_and(|worst_load| load <= worst_load) {
                continue;
            }
            let notified_attempts = window.notified_sends(self.recording).count();
            if limits::is_mostly_from_notified_nodes(notified_attempts, window.sends.len()) {
                worst.insert(window.start, self.describe(&window, budget));
            }
        }
        worst.into_values().collect()
    }

    /// The window that ends with the send at index `last`, if the server was warming up at that time.
    fn ending_with(&self, last: usize) -> Option<Window<'a>> {
        let at = self.sends[last].at;
        let start = self.recording.start_before(self.sends[last]).at;
        let end_after_start = at.saturating_sub(start);
        if start == 0 || end_after_start as f64 >= self.parameters.warm_up_us {
            return None;
        }
        let length = self.parameters.overload_window_us as Micros;
        let from = at.saturating_sub(length).max(start);
        let first = self.sends.partition_point(|send| send.at < from);
        Some(Window {
            start,
            end_after_start,
            sends: &self.sends[first..=last],
        })
    }

    fn describe(&self, window: &Window<'_>, budget: f64) -> SlowStartWindow {
        let server = window.sends[0].server;
        let nodes: HashSet<u32> = window.sends.iter().map(|send| send.node).collect();
        let notified = window.notified_sends(self.recording);
        let notified_nodes: HashSet<u32> = notified.map(|send| send.node).collect();
        SlowStartWindow {
            server,
            kind: self.recording.kind_of(server),
            end_after_start: window.end_after_start,
            attempts: window.sends.len(),
            budget,
            notified_attempts: window.notified_sends(self.recording).count(),
            nodes: nodes.len(),
            notified_nodes: notified_nodes.len(),
            answered: window.answered(),
        }
    }
}

/// The sends to a warming-up server in a window of the length given in the settings.
struct Window<'a> {
    /// Start time of the server.
    start: Micros,
    /// Time from the start of the server to the end of the window.
    end_after_start: Micros,
    sends: &'a [&'a RecordedSend],
}

impl Window<'_> {
    /// Number of attempts beyond which the server collapses.
    fn budget(&self, parameters: &RuleParameters, capacity: &Capacity) -> f64 {
        let length = parameters.overload_window_us as Micros;
        // A server warms up at least linearly over the warm-up time of the settings, which gives a lower bound of its
        // capacity.
        let middle = self.end_after_start.saturating_sub(length / 2) as f64 / parameters.warm_up_us;
        let warm_share =
            parameters.initial_capacity_share + (1.0 - parameters.initial_capacity_share) * middle;
        let min_capacity = capacity.attempts_per_s * warm_share * length as f64 / US_PER_S;
        // The number of attempts that it answered is another lower bound.
        let capacity_in_window = min_capacity.max(self.answered() as f64);
        limits::slow_start_budget(parameters.overload_multiple * capacity_in_window)
    }

    fn answered(&self) -> usize {
        self.sends.iter().filter(|send| send.answered).count()
    }

    /// Attempts from nodes that knew of the start of the server or count as notified of it.
    fn notified_sends<'b>(
        &'b self,
        recording: &'b Recording,
    ) -> impl Iterator<Item = &'b RecordedSend> {
        self.sends
            .iter()
            .copied()
            .filter(|send| recording.start_before(send).is_node_notified)
    }
}
