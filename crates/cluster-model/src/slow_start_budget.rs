//! What a server that warms up bears, and the load that makes it collapse. The load is counted over all nodes.

use std::collections::VecDeque;

use crate::Micros;

/// From this number of allowed requests on, the room for chance is that of a large budget.
const LARGE_BUDGET: f64 = 30.0;

/// The number of requests above which a server collapses, given the number N that the settings allow:
/// N + 2 sqrt(N) + 2, and N + 3 sqrt(N) + 3 where N is under 30. The rest is room for chance.
pub fn collapse_limit(allowed: f64) -> f64 {
    let room = if allowed < LARGE_BUDGET { 3.0 } else { 2.0 };
    allowed + room * allowed.sqrt() + room
}

/// How a server collapsed while it was warming up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Collapse {
    /// When, in microseconds.
    pub at: Micros,
    /// Time since its start, in microseconds.
    pub age: Micros,
    /// Load of the window as a multiple of the capacity.
    pub multiple: f64,
    /// Fraction of the load that came from senders who knew of the start.
    pub informed_share: f64,
}

/// How much more than its capacity a server bears while it warms up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartBudget {
    /// It collapses when sent more than this multiple of its capacity (0: never)
    pub multiple: f64,
    /// within any window of this length, in microseconds,
    pub window: Micros,
    /// with room for chance, which is counted in requests of this work; 0 leaves no room.
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

    /// The work that the server can do in a window at this capacity.
    fn possible_work(&self, capacity: f64) -> f64 {
        capacity * self.window as f64
    }

    /// The work in a window above which it collapses.
    fn work_limit(&self, capacity: f64) -> f64 {
        let allowed = self.multiple * self.possible_work(capacity);
        if self.mean_work > 0.0 {
            collapse_limit(allowed / self.mean_work) * self.mean_work
        } else {
            allowed
        }
    }
}

/// The work that one arriving attempt asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OfferedWork {
    pub(crate) at: Micros,
    pub(crate) work: f64,
    /// Whether its sender knew of the server's start.
    pub(crate) informed: bool,
}

/// The work offered to a server within the window that decides about a collapse.
#[derive(Debug, Default)]
pub(crate) struct OfferedLoad {
    arrivals: VecDeque<OfferedWork>,
    /// Sum of the work of all arrivals.
    work: f64,
}

impl OfferedLoad {
    pub(crate) fn clear(&mut self) {
        self.arrivals.clear();
        self.work = 0.0;
    }

    /// Adds an arrival, and forgets those that have left the window.
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

    /// The collapse under this load of a server that started at `started` and has a capacity now; `None` if it bears it.
    pub(crate) fn collapse(
        &self,
        budget: &SlowStartBudget,
        capacity: f64,
        now: Micros,
        started: Micros,
    ) -> Option<Collapse> {
        (self.work > budget.work_limit(capacity)).then(|| Collapse {
            at: now,
            age: now.saturating_sub(started),
            multiple: self.work / budget.possible_work(capacity),
            informed_share: self.informed_share(),
        })
    }

    /// Fraction of the work that came from senders who knew of the server's start.
    fn informed_share(&self) -> f64 {
        let informed = self.arrivals.iter().filter(|arrival| arrival.informed);
        let informed: f64 = informed.map(|arrival| arrival.work).sum();
        informed / self.work
    }
}
