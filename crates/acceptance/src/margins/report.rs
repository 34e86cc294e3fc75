//! The margins of a run, as a summary in words and as rows of a table.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use crate::trace::{Micros, RuleParameters};

/// A final answer counts as lost this long after its request's deadline, by the rules.
pub(super) const ANSWER_LOST_AFTER_US: i64 = 500_000;
/// By the rules every time limit is longer by this where the test runs on sockets.
const SOCKET_ALLOWANCE: Micros = 50_000;
/// A margin that is a smaller part of its limit than this asks for a cause.
const NARROW_MARGIN: f64 = 0.25;

/// The margins of one run.
#[derive(Debug)]
pub struct Margins {
    /// The settings that the rules are stated in.
    pub parameters: RuleParameters,
    /// The load on a server that is warming up which came nearest to its collapse.
    pub warm_up_load: Option<WarmUpLoad>,
    /// The latest send to a server that the node was notified is draining or removed.
    pub send_after_drain: Option<SendAfterDrain>,
    /// The longest that a node was not notified that a server is draining or removed.
    pub notification_delay: Option<NotificationDelay>,
    /// The latest final answer.
    pub latest_answer: Option<AnswerLateness>,
    /// Requests whose node went on past their time and never answered.
    pub unanswered: u64,
    /// What a warm server of each kind can do.
    pub capacity: BTreeMap<i64, Capacity>,
    /// Final answers, by how they ended.
    pub outcomes: BTreeMap<String, u64>,
    /// Calls to discovery.
    pub discovery_calls: DiscoveryCalls,
    /// Lines of the traces that could not be read.
    pub broken_lines: BrokenLines,
}

/// The attempts that one server which was warming up received in a window.
#[derive(Debug, Clone, PartialEq)]
pub struct WarmUpLoad {
    /// Id of the server.
    pub server: u32,
    /// Kind of the server.
    pub kind: i64,
    /// End of the window, in microseconds after the server's start.
    pub age: Micros,
    /// Attempts in the window.
    pub attempts: usize,
    /// How many of them came from nodes that knew of this start or count as notified of it.
    pub informed_attempts: usize,
    /// How many of them the server answered, as far as their outcomes show.
    pub answered: usize,
    /// The attempts as a part of those at which the server collapses.
    pub load: f64,
}

/// A send to a server that was draining or removed.
#[derive(Debug, Clone, PartialEq)]
pub struct SendAfterDrain {
    /// Id of the server.
    pub server: u32,
    /// Number of the sending node.
    pub node: u32,
    /// Time since the node was notified or counts as notified, in microseconds.
    pub elapsed: Micros,
    /// Whether the node's own list had it.
    pub in_own_list: bool,
}

/// How long a node was not notified that a server is draining or removed, since another node was or since its own
/// process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct NotificationDelay {
    /// The delay, in microseconds.
    pub delay: Micros,
    /// Number of the node.
    pub node: u32,
}

/// A final answer and its deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerLateness {
    /// How long after the request's deadline it was, in microseconds; negative before it.
    pub lateness_us: i64,
    /// The client's name for the request.
    pub client_name: String,
}

/// What a warm server of one kind can do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Attempts that it answers in a second.
    pub attempts_per_s: f64,
    /// Whether this was seen while servers of the kind had more to do than they could. Otherwise they can do more.
    pub seen_busy: bool,
}

/// Calls to discovery.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DiscoveryCalls {
    /// All calls.
    pub total: u64,
    /// Those that failed.
    pub failed: u64,
}

/// Lines of a trace that could not be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BrokenLines {
    /// How many there are.
    pub count: u64,
    /// The first of them.
    pub first: String,
}

impl BrokenLines {
    /// Counts one more.
    pub(super) fn add(&mut self, line: &str) {
        if self.count == 0 {
            self.first = line.into();
        }
        self.count += 1;
    }
}

/// A figure beside its limit.
struct Row {
    name: &'static str,
    value: f64,
    limit: f64,
    unit: &'static str,
}

impl Row {
    /// The part of the limit that is left.
    fn margin(&self) -> f64 {
        (self.limit - self.value) / self.limit
    }

    fn is_narrow(&self) -> bool {
        self.margin() < NARROW_MARGIN
    }

    /// The row of a table: run, name, value, limit, margin.
    fn line(&self, run: &str) -> String {
        let Row {
            name,
            value,
            limit,
            unit,
        } = self;
        let mark = if self.is_narrow() { " (narrow)" } else { "" };
        let percent = self.margin() * 100.0;
        format!(
            "| {run} | {name} | {value:.2} {unit} | {limit:.2} {unit} | {percent:.0}%{mark} |\n"
        )
    }
}

/// Microseconds as seconds.
fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

/// Signed microseconds as seconds.
fn signed_seconds(time_us: i64) -> f64 {
    time_us as f64 / 1e6
}

impl Margins {
    fn rows(&self) -> Vec<Row> {
        let mut rows = Vec::new();
        if let Some(warm_up) = &self.warm_up_load {
            rows.push(Row {
                name: "cold server",
                value: warm_up.load,
                limit: 1.0,
                unit: "of its fall",
            });
        }
        let send = self.send_after_drain.as_ref();
        rows.push(Row {
            name: "drain",
            value: send.map_or(0.0, |send| seconds(send.elapsed)),
            limit: seconds(self.parameters.drain_grace_us as Micros + SOCKET_ALLOWANCE),
            unit: "s",
        });
        if let Some(notification) = &self.notification_delay {
            rows.push(Row {
                name: "news",
                value: seconds(notification.delay),
                limit: seconds(super::recording::NOTIFIED_AFTER),
                unit: "s",
            });
        }
        if let Some(answer) = &self.latest_answer {
            rows.push(Row {
                name: "answer",
                value: signed_seconds(answer.lateness_us),
                limit: signed_seconds(ANSWER_LOST_AFTER_US),
                unit: "s",
            });
        }
        rows
    }

    /// Whether a margin is narrow, less than a quarter of its limit, or a request was never answered.
    pub fn is_narrow(&self) -> bool {
        self.unanswered > 0 || self.rows().iter().any(Row::is_narrow)
    }

    /// The margins as rows of a Markdown table: run, figure, value, limit, margin. `run` is the name of the run.
    pub fn table(&self, run: &str) -> String {
        let mut table: String = self.rows().iter().map(|row| row.line(run)).collect();
        if self.unanswered > 0 {
            table += &format!("| {run} | never answered | {} | 0 | |\n", self.unanswered);
        }
        table
    }
}

impl Display for Margins {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (kind, capacity) in &self.capacity {
            writeln!(f, "kind {kind}: {capacity}")?;
        }
        if let Some(load) = &self.warm_up_load {
            writeln!(f, "{load}")?;
        }
        if let Some(send) = &self.send_after_drain {
            writeln!(f, "{send}")?;
        }
        if let Some(notification) = &self.notification_delay {
            writeln!(f, "{notification}")?;
        }
        if let Some(answer) = &self.latest_answer {
            writeln!(f, "{answer}")?;
        }
        writeln!(
            f,
            "ends: {:?}; discovery: {} calls, {} failed",
            self.outcomes, self.discovery_calls.total, self.discovery_calls.failed
        )?;
        let broken = &self.broken_lines;
        if broken.count > 0 {
            writeln!(
                f,
                "{} lines of the traces are broken, the first: {}",
                broken.count, broken.first
            )?;
        }
        Ok(())
    }
}

impl Display for Capacity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let certainty = if self.seen_busy {
            "while full"
        } else {
            "at least, never seen full"
        };
        let rate = self.attempts_per_s;
        write!(
            f,
            "a warm server answers {rate:.1} attempts a second, {certainty}"
        )
    }
}

impl Display for WarmUpLoad {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cold server {} of kind {}: {} attempts in the window that ends {:.2} s after its start, {} from nodes \
             that knew, {} answered",
            self.server,
            self.kind,
            self.attempts,
            seconds(self.age),
            self.informed_attempts,
            self.answered
        )
    }
}

impl Display for SendAfterDrain {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let since = if self.in_own_list {
            "its list said so"
        } else {
            "it counts as notified"
        };
        write!(
            f,
            "drain: node {} sends to {} {:.3} s after {since}",
            self.node,
            self.server,
            seconds(self.elapsed)
        )
    }
}

impl Display for NotificationDelay {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "news: node {} was notified {:.3} s late that a server is not ready",
            self.node,
            seconds(self.delay)
        )
    }
}

impl Display for AnswerLateness {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answer: request {} {:.3} s after its time",
            self.client_name,
            signed_seconds(self.lateness_us)
        )
    }
}
