//! Response heads and chunked bodies of HTTP/1.1.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use bytes::BytesMut;
use cache_router::http::{ChunkDecoder, HttpError, ResponseHead, parse_head};

fn parse_headers(headers: &str) -> Result<Option<ResponseHead>, HttpError> {
    parse_head(format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes())
}

#[test]
fn a_head_with_an_invalid_or_ambiguous_body_length_is_an_error() {
    let cases = [
        (
            "Content-Length: 3\r\nContent-Length: 16\r\n",
            HttpError::ConflictingContentLength,
        ),
        (
            "Content-Length: 16\r\nX-Backend-Load: q=0\r\ncontent-length: 3\r\n",
            HttpError::ConflictingContentLength,
        ),
        ("Content-Length: 3, 16\r\n", HttpError::InvalidContentLength),
        ("Content-Length: +3\r\n", HttpError::InvalidContentLength),
        ("Content-Length: \r\n", HttpError::InvalidContentLength),
        (
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            HttpError::LengthAndTransferEncoding,
        ),
        (
            "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n",
            HttpError::LengthAndTransferEncoding,
        ),
    ];
    for (headers, error) in cases {
        assert_eq!(parse_headers(headers), Err(error), "{headers:?}");
    }
    let repeated = parse_headers("Content-Length: 16\r\nContent-Length: 16\r\n")
        .unwrap()
        .unwrap();
    assert_eq!(
        (repeated.content_length, repeated.chunked),
        (Some(16), false)
    );
    let chunked = parse_headers("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n")
        .unwrap()
        .unwrap();
    assert_eq!((chunked.content_length, chunked.chunked), (None, true));
}

#[test]
fn a_chunked_body_is_decoded_whatever_the_size_of_each_read() {
    let stream = b"5\r\nhello\r\n1;x=y\r\n!\r\n0\r\n\r\n";
    for step in 1..stream.len() {
        let mut decoder = ChunkDecoder::default();
        let mut input = BytesMut::new();
        let mut body = BytesMut::new();
        let mut is_complete = false;
        for bytes in stream.chunks(step) {
            input.extend_from_slice(bytes);
            is_complete = decoder.decode(&mut input, &mut body).unwrap();
        }
        assert!(
            is_complete && &body[..] == b"hello!",
            "in reads of {step} bytes: {body:?}"
        );
    }
    let mut invalid = BytesMut::from("zz\r\n");
    assert_eq!(
        ChunkDecoder::default().decode(&mut invalid, &mut BytesMut::new()),
        Err(HttpError::InvalidChunk)
    );
}
