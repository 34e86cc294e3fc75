//! What a scenario comes to for a node and for the world's parts, the same in both drivers: the settings text of the
//! deployment, machines, list, network, rules, and what the servers hold at the beginning.

use cluster_model::Micros;
use cluster_model::list::{NodeId, Spec as ListSpec};
use cluster_model::machine::Spec as MachineSpec;
use cluster_model::network::{Network, Spec as NetworkSpec, Zone};
use cluster_model::origin::{Fault, Origin, Spec as OriginSpec};
use cluster_model::rules::{Effect as RuleEffect, Figures, Rules};
use cluster_model::server::Spec as CacheSpec;
use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Endpoint, Event as ModuleEvent, ListUpdate,
    Policy, Request, RequestId, ServerId, Settings,
};
use serde_json::{Value, json};

use crate::scenario::{Effect, Failure, Kind, Scenario};
use crate::us;

/// Servers drop a repeat of a keyed request for this long.
pub const KEYED: Micros = 2_000_000;
/// Attempts of a request at most.
pub const MAX_ATTEMPTS: u32 = 4;
/// An origin that turned nothing away for so long counts as relieved.
const RELIEF: Micros = 500_000;
/// Spread of the origin's work.
pub const ORIGIN_SPREAD: f64 = 0.3;
/// Keys that servers hold at the beginning at most, the most popular first.
const HELD_AT_FIRST: u64 = 200_000;

/// The zone of a node or server, which are dealt out in turn.
pub fn zone(scenario: &Scenario, number: u32) -> Zone {
    (number % u32::from(scenario.zones)) as Zone
}

/// The settings text of a node, as a deployment has it (`crates/routing-policy/src/settings.rs`).
pub fn settings_text(scenario: &Scenario, me: NodeId) -> Value {
    let Scenario {
        class, kind, rules, ..
    } = scenario;
    let classes = class.iter().map(|class| {
        let (effect, window) = match class.effect {
            Effect::Pure => ("pure", 0),
            Effect::Keyed => ("token", KEYED),
            Effect::Once => ("side_effect", 0),
        };
        json!({
            "name": class.name, "goalTimeUs": us(class.aim), "deadlineUs": us(class.deadline), "gain": class.worth,
            "lateValue": 0.0, "effect": effect, "dedupScope": "all", "dedupWindowUs": window,
        })
    });
    let kinds = kind.iter().map(|kind| kind.name.as_str()).chain(["origin"]);
    json!({
        "balancers": scenario.nodes, "me": me, "zone": zone(scenario, me),
        "zones": (0..scenario.zones).map(|zone| format!("z{zone}")).collect::<Vec<_>>(),
        "machineTypes": kinds.collect::<Vec<_>>(),
        "discovery": "ask", "classes": classes.collect::<Vec<_>>(),
        "specifics": {"mode": "aside", "originKind": kind.len()},
        "limits": {"maxAttempts": MAX_ATTEMPTS, "mayCancel": true, "mayDuplicate": false},
        "guarantees": {
            "coldShare": kind.iter().map(|kind| kind.cold_share).fold(1.0, f64::min),
            "coldUs": kind.iter().map(|kind| us(kind.warm_up)).max().unwrap_or(0),
            "fallMultiple": rules.fall_multiple, "tipAfterUs": us(rules.fall_after),
            "drainGraceUs": us(rules.drain_grace),
        },
    })
}

/// The same as the decision module has it.
pub fn settings(scenario: &Scenario, me: NodeId) -> Settings {
    let text = settings_text(scenario, me).to_string();
    routing_policy::settings::read(text.as_bytes())
        .expect("the text is made above")
        .settings
}

/// A cache server of a kind.
pub fn cache(scenario: &Scenario, kind: &Kind) -> CacheSpec {
    let reads = scenario.class.iter().filter(|class| !class.write);
    let mean = reads.map(|class| us(class.work) as f64).fold(0.0, f64::max);
    CacheSpec {
        machine: MachineSpec {
            cores: kind.cores,
            speed: kind.speed,
            slots: kind.slots,
            waiting: kind.waiting,
            cold_share: kind.cold_share,
            warm_up: us(kind.warm_up),
            warm_by_work: kind.warm_by_work,
            ..MachineSpec::default()
        },
        memory: kind.memory_bytes,
        fall_multiple: scenario.rules.fall_multiple,
        fall_after: us(scenario.rules.fall_after),
        fall_slack: scenario.rules.fall_slack * mean,
        ..CacheSpec::default()
    }
}

/// The origin, warm at a time.
pub fn origin(scenario: &Scenario, now: Micros) -> Origin {
    let origin = &scenario.origin;
    let (cores, slots, waiting) = (origin.cores, origin.slots, origin.waiting);
    let machine = MachineSpec {
        cores,
        slots,
        waiting,
        ..MachineSpec::default()
    };
    let (fall_after, back_after) = (us(origin.fall_after), us(origin.back_after));
    Origin::new(
        OriginSpec {
            machine,
            fall_after,
            relief: RELIEF,
            back_after,
        },
        now,
    )
}

/// How calls to the origin fail in a scenario's words.
pub fn fault(how: Failure) -> Fault {
    match how {
        Failure::Late => Fault::Late,
        Failure::Early => Fault::Early,
    }
}

/// The list service.
pub fn list(scenario: &Scenario) -> ListSpec {
    let list = &scenario.list;
    ListSpec {
        call: us(list.call),
        timeout: us(list.timeout),
        ..ListSpec::default()
    }
}

/// The network.
pub fn network(scenario: &Scenario) -> Network {
    let network = &scenario.network;
    let (same, cross) = (us(network.same), us(network.cross));
    Network::new(NetworkSpec {
        same,
        cross,
        jitter: network.jitter,
        lost: network.lost,
    })
}

/// The rules, with what a driver forgives of sends that come after a request's end.
pub fn rules(scenario: &Scenario, sent_grace: Micros) -> Rules {
    let drain_grace = us(scenario.rules.drain_grace);
    Rules::new(Figures {
        drain_grace,
        sent_grace,
        ..Figures::default()
    })
}

/// What running twice does to requests of a class.
pub fn effect(scenario: &Scenario, class: usize) -> RuleEffect {
    match scenario.class[class].effect {
        Effect::Pure => RuleEffect::Pure,
        Effect::Keyed => RuleEffect::Keyed(KEYED),
        Effect::Once => RuleEffect::Once,
    }
}

/// Keys and the servers that hold them at the beginning, the most popular last: servers that run since long ago hold
/// what they were asked for lately, and a module sends a key there while all is well.
pub fn held_at_first(
    scenario: &Scenario,
    now: Micros,
    servers: Vec<Endpoint>,
) -> Vec<(u64, ServerId)> {
    let Some(read) = scenario.class.iter().position(|class| !class.write) else {
        return Vec::new();
    };
    let mut policy = Policy::new(
        Settings {
            poll_discovery: false,
            ..settings(scenario, 0)
        },
        0,
    );
    let mut actions = Vec::new();
    policy.handle(
        now,
        ModuleEvent::EndpointList {
            update: ListUpdate::Full,
            endpoints: servers,
        },
        &mut actions,
    );
    let bytes = scenario.load.value_bytes.max(1);
    let room: u64 = scenario
        .kind
        .iter()
        .map(|kind| kind.memory_bytes / bytes * u64::from(kind.servers))
        .sum();
    let mut held = Vec::new();
    for key in (1..=scenario.load.keys.min(HELD_AT_FIRST).min(room)).rev() {
        actions.clear();
        let request = Request {
            id: key,
            key,
            class: read,
            remaining_deadline: 1_000_000,
            ..Request::default()
        };
        policy.handle(now, ModuleEvent::Request(request), &mut actions);
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        policy.handle(now, ModuleEvent::ClientGone(key), &mut actions);
        let Some(server) = sent else { continue };
        let outcome = outcome(key, 0, server, AttemptStatus::Served, true);
        policy.handle(now, ModuleEvent::AttemptOutcome(outcome), &mut actions);
        held.push((key, server));
    }
    held
}

/// An attempt's outcome with nothing told beside it.
pub fn outcome(
    request: RequestId,
    attempt: u16,
    server: ServerId,
    status: AttemptStatus,
    over: bool,
) -> AttemptOutcome {
    let (note, load) = (CacheLookup::Unknown, routing_policy::LoadReport::default());
    AttemptOutcome {
        request,
        attempt,
        server,
        status,
        request_complete: over,
        cache_lookup: note,
        elapsed: 0,
        load,
    }
}
