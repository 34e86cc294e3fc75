//! Shared test harness: a minimal router that feeds events to a policy and records the actions that it returns.
#![allow(
    dead_code,
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use routing_policy::*;

pub const ORIGIN_KIND: u16 = 1;
pub const ORIGIN: ServerId = 1000;
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub struct TestRouter {
    pub policy: Policy,
    pub now: Micros,
    pub actions: Vec<Action>,
    timers: Vec<Micros>,
}

pub fn settings() -> Settings {
    let read = RequestClass {
        latency_objective: 750 * MS,
        deadline: 1500 * MS,
        ..RequestClass::default()
    };
    let deduplicated = Idempotency::Deduplicated {
        scope: DeduplicationScope::All,
        window: 200 * MS,
    };
    let write = RequestClass {
        latency_objective: 150 * MS,
        deadline: 300 * MS,
        idempotency: deduplicated,
        ..RequestClass::default()
    };
    let not_idempotent = RequestClass {
        latency_objective: 300 * MS,
        deadline: SECOND,
        idempotency: Idempotency::NotIdempotent,
        priority_weight: 8.0,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![read, write, not_idempotent],
        origin_kind: Some(ORIGIN_KIND),
        max_attempts: 4,
        ..Settings::default()
    }
}

pub fn server(id: ServerId) -> Endpoint {
    Endpoint {
        id,
        ..Endpoint::default()
    }
}

pub fn origin() -> Endpoint {
    Endpoint {
        id: ORIGIN,
        kind: ORIGIN_KIND,
        ..Endpoint::default()
    }
}

pub fn read(id: RequestId, key: Key) -> Request {
    Request {
        id,
        key,
        remaining_deadline: 1500 * MS,
        ..Request::default()
    }
}

pub fn write(id: RequestId, class: usize) -> Request {
    Request {
        id,
        key: 5,
        class,
        write: true,
        remaining_deadline: 300 * MS,
        ..Request::default()
    }
}

impl TestRouter {
    /// A router that has been running for 10 s without overload.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut router = TestRouter::just_started(settings, servers);
        router.advance(10 * SECOND);
        router
    }

    /// A router that has just started, with cache servers 1 to `servers` and an origin that have long been
    /// running. The clock is at 60 s.
    pub fn just_started(settings: Settings, servers: u32) -> Self {
        TestRouter::seeded(settings, servers, 7)
    }

    /// Like [`TestRouter::just_started`] with a given seed, so that each of many routers can have its own.
    pub fn seeded(settings: Settings, servers: u32, seed: u64) -> Self {
        let policy = Policy::new(settings, seed);
        let mut router = TestRouter {
            policy,
            now: 60 * SECOND,
            actions: Vec::new(),
            timers: Vec::new(),
        };
        let mut endpoints: Vec<_> = (1..=servers).map(server).collect();
        endpoints.push(origin());
        router.update_endpoints(ListUpdate::Cached, endpoints);
        router
    }

    /// Passes an event to the policy and returns the actions that it causes.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Timer { after, .. } = action {
                self.timers.push(self.now + after.max(&1));
            }
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn update_endpoints(&mut self, kind: ListUpdate, servers: Vec<Endpoint>) -> Vec<Action> {
        self.handle_event(Event::EndpointList {
            update: kind,
            endpoints: servers,
        })
    }

    pub fn send_request(&mut self, request: Request) -> Vec<Action> {
        self.handle_event(Event::Request(request))
    }

    pub fn complete_attempt(
        &mut self,
        request: RequestId,
        attempt: u16,
        server: ServerId,
        status: AttemptStatus,
    ) -> Vec<Action> {
        let is_served = status == AttemptStatus::Served;
        let outcome = AttemptOutcome {
            request,
            attempt,
            server,
            status,
            request_complete: is_served,
            cache_lookup: CacheLookup::Unknown,
            elapsed: MS,
            load: LoadReport::default(),
        };
        self.handle_event(Event::AttemptOutcome(outcome))
    }

    /// Advances the clock, fires the timers that come due, and returns the actions that they cause.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let first_action = self.actions.len();
        while let Some(due) = take_due(&mut self.timers, end) {
            self.now = due;
            self.handle_event(Event::Timer(0));
        }
        self.now = end;
        self.actions[first_action..].to_vec()
    }
}

/// The server of the first attempt among these actions.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn count_sends(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Send { .. }))
        .count()
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Removes and returns the earliest timer if it is due by `end`.
pub fn take_due(timers: &mut Vec<Micros>, end: Micros) -> Option<Micros> {
    let (index, due) = timers
        .iter()
        .copied()
        .enumerate()
        .min_by_key(|(_, due)| *due)?;
    (due <= end).then(|| timers.swap_remove(index))
}

/// Returns the server that a read of `key` is sent to first. The read is served at once.
pub fn first_server_for(router: &mut TestRouter, key: Key) -> ServerId {
    let id = 1_000_000 + router.actions.len() as RequestId;
    let server = sent_to(&router.send_request(read(id, key))).unwrap();
    router.complete_attempt(id, 0, server, AttemptStatus::Served);
    server
}

/// Reads keys 1 to 200 and returns the keys sent to `slow_server`. That server takes `answer_time` for each
/// response, the others 1 ms.
pub fn keys_sent_to(
    router: &mut TestRouter,
    first_id: RequestId,
    slow_server: ServerId,
    answer_time: Micros,
) -> Vec<Key> {
    let send_read = |key: Key| {
        let id = first_id + key;
        let to = sent_to(&router.send_request(read(id, key))).unwrap();
        router.advance(if to == slow_server { answer_time } else { MS });
        router.complete_attempt(id, 0, to, AttemptStatus::Served);
        (to == slow_server).then_some(key)
    };
    (1..=200).filter_map(send_read).collect()
}
