//! Fake cache servers and origins. The test decides how they respond to each request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::TEST_TIMEOUT;

/// The pause between the pieces of a response that does not end.
const PAUSE_BETWEEN_PIECES: Duration = Duration::from_millis(1);

/// How a fake server responds to a request.
pub enum Behaviour {
    /// Responds with these bytes.
    Respond(Vec<u8>),
    /// Responds with these bytes once a message arrives on the channel.
    RespondAfter(Receiver<()>, Vec<u8>),
    /// Responds with these bytes and closes the connection.
    RespondAndClose(Vec<u8>),
    /// Responds with these bytes and resets the connection.
    RespondAndReset(Vec<u8>),
    /// Responds with these bytes, and with the same bytes again once a message arrives on the channel.
    RespondTwice(Vec<u8>, Receiver<()>),
    /// Closes the connection.
    Close,
    /// Sends nothing, and keeps the connection open.
    Hang,
    /// Responds with the first bytes, and then with the second ones again and again, until the connection is closed.
    RespondWithoutEnd(Vec<u8>, Vec<u8>),
}

/// Delays one response until the test opens the gate.
#[derive(Clone)]
pub struct Gate(Arc<Mutex<Option<Receiver<()>>>>);

impl Gate {
    /// A closed gate, and the sender that opens it.
    pub fn new() -> (Sender<()>, Gate) {
        let (open, opened) = channel();
        (open, Gate(Arc::new(Mutex::new(Some(opened)))))
    }

    /// The receiver of the message that opens the gate; `None` for all callers but the first.
    pub fn take(&self) -> Option<Receiver<()>> {
        self.0.lock().unwrap().take()
    }

    /// Responds when the gate opens. Panics if it is called for a second request.
    pub fn respond(&self, bytes: Vec<u8>) -> Behaviour {
        Behaviour::RespondAfter(self.take().unwrap(), bytes)
    }
}

/// A request that reached a fake server, or, without parts, the end of a connection.
pub struct ReceivedRequest {
    /// The arguments of a command, or the request line, the headers and the body of an HTTP request.
    pub parts: Vec<String>,
    pub connection: u32,
}

/// A fake server.
pub struct FakeServer {
    pub address: SocketAddr,
    pub requests: Receiver<ReceivedRequest>,
}

impl FakeServer {
    /// Waits for the next request.
    pub fn next_request(&self) -> ReceivedRequest {
        std::iter::from_fn(|| self.requests.recv_timeout(TEST_TIMEOUT).ok())
            .find(|request| !request.parts.is_empty())
            .expect("a request")
    }

    /// Waits until a connection is closed.
    pub fn wait_for_closed_connection(&self) {
        let end = std::iter::from_fn(|| self.requests.recv_timeout(TEST_TIMEOUT).ok())
            .find(|request| request.parts.is_empty());
        assert!(end.is_some(), "no connection was closed");
    }
}

/// A cache server that responds to each command as `respond` decides.
pub fn cache_server(
    respond: impl FnMut(&[String]) -> Behaviour + Send + Clone + 'static,
) -> FakeServer {
    serve(read_command, respond)
}

/// An origin that responds to each request as `respond` decides.
pub fn origin_server(
    respond: impl FnMut(&[String]) -> Behaviour + Send + Clone + 'static,
) -> FakeServer {
    serve(read_http, respond)
}

/// An origin that fails each request.
pub fn failing_origin() -> FakeServer {
    origin_server(|_| Behaviour::Respond(http(500, "", "")))
}

/// The response of a cache server for a hit.
pub fn hit(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

/// The response of a cache server for a miss.
pub fn miss() -> Vec<u8> {
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec()
}

/// A response of the origin.
pub fn http(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn serve(
    read_request: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    respond: impl FnMut(&[String]) -> Behaviour + Send + Clone + 'static,
) -> FakeServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (report, requests) = channel();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut respond = respond.clone();
            let report = report.clone();
            let connection = number as u32;
            std::thread::spawn(move || {
                serve_connection(stream, connection, read_request, &mut respond, &report);
                let _ = report.send(ReceivedRequest {
                    parts: Vec::new(),
                    connection,
                });
            });
        }
    });
    FakeServer { address, requests }
}

fn serve_connection(
    stream: TcpStream,
    connection: u32,
    read_request: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    respond: &mut impl FnMut(&[String]) -> Behaviour,
    report: &Sender<ReceivedRequest>,
) {
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(stream);
    while let Some(parts) = read_request(&mut input) {
        let behaviour = respond(&parts);
        let _ = report.send(ReceivedRequest { parts, connection });
        let (response, closes) = match behaviour {
            Behaviour::Respond(bytes) => (bytes, false),
            Behaviour::RespondAfter(opened, bytes) => {
                let _ = opened.recv_timeout(TEST_TIMEOUT);
                (bytes, false)
            }
            Behaviour::RespondAndClose(bytes) => (bytes, true),
            Behaviour::RespondAndReset(bytes) => {
                let _ = output.write_all(&bytes);
                // With a linger time of zero, dropping the socket resets the connection.
                let _ = socket2::SockRef::from(&output).set_linger(Some(Duration::ZERO));
                return;
            }
            Behaviour::RespondTwice(bytes, opened) => {
                let _ = output.write_all(&bytes);
                let _ = opened.recv_timeout(TEST_TIMEOUT);
                (bytes, false)
            }
            Behaviour::Close => (Vec::new(), true),
            Behaviour::Hang => (Vec::new(), false),
            Behaviour::RespondWithoutEnd(start, piece) => {
                let _ = output.write_all(&start);
                while output.write_all(&piece).is_ok() {
                    std::thread::sleep(PAUSE_BETWEEN_PIECES);
                }
                return;
            }
        };
        if output.write_all(&response).is_err() || closes {
            // Dropping the socket is not enough: a process that another test is starting may hold a copy of it.
            let _ = output.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Reads a command, an array of bulk strings.
fn read_command(input: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let count: usize = read_line(input)?.strip_prefix('*')?.parse().ok()?;
    (0..count).map(|_| read_bulk_string(input)).collect()
}

fn read_bulk_string(input: &mut BufReader<TcpStream>) -> Option<String> {
    let length: usize = read_line(input)?.strip_prefix('$')?.parse().ok()?;
    let mut bytes = vec![0; length + 2];
    input.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes[..length]).into_owned())
}

/// Reads a line without its terminator; `None` if the connection is closed.
pub fn read_line(input: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    let count = input.read_line(&mut text).ok()?;
    (count > 0).then(|| text.trim_end().to_string())
}

/// Reads an HTTP request: the request line, the headers and the body.
pub fn read_http(input: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut parts = vec![read_line(input)?];
    let mut length = 0;
    loop {
        let header = read_line(input)?;
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("Content-Length: ") {
            length = value.parse().ok()?;
        }
        parts.push(header);
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    parts.push(String::from_utf8_lossy(&body).into_owned());
    Some(parts)
}
