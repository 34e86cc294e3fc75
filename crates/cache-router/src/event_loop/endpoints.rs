//! The servers of the current endpoint list: their addresses, and whether they accept requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use routing_policy::settings::Deployment;
use routing_policy::{Endpoint, EndpointState, ListUpdate, Micros, ServerId};
use xxhash_rust::xxh3::xxh3_64;

use super::server_starts::{ListedStart, ServerStarts};
use crate::clock::{Moment, UnixTime};
use crate::message::{DiscoveredEndpoint, EndpointListUpdate, ServerProtocol, ServerTarget};

/// The index passed to the policy for a machine kind that the settings do not name.
const UNKNOWN_KIND: u16 = u16::MAX;
/// The index passed to the policy for a zone that the settings do not name.
const UNKNOWN_ZONE: usize = 255;

/// A server of the list.
struct Server {
    address: SocketAddr,
    protocol: ServerProtocol,
    /// The endpoint in the form that the policy takes.
    endpoint: Endpoint,
    /// When the server last sent a response; 0 if never.
    last_response_at: Micros,
}

impl Server {
    fn target(&self, server: ServerId) -> ServerTarget {
        ServerTarget {
            server,
            address: self.address,
            protocol: self.protocol,
        }
    }
}

/// The effect of an endpoint list update on the connections to one server.
#[derive(Debug, Clone, Copy)]
pub struct EndpointChange {
    /// The server and its current address.
    pub target: ServerTarget,
    /// Its current state.
    pub state: EndpointState,
    /// Whether the server had another address before.
    pub address_changed: bool,
}

/// The effects of an endpoint list update.
#[derive(Debug, Default)]
pub struct AppliedUpdate {
    /// The endpoints for the policy, in the order of the update.
    pub endpoints: Vec<Endpoint>,
    /// The changes that concern the connections to these endpoints.
    pub changes: Vec<EndpointChange>,
    /// Servers that are no longer in the list.
    pub removed: Vec<ServerId>,
    /// Servers that accept no new requests: first those in the update, then all removed ones.
    pub not_ready: Vec<ServerId>,
}

/// Returns how an update relates to the current list, in the form that the policy takes.
pub fn list_update(update: &EndpointListUpdate) -> ListUpdate {
    if update.is_complete {
        ListUpdate::Full
    } else {
        ListUpdate::Delta
    }
}

/// The servers of the current endpoint list.
pub struct EndpointTable {
    servers: HashMap<ServerId, Server>,
    starts: ServerStarts,
    deployment: Arc<Deployment>,
}

impl EndpointTable {
    /// Creates a table without servers.
    pub fn new(deployment: Arc<Deployment>) -> Self {
        EndpointTable {
            servers: HashMap::new(),
            starts: ServerStarts::default(),
            deployment,
        }
    }

    /// Returns the ids of all servers.
    pub fn server_ids(&self) -> impl Iterator<Item = ServerId> {
        self.servers.keys().copied()
    }

    /// Returns how to reach a server.
    pub fn target(&self, server: ServerId) -> Option<ServerTarget> {
        let found = self.servers.get(&server)?;
        Some(found.target(server))
    }

    /// Returns how to reach a server, if it accepts new requests.
    pub fn ready_target(&self, server: ServerId) -> Option<ServerTarget> {
        let found = self.servers.get(&server)?;
        (found.endpoint.state == EndpointState::Ready).then(|| found.target(server))
    }

    /// Returns whether any server accepts requests.
    pub fn any_ready(&self) -> bool {
        self.servers
            .values()
            .any(|server| server.endpoint.state == EndpointState::Ready)
    }

    /// Records that a server has sent a response.
    pub fn record_response(&mut self, server: ServerId, now: Micros) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.last_response_at = now;
        }
    }

    /// Returns whether a listed server has sent no response since `since`.
    pub fn has_not_responded_since(&self, server: ServerId, since: Micros) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|server| server.last_response_at < since)
    }

    /// Applies an update. An endpoint without a usable address keeps its earlier address, or is left out if it has
    /// none.
    pub fn apply(
        &mut self,
        update: &EndpointListUpdate,
        kind: ListUpdate,
        moment: Moment,
    ) -> AppliedUpdate {
        self.record_starts(update, kind, moment);
        let mut applied = AppliedUpdate {
            endpoints: Vec::with_capacity(update.endpoints.len()),
            ..AppliedUpdate::default()
        };
        for discovered in &update.endpoints {
            let id = server_id(discovered);
            let Some(address) = self.resolve_address(id, discovered) else {
                continue;
            };
            let endpoint = self.to_policy_endpoint(id, discovered);
            applied.changes.push(self.upsert(&endpoint, address));
            applied.endpoints.push(endpoint);
        }
        applied.removed = self.remove_missing(&applied.endpoints, kind, moment.at);
        applied.not_ready = ids_where(&applied.endpoints, |state| state != EndpointState::Ready);
        applied.not_ready.extend(&applied.removed);
        let revised = self.revise_starts(&applied.endpoints, moment);
        applied.endpoints.extend(revised);
        applied
    }

    /// Records that discovery has confirmed the current list as unchanged.
    pub fn confirm(&mut self, now: Micros) {
        self.starts.confirm_list(now);
    }

    /// Returns discovery's stamp of a server's start; `None` if the start was long ago.
    pub fn start_stamp(&self, server: ServerId) -> Option<UnixTime> {
        self.starts.stamp(server)
    }

    fn record_starts(&mut self, update: &EndpointListUpdate, kind: ListUpdate, moment: Moment) {
        let listed: Vec<_> = update.endpoints.iter().map(listed_start).collect();
        if kind == ListUpdate::Cached {
            self.starts.record_cached_list(&listed, moment);
        } else {
            self.starts.record_list(&listed, moment);
        }
    }

    /// Returns the unlisted endpoints whose start was corrected to a later time, as this update has shown.
    fn revise_starts(&mut self, listed: &[Endpoint], moment: Moment) -> Vec<Endpoint> {
        let warm_up_period = self.deployment.settings.warm_up_period;
        let mut endpoints = Vec::new();
        for id in self.starts.revise(warm_up_period, moment) {
            let is_listed = listed.iter().any(|endpoint| endpoint.id == id);
            let Some(server) = self.servers.get_mut(&id).filter(|_| !is_listed) else {
                continue;
            };
            server.endpoint.started = self.starts.started_at(id);
            endpoints.push(server.endpoint.clone());
        }
        endpoints
    }

    fn resolve_address(&self, id: ServerId, discovered: &DiscoveredEndpoint) -> Option<SocketAddr> {
        let known = || self.servers.get(&id).map(|server| server.address);
        discovered.address.parse().ok().or_else(known)
    }

    /// Converts an endpoint to the form that the policy takes.
    fn to_policy_endpoint(&self, id: ServerId, discovered: &DiscoveredEndpoint) -> Endpoint {
        let kind = index_of(&self.deployment.kinds, &discovered.kind)
            .unwrap_or(usize::from(UNKNOWN_KIND)) as u16;
        let zone = index_of(&self.deployment.zones, &discovered.zone).unwrap_or(UNKNOWN_ZONE) as u8;
        Endpoint {
            id,
            zone,
            cell: discovered.cell,
            kind,
            weight: discovered.weight,
            started: self.starts.started_at(id),
            state: endpoint_state(&discovered.status),
        }
    }

    /// Inserts a server, or replaces its earlier entry.
    fn upsert(&mut self, endpoint: &Endpoint, address: SocketAddr) -> EndpointChange {
        let is_origin = self.deployment.settings.origin_kind == Some(endpoint.kind);
        let protocol = if is_origin {
            ServerProtocol::Http
        } else {
            ServerProtocol::Resp
        };
        let last_response_at = self
            .servers
            .get(&endpoint.id)
            .map_or(0, |server| server.last_response_at);
        let server = Server {
            address,
            protocol,
            endpoint: endpoint.clone(),
            last_response_at,
        };
        let before = self.servers.insert(endpoint.id, server);
        EndpointChange {
            target: ServerTarget {
                server: endpoint.id,
                address,
                protocol,
            },
            state: endpoint.state,
            address_changed: before.is_some_and(|before| before.address != address),
        }
    }

    /// Removes the servers that an update marks as removed, and those that a complete list does not name.
    fn remove_missing(
        &mut self,
        listed: &[Endpoint],
        kind: ListUpdate,
        now: Micros,
    ) -> Vec<ServerId> {
        let mut removed = ids_where(listed, |state| state == EndpointState::Removed);
        if kind != ListUpdate::Delta {
            let listed: HashSet<ServerId> = listed.iter().map(|endpoint| endpoint.id).collect();
            removed.extend(self.server_ids().filter(|id| !listed.contains(id)));
        }
        for id in &removed {
            self.servers.remove(id);
            self.starts.remove(*id, now);
        }
        removed
    }
}

/// Converts discovery's status word to an endpoint state.
fn endpoint_state(status: &str) -> EndpointState {
    match status {
        "active" => EndpointState::Ready,
        "left" => EndpointState::Removed,
        _ => EndpointState::Draining,
    }
}

fn server_id(discovered: &DiscoveredEndpoint) -> ServerId {
    xxh3_64(discovered.name.as_bytes()) as ServerId
}

fn listed_start(discovered: &DiscoveredEndpoint) -> ListedStart {
    let is_known = discovered.started_ms != 0;
    ListedStart {
        server: server_id(discovered),
        stamp: is_known.then(|| UnixTime::from_millis(discovered.started_ms)),
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn ids_where(endpoints: &[Endpoint], matches: impl Fn(EndpointState) -> bool) -> Vec<ServerId> {
    endpoints
        .iter()
        .filter(|endpoint| matches(endpoint.state))
        .map(|endpoint| endpoint.id)
        .collect()
}
