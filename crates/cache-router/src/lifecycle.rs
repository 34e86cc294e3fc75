//! Where the router stands between its start and its end.

/// Where the node stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LifecyclePhase {
    /// It has no list of servers yet.
    Starting,
    /// It serves.
    Ready,
    /// It ends: connections are closed between requests.
    Draining,
    /// Its time is nearly up: no further command is taken, so that none is without its answer when it is over.
    Closing,
}

impl LifecyclePhase {
    /// Whether connections are closed between requests.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, LifecyclePhase::Draining | LifecyclePhase::Closing)
    }
}
