//! A server that answers each command at once with one value, for measuring what stands before it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;

use super::receiver::READ_SIZE;

/// A server that answers each command with one value, and PING with PONG. It ends when it is dropped.
pub struct StubServer {
    address: SocketAddr,
    listener: TcpListener,
    thread: Option<JoinHandle<()>>,
}

impl StubServer {
    /// Listens on a port of 127.0.0.1 that the system picks. Each answer has a value of `value_bytes`, and comes after
    /// `pause`.
    ///
    /// # Errors
    /// If the system provides no port.
    pub fn start(value_bytes: usize, pause: Duration) -> std::io::Result<StubServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let incoming = listener.try_clone()?;
        let value = "v".repeat(value_bytes);
        let answer =
            format!("*3\r\n${value_bytes}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n").into_bytes();
        let thread = thread::spawn(move || accept(&incoming, &answer, pause));
        Ok(StubServer {
            address,
            listener,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        // This ends the accepting thread.
        let _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Accepts connections until the listener is shut down. Each has a thread that ends with it.
fn accept(listener: &TcpListener, answer: &[u8], pause: Duration) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { return };
        let answer = answer.to_vec();
        thread::spawn(move || answer_commands(stream, &answer, pause));
    }
}

/// Answers the commands of a connection until it ends.
fn answer_commands(mut stream: TcpStream, answer: &[u8], pause: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let mut chunk = vec![0; READ_SIZE];
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
            output.extend_from_slice(if is_ping { b"+PONG\r\n" } else { answer });
        }
        if !pause.is_zero() {
            thread::sleep(pause);
        }
        stream.write_all(&output)?;
    }
}
