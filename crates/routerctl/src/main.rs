//! `routerctl`: parses the command line, calls the crate that does the work, prints what it returns. It has no logic
//! of its own.

mod assignment;
mod commands;
mod outcome;
mod progress;
mod socket_run;

use std::process::ExitCode;

use clap::Parser;

use crate::commands::Command;

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
    match commands::run(Cli::parse().command) {
        Ok(outcome) => outcome.exit_code(),
        Err(error) => {
            eprintln!("routerctl: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
