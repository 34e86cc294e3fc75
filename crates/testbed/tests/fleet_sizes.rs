//! Changing the number of cache servers of a scenario, the limits of a node's resource usage, and the sampling of node
//! processes.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use testbed::Scenario;
use testbed::fleet_sizes::{Comparison, FleetUsage, NodeUsageSampler, Verdict, with_server_count};

fn calm() -> Scenario {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/calm.toml");
    Scenario::read(path.as_ref()).unwrap()
}

#[test]
fn a_resized_fleet_keeps_its_proportions_and_total_memory() {
    let scenario = calm();
    let memory = |scenario: &Scenario| -> u64 {
        let kinds = scenario.kinds.iter();
        kinds
            .map(|kind| u64::from(kind.servers) * kind.memory_bytes)
            .sum()
    };
    for servers in [25, 26, 400, 3_200] {
        let resized = with_server_count(&scenario, servers);
        assert_eq!(resized.server_count(), servers);
        let ratio = memory(&resized) as f64 / memory(&scenario) as f64;
        assert!((0.999..1.001).contains(&ratio), "{servers}: {ratio}");
        let first_kind_share = f64::from(resized.kinds[0].servers) / f64::from(servers);
        assert!(
            (0.38..0.42).contains(&first_kind_share),
            "{servers}: {first_kind_share}"
        );
        assert!(resized.kinds.iter().all(|kind| kind.slots > 0));
    }
    assert_eq!(with_server_count(&scenario, 25), scenario);
    let fewer_than_kinds = with_server_count(&scenario, 1);
    assert!(fewer_than_kinds.kinds.iter().all(|kind| kind.servers == 1));
}

const BASELINE: FleetUsage = FleetUsage {
    servers: 200,
    cpu_seconds: 1.0,
    peak_memory_bytes: 4e6,
    descriptors: 40.0,
    server_connections: 40.0,
    list_bytes: 10e3,
    service_level: 0.8,
};

#[test]
fn each_value_is_compared_with_its_limit_and_half_of_it() {
    // The limits at 1,000 servers: 1.45 CPU seconds, 18 MB, 120 descriptors, 140 connections, 584 KB of lists, share
    // served 0.68.
    let at_limit = FleetUsage {
        servers: 1_000,
        cpu_seconds: 1.449,
        peak_memory_bytes: 17.99e6,
        descriptors: 120.0,
        server_connections: 140.0,
        list_bytes: 583e3,
        service_level: 0.6801,
    };
    let comparison = Comparison::new(&BASELINE, &at_limit);
    assert!(comparison.is_within_limits(), "{comparison}");
    assert!(
        comparison
            .verdicts()
            .all(|(_, verdict)| verdict == Verdict::Within)
    );
    let at_half = FleetUsage {
        servers: 1_000,
        cpu_seconds: 1.22,
        peak_memory_bytes: 10.9e6,
        descriptors: 80.0,
        server_connections: 90.0,
        list_bytes: 296e3,
        service_level: 0.745,
    };
    let comparison = Comparison::new(&BASELINE, &at_half);
    let mut verdicts = comparison.verdicts();
    assert!(
        verdicts.all(|(_, verdict)| verdict == Verdict::WithinHalf),
        "{comparison}"
    );
    let usages_over_limit: [fn(&mut FleetUsage); 6] = [
        |usage| usage.cpu_seconds = 1.46,
        |usage| usage.peak_memory_bytes = 18.1e6,
        |usage| usage.descriptors = 121.0,
        |usage| usage.server_connections = 141.0,
        |usage| usage.list_bytes = 585e3,
        |usage| usage.service_level = 0.679,
    ];
    for (index, change) in usages_over_limit.iter().enumerate() {
        let mut usage = at_half;
        change(&mut usage);
        let comparison = Comparison::new(&BASELINE, &usage);
        let exceeded: Vec<_> = comparison
            .verdicts()
            .enumerate()
            .filter_map(|(row, (_, verdict))| (verdict == Verdict::Exceeded).then_some(row))
            .collect();
        assert_eq!(exceeded, [index], "{comparison}");
    }
}

/// Waits until the system shows the environment of a new process, which it may do only after the spawn has returned.
fn wait_for_environment(process: u32) {
    let end = std::time::Instant::now() + std::time::Duration::from_secs(20);
    let path = format!("/proc/{process}/environ");
    while std::fs::read(&path).unwrap().is_empty() {
        assert!(std::time::Instant::now() < end, "{path} stays empty");
        std::thread::yield_now();
    }
}

#[test]
fn a_process_is_sampled_only_for_the_run_whose_folder_contains_its_configuration() {
    let folder = tempfile::tempdir().unwrap();
    let mut process = std::process::Command::new("sleep")
        .arg("600")
        .env("ROUTER_CONFIG", folder.path().join("n0.json"))
        .spawn()
        .unwrap();
    wait_for_environment(process.id());
    let mut sampler = NodeUsageSampler::new(folder.path());
    sampler.sample();
    let other = tempfile::tempdir().unwrap();
    let mut other_sampler = NodeUsageSampler::new(other.path());
    other_sampler.sample();
    process.kill().unwrap();
    process.wait().unwrap();
    sampler.sample();
    let usage = sampler.mean(1);
    assert!(
        usage.peak_memory_bytes > 0.0 && usage.descriptors >= 3.0,
        "{usage:?}"
    );
    assert_eq!(other_sampler.mean(1).descriptors, 0.0);
}
