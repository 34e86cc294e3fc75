//! A client of the router, which speaks RESP2.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::TEST_TIMEOUT;
use super::servers::read_line;

/// The command of the health check.
pub const PING: [&str; 1] = ["PING"];

/// A client of the router.
pub struct Client {
    pub output: TcpStream,
    pub input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        Client::try_connect(address).unwrap()
    }

    /// As [`Self::connect`]; `None` if the router does not accept the connection.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        Some(Client {
            output: stream.try_clone().ok()?,
            input: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.output.write_all(bytes).unwrap();
    }

    /// Reads the next reply: the content of a bulk string, or any other line unchanged; `None` if the connection is
    /// closed.
    pub fn reply(&mut self) -> Option<String> {
        let first = read_line(&mut self.input)?;
        let Some(length) = first.strip_prefix('$') else {
            return Some(first);
        };
        let mut bytes = vec![0; length.parse::<usize>().unwrap() + 2];
        self.input.read_exact(&mut bytes).ok()?;
        bytes.truncate(bytes.len() - 2);
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends a command and returns its reply; `None` if the connection is closed or reset.
    pub fn try_execute(&mut self, bytes: &[u8]) -> Option<String> {
        self.output.write_all(bytes).ok()?;
        self.reply()
    }

    /// Sends a command and returns its reply.
    pub fn execute(&mut self, bytes: &[u8]) -> Option<String> {
        self.send(bytes);
        self.reply()
    }

    /// Whether the router reports by its health check that it is ready to serve.
    pub fn is_router_ready(&mut self) -> bool {
        self.execute(&command(&PING)).unwrap() == "+PONG"
    }
}

/// Encodes a command.
pub fn command(arguments: &[&str]) -> Vec<u8> {
    let encoded = arguments
        .iter()
        .map(|argument| format!("${}\r\n{argument}\r\n", argument.len()))
        .collect::<String>();
    let count = encoded.matches("\r\n$").count() + 1;
    format!("*{count}\r\n{encoded}").into_bytes()
}

/// A read of `key` with the request id `id`.
pub fn read(key: &str, id: &str) -> Vec<u8> {
    command(&["OBJ.GET", key, id, "c=read,t=acme,d=8000"])
}

/// A read with the given fields.
pub fn read_with_fields(key: &str, id: &str, fields: &str) -> Vec<u8> {
    command(&["OBJ.GET", key, id, fields])
}

/// A read of the key `aa` with the request id `id` and a deadline in milliseconds.
pub fn read_with_deadline(id: &str, deadline_ms: u32) -> Vec<u8> {
    let fields = format!("c=read,t=acme,d={deadline_ms}");
    command(&["OBJ.GET", "aa", id, &fields])
}

/// A write that is not idempotent, with the request id `id`.
pub fn write(key: &str, id: &str, value: &str) -> Vec<u8> {
    command(&["OBJ.SET", key, id, "c=put,t=acme,d=8000,k=77", value])
}
