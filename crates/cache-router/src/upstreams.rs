//! Connections to cache servers and the origin, and the attempts that wait for one: one request at a time on each,
//! since a connection answers in order and a slow answer would stall those behind it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use routing_policy::settings::Deployment;
use routing_policy::{Micros, ServerId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::clock::Clock;
use crate::message::{
    AttemptId, ConnectionId, ProtocolError, RouterEvent, ServerConnectionEvent, ServerProtocol,
    ServerResponse, ServerTarget,
};
use crate::{caches, origin};

/// A request on its way to a connection.
struct Job {
    bytes: Bytes,
    /// It may not be written from then on. The node may have stood still since it said so.
    by: Micros,
    /// The node is asked again before it is written later than this.
    stale_at: Micros,
    progress: Arc<Shared>,
}

/// How far a request has come on its connection. Only the connection's task goes on, and only the node withdraws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Not a byte is written.
    Handed,
    /// The last byte is not written yet.
    Writing,
    /// All is written.
    Written,
    /// The node wants it no more; not a byte was written, and none will be.
    Withdrawn,
}

/// The same, shared between the node and the connection's task.
struct Shared(AtomicU8);

impl Shared {
    const ALL: [Progress; 4] = [
        Progress::Handed,
        Progress::Writing,
        Progress::Written,
        Progress::Withdrawn,
    ];

    fn new() -> Arc<Self> {
        Arc::new(Shared(AtomicU8::new(Progress::Handed as u8)))
    }

    fn get(&self) -> Progress {
        Self::ALL[usize::from(self.0.load(Ordering::Acquire)) % Self::ALL.len()]
    }

    /// From one to the next; `false` where the other side was first.
    fn step(&self, from: Progress, to: Progress) -> bool {
        self.0
            .compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }
}

/// A request that is not written so long after the node said so is asked about again: a client that has left, or a
/// drain, is known to the node within half of the tenth of a second that the operators allow for it.
const STALE: Micros = 50_000;

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    /// It is being opened, since when.
    Opening(Micros),
    /// It carries an attempt.
    Busy(AttemptId),
    /// What it carried was given up, and its answer may still come; when that was sent.
    Late(Micros),
    /// It owes nothing, since when.
    Idle(Micros),
}

struct Conn {
    server: ServerId,
    address: SocketAddr,
    jobs: mpsc::Sender<Job>,
    task: AbortHandle,
    state: State,
    carried: u64,
    /// How far the request is that it was given last.
    progress: Arc<Shared>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        // A node gives an attempt up by closing its connection.
        self.task.abort();
    }
}

/// What a server has beside its busy connections.
#[derive(Default)]
struct WaitQueue {
    /// Idle connections, the one used last at the end.
    idle: Vec<ConnectionId>,
    /// Those being opened, oldest first.
    opening: VecDeque<ConnectionId>,
    /// Attempts that wait for a connection, oldest first: each takes the first that comes up or becomes free, since
    /// the one that was opened for it may be the last to come.
    waiting: VecDeque<AttemptId>,
}

/// All connections to servers.
pub struct Pool {
    conns: HashMap<ConnectionId, Conn>,
    queues: HashMap<ServerId, WaitQueue>,
    next: ConnectionId,
    limit: usize,
    idle_limit: Micros,
    /// A connection that is up by then is in time; one that is not may still come for this long in all.
    in_time: Micros,
    open_timeout: Micros,
    deployment: Arc<Deployment>,
    clock: Clock,
    hub: mpsc::Sender<RouterEvent>,
}

impl Pool {
    /// A pool of at most `limit` connections.
    pub fn new(
        limit: usize,
        deployment: Arc<Deployment>,
        clock: Clock,
        hub: mpsc::Sender<RouterEvent>,
    ) -> Self {
        // Before the server closes it: a request written to a closed connection ends as a reset, which may have
        // run and so may not be sent again. Not long before: one of many nodes meets a server every few seconds.
        let idle_limit = deployment.idle_close / 5 * 4;
        let in_time = deployment.connect_timeout.max(1_000);
        // What comes later than any request waits would be of use to none that is known of yet.
        let longest = deployment
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        let (conns, queues, open_timeout) = (HashMap::new(), HashMap::new(), in_time.max(longest));
        Pool {
            conns,
            queues,
            next: 1,
            limit,
            idle_limit,
            in_time,
            open_timeout,
            deployment,
            clock,
            hub,
        }
    }

    /// An idle connection to a server for an attempt, if there is one.
    pub fn reuse(
        &mut self,
        server: ServerId,
        attempt: AttemptId,
        now: Micros,
    ) -> Option<ConnectionId> {
        loop {
            let id = self.queues.get_mut(&server)?.idle.pop()?;
            let Some(conn) = self.conns.get_mut(&id) else {
                continue;
            };
            let State::Idle(since) = conn.state else {
                continue;
            };
            if now < since + self.idle_limit && !conn.jobs.is_closed() {
                conn.state = State::Busy(attempt);
                return Some(id);
            }
            self.conns.remove(&id);
        }
    }

    /// Puts an attempt in the queue for a connection, one more than there are on their way; `false` where the table of
    /// sockets is full and none is on its way.
    pub fn wait(&mut self, target: ServerTarget, attempt: AttemptId, now: Micros) -> bool {
        let queue = self.queues.entry(target.server).or_default();
        queue.waiting.push_back(attempt);
        if queue.waiting.len() <= self.in_time(target.server, now) || self.open(target, now) {
            return true;
        }
        let hope = self.in_time(target.server, now) > 0;
        if !hope {
            self.leave(target.server, attempt);
        }
        hope
    }

    /// How many connections to a server are being opened that may still come up in time.
    fn in_time(&self, server: ServerId, now: Micros) -> usize {
        let Some(queue) = self.queues.get(&server) else {
            return 0;
        };
        let fresh = |id: &&ConnectionId| {
            let state = self.conns.get(id).map(|conn| conn.state);
            matches!(state, Some(State::Opening(since)) if now < since + self.in_time)
        };
        queue.opening.iter().rev().take_while(fresh).count()
    }

    /// Begins to open a connection; `false` where the table is full.
    pub fn open(&mut self, target: ServerTarget, now: Micros) -> bool {
        let ServerTarget {
            server,
            address,
            protocol,
        } = target;
        if self.conns.len() >= self.limit {
            self.drop_one_spare(now);
        }
        if self.conns.len() >= self.limit {
            return false;
        }
        let id = self.next;
        self.next += 1;
        let (jobs, take) = mpsc::channel(1);
        let (hub, deployment, clock) = (self.hub.clone(), self.deployment.clone(), self.clock);
        let open_timeout = Duration::from_micros(self.open_timeout);
        let task = tokio::spawn(async move {
            let mut link = Link {
                id,
                protocol,
                deployment,
                jobs: take,
                clock,
                hub,
            };
            let event = link.run(address, open_timeout).await;
            let _ = link
                .hub
                .send(RouterEvent::ServerConnection(id, event))
                .await;
        });
        let (task, state) = (task.abort_handle(), State::Opening(now));
        self.conns.insert(
            id,
            Conn {
                server,
                address,
                jobs,
                task,
                state,
                carried: 0,
                progress: Shared::new(),
            },
        );
        self.queues.entry(server).or_default().opening.push_back(id);
        true
    }

    /// What a connection is at, and its server; `None` where it is closed.
    pub fn state(&self, id: ConnectionId) -> Option<(ServerId, State)> {
        self.conns.get(&id).map(|conn| (conn.server, conn.state))
    }

    /// Whether a connection that is being opened is past its time.
    pub fn overdue(&self, since: Micros, now: Micros) -> bool {
        now >= since + self.in_time
    }

    /// The attempt that has waited for longest for a connection to a server, where more wait than may still come up.
    pub fn hopeless(&self, server: ServerId, now: Micros) -> Option<AttemptId> {
        let queue = self.queues.get(&server)?;
        queue
            .waiting
            .front()
            .filter(|_| queue.waiting.len() > self.in_time(server, now))
            .copied()
    }

    /// Gives a connection that owes nothing to the attempt that has waited for longest; without one it is idle.
    /// One whose server is elsewhere now or takes nothing new is closed.
    pub fn hand_on(
        &mut self,
        id: ConnectionId,
        address: Option<SocketAddr>,
        now: Micros,
    ) -> Option<AttemptId> {
        let conn = self.conns.get_mut(&id)?;
        if address != Some(conn.address) {
            self.close(id);
            return None;
        }
        let queue = self.queues.entry(conn.server).or_default();
        queue.opening.retain(|other| *other != id);
        let next = queue.waiting.pop_front();
        conn.state = match next {
            Some(attempt) => State::Busy(attempt),
            None => {
                queue.idle.push(id);
                State::Idle(now)
            }
        };
        next
    }

    /// An attempt waits for a connection no more.
    pub fn leave(&mut self, server: ServerId, attempt: AttemptId) {
        self.queues
            .get_mut(&server)
            .into_iter()
            .for_each(|queue| queue.waiting.retain(|other| *other != attempt));
    }

    /// The attempts that wait for a connection to a server.
    pub fn waiting(&self, server: ServerId) -> Vec<AttemptId> {
        self.queues
            .get(&server)
            .map(|queue| queue.waiting.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Leaves a connection without its attempt, sent at a time, until the answer comes; `false` if there is none to
    /// leave.
    pub fn abandon(&mut self, id: ConnectionId, sent: Micros) -> bool {
        self.conns
            .get_mut(&id)
            .map(|conn| conn.state = State::Late(sent))
            .is_some()
    }

    /// How far the request has come that a connection was given last.
    pub fn progress(&self, id: ConnectionId) -> Progress {
        self.conns
            .get(&id)
            .map_or(Progress::Written, |conn| conn.progress.get())
    }

    /// Withdraws the request that a connection was given, if not a byte of it is written; how far it had come.
    pub fn withdraw(&mut self, id: ConnectionId) -> Progress {
        let conn = self.conns.get(&id);
        match conn.is_some_and(|conn| conn.progress.step(Progress::Handed, Progress::Withdrawn)) {
            true => Progress::Handed,
            false => self.progress(id),
        }
    }

    /// How many requests a connection has been given.
    pub fn carried(&self, id: ConnectionId) -> u64 {
        self.conns.get(&id).map_or(0, |conn| conn.carried)
    }

    /// Hands a request to a connection that is up, to be written before a time; `false` if it is lost already. Where
    /// the node was asked about it once, it is not asked again: it would never go on a machine that is always late.
    pub fn start(&mut self, id: ConnectionId, bytes: Bytes, by: Micros, asked: bool) -> bool {
        let stale_at = if asked { by } else { self.clock.now() + STALE };
        let Some(conn) = self.conns.get_mut(&id) else {
            return false;
        };
        conn.carried += u64::from(!asked);
        conn.progress = Shared::new();
        conn.jobs
            .try_send(Job {
                bytes,
                by,
                stale_at,
                progress: conn.progress.clone(),
            })
            .is_ok()
    }

    /// Closes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(conn) = self.conns.remove(&id)
            && let Some(queue) = self.queues.get_mut(&conn.server)
        {
            queue.idle.retain(|other| *other != id);
            queue.opening.retain(|other| *other != id);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: ServerId) {
        let idle = self
            .queues
            .get_mut(&server)
            .map(|queue| std::mem::take(&mut queue.idle))
            .unwrap_or_default();
        idle.iter().for_each(|id| drop(self.conns.remove(id)));
    }

    /// Closes what has been idle for long.
    pub fn sweep(&mut self, now: Micros) {
        let (conns, limit) = (&mut self.conns, self.idle_limit);
        self.queues.retain(|_, queue| {
            queue.idle.retain(|id| {
                let idle = conns.get(id).map(|conn| conn.state);
                let keep = matches!(idle, Some(State::Idle(since)) if now < since + limit);
                if !keep {
                    conns.remove(id);
                }
                keep
            });
            !(queue.idle.is_empty() && queue.opening.is_empty() && queue.waiting.is_empty())
        });
    }

    /// Makes room: the connection that has been idle for longest goes, else the oldest that is overdue or only late.
    fn drop_one_spare(&mut self, now: Micros) {
        let oldest = self.conns.iter().filter_map(|(id, conn)| match conn.state {
            State::Idle(since) => Some((0, since, *id)),
            State::Opening(since) if now >= since + self.in_time => Some((1, since, *id)),
            State::Late(sent) => Some((2, sent, *id)),
            _ => None,
        });
        oldest.min().into_iter().for_each(|(.., id)| self.close(id));
    }
}

/// One connection, in its task.
struct Link {
    id: ConnectionId,
    protocol: ServerProtocol,
    deployment: Arc<Deployment>,
    jobs: mpsc::Receiver<Job>,
    clock: Clock,
    hub: mpsc::Sender<RouterEvent>,
}

impl Link {
    /// Opens the connection and carries one request after the other, until it is lost.
    async fn run(&mut self, address: SocketAddr, open_timeout: Duration) -> ServerConnectionEvent {
        // A machine that vanished answers nothing: the connect has a time-out of its own. It is longer than that of
        // the attempts which wait for it, as a connection that comes up late shows that the server is there.
        let Ok(Ok(mut stream)) =
            tokio::time::timeout(open_timeout, TcpStream::connect(address)).await
        else {
            return ServerConnectionEvent::Lost { written: false };
        };
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        let mut event = ServerConnectionEvent::Established;
        loop {
            if self
                .hub
                .send(RouterEvent::ServerConnection(self.id, event))
                .await
                .is_err()
            {
                return ServerConnectionEvent::Lost { written: false };
            }
            buffer.reserve(2048);
            let job = tokio::select! {
                // First: a connection that the server has ended is not written to, so that its request
                // surely never ran.
                biased;
                _ = stream.read_buf(&mut buffer) => return ServerConnectionEvent::Lost { written: false },
                job = self.jobs.recv() => job,
            };
            let Some(job) = job else {
                return ServerConnectionEvent::Lost { written: false };
            };
            // Against a send after a request's end: the process may have been stopped since the node handed it on.
            let now = self.clock.now();
            if now < job.by && now >= job.stale_at {
                // What came meanwhile is taken in first.
                tokio::task::yield_now().await;
                event = ServerConnectionEvent::ConfirmWrite;
                continue;
            }
            if now >= job.by || !job.progress.step(Progress::Handed, Progress::Writing) {
                event = ServerConnectionEvent::NotWritten;
                continue;
            }
            if stream.write_all(&job.bytes).await.is_err() {
                return ServerConnectionEvent::Lost { written: false };
            }
            job.progress.step(Progress::Writing, Progress::Written);
            drop(job);
            let response = loop {
                let decoded = match self.protocol {
                    ServerProtocol::Resp => {
                        caches::decode(&mut buffer, &self.deployment.load_names)
                    }
                    ServerProtocol::Http => {
                        origin::decode(&mut buffer, &self.deployment.load_names)
                    }
                };
                match decoded {
                    Ok(Some(response)) => break response,
                    Ok(None) => {}
                    Err(ProtocolError) => return ServerConnectionEvent::Lost { written: true },
                }
                buffer.reserve(2048);
                if !matches!(stream.read_buf(&mut buffer).await, Ok(count) if count > 0) {
                    return ServerConnectionEvent::Lost { written: true };
                }
            };
            // Bytes beyond the answer belong to no request: nothing after them could be matched.
            let keep = response.reusable && buffer.is_empty();
            buffer = BytesMut::new();
            event = ServerConnectionEvent::Response(ServerResponse {
                reusable: keep,
                ..response
            });
            if !keep {
                return event;
            }
        }
    }
}
