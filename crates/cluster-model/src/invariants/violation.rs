//! Violations of the invariants and their textual description.

use std::fmt::{self, Display, Formatter};

use super::RequestKey;
use crate::Micros;
use crate::endpoint_list::NodeId;
use crate::slow_start_budget::Collapse;

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Time of the violation, in microseconds.
    pub at: Micros,
    /// The violated invariant and the node, server or request concerned.
    pub kind: ViolationKind,
}

/// The violated invariant and the node, server or request concerned.
#[derive(Debug, Clone, PartialEq)]
pub enum ViolationKind {
    /// A request received its final answer too late or not at all.
    Lost(RequestKey),
    /// An attempt was sent after its node had ended the request or after the client had left.
    SentAfterEnd(RequestKey),
    /// An attempt told its server a longer remaining time than its request had.
    DeadlineOverstated {
        /// The request.
        request: RequestKey,
        /// Difference between the stated and the real remaining time, in microseconds.
        excess: Micros,
    },
    /// An attempt of a request that must not run twice was sent although an earlier attempt may have run.
    PossibleDuplicate(RequestKey),
    /// A request was rejected, which states that it did not run, although an attempt may have run.
    FalseRejection(RequestKey),
    /// A node sent an attempt to a server too long after the notice that the server drains or was removed.
    SentAfterDrainNotice {
        /// The node.
        node: NodeId,
        /// The server.
        server: u32,
        /// Time since the notice, in microseconds.
        after: Micros,
    },
    /// A server that was warming up collapsed under load that mostly came from senders who knew of its start.
    Overloaded {
        /// The server.
        server: u32,
        /// The load and the time of the collapse.
        collapse: Collapse,
    },
}

/// Converts microseconds to seconds.
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
            ViolationKind::DeadlineOverstated {
                request: RequestKey { node, id },
                excess,
            } => write!(
                f,
                "deadline: node {node} told a server {:.3} s more than was left of request {id}",
                seconds(*excess)
            ),
            ViolationKind::PossibleDuplicate(RequestKey { node, id }) => write!(
                f,
                "dup: node {node} sent request {id} though it may have run"
            ),
            ViolationKind::FalseRejection(RequestKey { node, id }) => write!(
                f,
                "dup: node {node} refused request {id} though it may have run"
            ),
            ViolationKind::SentAfterDrainNotice {
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
                seconds(collapse.age_at_collapse),
                collapse.load_multiple
            ),
        }
    }
}
