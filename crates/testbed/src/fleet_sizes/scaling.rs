//! A scenario with another number of cache servers that together can do the same.

use crate::Scenario;

/// A server has so many cores at least, or as many as before: a request that is alone there takes as long as before.
/// All servers together can do more than before from there on.
const MIN_CORES: f64 = 1.0;

/// The scenario with this many cache servers in all, of the same kinds in the same proportions (at least one of each).
/// Cores, slots, queues and memory of a server are divided, so that those of all servers stay about the same, but for
/// the least that a server has.
pub fn with_servers(scenario: &Scenario, servers: u32) -> Scenario {
    let mut resized = scenario.clone();
    let before = scenario.server_count();
    let mut left = servers;
    let mut left_before = before;
    for kind in &mut resized.kinds {
        let kind_before = kind.servers;
        // Of what is left to the kinds from here on, so that the sum is exact.
        let part = f64::from(kind_before) / f64::from(left_before.max(1));
        kind.servers = ((f64::from(left) * part).round() as u32).max(1);
        left = left.saturating_sub(kind.servers);
        left_before -= kind_before;
        let share = f64::from(kind_before) / f64::from(kind.servers);
        kind.cores = (kind.cores * share).max(MIN_CORES.min(kind.cores));
        kind.slots = divided(kind.slots, share);
        kind.queue_capacity = divided(kind.queue_capacity, share);
        kind.memory_bytes = (kind.memory_bytes as f64 * share) as u64;
    }
    resized
}

/// A share of a number of places, at least one where there was one.
fn divided(places: usize, share: f64) -> usize {
    let part = (places as f64 * share).round() as usize;
    part.max(places.min(1))
}
