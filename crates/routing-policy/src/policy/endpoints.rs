//! Updates of the endpoint list, backoff of calls to discovery, and capacities of servers.

use super::Policy;
use crate::interface::{Action, Endpoint, ListUpdate, Micros, ServerId, Settings};
use crate::log_event::LogEvent;
use crate::state::{KeyShare, Server, Timer};

/// Up to this many routers, each sends attempts to every server often. With more routers, each does so less
/// often.
const SMALL_DEPLOYMENT_ROUTERS: f64 = 5.0;
/// The first backoff is the time within which a change counts as notified, divided by this.
const FIRST_BACKOFF_DIVISOR: Micros = 16;
/// How many times the backoff is doubled at most. A router counts as notified of a change after 6 s, whether it
/// knows of it or not, and the longest backoff must leave time for the call itself.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// The longest mean backoff, in microseconds: the failed call may have taken 2 s of the 6 s.
const LONGEST_MEAN_BACKOFF_US: Micros = 1_600_000;
/// The lowest capacity of a server, and of all servers together, since other values are divided by it.
const MIN_CAPACITY: f64 = 0.01;

/// The interval between two visits of this router to a server, as a multiple of that in a small deployment.
pub(super) fn relative_visit_interval(settings: &Settings) -> f64 {
    (f64::from(settings.router_count) / SMALL_DEPLOYMENT_ROUTERS).max(1.0)
}

impl Policy {
    pub(super) fn on_endpoint_list(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        match update {
            ListUpdate::Failed => return self.on_discovery_failed(),
            // No backoff: the router has already waited for the timeout of the watch, which began at a
            // different time at each router.
            ListUpdate::WatchStalled => return self.actions.push(Action::Subscribe(true)),
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
        // Removed servers without attempts in flight are deleted here: a scan of the fleet at each review
        // took too much CPU time.
        self.fleet.apply_list_changes();
        self.sum_capacities();
        for id in restarted {
            self.begin_slow_start(id);
        }
    }

    /// Applies one line of the list. Returns the server if it has just started: each restart has a later start
    /// time.
    fn update_server(&mut self, endpoint: Endpoint) -> Option<ServerId> {
        let server = self.fleet.servers.entry(endpoint.id).or_default();
        server.is_origin = self.settings.origin_kind == Some(endpoint.kind);
        let known_start = server.endpoint.started;
        let has_restarted = endpoint.started > known_start;
        if has_restarted {
            server.failure_count = 0;
            server.ejection = None;
            server.key_share = KeyShare::default();
        }
        server.idle_weight = if self.settings.weights_are_live {
            server.idle_weight.max(endpoint.weight)
        } else {
            endpoint.weight
        };
        server.endpoint = endpoint;
        // A server that is presumed to have restarted stays so until the list shows its restart.
        if server.endpoint.started != 0 {
            server.endpoint.started = server.endpoint.started.max(known_start);
        }
        has_restarted.then_some(server.endpoint.id)
    }

    /// Discovery has little capacity, so the backoff grows with each failure, and routers do not call it all at
    /// once.
    fn on_discovery_failed(&mut self) {
        // A call that times out costs discovery work as well, so many routers begin with a longer backoff.
        let has_many_routers = self.relative_visit_interval > 1.0;
        let doublings = self.discovery_failures + u32::from(has_many_routers);
        let first = self.settings.notification_period / FIRST_BACKOFF_DIVISOR;
        let mean = (first << doublings.min(MAX_BACKOFF_DOUBLINGS)).min(LONGEST_MEAN_BACKOFF_US);
        let backoff = (mean as f64 * (0.5 + self.random.unit())) as Micros;
        self.discovery_failures += 1;
        self.set_timer(backoff, Timer::Subscribe);
        self.log(LogEvent::DiscoveryRetry { backoff });
    }

    pub(super) fn weight(&self, server: &Server) -> f64 {
        if self.settings.weights_are_sizes {
            f64::from(server.endpoint.weight).max(MIN_CAPACITY)
        } else {
            1.0
        }
    }

    /// Capacity of a warm server relative to others, from its weight and the key share of its kind.
    pub(super) fn capacity(&self, server: &Server) -> f64 {
        self.weight(server) * self.fleet.kind_key_share(server)
    }

    pub(super) fn sum_capacities(&mut self) {
        let (mut total, mut count) = (0.0, 0.0);
        for server in self.fleet.ready_cache_servers() {
            total += self.capacity(server);
            count += 1.0;
        }
        self.fleet.total_capacity = f64::max(total, MIN_CAPACITY);
        self.fleet.mean_capacity = self.fleet.total_capacity / f64::max(count, 1.0);
        self.fleet
            .count_warm_servers(self.now, self.settings.warm_up_period);
    }
}
