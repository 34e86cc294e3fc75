//! Reads the trace of one node line by line and records the data that the evaluation needs.

use std::collections::HashMap;

use super::availability::StateNotification;
use super::endpoint_list::{EndpointList, ReceivedList};
use super::findings::AttemptKind;
use super::recording::{
    RecordedDeadline, RecordedProcess, RecordedRequest, RecordedSend, Recording, RequestState,
    UnreadyNotification,
};
use crate::trace::{
    self, ListedServer, MalformedLine, Micros, RuleParameters, TraceEvent, TraceLine,
};

/// Id of an attempt within the trace of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptId {
    request: u64,
    attempt: u16,
}

/// State of one process of a node up to the last line read. A log may contain several processes, one after another.
#[derive(Debug, Default)]
pub(super) struct ProcessRecorder {
    node: u32,
    started: Micros,
    origin_kind: i64,
    /// Index of the process in the recording, once a line of it was read.
    process: Option<usize>,
    list: EndpointList,
    /// Indices of the requests in the recording, by request number.
    requests: HashMap<u64, usize>,
    /// Indices of the attempts in flight in the recorded sends.
    attempts_in_flight: HashMap<AttemptId, usize>,
}

impl ProcessRecorder {
    /// Reads the next line of a log, which may or may not be a trace line.
    pub(super) fn read_line(&mut self, text: &str, recording: &mut Recording) {
        match trace::read_line(text) {
            Ok(Some(line)) => self.record(&line, recording),
            Ok(None) => {}
            Err(MalformedLine { line }) => recording.malformed_lines.add(line.trim_end()),
        }
    }

    fn record(&mut self, line: &TraceLine<'_>, recording: &mut Recording) {
        // Any other event ends the list.
        if !matches!(line.event, TraceEvent::ListedServer(_)) {
            self.end_list(recording);
        }
        if let TraceEvent::Started(parameters) = line.event {
            self.restart(line.at, parameters, recording);
        }
        let process = self.process(line.at, recording);
        process.last_line = process.last_line.max(line.at);
        match line.event {
            TraceEvent::ListReceived {
                complete,
                cached,
                version,
            } => self.list.begin(ReceivedList {
                at: line.at,
                is_complete: complete,
                is_cached: cached,
                version,
            }),
            TraceEvent::ListedServer(server) => self.record_server(line.at, server, recording),
            TraceEvent::DiscoveryCalled => recording.discovery_calls.total += 1,
            TraceEvent::DiscoveryFailed => recording.discovery_calls.failed += 1,
            TraceEvent::BecameReady { since_launch } => {
                process.launched = line.at.saturating_sub(since_launch);
                process.ready_at = Some(line.at);
                recording.diagnostics.readiness = true;
            }
            TraceEvent::ShutdownRequested => {
                process.shutdown_requested_at.get_or_insert(line.at);
                recording.diagnostics.shutdown_or_exit = true;
            }
            TraceEvent::Exited => {
                process.has_exited = true;
                recording.diagnostics.shutdown_or_exit = true;
            }
            _ => self.record_request_line(line, recording),
        }
    }

    /// Records a line about a request or an attempt.
    fn record_request_line(&mut self, line: &TraceLine<'_>, recording: &mut Recording) {
        match line.event {
            TraceEvent::RequestReceived {
                request,
                remaining,
                client_request_id,
                ..
            } => self.record_request(line.at, request, remaining, client_request_id, recording),
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
                let id = AttemptId { request, attempt };
                let send = self.attempts_in_flight.remove(&id);
                record_outcome(line.at, send, server, status, recording);
            }
            TraceEvent::RequestEnded {
                request,
                outcome,
                lateness_us,
            } => self.record_end(line.at, request, outcome, lateness_us, recording),
            TraceEvent::ClientDisconnected { request } => {
                if let Some(request) = self.request(request, recording) {
                    request.record_disconnect(line.at);
                }
            }
            TraceEvent::RequestDropped { request } => {
                recording.diagnostics.dropped = true;
                if let Some(request) = self.request(request, recording) {
                    request.state = RequestState::Dropped;
                }
            }
            TraceEvent::DeadlineStated {
                request,
                attempt,
                stated_ms,
            } => self.record_deadline(
                line.at,
                AttemptId { request, attempt },
                stated_ms,
                recording,
            ),
            _ => {}
        }
    }

    /// Starts recording a new process, which replaces the previous one if there was one.
    fn restart(&mut self, at: Micros, parameters: RuleParameters, recording: &mut Recording) {
        let previous = self
            .process
            .and_then(|index| recording.processes.get_mut(index));
        let is_restart = previous.is_some();
        if let Some(previous) = previous {
            previous.is_replaced = true;
        }
        *self = ProcessRecorder {
            node: parameters.node,
            started: at,
            origin_kind: parameters.origin_kind,
            ..ProcessRecorder::default()
        };
        self.process(at, recording).is_restart = is_restart;
        recording.parameters = Some(parameters);
    }

    /// The recorded process. It is created here if needed, because a log that begins in the middle of a trace has no
    /// start line.
    fn process<'a>(&mut self, at: Micros, recording: &'a mut Recording) -> &'a mut RecordedProcess {
        let index = *self.process.get_or_insert(recording.processes.len());
        if index == recording.processes.len() {
            recording.processes.push(RecordedProcess {
                node: self.node,
                launched: at,
                is_restart: false,
                is_replaced: false,
                ready_at: None,
                shutdown_requested_at: None,
                has_exited: false,
                last_line: at,
            });
        }
        &mut recording.processes[index]
    }

    fn record_server(&mut self, at: Micros, server: ListedServer, recording: &mut Recording) {
        recording.kinds.insert(server.id, server.kind);
        if server.ready {
            self.process(at, recording).ready_at.get_or_insert(at);
        }
        let has_become_unready = self.list.set(at, server);
        if !self.list.is_cached() {
            record_start(at, server, recording);
            if server.ready {
                self.record_state(at, server.id, server.started, true, recording);
            }
        }
        if has_become_unready {
            self.record_unready(at, server.id, server.started, recording);
        }
    }

    /// Ends the list and records servers missing from a complete list as removed.
    fn end_list(&mut self, recording: &mut Recording) {
        let removal = self.list.end();
        for server in removal.servers {
            self.record_unready(removal.received, server.id, server.started, recording);
        }
    }

    fn record_unready(&self, at: Micros, server: u32, started: Micros, recording: &mut Recording) {
        self.record_state(at, server, started, false, recording);
        if !self.list.is_cached() {
            recording.unready_notifications.push(UnreadyNotification {
                server,
                at,
                node: self.node,
                process_started: self.started,
            });
        }
    }

    fn record_state(
        &self,
        at: Micros,
        server: u32,
        started: Micros,
        is_ready: bool,
        recording: &mut Recording,
    ) {
        let notification = StateNotification {
            at,
            version: self.list.version(),
            started,
            is_ready,
        };
        recording.availability.add(server, notification);
    }

    fn request<'a>(
        &self,
        id: u64,
        recording: &'a mut Recording,
    ) -> Option<&'a mut RecordedRequest> {
        let index = *self.requests.get(&id)?;
        recording.requests.get_mut(index)
    }

    fn record_request(
        &mut self,
        at: Micros,
        id: u64,
        remaining: Micros,
        client_request_id: &str,
        recording: &mut Recording,
    ) {
        self.requests.insert(id, recording.requests.len());
        recording.requests.push(RecordedRequest {
            process: self.process.unwrap_or_default(),
            client_request_id: client_request_id.into(),
            received_at: at,
            deadline: at + remaining,
            state: RequestState::Open,
            disconnected_at: None,
        });
    }

    fn record_send(&mut self, at: Micros, id: AttemptId, server: u32, recording: &mut Recording) {
        let known = self.list.server(server);
        let kind = self.attempt_kind(id, recording.kind_of(server));
        self.attempts_in_flight.insert(id, recording.sends.len());
        recording.sends.push(RecordedSend {
            at,
            server,
            node: self.node,
            request: self.requests.get(&id.request).copied(),
            kind,
            known_start: known.started,
            unready_since: known.unready_since,
            answered: false,
        });
    }

    fn attempt_kind(&self, id: AttemptId, server_kind: i64) -> AttemptKind {
        if id.attempt == 0 {
            return AttemptKind::First;
        }
        if server_kind == self.origin_kind {
            return AttemptKind::OriginCall;
        }
        let request = id.request;
        let mut earlier = (0..id.attempt).map(|attempt| AttemptId { request, attempt });
        if earlier.any(|earlier| self.attempts_in_flight.contains_key(&earlier)) {
            return AttemptKind::Hedge;
        }
        AttemptKind::Retry
    }

    fn record_deadline(
        &self,
        at: Micros,
        id: AttemptId,
        stated_ms: u64,
        recording: &mut Recording,
    ) {
        recording.diagnostics.deadline = true;
        if let Some(&request) = self.requests.get(&id.request) {
            recording.deadlines.push(RecordedDeadline {
                at,
                request,
                attempt: id.attempt,
                stated: stated_ms * 1_000,
            });
        }
    }

    fn record_end(
        &self,
        at: Micros,
        id: u64,
        outcome: &str,
        lateness_us: i64,
        recording: &mut Recording,
    ) {
        *recording.outcomes.entry(outcome.into()).or_default() += 1;
        let Some(request) = self.request(id, recording) else {
            return;
        };
        if request.state == RequestState::Dropped {
            return; // The node also reports a dropped request as `gone`.
        }
        if outcome == "gone" {
            let is_recorded = request.disconnected_at.is_some();
            request.state = RequestState::Disconnected;
            request.record_disconnect(at);
            recording.diagnostics.lacks_disconnects |= !is_recorded;
        } else {
            request.state = RequestState::Answered { lateness_us };
        }
    }
}

fn record_start(at: Micros, server: ListedServer, recording: &mut Recording) {
    let starts = recording.starts.entry(server.id).or_default();
    let first_notified = starts.entry(server.started).or_insert(at);
    *first_notified = (*first_notified).min(at);
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
        // The attempt caused work on a warm server even if nobody waited for it, but does not show that the server
        // could finish it in time.
        "TimedOut" | "Cancelled" => recording.answers.entry(server).or_default().push(at),
        "Full" => recording.rejections.entry(server).or_default().push(at),
        _ => {}
    }
}
