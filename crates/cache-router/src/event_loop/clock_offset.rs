//! The offset between discovery's clock, which stamps the starts of servers, and the router's clock.

use routing_policy::Micros;

use crate::clock::{Moment, UnixTime};

/// How far a clock is ahead of the router's, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockOffset(i64);

impl ClockOffset {
    /// Returns the offset of a clock that reads `stamp` when the router's clock reads `at`.
    pub fn between(stamp: UnixTime, at: Micros) -> Self {
        ClockOffset(signed(stamp.micros()).saturating_sub(signed(at)))
    }

    /// Returns the offset of the wall clock of the router's machine.
    pub fn of_wall_clock(moment: Moment) -> Self {
        ClockOffset::between(moment.unix, moment.at)
    }

    /// Converts a stamp by a clock with this offset to the router's clock. The result is at least 1, since 0 stands for
    /// a start of which nothing is known.
    pub fn router_time(self, stamp: UnixTime) -> Micros {
        let time = signed(stamp.micros()).saturating_sub(self.0).max(1);
        time.unsigned_abs()
    }
}

fn signed(time: Micros) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

/// The range in which the offset of discovery's clock lies, derived from starts that were observed between two lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OffsetRange {
    least: ClockOffset,
    most: ClockOffset,
}

impl OffsetRange {
    /// Returns the range that follows from a start which happened between two times on the router's clock.
    pub fn of_start(stamp: UnixTime, not_before: Micros, not_after: Micros) -> Self {
        OffsetRange {
            least: ClockOffset::between(stamp, not_after),
            most: ClockOffset::between(stamp, not_before),
        }
    }

    /// Returns whether an offset lies in this range.
    pub fn contains(self, offset: ClockOffset) -> bool {
        self.least <= offset && offset <= self.most
    }

    /// Returns the offsets that lie in both ranges; `None` if there are none.
    pub fn intersection(self, other: OffsetRange) -> Option<OffsetRange> {
        let both = OffsetRange {
            least: self.least.max(other.least),
            most: self.most.min(other.most),
        };
        (both.least <= both.most).then_some(both)
    }

    /// Returns the estimated offset: that of the wall clock if it lies in the range, else the lowest, with which
    /// servers appear youngest.
    pub fn estimate(self, wall_clock: ClockOffset) -> ClockOffset {
        if self.contains(wall_clock) {
            wall_clock
        } else {
            self.least
        }
    }
}
