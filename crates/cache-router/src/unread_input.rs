//! Since when a client's connection has input that the router has not read. Shared by the connection and the event loop.
//!
//! The close of a connection is only seen behind its input. While input is left unread, its client may therefore have
//! gone without notice, and after a while nothing may be sent for it any more.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use routing_policy::Micros;

/// Nothing is sent for a client whose input has not been read up to its end for this long, in microseconds. Attempts may
/// begin until 100 ms after the close of a connection.
pub const MAX_UNREAD_AGE: Micros = 75_000;

/// Since when there may be unread input, on the router's clock.
#[derive(Debug, Clone, Default)]
pub struct UnreadInput {
    /// 0 if all input has been read.
    since: Arc<AtomicU64>,
}

impl UnreadInput {
    /// Records that there may be unread input since a time, unless there has been before.
    pub fn record(&self, since: Micros) {
        if self.since.load(Ordering::Relaxed) == 0 {
            self.since.store(since, Ordering::Relaxed);
        }
    }

    /// Records that all input has been read.
    pub fn clear(&self) {
        self.since.store(0, Ordering::Relaxed);
    }

    /// Whether the client may have gone a while ago.
    pub fn is_old(&self, now: Micros) -> bool {
        let since = self.since.load(Ordering::Relaxed);
        since != 0 && now.saturating_sub(since) > MAX_UNREAD_AGE
    }
}
