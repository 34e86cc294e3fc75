//! The policy's timers, multiplexed onto a single timer of the router.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::AttemptId;
use crate::interface::{Action, Micros, RequestId};

/// The purpose of a timer. Timers due at the same time fire in the order of this type.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request has reached its latency objective or its deadline.
    RequestDue(RequestId),
    /// A request's deferred call is due to be tried again.
    Deferred(Deferral),
    /// An attempt may have become slow.
    AttemptSlow(AttemptId),
    /// A call to discovery is due.
    Subscribe,
    /// The periodic review is due.
    Review,
}

/// One deferral of a request's call to the origin.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Deferral {
    /// The request.
    pub(crate) request: RequestId,
    /// Its position among the deferrals of the request, from 1. The timer of an earlier deferral has no effect.
    pub(crate) sequence_number: u32,
}

/// Obsolete timers are removed when there are at least this many timers.
const MIN_TIMERS_FOR_REMOVAL: usize = 1024;

/// A priority queue of timers by due time. Timers are not cancelled when their subject ends: they are removed when they
/// may be half of the queue.
pub(crate) struct TimerQueue {
    queue: BinaryHeap<Reverse<(Micros, Timer)>>,
    armed: Option<Micros>,
    /// Obsolete timers are removed once the queue has this length.
    remove_at: usize,
}

impl Default for TimerQueue {
    fn default() -> Self {
        TimerQueue {
            queue: BinaryHeap::new(),
            armed: None,
            remove_at: MIN_TIMERS_FOR_REMOVAL,
        }
    }
}

impl TimerQueue {
    /// Adds a timer that is due at `time`.
    pub(crate) fn set(&mut self, time: Micros, timer: Timer) {
        self.queue.push(Reverse((time, timer)));
    }

    /// The number of timers.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Removes the timers that are not needed, if the queue has doubled since they were last removed. Each timer is
    /// therefore looked at a constant number of times on average.
    pub(crate) fn remove_obsolete(&mut self, is_needed: impl Fn(&Timer) -> bool) {
        if self.queue.len() < self.remove_at {
            return;
        }
        self.queue.retain(|Reverse((_, timer))| is_needed(timer));
        self.remove_at = (2 * self.queue.len()).max(MIN_TIMERS_FOR_REMOVAL);
        self.queue.shrink_to(self.remove_at);
    }

    /// Records that the router's timer has fired.
    pub(crate) fn router_timer_fired(&mut self) {
        self.armed = None;
    }

    /// Removes and returns the next timer that is due. If none is due, makes sure that the router's timer is
    /// set for the earliest pending one.
    pub(crate) fn pop_due_or_arm(
        &mut self,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Option<Timer> {
        let &Reverse((time, timer)) = self.queue.peek()?;
        if time <= now {
            self.queue.pop();
            return Some(timer);
        }
        if self.armed.is_none_or(|armed| time < armed) {
            self.armed = Some(time);
            actions.push(Action::Timer {
                after: time - now,
                token: 0,
            });
        }
        None
    }
}
