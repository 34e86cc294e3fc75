//! State of the requests and attempts in flight.

use super::Deferral;
use crate::interface::{AttemptStatus, Key, Micros, Request, RequestId, ServerId};

/// A request that has not had its final answer.
#[derive(Default)]
pub(crate) struct InFlightRequest {
    /// Index of its class in the settings.
    pub(crate) class: usize,
    /// Its key, 0 for none.
    pub(crate) key: Key,
    /// Whether it is a write, which goes directly to the origin.
    pub(crate) is_write: bool,
    /// Whether a cache server has reported a miss.
    pub(crate) has_missed: bool,
    /// Index of the tenant whose quota was charged for it.
    pub(crate) charged_tenant: Option<usize>,
    /// The time until which an answer still has value: its latency objective, or its deadline if late
    /// answers count.
    pub(crate) answer_useful_until: Micros,
    /// The time by which its final answer is due.
    pub(crate) deadline_at: Micros,
    /// Number of attempts sent.
    pub(crate) attempts_sent: u16,
    /// Number of attempts in flight.
    pub(crate) attempts_in_flight: u16,
    /// Cache servers that must not be tried again.
    pub(crate) excluded_servers: Vec<ServerId>,
    /// Sequence number of its latest deferral, 0 for none.
    pub(crate) latest_deferral: u32,
    /// Attempts that are running or may have run, oldest first.
    pub(crate) possible_executions: Vec<PossibleExecution>,
}

/// An attempt that is running or may have run.
pub(crate) struct PossibleExecution {
    number: u16,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// The server that it was sent to.
    pub(crate) server: ServerId,
}

impl InFlightRequest {
    /// Creates the record of a request that has arrived. The caller sets its times.
    pub(crate) fn new(request: &Request) -> Self {
        InFlightRequest {
            class: request.class,
            key: request.key,
            is_write: request.write,
            ..InFlightRequest::default()
        }
    }

    /// Records that an attempt is sent, and returns its number.
    pub(crate) fn begin_attempt(&mut self, server: ServerId, now: Micros) -> u16 {
        let number = self.attempts_sent;
        self.attempts_sent += 1;
        self.attempts_in_flight += 1;
        self.possible_executions.push(PossibleExecution {
            number,
            sent_at: now,
            server,
        });
        number
    }

    /// Records the outcome of an attempt.
    pub(crate) fn end_attempt(&mut self, number: u16, status: AttemptStatus) {
        self.attempts_in_flight -= 1;
        if status.proves_not_run() {
            self.possible_executions
                .retain(|execution| execution.number != number);
        }
        self.has_missed |= status == AttemptStatus::Miss;
    }

    /// The kind of attempt that this request makes at the origin.
    pub(crate) fn origin_attempt_kind(&self) -> AttemptKind {
        if self.is_write {
            AttemptKind::OriginWrite
        } else {
            AttemptKind::OriginFetch
        }
    }

    /// Starts a new deferral, which replaces earlier ones.
    pub(crate) fn next_deferral(&mut self, id: RequestId) -> Deferral {
        self.latest_deferral += 1;
        Deferral {
            request: id,
            sequence_number: self.latest_deferral,
        }
    }
}

/// Identifies an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Its request.
    pub(crate) request: RequestId,
    /// Its number within the request, from 0.
    pub(crate) number: u16,
}

impl AttemptId {
    /// Creates the ID of one attempt of a request.
    pub(crate) fn new(request: RequestId, number: u16) -> Self {
        AttemptId { request, number }
    }
}

/// The kind of operation that an attempt performs.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptKind {
    /// A read from a cache server.
    CacheRead,
    /// A read from the origin after a cache miss.
    OriginFetch,
    /// A write to the origin.
    OriginWrite,
}

/// An attempt in flight. It may outlive its request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// The server that it was sent to.
    pub(crate) server: ServerId,
    /// The kind of operation.
    pub(crate) kind: AttemptKind,
    /// When it was sent or, if it had to wait for a connection, when it was written.
    pub(crate) sent_at: Micros,
    /// The latency objective of the request's class.
    pub(crate) objective: Micros,
    /// The attempt counts as slow once it has been in flight for this long.
    pub(crate) slow_after: Micros,
    /// Whether it is waiting for a connection. That wait says nothing about the load of its server.
    pub(crate) connecting: bool,
}

impl Attempt {
    /// Creates an attempt that is sent at `now`.
    pub(crate) fn new(
        server: ServerId,
        kind: AttemptKind,
        now: Micros,
        objective: Micros,
        slow_after: Micros,
    ) -> Self {
        Attempt {
            server,
            kind,
            sent_at: now,
            objective,
            slow_after,
            connecting: false,
        }
    }

    /// Whether this is a read from a cache server.
    pub(crate) fn is_cache_read(&self) -> bool {
        self.kind == AttemptKind::CacheRead
    }

    /// Time since the attempt was sent.
    pub(crate) fn elapsed(&self, now: Micros) -> Micros {
        now - self.sent_at
    }
}
