//! `routerctl completions`: completion scripts for shells.

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use crate::Cli;
use crate::outcome::Outcome;

#[derive(Args)]
#[command(after_help = "Example:\n  routerctl completions bash > /etc/bash_completion.d/routerctl")]
pub struct Arguments {
    /// Which shell
    shell: Shell,
}

pub fn run(arguments: &Arguments) -> Outcome {
    clap_complete::generate(
        arguments.shell,
        &mut Cli::command(),
        "routerctl",
        &mut std::io::stdout(),
    );
    Outcome::Passed
}
