//! The results of the evaluation of a run for each rule.

use std::collections::BTreeMap;

use crate::trace::{Micros, RuleParameters};

/// The margins of one run.
#[derive(Debug)]
pub struct Margins {
    /// Settings that the limits of the rules depend on.
    pub parameters: RuleParameters,
    /// Load on restarted servers while they warmed up.
    pub slow_start: SlowStart,
    /// The latest send to a server after its node was notified that the server is draining or removed.
    pub send_after_drain: Option<SendAfterDrain>,
    /// Delay until nodes were notified that a server is draining or removed.
    pub notification: Notification,
    /// The latest final answer.
    pub latest_answer: Option<AnswerLateness>,
    /// Requests that were read and not answered in time.
    pub lost_requests: LostRequests,
    /// Attempts for clients that had disconnected.
    pub client_disconnects: ClientDisconnects,
    /// Deadlines that attempts stated to their servers.
    pub stated_deadlines: StatedDeadlines,
    /// Time until restarted processes were ready.
    pub readiness: Readiness,
    /// Capacity of a warm server of each kind.
    pub capacity: BTreeMap<i64, Capacity>,
    /// Number of ended requests, by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Calls to discovery.
    pub discovery_calls: DiscoveryCalls,
    /// Trace lines that could not be parsed.
    pub malformed_lines: MalformedLines,
    /// Data that the recording lacks.
    pub missing_data: Vec<MissingData>,
}

/// Load on restarted servers while they warmed up.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SlowStart {
    /// The worst window of each server start that was followed by attempts, worst first.
    pub worst_windows: Vec<SlowStartWindow>,
    /// Number of server starts that were followed by attempts but whose capacity is unknown because no warm server of
    /// the kind answered.
    pub starts_of_unknown_capacity: usize,
}

/// Attempts that one warming-up server received in a window, from all nodes together.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStartWindow {
    /// Id of the server.
    pub server: u32,
    /// Kind of the server.
    pub kind: i64,
    /// End of the window, in microseconds after the server's start.
    pub end_after_start: Micros,
    /// Number of attempts in the window.
    pub attempts: usize,
    /// Number of attempts beyond which the server collapses.
    pub budget: f64,
    /// Number of attempts from nodes that had been notified of this start.
    pub notified_attempts: usize,
    /// Number of nodes that sent the attempts.
    pub nodes: usize,
    /// Number of these nodes that had been notified of this start.
    pub notified_nodes: usize,
    /// Number of attempts that the server answered, as far as their outcomes show.
    pub answered: usize,
}

impl SlowStartWindow {
    /// The attempts as a fraction of the budget.
    pub fn load(&self) -> f64 {
        self.attempts as f64 / self.budget
    }
}

/// A send to a server that was draining or had been removed.
#[derive(Debug, Clone, PartialEq)]
pub struct SendAfterDrain {
    /// Id of the server.
    pub server: u32,
    /// Number of the sending node.
    pub node: u32,
    /// Time since the node was notified or counts as notified, in microseconds.
    pub elapsed: Micros,
    /// Whether the node's own list showed that the server was draining or removed.
    pub in_own_list: bool,
}

/// Delay until nodes were notified that a server is draining or removed. The delay is measured from the time at which
/// the first node was notified, since discovery had the change and was reachable by then.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Notification {
    /// The longest delay of processes that started before the change counted as notified.
    pub longest_delay: Option<NotificationDelay>,
    /// The longest delay of processes that started later. It is measured from their start, since they count as notified
    /// from then on.
    pub longest_after_start: Option<NotificationDelay>,
}

/// Delay until a node was notified.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct NotificationDelay {
    /// The delay, in microseconds.
    pub delay: Micros,
    /// Number of the node.
    pub node: u32,
}

/// Lateness of a final answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerLateness {
    /// Time after the deadline of the request, in microseconds; negative if the answer was earlier.
    pub lateness_us: i64,
    /// Id that the client assigned to the request.
    pub client_request_id: String,
}

/// Requests that were read, on any connection, and not answered in time, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LostRequests {
    /// The process ran past the time limit of the answer and never sent one.
    pub never_answered: u64,
    /// The answer was sent after the time at which the request counts as lost.
    pub answered_too_late: u64,
    /// The node closed the connection without an answer.
    pub dropped: u64,
    /// The process exited on its own before it answered.
    pub open_at_exit: u64,
    /// The process was killed late in its shutdown before it answered a request that was received during the shutdown.
    pub open_at_kill: u64,
    /// The request was open at the end of the trace of its process, and nothing shows why the trace ends. It does not
    /// count as lost.
    pub undetermined: u64,
}

impl LostRequests {
    /// Number of requests that were certainly lost.
    pub fn total(&self) -> u64 {
        self.never_answered
            + self.answered_too_late
            + self.dropped
            + self.open_at_exit
            + self.open_at_kill
    }
}

/// Role of an attempt in its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The request's first attempt.
    First,
    /// An attempt after all earlier attempts have ended.
    Retry,
    /// An attempt while an earlier one is still in flight.
    Hedge,
    /// A further attempt at the origin, deferred or not.
    OriginCall,
}

/// Attempts for clients that had disconnected.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClientDisconnects {
    /// Number of requests whose clients disconnected.
    pub disconnects: u64,
    /// Number of attempts that began after the disconnect of their client.
    pub attempts_after: u64,
    /// Number of these attempts that began too late. Each is a lost request.
    pub lost: u64,
    /// The latest of these attempts.
    pub latest: Option<AttemptAfterDisconnect>,
}

/// An attempt for a client that had disconnected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptAfterDisconnect {
    /// Number of the sending node.
    pub node: u32,
    /// Id of the server.
    pub server: u32,
    /// Role of the attempt in its request.
    pub kind: AttemptKind,
    /// Id that the client assigned to the request.
    pub client_request_id: String,
    /// Time since the disconnect, in microseconds.
    pub elapsed: Micros,
}

/// Deadlines that attempts stated to their servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatedDeadlines {
    /// Number of recorded deadlines.
    pub recorded: u64,
    /// Number of deadlines that exceeded the time left to the client by more than the slack.
    pub over_limit: u64,
    /// The deadline that exceeded the time left by the most.
    pub worst: Option<StatedDeadline>,
}

/// A deadline that an attempt stated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatedDeadline {
    /// Time by which it exceeded the time left to the client, in microseconds; negative if it was shorter.
    pub excess_us: i64,
    /// Number of the sending node.
    pub node: u32,
    /// Id that the client assigned to the request.
    pub client_request_id: String,
    /// Number of the attempt in the request, from 0.
    pub attempt: u16,
}

/// Time until restarted processes were ready.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Number of restarted processes for which the recording shows whether they were ready in time.
    pub judged: u64,
    /// Number of these processes that were not ready in time.
    pub late: u64,
    /// The process that took longest, whether it became ready or not.
    pub slowest: Option<ReadinessDelay>,
    /// Number of restarted processes that ended, or whose day ended, before their time limit.
    pub undetermined: u64,
}

/// Time that a process took to be ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadinessDelay {
    /// Number of the node.
    pub node: u32,
    /// The time in microseconds; a lower bound if the process never became ready.
    pub delay: Micros,
    /// Whether the process became ready.
    pub became_ready: bool,
}

/// Capacity of a warm server of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Attempts that it answers per second.
    pub attempts_per_s: f64,
    /// Whether this was observed while servers of the kind were saturated. Otherwise it is a lower bound.
    pub is_saturated: bool,
}

/// Calls to discovery.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DiscoveryCalls {
    /// Number of calls.
    pub total: u64,
    /// Number of failed calls.
    pub failed: u64,
}

/// Trace lines that could not be parsed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MalformedLines {
    /// Number of these lines.
    pub count: u64,
    /// The first of these lines.
    pub first: String,
}

impl MalformedLines {
    /// Counts a line.
    pub(super) fn add(&mut self, line: &str) {
        if self.count == 0 {
            self.first = line.into();
        }
        self.count += 1;
    }
}

/// Data that the rules depend on and a recording lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingData {
    /// No trace contains the work of a request.
    RequestWork,
    /// No trace contains the time at which discovery itself had a change.
    DiscoveryUpdateTime,
    /// No trace contains changes of the configuration.
    Reconfiguration,
    /// No trace contains the times at which bytes arrived at and left the node's machine.
    ByteTransferTime,
    /// The traces lack the deadlines that attempts stated.
    StatedDeadlines,
    /// The traces lack the times at which the close of a client was read.
    DisconnectTime,
    /// The traces do not show whether a node closed a connection itself.
    DroppedRequests,
    /// The traces do not show when a process was launched and first answered `PING`.
    ReadinessTime,
    /// The traces do not show why a process ended.
    ProcessEndCause,
}
