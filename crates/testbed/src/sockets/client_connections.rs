//! Client side of a run on sockets: pooled connections to one node, and single requests on them.

use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::shared::lock_ignoring_poison;
use crate::clients::Reply;

/// Maximum number of idle connections that are kept to one node. Further connections are closed after their reply.
const MAX_IDLE: usize = 256;
/// Initial size of the reply buffer, in bytes.
const REPLY_BUFFER_BYTES: usize = 512;

/// The reason why a request has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No connection could be established: the node never received the request.
    #[error("the node accepts no connection")]
    NotConnected,
    /// An idle connection ended before a reply, and no new connection could be established. The node may have received
    /// the request.
    #[error("an idle connection ended before a reply, and the node accepts no other")]
    IdleConnectionLost,
    /// The connection ended, or the reply was invalid.
    #[error("the connection ended before a valid reply")]
    ConnectionLost,
}

/// Connections to one node. Idle connections are kept for later requests.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr) -> ConnectionPool {
        ConnectionPool {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        lock_ignoring_poison(&self.idle).clear();
    }

    /// Sends a command and reads its reply. The reply counts as served only if it contains the value that the servers
    /// hold. `command` is called at the time of each write, because the command states the remaining deadline.
    ///
    /// The node may close an idle connection between two requests. If an idle connection ends before the first byte of
    /// a reply, the command is sent once more on a new connection.
    ///
    /// # Errors
    /// Returns an error if the node can't be reached, ends the connection, or sends an invalid reply.
    pub async fn request(
        &self,
        command: impl Fn() -> BytesMut,
        value: &[u8],
    ) -> Result<Reply, RequestError> {
        let idle = lock_ignoring_poison(&self.idle).pop();
        let connect_error = match idle {
            Some(_) => RequestError::IdleConnectionLost,
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
            .map_err(|_| connect_error)?;
        // Best effort: TCP_NODELAY only affects latency.
        let _ = stream.set_nodelay(true);
        let frame = exchange(&mut stream, &command())
            .await
            .map_err(|_| RequestError::ConnectionLost)?;
        self.finish(stream, &frame, value)
    }

    /// Returns a connection to the pool, and interprets the reply that was read from it.
    fn finish(
        &self,
        stream: TcpStream,
        frame: &BytesFrame,
        value: &[u8],
    ) -> Result<Reply, RequestError> {
        let mut idle = lock_ignoring_poison(&self.idle);
        if idle.len() < MAX_IDLE {
            idle.push(stream);
        }
        interpret(frame, value)
    }
}

/// The reason why an exchange on a connection failed.
enum ExchangeError {
    /// The connection ended before the first byte of a reply.
    BeforeReply,
    /// The connection ended within a reply, or the reply is not valid RESP.
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

/// Translates a node's reply into its meaning for a client.
fn interpret(frame: &BytesFrame, value: &[u8]) -> Result<Reply, RequestError> {
    let content = match frame {
        BytesFrame::Array(items) => items.first(),
        frame => Some(frame),
    };
    if let Some(BytesFrame::BulkString(bytes)) = content {
        // A value that no server holds means that the reply is corrupt, so the request is lost.
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

/// `BUSY <milliseconds>` is a rejection that states when to retry. All other errors are failures.
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
