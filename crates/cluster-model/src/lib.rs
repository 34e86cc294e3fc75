//! A deterministic model of everything around the router: cache servers ([`server`]), made of a [`machine`] that shares
//! its cores among requests and a [`memory`] of cached values; the [`origin`]; the [`endpoint_list`] service with its
//! watches and limited capacity; the [`network`] between zones; and the protocol [`invariants`] that routers must keep.
//!
//! Every part is a state machine: the current time is an argument, random draws come from a generator that the caller
//! owns, and `next_event_at` says when the part wants to run again. No clock, thread, socket or hash order takes part,
//! so one seed gives one history. Drivers own the event queue and map it to virtual time or to sockets.

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

/// The random number generator of the model: the same numbers from one seed on every machine.
pub type RandomStream = rand_chacha::ChaCha8Rng;

/// The generator with number `stream` of a seed. Each part of the model has its own, so that more draws in one part
/// change nothing in another.
pub fn random_stream(seed: u64, stream: u64) -> RandomStream {
    use rand_chacha::rand_core::SeedableRng;
    let mut generator = RandomStream::seed_from_u64(seed);
    generator.set_stream(stream);
    generator
}
