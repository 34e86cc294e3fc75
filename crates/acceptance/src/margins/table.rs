//! The margins of a run as rows of a Markdown table: each rule's worst figure beside its limit.

use super::findings::{Gap, Margins};
use super::limits::{
    ANSWER_LOST_AFTER, DEPARTURE_GRACE, NOTIFIED_AFTER, READY_AT_LATEST, READY_LATE_SHARE,
    SOCKET_ALLOWANCE, STATED_DEADLINE_SLACK,
};
use crate::trace::Micros;

/// A margin that is a smaller part of its limit than this asks for a cause.
const NARROW_MARGIN: f64 = 0.25;

/// The head of the table.
pub const TABLE_HEAD: &str =
    "| run | rule | worst | limit | margin left |\n| --- | --- | --- | --- | --- |\n";

/// What the rows of the table are.
pub const LEGEND: &str = "\
slow start: attempts that one restarted server received in the window of the settings, all nodes together, as a part of \
the budget beyond which it collapses; of windows with over two thirds from nodes that had been notified of its start
drain: the latest send to a server that is draining or removed, after its node was notified or counts as notified
notification: the longest that a node was not notified of a drain or a removal, after the first node was
final answer: the latest final answer, after its request's deadline
lost requests: requests that were read and had no final answer, or none until half a second after their deadline
client departure: the latest attempt that began after its client had closed its connection
deadline: the most that an attempt stated to its server beyond the time that was left to its client
readiness, late: the part of the restarted processes that were not ready in 10 s (6 s, if the day ends sooner)
readiness, slowest: the longest that a restarted process took to be ready
none: nothing of the kind happened. not shown: the traces do not have what is needed. narrow: under a quarter of the \
limit is left. over: beyond the limit
";

/// What a recording has of a rule.
enum Measured {
    /// The worst figure.
    Worst(f64),
    /// Nothing of the kind happened.
    Nothing,
    /// The traces do not have what is needed.
    NotShown,
}

/// A row of the table.
enum Row {
    /// A figure that has a limit.
    Figure {
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
        Row::Figure {
            name,
            measured,
            limit: seconds(limit),
            unit: "s",
        }
    }

    /// The part of the limit that is left, where the recording shows it.
    fn margin(&self) -> Option<f64> {
        match self {
            Row::Figure {
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
            Row::Figure { .. } => self.margin().is_some_and(|margin| margin < NARROW_MARGIN),
        }
    }

    fn mark(&self) -> &'static str {
        let is_over = match self {
            Row::Count { count, .. } => *count > 0,
            Row::Figure { .. } => self.margin().is_some_and(|margin| margin < 0.0),
        };
        match (is_over, self.is_narrow()) {
            (true, _) => " (over)",
            (false, true) => " (narrow)",
            (false, false) => "",
        }
    }

    /// The row as it is printed: run, rule, worst, limit, margin.
    fn line(&self, run: &str) -> String {
        let mark = self.mark();
        let margin = self
            .margin()
            .map_or(String::new(), |margin| format!("{:.0}%", margin * 100.0));
        match self {
            Row::Count { name, count } => format!("| {run} | {name} | {count} | 0 |{mark} |\n"),
            Row::Figure {
                name,
                measured,
                limit,
                unit,
            } => {
                let worst = match measured {
                    Measured::Worst(worst) => format!("{worst:.2} {unit}"),
                    Measured::Nothing => "none".into(),
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

/// The worst figure, or none where nothing of the kind happened.
fn worst(figure: Option<f64>) -> Measured {
    figure.map_or(Measured::Nothing, Measured::Worst)
}

impl Margins {
    fn rows(&self) -> Vec<Row> {
        let drain_grace = self.parameters.drain_grace_us as Micros + SOCKET_ALLOWANCE;
        let answer = self.latest_answer.as_ref();
        let lateness = answer.map(|answer| signed_seconds(answer.lateness_us));
        vec![
            self.slow_start_row(),
            Row::time("drain", self.latest_after_drain(), drain_grace),
            Row::time("notification", self.notification_delay(), NOTIFIED_AFTER),
            Row::time("final answer", worst(lateness), ANSWER_LOST_AFTER),
            Row::Count {
                name: "lost requests",
                count: self.lost_requests.total(),
            },
            Row::time("client departure", self.latest_departure(), DEPARTURE_GRACE),
            Row::time("deadline", self.worst_deadline(), STATED_DEADLINE_SLACK),
            self.late_readiness_row(),
            Row::time(
                "readiness, slowest",
                self.slowest_readiness(),
                READY_AT_LATEST,
            ),
        ]
    }

    fn slow_start_row(&self) -> Row {
        let windows = &self.slow_start.worst_windows;
        let measured = match windows.first() {
            Some(window) => Measured::Worst(window.load()),
            None if self.slow_start.starts_of_unknown_capacity > 0 => Measured::NotShown,
            None => Measured::Nothing,
        };
        Row::Figure {
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

    fn latest_departure(&self) -> Measured {
        if self.client_departures.departures == 0 {
            return Measured::Nothing;
        }
        let latest = self.client_departures.latest.as_ref();
        Measured::Worst(latest.map_or(0.0, |latest| seconds(latest.elapsed)))
    }

    fn worst_deadline(&self) -> Measured {
        if self.gaps.contains(&Gap::StatedDeadlines) {
            return Measured::NotShown;
        }
        let stated = self.stated_deadlines.worst.as_ref();
        worst(stated.map(|stated| signed_seconds(stated.excess_us)))
    }

    fn late_readiness_row(&self) -> Row {
        let readiness = &self.readiness;
        let measured = match (readiness.judged, readiness.undetermined) {
            (0, 0) => Measured::Nothing,
            (0, _) => Measured::NotShown,
            (judged, _) => Measured::Worst(readiness.late as f64 / judged as f64),
        };
        Row::Figure {
            name: "readiness, late",
            measured,
            limit: READY_LATE_SHARE,
            unit: "of the restarts",
        }
    }

    fn slowest_readiness(&self) -> Measured {
        let slowest = self.readiness.slowest;
        worst(slowest.map(|slowest| seconds(slowest.delay)))
    }

    /// Whether a margin is narrow, less than a quarter of its limit, or a request was lost.
    pub fn is_narrow(&self) -> bool {
        self.rows().iter().any(Row::is_narrow)
    }

    /// The margins as rows of the table under [`TABLE_HEAD`]. `run` is the name of the run.
    pub fn table(&self, run: &str) -> String {
        self.rows().iter().map(|row| row.line(run)).collect()
    }
}
