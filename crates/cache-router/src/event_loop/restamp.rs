//! Detects an endpoint list in which discovery has given its servers new start stamps although none has restarted. This
//! happens when discovery's clock is stepped and discovery computes the stamps from the uptime of the servers.

use crate::clock::UnixTime;

/// Stamps have moved by the same amount if their shifts differ by at most this many microseconds. Discovery may round
/// each stamp separately.
const SHIFT_TOLERANCE: u64 = 1_000_000;
/// Minimum spread of the earlier stamps, in microseconds. Servers that started together and restart together also move
/// alike. Starts that are spread over this time are not repeated to within the tolerance by chance.
const MIN_SPREAD: u64 = 10 * SHIFT_TOLERANCE;
/// Minimum number of stamps that moved alike: fewer may have done so by chance.
const MIN_MOVED_STAMPS: usize = 3;

/// The stamps of a server's start in two successive lists.
#[derive(Debug, Clone, Copy)]
pub struct StampChange {
    /// The stamp in the previous list.
    pub before: UnixTime,
    /// The stamp in the new list.
    pub after: UnixTime,
}

impl StampChange {
    fn shift(self) -> i128 {
        i128::from(self.after.micros()) - i128::from(self.before.micros())
    }
}

/// The shift, in microseconds, by which the stamps of most servers have moved together.
#[derive(Debug, Clone, Copy)]
pub struct CommonShift(i128);

impl CommonShift {
    /// Looks for a common shift among the changes of a list; `stamped` is the number of servers that had a stamp
    /// before.
    pub fn find(changes: &[StampChange], stamped: usize) -> Option<Self> {
        let mut shifts: Vec<_> = changes.iter().map(|change| change.shift()).collect();
        shifts.sort_unstable();
        let median = CommonShift(*shifts.get(shifts.len() / 2)?);
        let moved_changes = || changes.iter().filter(|change| median.explains(**change));
        let moved_count = moved_changes().count();
        let earlier_stamps = || moved_changes().map(|change| change.before.micros());
        let spread = earlier_stamps()
            .max()?
            .saturating_sub(earlier_stamps().min()?);
        let is_significant =
            moved_count >= MIN_MOVED_STAMPS && 2 * moved_count > stamped && spread >= MIN_SPREAD;
        is_significant.then_some(median)
    }

    /// Returns whether a server's stamp has moved by this shift.
    pub fn explains(self, change: StampChange) -> bool {
        (change.shift() - self.0).unsigned_abs() <= u128::from(SHIFT_TOLERANCE)
    }
}
