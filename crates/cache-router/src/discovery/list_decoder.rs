//! Decodes a stream of endpoint lists: consecutive JSON values, each on one or more lines.

use bytes::{Buf, BytesMut};
use thiserror::Error;
use tokio::time::Instant;

use crate::message::EndpointListUpdate;

/// Maximum size of a list, in bytes. It bounds the memory for a stream that never ends a list.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// The reason why a stream is not a valid sequence of endpoint lists.
#[derive(Debug, Error)]
pub enum ListError {
    /// The data is not JSON, or does not have the form of an endpoint list.
    #[error("{0}; the current list stays in use")]
    Invalid(#[from] serde_json::Error),
    /// A list exceeds the size limit.
    #[error("an endpoint list is longer than {max} bytes", max = MAX_LIST_BYTES)]
    TooLong,
    /// The stream ended in the middle of a list.
    #[error("the stream ended with {unread_bytes} bytes of an incomplete list")]
    Truncated {
        /// Bytes of the incomplete list.
        unread_bytes: usize,
    },
}

/// Decodes endpoint lists from a stream, at whatever points its bytes are split. The time that this takes is
/// proportional to the number of bytes, however small the pieces are in which they arrive.
#[derive(Default)]
pub struct EndpointListDecoder {
    pending: BytesMut,
    incomplete_since: Option<Instant>,
    value_ends: ValueEnds,
    /// Pending bytes that were found to be incomplete are parsed again from their start only when there are at least
    /// this many, in case they are invalid.
    next_check_at: usize,
}

impl EndpointListDecoder {
    /// Returns when the incomplete list at the end of the received data began; `None` if there is none.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since
    }

    /// Adds bytes of the stream and returns the lists that are complete now.
    ///
    /// # Errors
    ///
    /// If the stream is not a sequence of endpoint lists, or a list is too long.
    pub fn decode(&mut self, data: &[u8]) -> Result<Vec<EndpointListUpdate>, ListError> {
        self.pending.extend_from_slice(data);
        let has_value_end = self.value_ends.scan(data);
        let is_check_due = self.pending.len() >= self.next_check_at && data.contains(&b'}');
        let may_complete = has_value_end || is_check_due || self.pending.trim_ascii().is_empty();
        let updates = if may_complete {
            self.take_complete()?
        } else {
            Vec::new()
        };
        if self.pending.len() > MAX_LIST_BYTES {
            return Err(ListError::TooLong);
        }
        let same_list_since = self.incomplete_since.filter(|_| updates.is_empty());
        self.incomplete_since = match self.pending.is_empty() {
            true => None,
            false => same_list_since.or_else(|| Some(Instant::now())),
        };
        Ok(updates)
    }

    /// Parses the complete lists and removes them from the pending bytes.
    fn take_complete(&mut self) -> Result<Vec<EndpointListUpdate>, ListError> {
        let mut updates = Vec::new();
        let mut values = serde_json::Deserializer::from_slice(&self.pending).into_iter();
        let consumed = loop {
            match values.next() {
                Some(Ok(update)) => updates.push(update),
                Some(Err(error)) if error.is_eof() => break values.byte_offset(),
                Some(Err(error)) => return Err(error.into()),
                None => break self.pending.len(),
            }
        };
        self.pending.advance(consumed);
        self.next_check_at = self.pending.len() * 2;
        Ok(updates)
    }

    /// Checks that the stream did not end in the middle of a list.
    ///
    /// # Errors
    ///
    /// [`ListError::Truncated`] if it did.
    pub fn finish(&self) -> Result<(), ListError> {
        match self.pending.len() {
            0 => Ok(()),
            unread_bytes => Err(ListError::Truncated { unread_bytes }),
        }
    }
}

/// Finds the ends of the JSON objects in a stream without parsing them.
#[derive(Default)]
struct ValueEnds {
    /// How many objects and arrays are open.
    depth: usize,
    is_in_string: bool,
    /// Whether the next character of the string is escaped.
    is_escaped: bool,
}

impl ValueEnds {
    /// Scans the next bytes of the stream. Returns whether an object that is not part of another one ends among them.
    fn scan(&mut self, bytes: &[u8]) -> bool {
        let mut has_end = false;
        for byte in bytes {
            if self.is_in_string {
                self.scan_in_string(*byte);
                continue;
            }
            match byte {
                b'"' => self.is_in_string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    has_end |= self.depth == 0;
                }
                _ => {}
            }
        }
        has_end
    }

    fn scan_in_string(&mut self, byte: u8) {
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = true,
            b'"' => self.is_in_string = false,
            _ => {}
        }
    }
}
