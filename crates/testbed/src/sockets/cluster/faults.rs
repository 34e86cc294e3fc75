//! Faults of the emulated cluster, as the driver injects them.

use cluster_model::Micros;
use cluster_model::network::{AnswerFaults, Zone};
use cluster_model::origin::FaultInjection;
use cluster_model::server::CacheServer;
use rand::seq::SliceRandom;

use super::{ClusterState, Server, ServerNumber, ServerSite};
use crate::deployment;

impl ClusterState {
    /// A cache server finishes what it has in flight and rejects all else.
    pub fn drain_server(&mut self, number: ServerNumber) {
        if let Some(server) = self.servers.get_mut(&number) {
            server.cache.drain();
        }
    }

    /// A cache server's process ends: its attempts in flight have no reply.
    pub fn stop_server(&mut self, now: Micros, number: ServerNumber) {
        let Some(server) = self.servers.get_mut(&number) else {
            return;
        };
        let lost = server.cache.stop();
        self.reset_all(now, lost);
    }

    /// A new process of a cache server starts, empty and cold.
    pub fn restart_server(&mut self, now: Micros, number: ServerNumber) {
        if let Some(server) = self.servers.get_mut(&number) {
            server.cache.restart(now);
        }
    }

    /// Adds a cache server like another one, whose process has not started yet.
    pub fn add_server_like(&mut self, now: Micros, like: ServerNumber) -> ServerNumber {
        let site = self
            .server_site(like)
            .unwrap_or(ServerSite { kind: 0, zone: 0 });
        let number = self
            .servers
            .last_key_value()
            .map_or(1, |(number, _)| number + 1);
        let config = deployment::cache_server(&self.scenario, &self.scenario.kinds[site.kind]);
        let mut cache = CacheServer::new(config, now, now);
        cache.stop();
        self.servers.insert(number, Server { cache, site });
        number
    }

    /// Other load takes a fraction of a cache server's machine, 0 for none.
    pub fn take_server_capacity(&mut self, now: Micros, number: ServerNumber, fraction: f64) {
        if let Some(server) = self.servers.get_mut(&number) {
            server.cache.set_stolen_share(now, fraction);
        }
    }

    /// Other load takes a fraction of the origin's machine, 0 for none.
    pub fn take_origin_capacity(&mut self, now: Micros, fraction: f64) {
        self.origin.set_stolen_share(now, fraction);
    }

    /// A fraction of the calls to the origin fails from now on.
    pub fn fail_origin(&mut self, fault: FaultInjection) {
        self.origin.set_fault(Some(fault));
    }

    /// Calls to the origin do not fail any more.
    pub fn heal_origin(&mut self) {
        self.origin.set_fault(None);
    }

    /// These fractions of the answers are damaged from now on.
    pub fn set_answer_faults(&mut self, faults: AnswerFaults) {
        self.network.set_answer_faults(faults);
    }

    /// A zone is cut off from the others.
    pub fn cut_zone(&mut self, now: Micros, zone: Zone) {
        self.cuts.begin(now, zone);
    }

    /// A zone is reached again.
    pub fn heal_zone(&mut self, now: Micros, zone: Zone) {
        self.cuts.heal(now, zone);
    }

    /// Chooses a fraction of the cache servers that run, at random.
    pub fn choose_servers(&mut self, fraction: f64) -> Vec<ServerNumber> {
        let up = self
            .servers
            .iter()
            .filter(|(_, server)| server.cache.is_running())
            .map(|(number, _)| *number)
            .collect();
        self.choose(up, fraction)
    }

    /// Chooses a fraction of some numbered parties, at random.
    pub fn choose(&mut self, mut numbers: Vec<u32>, fraction: f64) -> Vec<u32> {
        numbers.shuffle(&mut self.fault_random);
        numbers.truncate((numbers.len() as f64 * fraction).round() as usize);
        numbers
    }
}
