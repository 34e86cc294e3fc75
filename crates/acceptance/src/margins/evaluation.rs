//! The margins of a recorded run: for each rule the event that came nearest to its limit.

use super::findings::{AnswerLateness, Gap, Margins};
use super::recording::{DiagnosticLines, Recording, RequestState};
use super::{capacity, lost_requests, notification, slow_start};
use crate::trace::RuleParameters;

/// Evaluates a recording whose events are sorted.
pub(super) fn evaluate(recording: Recording, parameters: RuleParameters) -> Margins {
    let capacity = capacity::by_kind(&recording, &parameters);
    Margins {
        slow_start: slow_start::evaluate(&recording, &parameters, &capacity),
        send_after_drain: notification::latest_send_after_drain(&recording),
        notification: notification::evaluate(&recording),
        latest_answer: latest_answer(&recording),
        lost_requests: lost_requests::evaluate(&recording),
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

/// What the recording does not show.
fn gaps(lines: DiagnosticLines) -> Vec<Gap> {
    let always = [
        Gap::WorkOfRequests,
        Gap::TimeAtDiscovery,
        Gap::Reconfiguration,
        Gap::TimeOfBytes,
    ];
    let unless_written = [
        (lines.dropped, Gap::DroppedRequests),
        (lines.shutdown_or_exit, Gap::EndOfProcess),
    ];
    let missing = unless_written.into_iter().filter(|(written, _)| !written);
    always
        .into_iter()
        .chain(missing.map(|(_, gap)| gap))
        .collect()
}
