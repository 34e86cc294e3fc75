//! How far the write of a request to its connection has come: shared between the event loop, which may withdraw the
//! request, and the connection's task, which writes it.

use std::sync::atomic::{AtomicU8, Ordering};

/// How far the write of a request has come. Only the connection's task changes it, and only the event loop withdraws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte has been written.
    NotStarted,
    /// The last byte has not been written.
    Writing,
    /// All bytes have been written.
    Written,
    /// The request was withdrawn: no byte has been written, and none will be.
    Withdrawn,
}

impl WriteProgress {
    const ALL: [WriteProgress; 4] = [
        WriteProgress::NotStarted,
        WriteProgress::Writing,
        WriteProgress::Written,
        WriteProgress::Withdrawn,
    ];

    /// Whether the server may have run a request that was written so far.
    ///
    /// A server runs a request once it has the last byte: an incomplete RESP command has a word or a part of one to
    /// come, and an incomplete HTTP request a part of its head or of the body that the head announces. A write that
    /// fails has taken none of the bytes that it was given, and the last write is given the last byte. So whatever was
    /// written before a write failed, the request did not run; once all is written, it may have.
    pub fn may_have_run(self) -> bool {
        match self {
            WriteProgress::Written => true,
            WriteProgress::NotStarted | WriteProgress::Writing | WriteProgress::Withdrawn => false,
        }
    }
}

/// A [`WriteProgress`] that two tasks share.
pub struct SharedWriteProgress(AtomicU8);

impl SharedWriteProgress {
    /// The progress of a request that has just been handed to its connection.
    pub fn new() -> Self {
        SharedWriteProgress(AtomicU8::new(WriteProgress::NotStarted as u8))
    }

    /// The present progress.
    pub fn get(&self) -> WriteProgress {
        let value = usize::from(self.0.load(Ordering::Acquire));
        // The remainder only spares a panic: nothing but the four values is ever stored.
        WriteProgress::ALL[value % WriteProgress::ALL.len()]
    }

    /// Goes from one progress to another; `false` if it is no longer `from`, since the other task was first.
    pub fn advance(&self, from: WriteProgress, to: WriteProgress) -> bool {
        self.0
            .compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }
}

impl Default for SharedWriteProgress {
    fn default() -> Self {
        Self::new()
    }
}
