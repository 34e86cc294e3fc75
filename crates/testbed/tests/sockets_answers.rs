//! Answers that are owed, on sockets with real nodes: after the client's deadline, and in a shutdown that is cut short.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod socket_run;

use std::path::PathBuf;
use std::time::Duration;

use router_config::Span;
use testbed::scenario::FaultEvent;
use testbed::{Report, Scenario};

use socket_run::run_scenario;

fn millis(millis: u64) -> Span {
    Span(Duration::from_millis(millis))
}

/// One node for three seconds, whose clients wait 0.2 s and never retry.
fn one_node(faults: Vec<FaultEvent>) -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/demo.toml");
    let mut scenario = Scenario::read(&path).unwrap();
    scenario.length = millis(3_000);
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

/// Runs a scenario to its end, with what its progress said.
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
fn a_request_whose_deadline_passes_is_owed_its_answer_to_the_end_of_the_run() {
    // From its pause the node never comes back, as it lasts longer than the run.
    let forever = FaultEvent::PauseNodes {
        at: millis(1_000),
        part: 1.0,
        lasts: millis(60_000),
    };
    let (report, _) = run_to_end(&one_node(vec![forever]));
    assert!(violates(&report, "lost: "), "{report}");
}

#[test]
fn answers_that_a_pause_puts_off_are_late_and_not_lost() {
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
fn a_node_that_outlasts_its_shutdown_is_killed_and_loses_what_it_had_open() {
    let faults = vec![
        FaultEvent::RestartNodes {
            at: millis(1_000),
            part: 1.0,
            over: millis(1),
        },
        // It neither answers nor ends, and its clients go on sending on the connections that they have.
        FaultEvent::PauseNodes {
            at: millis(1_000),
            part: 1.0,
            lasts: millis(60_000),
        },
    ];
    let (report, messages) = run_to_end(&one_node(faults));
    let killed = "node 0 was killed in its shutdown";
    let killed = messages.iter().position(|message| message == killed);
    let back = messages
        .iter()
        .position(|message| message == "node 0 is back");
    assert!(killed.is_some() && killed < back, "{messages:?}");
    assert!(violates(&report, "lost: "), "{report}");
}

#[test]
fn a_node_that_ends_in_time_is_not_killed_and_loses_nothing() {
    let restart = FaultEvent::RestartNodes {
        at: millis(1_000),
        part: 1.0,
        over: millis(1),
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
