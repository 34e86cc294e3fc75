//! The protocol of the origin, over HTTP/1.1: encodes the requests that the router sends and interprets the responses.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use routing_policy::AttemptStatus;

use crate::cache_protocol;
use crate::http::{self, ChunkDecoder, MAX_HEAD_BYTES, ResponseHead};
use crate::message::{ClientCommand, ProtocolError, ServerResponse};
use crate::resp::MAX_VALUE_BYTES;

/// The most interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 64;
/// Initial capacity of the buffer for a request, in bytes: a read fits in it.
const REQUEST_CAPACITY: usize = 512;

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// Encodes a client's command as an HTTP request. As for a cache server, the request states the remaining time in
/// milliseconds.
pub fn encode(command: &ClientCommand, host: &str, remaining_ms: u64) -> Bytes {
    let mut out = BytesMut::with_capacity(REQUEST_CAPACITY);
    out.put_slice(if command.is_write { b"PUT /" } else { b"GET /" });
    out.put_slice(&command.key);
    out.put_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Correlation-Id: ").as_bytes());
    out.put_slice(&command.request_id);
    let fields = cache_protocol::forwarded_fields(command, remaining_ms);
    out.put_slice(format!("\r\nX-Facts: {fields}\r\n").as_bytes());
    let body: &[u8] = command.value.as_deref().unwrap_or(b"");
    if command.is_write {
        out.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}

/// Decodes the responses on a connection, one after the other, while their bytes arrive. The work for a response is
/// proportional to its bytes, whatever the sizes of the reads.
#[derive(Default)]
pub struct ResponseDecoder {
    /// How many bytes of an incomplete head have been parsed.
    parsed_head_bytes: usize,
    interim_responses: usize,
    /// The response whose body has begun.
    started: Option<StartedResponse>,
}

/// A response whose head is complete and removed from the buffer.
struct StartedResponse {
    head: ResponseHead,
    body: PartialBody,
}

/// The received part of a body.
enum PartialBody {
    /// The body ends after a stated length. It is in the buffer.
    Sized { length: usize, reusable: bool },
    /// The body ends with its connection. It is in the buffer.
    UntilEnd,
    /// The body comes in chunks, of which the content is decoded as it arrives.
    Chunked {
        decoder: ChunkDecoder,
        content: BytesMut,
    },
}

/// The body of a response, and whether the connection can be used for another request after it.
struct Body {
    content: Bytes,
    reusable: bool,
}

impl ResponseDecoder {
    /// Removes the next response from the front of the bytes that were received on a connection; `None` while it is
    /// incomplete. Bytes that have been removed must not be passed again.
    ///
    /// # Errors
    ///
    /// If the bytes are not a response of this protocol, or its value is too long.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        load_report_names: &[String],
    ) -> Result<Option<ServerResponse>, ProtocolError> {
        if self.started.is_none() {
            self.started = self.take_head(buffer)?;
        }
        let Some(started) = &mut self.started else {
            return Ok(None);
        };
        let Some(body) = started.body.take_complete(buffer)? else {
            return Ok(None);
        };
        let response = response(&started.head, body, load_report_names);
        *self = ResponseDecoder::default();
        Ok(Some(response))
    }

    /// Removes the response that ends with its connection: the regular end of the connection completes a response
    /// without a length. `None` if the received bytes are not such a response. A reset of the connection does not
    /// complete a response.
    pub fn decode_at_end(
        &mut self,
        buffer: &mut BytesMut,
        load_report_names: &[String],
    ) -> Option<ServerResponse> {
        let started = self.started.take()?;
        if !matches!(started.body, PartialBody::UntilEnd) {
            return None;
        }
        let body = Body {
            content: buffer.split().freeze(),
            reusable: false,
        };
        Some(response(&started.head, body, load_report_names))
    }

    /// How many more bytes the buffer has to hold for the response to be complete, if that is known.
    pub fn missing_bytes(&self, buffer: &BytesMut) -> Option<usize> {
        match self.started.as_ref()?.body {
            PartialBody::Sized { length, .. } => Some(length.saturating_sub(buffer.len())),
            PartialBody::UntilEnd | PartialBody::Chunked { .. } => None,
        }
    }

    /// The length of the content that was decoded and removed from the buffer.
    pub fn content_length(&self) -> usize {
        self.content().map_or(0, BytesMut::len)
    }

    /// The memory of that content, in bytes.
    pub fn content_capacity(&self) -> usize {
        self.content().map_or(0, BytesMut::capacity)
    }

    /// Allocates memory for content of the maximum length, if content is decoded as it arrives.
    pub fn reserve_content(&mut self) {
        if let Some(StartedResponse {
            body: PartialBody::Chunked { content, .. },
            ..
        }) = &mut self.started
        {
            content.reserve(MAX_VALUE_BYTES.saturating_sub(content.len()));
        }
    }

    fn content(&self) -> Option<&BytesMut> {
        match &self.started.as_ref()?.body {
            PartialBody::Chunked { content, .. } => Some(content),
            PartialBody::Sized { .. } | PartialBody::UntilEnd => None,
        }
    }

    /// Removes the head of the final response from the buffer, and the interim responses before it; `None` while it is
    /// incomplete.
    fn take_head(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<StartedResponse>, ProtocolError> {
        while self.can_parse_head(buffer) {
            self.parsed_head_bytes = buffer.len();
            let Some(head) = http::parse_head(buffer).map_err(|_| ProtocolError)? else {
                return Ok(None);
            };
            buffer.advance(head.head_length);
            self.parsed_head_bytes = 0;
            if !(100..200).contains(&head.status) {
                return StartedResponse::new(head).map(Some);
            }
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(ProtocolError);
            }
        }
        Ok(None)
    }

    /// Whether parsing the head may tell more than the last time: it has not been parsed yet, or the end of a line has
    /// arrived, or it is too long. The parser begins at the start of the head, so it must not run for each byte.
    fn can_parse_head(&self, buffer: &BytesMut) -> bool {
        let is_first = self.parsed_head_bytes == 0 && !buffer.is_empty();
        is_first
            || buffer.len() > MAX_HEAD_BYTES
            || buffer[self.parsed_head_bytes..].contains(&b'\n')
    }
}

impl StartedResponse {
    fn new(head: ResponseHead) -> Result<StartedResponse, ProtocolError> {
        let body = if head.chunked {
            PartialBody::Chunked {
                decoder: ChunkDecoder::default(),
                content: BytesMut::new(),
            }
        } else {
            match head.content_length {
                Some(length) if length <= MAX_VALUE_BYTES => PartialBody::Sized {
                    length,
                    reusable: !head.close,
                },
                Some(_) => return Err(ProtocolError),
                None if head.status == STATUS_OK => PartialBody::UntilEnd,
                // A response without a value needs no body: only its head is used.
                None => PartialBody::Sized {
                    length: 0,
                    reusable: false,
                },
            }
        };
        Ok(StartedResponse { head, body })
    }
}

impl PartialBody {
    /// Takes the available part of the body from the buffer, and returns the body if it is complete.
    fn take_complete(&mut self, buffer: &mut BytesMut) -> Result<Option<Body>, ProtocolError> {
        match self {
            PartialBody::Sized { length, .. } if buffer.len() < *length => Ok(None),
            PartialBody::Sized { length, reusable } => Ok(Some(Body {
                content: buffer.split_to(*length).freeze(),
                reusable: *reusable,
            })),
            PartialBody::UntilEnd if buffer.len() > MAX_VALUE_BYTES => Err(ProtocolError),
            PartialBody::UntilEnd => Ok(None),
            PartialBody::Chunked { decoder, content } => {
                let is_complete = decoder.decode(buffer, content).map_err(|_| ProtocolError)?;
                if content.len() > MAX_VALUE_BYTES {
                    return Err(ProtocolError);
                }
                Ok(is_complete.then(|| Body {
                    content: std::mem::take(content).freeze(),
                    reusable: false,
                }))
            }
        }
    }
}

fn response(head: &ResponseHead, body: Body, load_report_names: &[String]) -> ServerResponse {
    let status = match head.status {
        STATUS_OK => AttemptStatus::Served,
        STATUS_SERVICE_UNAVAILABLE | STATUS_GATEWAY_TIMEOUT if head.unprocessed => {
            AttemptStatus::Rejected
        }
        _ => AttemptStatus::Error,
    };
    ServerResponse {
        status,
        cache_lookup: cache_protocol::parse_lookup(head.lookup.as_deref().unwrap_or("")),
        load: cache_protocol::parse_load(head.load.as_deref().unwrap_or(""), load_report_names),
        value: (status == AttemptStatus::Served).then_some(body.content),
        reusable: body.reusable,
    }
}
