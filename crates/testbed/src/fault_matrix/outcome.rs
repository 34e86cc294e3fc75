//! Compares the runs of one case of the matrix with the runs without faults, and finds the goals that the case misses.

use std::fmt::{self, Display, Formatter};

use super::FaultKind;
use crate::report::{Counts, Report};

/// Up to this rate, the service level may be at most [`MAX_LOSS_AT_LOW_RATE`] lower than without faults, and the 99th
/// percentile of latencies at most [`MAX_LATENCY_RATIO`] times as high.
const LOW_RATE: f64 = 0.01;
const MAX_LOSS_AT_LOW_RATE: f64 = 0.01;
const MAX_LATENCY_RATIO: f64 = 1.5;
/// Up to this rate, the service level may be at most [`MAX_LOSS_AT_MIDDLE_RATE`] lower than without faults.
const MIDDLE_RATE: f64 = 0.05;
const MAX_LOSS_AT_MIDDLE_RATE: f64 = 0.05;

/// A kind of fault, injected at a rate into a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Case {
    /// Name of the scenario.
    pub scenario: String,
    /// The kind of fault.
    pub kind: FaultKind,
    /// The fraction of the calls that it affects; `None` for a kind without a rate.
    pub rate: Option<f64>,
}

/// The outcome of one run.
#[derive(Debug, Clone, PartialEq)]
pub enum RunOutcome {
    /// The run was completed.
    Completed(RunSummary),
    /// A node did not start.
    NotStarted {
        /// The reason, with the last line of the node's log.
        reason: String,
    },
}

/// The results of a completed run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunSummary {
    /// The service level.
    pub service_level: f64,
    /// The 99th percentile of latencies of the class with the most requests, in microseconds.
    pub p99_us: u64,
    /// Number of invariant violations.
    pub violation_count: usize,
    /// The first violation, as text.
    pub first_violation: Option<String>,
    /// Number of faults injected: affected system calls and readings of wrong clocks.
    pub injected: u64,
}

impl RunSummary {
    /// Summarizes a report.
    pub fn of(report: &Report) -> RunSummary {
        let classes = report.classes.values();
        let busiest_class = classes.max_by_key(|class| {
            let Counts { requests, .. } = class.counts;
            requests
        });
        RunSummary {
            service_level: report.service_level,
            p99_us: busiest_class.map_or(0, |class| class.latency.p99_us),
            violation_count: report.violation_count,
            first_violation: report.violations.first().cloned(),
            injected: report
                .injected_faults
                .iter()
                .map(|fault| fault.injected)
                .sum(),
        }
    }
}

/// The runs of a case compared with the runs of the same seeds without faults.
#[derive(Debug, Clone, PartialEq)]
pub struct CaseOutcome {
    /// The case.
    pub case: Case,
    /// Number of runs.
    pub runs: usize,
    /// Number of runs in which a node did not start.
    pub not_started: usize,
    /// Mean service level of the runs in which all nodes started.
    pub service_level: f64,
    /// Mean service level of the same seeds without faults.
    pub baseline_service_level: f64,
    /// The ratio of the 99th percentile of latencies to that without faults: the median over the seeds.
    pub p99_ratio: f64,
    /// Number of invariant violations in all runs.
    pub violation_count: usize,
    /// Number of faults injected in all runs: affected system calls and readings of wrong clocks.
    pub injected: u64,
    /// The first violation, or the reason why a node did not start, as text.
    pub first_problem: Option<String>,
}

/// A goal that a case misses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissedGoal {
    /// A node did not start.
    Startup,
    /// An invariant was violated.
    Invariants,
    /// The service level is too far below the baseline.
    Service,
    /// The 99th percentile of latencies is too high.
    Latency,
    /// No fault was injected, so that nothing was tested.
    Injection,
}

impl Display for MissedGoal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MissedGoal::Startup => "starts",
            MissedGoal::Invariants => "invariants",
            MissedGoal::Service => "service",
            MissedGoal::Latency => "p99",
            MissedGoal::Injection => "nothing injected",
        })
    }
}

impl CaseOutcome {
    /// Compares the runs of a case with those without faults. Both are in the order of the same seeds.
    pub fn new(case: Case, baseline: &[RunSummary], runs: &[RunOutcome]) -> CaseOutcome {
        let mut outcome = CaseOutcome {
            case,
            runs: runs.len(),
            not_started: 0,
            service_level: 0.0,
            baseline_service_level: 0.0,
            p99_ratio: 0.0,
            violation_count: 0,
            injected: 0,
            first_problem: None,
        };
        let mut ratios = Vec::new();
        for (baseline_run, run) in baseline.iter().zip(runs) {
            match run {
                RunOutcome::NotStarted { reason } => {
                    outcome.not_started += 1;
                    outcome.first_problem.get_or_insert(reason.clone());
                }
                RunOutcome::Completed(summary) => {
                    outcome.add(baseline_run, summary);
                    ratios.push(summary.p99_us as f64 / baseline_run.p99_us.max(1) as f64);
                }
            }
        }
        let completed_runs = ratios.len().max(1) as f64;
        outcome.service_level /= completed_runs;
        outcome.baseline_service_level /= completed_runs;
        ratios.sort_by(f64::total_cmp);
        outcome.p99_ratio = ratios.get(ratios.len() / 2).copied().unwrap_or(0.0);
        outcome
    }

    /// Adds a completed run. The service levels are sums until all runs are added.
    fn add(&mut self, baseline_run: &RunSummary, run: &RunSummary) {
        self.service_level += run.service_level;
        self.baseline_service_level += baseline_run.service_level;
        self.violation_count += run.violation_count;
        self.injected += run.injected;
        if let Some(violation) = &run.first_violation {
            self.first_problem.get_or_insert(violation.clone());
        }
    }

    /// The goals that the case misses.
    pub fn missed_goals(&self) -> Vec<MissedGoal> {
        let service_loss = self.baseline_service_level - self.service_level;
        // A wrong clock should have no effect: clock faults have to meet the goals of the lowest rate.
        let rate = self.case.rate.unwrap_or(0.0);
        let is_service_too_low = rate <= LOW_RATE && service_loss > MAX_LOSS_AT_LOW_RATE
            || rate <= MIDDLE_RATE && service_loss > MAX_LOSS_AT_MIDDLE_RATE;
        let is_too_slow = rate <= LOW_RATE && self.p99_ratio > MAX_LATENCY_RATIO;
        let tested_nothing =
            self.injected == 0 && self.not_started == 0 && self.case.kind.affects_frequent_calls();
        let goals = [
            (MissedGoal::Startup, self.not_started > 0),
            (MissedGoal::Invariants, self.violation_count > 0),
            (MissedGoal::Service, is_service_too_low),
            (MissedGoal::Latency, is_too_slow),
            (MissedGoal::Injection, tested_nothing),
        ];
        let missed = goals.into_iter().filter(|(_, missed)| *missed);
        missed.map(|(goal, _)| goal).collect()
    }
}
