//! Follows one node's trace, line by line, and records what the evaluation needs.

use std::collections::HashMap;

use super::recording::{RecordedSend, Recording, UnreadyNotification};
use super::report::{ANSWER_LOST_AFTER_US, AnswerLateness};
use crate::trace::{self, BrokenLine, ListedServer, Micros, RuleParameters, TraceEvent, TraceLine};

/// What a node's list says of a server.
#[derive(Debug, Default, Clone, Copy)]
struct KnownServer {
    /// Its last start; 0 for long ago.
    started: Micros,
    /// Since when it is not ready, if it is not.
    unready_since: Option<Micros>,
}

/// A complete list that is being read.
#[derive(Debug)]
struct CompleteList {
    received: Micros,
    /// The servers that it has named so far.
    named: Vec<u32>,
}

/// A request without a final answer.
#[derive(Debug)]
struct OpenRequest {
    deadline: Micros,
    client_name: String,
}

/// An attempt, as the lines of one process name it.
#[derive(Debug, PartialEq, Eq, Hash)]
struct AttemptId {
    request: u64,
    attempt: u16,
}

/// The state of one process of a node, as far as its log was read. A log may hold several, one after another.
#[derive(Debug, Default)]
pub(super) struct ProcessRecorder {
    node: u32,
    started: Micros,
    servers: HashMap<u32, KnownServer>,
    complete_list: Option<CompleteList>,
    /// Whether the list that is being read is the saved one that a process starts with, which notifies of nothing.
    list_is_cached: bool,
    open_requests: HashMap<u64, OpenRequest>,
    /// Indices of the attempts in flight among all recorded sends.
    attempts_in_flight: HashMap<AttemptId, usize>,
    last_line: Micros,
}

impl ProcessRecorder {
    /// Takes the next line of a log, part of a trace or not.
    pub(super) fn read_line(&mut self, text: &str, recording: &mut Recording) {
        match trace::read_line(text) {
            Ok(Some(line)) => self.record(&line, recording),
            Ok(None) => {}
            Err(BrokenLine { line }) => recording.broken_lines.add(line.trim_end()),
        }
    }

    fn record(&mut self, line: &TraceLine<'_>, recording: &mut Recording) {
        // A list ends where another event begins.
        if !matches!(line.event, TraceEvent::ListedServer(_)) {
            self.end_list(recording);
        }
        if let TraceEvent::Started(parameters) = line.event {
            self.restart(line.at, parameters, recording);
        }
        self.last_line = line.at;
        match line.event {
            TraceEvent::Started(_) => {}
            TraceEvent::ListReceived { complete, cached } => {
                self.begin_list(line.at, complete, cached);
            }
            TraceEvent::ListedServer(server) => self.record_server(line.at, server, recording),
            TraceEvent::RequestReceived {
                request,
                remaining,
                client_name,
                ..
            } => self.record_request(request, line.at + remaining, client_name),
            TraceEvent::AttemptSent {
                request,
                attempt,
                server,
            } => self.record_send(line.at, AttemptId { request, attempt }, server, recording),
            TraceEvent::AttemptEnded {
                request,
                attempt,
                server,
                status,
            } => {
                let send = self
                    .attempts_in_flight
                    .remove(&AttemptId { request, attempt });
                record_outcome(line.at, send, server, status, recording);
            }
            TraceEvent::RequestEnded {
                request,
                outcome,
                lateness_us,
            } => self.record_answer(request, outcome, lateness_us, recording),
            TraceEvent::DiscoveryCalled => recording.discovery_calls.total += 1,
            TraceEvent::DiscoveryFailed => recording.discovery_calls.failed += 1,
        }
    }

    /// Ends the process before this one, if there was one, and begins anew.
    fn restart(&mut self, at: Micros, parameters: RuleParameters, recording: &mut Recording) {
        self.end(recording);
        *self = ProcessRecorder {
            node: parameters.node,
            started: at,
            ..ProcessRecorder::default()
        };
        recording.parameters = Some(parameters);
    }

    fn begin_list(&mut self, at: Micros, complete: bool, cached: bool) {
        self.complete_list = complete.then(|| CompleteList {
            received: at,
            named: Vec::new(),
        });
        self.list_is_cached = cached;
    }

    fn record_server(&mut self, at: Micros, server: ListedServer, recording: &mut Recording) {
        if let Some(list) = &mut self.complete_list {
            list.named.push(server.id);
        }
        recording.kinds.insert(server.id, server.kind);
        if !self.list_is_cached {
            record_start(at, server, recording);
        }
        let known = self.servers.entry(server.id).or_default();
        known.started = known.started.max(server.started);
        let was_unready_since = known.unready_since;
        known.unready_since = (!server.ready).then(|| was_unready_since.unwrap_or(at));
        if !server.ready && was_unready_since.is_none() {
            self.record_unready(server.id, at, recording);
        }
    }

    /// Servers that a complete list has not named are removed.
    fn end_list(&mut self, recording: &mut Recording) {
        let Some(CompleteList { received, named }) = self.complete_list.take() else {
            return;
        };
        let mut removed = Vec::new();
        for (server, known) in &mut self.servers {
            if named.contains(server) || known.unready_since.is_some() {
                continue;
            }
            known.unready_since = Some(received);
            removed.push(*server);
        }
        for server in removed {
            self.record_unready(server, received, recording);
        }
    }

    fn record_unready(&self, server: u32, at: Micros, recording: &mut Recording) {
        recording
            .unready_notifications
            .entry(server)
            .or_default()
            .push(at);
        recording.notifications.push(UnreadyNotification {
            server,
            at,
            node: self.node,
            process_started: self.started,
        });
    }

    fn record_request(&mut self, request: u64, deadline: Micros, client_name: &str) {
        let open = OpenRequest {
            deadline,
            client_name: client_name.into(),
        };
        self.open_requests.insert(request, open);
    }

    fn record_send(&mut self, at: Micros, id: AttemptId, server: u32, recording: &mut Recording) {
        let known = self.servers.get(&server).copied().unwrap_or_default();
        self.attempts_in_flight.insert(id, recording.sends.len());
        recording.sends.push(RecordedSend {
            at,
            server,
            node: self.node,
            known_start: known.started,
            unready_since: known.unready_since,
            answered: false,
        });
    }

    fn record_answer(
        &mut self,
        request: u64,
        outcome: &str,
        lateness_us: i64,
        recording: &mut Recording,
    ) {
        let open = self.open_requests.remove(&request);
        *recording.outcomes.entry(outcome.into()).or_default() += 1;
        let latest = recording.latest_answer.as_ref();
        let latest_us = latest.map_or(i64::MIN, |answer| answer.lateness_us);
        // Nobody waits for the answer of a client that has disconnected.
        if outcome == "gone" || lateness_us <= latest_us {
            return;
        }
        if let Some(open) = open {
            recording.latest_answer = Some(AnswerLateness {
                lateness_us,
                client_name: open.client_name,
            });
        }
    }

    /// Counts the requests that were never answered: those whose deadline the process outlived. What a killed process
    /// had in flight is sent again by its clients and does not count.
    pub(super) fn end(&mut self, recording: &mut Recording) {
        let lost = |request: &&OpenRequest| {
            request.deadline + ANSWER_LOST_AFTER_US.unsigned_abs() < self.last_line
        };
        recording.unanswered += self.open_requests.values().filter(lost).count() as u64;
        self.open_requests.clear();
    }
}

fn record_start(at: Micros, server: ListedServer, recording: &mut Recording) {
    let first_heard = recording
        .starts
        .entry(server.id)
        .or_default()
        .entry(server.started)
        .or_insert(at);
    *first_heard = (*first_heard).min(at);
    if server.ready {
        recording
            .ready_notifications
            .entry(server.id)
            .or_default()
            .push(at);
    }
}

fn record_outcome(
    at: Micros,
    send: Option<usize>,
    server: u32,
    status: &str,
    recording: &mut Recording,
) {
    match status {
        "Served" | "Miss" | "Error" => {
            if let Some(send) = send {
                recording.sends[send].answered = true;
            }
            recording.answers.entry(server).or_default().push(at);
        }
        // Work to a warm server, whoever still waits, but no proof that it could be done in time.
        "TimedOut" | "Cancelled" => recording.answers.entry(server).or_default().push(at),
        "Full" => recording.rejections.entry(server).or_default().push(at),
        _ => {}
    }
}
