//! The client side on sockets: connections to a node that are kept and used again, and one try over one of them.

use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::clients::Reply;
use crate::sockets::doors::lock;

/// Connections kept to one node at most; more are closed after their answer.
const KEPT: usize = 256;

/// Why a try had no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// No connection came up: the node never had the request.
    Unreached,
    /// The connection ended, or brought what is no answer.
    BrokenOff,
}

/// Connections to one node that no try uses.
#[derive(Debug)]
pub struct Connections {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl Connections {
    /// None yet.
    pub fn new(address: SocketAddr) -> Connections {
        Connections {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Closes them all.
    pub fn close(&self) {
        lock(&self.idle).clear();
    }

    /// Writes a command and reads its answer, which serves it only with the value that the servers have. A connection that was kept and ends without a byte of it may have been
    /// closed by the node between requests: the command goes once more on a new one.
    ///
    /// # Errors
    /// Where the node can't be reached, ends the connection, or sends what is no answer.
    pub async fn ask(&self, command: &[u8], value: &[u8]) -> Result<Reply, NoAnswer> {
        let kept = lock(&self.idle).pop();
        if let Some(mut stream) = kept {
            match exchange(&mut stream, command).await {
                Ok(frame) => return self.keep(stream, &frame, value),
                Err(Ended { untouched: true }) => {}
                Err(Ended { untouched: false }) => return Err(NoAnswer::BrokenOff),
            }
        }
        let mut stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| NoAnswer::Unreached)?;
        let _ = stream.set_nodelay(true);
        let frame = exchange(&mut stream, command)
            .await
            .map_err(|_| NoAnswer::BrokenOff)?;
        self.keep(stream, &frame, value)
    }

    fn keep(&self, stream: TcpStream, frame: &BytesFrame, value: &[u8]) -> Result<Reply, NoAnswer> {
        let mut idle = lock(&self.idle);
        if idle.len() < KEPT {
            idle.push(stream);
        }
        reply(frame, value)
    }
}

/// A connection has ended; whether nothing of an answer had come on it.
struct Ended {
    untouched: bool,
}

/// Writes a command and reads one answer.
async fn exchange(stream: &mut TcpStream, command: &[u8]) -> Result<BytesFrame, Ended> {
    stream
        .write_all(command)
        .await
        .map_err(|_| Ended { untouched: true })?;
    let mut input = BytesMut::with_capacity(512);
    loop {
        match decode_bytes_mut(&mut input) {
            Ok(Some((frame, ..))) => return Ok(frame),
            Ok(None) => {}
            Err(_) => return Err(Ended { untouched: false }),
        }
        let untouched = input.is_empty();
        if !stream
            .read_buf(&mut input)
            .await
            .is_ok_and(|count| count > 0)
        {
            return Err(Ended { untouched });
        }
    }
}

/// What an answer of a node means.
fn reply(frame: &BytesFrame, value: &[u8]) -> Result<Reply, NoAnswer> {
    let served = match frame {
        BytesFrame::Array(items) => items.first(),
        frame => Some(frame),
    };
    Ok(match frame {
        _ if matches!(served, Some(BytesFrame::BulkString(bytes)) if bytes[..] == *value) => {
            Reply::Served
        }
        // A value that no server made for it: the request is lost.
        _ if matches!(served, Some(BytesFrame::BulkString(_))) => return Err(NoAnswer::BrokenOff),
        BytesFrame::Error(line) if line.split(' ').next() == Some("BUSY") => {
            let ms = line.split(' ').nth(1).and_then(|ms| ms.parse::<u64>().ok());
            Reply::Refused(ms.unwrap_or(0) * 1_000)
        }
        _ => Reply::Failed,
    })
}

/// A command of words.
pub fn command(words: &[&[u8]]) -> BytesMut {
    let words = words
        .iter()
        .map(|word| BytesFrame::BulkString(bytes::Bytes::copy_from_slice(word)));
    let mut out = BytesMut::new();
    extend_encode(&mut out, &BytesFrame::Array(words.collect()), false)
        .expect("an array can be encoded");
    out
}
