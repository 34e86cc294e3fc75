//! Ejection of servers that fail several times in a row, and their return.

use super::Policy;
use crate::interface::{Action, Micros, ServerId};
use crate::log_event::LogEvent;
use crate::state::{Attempt, Ejection, Server};

/// Failures with no answer between them after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// How long a server is ejected first, as a multiple of the longest latency objective. The time is doubled at each
/// ejection that follows.
const SHORTEST_EJECTION: f64 = 1.0;
/// How long it is ejected at most, as a multiple of the longest latency objective.
const LONGEST_EJECTION: f64 = 8.0;
/// The same for a server that refuses connections: a late list names servers that were removed, and each trial of one
/// costs a request an attempt. What returns stays ejected for about as long as it was away.
const LONGEST_EJECTION_UNREACHABLE: f64 = 64.0;

impl Policy {
    /// Whether a server is to be avoided: its ejection is not over, or an attempt is there on trial.
    pub(super) fn is_ejected(&self, server: &Server) -> bool {
        let ejection = server.ejection;
        ejection.is_some_and(|ejection| self.now < ejection.until || server.in_flight > 0)
    }

    pub(super) fn on_server_failed(&mut self, id: ServerId) {
        let (now, visit_interval) = (self.now, self.visit_interval);
        let in_time = |objectives: f64| (self.objective as f64 * objectives) as Micros;
        let Some(server) = self.fleet.servers.get_mut(&id) else {
            return;
        };
        server.consecutive_failures += 1;
        let is_ejected_anew = match server.ejection {
            Some(ejection) => now >= ejection.until, // Its trial failed.
            // A refused connection leaves nothing to chance: no process is there, or it has no room.
            None => server.consecutive_failures >= FAILURES_TO_EJECT || server.unreachable,
        };
        if !is_ejected_anew {
            return;
        }
        let (shortest, longest) = if server.unreachable {
            let shortest = visit_interval * SHORTEST_EJECTION;
            (in_time(shortest), in_time(LONGEST_EJECTION_UNREACHABLE))
        } else {
            (in_time(SHORTEST_EJECTION), in_time(LONGEST_EJECTION))
        };
        let previous = server.ejection.map_or(0, |ejection| ejection.time);
        let time = (previous * 2).clamp(shortest, longest.max(shortest));
        let until = now + time;
        server.ejection = Some(Ejection { until, time });
        self.forget_overload(id);
        self.log(LogEvent::ServerEjected {
            server: id,
            ejected_for: time,
        });
    }

    /// Takes note of an answer, which readmits an ejected server.
    pub(super) fn on_server_answered(&mut self, attempt: &Attempt) {
        let id = attempt.server;
        let Some(server) = self.fleet.get_mut(id) else {
            return;
        };
        server.count_answer(self.now, attempt.objective);
        let is_restarted = server.unreachable && server.consecutive_failures >= FAILURES_TO_EJECT;
        server.forgive_failure();
        if server.ejection.take().is_none() {
            return;
        }
        server.unreachable = false;
        // It refused connections for long and answers again: a new process, and the list is late. Once may
        // have been for want of room.
        if is_restarted {
            server.endpoint.started = server.endpoint.started.max(self.now);
        }
        self.log(LogEvent::ServerReadmitted { server: id });
        if is_restarted {
            self.begin_slow_start(id);
        }
    }

    /// A connection came up later than attempts wait for one: the network is slow, but the server is there.
    pub(super) fn on_server_reached(&mut self, id: ServerId) {
        let Some(server) = self.fleet.get_mut(id) else {
            return;
        };
        if server.in_flight == 0 && self.closes_idle {
            self.actions.push(Action::CloseIdle(id));
        }
        if std::mem::take(&mut server.unreachable) {
            server.forgive_failure();
            server.ejection = None;
            self.log(LogEvent::ServerReached { server: id });
        }
    }
}
