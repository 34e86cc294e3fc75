//! The load balancer between clients and nodes: which nodes get requests.

use cluster_model::RandomStream;
use rand::Rng;

/// Distributes requests at random among the nodes in rotation.
pub(super) struct LoadBalancer {
    nodes: Vec<u32>,
    random: RandomStream,
}

impl LoadBalancer {
    /// A load balancer with no node in rotation.
    pub(super) fn new(random: RandomStream) -> LoadBalancer {
        LoadBalancer {
            nodes: Vec::new(),
            random,
        }
    }

    /// How many nodes are in rotation.
    pub(super) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Takes a node into rotation.
    pub(super) fn add(&mut self, node: u32) {
        if !self.nodes.contains(&node) {
            self.nodes.push(node);
        }
    }

    /// Takes a node out of rotation.
    pub(super) fn remove(&mut self, node: u32) {
        self.nodes.retain(|other| *other != node);
    }

    /// Puts the nodes into the order of their numbers, whatever the order in which they came up, so that one seed
    /// chooses the same nodes in each run.
    pub(super) fn sort(&mut self) {
        self.nodes.sort_unstable();
    }

    /// Chooses a node for a request; `None` where none is in rotation.
    pub(super) fn choose(&mut self) -> Option<u32> {
        choose(&self.nodes, &mut self.random)
    }

    /// Chooses a node for something else than a request, without changing which nodes requests go to.
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
