//! Records of the requests and attempts in flight.

use super::Deferral;
use crate::interface::{AttemptStatus, Key, Micros, Request, RequestId, ServerId};

/// A request that is owed a final answer.
#[derive(Default)]
pub(crate) struct InFlightRequest {
    /// Position of its class in the settings.
    pub(crate) class: usize,
    /// Its key, 0 for none.
    pub(crate) key: Key,
    /// Whether it goes to the origin at once.
    pub(crate) is_write: bool,
    /// Whether a cache server has answered that it holds nothing.
    pub(crate) missed: bool,
    /// The tenant whose quota was charged for it.
    pub(crate) charged_tenant: Option<usize>,
    /// Until when an answer earns anything: its objective, or its deadline where late answers count.
    pub(crate) useful_until: Micros,
    /// When its final answer is due.
    pub(crate) deadline_at: Micros,
    /// Attempts made.
    pub(crate) attempts_sent: u16,
    /// Attempts without outcome.
    pub(crate) attempts_in_flight: u16,
    /// Cache servers not to be tried again.
    pub(crate) excluded_servers: Vec<ServerId>,
    /// Number of its latest deferral.
    pub(crate) deferral: u32,
    /// Attempts that run or may have run, oldest first.
    pub(crate) possibly_executed: Vec<PossibleExecution>,
}

/// An attempt that runs or may have run.
pub(crate) struct PossibleExecution {
    number: u16,
    /// When it was sent.
    pub(crate) sent_at: Micros,
    /// Where it was sent.
    pub(crate) server: ServerId,
}

impl InFlightRequest {
    /// A request as it arrives; its times are still to be set.
    pub(crate) fn new(arrived: &Request) -> Self {
        InFlightRequest {
            class: arrived.class,
            key: arrived.key,
            is_write: arrived.write,
            ..InFlightRequest::default()
        }
    }

    /// Notes that an attempt is sent, and returns its number.
    pub(crate) fn begin_attempt(&mut self, server: ServerId, now: Micros) -> u16 {
        let number = self.attempts_sent;
        self.attempts_sent += 1;
        self.attempts_in_flight += 1;
        self.possibly_executed.push(PossibleExecution {
            number,
            sent_at: now,
            server,
        });
        number
    }

    /// Notes the outcome of an attempt.
    pub(crate) fn end_attempt(&mut self, number: u16, status: AttemptStatus) {
        self.attempts_in_flight -= 1;
        if status.proves_not_run() {
            self.possibly_executed
                .retain(|execution| execution.number != number);
        }
        self.missed |= status == AttemptStatus::Miss;
    }

    /// The call that it makes at the origin.
    pub(crate) fn origin_call(&self) -> CallKind {
        if self.is_write {
            CallKind::OriginWrite
        } else {
            CallKind::OriginFetch
        }
    }

    /// Begins a new deferral.
    pub(crate) fn next_deferral(&mut self, id: RequestId) -> Deferral {
        self.deferral += 1;
        Deferral {
            request: id,
            number: self.deferral,
        }
    }
}

/// Names an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Its request.
    pub(crate) request: RequestId,
    /// Its number within the request, from 0.
    pub(crate) number: u16,
}

impl AttemptId {
    /// The name of a request's attempt.
    pub(crate) fn new(request: RequestId, number: u16) -> Self {
        AttemptId { request, number }
    }
}

/// What an attempt is for.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum CallKind {
    /// A read at a cache server.
    CacheRead,
    /// A read at the origin after a miss.
    OriginFetch,
    /// A write at the origin.
    OriginWrite,
}

/// An attempt without outcome; it may outlive its request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// Where it was sent.
    pub(crate) server: ServerId,
    /// What it is for.
    pub(crate) call: CallKind,
    /// When it was sent, or written where it had to wait for a connection.
    pub(crate) sent_at: Micros,
    /// The latency objective of its class.
    pub(crate) objective: Micros,
    /// It is slow once it has been in flight for this long.
    pub(crate) slow_after: Micros,
    /// It waits for a connection, which tells nothing of its server's load.
    pub(crate) connecting: bool,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn new(
        server: ServerId,
        call: CallKind,
        now: Micros,
        objective: Micros,
        slow_after: Micros,
    ) -> Self {
        Attempt {
            server,
            call,
            sent_at: now,
            objective,
            slow_after,
            connecting: false,
        }
    }

    /// Whether it is a read at a cache server.
    pub(crate) fn is_cache_read(&self) -> bool {
        self.call == CallKind::CacheRead
    }

    /// Time since it was sent.
    pub(crate) fn elapsed(&self, now: Micros) -> Micros {
        now - self.sent_at
    }
}
