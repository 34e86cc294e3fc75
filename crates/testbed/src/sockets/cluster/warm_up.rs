//! What the cache servers hold at the beginning of a run, as if they had served since long ago.

use std::collections::BTreeMap;

use cluster_model::Micros;
use routing_policy::{Endpoint, ServerId};
use xxhash_rust::xxh3::xxh3_64;

use super::{ClusterState, ServerNumber, server_name};
use crate::deployment;

impl ClusterState {
    /// Fills the cache servers with the keys that the nodes' policy would send to each of them.
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

    /// All servers as the policy of a node has them, with the origin as the last.
    fn endpoints(&self) -> Vec<Endpoint> {
        let origin = Endpoint {
            id: endpoint_id("origin"),
            kind: self.scenario.kinds.len() as u16,
            ..Endpoint::default()
        };
        let servers = self.servers.iter().map(|(number, server)| Endpoint {
            id: endpoint_id(&server_name(*number)),
            zone: server.site.zone,
            kind: server.site.kind as u16,
            ..Endpoint::default()
        });
        servers.chain([origin]).collect()
    }
}

/// The id that a node derives from an endpoint's name.
fn endpoint_id(name: &str) -> ServerId {
    xxh3_64(name.as_bytes()) as ServerId
}
