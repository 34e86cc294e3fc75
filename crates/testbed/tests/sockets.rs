//! Short runs on sockets with real nodes and faults. The assertions hold on a machine of any speed: they check which
//! requests are answered, which invariants hold and what is left behind, never how fast.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod socket_run;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use router_config::HumanDuration;
use testbed::report::Counts;
use testbed::scenario::{FaultEvent, Idempotency};
use testbed::sockets::{Progress, SocketError};
use testbed::{Report, Scenario, program};

use socket_run::run_scenario;

const SEED: u64 = 3;

fn millis(millis: u64) -> HumanDuration {
    HumanDuration(Duration::from_millis(millis))
}

/// A small fleet that runs for three seconds. Its latency objectives are long enough for a slow machine to meet them.
fn small_fleet() -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/demo.toml");
    let mut scenario = Scenario::read(&path).unwrap();
    scenario.duration = millis(3_000);
    scenario.nodes = 3;
    scenario.faults = Vec::new();
    scenario.load.per_s = 60.0;
    for kind in &mut scenario.kinds {
        kind.servers = 3;
    }
    for class in &mut scenario.classes {
        class.latency_objective = millis(5_000);
        class.deadline = millis(8_000);
    }
    scenario
}

/// A completed run, and the folder with its nodes' configurations and logs.
struct EndedRun {
    folder: tempfile::TempDir,
    result: Result<Report, SocketError>,
}

impl EndedRun {
    fn report(&self) -> &Report {
        self.result.as_ref().unwrap()
    }

    fn error(&self) -> &SocketError {
        self.result.as_ref().unwrap_err()
    }
}

/// Runs a scenario to its end.
fn run_to_end(scenario: &Scenario) -> EndedRun {
    run_until(scenario, std::future::pending(), |_| ())
}

fn run_until(
    scenario: &Scenario,
    stop: impl Future<Output = ()>,
    progress: impl FnMut(&Progress),
) -> EndedRun {
    let folder = tempfile::tempdir().unwrap();
    let result = run_scenario(scenario, SEED, folder.path(), stop, progress);
    EndedRun { folder, result }
}

fn sum(report: &Report, count: impl Fn(&Counts) -> u64) -> u64 {
    report.windows.iter().map(count).sum()
}

fn assert_each_request_ends_once(report: &Report) {
    let outcomes = |counts: &Counts| {
        counts.in_time
            + counts.late
            + counts.rejected
            + counts.failed
            + counts.timed_out
            + counts.abandoned
    };
    let requests_sent = sum(report, |counts| counts.requests);
    assert_eq!(requests_sent, sum(report, outcomes), "{report}");
    assert!(requests_sent > 100, "{report}");
}

#[test]
fn a_fleet_without_faults_serves_and_each_request_ends_once() {
    let ended = run_to_end(&small_fleet());
    let report = ended.report();
    assert_each_request_ends_once(report);
    assert!(
        report.invariants_hold() && report.service_level > 0.9,
        "{report}"
    );
    assert!(
        sum(report, |counts| counts.attempts) > 0 && sum(report, |counts| counts.origin_calls) > 0,
        "{report}"
    );
    assert_eq!(
        report.attempts_by_server.values().sum::<u64>(),
        sum(report, |counts| counts.attempts)
    );
}

#[test]
fn no_write_runs_twice_when_nodes_are_killed_and_paused() {
    let mut scenario = small_fleet();
    for class in &mut scenario.classes {
        (class.idempotency, class.write) = (Idempotency::NotIdempotent, true);
    }
    scenario.faults = vec![
        FaultEvent::KillNodes {
            at: millis(700),
            part: 0.34,
            back: millis(500),
        },
        FaultEvent::PauseNodes {
            at: millis(1_500),
            part: 0.34,
            lasts: millis(400),
        },
        FaultEvent::KillNodes {
            at: millis(2_200),
            part: 0.67,
            back: millis(300),
        },
    ];
    let ended = run_to_end(&scenario);
    let report = ended.report();
    assert_each_request_ends_once(report);
    assert!(report.invariants_hold(), "{report}");
    assert!(
        sum(report, |counts| counts.origin_calls) > 50
            && sum(report, |counts| counts.attempts) == 0,
        "{report}"
    );
}

#[test]
fn faults_of_servers_zones_and_discovery_violate_no_invariant() {
    let mut scenario = small_fleet();
    scenario.faults = vec![
        FaultEvent::ReplaceServers {
            at: millis(300),
            part: 0.5,
            period: millis(500),
            drain: millis(500),
        },
        FaultEvent::IsolateZone {
            at: millis(1_000),
            zone: 1,
            lasts: millis(500),
        },
        FaultEvent::ListDown {
            at: millis(1_200),
            lasts: millis(500),
        },
        FaultEvent::RelocateList { at: millis(1_900) },
        FaultEvent::CrashServers {
            at: millis(2_000),
            part: 0.3,
            back: millis(300),
        },
    ];
    let ended = run_to_end(&scenario);
    let report = ended.report();
    assert_each_request_ends_once(report);
    assert!(
        report.invariants_hold() && report.service_level > 0.3,
        "{report}"
    );
    assert!(
        report.attempts_by_server.keys().any(|server| *server > 6),
        "no attempt reached a replacement server: {report}"
    );
}

#[test]
fn an_interrupted_run_leaves_no_process() {
    let (sender, mut progress_seen) = tokio::sync::mpsc::unbounded_channel();
    let stop_at_first_progress = async {
        progress_seen.recv().await;
    };
    let ended = run_until(&small_fleet(), stop_at_first_progress, |_| {
        let _ = sender.send(());
    });
    assert!(matches!(ended.error(), SocketError::Interrupted));
    let config = std::fs::read_to_string(ended.folder.path().join("n0.json")).unwrap();
    let config: serde_json::Value = serde_json::from_str(&config).unwrap();
    let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
    // The node was killed, but the system may take a moment to close its listener.
    while std::net::TcpStream::connect(address).is_ok() {
        std::thread::yield_now();
    }
}

#[test]
fn too_many_nodes_and_a_missing_program_are_rejected_before_anything_starts() {
    let scenario = Scenario {
        nodes: 301,
        ..small_fleet()
    };
    let ended = run_to_end(&scenario);
    let error = ended.error().to_string();
    assert!(
        error.contains("301 nodes and 6 cache servers exceed the limits on sockets, 300 and 3200"),
        "{error}"
    );
    assert_eq!(std::fs::read_dir(ended.folder.path()).unwrap().count(), 0);
    let error = program::find(Some("/nowhere/cache-router".as_ref()))
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with("no program at /nowhere/cache-router: build it"),
        "{error}"
    );
}

#[test]
fn a_node_that_does_not_start_is_reported_with_the_end_of_its_log() {
    let mut scenario = small_fleet();
    // A node whose settings contain no class refuses to start.
    scenario.classes.clear();
    let ended = run_to_end(&scenario);
    let error = ended.error().to_string();
    assert!(
        error.contains("does not start: cache-router: the settings name no class"),
        "{error}"
    );
}

#[test]
fn damaged_replies_and_malformed_traffic_serve_no_client_a_wrong_value() {
    let mut scenario = small_fleet();
    for class in &mut scenario.classes {
        (class.latency_objective, class.deadline, class.share) =
            (millis(1_500), millis(2_000), 0.5);
    }
    scenario.faults = vec![
        FaultEvent::DamageAnswers {
            at: millis(200),
            lost: 0.05,
            corrupted_share: 0.1,
            reset: 0.1,
            lasts: millis(2_300),
        },
        FaultEvent::MalformedTraffic {
            at: millis(200),
            per_s: 40.0,
            lasts: millis(2_300),
        },
    ];
    let ended = run_to_end(&scenario);
    let report = ended.report();
    assert_each_request_ends_once(report);
    assert!(
        report.invariants_hold() && report.service_level > 0.3,
        "{report}"
    );
    assert!(
        sum(report, |counts| counts.failed) > 0,
        "a write whose reply was damaged may have run, so it must count as failed: {report}"
    );
}

#[test]
fn a_rolling_restart_under_load_loses_no_request() {
    let mut scenario = small_fleet();
    scenario.load.retries = 0;
    scenario.faults = vec![
        FaultEvent::RestartNodes {
            at: millis(300),
            part: 1.0,
            period: millis(1_500),
        },
        FaultEvent::RelocateList { at: millis(2_500) },
    ];
    let ended = run_to_end(&scenario);
    let report = ended.report();
    assert_each_request_ends_once(report);
    assert!(
        report.invariants_hold() && report.service_level > 0.5,
        "{report}"
    );
    for node in 0..3 {
        let log =
            std::fs::read_to_string(ended.folder.path().join(format!("n{node}.log"))).unwrap();
        assert_eq!(log.matches("listening on").count(), 2, "node {node}: {log}");
        assert!(log.contains("discovery is at"), "node {node}: {log}");
    }
}
