//! The messages between the tasks of the router: the events that client connections, server connections, discovery and
//! signals report to the event loop, and the replies that it returns. This module imports none of the modules that send
//! or receive the messages.

use std::net::SocketAddr;

use bytes::Bytes;
use routing_policy::{AttemptStatus, CacheLookup, Key, LoadReport, Micros, RequestId, ServerId};
use serde::Deserialize;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::unread_input::UnreadInput;
use crate::write_progress::WriteProgress;

/// An event for the event loop.
#[derive(Debug)]
pub enum RouterEvent {
    /// A client sent a command.
    ClientRequest(Box<ClientRequest>),
    /// The connection of a client has ended.
    ClientDisconnected(ClientDisconnect),
    /// The state of a connection to a server changed.
    ServerConnection(ConnectionId, ServerConnectionEvent),
    /// A call to discovery returned the endpoint list or a change of it.
    EndpointList(DiscoveryCall, EndpointListUpdate),
    /// The watch sent an empty line: the endpoint list that it reported is still current.
    EndpointListUnchanged(DiscoveryCall),
    /// A call to discovery failed, or the watch broke.
    DiscoveryFailed(DiscoveryCall),
    /// The watch was open and then sent nothing for too long.
    WatchStalled(DiscoveryCall),
    /// Discovery has a new address.
    DiscoveryMoved(SocketAddr),
    /// The process received a signal to shut down.
    Terminate,
}

impl RouterEvent {
    /// Returns whether the event can revoke the permission to send a request, and never causes one to be sent.
    pub fn revokes_sends(&self) -> bool {
        matches!(
            self,
            RouterEvent::ClientDisconnected(_) | RouterEvent::EndpointList(..)
        )
    }
}

/// Identifies the connection of a client; never reused.
pub type ClientId = u64;

/// The end of a client's connection. All outstanding replies to the client are void.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientDisconnect {
    /// The client.
    pub client: ClientId,
    /// When the router read the close of the connection or closed it, on the router's clock.
    pub at: Micros,
    /// Why the connection ended.
    pub cause: DisconnectCause,
}

/// Why the connection of a client ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisconnectCause {
    /// The client closed it, or the network failed.
    ClosedByClient,
    /// The client read none of its replies for too long, and the router closed it.
    OutputStalled,
}

/// A parsed command of a client.
#[derive(Debug, Clone, Default)]
pub struct ClientCommand {
    /// Whether the command is a write.
    pub is_write: bool,
    /// The key as sent by the client.
    pub key: Bytes,
    /// The client's id of the request, as sent by the client.
    pub request_id: Bytes,
    /// The comma-separated `name=value` fields, as sent by the client.
    pub fields: String,
    /// The value to store, for a write.
    pub value: Option<Bytes>,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings; 0 if there are no tenants.
    pub tenant: usize,
    /// The remaining time in which the client expects a reply, in microseconds.
    pub remaining_deadline: Micros,
    /// Whether the client marked it as a retry of an earlier request.
    pub is_retry: bool,
    /// Expected work in microseconds, if the client stated it.
    pub cost: Option<Micros>,
    /// Size of the value in bytes; 0 if the client did not state it.
    pub value_size: f32,
}

/// A key with this many hexadecimal digits is already a hash.
const HEX_KEY_LENGTH: usize = 16;

impl ClientCommand {
    /// Returns the hashed key that the policy uses. It is the same at every router.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok();
        let hex = text
            .filter(|text| text.len() == HEX_KEY_LENGTH)
            .and_then(|text| u64::from_str_radix(text, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }
}

/// A command for the event loop, with the channel for its reply.
#[derive(Debug)]
pub struct ClientRequest {
    /// The command.
    pub command: ClientCommand,
    /// When the last byte of the command arrived, on the router's clock.
    pub received_at: Micros,
    /// The connection on which the command arrived.
    pub client: ClientId,
    /// Since when the connection has unread input, behind which the client may have closed it.
    pub unread_input: UnreadInput,
    /// Position of the command, and so of its reply, in the order of the connection's commands.
    pub sequence: u64,
    /// Channel for the reply. It has capacity for every outstanding reply of the connection.
    pub replies: mpsc::Sender<ClientReply>,
}

/// The reply to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A reply that is encoded already.
    Encoded(Bytes),
    /// A value, which is encoded as a bulk string when it is written. Its memory may be reserved.
    Value(Bytes),
}

impl Reply {
    /// The length of its content, in bytes.
    pub fn content_length(&self) -> usize {
        match self {
            Reply::Encoded(content) | Reply::Value(content) => content.len(),
        }
    }
}

/// The reply to a command, with its place in the order of replies.
#[derive(Debug, PartialEq, Eq)]
pub struct ClientReply {
    /// Position in the order of the connection's commands.
    pub sequence: u64,
    /// The reply.
    pub reply: Reply,
}

/// Identifies a connection to a server; never reused.
pub type ConnectionId = u64;

/// Identifies an attempt. The order is by request, then by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request to which the attempt belongs.
    pub request: RequestId,
    /// Number of the attempt among those of the request, from 0.
    pub number: u16,
}

/// How to reach a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerTarget {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Its protocol.
    pub protocol: ServerProtocol,
}

/// The error for a server that sent bytes that violate its protocol. Its connection cannot be used any more.
#[derive(Debug, PartialEq, Clone, Copy, thiserror::Error)]
#[error("the server sent bytes that violate its protocol; its connection has to be closed")]
pub struct ProtocolError;

/// The response of a server to an attempt.
#[derive(Debug, PartialEq)]
pub struct ServerResponse {
    /// The status of the attempt.
    pub status: AttemptStatus,
    /// The cache lookup that the server reported.
    pub cache_lookup: CacheLookup,
    /// The load report that the response carried.
    pub load: LoadReport,
    /// The value for the client.
    pub value: Option<Bytes>,
    /// Whether the connection can carry another request.
    pub reusable: bool,
}

/// An event on a connection to a server.
#[derive(Debug)]
pub enum ServerConnectionEvent {
    /// The connection is established. Nothing has been written to it.
    Established,
    /// The server responded to the request.
    Response(ServerResponse),
    /// The request was withdrawn, or reached its deadline, before the first byte was written. The connection is free.
    NotWritten,
    /// No byte of the request has been written, and the event loop must confirm the write. The process was suspended
    /// between the event loop's decision and the first byte, or this machine could not write it. Events that arrived in
    /// the meantime can revoke the decision.
    ConfirmWrite,
    /// The connection could not be established, or was lost.
    Lost(LostConnection),
}

/// How a connection to a server was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostConnection {
    /// How much of the current request had been written.
    pub progress: WriteProgress,
    /// What caused the loss.
    pub cause: LossCause,
}

/// The cause of a lost connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The server or the network.
    Server,
    /// This machine: it lacked memory or descriptors for too long.
    ThisMachine,
}

/// The protocol of a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerProtocol {
    /// RESP2, for cache servers.
    Resp,
    /// HTTP/1.1, for the origin.
    Http,
}

/// Identifies a call to discovery and records the state when it began, so that its results can be judged when they
/// arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// Its number; later calls have higher numbers.
    pub number: u64,
    /// How often the address had changed, or the whole list had been needed again, when the call was made.
    pub generation: u64,
    /// Version of the endpoint list that was current when the call began; 0 if it came from an earlier generation.
    pub held_version: u64,
}

/// The endpoint list, or a change of it. Discovery defines the names of the JSON fields.
#[derive(Deserialize, Default, Debug)]
pub struct EndpointListUpdate {
    /// Its version.
    #[serde(default, rename = "index")]
    pub version: u64,
    /// Whether this is the complete list, not a change.
    #[serde(default, rename = "snapshot")]
    pub is_complete: bool,
    /// The listed or changed endpoints.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// An endpoint as described by discovery, which defines the names of the JSON fields.
#[derive(Deserialize, Debug)]
pub struct DiscoveredEndpoint {
    /// The name, which stays the same when the server restarts.
    pub name: String,
    /// The address, `ip:port`.
    #[serde(default)]
    pub address: String,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Name of its machine kind.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell: the group of servers that share the idempotency keys that they have seen.
    #[serde(default, rename = "group")]
    pub cell: u16,
    /// `active`, `left`, or any other text for draining.
    pub status: String,
    /// Its weight.
    #[serde(default = "default_weight")]
    pub weight: f32,
    /// When its process started, in Unix milliseconds; 0 if unknown.
    #[serde(default, rename = "since_ms")]
    pub started_ms: u64,
}

fn default_weight() -> f32 {
    1.0
}
