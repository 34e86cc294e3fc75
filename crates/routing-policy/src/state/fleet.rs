//! The servers of the endpoint list, and the statistics of their machine kinds.

use std::collections::{BTreeMap, BTreeSet};

use super::{Attempt, KeyOrders, MachineKind, Server, SmoothedTime};
use crate::interface::{EndpointState, Micros, ServerId};

/// All known servers and the fleet-wide totals and averages.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Servers that are in the endpoint list or still have attempts in flight.
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Rendezvous order of the ready cache servers for each key.
    pub(crate) key_orders: KeyOrders,
    /// The ready cache server with the highest weight in the endpoint list.
    pub(crate) heaviest: Option<ServerId>,
    /// Statistics of each machine kind.
    pub(crate) machine_kinds: BTreeMap<u16, MachineKind>,
    /// Servers whose key share may be below 1. Only these have to grow.
    reduced_servers: BTreeSet<ServerId>,
    /// Total capacity of all ready cache servers.
    pub(crate) total_capacity: f64,
    /// Mean capacity of a ready cache server.
    pub(crate) mean_capacity: f64,
    /// Smoothed service time of one request, without queueing time.
    pub(crate) service_time: SmoothedTime,
    /// Number of attempts in flight at cache servers.
    pub(crate) cache_attempts_in_flight: u32,
}

impl Fleet {
    /// Returns a server by its ID.
    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Returns a mutable reference to a server.
    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Returns a server and its machine kind for modification. Adds the kind if it is not yet known.
    pub(crate) fn server_and_kind_mut(
        &mut self,
        id: ServerId,
    ) -> Option<(&mut Server, &mut MachineKind)> {
        let server = self.servers.get_mut(&id)?;
        let kind = self.machine_kinds.entry(server.endpoint.kind).or_default();
        // A server's key share is reduced only through this reference.
        self.reduced_servers.insert(id);
        Some((server, kind))
    }

    /// The fraction of its keys that a server keeps, based on its machine kind alone.
    pub(crate) fn kind_key_share(&self, server: &Server) -> f64 {
        let kind = self.machine_kind_of(server);
        kind.map_or(1.0, |kind| kind.key_share.get())
    }

    /// The fraction of its keys that a server keeps, based on its own results and those of its machine kind.
    pub(crate) fn key_share(&self, server: &Server) -> f64 {
        server.key_share.get() * self.kind_key_share(server)
    }

    /// Adds `fraction` to the key shares of all servers and kinds. This runs often, so it visits only the few
    /// servers whose key share is reduced.
    pub(crate) fn grow_key_shares(&mut self, fraction: f64) {
        let servers = &mut self.servers;
        self.reduced_servers.retain(|id| {
            let Some(server) = servers.get_mut(id) else {
                return false;
            };
            server.key_share.grow(fraction);
            server.key_share.is_reduced()
        });
        for kind in self.machine_kinds.values_mut() {
            kind.key_share.grow(fraction);
        }
    }

    /// Updates the rates of all machine kinds with the events of the period that ends.
    pub(crate) fn end_period(&mut self, period: Micros) {
        for kind in self.machine_kinds.values_mut() {
            kind.answer_rate_per_server.end_period(period);
        }
    }

    /// Records whether a server's last failure was a failure to connect.
    pub(crate) fn set_unreachable(&mut self, id: ServerId, unreachable: bool) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.unreachable = unreachable;
        }
    }

    /// Records the answer time of an attempt. It is divided by one plus the requests per core, so that queueing
    /// time is not counted. `service_weight` is its weight in the fleet's smoothed service time,
    /// `min_time_weight` its weight in the server's minimum answer time. A faster answer replaces the minimum.
    pub(crate) fn record_answer_time(
        &mut self,
        attempt: &Attempt,
        now: Micros,
        service_weight: f64,
        min_time_weight: f64,
    ) {
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return;
        };
        let answer_time = attempt.elapsed(now) as f64 / (1.0 + server.requests_per_core());
        let is_faster = answer_time < server.min_answer_time.get();
        let weight = if is_faster { 1.0 } else { min_time_weight };
        server.min_answer_time.record(answer_time, weight);
        self.service_time.record(answer_time, service_weight);
    }

    /// Recounts the warm, ready cache servers of each machine kind.
    pub(crate) fn count_warm_servers(&mut self, now: Micros, warm_up_period: Micros) {
        for kind in self.machine_kinds.values_mut() {
            kind.warm_servers = 0;
        }
        let ready = self.servers.values().filter(|s| s.is_ready_cache());
        for server in ready.filter(|s| s.is_warm(now, warm_up_period)) {
            if let Some(kind) = self.machine_kinds.get_mut(&server.endpoint.kind) {
                kind.warm_servers += 1;
            }
        }
    }

    /// The machine kind of a server, or `None` if nothing has been recorded for it.
    pub(crate) fn machine_kind_of(&self, server: &Server) -> Option<&MachineKind> {
        self.machine_kinds.get(&server.endpoint.kind)
    }

    /// Iterates over the ready cache servers in order of their IDs.
    pub(crate) fn ready_cache_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.is_ready_cache())
    }

    /// The ready origin with the lowest ID.
    pub(crate) fn ready_origin(&self) -> Option<ServerId> {
        let mut servers = self.servers.values();
        let origin = servers.find(|s| s.is_origin && s.endpoint.state == EndpointState::Ready);
        origin.map(|s| s.endpoint.id)
    }

    /// Marks all servers as removed. Called before a full list is applied, which restores those that it
    /// contains.
    pub(crate) fn mark_all_removed(&mut self) {
        for server in self.servers.values_mut() {
            server.endpoint.state = EndpointState::Removed;
        }
    }

    /// Deletes removed servers that have no attempts in flight, and updates the rendezvous order and the
    /// heaviest server. Called after a list has been applied. One pass does all of it, because each pass over
    /// the fleet is a large part of the cost of a list update.
    pub(crate) fn apply_list_changes(&mut self) {
        let mut ready = Vec::with_capacity(self.servers.len());
        let mut heaviest: Option<(f32, ServerId)> = None;
        self.servers.retain(|id, server| {
            let weight = server.endpoint.weight;
            if server.is_ready_cache() {
                ready.push(*id);
                if !weight.is_nan() && heaviest.is_none_or(|(max_weight, _)| weight > max_weight) {
                    heaviest = Some((weight, *id));
                }
            }
            server.endpoint.state != EndpointState::Removed || server.in_flight > 0
        });
        self.heaviest = heaviest.map(|(_, id)| id);
        self.key_orders.set_servers(ready);
    }
}
