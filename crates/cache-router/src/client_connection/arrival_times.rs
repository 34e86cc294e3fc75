//! Arrival times of input that is read before the commands in it are processed.

use std::collections::VecDeque;

use routing_policy::Micros;

/// The most arrivals that are recorded separately. Later bytes count as part of the last one, which dates them too
/// early. The limit exceeds the number of small requests in half of the read-ahead buffer.
const MAX_ARRIVALS: usize = 1_024;
/// Bytes that arrive within this many microseconds after others are merged with them: deadlines are in milliseconds.
const MERGE_WINDOW: Micros = 1_000;

/// A number of bytes that arrived at the same time.
struct Arrival {
    bytes: usize,
    arrived_at: Micros,
}

/// The arrival times of the bytes in an input buffer, in the order of the bytes.
#[derive(Default)]
pub struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records bytes that were appended to the buffer.
    pub fn add(&mut self, bytes: usize, arrived_at: Micros) {
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if is_full || arrived_at < last.arrived_at + MERGE_WINDOW => {
                last.bytes += bytes
            }
            _ => self.arrivals.push_back(Arrival { bytes, arrived_at }),
        }
    }

    /// How many bytes of memory the times take.
    pub fn held_bytes(&self) -> usize {
        self.arrivals.capacity() * size_of::<Arrival>()
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
        last_arrival
    }
}
