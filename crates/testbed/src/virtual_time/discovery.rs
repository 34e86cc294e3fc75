//! Endpoint discovery: the endpoint list service detects and publishes changes of servers, and notifies nodes of them.

use cluster_model::Micros;
use cluster_model::endpoint_list::{
    EndpointRecord, ListCall, ListResponse, NodeId, NodeResponse, Notification, ServerState,
};
use routing_policy::{Endpoint, EndpointState, Event as PolicyEvent, ListUpdate, ServerId};

use super::clients::CLIENT_DELAY;
use super::servers::ORIGIN;
use super::{Defect, Event, Simulation};
use crate::micros;

/// An event of the endpoint list service.
pub(super) enum DiscoveryEvent {
    /// The service may be able to handle calls.
    CallsDue,
    /// A response reaches a node. It is ignored if the node's incarnation has changed in the meantime.
    Response {
        node: NodeId,
        incarnation: u32,
        response: ListResponse,
    },
    /// The service detects a change of a server.
    ChangeDetected(EndpointRecord),
    /// The service is available again.
    ServiceRestored,
}

impl Simulation<'_> {
    pub(super) fn handle_discovery_event(&mut self, event: DiscoveryEvent) {
        match event {
            DiscoveryEvent::CallsDue => {
                for NodeResponse { node, response } in self.list.process(self.now) {
                    self.schedule_list_response(self.now, node, response);
                }
                self.schedule_list_calls();
            }
            DiscoveryEvent::Response {
                node,
                incarnation,
                response,
            } => {
                if self.is_current(node, incarnation) {
                    self.handle_list_response(node, response);
                }
            }
            DiscoveryEvent::ChangeDetected(record) => self.publish_change(record),
            DiscoveryEvent::ServiceRestored => {
                // While the service is down it has no watches and no calls, so none can fail.
                let _ = self.list.set_available(self.now, true);
                self.invariants.discovery_reachable(self.now, true);
            }
        }
    }

    /// Makes a node's call to the service.
    pub(super) fn call_list(&mut self, node: NodeId, call: ListCall) {
        if let Some(response) = self.list.call(self.now, node, call) {
            // The response is delayed, because even a refused connection takes some time.
            self.schedule_list_response(self.now + CLIENT_DELAY, node, response);
        }
        self.schedule_list_calls();
    }

    fn schedule_list_calls(&mut self) {
        if let Some(at) = self.list.next_event_at() {
            self.schedule(at, Event::Discovery(DiscoveryEvent::CallsDue));
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

    fn handle_list_response(&mut self, node: NodeId, response: ListResponse) {
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
        let state = &mut self.nodes[node];
        if !complete && version < state.list_version {
            return;
        }
        state.list_version = version;
        if complete {
            self.drop_missing_endpoints(node, &records);
        }
        for record in &records {
            self.nodes[node].endpoints.insert(record.server, *record);
            self.record_notification(node, record);
        }
        let update = if complete {
            ListUpdate::Full
        } else {
            ListUpdate::Delta
        };
        let endpoints = self.endpoints(&records);
        self.notify_of_endpoints(node, update, endpoints);
    }

    /// Clears a node's copy of the list before a complete list is stored. Records for the invariants that the node is
    /// notified of the removal of the servers that are missing from the complete list.
    fn drop_missing_endpoints(&mut self, node: NodeId, complete: &[EndpointRecord]) {
        let previous = std::mem::take(&mut self.nodes[node].endpoints);
        for server in previous.into_keys() {
            if !complete.iter().any(|record| record.server == server) {
                self.invariants.node_notified(self.now, node, server, false);
            }
        }
    }

    /// Records for the invariants that a node has been notified of a server's state.
    fn record_notification(&mut self, node: NodeId, record: &EndpointRecord) {
        let ready = record.state == ServerState::Ready;
        self.invariants
            .node_notified(self.now, node, record.server, ready);
    }

    fn notify_of_endpoints(&mut self, node: NodeId, update: ListUpdate, endpoints: Vec<Endpoint>) {
        let event = PolicyEvent::EndpointList { update, endpoints };
        self.notify_policy(node, event);
    }

    /// Loads a node's own copy of the list into its policy when the node starts.
    pub(super) fn load_cached_endpoints(&mut self, node: NodeId) {
        let records: Vec<_> = self.nodes[node].endpoints.values().copied().collect();
        for record in &records {
            self.record_notification(node, record);
        }
        let endpoints = self.endpoints(&records);
        self.notify_of_endpoints(node, ListUpdate::Cached, endpoints);
    }

    /// The servers of a list and the origin, in the form that a policy receives.
    pub(super) fn endpoints(&self, records: &[EndpointRecord]) -> Vec<Endpoint> {
        let endpoint = |record: &EndpointRecord| {
            let server = self.servers.get(&record.server);
            Endpoint {
                id: record.server,
                zone: server.map_or(0, |server| server.zone),
                kind: server.map_or(0, |server| server.kind as u16),
                started: record.started,
                state: match record.state {
                    ServerState::Ready => EndpointState::Ready,
                    ServerState::Draining => EndpointState::Draining,
                    ServerState::Removed => EndpointState::Removed,
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

    /// Schedules the detection of a change of a server's state.
    pub(super) fn report_state_change(
        &mut self,
        server: ServerId,
        state: ServerState,
        started: Micros,
    ) {
        let record = EndpointRecord {
            server,
            state,
            started,
        };
        let delay = micros(self.scenario.endpoint_list.detection_delay);
        let detected = DiscoveryEvent::ChangeDetected(record);
        self.schedule(self.now + delay, Event::Discovery(detected));
    }

    pub(super) fn report_server_removed(&mut self, server: ServerId) {
        self.report_state_change(server, ServerState::Removed, 0);
    }

    fn publish_change(&mut self, record: EndpointRecord) {
        let ready = record.state == ServerState::Ready;
        self.invariants
            .discovery_learned_readiness(self.now, record.server, ready);
        for notification in self.list.publish(self.now, record) {
            let Notification { at, node, response } = notification;
            self.schedule_list_response(at, node, response);
        }
    }
}
