//! Clients: they keep their connections and open more when all are busy.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::resp::{self, Answer};

/// A connection of a client.
pub struct Connection {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }
}

/// A request of a client.
pub struct Request {
    pub id: String,
    pub key: String,
    pub class: &'static str,
    pub deadline_ms: u64,
    /// The value of a write.
    pub value: Option<Vec<u8>>,
    /// The idempotency key of a keyed write.
    pub idempotency_key: Option<String>,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let mut facts = format!("c={},d={}", self.class, self.deadline_ms);
        if let Some(key) = &self.idempotency_key {
            facts += &format!(",k={key}");
        }
        let (key, id) = (self.key.as_bytes(), self.id.as_bytes());
        match &self.value {
            Some(value) => resp::command(&[b"OBJ.SET", key, id, facts.as_bytes(), value]),
            None => resp::command(&[b"OBJ.GET", key, id, facts.as_bytes()]),
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// It got an answer.
    Answered(Answer),
    /// Its connection was refused, or closed without a byte of an answer.
    Closed,
    /// It had no answer half a second after its time.
    NoAnswer,
}

/// Idle connections to one node.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Sends a request and waits for its answer until `patience` after its time. A request that crosses the close of a
    /// resting connection is sent once more on a new one.
    pub fn call(&self, node: SocketAddr, request: &Request, patience: Duration) -> End {
        let resting = self.idle.lock().unwrap().pop();
        if let Some(connection) = resting {
            match self.try_call(connection, request, patience) {
                End::Closed => {}
                end => return end,
            }
        }
        match Connection::open(node) {
            Ok(connection) => self.try_call(connection, request, patience),
            Err(_) => End::Closed,
        }
    }

    fn try_call(&self, mut connection: Connection, request: &Request, patience: Duration) -> End {
        if connection.stream.write_all(&request.bytes()).is_err() {
            return End::Closed;
        }
        // The time of a request counts from its last byte.
        let until = Instant::now() + Duration::from_millis(request.deadline_ms) + patience;
        let left = until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let _ = connection.stream.set_read_timeout(Some(left));
        match resp::read_answer(&mut connection.reader) {
            Ok(Some(answer)) => {
                self.idle.lock().unwrap().push(connection);
                End::Answered(answer)
            }
            Ok(None) => End::Closed,
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                End::NoAnswer
            }
            Err(_) => End::Closed,
        }
    }
}
