//! `routerctl testbed load`: measures latencies under an open-loop load, at a given rate or at fractions of the highest
//! sustained rate.

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

/// Lowest rate that can be requested, in requests per second.
const MIN_RATE: f64 = 1.0;
/// Highest rate that can be requested, in requests per second.
const MAX_RATE: f64 = 1e6;
/// Deadline of each request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(1);
/// Fractions of the highest sustained rate at which latencies are measured.
const MAX_RATE_FRACTIONS: [f64; 3] = [0.1, 0.5, 0.9];

#[derive(Args)]
#[command(
    after_help = "Examples:\n  routerctl testbed load --rate 20000\n  routerctl testbed load --through --most\n  \
                  routerctl testbed load --to 127.0.0.1:6379 --rate 500 --lasts 30s"
)]
pub struct Arguments {
    /// Send to a node or server that is already running
    #[arg(long, value_name = "ADDRESS", conflicts_with_all = ["through", "most"])]
    to: Option<SocketAddr>,
    /// Also send through a cache-router started for the measurement, to show the latency that it adds
    #[arg(long)]
    through: bool,
    /// Path of the cache-router program [default: the one next to this program]
    #[arg(long, value_name = "PROGRAM", requires = "through")]
    node: Option<PathBuf>,
    /// Find the highest sustained rate (99.9% served, 99 of 100 within 50 ms), then measure at fractions of it
    #[arg(long)]
    most: bool,
    /// Requests per second; with --most, the rate at which the search begins
    #[arg(long, value_name = "N", default_value_t = 2_000.0, value_parser = parse_rate)]
    rate: f64,
    /// Duration of each measurement
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    lasts: Duration,
    /// Number of connections
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u16).range(1..=512))]
    connections: u16,
    /// Number of keys
    #[arg(long, default_value_t = 10_000)]
    keys: u64,
    /// Exponent of the Zipf distribution of the keys; 0 makes all keys equally popular
    #[arg(long, default_value_t = 0.9)]
    zipf: f64,
    /// Size of a value in bytes, for servers that this program starts
    #[arg(long, default_value_t = 1_024, value_parser = clap::value_parser!(u16).range(1..=60_000))]
    value_bytes: u16,
    /// Class of the requests
    #[arg(long, default_value = "lookup")]
    class: String,
    /// Seed for arrival times and keys
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn parse_rate(text: &str) -> Result<f64, &'static str> {
    text.parse()
        .ok()
        .filter(|rate| (MIN_RATE..=MAX_RATE).contains(rate))
        .ok_or("write a number of requests per second, 1 to 1000000")
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
    let servers = MeasurementServers::start(arguments)?;
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
        "{} sustains {highest:.0} requests per second; at 10%, 50% and 90% of that:",
        target.path
    ))?;
    let rates = MAX_RATE_FRACTIONS.map(|fraction| highest * fraction);
    measure(&servers, &targets, &load, &rates)
}

/// The node and the servers started for the measurement. They run until this is dropped.
struct MeasurementServers {
    /// A node and the stub servers behind it.
    node_under_test: Option<NodeUnderTest>,
    /// A stub server without a node.
    stub_server: Option<StubServer>,
    /// Folder of the node's files.
    _folder: TempDir,
}

impl MeasurementServers {
    fn start(arguments: &Arguments) -> Result<MeasurementServers, CommandError> {
        let value_bytes = usize::from(arguments.value_bytes);
        let folder = temporary_folder()?;
        let mut node_under_test = None;
        let mut stub_server = None;
        if arguments.through {
            let program = program::find(arguments.node.as_deref())?;
            node_under_test = Some(NodeUnderTest::start(&program, folder.path(), value_bytes)?);
        } else if arguments.to.is_none() {
            stub_server = Some(StubServer::start(value_bytes, Duration::ZERO)?);
        }
        Ok(MeasurementServers {
            node_under_test,
            stub_server,
            _folder: folder,
        })
    }

    /// The addresses to send to. The last one is the one whose highest rate is searched for.
    fn targets(&self, running: Option<SocketAddr>) -> Vec<Target> {
        let mut targets = Vec::new();
        if let Some(address) = running {
            targets.push(Target::new("to", address));
        }
        if let Some(stub_server) = &self.stub_server {
            targets.push(Target::new("alone", stub_server.address()));
        }
        if let Some(node_under_test) = &self.node_under_test {
            targets.push(Target::new("direct", node_under_test.server_address()));
            targets.push(Target {
                is_own_node: true,
                ..Target::new("node", node_under_test.node_address())
            });
        }
        targets
    }

    /// CPU time used by the node at a target, if the node was started for the measurement.
    fn cpu_time(&self, target: &Target) -> Option<Duration> {
        let node_under_test = self.node_under_test.as_ref()?;
        if target.is_own_node {
            node_under_test.cpu_time()
        } else {
            None
        }
    }
}

/// An address that load is sent to.
struct Target {
    /// Name of the request path in the table.
    path: &'static str,
    address: SocketAddr,
    /// Whether it is the node that was started for the measurement.
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

/// Sends the load at each rate to each target and prints a row for each.
fn measure(
    servers: &MeasurementServers,
    targets: &[Target],
    load: &Load,
    rates: &[f64],
) -> CommandResult {
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
            all_sustained &= baseline::is_sustained(&outcome);
        }
    }
    Ok(Outcome::passed_if(all_sustained))
}

fn print_header() -> Result<(), OutputError> {
    print_line(format_args!(
        "latencies in microseconds, measured from the scheduled time of each request"
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
