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

/// Connections to one node that no try uses.
#[derive(Debug)]
pub struct Connections {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl Connections {
    /// None yet.
    pub fn new(address: SocketAddr) -> Connections {
        Connections { address, idle: Mutex::new(Vec::new()) }
    }

    /// Closes them all.
    pub fn close(&self) {
        lock(&self.idle).clear();
    }

    /// Writes a command and reads its answer. A connection that was kept and ends without a byte of it may have been
    /// closed by the node between requests: the command goes once more on a new one.
    ///
    /// # Errors
    /// Where the node can't be reached, breaks the connection, or sends what is no answer.
    pub async fn ask(&self, command: &[u8]) -> std::io::Result<Reply> {
        let kept = lock(&self.idle).pop();
        if let Some(mut stream) = kept {
            match exchange(&mut stream, command).await {
                Ok(frame) => return Ok(self.keep(stream, &frame)),
                Err((_, true)) => {}
                Err((e, false)) => return Err(e),
            }
        }
        let mut stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let frame = exchange(&mut stream, command).await.map_err(|(e, _)| e)?;
        Ok(self.keep(stream, &frame))
    }

    fn keep(&self, stream: TcpStream, frame: &BytesFrame) -> Reply {
        let mut idle = lock(&self.idle);
        if idle.len() < KEPT {
            idle.push(stream);
        }
        reply(frame)
    }
}

/// Writes a command and reads one answer; an error says too whether nothing of an answer had come.
async fn exchange(stream: &mut TcpStream, command: &[u8]) -> Result<BytesFrame, (std::io::Error, bool)> {
    stream.write_all(command).await.map_err(|e| (e, true))?;
    let mut input = BytesMut::with_capacity(512);
    loop {
        match decode_bytes_mut(&mut input) {
            Ok(Some((frame, ..))) => return Ok(frame),
            Ok(None) => {}
            Err(_) => return Err((std::io::ErrorKind::InvalidData.into(), false)),
        }
        let none_yet = input.is_empty();
        match stream.read_buf(&mut input).await {
            Ok(0) => return Err((std::io::ErrorKind::UnexpectedEof.into(), none_yet)),
            Ok(_) => {}
            Err(e) => return Err((e, none_yet)),
        }
    }
}

/// What an answer of a node means.
fn reply(frame: &BytesFrame) -> Reply {
    match frame {
        BytesFrame::BulkString(_) => Reply::Served,
        BytesFrame::Array(items) if matches!(items.first(), Some(BytesFrame::BulkString(_))) => Reply::Served,
        BytesFrame::Error(line) if line.split(' ').next() == Some("BUSY") => {
            let ms = line.split(' ').nth(1).and_then(|ms| ms.parse::<u64>().ok());
            Reply::Refused(ms.unwrap_or(0) * 1_000)
        }
        _ => Reply::Failed,
    }
}

/// A command of words.
pub fn command(words: &[&[u8]]) -> BytesMut {
    let words = words.iter().map(|word| BytesFrame::BulkString(bytes::Bytes::copy_from_slice(word)));
    let mut out = BytesMut::new();
    extend_encode(&mut out, &BytesFrame::Array(words.collect()), false).expect("an array can be encoded");
    out
}
