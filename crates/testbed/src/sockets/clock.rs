//! The clock of a run. It reads Unix time, as the endpoint list's `since_ms` requires, and never goes backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cluster_model::Micros;

/// Unix time at the start of a run, advanced by the monotonic clock.
#[derive(Debug)]
pub struct Clock {
    unix_start: Micros,
    started: Instant,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as Micros;
        Clock {
            unix_start,
            started: Instant::now(),
        }
    }

    /// Unix time at the start, in microseconds.
    pub fn unix_start(&self) -> Micros {
        self.unix_start
    }

    /// Current Unix time, in microseconds.
    pub fn now(&self) -> Micros {
        self.unix_start + self.started.elapsed().as_micros() as Micros
    }

    /// Converts a Unix time in microseconds to an instant. A time before the start of the run becomes the start.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.saturating_sub(self.unix_start));
        (self.started + since_start).into()
    }
}
