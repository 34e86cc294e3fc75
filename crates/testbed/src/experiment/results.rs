//! The folder of an experiment: the plan and the reports of its runs.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::{Experiment, ExperimentError, Run};
use crate::atomic_file::write_atomically;
use crate::report::Report;
use crate::scenario::Scenario;

/// Name of the plan's file.
const PLAN_FILE: &str = "experiment.json";

/// The plan of an experiment, as stored in its folder.
#[derive(Serialize, Deserialize)]
struct Plan {
    experiment: Experiment,
    /// The scenarios of each variant with its overrides. They are stored so that results of a scenario that has changed
    /// since are not mixed with new ones.
    scenarios: BTreeMap<String, Vec<Scenario>>,
}

impl Plan {
    fn new(experiment: &Experiment) -> Result<Plan, ExperimentError> {
        let mut scenarios = BTreeMap::new();
        for variant in &experiment.variants {
            let read = experiment.scenarios.iter();
            let read: Result<_, _> = read.map(|path| variant.read_scenario(path)).collect();
            scenarios.insert(variant.name.clone(), read?);
        }
        Ok(Plan {
            experiment: experiment.clone(),
            scenarios,
        })
    }
}

/// Writes the plan of an experiment into its folder, or checks that the plan stored there is the same.
pub(super) fn write_or_check_plan(
    experiment: &Experiment,
    folder: &Path,
) -> Result<(), ExperimentError> {
    let path = folder.join(PLAN_FILE);
    let plan = Plan::new(experiment)?;
    let text =
        serde_json::to_string(&plan).map_err(|e| ExperimentError::file(&path)(e.into()))? + "\n";
    match std::fs::read_to_string(&path) {
        Ok(existing) if existing == text => Ok(()),
        Ok(_) => Err(ExperimentError::AnotherExperiment {
            folder: folder.into(),
        }),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(write_atomically(&path, text.as_bytes())?),
        Err(e) => Err(ExperimentError::file(&path)(e)),
    }
}

/// The content of the file of a run.
pub(super) enum StoredReport {
    /// The file does not exist.
    Missing,
    /// The file is truncated or has an older format. The run is repeated.
    Incomplete,
    /// A complete report.
    Complete(Box<Report>),
}

/// Reads the file of a run. If it can't be read, that is an error, because it may contain a result.
pub(super) fn read_report(path: &Path) -> Result<StoredReport, ExperimentError> {
    // A device, such as /dev/full, can't be read to its end.
    if !path.is_file() {
        return Ok(StoredReport::Missing);
    }
    let text = std::fs::read(path).map_err(ExperimentError::file(path))?;
    Ok(match serde_json::from_slice(&text) {
        Ok(report) => StoredReport::Complete(Box::new(report)),
        Err(_) => StoredReport::Incomplete,
    })
}

/// The files in the folder of an experiment that contain no complete report. Their runs are repeated.
///
/// # Errors
/// If a file can't be read.
pub fn incomplete_reports(
    experiment: &Experiment,
    folder: &Path,
) -> Result<Vec<PathBuf>, ExperimentError> {
    let mut incomplete = Vec::new();
    for run in experiment.runs() {
        let path = run.file(folder);
        if let StoredReport::Incomplete = read_report(&path)? {
            incomplete.push(path);
        }
    }
    Ok(incomplete)
}

/// The content of an experiment's folder.
#[derive(Debug, Clone, PartialEq)]
pub struct Results {
    /// The experiment.
    pub experiment: Experiment,
    /// The reports of its runs so far.
    pub reports: BTreeMap<Run, Report>,
    /// Files that contain no complete report.
    pub incomplete: Vec<PathBuf>,
}

/// Reads the folder of an experiment.
///
/// # Errors
/// If the folder contains no experiment, or a file can't be read.
pub fn results(folder: &Path) -> Result<Results, ExperimentError> {
    let path = folder.join(PLAN_FILE);
    let text = std::fs::read(&path).map_err(ExperimentError::file(&path))?;
    let Plan { experiment, .. } =
        serde_json::from_slice(&text).map_err(|e| ExperimentError::file(&path)(e.into()))?;
    let mut reports = BTreeMap::new();
    let mut incomplete = Vec::new();
    for run in experiment.runs() {
        let path = run.file(folder);
        match read_report(&path)? {
            StoredReport::Missing => (),
            StoredReport::Incomplete => incomplete.push(path),
            StoredReport::Complete(report) => {
                reports.insert(run, *report);
            }
        }
    }
    Ok(Results {
        experiment,
        reports,
        incomplete,
    })
}
