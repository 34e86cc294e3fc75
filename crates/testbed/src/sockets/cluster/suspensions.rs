//! Times in which a node's process or the testbed's own did not run. A request that came meanwhile was read only after
//! it, so that a node can't know how much of the client's time had passed by then.

use std::collections::{BTreeMap, VecDeque};

use cluster_model::Micros;
use cluster_model::endpoint_list::NodeId;

use super::{ClusterState, SENT_GRACE};

/// The testbed shows that it runs this often, in microseconds.
pub const HEARTBEAT_INTERVAL: Micros = 10_000;
/// A heartbeat that is later than this, in microseconds, shows a stall.
const MAX_HEARTBEAT_DELAY: Micros = 20_000;
/// Stalls that are remembered at most; the earliest are forgotten.
const MAX_STALLS: usize = 1_000;

/// A time in which something did not run.
#[derive(Debug, Clone, Copy)]
struct Interval {
    from: Micros,
    until: Micros,
}

impl Interval {
    /// How much of it is after a time.
    fn length_after(self, time: Micros) -> Micros {
        self.until.saturating_sub(self.from.max(time))
    }
}

/// The times in which nodes or the testbed did not run.
#[derive(Debug, Default)]
pub(super) struct Suspensions {
    paused_since: BTreeMap<NodeId, Micros>,
    /// The latest pause of each node that is over.
    pauses: BTreeMap<NodeId, Interval>,
    last_heartbeat: Option<Micros>,
    stalls: VecDeque<Interval>,
}

impl Suspensions {
    pub(super) fn paused(&mut self, now: Micros, node: NodeId) {
        self.paused_since.entry(node).or_insert(now);
    }

    pub(super) fn resumed(&mut self, now: Micros, node: NodeId) {
        if let Some(from) = self.paused_since.remove(&node) {
            self.pauses.insert(node, Interval { from, until: now });
        }
    }

    fn heartbeat(&mut self, now: Micros) {
        self.stalls.extend(self.present_stall(now));
        self.last_heartbeat = Some(now);
        if self.stalls.len() > MAX_STALLS {
            self.stalls.pop_front();
        }
    }

    /// The stall that is just over, if the next heartbeat is late.
    fn present_stall(&self, now: Micros) -> Option<Interval> {
        let from = self.last_heartbeat? + HEARTBEAT_INTERVAL;
        (now > from + MAX_HEARTBEAT_DELAY).then_some(Interval { from, until: now })
    }

    /// For how long a request that a client sent to a node may have been unread at most.
    pub(super) fn unread_time(&self, now: Micros, node: NodeId, sent_at: Micros) -> Micros {
        let came_in = |pause: &&Interval| {
            (pause.from.saturating_sub(SENT_GRACE)..=pause.until).contains(&sent_at)
        };
        let pause = self.pauses.get(&node).filter(came_in);
        let paused = pause.map_or(0, |pause| pause.length_after(sent_at));
        let stalls = self.stalls.iter().copied().chain(self.present_stall(now));
        let stalled: Micros = stalls.map(|stall| stall.length_after(sent_at)).sum();
        paused + stalled
    }
}

impl ClusterState {
    /// The testbed runs; to be called every [`HEARTBEAT_INTERVAL`].
    pub fn heartbeat(&mut self, now: Micros) {
        self.suspensions.heartbeat(now);
    }
}
