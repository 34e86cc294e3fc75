//! The messages between the tasks of the router: what clients, server connections, discovery and signals tell the event
//! loop, and what it hands back. A leaf module: it imports none of the modules that send or receive.

use std::net::SocketAddr;

use bytes::Bytes;
use routing_policy::{AttemptStatus, CacheLookup, Key, LoadReport, Micros, RequestId};
use serde::Deserialize;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// What reaches the loop.
#[derive(Debug)]
pub enum RouterEvent {
    /// A client asks.
    ClientRequest(Box<ClientRequest>),
    /// A client has closed its connection.
    ClientDisconnected(ClientId),
    /// What a connection to a server tells.
    ServerConnection(ConnectionId, ServerConnectionEvent),
    /// Discovery has sent a list or a change, in answer to a call.
    EndpointList(DiscoveryCall, EndpointListing),
    /// A call to discovery failed, or the watch broke.
    DiscoveryFailed(DiscoveryCall),
    /// The watch was open and fell silent.
    WatchStalled(DiscoveryCall),
    /// Discovery lives elsewhere from now on.
    DiscoveryMoved(SocketAddr),
    /// The platform asks the node to end.
    Terminate,
}

impl RouterEvent {
    /// Whether it may forbid what others ask for, and asks for nothing itself.
    pub fn forbids_sends(&self) -> bool {
        matches!(
            self,
            RouterEvent::ClientDisconnected(_) | RouterEvent::EndpointList(..)
        )
    }
}

/// Names a client's connection; never used twice.
pub type ClientId = u64;

/// A command of a client.
#[derive(Debug, Clone, Default)]
pub struct ClientCommand {
    /// Whether it writes.
    pub write: bool,
    /// The key, as the client wrote it.
    pub key: Bytes,
    /// The request's id, as the client wrote it.
    pub id: Bytes,
    /// The list of facts, as the client wrote it.
    pub facts: String,
    /// What a write stores.
    pub value: Option<Bytes>,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings; 0 where there are none.
    pub tenant: usize,
    /// How long the client waits, microseconds.
    pub remaining_deadline: Micros,
    /// Whether the client said that it repeats an earlier request.
    pub is_retry: bool,
    /// Expected work, where told.
    pub cost: Option<Micros>,
    /// Size of the value in bytes, 0 where not told.
    pub value_size: f32,
}

impl ClientCommand {
    /// The key as the module knows it, the same at every node.
    pub fn hashed_key(&self) -> Key {
        let text = std::str::from_utf8(&self.key).ok();
        let hex = text
            .filter(|t| t.len() == 16)
            .and_then(|t| u64::from_str_radix(t, 16).ok());
        hex.unwrap_or_else(|| xxh3_64(&self.key)).max(1)
    }
}

/// A command on its way to the node, and where its answer goes.
#[derive(Debug)]
pub struct ClientRequest {
    /// The command.
    pub command: ClientCommand,
    /// When its last byte arrived.
    pub at: Micros,
    /// The connection that it came on.
    pub client: ClientId,
    /// The place of its answer among those of the connection.
    pub slot: u64,
    /// Where its answer goes.
    pub answers: mpsc::Sender<(u64, Bytes)>,
}

/// Names a connection; never used twice.
pub type ConnectionId = u64;

/// Names an attempt: its request and its number.
pub type AttemptId = (RequestId, u16);

/// What a server sent can't be understood; the connection is of no more use.
#[derive(Debug, PartialEq, Clone, Copy)]
pub struct ProtocolError;

/// An answer of a server.
#[derive(Debug, PartialEq)]
pub struct ServerResponse {
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// What the server said of the key.
    pub cache_lookup: CacheLookup,
    /// The load report that came along.
    pub load: LoadReport,
    /// What the client is sent.
    pub value: Option<Bytes>,
    /// Whether the connection can carry another request.
    pub reusable: bool,
}

/// What a connection tells the node.
#[derive(Debug)]
pub enum ServerConnectionEvent {
    /// It is up, and nothing has been written to it.
    Up,
    /// The answer to the request that it carried.
    Answer(ServerResponse),
    /// The request that it was given was withdrawn, or its time was up, before its first byte was written; it is free.
    Unsent,
    /// The process stood still between the node's word and the first byte, which was not written: what came meanwhile
    /// may forbid it.
    Stale,
    /// It could not be opened or is lost.
    Lost {
        /// Whether the last byte of its request may have been written.
        written: bool,
    },
}

/// What is spoken with a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerProtocol {
    /// RESP2, with cache servers.
    Resp,
    /// HTTP/1.1, with the origin.
    Http,
}

/// What a call to discovery was, for whoever takes what it brought out of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// Names it; later calls have higher numbers.
    pub(crate) number: u64,
    /// Which of the addresses it was made to that discovery has had.
    pub(crate) address_generation: u64,
    /// Version of the list that was in force when it began.
    pub(crate) held_version: u64,
}

/// A list of servers, or a change of it.
#[derive(Deserialize, Default, Debug)]
pub struct EndpointListing {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is whole.
    #[serde(default)]
    pub snapshot: bool,
    /// Its entries.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// A server of the list.
#[derive(Deserialize, Debug)]
pub struct DiscoveredEndpoint {
    /// The name, which stays over restarts.
    pub name: String,
    /// Where it is reached, `ip:port`.
    #[serde(default)]
    pub address: String,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Name of its machine kind.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell, a group that shares which requests with an idempotency key it has seen.
    #[serde(default)]
    pub group: u16,
    /// Whether it is active, draining or gone, in discovery's words.
    pub status: String,
    /// Its weight.
    #[serde(default = "one")]
    pub weight: f32,
    /// When its process started, Unix milliseconds; 0 where not known.
    #[serde(default)]
    pub since_ms: u64,
}

fn one() -> f32 {
    1.0
}
