//! The endpoint list service: watches, history, limited capacity, outages.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::Micros;
use cluster_model::endpoint_list::{
    EndpointList, EndpointListConfig, EndpointRecord, ListCall, ListResponse, NodeResponse,
    ServerState,
};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// An update with the number of its records instead of the records.
#[derive(Debug, PartialEq)]
struct Summary {
    version: u64,
    complete: bool,
    record_count: usize,
}

fn complete_list(version: u64, record_count: usize) -> Summary {
    Summary {
        version,
        complete: true,
        record_count,
    }
}

fn changes_up_to(version: u64, record_count: usize) -> Summary {
    Summary {
        version,
        complete: false,
        record_count,
    }
}

fn summary(response: &ListResponse) -> Summary {
    match response {
        ListResponse::Update {
            version,
            complete,
            records,
        } => Summary {
            version: *version,
            complete: *complete,
            record_count: records.len(),
        },
        ListResponse::Failed => panic!("the call failed"),
    }
}

fn draining(server: u32) -> EndpointRecord {
    EndpointRecord {
        server,
        state: ServerState::Draining,
        started: 0,
    }
}

/// Makes a call as node 9 and returns the first response after the call time, which is 10 ms by default.
fn call_as_node_9(list: &mut EndpointList, now: Micros, call: ListCall) -> Summary {
    assert_eq!(list.call(now, 9, call), None);
    let responses = list.process(now + 10 * MILLISECOND);
    summary(&responses[0].response)
}

#[test]
fn a_watch_resumes_from_its_version_or_gets_the_complete_list_if_the_history_is_too_short() {
    let config = EndpointListConfig {
        history: 2,
        ..EndpointListConfig::default()
    };
    let mut list = EndpointList::new(config, 1..=5);
    let watch = |after| ListCall::Watch { after };
    assert_eq!(call_as_node_9(&mut list, 0, watch(0)), complete_list(1, 5));
    let notifications = list.publish(SECOND, draining(3));
    assert_eq!(notifications.len(), 1);
    assert_eq!(notifications[0].node, 9);
    assert_eq!(summary(&notifications[0].response), changes_up_to(2, 1));
    list.disconnect(9);
    let removed = EndpointRecord {
        state: ServerState::Removed,
        ..draining(3)
    };
    assert!(list.publish(2 * SECOND, removed).is_empty());
    assert_eq!(
        call_as_node_9(&mut list, 3 * SECOND, watch(2)),
        changes_up_to(3, 1),
        "the changes after version 2"
    );
    list.publish(4 * SECOND, draining(4));
    assert_eq!(
        call_as_node_9(&mut list, 5 * SECOND, watch(1)),
        complete_list(4, 4),
        "version 1 is older than the history"
    );
    assert_eq!(
        call_as_node_9(&mut list, 6 * SECOND, watch(4)),
        changes_up_to(4, 0),
        "no change after version 4"
    );
    assert_eq!(
        call_as_node_9(&mut list, 7 * SECOND, watch(99)),
        complete_list(4, 4),
        "version 99 is newer than the list, so it comes from an earlier run of the service"
    );
    assert_eq!(
        call_as_node_9(&mut list, 8 * SECOND, ListCall::Complete),
        complete_list(4, 4)
    );
}

#[test]
fn an_overloaded_service_answers_as_many_calls_as_it_can_in_time_and_fails_the_rest() {
    let mut list = EndpointList::new(EndpointListConfig::default(), 1..=5);
    for node in 0..300 {
        assert_eq!(list.call(0, node, ListCall::Watch { after: 0 }), None);
    }
    let mut answered = 0;
    let mut failed = 0;
    let mut last_event_at = 0;
    while let Some(at) = list.next_event_at() {
        for NodeResponse { response, .. } in list.process(at) {
            if response == ListResponse::Failed {
                failed += 1;
            } else {
                answered += 1;
            }
        }
        last_event_at = at;
    }
    // At a call time of 10 ms, 200 calls are answered within the timeout of 2 s.
    assert_eq!((answered, failed, last_event_at), (200, 100, 2 * SECOND));
}

#[test]
fn an_outage_ends_watches_and_fails_calls_but_does_not_reset_the_version() {
    let mut list = EndpointList::new(EndpointListConfig::default(), 1..=5);
    list.call(0, 1, ListCall::Watch { after: 0 });
    list.process(10 * MILLISECOND);
    list.call(20 * MILLISECOND, 2, ListCall::Complete);
    // Node 1 has a watch. The call of node 2 is waiting.
    assert_eq!(
        list.set_available(25 * MILLISECOND, false),
        [1, 2].map(|node| NodeResponse {
            node,
            response: ListResponse::Failed
        })
    );
    assert_eq!(
        list.call(30 * MILLISECOND, 1, ListCall::Complete),
        Some(ListResponse::Failed)
    );
    assert!(list.publish(40 * MILLISECOND, draining(2)).is_empty());
    assert!(list.set_available(SECOND, true).is_empty());
    list.call(SECOND, 1, ListCall::Watch { after: 1 });
    let responses = list.process(SECOND + 10 * MILLISECOND);
    assert_eq!(responses[0].node, 1);
    assert_eq!(summary(&responses[0].response), changes_up_to(2, 1));
}
