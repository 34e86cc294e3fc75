//! A server that answers every command at once with the same value, to measure the overhead of what is in front of it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;

use super::receiver::READ_BUFFER_SIZE;

/// A server that answers every command with the same value, and PING with PONG. It stops when it is dropped.
pub struct StubServer {
    address: SocketAddr,
    listener: TcpListener,
    thread: Option<JoinHandle<()>>,
}

impl StubServer {
    /// Starts a server on an ephemeral port of 127.0.0.1. Its replies have a value of `value_bytes` and are delayed by
    /// `reply_delay`.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start(value_bytes: usize, reply_delay: Duration) -> std::io::Result<StubServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let incoming = listener.try_clone()?;
        let value = "v".repeat(value_bytes);
        let reply = format!("*3\r\n${value_bytes}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n").into_bytes();
        let thread = thread::spawn(move || accept(&incoming, &reply, reply_delay));
        Ok(StubServer {
            address,
            listener,
            thread: Some(thread),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        // This ends the accept loop, so that its thread can be joined.
        let _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Accepts connections until the listener is shut down. Each connection has its own thread.
fn accept(listener: &TcpListener, reply: &[u8], reply_delay: Duration) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { return };
        let reply = reply.to_vec();
        thread::spawn(move || reply_to_commands(stream, &reply, reply_delay));
    }
}

/// Answers the commands of a connection until the client closes it.
fn reply_to_commands(
    mut stream: TcpStream,
    reply: &[u8],
    reply_delay: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let mut chunk = vec![0; READ_BUFFER_SIZE];
    let mut output = Vec::new();
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(());
        }
        buffer.extend_from_slice(&chunk[..count]);
        output.clear();
        while let Ok(Some((command, ..))) = decode_bytes_mut(&mut buffer) {
            let is_ping = matches!(&command, BytesFrame::Array(words) if words.len() == 1);
            output.extend_from_slice(if is_ping { b"+PONG\r\n" } else { reply });
        }
        if !reply_delay.is_zero() {
            thread::sleep(reply_delay);
        }
        stream.write_all(&output)?;
    }
}
