//! What the runs of one case of the matrix show beside those without faults, and which goals it misses.

use std::fmt::{self, Display, Formatter};

use super::FaultKind;
use crate::report::{Counts, Report};

/// Up to this rate, the service may fall by [`MAX_LOSS_AT_LOW_RATE`] and latencies by [`MAX_LATENCY_RATIO`].
const LOW_RATE: f64 = 0.01;
const MAX_LOSS_AT_LOW_RATE: f64 = 0.01;
const MAX_LATENCY_RATIO: f64 = 1.5;
/// Up to this rate, the service may fall by [`MAX_LOSS_AT_MIDDLE_RATE`].
const MIDDLE_RATE: f64 = 0.05;
const MAX_LOSS_AT_MIDDLE_RATE: f64 = 0.05;

/// A kind of faults at a rate in a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Case {
    /// Name of the scenario.
    pub scenario: String,
    /// The kind.
    pub kind: FaultKind,
    /// The fraction of the calls that it hits; none for a kind without one.
    pub rate: Option<f64>,
}

/// What is kept of one run.
#[derive(Debug, Clone, PartialEq)]
pub enum RunOutcome {
    /// It went to its end.
    Ended(RunSummary),
    /// A node did not start.
    NotStarted {
        /// Why, by the last line of its log.
        reason: String,
    },
}

/// The figures of a run that went to its end.
#[derive(Debug, Clone, PartialEq)]
pub struct RunSummary {
    /// The service level.
    pub service: f64,
    /// The 99th percentile of the latency of the class with most requests, in microseconds.
    pub p99_us: u64,
    /// Number of violations.
    pub violation_count: usize,
    /// The first violation, in words.
    pub first_violation: Option<String>,
    /// System calls that were hit, and readings of clocks that were off.
    pub injected: u64,
}

impl RunSummary {
    /// The figures of a report.
    pub fn of(report: &Report) -> RunSummary {
        let classes = report.classes.values();
        let largest = classes.max_by_key(|class| {
            let Counts { requests, .. } = class.counts;
            requests
        });
        RunSummary {
            service: report.service,
            p99_us: largest.map_or(0, |class| class.latency.p99_us),
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

/// The runs of a case beside the runs of the same seeds without faults.
#[derive(Debug, Clone, PartialEq)]
pub struct CaseOutcome {
    /// The case.
    pub case: Case,
    /// Number of runs.
    pub runs: usize,
    /// Runs in which a node did not start.
    pub not_started: usize,
    /// Mean service level of the runs that started.
    pub service: f64,
    /// Mean service level of the same seeds without faults.
    pub baseline_service: f64,
    /// Median over the seeds of the 99th percentile of latencies over that without faults.
    pub p99_ratio: f64,
    /// Violations over all runs.
    pub violation_count: usize,
    /// System calls that were hit over all runs, and readings of clocks that were off.
    pub injected: u64,
    /// The first violation, or why a node did not start, in words.
    pub first_problem: Option<String>,
}

/// A goal that a case misses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissedGoal {
    /// A node did not start.
    Starts,
    /// A rule was broken.
    Rules,
    /// The service fell too far.
    Service,
    /// Latencies rose too far.
    Latency,
    /// Nothing was injected, so that nothing was tested.
    Injection,
}

impl Display for MissedGoal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MissedGoal::Starts => "starts",
            MissedGoal::Rules => "rules",
            MissedGoal::Service => "service",
            MissedGoal::Latency => "p99",
            MissedGoal::Injection => "nothing injected",
        })
    }
}

impl CaseOutcome {
    /// Compares the runs of a case with those without faults, which are in the order of the same seeds.
    pub fn new(case: Case, baseline: &[RunSummary], runs: &[RunOutcome]) -> CaseOutcome {
        let mut outcome = CaseOutcome {
            case,
            runs: runs.len(),
            not_started: 0,
            service: 0.0,
            baseline_service: 0.0,
            p99_ratio: 0.0,
            violation_count: 0,
            injected: 0,
            first_problem: None,
        };
        let mut ratios = Vec::new();
        for (without, run) in baseline.iter().zip(runs) {
            match run {
                RunOutcome::NotStarted { reason } => {
                    outcome.not_started += 1;
                    outcome.first_problem.get_or_insert(reason.clone());
                }
                RunOutcome::Ended(with) => {
                    outcome.add(without, with);
                    ratios.push(with.p99_us as f64 / without.p99_us.max(1) as f64);
                }
            }
        }
        let started = ratios.len().max(1) as f64;
        outcome.service /= started;
        outcome.baseline_service /= started;
        ratios.sort_by(f64::total_cmp);
        outcome.p99_ratio = ratios.get(ratios.len() / 2).copied().unwrap_or(0.0);
        outcome
    }

    /// Adds a run. The services are sums until all runs are added.
    fn add(&mut self, without: &RunSummary, with: &RunSummary) {
        self.service += with.service;
        self.baseline_service += without.service;
        self.violation_count += with.violation_count;
        self.injected += with.injected;
        if let Some(violation) = &with.first_violation {
            self.first_problem.get_or_insert(violation.clone());
        }
    }

    /// The goals that it misses.
    pub fn missed_goals(&self) -> Vec<MissedGoal> {
        let lost = self.baseline_service - self.service;
        // A clock that is off costs nothing: it is judged as the lowest rate.
        let rate = self.case.rate.unwrap_or(0.0);
        let loses_too_much = rate <= LOW_RATE && lost > MAX_LOSS_AT_LOW_RATE
            || rate <= MIDDLE_RATE && lost > MAX_LOSS_AT_MIDDLE_RATE;
        let is_too_slow = rate <= LOW_RATE && self.p99_ratio > MAX_LATENCY_RATIO;
        let tests_nothing =
            self.injected == 0 && self.not_started == 0 && self.case.kind.concerns_frequent_calls();
        let goals = [
            (MissedGoal::Starts, self.not_started > 0),
            (MissedGoal::Rules, self.violation_count > 0),
            (MissedGoal::Service, loses_too_much),
            (MissedGoal::Latency, is_too_slow),
            (MissedGoal::Injection, tests_nothing),
        ];
        let missed = goals.into_iter().filter(|(_, missed)| *missed);
        missed.map(|(goal, _)| goal).collect()
    }
}
