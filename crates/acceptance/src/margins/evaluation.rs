//! Computes the margins of a recorded run: for each rule, the event that came closest to its limit.

use super::findings::{
    AnswerLateness, AttemptAfterDisconnect, ClientDisconnects, Margins, MissingData,
    StatedDeadline, StatedDeadlines,
};
use super::limits::{DISCONNECT_GRACE_US, STATED_DEADLINE_SLACK_US};
use super::recording::{
    DiagnosticLines, RecordedDeadline, RecordedRequest, RecordedSend, Recording, RequestState,
};
use super::{capacity, lost_requests, notification, readiness, slow_start};
use crate::trace::{Micros, RuleParameters};

/// Evaluates a recording. Its events must be sorted.
pub(super) fn evaluate(recording: Recording, parameters: RuleParameters) -> Margins {
    let capacity = capacity::by_kind(&recording, &parameters);
    Margins {
        slow_start: slow_start::evaluate(&recording, &parameters, &capacity),
        send_after_drain: notification::latest_send_after_drain(&recording),
        notification: notification::evaluate(&recording),
        latest_answer: latest_answer(&recording),
        lost_requests: lost_requests::evaluate(&recording),
        client_disconnects: client_disconnects(&recording),
        stated_deadlines: stated_deadlines(&recording),
        readiness: readiness::evaluate(&recording),
        missing_data: missing_data(recording.diagnostics),
        parameters,
        capacity,
        outcomes: recording.outcomes,
        discovery_calls: recording.discovery_calls,
        malformed_lines: recording.malformed_lines,
    }
}

fn latest_answer(recording: &Recording) -> Option<AnswerLateness> {
    let mut latest: Option<AnswerLateness> = None;
    for request in &recording.requests {
        let RequestState::Answered { lateness_us } = request.state else {
            continue;
        };
        if latest
            .as_ref()
            .is_none_or(|latest| lateness_us > latest.lateness_us)
        {
            latest = Some(AnswerLateness {
                lateness_us,
                client_request_id: request.client_request_id.clone(),
            });
        }
    }
    latest
}

/// The attempts that began after their clients disconnected.
fn client_disconnects(recording: &Recording) -> ClientDisconnects {
    let disconnected = |request: &&RecordedRequest| request.disconnected_at.is_some();
    let mut found = ClientDisconnects {
        disconnects: recording.requests.iter().filter(disconnected).count() as u64,
        ..ClientDisconnects::default()
    };
    for send in &recording.sends {
        let Some(request) = send.request.map(|index| &recording.requests[index]) else {
            continue;
        };
        let Some(elapsed) = time_since_disconnect(send, request) else {
            continue;
        };
        found.attempts_after += 1;
        found.lost += u64::from(elapsed > DISCONNECT_GRACE_US);
        if found
            .latest
            .as_ref()
            .is_none_or(|latest| elapsed > latest.elapsed)
        {
            found.latest = Some(AttemptAfterDisconnect {
                node: send.node,
                server: send.server,
                kind: send.kind,
                client_request_id: request.client_request_id.clone(),
                elapsed,
            });
        }
    }
    found
}

/// Time from the client's disconnect to the start of an attempt, if the attempt began later.
fn time_since_disconnect(send: &RecordedSend, request: &RecordedRequest) -> Option<Micros> {
    let disconnected_at = request.disconnected_at?;
    send.at
        .checked_sub(disconnected_at)
        .filter(|elapsed| *elapsed > 0)
}

/// Compares the deadlines that attempts stated with the time left to their clients.
fn stated_deadlines(recording: &Recording) -> StatedDeadlines {
    let mut found = StatedDeadlines::default();
    for deadline in &recording.deadlines {
        let request = &recording.requests[deadline.request];
        let excess_us = excess_over_remaining(deadline, request);
        found.recorded += 1;
        found.over_limit += u64::from(excess_us > STATED_DEADLINE_SLACK_US as i64);
        if found
            .worst
            .as_ref()
            .is_none_or(|worst| excess_us > worst.excess_us)
        {
            found.worst = Some(StatedDeadline {
                excess_us,
                node: recording.processes[request.process].node,
                client_request_id: request.client_request_id.clone(),
                attempt: deadline.attempt,
            });
        }
    }
    found
}

fn excess_over_remaining(deadline: &RecordedDeadline, request: &RecordedRequest) -> i64 {
    let remaining_us = request.deadline as i64 - deadline.at as i64;
    deadline.stated as i64 - remaining_us
}

/// The data that the recording lacks.
fn missing_data(lines: DiagnosticLines) -> Vec<MissingData> {
    let always = [
        MissingData::RequestWork,
        MissingData::DiscoveryUpdateTime,
        MissingData::Reconfiguration,
        MissingData::ByteTransferTime,
    ];
    let unless_recorded = [
        (lines.deadline, MissingData::StatedDeadlines),
        (!lines.lacks_disconnects, MissingData::DisconnectTime),
        (lines.dropped, MissingData::DroppedRequests),
        (lines.readiness, MissingData::ReadinessTime),
        (lines.shutdown_or_exit, MissingData::ProcessEndCause),
    ];
    let missing = unless_recorded
        .into_iter()
        .filter(|(is_recorded, _)| !is_recorded);
    always
        .into_iter()
        .chain(missing.map(|(_, data)| data))
        .collect()
}
