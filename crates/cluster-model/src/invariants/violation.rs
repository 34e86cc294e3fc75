//! Violations of the invariants, and their description in words.

use std::fmt::{self, Display, Formatter};

use super::RequestKey;
use crate::Micros;
use crate::endpoint_list::NodeId;
use crate::slow_start_budget::Collapse;

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// When, in microseconds.
    pub at: Micros,
    /// Which invariant, and by whom.
    pub kind: ViolationKind,
}

/// Which invariant was violated, and by whom.
#[derive(Debug, Clone, PartialEq)]
pub enum ViolationKind {
    /// A request had no final answer in time, or none at all.
    Lost(RequestKey),
    /// A request was sent after its node had ended it, or after its client had gone.
    SentAfterEnd(RequestKey),
    /// An attempt told its server more time than was left.
    ToldTooLong {
        /// The request.
        request: RequestKey,
        /// How much more, in microseconds.
        excess: Micros,
    },
    /// A request that must not run twice was sent while an attempt may have run.
    RanTwice(RequestKey),
    /// A request was rejected, which says that it did not run, while an attempt may have.
    RejectedThoughRun(RequestKey),
    /// A node sent an attempt to a server too long after the notice that the server drains or is gone.
    SentToDrained {
        /// The node.
        node: NodeId,
        /// The server.
        server: u32,
        /// Time since the notice, in microseconds.
        after: Micros,
    },
    /// A server that was warming up collapsed under load from senders who knew of its start.
    Overloaded {
        /// The server.
        server: u32,
        /// How it collapsed.
        collapse: Collapse,
    },
}

/// Microseconds as seconds, for messages.
fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}", seconds(self.at), self.kind)
    }
}

impl Display for ViolationKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ViolationKind::Lost(RequestKey { node, id }) => write!(
                f,
                "lost: node {node} gave request {id} no final answer in time"
            ),
            ViolationKind::SentAfterEnd(RequestKey { node, id }) => {
                write!(f, "lost: node {node} sent request {id} after its end")
            }
            ViolationKind::ToldTooLong {
                request: RequestKey { node, id },
                excess,
            } => write!(
                f,
                "deadline: node {node} told a server {:.3} s more than was left of request {id}",
                seconds(*excess)
            ),
            ViolationKind::RanTwice(RequestKey { node, id }) => write!(
                f,
                "dup: node {node} sent request {id} though it may have run"
            ),
            ViolationKind::RejectedThoughRun(RequestKey { node, id }) => write!(
                f,
                "dup: node {node} refused request {id} though it may have run"
            ),
            ViolationKind::SentToDrained {
                node,
                server,
                after,
            } => write!(
                f,
                "drain: node {node} sent to server {server} {:.3} s after it was told to stop",
                seconds(*after)
            ),
            ViolationKind::Overloaded { server, collapse } => write!(
                f,
                "failback: server {server} fell over {:.1} s after its start, sent {:.1} times what it could do",
                seconds(collapse.age),
                collapse.multiple
            ),
        }
    }
}
