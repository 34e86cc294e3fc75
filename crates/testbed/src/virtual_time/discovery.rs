//! Endpoint discovery: changes of servers become known, the endpoint list publishes them, and nodes are notified.

use cluster_model::Micros;
use cluster_model::endpoint_list::{
    Condition, EndpointRecord, ListCall, ListResponse, NodeId, NodeResponse, Notification,
};
use routing_policy::{Endpoint, EndpointState, Event as PolicyEvent, ListUpdate, ServerId};

use super::clients::CLIENT_DELAY;
use super::servers::ORIGIN;
use super::{Defect, Event, Simulation};
use crate::micros;

/// An event of the endpoint list service.
pub(super) enum DiscoveryEvent {
    /// Calls may be handled.
    ListDue,
    /// A response reaches a node, unless that has another incarnation by then.
    Response {
        node: NodeId,
        incarnation: u32,
        response: ListResponse,
    },
    /// A change of a server becomes known.
    Known(EndpointRecord),
    /// The service is back.
    ListRestored,
}

impl Simulation<'_> {
    pub(super) fn handle_discovery_event(&mut self, event: DiscoveryEvent) {
        match event {
            DiscoveryEvent::ListDue => {
                for NodeResponse { node, response } in self.list.process(self.now) {
                    self.schedule_list_response(self.now, node, response);
                }
                self.schedule_list();
            }
            DiscoveryEvent::Response {
                node,
                incarnation,
                response,
            } => {
                if self.is_current(node, incarnation) {
                    self.list_response_arrives(node, response);
                }
            }
            DiscoveryEvent::Known(record) => self.change_is_known(record),
            DiscoveryEvent::ListRestored => {
                // While the service is down it has neither watches nor calls that could fail.
                let _ = self.list.set_available(self.now, true);
                self.invariants.discovery_reachable(self.now, true);
            }
        }
    }

    /// A node calls the service.
    pub(super) fn call_list(&mut self, node: NodeId, call: ListCall) {
        if let Some(response) = self.list.call(self.now, node, call) {
            // Not at once: even a refused connection takes some time.
            self.schedule_list_response(self.now + CLIENT_DELAY, node, response);
        }
        self.schedule_list();
    }

    fn schedule_list(&mut self) {
        if let Some(at) = self.list.next_event_at() {
            self.schedule(at, Event::Discovery(DiscoveryEvent::ListDue));
        }
    }

    pub(super) fn schedule_list_response(
        &mut self,
        at: Micros,
        node: NodeId,
        response: ListResponse,
    ) {
        let response = DiscoveryEvent::Response {
            node,
            incarnation: self.nodes[node].incarnation(),
            response,
        };
        self.schedule(at, Event::Discovery(response));
    }

    fn list_response_arrives(&mut self, node: NodeId, response: ListResponse) {
        if self.has_defect(Defect::IgnoresEndpointList) {
            return;
        }
        let ListResponse::Update {
            version,
            complete,
            records,
        } = response
        else {
            return self.notify_of_endpoints(node, ListUpdate::Failed, Vec::new());
        };
        let its = &mut self.nodes[node];
        if !complete && version < its.list_version {
            return;
        }
        its.list_version = version;
        if complete {
            self.drop_missing_endpoints(node, &records);
        }
        for record in &records {
            self.nodes[node].endpoints.insert(record.server, *record);
            self.record_notice(node, record);
        }
        let update = if complete {
            ListUpdate::Full
        } else {
            ListUpdate::Delta
        };
        let endpoints = self.endpoints(&records);
        self.notify_of_endpoints(node, update, endpoints);
    }

    /// A node empties its copy of the list before a complete one. It is notified that the servers which are not in that
    /// are gone.
    fn drop_missing_endpoints(&mut self, node: NodeId, complete: &[EndpointRecord]) {
        let previous = std::mem::take(&mut self.nodes[node].endpoints);
        for server in previous.into_keys() {
            if !complete.iter().any(|record| record.server == server) {
                self.invariants.notified(self.now, node, server, false);
            }
        }
    }

    /// Records for the invariants that a node is notified of a server's condition.
    fn record_notice(&mut self, node: NodeId, record: &EndpointRecord) {
        let ready = record.condition == Condition::Ready;
        self.invariants
            .notified(self.now, node, record.server, ready);
    }

    fn notify_of_endpoints(&mut self, node: NodeId, update: ListUpdate, endpoints: Vec<Endpoint>) {
        let event = PolicyEvent::EndpointList { update, endpoints };
        self.notify_policy(node, event);
    }

    /// A node that starts begins with its own copy of the list.
    pub(super) fn load_cached_endpoints(&mut self, node: NodeId) {
        let records: Vec<_> = self.nodes[node].endpoints.values().copied().collect();
        for record in &records {
            self.record_notice(node, record);
        }
        let endpoints = self.endpoints(&records);
        self.notify_of_endpoints(node, ListUpdate::Cached, endpoints);
    }

    /// The servers of a list, and the origin, as a policy knows them.
    pub(super) fn endpoints(&self, records: &[EndpointRecord]) -> Vec<Endpoint> {
        let endpoint = |record: &EndpointRecord| {
            let server = self.servers.get(&record.server);
            Endpoint {
                id: record.server,
                zone: server.map_or(0, |server| server.zone),
                kind: server.map_or(0, |server| server.kind as u16),
                started: record.started,
                state: match record.condition {
                    Condition::Ready => EndpointState::Ready,
                    Condition::Draining => EndpointState::Draining,
                    Condition::Removed => EndpointState::Removed,
                },
                ..Endpoint::default()
            }
        };
        let origin = Endpoint {
            id: ORIGIN,
            kind: self.scenario.kinds.len() as u16,
            ..Endpoint::default()
        };
        records.iter().map(endpoint).chain([origin]).collect()
    }

    /// A server's condition changes, which becomes known some time later.
    pub(super) fn condition_changes(
        &mut self,
        server: ServerId,
        condition: Condition,
        started: Micros,
    ) {
        let record = EndpointRecord {
            server,
            condition,
            started,
        };
        let delay = micros(self.scenario.endpoint_list.detection_delay);
        let known = DiscoveryEvent::Known(record);
        self.schedule(self.now + delay, Event::Discovery(known));
    }

    pub(super) fn server_is_gone(&mut self, server: ServerId) {
        self.condition_changes(server, Condition::Removed, 0);
    }

    fn change_is_known(&mut self, record: EndpointRecord) {
        let ready = record.condition == Condition::Ready;
        self.invariants
            .readiness_known(self.now, record.server, ready);
        for notification in self.list.publish(self.now, record) {
            let Notification { at, node, response } = notification;
            self.schedule_list_response(at, node, response);
        }
    }
}
