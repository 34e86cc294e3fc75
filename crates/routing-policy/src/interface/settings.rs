//! The settings of a router.

use crate::identifiers::Micros;

/// The settings of a router, read at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of routers in front of the fleet.
    pub router_count: u32,
    /// Index of this router among them, from 0.
    pub router_index: u32,
    /// The zone of this router.
    pub zone: u8,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants; empty where a deployment has none.
    pub tenants: Vec<Tenant>,
    /// Whether the router must request the endpoint list (a watch or the complete list); otherwise it arrives
    /// unrequested.
    pub poll_discovery: bool,
    /// A router without a watch counts as notified of a change this long after it happened.
    pub notification_period: Micros,
    /// Machine kind of the origin in the endpoint list; `None` where cache servers fetch for themselves.
    pub origin_kind: Option<u16>,
    /// Whether weights in the endpoint list are the sizes of servers.
    pub weights_are_sizes: bool,
    /// Whether weights in the endpoint list are size / (1 + requests in flight per core).
    pub weights_are_live: bool,
    /// The fields of load reports, in their order.
    pub load_fields: Vec<LoadField>,
    /// Attempts that one request may make, including the first.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub may_hedge: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether health checks are allowed.
    pub may_check_health: bool,
    /// Whether routers may send each other messages.
    pub may_message_peers: bool,
    /// Cost of the connections that one of a hundred routers keeps open to all servers.
    pub connection_cost: f64,
    /// Cost of opening a connection for each request, in the same unit.
    pub handshake_cost: f64,
    /// The longest Retry-After that clients honour; 0 where they honour none.
    pub max_retry_after: Micros,
    /// Shortest time between two calls of the policy. Timers fire at most this late.
    pub tick: Micros,
    /// A server that has just started has at least this fraction of its capacity.
    pub cold_capacity_share: f64,
    /// A server has its whole capacity this long after its start at the latest.
    pub warm_up_period: Micros,
    /// A server that is warming up collapses when its load exceeds this multiple of its present capacity.
    pub overload_multiple: f64,
    /// How long the load must exceed that multiple before the server collapses.
    pub overload_window: Micros,
    /// Sends to a draining or removed server must stop within this time.
    pub drain_grace: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            router_count: 1,
            router_index: 0,
            zone: 0,
            classes: vec![RequestClass::default()],
            tenants: Vec::new(),
            poll_discovery: false,
            notification_period: 10_000_000,
            origin_kind: None,
            weights_are_sizes: false,
            weights_are_live: false,
            load_fields: Vec::new(),
            max_attempts: 3,
            may_hedge: true,
            may_cancel: false,
            may_check_health: false,
            may_message_peers: false,
            connection_cost: 0.0,
            handshake_cost: 0.0,
            max_retry_after: 0,
            tick: 1_000,
            cold_capacity_share: 0.25,
            warm_up_period: 10_000_000,
            overload_multiple: 3.0,
            overload_window: 2_000_000,
            drain_grace: 500_000,
        }
    }
}

/// The latency objective where there is no class.
const DEFAULT_OBJECTIVE: Micros = 1_000_000;

impl Settings {
    /// The number of routers, at least one.
    pub(crate) fn router_count(&self) -> f64 {
        f64::from(self.router_count.max(1))
    }

    /// The longest latency objective of all classes, at least a microsecond.
    pub(crate) fn longest_objective(&self) -> Micros {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.max().unwrap_or(DEFAULT_OBJECTIVE).max(1)
    }

    /// The shortest latency objective of all classes.
    pub(crate) fn shortest_objective(&self) -> Micros {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(DEFAULT_OBJECTIVE)
    }
}

/// A class of requests with one latency objective.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// An answer within this time has the full priority weight.
    pub latency_objective: Micros,
    /// A client waits this long, including its retries.
    pub deadline: Micros,
    /// The value of an answer in time.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the objective still has.
    pub late_weight_fraction: f64,
    /// Whether a retry of such a request repeats its effect.
    pub idempotency: Idempotency,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: 250_000,
            deadline: 1_000_000,
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
            idempotency: Idempotency::Idempotent,
        }
    }
}

/// Effect of a retry of a request that may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// None: it may be sent any number of times.
    Idempotent,
    /// It carries an idempotency key: servers in scope drop retries within a window after the first attempt.
    Deduplicated {
        /// Which servers drop a retry.
        scope: DeduplicationScope,
        /// Length of the window. It starts when the earliest attempt that may have run was sent.
        window: Micros,
    },
    /// The effect is repeated.
    NotIdempotent,
}

/// The cache servers that share their records of seen idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All cache servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests per second over all routers together.
    pub quota_per_s: f64,
}

/// A field of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in progress.
    InFlight,
    /// Requests in the queue.
    Queued,
    /// Fraction of the CPU in use.
    Busy,
    /// Recent service time in milliseconds.
    ServiceMs,
    /// Requests served per second.
    Rate,
    /// Errors per second.
    ErrorRate,
    /// A field that this version does not know.
    Other,
}
