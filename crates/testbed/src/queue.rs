//! What is to happen, by time; of two at one time the one asked for first comes first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cluster_model::Micros;

struct Entry<W>(Micros, u64, W);

impl<W> PartialEq for Entry<W> {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl<W> Eq for Entry<W> {}

impl<W> PartialOrd for Entry<W> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<W> Ord for Entry<W> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A queue of what is to happen.
pub(crate) struct Queue<W> {
    entries: BinaryHeap<Reverse<Entry<W>>>,
    entered: u64,
}

impl<W> Queue<W> {
    pub(crate) fn new() -> Self {
        Queue {
            entries: BinaryHeap::new(),
            entered: 0,
        }
    }

    pub(crate) fn push(&mut self, at: Micros, what: W) {
        self.entered += 1;
        self.entries.push(Reverse(Entry(at, self.entered, what)));
    }

    /// The next, with its time.
    pub(crate) fn pop(&mut self) -> Option<(Micros, W)> {
        self.entries
            .pop()
            .map(|Reverse(Entry(at, _, what))| (at, what))
    }

    /// The time of the next.
    pub(crate) fn due(&self) -> Option<Micros> {
        self.entries.peek().map(|Reverse(entry)| entry.0)
    }

    /// All that has ever been entered.
    pub(crate) fn entered(&self) -> u64 {
        self.entered
    }

    /// Whether something of a kind is to come.
    pub(crate) fn holds(&self, kind: impl Fn(&W) -> bool) -> bool {
        self.entries.iter().any(|Reverse(entry)| kind(&entry.2))
    }
}
