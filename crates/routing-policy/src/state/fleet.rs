//! The servers of the endpoint list and their kinds.

use std::collections::{BTreeMap, BTreeSet};

use super::{Attempt, KeyOrders, MachineKind, Server, SmoothedTime};
use crate::interface::{EndpointState, Micros, ServerId};

/// All servers, and the figures that they have together.
#[derive(Default)]
pub(crate) struct Fleet {
    /// The servers that are listed or still owe an outcome.
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The orders of the keys over the cache servers that are ready.
    pub(crate) key_orders: KeyOrders,
    /// The heaviest of these, by its line of the list.
    pub(crate) heaviest: Option<ServerId>,
    /// What was seen of each kind of machine.
    pub(crate) kinds: BTreeMap<u16, MachineKind>,
    /// The servers whose key shares may not be whole: no others grow.
    reduced: BTreeSet<ServerId>,
    /// Capacity of all cache servers that are ready.
    pub(crate) total_capacity: f64,
    /// Capacity of one of them on the mean.
    pub(crate) mean_capacity: f64,
    /// Time that a server takes for one request, without its queue.
    pub(crate) service_time: SmoothedTime,
    /// Attempts at cache servers without outcome.
    pub(crate) cache_attempts: u32,
}

impl Fleet {
    /// A server.
    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// A server, to be changed.
    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// A server and its kind, to be changed; the kind is added where it is new.
    pub(crate) fn with_kind(&mut self, id: ServerId) -> Option<(&mut Server, &mut MachineKind)> {
        let server = self.servers.get_mut(&id)?;
        let kind = self.kinds.entry(server.endpoint.kind).or_default();
        // Its share is cut through this reference only.
        self.reduced.insert(id);
        Some((server, kind))
    }

    /// The share of its keys that a server is left for what was seen of its kind.
    pub(crate) fn kind_share(&self, server: &Server) -> f64 {
        let kind = self.kind_of(server);
        kind.map_or(1.0, |kind| kind.key_share.get())
    }

    /// The share of its keys that a server is left, by what was seen of it and of all of its kind.
    pub(crate) fn key_share(&self, server: &Server) -> f64 {
        server.key_share.get() * self.kind_share(server)
    }

    /// Adds to the key shares of all servers and kinds. Few servers have a reduced one, and this is done often.
    pub(crate) fn grow_key_shares(&mut self, fraction: f64) {
        let servers = &mut self.servers;
        self.reduced.retain(|id| {
            let Some(server) = servers.get_mut(id) else {
                return false;
            };
            server.key_share.grow(fraction);
            server.key_share.is_reduced()
        });
        for kind in self.kinds.values_mut() {
            kind.key_share.grow(fraction);
        }
    }

    /// Takes what was counted in a period into the rates of the kinds.
    pub(crate) fn end_period(&mut self, period: Micros) {
        for kind in self.kinds.values_mut() {
            kind.answers_per_server.end_period(period);
        }
    }

    /// Notes whether the last failure of a server was one to connect.
    pub(crate) fn set_unreachable(&mut self, id: ServerId, unreachable: bool) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.unreachable = unreachable;
        }
    }

    /// Takes the time of an answer into the service time with one weight, and into its server's fastest time,
    /// which follows a faster answer at once, with the other.
    pub(crate) fn record_time(&mut self, call: &Attempt, now: Micros, service: f64, fastest: f64) {
        let Some(server) = self.servers.get_mut(&call.server) else {
            return;
        };
        let time = call.elapsed(now) as f64 / (1.0 + server.requests_per_core());
        let is_faster = time < server.fastest.get();
        let weight = if is_faster { 1.0 } else { fastest };
        server.fastest.record(time, weight);
        self.service_time.record(time, service);
    }

    /// Counts the servers of each kind that are ready and warm.
    pub(crate) fn count_warm_servers(&mut self, now: Micros, warm_up_period: Micros) {
        for kind in self.kinds.values_mut() {
            kind.warm_servers = 0;
        }
        let ready = self.servers.values().filter(|s| s.is_ready_cache());
        for server in ready.filter(|s| s.is_warm(now, warm_up_period)) {
            if let Some(kind) = self.kinds.get_mut(&server.endpoint.kind) {
                kind.warm_servers += 1;
            }
        }
    }

    /// The kind of a server, if anything was seen of it.
    pub(crate) fn kind_of(&self, server: &Server) -> Option<&MachineKind> {
        self.kinds.get(&server.endpoint.kind)
    }

    /// The cache servers that are ready, in the order of their ids.
    pub(crate) fn ready_cache_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.is_ready_cache())
    }

    /// The first origin that is ready.
    pub(crate) fn ready_origin(&self) -> Option<ServerId> {
        let mut servers = self.servers.values();
        let origin = servers.find(|s| s.is_origin && s.endpoint.state == EndpointState::Ready);
        origin.map(|s| s.endpoint.id)
    }

    /// Marks all servers as removed, before a whole list is taken in.
    pub(crate) fn mark_all_removed(&mut self) {
        for server in self.servers.values_mut() {
            server.endpoint.state = EndpointState::Removed;
        }
    }

    /// Forgets servers that are removed and owe no outcome, once a list has been taken in, and orders the keys
    /// over those that are ready: in one walk, as each is a large part of what a change costs.
    pub(crate) fn forget_removed(&mut self) {
        let mut ready = Vec::with_capacity(self.servers.len());
        let mut heaviest: Option<(f32, ServerId)> = None;
        self.servers.retain(|id, server| {
            let weight = server.endpoint.weight;
            if server.is_ready_cache() {
                ready.push(*id);
                if !weight.is_nan() && heaviest.is_none_or(|(most, _)| weight > most) {
                    heaviest = Some((weight, *id));
                }
            }
            server.endpoint.state != EndpointState::Removed || server.in_flight > 0
        });
        self.heaviest = heaviest.map(|(_, id)| id);
        self.key_orders.set_servers(ready);
    }
}
