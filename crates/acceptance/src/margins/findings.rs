//! What the evaluation of a run finds for each rule.

use std::collections::BTreeMap;

use crate::trace::{Micros, RuleParameters};

/// The margins of one run.
#[derive(Debug)]
pub struct Margins {
    /// The settings that the rules are stated in.
    pub parameters: RuleParameters,
    /// The load on restarted servers while they warmed up.
    pub slow_start: SlowStart,
    /// The latest send to a server that the node was notified is draining or removed.
    pub send_after_drain: Option<SendAfterDrain>,
    /// How late nodes were notified that a server is draining or removed.
    pub notification: Notification,
    /// The latest final answer.
    pub latest_answer: Option<AnswerLateness>,
    /// Requests that were read and never answered in time.
    pub lost_requests: LostRequests,
    /// Attempts for clients that had departed.
    pub client_departures: ClientDepartures,
    /// The deadlines that attempts stated to their servers.
    pub stated_deadlines: StatedDeadlines,
    /// How soon restarted processes were ready.
    pub readiness: Readiness,
    /// What a warm server of each kind can do.
    pub capacity: BTreeMap<i64, Capacity>,
    /// Final answers, by how they ended.
    pub outcomes: BTreeMap<String, u64>,
    /// Calls to discovery.
    pub discovery_calls: DiscoveryCalls,
    /// Lines of the traces that could not be read.
    pub broken_lines: BrokenLines,
    /// What the recording does not show.
    pub gaps: Vec<Gap>,
}

/// The load on restarted servers while they warmed up.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SlowStart {
    /// The worst window of each start of a server that received attempts, the worst first.
    pub worst_windows: Vec<SlowStartWindow>,
    /// Starts of servers that received attempts, of kinds whose capacity is unknown: no warm server of them answered.
    pub starts_of_unknown_capacity: usize,
}

/// The attempts that one server which was warming up received in a window, from all nodes together.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStartWindow {
    /// Id of the server.
    pub server: u32,
    /// Kind of the server.
    pub kind: i64,
    /// End of the window, in microseconds after the server's start.
    pub age: Micros,
    /// Attempts in the window.
    pub attempts: usize,
    /// The attempts beyond which the server collapses.
    pub budget: f64,
    /// How many of the attempts came from nodes that had been notified of this start.
    pub notified_attempts: usize,
    /// How many nodes sent them.
    pub nodes: usize,
    /// How many of these had been notified of this start.
    pub notified_nodes: usize,
    /// How many of the attempts the server answered, as far as their outcomes show.
    pub answered: usize,
}

impl SlowStartWindow {
    /// The attempts as a part of the budget.
    pub fn load(&self) -> f64 {
        self.attempts as f64 / self.budget
    }
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

/// How late nodes were notified that a server is draining or removed. Discovery had it, and could be reached, when the
/// first node was notified.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Notification {
    /// The longest since then, of processes that began before the change counted as notified.
    pub longest_delay: Option<NotificationDelay>,
    /// The longest of processes that began later, since their start: they count as notified from their first moment.
    pub longest_after_start: Option<NotificationDelay>,
}

/// How long a node was not notified.
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

/// Requests that were read, on whatever connection, and not answered in time, by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LostRequests {
    /// The process went on past the time of its answer and never gave one.
    pub never_answered: u64,
    /// The answer came after the time at which the request counts as lost.
    pub answered_too_late: u64,
    /// The node closed the connection without an answer.
    pub dropped: u64,
    /// The process ended by itself and had not answered.
    pub open_at_exit: u64,
    /// The process was killed late in its shutdown and had not answered what came within it.
    pub open_at_kill: u64,
    /// Open where the trace of their process ends, and nothing shows why it ended. These do not count as lost.
    pub undetermined: u64,
}

impl LostRequests {
    /// All that are lost for certain.
    pub fn total(&self) -> u64 {
        self.never_answered
            + self.answered_too_late
            + self.dropped
            + self.open_at_exit
            + self.open_at_kill
    }
}

/// What an attempt is to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The request's first attempt.
    First,
    /// An attempt after the outcome of those before it.
    Retry,
    /// An attempt beside one that has no outcome yet.
    Hedge,
    /// A further attempt at the origin, deferred or not.
    OriginCall,
}

/// Attempts for clients that had departed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClientDepartures {
    /// Requests whose clients departed.
    pub departures: u64,
    /// Attempts that began after a departure.
    pub attempts_after: u64,
    /// Those of them that began too late: each is a lost request.
    pub lost: u64,
    /// The latest of them.
    pub latest: Option<AttemptAfterDeparture>,
}

/// An attempt for a client that had departed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptAfterDeparture {
    /// Number of the sending node.
    pub node: u32,
    /// Id of the server.
    pub server: u32,
    /// What the attempt is to its request.
    pub kind: AttemptKind,
    /// The client's name for the request.
    pub client_name: String,
    /// Time since the departure, in microseconds.
    pub elapsed: Micros,
}

/// The deadlines that attempts stated to their servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatedDeadlines {
    /// How many were recorded.
    pub recorded: u64,
    /// How many stated more than is left to the client and the slack.
    pub over_limit: u64,
    /// The one that stated most beyond what was left.
    pub worst: Option<StatedDeadline>,
}

/// A deadline that an attempt stated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatedDeadline {
    /// How much longer it is than what was left to the client, in microseconds; negative where it is shorter.
    pub excess_us: i64,
    /// Number of the sending node.
    pub node: u32,
    /// The client's name for the request.
    pub client_name: String,
    /// Number of the attempt in the request, from 0.
    pub attempt: u16,
}

/// How soon restarted processes were ready.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Restarted processes of which the recording shows whether they were ready in time.
    pub judged: u64,
    /// Those of them that were not.
    pub late: u64,
    /// The process that took longest, ready or not.
    pub slowest: Option<ReadinessDelay>,
    /// Restarted processes that ended, or whose day ended, before their time was up.
    pub undetermined: u64,
}

/// How long a process took to be ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadinessDelay {
    /// Number of the node.
    pub node: u32,
    /// The time, in microseconds; at least this where it was never ready.
    pub delay: Micros,
    /// Whether it was ready in the end.
    pub became_ready: bool,
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

/// Something that the rules depend on and a recording does not show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gap {
    /// No trace tells the work of a request.
    WorkOfRequests,
    /// No trace tells when discovery itself had a change.
    TimeAtDiscovery,
    /// No trace tells of a new configuration.
    Reconfiguration,
    /// No trace tells when bytes came to the node's machine and left it.
    TimeOfBytes,
    /// The traces do not have the deadlines that attempts state.
    StatedDeadlines,
    /// The traces do not tell when a client's close was read.
    TimeOfDeparture,
    /// The traces do not tell whether a node closed a connection itself.
    DroppedRequests,
    /// The traces do not tell when a process was launched and answered `PING`.
    TimeOfReadiness,
    /// The traces do not tell by what a process ended.
    EndOfProcess,
}
