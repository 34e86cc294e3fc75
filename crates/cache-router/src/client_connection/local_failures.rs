//! Calls on the socket of a client that fail for want of something on this machine, and when they are made again.

use std::io;

use tokio::time::Instant;

use crate::socket::errors::classify;
use crate::socket::stream::{LOCAL_FAILURE_TIMEOUT, LOCAL_RETRY_PAUSE};

/// The client has closed the connection, or it is lost.
#[derive(Debug, PartialEq, Eq)]
pub struct Disconnected;

/// The failures in a row of the reads, or of the writes, of one socket.
#[derive(Debug, Default)]
pub struct LocalFailures {
    /// When the first of them happened.
    failing_since: Option<Instant>,
    /// When the call is made again.
    retry_at: Option<Instant>,
}

impl LocalFailures {
    /// When the call is made again, if the last one failed.
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Whether the call has to wait.
    pub fn is_paused(&self) -> bool {
        self.retry_at
            .is_some_and(|retry_at| Instant::now() < retry_at)
    }

    /// Records a call that did not fail.
    pub fn succeeded(&mut self) {
        *self = LocalFailures::default();
    }

    /// Records a call that failed.
    ///
    /// # Errors
    ///
    /// If the connection is lost: the error is not a momentary one of this machine, or has lasted for too long.
    pub fn failed(&mut self, error: &io::Error) -> Result<(), Disconnected> {
        let now = Instant::now();
        let failing_since = *self.failing_since.get_or_insert(now);
        if !classify(error).is_transient() || now - failing_since >= LOCAL_FAILURE_TIMEOUT {
            return Err(Disconnected);
        }
        self.retry_at = Some(now + LOCAL_RETRY_PAUSE);
        Ok(())
    }
}
