//! The model of what a node serves: machines that share their cores among requests ([`machine`]), what a cache server
//! keeps ([`memory`]), cache servers made of these ([`server`]), the origin ([`origin`]), the list of servers with its watches
//! and its limited capacity ([`list`]), the network between zones ([`network`]), and the rules that all of it is played
//! by ([`rules`]).
//!
//! Every part is a state machine: time comes as an argument, chance from a generator that the caller owns, and what is
//! to happen later is asked for by `due`. No clock, thread, socket or hash order has a say, so that one seed gives one
//! history. Drivers own the queue of events and turn it into virtual time or sockets.

pub mod list;
pub mod machine;
pub mod memory;
pub mod network;
pub mod origin;
pub mod rules;
pub mod server;

/// Time in microseconds from a beginning that the driver chooses.
pub type Micros = u64;

/// The generator of chance: the same numbers from a seed on each machine.
pub type Chance = rand_chacha::ChaCha8Rng;

/// A generator for one part of the world, so that more chance in one part changes nothing in another.
pub fn chance(seed: u64, part: u64) -> Chance {
    use rand_chacha::rand_core::SeedableRng;
    let mut chance = Chance::seed_from_u64(seed);
    chance.set_stream(part);
    chance
}
