//! The commands. Each module defines the arguments of a command and runs it.

mod acceptance;
mod check;
mod completions;
mod demo;
mod margins;
mod testbed;

use clap::Subcommand;

use crate::outcome::CommandResult;

/// The top-level commands.
#[derive(Subcommand)]
pub enum Command {
    /// Start a small fleet of real nodes in front of emulated servers, inject faults and report the result
    Demo(demo::Arguments),
    /// Check whether a configuration file is valid, and if not, show what would be accepted
    Check(check::Arguments),
    /// Check whether the fleet test was run and passed on the current sources, and print one line
    #[command(alias = "standing")]
    Acceptance(acceptance::Arguments),
    /// Measure how far runs of the fleet test stayed from the limits of its rules, from the traces of their nodes
    Margins(margins::Arguments),
    /// Run scenarios, experiments and load tests against emulated or real nodes
    #[command(subcommand, alias = "lab")]
    Testbed(testbed::Command),
    /// Print a completion script for a shell
    Completions(completions::Arguments),
}

/// Runs a command.
pub fn run(command: Command) -> CommandResult {
    match command {
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Check(arguments) => check::run(&arguments),
        Command::Acceptance(arguments) => acceptance::run(&arguments),
        Command::Margins(arguments) => margins::run(&arguments),
        Command::Testbed(command) => testbed::run(command),
        Command::Completions(arguments) => completions::run(&arguments),
    }
}
