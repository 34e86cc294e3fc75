//! Identifiers of requests, servers and keys, and the unit of time. This module depends on no other.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// Identifies a client request at this router; never used twice.
pub type RequestId = u64;
/// Identifies a server (or the origin); the same after a restart of its process.
pub type ServerId = u32;
/// The key that a request reads or writes; 0 for none.
pub type Key = u64;
