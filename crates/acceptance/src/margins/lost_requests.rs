//! Requests that were read and lost: on whatever connection they came, they are owed a final answer.

use super::findings::LostRequests;
use super::limits::ANSWER_LOST_AFTER;
use super::recording::{RecordedProcess, RecordedRequest, Recording, RequestState};

/// Counts the lost requests by what became of them.
pub(super) fn evaluate(recording: &Recording) -> LostRequests {
    let mut found = LostRequests::default();
    for request in &recording.requests {
        match request.state {
            // Nobody waits for the answer of a client that has departed.
            RequestState::Answered { .. } | RequestState::Departed => {}
            RequestState::Open => {
                count_open(request, &recording.processes[request.process], &mut found)
            }
        }
    }
    found
}

/// Counts a request that has no answer where the trace of its process ends.
fn count_open(request: &RecordedRequest, process: &RecordedProcess, found: &mut LostRequests) {
    if request.deadline + ANSWER_LOST_AFTER < process.last_line {
        found.never_answered += 1;
    } else {
        // What a crashed process had open is sent again by its clients, and the day may end at any moment.
        found.undetermined += 1;
    }
}
