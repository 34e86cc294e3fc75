//! Writes the results of an experiment as JSON lines and as a self-contained HTML page with inline plots.

mod page;
mod plot;
mod variant;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::atomic_file::write_atomically;
use crate::compare::{self, Difference};
use crate::experiment::{ExperimentError, Results, Run, results};
use crate::report::Report;

/// Name of the file of JSON lines.
const RESULTS_FILE: &str = "results.jsonl";
/// Name of the file of the HTML page.
const PAGE_FILE: &str = "report.html";

/// A line of the JSON lines file.
#[derive(Serialize)]
#[serde(tag = "line", rename_all = "lowercase")]
enum ResultLine<'a> {
    #[serde(rename = "play")]
    Run {
        #[serde(flatten)]
        run: &'a Run,
        report: &'a Report,
    },
    Difference(&'a Difference),
}

/// A summary of the results that were written.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The differences between the variants.
    pub differences: Vec<Difference>,
    /// Number of completed runs.
    pub done: usize,
    /// Number of all runs of the experiment.
    pub total: usize,
    /// Runs that violated an invariant.
    pub violations: Vec<Run>,
    /// Files that contain no complete report. Their runs do not count as completed.
    pub incomplete: Vec<PathBuf>,
}

/// Reads the runs of an experiment's folder, and writes `results.jsonl` and `report.html` into it.
///
/// # Errors
/// If the folder contains no experiment, or a file can't be read or written.
pub fn write(folder: &Path) -> Result<Summary, ExperimentError> {
    let Results {
        experiment,
        reports,
        incomplete,
    } = results(folder)?;
    let differences = compare::differences(&experiment, &reports);
    let lines =
        json_lines(&reports, &differences).map_err(|e| ExperimentError::file(folder)(e.into()))?;
    write_file(&folder.join(RESULTS_FILE), &lines)?;
    let page = page::render(&experiment, &reports, &differences);
    write_file(&folder.join(PAGE_FILE), &page)?;
    let violations = reports
        .iter()
        .filter(|(_, report)| !report.invariants_hold())
        .map(|(run, _)| run.clone())
        .collect();
    Ok(Summary {
        differences,
        done: reports.len(),
        total: experiment.run_count(),
        violations,
        incomplete,
    })
}

fn json_lines(
    reports: &BTreeMap<Run, Report>,
    differences: &[Difference],
) -> serde_json::Result<String> {
    let runs = reports
        .iter()
        .map(|(run, report)| ResultLine::Run { run, report });
    let mut text = String::new();
    for line in runs.chain(differences.iter().map(ResultLine::Difference)) {
        text += &serde_json::to_string(&line)?;
        text.push('\n');
    }
    Ok(text)
}

fn write_file(path: &Path, text: &str) -> Result<(), ExperimentError> {
    Ok(write_atomically(path, text.as_bytes())?)
}
