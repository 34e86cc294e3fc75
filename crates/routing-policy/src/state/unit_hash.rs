//! A seeded hash of a key and a server, as a number between 0 and 1.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::{Key, ServerId};

/// What a hash is for: draws for different purposes are independent of each other. The values are fixed, as
/// all routers must agree on them.
#[derive(Clone, Copy)]
pub(crate) enum Purpose {
    /// The position of a server in a key's order.
    Position = 0,
    /// Which keys a server that warms up is given.
    SlowStart = 1,
    /// How long a request takes a server's queue for.
    Queue = 2,
    /// Which keys are routed past an overloaded server.
    KeyShare = 3,
}

/// A number between 0 and 1, fixed for a key (or request), a server and a purpose.
pub(crate) fn unit_hash(key: Key, server: ServerId, purpose: Purpose) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    unit_interval(xxh3_64_with_seed(&bytes, purpose as u64))
}

/// A hash as a number between 0 and 1; a greater hash gives the same number or a greater one.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    // The upper 53 bits, as many as a double holds; the half keeps the result off 0.
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
