//! The router's two clocks.
//!
//! Every span, deadline, window and backoff is measured on [`Clock`], which is monotonic: a step of the machine's wall
//! clock changes none of them. [`UnixTime`] is read for one purpose only, to compare with stamps that others give.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use routing_policy::Micros;

/// The least reading of the router's clock. A process of which nothing is known counts as started at 0, and one that
/// started a while before the router still has to have a time, also on a machine whose wall clock says 1970.
const LEAST_START: Micros = 365 * 24 * 3_600 * 1_000_000;

/// The router's clock: monotonic, in microseconds. It begins with what the wall clock says when the router starts, so
/// that trace lines can be read, and never looks at the wall clock again.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    /// The reading at the start.
    reading_at_start: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock::start_at(UnixTime::now())
    }

    /// A clock that starts now on a machine whose wall clock reads this.
    pub fn start_at(wall_clock: UnixTime) -> Self {
        Clock {
            started_at: Instant::now(),
            reading_at_start: wall_clock.micros().max(LEAST_START),
        }
    }

    /// How long ago the clock was started, in microseconds.
    pub fn since_start(self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// The time, in microseconds.
    pub fn now(self) -> Micros {
        self.reading_at_start + self.since_start()
    }

    /// The instant for tokio's timers of a time on this clock.
    pub fn instant(self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.saturating_sub(self.reading_at_start));
        (self.started_at + since_start).into()
    }
}

/// A time on somebody's wall clock, in microseconds since the Unix epoch. It may be wrong, and may be stepped between two
/// readings. It is a type of its own so that nobody takes it for a time of [`Clock`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixTime(Micros);

impl UnixTime {
    /// What this machine's wall clock says now; the epoch if that is before it.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixTime(since_epoch.as_micros() as Micros)
    }

    /// A time so many microseconds after the epoch.
    pub fn from_micros(micros: Micros) -> Self {
        UnixTime(micros)
    }

    /// A time so many milliseconds after the epoch; one beyond all that can be represented is the last.
    pub fn from_millis(millis: u64) -> Self {
        UnixTime(millis.saturating_mul(MICROS_PER_MILLISECOND))
    }

    /// Microseconds since the epoch.
    pub fn micros(self) -> Micros {
        self.0
    }
}

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The same moment on the router's clock and on its machine's wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// On the router's clock.
    pub at: Micros,
    /// On the wall clock.
    pub unix: UnixTime,
}

impl Moment {
    /// Now.
    pub fn now(clock: Clock) -> Self {
        Moment {
            at: clock.now(),
            unix: UnixTime::now(),
        }
    }
}
