//! The load that a server withstands while it warms up, and the load that makes it collapse. The load of all nodes is
//! added up.

use std::collections::VecDeque;

use crate::Micros;

/// Number of allowed requests from which the margin for random variation is that of a large budget.
const LARGE_BUDGET: f64 = 30.0;

/// Number of requests above which a server collapses, given the number N that the settings allow: N + 2 sqrt(N) + 2, or
/// N + 3 sqrt(N) + 3 if N is under 30. The amount above N is a margin for random variation of the number of arrivals.
pub fn collapse_limit(allowed: f64) -> f64 {
    let margin_factor = if allowed < LARGE_BUDGET { 3.0 } else { 2.0 };
    allowed + margin_factor * allowed.sqrt() + margin_factor
}

/// The collapse of a server while it was warming up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Collapse {
    /// Time of the collapse, in microseconds.
    pub at: Micros,
    /// Time from the start of the server to its collapse, in microseconds.
    pub age_at_collapse: Micros,
    /// Load within the window as a multiple of the capacity.
    pub load_multiple: f64,
    /// Fraction of the load that came from senders who knew of the server's start.
    pub notified_share: f64,
}

/// The load above its capacity that a server withstands while it warms up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartBudget {
    /// Multiple of the capacity above which the load of any window makes the server collapse; 0 for never.
    pub multiple: f64,
    /// Length of the window, in microseconds.
    pub window: Micros,
    /// Mean work of a request. It converts work to a number of requests, from which a margin for random variation is
    /// computed. 0 disables the margin.
    pub mean_work: f64,
}

impl Default for SlowStartBudget {
    fn default() -> Self {
        SlowStartBudget {
            multiple: 0.0,
            window: 2_000_000,
            mean_work: 0.0,
        }
    }
}

impl SlowStartBudget {
    /// Whether the server can collapse at all.
    pub(crate) fn is_limited(&self) -> bool {
        self.multiple > 0.0
    }

    /// Work that the server can do within a window at this capacity.
    fn possible_work(&self, capacity: f64) -> f64 {
        capacity * self.window as f64
    }

    /// Work within a window above which the server collapses.
    fn work_limit(&self, capacity: f64) -> f64 {
        let allowed = self.multiple * self.possible_work(capacity);
        if self.mean_work > 0.0 {
            collapse_limit(allowed / self.mean_work) * self.mean_work
        } else {
            allowed
        }
    }
}

/// The work that an arriving attempt requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OfferedWork {
    pub(crate) at: Micros,
    pub(crate) work: f64,
    /// Whether the sender knew of the server's start.
    pub(crate) sender_knows_start: bool,
}

/// The work that was offered to a server within the window.
#[derive(Debug, Default)]
pub(crate) struct OfferedLoad {
    arrivals: VecDeque<OfferedWork>,
    /// Total work of all arrivals.
    work: f64,
}

impl OfferedLoad {
    pub(crate) fn clear(&mut self) {
        self.arrivals.clear();
        self.work = 0.0;
    }

    /// Adds an arrival and removes the arrivals that have left the window.
    pub(crate) fn add(&mut self, arrival: OfferedWork, window: Micros) {
        self.arrivals.push_back(arrival);
        self.work += arrival.work;
        while let Some(oldest) = self.arrivals.front()
            && oldest.at + window <= arrival.at
        {
            self.work -= oldest.work;
            self.arrivals.pop_front();
        }
    }

    /// Returns the collapse that this load causes in a server that started at `started` and now has this capacity, or
    /// `None` if the server withstands the load.
    pub(crate) fn collapse(
        &self,
        budget: &SlowStartBudget,
        capacity: f64,
        now: Micros,
        started: Micros,
    ) -> Option<Collapse> {
        (self.work > budget.work_limit(capacity)).then(|| Collapse {
            at: now,
            age_at_collapse: now.saturating_sub(started),
            load_multiple: self.work / budget.possible_work(capacity),
            notified_share: self.notified_share(),
        })
    }

    /// Fraction of the work that came from senders who knew of the server's start.
    fn notified_share(&self) -> f64 {
        let notified = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.sender_knows_start);
        let notified: f64 = notified.map(|arrival| arrival.work).sum();
        notified / self.work
    }
}
