//! The client side: requests arrive, the load balancer assigns each attempt to a node, and replies return.

use cluster_model::Micros;
use cluster_model::endpoint_list::NodeId;
use rand::Rng;
use routing_policy::{Event as PolicyEvent, Request, RequestId};

use super::nodes::OpenRequest;
use super::{Defect, Event, Simulation};
use crate::clients::{Assignment, Client, Reply};
use crate::deployment;

/// One-way delay between a client and a node, in microseconds.
pub(super) const CLIENT_DELAY: Micros = 300;

/// An event at a client. Clients are identified by their ids.
#[derive(Debug, Clone, Copy)]
pub(super) enum ClientEvent {
    /// A new request arrives.
    Arrival,
    /// A client retries.
    Retry { client: u64 },
    /// A client stops waiting, at its deadline or before.
    Leave { client: u64 },
    /// A reply reaches a client.
    Reply { client: u64, reply: Reply },
}

impl Simulation<'_> {
    pub(super) fn handle_client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Arrival => self.handle_request_arrival(),
            ClientEvent::Retry { client } => self.begin_attempt(client),
            ClientEvent::Leave { client } => self.handle_client_leave(client),
            ClientEvent::Reply { client, reply } => self.handle_reply_arrival(client, reply),
        }
    }

    pub(super) fn schedule_next_arrival(&mut self) {
        if let Some(at) = self.clients.next_arrival(self.now) {
            self.schedule(at, Event::Client(ClientEvent::Arrival));
        }
    }

    fn handle_request_arrival(&mut self) {
        self.schedule_next_arrival();
        let id = self.clients.new_client(self.now);
        let leaves_at = self
            .clients
            .get(id)
            .map_or(self.now, |client| client.leaves_at);
        let leave = ClientEvent::Leave { client: id };
        self.schedule(leaves_at, Event::Client(leave));
        self.begin_attempt(id);
    }

    /// A client sends an attempt through the load balancer to a node.
    fn begin_attempt(&mut self, id: u64) {
        let Some(client) = self.clients.begin_attempt(id) else {
            return;
        };
        let nodes = self.load_balancer.nodes();
        if nodes.is_empty() {
            return self.schedule_reply(CLIENT_DELAY, id, Reply::Failed);
        }
        let node = nodes[self.random.load_balancer.random_range(0..nodes.len())];
        if !self.nodes[node].is_running() {
            // The connection is refused, which takes a round trip.
            return self.schedule_reply(2 * CLIENT_DELAY, id, Reply::Failed);
        }
        self.accept_request(node, id, &client);
    }

    /// A node accepts the request of a client's attempt.
    fn accept_request(&mut self, node: NodeId, client_id: u64, client: &Client) {
        // The remaining time that the node receives is reduced by the delay on the way to it.
        let remaining = client.deadline.saturating_sub(self.now + CLIENT_DELAY);
        let deadline = self.now + remaining;
        let id = self.nodes[node].open_request(OpenRequest::new(client_id, deadline, remaining));
        self.clients.assign(client_id, node, id);
        let idempotency = deployment::idempotency(self.scenario, client.class);
        self.invariants.accepted((node, id), deadline, idempotency);
        let request = Request {
            id,
            class: client.class,
            key: client.key,
            write: self.scenario.classes[client.class].write,
            remaining_deadline: self.remaining_at_node(node, deadline),
            ..Request::default()
        };
        self.notify_policy(node, PolicyEvent::Request(request));
    }

    /// Schedules a reply to reach a client after a delay.
    pub(super) fn schedule_reply(&mut self, delay: Micros, client: u64, reply: Reply) {
        let reply = ClientEvent::Reply { client, reply };
        self.schedule(self.now + delay, Event::Client(reply));
    }

    fn handle_reply_arrival(&mut self, client: u64, reply: Reply) {
        if let Some(retry_at) = self.clients.handle_reply(self.now, client, reply) {
            self.schedule(retry_at, Event::Client(ClientEvent::Retry { client }));
        }
    }

    /// A client stops waiting. A client that reaches its deadline keeps its connection open, and the node still has to
    /// answer. A client that leaves earlier closes its connection: the node notices and does not have to answer.
    fn handle_client_leave(&mut self, id: u64) {
        let closes = self
            .clients
            .get(id)
            .is_some_and(|client| client.leaves_at < client.deadline);
        let Some(Assignment { node, request }) = self.clients.leave(id) else {
            return;
        };
        if closes {
            self.close_client_connection(node, request);
        }
    }

    fn close_client_connection(&mut self, node: NodeId, request: RequestId) {
        self.invariants.client_gone(self.now, (node, request));
        if self.has_defect(Defect::IgnoresClosedClients) {
            return;
        }
        if let Some(open) = self.nodes[node].open.get_mut(&request)
            && !open.complete
        {
            open.complete = true;
            self.notify_policy(node, PolicyEvent::ClientGone(request));
            self.forget_if_finished(node, request);
        }
    }
}
