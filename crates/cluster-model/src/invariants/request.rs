//! Requests that nodes have accepted, as the invariants know them.

use super::duplicate_effect::{EffectRecord, Idempotency};
use super::late_send::RequestEnd;
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
    /// The final answer is due by then, without the grace: the deadline, or the end of a pause of the node over it.
    pub(super) answer_due: Micros,
    /// Its end, if it has ended.
    pub(super) end: Option<RequestEnd>,
    /// Which of its attempts may have run.
    pub(super) effect: EffectRecord,
}

impl AcceptedRequest {
    pub(super) fn new(deadline: Micros, idempotency: Idempotency) -> Self {
        AcceptedRequest {
            deadline,
            answer_due: deadline,
            end: None,
            effect: EffectRecord::new(idempotency),
        }
    }
}
