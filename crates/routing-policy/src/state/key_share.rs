//! The fraction of its keys that a server, or every server of a machine kind, keeps.

/// A fraction of keys. It is stored as the fraction that other servers receive, so that the default is a full
/// share.
#[derive(Default)]
pub(crate) struct KeyShare {
    diverted: f64,
}

impl KeyShare {
    /// The fraction of the keys that is kept.
    pub(crate) fn get(&self) -> f64 {
        1.0 - self.diverted
    }

    /// Whether the share is below 1.
    pub(crate) fn is_reduced(&self) -> bool {
        self.diverted > 0.0
    }

    /// Multiplies the share by `factor`, down to `min_share`.
    pub(crate) fn cut(&mut self, factor: f64, min_share: f64) {
        self.diverted = (1.0 - self.get() * factor).min(1.0 - min_share);
    }

    /// Divides the share by `factor`, up to 1.
    pub(crate) fn undo_cut(&mut self, factor: f64) {
        self.diverted = (1.0 - self.get() / factor).max(0.0);
    }

    /// Adds `fraction` to the share, up to 1.
    pub(crate) fn grow(&mut self, fraction: f64) {
        self.diverted = (self.diverted - fraction).max(0.0);
    }
}
