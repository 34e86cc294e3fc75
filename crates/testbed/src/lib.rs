//! Plays a [`Scenario`]: nodes that run the decision module against the world's model. [`virtual_time::play`] is the
//! driver in virtual time, in which one seed gives the same [`Report`] on each run; [`sockets::play`] is the one on
//! sockets, with real `cache-router` processes. Clients ([`clients`]) and what a scenario comes to ([`deployment`]) are
//! the same in both.

pub mod baseline;
pub mod clients;
pub mod compare;
pub mod deployment;
pub mod experiment;
pub mod load;
pub mod page;
pub mod program;
mod queue;
pub mod report;
pub mod scenario;
pub mod sockets;
pub mod virtual_time;

pub use report::Report;
pub use scenario::Scenario;

/// A time of a scenario in the world's unit.
fn us(span: router_config::Span) -> cluster_model::Micros {
    span.0.as_micros() as cluster_model::Micros
}
