//! The clock of a run: Unix time, as the endpoint list's `since_ms` requires, that never goes back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cluster_model::Micros;

/// Unix time at the start of a run, continued by the monotonic clock.
#[derive(Debug)]
pub struct Clock {
    unix_start: Micros,
    started: Instant,
}

impl Clock {
    /// A clock that starts at the system's present time.
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

    /// Unix time now, in microseconds.
    pub fn now(&self) -> Micros {
        self.unix_start + self.started.elapsed().as_micros() as Micros
    }

    /// The instant of a Unix time in microseconds; the start for a time before it.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.saturating_sub(self.unix_start));
        (self.started + since_start).into()
    }
}
