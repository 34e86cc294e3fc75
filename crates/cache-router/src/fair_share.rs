//! The share of each connection to a client or a server in the router's only thread.
//!
//! All tasks run on one thread, so the work that a connection does before it yields delays every request of every other
//! client. The work depends on what the peer sends, which need not be proper requests or responses. It is therefore
//! counted, and divided in turns:
//!
//! - A connection that has waited for its peer may do a [`QUANTUM`] of work at once, but only one in
//!   each [`INTERVAL`].
//! - A connection that has more to do queues for a turn in [`BulkTurns`]. One connection at a time has a turn, which is
//!   another quantum, and the sockets are polled before each turn. A request of another client therefore waits for at
//!   most one turn at each step of its way, however many connections have more to do.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tracing::info;

use crate::message::{ClientId, ConnectionId};

/// The work of one turn, in bytes: as much as reading so many bytes, or as much other work as takes about as long.
pub const QUANTUM: usize = 64 * 1024;
/// The interval in which a connection may do one quantum of work without a turn.
pub const INTERVAL: Duration = Duration::from_millis(25);
/// Work of parsing a command and answering it, in bytes, in addition to reading it.
const COMMAND_WORK: usize = 256;
/// Work that a request causes in the event loop and at the connections to servers, in bytes.
const REQUEST_WORK: usize = 2 * 1024;

/// Work that a connection does for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// This many bytes were read from the peer.
    Input(usize),
    /// This many bytes were written to the client.
    Output(usize),
    /// A command was taken from the input.
    Command,
    /// A request was sent to the event loop.
    Request,
}

impl Work {
    fn in_bytes(self) -> usize {
        match self {
            Work::Input(bytes) | Work::Output(bytes) => bytes,
            Work::Command => COMMAND_WORK,
            Work::Request => REQUEST_WORK,
        }
    }
}

/// The queue of the connections that have used up their quantum. Shared by all connections to clients and servers.
pub struct BulkTurns {
    /// A single permit, which is granted in the order in which it was asked for.
    turn: Arc<Semaphore>,
}

impl Default for BulkTurns {
    fn default() -> Self {
        BulkTurns {
            turn: Arc::new(Semaphore::new(1)),
        }
    }
}

impl BulkTurns {
    /// Waits for a turn. Before it begins, the sockets are polled and all tasks run that can.
    async fn next(&self) -> Option<OwnedSemaphorePermit> {
        let turn = self.turn.clone().acquire_owned().await.ok();
        tokio::task::yield_now().await;
        turn
    }
}

/// The peer of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// A client.
    Client(ClientId),
    /// A cache server or the origin.
    Server(ConnectionId),
}

/// The share of one connection.
pub struct FairShare {
    peer: Peer,
    turns: Arc<BulkTurns>,
    /// Work that the connection may do before it waits for a turn, in bytes.
    remaining: usize,
    /// When another quantum of work may begin without a turn.
    refill_at: Instant,
    /// The turn that the connection has.
    turn: Option<OwnedSemaphorePermit>,
    /// Whether the connection has ever waited for a turn.
    has_queued: bool,
}

impl FairShare {
    /// The share of a new connection.
    pub fn new(peer: Peer, turns: Arc<BulkTurns>) -> Self {
        FairShare {
            peer,
            turns,
            remaining: QUANTUM,
            refill_at: Instant::now() + INTERVAL,
            turn: None,
            has_queued: false,
        }
    }

    /// Counts work of the connection. It may exceed what remains, since a unit of work can't be divided.
    pub fn charge(&mut self, work: Work) {
        self.remaining = self.remaining.saturating_sub(work.in_bytes());
    }

    /// Whether the connection has to wait before it does more work.
    pub fn is_used_up(&self) -> bool {
        self.remaining == 0
    }

    /// Waits until the connection may do more work. Cancel safe: a connection that stops waiting loses its place in the
    /// queue and nothing else.
    pub async fn wait_for_more(&mut self) {
        if !self.is_used_up() {
            return;
        }
        self.end_turn();
        self.report_first_wait();
        self.turn = self.turns.next().await;
        self.refill();
    }

    /// Starts another quantum if the interval is over. To be called when the connection had nothing to do and has
    /// waited for its client or for a server.
    pub fn resume(&mut self) {
        if Instant::now() >= self.refill_at {
            self.refill();
        }
    }

    fn refill(&mut self) {
        self.remaining = QUANTUM;
        self.refill_at = Instant::now() + INTERVAL;
    }

    /// Lets the next connection have its turn: this one has nothing to do until its client or a server acts.
    pub fn end_turn(&mut self) {
        self.turn = None;
    }

    fn report_first_wait(&mut self) {
        if std::mem::replace(&mut self.has_queued, true) {
            return;
        }
        match self.peer {
            Peer::Client(client) => info!(
                client,
                "a client sends more than its share; its commands are handled by turns"
            ),
            Peer::Server(connection) => info!(
                connection,
                "a server sends more than its share; its responses are read by turns"
            ),
        }
    }
}
