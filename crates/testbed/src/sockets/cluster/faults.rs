//! Faults of the emulated cluster, injected by the driver.

use cluster_model::Micros;
use cluster_model::network::{AnswerFaults, Zone};
use cluster_model::origin::FaultInjection;
use cluster_model::server::CacheServer;
use rand::seq::SliceRandom;

use super::{ClusterState, Server, ServerNumber, ServerPlacement};
use crate::deployment;

impl ClusterState {
    /// Drains a cache server: it completes its attempts in flight and rejects all others.
    pub fn drain_server(&mut self, number: ServerNumber) {
        if let Some(server) = self.servers.get_mut(&number) {
            server.cache.drain();
        }
    }

    /// Ends a cache server's process. Its attempts in flight get no reply.
    pub fn stop_server(&mut self, now: Micros, number: ServerNumber) {
        let Some(server) = self.servers.get_mut(&number) else {
            return;
        };
        let lost = server.cache.stop();
        self.reset_all(now, lost);
    }

    /// Starts a new process of a cache server, with an empty cache and reduced capacity until it has warmed up.
    pub fn restart_server(&mut self, now: Micros, number: ServerNumber) {
        if let Some(server) = self.servers.get_mut(&number) {
            server.cache.restart(now);
        }
    }

    /// Adds a cache server of the same kind and zone as `template`. Its process is not started.
    pub fn add_server_like(&mut self, now: Micros, template: ServerNumber) -> ServerNumber {
        let placement = self
            .server_placement(template)
            .unwrap_or(ServerPlacement { kind: 0, zone: 0 });
        let number = self
            .servers
            .last_key_value()
            .map_or(1, |(number, _)| number + 1);
        let config = deployment::cache_server(&self.scenario, &self.scenario.kinds[placement.kind]);
        let mut cache = CacheServer::new(config, now, now);
        cache.stop();
        self.servers.insert(number, Server { cache, placement });
        number
    }

    /// Sets the fraction of a cache server's machine that other load uses; 0 for none.
    pub fn reduce_server_capacity(&mut self, now: Micros, number: ServerNumber, fraction: f64) {
        if let Some(server) = self.servers.get_mut(&number) {
            server.cache.set_stolen_share(now, fraction);
        }
    }

    /// Sets the fraction of the origin's machine that other load uses; 0 for none.
    pub fn reduce_origin_capacity(&mut self, now: Micros, fraction: f64) {
        self.origin.set_stolen_share(now, fraction);
    }

    /// Makes a fraction of the calls to the origin fail from now on.
    pub fn fail_origin(&mut self, fault: FaultInjection) {
        self.origin.set_fault(Some(fault));
    }

    /// Stops injecting failures into calls to the origin.
    pub fn clear_origin_fault(&mut self) {
        self.origin.set_fault(None);
    }

    /// Damages these fractions of the replies from now on.
    pub fn set_answer_faults(&mut self, faults: AnswerFaults) {
        self.network.set_answer_faults(faults);
    }

    /// Isolates a zone from the others.
    pub fn isolate_zone(&mut self, now: Micros, zone: Zone) {
        self.isolations.begin(now, zone);
    }

    /// Ends the isolation of a zone.
    pub fn heal_zone(&mut self, now: Micros, zone: Zone) {
        self.isolations.heal(now, zone);
    }

    /// Chooses a fraction of the running cache servers at random.
    pub fn choose_servers(&mut self, fraction: f64) -> Vec<ServerNumber> {
        let up = self
            .servers
            .iter()
            .filter(|(_, server)| server.cache.is_running())
            .map(|(number, _)| *number)
            .collect();
        self.choose(up, fraction)
    }

    /// Chooses a fraction of these numbers at random.
    pub fn choose(&mut self, mut numbers: Vec<u32>, fraction: f64) -> Vec<u32> {
        numbers.shuffle(&mut self.fault_random);
        numbers.truncate((numbers.len() as f64 * fraction).round() as usize);
        numbers
    }
}
