//! Carries out what the policy decides about attempts: sends them over pooled connections, gives them up, and reports
//! their outcome. It owns the requests in flight, the connections, the endpoint list and the timers. What the policy has
//! to know is queued as its events; the policy itself is run by its driver.

mod connection_events;
mod endpoint_update;
mod give_up;

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use routing_policy::settings::Deployment;
use routing_policy::{AttemptStatus, CacheLookup, Event, LoadReport, Micros, RequestId, ServerId};

use super::endpoints::EndpointTable;
use super::in_flight::{BUSY_REPLY, FAILED_REPLY, InFlight};
use super::timers::{Timer, TimerQueue};
use crate::clock::Clock;
use crate::connection_pool::{ConnectionPool, WriteProgress};
use crate::message::{
    AttemptId, ClientRequest, ConnectionId, LossCause, LostConnection, ServerProtocol,
    ServerResponse, ServerTarget,
};
use crate::trace::Trace;
use crate::{cache_protocol, origin_protocol};

/// The shortest time that an attempt waits for a connection.
const MIN_CONNECT_TIMEOUT: Micros = 1_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The requests in flight, and the connections over which their attempts are sent.
pub struct Dispatcher {
    in_flight: InFlight,
    endpoints: EndpointTable,
    pool: ConnectionPool,
    timers: TimerQueue,
    policy_events: VecDeque<Event>,
    clock: Clock,
    trace: Trace,
    deployment: Arc<Deployment>,
}

/// Whether a write is the first of an attempt on its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteKind {
    First,
    /// The connection has asked for the write to be confirmed, which it does once only.
    Confirmed,
}

impl Dispatcher {
    /// Without requests, servers or timers.
    pub fn new(
        deployment: Arc<Deployment>,
        pool: ConnectionPool,
        clock: Clock,
        trace: Trace,
    ) -> Self {
        Dispatcher {
            in_flight: InFlight::new(clock, trace),
            endpoints: EndpointTable::new(deployment.clone()),
            pool,
            timers: TimerQueue::default(),
            policy_events: VecDeque::new(),
            clock,
            trace,
            deployment,
        }
    }

    /// The requests in flight.
    pub fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// The requests in flight, to be changed; for tests.
    #[doc(hidden)]
    pub fn in_flight_mut(&mut self) -> &mut InFlight {
        &mut self.in_flight
    }

    /// The endpoint list in force.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// The connections to servers.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// The connections to servers, to be changed.
    pub fn pool_mut(&mut self) -> &mut ConnectionPool {
        &mut self.pool
    }

    /// The timers.
    pub fn timers_mut(&mut self) -> &mut TimerQueue {
        &mut self.timers
    }

    /// Queues an event for the policy.
    pub fn push_policy_event(&mut self, event: Event) {
        self.policy_events.push_back(event);
    }

    /// Takes the next event for the policy.
    pub fn pop_policy_event(&mut self) -> Option<Event> {
        self.policy_events.pop_front()
    }

    /// Adds a request of a client, with the time by which it has to have its reply.
    pub fn add_request(&mut self, received: ClientRequest, deadline: Micros) {
        let request = self.in_flight.add(received, deadline);
        self.timers
            .schedule(deadline, Timer::RequestDeadline(request.id));
        self.push_policy_event(Event::Request(request));
    }

    /// Rejects a request; `retry_after` of 0 gives the client no hint.
    pub fn reject(&mut self, request: RequestId, retry_after: Micros) {
        let reply = match retry_after {
            0 => Bytes::from_static(BUSY_REPLY),
            after => format!("-BUSY {}\r\n", after.div_ceil(MICROS_PER_MILLISECOND)).into(),
        };
        self.in_flight.reply(request, reply);
    }

    /// Replies that a request has failed, with no promise about what the servers did.
    pub fn fail(&mut self, request: RequestId) {
        self.in_flight
            .reply(request, Bytes::from_static(FAILED_REPLY));
    }

    /// Starts an attempt; it is given up after a time, or at the request's deadline if the time is 0.
    pub fn send(&mut self, request: RequestId, server: ServerId, give_up_after: Micros) {
        let now = self.clock.now();
        let Some(attempt) = self.in_flight.add_attempt(request, server, now) else {
            return;
        };
        let deadline = self.attempt_deadline(attempt, give_up_after, now);
        let (Some(deadline), Some(target)) = (deadline, self.endpoints.target(server)) else {
            return self.end_attempt(attempt, AttemptStatus::NotSent);
        };
        let connection = self.pool.take_idle(server, attempt, now);
        if let Some(attempt) = self.in_flight.attempt_mut(attempt) {
            attempt.connection = connection;
        }
        self.timers
            .schedule(deadline, Timer::AttemptTimeout(attempt));
        match connection {
            Some(connection) => self.write_or_release(attempt, connection),
            None => self.wait_for_connection(attempt, target),
        }
    }

    /// When an attempt is given up; `None` if it may not be sent.
    fn attempt_deadline(
        &self,
        attempt: AttemptId,
        give_up_after: Micros,
        now: Micros,
    ) -> Option<Micros> {
        let request = self.in_flight.request(attempt.request)?;
        let has_attempts_left = u32::from(attempt.number) < self.deployment.settings.max_attempts;
        if request.is_complete() || !has_attempts_left || now >= request.deadline() {
            return None;
        }
        if give_up_after == 0 {
            return Some(request.deadline());
        }
        Some(request.deadline().min(now + give_up_after))
    }

    /// Has an attempt wait for the first connection that is established or becomes free.
    fn wait_for_connection(&mut self, attempt: AttemptId, target: ServerTarget) {
        let now = self.clock.now();
        let timeout = self.deployment.connect_timeout.max(MIN_CONNECT_TIMEOUT);
        if !self.pool.enqueue(target, attempt, now) {
            // Forced by the limit on sockets: there is no connection to send this on.
            return self.end_attempt(attempt, AttemptStatus::NotSent);
        }
        if let Some(attempt) = self.in_flight.attempt_mut(attempt) {
            attempt.waiting_since = now;
        }
        self.push_connection_event(attempt, false);
        // Half the time is far more than a connect takes: one that is not established by then is one of those that come
        // late or never, and another has the same chance again.
        let extra_connection = Timer::ExtraConnection {
            attempt,
            waiting_since: now,
        };
        self.timers.schedule(now + timeout / 2, extra_connection);
        let connect_timeout = Timer::ConnectTimeout {
            attempt,
            waiting_since: now,
        };
        self.timers.schedule(now + timeout, connect_timeout);
    }

    /// Writes an attempt to an established connection; one that may not be sent any more leaves it to the next.
    fn write_or_release(&mut self, attempt: AttemptId, connection: ConnectionId) {
        if !self.write(attempt, connection, WriteKind::First) {
            self.end_attempt(attempt, AttemptStatus::NotSent);
            self.release(connection);
        }
    }

    /// Gives a connection that owes nothing any more to the attempts that wait for one, or leaves it idle.
    fn release(&mut self, connection: ConnectionId) {
        let Some((server, _)) = self.pool.state(connection) else {
            return;
        };
        // Nothing new goes to a server that drains.
        let address = self
            .endpoints
            .ready_target(server)
            .map(|target| target.address);
        while let Some(attempt) = self
            .pool
            .assign_to_waiting(connection, address, self.clock.now())
        {
            if self.write(attempt, connection, WriteKind::First) {
                return;
            }
            self.end_attempt(attempt, AttemptStatus::NotSent);
        }
    }

    /// Hands an attempt to its connection to be written; `false` if it may not be sent any more.
    fn write(&mut self, id: AttemptId, connection: ConnectionId, kind: WriteKind) -> bool {
        let now = self.clock.now();
        let Some((attempt, request)) = self.in_flight.attempt_with_request(id) else {
            return false;
        };
        let server = attempt.server;
        // Against a send after a drain or a disconnect: between the policy's decision and the first byte the attempt
        // waited for its connection, and meanwhile its server may drain or its client may have disconnected.
        let target = self.endpoints.ready_target(server);
        let Some(target) = target.filter(|_| request.may_send(now)) else {
            return false;
        };
        let is_first_connection = attempt.connection.replace(connection).is_none();
        let deadline = request.deadline();
        // Rounded down: no attempt states more time than is left.
        let remaining_ms = ((deadline - now) / MICROS_PER_MILLISECOND).max(1);
        let bytes = match target.protocol {
            ServerProtocol::Resp => cache_protocol::encode(request.command(), remaining_ms),
            ServerProtocol::Http => origin_protocol::encode(
                request.command(),
                &target.address.to_string(),
                remaining_ms,
            ),
        };
        let is_confirmed = kind == WriteKind::Confirmed;
        if !self
            .pool
            .start_write(connection, bytes, deadline, is_confirmed)
        {
            let lost = LostConnection {
                progress: WriteProgress::NotStarted,
                cause: LossCause::Server,
            };
            self.handle_lost_attempt(id, connection, lost);
            return true;
        }
        self.trace.line(
            now,
            format_args!("deadline {} {} {remaining_ms}", id.request, id.number),
        );
        if !is_confirmed {
            self.trace.line(
                now,
                format_args!("send {} {} {server}", id.request, id.number),
            );
        }
        if is_first_connection {
            self.push_connection_event(id, true);
        }
        true
    }

    /// Reports to the policy that an attempt waits for a connection, or has one.
    fn push_connection_event(&mut self, attempt: AttemptId, established: bool) {
        self.push_policy_event(Event::Connection {
            request: attempt.request,
            attempt: attempt.number,
            established,
        });
    }

    /// Ends an attempt without a response.
    fn end_attempt(&mut self, attempt: AttemptId, status: AttemptStatus) {
        let response = ServerResponse {
            status,
            cache_lookup: CacheLookup::Unknown,
            load: LoadReport::default(),
            value: None,
            reusable: false,
        };
        self.end_attempt_with(attempt, response);
    }

    /// Ends an attempt, and reports its outcome to the policy.
    fn end_attempt_with(&mut self, attempt: AttemptId, response: ServerResponse) {
        if let Some(outcome) = self.in_flight.end_attempt(attempt, response) {
            self.push_policy_event(Event::AttemptOutcome(outcome));
        }
    }
}
