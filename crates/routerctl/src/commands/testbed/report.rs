//! `routerctl testbed report`: compares the runs of an experiment.

use std::path::{Path, PathBuf};

use clap::Args;
use testbed::experiment::Run;
use testbed::html_report::{self, Summary};

use crate::outcome::{CommandResult, Outcome};
use crate::output::{OutputError, print_line};

/// The metric whose differences are printed. The HTML page shows all metrics.
const PRINTED_METRIC: &str = "service";

#[derive(Args)]
#[command(after_help = "Example:\n  routerctl testbed report target/retries")]
pub struct Arguments {
    /// Folder of the experiment
    folder: PathBuf,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    print(&arguments.folder)
}

/// Writes the HTML page of an experiment's folder and prints the differences between its variants.
pub fn print(folder: &Path) -> CommandResult {
    let summary = html_report::write(folder)?;
    print_differences(&summary)?;
    for Run {
        scenario,
        seed,
        variant,
    } in &summary.violations
    {
        print_line(format_args!(
            "RULES BROKEN: {scenario}, seed {seed}, {variant}"
        ))?;
    }
    for path in &summary.incomplete {
        print_line(format_args!(
            "INCOMPLETE: {}: run the experiment again to repeat it",
            path.display()
        ))?;
    }
    let (completed, all) = (summary.done, summary.total);
    print_line(format_args!(
        "{completed} of {all} runs; {} and results.jsonl beside it",
        folder.join("report.html").display()
    ))?;
    Ok(Outcome::passed_if(
        summary.violations.is_empty() && completed == all,
    ))
}

fn print_differences(summary: &Summary) -> Result<(), OutputError> {
    print_line(format_args!(
        "{:<16} {:<16} {:>5} {:>8} {:>8}   95% interval",
        "scenario", "variant", "pairs", "service", "diff."
    ))?;
    let differences = summary.differences.iter();
    for difference in differences.filter(|difference| difference.metric == PRINTED_METRIC) {
        let (low, high) = (difference.interval.low, difference.interval.high);
        let service = difference.baseline_mean + difference.mean_difference;
        print_line(format_args!(
            "{:<16} {:<16} {:>5} {service:>8.4} {:>+8.4}   {low:+.4} to {high:+.4}",
            difference.scenario, difference.variant, difference.pairs, difference.mean_difference
        ))?;
    }
    Ok(())
}
