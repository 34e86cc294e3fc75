//! Carries out the policy's decisions about attempts: sends them over pooled connections, gives them up, and reports
//! their outcome. It owns the requests in flight, the connections, the endpoint list and the timers. Events for the
//! policy are queued here; the policy driver runs the policy.

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
use crate::connection_pool::ConnectionPool;
use crate::message::{
    AttemptId, ClientRequest, ConnectionId, LossCause, LostConnection, Reply, ServerProtocol,
    ServerResponse, ServerTarget,
};
use crate::trace::Trace;
use crate::write_progress::WriteProgress;
use crate::{cache_protocol, origin_protocol};

/// The shortest time that an attempt waits for a connection, in microseconds.
const MIN_CONNECT_TIMEOUT: Micros = 1_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Sends the attempts of the requests in flight over connections to servers.
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

/// Whether a write is the first one of an attempt on its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteKind {
    First,
    /// The write was repeated because the connection asked for confirmation. It asks only once.
    Confirmed,
}

impl Dispatcher {
    /// Creates a dispatcher without requests, servers or timers.
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

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Returns the requests in flight for modification; only for tests.
    #[doc(hidden)]
    pub fn in_flight_mut(&mut self) -> &mut InFlight {
        &mut self.in_flight
    }

    /// Returns the servers of the current endpoint list.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Returns the connections to servers.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Returns the connections to servers for modification.
    pub fn pool_mut(&mut self) -> &mut ConnectionPool {
        &mut self.pool
    }

    /// Returns the timers for modification.
    pub fn timers_mut(&mut self) -> &mut TimerQueue {
        &mut self.timers
    }

    /// Queues an event for the policy.
    pub fn push_policy_event(&mut self, event: Event) {
        self.policy_events.push_back(event);
    }

    /// Removes and returns the next event for the policy.
    pub fn pop_policy_event(&mut self) -> Option<Event> {
        self.policy_events.pop_front()
    }

    /// Adds a client's request that must be replied to by `deadline`.
    pub fn add_request(&mut self, received: ClientRequest, deadline: Micros) {
        let request = self.in_flight.add(received, deadline);
        self.timers
            .schedule(deadline, Timer::RequestDeadline(request.id));
        self.remove_obsolete_timers();
        self.push_policy_event(Event::Request(request));
    }

    /// Removes the timers of requests and attempts that have ended, if they may be most of the timers.
    fn remove_obsolete_timers(&mut self) {
        let (in_flight, pool) = (&self.in_flight, &self.pool);
        self.timers.remove_obsolete(|timer| match *timer {
            Timer::AttemptTimeout(attempt)
            | Timer::ExtraConnection { attempt, .. }
            | Timer::ConnectTimeout { attempt, .. } => in_flight.attempt(attempt).is_some(),
            Timer::AbandonedResponse {
                connection,
                sent_at,
            } => pool.is_abandoned_since(connection, sent_at),
            Timer::RequestDeadline(request) => in_flight.request(request).is_some(),
            Timer::Policy(_) | Timer::SweepConnections | Timer::Shutdown(_) => true,
        });
    }

    /// Rejects a request. If `retry_after` is 0, the reply has no Retry-After time.
    pub fn reject(&mut self, request: RequestId, retry_after: Micros) {
        let reply = match retry_after {
            0 => Bytes::from_static(BUSY_REPLY),
            after => format!("-BUSY {}\r\n", after.div_ceil(MICROS_PER_MILLISECOND)).into(),
        };
        self.in_flight.reply(request, Reply::Encoded(reply));
    }

    /// Replies that a request has failed. The reply does not tell whether any server ran the request.
    pub fn fail(&mut self, request: RequestId) {
        let reply = Reply::Encoded(Bytes::from_static(FAILED_REPLY));
        self.in_flight.reply(request, reply);
    }

    /// Starts an attempt. It is given up after `give_up_after`, or at the request's deadline if that is 0.
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

    /// Returns when an attempt is given up; `None` if it may not be sent.
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

    /// Makes an attempt wait for the first connection that is established or becomes free.
    fn wait_for_connection(&mut self, attempt: AttemptId, target: ServerTarget) {
        let now = self.clock.now();
        let timeout = self.deployment.connect_timeout.max(MIN_CONNECT_TIMEOUT);
        if !self.pool.enqueue(target, attempt, now) {
            // The limit on sockets is reached: there is no connection for this attempt.
            return self.end_attempt(attempt, AttemptStatus::NotSent);
        }
        if let Some(attempt) = self.in_flight.attempt_mut(attempt) {
            attempt.waiting_since = now;
        }
        self.push_connection_event(attempt, false);
        // Half the timeout is far longer than a connect normally takes. A connection that is not established by then
        // will come late or never, and another one may succeed in the remaining half.
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

    /// Writes an attempt to an established connection. If the attempt may not be sent any more, the connection is
    /// released to the next waiting attempt.
    fn write_or_release(&mut self, attempt: AttemptId, connection: ConnectionId) {
        if !self.write(attempt, connection, WriteKind::First) {
            self.end_attempt(attempt, AttemptStatus::NotSent);
            self.release(connection);
        }
    }

    /// Assigns a free connection to the next attempt that waits for one, or leaves it idle.
    fn release(&mut self, connection: ConnectionId) {
        let Some((server, _)) = self.pool.state(connection) else {
            return;
        };
        // A draining server gets no new requests.
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

    /// Hands an attempt to its connection to be written; returns `false` if it may not be sent any more.
    fn write(&mut self, id: AttemptId, connection: ConnectionId, kind: WriteKind) -> bool {
        let now = self.clock.now();
        let Some((attempt, request)) = self.in_flight.attempt_with_request(id) else {
            return false;
        };
        let server = attempt.server;
        // Checks again whether the attempt may be sent. It may have waited for its connection since the policy's
        // decision, and in that time its server may have started draining or its client may have disconnected.
        let target = self.endpoints.ready_target(server);
        let Some(target) = target.filter(|_| request.may_send(now)) else {
            return false;
        };
        let is_first_connection = attempt.connection.replace(connection).is_none();
        let deadline = request.deadline();
        // Rounded down, so that no attempt states more time than is left.
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

    /// Reports to the policy whether an attempt has a connection or waits for one.
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

    /// Ends an attempt with a response, and reports its outcome to the policy.
    fn end_attempt_with(&mut self, attempt: AttemptId, response: ServerResponse) {
        if let Some(outcome) = self.in_flight.end_attempt(attempt, response) {
            self.push_policy_event(Event::AttemptOutcome(outcome));
        }
    }
}
