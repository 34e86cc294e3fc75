//! Compares the search for a server in segments of the key's order with a scan of all servers.
#![allow(clippy::unwrap_used, reason = "test code")]

use proptest::prelude::*;

use super::*;
use crate::interface::*;
use crate::state::*;

impl Policy {
    /// The choice by its definition: the lowest rank of all servers that may take the request.
    fn pick_by_full_scan(&self, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(&id)?;
        let key = if request.key == 0 { id } else { request.key };
        let selection = Selection::new(self, id, key, request);
        let mut best: Option<Rank> = None;
        for server in self.fleet.ready_cache_servers() {
            let is_excluded = request.excluded_servers.contains(&server.endpoint.id);
            if is_excluded || !self.is_allowed_by_slow_start(key, request, server) {
                continue;
            }
            let unit_hash = unit_hash(key, server.endpoint.id, HashPurpose::Position);
            let rank = selection.rank(server, unit_hash);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        let best = best?;
        let is_full = selection.is_full(self.fleet.get(best.server)?);
        (!best.is_too_slow && !is_full).then_some(best.server)
    }
}

/// Random draws for one test case. Each draw decides one choice in the case.
struct Draws(Random);

impl Draws {
    fn below(&mut self, limit: u64) -> u64 {
        (self.0.unit() * limit as f64) as u64
    }

    fn is_one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;
/// Few enough that keys repeat and share their slots with others.
const KEYS: u64 = 3_000;

fn settings(draws: &mut Draws) -> Settings {
    let class = RequestClass {
        latency_objective: 750_000,
        deadline: 1_500_000,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![class],
        origin_kind: Some(9),
        router_count: [1, 5, 300][draws.below(3) as usize],
        weights_are_sizes: draws.is_one_in(2),
        weights_are_live: draws.is_one_in(3),
        ..Settings::default()
    }
}

fn endpoint(draws: &mut Draws, id: ServerId) -> Endpoint {
    Endpoint {
        id,
        kind: draws.below(3) as u16 + 7 * u16::from(draws.is_one_in(30)),
        weight: [1.0, 1.0, 2.0, 4.0, 0.1, 0.0, 40.0][draws.below(7) as usize],
        started: if draws.is_one_in(6) {
            START - draws.below(40 * SECOND)
        } else {
            0
        },
        state: match draws.below(12) {
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            _ => EndpointState::Ready,
        },
        ..Endpoint::default()
    }
}

fn apply_list(policy: &mut Policy, draws: &mut Draws, update: ListUpdate, size: u64) {
    let max_endpoints = if update == ListUpdate::Delta { 5 } else { size };
    let ids: std::collections::BTreeSet<_> = (0..max_endpoints)
        .map(|_| 1 + draws.below(2 * size))
        .collect();
    let endpoints = ids.into_iter().map(|id| endpoint(draws, id as ServerId));
    let endpoints = endpoints.collect();
    policy.handle(
        policy.now,
        Event::EndpointList { update, endpoints },
        &mut Vec::new(),
    );
}

/// Makes some servers, or nearly all, less preferable: ejected, loaded, slow, or with a cut key share.
fn degrade_servers(policy: &mut Policy, draws: &mut Draws) {
    let one_in = 1 + draws.below(12);
    let now = policy.now;
    for server in policy.fleet.servers.values_mut() {
        if !draws.is_one_in(one_in) {
            continue;
        }
        match draws.below(4) {
            0 => {
                let until = now + draws.below(SECOND);
                server.ejection = Some(Ejection { until, duration: 1 });
            }
            1 => server.in_flight = draws.below(9) as u32,
            2 => server
                .min_answer_time
                .record(draws.below(2 * SECOND) as f64, 1.0),
            _ => server.key_share.cut(0.1, 0.05),
        }
    }
    if draws.is_one_in(3) {
        policy.fleet.service_time.record(50_000.0, 1.0);
    }
}

fn request(policy: &mut Policy, draws: &mut Draws, id: RequestId) {
    let mut request = InFlightRequest {
        key: if draws.is_one_in(20) {
            0
        } else {
            1 + draws.below(KEYS)
        },
        answer_useful_until: policy.now + draws.below(2 * SECOND),
        attempts_sent: draws.below(2) as u16,
        ..InFlightRequest::default()
    };
    let servers: Vec<_> = policy.fleet.servers.keys().copied().collect();
    for _ in 0..draws.below(3) {
        if let Some(server) = servers.get(draws.below(servers.len() as u64) as usize) {
            request.excluded_servers.push(*server);
        }
    }
    policy.requests.insert(id, request);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_pick_is_that_of_a_scan_of_all_servers(seed: u64, size in 0u64..700) {
        let mut draws = Draws(Random::new(seed));
        let mut policy = Policy::new(settings(&mut draws), seed);
        policy.now = START;
        apply_list(&mut policy, &mut draws, ListUpdate::Full, size);
        for round in 0..12 {
            degrade_servers(&mut policy, &mut draws);
            for id in 1..=40 {
                request(&mut policy, &mut draws, id);
                let expected = policy.pick_by_full_scan(id);
                prop_assert_eq!(policy.pick(id), expected);
                // Again, with the first segment from the cache.
                prop_assert_eq!(policy.pick(id), expected);
                // With the picked server excluded, as on a retry.
                let excluded = &mut policy.requests.get_mut(&id).unwrap().excluded_servers;
                excluded.extend(expected);
                let expected = policy.pick_by_full_scan(id);
                prop_assert_eq!(policy.pick(id), expected);
            }
            policy.requests.clear();
            policy.now += draws.below(SECOND);
            let update = if round == 6 { ListUpdate::Full } else { ListUpdate::Delta };
            apply_list(&mut policy, &mut draws, update, size);
        }
    }

    #[test]
    fn the_position_hash_of_a_key_equals_the_unit_hash_of_each_server(key: Key, server: ServerId) {
        let mapped_hash = unit_interval(PositionHash::new(key).hash(server));
        prop_assert_eq!(mapped_hash, unit_hash(key, server, HashPurpose::Position));
    }
}
