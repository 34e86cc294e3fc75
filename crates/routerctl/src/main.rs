//! `routerctl`: parses the command line, calls the crate that does the work, prints what it returns. It has no logic
//! of its own.

#![deny(clippy::print_stdout, clippy::print_stderr)]

mod assignment;
mod commands;
mod outcome;
mod output;
mod progress;
mod socket_run;

use std::process::ExitCode;

use clap::Parser;

use crate::commands::Command;
use crate::outcome::{CommandError, Outcome};
use crate::output::{OutputError, print_notice};

/// Tools for the cache-router node.
///
/// Exit codes: 0 passed, 1 failed, 2 wrong use or input.
#[derive(Parser)]
#[command(name = "routerctl", version, propagate_version = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// Exit code for wrong use or input.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let result = match Cli::try_parse() {
        Ok(arguments) => commands::run(arguments.command).map(Outcome::exit_code),
        Err(answer) => print_answer(&answer),
    };
    result.unwrap_or_else(|error| {
        if !error.reader_is_gone() {
            print_notice(format_args!("{error}"));
        }
        ExitCode::from(EXIT_USAGE)
    })
}

/// Prints what clap answers in place of a command: help, the version, or an error of use.
fn print_answer(answer: &clap::Error) -> Result<ExitCode, CommandError> {
    if answer.use_stderr() {
        // Where standard error cannot be written, nobody can be told.
        drop(answer.print());
        return Ok(ExitCode::from(EXIT_USAGE));
    }
    answer.print().map_err(OutputError::from)?;
    Ok(ExitCode::SUCCESS)
}
