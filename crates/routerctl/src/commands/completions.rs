//! `routerctl completions`: prints completion scripts for shells.

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use crate::Cli;
use crate::outcome::{CommandResult, Outcome};
use crate::output::print;

#[derive(Args)]
#[command(after_help = "Example:\n  routerctl completions bash > /etc/bash_completion.d/routerctl")]
pub struct Arguments {
    /// Shell to print the script for
    shell: Shell,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    // `generate` panics if it cannot write, so the script is written to memory first.
    let mut script = Vec::new();
    clap_complete::generate(
        arguments.shell,
        &mut Cli::command(),
        "routerctl",
        &mut script,
    );
    print(format_args!("{}", String::from_utf8_lossy(&script)))?;
    Ok(Outcome::Passed)
}
