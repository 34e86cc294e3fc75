//! Random legal event sequences (a fixed seed), and the rules that events and actions alone can show.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod common;

use std::collections::BTreeMap;

use common::{ORIGIN_KIND, take_due};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use routing_policy::*;

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Request {
        class: usize,
        tenant: usize,
        key: Key,
        write: bool,
        deadline: u64,
    },
    EndAttempt {
        which: usize,
        status: usize,
    },
    BeginResponse {
        which: usize,
    },
    ClientLeaves {
        which: usize,
    },
    ServerChanges {
        which: usize,
        state: usize,
        restarted: bool,
    },
    FullList {
        ready_mask: u32,
    },
    DiscoveryFails,
    PeerMessage {
        from: u32,
        bytes: Vec<u8>,
    },
    RouterRestarts,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..60_000u64).prop_map(Step::Wait),
        1 => (0..3_000_000u64).prop_map(Step::Wait),
        10 => request(),
        10 => (any::<usize>(), 0..9usize)
            .prop_map(|(which, status)| Step::EndAttempt { which, status }),
        1 => any::<usize>().prop_map(|which| Step::BeginResponse { which }),
        1 => any::<usize>().prop_map(|which| Step::ClientLeaves { which }),
        2 => server_change(),
        1 => any::<u32>().prop_map(|ready_mask| Step::FullList { ready_mask }),
        1 => Just(Step::DiscoveryFails),
        1 => (0..4u32, proptest::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(from, bytes)| Step::PeerMessage { from, bytes }),
        1 => Just(Step::RouterRestarts),
    ]
}

fn request() -> impl Strategy<Value = Step> {
    let fields = (0..3usize, 0..3usize, 0..12u64, any::<bool>(), 0..900_000u64);
    fields.prop_map(|(class, tenant, key, write, deadline)| Step::Request {
        class,
        tenant,
        key,
        write,
        deadline,
    })
}

fn server_change() -> impl Strategy<Value = Step> {
    let fields = (any::<usize>(), 0..3u8, any::<bool>());
    fields.prop_map(|(which, state, restarted)| Step::ServerChanges {
        which,
        state: usize::from(state),
        restarted,
    })
}

fn settings() -> impl Strategy<Value = Settings> {
    let flags = (
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
    );
    (flags, 1..5u32, 1..5u32, 0..4usize, 0..3u8, 0.0..1.0f64).prop_map(
        |(
            (with_origin, may_hedge, poll_discovery, may_message_peers, weights_are_sizes),
            max_attempts,
            routers,
            tenants,
            scope,
            cold_capacity_share,
        )| {
            let scope = [
                DeduplicationScope::All,
                DeduplicationScope::Zone,
                DeduplicationScope::Cell,
            ][usize::from(scope)];
            let class = |idempotency| RequestClass {
                latency_objective: 200_000,
                deadline: 900_000,
                idempotency,
                ..RequestClass::default()
            };
            Settings {
                balancer_count: routers,
                classes: vec![
                    class(Idempotency::Idempotent),
                    class(Idempotency::Deduplicated {
                        scope,
                        window: 300_000,
                    }),
                    class(Idempotency::NotIdempotent),
                ],
                tenants: vec![Tenant { quota_per_s: 5.0 }; tenants],
                poll_discovery,
                origin_kind: with_origin.then_some(ORIGIN_KIND),
                weights_are_sizes,
                max_attempts,
                may_hedge,
                may_message_peers,
                cold_capacity_share,
                warm_up_period: 2_000_000,
                ..Settings::default()
            }
        },
    )
}

/// A request that is owed a final answer.
struct Owed {
    class: usize,
    ends: u64,
    attempts: Vec<SentAttempt>,
}

struct SentAttempt {
    server: ServerId,
    at: u64,
    in_flight: bool,
    may_have_run: bool,
}

/// An attempt without outcome.
struct InFlight {
    request: RequestId,
    attempt: u16,
    server: ServerId,
}

/// The surroundings of one router: they know what was promised and check every action against it.
struct Surroundings {
    settings: Settings,
    policy: Policy,
    now: u64,
    next: RequestId,
    endpoints: BTreeMap<ServerId, Endpoint>,
    owed: BTreeMap<RequestId, Owed>,
    in_flight: Vec<InFlight>,
    timers: Vec<u64>,
    log: Vec<Action>,
}

impl Surroundings {
    fn new(settings: Settings) -> Self {
        let policy = Policy::new(settings.clone(), 3);
        let endpoint = |id: ServerId| Endpoint {
            id,
            zone: (id % 2) as u8,
            cell: (id % 3) as u16,
            kind: if id >= 6 { ORIGIN_KIND } else { 0 },
            weight: id as f32,
            ..Endpoint::default()
        };
        let mut surroundings = Surroundings {
            settings,
            policy,
            now: 50_000_000,
            next: 0,
            endpoints: (0..8).map(|id| (id, endpoint(id))).collect(),
            owed: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: Vec::new(),
            log: Vec::new(),
        };
        surroundings.send_list(ListUpdate::Cached);
        surroundings
    }

    fn send_list(&mut self, update: ListUpdate) {
        let listed = self.endpoints.values();
        let endpoints = listed
            .filter(|endpoint| endpoint.state != EndpointState::Removed)
            .cloned()
            .collect();
        self.event(Event::EndpointList { update, endpoints });
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send {
                request, server, ..
            } => self.check_send(*request, *server),
            Action::Reject { request, .. } => {
                let owed = self.owed.remove(request).expect("a second final answer");
                let idempotent =
                    self.settings.classes[owed.class].idempotency == Idempotency::Idempotent;
                assert!(
                    idempotent || owed.attempts.iter().all(|a| !a.may_have_run),
                    "a rejection of what may have run"
                );
            }
            Action::Fail(request) => {
                self.owed.remove(request).expect("a second final answer");
            }
            Action::Timer { after, .. } => self.timers.push(self.now + (*after).max(1)),
            Action::SendToPeer { bytes, .. } => {
                assert!(self.settings.may_message_peers && bytes.len() <= 256)
            }
            Action::CheckHealth(_) | Action::Cancel { .. } => panic!("not allowed here"),
            _ => {}
        }
    }

    fn check_send(&mut self, request: RequestId, server: ServerId) {
        let owed = self
            .owed
            .get(&request)
            .expect("a send for a request that has ended");
        assert_eq!(
            self.endpoints[&server].state,
            EndpointState::Ready,
            "a send to a draining or removed server"
        );
        assert!(
            owed.attempts.len() < self.settings.max_attempts as usize,
            "too many attempts"
        );
        assert!(self.now < owed.ends, "a send after the deadline");
        assert!(
            self.settings.may_hedge || owed.attempts.iter().all(|a| !a.in_flight),
            "a hedged request where that is forbidden"
        );
        self.check_idempotency(owed, server);
        let attempt = SentAttempt {
            server,
            at: self.now,
            in_flight: true,
            may_have_run: true,
        };
        let owed = self.owed.get_mut(&request).unwrap();
        self.in_flight.push(InFlight {
            request,
            attempt: owed.attempts.len() as u16,
            server,
        });
        owed.attempts.push(attempt);
    }

    fn check_idempotency(&self, owed: &Owed, server: ServerId) {
        let endpoint = &self.endpoints[&server];
        let mut possibly_executed = owed.attempts.iter().filter(|a| a.may_have_run);
        match self.settings.classes[owed.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                assert!(
                    possibly_executed.next().is_none(),
                    "a request that is not idempotent sent twice"
                )
            }
            Idempotency::Deduplicated { scope, window } => {
                for attempt in possibly_executed {
                    let first = &self.endpoints[&attempt.server];
                    let is_in_scope = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.zone == endpoint.zone,
                        DeduplicationScope::Cell => first.cell == endpoint.cell,
                    };
                    assert!(
                        is_in_scope && self.now < attempt.at + window,
                        "a request with an idempotency key outside its scope or window"
                    );
                }
            }
        }
    }

    fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(due) = take_due(&mut self.timers, end) {
            self.now = due;
            self.event(Event::Timer(0));
            let now = self.now;
            assert!(
                self.owed.values().all(|owed| now < owed.ends),
                "a request without an answer at its deadline"
            );
        }
        self.now = end;
        assert!(
            self.owed.values().all(|owed| end <= owed.ends),
            "a request without an answer at its deadline"
        );
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.advance(*time),
            Step::Request {
                class,
                tenant,
                key,
                write,
                deadline,
            } => self.request(&Request {
                class: *class,
                tenant: tenant % self.settings.tenants.len().max(1),
                key: *key,
                write: *write,
                remaining_deadline: *deadline,
                ..Request::default()
            }),
            Step::EndAttempt { which, status } if !self.in_flight.is_empty() => {
                self.end_attempt(which % self.in_flight.len(), *status);
            }
            Step::BeginResponse { which } if !self.in_flight.is_empty() => {
                let answered = &self.in_flight[which % self.in_flight.len()];
                let (request, attempt) = (answered.request, answered.attempt);
                self.owed.remove(&request);
                self.event(Event::ResponseStarted { request, attempt });
            }
            Step::ClientLeaves { which } if !self.owed.is_empty() => {
                let id = *self.owed.keys().nth(which % self.owed.len()).unwrap();
                self.owed.remove(&id);
                self.event(Event::ClientGone(id));
            }
            Step::ServerChanges {
                which,
                state,
                restarted,
            } => self.change_server(which % self.endpoints.len(), *state, *restarted),
            Step::FullList { ready_mask } => {
                for (id, endpoint) in &mut self.endpoints {
                    let is_ready = ready_mask >> id & 1 == 1;
                    endpoint.state = if is_ready {
                        EndpointState::Ready
                    } else {
                        EndpointState::Removed
                    };
                }
                self.send_list(ListUpdate::Full);
            }
            Step::DiscoveryFails => self.event(Event::EndpointList {
                update: ListUpdate::Failed,
                endpoints: Vec::new(),
            }),
            Step::PeerMessage { from, bytes } => self.event(Event::PeerMessage {
                from: *from,
                bytes: bytes.clone(),
            }),
            Step::RouterRestarts => self.restart_router(),
            _ => {}
        }
    }

    fn request(&mut self, request: &Request) {
        let id = self.next;
        self.next += 1;
        let owed = Owed {
            class: request.class,
            ends: self.now + request.remaining_deadline,
            attempts: Vec::new(),
        };
        self.owed.insert(id, owed);
        let request = Request {
            id,
            ..request.clone()
        };
        self.event(Event::Request(request));
    }

    fn end_attempt(&mut self, which: usize, status: usize) {
        let ended = self.in_flight.swap_remove(which);
        let status = [
            AttemptStatus::Served,
            AttemptStatus::Miss,
            AttemptStatus::Error,
            AttemptStatus::Rejected,
            AttemptStatus::TimedOut,
            AttemptStatus::ConnectFailed,
            AttemptStatus::Reset,
            AttemptStatus::Served,
            AttemptStatus::Miss,
        ][status];
        if let Some(owed) = self.owed.get_mut(&ended.request) {
            let attempt = &mut owed.attempts[usize::from(ended.attempt)];
            attempt.in_flight = false;
            attempt.may_have_run &= !status.proves_not_run();
        }
        if status == AttemptStatus::Served {
            self.owed.remove(&ended.request);
        }
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: ended.request,
            attempt: ended.attempt,
            server: ended.server,
            status,
            request_complete: !self.owed.contains_key(&ended.request),
            cache_lookup: CacheLookup::Unknown,
            elapsed: 1,
            load: LoadReport::default(),
        }));
    }

    fn change_server(&mut self, which: usize, state: usize, restarted: bool) {
        let id = which as ServerId;
        let endpoint = self.endpoints.get_mut(&id).unwrap();
        endpoint.state = [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ][state];
        if restarted {
            endpoint.started = self.now;
        }
        let endpoints = vec![endpoint.clone()];
        self.event(Event::EndpointList {
            update: ListUpdate::Delta,
            endpoints,
        });
    }

    fn restart_router(&mut self) {
        self.policy = Policy::new(self.settings.clone(), 4);
        self.owed.clear();
        self.in_flight.clear();
        self.timers.clear();
        self.send_list(ListUpdate::Cached);
    }
}

#[test]
fn the_rules_hold_over_random_events_and_the_same_events_give_the_same_actions() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (settings(), proptest::collection::vec(step(), 1..150));
    let result = runner.run(&strategy, |(settings, steps)| {
        let play = || {
            let mut surroundings = Surroundings::new(settings.clone());
            steps.iter().for_each(|step| surroundings.step(step));
            surroundings.advance(2_000_000);
            let all_answered = surroundings.owed.is_empty();
            assert!(all_answered, "everything is answered in the end");
            surroundings.log
        };
        prop_assert_eq!(play(), play());
        Ok(())
    });
    result.unwrap();
}
