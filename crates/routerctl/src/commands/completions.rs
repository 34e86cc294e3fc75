//! `routerctl completions`: completion scripts for shells.

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use crate::Cli;
use crate::outcome::{CommandResult, Outcome};
use crate::output::print;

#[derive(Args)]
#[command(after_help = "Example:\n  routerctl completions bash > /etc/bash_completion.d/routerctl")]
pub struct Arguments {
    /// Which shell
    shell: Shell,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    // Into memory first: it panics where it cannot write.
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
