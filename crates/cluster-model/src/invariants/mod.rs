//! The invariants of the protocol, checked while a cluster runs: no request is lost, no effect happens twice, nothing is
//! sent to a server after the notice that it drains, and no server that warms up collapses under load from senders who
//! knew of its start. The driver reports what nodes do; each violation is kept with its time and its parties.

mod violation;

use std::collections::BTreeMap;

use crate::Micros;
use crate::endpoint_list::NodeId;
use crate::server::Collapse;
pub use violation::{Violation, ViolationKind};

/// Identifies a request: the node that accepted it, and its id there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// The node.
    pub node: NodeId,
    /// The id, unique at the node.
    pub id: u64,
}

impl From<(NodeId, u64)> for RequestKey {
    fn from((node, id): (NodeId, u64)) -> Self {
        RequestKey { node, id }
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be retried and rejected freely.
    Idempotent,
    /// It carries an idempotency key: servers drop a duplicate for a while.
    Deduplicated {
        /// For how long, in microseconds, after the first attempt that may have run was sent.
        window: Micros,
    },
    /// It may run once at most: it is retried or rejected only if no attempt can have run.
    NotIdempotent,
}

/// Tolerances of the invariants. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct InvariantLimits {
    /// An answer still counts this long after the request's deadline.
    pub answer_grace: Micros,
    /// An attempt that was sent before the request ended may still arrive for this long.
    pub sent_grace: Micros,
    /// Attempts at a server must end within this time of the notice that it drains or is gone.
    pub drain_grace: Micros,
    /// A node counts as notified this long after a change was known, whether it was notified or not.
    pub notified_after: Micros,
    /// A collapse is a violation if at least this fraction of the load came from senders who knew of the start.
    pub informed_share: f64,
}

impl Default for InvariantLimits {
    fn default() -> Self {
        InvariantLimits {
            answer_grace: 70_000,
            sent_grace: 0,
            drain_grace: 550_000,
            notified_after: 6_000_000,
            informed_share: 2.0 / 3.0,
        }
    }
}

/// A request that a node has accepted.
#[derive(Debug)]
struct AcceptedRequest {
    deadline: Micros,
    idempotency: Idempotency,
    ended: Option<Micros>,
    /// Attempts that may have run, and when each was sent.
    may_have_run: BTreeMap<u16, Micros>,
}

impl AcceptedRequest {
    /// Whether an attempt that is sent now might be a second run. Called before the attempt is recorded.
    fn might_run_twice(&self, now: Micros) -> bool {
        let Some(first) = self.may_have_run.values().min() else {
            return false;
        };
        match self.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::Deduplicated { window } => now > first + window,
            Idempotency::NotIdempotent => true,
        }
    }

    /// Whether a rejection is untrue: the request may have run, and its caller may not repeat it then.
    fn rejection_is_untrue(&self) -> bool {
        self.idempotency == Idempotency::NotIdempotent && !self.may_have_run.is_empty()
    }
}

/// A node's notice about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Notice {
    node: NodeId,
    server: u32,
}

/// Checks the invariants, and keeps the violations so far.
#[derive(Debug, Default)]
pub struct Invariants {
    limits: InvariantLimits,
    requests: BTreeMap<RequestKey, AcceptedRequest>,
    /// Servers that nodes were notified are not ready, and since when.
    notified: BTreeMap<Notice, Micros>,
    /// Servers that are known not to be ready, and since when.
    not_ready: BTreeMap<u32, Micros>,
    /// Nodes that are paused, and since when.
    paused: BTreeMap<NodeId, Micros>,
    violations: Vec<Violation>,
}

impl Invariants {
    /// A checker with these limits.
    pub fn new(limits: InvariantLimits) -> Self {
        Invariants {
            limits,
            ..Invariants::default()
        }
    }

    /// The violations so far, in order.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn violated(&mut self, at: Micros, kind: ViolationKind) {
        self.violations.push(Violation { at, kind });
    }

    /// A node has accepted a request whose client waits until `deadline`.
    pub fn accepted(
        &mut self,
        request: impl Into<RequestKey>,
        deadline: Micros,
        idempotency: Idempotency,
    ) {
        let accepted = AcceptedRequest {
            deadline,
            idempotency,
            ended: None,
            may_have_run: BTreeMap::new(),
        };
        self.requests.insert(request.into(), accepted);
    }

    /// A node sends an attempt of a request to a server.
    pub fn sent(&mut self, now: Micros, request: impl Into<RequestKey>, attempt: u16, server: u32) {
        let request = request.into();
        self.check_drained(now, request.node, server);
        let Some(accepted) = self.requests.get_mut(&request) else {
            return;
        };
        let ran_twice = accepted.might_run_twice(now);
        accepted.may_have_run.insert(attempt, now);
        let grace = self.limits.sent_grace;
        let after_end = accepted.ended.is_some_and(|ended| now >= ended + grace);
        if ran_twice {
            self.violated(now, ViolationKind::RanTwice(request));
        }
        if after_end {
            self.violated(now, ViolationKind::SentAfterEnd(request));
        }
    }

    /// Checks that the node of an attempt was not notified too long ago that the server is not ready.
    fn check_drained(&mut self, now: Micros, node: NodeId, server: u32) {
        let notified = self.notified.get(&Notice { node, server }).copied();
        let should_know = self
            .not_ready
            .get(&server)
            .map(|since| since + self.limits.notified_after);
        let Some(since) = notified.into_iter().chain(should_know).min() else {
            return;
        };
        if let Some(after) = now.checked_sub(since)
            && after > self.limits.drain_grace
        {
            let kind = ViolationKind::SentToDrained {
                node,
                server,
                after,
            };
            self.violated(now, kind);
        }
    }

    /// An attempt is proved never to have run.
    pub fn never_ran(&mut self, request: impl Into<RequestKey>, attempt: u16) {
        if let Some(accepted) = self.requests.get_mut(&request.into()) {
            accepted.may_have_run.remove(&attempt);
        }
    }

    /// A node gives its final answer, which may be a rejection.
    pub fn answered(&mut self, now: Micros, request: impl Into<RequestKey>, rejected: bool) {
        let request = request.into();
        let Some(accepted) = self.open_request(request) else {
            return;
        };
        accepted.ended = Some(now);
        let deadline = accepted.deadline;
        let untrue = rejected && accepted.rejection_is_untrue();
        if now > deadline + self.limits.answer_grace {
            self.violated(now, ViolationKind::Lost(request));
        }
        if untrue {
            self.violated(now, ViolationKind::RejectedThoughRun(request));
        }
    }

    /// A node that was not killed closed a request's connection before the complete answer.
    pub fn aborted(&mut self, now: Micros, request: impl Into<RequestKey>) {
        let request = request.into();
        if let Some(accepted) = self.open_request(request) {
            accepted.ended = Some(now);
            self.violated(now, ViolationKind::Lost(request));
        }
    }

    /// A request that has not ended.
    fn open_request(&mut self, request: RequestKey) -> Option<&mut AcceptedRequest> {
        let accepted = self.requests.get_mut(&request)?;
        accepted.ended.is_none().then_some(accepted)
    }

    /// The client of a request has gone: its node owes it no answer.
    pub fn client_gone(&mut self, now: Micros, request: impl Into<RequestKey>) {
        if let Some(accepted) = self.requests.get_mut(&request.into()) {
            accepted.ended.get_or_insert(now);
        }
    }

    /// A node's process is paused: it learns nothing until it resumes.
    pub fn paused(&mut self, now: Micros, node: NodeId) {
        self.paused.insert(node, now);
    }

    /// A paused node resumes: only now can it learn which clients left meanwhile.
    pub fn resumed(&mut self, now: Micros, node: NodeId) {
        let Some(since) = self.paused.remove(&node) else {
            return;
        };
        for (request, accepted) in &mut self.requests {
            let ended_meanwhile = accepted.ended.is_some_and(|ended| ended >= since);
            if request.node == node && ended_meanwhile {
                accepted.ended = Some(now);
            }
        }
    }

    /// No attempt of a request is in flight any more: it is forgotten if it has ended.
    pub fn forget(&mut self, request: impl Into<RequestKey>) {
        let request = request.into();
        let accepted = self.requests.get(&request);
        if accepted.is_some_and(|accepted| accepted.ended.is_some()) {
            self.requests.remove(&request);
        }
    }

    /// It becomes known whether a server is ready.
    pub fn readiness_known(&mut self, now: Micros, server: u32, ready: bool) {
        if ready {
            self.not_ready.remove(&server);
        } else {
            self.not_ready.entry(server).or_insert(now);
        }
    }

    /// A node is notified whether a server is ready.
    pub fn notified(&mut self, now: Micros, node: NodeId, server: u32, ready: bool) {
        let notice = Notice { node, server };
        if ready {
            self.notified.remove(&notice);
        } else {
            self.notified.entry(notice).or_insert(now);
        }
    }

    /// A node is killed: its clients must retry, and what it was notified of is forgotten.
    pub fn killed(&mut self, node: NodeId) {
        self.paused.remove(&node);
        self.requests.retain(|request, _| request.node != node);
        self.notified.retain(|notice, _| notice.node != node);
    }

    /// A server that was warming up collapsed.
    pub fn collapsed(&mut self, server: u32, collapse: Collapse) {
        if collapse.informed_share >= self.limits.informed_share {
            let kind = ViolationKind::Overloaded { server, collapse };
            self.violated(collapse.at, kind);
        }
    }

    /// The run ends: requests that should have been answered by now and were not are lost.
    pub fn finish(&mut self, now: Micros) {
        let grace = self.limits.answer_grace;
        let overdue = |accepted: &AcceptedRequest| {
            accepted.ended.is_none() && now > accepted.deadline + grace
        };
        let lost: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, accepted)| overdue(accepted))
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            self.violated(now, ViolationKind::Lost(request));
        }
    }
}
