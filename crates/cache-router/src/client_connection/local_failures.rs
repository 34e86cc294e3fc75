//! System calls on a client's socket that fail for lack of resources on this machine, and when they are retried.

use std::io;

use tokio::time::Instant;

use crate::socket::errors::classify;
use crate::socket::stream::{LOCAL_FAILURE_TIMEOUT, LOCAL_RETRY_PAUSE};

/// The client has closed the connection or its sending side, or the connection is lost.
#[derive(Debug, PartialEq, Eq)]
pub struct Disconnected;

/// The consecutive failures of the reads, or of the writes, of one socket.
#[derive(Debug, Default)]
pub struct LocalFailures {
    /// When the first of these failures happened.
    failing_since: Option<Instant>,
    /// When the call is retried.
    retry_at: Option<Instant>,
}

impl LocalFailures {
    /// When the call is retried, if the last one failed.
    pub fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Whether the pause before the retry is not over yet.
    pub fn is_paused(&self) -> bool {
        self.retry_at
            .is_some_and(|retry_at| Instant::now() < retry_at)
    }

    /// Records that the last call did not fail, and ends the run of failures.
    pub fn record_success(&mut self) {
        *self = LocalFailures::default();
    }

    /// Records a failed call.
    ///
    /// # Errors
    ///
    /// If the connection is lost: the error is not transient, or calls have failed for [`LOCAL_FAILURE_TIMEOUT`].
    pub fn record_failure(&mut self, error: &io::Error) -> Result<(), Disconnected> {
        let now = Instant::now();
        let failing_since = *self.failing_since.get_or_insert(now);
        if !classify(error).is_transient() || now - failing_since >= LOCAL_FAILURE_TIMEOUT {
            return Err(Disconnected);
        }
        self.retry_at = Some(now + LOCAL_RETRY_PAUSE);
        Ok(())
    }
}
