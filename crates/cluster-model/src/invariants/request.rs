//! Requests that nodes have accepted, as the invariants know them.

use super::duplicate_effect::{EffectRecord, Idempotency};
use crate::Micros;
use crate::endpoint_list::NodeId;

/// Identifies a request: the node that accepted it, and its id there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey {
    /// The node.
    pub node: NodeId,
    /// The id, unique at the node.
    pub id: u64,
}

impl From<(NodeId, u64)> for RequestKey {
    fn from((node, id): (NodeId, u64)) -> Self {
        RequestKey { node, id }
    }
}

/// A request that a node has accepted.
#[derive(Debug)]
pub(super) struct AcceptedRequest {
    /// The client waits until then.
    pub(super) deadline: Micros,
    /// When it had its final answer, or its client went away.
    pub(super) ended: Option<Micros>,
    /// Which of its attempts may have run.
    pub(super) effect: EffectRecord,
}

impl AcceptedRequest {
    pub(super) fn new(deadline: Micros, idempotency: Idempotency) -> Self {
        AcceptedRequest {
            deadline,
            ended: None,
            effect: EffectRecord::new(idempotency),
        }
    }
}
