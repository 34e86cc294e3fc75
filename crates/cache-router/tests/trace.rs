//! The words of trace lines stay the same when variants are renamed in the code, so that older and newer traces are
//! read alike.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cache_router::trace::{lookup_word, state_word, status_word, update_word};
use routing_policy::{AttemptStatus, CacheLookup, EndpointState, ListUpdate};

#[test]
fn the_words_of_trace_lines_do_not_change() {
    let statuses = [
        AttemptStatus::Served,
        AttemptStatus::Miss,
        AttemptStatus::Error,
        AttemptStatus::Rejected,
        AttemptStatus::TimedOut,
        AttemptStatus::ConnectFailed,
        AttemptStatus::Reset,
        AttemptStatus::Cancelled,
        AttemptStatus::NotSent,
    ];
    assert_eq!(
        statuses.map(status_word).join(" "),
        "Served Miss Error Full TimedOut ConnectFailed Reset Cancelled NotSent"
    );
    let lookups = [
        CacheLookup::Unknown,
        CacheLookup::Hit,
        CacheLookup::Miss,
        CacheLookup::MissBeingFetched,
    ];
    assert_eq!(
        lookups.map(lookup_word).join(" "),
        "None Hit Miss MissBeingFetched"
    );
    let states = [
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ];
    assert_eq!(states.map(state_word).join(" "), "Ready Draining Gone");
    let updates = [
        ListUpdate::Full,
        ListUpdate::Cached,
        ListUpdate::Delta,
        ListUpdate::Failed,
        ListUpdate::WatchStalled,
    ];
    assert_eq!(
        updates.map(update_word).join(" "),
        "Full Cached Delta Failed Silent"
    );
}
