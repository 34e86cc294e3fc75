//! The timers of the event loop, in the order in which they are due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use routing_policy::{Micros, RequestId};

use crate::lifecycle::ShutdownStep;
use crate::message::{AttemptId, ConnectionId};

/// A timer of the event loop. The order of the variants and of their fields decides between timers that are due at the
/// same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer of the policy, with its token.
    Policy(u32),
    /// An attempt has reached its timeout.
    AttemptTimeout(AttemptId),
    /// An attempt has waited for a long time for a connection: if it still waits, another connection is opened.
    ExtraConnection {
        /// The attempt.
        attempt: AttemptId,
        /// When its wait began, as known when the timer was set.
        waiting_since: Micros,
    },
    /// An attempt that still waits for a connection fails.
    ConnectTimeout {
        /// The attempt.
        attempt: AttemptId,
        /// When its wait began, as known when the timer was set.
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
    /// Closes connections that have been idle for too long.
    SweepConnections,
    /// A step of the shutdown.
    Shutdown(ShutdownStep),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Micros,
    timer: Timer,
}

/// Obsolete timers are removed when there are at least this many timers.
const MIN_TIMERS_FOR_REMOVAL: usize = 1024;

/// A queue of timers. Timers are not cancelled: the code that handles one checks whether it still applies. Those that
/// do not are removed when they may be half of the queue.
pub struct TimerQueue {
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Obsolete timers are removed once the queue has this length.
    remove_at: usize,
}

impl Default for TimerQueue {
    fn default() -> Self {
        TimerQueue {
            heap: BinaryHeap::new(),
            remove_at: MIN_TIMERS_FOR_REMOVAL,
        }
    }
}

impl TimerQueue {
    /// Adds a timer that is due at a time.
    pub fn schedule(&mut self, at: Micros, timer: Timer) {
        self.heap.push(Reverse(ScheduledTimer { at, timer }));
    }

    /// The number of timers.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether there is no timer.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Removes the timers that are not needed, if the queue has doubled since they were last removed. Each timer is
    /// therefore looked at a constant number of times on average.
    pub fn remove_obsolete(&mut self, is_needed: impl Fn(&Timer) -> bool) {
        if self.heap.len() < self.remove_at {
            return;
        }
        self.heap
            .retain(|Reverse(scheduled)| is_needed(&scheduled.timer));
        self.remove_at = (2 * self.heap.len()).max(MIN_TIMERS_FOR_REMOVAL);
        self.heap.shrink_to(self.remove_at);
    }

    /// Returns when the next timer is due.
    pub fn next_due_at(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(next)| next.at)
    }

    /// Removes and returns the next timer, if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(due)| due.timer)
    }
}
