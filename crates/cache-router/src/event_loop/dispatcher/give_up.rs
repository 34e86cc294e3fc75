//! Gives up attempts: on the policy's decision, at a timeout, or because the client has disconnected.

use routing_policy::{AttemptStatus, Event, Micros, RequestId, ServerId};

use super::Dispatcher;
use crate::event_loop::in_flight::Attempt;
use crate::event_loop::timers::Timer;
use crate::message::{AttemptId, ConnectionId};
use crate::write_progress::WriteProgress;

impl Dispatcher {
    /// Stops waiting for an attempt. Its connection is closed, unless the latency objective of the request's class has
    /// not passed yet since the attempt was sent. In that case the connection is kept for the late response: otherwise,
    /// a client with a short deadline would cost later requests and the server the handshake of a new connection.
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

    /// Ends an attempt whose last byte is not written, so that the server never gets it whole. Returns `false`, and
    /// leaves the attempt running, if it is fully written.
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
            // The attempt was never sent. The connection that is being opened may serve the next one.
            self.pool.cancel_wait(server, id);
            self.end_attempt(id, AttemptStatus::NotSent);
            return true;
        };
        match self.pool.withdraw(connection) {
            // The connection's task reports when it has seen the withdrawal. The connection is free then.
            WriteProgress::NotStarted | WriteProgress::Withdrawn => {
                let _ = self.pool.abandon(connection, sent_at);
            }
            // The server has a part of the request and must not get the rest.
            WriteProgress::Writing => self.pool.close(connection),
            WriteProgress::Written => return false,
        }
        self.end_attempt(id, AttemptStatus::NotSent);
        true
    }

    /// Completes a request whose client has disconnected, and withdraws its attempts.
    pub fn cancel_request(&mut self, request: RequestId) {
        let attempts = self.in_flight.complete_without_client(request);
        // Queued before the attempts end, so that the policy starts no others.
        self.push_policy_event(Event::ClientGone(request));
        for number in 0..attempts {
            self.withdraw(AttemptId { request, number });
        }
    }

    /// Fails a request that has reached its deadline without a reply. The policy normally ends a request before that.
    /// This makes sure that the client gets a reply even if the policy does not.
    pub fn fail_at_deadline(&mut self, request: RequestId) {
        let awaits_reply = self
            .in_flight
            .request(request)
            .is_some_and(|request| !request.is_complete());
        if !awaits_reply {
            return;
        }
        self.fail(request);
        self.push_policy_event(Event::ClientGone(request));
    }

    /// Fails all requests that wait for a reply, because the router exits before some of their deadlines.
    pub fn fail_all_incomplete(&mut self) {
        for request in self.in_flight.incomplete_requests() {
            self.fail_at_deadline(request);
        }
    }

    /// Opens another connection for an attempt, if it has been waiting since `waiting_since` without interruption.
    pub fn open_extra_connection(
        &mut self,
        attempt: AttemptId,
        waiting_since: Micros,
        now: Micros,
    ) {
        let server = self.server_of_waiting_attempt(attempt, waiting_since);
        if let Some(target) = server.and_then(|server| self.endpoints.target(server)) {
            self.pool.open(target, now);
        }
    }

    /// Fails an attempt, if it has been waiting for a connection since `waiting_since` without interruption.
    pub fn fail_unconnected(&mut self, attempt: AttemptId, waiting_since: Micros) {
        if let Some(server) = self.server_of_waiting_attempt(attempt, waiting_since) {
            let status = self.connect_failure_status(server);
            self.pool.cancel_wait(server, attempt);
            self.end_attempt(attempt, status);
        }
    }

    /// Returns the server of an attempt that has been waiting for a connection since `waiting_since` without
    /// interruption.
    fn server_of_waiting_attempt(
        &self,
        attempt: AttemptId,
        waiting_since: Micros,
    ) -> Option<ServerId> {
        let attempt = self.in_flight.attempt(attempt)?;
        let is_waiting = attempt.connection.is_none() && attempt.waiting_since == waiting_since;
        is_waiting.then_some(attempt.server)
    }

    /// Closes a connection if its abandoned attempt, sent at `sent_at`, still has no response.
    pub fn close_overdue(&mut self, connection: ConnectionId, sent_at: Micros) {
        // Another attempt that was abandoned on this connection since then has its own timer.
        if self.pool.is_abandoned_since(connection, sent_at)
            && let Some((server, _)) = self.pool.state(connection)
        {
            self.close_unresponsive(connection, server, sent_at);
        }
    }

    /// Closes a connection that has not responded to the attempt sent at `sent_at`.
    fn close_unresponsive(&mut self, connection: ConnectionId, server: ServerId, sent_at: Micros) {
        self.pool.close(connection);
        // Handles a server machine that has become unreachable. Its idle connections stay open and silent, and each
        // would cost a request its whole deadline. A new connection reveals the failure within the connect timeout.
        if self.endpoints.has_not_responded_since(server, sent_at) {
            self.pool.close_idle(server);
        }
    }
}
