//! Runs scenarios on sockets with each kind of faults of system calls and clocks, at several rates and with many seeds,
//! beside the same runs without faults.

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
use crate::sockets::shared::lock;
use crate::sockets::{self, Options, SocketError};

/// A scenario of a matrix.
#[derive(Debug, Clone)]
pub struct NamedScenario {
    /// Its name.
    pub name: String,
    /// The scenario.
    pub scenario: Scenario,
}

/// What a matrix runs.
#[derive(Debug, Clone)]
pub struct FaultMatrix {
    /// The scenarios.
    pub scenarios: Vec<NamedScenario>,
    /// The kinds of faults.
    pub kinds: Vec<FaultKind>,
    /// The fractions of the calls that are hit.
    pub rates: Vec<f64>,
    /// The seeds.
    pub seeds: Range<u64>,
}

/// What the runs need.
#[derive(Debug, Clone)]
pub struct MatrixOptions {
    /// The `cache-router` program.
    pub program: PathBuf,
    /// An existing folder, in which each run has one of its own for its nodes' configurations and logs.
    pub folder: PathBuf,
    /// Runs at the same time.
    pub jobs: usize,
}

/// Why a matrix was not run to its end.
#[derive(Debug, thiserror::Error)]
pub enum MatrixError {
    /// A run was not possible or was interrupted.
    #[error(transparent)]
    Run(#[from] SocketError),
    /// A run without faults did not start, so that there is nothing to compare with.
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
    /// Runs all cases, and reports each when its runs have ended.
    ///
    /// # Errors
    /// Where a run is not possible, is interrupted, or fails without faults.
    pub fn run(
        &self,
        options: &MatrixOptions,
        mut case_ended: impl FnMut(&CaseOutcome),
    ) -> Result<(), MatrixError> {
        for named in &self.scenarios {
            let baseline = self.baseline(named, options)?;
            for case in self.cases(named) {
                let events = case
                    .kind
                    .events(case.rate.unwrap_or(1.0), named.scenario.length);
                let label = match case.rate {
                    Some(rate) => format!("{}-{}-{rate}", named.name, case.kind),
                    None => format!("{}-{}", named.name, case.kind),
                };
                let runs = self.run_seeds(named, &events, &options.folder.join(label), options)?;
                case_ended(&CaseOutcome::new(case, &baseline, &runs));
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

    /// The runs of a scenario without faults of system calls, by seed.
    fn baseline(
        &self,
        named: &NamedScenario,
        options: &MatrixOptions,
    ) -> Result<Vec<RunSummary>, MatrixError> {
        let folder = options.folder.join(&named.name);
        let runs = self.run_seeds(named, &[], &folder, options)?;
        let summary = |(seed, run)| match run {
            RunOutcome::Ended(summary) => Ok(summary),
            RunOutcome::NotStarted { reason } => Err(MatrixError::Baseline {
                scenario: named.name.clone(),
                seed,
                reason,
            }),
        };
        self.seeds.clone().zip(runs).map(summary).collect()
    }

    /// Runs a scenario with some faults more, once with each seed.
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
        let next = AtomicUsize::new(0);
        let outcomes = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for _ in 0..options.jobs.clamp(1, seeds.len().max(1)) {
                scope.spawn(|| {
                    while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let folder = folder.join(seed.to_string());
                        let outcome = run_once(&scenario, *seed, &folder, &options.program);
                        let failed = outcome.is_err();
                        lock(&outcomes).push((*seed, outcome));
                        if failed {
                            // No further runs: the matrix can't be completed.
                            next.store(seeds.len(), Ordering::Relaxed);
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

/// Runs a scenario with a seed; Ctrl-C interrupts it.
fn run_once(
    scenario: &Scenario,
    seed: u64,
    folder: &Path,
    program: &Path,
) -> Result<RunOutcome, MatrixError> {
    std::fs::create_dir_all(folder)?;
    let options = Options { program, folder };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let interrupted = async { drop(tokio::signal::ctrl_c().await) };
    let run = sockets::run(scenario, seed, &options, interrupted, |_| ());
    match runtime.block_on(run) {
        Ok(report) => Ok(RunOutcome::Ended(RunSummary::of(&report))),
        Err(error @ SocketError::NotReady { .. }) => Ok(RunOutcome::NotStarted {
            reason: error.to_string(),
        }),
        Err(error) => Err(error.into()),
    }
}
