//! `routerctl demo`: runs the built-in scenario on sockets.

use clap::Args;
use testbed::Scenario;
use testbed::atomic_file::write_atomically;

use crate::outcome::{CommandError, CommandResult, Outcome, temporary_folder};
use crate::output::{OutputError, print_line};
use crate::socket_run::{self, SocketOptions};

#[derive(Args)]
#[command(after_help = "Examples:\n  routerctl demo\n  routerctl demo --seed 7 --logs demo-logs")]
pub struct Arguments {
    /// Seed of all randomness
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    sockets: SocketOptions,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let scenario = built_in_scenario()?;
    print_introduction(&scenario)?;
    let report = socket_run::run(&scenario, arguments.seed, &arguments.sockets)?;
    print_line(format_args!("\n{report}"))?;
    print_line(format_args!(
        "To run a scenario in virtual time or with changes: `routerctl testbed run FILE` (docs/TESTBED.md)."
    ))?;
    Ok(Outcome::passed_if(report.invariants_hold()))
}

/// Reads the built-in scenario from a file like any other, so that errors in it have a line number.
fn built_in_scenario() -> Result<Scenario, CommandError> {
    let folder = temporary_folder()?;
    let file = folder.path().join("demo.toml");
    write_atomically(&file, Scenario::DEMO.as_bytes())?;
    Ok(Scenario::read(&file)?)
}

fn print_introduction(scenario: &Scenario) -> Result<(), OutputError> {
    let servers: u32 = scenario.kinds.iter().map(|kind| kind.servers).sum();
    print_line(format_args!(
        "{} cache-router nodes on loopback in front of {servers} emulated cache servers, an origin and a discovery \
         service; {} client requests per second for {}.",
        scenario.nodes, scenario.load.per_s, scenario.duration
    ))
}
