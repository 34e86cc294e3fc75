//! `routerctl testbed`: scenarios, experiments, fault matrices and load.

mod experiment;
mod faults;
mod load;
mod report;
mod run;
mod sizes;

use clap::Subcommand;

use crate::outcome::CommandResult;

/// The word after `testbed`.
#[derive(Subcommand)]
pub enum Command {
    /// Run a scenario and report the result: 0 where no rule was broken
    Run(run::Arguments),
    /// Run what is missing of an experiment and report on it: 0 where no run broke a rule
    Experiment(experiment::Arguments),
    /// Compare the runs in an experiment's folder, as JSON lines and as one page
    Report(report::Arguments),
    /// Run scenarios with faults of system calls and clocks beside the same without: 0 where all goals were reached
    Faults(faults::Arguments),
    /// Run a scenario on sockets before fleets of several sizes and compare what a node needs: 0 where no limit is passed
    Sizes(sizes::Arguments),
    /// Send requests at times of their own and measure what clients would wait: 0 where 99.9% were served
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
