//! The parts of HTTP/1.1 that a client of the origin needs: response heads and chunked bodies.
//!
//! This module parses bytes and does no I/O. [`origin_protocol`](crate::origin_protocol) decides what a response means
//! for an attempt.

mod chunks;

use thiserror::Error;

/// The longest response head, in bytes: more than the few headers of the origin need. It limits what the router buffers for a peer that never ends its head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of headers of a response head: the parser's table is on the stack.
const MAX_HEADERS: usize = 48;

pub use self::chunks::ChunkDecoder;

/// A response that violates the framing of HTTP/1.1. Its connection has to be closed.
#[derive(Debug, PartialEq, Eq, Clone, Copy, Error)]
pub enum HttpError {
    /// The head is not HTTP, has too many headers, or does not end.
    #[error(
        "the response head is not HTTP/1.1, or exceeds {max_bytes} bytes or {max_headers} headers; close the connection",
        max_bytes = MAX_HEAD_BYTES,
        max_headers = MAX_HEADERS
    )]
    InvalidHead,
    /// A `Content-Length` that is not a plain decimal number.
    #[error("the response has a Content-Length that is not a decimal number; close the connection")]
    InvalidContentLength,
    /// Two `Content-Length` headers that differ: the end of the body is ambiguous.
    #[error(
        "the response has two Content-Length headers with different values; close the connection"
    )]
    ConflictingContentLength,
    /// `Content-Length` together with `Transfer-Encoding`: the end of the body is ambiguous.
    #[error("the response has both Content-Length and Transfer-Encoding; close the connection")]
    LengthAndTransferEncoding,
    /// A chunk without a valid size, or one that does not end where its size says.
    #[error("the response has a chunk without a valid size or end; close the connection")]
    InvalidChunk,
    /// The sizes, extensions and line ends of the chunks take too many bytes.
    #[error("the response has too much framing for its content; close the connection")]
    TooMuchFraming,
}

/// The head of a response, reduced to what the router uses.
#[derive(Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Length of the head, in bytes.
    pub head_length: usize,
    /// The status code.
    pub status: u16,
    /// The stated length of the body, in bytes.
    pub content_length: Option<usize>,
    /// Whether the body is sent in chunks.
    pub chunked: bool,
    /// Whether the connection ends after this response.
    pub close: bool,
    /// Whether the server states that it did not process the request (`X-Unprocessed: 1`).
    pub unprocessed: bool,
    /// The load report (`X-Backend-Load`).
    pub load: Option<String>,
    /// The result of the cache lookup (`X-Lookup`).
    pub lookup: Option<String>,
}

/// Parses a response head at the front of a buffer; `None` while it is incomplete.
///
/// # Errors
///
/// If the head is malformed or too long, or the end of the body is ambiguous.
pub fn parse_head(buffer: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(HttpError::InvalidHead),
    };
    let mut head = ResponseHead {
        head_length,
        status: response.code.unwrap_or(0),
        close: response.version == Some(0),
        ..ResponseHead::default()
    };
    let mut has_transfer_encoding = false;
    for header in response.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => head.set_content_length(value)?,
            "transfer-encoding" => {
                has_transfer_encoding = true;
                head.chunked = value.to_ascii_lowercase().ends_with("chunked");
            }
            "connection" => head.close |= value.eq_ignore_ascii_case("close"),
            "x-unprocessed" => head.unprocessed = value == "1",
            "x-backend-load" => head.load = Some(value.into()),
            "x-lookup" => head.lookup = Some(value.into()),
            _ => {}
        }
    }
    if has_transfer_encoding && head.content_length.is_some() {
        return Err(HttpError::LengthAndTransferEncoding);
    }
    Ok(Some(head))
}

impl ResponseHead {
    fn set_content_length(&mut self, value: &str) -> Result<(), HttpError> {
        let length = parse_decimal(value).ok_or(HttpError::InvalidContentLength)?;
        if self
            .content_length
            .is_some_and(|previous| previous != length)
        {
            return Err(HttpError::ConflictingContentLength);
        }
        self.content_length = Some(length);
        Ok(())
    }
}

/// Parses a length in HTTP: decimal digits only.
fn parse_decimal(text: &str) -> Option<usize> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
