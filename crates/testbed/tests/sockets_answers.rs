//! Answers that nodes must give, in runs on sockets with real nodes: after the client's deadline, and in a shutdown
//! that ends with a kill.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod socket_run;

use std::path::PathBuf;
use std::time::Duration;

use router_config::HumanDuration;
use testbed::scenario::FaultEvent;
use testbed::{Report, Scenario};

use socket_run::run_scenario;

fn millis(millis: u64) -> HumanDuration {
    HumanDuration(Duration::from_millis(millis))
}

/// One node that runs for three seconds. Its clients wait 0.2 s and never retry.
fn one_node(faults: Vec<FaultEvent>) -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/demo.toml");
    let mut scenario = Scenario::read(&path).unwrap();
    scenario.duration = millis(3_000);
    scenario.nodes = 1;
    scenario.faults = faults;
    scenario.load.per_s = 60.0;
    scenario.load.retries = 0;
    for kind in &mut scenario.kinds {
        kind.servers = 3;
    }
    for class in &mut scenario.classes {
        class.latency_objective = millis(200);
        class.deadline = millis(200);
    }
    scenario
}

/// Runs a scenario to its end, and returns its report and progress messages.
fn run_to_end(scenario: &Scenario) -> (Report, Vec<String>) {
    let folder = tempfile::tempdir().unwrap();
    let mut messages = Vec::new();
    let never = std::future::pending();
    let report = run_scenario(scenario, 3, folder.path(), never, |now| {
        messages.extend(now.messages.clone());
    });
    (report.unwrap(), messages)
}

fn violates(report: &Report, violation: &str) -> bool {
    let mut shown = report.violations.iter();
    shown.any(|shown| shown.contains(violation))
}

#[test]
fn a_request_past_its_deadline_is_lost_if_it_is_never_answered() {
    // The pause is longer than the run, so the node never resumes.
    let endless_pause = FaultEvent::PauseNodes {
        at: millis(1_000),
        part: 1.0,
        lasts: millis(60_000),
    };
    let (report, _) = run_to_end(&one_node(vec![endless_pause]));
    assert!(violates(&report, "lost: "), "{report}");
}

#[test]
fn answers_delayed_by_a_pause_are_late_but_not_lost() {
    let pause = FaultEvent::PauseNodes {
        at: millis(1_000),
        part: 1.0,
        lasts: millis(1_500),
    };
    let (report, _) = run_to_end(&one_node(vec![pause]));
    assert!(!violates(&report, "lost: "), "{report}");
    let timed_out: u64 = report.windows.iter().map(|window| window.timed_out).sum();
    assert!(timed_out > 20, "{report}");
}

#[test]
fn a_node_that_exceeds_its_shutdown_time_is_killed_and_loses_its_open_requests() {
    let faults = vec![
        FaultEvent::RestartNodes {
            at: millis(1_000),
            part: 1.0,
            period: millis(1),
        },
        // The paused node neither answers nor ends, while its clients keep sending on their existing connections.
        FaultEvent::PauseNodes {
            at: millis(1_000),
            part: 1.0,
            lasts: millis(60_000),
        },
    ];
    let (report, messages) = run_to_end(&one_node(faults));
    let killed = "node 0 was killed during its shutdown";
    let killed = messages.iter().position(|message| message == killed);
    let back = messages
        .iter()
        .position(|message| message == "node 0 is ready");
    assert!(killed.is_some() && killed < back, "{messages:?}");
    assert!(violates(&report, "lost: "), "{report}");
}

#[test]
fn a_node_that_exits_in_time_is_not_killed_and_loses_no_request() {
    let restart = FaultEvent::RestartNodes {
        at: millis(1_000),
        part: 1.0,
        period: millis(1),
    };
    let mut scenario = one_node(vec![restart]);
    for class in &mut scenario.classes {
        class.deadline = millis(2_000);
    }
    let (report, messages) = run_to_end(&scenario);
    assert!(report.invariants_hold(), "{report}{messages:?}");
    let killed = |message: &String| message.contains("was killed");
    assert!(!messages.iter().any(killed), "{messages:?}");
}
