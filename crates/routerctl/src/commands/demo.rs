//! `routerctl demo`: the built-in scenario on sockets.

use clap::Args;
use testbed::Scenario;

use crate::outcome::{CommandError, CommandResult, Outcome};
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
    print_introduction(&scenario);
    let report = socket_run::run(&scenario, arguments.seed, &arguments.sockets)?;
    println!("\n{report}");
    println!(
        "The same in virtual time, or with one thing changed: `routerctl testbed run FILE` (docs/TESTBED.md)."
    );
    Ok(Outcome::passed_if(report.invariants_hold()))
}

/// The scenario is read from a file like any other, so that errors in it have their line.
fn built_in_scenario() -> Result<Scenario, CommandError> {
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("demo.toml");
    std::fs::write(&file, Scenario::DEMO)?;
    Ok(Scenario::read(&file)?)
}

fn print_introduction(scenario: &Scenario) {
    let servers: u32 = scenario.kinds.iter().map(|kind| kind.servers).sum();
    println!(
        "{} cache-router nodes on loopback in front of {servers} emulated cache servers, an origin and a discovery \
         service; {} client requests a second, for {}.",
        scenario.nodes, scenario.load.per_s, scenario.length
    );
}
