//! Recognizes an endpoint list in which discovery has stamped the starts of its servers anew: its clock was stepped, and
//! it computes the stamps from how long the servers have been up. No server has restarted then.

use crate::clock::UnixTime;

/// Stamps count as moved alike within this many microseconds: discovery may round each by itself.
const TOLERANCE: u64 = 1_000_000;
/// The stamps before must have differed by this, in microseconds. Servers that started together and restart together
/// move alike too; but starts spread over so long are not repeated to within the tolerance by chance.
const LEAST_SPREAD: u64 = 10 * TOLERANCE;
/// Fewer than this may have moved alike by chance.
const LEAST_MOVED: usize = 3;

/// A server's start as two lists stamp it.
#[derive(Debug, Clone, Copy)]
pub struct StampChange {
    /// In the list before.
    pub before: UnixTime,
    /// In the list now.
    pub after: UnixTime,
}

impl StampChange {
    fn shift(self) -> i128 {
        i128::from(self.after.micros()) - i128::from(self.before.micros())
    }
}

/// The shift by which most servers' stamps have moved, if they have moved alike.
#[derive(Debug, Clone, Copy)]
pub struct CommonShift(i128);

impl CommonShift {
    /// Looks for a common shift among the changes of a list; `stamped` servers had a stamp before it.
    pub fn find(changes: &[StampChange], stamped: usize) -> Option<Self> {
        let mut shifts: Vec<_> = changes.iter().map(|change| change.shift()).collect();
        shifts.sort_unstable();
        let common = CommonShift(*shifts.get(shifts.len() / 2)?);
        let moved_alike = || changes.iter().filter(|change| common.explains(**change));
        let moved = moved_alike().count();
        let before = || moved_alike().map(|change| change.before.micros());
        let spread = before().max()?.saturating_sub(before().min()?);
        let is_common = moved >= LEAST_MOVED && 2 * moved > stamped && spread >= LEAST_SPREAD;
        is_common.then_some(common)
    }

    /// Whether a server's stamp has moved by this shift.
    pub fn explains(self, change: StampChange) -> bool {
        (change.shift() - self.0).unsigned_abs() <= u128::from(TOLERANCE)
    }
}
