//! The commands, one module each: its arguments and what it does.

mod acceptance;
mod check;
mod completions;
mod demo;
mod margins;
mod testbed;

use clap::Subcommand;

use crate::outcome::CommandResult;

/// The first word of the command line.
#[derive(Subcommand)]
pub enum Command {
    /// Start a small fleet of real nodes in front of emulated servers, inject faults, and report the result
    Demo(demo::Arguments),
    /// Check whether a configuration file is valid, and if not, say what would be
    Check(check::Arguments),
    /// Check in one line whether the fleet test was run and passed on the sources as they are now
    #[command(alias = "standing")]
    Acceptance(acceptance::Arguments),
    /// Measure how far runs of the fleet test stayed from the limits of the rules, from the traces of their nodes
    Margins(margins::Arguments),
    /// Run scenarios, experiments and load against nodes, emulated or real
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
