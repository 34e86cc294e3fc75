//! Attempts that are given up: by the policy, at a timeout, or since their client has disconnected.

use routing_policy::{AttemptStatus, Event, Micros, RequestId, ServerId};

use super::Dispatcher;
use crate::connection_pool::{ConnectionState, WriteProgress};
use crate::event_loop::in_flight::Attempt;
use crate::event_loop::timers::Timer;
use crate::message::{AttemptId, ConnectionId};

impl Dispatcher {
    /// Stops waiting for an attempt. Its connection is closed, unless the response is hardly due yet: a client with a
    /// short deadline must cost neither the requests after it nor the server the handshake of a new connection.
    pub fn give_up(&mut self, id: AttemptId, status: AttemptStatus) {
        if self.withdraw(id) {
            return;
        }
        let Some(&Attempt {
            server,
            sent_at,
            connection: Some(connection),
            ..
        }) = self.in_flight.attempt(id)
        else {
            return;
        };
        let class = self
            .in_flight
            .request(id.request)
            .map_or(0, |request| request.command().class);
        let response_due_at = sent_at + self.deployment.settings.classes[class].latency_objective;
        if self.clock.now() < response_due_at && self.pool.abandon(connection, sent_at) {
            let timer = Timer::AbandonedResponse {
                connection,
                sent_at,
            };
            self.timers.schedule(response_due_at, timer);
        } else {
            self.close_unresponsive(connection, server, sent_at);
        }
        self.end_attempt(id, status);
    }

    /// Ends an attempt whose last byte is not written, so that it never will be; one that is written goes on.
    fn withdraw(&mut self, id: AttemptId) -> bool {
        let Some(&Attempt {
            server,
            sent_at,
            connection,
            ..
        }) = self.in_flight.attempt(id)
        else {
            return false;
        };
        let Some(connection) = connection else {
            // It was never sent, and the connection that is being opened may serve the next.
            self.pool.cancel_wait(server, id);
            self.end_attempt(id, AttemptStatus::NotSent);
            return true;
        };
        match self.pool.withdraw(connection) {
            // The connection reports when it has seen that, and is free then.
            WriteProgress::NotStarted | WriteProgress::Withdrawn => {
                let _ = self.pool.abandon(connection, sent_at);
            }
            // The server has part of it, and must not get the rest.
            WriteProgress::Writing => self.pool.close(connection),
            WriteProgress::Written => return false,
        }
        self.end_attempt(id, AttemptStatus::NotSent);
        true
    }

    /// Completes a request whose client has disconnected, and withdraws its attempts.
    pub fn cancel_request(&mut self, request: RequestId) {
        let attempts = self.in_flight.complete_without_client(request);
        // Before the attempts end, so that the policy starts no others.
        self.push_policy_event(Event::ClientGone(request));
        for number in 0..attempts {
            self.withdraw(AttemptId { request, number });
        }
    }

    /// Fails a request that has reached its deadline without a reply. The policy ends a request before this; should it
    /// not, the client still gets its reply.
    pub fn fail_at_deadline(&mut self, request: RequestId) {
        let is_owed_reply = self
            .in_flight
            .request(request)
            .is_some_and(|request| !request.is_complete());
        if !is_owed_reply {
            return;
        }
        self.fail(request);
        self.push_policy_event(Event::ClientGone(request));
    }

    /// Fails all requests that are owed a reply: the router ends before some of their deadlines.
    pub fn fail_all_incomplete(&mut self) {
        for request in self.in_flight.incomplete_requests() {
            self.fail_at_deadline(request);
        }
    }

    /// Opens another connection for an attempt, if it still waits for one since a time.
    pub fn open_extra_connection(
        &mut self,
        attempt: AttemptId,
        waiting_since: Micros,
        now: Micros,
    ) {
        let server = self.server_waited_for(attempt, waiting_since);
        if let Some(target) = server.and_then(|server| self.endpoints.target(server)) {
            self.pool.open(target, now);
        }
    }

    /// Fails an attempt, if it still waits for a connection since a time.
    pub fn fail_unconnected(&mut self, attempt: AttemptId, waiting_since: Micros) {
        if let Some(server) = self.server_waited_for(attempt, waiting_since) {
            let status = self.unconnected_status(server);
            self.pool.cancel_wait(server, attempt);
            self.end_attempt(attempt, status);
        }
    }

    /// The server of an attempt that still waits for a connection since a time.
    fn server_waited_for(&self, attempt: AttemptId, waiting_since: Micros) -> Option<ServerId> {
        let attempt = self.in_flight.attempt(attempt)?;
        let still_waits = attempt.connection.is_none() && attempt.waiting_since == waiting_since;
        still_waits.then_some(attempt.server)
    }

    /// Closes a connection whose abandoned attempt, sent at a time, still has no response.
    pub fn close_overdue(&mut self, connection: ConnectionId, sent_at: Micros) {
        // The time of another attempt that was abandoned on this connection since is not over.
        if let Some((server, ConnectionState::Abandoned(abandoned_sent_at))) =
            self.pool.state(connection)
            && abandoned_sent_at == sent_at
        {
            self.close_unresponsive(connection, server, sent_at);
        }
    }

    /// Closes a connection that has not responded to what was sent on it at a time.
    fn close_unresponsive(&mut self, connection: ConnectionId, server: ServerId, sent_at: Micros) {
        self.pool.close(connection);
        // Against a machine that vanished: its idle connections stay open and silent, and each would cost a request its
        // whole time. A new one shows it within the connect timeout.
        if self.endpoints.has_not_responded_since(server, sent_at) {
            self.pool.close_idle(server);
        }
    }
}
