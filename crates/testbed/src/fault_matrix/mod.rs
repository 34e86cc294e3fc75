//! Runs scenarios on real sockets with each kind of system call and clock fault, at several rates and with many seeds,
//! and compares them with runs of the same seeds without these faults.

mod kind;
mod outcome;

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

pub use kind::{FaultKind, UnknownFaultKind};
pub use outcome::{Case, CaseOutcome, MissedGoal, RunOutcome, RunSummary};

use crate::Scenario;
use crate::scenario::FaultEvent;
use crate::sockets::shared::lock_ignoring_poison;
use crate::sockets::{self, RunOptions, SocketError};

/// A scenario with its name.
#[derive(Debug, Clone)]
pub struct NamedScenario {
    /// The name, as printed in tables.
    pub name: String,
    /// The scenario.
    pub scenario: Scenario,
}

/// The combinations of scenarios, faults, rates and seeds to run.
#[derive(Debug, Clone)]
pub struct FaultMatrix {
    /// The scenarios.
    pub scenarios: Vec<NamedScenario>,
    /// The kinds of faults.
    pub kinds: Vec<FaultKind>,
    /// The fractions of the system calls that faults affect.
    pub rates: Vec<f64>,
    /// The seeds.
    pub seeds: Range<u64>,
}

/// Settings that all runs share.
#[derive(Debug, Clone)]
pub struct MatrixOptions {
    /// The `cache-router` program.
    pub program: PathBuf,
    /// An existing folder. Each run keeps the configurations and logs of its nodes in a subfolder.
    pub folder: PathBuf,
    /// Number of concurrent runs.
    pub jobs: usize,
}

/// Why a matrix was not completed.
#[derive(Debug, thiserror::Error)]
pub enum MatrixError {
    /// A run could not be completed or was interrupted.
    #[error(transparent)]
    Run(#[from] SocketError),
    /// A node did not start in a run without injected faults, so that there is no baseline to compare with.
    #[error("{scenario}, seed {seed}, without faults: {reason}")]
    Baseline {
        /// Name of the scenario.
        scenario: String,
        /// The seed.
        seed: u64,
        /// Why a node did not start.
        reason: String,
    },
    /// The operating system refused something.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

impl FaultMatrix {
    /// Runs all cases, and calls `on_case_completed` after the runs of each.
    ///
    /// # Errors
    /// If a run can't be completed or is interrupted, or if a node does not start in a run without injected faults.
    pub fn run(
        &self,
        options: &MatrixOptions,
        mut on_case_completed: impl FnMut(&CaseOutcome),
    ) -> Result<(), MatrixError> {
        for named in &self.scenarios {
            let baseline = self.run_baseline(named, options)?;
            for case in self.cases(named) {
                let events = case
                    .kind
                    .events(case.rate.unwrap_or(1.0), named.scenario.duration);
                let label = match case.rate {
                    Some(rate) => format!("{}-{}-{rate}", named.name, case.kind),
                    None => format!("{}-{}", named.name, case.kind),
                };
                let runs = self.run_seeds(named, &events, &options.folder.join(label), options)?;
                on_case_completed(&CaseOutcome::new(case, &baseline, &runs));
            }
        }
        Ok(())
    }

    /// The cases of a scenario.
    fn cases(&self, named: &NamedScenario) -> Vec<Case> {
        let mut cases = Vec::new();
        for kind in &self.kinds {
            let case = |rate| Case {
                scenario: named.name.clone(),
                kind: *kind,
                rate,
            };
            if kind.has_rate() {
                cases.extend(self.rates.iter().map(|rate| case(Some(*rate))));
            } else {
                cases.push(case(None));
            }
        }
        cases
    }

    /// Runs a scenario without injected faults, once with each seed.
    fn run_baseline(
        &self,
        named: &NamedScenario,
        options: &MatrixOptions,
    ) -> Result<Vec<RunSummary>, MatrixError> {
        let folder = options.folder.join(&named.name);
        let runs = self.run_seeds(named, &[], &folder, options)?;
        let summary = |(seed, run)| match run {
            RunOutcome::Completed(summary) => Ok(summary),
            RunOutcome::NotStarted { reason } => Err(MatrixError::Baseline {
                scenario: named.name.clone(),
                seed,
                reason,
            }),
        };
        self.seeds.clone().zip(runs).map(summary).collect()
    }

    /// Runs a scenario with additional faults, once with each seed. Returns the outcomes in the order of the seeds.
    fn run_seeds(
        &self,
        named: &NamedScenario,
        events: &[FaultEvent],
        folder: &Path,
        options: &MatrixOptions,
    ) -> Result<Vec<RunOutcome>, MatrixError> {
        let mut scenario = named.scenario.clone();
        scenario.faults.extend_from_slice(events);
        let seeds: Vec<u64> = self.seeds.clone().collect();
        let next_index = AtomicUsize::new(0);
        let outcomes = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for _ in 0..options.jobs.clamp(1, seeds.len().max(1)) {
                scope.spawn(|| {
                    while let Some(seed) = seeds.get(next_index.fetch_add(1, Ordering::Relaxed)) {
                        let folder = folder.join(seed.to_string());
                        let outcome = run_once(&scenario, *seed, &folder, &options.program);
                        let failed = outcome.is_err();
                        lock_ignoring_poison(&outcomes).push((*seed, outcome));
                        if failed {
                            // Start no further runs: the matrix can't be completed.
                            next_index.store(seeds.len(), Ordering::Relaxed);
                        }
                    }
                });
            }
        });
        let mut outcomes = outcomes.into_inner().unwrap_or_else(|e| e.into_inner());
        outcomes.sort_by_key(|(seed, _)| *seed);
        outcomes.into_iter().map(|(_, outcome)| outcome).collect()
    }
}

/// Runs a scenario with one seed, until it ends or Ctrl-C interrupts it.
fn run_once(
    scenario: &Scenario,
    seed: u64,
    folder: &Path,
    program: &Path,
) -> Result<RunOutcome, MatrixError> {
    std::fs::create_dir_all(folder)?;
    let options = RunOptions { program, folder };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let ctrl_c = async { drop(tokio::signal::ctrl_c().await) };
    let run = sockets::run(scenario, seed, &options, ctrl_c, |_| ());
    match runtime.block_on(run) {
        Ok(report) => Ok(RunOutcome::Completed(RunSummary::of(&report))),
        Err(error @ SocketError::NotReady { .. }) => Ok(RunOutcome::NotStarted {
            reason: error.to_string(),
        }),
        Err(error) => Err(error.into()),
    }
}
