//! Changes the number of cache servers in a scenario and keeps their total capacity about the same.

use crate::Scenario;

/// Minimum number of cores of a resized server, unless it had fewer before. With at least one core, a lone request on a
/// server takes as long as before. Where this minimum applies, the total capacity is larger than before.
const MIN_CORES: f64 = 1.0;

/// Returns the scenario with `servers` cache servers in total, in the same proportions of the same kinds (at least one
/// of each). Cores, slots, queue capacity and memory of each server are scaled so that their totals stay about the
/// same, except where a server's minimum applies.
pub fn with_server_count(scenario: &Scenario, servers: u32) -> Scenario {
    let mut resized = scenario.clone();
    let original_total = scenario.server_count();
    let mut remaining = servers;
    let mut remaining_original = original_total;
    for kind in &mut resized.kinds {
        let original_servers = kind.servers;
        // The fraction refers to the servers not yet assigned, so that rounding errors do not change the total.
        let fraction = f64::from(original_servers) / f64::from(remaining_original.max(1));
        kind.servers = ((f64::from(remaining) * fraction).round() as u32).max(1);
        remaining = remaining.saturating_sub(kind.servers);
        remaining_original -= original_servers;
        let scale = f64::from(original_servers) / f64::from(kind.servers);
        kind.cores = (kind.cores * scale).max(MIN_CORES.min(kind.cores));
        kind.slots = scaled_count(kind.slots, scale);
        kind.queue_capacity = scaled_count(kind.queue_capacity, scale);
        kind.memory_bytes = (kind.memory_bytes as f64 * scale) as u64;
    }
    resized
}

/// Scales a number of slots; at least one remains if there was one.
fn scaled_count(count: usize, scale: f64) -> usize {
    let scaled = (count as f64 * scale).round() as usize;
    scaled.max(count.min(1))
}
