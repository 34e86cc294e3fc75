//! The hash that determines each server's position in a key's rendezvous order, optimized for hashing one key
//! with many servers.

use super::HashPurpose;
use crate::interface::{Key, ServerId};

/// XXH3 constants for inputs of 9 to 16 bytes: pairs of words of the default secret, each combined by XOR, and
/// the multiplier of the final avalanche step.
const LOW_SECRET: u64 = 0x6782_737b_ea42_39b9;
const HIGH_SECRET: u64 = 0xaf56_bc3b_0996_523a;
const AVALANCHE_FACTOR: u64 = 0x1656_6791_9e37_79f9;

/// Length of the hash input: a key followed by a server ID.
const INPUT_BYTES: u64 = 12;

/// Hashes one key with any server. The result equals the hash that [`unit_hash`](super::unit_hash()) maps to a
/// number. The part that depends on the key alone is computed once, which leaves two multiplications per
/// server. This takes a fifth of the time of the general function.
#[derive(Clone, Copy)]
pub(crate) struct PositionHash {
    low: u64,
    high: u64,
    sum: u64,
}

impl PositionHash {
    /// Precomputes the part of the hash that depends on the key.
    pub(crate) fn new(key: Key) -> Self {
        let seed = HashPurpose::Position as u64;
        let low = key ^ LOW_SECRET.wrapping_add(seed);
        PositionHash {
            low,
            high: (key >> u32::BITS) ^ HIGH_SECRET.wrapping_sub(seed),
            sum: INPUT_BYTES.wrapping_add(low.swap_bytes()),
        }
    }

    /// Returns the hash of the key and `server`.
    pub(crate) fn hash(self, server: ServerId) -> u64 {
        let high = self.high ^ (u64::from(server) << u32::BITS);
        let product = u128::from(self.low) * u128::from(high);
        let folded = (product as u64) ^ ((product >> u64::BITS) as u64);
        let sum = self.sum.wrapping_add(high).wrapping_add(folded);
        let mixed = (sum ^ (sum >> 37)).wrapping_mul(AVALANCHE_FACTOR);
        mixed ^ (mixed >> 32)
    }
}
