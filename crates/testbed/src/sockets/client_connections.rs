//! The client side on sockets: pooled connections to one node, and one request over one of them.

use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::shared::lock;
use crate::clients::Reply;

/// Idle connections kept to one node at most; others are closed after their reply.
const MAX_IDLE: usize = 256;
/// Initial size of the buffer for a reply, in bytes.
const REPLY_BUFFER_BYTES: usize = 512;

/// Why a request had no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No connection came up: the node never had the request.
    #[error("the node accepts no connection")]
    NotConnected,
    /// An idle connection ended before a reply, and no new one came up: the node may have had the request.
    #[error("an idle connection ended before a reply, and the node accepts no other")]
    NotTaken,
    /// The connection ended, or brought what is no reply.
    #[error("the connection ended before a valid reply")]
    ConnectionLost,
}

/// Connections to one node; the idle ones are kept for later requests.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new(address: SocketAddr) -> ConnectionPool {
        ConnectionPool {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Sends a command and reads its reply, which counts as served only with the value that the servers hold.
    /// `command` is encoded when it is written, as it states the time that is left.
    ///
    /// The node may have closed an idle connection between two requests. Where one ends without a byte of a reply, the
    /// command is sent once more on a new connection.
    ///
    /// # Errors
    /// Where the node can't be reached, ends the connection, or sends what is no reply.
    pub async fn request(
        &self,
        command: impl Fn() -> BytesMut,
        value: &[u8],
    ) -> Result<Reply, RequestError> {
        let idle = lock(&self.idle).pop();
        let unconnected = match idle {
            Some(_) => RequestError::NotTaken,
            None => RequestError::NotConnected,
        };
        if let Some(mut stream) = idle {
            match exchange(&mut stream, &command()).await {
                Ok(frame) => return self.finish(stream, &frame, value),
                Err(ExchangeError::BeforeReply) => {}
                Err(ExchangeError::WithinReply) => return Err(RequestError::ConnectionLost),
            }
        }
        let mut stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| unconnected)?;
        // Only a matter of speed: the connection works without.
        let _ = stream.set_nodelay(true);
        let frame = exchange(&mut stream, &command())
            .await
            .map_err(|_| RequestError::ConnectionLost)?;
        self.finish(stream, &frame, value)
    }

    /// Puts a connection back, and interprets the reply that came on it.
    fn finish(
        &self,
        stream: TcpStream,
        frame: &BytesFrame,
        value: &[u8],
    ) -> Result<Reply, RequestError> {
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE {
            idle.push(stream);
        }
        interpret(frame, value)
    }
}

/// How an exchange on a connection failed.
enum ExchangeError {
    /// The connection ended before the first byte of a reply.
    BeforeReply,
    /// The connection ended within a reply, or the reply is no RESP.
    WithinReply,
}

/// Writes a command and reads one reply.
async fn exchange(stream: &mut TcpStream, command: &[u8]) -> Result<BytesFrame, ExchangeError> {
    stream
        .write_all(command)
        .await
        .map_err(|_| ExchangeError::BeforeReply)?;
    let mut input = BytesMut::with_capacity(REPLY_BUFFER_BYTES);
    loop {
        match decode_bytes_mut(&mut input) {
            Ok(Some((frame, ..))) => return Ok(frame),
            Ok(None) => {}
            Err(_) => return Err(ExchangeError::WithinReply),
        }
        let before_reply = input.is_empty();
        let received = stream.read_buf(&mut input).await.unwrap_or(0);
        if received == 0 {
            return Err(if before_reply {
                ExchangeError::BeforeReply
            } else {
                ExchangeError::WithinReply
            });
        }
    }
}

/// What a node's reply means to a client.
fn interpret(frame: &BytesFrame, value: &[u8]) -> Result<Reply, RequestError> {
    let content = match frame {
        BytesFrame::Array(items) => items.first(),
        frame => Some(frame),
    };
    if let Some(BytesFrame::BulkString(bytes)) = content {
        // A value that no server holds is a corrupt reply: the request is lost.
        return if bytes[..] == *value {
            Ok(Reply::Served)
        } else {
            Err(RequestError::ConnectionLost)
        };
    }
    match frame {
        BytesFrame::Error(line) => Ok(interpret_error(line)),
        _ => Ok(Reply::Failed),
    }
}

/// `BUSY <milliseconds>` rejects a request with a time to come back after; all other errors are failures.
fn interpret_error(line: &str) -> Reply {
    let mut words = line.split(' ');
    if words.next() != Some("BUSY") {
        return Reply::Failed;
    }
    let retry_after_ms = words.next().and_then(|word| word.parse::<u64>().ok());
    Reply::Rejected(retry_after_ms.unwrap_or(0) * 1_000)
}

/// Encodes a command as a RESP array of bulk strings.
pub fn encode_command(words: &[&[u8]]) -> BytesMut {
    let mut command = BytesMut::from(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        command.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        command.extend_from_slice(word);
        command.extend_from_slice(b"\r\n");
    }
    command
}
