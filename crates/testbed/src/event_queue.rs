//! A queue of future events, ordered by time. Events at the same time are returned in the order in which they were
//! scheduled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cluster_model::Micros;

struct Entry<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> Entry<E> {
    fn order(&self) -> (Micros, u64) {
        (self.at, self.sequence)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.order().cmp(&other.order())
    }
}

/// A queue of future events.
pub(crate) struct EventQueue<E> {
    entries: BinaryHeap<Reverse<Entry<E>>>,
    scheduled: u64,
}

impl<E> EventQueue<E> {
    /// An empty queue.
    pub(crate) fn new() -> Self {
        EventQueue {
            entries: BinaryHeap::new(),
            scheduled: 0,
        }
    }

    /// Schedules an event.
    pub(crate) fn schedule(&mut self, at: Micros, event: E) {
        self.scheduled += 1;
        let sequence = self.scheduled;
        self.entries.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(Micros, E)> {
        let Reverse(next) = self.entries.pop()?;
        Some((next.at, next.event))
    }

    /// The time of the next event.
    pub(crate) fn next_event_at(&self) -> Option<Micros> {
        self.entries.peek().map(|Reverse(next)| next.at)
    }

    /// Total number of events scheduled so far.
    pub(crate) fn scheduled_count(&self) -> u64 {
        self.scheduled
    }

    /// Whether the queue has an event that matches.
    pub(crate) fn contains(&self, matches: impl Fn(&E) -> bool) -> bool {
        self.entries
            .iter()
            .any(|Reverse(entry)| matches(&entry.event))
    }
}
