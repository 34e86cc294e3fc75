//! A limit on the bytes that are held for requests and replies. Holders reserve memory before they allocate it.

use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A number of bytes of which holders reserve parts.
#[derive(Clone)]
pub struct MemoryBudget {
    /// One permit for each byte that is free.
    free: Arc<Semaphore>,
    limit: usize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let limit = limit.min(u32::MAX as usize);
        MemoryBudget {
            free: Arc::new(Semaphore::new(limit)),
            limit,
        }
    }

    /// Reserves memory; `None` if not enough is free.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let permit = self.free.clone().try_acquire_many_owned(permits(bytes));
        permit.ok().map(MemoryReservation)
    }

    /// Waits until enough memory is free and reserves it. Memory goes to those who wait in the order in which they
    /// began to. Cancel safe.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let bytes = bytes.min(self.limit);
        match self.free.clone().acquire_many_owned(permits(bytes)).await {
            Ok(permit) => MemoryReservation(permit),
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// Whether less than a quarter is free, so that those who can give memory back should do so.
    pub fn is_short(&self) -> bool {
        self.free.available_permits() < self.limit / 4
    }

    /// How many bytes can be reserved in all.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// How many bytes are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.limit - self.free.available_permits()
    }

    /// How many bytes are free.
    pub fn free_bytes(&self) -> usize {
        self.free.available_permits()
    }
}

/// The permits for a number of bytes.
fn permits(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}

/// Reserved memory, which is given back when this is dropped.
pub struct MemoryReservation(OwnedSemaphorePermit);

impl MemoryReservation {
    /// How many bytes are reserved.
    pub fn bytes(&self) -> usize {
        self.0.num_permits()
    }

    /// Adds another reservation of the same budget.
    pub fn merge(&mut self, other: MemoryReservation) {
        self.0.merge(other.0);
    }

    /// Gives back what exceeds a number of bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        if let Some(excess) = self.bytes().checked_sub(bytes) {
            drop(self.0.split(excess));
        }
    }

    /// Ties the reservation to content, so that the memory is given back when the last reference to it is dropped.
    pub fn attach_to(self, content: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            content,
            _reservation: self,
        })
    }
}

/// How many bytes a holder has reserved that may have no reservation.
pub fn reserved_bytes(reservation: Option<&MemoryReservation>) -> usize {
    reservation.map_or(0, MemoryReservation::bytes)
}

impl Debug for MemoryReservation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.bytes())
    }
}

/// Content whose memory is reserved.
struct ReservedBytes {
    content: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
