//! Responses of the origin that arrive in pieces.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use bytes::BytesMut;
use cache_router::message::{ProtocolError, ServerResponse};
use cache_router::origin_protocol::ResponseDecoder;

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Decodes bytes that arrive in pieces of `step` bytes, up to the first response.
fn decode_in_steps(bytes: &[u8], step: usize) -> Result<Option<ServerResponse>, ProtocolError> {
    let mut decoder = ResponseDecoder::default();
    let mut buffer = BytesMut::new();
    for piece in bytes.chunks(step) {
        buffer.extend_from_slice(piece);
        if let Some(response) = decoder.decode(&mut buffer, &[])? {
            return Ok(Some(response));
        }
    }
    Ok(decoder.decode_at_end(&mut buffer, &[]))
}

#[test]
fn a_response_is_decoded_whatever_the_size_of_each_read() {
    let responses = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue".to_owned(),
        format!("HTTP/1.1 100 Continue\r\n\r\n{CHUNKED_HEAD}5 ;a=b\r\nvalue\r\n0\r\n\r\n"),
        format!("{CHUNKED_HEAD}1\r\nv\r\n04\r\nalue\r\n0\r\n\r\n"),
        "HTTP/1.1 200 OK\r\n\r\nvalue".to_owned(),
    ];
    for response in responses {
        for step in 1..=response.len() {
            let decoded = decode_in_steps(response.as_bytes(), step);
            let value = decoded.unwrap().unwrap().value;
            assert_eq!(value.unwrap(), "value", "{response:?} in steps of {step}");
        }
    }
}

#[test]
fn a_response_that_exceeds_a_limit_is_an_error_before_it_ends() {
    // Guards against a response that is read for as long as its server sends.
    let value_too_long = format!("{CHUNKED_HEAD}{:x}\r\n{}", 70_000, "v".repeat(66_000));
    let framing = format!("{CHUNKED_HEAD}1;{}", "x".repeat(3 * 1024 * 1024));
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(70_000);
    let without_length = format!("HTTP/1.1 200 OK\r\n\r\n{}", "v".repeat(66_000));
    let head = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(17 * 1024));
    for response in [value_too_long, framing, interim, without_length, head] {
        for step in [2_048, usize::MAX] {
            let decoded = decode_in_steps(response.as_bytes(), step);
            let start = &response[..60.min(response.len())];
            assert_eq!(decoded, Err(ProtocolError), "{start:?} in steps of {step}");
        }
    }
}
