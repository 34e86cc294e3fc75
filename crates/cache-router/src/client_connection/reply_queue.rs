//! The replies that a client is waiting for, in the order of its commands.

use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::pipeline_memory::UNRESERVED_PIPELINED;
use crate::event_loop::in_flight::FAILED_REPLY;
use crate::message::{ClientReply, Reply};
use crate::response_buffer::MAX_UNRESERVED_VALUE_BYTES;

/// A queue entry for one reply, or for several equal ones in a row.
struct ReplySlot {
    /// `None` while the reply is pending.
    reply: Option<Reply>,
    /// How many further commands get the same reply.
    repetitions: usize,
    /// Limits the number of open requests; held until the reply is taken from the queue.
    request_permit: Option<OwnedSemaphorePermit>,
}

/// The memory of a queued reply that is short, such as an error, in bytes.
const SHORT_REPLY_BYTES: usize = 64;
/// The memory of a slot with a short reply, in bytes.
pub const SLOT_BYTES: usize = size_of::<ReplySlot>() + SHORT_REPLY_BYTES;

impl ReplySlot {
    fn has_reply(&self, expected: &[u8]) -> bool {
        matches!(&self.reply, Some(Reply::Encoded(reply)) if reply == expected)
    }
}

/// Whether a reply is a long value, whose memory is reserved.
fn is_long(reply: &Reply) -> bool {
    reply.content_length() > MAX_UNRESERVED_VALUE_BYTES
}

/// The replies that a client is waiting for, in the order of its commands.
#[derive(Default)]
pub struct ReplyQueue {
    slots: VecDeque<ReplySlot>,
    /// Sequence number of the first slot.
    first_sequence: u64,
    /// Since when long values have been queued behind a pending reply.
    long_values_since: Option<Instant>,
}

impl ReplyQueue {
    /// Appends a slot for a request that has no reply yet. Returns its sequence number.
    pub fn reserve(&mut self, request_permit: OwnedSemaphorePermit) -> u64 {
        let sequence = self.first_sequence + self.slots.len() as u64;
        self.slots.push_back(ReplySlot {
            reply: None,
            repetitions: 0,
            request_permit: Some(request_permit),
        });
        sequence
    }

    /// Appends a reply that is already known.
    pub fn push_ready(&mut self, reply: impl Into<Bytes>) {
        self.slots.push_back(ReplySlot {
            reply: Some(Reply::Encoded(reply.into())),
            repetitions: 0,
            request_permit: None,
        });
    }

    /// Appends a reply that is already known. If the last slot has the same reply, it is counted there: any number of
    /// equal replies in a row takes the memory of one.
    pub fn push_repeated(&mut self, reply: &'static [u8]) {
        match self.slots.back_mut() {
            Some(last) if last.request_permit.is_none() && last.has_reply(reply) => {
                last.repetitions += 1
            }
            _ => self.push_ready(reply),
        }
    }

    /// Puts a reply in its slot.
    pub fn fill(&mut self, reply: ClientReply) {
        let position = reply.sequence.saturating_sub(self.first_sequence) as usize;
        if let Some(slot) = self.slots.get_mut(position) {
            if is_long(&reply.reply) {
                self.long_values_since.get_or_insert_with(Instant::now);
            }
            slot.reply = Some(reply.reply);
        }
    }

    /// Since when long values have been queued, whose memory is reserved.
    pub fn long_values_since(&self) -> Option<Instant> {
        self.long_values_since
    }

    /// Replaces all long values by a failure, which gives back their memory.
    pub fn fail_long_values(&mut self) {
        for slot in &mut self.slots {
            if slot.reply.as_ref().is_some_and(is_long) {
                slot.reply = Some(Reply::Encoded(Bytes::from_static(FAILED_REPLY)));
            }
        }
        self.long_values_since = None;
    }

    /// Puts a failure in the slot of a reply whose value can't be kept.
    pub fn fill_with_failure(&mut self, reply: &ClientReply) {
        self.fill(ClientReply {
            sequence: reply.sequence,
            reply: Reply::Encoded(Bytes::from_static(FAILED_REPLY)),
        });
    }

    /// How many bytes the replies take that are known.
    pub fn known_bytes(&self) -> usize {
        let replies = self.slots.iter().filter_map(|slot| slot.reply.as_ref());
        replies.map(Reply::content_length).sum()
    }

    /// Gives back the memory of an empty queue that has held more replies than are queued without a reservation.
    pub fn shrink(&mut self) {
        self.slots.shrink_to(UNRESERVED_PIPELINED);
    }

    /// How many bytes the queue takes, without long values, whose memory is reserved.
    pub fn held_bytes(&self) -> usize {
        let replies = self.slots.iter().filter_map(|slot| slot.reply.as_ref());
        let short_bytes: usize = replies
            .map(Reply::content_length)
            .filter(|length| *length <= MAX_UNRESERVED_VALUE_BYTES)
            .sum();
        self.slots.capacity() * size_of::<ReplySlot>() + short_bytes
    }

    /// Puts a reply in all slots that have none.
    pub fn fill_pending(&mut self, reply: &'static [u8]) {
        for slot in &mut self.slots {
            slot.reply
                .get_or_insert(Reply::Encoded(Bytes::from_static(reply)));
        }
    }

    /// Takes the first reply, if it is known.
    pub fn pop_ready(&mut self) -> Option<Reply> {
        let first = self.slots.front_mut()?;
        let reply = first.reply.as_ref()?;
        if first.repetitions > 0 {
            first.repetitions -= 1;
            return Some(reply.clone());
        }
        let slot = self.slots.pop_front()?;
        self.first_sequence += 1;
        // The replies that follow have waited for this one and not for long themselves.
        self.long_values_since = self.long_values_since.and_then(|_| self.first_long_value());
        slot.reply
    }

    /// The present time if a long value is queued.
    fn first_long_value(&self) -> Option<Instant> {
        let mut replies = self.slots.iter().filter_map(|slot| slot.reply.as_ref());
        replies.any(is_long).then(Instant::now)
    }

    /// How many slots are in use.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no reply is queued or pending.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether no reply has been taken from the queue yet.
    pub fn is_unused(&self) -> bool {
        self.first_sequence == 0
    }
}
