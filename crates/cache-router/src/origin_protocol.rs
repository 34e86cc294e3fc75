//! The protocol of the origin, over HTTP/1.1: encodes the requests that the router sends and interprets the responses.

use bytes::{BufMut, Bytes, BytesMut};
use routing_policy::AttemptStatus;

use crate::cache_protocol;
use crate::http::{self, ChunkDecoder, ResponseHead};
use crate::message::{ClientCommand, ProtocolError, ServerResponse};
use crate::resp::MAX_VALUE_BYTES;

/// The longest chunked body, in bytes, framing included: more than a value of the maximum size needs.
const MAX_CHUNKED_BODY_BYTES: usize = 2 * MAX_VALUE_BYTES;
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

/// Removes a response from the front of the bytes that were received on a connection; `None` while it is incomplete.
///
/// # Errors
///
/// If the bytes are not a response of this protocol, or its value is too long.
pub fn decode(
    buffer: &mut BytesMut,
    load_report_names: &[String],
) -> Result<Option<ServerResponse>, ProtocolError> {
    let Some(head) = http::parse_head(buffer).map_err(|_| ProtocolError)? else {
        return Ok(None);
    };
    if (100..200).contains(&head.status) {
        // An interim response, which the final response follows.
        let _ = buffer.split_to(head.head_length);
        return decode(buffer, load_report_names);
    }
    let body = if head.chunked {
        decode_chunked_body(buffer, &head)?
    } else if head.ends_with_connection() {
        check_unfinished_body(buffer, &head)?;
        None
    } else {
        take_sized_body(buffer, &head)?
    };
    Ok(body.map(|body| response(&head, body, load_report_names)))
}

/// Removes the response that ends with its connection: the regular end of the connection completes a response without a
/// length. `None` if the received bytes are not such a response. A reset of the connection does not complete a
/// response.
pub fn decode_at_end(
    buffer: &mut BytesMut,
    load_report_names: &[String],
) -> Option<ServerResponse> {
    let head = http::parse_head(buffer).ok()??;
    if !head.ends_with_connection() {
        return None;
    }
    let _ = buffer.split_to(head.head_length);
    let body = Body {
        content: buffer.split().freeze(),
        reusable: false,
    };
    Some(response(&head, body, load_report_names))
}

/// Checks that a body which ends with its connection does not exceed the maximum size of a value.
fn check_unfinished_body(buffer: &[u8], head: &ResponseHead) -> Result<(), ProtocolError> {
    if buffer.len() - head.head_length > MAX_VALUE_BYTES {
        return Err(ProtocolError);
    }
    Ok(())
}

/// The body of a response, and whether the connection can be used for another request after it.
struct Body {
    content: Bytes,
    reusable: bool,
}

/// Decodes a chunked body, from its start at each call; `None` while it is incomplete. The body is not removed from the
/// buffer, since the connection is closed after it.
fn decode_chunked_body(buffer: &[u8], head: &ResponseHead) -> Result<Option<Body>, ProtocolError> {
    let mut input = BytesMut::from(&buffer[head.head_length..]);
    let mut content = BytesMut::new();
    let complete = ChunkDecoder::default()
        .decode(&mut input, &mut content)
        .map_err(|_| ProtocolError)?;
    if complete {
        return Ok(Some(Body {
            content: content.freeze(),
            reusable: false,
        }));
    }
    if input.len() + content.len() > MAX_CHUNKED_BODY_BYTES {
        return Err(ProtocolError);
    }
    Ok(None)
}

/// Removes a response with a body of a stated length, or without a value, from the buffer; `None` while it is
/// incomplete.
fn take_sized_body(
    buffer: &mut BytesMut,
    head: &ResponseHead,
) -> Result<Option<Body>, ProtocolError> {
    let (length, reusable) = match head.content_length {
        Some(length) if length <= MAX_VALUE_BYTES => (length, !head.close),
        Some(_) => return Err(ProtocolError),
        // A response without a value needs no body: only its head is used.
        None => (0, false),
    };
    if buffer.len() < head.head_length + length {
        return Ok(None);
    }
    let _ = buffer.split_to(head.head_length);
    let content = buffer.split_to(length).freeze();
    Ok(Some(Body { content, reusable }))
}

impl ResponseHead {
    /// Whether the response has a value that ends where its connection does.
    fn ends_with_connection(&self) -> bool {
        self.status == STATUS_OK && !self.chunked && self.content_length.is_none()
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
