//! The memory for the replies that a client is waiting for, beside their long values. A few are queued in any case; for
//! as many as a client may have pending, memory is reserved first.

use super::MAX_PIPELINED;
use super::reply_queue::SLOT_BYTES;
use crate::memory_budget::{MemoryBudget, MemoryReservation, reserved_bytes};

/// How many replies a client may wait for without a reservation.
pub const UNRESERVED_PIPELINED: usize = 8;

/// Their memory, in bytes.
pub const UNRESERVED_PIPELINE_BYTES: usize = UNRESERVED_PIPELINED * SLOT_BYTES;

/// The memory for the queued replies of one client.
pub struct PipelineMemory {
    /// The memory that all connections share.
    memory: MemoryBudget,
    reservation: Option<MemoryReservation>,
}

impl PipelineMemory {
    /// The memory of a new connection.
    pub fn new(memory: MemoryBudget) -> Self {
        PipelineMemory {
            memory,
            reservation: None,
        }
    }

    /// How many replies the client may wait for.
    pub fn max_pending(&self) -> usize {
        match self.reservation {
            Some(_) => MAX_PIPELINED,
            None => UNRESERVED_PIPELINED,
        }
    }

    /// Reserves memory if the client waits for as many replies as it may, and there is memory.
    pub fn extend(&mut self, pending: usize) {
        if pending >= UNRESERVED_PIPELINED && self.reservation.is_none() {
            let bytes = (MAX_PIPELINED - UNRESERVED_PIPELINED) * SLOT_BYTES;
            self.reservation = self.memory.try_reserve(bytes);
        }
    }

    /// Gives back the memory, as no reply is queued.
    pub fn release(&mut self) {
        self.reservation = None;
    }

    /// How many bytes are reserved.
    pub fn reserved_bytes(&self) -> usize {
        reserved_bytes(self.reservation.as_ref())
    }
}
