//! Initial contents of the cache servers, as if they had been serving for a long time.

use std::collections::BTreeMap;

use cluster_model::Micros;
use routing_policy::{Endpoint, ServerId};
use xxhash_rust::xxh3::xxh3_64;

use super::{ClusterState, ServerNumber, server_name};
use crate::deployment;

impl ClusterState {
    /// Fills the cache servers with the keys that the nodes' routing policy would send to each of them.
    pub fn fill_caches(&mut self, now: Micros) {
        let servers: BTreeMap<ServerId, ServerNumber> = self
            .servers
            .keys()
            .map(|number| (endpoint_id(&server_name(*number)), *number))
            .collect();
        let cached = deployment::initial_cache_contents(&self.scenario, now, self.endpoints());
        let value_bytes = self.scenario.load.value_bytes;
        for (key, server) in cached {
            let number = servers.get(&server);
            if let Some(server) = number.and_then(|number| self.servers.get_mut(number)) {
                server.cache.memory().store(now, key, value_bytes);
            }
        }
    }

    /// Returns all endpoints in the form of the nodes' routing policy, with the origin last.
    fn endpoints(&self) -> Vec<Endpoint> {
        let origin = Endpoint {
            id: endpoint_id("origin"),
            kind: self.scenario.kinds.len() as u16,
            ..Endpoint::default()
        };
        let servers = self.servers.iter().map(|(number, server)| Endpoint {
            id: endpoint_id(&server_name(*number)),
            zone: server.placement.zone,
            kind: server.placement.kind as u16,
            ..Endpoint::default()
        });
        servers.chain([origin]).collect()
    }
}

/// Returns the id that a node derives from an endpoint's name.
fn endpoint_id(name: &str) -> ServerId {
    xxh3_64(name.as_bytes()) as ServerId
}
