//! The progress of writing a request to its connection. It is shared by the event loop, which may withdraw the request,
//! and the connection's task, which writes it.

use std::sync::atomic::{AtomicU8, Ordering};

/// The progress of writing a request. Only the event loop sets [`WriteProgress::Withdrawn`]; the connection's task
/// makes all other changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte has been written.
    NotStarted,
    /// The write has begun, and the last byte has not been written.
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

    /// Whether the server may have run the request.
    ///
    /// A server runs a request only once it has the last byte: an incomplete RESP command lacks an argument or a part
    /// of one, and an incomplete HTTP request lacks a part of its head or of the body that the head announces. A failed
    /// write transfers none of its bytes, and the last byte is part of the last write. So if any write has failed, the
    /// request did not run; once all bytes are written, it may have.
    pub fn may_have_run(self) -> bool {
        match self {
            WriteProgress::Written => true,
            WriteProgress::NotStarted | WriteProgress::Writing | WriteProgress::Withdrawn => false,
        }
    }
}

/// A [`WriteProgress`] that is shared by two tasks.
pub struct SharedWriteProgress(AtomicU8);

impl SharedWriteProgress {
    /// Creates the progress of a request that has just been given to its connection.
    pub fn new() -> Self {
        SharedWriteProgress(AtomicU8::new(WriteProgress::NotStarted as u8))
    }

    /// Returns the current progress.
    pub fn get(&self) -> WriteProgress {
        let value = usize::from(self.0.load(Ordering::Acquire));
        // Only the four valid values are ever stored; the remainder operation only rules out a panic.
        WriteProgress::ALL[value % WriteProgress::ALL.len()]
    }

    /// Changes the progress from `from` to `to`. Returns `false` if it is no longer `from`, since the other task has
    /// changed it first.
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
