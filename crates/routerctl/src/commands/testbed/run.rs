//! `routerctl testbed run`: runs a scenario once.

use std::path::PathBuf;

use clap::Args;
use testbed::{Scenario, virtual_time};

use crate::outcome::{CommandError, CommandResult, Outcome};
use crate::output::print;
use crate::socket_run::{self, SocketOptions};

#[derive(Args)]
#[command(
    after_help = "Examples:\n  routerctl testbed run crates/testbed/scenarios/storm.toml\n  \
                  routerctl testbed run crates/testbed/scenarios/storm.toml --seed 7 --json report.json\n  \
                  routerctl testbed run crates/testbed/scenarios/demo.toml --sockets"
)]
pub struct Arguments {
    /// Scenario file, in TOML (docs/TESTBED.md)
    file: PathBuf,
    /// Seed to use instead of the one in the file
    #[arg(long)]
    seed: Option<u64>,
    /// Also write the report to a file, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Run in real time on sockets, with real nodes
    #[arg(long)]
    sockets: bool,
    #[command(flatten)]
    socket_options: SocketOptions,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let scenario = Scenario::read(&arguments.file)?;
    if !arguments.sockets && arguments.socket_options.is_any_set() {
        return Err(CommandError::SocketOptionsInVirtualTime);
    }
    let seed = arguments.seed.unwrap_or(scenario.seed);
    let report = if arguments.sockets {
        socket_run::run(&scenario, seed, &arguments.socket_options)?
    } else {
        virtual_time::run(&scenario, seed)
    };
    print(format_args!("{report}"))?;
    if let Some(path) = &arguments.json {
        report.save(path)?;
    }
    Ok(Outcome::passed_if(report.invariants_hold()))
}
