//! Attempts in flight: from a node over the network to a cache server or the origin, and back with an outcome.

use std::collections::BTreeMap;

use cluster_model::Micros;
use cluster_model::endpoint_list::NodeId;
use cluster_model::machine::JobId;
use cluster_model::network::{Delivery, Zone};
use cluster_model::origin::Admission as OriginAdmission;
use cluster_model::server::{Admission, Lookup, Response};
use routing_policy::{AttemptStatus, Event as PolicyEvent, RequestId, ServerId};

use super::nodes::DeferredOutcome;
use super::servers::{ORIGIN, origin_status};
use super::{Defect, Event, Simulation};
use crate::clients::{Reply, log_normal_factor};
use crate::deployment::{self, MAX_ATTEMPTS, ORIGIN_WORK_DEVIATION};
use crate::micros;

/// An event of an attempt, which is identified by its job.
#[derive(Debug, Clone, Copy)]
pub(super) enum AttemptEvent {
    /// The attempt reaches its server.
    ReachesServer { job: JobId },
    /// The outcome of the attempt reaches its node.
    Outcome { job: JobId, status: AttemptStatus },
    /// The node stops waiting for the attempt at the request's deadline.
    TimesOut { job: JobId },
}

/// Identifies an attempt by its node, its request and its number within the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    node: NodeId,
    request: RequestId,
    attempt: u16,
}

impl AttemptKey {
    /// The smallest key of a node.
    fn first_of(node: NodeId) -> AttemptKey {
        AttemptKey {
            node,
            request: 0,
            attempt: 0,
        }
    }
}

/// An attempt without an outcome so far, whether it is on the network or at its server.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlightAttempt {
    key: AttemptKey,
    pub(super) server: ServerId,
    /// Id of the client whose request the attempt serves.
    pub(super) client: u64,
}

impl InFlightAttempt {
    pub(super) fn node(&self) -> NodeId {
        self.key.node
    }

    pub(super) fn request(&self) -> RequestId {
        self.key.request
    }
}

/// The attempts in flight, by job and by key.
#[derive(Default)]
pub(super) struct InFlightAttempts {
    attempts: BTreeMap<JobId, InFlightAttempt>,
    jobs: BTreeMap<AttemptKey, JobId>,
    next_job: JobId,
}

impl InFlightAttempts {
    fn insert(&mut self, attempt: InFlightAttempt) -> JobId {
        let job = self.next_job;
        self.next_job += 1;
        self.attempts.insert(job, attempt);
        self.jobs.insert(attempt.key, job);
        job
    }

    pub(super) fn get(&self, job: JobId) -> Option<InFlightAttempt> {
        self.attempts.get(&job).copied()
    }

    pub(super) fn remove(&mut self, job: JobId) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(&job)?;
        self.jobs.remove(&attempt.key);
        Some(attempt)
    }

    fn find(&self, key: AttemptKey) -> Option<JobId> {
        self.jobs.get(&key).copied()
    }

    /// The jobs of the attempts that a node has in flight.
    pub(super) fn of_node(&self, node: NodeId) -> Vec<JobId> {
        let keys = AttemptKey::first_of(node)..AttemptKey::first_of(node + 1);
        self.jobs.range(keys).map(|(_, job)| *job).collect()
    }
}

impl Simulation<'_> {
    pub(super) fn handle_attempt_event(&mut self, event: AttemptEvent) {
        match event {
            AttemptEvent::ReachesServer { job } => self.handle_attempt_arrival(job),
            AttemptEvent::Outcome { job, status } => self.receive_outcome(job, status),
            AttemptEvent::TimesOut { job } => self.handle_attempt_timeout(job),
        }
    }

    /// Sends an attempt as a node's policy has decided.
    pub(super) fn send_attempt(&mut self, node: NodeId, request: RequestId, server: ServerId) {
        let Some(open) = self.nodes[node].open.get_mut(&request) else {
            let request = (node, request);
            return self.invariants.sent_untracked_request(self.now, request);
        };
        let attempt = open.attempts_sent;
        let client = open.client;
        let deadline = open.deadline;
        let complete = open.complete;
        let may_send = !complete && u32::from(attempt) < MAX_ATTEMPTS && self.now < deadline;
        open.attempts_sent += 1;
        open.in_flight += 1;
        let key = AttemptKey {
            node,
            request,
            attempt,
        };
        let job = self.attempts.insert(InFlightAttempt {
            key,
            server,
            client,
        });
        if may_send || complete {
            // The node does not send attempts of a complete request, but a policy that decides so violates the
            // invariant.
            self.invariants
                .sent(self.now, (node, request), attempt, server);
        }
        if !may_send {
            return self.schedule_outcome(self.now, job, AttemptStatus::NotSent);
        }
        self.count_attempt(client, server);
        self.transmit(job, node, server);
        self.record_sent_deadline(node, request, server);
        self.schedule(deadline, Event::Attempt(AttemptEvent::TimesOut { job }));
    }

    fn transmit(&mut self, job: JobId, node: NodeId, server: ServerId) {
        let zone = self.nodes[node].zone();
        let server_zone = self.zone_of(server, zone);
        let random = &mut self.random.network;
        if let Some(delay) = self.network.transit_time(zone, server_zone, random) {
            let arrival = AttemptEvent::ReachesServer { job };
            self.schedule(self.now + delay, Event::Attempt(arrival));
        }
    }

    /// Records for the invariants the remaining time that an attempt, sent now, states to its cache server.
    fn record_sent_deadline(&mut self, node: NodeId, request: RequestId, server: ServerId) {
        let Some(open) = self.nodes[node].open.get(&request) else {
            return;
        };
        if server == ORIGIN {
            return;
        }
        let remaining = if self.has_defect(Defect::SendsOriginalDeadline) {
            open.initial_remaining
        } else {
            open.deadline.saturating_sub(self.now)
        };
        self.invariants
            .attempt_stated_deadline(self.now, (node, request), remaining);
    }

    fn count_attempt(&mut self, client: u64, server: ServerId) {
        if server == ORIGIN {
            return self.count(client, |counts| counts.origin_calls += 1);
        }
        *self.attempts_by_server.entry(server).or_default() += 1;
        self.count(client, |counts| counts.attempts += 1);
    }

    /// The zone of a server. The origin is in every zone, so its zone is that of the node.
    fn zone_of(&self, server: ServerId, node_zone: Zone) -> Zone {
        self.servers
            .get(&server)
            .map_or(node_zone, |server| server.zone)
    }

    fn handle_attempt_arrival(&mut self, job: JobId) {
        let Some(attempt) = self.attempts.get(job) else {
            return;
        };
        // Once the client has gone, the work is not known any more. The node cancels the attempt or lets it time out.
        let Some(client) = self.clients.get(attempt.client) else {
            return;
        };
        if attempt.server == ORIGIN {
            return self.submit_to_origin(job);
        }
        let lookup = Lookup {
            key: client.key,
            work: client.work,
            sender_knows_start: self.knows_start(attempt.node(), attempt.server),
        };
        self.submit_to_cache_server(job, attempt, lookup);
    }

    /// Whether a node has been notified of a server's latest start, or should have been by now.
    fn knows_start(&self, node: NodeId, server: ServerId) -> bool {
        let started = self
            .servers
            .get(&server)
            .map_or(0, |server| server.cache.started());
        let notified = self.nodes[node]
            .endpoints
            .get(&server)
            .is_some_and(|record| record.started >= started);
        notified || self.invariants.start_counts_as_notified(self.now, server)
    }

    fn submit_to_origin(&mut self, job: JobId) {
        let random = &mut self.random.work;
        let mean_work = micros(self.scenario.origin.work) as f64;
        let work = mean_work * log_normal_factor(ORIGIN_WORK_DEVIATION, random);
        let admission = self.origin.submit(self.now, job, work, random);
        self.schedule_origin();
        match admission {
            OriginAdmission::Accepted => {}
            OriginAdmission::Answered(response) => {
                self.send_outcome(job, origin_status(response));
            }
            OriginAdmission::Collapsed(lost) => self.reset_attempts(lost, job),
        }
    }

    fn submit_to_cache_server(&mut self, job: JobId, attempt: InFlightAttempt, lookup: Lookup) {
        let Some(server) = self.servers.get_mut(&attempt.server) else {
            return self.send_outcome(job, AttemptStatus::ConnectFailed);
        };
        match server.cache.submit(self.now, job, lookup) {
            Admission::Accepted => {}
            Admission::Answered(Response::Refused) => {
                self.send_outcome(job, AttemptStatus::ConnectFailed);
            }
            Admission::Answered(_) => {
                self.count(attempt.client, |counts| counts.rejected_attempts += 1);
                self.send_outcome(job, AttemptStatus::Rejected);
            }
            Admission::Collapsed(lost) => {
                if let Some(collapse) = server.cache.collapse() {
                    self.invariants.server_collapsed(attempt.server, collapse);
                }
                self.reset_attempts(lost, job);
                self.report_server_removed(attempt.server);
            }
        }
        self.schedule_cache_server(attempt.server);
    }

    /// Resets the connections of the lost attempts and of the attempt that has just arrived.
    fn reset_attempts(&mut self, lost: Vec<JobId>, arrived: JobId) {
        for job in lost.into_iter().chain([arrived]) {
            self.send_outcome(job, AttemptStatus::Reset);
        }
    }

    /// Sends a server's answer to the node. The network may lose or damage it.
    pub(super) fn send_outcome(&mut self, job: JobId, status: AttemptStatus) {
        let Some(attempt) = self.attempts.get(job) else {
            return;
        };
        let zone = self.nodes[attempt.node()].zone();
        let server_zone = self.zone_of(attempt.server, zone);
        let random = &mut self.random.network;
        let delivery = self.network.draw_delivery(random);
        let Some(delay) = self.network.transit_time(server_zone, zone, random) else {
            return;
        };
        let received = match delivery {
            Delivery::Lost => return,
            Delivery::Complete => status,
            // A node closes a connection on which it receives malformed bytes. Its policy sees a reset in both cases.
            Delivery::Corrupted | Delivery::Reset => AttemptStatus::Reset,
        };
        self.schedule_outcome(self.now + delay, job, received);
    }

    fn schedule_outcome(&mut self, at: Micros, job: JobId, status: AttemptStatus) {
        let outcome = AttemptEvent::Outcome { job, status };
        self.schedule(at, Event::Attempt(outcome));
    }

    /// Passes an attempt's outcome to its node. It is deferred while the node is paused.
    pub(super) fn receive_outcome(&mut self, job: JobId, status: AttemptStatus) {
        let node = self.attempts.get(job).map(|attempt| attempt.node());
        if let Some(node) = node.filter(|node| self.nodes[*node].is_paused()) {
            let outcome = DeferredOutcome { job, status };
            return self.nodes[node].defer_outcome(outcome);
        }
        self.handle_outcome(job, status);
    }

    fn handle_outcome(&mut self, job: JobId, status: AttemptStatus) {
        let Some(InFlightAttempt { key, server, .. }) = self.attempts.remove(job) else {
            return;
        };
        let AttemptKey {
            node,
            request,
            attempt,
        } = key;
        if status.proves_not_run() {
            self.invariants.never_ran((node, request), attempt);
        }
        let Some(open) = self.nodes[node].open.get_mut(&request) else {
            return;
        };
        open.in_flight -= 1;
        if status == AttemptStatus::Miss {
            open.missed.push(server);
        }
        let complete = open.complete || status == AttemptStatus::Served;
        if status == AttemptStatus::Served {
            self.answer(node, request, Reply::Served);
        }
        let outcome = deployment::attempt_outcome(request, attempt, server, status, complete);
        self.notify_policy(node, PolicyEvent::AttemptOutcome(outcome));
        self.forget_if_finished(node, request);
    }

    fn handle_attempt_timeout(&mut self, job: JobId) {
        if self.attempts.get(job).is_some() {
            self.cancel_at_server(job);
            self.receive_outcome(job, AttemptStatus::TimedOut);
        }
    }

    /// Cancels an attempt as a node's policy has decided.
    pub(super) fn cancel_attempt(&mut self, node: NodeId, request: RequestId, attempt: u16) {
        let key = AttemptKey {
            node,
            request,
            attempt,
        };
        if let Some(job) = self.attempts.find(key) {
            self.cancel_at_server(job);
            // The policy is notified by a separate event, after the one that it is handling.
            self.schedule_outcome(self.now, job, AttemptStatus::Cancelled);
        }
    }

    /// Cancels an attempt at its cache server; the origin does not notice.
    pub(super) fn cancel_at_server(&mut self, job: JobId) {
        let Some(attempt) = self.attempts.get(job) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.cache.cancel(self.now, job);
            self.schedule_cache_server(attempt.server);
        }
    }
}
