//! The messages between the tasks of the router: what client connections, server connections, discovery and signals
//! report to the event loop, and what it returns. A leaf module: it imports none of the modules that send or receive.

use std::net::SocketAddr;

use bytes::Bytes;
use routing_policy::{AttemptStatus, CacheLookup, Key, LoadReport, Micros, RequestId, ServerId};
use serde::Deserialize;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use crate::write_progress::WriteProgress;

/// An event for the event loop.
#[derive(Debug)]
pub enum RouterEvent {
    /// A client sent a command.
    ClientRequest(Box<ClientRequest>),
    /// The connection of a client is over.
    ClientDisconnected(ClientDeparture),
    /// The state of a connection to a server changed.
    ServerConnection(ConnectionId, ServerConnectionEvent),
    /// A call to discovery returned the endpoint list or a change of it.
    EndpointList(DiscoveryCall, EndpointListUpdate),
    /// The watch sent an empty line: the endpoint list that it has told is still in force.
    EndpointListUnchanged(DiscoveryCall),
    /// A call to discovery failed, or the watch broke.
    DiscoveryFailed(DiscoveryCall),
    /// The watch was open and then sent nothing for too long.
    WatchStalled(DiscoveryCall),
    /// Discovery has a new address.
    DiscoveryMoved(SocketAddr),
    /// The platform asks the router to shut down.
    Terminate,
}

impl RouterEvent {
    /// Whether the event can revoke the permission to send a request, and never asks for one to be sent.
    pub fn revokes_sends(&self) -> bool {
        matches!(
            self,
            RouterEvent::ClientDisconnected(_) | RouterEvent::EndpointList(..)
        )
    }
}

/// Identifies the connection of a client; never reused.
pub type ClientId = u64;

/// The end of a client's connection with which all that it was owed is void.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientDeparture {
    /// The client.
    pub client: ClientId,
    /// When its close was read, or it was cut off, on the router's clock.
    pub at: Micros,
    /// Who ended the connection.
    pub cause: DepartureCause,
}

/// Who ended the connection of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureCause {
    /// The client, or the network on the way.
    Closed,
    /// The router, as the client took none of its replies.
    CutOff,
}

/// A parsed command of a client.
#[derive(Debug, Clone, Default)]
pub struct ClientCommand {
    /// Whether it is a write.
    pub is_write: bool,
    /// The key, as the client sent it.
    pub key: Bytes,
    /// The client's id of the request, as the client sent it.
    pub request_id: Bytes,
    /// The `name=value` fields, comma separated, as the client sent them.
    pub fields: String,
    /// The value that a write stores.
    pub value: Option<Bytes>,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings; 0 where there are none.
    pub tenant: usize,
    /// How long the client waits, in microseconds.
    pub remaining_deadline: Micros,
    /// Whether the client marked it as a retry of an earlier request.
    pub is_retry: bool,
    /// Expected work in microseconds, if the client stated it.
    pub cost: Option<Micros>,
    /// Size of the value in bytes, 0 if the client did not state it.
    pub value_size: f32,
}

/// A key of this many hexadecimal digits is a hash already.
const HEX_KEY_LENGTH: usize = 16;

impl ClientCommand {
    /// The key as the policy knows it, the same at every router.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok();
        let hex = text
            .filter(|text| text.len() == HEX_KEY_LENGTH)
            .and_then(|text| u64::from_str_radix(text, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }
}

/// A command on its way to the event loop, and where its reply goes.
#[derive(Debug)]
pub struct ClientRequest {
    /// The command.
    pub command: ClientCommand,
    /// When its last byte arrived, on the router's clock.
    pub received_at: Micros,
    /// The connection that it arrived on.
    pub client: ClientId,
    /// Position of its reply in the order of the connection's commands.
    pub sequence: u64,
    /// Where its reply goes. The channel has capacity for every reply that the connection is owed.
    pub replies: mpsc::Sender<ClientReply>,
}

/// The reply to a command, encoded for the client.
#[derive(Debug, PartialEq, Eq)]
pub struct ClientReply {
    /// Position in the order of the connection's commands.
    pub sequence: u64,
    /// The encoded reply.
    pub bytes: Bytes,
}

/// Identifies a connection to a server; never reused.
pub type ConnectionId = u64;

/// Identifies an attempt. The order is by request, then by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that it serves.
    pub request: RequestId,
    /// Its number among the attempts of the request, from 0.
    pub number: u16,
}

/// Where and how a server is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerTarget {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The protocol that it speaks.
    pub protocol: ServerProtocol,
}

/// A server sent something that violates its protocol; its connection can't be used further.
#[derive(Debug, PartialEq, Clone, Copy, thiserror::Error)]
#[error("the server sent bytes that violate its protocol; its connection has to be closed")]
pub struct ProtocolError;

/// The response of a server to an attempt.
#[derive(Debug, PartialEq)]
pub struct ServerResponse {
    /// How the attempt ended.
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

/// What happened on a connection to a server.
#[derive(Debug)]
pub enum ServerConnectionEvent {
    /// It is established, and nothing has been written to it.
    Established,
    /// The response to the request that it carried.
    Response(ServerResponse),
    /// Its request was withdrawn, or reached its deadline, before the first byte was written; the connection is free.
    NotWritten,
    /// The process was suspended between the event loop's decision to write and the first byte, or this machine could
    /// not write it. No byte was written, and the decision has to be confirmed, since events that arrived meanwhile can
    /// revoke it.
    ConfirmWrite,
    /// It could not be established, or was lost.
    Lost(LostConnection),
}

/// How a connection to a server was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostConnection {
    /// How far the request was written that it carried.
    pub progress: WriteProgress,
    /// Who is to blame.
    pub cause: LossCause,
}

/// Who is to blame for a lost connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The server, or the network on the way.
    Server,
    /// This machine, which lacked memory or descriptors for too long.
    ThisMachine,
}

/// The protocol that a server speaks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerProtocol {
    /// RESP2, spoken by cache servers.
    Resp,
    /// HTTP/1.1, spoken by the origin.
    Http,
}

/// Identifies a call to discovery, and what was known when it began, for whoever receives its results later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// Its number; later calls have higher numbers.
    pub number: u64,
    /// Which of the addresses that discovery has had it was made to, counted from 0.
    pub address_generation: u64,
    /// Version of the endpoint list that was in force when it began.
    pub held_version: u64,
}

/// The endpoint list, or a change of it. The names of the fields in JSON are discovery's.
#[derive(Deserialize, Default, Debug)]
pub struct EndpointListUpdate {
    /// Its version.
    #[serde(default, rename = "index")]
    pub version: u64,
    /// Whether it is the complete list and not a change.
    #[serde(default, rename = "snapshot")]
    pub is_complete: bool,
    /// The endpoints that are listed or changed.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// An endpoint as discovery describes it. The names of the fields in JSON are discovery's.
#[derive(Deserialize, Debug)]
pub struct DiscoveredEndpoint {
    /// The name, which is the same after a restart.
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
    /// Its cell: the group of servers that share which idempotency keys they have seen.
    #[serde(default, rename = "group")]
    pub cell: u16,
    /// `active`, `left`, or anything else for draining.
    pub status: String,
    /// Its weight.
    #[serde(default = "default_weight")]
    pub weight: f32,
    /// When its process started, in Unix milliseconds; 0 if not known.
    #[serde(default, rename = "since_ms")]
    pub started_ms: u64,
}

fn default_weight() -> f32 {
    1.0
}
