//! The margins of a recorded run: for each rule the event that came nearest to its limit.

use super::findings::{
    AnswerLateness, AttemptAfterDeparture, ClientDepartures, Gap, Margins, StatedDeadline,
    StatedDeadlines,
};
use super::limits::{DEPARTURE_GRACE, STATED_DEADLINE_SLACK};
use super::recording::{
    DiagnosticLines, RecordedDeadline, RecordedRequest, RecordedSend, Recording, RequestState,
};
use super::{capacity, lost_requests, notification, readiness, slow_start};
use crate::trace::{Micros, RuleParameters};

/// Evaluates a recording whose events are sorted.
pub(super) fn evaluate(recording: Recording, parameters: RuleParameters) -> Margins {
    let capacity = capacity::by_kind(&recording, &parameters);
    Margins {
        slow_start: slow_start::evaluate(&recording, &parameters, &capacity),
        send_after_drain: notification::latest_send_after_drain(&recording),
        notification: notification::evaluate(&recording),
        latest_answer: latest_answer(&recording),
        lost_requests: lost_requests::evaluate(&recording),
        client_departures: client_departures(&recording),
        stated_deadlines: stated_deadlines(&recording),
        readiness: readiness::evaluate(&recording),
        gaps: gaps(recording.diagnostics),
        parameters,
        capacity,
        outcomes: recording.outcomes,
        discovery_calls: recording.discovery_calls,
        broken_lines: recording.broken_lines,
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
                client_name: request.client_name.clone(),
            });
        }
    }
    latest
}

/// The attempts that began after their clients had departed.
fn client_departures(recording: &Recording) -> ClientDepartures {
    let departed = |request: &&RecordedRequest| request.departed_at.is_some();
    let mut found = ClientDepartures {
        departures: recording.requests.iter().filter(departed).count() as u64,
        ..ClientDepartures::default()
    };
    for send in &recording.sends {
        let Some(request) = send.request.map(|index| &recording.requests[index]) else {
            continue;
        };
        let Some(elapsed) = time_since_departure(send, request) else {
            continue;
        };
        found.attempts_after += 1;
        found.lost += u64::from(elapsed > DEPARTURE_GRACE);
        if found
            .latest
            .as_ref()
            .is_none_or(|latest| elapsed > latest.elapsed)
        {
            found.latest = Some(AttemptAfterDeparture {
                node: send.node,
                server: send.server,
                kind: send.kind,
                client_name: request.client_name.clone(),
                elapsed,
            });
        }
    }
    found
}

/// How long after its client's departure an attempt began, if it did.
fn time_since_departure(send: &RecordedSend, request: &RecordedRequest) -> Option<Micros> {
    let departed_at = request.departed_at?;
    send.at
        .checked_sub(departed_at)
        .filter(|elapsed| *elapsed > 0)
}

/// The deadlines that attempts stated, beside what was left to their clients.
fn stated_deadlines(recording: &Recording) -> StatedDeadlines {
    let mut found = StatedDeadlines::default();
    for deadline in &recording.deadlines {
        let request = &recording.requests[deadline.request];
        let excess_us = excess_over_remaining(deadline, request);
        found.recorded += 1;
        found.over_limit += u64::from(excess_us > STATED_DEADLINE_SLACK as i64);
        if found
            .worst
            .as_ref()
            .is_none_or(|worst| excess_us > worst.excess_us)
        {
            found.worst = Some(StatedDeadline {
                excess_us,
                node: recording.processes[request.process].node,
                client_name: request.client_name.clone(),
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

/// What the recording does not show.
fn gaps(lines: DiagnosticLines) -> Vec<Gap> {
    let always = [
        Gap::WorkOfRequests,
        Gap::TimeAtDiscovery,
        Gap::Reconfiguration,
        Gap::TimeOfBytes,
    ];
    let unless_told = [
        (lines.deadline, Gap::StatedDeadlines),
        (!lines.lacks_departures, Gap::TimeOfDeparture),
        (lines.dropped, Gap::DroppedRequests),
        (lines.readiness, Gap::TimeOfReadiness),
        (lines.shutdown_or_exit, Gap::EndOfProcess),
    ];
    let missing = unless_told.into_iter().filter(|(is_told, _)| !is_told);
    always
        .into_iter()
        .chain(missing.map(|(_, gap)| gap))
        .collect()
}
