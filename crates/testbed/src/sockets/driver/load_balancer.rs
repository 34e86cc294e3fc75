//! The load balancer between clients and nodes, which decides which node gets a request.

use cluster_model::RandomStream;
use rand::Rng;

/// Distributes requests uniformly at random among the nodes in rotation.
pub(super) struct LoadBalancer {
    nodes: Vec<u32>,
    random: RandomStream,
}

impl LoadBalancer {
    /// Creates a load balancer with no node in rotation.
    pub(super) fn new(random: RandomStream) -> LoadBalancer {
        LoadBalancer {
            nodes: Vec::new(),
            random,
        }
    }

    /// Number of nodes in rotation.
    pub(super) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Adds a node to the rotation.
    pub(super) fn add(&mut self, node: u32) {
        if !self.nodes.contains(&node) {
            self.nodes.push(node);
        }
    }

    /// Removes a node from the rotation.
    pub(super) fn remove(&mut self, node: u32) {
        self.nodes.retain(|other| *other != node);
    }

    /// Sorts the nodes by number, whatever the order in which they became ready, so that a seed chooses the same nodes
    /// in each run.
    pub(super) fn sort(&mut self) {
        self.nodes.sort_unstable();
    }

    /// Chooses a node for a request. Returns `None` if no node is in rotation.
    pub(super) fn choose(&mut self) -> Option<u32> {
        choose(&self.nodes, &mut self.random)
    }

    /// Chooses a node with another random stream, so that the nodes chosen for requests stay the same.
    pub(super) fn choose_with(&self, random: &mut RandomStream) -> Option<u32> {
        choose(&self.nodes, random)
    }
}

fn choose(nodes: &[u32], random: &mut RandomStream) -> Option<u32> {
    if nodes.is_empty() {
        return None;
    }
    Some(nodes[random.random_range(0..nodes.len())])
}
