//! Updates of the endpoint list, the backoff of calls to discovery, and the capacities of servers.

use super::Policy;
use crate::interface::{Action, Endpoint, ListUpdate, Micros, ServerId, Settings};
use crate::log_event::LogEvent;
use crate::state::{KeyShare, Server, Timer};

/// So many routers meet each server often; each of more routers meets it less often.
const FEW_ROUTERS: f64 = 5.0;
/// The first backoff is this part of the time within which a change counts as notified.
const FIRST_BACKOFF_DIVISOR: Micros = 16;
/// The backoff is doubled so often: a change counts as notified after 6 s, whether the router knows it or not,
/// and the longest backoff must leave time for the call itself.
const BACKOFF_DOUBLINGS: u32 = 2;
/// The longest mean backoff, in microseconds: the failed call may have waited for 2 s of the 6 s.
const LONGEST_BACKOFF: Micros = 1_600_000;
/// The least capacity of a server, and of all together, as other figures are divided by it.
const LEAST_CAPACITY: f64 = 0.01;

/// How many times less often than one of few routers this one meets each server.
pub(super) fn visit_interval(settings: &Settings) -> f64 {
    (f64::from(settings.balancer_count) / FEW_ROUTERS).max(1.0)
}

impl Policy {
    pub(super) fn on_endpoint_list(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        match update {
            ListUpdate::Failed => return self.on_discovery_failed(),
            // No backoff: its timeout has been waited for, and began for each router at a time of its own.
            ListUpdate::WatchSilent => return self.actions.push(Action::Subscribe(true)),
            ListUpdate::Cached => {}
            ListUpdate::Full | ListUpdate::Delta => self.discovery_failures = 0,
        }
        if update != ListUpdate::Delta {
            self.fleet.mark_all_removed();
        }
        let mut restarted = Vec::new();
        for endpoint in endpoints {
            restarted.extend(self.update_server(endpoint));
        }
        // Removed and owing nothing: forgotten here, as a walk over the fleet at each review cost much CPU.
        self.fleet.forget_removed();
        self.sum_capacities();
        for id in restarted {
            self.begin_slow_start(id);
        }
    }

    /// Takes one line of the list; returns the server if it has just started: each restart has a later start.
    fn update_server(&mut self, endpoint: Endpoint) -> Option<ServerId> {
        let server = self.fleet.servers.entry(endpoint.id).or_default();
        server.is_origin = self.settings.origin_kind == Some(endpoint.kind);
        let known_start = server.endpoint.started;
        let has_restarted = endpoint.started > known_start;
        if has_restarted {
            server.consecutive_failures = 0;
            server.ejection = None;
            server.key_share = KeyShare::default();
        }
        server.idle_weight = if self.settings.weights_are_live {
            server.idle_weight.max(endpoint.weight)
        } else {
            endpoint.weight
        };
        server.endpoint = endpoint;
        // One presumed to have restarted stays so until the list knows.
        if server.endpoint.started != 0 {
            server.endpoint.started = server.endpoint.started.max(known_start);
        }
        has_restarted.then_some(server.endpoint.id)
    }

    /// Discovery has little capacity: it is called again later each time, and not by all at once.
    fn on_discovery_failed(&mut self) {
        // Each call that waits in vain costs discovery as well: many routers begin with a longer backoff.
        let has_many_routers = self.visit_interval > 1.0;
        let doublings = self.discovery_failures + u32::from(has_many_routers);
        let first = self.settings.notified_within / FIRST_BACKOFF_DIVISOR;
        let mean = (first << doublings.min(BACKOFF_DOUBLINGS)).min(LONGEST_BACKOFF);
        let backoff = (mean as f64 * (0.5 + self.random.unit())) as Micros;
        self.discovery_failures += 1;
        self.set_timer(backoff, Timer::Subscribe);
        self.log(LogEvent::DiscoveryRetry { backoff });
    }

    pub(super) fn weight(&self, server: &Server) -> f64 {
        if self.settings.weights_are_sizes {
            f64::from(server.endpoint.weight).max(LEAST_CAPACITY)
        } else {
            1.0
        }
    }

    /// What a server can do beside others when it is warm, as its weight and its kind tell.
    pub(super) fn capacity(&self, server: &Server) -> f64 {
        self.weight(server) * self.fleet.kind_share(server)
    }

    pub(super) fn sum_capacities(&mut self) {
        let (mut total, mut count) = (0.0, 0.0);
        for server in self.fleet.ready_cache_servers() {
            total += self.capacity(server);
            count += 1.0;
        }
        self.fleet.total_capacity = f64::max(total, LEAST_CAPACITY);
        self.fleet.mean_capacity = self.fleet.total_capacity / f64::max(count, 1.0);
        self.fleet
            .count_warm_servers(self.now, self.settings.warm_up_period);
    }
}
