//! Records when a node's process or the testbed itself was suspended. A node reads a request that arrives meanwhile
//! only afterwards, so it can't know how much of the client's deadline had passed by then.

use std::collections::{BTreeMap, VecDeque};

use cluster_model::Micros;
use cluster_model::endpoint_list::NodeId;

use super::{ClusterState, TRANSIT_GRACE};

/// Interval at which the testbed records that it is running, in microseconds.
pub const HEARTBEAT_INTERVAL: Micros = 10_000;
/// A heartbeat that is later than this, in microseconds, indicates a stall of the testbed.
const MAX_HEARTBEAT_DELAY: Micros = 20_000;
/// Maximum number of stalls that are remembered. The oldest are forgotten first.
const MAX_STALLS: usize = 1_000;

/// A time span in which a process was suspended.
#[derive(Debug, Clone, Copy)]
struct Interval {
    from: Micros,
    until: Micros,
}

impl Interval {
    /// Returns how much of the interval lies after a time.
    fn length_after(self, time: Micros) -> Micros {
        self.until.saturating_sub(self.from.max(time))
    }
}

/// The suspensions of the nodes and of the testbed.
#[derive(Debug, Default)]
pub(super) struct Suspensions {
    paused_since: BTreeMap<NodeId, Micros>,
    /// The latest completed pause of each node.
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
        self.stalls.extend(self.current_stall(now));
        self.last_heartbeat = Some(now);
        if self.stalls.len() > MAX_STALLS {
            self.stalls.pop_front();
        }
    }

    /// Returns the stall that ends now, if the next heartbeat is overdue.
    fn current_stall(&self, now: Micros) -> Option<Interval> {
        let from = self.last_heartbeat? + HEARTBEAT_INTERVAL;
        (now > from + MAX_HEARTBEAT_DELAY).then_some(Interval { from, until: now })
    }

    /// Returns the maximum time for which a request that a client sent at `sent_at` may have been unread by its node.
    pub(super) fn unread_time(&self, now: Micros, node: NodeId, sent_at: Micros) -> Micros {
        let sent_during = |pause: &&Interval| {
            (pause.from.saturating_sub(TRANSIT_GRACE)..=pause.until).contains(&sent_at)
        };
        let pause = self.pauses.get(&node).filter(sent_during);
        let paused = pause.map_or(0, |pause| pause.length_after(sent_at));
        let stalls = self.stalls.iter().copied().chain(self.current_stall(now));
        let stalled: Micros = stalls.map(|stall| stall.length_after(sent_at)).sum();
        paused + stalled
    }
}

impl ClusterState {
    /// Records that the testbed is running. Call this every [`HEARTBEAT_INTERVAL`].
    pub fn heartbeat(&mut self, now: Micros) {
        self.suspensions.heartbeat(now);
    }
}
