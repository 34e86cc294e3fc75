//! Heads and chunks of HTTP.

use super::*;

#[test]
fn a_head_that_leaves_the_end_of_its_body_in_doubt_is_malformed() {
    let read = |headers: &str| head(format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes());
    for bad in [
        "Content-Length: 3\r\nContent-Length: 16\r\n",
        "Content-Length: 16\r\nX-Backend-Load: q=0\r\ncontent-length: 3\r\n",
        "Content-Length: 3, 16\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: \r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n",
    ] {
        assert_eq!(read(bad), Err(Malformed), "{bad:?}");
    }
    let twice = read("Content-Length: 16\r\nContent-Length: 16\r\n")
        .unwrap()
        .unwrap();
    assert_eq!((twice.content_length, twice.chunked), (Some(16), false));
    let chunked = read("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n")
        .unwrap()
        .unwrap();
    assert_eq!((chunked.content_length, chunked.chunked), (None, true));
}

#[test]
fn chunks_are_joined_however_they_are_cut() {
    let whole = b"5\r\nhello\r\n1;x=y\r\n!\r\n0\r\n\r\n";
    for step in 1..whole.len() {
        let (mut chunks, mut from, mut to) = (Chunks::default(), BytesMut::new(), BytesMut::new());
        let mut ended = false;
        for part in whole.chunks(step) {
            from.extend_from_slice(part);
            ended = chunks.take(&mut from, &mut to).unwrap();
        }
        assert!(ended && &to[..] == b"hello!", "in steps of {step}: {to:?}");
    }
    let mut bad = BytesMut::from("zz\r\n");
    assert_eq!(
        Chunks::default().take(&mut bad, &mut BytesMut::new()),
        Err(Malformed)
    );
}
