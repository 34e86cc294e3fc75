//! Derives the deployment of a scenario, which is the same in both drivers: the settings text of the nodes, the
//! configuration of the cluster model's servers, origin, endpoint list and network, the limits of the invariants, and
//! the initial contents of the caches.

use cluster_model::Micros;
use cluster_model::endpoint_list::{EndpointListConfig, NodeId};
use cluster_model::invariants::{Idempotency as ModelIdempotency, InvariantLimits, Invariants};
use cluster_model::machine::MachineConfig;
use cluster_model::network::{Network, NetworkConfig, Zone};
use cluster_model::origin::{Fault, FaultInjection, Origin, OriginConfig};
use cluster_model::server::CacheServerConfig;
use cluster_model::slow_start_budget::SlowStartBudget;
use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Endpoint, Event as PolicyEvent, ListUpdate,
    LoadReport, Policy, Request, RequestId, ServerId, Settings,
};
use serde_json::{Value, json};

use crate::micros;
use crate::scenario::{Idempotency, OriginFailure, RequestClass, Scenario, ServerKind};

/// How long servers drop duplicates of a request with an idempotency key, in microseconds.
pub const DEDUPLICATION_WINDOW: Micros = 2_000_000;
/// Largest number of attempts of a request.
pub const MAX_ATTEMPTS: u32 = 4;
/// A period of saturation of the origin ends once it has rejected no call for this long, in microseconds.
const ORIGIN_SATURATION_END_DELAY: Micros = 500_000;
/// Standard deviation of the work of a call to the origin, divided by its mean.
pub const ORIGIN_WORK_DEVIATION: f64 = 0.3;
/// After SIGTERM the platform waits for the longest deadline before it kills a node, but for at most this time, in
/// microseconds.
const MAX_KILL_DEADLINE: Micros = 3_000_000;
/// Time that the platform waits in addition to the deadline before it kills a node, in microseconds.
const KILL_GRACE_PERIOD: Micros = 700_000;
/// Largest number of keys that are cached at the beginning of a run. The most popular keys are cached.
const MAX_INITIAL_KEYS: u64 = 200_000;
/// Deadline of the requests that determine the initial server of a key, in microseconds.
const PLACEMENT_DEADLINE: Micros = 1_000_000;

/// The zone of a node or server. Nodes and servers are assigned to the zones in turn.
pub fn zone(scenario: &Scenario, number: u32) -> Zone {
    (number % u32::from(scenario.zones)) as Zone
}

/// The settings text of a node, in the format that `crates/routing-policy/src/settings.rs` reads.
pub fn settings_text(scenario: &Scenario, node: NodeId) -> Value {
    let Scenario {
        classes,
        kinds,
        invariants,
        ..
    } = scenario;
    let class_settings: Vec<Value> = classes.iter().map(class_settings).collect();
    let kind_names = kinds.iter().map(|kind| kind.name.as_str());
    let zones = 0..scenario.zones;
    json!({
        "balancers": scenario.nodes, "me": node, "zone": zone(scenario, node),
        "zones": zones.map(|zone| format!("z{zone}")).collect::<Vec<_>>(),
        "machineTypes": kind_names.chain(["origin"]).collect::<Vec<_>>(),
        "discovery": "ask", "classes": class_settings,
        "specifics": {"mode": "aside", "originKind": kinds.len()},
        "limits": {"maxAttempts": MAX_ATTEMPTS, "mayCancel": true, "mayDuplicate": false},
        "guarantees": {
            "coldShare": kinds.iter().map(|kind| kind.cold_share).fold(1.0, f64::min),
            "coldUs": kinds.iter().map(|kind| micros(kind.warm_up)).max().unwrap_or(0),
            "fallMultiple": invariants.collapse_multiple, "tipAfterUs": micros(invariants.collapse_window),
            "drainGraceUs": micros(invariants.drain_grace),
        },
    })
}

fn class_settings(class: &RequestClass) -> Value {
    let (effect, window) = match class.idempotency {
        Idempotency::Idempotent => ("pure", 0),
        Idempotency::Deduplicated => ("token", DEDUPLICATION_WINDOW),
        Idempotency::NotIdempotent => ("side_effect", 0),
    };
    json!({
        "name": class.name, "goalTimeUs": micros(class.latency_objective),
        "deadlineUs": micros(class.deadline), "gain": class.priority_weight,
        "lateValue": 0.0, "effect": effect, "dedupScope": "all", "dedupWindowUs": window,
    })
}

/// The settings of a node, as the policy reads them from the settings text.
///
/// # Panics
/// If a number of the scenario is NaN or infinite: the settings text cannot represent it, and the validation of
/// scenarios does not reject it yet.
#[expect(
    clippy::expect_used,
    reason = "the text is written by settings_text and has every key that the policy requires"
)]
pub fn settings(scenario: &Scenario, node: NodeId) -> Settings {
    let text = settings_text(scenario, node).to_string();
    routing_policy::settings::read(text.as_bytes())
        .expect("the policy reads the settings of a scenario")
        .settings
}

/// The configuration of a cache server of a kind.
pub fn cache_server(scenario: &Scenario, kind: &ServerKind) -> CacheServerConfig {
    CacheServerConfig {
        machine: MachineConfig {
            cores: kind.cores,
            speed: kind.speed,
            slots: kind.slots,
            queue_capacity: kind.queue_capacity,
            cold_share: kind.cold_share,
            warm_up: micros(kind.warm_up),
            warm_by_work: kind.warm_by_work,
            ..MachineConfig::default()
        },
        memory_bytes: kind.memory_bytes,
        slow_start: SlowStartBudget {
            multiple: scenario.invariants.collapse_multiple,
            window: micros(scenario.invariants.collapse_window),
            mean_work: mean_read_work(scenario),
        },
        ..CacheServerConfig::default()
    }
}

/// Mean work of the requests that reach cache servers, in microseconds of the reference core. Only reads do.
fn mean_read_work(scenario: &Scenario) -> f64 {
    let reads = || scenario.classes.iter().filter(|class| !class.write);
    let share: f64 = reads().map(|class| class.share).sum();
    let work: f64 = reads()
        .map(|class| class.share * micros(class.work) as f64)
        .sum();
    if share > 0.0 { work / share } else { 0.0 }
}

/// The origin, warm and idle.
pub fn origin(scenario: &Scenario, now: Micros) -> Origin {
    let origin = &scenario.origin;
    let config = OriginConfig {
        machine: MachineConfig {
            cores: origin.cores,
            slots: origin.slots,
            queue_capacity: origin.queue_capacity,
            ..MachineConfig::default()
        },
        collapse_after: micros(origin.collapse_after),
        saturation_end_delay: ORIGIN_SATURATION_END_DELAY,
        restart_delay: micros(origin.recovery),
    };
    Origin::new(config, now)
}

/// The model's fault that makes a fraction of the calls to the origin fail.
pub fn fault(failure: OriginFailure, share: f64) -> FaultInjection {
    let fault = match failure {
        OriginFailure::Late => Fault::FailAfterProcessing,
        OriginFailure::Early => Fault::RejectOnArrival,
    };
    FaultInjection { fault, share }
}

/// The configuration of the endpoint list service.
pub fn endpoint_list(scenario: &Scenario) -> EndpointListConfig {
    EndpointListConfig {
        call_time: micros(scenario.endpoint_list.call_time),
        timeout: micros(scenario.endpoint_list.timeout),
        ..EndpointListConfig::default()
    }
}

/// The network.
pub fn network(scenario: &Scenario) -> Network {
    let network = &scenario.network;
    Network::new(NetworkConfig {
        same_zone: micros(network.same_zone),
        cross_zone: micros(network.cross_zone),
        jitter: network.jitter,
        loss: network.loss,
    })
}

/// The invariants. An attempt that was in flight when its request ended may still arrive up to `in_flight_grace`
/// microseconds later.
pub fn invariants(scenario: &Scenario, in_flight_grace: Micros) -> Invariants {
    Invariants::new(InvariantLimits {
        drain_grace: micros(scenario.invariants.drain_grace),
        in_flight_grace,
        ..InvariantLimits::default()
    })
}

/// The longest deadline of all classes, in microseconds.
pub fn longest_deadline(scenario: &Scenario) -> Micros {
    let deadlines = scenario.classes.iter().map(|class| micros(class.deadline));
    deadlines.max().unwrap_or(0)
}

/// The shortest time between SIGTERM and the platform's kill of a node, in microseconds.
pub fn earliest_kill_after_terminate(scenario: &Scenario) -> Micros {
    longest_deadline(scenario).min(MAX_KILL_DEADLINE) + KILL_GRACE_PERIOD
}

/// Whether requests of a class may run more than once. `class` is its index in the scenario.
pub fn idempotency(scenario: &Scenario, class: usize) -> ModelIdempotency {
    match scenario.classes[class].idempotency {
        Idempotency::Idempotent => ModelIdempotency::Idempotent,
        Idempotency::Deduplicated => ModelIdempotency::Deduplicated {
            window: DEDUPLICATION_WINDOW,
        },
        Idempotency::NotIdempotent => ModelIdempotency::NotIdempotent,
    }
}

/// Keys and the servers that cache them at the beginning of a run, the most popular key last. Servers that started long
/// ago have cached what they were recently asked for, and without faults the policy sends each key to the same server.
pub fn initial_cache_contents(
    scenario: &Scenario,
    now: Micros,
    endpoints: Vec<Endpoint>,
) -> Vec<(u64, ServerId)> {
    let Some(read_class) = scenario.classes.iter().position(|class| !class.write) else {
        return Vec::new();
    };
    let mut placement = Placement::new(scenario, now, endpoints, read_class);
    let value_bytes = scenario.load.value_bytes.max(1);
    let capacity: u64 = scenario
        .kinds
        .iter()
        .map(|kind| kind.memory_bytes / value_bytes * u64::from(kind.servers))
        .sum();
    let keys = scenario.load.keys.min(MAX_INITIAL_KEYS).min(capacity);
    let mut contents = Vec::new();
    for key in (1..=keys).rev() {
        if let Some(server) = placement.server_of(key) {
            contents.push((key, server));
        }
    }
    contents
}

/// Determines the server of each key with a separate instance of the policy.
struct Placement {
    policy: Policy,
    now: Micros,
    read_class: usize,
    actions: Vec<Action>,
}

impl Placement {
    fn new(
        scenario: &Scenario,
        now: Micros,
        endpoints: Vec<Endpoint>,
        read_class: usize,
    ) -> Placement {
        let settings = Settings {
            poll_discovery: false,
            ..settings(scenario, 0)
        };
        let mut placement = Placement {
            policy: Policy::new(settings, 0),
            now,
            read_class,
            actions: Vec::new(),
        };
        placement.handle(PolicyEvent::EndpointList {
            update: ListUpdate::Full,
            endpoints,
        });
        placement
    }

    fn handle(&mut self, event: PolicyEvent) {
        self.policy.handle(self.now, event, &mut self.actions);
    }

    /// The server to which the policy sends a read of a key. The read is then reported to the policy as served.
    fn server_of(&mut self, key: u64) -> Option<ServerId> {
        self.actions.clear();
        self.handle(PolicyEvent::Request(Request {
            id: key,
            key,
            class: self.read_class,
            remaining_deadline: PLACEMENT_DEADLINE,
            ..Request::default()
        }));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        self.handle(PolicyEvent::ClientGone(key));
        let server = sent?;
        let outcome = attempt_outcome(key, 0, server, AttemptStatus::Served, true);
        self.handle(PolicyEvent::AttemptOutcome(outcome));
        Some(server)
    }
}

/// The outcome of an attempt without any further information from the server.
pub fn attempt_outcome(
    request: RequestId,
    attempt: u16,
    server: ServerId,
    status: AttemptStatus,
    request_complete: bool,
) -> AttemptOutcome {
    AttemptOutcome {
        request,
        attempt,
        server,
        status,
        request_complete,
        cache_lookup: CacheLookup::Unknown,
        elapsed: 0,
        load: LoadReport::default(),
    }
}
