//! Runs in virtual time: a seed always gives an identical report, every request ends exactly once, and the invariants
//! hold.
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
use testbed::scenario::{FaultEvent, LoadBalancer, OriginFailure};
use testbed::virtual_time::run;
use testbed::{Report, Scenario};

fn scenario(name: &str) -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("scenarios/{name}.toml"));
    Scenario::read(&path).unwrap_or_else(|e| panic!("{e}"))
}

/// A scenario shortened to its first seconds.
fn shortened(name: &str, seconds: u64) -> Scenario {
    let mut scenario = scenario(name);
    scenario.duration = HumanDuration(Duration::from_secs(seconds));
    scenario
        .faults
        .retain(|fault| fault.at() < scenario.duration);
    scenario
}

fn milliseconds(milliseconds: u64) -> HumanDuration {
    HumanDuration(Duration::from_millis(milliseconds))
}

/// Time at which the faults of these tests begin.
fn fault_start() -> HumanDuration {
    milliseconds(1_000)
}

/// Duration of the faults of these tests.
fn fault_duration() -> HumanDuration {
    milliseconds(2_000)
}

/// Runs four seconds without faults.
fn without_faults() -> Report {
    run(&shortened("calm", 4), 1)
}

/// Runs four seconds with one fault.
fn with_fault(fault: FaultEvent) -> Report {
    let mut scenario = shortened("calm", 4);
    scenario.faults = vec![fault];
    run(&scenario, 1)
}

fn to_json(report: &Report) -> String {
    serde_json::to_string(report).unwrap()
}

fn sum(report: &Report, count: impl Fn(&Counts) -> u64) -> u64 {
    report.windows.iter().map(count).sum()
}

#[test]
fn a_seed_gives_an_identical_report_on_one_thread_and_on_six_and_another_seed_does_not() {
    let scenario = shortened("storm", 4);
    let once = to_json(&run(&scenario, 7));
    assert_eq!(once, to_json(&run(&scenario, 7)));
    let scenario = &scenario;
    let reports: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..6)
            .map(|thread| scope.spawn(move || run(scenario, 5 + thread % 3)))
            .collect();
        threads
            .into_iter()
            .map(|thread| to_json(&thread.join().unwrap()))
            .collect()
    });
    assert_eq!((&reports[2], &reports[5]), (&once, &once));
    assert!(reports[0] != once && reports[0] == reports[3]);
}

#[test]
fn a_cluster_without_faults_serves_nearly_all_in_time_and_keeps_the_invariants() {
    let report = run(&shortened("calm", 6), 1);
    assert!(
        report.service_level > 0.95 && report.invariants_hold(),
        "{report}"
    );
    let requests = sum(&report, |window| window.requests);
    assert!(
        (4_800..6_000).contains(&requests),
        "900 a second for 6 s: {requests}"
    );
    let class = &report.classes["lookup"];
    assert!(
        class.latency.p50_us > 15_000 && class.latency.p99_us < 250_000,
        "{report}"
    );
    assert!(
        sum(&report, |window| window.attempts) >= requests * 9 / 10,
        "{report}"
    );
    assert!(
        sum(&report, |window| window.origin_calls) < requests,
        "{report}"
    );
}

#[test]
fn under_all_faults_each_request_ends_exactly_once_and_the_invariants_hold() {
    for seed in 1..=2 {
        let report = run(&scenario("storm"), seed);
        assert!(report.invariants_hold(), "{report}");
        let ends = |window: &Counts| {
            window.in_time
                + window.late
                + window.rejected
                + window.failed
                + window.timed_out
                + window.abandoned
        };
        let requests = sum(&report, |window| window.requests);
        assert_eq!(requests, sum(&report, ends));
        assert!(
            sum(&report, |window| window.client_attempts) > requests,
            "some clients retried"
        );
        assert!(report.service_level > 0.3, "{report}");
    }
}

#[test]
fn replacing_most_servers_violates_no_invariant_and_the_cluster_recovers() {
    let report = run(&scenario("replace"), 3);
    assert!(report.invariants_hold(), "{report}");
    let service: Vec<_> = report.windows.iter().map(Counts::service_level).collect();
    assert!(service[0] > 0.9 && service[3] > 0.8, "{report}");
}

#[test]
fn less_capacity_lowers_the_service_level() {
    let mut slow = shortened("calm", 6);
    for kind in &mut slow.kinds {
        kind.speed /= 4.0;
    }
    let full = run(&shortened("calm", 6), 1);
    let slow = run(&slow, 1);
    assert!(
        slow.service_level < full.service_level - 0.2,
        "{full}{slow}"
    );
    assert!(
        sum(&slow, |window| window.rejected_attempts)
            > sum(&full, |window| window.rejected_attempts),
        "{full}{slow}"
    );
}

#[test]
fn faults_of_origin_nodes_and_answers_lower_the_service_level_and_violate_no_invariant() {
    let baseline = without_faults();
    let (at, lasts) = (fault_start(), fault_duration());
    let failing_origin = with_fault(FaultEvent::OriginFails {
        at,
        part: 1.0,
        failure: OriginFailure::Late,
        lasts,
    });
    assert!(
        sum(&failing_origin, |window| window.failed) > 0
            && sum(&baseline, |window| window.failed) == 0,
        "{failing_origin}"
    );
    let slow_origin = with_fault(FaultEvent::OriginSlow {
        at,
        taken: 0.99,
        lasts,
    });
    let paused = with_fault(FaultEvent::PauseNodes {
        at,
        part: 0.5,
        lasts,
    });
    assert!(
        sum(&paused, |window| window.timed_out) > sum(&baseline, |window| window.timed_out),
        "{paused}"
    );
    let damaged = with_fault(FaultEvent::DamageAnswers {
        at,
        lost: 0.1,
        corrupted_share: 0.1,
        reset: 0.2,
        lasts,
    });
    for report in [&failing_origin, &slow_origin, &paused, &damaged] {
        assert!(
            report.service_level < baseline.service_level && report.invariants_hold(),
            "{report}"
        );
    }
}

#[test]
fn a_paused_node_does_not_answer_the_requests_that_it_had_in_flight() {
    let mut scenario = shortened("calm", 1);
    scenario.faults = vec![FaultEvent::PauseNodes {
        at: milliseconds(999),
        part: 1.0,
        lasts: fault_duration(),
    }];
    let report = run(&scenario, 1);
    assert!(report.invariants_hold(), "{report}");
    // About 900 requests per second take 15 ms or more each.
    let timed_out = sum(&report, |window| window.timed_out);
    assert!(timed_out >= 10, "{timed_out} timed out: {report}");
}

#[test]
fn restarted_nodes_and_a_relocated_list_violate_no_invariant() {
    let restarted = with_fault(FaultEvent::RestartNodes {
        at: fault_start(),
        part: 1.0,
        period: fault_duration(),
    });
    let relocated = with_fault(FaultEvent::RelocateList { at: fault_start() });
    assert!(
        restarted.invariants_hold() && relocated.invariants_hold(),
        "{restarted}{relocated}"
    );
    assert!(restarted.service_level > 0.9, "{restarted}");
}

#[test]
fn a_scan_misses_keys_that_were_not_requested_recently() {
    let origin_calls = |faults: Vec<FaultEvent>| {
        let mut scenario = shortened("calm", 4);
        scenario.faults = faults;
        // The servers' memory is large enough for a quarter of the keys.
        for kind in &mut scenario.kinds {
            kind.memory_bytes /= 8;
        }
        sum(&run(&scenario, 1), |window| window.origin_calls)
    };
    let scan = FaultEvent::Scan {
        at: fault_start(),
        part: 0.5,
        lasts: fault_duration(),
    };
    let with_scan = origin_calls(vec![scan]);
    let without = origin_calls(Vec::new());
    assert!(
        with_scan > without * 5 / 4,
        "{with_scan} calls to the origin, {without} without a scan"
    );
}

#[test]
fn a_hot_key_raises_the_share_of_one_server() {
    let hot = with_fault(FaultEvent::HotKey {
        at: fault_start(),
        part: 0.8,
        lasts: fault_duration(),
    });
    let largest_share = |report: &Report| {
        let largest = *report.attempts_by_server.values().max().unwrap() as f64;
        largest / report.attempts_by_server.values().sum::<u64>() as f64
    };
    let hot = largest_share(&hot);
    let baseline = largest_share(&without_faults());
    assert!(hot > 1.3 * baseline, "{hot} and {baseline}");
}

#[test]
fn clients_that_abandon_their_requests_are_counted_and_violate_no_invariant() {
    let mut scenario = shortened("calm", 4);
    scenario.load.abandon_share = 0.5;
    scenario.load.abandon_after = milliseconds(10);
    let report = run(&scenario, 1);
    assert!(
        sum(&report, |window| window.abandoned) > sum(&report, |window| window.requests) / 3
            && report.invariants_hold(),
        "{report}"
    );
}

#[test]
fn a_load_balancer_with_a_detection_delay_sends_requests_to_dead_nodes() {
    let failures_and_attempts = |delay_ms| {
        let mut scenario = shortened("calm", 4);
        scenario.faults = vec![FaultEvent::KillNodes {
            at: fault_start(),
            part: 0.5,
            back: milliseconds(1_500),
        }];
        scenario.load_balancer = LoadBalancer {
            detection_delay: milliseconds(delay_ms),
        };
        sum(&run(&scenario, 1), |window| {
            window.failed + window.client_attempts
        })
    };
    assert!(failures_and_attempts(1_000) > failures_and_attempts(0) + 100);
}
