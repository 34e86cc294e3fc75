//! The connections to cache servers and the origin, and the attempts that wait for one.
//!
//! The pool belongs to the event loop and does no I/O itself: each connection is a task of its own
//! ([`server_connection`]), which ends when the pool drops it. The pool bounds their number, knows what each one is
//! doing, and hands them to attempts in order. What an event on a connection means for an attempt is the event loop's.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use routing_policy::settings::Deployment;
use routing_policy::{Micros, ServerId};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::message::{AttemptId, ConnectionId, RouterEvent, ServerTarget};
use crate::server_connection::{
    self, OutgoingRequest, ServerConnectionContext, ServerConnectionHandle,
};
use crate::write_progress::SharedWriteProgress;
pub use crate::write_progress::WriteProgress;

/// A request that is not written this long (microseconds) after the decision to is confirmed first: the event loop
/// knows of a client that left, or of a server that drains, within half of the 100 ms that the operators allow for it.
const CONFIRM_AFTER: Micros = 50_000;
/// The shortest time-out for connecting, in microseconds, whatever the settings say: less is no time at all.
const MIN_CONNECT_TIMEOUT: Micros = 1_000;
/// Idle connections are kept to this number, those used last: before a fleet of hundreds of servers most that have
/// been idle for long are closed by the time-out before they are used again, and each takes a descriptor here and a
/// place at its server.
pub const MAX_IDLE_CONNECTIONS: usize = 96;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ConnectionState {
    /// It is being established, since this time.
    Connecting(Micros),
    /// It carries this attempt.
    Busy(AttemptId),
    /// The attempt that it carried was given up, and its response may still come; when that attempt was sent.
    Abandoned(Micros),
    /// It carries nothing, since this time.
    Idle(Micros),
}

struct PooledConnection {
    server: ServerId,
    address: SocketAddr,
    handle: ServerConnectionHandle,
    state: ConnectionState,
    /// How many requests it has been given.
    request_count: u64,
    /// How far the request is written that it was given last.
    progress: Arc<SharedWriteProgress>,
}

/// The connections of a server that are not busy, and the attempts that wait for one.
#[derive(Default)]
struct ServerQueue {
    /// Idle connections, the one used last at the end.
    idle: Vec<ConnectionId>,
    /// Connections that are being established, oldest first.
    connecting: VecDeque<ConnectionId>,
    /// Attempts that wait for a connection, oldest first: each takes the first that is established or becomes free,
    /// since the one that was opened for it may be the last to come.
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
    /// The most connections.
    limit: usize,
    /// An idle connection is closed after this, in microseconds.
    idle_timeout: Micros,
    /// A connection is expected to be established within this, in microseconds.
    expected_connect_time: Micros,
    /// One that is overdue may still come within this.
    connect_timeout: Duration,
    context: ServerConnectionContext,
}

impl ConnectionPool {
    /// A pool of at most `limit` connections.
    pub fn new(
        limit: usize,
        deployment: Arc<Deployment>,
        clock: Clock,
        events: mpsc::Sender<RouterEvent>,
    ) -> Self {
        // Four fifths: before the server closes it, as a request written to a closed connection ends as a reset, which
        // may have run and so may not be retried. Not long before: one of many routers meets a server every few seconds.
        let idle_timeout = deployment.idle_close / 5 * 4;
        let expected_connect_time = deployment.connect_timeout.max(MIN_CONNECT_TIMEOUT);
        // A connection that is established later than any request waits is of use to none that is known yet.
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
            context: ServerConnectionContext {
                deployment,
                clock,
                events,
            },
        }
    }

    // Opening and closing.

    /// Begins to open a connection; `false` if there are too many.
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

    /// Closes the connections that have been idle for too long.
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

    /// Closes the connection that has been idle for longest where too many are.
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

    /// Makes room for a connection: the one that has been idle for longest is closed; if there is none, the oldest that
    /// is overdue; if there is none either, the oldest that was abandoned.
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

    // Attempts that wait.

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

    /// Has an attempt wait for a connection, and opens one if more wait than are being established; `false` if none can
    /// be opened and none is being established.
    pub fn enqueue(&mut self, target: ServerTarget, attempt: AttemptId, now: Micros) -> bool {
        let queue = self.queues.entry(target.server).or_default();
        queue.waiting.push_back(attempt);
        let waiting = queue.waiting.len();
        if waiting <= self.expected_connections(target.server, now) || self.open(target, now) {
            return true;
        }
        let may_be_served = self.expected_connections(target.server, now) > 0;
        if !may_be_served {
            self.cancel_wait(target.server, attempt);
        }
        may_be_served
    }

    /// How many connections to a server are being established and not overdue.
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

    /// Whether a connection that has been connecting since a time should be established by now.
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

    /// The attempt that has waited for longest for a connection to a server, if more wait than connections are
    /// expected.
    pub fn excess_waiting_attempt(&self, server: ServerId, now: Micros) -> Option<AttemptId> {
        let queue = self.queues.get(&server)?;
        let oldest = queue.waiting.front()?;
        if queue.waiting.len() <= self.expected_connections(server, now) {
            return None;
        }
        Some(*oldest)
    }

    /// Gives a connection that carries nothing to the attempt that has waited for longest; without one it is idle.
    /// `address` is where its server takes requests, if it does: a connection to elsewhere is closed.
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

    /// Removes an attempt from those that wait for a connection to a server.
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

    // Attempts on a connection.

    /// The server of a connection and what it is doing; `None` if it is closed.
    pub fn state(&self, id: ConnectionId) -> Option<(ServerId, ConnectionState)> {
        self.connections
            .get(&id)
            .map(|connection| (connection.server, connection.state))
    }

    /// How many requests a connection has been given.
    pub fn request_count(&self, id: ConnectionId) -> u64 {
        self.connections
            .get(&id)
            .map_or(0, |connection| connection.request_count)
    }

    /// Hands a request to an established connection, to be written before `write_by`; `false` if the connection is lost
    /// already. `is_confirmed` tells that it was handed over before and its write had to be confirmed: it is not asked
    /// about again, or it would never be written on a machine that is always late.
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

    /// How far the request is written that a connection was given last.
    pub fn write_progress(&self, id: ConnectionId) -> WriteProgress {
        self.connections
            .get(&id)
            .map_or(WriteProgress::Written, |connection| {
                connection.progress.get()
            })
    }

    /// Withdraws the request that a connection was given, if no byte of it is written. Returns how far its write had
    /// come.
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

    /// Leaves a connection without its attempt, which was sent at a time, until the response comes; `false` if the
    /// connection is closed.
    pub fn abandon(&mut self, id: ConnectionId, sent_at: Micros) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.state = ConnectionState::Abandoned(sent_at);
        true
    }
}

/// Which kind of connection is closed first where there are too many.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    Idle,
    Overdue,
    Abandoned,
}

/// A connection that may be closed where there are too many; the least is closed first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    rank: EvictionRank,
    since: Micros,
    id: ConnectionId,
}
