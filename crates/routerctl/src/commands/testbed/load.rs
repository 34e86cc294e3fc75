//! `routerctl testbed load`: latencies under an open load, of one rate or of the highest that is sustained.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use tempfile::TempDir;
use testbed::baseline::{self, NodeUnderTest};
use testbed::load::{self, Load, Outcome as LoadOutcome, StubServer};
use testbed::program;

use crate::outcome::{CommandError, CommandResult, Outcome, temporary_folder};
use crate::output::{OutputError, print_line};

/// The lowest rate that may be asked for, in requests a second.
const MIN_RATE: f64 = 1.0;
/// The highest rate that may be asked for, in requests a second.
const MAX_RATE: f64 = 1e6;
/// How long each request may take.
const REQUEST_DEADLINE: Duration = Duration::from_secs(1);
/// Parts of the highest sustained rate at which latencies are measured.
const PARTS_OF_MAXIMUM: [f64; 3] = [0.1, 0.5, 0.9];

#[derive(Args)]
#[command(
    after_help = "Examples:\n  routerctl testbed load --rate 20000\n  routerctl testbed load --through --most\n  \
                  routerctl testbed load --to 127.0.0.1:6379 --rate 500 --lasts 30s"
)]
pub struct Arguments {
    /// Send to a node or server that is running already
    #[arg(long, value_name = "ADDRESS", conflicts_with_all = ["through", "most"])]
    to: Option<SocketAddr>,
    /// Send through a cache-router started for it as well, and show what it adds
    #[arg(long)]
    through: bool,
    /// The cache-router program [default: the one beside this program]
    #[arg(long, value_name = "PROGRAM", requires = "through")]
    node: Option<PathBuf>,
    /// Find the highest rate that is sustained (99.9% served, 99 of 100 within 50 ms), then measure at parts of it
    #[arg(long)]
    most: bool,
    /// Requests a second; with --most, where the search begins
    #[arg(long, value_name = "N", default_value_t = 2_000.0, value_parser = parse_rate)]
    rate: f64,
    /// How long each measurement lasts
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    lasts: Duration,
    /// Connections
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u16).range(1..=512))]
    connections: u16,
    /// Keys
    #[arg(long, default_value_t = 10_000)]
    keys: u64,
    /// Exponent of the keys' popularity, 0 for all alike
    #[arg(long, default_value_t = 0.9)]
    zipf: f64,
    /// Bytes of a value, where the servers are this program's own
    #[arg(long, default_value_t = 1_024, value_parser = clap::value_parser!(u16).range(1..=60_000))]
    value_bytes: u16,
    /// Name of the class that requests are of
    #[arg(long, default_value = "lookup")]
    class: String,
    /// Seed of arrivals and keys
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn parse_rate(text: &str) -> Result<f64, &'static str> {
    text.parse()
        .ok()
        .filter(|rate| (MIN_RATE..=MAX_RATE).contains(rate))
        .ok_or("write a number of requests a second, 1 to 1000000")
}

impl Arguments {
    fn load(&self) -> Load {
        Load {
            per_s: self.rate,
            duration: self.lasts,
            connections: self.connections.into(),
            keys: self.keys,
            zipf_exponent: self.zipf,
            class: self.class.clone(),
            deadline: REQUEST_DEADLINE,
            seed: self.seed,
        }
    }
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let load = arguments.load();
    let servers = Servers::start(arguments)?;
    let targets = servers.targets(arguments.to);
    print_header()?;
    if !arguments.most {
        return measure(&servers, &targets, &load, &[load.per_s]);
    }
    let target = targets.last().ok_or(CommandError::NoTarget)?;
    let mut printed = Ok(());
    let highest = baseline::max_sustained_rate(target.address, &load, |per_s, outcome| {
        if printed.is_ok() {
            printed = print_row(target, per_s, outcome, None);
        }
    })?;
    printed?;
    if highest == 0.0 {
        print_line(format_args!("{} sustains no rate", target.path))?;
        return Ok(Outcome::Failed);
    }
    print_line(format_args!(
        "{} sustains {highest:.0} requests a second; at a tenth, half and nine tenths of it:",
        target.path
    ))?;
    let rates = PARTS_OF_MAXIMUM.map(|part| highest * part);
    measure(&servers, &targets, &load, &rates)
}

/// What was started for the measurement. It runs until this is dropped.
struct Servers {
    /// A server and a node before it.
    through: Option<NodeUnderTest>,
    /// A server alone.
    alone: Option<StubServer>,
    /// The node's files.
    _folder: TempDir,
}

impl Servers {
    fn start(arguments: &Arguments) -> Result<Servers, CommandError> {
        let value_bytes = usize::from(arguments.value_bytes);
        let folder = temporary_folder()?;
        let mut through = None;
        let mut alone = None;
        if arguments.through {
            let program = program::find(arguments.node.as_deref())?;
            through = Some(NodeUnderTest::start(&program, folder.path(), value_bytes)?);
        } else if arguments.to.is_none() {
            alone = Some(StubServer::start(value_bytes, Duration::ZERO)?);
        }
        Ok(Servers {
            through,
            alone,
            _folder: folder,
        })
    }

    /// The addresses to send to, the one whose highest rate is sought last.
    fn targets(&self, given: Option<SocketAddr>) -> Vec<Target> {
        let mut targets = Vec::new();
        if let Some(address) = given {
            targets.push(Target::new("to", address));
        }
        if let Some(alone) = &self.alone {
            targets.push(Target::new("alone", alone.address()));
        }
        if let Some(through) = &self.through {
            targets.push(Target::new("direct", through.server()));
            targets.push(Target {
                is_own_node: true,
                ..Target::new("node", through.node())
            });
        }
        targets
    }

    /// CPU time that the node behind a target has used, where it was started here.
    fn cpu_time(&self, target: &Target) -> Option<Duration> {
        let through = self.through.as_ref()?;
        if target.is_own_node {
            through.cpu()
        } else {
            None
        }
    }
}

/// An address that load is sent to.
struct Target {
    /// What the table calls the path that requests take.
    path: &'static str,
    address: SocketAddr,
    /// Whether it is a node that was started for the measurement.
    is_own_node: bool,
}

impl Target {
    fn new(path: &'static str, address: SocketAddr) -> Target {
        Target {
            path,
            address,
            is_own_node: false,
        }
    }
}

/// Sends the load at each rate to each target, and prints a row for each.
fn measure(servers: &Servers, targets: &[Target], load: &Load, rates: &[f64]) -> CommandResult {
    let mut all_sustained = true;
    for per_s in rates.iter().copied() {
        for target in targets {
            let load = Load {
                per_s,
                ..load.clone()
            };
            let cpu_before = servers.cpu_time(target);
            let outcome = load::send(target.address, &load)?;
            let cpu_used = servers
                .cpu_time(target)
                .zip(cpu_before)
                .map(|(after, before)| after.saturating_sub(before));
            print_row(target, per_s, &outcome, cpu_used)?;
            all_sustained &= baseline::sustained(&outcome);
        }
    }
    Ok(Outcome::passed_if(all_sustained))
}

fn print_header() -> Result<(), OutputError> {
    print_line(format_args!(
        "latencies in microseconds, from the time that a request was scheduled for"
    ))?;
    print_line(format_args!(
        "{:<7} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>9}",
        "path", "target/s", "served/s", "unserved", "p50", "p99", "p99.9", "max", "CPU us/r"
    ))
}

fn print_row(
    target: &Target,
    per_s: f64,
    outcome: &LoadOutcome,
    cpu_used: Option<Duration>,
) -> Result<(), OutputError> {
    let latency_us = |quantile| outcome.latency.value_at_quantile(quantile) / 1_000;
    let max_us = outcome.latency.max() / 1_000;
    let cpu_us = cpu_used.map(|used| used.as_secs_f64() * 1e6 / outcome.served.max(1) as f64);
    let cpu_us = cpu_us.map_or(String::new(), |us| format!("{us:.1}"));
    let unserved = outcome.intended - outcome.served;
    print_line(format_args!(
        "{:<7} {per_s:>8.0} {:>8.0} {unserved:>8} {:>7} {:>7} {:>7} {max_us:>7} {cpu_us:>9}",
        target.path,
        outcome.per_s(),
        latency_us(0.5),
        latency_us(0.99),
        latency_us(0.999),
    ))
}
