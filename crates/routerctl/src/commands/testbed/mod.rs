//! `routerctl testbed`: scenarios, experiments, fault matrices and load.

mod experiment;
mod faults;
mod load;
mod report;
mod run;
mod sizes;

use clap::Subcommand;

use crate::outcome::CommandResult;

/// The commands under `testbed`.
#[derive(Subcommand)]
pub enum Command {
    /// Run a scenario and report the result; exit code 0 if no rule was broken
    Run(run::Arguments),
    /// Do the missing runs of an experiment and report on it; exit code 0 if no run broke a rule
    Experiment(experiment::Arguments),
    /// Compare the runs in the folder of an experiment and write them as JSON lines and as an HTML page
    Report(report::Arguments),
    /// Compare scenarios with faults of system calls and clocks to the same without; exit code 0 if all goals were
    /// reached
    Faults(faults::Arguments),
    /// Compare the resource use of a node with server fleets of several sizes, on sockets; exit code 0 within all
    /// limits
    Sizes(sizes::Arguments),
    /// Send requests at scheduled times and measure the latency that clients see; exit code 0 if all rates were
    /// sustained (99.9% served, 99 of 100 within 50 ms)
    Load(load::Arguments),
}

/// Runs a command of the testbed.
pub fn run(command: Command) -> CommandResult {
    match command {
        Command::Run(arguments) => run::run(&arguments),
        Command::Experiment(arguments) => experiment::run(&arguments),
        Command::Report(arguments) => report::run(&arguments),
        Command::Faults(arguments) => faults::run(&arguments),
        Command::Sizes(arguments) => sizes::run(&arguments),
        Command::Load(arguments) => load::run(&arguments),
    }
}
