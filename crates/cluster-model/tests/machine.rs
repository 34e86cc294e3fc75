//! The machine: shared cores, slots and queue, warm-up, stolen capacity, cancellation.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::Micros;
use cluster_model::machine::{Machine, MachineConfig};

const SECOND: Micros = 1_000_000;

/// A job that a machine has completed.
#[derive(Debug)]
struct Completed {
    job: u64,
    at: Micros,
}

/// Runs a machine until all jobs are completed.
fn run(machine: &mut Machine) -> Vec<Completed> {
    let mut completed = Vec::new();
    while let Some(at) = machine.next_event_at() {
        let jobs = machine.take_completed(at);
        completed.extend(jobs.into_iter().map(|job| Completed { job, at }));
    }
    completed
}

fn machine(config: MachineConfig) -> Machine {
    Machine::new(config, 0, 0)
}

fn one_core() -> MachineConfig {
    MachineConfig {
        cores: 1.0,
        ..MachineConfig::default()
    }
}

#[test]
fn jobs_share_the_cores_and_queue_for_slots_in_order() {
    let mut machine = machine(MachineConfig {
        cores: 2.0,
        slots: 4,
        queue_capacity: 1,
        ..MachineConfig::default()
    });
    let accepted: Vec<_> = (0..6).map(|job| machine.submit(0, job, 1_000.0)).collect();
    assert_eq!(
        accepted,
        [true, true, true, true, true, false],
        "four slots and a queue of one"
    );
    assert_eq!(machine.job_count(), 5);
    assert_eq!(machine.queue_length(), 1);
    assert_eq!(machine.utilization(), 1.0);
    let completed = run(&mut machine);
    assert!(
        completed[..4]
            .iter()
            .all(|completed| completed.at.abs_diff(2_000) <= 2),
        "four jobs share two cores: {completed:?}"
    );
    assert!(
        completed[4].job == 4 && completed[4].at.abs_diff(3_000) <= 3,
        "the fifth job has a core to itself: {completed:?}"
    );
}

#[test]
fn arrivals_and_completions_change_the_completion_times_of_other_jobs() {
    let mut shared = machine(one_core());
    shared.submit(0, 1, 1_000.0);
    shared.submit(500, 2, 250.0);
    let expected = [
        Completed { job: 2, at: 1_000 },
        Completed { job: 1, at: 1_250 },
    ];
    for (completed, expected) in run(&mut shared).iter().zip(&expected) {
        assert_eq!(completed.job, expected.job);
        assert!(completed.at.abs_diff(expected.at) <= 2, "{completed:?}");
    }
    let mut congested = machine(MachineConfig {
        slots: 10,
        congestion_threshold: 1.0,
        congestion_loss: 0.5,
        ..one_core()
    });
    for job in 0..3 {
        assert!(congested.submit(0, job, 100.0));
    }
    assert!(
        run(&mut congested)[0].at.abs_diff(600) <= 2,
        "three jobs at half efficiency"
    );
    let mut stolen = machine(one_core());
    stolen.set_stolen_share(0, 0.75);
    stolen.submit(0, 1, 100.0);
    assert!(
        run(&mut stolen)[0].at.abs_diff(400) <= 2,
        "a quarter of the capacity is left"
    );
}

#[test]
fn a_cold_machine_warms_up_over_time_and_faster_under_load() {
    let config = MachineConfig {
        cold_share: 0.2,
        warm_up: 10 * SECOND,
        ..one_core()
    };
    let idle = machine(config.clone());
    assert!((idle.warm_fraction(0) - 0.2).abs() < 1e-9);
    assert!((idle.warm_fraction(5 * SECOND) - 0.6).abs() < 1e-9);
    assert_eq!(idle.warm_fraction(20 * SECOND), 1.0);
    let mut busy = machine(MachineConfig {
        warm_by_work: 0.5,
        ..config
    });
    for job in 0..100 {
        let at = busy.next_event_at().unwrap_or(0);
        busy.take_completed(at);
        busy.submit(at, job, 20_000.0);
    }
    let at = busy.next_event_at().unwrap();
    busy.take_completed(at);
    assert!(
        busy.warm_fraction(at) > idle.warm_fraction(at) + 0.2,
        "{} at {at}, {} idle",
        busy.warm_fraction(at),
        idle.warm_fraction(at)
    );
}

#[test]
fn a_cancelled_job_leaves_the_queue_but_not_a_slot() {
    for drops_cancelled in [true, false] {
        let mut machine = machine(MachineConfig {
            slots: 1,
            queue_capacity: 2,
            drops_cancelled,
            ..one_core()
        });
        for job in 0..3 {
            assert!(machine.submit(0, job, 100.0));
        }
        assert!(!machine.cancel(10, 0), "job 0 is running");
        assert_eq!(machine.cancel(10, 1), drops_cancelled, "job 1 is queued");
        let remaining = if drops_cancelled { 2 } else { 3 };
        assert_eq!(run(&mut machine).len(), remaining);
    }
}
