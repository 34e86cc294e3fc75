//! Clients of a run: their requests to nodes, and peers that send malformed bytes.

use std::time::Duration;

use bytes::BytesMut;
use cluster_model::Micros;
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::schedule::{MalformedTraffic, Scheduled};
use super::{ClientId, Driver, Message, RequestResult};
use crate::clients::{Client, Reply};
use crate::scenario::Idempotency;
use crate::sockets::client_connections::{RequestError, encode_command};
use crate::sockets::cluster::RequestId;

/// Bytes that malformed peers send: nothing, another protocol, half a command, an impossible length, TLS.
const MALFORMED: [&[u8]; 5] = [
    b"",
    b"GET / HTTP/1.1\r\n\r\n",
    b"*4\r\n$7\r\nOBJ.GET\r\n$16\r\n00000",
    b"*2\r\n$999999999\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
];
/// A peer that sends malformed bytes disconnects after this time, unless the node closes the connection earlier.
const MALFORMED_PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// A client's request in the form that is sent to a node.
struct RequestCommand {
    class: String,
    write: bool,
    key: String,
    request: String,
    deadline: Micros,
    /// The same for all attempts of a client.
    idempotency_key: Option<String>,
}

impl RequestCommand {
    /// Encodes `OBJ.GET key request fields` or `OBJ.SET key request fields value`. The fields are the class, the
    /// deadline that remains at `now` in milliseconds, and the idempotency key.
    fn encode(&self, now: Micros, value: &[u8]) -> BytesMut {
        let remaining_ms = self.deadline.saturating_sub(now).div_ceil(1_000);
        let mut fields = format!("c={},d={remaining_ms}", self.class);
        if let Some(idempotency_key) = &self.idempotency_key {
            fields.push_str(&format!(",k={idempotency_key}"));
        }
        let (key, request) = (self.key.as_bytes(), self.request.as_bytes());
        if self.write {
            encode_command(&[b"OBJ.SET", key, request, fields.as_bytes(), value])
        } else {
            encode_command(&[b"OBJ.GET", key, request, fields.as_bytes()])
        }
    }
}

impl Driver<'_> {
    /// Handles the arrival of a client, and schedules the next arrival.
    pub(super) fn handle_client_arrival(&mut self, at: Micros) {
        if let Some(next) = self.clients.next_arrival(at) {
            self.schedule_at(next, Scheduled::NextArrival);
        }
        let client = self.clients.new_client(at);
        self.begin_request(client);
    }

    /// Sends a client's next attempt to a node in rotation, unless the client's request has ended.
    pub(super) fn begin_request(&mut self, client_id: ClientId) {
        let Some(client) = self.clients.begin_attempt(client_id) else {
            return;
        };
        self.last_request += 1;
        let request = self.last_request;
        let Some(node) = self.load_balancer.choose() else {
            return self.fail_request(client_id, request);
        };
        self.clients.assign(client_id, node, request);
        let now = self.shared.now();
        self.shared
            .state()
            .begin_request(now, request, node, &client);
        let command = self.request_command(request, client_id, &client);
        let leaves_at = self.shared.instant(client.leaves_at);
        let disconnects_early = client.leaves_at < client.deadline;
        let connections = self.nodes[node as usize].connections().clone();
        let shared = self.shared.clone();
        let messages = self.message_sender.clone();
        self.tasks.spawn(async move {
            let report = async |result| {
                let message = Message::RequestEnded {
                    client: client_id,
                    request,
                    result,
                };
                // The send fails only if the driver has been dropped.
                let _ = messages.send(message).await;
            };
            let encode = || command.encode(shared.now(), shared.value());
            let reply = connections.request(encode, shared.value());
            tokio::pin!(reply);
            let result = match tokio::time::timeout_at(leaves_at, &mut reply).await {
                Ok(result) => RequestResult::Ended(result),
                Err(_) if disconnects_early => RequestResult::ClientDisconnected,
                Err(_) => {
                    report(RequestResult::DeadlinePassed).await;
                    // The wait is bounded only by the end of the run, because a pause of the node's process may delay
                    // its answer.
                    RequestResult::Ended(reply.await)
                }
            };
            report(result).await;
        });
    }

    /// Fails a request because no node is in rotation.
    fn fail_request(&mut self, client: ClientId, request: RequestId) {
        let messages = self.message_sender.clone();
        let message = Message::RequestEnded {
            client,
            request,
            result: RequestResult::Ended(Err(RequestError::NotConnected)),
        };
        self.tasks.spawn(async move {
            let _ = messages.send(message).await;
        });
    }

    fn request_command(
        &self,
        request: RequestId,
        client_id: ClientId,
        client: &Client,
    ) -> RequestCommand {
        let class = &self.scenario.classes[client.class];
        let deduplicated = matches!(class.idempotency, Idempotency::Deduplicated);
        RequestCommand {
            class: class.name.clone(),
            write: class.write,
            key: format!("{:016x}", client.key),
            request: format!("{request:016x}"),
            deadline: client.deadline,
            idempotency_key: deduplicated.then(|| format!("{client_id:016x}")),
        }
    }

    /// Handles the end of a request: passes the result to the client, which may schedule a retry.
    pub(super) fn request_ended(
        &mut self,
        client: ClientId,
        request: RequestId,
        result: RequestResult,
    ) {
        let now = self.shared.now();
        let result = match result {
            RequestResult::Ended(result) => result,
            RequestResult::ClientDisconnected => {
                self.shared.state().request_abandoned(now, request);
                self.clients.leave(client);
                return;
            }
            RequestResult::DeadlinePassed => {
                self.overdue.insert(request);
                self.clients.leave(client);
                return;
            }
        };
        self.overdue.remove(&request);
        self.record_result(now, request, &result);
        let reply = result.unwrap_or(Reply::Failed);
        if let Some(retry_at) = self.clients.handle_reply(now, client, reply) {
            self.schedule_at(retry_at, Scheduled::Retry(client));
        }
    }

    fn record_result(&self, now: Micros, request: RequestId, result: &Result<Reply, RequestError>) {
        let mut state = self.shared.state();
        match result {
            Ok(reply) => {
                let rejected = matches!(reply, Reply::Rejected(_));
                state.request_answered(now, request, rejected);
            }
            Err(RequestError::NotConnected) => state.request_abandoned(now, request),
            Err(RequestError::IdleConnectionLost) => {
                state.request_lost_on_idle_connection(now, request)
            }
            Err(RequestError::ConnectionLost) => state.request_aborted(now, request),
        }
    }

    /// Sends malformed bytes to a node in rotation from a new peer, and schedules the next peer.
    pub(super) fn send_malformed(&mut self, at: Micros, traffic: MalformedTraffic) {
        let next = at + (1e6 / traffic.per_second) as Micros;
        if next < traffic.until {
            self.schedule_at(next, Scheduled::SendMalformed(traffic));
        }
        let random = &mut self.random.malformed_traffic;
        let Some(node) = self.load_balancer.choose_with(random) else {
            return;
        };
        let bytes = MALFORMED[random.random_range(0..MALFORMED.len())];
        let address = self.nodes[node as usize].address();
        self.tasks.spawn(async move {
            let peer = async {
                let mut stream = TcpStream::connect(address).await?;
                stream.write_all(bytes).await?;
                // Reads until the node closes the connection.
                let mut answer = [0; 256];
                while stream.read(&mut answer).await? > 0 {}
                Ok::<_, std::io::Error>(())
            };
            // The result does not matter: the test is that the node keeps running.
            let _ = tokio::time::timeout(MALFORMED_PEER_TIMEOUT, peer).await;
        });
    }
}
