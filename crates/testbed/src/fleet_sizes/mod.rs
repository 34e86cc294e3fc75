//! Measures how the resource usage of a node (a `cache-router` process) grows with the number of cache servers. The
//! same scenario is run with more and smaller cache servers, and there are limits for the growth of CPU time, memory,
//! descriptors, connections and endpoint lists.

mod node_usage;
mod scaling;
mod table;

pub use node_usage::{NodeUsage, NodeUsageSampler};
pub use scaling::with_server_count;
pub use table::{Comparison, FleetUsage, Verdict};
