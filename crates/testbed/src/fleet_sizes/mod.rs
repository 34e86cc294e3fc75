//! What a node needs before fleets of several sizes: the same scenario with more and smaller cache servers, and how far
//! CPU time, memory, descriptors, connections and lists may grow with them.

mod node_usage;
mod scaling;
mod table;

pub use node_usage::{NodeUsage, NodeUsageSampler};
pub use scaling::with_servers;
pub use table::{Comparison, FleetUsage, Verdict};
