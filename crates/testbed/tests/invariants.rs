//! Scenarios that exercise each invariant in virtual time. It holds with ordinary nodes, and a violation is detected
//! with nodes that lack the safeguard for it.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::path::PathBuf;
use std::time::Duration;

use router_config::HumanDuration;
use testbed::report::Counts;
use testbed::scenario::{FaultEvent, Idempotency};
use testbed::virtual_time::{Defect, NodeOptions, run, run_with_options};
use testbed::{Report, Scenario};

fn milliseconds(milliseconds: u64) -> HumanDuration {
    HumanDuration(Duration::from_millis(milliseconds))
}

/// A fleet with spare capacity that runs for some seconds with these faults.
fn scenario(seconds: u64, faults: Vec<FaultEvent>) -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios/calm.toml");
    let mut scenario = Scenario::read(&path).unwrap_or_else(|e| panic!("{e}"));
    scenario.duration = HumanDuration(Duration::from_secs(seconds));
    scenario.faults = faults;
    scenario
}

fn sum(report: &Report, count: impl Fn(&Counts) -> u64) -> u64 {
    report.windows.iter().map(count).sum()
}

fn run_with_defect(scenario: &Scenario, defect: Defect) -> Report {
    let options = NodeOptions {
        defect: Some(defect),
        ..NodeOptions::default()
    };
    run_with_options(scenario, 1, options)
}

/// Checks that a scenario violates no invariant with ordinary nodes, and does so with the defect. Returns the report of
/// the run without the defect.
fn only_violated_with(scenario: &Scenario, defect: Defect, violation: &str) -> Report {
    let without_defect = run(scenario, 1);
    assert!(without_defect.invariants_hold(), "{without_defect}");
    let report = run_with_defect(scenario, defect);
    let shown = &report.violations;
    assert!(
        shown.iter().any(|shown| shown.contains(violation)),
        "{defect:?} violates nothing: {report}"
    );
    without_defect
}

/// Most servers are replaced by cold ones, which have a twentieth of their full capacity at first.
fn cold_start(nodes: u32) -> Scenario {
    let replaced = FaultEvent::ReplaceServers {
        at: milliseconds(500),
        part: 0.6,
        period: milliseconds(500),
        drain: milliseconds(1_000),
    };
    let mut scenario = scenario(4, vec![replaced]);
    scenario.nodes = nodes;
    scenario.invariants.collapse_multiple = 1.2;
    scenario.load.per_s = 1_400.0;
    for kind in &mut scenario.kinds {
        kind.cold_share = 0.05;
    }
    scenario
}

#[test]
fn one_node_does_not_overload_servers_in_slow_start() {
    only_violated_with(&cold_start(1), Defect::NoSlowStart, "failback: ");
}

/// Servers crash and start again cold, and then the load doubles, so that each cold server is sent the most that slow
/// start allows. With each of these seeds a server collapsed when a node counted its own burst as random variation.
#[test]
fn one_overloaded_node_does_not_overload_servers_in_slow_start() {
    let lost = FaultEvent::CrashServers {
        at: milliseconds(500),
        part: 0.6,
        back: milliseconds(500),
    };
    let burst = FaultEvent::Burst {
        at: milliseconds(2_000),
        factor: 2.0,
        lasts: milliseconds(2_000),
    };
    let mut scenario = cold_start(1);
    scenario.duration = milliseconds(6_000);
    scenario.faults = vec![lost, burst];
    for seed in [2, 22, 23] {
        let report = run(&scenario, seed);
        assert!(report.invariants_hold(), "seed {seed}: {report}");
    }
}

#[test]
fn five_nodes_together_do_not_overload_servers_in_slow_start() {
    only_violated_with(&cold_start(5), Defect::NoSlowStart, "failback: ");
}

#[test]
fn thirty_nodes_together_do_not_overload_servers_in_slow_start() {
    only_violated_with(&cold_start(30), Defect::NoSlowStart, "failback: ");
}

#[test]
fn three_hundred_nodes_together_do_not_overload_servers_in_slow_start() {
    only_violated_with(&cold_start(300), Defect::NoSlowStart, "failback: ");
}

/// Answers are lost, so that requests need further attempts, and the origin is slow, so that calls to it are deferred.
fn lossy(seconds: u64) -> Scenario {
    let lost = FaultEvent::DamageAnswers {
        at: milliseconds(0),
        lost: 0.3,
        corrupted_share: 0.1,
        reset: 0.1,
        lasts: HumanDuration(Duration::from_secs(seconds)),
    };
    let slow_origin = FaultEvent::OriginSlow {
        at: milliseconds(0),
        taken: 0.8,
        lasts: HumanDuration(Duration::from_secs(seconds)),
    };
    scenario(seconds, vec![lost, slow_origin])
}

#[test]
fn no_attempt_begins_after_the_client_closed_its_connection() {
    for leaves_after in [10, 150] {
        let mut scenario = lossy(3);
        scenario.load.abandon_share = 0.5;
        scenario.load.abandon_after = milliseconds(leaves_after);
        let defect = Defect::IgnoresClosedClients;
        let report = only_violated_with(&scenario, defect, "after its end");
        assert!(sum(&report, |window| window.abandoned) > 100, "{report}");
    }
}

#[test]
fn attempts_state_at_most_the_remaining_time_to_their_servers() {
    only_violated_with(&lossy(3), Defect::SendsOriginalDeadline, "deadline: ");
}

#[test]
fn hedged_requests_violate_no_invariant_on_closed_clients_or_on_the_stated_deadline() {
    let mut scenario = lossy(3);
    scenario.load.abandon_share = 0.5;
    scenario.load.abandon_after = milliseconds(100);
    let hedging = |defect| {
        let hedging = true;
        run_with_options(&scenario, 1, NodeOptions { hedging, defect })
    };
    let hedged = hedging(None);
    assert!(hedged.invariants_hold(), "{hedged}");
    let attempts = |report: &Report| sum(report, |window| window.attempts);
    let unhedged = run(&scenario, 1);
    assert!(
        attempts(&hedged) > attempts(&unhedged) + 50,
        "{hedged}{unhedged}"
    );
    for defect in [Defect::IgnoresClosedClients, Defect::SendsOriginalDeadline] {
        let report = hedging(Some(defect));
        assert!(!report.invariants_hold(), "{defect:?}: {report}");
    }
}

/// All nodes are restarted one after another while the origin is almost unavailable; requests have this deadline.
fn restarts(deadline_ms: u64) -> Scenario {
    let mut scenario = lossy(6);
    scenario.duration = milliseconds(3_000);
    scenario.faults.push(FaultEvent::OriginSlow {
        at: milliseconds(1),
        taken: 0.99,
        lasts: milliseconds(6_000),
    });
    scenario.faults.push(FaultEvent::RestartNodes {
        at: milliseconds(1_000),
        part: 1.0,
        period: milliseconds(1_000),
    });
    for class in &mut scenario.classes {
        class.deadline = milliseconds(deadline_ms);
        class.latency_objective = milliseconds(deadline_ms.min(400));
    }
    scenario
}

#[test]
fn a_node_answers_all_requests_that_it_has_read_before_the_platform_may_kill_it() {
    for deadline_ms in [100, 400, 1_000, 3_000, 8_000] {
        let report = run(&restarts(deadline_ms), 1);
        assert!(report.invariants_hold(), "{deadline_ms} ms: {report}");
    }
    only_violated_with(&restarts(8_000), Defect::NoFinalAnswersOnShutdown, "lost: ");
}

#[test]
fn requests_whose_deadline_passes_while_servers_do_not_respond_are_still_answered() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NotIdempotent] {
        let mut scenario = lossy(2);
        for class in &mut scenario.classes {
            class.idempotency = idempotency;
            class.deadline = milliseconds(200);
            class.latency_objective = milliseconds(200);
        }
        only_violated_with(&scenario, Defect::NoRejectionsOrFailures, "lost: ");
    }
}

#[test]
fn nodes_count_as_notified_of_a_change_six_seconds_after_discovery_knew_of_it() {
    let mut faults = vec![FaultEvent::ReplaceServers {
        at: milliseconds(200),
        part: 0.3,
        period: milliseconds(100),
        drain: milliseconds(11_000),
    }];
    let violation = "drain: ";
    let notified = scenario(11, faults.clone());
    only_violated_with(&notified, Defect::IgnoresEndpointList, violation);
    // Discovery learns of the changes during an outage that ends 6.4 s before the end of the load. Nodes count as
    // notified 6 s after the outage, and the drain grace of 0.5 s is not over by the end of the load.
    faults.push(FaultEvent::ListDown {
        at: milliseconds(100),
        lasts: milliseconds(4_500),
    });
    let report = run_with_defect(&scenario(11, faults), Defect::IgnoresEndpointList);
    assert!(
        !report
            .violations
            .iter()
            .any(|shown| shown.contains(violation)),
        "{report}"
    );
}
