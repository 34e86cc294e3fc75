//! The pool of connections to cache servers and the origin, and the queues of attempts that wait for a connection.
//!
//! The event loop owns the pool. The pool does no I/O itself: each connection runs in a task of its own
//! ([`server_connection`]), which is aborted when the pool drops the connection. The pool limits the number of
//! connections, tracks the state of each, and assigns them to waiting attempts in order. The event loop decides what an
//! event on a connection means for an attempt.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use routing_policy::{Micros, ServerId};

use crate::message::{AttemptId, ConnectionId, ServerTarget};
use crate::server_connection::{
    self, OutgoingRequest, ServerConnectionContext, ServerConnectionHandle,
};
use crate::write_progress::{SharedWriteProgress, WriteProgress};

/// A request that is not written within this time (microseconds) of the decision to send it has to be confirmed by the
/// event loop first. The operators allow 100 ms to react to a client's disconnect or a server's drain; the event loop
/// learns of either within half of that time.
const CONFIRM_AFTER: Micros = 50_000;
/// The shortest connect timeout, in microseconds, whatever the settings say: a shorter one leaves no time to connect.
const MIN_CONNECT_TIMEOUT: Micros = 1_000;
/// The maximum number of idle connections; the most recently used ones are kept. With a fleet of hundreds of servers,
/// most connections that have been idle for long reach the idle timeout before they are used again. Each takes a file
/// descriptor here and a connection slot at its server.
pub const MAX_IDLE_CONNECTIONS: usize = 96;

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ConnectionState {
    /// Being established since this time.
    Connecting(Micros),
    /// In use by this attempt.
    Busy(AttemptId),
    /// The attempt that used it was given up, and the response may still arrive. The time is when the attempt was sent.
    Abandoned(Micros),
    /// Not in use since this time.
    Idle(Micros),
}

struct PooledConnection {
    server: ServerId,
    address: SocketAddr,
    handle: ServerConnectionHandle,
    state: ConnectionState,
    /// How many requests have been handed to it.
    request_count: u64,
    /// The write progress of the last request that was handed to it.
    progress: Arc<SharedWriteProgress>,
}

/// The idle and connecting connections of a server, and the attempts that wait for one.
#[derive(Default)]
struct ServerQueue {
    /// Idle connections, the most recently used one last.
    idle: Vec<ConnectionId>,
    /// Connections that are being established, oldest first.
    connecting: VecDeque<ConnectionId>,
    /// Attempts that wait for a connection, oldest first. The oldest takes the first connection that is established or
    /// becomes free, since the connection that was opened for it may be the last one to be established.
    waiting: VecDeque<AttemptId>,
}

impl ServerQueue {
    fn is_empty(&self) -> bool {
        self.idle.is_empty() && self.connecting.is_empty() && self.waiting.is_empty()
    }
}

/// All connections to servers.
pub struct ConnectionPool {
    connections: HashMap<ConnectionId, PooledConnection>,
    queues: HashMap<ServerId, ServerQueue>,
    next_id: ConnectionId,
    /// The maximum number of connections.
    limit: usize,
    /// An idle connection is closed after this time, in microseconds.
    idle_timeout: Micros,
    /// A connection is expected to be established within this time, in microseconds; after it the connection is
    /// overdue.
    expected_connect_time: Micros,
    /// Connecting fails after this time. An overdue connection may still be established until then.
    connect_timeout: Duration,
    context: ServerConnectionContext,
}

impl ConnectionPool {
    /// Creates an empty pool of at most `limit` connections.
    pub fn new(limit: usize, context: ServerConnectionContext) -> Self {
        let deployment = &context.deployment;
        // Four fifths of the time after which the server closes an idle connection. A request that is written to a
        // closed connection ends in a reset: it may have run, and so may not be retried. The timeout is not much
        // shorter: with many routers, each of them uses a given server only every few seconds.
        let idle_timeout = deployment.server_idle_timeout / 5 * 4;
        let expected_connect_time = deployment.connect_timeout.max(MIN_CONNECT_TIMEOUT);
        // A connection that takes longer than the longest request deadline can serve no request that is waiting now.
        let longest_deadline = deployment
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        let connect_timeout = expected_connect_time.max(longest_deadline);
        ConnectionPool {
            connections: HashMap::new(),
            queues: HashMap::new(),
            next_id: 1,
            limit,
            idle_timeout,
            expected_connect_time,
            connect_timeout: Duration::from_micros(connect_timeout),
            context,
        }
    }

    // Opening and closing connections.

    /// Starts to open a connection; `false` if the limit is reached and no connection can be evicted.
    pub fn open(&mut self, target: ServerTarget, now: Micros) -> bool {
        if self.connections.len() >= self.limit {
            self.evict_one(now);
        }
        if self.connections.len() >= self.limit {
            return false;
        }
        let id = self.next_id;
        self.next_id += 1;
        let context = self.context.clone();
        let connection = PooledConnection {
            server: target.server,
            address: target.address,
            handle: server_connection::spawn(id, target, self.connect_timeout, context),
            state: ConnectionState::Connecting(now),
            request_count: 0,
            progress: Arc::default(),
        };
        self.connections.insert(id, connection);
        let queue = self.queues.entry(target.server).or_default();
        queue.connecting.push_back(id);
        true
    }

    /// Closes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id)
            && let Some(queue) = self.queues.get_mut(&connection.server)
        {
            queue.idle.retain(|other| *other != id);
            queue.connecting.retain(|other| *other != id);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: ServerId) {
        let Some(queue) = self.queues.get_mut(&server) else {
            return;
        };
        for id in std::mem::take(&mut queue.idle) {
            self.connections.remove(&id);
        }
    }

    /// Closes the connections that have been idle for longer than the idle timeout.
    pub fn close_expired(&mut self, now: Micros) {
        let connections = &mut self.connections;
        let idle_timeout = self.idle_timeout;
        self.queues.retain(|_, queue| {
            queue.idle.retain(|id| {
                let state = connections.get(id).map(|connection| connection.state);
                let keep = matches!(
                    state,
                    Some(ConnectionState::Idle(since)) if now < since + idle_timeout
                );
                if !keep {
                    connections.remove(id);
                }
                keep
            });
            !queue.is_empty()
        });
    }

    /// Closes the connection that has been idle for longest if there are more than [`MAX_IDLE_CONNECTIONS`].
    fn close_excess_idle(&mut self) {
        if self.connections.len() <= MAX_IDLE_CONNECTIONS {
            return;
        }
        let idle = self.connections.iter().filter_map(|(id, connection)| {
            let ConnectionState::Idle(since) = connection.state else {
                return None;
            };
            Some(EvictionCandidate {
                rank: EvictionRank::Idle,
                since,
                id: *id,
            })
        });
        let (count, oldest) = idle.fold((0, None), |(count, oldest), candidate| {
            let is_older = oldest.as_ref().is_none_or(|oldest| candidate < *oldest);
            (count + 1, if is_older { Some(candidate) } else { oldest })
        });
        if let Some(oldest) = oldest.filter(|_| count > MAX_IDLE_CONNECTIONS) {
            self.close(oldest.id);
        }
    }

    /// Closes one connection to make room for another: the one that has been idle for longest. If none is idle, the
    /// oldest overdue one; if none is overdue either, the oldest abandoned one.
    fn evict_one(&mut self, now: Micros) {
        let candidates = self.connections.iter().filter_map(|(id, connection)| {
            let (rank, since) = match connection.state {
                ConnectionState::Idle(since) => (EvictionRank::Idle, since),
                ConnectionState::Connecting(since) if self.is_overdue(since, now) => {
                    (EvictionRank::Overdue, since)
                }
                ConnectionState::Abandoned(sent_at) => (EvictionRank::Abandoned, sent_at),
                ConnectionState::Connecting(_) | ConnectionState::Busy(_) => return None,
            };
            Some(EvictionCandidate {
                rank,
                since,
                id: *id,
            })
        });
        if let Some(evicted) = candidates.min() {
            self.close(evicted.id);
        }
    }

    // Attempts that wait for a connection.

    /// Takes an idle connection to a server for an attempt, if there is one.
    pub fn take_idle(
        &mut self,
        server: ServerId,
        attempt: AttemptId,
        now: Micros,
    ) -> Option<ConnectionId> {
        loop {
            let id = self.queues.get_mut(&server)?.idle.pop()?;
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let ConnectionState::Idle(since) = connection.state else {
                continue;
            };
            if now < since + self.idle_timeout && !connection.handle.is_closed() {
                connection.state = ConnectionState::Busy(attempt);
                return Some(id);
            }
            self.connections.remove(&id);
        }
    }

    /// Queues an attempt for a connection, and opens one if more attempts wait than connections are expected. `false`
    /// if none can be opened and none is expected; the attempt is then not queued.
    pub fn enqueue(&mut self, target: ServerTarget, attempt: AttemptId, now: Micros) -> bool {
        let queue = self.queues.entry(target.server).or_default();
        queue.waiting.push_back(attempt);
        let waiting = queue.waiting.len();
        if waiting <= self.expected_connections(target.server, now) || self.open(target, now) {
            return true;
        }
        let is_connection_expected = self.expected_connections(target.server, now) > 0;
        if !is_connection_expected {
            self.cancel_wait(target.server, attempt);
        }
        is_connection_expected
    }

    /// How many connections to a server are being established and are not overdue.
    fn expected_connections(&self, server: ServerId, now: Micros) -> usize {
        let Some(queue) = self.queues.get(&server) else {
            return 0;
        };
        let is_expected = |id: &&ConnectionId| match self.connections.get(id) {
            Some(connection) => matches!(
                connection.state,
                ConnectionState::Connecting(since) if !self.is_overdue(since, now)
            ),
            None => false,
        };
        queue
            .connecting
            .iter()
            .rev()
            .take_while(is_expected)
            .count()
    }

    /// Whether a connection that has been connecting since `since` should be established by now.
    pub fn is_overdue(&self, since: Micros, now: Micros) -> bool {
        now >= since + self.expected_connect_time
    }

    /// Whether this machine has delayed opening any of the connections to a server that are being established.
    pub fn is_connecting_delayed_locally(&self, server: ServerId) -> bool {
        let Some(queue) = self.queues.get(&server) else {
            return false;
        };
        queue.connecting.iter().any(|id| {
            self.connections
                .get(id)
                .is_some_and(|connection| connection.handle.is_delayed_locally())
        })
    }

    /// The attempt that has waited for longest for a connection to a server, if more attempts wait than connections are
    /// expected.
    pub fn excess_waiting_attempt(&self, server: ServerId, now: Micros) -> Option<AttemptId> {
        let queue = self.queues.get(&server)?;
        let oldest = queue.waiting.front()?;
        if queue.waiting.len() <= self.expected_connections(server, now) {
            return None;
        }
        Some(*oldest)
    }

    /// Assigns a free connection to the attempt that has waited for longest. If no attempt waits, the connection
    /// becomes idle. `address` is the address at which its server accepts requests, if it does: a connection to any
    /// other address is closed.
    pub fn assign_to_waiting(
        &mut self,
        id: ConnectionId,
        address: Option<SocketAddr>,
        now: Micros,
    ) -> Option<AttemptId> {
        let connection = self.connections.get_mut(&id)?;
        if address != Some(connection.address) {
            self.close(id);
            return None;
        }
        let queue = self.queues.entry(connection.server).or_default();
        queue.connecting.retain(|other| *other != id);
        let next = queue.waiting.pop_front();
        connection.state = match next {
            Some(attempt) => ConnectionState::Busy(attempt),
            None => {
                queue.idle.push(id);
                ConnectionState::Idle(now)
            }
        };
        if next.is_none() {
            self.close_excess_idle();
        }
        next
    }

    /// Removes an attempt from the queue for a connection to a server.
    pub fn cancel_wait(&mut self, server: ServerId, attempt: AttemptId) {
        if let Some(queue) = self.queues.get_mut(&server) {
            queue.waiting.retain(|other| *other != attempt);
        }
    }

    /// The attempts that wait for a connection to a server, oldest first.
    pub fn waiting_attempts(&self, server: ServerId) -> Vec<AttemptId> {
        self.queues
            .get(&server)
            .map(|queue| queue.waiting.iter().copied().collect())
            .unwrap_or_default()
    }

    // Requests on a connection.

    /// The server and the state of a connection; `None` if it is closed.
    pub fn state(&self, id: ConnectionId) -> Option<(ServerId, ConnectionState)> {
        self.connections
            .get(&id)
            .map(|connection| (connection.server, connection.state))
    }

    /// Whether a connection is open for the response to an abandoned attempt that was sent at `sent_at`.
    pub fn is_abandoned_since(&self, id: ConnectionId, sent_at: Micros) -> bool {
        let state = self.connections.get(&id).map(|connection| connection.state);
        state == Some(ConnectionState::Abandoned(sent_at))
    }

    /// How many requests have been handed to a connection.
    pub fn request_count(&self, id: ConnectionId) -> u64 {
        self.connections
            .get(&id)
            .map_or(0, |connection| connection.request_count)
    }

    /// Hands a request to an established connection, to be written before `write_by`; `false` if the connection has
    /// already been lost. `is_confirmed` tells that the request was handed over before and its write had to be
    /// confirmed. It is not confirmed a second time: on a machine that is always late it would otherwise never be
    /// written.
    pub fn start_write(
        &mut self,
        id: ConnectionId,
        bytes: Bytes,
        write_by: Micros,
        is_confirmed: bool,
    ) -> bool {
        let confirm_from = if is_confirmed {
            write_by
        } else {
            self.context.clock.now() + CONFIRM_AFTER
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.request_count += u64::from(!is_confirmed);
        connection.progress = Arc::default();
        connection.handle.send(OutgoingRequest {
            bytes,
            write_by,
            confirm_from,
            progress: connection.progress.clone(),
        })
    }

    /// The write progress of the last request that was handed to a connection.
    pub fn write_progress(&self, id: ConnectionId) -> WriteProgress {
        self.connections
            .get(&id)
            .map_or(WriteProgress::Written, |connection| {
                connection.progress.get()
            })
    }

    /// Withdraws the request that was handed to a connection, if no byte of it has been written. Returns the write
    /// progress before the call.
    pub fn withdraw(&mut self, id: ConnectionId) -> WriteProgress {
        let withdrawn = self.connections.get(&id).is_some_and(|connection| {
            connection
                .progress
                .advance(WriteProgress::NotStarted, WriteProgress::Withdrawn)
        });
        if withdrawn {
            return WriteProgress::NotStarted;
        }
        self.write_progress(id)
    }

    /// Detaches a connection from its attempt, which was sent at `sent_at`. The connection stays open for the response;
    /// `false` if it is closed.
    pub fn abandon(&mut self, id: ConnectionId, sent_at: Micros) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.state = ConnectionState::Abandoned(sent_at);
        true
    }
}

/// The order in which kinds of connection are closed when there are too many.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    Idle,
    Overdue,
    Abandoned,
}

/// A connection that may be closed when there are too many; the smallest candidate is closed first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    rank: EvictionRank,
    since: Micros,
    id: ConnectionId,
}
