//! Requests that were read and lost: on whatever connection they came, they are owed a final answer.

use super::findings::LostRequests;
use super::limits::{ANSWER_LOST_AFTER, ANSWERED_BEFORE_KILL_FROM};
use super::recording::{RecordedProcess, RecordedRequest, Recording, RequestState};

/// Counts the lost requests by what became of them.
pub(super) fn evaluate(recording: &Recording) -> LostRequests {
    let mut found = LostRequests::default();
    for request in &recording.requests {
        match request.state {
            RequestState::Answered { lateness_us } => {
                found.answered_too_late += u64::from(lateness_us > ANSWER_LOST_AFTER as i64);
            }
            RequestState::Dropped => found.dropped += 1,
            // Nobody waits for the answer of a client that has departed.
            RequestState::Departed => {}
            RequestState::Open if request.departed_at.is_some() => {}
            RequestState::Open => {
                count_open(request, &recording.processes[request.process], &mut found)
            }
        }
    }
    found
}

/// Counts a request that has no answer where the trace of its process ends.
fn count_open(request: &RecordedRequest, process: &RecordedProcess, found: &mut LostRequests) {
    let is_killed_at_shutdown = || {
        process.is_replaced
            && process
                .shutdown_requested_at
                .is_some_and(|at| request.received_at > at + ANSWERED_BEFORE_KILL_FROM)
    };
    if request.deadline + ANSWER_LOST_AFTER < process.last_line {
        found.never_answered += 1;
    } else if process.has_exited {
        found.open_at_exit += 1;
    } else if is_killed_at_shutdown() {
        found.open_at_kill += 1;
    } else {
        // What a crashed process had open is sent again by its clients, and the day may end at any moment.
        found.undetermined += 1;
    }
}
