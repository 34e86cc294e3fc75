//! The scenario that the node under test is configured with.

use std::time::Duration;

use router_config::HumanDuration;

use super::SERVERS;
use crate::scenario::{
    EndpointList, Idempotency, Invariants, LoadBalancer, Network, Origin, RequestClass, Scenario,
    ServerKind, Workload,
};

/// A scenario with one node, servers that never limit it, and no faults.
pub(super) fn scenario(value_bytes: u64) -> Scenario {
    let ms = |ms| HumanDuration(Duration::from_millis(ms));
    Scenario {
        base: None,
        seed: 1,
        duration: ms(1_000),
        nodes: 1,
        zones: 1,
        load: Workload {
            per_s: 1.0,
            keys: 1,
            zipf_exponent: 0.0,
            value_bytes,
            retries: 0,
            backoff: ms(50),
            drift_per_s: 0.0,
            abandon_share: 0.0,
            abandon_after: ms(50),
        },
        classes: vec![lookup_class()],
        kinds: vec![instant_kind()],
        origin: Origin {
            slots: 1,
            queue_capacity: 1,
            work: ms(1),
            cores: 1.0,
            collapse_after: ms(0),
            recovery: ms(1),
        },
        network: Network::default(),
        load_balancer: LoadBalancer::default(),
        endpoint_list: EndpointList::default(),
        invariants: Invariants::default(),
        faults: Vec::new(),
    }
}

fn lookup_class() -> RequestClass {
    let ms = |ms| HumanDuration(Duration::from_millis(ms));
    RequestClass {
        name: "lookup".into(),
        share: 1.0,
        work: ms(1),
        work_deviation: 0.0,
        latency_objective: ms(250),
        deadline: ms(1_000),
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        write: false,
    }
}

fn instant_kind() -> ServerKind {
    ServerKind {
        name: "instant".into(),
        servers: SERVERS,
        cores: 1.0,
        speed: 1.0,
        slots: 1_000,
        queue_capacity: 1_000,
        memory_bytes: 1,
        cold_share: 1.0,
        warm_up: HumanDuration(Duration::from_millis(1)),
        warm_by_work: 0.0,
    }
}
