//! Ejection of servers that fail repeatedly, and their readmission.

use super::Policy;
use crate::interface::{Action, Micros, ServerId};
use crate::log_event::LogEvent;
use crate::state::{Attempt, Ejection, Server};

/// Failure count at which a server is ejected. Each failure adds one to the count, each answer subtracts one.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection of a server, in longest latency objectives. Each further ejection lasts twice
/// as long as the one before.
const SHORTEST_EJECTION_OBJECTIVES: f64 = 1.0;
/// Longest duration of an ejection, in longest latency objectives.
const LONGEST_EJECTION_OBJECTIVES: f64 = 8.0;
/// Longest duration of an ejection of a server that refuses connections, in longest latency objectives. An
/// outdated endpoint list contains removed servers, and each trial of one costs a request an attempt. A server
/// that returns stays ejected for about as long as it was away.
const LONGEST_UNREACHABLE_EJECTION_OBJECTIVES: f64 = 64.0;

impl Policy {
    /// Whether a server is to be avoided: its ejection has not ended, or its trial attempt is in flight.
    pub(super) fn is_ejected(&self, server: &Server) -> bool {
        let ejection = server.ejection;
        ejection.is_some_and(|ejection| self.now < ejection.until || server.in_flight > 0)
    }

    pub(super) fn on_server_failed(&mut self, id: ServerId) {
        let (now, relative_visit_interval) = (self.now, self.relative_visit_interval);
        let to_micros = |objectives: f64| (self.objective as f64 * objectives) as Micros;
        let Some(server) = self.fleet.servers.get_mut(&id) else {
            return;
        };
        server.failure_count += 1;
        let starts_ejection = match server.ejection {
            Some(ejection) => now >= ejection.until, // The trial attempt failed.
            // One refused connection is enough: either there is no process, or it has no room for a connection.
            None => server.failure_count >= FAILURES_TO_EJECT || server.unreachable,
        };
        if !starts_ejection {
            return;
        }
        let (shortest, longest) = if server.unreachable {
            let shortest = relative_visit_interval * SHORTEST_EJECTION_OBJECTIVES;
            (
                to_micros(shortest),
                to_micros(LONGEST_UNREACHABLE_EJECTION_OBJECTIVES),
            )
        } else {
            (
                to_micros(SHORTEST_EJECTION_OBJECTIVES),
                to_micros(LONGEST_EJECTION_OBJECTIVES),
            )
        };
        let previous = server.ejection.map_or(0, |ejection| ejection.duration);
        let duration = (previous * 2).clamp(shortest, longest.max(shortest));
        let until = now + duration;
        server.ejection = Some(Ejection { until, duration });
        self.undo_key_share_cuts(id);
        self.log(LogEvent::ServerEjected {
            server: id,
            ejected_for: duration,
        });
    }

    /// Records an answer, which readmits an ejected server.
    pub(super) fn on_server_answered(&mut self, attempt: &Attempt) {
        let id = attempt.server;
        let Some(server) = self.fleet.get_mut(id) else {
            return;
        };
        server.count_answer(self.now, attempt.objective);
        let is_presumed_restarted = server.unreachable && server.failure_count >= FAILURES_TO_EJECT;
        server.decrement_failures();
        if server.ejection.take().is_none() {
            return;
        }
        server.unreachable = false;
        // A server that refused several connections and answers again is presumed to be a new process that the
        // endpoint list does not show yet. A single refusal may only mean that it had no room.
        if is_presumed_restarted {
            server.endpoint.started = server.endpoint.started.max(self.now);
        }
        self.log(LogEvent::ServerReadmitted { server: id });
        if is_presumed_restarted {
            self.begin_slow_start(id);
        }
    }

    /// A connection was established after the attempts that waited for it had given up: the network is slow,
    /// but the server is there.
    pub(super) fn on_server_reached(&mut self, id: ServerId) {
        let Some(server) = self.fleet.get_mut(id) else {
            return;
        };
        if server.in_flight == 0 && self.closes_idle_connections {
            self.actions.push(Action::CloseIdle(id));
        }
        if std::mem::take(&mut server.unreachable) {
            server.decrement_failures();
            server.ejection = None;
            self.log(LogEvent::ServerReached { server: id });
        }
    }
}
