//! A fake discovery service, and the endpoint lists that it sends.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;

use super::TEST_TIMEOUT;
use super::servers::read_http;

/// How often a watch without updates sends an empty line.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The response that rejects a call.
pub const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

/// A fake discovery service.
pub struct FakeDiscovery {
    pub address: SocketAddr,
    /// Bytes to send on the watch that the last response opens.
    pub updates: Sender<Vec<u8>>,
    /// The request lines of the calls.
    pub calls: Receiver<String>,
}

impl FakeDiscovery {
    /// Answers the first call with a watch on which only the test sends lists.
    pub fn unchanging() -> FakeDiscovery {
        FakeDiscovery::with_responses(vec![watch_head()])
    }

    /// Answers each call with the next of these responses. The last one stays open and carries the updates.
    pub fn with_responses(responses: Vec<Vec<u8>>) -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (updates, queued_updates) = channel();
        let (report, calls) = channel();
        std::thread::spawn(move || {
            let count = responses.len();
            let connections = listener.incoming().flatten();
            for (number, (response, stream)) in responses.into_iter().zip(connections).enumerate() {
                let output = answer_call(stream, &response, &report);
                if number + 1 == count {
                    send_updates(output, &queued_updates);
                }
            }
            // Later calls are closed at once. The listener stays open to keep the address: the system could give a free
            // address to the server of another test, which a router that still calls discovery would then reach.
            for connection in listener.incoming() {
                drop(connection);
            }
        });
        FakeDiscovery {
            address,
            updates,
            calls,
        }
    }

    /// Answers the first call after a delay, with a watch that begins with this list.
    pub fn slow(delay: Duration, list: &str) -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (updates, queued_updates) = channel();
        let (report, calls) = channel();
        let response = watch_with(list);
        std::thread::spawn(move || {
            if let Some(stream) = listener.incoming().flatten().next() {
                let mut output = answer_call(stream, &[], &report);
                std::thread::sleep(delay);
                let _ = output.write_all(&response);
                send_updates(output, &queued_updates);
            }
            listener.incoming().for_each(drop);
        });
        FakeDiscovery {
            address,
            updates,
            calls,
        }
    }

    /// The request line of the next call.
    pub fn next_call(&self) -> String {
        self.calls.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    /// Sends an endpoint list on the open watch.
    pub fn send(&self, list: &str) {
        self.updates.send(chunk(list)).unwrap();
    }
}

fn answer_call(stream: TcpStream, response: &[u8], report: &Sender<String>) -> TcpStream {
    let mut output = stream.try_clone().unwrap();
    let request = read_http(&mut BufReader::new(stream)).unwrap_or_default();
    let _ = report.send(request.first().cloned().unwrap_or_default());
    let _ = output.write_all(response);
    output
}

fn send_updates(mut output: TcpStream, updates: &Receiver<Vec<u8>>) {
    loop {
        let bytes = match updates.recv_timeout(KEEP_ALIVE_INTERVAL) {
            Ok(bytes) => bytes,
            Err(RecvTimeoutError::Timeout) => chunk("\n"),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if output.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Keeps a watch open until the router closes it.
pub fn keep_watch_open(mut stream: TcpStream) {
    while stream.write_all(&chunk("\n")).is_ok() {
        std::thread::sleep(KEEP_ALIVE_INTERVAL);
    }
}

/// The response head of a watch.
pub fn watch_head() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()
}

/// The head of a watch, followed by a list.
pub fn watch_with(list: &str) -> Vec<u8> {
    [watch_head(), chunk(list)].concat()
}

/// A chunk of a chunked response.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// An entry of an endpoint list.
pub fn endpoint(name: &str, address: SocketAddr, kind: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// An endpoint list with a version: the complete list, or a change to it.
pub fn endpoint_list(version: u64, is_complete: bool, endpoints: &[String]) -> String {
    format!(
        r#"{{"index":{version},"snapshot":{is_complete},"endpoints":[{}]}}"#,
        endpoints.join(",")
    ) + "\n"
}
