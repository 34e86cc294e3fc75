//! What happens on the connections to servers: they are established, respond, and are lost.

use routing_policy::{AttemptStatus, Event, LoadReport, Micros, ServerId};

use super::{Dispatcher, WriteKind};
use crate::connection_pool::ConnectionState;
use crate::message::{AttemptId, ConnectionId, ServerConnectionEvent, ServerResponse};

impl Dispatcher {
    /// Handles an event of a connection; one that was closed meanwhile is of no interest.
    pub fn handle_connection_event(
        &mut self,
        connection: ConnectionId,
        event: ServerConnectionEvent,
    ) {
        let now = self.clock.now();
        let Some((server, state)) = self.pool.state(connection) else {
            return;
        };
        match event {
            ServerConnectionEvent::Established => {
                self.handle_established(connection, server, state, now);
            }
            ServerConnectionEvent::Response(response) => {
                self.endpoints.record_response(server, now);
                self.handle_response(connection, state, response);
            }
            ServerConnectionEvent::NotWritten => self.handle_not_written(connection, state),
            ServerConnectionEvent::ConfirmWrite => self.confirm_write(connection, state),
            ServerConnectionEvent::Lost { written } => match state {
                ConnectionState::Busy(attempt) => {
                    self.handle_lost_attempt(attempt, connection, written)
                }
                _ => self.handle_lost_unused(connection, server, state, now),
            },
        }
    }

    fn handle_established(
        &mut self,
        connection: ConnectionId,
        server: ServerId,
        state: ConnectionState,
        now: Micros,
    ) {
        let ConnectionState::Connecting(since) = state else {
            return;
        };
        self.release(connection);
        // The policy has been notified that the attempts which waited for it in vain had no connection.
        if self.pool.is_overdue(since, now) {
            self.push_policy_event(Event::HealthChecked {
                server,
                healthy: true,
                elapsed: now - since,
                load: LoadReport::default(),
            });
        }
    }

    fn handle_response(
        &mut self,
        connection: ConnectionId,
        state: ConnectionState,
        response: ServerResponse,
    ) {
        if response.reusable {
            self.release(connection);
        } else {
            self.pool.close(connection);
        }
        // The late response to an abandoned attempt only shows that the server is there.
        if let ConnectionState::Busy(attempt) = state {
            self.end_attempt_with(attempt, response);
        }
    }

    fn handle_not_written(&mut self, connection: ConnectionId, state: ConnectionState) {
        match state {
            ConnectionState::Busy(attempt) => {
                self.end_attempt(attempt, AttemptStatus::NotSent);
                self.release(connection);
            }
            ConnectionState::Abandoned(_) => self.release(connection),
            ConnectionState::Connecting(_) | ConnectionState::Idle(_) => {}
        }
    }

    fn confirm_write(&mut self, connection: ConnectionId, state: ConnectionState) {
        match state {
            ConnectionState::Busy(attempt) => {
                if !self.write(attempt, connection, WriteKind::Confirmed) {
                    self.end_attempt(attempt, AttemptStatus::NotSent);
                    self.release(connection);
                }
            }
            ConnectionState::Abandoned(_) => self.release(connection),
            ConnectionState::Connecting(_) | ConnectionState::Idle(_) => {}
        }
    }

    /// A connection was lost that carried an attempt, of which the last byte may have been written.
    pub(super) fn handle_lost_attempt(
        &mut self,
        id: AttemptId,
        connection: ConnectionId,
        written: bool,
    ) {
        let was_reused = self.pool.request_count(connection) > 1;
        self.pool.close(connection);
        if written {
            return self.end_attempt(id, AttemptStatus::Reset);
        }
        let Some(attempt) = self.in_flight.attempt_mut(id) else {
            return;
        };
        attempt.connection = None;
        let server = attempt.server;
        // A reused connection had ended unseen: the last byte was not written, so nothing was sent, and the same attempt
        // may have another. Only so often: a new one has carried nothing.
        match self.endpoints.target(server).filter(|_| was_reused) {
            Some(target) => self.wait_for_connection(id, target),
            None => self.end_attempt(id, AttemptStatus::ConnectFailed),
        }
    }

    /// A connection was lost that carried no attempt: idle, abandoned, or not established yet.
    fn handle_lost_unused(
        &mut self,
        connection: ConnectionId,
        server: ServerId,
        state: ConnectionState,
        now: Micros,
    ) {
        self.pool.close(connection);
        if !matches!(state, ConnectionState::Connecting(_)) {
            return;
        }
        // Refused, or the machine has vanished: one connection less can come up for the attempts that wait.
        if let Some(attempt) = self.pool.excess_waiting_attempt(server, now) {
            self.pool.cancel_wait(server, attempt);
            self.end_attempt(attempt, AttemptStatus::ConnectFailed);
        }
    }
}
