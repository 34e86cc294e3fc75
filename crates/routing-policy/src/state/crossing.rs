//! Detects when a value crosses a threshold.

/// The position of a value relative to a threshold, before and after a change.
pub(crate) struct ThresholdCrossing {
    was_below: bool,
    is_below: bool,
}

impl ThresholdCrossing {
    /// Compares the values before and after a change with the threshold.
    pub(crate) fn new(before: f64, after: f64, threshold: f64) -> Self {
        ThresholdCrossing {
            was_below: before < threshold,
            is_below: after < threshold,
        }
    }

    /// Returns `on_fall` if the value fell below the threshold, `on_rise` if it rose to or above it, and `None` if
    /// it did not cross.
    pub(crate) fn event_for_direction<T>(&self, on_fall: T, on_rise: T) -> Option<T> {
        if self.was_below == self.is_below {
            return None;
        }
        Some(if self.is_below { on_fall } else { on_rise })
    }
}
