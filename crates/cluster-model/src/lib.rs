//! A deterministic model of the environment of a router:
//!
//! - cache servers ([`server`]), each with a [`machine`] that shares its cores among requests and a [`memory`] of values
//! - the [`origin`]
//! - the [`endpoint_list`] service, with its watches and limited capacity
//! - the [`network`] between zones
//! - the protocol [`invariants`] that routers must satisfy
//!
//! Every component is a state machine. The current time is an argument, random draws come from a generator that the
//! caller owns, and `next_event_at` returns when the component must be called next. The model uses no clock, thread or
//! socket and does not depend on hash order, so a seed determines the whole history. Drivers own the event queue and
//! run it in virtual time or on sockets.

mod accepted_jobs;
pub mod endpoint_list;
pub mod invariants;
pub mod machine;
pub mod memory;
pub mod network;
pub mod origin;
pub mod server;
pub mod slow_start_budget;

pub use accepted_jobs::CompletedJob;

/// Time in microseconds since an instant that the driver chooses.
pub type Micros = u64;

/// The random number generator of the model. A seed gives the same numbers on every platform.
pub type RandomStream = rand_chacha::ChaCha8Rng;

/// Creates the generator with number `stream` of a seed. Each component of the model has its own stream, so that
/// additional draws in one component do not change the draws of another.
pub fn random_stream(seed: u64, stream: u64) -> RandomStream {
    use rand_chacha::rand_core::SeedableRng;
    let mut generator = RandomStream::seed_from_u64(seed);
    generator.set_stream(stream);
    generator
}
