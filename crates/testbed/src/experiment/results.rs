//! The folder of an experiment: its plan, and the reports of its runs.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::{Experiment, ExperimentError, Run};
use crate::atomic_file::write_atomically;
use crate::report::Report;
use crate::scenario::Scenario;

/// Name of the plan's file.
const PLAN_FILE: &str = "experiment.json";

/// The plan of an experiment, as its folder holds it.
#[derive(Serialize, Deserialize)]
struct Plan {
    experiment: Experiment,
    /// The scenarios by variant, as they are run, so that results of a changed scenario are not mixed in.
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

/// Writes the plan of an experiment into its folder, or compares it with the one that is there.
pub(super) fn keep_plan(experiment: &Experiment, folder: &Path) -> Result<(), ExperimentError> {
    let path = folder.join(PLAN_FILE);
    let plan = Plan::new(experiment)?;
    let text =
        serde_json::to_string(&plan).map_err(|e| ExperimentError::file(&path)(e.into()))? + "\n";
    match std::fs::read_to_string(&path) {
        Ok(existing) if existing == text => Ok(()),
        Ok(_) => Err(ExperimentError::AnotherExperiment {
            folder: folder.into(),
        }),
        Err(e) if e.kind() == ErrorKind::NotFound => {
            write_atomically(&path, text.as_bytes()).map_err(ExperimentError::file(&path))
        }
        Err(e) => Err(ExperimentError::file(&path)(e)),
    }
}

/// The report in a file, if it is complete. One that is cut off or has an older form counts as missing.
pub(super) fn read_report(path: &Path) -> Option<Report> {
    // A device can't be read to its end.
    if !path.is_file() {
        return None;
    }
    serde_json::from_slice(&std::fs::read(path).ok()?).ok()
}

/// What the folder of an experiment holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Results {
    /// The experiment.
    pub experiment: Experiment,
    /// The reports of its runs so far.
    pub reports: BTreeMap<Run, Report>,
}

/// Reads the folder of an experiment.
///
/// # Errors
/// If the folder holds none, or one that can't be read.
pub fn results(folder: &Path) -> Result<Results, ExperimentError> {
    let path = folder.join(PLAN_FILE);
    let text = std::fs::read(&path).map_err(ExperimentError::file(&path))?;
    let Plan { experiment, .. } =
        serde_json::from_slice(&text).map_err(|e| ExperimentError::file(&path)(e.into()))?;
    let mut reports = BTreeMap::new();
    for run in experiment.runs() {
        if let Some(report) = read_report(&run.file(folder)) {
            reports.insert(run, report);
        }
    }
    Ok(Results {
        experiment,
        reports,
    })
}
