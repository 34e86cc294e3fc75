//! Property tests: feeds random valid event sequences with a fixed seed to the policy, and checks the rules
//! that can be verified from events and actions alone.
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
    AttemptEnds {
        index: usize,
        status: usize,
    },
    ResponseStarts {
        index: usize,
    },
    ClientDisconnects {
        index: usize,
    },
    ServerChanges {
        index: usize,
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
            .prop_map(|(index, status)| Step::AttemptEnds { index, status }),
        1 => any::<usize>().prop_map(|index| Step::ResponseStarts { index }),
        1 => any::<usize>().prop_map(|index| Step::ClientDisconnects { index }),
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
    fields.prop_map(|(index, state, restarted)| Step::ServerChanges {
        index,
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
                router_count: routers,
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

/// A request that has not had its final response.
struct PendingRequest {
    class: usize,
    deadline_at: u64,
    attempts: Vec<SentAttempt>,
}

struct SentAttempt {
    server: ServerId,
    sent_at: u64,
    in_flight: bool,
    may_have_run: bool,
}

/// An attempt in flight.
struct InFlightAttempt {
    request: RequestId,
    attempt: u16,
    server: ServerId,
}

/// The environment of one router. It tracks the pending requests and attempts, and checks every action against
/// the rules.
struct Environment {
    settings: Settings,
    policy: Policy,
    now: u64,
    next_id: RequestId,
    endpoints: BTreeMap<ServerId, Endpoint>,
    pending: BTreeMap<RequestId, PendingRequest>,
    in_flight: Vec<InFlightAttempt>,
    timers: Vec<u64>,
    actions: Vec<Action>,
}

impl Environment {
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
        let mut environment = Environment {
            settings,
            policy,
            now: 50_000_000,
            next_id: 0,
            endpoints: (0..8).map(|id| (id, endpoint(id))).collect(),
            pending: BTreeMap::new(),
            in_flight: Vec::new(),
            timers: Vec::new(),
            actions: Vec::new(),
        };
        environment.send_list(ListUpdate::Cached);
        environment
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
        self.actions.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send {
                request, server, ..
            } => self.check_send(*request, *server),
            Action::Reject { request, .. } => {
                let pending = self
                    .pending
                    .remove(request)
                    .expect("a second final response");
                let idempotent =
                    self.settings.classes[pending.class].idempotency == Idempotency::Idempotent;
                assert!(
                    idempotent || pending.attempts.iter().all(|a| !a.may_have_run),
                    "a rejection of a request that may have run"
                );
            }
            Action::Fail(request) => {
                self.pending
                    .remove(request)
                    .expect("a second final response");
            }
            Action::Timer { after, .. } => self.timers.push(self.now + (*after).max(1)),
            Action::SendToPeer { bytes, .. } => {
                assert!(self.settings.may_message_peers && bytes.len() <= 256)
            }
            Action::CheckHealth(_) | Action::Cancel { .. } => {
                panic!("an action that the settings forbid")
            }
            _ => {}
        }
    }

    fn check_send(&mut self, request: RequestId, server: ServerId) {
        let pending = self
            .pending
            .get(&request)
            .expect("a send for a request that has ended");
        assert_eq!(
            self.endpoints[&server].state,
            EndpointState::Ready,
            "a send to a draining or removed server"
        );
        assert!(
            pending.attempts.len() < self.settings.max_attempts as usize,
            "too many attempts"
        );
        assert!(self.now < pending.deadline_at, "a send after the deadline");
        assert!(
            self.settings.may_hedge || pending.attempts.iter().all(|a| !a.in_flight),
            "a hedged request although hedging is forbidden"
        );
        self.check_idempotency(pending, server);
        let attempt = SentAttempt {
            server,
            sent_at: self.now,
            in_flight: true,
            may_have_run: true,
        };
        let pending = self.pending.get_mut(&request).unwrap();
        self.in_flight.push(InFlightAttempt {
            request,
            attempt: pending.attempts.len() as u16,
            server,
        });
        pending.attempts.push(attempt);
    }

    fn check_idempotency(&self, pending: &PendingRequest, server: ServerId) {
        let endpoint = &self.endpoints[&server];
        let mut possible_executions = pending.attempts.iter().filter(|a| a.may_have_run);
        match self.settings.classes[pending.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                assert!(
                    possible_executions.next().is_none(),
                    "a request that is not idempotent sent twice"
                )
            }
            Idempotency::Deduplicated { scope, window } => {
                for attempt in possible_executions {
                    let first = &self.endpoints[&attempt.server];
                    let is_in_scope = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.zone == endpoint.zone,
                        DeduplicationScope::Cell => first.cell == endpoint.cell,
                    };
                    assert!(
                        is_in_scope && self.now < attempt.sent_at + window,
                        "a retry outside the scope or window of its idempotency key"
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
                self.pending
                    .values()
                    .all(|pending| now < pending.deadline_at),
                "a request without a final response at its deadline"
            );
        }
        self.now = end;
        assert!(
            self.pending
                .values()
                .all(|pending| end <= pending.deadline_at),
            "a request without a final response at its deadline"
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
            Step::AttemptEnds { index, status } if !self.in_flight.is_empty() => {
                self.end_attempt(index % self.in_flight.len(), *status);
            }
            Step::ResponseStarts { index } if !self.in_flight.is_empty() => {
                let started = &self.in_flight[index % self.in_flight.len()];
                let (request, attempt) = (started.request, started.attempt);
                self.pending.remove(&request);
                self.event(Event::ResponseStarted { request, attempt });
            }
            Step::ClientDisconnects { index } if !self.pending.is_empty() => {
                let id = *self.pending.keys().nth(index % self.pending.len()).unwrap();
                self.pending.remove(&id);
                self.event(Event::ClientGone(id));
            }
            Step::ServerChanges {
                index,
                state,
                restarted,
            } => self.change_server(index % self.endpoints.len(), *state, *restarted),
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
        let id = self.next_id;
        self.next_id += 1;
        let pending = PendingRequest {
            class: request.class,
            deadline_at: self.now + request.remaining_deadline,
            attempts: Vec::new(),
        };
        self.pending.insert(id, pending);
        let request = Request {
            id,
            ..request.clone()
        };
        self.event(Event::Request(request));
    }

    fn end_attempt(&mut self, index: usize, status: usize) {
        let ended = self.in_flight.swap_remove(index);
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
        if let Some(pending) = self.pending.get_mut(&ended.request) {
            let attempt = &mut pending.attempts[usize::from(ended.attempt)];
            attempt.in_flight = false;
            attempt.may_have_run &= !status.proves_not_run();
        }
        if status == AttemptStatus::Served {
            self.pending.remove(&ended.request);
        }
        self.event(Event::AttemptOutcome(AttemptOutcome {
            request: ended.request,
            attempt: ended.attempt,
            server: ended.server,
            status,
            request_complete: !self.pending.contains_key(&ended.request),
            cache_lookup: CacheLookup::Unknown,
            elapsed: 1,
            load: LoadReport::default(),
        }));
    }

    fn change_server(&mut self, index: usize, state: usize, restarted: bool) {
        let id = index as ServerId;
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
        self.pending.clear();
        self.in_flight.clear();
        self.timers.clear();
        self.send_list(ListUpdate::Cached);
    }
}

#[test]
fn rules_hold_for_random_events_and_equal_events_give_equal_actions() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (settings(), proptest::collection::vec(step(), 1..150));
    let result = runner.run(&strategy, |(settings, steps)| {
        let run_steps = || {
            let mut environment = Environment::new(settings.clone());
            steps.iter().for_each(|step| environment.step(step));
            environment.advance(2_000_000);
            let all_completed = environment.pending.is_empty();
            assert!(
                all_completed,
                "every request has a final response at the end"
            );
            environment.actions
        };
        prop_assert_eq!(run_steps(), run_steps());
        Ok(())
    });
    result.unwrap();
}
