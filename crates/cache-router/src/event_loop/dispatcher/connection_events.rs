//! What happens on the connections to servers: they are established, respond, and are lost.

use routing_policy::{AttemptStatus, Event, LoadReport, Micros, ServerId};

use super::{Dispatcher, WriteKind};
use crate::connection_pool::ConnectionState;
use crate::message::{
    AttemptId, ConnectionId, LossCause, LostConnection, ServerConnectionEvent, ServerResponse,
};

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

    /// A connection was lost that carried an attempt.
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
        // A reused connection had ended unseen, and the same attempt may have another, as where this machine is to
        // blame. Only so often: a new connection that its server has ended has carried nothing.
        let may_have_another = was_reused || lost.cause == LossCause::ThisMachine;
        match self.endpoints.target(server).filter(|_| may_have_another) {
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
        let status = self.unconnected_status(server);
        self.pool.close(connection);
        if !matches!(state, ConnectionState::Connecting(_)) {
            return;
        }
        // Refused, or the machine has vanished: one connection less can come up for the attempts that wait.
        if let Some(attempt) = self.pool.excess_waiting_attempt(server, now) {
            self.pool.cancel_wait(server, attempt);
            self.end_attempt(attempt, status);
        }
    }

    /// How an attempt ends that has waited for a connection to a server in vain. Where this machine could not open one,
    /// the server is not to blame: it was never asked.
    pub(super) fn unconnected_status(&self, server: ServerId) -> AttemptStatus {
        if self.pool.is_connecting_delayed_locally(server) {
            AttemptStatus::NotSent
        } else {
            AttemptStatus::ConnectFailed
        }
    }
}

/// How an attempt ends that may have run, and whose connection was lost before its response.
fn status_of_written_attempt(cause: LossCause) -> AttemptStatus {
    match cause {
        LossCause::Server => AttemptStatus::Reset,
        // May have run as well, but tells nothing of the server.
        LossCause::ThisMachine => AttemptStatus::Cancelled,
    }
}
