//! The router's two clocks.
//!
//! All durations, deadlines, windows and backoffs are measured on [`Clock`], which is monotonic, so a step of the
//! machine's wall clock changes none of them. [`UnixTime`] is read only to compare it with timestamps from other
//! systems.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use routing_policy::Micros;

/// Minimum reading of the router's clock, in microseconds. The value 0 stands for a process whose start is unknown. A
/// process that started before the router must still have a time above 0, even on a machine whose wall clock says 1970.
const MIN_READING: Micros = 365 * 24 * 3_600 * 1_000_000;

/// The router's clock: monotonic, in microseconds. Its first reading is the wall clock time at the router's start, so
/// that trace lines are readable. It never reads the wall clock again.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    /// The reading at the start.
    reading_at_start: Micros,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Clock::start_at(UnixTime::now())
    }

    /// Starts a clock whose first reading is the given wall clock time.
    pub fn start_at(wall_clock: UnixTime) -> Self {
        Clock {
            started_at: Instant::now(),
            reading_at_start: wall_clock.micros().max(MIN_READING),
        }
    }

    /// Returns how long ago the clock was started, in microseconds.
    pub fn since_start(self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns the time, in microseconds.
    pub fn now(self) -> Micros {
        self.reading_at_start + self.since_start()
    }

    /// Converts a time on this clock to an instant for tokio's timers.
    pub fn instant(self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.saturating_sub(self.reading_at_start));
        (self.started_at + since_start).into()
    }
}

/// A time on a wall clock, in microseconds since the Unix epoch. The clock may be wrong, and may be stepped between two
/// readings. The separate type prevents confusion with times on [`Clock`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixTime(Micros);

impl UnixTime {
    /// Returns the time on this machine's wall clock, or the epoch if the clock is set before it.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixTime(since_epoch.as_micros() as Micros)
    }

    /// Creates a time from microseconds since the epoch.
    pub fn from_micros(micros: Micros) -> Self {
        UnixTime(micros)
    }

    /// Creates a time from milliseconds since the epoch. A value that is too large becomes the last possible time.
    pub fn from_millis(millis: u64) -> Self {
        UnixTime(millis.saturating_mul(MICROS_PER_MILLISECOND))
    }

    /// Returns the microseconds since the epoch.
    pub fn micros(self) -> Micros {
        self.0
    }
}

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The same point in time on the router's clock and on this machine's wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// The time on the router's clock.
    pub at: Micros,
    /// The time on the wall clock.
    pub unix: UnixTime,
}

impl Moment {
    /// Reads both clocks.
    pub fn now(clock: Clock) -> Self {
        Moment {
            at: clock.now(),
            unix: UnixTime::now(),
        }
    }
}
