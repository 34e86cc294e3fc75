//! What is known of how far discovery's clock, which stamps the starts of servers, is ahead of the router's clock.

use routing_policy::Micros;

use crate::clock::{Moment, UnixTime};

/// How far a clock is ahead of the router's, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockOffset(i64);

impl ClockOffset {
    /// The offset of a clock that says `stamp` when the router's says `at`.
    pub fn between(stamp: UnixTime, at: Micros) -> Self {
        ClockOffset(signed(stamp.micros()).saturating_sub(signed(at)))
    }

    /// The offset of the wall clock of the router's machine.
    pub fn of_wall_clock(moment: Moment) -> Self {
        ClockOffset::between(moment.unix, moment.at)
    }

    /// The time on the router's clock of a stamp by a clock with this offset. The result is at least 1, as 0 is a start
    /// of which nothing is known.
    pub fn router_time(self, stamp: UnixTime) -> Micros {
        let time = signed(stamp.micros()).saturating_sub(self.0).max(1);
        time.unsigned_abs()
    }
}

fn signed(time: Micros) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

/// The range in which the offset of discovery's clock lies, by the starts that were seen between two lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OffsetRange {
    least: ClockOffset,
    most: ClockOffset,
}

impl OffsetRange {
    /// The range that a start shows which happened between two times on the router's clock.
    pub fn of_start(stamp: UnixTime, not_before: Micros, not_after: Micros) -> Self {
        OffsetRange {
            least: ClockOffset::between(stamp, not_after),
            most: ClockOffset::between(stamp, not_before),
        }
    }

    /// Whether an offset is possible.
    pub fn contains(self, offset: ClockOffset) -> bool {
        self.least <= offset && offset <= self.most
    }

    /// What is possible by both ranges, if anything is.
    pub fn intersection(self, other: OffsetRange) -> Option<OffsetRange> {
        let both = OffsetRange {
            least: self.least.max(other.least),
            most: self.most.min(other.most),
        };
        (both.least <= both.most).then_some(both)
    }

    /// The offset to reckon with: that of the wall clock if it is possible, else the least, by which servers are youngest.
    pub fn estimate(self, wall_clock: ClockOffset) -> ClockOffset {
        if self.contains(wall_clock) {
            wall_clock
        } else {
            self.least
        }
    }
}
