//! What an update of the endpoint list means for connections and for attempts that wait for one.

use routing_policy::{AttemptStatus, Endpoint, EndpointState, Event, ListUpdate, Micros, ServerId};

use super::Dispatcher;
use crate::clock::{Moment, UnixTime};
use crate::event_loop::endpoints::EndpointChange;
use crate::message::EndpointListUpdate;
use crate::trace;

impl Dispatcher {
    /// Puts an update of the endpoint list into force.
    pub fn apply_endpoint_update(&mut self, update: &EndpointListUpdate, kind: ListUpdate) {
        let moment = Moment::now(self.clock);
        let now = moment.at;
        let applied = self.endpoints.apply(update, kind, moment);
        for change in applied.changes {
            self.adapt_connections(change, now);
        }
        for server in applied.removed {
            self.pool.close_idle(server);
        }
        self.trace_endpoint_list(update.version, kind, &applied.endpoints, now);
        self.push_policy_event(Event::EndpointList {
            update: kind,
            endpoints: applied.endpoints,
        });
        for server in applied.not_ready {
            self.end_waiting_attempts(server);
        }
    }

    /// The endpoint list in force has not changed up to now.
    pub fn confirm_endpoint_list(&mut self) {
        self.endpoints.confirm(self.clock.now());
    }

    fn adapt_connections(&mut self, change: EndpointChange, now: Micros) {
        let server = change.target.server;
        let is_ready = change.state == EndpointState::Ready;
        if !is_ready || change.has_moved {
            self.pool.close_idle(server);
        }
        if is_ready && change.has_moved {
            // The connections that are being opened to the old address are of no use to the attempts that wait.
            let waiting = self.pool.waiting_attempts(server).len();
            for _ in 0..waiting {
                let _ = self.pool.open(change.target, now);
            }
        }
    }

    fn trace_endpoint_list(
        &self,
        version: u64,
        kind: ListUpdate,
        endpoints: &[Endpoint],
        now: Micros,
    ) {
        self.trace.line(
            now,
            format_args!("list {} {version}", trace::update_word(kind)),
        );
        for endpoint in endpoints {
            let stamp = self.endpoints.start_stamp(endpoint.id);
            self.trace.line(
                now,
                format_args!(
                    "server {} {} {} {} {}",
                    endpoint.id,
                    trace::state_word(endpoint.state),
                    endpoint.kind,
                    endpoint.zone,
                    stamp.map_or(0, UnixTime::micros)
                ),
            );
        }
    }

    /// Attempts that wait for a connection to a server that accepts no new request need not wait for it.
    fn end_waiting_attempts(&mut self, server: ServerId) {
        for attempt in self.pool.waiting_attempts(server) {
            self.pool.cancel_wait(server, attempt);
            self.end_attempt(attempt, AttemptStatus::NotSent);
        }
    }
}
