//! The load balancer that distributes the clients' attempts over the nodes.

use cluster_model::endpoint_list::NodeId;

/// The load balancer: the set of nodes that it sends requests to.
pub(super) struct LoadBalancer {
    nodes: Vec<NodeId>,
}

impl LoadBalancer {
    /// A load balancer with the nodes from 0 to `count` - 1.
    pub(super) fn new(count: u32) -> Self {
        LoadBalancer {
            nodes: (0..count).collect(),
        }
    }

    /// The nodes that it sends requests to.
    pub(super) fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    pub(super) fn register(&mut self, node: NodeId) {
        if !self.nodes.contains(&node) {
            self.nodes.push(node);
        }
    }

    pub(super) fn deregister(&mut self, node: NodeId) {
        self.nodes.retain(|registered| *registered != node);
    }
}
