//! The interface of the policy: settings, events that it takes, actions that it answers with.
//!
//! Times are microseconds of the caller's clock, which may start anywhere and only advances.

pub use crate::identifiers::{Key, Micros, RequestId, ServerId};
use crate::log_event::LogEvent;

/// What a router is configured with at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of routers in front of the fleet.
    pub balancer_count: u32,
    /// Index of this router among them, from 0.
    pub balancer_index: u32,
    /// The zone of this router.
    pub zone: u8,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants; empty where a deployment has none.
    pub tenants: Vec<Tenant>,
    /// Whether the endpoint list must be requested (a watch or the whole list) or arrives unrequested.
    pub poll_discovery: bool,
    /// A router without a watch counts as notified of a change this long after it happened.
    pub notified_within: Micros,
    /// Machine kind of the origin in the endpoint list; `None` where cache servers fetch for themselves.
    pub origin_kind: Option<u16>,
    /// Whether weights in the endpoint list are sizes of servers.
    pub weights_are_sizes: bool,
    /// Whether weights in the endpoint list are size / (1 + requests in flight per core).
    pub weights_are_live: bool,
    /// The fields of load reports, in their order.
    pub load_fields: Vec<LoadField>,
    /// Attempts that one request may make, the first included.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub may_hedge: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether health checks are allowed.
    pub may_check_health: bool,
    /// Whether routers may send each other messages.
    pub may_message_peers: bool,
    /// Cost of the connections that one router in a hundred keeps open to all servers.
    pub connection_cost: f64,
    /// Cost of opening a connection for each request, in the same unit.
    pub handshake_cost: f64,
    /// The longest Retry-After that clients honour; 0 where they honour none.
    pub max_retry_after: Micros,
    /// Shortest time between two calls of the policy; timers are this late at the most.
    pub tick: Micros,
    /// A server that has just started has at least this fraction of its capacity.
    pub cold_capacity_share: f64,
    /// A server has its whole capacity this long after its start at the latest.
    pub warm_up_period: Micros,
    /// A server that warms up collapses when sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// For how long that multiple must last.
    pub overload_window: Micros,
    /// Sends to a draining or removed server must stop within this time.
    pub drain_grace: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancer_count: 1,
            balancer_index: 0,
            zone: 0,
            classes: vec![RequestClass::default()],
            tenants: Vec::new(),
            poll_discovery: false,
            notified_within: 10_000_000,
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
        f64::from(self.balancer_count.max(1))
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
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// A client waits this long, its retries included.
    pub deadline: Micros,
    /// What an answer in time earns.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the objective still earns.
    pub late_weight: f64,
    /// What a retry of such a request does.
    pub idempotency: Idempotency,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            latency_objective: 250_000,
            deadline: 1_000_000,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::Idempotent,
        }
    }
}

/// What a retry of a request that may have run does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Nothing: it may be sent any number of times.
    Idempotent,
    /// It carries an idempotency key: servers in scope drop a retry for a while after the first attempt.
    Deduplicated {
        /// Which servers drop a retry.
        scope: DeduplicationScope,
        /// For how long, since the earliest attempt that may have run was sent.
        window: Micros,
    },
    /// The effect happens again.
    NotIdempotent,
}

/// The cache servers that share which idempotency keys they have seen.
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

/// A load report: values in the order of [`Settings::load_fields`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// How many of `values` are set.
    pub count: u8,
    /// The values.
    pub values: [f32; 4],
}

/// A server in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub id: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its cell, a small group that shares which idempotency keys it has seen.
    pub cell: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its weight; the settings say what it means.
    pub weight: f32,
    /// When its process started; 0 for long ago.
    pub started: Micros,
    /// Whether it takes requests.
    pub state: EndpointState,
}

impl Default for Endpoint {
    fn default() -> Self {
        Endpoint {
            id: 0,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started: 0,
            state: EndpointState::Ready,
        }
    }
}

/// The state of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It completes what it has in flight; nothing new may be sent to it.
    Draining,
    /// It is no longer there.
    Removed,
}

/// How an endpoint list relates to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list; a server not in it is removed.
    Full,
    /// The list cached before a restart of the router, whole but perhaps old.
    Cached,
    /// Only endpoints that changed.
    Delta,
    /// A call to discovery failed or the watch broke; the list stays in force.
    Failed,
    /// An open watch has stalled, which is not for discovery to say: the list stays in force, but changes that
    /// it misses count as notified soon.
    WatchSilent,
}

/// A client's request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position of its class in [`Settings::classes`].
    pub class: usize,
    /// Position of its tenant in [`Settings::tenants`]; 0 where there are none.
    pub tenant: usize,
    /// Its key, 0 for none.
    pub key: Key,
    /// Whether it is a write, which goes to the origin.
    pub write: bool,
    /// Whether the client has marked it as a retry.
    pub is_retry: bool,
    /// Time until the client gives it up.
    pub remaining_deadline: Micros,
    /// Expected service time, where known.
    pub cost: Option<Micros>,
    /// Size of the value in bytes, 0 where unknown.
    pub value_size: f32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Served,
    /// The server has no value for this key; the attempt did not run.
    Miss,
    /// The server reported an error; it may have run.
    Error,
    /// The server rejected it before execution; it did not run.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection was established; it did not run.
    ConnectFailed,
    /// The connection was lost; it may have run.
    Reset,
    /// Cancelled by this router; it may have run.
    Cancelled,
    /// Never sent: the request had ended or had no attempts left; it did not run.
    NotSent,
}

impl AttemptStatus {
    /// Whether this outcome proves that the attempt did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptStatus::Miss
                | AttemptStatus::Rejected
                | AttemptStatus::ConnectFailed
                | AttemptStatus::NotSent
        )
    }
}

/// What a response says of the key in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CacheLookup {
    /// Nothing.
    #[default]
    Unknown,
    /// The value was cached.
    Hit,
    /// It was not cached.
    Miss,
    /// It was not cached, and another request is fetching it.
    MissBeingFetched,
}

/// The outcome of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptOutcome {
    /// Its request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0, in the order of sending.
    pub attempt: u16,
    /// Where it had been sent.
    pub server: ServerId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Whether the request has its final answer, by this outcome or before.
    pub request_complete: bool,
    /// What the response says of the key.
    pub cache_lookup: CacheLookup,
    /// Time from sending to this outcome.
    pub elapsed: Micros,
    /// Load report of the server, empty where there was none.
    pub load: LoadReport,
}

/// Something that happened at this router.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointList {
        /// How it relates to the list in force.
        update: ListUpdate,
        /// Its endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived; it is owed one final answer from now on.
    Request(Request),
    /// An attempt ended.
    AttemptOutcome(AttemptOutcome),
    /// An attempt waits for a connection (`established` is false), or has it and is being written. Without this
    /// event, an attempt is written when it is sent.
    Connection {
        /// Its request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// Whether it has its connection.
        established: bool,
    },
    /// A streamed response began; the request is owed nothing more.
    ResponseStarted {
        /// Its request.
        request: RequestId,
        /// The attempt that it belongs to.
        attempt: u16,
    },
    /// The client disconnected, or the request ended otherwise; it is owed nothing more.
    ClientGone(RequestId),
    /// A timer set by [`Action::Timer`] has fired.
    Timer(u32),
    /// The outcome of a health check; or, with `healthy`, a connection that came up after the attempts that
    /// waited for it had given up, which shows as much.
    HealthChecked {
        /// The server checked.
        server: ServerId,
        /// Whether it is healthy.
        healthy: bool,
        /// Time from sending to this outcome.
        elapsed: Micros,
        /// Load report of the server, empty where there was none.
        load: LoadReport,
    },
    /// A message of another router.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

/// Something that the caller is to do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Give the attempt up after this time; 0 for the client's deadline.
        give_up_after: Micros,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After for the client; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: failed, and it may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Send [`Event::Timer`] after a time.
    Timer {
        /// The time from now.
        after: Micros,
        /// Returned with the event.
        token: u32,
    },
    /// Open (or close) a watch of the endpoint list.
    Subscribe(bool),
    /// Fetch the whole endpoint list once.
    FetchEndpoints,
    /// Check the health of a server.
    CheckHealth(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Send at most 256 bytes to one router, or to all.
    SendToPeer {
        /// Index of the router; `None` for all.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// An event for the log.
    Log(LogEvent),
    /// The policy cannot go on.
    Fault(String),
}
