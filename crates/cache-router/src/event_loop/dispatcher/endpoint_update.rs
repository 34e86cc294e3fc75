//! Applies endpoint list updates to connections and to the attempts that wait for one.

use routing_policy::{AttemptStatus, Endpoint, EndpointState, Event, ListUpdate, Micros, ServerId};

use super::Dispatcher;
use crate::clock::{Moment, UnixTime};
use crate::event_loop::endpoints::EndpointChange;
use crate::message::EndpointListUpdate;
use crate::trace;

impl Dispatcher {
    /// Applies an update of the endpoint list.
    pub fn apply_endpoint_update(&mut self, update: &EndpointListUpdate, kind: ListUpdate) {
        let moment = Moment::now(self.clock);
        let now = moment.at;
        let applied = self.endpoints.apply(update, kind, moment);
        for change in applied.changes {
            self.update_connections(change, now);
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

    /// Records that discovery has confirmed the current endpoint list as unchanged.
    pub fn confirm_endpoint_list(&mut self) {
        self.endpoints.confirm(self.clock.now());
    }

    fn update_connections(&mut self, change: EndpointChange, now: Micros) {
        let server = change.target.server;
        let is_ready = change.state == EndpointState::Ready;
        if !is_ready || change.address_changed {
            self.pool.close_idle(server);
        }
        if is_ready && change.address_changed {
            // Connections that are being opened to the old address are useless to the waiting attempts.
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

    /// Ends the attempts that wait for a connection to a server that accepts no new requests.
    fn end_waiting_attempts(&mut self, server: ServerId) {
        for attempt in self.pool.waiting_attempts(server) {
            self.pool.cancel_wait(server, attempt);
            self.end_attempt(attempt, AttemptStatus::NotSent);
        }
    }
}
