//! `routerctl testbed sizes`: compares the resource use of a node with server fleets of several sizes.

use std::path::PathBuf;

use clap::Args;
use testbed::Scenario;
use testbed::fleet_sizes::{Comparison, FleetUsage, NodeUsageSampler, with_server_count};
use testbed::sockets::MAX_CACHE_SERVERS;

use crate::assignment::{Assignment, parse_assignment};
use crate::outcome::{CommandError, CommandResult, Outcome};
use crate::output::print_line;
use crate::socket_run::{self, SocketOptions};

#[derive(Args)]
#[command(
    after_help = "Examples:\n  routerctl testbed sizes crates/testbed/scenarios/small/calm.toml --servers 24,384\n  \
                  routerctl testbed sizes crates/testbed/scenarios/calm.toml --servers 24,384,3200 \\\n    \
                  --set nodes=12 --set load.per_s=192\n\n\
                  The cores, slots and memory of all servers together and the traffic of a node stay the same,\nexcept that each server has at least one core."
)]
pub struct Arguments {
    /// Scenario file, in TOML (docs/TESTBED.md)
    file: PathBuf,
    /// Numbers of cache servers: the reference, then those that are compared with it
    #[arg(long, value_name = "COUNT,COUNT...", value_delimiter = ',', required = true,
          value_parser = clap::value_parser!(u32).range(1..=i64::from(MAX_CACHE_SERVERS)))]
    servers: Vec<u32>,
    /// Override the value of a key of the scenario
    #[arg(long, value_name = "KEY=VALUE", value_parser = parse_assignment)]
    set: Vec<Assignment>,
    /// Seed to use instead of the one in the file
    #[arg(long)]
    seed: Option<u64>,
    #[command(flatten)]
    socket_options: SocketOptions,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let set: Vec<_> = arguments
        .set
        .iter()
        .map(|set| (set.key.clone(), set.value.clone()))
        .collect();
    let scenario = Scenario::read_with_overrides(&arguments.file, &set)?;
    let seed = arguments.seed.unwrap_or(scenario.seed);
    let [reference, larger @ ..] = &arguments.servers[..] else {
        return Err(CommandError::TooFewSizes);
    };
    if larger.is_empty() {
        return Err(CommandError::TooFewSizes);
    }
    let measure_size = |servers| {
        let resized = with_server_count(&scenario, servers);
        measure(&resized, seed, &arguments.socket_options)
    };
    let reference = measure_size(*reference)?;
    let mut has_passed = reference.invariants_hold;
    for servers in larger {
        let larger = measure_size(*servers)?;
        let comparison = Comparison::new(&reference.usage, &larger.usage);
        print_line(format_args!("{comparison}"))?;
        has_passed &= larger.invariants_hold && comparison.is_within_limits();
    }
    Ok(Outcome::passed_if(has_passed))
}

/// The result of a run.
struct Measured {
    /// Mean resource use of a node.
    usage: FleetUsage,
    invariants_hold: bool,
}

/// Runs a scenario and prints its report if invariants did not hold.
fn measure(
    scenario: &Scenario,
    seed: u64,
    options: &SocketOptions,
) -> Result<Measured, CommandError> {
    let mut sampler = None;
    let (mut server_connections, mut list_bytes) = (0, 0);
    let report = socket_run::run_observed(scenario, seed, options, |progress, folder| {
        let sampler = sampler.get_or_insert_with(|| NodeUsageSampler::new(folder));
        sampler.sample();
        server_connections = progress.server_connections;
        list_bytes = progress.list_bytes;
    })?;
    let nodes = scenario.nodes;
    let node_usage = sampler.map_or_else(Default::default, |sampler| sampler.mean(nodes));
    let per_node = |count: u64| count as f64 / f64::from(nodes.max(1));
    if !report.invariants_hold() {
        print_line(format_args!("{report}"))?;
    }
    let usage = FleetUsage {
        servers: scenario.server_count(),
        cpu_seconds: node_usage.cpu_seconds,
        peak_memory_bytes: node_usage.peak_memory_bytes,
        descriptors: node_usage.descriptors,
        server_connections: per_node(server_connections),
        list_bytes: per_node(list_bytes),
        service_level: report.service_level,
    };
    Ok(Measured {
        usage,
        invariants_hold: report.invariants_hold(),
    })
}
