//! What was seen in all traces of a run, in the form that the evaluation needs.

use std::collections::{BTreeMap, HashMap};

use super::availability::Availability;
use super::findings::{AttemptKind, BrokenLines, DiscoveryCalls};
use super::limits::NOTIFIED_AFTER;
use crate::trace::{Micros, RuleParameters};

/// A process of a node.
#[derive(Debug)]
pub(super) struct RecordedProcess {
    pub(super) node: u32,
    /// When it was launched, or its trace began where that does not tell.
    pub(super) launched: Micros,
    /// Whether its node had a process before.
    pub(super) is_restart: bool,
    /// Whether its node had another process after it.
    pub(super) is_replaced: bool,
    /// When it was ready, or had a ready server in its list where its trace does not tell.
    pub(super) ready_at: Option<Micros>,
    /// When it was asked to shut down.
    pub(super) shutdown_requested_at: Option<Micros>,
    /// Whether it ended by itself.
    pub(super) has_exited: bool,
    /// When its last line was written.
    pub(super) last_line: Micros,
}

/// What became of a request, as far as its node tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// It has no final answer.
    Open,
    /// It has its final answer, so long after its deadline.
    Answered { lateness_us: i64 },
    /// Its client has departed.
    Departed,
    /// The node closed its connection.
    Dropped,
}

/// A request that a node has read.
#[derive(Debug)]
pub(super) struct RecordedRequest {
    /// Index of the process.
    pub(super) process: usize,
    pub(super) client_name: String,
    pub(super) received_at: Micros,
    pub(super) deadline: Micros,
    pub(super) state: RequestState,
    /// When the node noticed that the client had departed.
    pub(super) departed_at: Option<Micros>,
}

impl RecordedRequest {
    /// The client departed, as one of possibly several lines tells.
    pub(super) fn depart(&mut self, at: Micros) {
        let earliest = self.departed_at.map_or(at, |earlier| earlier.min(at));
        self.departed_at = Some(earliest);
    }
}

/// An attempt that was sent.
#[derive(Debug)]
pub(super) struct RecordedSend {
    pub(super) at: Micros,
    pub(super) server: u32,
    pub(super) node: u32,
    /// Index of the request, if its line was seen.
    pub(super) request: Option<usize>,
    pub(super) kind: AttemptKind,
    /// The last start of the server that the node's list had; 0 for long ago.
    pub(super) known_start: Micros,
    /// When the node's list first had the server not ready, if it did.
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
    /// How long the server is told that the node will wait.
    pub(super) stated: Micros,
}

/// A node's notification that a server is not ready any more.
#[derive(Debug)]
pub(super) struct UnreadyNotification {
    pub(super) server: u32,
    pub(super) at: Micros,
    pub(super) node: u32,
    /// When the node's process started.
    pub(super) process_started: Micros,
}

/// The last start of a server before some send to it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownStart {
    /// When it started; 0 for long ago.
    pub(super) at: Micros,
    /// Whether the sending node knew of it or counts as notified.
    pub(super) is_node_notified: bool,
}

/// Times of events, for each server.
pub(super) type TimesByServer = HashMap<u32, Vec<Micros>>;

/// All that was seen in one run.
#[derive(Debug, Default)]
pub(super) struct Recording {
    /// The settings, as the process that was read last has them.
    pub(super) parameters: Option<RuleParameters>,
    pub(super) processes: Vec<RecordedProcess>,
    pub(super) requests: Vec<RecordedRequest>,
    pub(super) sends: Vec<RecordedSend>,
    pub(super) deadlines: Vec<RecordedDeadline>,
    /// The kind of each server.
    pub(super) kinds: HashMap<u32, i64>,
    /// The starts of each server that discovery reported, with the time at which a node first heard of each.
    pub(super) starts: HashMap<u32, BTreeMap<Micros, Micros>>,
    /// When servers were ready and when not, as all nodes together were notified.
    pub(super) availability: Availability,
    /// What each node was notified of servers that are not ready, by other than a saved list.
    pub(super) unready_notifications: Vec<UnreadyNotification>,
    /// When servers ended an attempt that was work to them.
    pub(super) answers: TimesByServer,
    /// When servers rejected an attempt.
    pub(super) rejections: TimesByServer,
    /// Final answers, by how they ended.
    pub(super) outcomes: BTreeMap<String, u64>,
    pub(super) discovery_calls: DiscoveryCalls,
    pub(super) broken_lines: BrokenLines,
    pub(super) diagnostics: DiagnosticLines,
}

/// Which of the lines that a node may leave out the traces have, or lack.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DiagnosticLines {
    pub(super) readiness: bool,
    pub(super) shutdown_or_exit: bool,
    /// Whether a departure was only told by the end of its request.
    pub(super) lacks_departures: bool,
    pub(super) dropped: bool,
    pub(super) deadline: bool,
}

impl Recording {
    /// Sorts all events by time, as the look-ups below need them.
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

    /// When the last line of all traces was written.
    pub(super) fn end_of_day(&self) -> Micros {
        let last_lines = self.processes.iter().map(|process| process.last_line);
        last_lines.max().unwrap_or(0)
    }

    /// The last start of a send's server before the send.
    pub(super) fn start_before(&self, send: &RecordedSend) -> KnownStart {
        let starts = self.starts.get(&send.server);
        let last = starts.and_then(|starts| starts.range(..=send.at).next_back());
        let (start, first_heard) = last.map_or((0, 0), |(start, heard)| (*start, *heard));
        KnownStart {
            at: start,
            is_node_notified: send.known_start >= start || send.at >= first_heard + NOTIFIED_AFTER,
        }
    }

    /// The last start of a server that discovery reported; 0 where there is none.
    pub(super) fn last_start(&self, server: u32) -> Micros {
        let starts = self.starts.get(&server);
        let last = starts.and_then(|starts| starts.keys().next_back());
        last.copied().unwrap_or(0)
    }
}
