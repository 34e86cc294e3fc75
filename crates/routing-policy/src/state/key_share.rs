//! The share of its keys that a server, or all servers of a kind, is left.

/// A share of keys, stored as the fraction that is routed past; a new one is whole.
#[derive(Default)]
pub(crate) struct KeyShare {
    routed_past: f64,
}

impl KeyShare {
    /// The fraction of the keys that is left.
    pub(crate) fn get(&self) -> f64 {
        1.0 - self.routed_past
    }

    /// Whether it is less than the whole.
    pub(crate) fn is_reduced(&self) -> bool {
        self.routed_past > 0.0
    }

    /// Multiplies the share by a factor, down to the least share.
    pub(crate) fn cut(&mut self, factor: f64, least: f64) {
        self.routed_past = (1.0 - self.get() * factor).min(1.0 - least);
    }

    /// Divides the share by a factor, up to the whole.
    pub(crate) fn undo_cut(&mut self, factor: f64) {
        self.routed_past = (1.0 - self.get() / factor).max(0.0);
    }

    /// Adds to the share, up to the whole.
    pub(crate) fn grow(&mut self, fraction: f64) {
        self.routed_past = (self.routed_past - fraction).max(0.0);
    }
}
