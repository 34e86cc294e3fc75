//! Arrival times of input that is read before the commands in it are processed.

use std::collections::VecDeque;

use routing_policy::Micros;

use crate::memory_budget::{MemoryBudget, MemoryReservation, reserved_bytes};

/// The most arrivals that are recorded separately. Later bytes count as part of the last one, which dates them too
/// early. The limit exceeds the number of small requests in half of the read-ahead buffer.
const MAX_ARRIVALS: usize = 1_024;
/// How many arrivals are recorded without a reservation of memory.
const UNRESERVED_ARRIVALS: usize = 64;
/// Their memory, in bytes.
pub const MAX_UNRESERVED_ARRIVAL_BYTES: usize = UNRESERVED_ARRIVALS * size_of::<Arrival>();
/// The memory of all others, in bytes.
const RESERVED_BYTES: usize = (MAX_ARRIVALS - UNRESERVED_ARRIVALS) * size_of::<Arrival>();
/// Bytes that arrive within this many microseconds after others are merged with them: deadlines are in milliseconds.
const MERGE_WINDOW: Micros = 1_000;

/// A number of bytes that arrived at the same time.
struct Arrival {
    bytes: usize,
    arrived_at: Micros,
}

/// The arrival times of the bytes in an input buffer, in the order of the bytes.
pub struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
    /// The memory that all client connections share.
    memory: MemoryBudget,
    /// The memory of more than [`UNRESERVED_ARRIVALS`].
    reservation: Option<MemoryReservation>,
}

impl ArrivalTimes {
    /// Creates an empty record.
    pub fn new(memory: MemoryBudget) -> Self {
        ArrivalTimes {
            arrivals: VecDeque::new(),
            memory,
            reservation: None,
        }
    }

    /// Records bytes that were appended to the buffer.
    pub fn add(&mut self, bytes: usize, arrived_at: Micros) {
        let is_recent = |last: &Arrival| arrived_at < last.arrived_at + MERGE_WINDOW;
        let is_new = !self.arrivals.back().is_some_and(is_recent);
        if is_new && self.has_room() {
            self.arrivals.push_back(Arrival { bytes, arrived_at });
        } else if let Some(last) = self.arrivals.back_mut() {
            last.bytes += bytes;
        }
    }

    /// Whether another arrival can be recorded separately. Reserves the memory for it.
    fn has_room(&mut self) -> bool {
        if self.arrivals.len() < UNRESERVED_ARRIVALS {
            return true;
        }
        if self.reservation.is_none() {
            self.reservation = self.memory.try_reserve(RESERVED_BYTES);
        }
        self.reservation.is_some() && self.arrivals.len() < MAX_ARRIVALS
    }

    /// Gives back the memory that is not needed any more.
    fn shrink(&mut self) {
        if self.reservation.is_some() && self.arrivals.len() < UNRESERVED_ARRIVALS {
            self.arrivals.shrink_to(UNRESERVED_ARRIVALS);
            self.reservation = None;
        }
    }

    /// How many bytes of memory the times take without a reservation.
    pub fn unreserved_bytes(&self) -> usize {
        let held = self.arrivals.capacity() * size_of::<Arrival>();
        held.saturating_sub(reserved_bytes(self.reservation.as_ref()))
    }

    /// Forgets all bytes.
    pub fn clear(&mut self) {
        self.arrivals = VecDeque::new();
        self.reservation = None;
    }

    /// Counts all bytes as part of the last arrival.
    pub fn merge(&mut self) {
        if self.arrivals.len() <= 1 {
            return;
        }
        let bytes = self.arrivals.iter().map(|arrival| arrival.bytes).sum();
        let last = self.arrivals.pop_back();
        // Frees the memory of many arrivals.
        self.arrivals = last
            .map(|last| Arrival { bytes, ..last })
            .into_iter()
            .collect();
        self.reservation = None;
    }

    /// Removes bytes that were taken from the front of the buffer. Returns when the last of them arrived.
    pub fn take(&mut self, mut bytes: usize) -> Option<Micros> {
        let mut last_arrival = None;
        while bytes > 0
            && let Some(arrival) = self.arrivals.front_mut()
        {
            let taken = bytes.min(arrival.bytes);
            arrival.bytes -= taken;
            bytes -= taken;
            last_arrival = Some(arrival.arrived_at);
            if arrival.bytes == 0 {
                self.arrivals.pop_front();
            }
        }
        self.shrink();
        last_arrival
    }
}
