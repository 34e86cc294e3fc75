//! The accepted requests that the invariants track.

use super::duplicate_effect::{EffectRecord, Idempotency};
use super::late_send::RequestEnd;
use crate::Micros;
use crate::endpoint_list::NodeId;

/// Identifies a request by the node that accepted it and its id at that node.
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
    /// Time until which the client waits.
    pub(super) deadline: Micros,
    /// Time at which the final answer is due, without the grace: the deadline, or the end of a pause of the node that
    /// lasted beyond it.
    pub(super) answer_due: Micros,
    /// How and when the request ended, if it has.
    pub(super) end: Option<RequestEnd>,
    /// The attempts that may have run.
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
