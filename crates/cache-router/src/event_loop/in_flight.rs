//! The requests that have no final reply yet, with their attempts: their clients, servers, deadlines and outcomes. This
//! module knows connections only by their ids; the dispatcher sends the attempts.

use std::collections::HashMap;

use routing_policy::{AttemptOutcome, AttemptStatus, Micros, Request, RequestId, ServerId};
use tokio::sync::mpsc;
use tracing::debug;

use crate::clock::Clock;
use crate::message::{
    AttemptId, ClientCommand, ClientId, ClientReply, ClientRequest, ConnectionId, Reply,
    ServerResponse,
};
use crate::trace::{self, Trace};
use crate::unread_input::UnreadInput;

/// The reply to a failed request. It does not tell whether any server ran the request.
pub const FAILED_REPLY: &[u8] = b"-ERR failed\r\n";
/// The reply to a rejected request without a Retry-After time.
pub const BUSY_REPLY: &[u8] = b"-BUSY\r\n";
/// First bytes of a reply that rejects a request.
const BUSY_PREFIX: &[u8] = b"-BUSY";

/// A client's request that has no final reply yet, or has attempts without an outcome.
pub struct InFlightRequest {
    command: ClientCommand,
    client: ClientId,
    unread_input: UnreadInput,
    sequence: u64,
    replies: mpsc::Sender<ClientReply>,
    deadline: Micros,
    attempts_started: u16,
    /// Number of attempts without an outcome.
    attempts_running: u16,
    /// Whether no reply is due any more.
    is_complete: bool,
}

impl InFlightRequest {
    /// Returns the client's command.
    pub fn command(&self) -> &ClientCommand {
        &self.command
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Returns how many attempts have been started.
    pub fn attempts_started(&self) -> u16 {
        self.attempts_started
    }

    /// Returns whether no reply is due any more.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether an attempt may still be sent: the reply is due, the deadline has not passed and the client is
    /// connected, as far as its input tells.
    pub fn may_send(&self, now: Micros) -> bool {
        let may_be_connected = !self.replies.is_closed() && !self.unread_input.is_old(now);
        !self.is_complete && now < self.deadline && may_be_connected
    }
}

/// An attempt without an outcome.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The server to which it is sent.
    pub server: ServerId,
    /// When the policy decided on it.
    pub sent_at: Micros,
    /// The connection over which it is sent; `None` while it waits for one.
    pub connection: Option<ConnectionId>,
    /// When it began to wait for a connection, the last time it did.
    pub waiting_since: Micros,
}

/// The requests in flight and their attempts.
pub struct InFlight {
    requests: HashMap<RequestId, InFlightRequest>,
    attempts: HashMap<AttemptId, Attempt>,
    next_request: RequestId,
    clock: Clock,
    trace: Trace,
}

impl InFlight {
    /// Creates a table without requests.
    pub fn new(clock: Clock, trace: Trace) -> Self {
        InFlight {
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next_request: 1,
            clock,
            trace,
        }
    }

    /// Returns a request.
    pub fn request(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    /// Returns an attempt.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    /// Returns an attempt for modification, with its request.
    pub fn attempt_with_request(
        &mut self,
        id: AttemptId,
    ) -> Option<(&mut Attempt, &InFlightRequest)> {
        let attempt = self.attempts.get_mut(&id)?;
        let request = self.requests.get(&id.request)?;
        Some((attempt, request))
    }

    /// Returns an attempt for modification.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(&id)
    }

    /// Returns the number of requests, including those that only wait for the outcome of an attempt.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of attempts without an outcome.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no request waits for a reply.
    pub fn all_complete(&self) -> bool {
        self.requests.values().all(|request| request.is_complete)
    }

    /// Returns the requests that wait for a reply, in order of arrival.
    pub fn incomplete_requests(&self) -> Vec<RequestId> {
        let mut incomplete: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_complete)
            .map(|(id, _)| *id)
            .collect();
        incomplete.sort_unstable();
        incomplete
    }

    /// Returns the requests of a client that wait for a reply.
    pub fn incomplete_requests_of(&self, client: ClientId) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| request.client == client && !request.is_complete)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Adds a request with its deadline. Returns the request in the form that the policy takes.
    pub fn add(&mut self, received: ClientRequest, deadline: Micros) -> Request {
        let ClientRequest {
            command,
            received_at,
            client,
            unread_input,
            sequence,
            replies,
        } = received;
        let id = self.next_request;
        self.next_request += 1;
        let request = Request {
            id,
            class: command.class,
            tenant: command.tenant,
            key: command.hashed_key(),
            write: command.is_write,
            is_retry: command.is_retry,
            remaining_deadline: deadline.saturating_sub(self.clock.now()),
            cost: command.cost,
            value_size: command.value_size,
        };
        self.trace.line(
            received_at,
            format_args!(
                "request {id} {:016x} {} {} {}",
                request.key,
                command.class,
                command.remaining_deadline,
                command.request_id.escape_ascii()
            ),
        );
        let in_flight = InFlightRequest {
            command,
            client,
            unread_input,
            sequence,
            replies,
            deadline,
            attempts_started: 0,
            attempts_running: 0,
            is_complete: false,
        };
        self.requests.insert(id, in_flight);
        request
    }

    /// Sends the final reply to the client, unless one was sent before.
    pub fn reply(&mut self, id: RequestId, reply: Reply) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| !request.is_complete)
        else {
            return;
        };
        let now = self.clock.now();
        let result = match &reply {
            Reply::Value(_) => "served",
            Reply::Encoded(line) if line.starts_with(BUSY_PREFIX) => "refused",
            Reply::Encoded(_) => "failed",
        };
        self.trace.line(
            now,
            format_args!("end {id} {result} {}", now as i64 - request.deadline as i64),
        );
        debug!(
            request = %request.command.request_id.escape_ascii(),
            attempts = request.attempts_started,
            result,
            "request ended"
        );
        // The channel has capacity for every reply that a connection may still get. Sending fails only if the
        // connection has ended.
        let _ = request.replies.try_send(ClientReply {
            sequence: request.sequence,
            reply,
        });
        self.complete(id);
    }

    /// Marks a request as complete. It is kept until all its running attempts have an outcome.
    pub fn complete(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_complete = true;
        request.command.value = None;
        if request.attempts_running == 0 {
            self.requests.remove(&id);
        }
    }

    /// Completes a request, without a reply, after its client has disconnected. Returns how many attempts were started.
    pub fn complete_without_client(&mut self, id: RequestId) -> u16 {
        self.trace
            .line(self.clock.now(), format_args!("end {id} gone 0"));
        let attempts = self
            .requests
            .get(&id)
            .map_or(0, |request| request.attempts_started);
        self.complete(id);
        attempts
    }

    /// Adds an attempt, which has no connection yet, to a request; `None` if the request is unknown.
    pub fn add_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerId,
        now: Micros,
    ) -> Option<AttemptId> {
        let request = self.requests.get_mut(&request_id)?;
        let id = AttemptId {
            request: request_id,
            number: request.attempts_started,
        };
        request.attempts_started += 1;
        request.attempts_running += 1;
        let attempt = Attempt {
            server,
            sent_at: now,
            connection: None,
            waiting_since: now,
        };
        self.attempts.insert(id, attempt);
        Some(id)
    }

    /// Records the outcome of an attempt and returns it for the policy. The first response with a value becomes the
    /// reply to the client.
    pub fn end_attempt(
        &mut self,
        id: AttemptId,
        response: ServerResponse,
    ) -> Option<AttemptOutcome> {
        let attempt = self.attempts.remove(&id)?;
        let request = self.requests.get_mut(&id.request)?;
        request.attempts_running -= 1;
        let ServerResponse {
            status,
            cache_lookup,
            load,
            value,
            reusable: _,
        } = response;
        let request_complete = request.is_complete || status == AttemptStatus::Served;
        let server = attempt.server;
        self.trace.line(
            self.clock.now(),
            format_args!(
                "outcome {} {} {server} {} {}",
                id.request,
                id.number,
                trace::status_word(status),
                trace::lookup_word(cache_lookup)
            ),
        );
        debug!(
            request = %request.command.request_id.escape_ascii(),
            attempt = id.number,
            server,
            ?status,
            "attempt ended"
        );
        if let Some(value) = value {
            self.reply(id.request, Reply::Value(value));
        }
        if request_complete {
            self.complete(id.request);
        }
        Some(AttemptOutcome {
            request: id.request,
            attempt: id.number,
            server,
            status,
            request_complete,
            cache_lookup,
            elapsed: self.clock.now() - attempt.sent_at,
            load,
        })
    }
}
