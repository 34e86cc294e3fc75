//! The timers of the event loop, in the order in which they are due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use routing_policy::{Micros, RequestId};

use crate::lifecycle::ShutdownStep;
use crate::message::{AttemptId, ConnectionId};

/// What is due at a time. The order of the variants and of their fields decides between timers that are due at the same
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the policy, with its token.
    Policy(u32),
    /// The time of an attempt is over.
    AttemptTimeout(AttemptId),
    /// An attempt has waited long for a connection: another one is opened, if it still waits.
    ExtraConnection {
        /// The attempt.
        attempt: AttemptId,
        /// Since when it waited at the time the timer was set.
        waiting_since: Micros,
    },
    /// An attempt that still waits for a connection fails.
    ConnectTimeout {
        /// The attempt.
        attempt: AttemptId,
        /// Since when it waited at the time the timer was set.
        waiting_since: Micros,
    },
    /// The response to an abandoned attempt is overdue.
    AbandonedResponse {
        /// The connection that carried the attempt.
        connection: ConnectionId,
        /// When the attempt was sent.
        sent_at: Micros,
    },
    /// The deadline of a request.
    RequestDeadline(RequestId),
    /// Connections that have been idle for long are closed.
    SweepConnections,
    /// A step of the shutdown.
    Shutdown(ShutdownStep),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Micros,
    timer: Timer,
}

/// A queue of timers. They are not cancelled: whoever handles one checks whether it still applies.
#[derive(Default)]
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
}

impl TimerQueue {
    /// Adds a timer that is due at a time.
    pub fn schedule(&mut self, at: Micros, timer: Timer) {
        self.heap.push(Reverse(ScheduledTimer { at, timer }));
    }

    /// When the next timer is due.
    pub fn next_due_at(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(next)| next.at)
    }

    /// Takes the next timer, if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(due)| due.timer)
    }
}
