//! The servers of the endpoint list in force: where each is reached and whether it accepts requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use routing_policy::settings::Deployment;
use routing_policy::{Endpoint, EndpointState, ListUpdate, Micros, ServerId};
use xxhash_rust::xxh3::xxh3_64;

use super::server_starts::{ListedStart, ServerStarts};
use crate::clock::{Moment, UnixTime};
use crate::message::{DiscoveredEndpoint, EndpointListUpdate, ServerProtocol, ServerTarget};

/// The index that the policy is given for a machine kind that the settings don't name.
const UNKNOWN_KIND: u16 = u16::MAX;
/// The index that the policy is given for a zone that the settings don't name.
const UNKNOWN_ZONE: usize = 255;

/// A server of the list.
struct Server {
    address: SocketAddr,
    protocol: ServerProtocol,
    /// As the policy sees it.
    endpoint: Endpoint,
    /// When it last sent a response; 0 if never.
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

/// What an update changes for the connections to one server.
#[derive(Debug, Clone, Copy)]
pub struct EndpointChange {
    /// The server and where it is reached now.
    pub target: ServerTarget,
    /// Its state now.
    pub state: EndpointState,
    /// Whether it had another address before.
    pub has_moved: bool,
}

/// What an update of the endpoint list changes.
#[derive(Debug, Default)]
pub struct AppliedUpdate {
    /// The endpoints for the policy, in the order of the update.
    pub endpoints: Vec<Endpoint>,
    /// The same for the connections.
    pub changes: Vec<EndpointChange>,
    /// Servers that are not in the list any more.
    pub removed: Vec<ServerId>,
    /// Servers that accept no new request: those of the update, then all that are removed.
    pub not_ready: Vec<ServerId>,
}

/// How the policy is told that an update relates to the list in force.
pub fn list_update(update: &EndpointListUpdate) -> ListUpdate {
    if update.is_complete {
        ListUpdate::Full
    } else {
        ListUpdate::Delta
    }
}

/// The servers of the endpoint list in force.
pub struct EndpointTable {
    servers: HashMap<ServerId, Server>,
    starts: ServerStarts,
    deployment: Arc<Deployment>,
}

impl EndpointTable {
    /// Without servers.
    pub fn new(deployment: Arc<Deployment>) -> Self {
        EndpointTable {
            servers: HashMap::new(),
            starts: ServerStarts::default(),
            deployment,
        }
    }

    /// The ids of all servers.
    pub fn server_ids(&self) -> impl Iterator<Item = ServerId> {
        self.servers.keys().copied()
    }

    /// Where a server is reached.
    pub fn target(&self, server: ServerId) -> Option<ServerTarget> {
        let found = self.servers.get(&server)?;
        Some(found.target(server))
    }

    /// Where a server is reached, if it accepts new requests.
    pub fn ready_target(&self, server: ServerId) -> Option<ServerTarget> {
        let found = self.servers.get(&server)?;
        (found.endpoint.state == EndpointState::Ready).then(|| found.target(server))
    }

    /// Whether any server accepts requests.
    pub fn any_ready(&self) -> bool {
        self.servers
            .values()
            .any(|server| server.endpoint.state == EndpointState::Ready)
    }

    /// A server has sent a response.
    pub fn record_response(&mut self, server: ServerId, now: Micros) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.last_response_at = now;
        }
    }

    /// Whether a server of the list has sent no response since a time.
    pub fn has_not_responded_since(&self, server: ServerId, since: Micros) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|server| server.last_response_at < since)
    }

    /// Applies an update. An endpoint without a usable address keeps the one that it has, or is left out.
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
            let endpoint = self.describe(id, discovered);
            applied.changes.push(self.replace(&endpoint, address));
            applied.endpoints.push(endpoint);
        }
        applied.removed = self.remove_missing(&applied.endpoints, kind, moment.at);
        applied.not_ready = ids_where(&applied.endpoints, |state| state != EndpointState::Ready);
        applied.not_ready.extend(&applied.removed);
        let revised = self.revise_starts(&applied.endpoints, moment);
        applied.endpoints.extend(revised);
        applied
    }

    /// Discovery says that the list in force has not changed.
    pub fn confirm(&mut self, now: Micros) {
        self.starts.confirm_list(now);
    }

    /// Discovery's stamp of a server's start; `None` for long ago.
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

    /// The endpoints whose start the update shows to be later than was believed, but for those that it lists.
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

    /// The endpoint as the policy sees it.
    fn describe(&self, id: ServerId, discovered: &DiscoveredEndpoint) -> Endpoint {
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

    /// Puts a server into the list, in place of what was there.
    fn replace(&mut self, endpoint: &Endpoint, address: SocketAddr) -> EndpointChange {
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
            has_moved: before.is_some_and(|before| before.address != address),
        }
    }

    /// Removes the servers that an update removes, and those that a complete list does not name.
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

/// The state of an endpoint by discovery's word for it.
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
