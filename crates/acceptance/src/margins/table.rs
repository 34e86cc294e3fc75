//! Prints the margins of a run as rows of a Markdown table: the worst value of each rule beside its limit.

use super::findings::{Margins, MissingData};
use super::limits::{
    ANSWER_LOST_AFTER_US, COUNTS_AS_NOTIFIED_AFTER_US, DISCONNECT_GRACE_US, MAX_LATE_READY_SHARE,
    MAX_READY_TIME_US, SOCKET_ALLOWANCE_US, STATED_DEADLINE_SLACK_US,
};
use crate::trace::Micros;

/// A margin below this share of its limit is marked as narrow, and its cause has to be found.
const NARROW_MARGIN: f64 = 0.25;

/// Header of the table.
pub const TABLE_HEADER: &str =
    "| run | rule | worst | limit | margin left |\n| --- | --- | --- | --- | --- |\n";

/// Explanation of the rows of the table.
pub const LEGEND: &str = "\
slow start: attempts that one restarted server received in the window of the settings from all nodes together, as a \
fraction of the budget beyond which it collapses; only windows with over two thirds of the attempts from nodes that had \
been notified of its start
drain: time of the latest send to a server that is draining or removed, after its node was notified or counted as notified
notification: longest time from the first node's notification of a drain or a removal to that of another node
final answer: time of the latest final answer, after the deadline of its request
lost requests: requests that were read and had no final answer within half a second after their deadline
client disconnect: time of the latest attempt that began after its client had closed its connection
deadline: largest time by which the deadline that an attempt stated to its server exceeded the time left to its client
readiness, late: share of the restarted processes that were not ready in 10 s (6 s if the day ends sooner)
readiness, slowest: longest time that a restarted process took to be ready
none: no such event happened. not shown: the traces lack the required lines. narrow: less than a quarter of the limit \
is left. over: beyond the limit
";

/// The value that a recording shows for a rule.
enum Measured {
    /// The worst value.
    Worst(f64),
    /// No such event happened.
    None,
    /// The traces lack the required lines.
    NotShown,
}

/// A row of the table.
enum Row {
    /// A value that has a limit.
    Value {
        name: &'static str,
        measured: Measured,
        limit: f64,
        unit: &'static str,
    },
    /// A count of events, none of which is allowed.
    Count { name: &'static str, count: u64 },
}

impl Row {
    /// A time with a limit, in seconds.
    fn time(name: &'static str, measured: Measured, limit: Micros) -> Row {
        Row::Value {
            name,
            measured,
            limit: seconds(limit),
            unit: "s",
        }
    }

    /// The fraction of the limit that is left, if the recording shows it.
    fn margin(&self) -> Option<f64> {
        match self {
            Row::Value {
                measured: Measured::Worst(worst),
                limit,
                ..
            } => Some((limit - worst) / limit),
            _ => None,
        }
    }

    fn is_narrow(&self) -> bool {
        match self {
            Row::Count { count, .. } => *count > 0,
            Row::Value { .. } => self.margin().is_some_and(|margin| margin < NARROW_MARGIN),
        }
    }

    fn mark(&self) -> &'static str {
        let is_over = match self {
            Row::Count { count, .. } => *count > 0,
            Row::Value { .. } => self.margin().is_some_and(|margin| margin < 0.0),
        };
        match (is_over, self.is_narrow()) {
            (true, _) => " (over)",
            (false, true) => " (narrow)",
            (false, false) => "",
        }
    }

    /// The printed row: run, rule, worst value, limit, margin.
    fn line(&self, run: &str) -> String {
        let mark = self.mark();
        let margin = self
            .margin()
            .map_or(String::new(), |margin| format!("{:.0}%", margin * 100.0));
        match self {
            Row::Count { name, count } => format!("| {run} | {name} | {count} | 0 |{mark} |\n"),
            Row::Value {
                name,
                measured,
                limit,
                unit,
            } => {
                let worst = match measured {
                    Measured::Worst(worst) => format!("{worst:.2} {unit}"),
                    Measured::None => "none".into(),
                    Measured::NotShown => "not shown".into(),
                };
                format!("| {run} | {name} | {worst} | {limit:.2} {unit} | {margin}{mark} |\n")
            }
        }
    }
}

/// Microseconds as seconds.
pub(super) fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

/// Signed microseconds as seconds.
pub(super) fn signed_seconds(time_us: i64) -> f64 {
    time_us as f64 / 1e6
}

/// The worst value, or [`Measured::None`] if no such event happened.
fn worst(value: Option<f64>) -> Measured {
    value.map_or(Measured::None, Measured::Worst)
}

impl Margins {
    fn rows(&self) -> Vec<Row> {
        let drain_grace = self.parameters.drain_grace_us as Micros + SOCKET_ALLOWANCE_US;
        let answer = self.latest_answer.as_ref();
        let lateness = answer.map(|answer| signed_seconds(answer.lateness_us));
        vec![
            self.slow_start_row(),
            Row::time("drain", self.latest_after_drain(), drain_grace),
            Row::time(
                "notification",
                self.notification_delay(),
                COUNTS_AS_NOTIFIED_AFTER_US,
            ),
            Row::time("final answer", worst(lateness), ANSWER_LOST_AFTER_US),
            Row::Count {
                name: "lost requests",
                count: self.lost_requests.total(),
            },
            Row::time(
                "client disconnect",
                self.latest_disconnect(),
                DISCONNECT_GRACE_US,
            ),
            Row::time(
                "deadline",
                self.worst_stated_deadline(),
                STATED_DEADLINE_SLACK_US,
            ),
            self.late_readiness_row(),
            Row::time(
                "readiness, slowest",
                self.slowest_readiness(),
                MAX_READY_TIME_US,
            ),
        ]
    }

    fn slow_start_row(&self) -> Row {
        let windows = &self.slow_start.worst_windows;
        let measured = match windows.first() {
            Some(window) => Measured::Worst(window.load()),
            None if self.slow_start.starts_of_unknown_capacity > 0 => Measured::NotShown,
            None => Measured::None,
        };
        Row::Value {
            name: "slow start",
            measured,
            limit: 1.0,
            unit: "of the budget",
        }
    }

    fn latest_after_drain(&self) -> Measured {
        let send = self.send_after_drain.as_ref();
        Measured::Worst(send.map_or(0.0, |send| seconds(send.elapsed)))
    }

    fn notification_delay(&self) -> Measured {
        let longest = self.notification.longest_delay;
        worst(longest.map(|longest| seconds(longest.delay)))
    }

    fn latest_disconnect(&self) -> Measured {
        if self.client_disconnects.disconnects == 0 {
            return Measured::None;
        }
        let latest = self.client_disconnects.latest.as_ref();
        Measured::Worst(latest.map_or(0.0, |latest| seconds(latest.elapsed)))
    }

    fn worst_stated_deadline(&self) -> Measured {
        if self.missing_data.contains(&MissingData::StatedDeadlines) {
            return Measured::NotShown;
        }
        let stated = self.stated_deadlines.worst.as_ref();
        worst(stated.map(|stated| signed_seconds(stated.excess_us)))
    }

    fn late_readiness_row(&self) -> Row {
        let readiness = &self.readiness;
        let measured = match (readiness.judged, readiness.undetermined) {
            (0, 0) => Measured::None,
            (0, _) => Measured::NotShown,
            (judged, _) => Measured::Worst(readiness.late as f64 / judged as f64),
        };
        Row::Value {
            name: "readiness, late",
            measured,
            limit: MAX_LATE_READY_SHARE,
            unit: "of the restarts",
        }
    }

    fn slowest_readiness(&self) -> Measured {
        let slowest = self.readiness.slowest;
        worst(slowest.map(|slowest| seconds(slowest.delay)))
    }

    /// Whether a margin is narrow, which is less than a quarter of its limit, or a request was lost.
    pub fn is_narrow(&self) -> bool {
        self.rows().iter().any(Row::is_narrow)
    }

    /// The margins as rows of the table under [`TABLE_HEADER`]. `run` is the name of the run.
    pub fn table(&self, run: &str) -> String {
        self.rows().iter().map(|row| row.line(run)).collect()
    }
}
