//! When the bytes arrived that were read ahead of the commands in them.

use std::collections::VecDeque;

use routing_policy::Micros;

/// The most arrivals that are kept apart; what comes beyond counts as arrived with the last of them, which is too early.
/// More than there are small requests in half of what is read ahead.
const MAX_ARRIVALS: usize = 1_024;
/// Bytes that arrive within this of others, in microseconds, count as arrived with them: deadlines are in milliseconds.
const MERGE_WINDOW: Micros = 1_000;

/// Bytes that arrived together.
struct Arrival {
    bytes: usize,
    at: Micros,
}

/// When the bytes of an input buffer arrived, in their order.
#[derive(Default)]
pub struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records bytes that are appended to the buffer.
    pub fn add(&mut self, bytes: usize, at: Micros) {
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if is_full || at < last.at + MERGE_WINDOW => last.bytes += bytes,
            _ => self.arrivals.push_back(Arrival { bytes, at }),
        }
    }

    /// Removes bytes that are taken off the front of the buffer. Returns when the last of them arrived.
    pub fn take(&mut self, mut bytes: usize) -> Option<Micros> {
        let mut last_arrival = None;
        while bytes > 0
            && let Some(arrival) = self.arrivals.front_mut()
        {
            let part = bytes.min(arrival.bytes);
            arrival.bytes -= part;
            bytes -= part;
            last_arrival = Some(arrival.at);
            if arrival.bytes == 0 {
                self.arrivals.pop_front();
            }
        }
        last_arrival
    }
}
