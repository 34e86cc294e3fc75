//! Attempts: the calls that nodes send to cache servers and to the origin for a request, and the replies to them.

use cluster_model::endpoint_list::NodeId;
use cluster_model::machine::JobId;
use cluster_model::network::Delivery;
use cluster_model::origin::{Admission as OriginAdmission, Response as OriginResponse};
use cluster_model::server::{Admission, Lookup, Response};
use cluster_model::{CompletedJob, Micros};
use tokio::sync::oneshot;

use super::{ClusterState, CountedEvent, CountedKind, RequestId, ServerNumber};
use crate::clients::log_normal_factor;
use crate::deployment::{self, ORIGIN_WORK_DEVIATION};
use crate::micros;

/// The origin's server number in the invariants.
const ORIGIN_NUMBER: ServerNumber = 0;
/// Maximum number of cache servers that store a fetched value: the first ones that missed.
const MAX_STORING_SERVERS: usize = 2;

/// The reply of a cache server or the origin to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptReply {
    /// The value.
    Value,
    /// The server does not hold the key.
    Miss,
    /// The attempt was rejected without being processed.
    Busy,
    /// The origin failed, and the attempt may have run.
    Failed,
    /// The process has died, or the connection was reset.
    ConnectionReset,
    /// No reply is sent, and the connection stays open.
    Nothing,
    /// Invalid bytes are sent in place of a reply.
    Corrupt,
}

impl From<OriginResponse> for AttemptReply {
    fn from(response: OriginResponse) -> AttemptReply {
        match response {
            OriginResponse::Done => AttemptReply::Value,
            OriginResponse::Failed => AttemptReply::Failed,
            OriginResponse::Unprocessed => AttemptReply::Busy,
            OriginResponse::Refused => AttemptReply::ConnectionReset,
        }
    }
}

/// An attempt as a cache server or the origin receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedAttempt {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The remaining deadline that the node states, in microseconds.
    pub remaining: Option<Micros>,
}

/// An attempt that has no reply yet.
pub struct PendingAttempt {
    /// Identifies the attempt for [`ClusterState::cancel_attempt`].
    pub job: JobId,
    /// Receives the reply.
    pub reply: oneshot::Receiver<AttemptReply>,
}

/// An attempt that a cache server or the origin is processing.
pub(super) struct Job {
    /// `None` for the origin.
    server: Option<ServerNumber>,
    request: RequestId,
    attempt: u16,
    reply: oneshot::Sender<AttemptReply>,
}

/// An attempt, identified by its node and its number within the request.
struct SentAttempt {
    node: NodeId,
    attempt: u16,
}

impl ClusterState {
    /// Handles an attempt that arrives at a cache server. Returns `None` if the request is unknown.
    pub fn attempt_at_server(
        &mut self,
        now: Micros,
        number: ServerNumber,
        received: ReceivedAttempt,
    ) -> Option<PendingAttempt> {
        let SentAttempt { node, attempt } = self.record_sent(now, received, number)?;
        let request = received.request;
        let open = self.requests.get(&request)?;
        let (key, work, intended_at) = (open.key, open.work, open.intended_at);
        self.count(intended_at, CountedKind::Attempt);
        *self.attempts_by_server.entry(number).or_default() += 1;
        let started = self.servers.get(&number)?.cache.started();
        let sender_knows_start = self.knows_start(now, node, number, started);
        let pending = self.add_job(Some(number), request, attempt);
        let lookup = Lookup {
            key,
            work,
            sender_knows_start,
        };
        let cache = &mut self.servers.get_mut(&number)?.cache;
        match cache.submit(now, pending.job, lookup) {
            Admission::Accepted => {}
            Admission::Answered(Response::Refused) => {
                self.complete(now, pending.job, AttemptReply::ConnectionReset);
            }
            Admission::Answered(_) => {
                self.count(intended_at, CountedKind::Rejected);
                self.complete(now, pending.job, AttemptReply::Busy);
            }
            Admission::Collapsed(mut lost) => {
                lost.push(pending.job);
                self.server_collapsed(now, number, lost);
            }
        }
        Some(pending)
    }

    /// Handles an attempt that arrives at the origin. Returns `None` if the request is unknown.
    pub fn attempt_at_origin(
        &mut self,
        now: Micros,
        received: ReceivedAttempt,
    ) -> Option<PendingAttempt> {
        let SentAttempt { attempt, .. } = self.record_sent(now, received, ORIGIN_NUMBER)?;
        let request = received.request;
        let intended_at = self.requests.get(&request)?.intended_at;
        self.count(intended_at, CountedKind::OriginCall);
        let mean_work = micros(self.scenario.origin.work) as f64;
        let work = mean_work * log_normal_factor(ORIGIN_WORK_DEVIATION, &mut self.work_random);
        let pending = self.add_job(None, request, attempt);
        let taken = self
            .origin
            .submit(now, pending.job, work, &mut self.work_random);
        match taken {
            OriginAdmission::Accepted => {}
            OriginAdmission::Answered(answer) => self.complete(now, pending.job, answer.into()),
            OriginAdmission::Collapsed(mut lost) => {
                lost.push(pending.job);
                self.reset_all(now, lost);
            }
        }
        Some(pending)
    }

    /// Handles the end of an attempt's connection before its reply. The origin processes its attempts to the end
    /// regardless.
    pub fn cancel_attempt(&mut self, now: Micros, job: JobId) {
        let server = self.jobs.get(&job).and_then(|job| job.server);
        let Some(server) = server.and_then(|number| self.servers.get_mut(&number)) else {
            return;
        };
        if !server.cache.cancel(now, job) {
            return;
        }
        if let Some(dropped) = self.jobs.remove(&job) {
            self.attempt_ended(now, dropped.request, dropped.attempt, true);
        }
    }

    pub(super) fn run_due_at_server(&mut self, now: Micros, number: ServerNumber) {
        let Some(server) = self.servers.get_mut(&number) else {
            return;
        };
        if server.cache.next_event_at().is_none_or(|due| due > now) {
            return;
        }
        for CompletedJob { job, response } in server.cache.take_completed(now) {
            let reply = match response {
                Response::Hit => AttemptReply::Value,
                _ => AttemptReply::Miss,
            };
            self.complete(now, job, reply);
        }
    }

    pub(super) fn run_due_at_origin(&mut self, now: Micros) {
        if self.origin.next_event_at().is_none_or(|due| due > now) {
            return;
        }
        for CompletedJob { job, response } in self.origin.take_completed(now) {
            self.complete(now, job, response.into());
        }
    }

    /// Resets the connections of these attempts.
    pub(super) fn reset_all(&mut self, now: Micros, jobs: Vec<JobId>) {
        for job in jobs {
            self.complete(now, job, AttemptReply::ConnectionReset);
        }
    }

    fn count(&mut self, intended_at: Micros, kind: CountedKind) {
        self.events.counted.push(CountedEvent { intended_at, kind });
    }

    /// Handles the collapse of an overloaded cache server: its attempts in flight are lost.
    fn server_collapsed(&mut self, now: Micros, number: ServerNumber, lost: Vec<JobId>) {
        let collapse = self
            .servers
            .get(&number)
            .and_then(|server| server.cache.collapse());
        if let Some(collapse) = collapse {
            self.invariants.server_collapsed(number, collapse);
        }
        self.reset_all(now, lost);
        self.events.collapsed.push(number);
    }

    /// Numbers an attempt, and reports to the invariants when it was sent and which remaining deadline it states.
    fn record_sent(
        &mut self,
        now: Micros,
        received: ReceivedAttempt,
        server: ServerNumber,
    ) -> Option<SentAttempt> {
        let request = received.request;
        let open = self.requests.get_mut(&request)?;
        let (node, attempt) = (open.node, open.attempts);
        open.attempts += 1;
        open.attempts_in_flight += 1;
        let begun_at = open.begun_at;
        let node_zone = deployment::zone(&self.scenario, node);
        let server_zone = self
            .servers
            .get(&server)
            .map_or(node_zone, |server| server.placement.zone);
        let network = &self.scenario.network;
        // The attempt was sent earlier than it arrived, by the network delay.
        let sent_at = if node_zone == server_zone {
            now - micros(network.same_zone)
        } else {
            let sent_at = now - micros(network.cross_zone);
            self.isolations
                .earliest_send(now, [node_zone, server_zone], sent_at, begun_at)
        };
        self.invariants
            .sent(sent_at, (node, request), attempt, server);
        if let Some(remaining) = received.remaining {
            let unread_time = self.suspensions.unread_time(now, node, begun_at);
            // This also holds if the whole deadline passed while the request was unread.
            let apparent_sent_at = sent_at.saturating_sub(unread_time);
            self.invariants
                .attempt_stated_deadline(apparent_sent_at, (node, request), remaining);
        }
        Some(SentAttempt { node, attempt })
    }

    fn add_job(
        &mut self,
        server: Option<ServerNumber>,
        request: RequestId,
        attempt: u16,
    ) -> PendingAttempt {
        let (sender, reply) = oneshot::channel();
        self.last_job += 1;
        let job = Job {
            server,
            request,
            attempt,
            reply: sender,
        };
        self.jobs.insert(self.last_job, job);
        PendingAttempt {
            job: self.last_job,
            reply,
        }
    }

    /// Sends the reply to an attempt. An injected network fault may damage or drop it.
    fn complete(&mut self, now: Micros, job: JobId, reply: AttemptReply) {
        let Some(job) = self.jobs.remove(&job) else {
            return;
        };
        if reply == AttemptReply::Value && job.server.is_none() {
            self.origin_answered(now, job.request);
        }
        if reply == AttemptReply::Miss
            && let Some(server) = job.server
            && let Some(open) = self.requests.get_mut(&job.request)
        {
            open.missed_at.push(server);
        }
        let delivered = match self.network.draw_delivery(&mut self.work_random) {
            Delivery::Complete => reply,
            Delivery::Lost => AttemptReply::Nothing,
            Delivery::Corrupted => AttemptReply::Corrupt,
            Delivery::Reset => AttemptReply::ConnectionReset,
        };
        // The connection that waits for the reply may have ended.
        let _ = job.reply.send(delivered);
        let never_ran = matches!(delivered, AttemptReply::Miss | AttemptReply::Busy);
        self.attempt_ended(now, job.request, job.attempt, never_ran);
    }

    fn attempt_ended(&mut self, now: Micros, request: RequestId, attempt: u16, never_ran: bool) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.attempts_in_flight -= 1;
        if never_ran {
            self.invariants.never_ran((open.node, request), attempt);
        }
        self.forget_if_expired(now, request);
    }

    /// Applies the effect of an origin response on the caches. A value that was read is stored at servers that missed
    /// it; a write removes the key from all servers.
    fn origin_answered(&mut self, now: Micros, request: RequestId) {
        let Some(open) = self.requests.get(&request) else {
            return;
        };
        if self.scenario.classes[open.class].write {
            for server in self.servers.values_mut() {
                server.cache.memory().remove(open.key);
            }
            return;
        }
        let value_bytes = self.scenario.load.value_bytes;
        for number in open.missed_at.iter().take(MAX_STORING_SERVERS) {
            let server = self.servers.get_mut(number);
            if let Some(server) = server.filter(|server| server.cache.is_running()) {
                server.cache.memory().store(now, open.key, value_bytes);
            }
        }
    }
}
