//! Handles the events of server connections: they are established, respond, or are lost.

use routing_policy::{AttemptStatus, Event, LoadReport, Micros, ServerId};

use super::{Dispatcher, WriteKind};
use crate::connection_pool::ConnectionState;
use crate::message::{
    AttemptId, ConnectionId, LossCause, LostConnection, ServerConnectionEvent, ServerResponse,
};

impl Dispatcher {
    /// Handles an event of a connection. Events of a connection that was closed in the meantime are ignored.
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
            ServerConnectionEvent::Lost(lost) => match state {
                ConnectionState::Busy(attempt) => {
                    self.handle_lost_attempt(attempt, connection, lost)
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
        // The connect timeout has passed: attempts that waited for this connection were reported to the policy as
        // failed. The event tells it that the server is reachable after all.
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
        // The late response to an abandoned attempt only shows that the server is reachable.
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

    /// Handles the loss of a connection that carried an attempt.
    pub(super) fn handle_lost_attempt(
        &mut self,
        id: AttemptId,
        connection: ConnectionId,
        lost: LostConnection,
    ) {
        let was_reused = self.pool.request_count(connection) > 1;
        self.pool.close(connection);
        if lost.progress.may_have_run() {
            return self.end_attempt(id, status_of_written_attempt(lost.cause));
        }
        let Some(attempt) = self.in_flight.attempt_mut(id) else {
            return;
        };
        attempt.connection = None;
        let server = attempt.server;
        // The attempt may wait for another connection if the lost one was reused, since the server may have closed it
        // without notice, or if this machine caused the loss. It fails if the server closed a new connection, which had
        // carried nothing before. This bounds the number of connections for one attempt.
        let may_reconnect = was_reused || lost.cause == LossCause::ThisMachine;
        match self.endpoints.target(server).filter(|_| may_reconnect) {
            Some(target) => self.wait_for_connection(id, target),
            None => self.end_attempt(id, AttemptStatus::ConnectFailed),
        }
    }

    /// Handles the loss of a connection that carried no attempt: it was idle, abandoned, or not established yet.
    fn handle_lost_unused(
        &mut self,
        connection: ConnectionId,
        server: ServerId,
        state: ConnectionState,
        now: Micros,
    ) {
        let status = self.connect_failure_status(server);
        self.pool.close(connection);
        if !matches!(state, ConnectionState::Connecting(_)) {
            return;
        }
        // The connection was refused, or the server's machine is unreachable. The waiting attempts can now expect one
        // connection fewer.
        if let Some(attempt) = self.pool.excess_waiting_attempt(server, now) {
            self.pool.cancel_wait(server, attempt);
            self.end_attempt(attempt, status);
        }
    }

    /// Returns the status of an attempt that got no connection to a server. If this machine could not open one, that
    /// does not count as a failure of the server, which was never contacted.
    pub(super) fn connect_failure_status(&self, server: ServerId) -> AttemptStatus {
        if self.pool.is_connecting_delayed_locally(server) {
            AttemptStatus::NotSent
        } else {
            AttemptStatus::ConnectFailed
        }
    }
}

/// Returns the status of an attempt that was fully written, so that it may have run, and whose connection was lost
/// before its response.
fn status_of_written_attempt(cause: LossCause) -> AttemptStatus {
    match cause {
        LossCause::Server => AttemptStatus::Reset,
        // The attempt may have run here too, but its loss says nothing about the server.
        LossCause::ThisMachine => AttemptStatus::Cancelled,
    }
}
