//! Seeded hashes of a key and a server, mapped to numbers between 0 and 1.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::{Key, ServerId};

/// What a hash is used for. Each purpose has its own seed, so hashes for different purposes are independent.
/// The values are fixed because all routers must agree on them.
#[derive(Clone, Copy)]
pub(crate) enum HashPurpose {
    /// The position of a server in a key's rendezvous order.
    Position = 0,
    /// Which keys a server in slow start receives.
    SlowStart = 1,
    /// The factor by which a request scales its estimate of a server's queueing time.
    Queue = 2,
    /// Which keys an overloaded server gives up.
    KeyShare = 3,
}

/// Returns a number between 0 and 1 that is fixed for a key (or request ID), a server and a purpose.
pub(crate) fn unit_hash(key: Key, server: ServerId, purpose: HashPurpose) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    unit_interval(xxh3_64_with_seed(&bytes, purpose as u64))
}

/// Maps a hash to a number between 0 and 1. The mapping is monotonic: a greater hash gives the same number or a
/// greater one.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    // Uses the upper 53 bits, the precision of an f64. Adding 0.5 keeps the result above 0.
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
