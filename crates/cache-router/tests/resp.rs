//! Commands and replies of RESP2.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use bytes::{Buf, Bytes, BytesMut};
use cache_router::resp::frame::{FrameKind, FrameScanner};
use cache_router::resp::{
    MAX_VALUE_BYTES, RespError, Value, encode_command, take_command, take_value, take_value_with,
};

#[test]
fn a_command_is_returned_only_when_it_is_complete() {
    let command = encode_command(&[b"OBJ.GET", b"k", b"i", b"c=read"]);
    for cut in 0..command.len() {
        let mut incomplete = BytesMut::from(&command[..cut]);
        assert_eq!(take_command(&mut incomplete), Ok(None), "{cut} bytes");
        assert_eq!(incomplete.len(), cut);
    }
    let mut both = BytesMut::from(&[&command[..], &command[..]].concat()[..]);
    for _ in 0..2 {
        let arguments = take_command(&mut both).unwrap().unwrap();
        assert_eq!(arguments, [&b"OBJ.GET"[..], b"k", b"i", b"c=read"]);
    }
    assert!(both.is_empty());
}

#[test]
fn malformed_or_oversized_input_is_an_error_at_once() {
    for invalid in [
        "GET k\r\n",
        "*17\r\n",
        "*1\r\n$65537\r\n",
        "*1\r\n$-1\r\n",
        "*1\r\n$+3\r\nabc\r\n",
        "*1\r\n$3\r\nabcde",
        "*99999999999999999999999\r\n",
        "*11111111111111111111111111111",
        "*\r\n",
    ] {
        assert!(
            take_command(&mut BytesMut::from(invalid)).is_err(),
            "{invalid:?}"
        );
    }
}

#[test]
fn a_command_of_many_long_arguments_is_rejected_before_it_is_complete() {
    let value = vec![b'v'; MAX_VALUE_BYTES];
    let longest = encode_command(&[b"OBJ.SET", &[b'k'; 512], &[b'i'; 512], &[b'f'; 512], &value]);
    assert_eq!(
        take_command(&mut BytesMut::from(&longest[..longest.len() - 1])),
        Ok(None)
    );
    assert_eq!(
        take_command(&mut BytesMut::from(&longest[..]))
            .unwrap()
            .unwrap()
            .len(),
        5
    );
    let oversized = encode_command(&[&value[..]; 16]);
    assert!(take_command(&mut BytesMut::from(&oversized[..2 * MAX_VALUE_BYTES])).is_err());
}

#[test]
fn replies_are_decoded_and_deep_nesting_is_an_error() {
    let mut replies = BytesMut::from("*3\r\n$2\r\nab\r\n$-1\r\n$3\r\nhit\r\n-BUSY\r\n:7\r\n");
    let bulk = |text: &'static str| Value::BulkString(Some(Bytes::from_static(text.as_bytes())));
    let array = Value::Array(vec![bulk("ab"), Value::BulkString(None), bulk("hit")]);
    assert_eq!(take_value(&mut replies), Ok(Some(array)));
    assert_eq!(
        take_value(&mut replies),
        Ok(Some(Value::Error("BUSY".into())))
    );
    assert_eq!(take_value(&mut replies), Ok(Some(Value::Integer(7))));
    assert_eq!(take_value(&mut replies), Ok(None));
    assert!(take_value(&mut BytesMut::from(&b"*1\r\n".repeat(9000)[..])).is_err());
}

#[test]
fn a_reply_is_decoded_whatever_the_size_of_each_read() {
    let reply = b"*4\r\n$5\r\nvalue\r\n+hit\r\n*2\r\n:7\r\n*0\r\n$-1\r\n";
    let whole = take_value(&mut BytesMut::from(&reply[..])).unwrap();
    assert!(whole.is_some());
    for step in 1..reply.len() {
        let mut scanner = FrameScanner::new(FrameKind::Reply);
        let mut buffer = BytesMut::new();
        let mut decoded = Ok(None);
        for piece in reply.chunks(step) {
            buffer.extend_from_slice(piece);
            decoded = take_value_with(&mut scanner, &mut buffer);
        }
        assert_eq!(decoded.as_ref(), Ok(&whole), "in steps of {step}");
    }
}

#[test]
fn a_reply_of_many_long_elements_is_an_error_before_it_is_complete() {
    // Guards against nested arrays of long values, which would be buffered for as long as the server sends.
    let value = [b"$65536\r\n", &[b'v'; MAX_VALUE_BYTES][..], b"\r\n"].concat();
    let reply = [b"*16\r\n*16\r\n", &value[..], b"$65536\r\n"].concat();
    let decoded = take_value(&mut BytesMut::from(&reply[..]));
    assert_eq!(decoded, Err(RespError::ReplyTooLong));
}

#[test]
fn the_end_of_a_frame_is_found_without_the_bytes_that_were_scanned() {
    let command = encode_command(&[b"OBJ.SET", b"k", b"i", b"c=put", &[b'v'; 10_000]]);
    for step in [1, 7, 4_096] {
        let mut scanner = FrameScanner::new(FrameKind::Command);
        let mut buffer = BytesMut::new();
        let mut ends = 0;
        for piece in [&command[..], &command[..]].concat().chunks(step) {
            buffer.extend_from_slice(piece);
            while let Some(length) = scanner.scan(&buffer).unwrap() {
                buffer.advance(length);
                scanner.restart();
                ends += 1;
            }
            buffer.advance(scanner.remove_scanned());
            assert!(buffer.len() < 64, "{} bytes are kept", buffer.len());
        }
        assert_eq!((ends, buffer.len()), (2, 0), "in steps of {step}");
    }
}
