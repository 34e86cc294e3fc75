//! Emulated cache servers, in RESP.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::{BytesFrame, Resp2Frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::{CORRUPT_REPLY, remaining_deadline};
use crate::sockets::cluster::{
    AttemptReply, PendingAttempt, ReceivedAttempt, RequestId, ServerNumber,
};
use crate::sockets::shared::SharedCluster;

/// Pause after a failed accept. If the process has run out of file descriptors, another connection may close meanwhile.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Maximum size of a command, in bytes: a value of 64 KiB and the rest of the command.
const MAX_COMMAND_BYTES: usize = 80 * 1024;
/// Initial size of a connection's input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 4096;

/// Serves the connections of one cache server indefinitely. The connections end with this task.
pub async fn serve(shared: Arc<SharedCluster>, listener: TcpListener, server: ServerNumber) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    shared.traffic().count_server_connection();
                    let connection = Connection::new(shared.clone(), stream, server);
                    connections.spawn(connection.serve());
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// A parsed command.
enum Command {
    Ping,
    /// A read for a client's request.
    Get(ReceivedAttempt),
    /// A command that nodes do not send.
    Unknown,
}

impl Command {
    fn parse(frame: &BytesFrame) -> Command {
        let words: Vec<&str> = match frame {
            BytesFrame::Array(words) => words.iter().filter_map(BytesFrame::as_str).collect(),
            _ => Vec::new(),
        };
        match words[..] {
            ["PING"] => Command::Ping,
            ["OBJ.GET", _, request, fields] => Command::parse_get(request, fields),
            _ => Command::Unknown,
        }
    }

    fn parse_get(request: &str, fields: &str) -> Command {
        let Ok(request) = RequestId::from_str_radix(request, 16) else {
            return Command::Unknown;
        };
        Command::Get(ReceivedAttempt {
            request,
            remaining: remaining_deadline(fields),
        })
    }
}

/// What happens on a connection after a command.
enum NextAction {
    /// A reply is written.
    Reply(BytesFrame),
    /// The connection is closed without a reply.
    Close,
}

struct Connection {
    shared: Arc<SharedCluster>,
    stream: TcpStream,
    input: BytesMut,
    server: ServerNumber,
}

impl Connection {
    fn new(shared: Arc<SharedCluster>, stream: TcpStream, server: ServerNumber) -> Connection {
        Connection {
            shared,
            stream,
            input: BytesMut::with_capacity(INPUT_BUFFER_BYTES),
            server,
        }
    }

    /// Answers commands in order until either side closes the connection.
    async fn serve(mut self) -> std::io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut output = BytesMut::new();
        while let Some(frame) = self.read_frame().await? {
            let NextAction::Reply(reply) = self.answer(&frame).await? else {
                return Ok(());
            };
            output.clear();
            if extend_encode(&mut output, &reply, false).is_err() {
                return Ok(());
            }
            self.stream.write_all(&output).await?;
        }
        Ok(())
    }

    /// Reads the next frame. Returns `None` if the connection has ended, or if the input is too long or not valid RESP.
    async fn read_frame(&mut self) -> std::io::Result<Option<BytesFrame>> {
        loop {
            let Ok(decoded) = decode_bytes_mut(&mut self.input) else {
                return Ok(None);
            };
            if let Some((frame, ..)) = decoded {
                return Ok(Some(frame));
            }
            if self.input.len() > MAX_COMMAND_BYTES
                || self.stream.read_buf(&mut self.input).await? == 0
            {
                return Ok(None);
            }
        }
    }

    async fn answer(&mut self, frame: &BytesFrame) -> std::io::Result<NextAction> {
        let received = match Command::parse(frame) {
            Command::Ping => {
                let pong = BytesFrame::SimpleString(Bytes::from_static(b"PONG"));
                return Ok(NextAction::Reply(pong));
            }
            Command::Unknown => return Ok(error("SYNTAX no client sent this")),
            Command::Get(received) => received,
        };
        let now = self.shared.now();
        let attempt = self
            .shared
            .state()
            .attempt_at_server(now, self.server, received);
        let Some(attempt) = attempt else {
            return Ok(error("ERR failed"));
        };
        self.shared.notify_work_scheduled();
        match self.wait_for_reply(attempt).await {
            Some(reply) => self.deliver(reply).await,
            None => Ok(NextAction::Close),
        }
    }

    /// Waits for the reply to an attempt. Returns `None` if the node has cancelled the attempt by closing the
    /// connection.
    async fn wait_for_reply(&mut self, mut attempt: PendingAttempt) -> Option<AttemptReply> {
        loop {
            tokio::select! {
                reply = &mut attempt.reply => {
                    return Some(reply.unwrap_or(AttemptReply::ConnectionReset));
                }
                // Input behind this command is buffered until the reply is sent.
                read = self.stream.read_buf(&mut self.input), if self.input.len() < MAX_COMMAND_BYTES => {
                    if read.unwrap_or(0) > 0 {
                        continue;
                    }
                    let now = self.shared.now();
                    self.shared.state().cancel_attempt(now, attempt.job);
                    self.shared.notify_work_scheduled();
                    return None;
                }
            }
        }
    }

    async fn deliver(&mut self, reply: AttemptReply) -> std::io::Result<NextAction> {
        match reply {
            AttemptReply::Value => Ok(NextAction::Reply(BytesFrame::Array(vec![
                BytesFrame::BulkString(self.shared.value().clone()),
                BytesFrame::BulkString(Bytes::from_static(b"hit")),
                BytesFrame::Null,
            ]))),
            AttemptReply::Miss => Ok(NextAction::Reply(BytesFrame::Array(vec![
                BytesFrame::Null;
                3
            ]))),
            AttemptReply::Busy => Ok(error("BUSY")),
            AttemptReply::Failed => Ok(error("ERR failed")),
            AttemptReply::ConnectionReset => Ok(NextAction::Close),
            AttemptReply::Corrupt => {
                let corrupt = format!("{CORRUPT_REPLY}\r\n");
                self.stream.write_all(corrupt.as_bytes()).await?;
                Ok(NextAction::Close)
            }
            AttemptReply::Nothing => {
                self.discard_input().await?;
                Ok(NextAction::Close)
            }
        }
    }

    /// Reads until the node closes the connection.
    async fn discard_input(&mut self) -> std::io::Result<()> {
        while self.stream.read_buf(&mut self.input).await? > 0 {
            self.input.clear();
        }
        Ok(())
    }
}

fn error(line: &str) -> NextAction {
    NextAction::Reply(BytesFrame::Error(line.into()))
}
