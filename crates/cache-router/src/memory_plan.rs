//! Divides the limit on the memory of the process. What each connection, request and endpoint holds without a reservation
//! is set aside as often as there can be one; the rest is for content, whose memory is reserved.

use crate::client_connection::CLIENT_CONNECTION_BYTES;
use crate::server_connection::SERVER_CONNECTION_BYTES;

/// Bytes in a MiB, the unit of the limit on memory.
pub const BYTES_PER_MB: usize = 1024 * 1024;
/// Memory of the process without connections, requests and endpoints, in bytes: the program, and log lines that wait to
/// be written.
const PROCESS_BYTES: usize = 6 * BYTES_PER_MB;
/// What a request holds without a reservation, in bytes: a short command twice, a short value, and its records.
const REQUEST_BYTES: usize = 5 * 1024;
/// What an endpoint takes, in bytes, also while a list is decoded.
const ENDPOINT_BYTES: usize = 2 * 1024;
/// Of what is left for content, one part in this many is set aside for memory that the allocator can't use.
const ALLOCATOR_PART: usize = 4;
/// What the process needs for itself, in bytes, where content is limited to half of all memory.
const HALF_RESERVE_BYTES: usize = 2 * BYTES_PER_MB;
/// The least memory for requests or replies, in bytes: a few of the longest.
const MIN_BUDGET_BYTES: usize = BYTES_PER_MB;

/// What a process may have at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// The limit on the memory of the process, in MiB.
    pub memory_mb: usize,
    /// The most connections to clients, which is also that of connections to servers.
    pub connections: usize,
    /// The most requests that are accepted and not replied to.
    pub requests: usize,
    /// The endpoints in the list at startup.
    pub endpoints: usize,
}

impl Capacity {
    /// What is held without a reservation at most, in bytes.
    pub fn unreserved_bytes(&self) -> usize {
        PROCESS_BYTES
            + self.connections * (CLIENT_CONNECTION_BYTES + SERVER_CONNECTION_BYTES)
            + self.requests * REQUEST_BYTES
            + self.endpoints * ENDPOINT_BYTES
    }

    /// The memory for requests, in bytes, which is also that for replies. Both together get at most half of the limit.
    pub fn budget_bytes(&self) -> usize {
        let limit = self.memory_mb * BYTES_PER_MB;
        let rest = limit.saturating_sub(self.unreserved_bytes());
        let usable = rest - rest / ALLOCATOR_PART;
        let half = (limit / 2).saturating_sub(HALF_RESERVE_BYTES);
        (usable.min(half) / 2).max(MIN_BUDGET_BYTES)
    }
}
