//! The buffer for the response of a server, and the decoder of the server's protocol.
//!
//! Short responses are buffered in any case. For a longer one, memory is reserved before more of it is read. The value
//! of a response keeps its reservation until the client's connection has written it.

use bytes::{Bytes, BytesMut};

use crate::memory_budget::{MemoryBudget, MemoryReservation, reserved_bytes};
use crate::message::{ProtocolError, ServerProtocol, ServerResponse};
use crate::resp::MAX_REPLY_BYTES;
use crate::{cache_protocol, origin_protocol};

/// Free space in the buffer before each read, in bytes: most responses fit in one read.
const READ_CAPACITY: usize = 2048;
/// How many bytes of a response are buffered without a reservation.
const UNRESERVED_BYTES: usize = READ_CAPACITY;
/// The longest value whose memory is not reserved, in bytes.
pub const MAX_UNRESERVED_VALUE_BYTES: usize = UNRESERVED_BYTES;

/// The received part of a response.
pub struct ResponseBuffer {
    bytes: BytesMut,
    decoder: Decoder,
    reservation: Option<MemoryReservation>,
}

impl ResponseBuffer {
    /// Creates an empty buffer.
    pub fn new(protocol: ServerProtocol) -> Self {
        ResponseBuffer {
            bytes: BytesMut::new(),
            decoder: Decoder::new(protocol),
            reservation: None,
        }
    }

    /// Whether memory has to be reserved before more of the response is read.
    pub fn needs_memory(&self) -> bool {
        let needed = self.needed_bytes();
        needed > UNRESERVED_BYTES && needed > self.reserved_bytes()
    }

    /// Returns the buffer with room for a read.
    pub fn free_space(&mut self) -> &mut BytesMut {
        self.bytes.reserve(READ_CAPACITY);
        &mut self.bytes
    }

    /// How many bytes are held without a reservation.
    pub fn unreserved_bytes(&self) -> usize {
        let held = self.bytes.capacity() + self.decoder.content_capacity();
        held.saturating_sub(self.reserved_bytes())
    }

    fn reserved_bytes(&self) -> usize {
        reserved_bytes(self.reservation.as_ref())
    }

    /// Waits until memory is reserved for the response, and allocates it at once: a buffer that grows by itself could
    /// take twice as much.
    pub async fn reserve(&mut self, memory: &MemoryBudget) {
        // What follows the value is short, so another read has room for it. If that is not so, the maximum is reserved.
        let capacity = READ_CAPACITY
            + match self.reservation {
                None => self.needed_bytes(),
                Some(_) => MAX_REPLY_BYTES,
            };
        let added = memory.reserve(capacity - self.reserved_bytes()).await;
        match &mut self.reservation {
            Some(reservation) => reservation.merge(added),
            None => self.reservation = Some(added),
        }
        self.decoder.reserve_content();
        let mut bytes = BytesMut::with_capacity(capacity - self.decoder.content_capacity());
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
    }

    /// Returns the response once it is complete.
    ///
    /// # Errors
    ///
    /// If the bytes are not a response of the server's protocol, or exceed its limits.
    pub fn decode(
        &mut self,
        load_report_names: &[String],
    ) -> Result<Option<ServerResponse>, ProtocolError> {
        let response = self.decoder.decode(&mut self.bytes, load_report_names)?;
        Ok(response.map(|response| self.finish(response)))
    }

    /// Returns the response whose end is the regular end of the connection, if there is one.
    pub fn decode_at_end(&mut self, load_report_names: &[String]) -> Option<ServerResponse> {
        let response = self
            .decoder
            .decode_at_end(&mut self.bytes, load_report_names)?;
        Some(self.finish(response))
    }

    /// How many bytes the response takes, as far as known.
    fn needed_bytes(&self) -> usize {
        let received = self.bytes.len() + self.decoder.content_length();
        match self.decoder.missing_bytes(&self.bytes) {
            Some(missing) => self.bytes.len() + missing,
            None if received > UNRESERVED_BYTES / 2 => MAX_REPLY_BYTES,
            None => received,
        }
    }

    /// Ties the value of a response to its memory, and frees what it does not need.
    fn finish(&mut self, mut response: ServerResponse) -> ServerResponse {
        // Bytes after the response belong to no request, so later responses could not be matched to requests.
        response.reusable &= self.bytes.is_empty();
        self.bytes = BytesMut::new();
        let reservation = self.reservation.take();
        response.value = response.value.map(|value| keep_value(value, reservation));
        response
    }
}

/// Ties a value to its reservation. A value that takes much less memory than is held for it is copied.
fn keep_value(value: Bytes, reservation: Option<MemoryReservation>) -> Bytes {
    let Some(mut reservation) = reservation else {
        return Bytes::copy_from_slice(&value);
    };
    if value.len() <= MAX_UNRESERVED_VALUE_BYTES {
        return Bytes::copy_from_slice(&value);
    }
    if value.len() >= reservation.bytes() / 2 {
        return reservation.attach_to(value);
    }
    let copy = Bytes::copy_from_slice(&value);
    reservation.shrink_to(copy.len());
    reservation.attach_to(copy)
}

/// Decodes the responses on a connection in the protocol of its server.
enum Decoder {
    Resp(cache_protocol::ReplyDecoder),
    Http(origin_protocol::ResponseDecoder),
}

impl Decoder {
    fn new(protocol: ServerProtocol) -> Self {
        match protocol {
            ServerProtocol::Resp => Decoder::Resp(cache_protocol::ReplyDecoder::default()),
            ServerProtocol::Http => Decoder::Http(origin_protocol::ResponseDecoder::default()),
        }
    }

    fn decode(
        &mut self,
        buffer: &mut BytesMut,
        load_report_names: &[String],
    ) -> Result<Option<ServerResponse>, ProtocolError> {
        match self {
            Decoder::Resp(decoder) => decoder.decode(buffer, load_report_names),
            Decoder::Http(decoder) => decoder.decode(buffer, load_report_names),
        }
    }

    fn decode_at_end(
        &mut self,
        buffer: &mut BytesMut,
        load_report_names: &[String],
    ) -> Option<ServerResponse> {
        match self {
            Decoder::Resp(_) => None,
            Decoder::Http(decoder) => decoder.decode_at_end(buffer, load_report_names),
        }
    }

    /// How many bytes the buffer lacks until the response is complete, if that is known.
    fn missing_bytes(&self, buffer: &BytesMut) -> Option<usize> {
        match self {
            Decoder::Resp(decoder) => Some(decoder.missing_bytes()),
            Decoder::Http(decoder) => decoder.missing_bytes(buffer),
        }
    }

    /// The length of the content that was decoded and removed from the buffer.
    fn content_length(&self) -> usize {
        match self {
            Decoder::Resp(_) => 0,
            Decoder::Http(decoder) => decoder.content_length(),
        }
    }

    /// The memory of that content.
    fn content_capacity(&self) -> usize {
        match self {
            Decoder::Resp(_) => 0,
            Decoder::Http(decoder) => decoder.content_capacity(),
        }
    }

    /// Allocates the memory for content of the maximum length, if content is decoded as it arrives.
    fn reserve_content(&mut self) {
        if let Decoder::Http(decoder) = self {
            decoder.reserve_content();
        }
    }
}
