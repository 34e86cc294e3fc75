//! Counts lost requests. Every request that a node has read must get a final answer, on any connection.

use super::findings::LostRequests;
use super::limits::{ANSWER_LOST_AFTER_US, ANSWER_REQUIRED_AFTER_SIGTERM_US};
use super::recording::{RecordedProcess, RecordedRequest, Recording, RequestState};

/// Counts the lost requests by cause.
pub(super) fn evaluate(recording: &Recording) -> LostRequests {
    let mut found = LostRequests::default();
    for request in &recording.requests {
        match request.state {
            RequestState::Answered { lateness_us } => {
                found.answered_too_late += u64::from(lateness_us > ANSWER_LOST_AFTER_US as i64);
            }
            RequestState::Dropped => found.dropped += 1,
            // The client has disconnected and no longer waits for the answer.
            RequestState::Disconnected => {}
            RequestState::Open if request.disconnected_at.is_some() => {}
            RequestState::Open => {
                count_open(request, &recording.processes[request.process], &mut found)
            }
        }
    }
    found
}

/// Counts a request that has no answer at the end of the trace of its process.
fn count_open(request: &RecordedRequest, process: &RecordedProcess, found: &mut LostRequests) {
    let is_killed_in_shutdown = || {
        process.is_replaced
            && process
                .shutdown_requested_at
                .is_some_and(|at| request.received_at > at + ANSWER_REQUIRED_AFTER_SIGTERM_US)
    };
    if request.deadline + ANSWER_LOST_AFTER_US < process.last_line {
        found.never_answered += 1;
    } else if process.has_exited {
        found.open_at_exit += 1;
    } else if is_killed_in_shutdown() {
        found.open_at_kill += 1;
    } else {
        // Clients retry the requests that a crashed process had open, and the day may end at any time.
        found.undetermined += 1;
    }
}
