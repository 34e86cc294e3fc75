//! Executes the runs of an experiment that have no result yet: on several threads in virtual time, one after another on
//! sockets.

use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, mpsc};
use std::time::Duration;

use super::results::{StoredReport, read_report, write_or_check_plan};
use super::{Driver, Experiment, ExperimentError, Run, Variant, commit_build, scenario_name};
use crate::atomic_file::{create_folder, remove_stale_temporary_files};
use crate::program::{self, ProgramError};
use crate::report::Report;
use crate::scenario::Scenario;
use crate::sockets::shared::lock_ignoring_poison;
use crate::sockets::{self, RunOptions, SocketError};
use crate::virtual_time;

/// Interval at which a run on sockets checks whether it should stop.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// A run that has just been completed, and the progress of the experiment.
#[derive(Debug, Clone)]
pub struct CompletedRun {
    /// The run.
    pub run: Run,
    /// Its service level.
    pub service_level: f64,
    /// Number of completed runs.
    pub done: usize,
    /// Number of all runs.
    pub total: usize,
}

/// Executes the runs that have no complete report in a folder, on this many threads. When `stop` is set, the current
/// runs in virtual time are still completed, and a run on sockets is aborted. Reports of completed runs are kept.
///
/// # Errors
/// If the folder belongs to another experiment, a program is missing, a run fails, a file can't be written, or it was
/// stopped.
pub fn run(
    experiment: &Experiment,
    folder: &Path,
    threads: usize,
    stop: &AtomicBool,
    report_progress: impl FnMut(&CompletedRun),
) -> Result<(), ExperimentError> {
    create_folder(folder).map_err(ExperimentError::file(folder))?;
    remove_stale_temporary_files(folder).map_err(ExperimentError::file(folder))?;
    write_or_check_plan(experiment, folder)?;
    let runs = experiment.runs();
    let total = runs.len();
    let mut missing = VecDeque::new();
    for run in runs {
        match read_report(&run.file(folder))? {
            StoredReport::Complete(_) => (),
            StoredReport::Missing | StoredReport::Incomplete => missing.push_back(run),
        }
    }
    let mut runner = Runner {
        experiment,
        folder,
        stop,
        done: total - missing.len(),
        total,
        report_progress,
    };
    let (on_sockets, in_virtual_time) = missing
        .into_iter()
        .partition(|run| runner.driver(run) == Driver::Sockets);
    runner.run_in_virtual_time(in_virtual_time, threads.max(1))?;
    runner.run_on_sockets(on_sockets)?;
    let done = runner.done;
    if done < total {
        return Err(ExperimentError::Interrupted { done, total });
    }
    Ok(())
}

struct Runner<'a, F> {
    experiment: &'a Experiment,
    folder: &'a Path,
    stop: &'a AtomicBool,
    done: usize,
    total: usize,
    report_progress: F,
}

impl<F: FnMut(&CompletedRun)> Runner<'_, F> {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn driver(&self, run: &Run) -> Driver {
        find_variant(self.experiment, run).map_or(self.experiment.driver, |variant| {
            self.experiment.driver_of(variant)
        })
    }

    /// Saves the report of a run. The run counts as completed once the file is on stable storage.
    fn save_report(&mut self, run: Run, report: &Report) -> Result<(), ExperimentError> {
        let path = run.file(self.folder);
        report
            .save(&path)
            .map_err(|source| ExperimentError::ReportNotSaved {
                done: self.done,
                total: self.total,
                source,
            })?;
        self.done += 1;
        (self.report_progress)(&CompletedRun {
            run,
            service_level: report.service_level,
            done: self.done,
            total: self.total,
        });
        Ok(())
    }

    fn run_in_virtual_time(
        &mut self,
        runs: VecDeque<Run>,
        threads: usize,
    ) -> Result<(), ExperimentError> {
        let queue = Mutex::new(runs);
        let (sender, reports) = mpsc::sync_channel(threads);
        let experiment = self.experiment;
        let stop = self.stop;
        std::thread::scope(|scope| {
            for _ in 0..threads {
                let sender = sender.clone();
                let queue = &queue;
                scope.spawn(move || process_queue(experiment, queue, stop, &sender));
            }
            // Without this sender, the channel is closed once all threads have ended.
            drop(sender);
            for completed in reports {
                let (run, report) = completed?;
                self.save_report(run, &report)?;
            }
            Ok(())
        })
    }

    fn run_on_sockets(&mut self, runs: VecDeque<Run>) -> Result<(), ExperimentError> {
        let mut programs: BTreeMap<String, PathBuf> = BTreeMap::new();
        for run in runs {
            if self.stopped() {
                return Ok(());
            }
            let Some(variant) = find_variant(self.experiment, &run) else {
                continue;
            };
            let program = match programs.get(&variant.name) {
                Some(program) => program.clone(),
                None => find_program(variant, self.folder)?,
            };
            programs.insert(variant.name.clone(), program.clone());
            let scenario = read_scenario(self.experiment, &run)?;
            match run_on_sockets(&scenario, run.seed, &program, self.stop) {
                Ok(report) => self.save_report(run, &report)?,
                Err(SocketError::Interrupted) => return Ok(()),
                Err(source) => {
                    let run = format!(
                        "{} with seed {}, variant {}",
                        run.scenario, run.seed, run.variant
                    );
                    return Err(ExperimentError::Run { run, source });
                }
            }
        }
        Ok(())
    }
}

/// A completed run with its report, or the reason why it failed.
type Completed = Result<(Run, Report), ExperimentError>;

/// Executes runs from a queue until the queue is empty, `stop` is set, or the receiver of the reports is gone.
fn process_queue(
    experiment: &Experiment,
    queue: &Mutex<VecDeque<Run>>,
    stop: &AtomicBool,
    reports: &mpsc::SyncSender<Completed>,
) {
    while !stop.load(Ordering::Relaxed) {
        let Some(run) = lock_ignoring_poison(queue).pop_front() else {
            return;
        };
        let completed = read_scenario(experiment, &run).map(|scenario| {
            let report = virtual_time::run(&scenario, run.seed);
            (run, report)
        });
        if reports.send(completed).is_err() {
            return;
        }
    }
}

fn find_variant<'a>(experiment: &'a Experiment, run: &Run) -> Option<&'a Variant> {
    let mut variants = experiment.variants.iter();
    variants.find(|variant| variant.name == run.variant)
}

/// The scenario of a run, with the overrides of its variant.
fn read_scenario(experiment: &Experiment, run: &Run) -> Result<Scenario, ExperimentError> {
    let mut scenarios = experiment.scenarios.iter();
    let path = scenarios.find(|path| scenario_name(path) == run.scenario);
    let path = path.cloned().unwrap_or_default();
    let default = Variant {
        name: run.variant.clone(),
        ..Variant::default()
    };
    let variant = find_variant(experiment, run).unwrap_or(&default);
    variant.read_scenario(&path)
}

/// The node program of a variant.
fn find_program(variant: &Variant, folder: &Path) -> Result<PathBuf, ExperimentError> {
    let found: Result<PathBuf, ProgramError> = match &variant.commit {
        Some(commit) => commit_build::build(commit, folder),
        None => program::find(variant.node.as_deref()),
    };
    found.map_err(|source| ExperimentError::Program {
        variant: variant.name.clone(),
        source,
    })
}

/// Runs a scenario on sockets. The run is aborted soon after `stop` is set.
fn run_on_sockets(
    scenario: &Scenario,
    seed: u64,
    program: &Path,
    stop: &AtomicBool,
) -> Result<Report, SocketError> {
    let system_error = |e| SocketError::io("cannot start a run", e);
    let folder = tempfile::tempdir().map_err(system_error)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system_error)?;
    let options = RunOptions {
        program,
        folder: folder.path(),
    };
    let stopped = async {
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(STOP_CHECK).await;
        }
    };
    runtime.block_on(sockets::run(scenario, seed, &options, stopped, |_| ()))
}
