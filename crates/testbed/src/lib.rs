//! Runs a [`Scenario`]: nodes that run the routing policy against the model of a cluster. [`virtual_time::run`] is the
//! driver in virtual time, in which one seed gives the same [`Report`] on every run; [`sockets`] is the driver in real
//! time, with real `cache-router` processes. Clients ([`clients`]) and what a scenario means for each part of the model
//! ([`deployment`]) are the same in both.
//!
//! On top of the drivers: [`experiment`] runs scenarios, seeds and variants against each other, [`compare`] and
//! [`html_report`] evaluate them; [`atomic_file`] writes what they keep; [`fault_matrix`] compares runs with and without
//! faults of system calls, and [`fleet_sizes`] what nodes need before fleets of several sizes; [`load`] generates load in
//! real time, and [`baseline`] measures one node with it.

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

/// A time span of a scenario in the unit of the model.
fn micros(span: router_config::Span) -> cluster_model::Micros {
    span.0.as_micros() as cluster_model::Micros
}
