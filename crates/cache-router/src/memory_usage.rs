//! How many bytes each kind of holder has in memory without a reservation. Holders report them, so that the log can tell
//! which of them a process needs its memory for (`memory_monitor.rs`). Reserved bytes are known to the
//! [budgets](crate::memory_budget).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// The tasks of client connections, with their channels.
    ClientConnections,
    /// Input of clients that has not been taken as a command.
    ClientInput,
    /// Replies that have not been written to their clients.
    ClientReplies,
    /// The tasks of connections to servers, with their channels.
    ServerConnections,
    /// The received parts of responses.
    ServerResponses,
}

impl Holder {
    const COUNT: usize = 5;
}

/// How many bytes all holders have in memory without a reservation.
#[derive(Debug, Default)]
pub struct MemoryUsage {
    /// Indexed by [`Holder`].
    bytes: [AtomicUsize; Holder::COUNT],
}

impl MemoryUsage {
    /// How many bytes a kind of holder has.
    pub fn bytes(&self, holder: Holder) -> usize {
        self.bytes[holder as usize].load(Ordering::Relaxed)
    }

    /// How many bytes all holders have.
    pub fn total(&self) -> usize {
        let bytes = self.bytes.iter();
        bytes.map(|bytes| bytes.load(Ordering::Relaxed)).sum()
    }
}

/// The bytes of one holder, which are counted until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    usage: Arc<MemoryUsage>,
    holder: Holder,
    bytes: usize,
}

impl HeldBytes {
    /// Counts bytes of a holder.
    pub fn new(usage: Arc<MemoryUsage>, holder: Holder, bytes: usize) -> Self {
        let mut held = HeldBytes {
            usage,
            holder,
            bytes: 0,
        };
        held.set(bytes);
        held
    }

    /// Sets how many bytes the holder has now.
    pub fn set(&mut self, bytes: usize) {
        let counted = &self.usage.bytes[self.holder as usize];
        counted.fetch_add(bytes, Ordering::Relaxed);
        counted.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
