//! `routerctl testbed faults`: compares scenarios with faults of system calls and clocks to the same scenarios without
//! faults.

use std::path::{Path, PathBuf};

use clap::Args;
use testbed::fault_matrix::{
    CaseOutcome, FaultKind, FaultMatrix, MatrixOptions, MissedGoal, NamedScenario,
};
use testbed::{Scenario, program};

use crate::outcome::{CommandError, CommandResult, Outcome, temporary_folder};
use crate::output::{OutputError, print_line};

#[derive(Args)]
#[command(
    after_help = "Goals: no rule is broken and all nodes start; at a rate of 0.01, service is within 0.01 and p99 within 1.5 times \
                  that of the runs without faults; at 0.05, service is within 0.05.\n\nExamples:\n  \
                  routerctl testbed faults --seeds 100 --jobs 4\n  \
                  routerctl testbed faults --scenarios calm,kill --kinds short-counts,interrupted --rates 0.01 --seeds 5"
)]
pub struct Arguments {
    /// Folder of the scenario files, in TOML (docs/TESTBED.md)
    #[arg(
        long,
        value_name = "DIR",
        default_value = "crates/testbed/scenarios/faults"
    )]
    folder: PathBuf,
    /// Names of the scenarios [default: all in the folder]
    #[arg(long, value_name = "NAME", value_delimiter = ',')]
    scenarios: Vec<String>,
    /// Kinds of faults [default: all]
    #[arg(long, value_name = "KIND", value_delimiter = ',')]
    kinds: Vec<FaultKind>,
    /// Fractions of the system calls that a fault is injected into
    #[arg(long, value_name = "PART", value_delimiter = ',', default_value = "0.01,0.05,0.2", value_parser = parse_rate)]
    rates: Vec<f64>,
    /// Number of seeds
    #[arg(long, value_name = "N", default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// First seed
    #[arg(long, value_name = "SEED", default_value_t = 1, value_parser = clap::value_parser!(u64).range(..=u64::from(u32::MAX)))]
    first_seed: u64,
    /// Number of runs at the same time; latencies are valid only on a machine that is not overloaded
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=64))]
    jobs: u8,
    /// Path of the cache-router program [default: the one next to this program]
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    /// Keep the configurations and logs of the nodes in this folder
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
}

fn parse_rate(text: &str) -> Result<f64, &'static str> {
    text.parse()
        .ok()
        .filter(|rate| (0.0..=1.0).contains(rate))
        .ok_or("write a fraction of the calls, 0 to 1")
}

impl Arguments {
    fn matrix(&self) -> Result<FaultMatrix, CommandError> {
        let kinds = if self.kinds.is_empty() {
            FaultKind::ALL.to_vec()
        } else {
            self.kinds.clone()
        };
        Ok(FaultMatrix {
            scenarios: self.read_scenarios()?,
            kinds,
            rates: self.rates.clone(),
            seeds: self.first_seed..self.first_seed + self.seeds,
        })
    }

    fn read_scenarios(&self) -> Result<Vec<NamedScenario>, CommandError> {
        let names = if self.scenarios.is_empty() {
            scenario_names_in(&self.folder)?
        } else {
            self.scenarios.clone()
        };
        let read = |name: String| {
            let path = self.folder.join(format!("{name}.toml"));
            let scenario = Scenario::read(&path)?;
            Ok(NamedScenario { name, scenario })
        };
        names.into_iter().map(read).collect()
    }
}

/// The names of the scenarios in a folder, sorted.
fn scenario_names_in(folder: &Path) -> std::io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let is_scenario = path
            .extension()
            .is_some_and(|extension| extension == "toml");
        if let Some(stem) = path.file_stem().filter(|_| is_scenario) {
            names.push(stem.to_string_lossy().into_owned());
        }
    }
    names.sort();
    Ok(names)
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let matrix = arguments.matrix()?;
    let temporary = temporary_folder()?;
    let folder = arguments.logs.as_deref().unwrap_or(temporary.path());
    let options = MatrixOptions {
        program: program::find(arguments.node.as_deref())?,
        folder: folder.to_path_buf(),
        jobs: arguments.jobs.into(),
    };
    let mut all_reached = true;
    print_header()?;
    let mut printed = Ok(());
    matrix.run(&options, |outcome| {
        let missed = outcome.missed_goals();
        all_reached &= missed.is_empty();
        if printed.is_ok() {
            printed = print_row(outcome, &missed);
        }
    })?;
    printed?;
    Ok(Outcome::passed_if(all_reached))
}

fn print_header() -> Result<(), OutputError> {
    print_line(format_args!(
        "{:<10} {:<13} {:>6} {:>5} {:>8} {:>8} {:>9} {:>9} {:>11} {:>9}  missed",
        "scenario",
        "faults",
        "rate",
        "runs",
        "service",
        "without",
        "p99 ratio",
        "broken",
        "not started",
        "injected"
    ))
}

fn print_row(outcome: &CaseOutcome, missed: &[MissedGoal]) -> Result<(), OutputError> {
    let CaseOutcome {
        case,
        runs,
        not_started,
        service_level,
        baseline_service_level,
        p99_ratio,
        violation_count,
        injected,
        first_problem,
    } = outcome;
    let rate = case.rate.map_or("-".to_string(), |rate| rate.to_string());
    let missed: Vec<String> = missed.iter().map(MissedGoal::to_string).collect();
    print_line(format_args!(
        "{:<10} {:<13} {rate:>6} {runs:>5} {service_level:>8.4} {baseline_service_level:>8.4} {p99_ratio:>9.2} \
         {violation_count:>9} {not_started:>11} {injected:>9}  {}",
        case.scenario,
        case.kind,
        missed.join(", ")
    ))?;
    if let Some(problem) = first_problem {
        print_line(format_args!("           first: {problem}"))?;
    }
    Ok(())
}
