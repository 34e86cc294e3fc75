//! The events of all traces of a run, in the form that the evaluation needs.

use std::collections::{BTreeMap, HashMap};

use super::availability::Availability;
use super::findings::{AttemptKind, DiscoveryCalls, MalformedLines};
use super::limits::COUNTS_AS_NOTIFIED_AFTER_US;
use crate::trace::{Micros, RuleParameters};

/// A process of a node.
#[derive(Debug)]
pub(super) struct RecordedProcess {
    pub(super) node: u32,
    /// Time of its launch, or of the start of its trace if the trace does not contain the launch time.
    pub(super) launched: Micros,
    /// Whether its node had an earlier process.
    pub(super) is_restart: bool,
    /// Whether its node had a later process.
    pub(super) is_replaced: bool,
    /// Time at which it was ready, or first had a ready server in its list if its trace does not contain the former.
    pub(super) ready_at: Option<Micros>,
    /// Time at which it was asked to shut down.
    pub(super) shutdown_requested_at: Option<Micros>,
    /// Whether it exited on its own.
    pub(super) has_exited: bool,
    /// Time at which its last line was written.
    pub(super) last_line: Micros,
}

/// State of a request according to the trace of its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// The request has no final answer.
    Open,
    /// The request has its final answer. `lateness_us` is the time after its deadline.
    Answered { lateness_us: i64 },
    /// The client has disconnected.
    Disconnected,
    /// The node closed the connection of the request.
    Dropped,
}

/// A request that a node has read.
#[derive(Debug)]
pub(super) struct RecordedRequest {
    /// Index of the process.
    pub(super) process: usize,
    pub(super) client_request_id: String,
    pub(super) received_at: Micros,
    pub(super) deadline: Micros,
    pub(super) state: RequestState,
    /// Time at which the node noticed that the client had disconnected.
    pub(super) disconnected_at: Option<Micros>,
}

impl RecordedRequest {
    /// Records a disconnect of the client. If several lines report it, the earliest one counts.
    pub(super) fn record_disconnect(&mut self, at: Micros) {
        let earliest = self.disconnected_at.map_or(at, |earlier| earlier.min(at));
        self.disconnected_at = Some(earliest);
    }
}

/// An attempt that was sent.
#[derive(Debug)]
pub(super) struct RecordedSend {
    pub(super) at: Micros,
    pub(super) server: u32,
    pub(super) node: u32,
    /// Index of the request, if the trace contains it.
    pub(super) request: Option<usize>,
    pub(super) kind: AttemptKind,
    /// Last start of the server in the node's list; 0 if that was long ago.
    pub(super) known_start: Micros,
    /// Time since which the node's list had the server as not ready, if it did.
    pub(super) unready_since: Option<Micros>,
    /// Whether the server answered it, as far as its outcome shows.
    pub(super) answered: bool,
}

/// A deadline that an attempt stated to its server.
#[derive(Debug)]
pub(super) struct RecordedDeadline {
    pub(super) at: Micros,
    /// Index of the request.
    pub(super) request: usize,
    pub(super) attempt: u16,
    /// Time that the node will wait for the server, as stated to the server.
    pub(super) stated: Micros,
}

/// A notification of a node that a server is no longer ready.
#[derive(Debug)]
pub(super) struct UnreadyNotification {
    pub(super) server: u32,
    pub(super) at: Micros,
    pub(super) node: u32,
    /// Start time of the node's process.
    pub(super) process_started: Micros,
}

/// The last start of a server before a send to it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownStart {
    /// Time of the start; 0 if that was long ago.
    pub(super) at: Micros,
    /// Whether the sending node knew of the start or counts as notified of it.
    pub(super) is_node_notified: bool,
}

/// Times of events by server id.
pub(super) type TimesByServer = HashMap<u32, Vec<Micros>>;

/// All recorded events of one run.
#[derive(Debug, Default)]
pub(super) struct Recording {
    /// The settings of the process that was read last.
    pub(super) parameters: Option<RuleParameters>,
    pub(super) processes: Vec<RecordedProcess>,
    pub(super) requests: Vec<RecordedRequest>,
    pub(super) sends: Vec<RecordedSend>,
    pub(super) deadlines: Vec<RecordedDeadline>,
    /// Kind of each server.
    pub(super) kinds: HashMap<u32, i64>,
    /// Starts of each server that discovery reported, each with the time at which the first node was notified of it.
    pub(super) starts: HashMap<u32, BTreeMap<Micros, Micros>>,
    /// Periods in which servers were not ready, from the notifications of all nodes.
    pub(super) availability: Availability,
    /// Notifications of all nodes that a server is no longer ready. Cached lists are not notifications.
    pub(super) unready_notifications: Vec<UnreadyNotification>,
    /// Times at which attempts ended that had caused work on the server.
    pub(super) answers: TimesByServer,
    /// Times at which servers rejected an attempt.
    pub(super) rejections: TimesByServer,
    /// Number of ended requests, by outcome.
    pub(super) outcomes: BTreeMap<String, u64>,
    pub(super) discovery_calls: DiscoveryCalls,
    pub(super) malformed_lines: MalformedLines,
    pub(super) diagnostics: DiagnosticLines,
}

/// Which of the optional lines the traces contain.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DiagnosticLines {
    pub(super) readiness: bool,
    pub(super) shutdown_or_exit: bool,
    /// Whether a disconnect was recorded only by the end of its request.
    pub(super) lacks_disconnects: bool,
    pub(super) dropped: bool,
    pub(super) deadline: bool,
}

impl Recording {
    /// Sorts all events by time, as the lookups below require.
    pub(super) fn sort(&mut self) {
        for times in [&mut self.answers, &mut self.rejections] {
            times.values_mut().for_each(|times| times.sort_unstable());
        }
        self.availability.find_periods();
        self.sends.sort_by_key(|send| send.at);
    }

    pub(super) fn kind_of(&self, server: u32) -> i64 {
        self.kinds.get(&server).copied().unwrap_or(-1)
    }

    /// Time of the last line of all traces.
    pub(super) fn end_of_day(&self) -> Micros {
        let last_lines = self.processes.iter().map(|process| process.last_line);
        last_lines.max().unwrap_or(0)
    }

    /// The last start of the server of a send before the send.
    pub(super) fn start_before(&self, send: &RecordedSend) -> KnownStart {
        let starts = self.starts.get(&send.server);
        let last = starts.and_then(|starts| starts.range(..=send.at).next_back());
        let (start, first_notified) = last.map_or((0, 0), |(start, notified)| (*start, *notified));
        KnownStart {
            at: start,
            is_node_notified: send.known_start >= start
                || send.at >= first_notified + COUNTS_AS_NOTIFIED_AFTER_US,
        }
    }

    /// The last start of a server that discovery reported; 0 if there is none.
    pub(super) fn last_start(&self, server: u32) -> Micros {
        let starts = self.starts.get(&server);
        let last = starts.and_then(|starts| starts.keys().next_back());
        last.copied().unwrap_or(0)
    }
}
