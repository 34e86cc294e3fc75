//! Runs a [`Scenario`]: nodes run the routing policy against the model of a cluster. [`virtual_time::run`] is the
//! driver in virtual time, in which a seed gives the same [`Report`] on every run. [`sockets`] is the driver in real
//! time, with real `cache-router` processes. Both use the same clients ([`clients`]) and the same [`deployment`] of a
//! scenario.
//!
//! Other modules build on the drivers. [`experiment`] runs every combination of scenarios, seeds and variants, and
//! [`compare`] and [`html_report`] evaluate the results. [`atomic_file`] writes result files. [`fault_matrix`] compares
//! runs with and without system call faults. [`fleet_sizes`] compares the resource usage of nodes in front of fleets of
//! several sizes. [`load`] generates load in real time, and [`baseline`] uses it to measure a single node.

pub mod atomic_file;
pub mod baseline;
pub mod clients;
pub mod compare;
pub mod deployment;
mod event_queue;
pub mod experiment;
pub mod fault_matrix;
pub mod fleet_sizes;
pub mod html_report;
pub mod load;
pub mod program;
pub mod report;
pub mod scenario;
pub mod sockets;
pub mod virtual_time;

pub use report::Report;
pub use scenario::Scenario;

/// Converts a duration of a scenario to the unit of the cluster model.
fn micros(duration: router_config::HumanDuration) -> cluster_model::Micros {
    duration.0.as_micros() as cluster_model::Micros
}
