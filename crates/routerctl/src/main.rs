//! `routerctl`: parses the command line, calls the crate that does the work and prints the result. It has no logic of
//! its own.

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
        Err(message) => print_clap_message(&message),
    };
    result.unwrap_or_else(|error| {
        if !error.is_reader_closed() {
            print_notice(format_args!("{error}"));
        }
        ExitCode::from(EXIT_USAGE)
    })
}

/// Prints the help, version or usage error that clap returns instead of a command.
fn print_clap_message(message: &clap::Error) -> Result<ExitCode, CommandError> {
    if message.use_stderr() {
        // A failed write to standard error cannot be reported anywhere.
        drop(message.print());
        return Ok(ExitCode::from(EXIT_USAGE));
    }
    message.print().map_err(OutputError::from)?;
    Ok(ExitCode::SUCCESS)
}
