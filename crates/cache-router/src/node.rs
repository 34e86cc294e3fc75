//! The loop that owns the decision module: what arrives becomes its events, its actions become I/O. It
//! decides nothing; where the sockets force its hand, a comment says so.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use routing_policy::settings::Deployment;
use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Endpoint, EndpointState, Event, ListUpdate,
    LoadReport, Micros, Policy, Request, RequestId, ServerId,
};
use tokio::sync::{mpsc, watch};
use tracing::{debug, error, info};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::{Discovery, Verdict};
use crate::lifecycle::LifecyclePhase;
use crate::message::{
    AttemptId, ClientCommand, ClientId, ClientReply, ClientRequest, ConnectionId,
    EndpointListUpdate, RouterEvent, ServerConnectionEvent, ServerProtocol, ServerResponse,
    ServerTarget,
};
use crate::trace::{self, Trace};
use crate::upstreams::{Pool, Progress, State};
use crate::{caches, origin, resp};

/// After SIGTERM, connections go on being taken for this long: new ones keep coming for up to 0.4 s.
const ACCEPT_ON: Micros = 450_000;
/// A node that drains ends this long after the longest deadline at the latest.
const DRAIN_SLACK: Micros = 550_000;
/// The platform kills a node no sooner than the longest deadline after SIGTERM, counted as the first where it is
/// longer, and the second more. What came 0.7 s after SIGTERM or later has to be answered by then.
const KILLED: (Micros, Micros) = (3_000_000, 700_000);
/// Before its end, and before it may be killed, a node has this long to write out its last answers.
const WRITE_OUT: Micros = 100_000;
const SWEEP: Micros = 1_000_000;
/// A loop that has not turned for so long looks at its sockets before it goes on.
const STOOD_STILL: Micros = 50_000;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A timer of the module.
    Policy(u32),
    /// An attempt is given up.
    Attempt(RequestId, u16),
    /// An attempt that still waits for a connection, since when, has another opened.
    Another(RequestId, u16, Micros),
    /// An attempt that still waits for a connection, since when, waits no more.
    Unconnected(RequestId, u16, Micros),
    /// The answer to an attempt that was given up has not come; when the attempt was sent.
    Late(ConnectionId, Micros),
    /// A client's time is up.
    Deadline(RequestId),
    /// Idle connections are looked through.
    Sweep,
    /// Connections of clients are closed from now on.
    Drain,
    /// No further command is taken.
    Close,
    /// Whether all is answered is looked at.
    Ended,
}

struct Server {
    address: SocketAddr,
    protocol: ServerProtocol,
    condition: EndpointState,
    /// When it last answered anything.
    last_seen: Micros,
}

struct PendingRequest {
    command: ClientCommand,
    client: ClientId,
    slot: u64,
    answers: mpsc::Sender<ClientReply>,
    ends: Micros,
    sent: u16,
    /// Attempts without an outcome.
    out: u16,
    over: bool,
}

struct Attempt {
    server: ServerId,
    sent: Micros,
    /// The connection that carries it; `None` while it waits for one.
    conn: Option<ConnectionId>,
    /// Since when it waits, or waited last.
    waits_since: Micros,
}

/// The node.
pub struct Node {
    deployment: Arc<Deployment>,
    clock: Clock,
    policy: Policy,
    events: VecDeque<Event>,
    timers: BinaryHeap<Reverse<(Micros, Due)>>,
    open: HashMap<RequestId, PendingRequest>,
    attempts: HashMap<AttemptId, Attempt>,
    next: RequestId,
    servers: HashMap<ServerId, Server>,
    pool: Pool,
    discovery: Discovery,
    known: Option<EndpointListUpdate>,
    ends_at: Option<Micros>,
    /// What comes after SIGTERM has its answer by then.
    answered_by: Micros,
    trace: Trace,
}

impl Node {
    /// A node that has not begun yet.
    pub fn new(
        config: Config,
        deployment: Arc<Deployment>,
        clock: Clock,
        hub: mpsc::Sender<RouterEvent>,
        conns: usize,
        trace: Trace,
    ) -> Self {
        Node {
            clock,
            policy: Policy::new(deployment.settings.clone(), config.seed),
            events: VecDeque::new(),
            timers: BinaryHeap::new(),
            open: HashMap::new(),
            attempts: HashMap::new(),
            next: 1,
            servers: HashMap::new(),
            pool: Pool::new(conns, deployment.clone(), clock, hub.clone()),
            discovery: Discovery::new(config.discovery, config.known.version, hub),
            known: Some(config.known),
            ends_at: None,
            answered_by: Micros::MAX,
            trace,
            deployment,
        }
    }

    /// Runs until the node has drained; `idle` tells whether no client is connected any more.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<RouterEvent>,
        phase: watch::Sender<LifecyclePhase>,
        idle: impl Fn() -> bool,
    ) {
        let s = &self.deployment.settings;
        self.trace.line(
            self.clock.now(),
            format_args!(
                "start {} {} {} {} {} {} {} {}",
                s.balancer_index,
                s.balancer_count,
                s.cold_capacity_share,
                s.warm_up_period,
                s.overload_multiple,
                s.overload_window,
                s.drain_grace,
                s.origin_kind.map_or(-1, i32::from)
            ),
        );
        if let Some(known) = self.known.take() {
            self.list(known, Some(ListUpdate::Cached));
        }
        if !self.deployment.settings.poll_discovery {
            self.discovery.follow();
        }
        self.timers
            .push(Reverse((self.clock.now() + SWEEP, Due::Sweep)));
        let mut ready = false;
        let (mut looked, mut arrived) = (self.clock.now(), None);
        loop {
            if self.clock.now() - looked > STOOD_STILL {
                self.catch_up(&mut inputs, &mut arrived).await;
            }
            looked = self.clock.now();
            arrived
                .take()
                .into_iter()
                .for_each(|input| self.input(input));
            if !ready
                && self
                    .servers
                    .values()
                    .any(|s| s.condition == EndpointState::Ready)
            {
                ready = true;
                phase.send_if_modified(|p| {
                    *p == LifecyclePhase::Starting && {
                        *p = LifecyclePhase::Ready;
                        true
                    }
                });
            }
            let now = self.clock.now();
            while self
                .timers
                .peek()
                .is_some_and(|Reverse((at, _))| *at <= now)
            {
                let Some(Reverse((_, due))) = self.timers.pop() else {
                    break;
                };
                match due {
                    Due::Drain => drop(phase.send(LifecyclePhase::Draining)),
                    Due::Close => drop(phase.send(LifecyclePhase::Closing)),
                    Due::Ended => {
                        let late = self.ends_at.is_some_and(|at| now >= at);
                        if late || (self.open.values().all(|open| open.over) && idle()) {
                            return;
                        }
                        self.timers.push(Reverse((now + 10_000, Due::Ended)));
                    }
                    other => self.due(other, now),
                }
            }
            let next = self
                .timers
                .peek()
                .map_or(now + SWEEP, |Reverse((at, _))| *at);
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => arrived = Some(input),
                    None => return,
                },
                () = tokio::time::sleep_until(self.clock.instant(next)) => {}
            }
        }
    }

    /// The node slept, or its process stood still: what has come to its sockets meanwhile is taken in before anything
    /// that was queued or due goes on, and of that what forbids sends before what asks for them.
    async fn catch_up(
        &mut self,
        inputs: &mut mpsc::Receiver<RouterEvent>,
        arrived: &mut Option<RouterEvent>,
    ) {
        // Once for the sockets to be looked at, and once each for the tasks that bytes go through on their way here.
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
        let mut all: Vec<_> = arrived.take().into_iter().collect();
        all.extend(std::iter::from_fn(|| inputs.try_recv().ok()));
        let (first, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(RouterEvent::revokes_sends);
        first
            .into_iter()
            .chain(rest)
            .for_each(|input| self.input(input));
    }

    fn input(&mut self, input: RouterEvent) {
        match input {
            RouterEvent::ClientRequest(asked) => self.asked(*asked),
            RouterEvent::ClientDisconnected(client) => self.client_gone(client),
            RouterEvent::ServerConnection(conn, news) => self.conn(conn, news),
            RouterEvent::EndpointList(call, listing) => match self.discovery.judge(&call, &listing)
            {
                Verdict::Stale => {}
                Verdict::News => self.list(listing, None),
                // It is told all the same; what else is different there only the whole list says.
                Verdict::WentBack => {
                    self.list(listing, None);
                    self.discovery.begin_anew();
                }
            },
            RouterEvent::DiscoveryFailed(call) if self.discovery.ended(&call) => {
                self.unheard(ListUpdate::Failed)
            }
            RouterEvent::WatchStalled(call) if self.discovery.ended(&call) => {
                self.unheard(ListUpdate::WatchSilent)
            }
            RouterEvent::DiscoveryFailed(_) | RouterEvent::WatchStalled(_) => {} // Of a call that another has replaced.
            RouterEvent::DiscoveryMoved(address) => self.discovery.moved(address),
            RouterEvent::Terminate if self.ends_at.is_none() => {
                let now = self.clock.now();
                let longest = self
                    .deployment
                    .settings
                    .classes
                    .iter()
                    .map(|c| c.deadline)
                    .max()
                    .unwrap_or(0);
                let ends_at = now + longest + DRAIN_SLACK;
                self.ends_at = Some(ends_at);
                self.answered_by = ends_at.min(now + longest.min(KILLED.0) + KILLED.1) - WRITE_OUT;
                self.timers.push(Reverse((now + ACCEPT_ON, Due::Drain)));
                self.timers
                    .push(Reverse((now + ACCEPT_ON + 20_000, Due::Ended)));
                self.timers
                    .push(Reverse((self.answered_by.max(now + ACCEPT_ON), Due::Close)));
            }
            RouterEvent::Terminate => {}
        }
    }

    fn due(&mut self, due: Due, now: Micros) {
        match due {
            Due::Policy(token) => self.tell(Event::Timer(token)),
            Due::Attempt(id, number) => {
                self.give_up(
                    AttemptId {
                        request: id,
                        number,
                    },
                    AttemptStatus::TimedOut,
                );
                self.run_events();
            }
            Due::Another(id, number, since) => {
                let server = self.waits(
                    AttemptId {
                        request: id,
                        number,
                    },
                    since,
                );
                if let Some(to) = server.and_then(|server| self.target(server)) {
                    self.pool.open(to, now);
                }
            }
            Due::Unconnected(id, number, since) => {
                if let Some(server) = self.waits(
                    AttemptId {
                        request: id,
                        number,
                    },
                    since,
                ) {
                    self.pool.leave(
                        server,
                        AttemptId {
                            request: id,
                            number,
                        },
                    );
                    self.end(
                        AttemptId {
                            request: id,
                            number,
                        },
                        AttemptStatus::ConnectFailed,
                    );
                    self.run_events();
                }
            }
            Due::Late(conn, sent) => {
                // Of another that was given up on this connection since, the time is not over.
                if let Some((server, State::Late(of))) = self.pool.state(conn)
                    && of == sent
                {
                    self.abort(conn, server, sent);
                }
            }
            Due::Deadline(id) => {
                // The module ends a request before this. Should it not, the client still gets its answer.
                if self.open.get(&id).is_some_and(|open| !open.over) {
                    self.answer(id, Bytes::from_static(b"-ERR failed\r\n"));
                    self.tell(Event::ClientGone(id));
                }
            }
            Due::Sweep => {
                self.pool.sweep(now);
                self.timers.push(Reverse((now + SWEEP, Due::Sweep)));
            }
            Due::Drain | Due::Close | Due::Ended => {}
        }
    }

    // The module.

    /// Tells the module of an event, does what it says, and goes on with what follows from that.
    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        self.run_events();
    }

    fn run_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.policy.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                give_up_after,
            } => self.send(request, server, give_up_after),
            Action::Reject {
                request,
                retry_after,
            } => {
                let answer = match retry_after {
                    0 => Bytes::from_static(b"-BUSY\r\n"),
                    after => format!("-BUSY {}\r\n", after.div_ceil(1_000)).into(),
                };
                self.answer(request, answer);
            }
            Action::Fail(request) => self.answer(request, Bytes::from_static(b"-ERR failed\r\n")),
            Action::Cancel { request, attempt } => self.give_up(
                AttemptId {
                    request,
                    number: attempt,
                },
                AttemptStatus::Cancelled,
            ),
            Action::Timer { after, token } => {
                self.timers.push(Reverse((
                    self.clock.now() + after.max(1),
                    Due::Policy(token),
                )));
            }
            Action::Subscribe(on) => {
                self.trace.line(self.clock.now(), format_args!("ask {on}"));
                self.discovery.subscribe(on);
            }
            Action::FetchEndpoints => self.discovery.fetch(),
            Action::CloseIdle(server) => self.pool.close_idle(server),
            Action::Log(line) => info!("{line}"),
            Action::Fault(line) => error!("fault: {line}"),
            // This module neither probes nor speaks to peers; the sockets for it are not built.
            Action::CheckHealth(server) => {
                let (took, load) = (0, LoadReport::default());
                self.events.push_back(Event::HealthChecked {
                    server,
                    healthy: false,
                    elapsed: took,
                    load,
                });
            }
            Action::SendToPeer { .. } => {}
        }
    }

    // Requests.

    /// A client has closed its connection: nothing is sent for it any more, from whatever queue.
    fn client_gone(&mut self, client: ClientId) {
        let mine = |(id, open): (&RequestId, &PendingRequest)| {
            (open.client == client && !open.over).then_some(*id)
        };
        let gone: Vec<_> = self.open.iter().filter_map(mine).collect();
        for id in gone {
            self.trace
                .line(self.clock.now(), format_args!("end {id} gone 0"));
            let attempts = self.open.get(&id).map_or(0, |open| open.sent);
            self.close_request(id);
            // Before the attempts end, so that the module makes no others.
            self.events.push_back(Event::ClientGone(id));
            for number in 0..attempts {
                let _ = self.unsend(AttemptId {
                    request: id,
                    number,
                });
            }
            self.run_events();
        }
    }

    /// Ends an attempt whose last byte is not written, so that it never will be; what is written goes on.
    fn unsend(&mut self, key: AttemptId) -> bool {
        let Some(attempt) = self.attempts.get(&key) else {
            return false;
        };
        let (server, sent, conn) = (attempt.server, attempt.sent, attempt.conn);
        match conn.map(|conn| (conn, self.pool.withdraw(conn))) {
            // It was never sent, and what is being opened may serve the next.
            None => self.pool.leave(server, key),
            // The connection says when it has seen that, and is free then.
            Some((conn, Progress::Handed | Progress::Withdrawn)) => {
                let _ = self.pool.abandon(conn, sent);
            }
            // The server has part of it, and must not get the rest.
            Some((conn, Progress::Writing)) => self.pool.close(conn),
            Some((_, Progress::Written)) => return false,
        }
        self.end(key, AttemptStatus::NotSent);
        true
    }

    fn asked(&mut self, asked: ClientRequest) {
        let ClientRequest {
            command,
            received_at: at,
            client,
            sequence: slot,
            replies: answers,
        } = asked;
        if answers.is_closed() {
            return; // Its client has gone, and the news of that waits behind it.
        }
        let id = self.next;
        self.next += 1;
        // What the request waited within the node is part of its time.
        let ends = (at + command.remaining_deadline).min(self.answered_by);
        let request = Request {
            id,
            class: command.class,
            tenant: command.tenant,
            key: command.hashed_key(),
            write: command.is_write,
            is_retry: command.is_retry,
            remaining_deadline: ends.saturating_sub(self.clock.now()),
            cost: command.cost,
            value_size: command.value_size,
        };
        self.trace.line(
            at,
            format_args!(
                "request {id} {:016x} {} {} {}",
                request.key,
                command.class,
                command.remaining_deadline,
                command.request_id.escape_ascii()
            ),
        );
        let open = PendingRequest {
            command,
            client,
            slot,
            answers,
            ends,
            sent: 0,
            out: 0,
            over: false,
        };
        self.open.insert(id, open);
        self.timers.push(Reverse((ends, Due::Deadline(id))));
        self.tell(Event::Request(request));
    }

    /// Gives the final answer, the first only.
    fn answer(&mut self, id: RequestId, answer: Bytes) {
        let Some(open) = self.open.get(&id).filter(|open| !open.over) else {
            return;
        };
        // There is room for every answer that a connection is owed; one that has ended takes none.
        let now = self.clock.now();
        let how = match answer.first() {
            Some(b'$') => "served",
            _ if answer.starts_with(b"-BUSY") => "refused",
            _ => "failed",
        };
        self.trace.line(
            now,
            format_args!("end {id} {how} {}", now as i64 - open.ends as i64),
        );
        debug!(request = %open.command.request_id.escape_ascii(), attempts = open.sent, "{how}");
        let _ = open.answers.try_send(ClientReply {
            sequence: open.slot,
            bytes: answer,
        });
        self.close_request(id);
    }

    /// Nothing is owed for a request any more. Attempts that are out keep its entry until they end.
    fn close_request(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.over = true;
        open.command.value = None;
        if open.out == 0 {
            self.open.remove(&id);
        }
    }

    // Attempts.

    fn send(&mut self, id: RequestId, server: ServerId, give_up_after: Micros) {
        let now = self.clock.now();
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let key = AttemptId {
            request: id,
            number: open.sent,
        };
        (open.sent, open.out) = (open.sent + 1, open.out + 1);
        let allowed = !open.over
            && u32::from(key.number) < self.deployment.settings.max_attempts
            && now < open.ends;
        let limit = if give_up_after == 0 {
            open.ends
        } else {
            open.ends.min(now + give_up_after)
        };
        let attempt = Attempt {
            server,
            sent: now,
            conn: None,
            waits_since: now,
        };
        let Some(to) = self.target(server).filter(|_| allowed) else {
            self.attempts.insert(key, attempt);
            return self.end(key, AttemptStatus::NotSent);
        };
        let conn = self.pool.reuse(server, key, now);
        self.attempts.insert(key, Attempt { conn, ..attempt });
        self.timers
            .push(Reverse((limit, Due::Attempt(id, key.number))));
        match conn {
            Some(conn) => self.carry(key, conn),
            None => self.wait(key, to),
        }
    }

    /// Where a server is reached.
    fn target(&self, server: ServerId) -> Option<ServerTarget> {
        self.servers.get(&server).map(|s| ServerTarget {
            server,
            address: s.address,
            protocol: s.protocol,
        })
    }

    /// The server of an attempt that waits for a connection still, since a time.
    fn waits(&self, key: AttemptId, since: Micros) -> Option<ServerId> {
        let waits = |attempt: &&Attempt| attempt.conn.is_none() && attempt.waits_since == since;
        self.attempts
            .get(&key)
            .filter(waits)
            .map(|attempt| attempt.server)
    }

    /// Has an attempt wait for the first connection that comes up or becomes free.
    fn wait(&mut self, key: AttemptId, to: ServerTarget) {
        let (now, limit) = (self.clock.now(), self.deployment.connect_timeout.max(1_000));
        if !self.pool.wait(to, key, now) {
            // Forced by the limit on sockets: there is no connection to send this on.
            return self.end(key, AttemptStatus::NotSent);
        }
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.waits_since = now;
        }
        self.events.push_back(Event::Connection {
            request: key.request,
            attempt: key.number,
            established: false,
        });
        // Half the time is far more than a connect takes: one that has not come by then is one of those that come
        // late or never, and the next has the same chance again.
        self.timers.push(Reverse((
            now + limit / 2,
            Due::Another(key.request, key.number, now),
        )));
        self.timers.push(Reverse((
            now + limit,
            Due::Unconnected(key.request, key.number, now),
        )));
    }

    /// Hands an attempt to its connection, which is up; an attempt that may not be sent any more leaves it to the next.
    fn carry(&mut self, key: AttemptId, conn: ConnectionId) {
        if !self.write(key, conn, false) {
            self.end(key, AttemptStatus::NotSent);
            self.free(conn);
        }
    }

    /// A connection owes nothing any more: the next in line has it.
    fn free(&mut self, conn: ConnectionId) {
        let Some((server, _)) = self.pool.state(conn) else {
            return;
        };
        // Nothing new goes to a server that drains.
        let ready = self
            .servers
            .get(&server)
            .filter(|s| s.condition == EndpointState::Ready);
        let address = ready.map(|s| s.address);
        while let Some(key) = self.pool.hand_on(conn, address, self.clock.now()) {
            if self.write(key, conn, false) {
                return;
            }
            self.end(key, AttemptStatus::NotSent);
        }
    }

    /// Writes an attempt to its connection, which may have asked about it again; `false` where it may not be sent any
    /// more.
    fn write(&mut self, key: AttemptId, conn: ConnectionId, asked: bool) -> bool {
        let now = self.clock.now();
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return false;
        };
        // Against a send after a drain or an end: between the module's word and the first byte the attempt
        // waited for its connection, and meanwhile its server may have left or its client gone.
        let server = self
            .servers
            .get(&attempt.server)
            .filter(|s| s.condition == EndpointState::Ready);
        let wanted =
            |open: &&PendingRequest| !open.over && now < open.ends && !open.answers.is_closed();
        let open = self.open.get(&key.request).filter(wanted);
        let (Some(server), Some(open)) = (server, open) else {
            return false;
        };
        // Rounded down: no attempt tells more time than is left.
        let left_ms = ((open.ends - now) / 1_000).max(1);
        let bytes = match server.protocol {
            ServerProtocol::Resp => caches::encode(&open.command, left_ms),
            ServerProtocol::Http => {
                origin::encode(&open.command, &server.address.to_string(), left_ms)
            }
        };
        let by = open.ends;
        let waited = attempt.conn.replace(conn).is_none();
        let server = attempt.server;
        if self.pool.start(conn, bytes, by, asked) {
            if !asked {
                self.trace.line(
                    now,
                    format_args!("send {} {} {server}", key.request, key.number),
                );
            }
            if waited {
                self.events.push_back(Event::Connection {
                    request: key.request,
                    attempt: key.number,
                    established: true,
                });
            }
        } else {
            self.lost(key, conn, false);
        }
        true
    }

    fn conn(&mut self, conn: ConnectionId, news: ServerConnectionEvent) {
        let now = self.clock.now();
        let Some((server, state)) = self.pool.state(conn) else {
            return;
        };
        if matches!(news, ServerConnectionEvent::Response(_)) {
            self.servers
                .get_mut(&server)
                .into_iter()
                .for_each(|s| s.last_seen = now);
        }
        match (news, state) {
            (ServerConnectionEvent::Established, State::Opening(since)) => {
                self.free(conn);
                // What waited for it in vain has been told that there was no connection.
                if self.pool.overdue(since, now) {
                    let (ok, took, load) = (true, now - since, LoadReport::default());
                    self.events.push_back(Event::HealthChecked {
                        server,
                        healthy: ok,
                        elapsed: took,
                        load,
                    });
                }
            }
            (ServerConnectionEvent::Response(response), State::Busy(key)) => {
                self.free_or_close(conn, response.reusable);
                self.end_with(key, response);
            }
            (ServerConnectionEvent::NotWritten, State::Busy(key)) => {
                self.end(key, AttemptStatus::NotSent);
                self.free(conn);
            }
            (ServerConnectionEvent::ConfirmWrite, State::Busy(key)) => {
                if !self.write(key, conn, true) {
                    self.end(key, AttemptStatus::NotSent);
                    self.free(conn);
                }
            }
            (
                ServerConnectionEvent::NotWritten | ServerConnectionEvent::ConfirmWrite,
                State::Late(_),
            ) => self.free(conn),
            // What was given up has its answer after all: of no more interest, but the machine is there.
            (ServerConnectionEvent::Response(response), _) => {
                self.free_or_close(conn, response.reusable)
            }
            (ServerConnectionEvent::Lost { written }, State::Busy(key)) => {
                self.lost(key, conn, written)
            }
            (ServerConnectionEvent::Lost { .. }, _) => {
                self.pool.close(conn);
                // Refused, or the machine is gone: what waits has one chance less.
                if let (State::Opening(_), Some(key)) = (state, self.pool.hopeless(server, now)) {
                    self.pool.leave(server, key);
                    self.end(key, AttemptStatus::ConnectFailed);
                }
            }
            (
                ServerConnectionEvent::Established
                | ServerConnectionEvent::NotWritten
                | ServerConnectionEvent::ConfirmWrite,
                _,
            ) => {}
        }
        self.run_events();
    }

    fn free_or_close(&mut self, conn: ConnectionId, keep: bool) {
        match keep {
            true => self.free(conn),
            false => self.pool.close(conn),
        }
    }

    /// A connection is lost that carried an attempt.
    fn lost(&mut self, key: AttemptId, conn: ConnectionId, written: bool) {
        let stale = !written && self.pool.carried(conn) > 1;
        self.pool.close(conn);
        if written {
            return self.end(key, AttemptStatus::Reset);
        }
        // A kept connection that had ended unseen: the last byte was not written, so nothing was sent, and
        // the same attempt may have another. Only so often: a fresh one has carried nothing.
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.conn = None;
        let server = attempt.server;
        match self.target(server).filter(|_| stale) {
            Some(to) => self.wait(key, to),
            None => self.end(key, AttemptStatus::ConnectFailed),
        }
    }

    /// Stops waiting for an attempt. Its connection is closed, unless the answer is hardly due yet: a client
    /// in a hurry must not cost those after it the handshake of a new connection, nor the box.
    fn give_up(&mut self, key: AttemptId, status: AttemptStatus) {
        if self.unsend(key) {
            return;
        }
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let (server, sent, Some(conn)) = (attempt.server, attempt.sent, attempt.conn) else {
            return;
        };
        let class = self
            .open
            .get(&key.request)
            .map_or(0, |open| open.command.class);
        let due = sent + self.deployment.settings.classes[class].latency_objective;
        if self.clock.now() < due && self.pool.abandon(conn, sent) {
            self.timers.push(Reverse((due, Due::Late(conn, sent))));
        } else {
            self.abort(conn, server, sent);
        }
        self.end(key, status);
    }

    /// Closes a connection that has not answered what was sent on it.
    fn abort(&mut self, conn: ConnectionId, server: ServerId, sent: Micros) {
        self.pool.close(conn);
        // Against a machine that vanished: its kept connections stay open and silent, and each would cost
        // a request its whole time. A fresh one tells within the time-out of a connect.
        if self
            .servers
            .get(&server)
            .is_some_and(|server| server.last_seen < sent)
        {
            self.pool.close_idle(server);
        }
    }

    fn end(&mut self, key: AttemptId, status: AttemptStatus) {
        self.end_with(
            key,
            ServerResponse {
                status,
                cache_lookup: CacheLookup::Unknown,
                load: LoadReport::default(),
                value: None,
                reusable: false,
            },
        );
    }

    /// An attempt has its outcome: the first that serves answers the client, and the module is told.
    fn end_with(&mut self, key: AttemptId, response: ServerResponse) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        let Some(open) = self.open.get_mut(&key.request) else {
            return;
        };
        open.out -= 1;
        let over = open.over || response.status == AttemptStatus::Served;
        let (now, server, status) = (self.clock.now(), attempt.server, response.status);
        self.trace.line(
            now,
            format_args!(
                "outcome {} {} {server} {} {}",
                key.request,
                key.number,
                trace::status_word(status),
                trace::lookup_word(response.cache_lookup)
            ),
        );
        debug!(request = %open.command.request_id.escape_ascii(), attempt = key.number, server, ?status, "attempt ended");
        if let Some(value) = &response.value {
            let mut answer = BytesMut::with_capacity(value.len() + 16);
            resp::put_bulk(&mut answer, value);
            self.answer(key.request, answer.freeze());
        }
        if over {
            self.close_request(key.request);
        }
        self.events.push_back(Event::AttemptOutcome(AttemptOutcome {
            request: key.request,
            attempt: key.number,
            server: attempt.server,
            status: response.status,
            request_complete: over,
            cache_lookup: response.cache_lookup,
            elapsed: self.clock.now() - attempt.sent,
            load: response.load,
        }));
    }

    // The list.

    fn list(&mut self, listing: EndpointListUpdate, kind: Option<ListUpdate>) {
        let kind = kind.unwrap_or(if listing.is_complete {
            ListUpdate::Full
        } else {
            ListUpdate::Delta
        });
        self.discovery.held(listing.version);
        let now = self.clock.now();
        let mut lines: Vec<Endpoint> = Vec::with_capacity(listing.endpoints.len());
        let place = |names: &[String], name: &String| names.iter().position(|known| known == name);
        for entry in &listing.endpoints {
            let condition = match entry.status.as_str() {
                "active" => EndpointState::Ready,
                "left" => EndpointState::Removed,
                _ => EndpointState::Draining,
            };
            let id = xxh3_64(entry.name.as_bytes()) as ServerId;
            let address = entry
                .address
                .parse()
                .ok()
                .or_else(|| self.servers.get(&id).map(|s| s.address));
            let Some(address) = address else { continue };
            let kind =
                place(&self.deployment.kinds, &entry.kind).unwrap_or(usize::from(u16::MAX)) as u16;
            let protocol = match self.deployment.settings.origin_kind == Some(kind) {
                true => ServerProtocol::Http,
                false => ServerProtocol::Resp,
            };
            // In the module's clock, which is Unix time here; 0 stays 0, and nothing starts in the future.
            let started = if entry.started_ms == 0 {
                0
            } else {
                entry.started_ms.saturating_mul(1_000).min(now)
            };
            let zone = place(&self.deployment.zones, &entry.zone).unwrap_or(255) as u8;
            let cell = entry.cell;
            lines.push(Endpoint {
                id,
                zone,
                cell,
                kind,
                weight: entry.weight,
                started,
                state: condition,
            });
            let last_seen = self.servers.get(&id).map_or(0, |server| server.last_seen);
            let before = self.servers.insert(
                id,
                Server {
                    address,
                    protocol,
                    condition,
                    last_seen,
                },
            );
            let moved = before.is_some_and(|before| before.address != address);
            if condition != EndpointState::Ready || moved {
                self.pool.close_idle(id);
            }
            if condition == EndpointState::Ready && moved {
                // What is being opened to the old address is of no use to what waits.
                let waiting = self.pool.waiting(id).len();
                for _ in 0..waiting {
                    let _ = self.pool.open(
                        ServerTarget {
                            server: id,
                            address,
                            protocol,
                        },
                        now,
                    );
                }
            }
        }
        let unready = |line: &&Endpoint| line.state != EndpointState::Ready;
        let mut unready: Vec<_> = lines.iter().filter(unready).map(|line| line.id).collect();
        let left = lines
            .iter()
            .filter(|line| line.state == EndpointState::Removed)
            .map(|line| line.id);
        let mut gone: Vec<_> = left.collect();
        if kind != ListUpdate::Delta {
            let listed: Vec<_> = lines.iter().map(|line| line.id).collect();
            gone.extend(self.servers.keys().filter(|id| !listed.contains(id)));
        }
        gone.iter().for_each(|id| self.forget(*id));
        unready.append(&mut gone);
        self.trace.line(
            now,
            format_args!("list {} {}", trace::update_word(kind), listing.version),
        );
        for line in &lines {
            let Endpoint {
                id,
                state: condition,
                kind,
                zone,
                started,
                ..
            } = line;
            self.trace.line(
                now,
                format_args!(
                    "server {id} {} {kind} {zone} {started}",
                    trace::state_word(*condition)
                ),
            );
        }
        self.events.push_back(Event::EndpointList {
            update: kind,
            endpoints: lines,
        });
        unready.iter().for_each(|id| self.turn_away(*id));
        self.run_events();
    }

    /// What waits for a connection to a server that takes nothing new need not wait for it.
    fn turn_away(&mut self, server: ServerId) {
        for key in self.pool.waiting(server) {
            self.pool.leave(server, key);
            self.end(key, AttemptStatus::NotSent);
        }
    }

    /// A call to discovery brought nothing more: the list held stays in force.
    fn unheard(&mut self, kind: ListUpdate) {
        self.trace.line(self.clock.now(), format_args!("unheard"));
        self.tell(Event::EndpointList {
            update: kind,
            endpoints: Vec::new(),
        });
    }

    fn forget(&mut self, id: ServerId) {
        self.servers.remove(&id);
        self.pool.close_idle(id);
    }
}

#[cfg(test)]
#[path = "../tests/parts/node.rs"]
mod tests;
