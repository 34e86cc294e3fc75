//! A scenario: the cluster, its load and the faults that are injected, read from a TOML file. `docs/TESTBED.md`
//! documents every key. This module defines the schema and its defaults, and [`FaultEvent`] defines the faults. A file
//! is validated completely before it is run.

mod fault_event;
mod validation;

use std::path::{Path, PathBuf};
use std::time::Duration;

use router_config::{ConfigError, HumanDuration};
use serde::{Deserialize, Serialize};

pub use fault_event::{ClockOwner, FaultEvent, OriginFailure};

/// The load balancer sends new requests to a node for this long after the node's graceful shutdown has begun.
pub(crate) const DEREGISTRATION_DELAY: Duration = Duration::from_millis(300);

/// A scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The file that this one is based on. Keys that this file does not set have their values from there.
    #[serde(default, skip_serializing)]
    pub base: Option<PathBuf>,
    /// Seed of all random draws.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long clients send requests.
    #[serde(rename = "length")]
    pub duration: HumanDuration,
    /// Number of nodes.
    pub nodes: u32,
    /// Number of zones. Nodes and servers are assigned to them in turn.
    #[serde(default = "one")]
    pub zones: u8,
    /// The workload of the clients.
    pub load: Workload,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<RequestClass>,
    /// The kinds of cache server.
    #[serde(rename = "kind")]
    pub kinds: Vec<ServerKind>,
    /// The origin.
    pub origin: Origin,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// The load balancer in front of the nodes.
    #[serde(default, rename = "front")]
    pub load_balancer: LoadBalancer,
    /// The endpoint list service.
    #[serde(default, rename = "list")]
    pub endpoint_list: EndpointList,
    /// Limits of the invariants.
    #[serde(default, rename = "rules")]
    pub invariants: Invariants,
    /// The faults that are injected.
    #[serde(default, rename = "event")]
    pub faults: Vec<FaultEvent>,
}

fn one<T: From<u8>>() -> T {
    T::from(1)
}

const fn duration_us(microseconds: u64) -> HumanDuration {
    HumanDuration(Duration::from_micros(microseconds))
}

const fn duration_ms(milliseconds: u64) -> HumanDuration {
    HumanDuration(Duration::from_millis(milliseconds))
}

/// The workload of the clients. It is an open loop: arrival times do not depend on the answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Requests per second over all nodes, retries not counted.
    pub per_s: f64,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the Zipf distribution of their popularity; 0 if all are equally popular.
    #[serde(rename = "zipf")]
    pub zipf_exponent: f64,
    /// Size of a value in bytes.
    pub value_bytes: u64,
    /// Largest number of attempts of a client after its first one.
    #[serde(default)]
    pub retries: u32,
    /// Backoff before the first retry, doubled for each further one, unless the rejection has a retry time
    /// (Retry-After).
    #[serde(default = "default_backoff")]
    pub backoff: HumanDuration,
    /// The popularity ranking shifts by this many keys per second.
    #[serde(default)]
    pub drift_per_s: f64,
    /// Fraction of the clients that disconnect before their deadline, `abandon_after` after their first attempt.
    #[serde(default, rename = "give_up")]
    pub abandon_share: f64,
    /// Time after which those clients disconnect.
    #[serde(default = "default_backoff", rename = "give_up_after")]
    pub abandon_after: HumanDuration,
}

fn default_backoff() -> HumanDuration {
    duration_ms(50)
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Share of the class in all requests, relative to the sum of the shares of all classes.
    pub share: f64,
    /// Mean work per answer on a reference core.
    pub work: HumanDuration,
    /// Standard deviation of that work divided by its mean. The work is log-normally distributed.
    #[serde(default, rename = "spread")]
    pub work_deviation: f64,
    /// Latency objective. A later answer does not count towards the service level.
    #[serde(rename = "aim")]
    pub latency_objective: HumanDuration,
    /// How long its clients wait, over all their attempts.
    pub deadline: HumanDuration,
    /// Priority weight of an answer within the latency objective.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether its requests may run more than once.
    #[serde(default, rename = "effect")]
    pub idempotency: Idempotency,
    /// Whether its requests are writes.
    #[serde(default)]
    pub write: bool,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Idempotency {
    /// It may.
    #[default]
    #[serde(rename = "pure")]
    Idempotent,
    /// It carries an idempotency key: servers drop duplicates within 2 s.
    #[serde(rename = "keyed")]
    Deduplicated,
    /// It must not.
    #[serde(rename = "once")]
    NotIdempotent,
}

/// A kind of cache server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerKind {
    /// Its name.
    pub name: String,
    /// Number of servers.
    pub servers: u32,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core as a multiple of the reference core.
    pub speed: f64,
    /// Largest number of requests that are processed concurrently.
    pub slots: usize,
    /// Largest number of requests that wait for a slot.
    #[serde(rename = "waiting")]
    pub queue_capacity: usize,
    /// Size of the memory in bytes.
    pub memory_bytes: u64,
    /// Fraction of the full capacity that is available right after a start.
    #[serde(default = "default_cold_share")]
    pub cold_share: f64,
    /// Time after a start by which the server is warm at the latest.
    #[serde(default = "default_warm_up")]
    pub warm_up: HumanDuration,
    /// Fraction of the work possible within `warm_up` that is enough to make the server warm. With 0 it warms up by
    /// time alone.
    #[serde(default)]
    pub warm_by_work: f64,
}

fn default_cold_share() -> f64 {
    0.2
}

fn default_warm_up() -> HumanDuration {
    duration_ms(20_000)
}

/// The origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Largest number of calls that are processed concurrently.
    pub slots: usize,
    /// Largest number of calls that wait for a slot.
    #[serde(rename = "waiting")]
    pub queue_capacity: usize,
    /// Time that a call takes if no other is in flight.
    pub work: HumanDuration,
    /// Number of calls that are processed at full speed.
    pub cores: f64,
    /// The origin collapses after it has rejected calls for this long without a pause of half a second; 0s: never.
    #[serde(default = "zero", rename = "fall_after")]
    pub collapse_after: HumanDuration,
    /// Time from a collapse until the origin is available again.
    #[serde(default = "default_recovery", rename = "back_after")]
    pub recovery: HumanDuration,
}

fn zero() -> HumanDuration {
    duration_ms(0)
}

fn default_recovery() -> HumanDuration {
    duration_ms(5_000)
}

/// The load balancer that distributes the clients' requests over the nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadBalancer {
    /// Time until the load balancer notices that a node has died. The requests that it sends there until then fail.
    #[serde(rename = "notice")]
    pub detection_delay: HumanDuration,
}

impl Default for LoadBalancer {
    fn default() -> Self {
        LoadBalancer {
            detection_delay: zero(),
        }
    }
}

/// The network. Delays are one way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Delay within a zone.
    #[serde(rename = "same")]
    pub same_zone: HumanDuration,
    /// Delay between zones.
    #[serde(rename = "cross")]
    pub cross_zone: HumanDuration,
    /// Largest random addition to the delay of a message, as a fraction of the delay.
    pub jitter: f64,
    /// Fraction of the messages from and to servers that are lost.
    #[serde(rename = "lost")]
    pub loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same_zone: duration_us(200),
            cross_zone: duration_us(4_000),
            jitter: 0.2,
            loss: 0.0,
        }
    }
}

/// The endpoint list service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointList {
    /// Time to handle one call.
    #[serde(rename = "call")]
    pub call_time: HumanDuration,
    /// Time until a change of a server is known to the service.
    #[serde(rename = "notice")]
    pub detection_delay: HumanDuration,
    /// A call fails if it waits for longer than this.
    pub timeout: HumanDuration,
}

impl Default for EndpointList {
    fn default() -> Self {
        EndpointList {
            call_time: duration_ms(10),
            detection_delay: duration_ms(1_500),
            timeout: duration_ms(2_000),
        }
    }
}

/// Limits of the invariants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Invariants {
    /// A server that is warming up collapses if it is sent more than this multiple of its capacity in any window of
    /// length `collapse_window`, with an allowance for random variation that the model adds.
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// Length of that window.
    #[serde(rename = "fall_after")]
    pub collapse_window: HumanDuration,
    /// Nodes must have stopped sending attempts to a server within this time of the notice that it drains.
    pub drain_grace: HumanDuration,
}

impl Default for Invariants {
    fn default() -> Self {
        Invariants {
            collapse_multiple: 2.5,
            collapse_window: duration_ms(2_000),
            drain_grace: duration_ms(500),
        }
    }
}

impl Scenario {
    /// The scenario of `routerctl demo`, as TOML.
    pub const DEMO: &str = include_str!("../../scenarios/demo.toml");

    /// Reads a scenario file.
    ///
    /// # Errors
    /// If the file can't be read or has an invalid value. The error names the file, the line, and what to write
    /// instead.
    pub fn read(path: &Path) -> Result<Scenario, ConfigError> {
        Scenario::read_with_overrides(path, &[])
    }

    /// Reads a scenario file and overrides some of its keys. Keys are dotted, and values are written as in the file.
    ///
    /// # Errors
    /// The same as for [`Scenario::read`].
    pub fn read_with_overrides(
        path: &Path,
        set: &[(String, String)],
    ) -> Result<Scenario, ConfigError> {
        router_config::read_toml(path, set, Scenario::first_invalid_value)
    }

    /// Number of cache servers at the beginning of a run.
    pub fn server_count(&self) -> u32 {
        self.kinds.iter().map(|kind| kind.servers).sum()
    }
}
