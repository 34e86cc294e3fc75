//! The router's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use routing_policy::Micros;

/// The router's only clock: Unix time in microseconds when it starts, and monotonic from then on.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    /// Unix time of the start, in microseconds.
    started_at_unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            started_at_unix: since_epoch.as_micros() as Micros,
        }
    }

    /// The time, in microseconds since the Unix epoch.
    pub fn now(self) -> Micros {
        self.started_at_unix + self.started_at.elapsed().as_micros() as Micros
    }

    /// The instant for tokio's timers of a time on this clock.
    pub fn instant(self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.saturating_sub(self.started_at_unix));
        (self.started_at + since_start).into()
    }
}
