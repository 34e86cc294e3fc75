//! Tests the protocol's rules on the emulated cluster of the sockets driver, without sockets and at fixed times.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::path::PathBuf;
use std::time::Duration;

use cluster_model::Micros;
use cluster_model::endpoint_list::{EndpointRecord, ServerState};
use router_config::HumanDuration;
use testbed::Scenario;
use testbed::clients::Client;
use testbed::sockets::cluster::{
    ClusterState, HEARTBEAT_INTERVAL, ReceivedAttempt, RequestId, ServerNumber,
};

const START: Micros = 1_000_000_000;
const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const NODE: u32 = 0;

fn scenario() -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/demo.toml");
    let mut scenario = Scenario::read(&path).unwrap();
    scenario.faults = Vec::new();
    for class in &mut scenario.classes {
        class.deadline = HumanDuration(Duration::from_secs(2));
    }
    scenario
}

fn cluster(scenario: &Scenario) -> ClusterState {
    ClusterState::new(scenario, 1, START)
}

fn begin_request(cluster: &mut ClusterState, now: Micros, request: RequestId) {
    let deadline = now + 2 * SECOND;
    let client = Client {
        class: 0,
        key: request,
        work: 1_000.0,
        intended_at: now,
        deadline,
        leaves_at: deadline,
        attempts: 1,
        assignment: None,
    };
    cluster.begin_request(now, request, NODE, &client);
}

/// An attempt that states no remaining deadline.
fn attempt_without_deadline(request: RequestId) -> ReceivedAttempt {
    ReceivedAttempt {
        request,
        remaining: None,
    }
}

/// The descriptions of all violations so far.
fn violations(cluster: &mut ClusterState) -> Vec<String> {
    let violations = cluster.end(START).violations();
    violations.iter().map(ToString::to_string).collect()
}

fn violates(cluster: &mut ClusterState, violation: &str) -> bool {
    violations(cluster)
        .iter()
        .any(|shown| shown.contains(violation))
}

#[test]
fn an_attempt_long_after_the_end_of_its_request_is_a_violation() {
    for after in [200 * MILLISECOND, 2 * SECOND] {
        let mut cluster = cluster(&scenario());
        begin_request(&mut cluster, START, 1);
        cluster.request_answered(START + MILLISECOND, 1, false);
        let sent_at = START + MILLISECOND + after;
        cluster.forget_finished_requests(sent_at);
        cluster.attempt_at_server(sent_at, 1, attempt_without_deadline(1));
        assert!(violates(&mut cluster, "after its end"), "{after}");
    }
}

#[test]
fn ended_requests_are_forgotten_once_no_attempt_can_arrive_for_them() {
    let mut cluster = cluster(&scenario());
    begin_request(&mut cluster, START, 1);
    cluster.request_answered(START, 1, false);
    cluster.forget_finished_requests(START + 10 * SECOND);
    assert!(
        cluster
            .attempt_at_server(START + 10 * SECOND, 1, attempt_without_deadline(1))
            .is_none()
    );
}

#[test]
fn the_number_of_ended_requests_kept_is_bounded() {
    let mut cluster = cluster(&scenario());
    let last = 200_000;
    for request in 1..=last {
        begin_request(&mut cluster, START, request);
        cluster.request_answered(START, request, false);
    }
    cluster.forget_finished_requests(START);
    assert!(
        cluster
            .attempt_at_server(START, 1, attempt_without_deadline(1))
            .is_none()
    );
    assert!(
        cluster
            .attempt_at_server(START, 1, attempt_without_deadline(last))
            .is_some()
    );
}

fn publish(cluster: &mut ClusterState, now: Micros, server: ServerNumber, state: ServerState) {
    let record = EndpointRecord {
        server,
        state,
        started: if state == ServerState::Ready { now } else { 0 },
    };
    cluster.endpoint_changed(now, record);
}

#[test]
fn a_node_counts_as_notified_of_a_drain_only_once_discovery_can_be_reached() {
    for (reachable, violated) in [(true, true), (false, false)] {
        let mut cluster = cluster(&scenario());
        cluster.set_discovery_up(START, reachable);
        publish(&mut cluster, START, 1, ServerState::Draining);
        let now = START + 8 * SECOND;
        begin_request(&mut cluster, now, 1);
        cluster.attempt_at_server(now, 1, attempt_without_deadline(1));
        assert_eq!(violates(&mut cluster, "drain: "), violated);
    }
}

/// Sends requests at the same time to a server that has just started, until it collapses.
fn overload(cluster: &mut ClusterState, now: Micros, server: ServerNumber) {
    for request in 1..10_000 {
        begin_request(cluster, now, request);
        cluster.attempt_at_server(now, server, attempt_without_deadline(request));
        if cluster.take_events().collapsed.contains(&server) {
            return;
        }
    }
    panic!("the server did not collapse under overload");
}

#[test]
fn a_node_counts_as_notified_of_a_start_only_once_discovery_can_be_reached() {
    for (reachable, violated) in [(true, true), (false, false)] {
        let mut scenario = scenario();
        for kind in &mut scenario.kinds {
            kind.cold_share = 0.05;
            kind.warm_up = HumanDuration(Duration::from_secs(60));
        }
        let mut cluster = cluster(&scenario);
        cluster.stop_server(START, 1);
        cluster.restart_server(START, 1);
        cluster.set_discovery_up(START, reachable);
        publish(&mut cluster, START, 1, ServerState::Ready);
        overload(&mut cluster, START + 7 * SECOND, 1);
        assert_eq!(violates(&mut cluster, "failback: "), violated);
    }
}

#[test]
fn attempts_may_state_no_more_than_the_remaining_deadline() {
    // Half of the deadline has passed when the attempts are sent.
    let sent_at = START + SECOND;
    let (left, slack) = (SECOND, 150 * MILLISECOND);
    for (stated, violated) in [(left + slack, false), (left + 2 * slack, true)] {
        let received = ReceivedAttempt {
            request: 1,
            remaining: Some(stated),
        };
        let mut at_server = cluster(&scenario());
        begin_request(&mut at_server, START, 1);
        at_server.attempt_at_server(sent_at, 1, received);
        assert_eq!(violates(&mut at_server, "deadline: "), violated);
        let mut at_origin = cluster(&scenario());
        begin_request(&mut at_origin, START, 1);
        at_origin.attempt_at_origin(sent_at, received);
        assert_eq!(violates(&mut at_origin, "deadline: "), violated);
    }
}

/// Sends an attempt that states the whole deadline, half a second after the deadline has passed.
fn send_attempt_with_full_deadline(cluster: &mut ClusterState, now: Micros) {
    begin_request(cluster, now - 2_500 * MILLISECOND, 1);
    let received = ReceivedAttempt {
        request: 1,
        remaining: Some(2 * SECOND),
    };
    cluster.attempt_at_server(now, 1, received);
}

#[test]
fn time_in_which_a_request_was_unread_is_not_held_against_the_node() {
    let now = START + 3 * SECOND;
    let mut running = cluster(&scenario());
    running.heartbeat(now - HEARTBEAT_INTERVAL);
    send_attempt_with_full_deadline(&mut running, now);
    assert!(violates(&mut running, "deadline: "));
    let mut paused = cluster(&scenario());
    paused.node_paused(START, NODE);
    paused.node_resumed(now, NODE);
    send_attempt_with_full_deadline(&mut paused, now);
    assert!(!violates(&mut paused, "deadline: "));
    let mut stalled = cluster(&scenario());
    stalled.heartbeat(START);
    send_attempt_with_full_deadline(&mut stalled, now);
    assert!(!violates(&mut stalled, "deadline: "));
}
