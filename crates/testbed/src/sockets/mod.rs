//! The driver on sockets: real `cache-router` processes on 127.0.0.0/8 before the same world as in virtual time. One
//! process holds cache servers, origin, list service and clients, each behind a door of its own ([`doors`]); between
//! nodes and servers stand ways that can fail ([`link`]). Time is real: two plays of one seed draw the same clients and
//! faults, and differ by what the machine makes of them.
//!
//! Taken: one process for the whole world, whose parts share the [`stage`] under one lock. Not taken: a process for each
//! server, as two hundred of them would measure the machine's scheduler, and rules could be checked after the fact only.

pub mod clients;
pub mod doors;
pub mod link;
pub mod nodes;
pub mod stage;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cluster_model::list::{Condition, Line};
use cluster_model::network::Breaks;
use cluster_model::{Chance, Micros, chance};
use nix::sys::signal::Signal;
use rand::Rng;
use routing_policy::{Endpoint, ServerId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use xxhash_rust::xxh3::xxh3_64;

use crate::clients::{Clients, Part, Reply};
use crate::queue::Queue;
use crate::report::{self, Counts, Report};
use crate::scenario::{Event, LEAVES, Scenario};
use crate::{deployment, us};
use clients::{NoAnswer, command};
use doors::{Shared, lock};
use link::{Link, State};
use nodes::{Node, address};
use stage::{Counted, Number, Stage};

/// The most nodes and cache servers on sockets: what one machine's table of sockets and six cores bear.
pub const MOST: (u32, u32) = (300, 400);
/// After the last first try the world goes on until all is answered, this long at most.
const TAIL: Micros = 10_000_000;
/// A node that was told to end has this long.
const ENDS: Duration = Duration::from_secs(12);
/// Whether a node has ended while it starts is looked at so often.
const START_LOOK: Duration = Duration::from_millis(50);
/// Progress is shown, and what is over forgotten, so often.
const LOOK: Duration = Duration::from_millis(500);
/// What peers say that are no clients: nothing, another protocol, half a command, a length that nobody has.
const RUBBISH: [&[u8]; 5] = [
    b"",
    b"GET / HTTP/1.1\r\n\r\n",
    b"*4\r\n$7\r\nOBJ.GET\r\n$16\r\n00000",
    b"*2\r\n$999999999\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
];
/// They stay for so long.
const RUDE: Duration = Duration::from_secs(5);
/// Ends of tries that wait for the driver.
const ENDED: usize = 4096;

/// Why a play on sockets can't be made, or was not.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// The scenario is too large.
    #[error("{0} nodes and {1} cache servers: on sockets at most {most_nodes} and {most_servers}; \
             play it in virtual time", most_nodes = MOST.0, most_servers = MOST.1)]
    TooMany(u32, u32),
    /// The system refused something.
    #[error("{0}: {1}")]
    System(&'static str, std::io::Error),
    /// A node does not start.
    #[error("node {node} does not start: {last}")]
    NotReady {
        /// Which.
        node: u32,
        /// The last line of its log.
        last: String,
    },
    /// It was ended from outside.
    #[error("interrupted")]
    Interrupted,
}

/// What a play needs besides its scenario.
pub struct Options<'a> {
    /// The `cache-router` program.
    pub program: &'a Path,
    /// Where configurations and logs of the nodes go; it must be there.
    pub folder: &'a Path,
}

/// How far a play is.
#[derive(Debug, Clone)]
pub struct Progress {
    /// Time since the first try, in microseconds, and the length.
    pub at: (Micros, Micros),
    /// Counts since the last time.
    pub lately: Counts,
    /// Nodes that take requests, and cache servers that run.
    pub up: (usize, usize),
    /// What has just gone wrong, in words.
    pub news: Vec<String>,
}

/// What is to happen.
enum What {
    Ask,
    Again(u64),
    Event(usize),
    Drain(Number),
    End(Number),
    Start(Number),
    Known(Line),
    Back(u32),
    Continue(u32),
    Mend(u8),
    ListUp,
    Calm(f64),
    Alone(Number),
    OriginWell,
    AnswersWhole,
    Rubbish(f64, Micros),
    OriginQuick,
    Cool(f64),
    Scanned(f64),
    Noticed(u32, u32),
    Restart(u32),
    Leave(u32, u32),
}

/// What tasks tell the driver.
enum Input {
    /// A try has ended: the client, the try's number, and how; `None` where the client's time was up.
    Ended(u64, u64, Option<Result<Reply, NoAnswer>>),
    /// A node answers, or does not, in one of its lives.
    Ready(u32, u32, bool),
}

struct Driver<'a> {
    scenario: &'a Scenario,
    options: &'a Options<'a>,
    shared: Arc<Shared>,
    begin: Micros,
    queue: Queue<What>,
    clients: Clients<'a>,
    nodes: Vec<Node>,
    up: Vec<u32>,
    /// Ways to the servers, by zone and server.
    ways: Vec<Vec<Link>>,
    /// The servers' and the service's doors; they end with the driver.
    doors: JoinSet<()>,
    /// Those of the list service among them.
    lists: Vec<AbortHandle>,
    tries: JoinSet<()>,
    next_try: u64,
    ended: (mpsc::Sender<Input>, mpsc::Receiver<Input>),
    front: Chance,
    faults: Chance,
    seeds: Chance,
    news: Vec<String>,
    crashes: Vec<String>,
}

/// Plays a scenario with a seed. Progress is told twice a second. Nothing it started is left when it ends, when it fails,
/// or when it is dropped.
///
/// # Errors
/// Where the scenario is too large, a node does not start, the system refuses a socket or process, or `stop` ended first.
pub async fn play(
    scenario: &Scenario,
    seed: u64,
    options: &Options<'_>,
    stop: impl Future<Output = ()>,
    mut progress: impl FnMut(&Progress),
) -> Result<Report, SocketError> {
    let servers = scenario.kind.iter().map(|kind| kind.servers).sum();
    if scenario.nodes > MOST.0 || servers > MOST.1 {
        return Err(SocketError::TooMany(scenario.nodes, servers));
    }
    tokio::pin!(stop);
    let played = async {
        let mut driver = Driver::new(scenario, seed, options).await?;
        driver.begin().await?;
        driver.run(&mut progress).await;
        driver.end().await;
        Ok(driver.report(seed))
    };
    tokio::select! {
        played = played => played,
        () = &mut stop => Err(SocketError::Interrupted),
    }
}

/// Opens a door of the list service for a node.
fn open_list(
    doors: &mut JoinSet<()>,
    shared: &Arc<Shared>,
    scenario: &Scenario,
    number: u32,
) -> std::io::Result<(SocketAddr, AbortHandle)> {
    let listener = link::listen(address(3, number))?;
    let list = listener.local_addr()?;
    let serve = doors::list(
        shared.clone(),
        listener,
        number,
        deployment::zone(scenario, number),
    );
    let door = doors.spawn(async move { drop(serve.await) });
    Ok((list, door))
}

impl<'a> Driver<'a> {
    async fn new(
        scenario: &'a Scenario,
        seed: u64,
        options: &'a Options<'a>,
    ) -> Result<Driver<'a>, SocketError> {
        let part = |part: Part| chance(seed, part as u64);
        let now = doors::unix();
        let port = |e| SocketError::System("no port for the world", e);
        let mut doors = JoinSet::new();
        let origin = link::listen(address(4, 0)).map_err(port)?;
        let at = origin.local_addr().map_err(port)?;
        let stage = Stage::new(scenario, seed, now);
        let shared = Arc::new(Shared::new(scenario, stage, now, at));
        let (tick, fetch) = (
            doors::tick(shared.clone()),
            doors::origin(shared.clone(), origin),
        );
        doors.spawn(tick);
        doors.spawn(async move { drop(fetch.await) });
        let (mut nodes, mut lists) = (Vec::new(), Vec::new());
        for number in 0..scenario.nodes {
            let (list, door) = open_list(&mut doors, &shared, scenario, number).map_err(port)?;
            lists.push(door);
            nodes.push(Node::new(number, list, options.folder).map_err(port)?);
        }
        let mut driver = Driver {
            begin: now,
            queue: Queue::new(),
            clients: Clients::new(scenario, seed, now),
            nodes,
            up: Vec::new(),
            ways: (0..scenario.zones).map(|_| Vec::new()).collect(),
            doors,
            lists,
            tries: JoinSet::new(),
            next_try: 1,
            ended: mpsc::channel(ENDED),
            front: part(Part::Front),
            faults: chance(seed, Part::Faults as u64 + 100),
            seeds: part(Part::Nodes),
            news: Vec::new(),
            crashes: Vec::new(),
            shared,
            scenario,
            options,
        };
        let numbers: Vec<Number> = driver.shared.stage().servers.keys().copied().collect();
        for number in numbers {
            driver.open_server(number).await.map_err(port)?;
        }
        Ok(driver)
    }

    /// Opens another door of the list service for a node.
    fn open_list(&mut self, number: u32) -> std::io::Result<SocketAddr> {
        let (list, door) = open_list(&mut self.doors, &self.shared, self.scenario, number)?;
        self.lists.push(door);
        Ok(list)
    }

    /// Opens a server's door, and a way to it from each zone.
    async fn open_server(&mut self, number: Number) -> std::io::Result<()> {
        let listener = link::listen(address(1, number))?;
        let door = listener.local_addr()?;
        self.doors
            .spawn(doors::cache(self.shared.clone(), listener, number));
        let (zone, up) = {
            let stage = self.shared.stage();
            let server = &stage.servers[&number];
            (server.zone, server.cache.up())
        };
        for from in 0..self.scenario.zones {
            let network = &self.scenario.network;
            let delay = if from == zone {
                network.same.0
            } else {
                network.cross.0
            };
            let state = State {
                listens: up,
                delay: (delay, delay),
                ..State::default()
            };
            let way = Link::open(address(10 + from, number), door, state).await?;
            lock(&self.shared.addresses)[usize::from(from)].push(way.address());
            self.ways[usize::from(from)].push(way);
        }
        Ok(())
    }

    /// Starts the nodes, fills the servers, and begins once all nodes answer.
    async fn begin(&mut self) -> Result<(), SocketError> {
        self.hold_at_first();
        for number in 0..self.scenario.nodes {
            self.start_node(number)
                .map_err(|e| SocketError::System("cannot start a node", e))?;
        }
        let mut look = tokio::time::interval(START_LOOK);
        while self.up.len() < self.nodes.len() {
            tokio::select! {
                Some(input) = self.ended.1.recv() => if let Input::Ready(node, _, ready) = input {
                    if !ready {
                        return Err(self.nodes[node as usize].refusal());
                    }
                    self.up.push(node);
                },
                // One that ends at once has said why.
                _ = look.tick() => {
                    if let Some(node) = self.nodes.iter_mut().find_map(|n| n.ended().map(|_| n.refusal())) {
                        return Err(node);
                    }
                }
            }
        }
        // In the order of their numbers, so that the front's chance means the same nodes in each play.
        self.up.sort_unstable();
        self.begin = self.shared.now();
        self.clients.begin_at(self.begin);
        for (i, event) in self.scenario.event.iter().enumerate() {
            self.at(self.begin + us(event.at()), What::Event(i));
        }
        if let Some(first) = self.clients.next_first(self.begin) {
            self.at(first, What::Ask);
        }
        Ok(())
    }

    fn hold_at_first(&self) {
        let id = |server: Number| xxh3_64(doors::name(server).as_bytes()) as ServerId;
        let mut stage = self.shared.stage();
        let line = |(number, server): (&Number, &stage::Server)| Endpoint {
            id: id(*number),
            zone: server.zone,
            kind: server.kind as u16,
            ..Endpoint::default()
        };
        let origin = Endpoint {
            id: xxh3_64(b"origin") as ServerId,
            kind: self.scenario.kind.len() as u16,
            ..Endpoint::default()
        };
        let lines = stage.servers.iter().map(line).chain([origin]).collect();
        let numbers: std::collections::BTreeMap<ServerId, Number> = stage
            .servers
            .keys()
            .map(|number| (id(*number), *number))
            .collect();
        let now = self.shared.now();
        for (key, server) in deployment::held_at_first(self.scenario, now, lines) {
            let server = numbers
                .get(&server)
                .and_then(|number| stage.servers.get_mut(number));
            let bytes = self.scenario.load.value_bytes;
            server
                .into_iter()
                .for_each(|server| server.cache.memory().store(now, key, bytes));
        }
    }

    fn at(&mut self, at: Micros, what: What) {
        self.queue.push(at, what);
    }

    /// Until all clients have ended.
    async fn run(&mut self, progress: &mut impl FnMut(&Progress)) {
        let last = self.begin + us(self.scenario.length);
        let mut look = tokio::time::interval(LOOK);
        let mut before = Counts::default();
        loop {
            let now = self.shared.now();
            let asks = self.queue.holds(|what| matches!(what, What::Ask));
            if now > last + TAIL || (!asks && now > last && self.clients.left() == 0) {
                return;
            }
            let due = self.queue.due().unwrap_or(last + TAIL);
            let due = self.shared.instant(due);
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    let now = self.shared.now();
                    while self.queue.due().is_some_and(|due| due <= now) {
                        if let Some((at, what)) = self.queue.pop() {
                            self.happen(at, what).await;
                        }
                    }
                }
                Some(input) = self.ended.1.recv() => self.input(input),
                _ = look.tick() => self.look(&mut before, progress),
                Some(_) = self.tries.join_next() => {}
            }
            self.settle();
        }
    }

    /// Takes over what the stage has counted, and what fell.
    fn settle(&mut self) {
        let now = self.shared.now();
        let (counted, fallen) = {
            let mut stage = self.shared.stage();
            (
                std::mem::take(&mut stage.counted),
                std::mem::take(&mut stage.fallen),
            )
        };
        for (first, counted) in counted {
            self.clients.count(first, |counts| match counted {
                Counted::Attempt => counts.attempts += 1,
                Counted::TurnedAway => counts.turned_away += 1,
                Counted::Origin => counts.origin += 1,
            });
        }
        for server in fallen {
            self.news.push(format!("{} fell over", doors::name(server)));
            self.ways_of(server, Link::dies);
            self.notice(now, server, Condition::Left, 0);
        }
    }

    fn look(&mut self, before: &mut Counts, progress: &mut impl FnMut(&Progress)) {
        let now = self.shared.now();
        let running = {
            let mut stage = self.shared.stage();
            stage.sweep(now);
            stage
                .servers
                .values()
                .filter(|server| server.cache.up())
                .count()
        };
        for node in 0..self.nodes.len() as u32 {
            let Some(status) = self.nodes[node as usize].ended() else {
                continue;
            };
            self.nodes[node as usize].clients.close();
            self.up.retain(|up| *up != node);
            if !self.nodes[node as usize].ending || !status.success() {
                self.crashes
                    .push(format!("crash: node {node} ended by itself with {status}"));
            }
            self.shared.stage().ended(now, node);
            self.at(now, What::Back(node));
        }
        let all = self.clients.sum();
        let lately = all.since(before);
        *before = all;
        let at = (now.saturating_sub(self.begin), us(self.scenario.length));
        progress(&Progress {
            at,
            lately,
            up: (self.up.len(), running),
            news: std::mem::take(&mut self.news),
        });
    }

    fn input(&mut self, input: Input) {
        let now = self.shared.now();
        match input {
            Input::Ended(client, number, Some(reply)) => {
                match reply {
                    Ok(reply) => self.shared.stage().answered(
                        now,
                        number,
                        matches!(reply, Reply::Refused(_)),
                    ),
                    Err(NoAnswer::Unreached) => self.shared.stage().gone(now, number),
                    Err(NoAnswer::BrokenOff) => self.shared.stage().broken_off(now, number),
                }
                let reply = reply.unwrap_or(Reply::Failed);
                if let Some(again) = self.clients.told(now, client, reply) {
                    self.at(again, What::Again(client));
                }
            }
            Input::Ended(client, number, None) => {
                self.shared.stage().gone(now, number);
                self.clients.time_up(client);
            }
            Input::Ready(node, life, ready) => {
                let its = &self.nodes[node as usize];
                if its.life != life || its.child.is_none() {
                    return;
                }
                if ready {
                    if !self.up.contains(&node) {
                        self.up.push(node);
                    }
                    self.news.push(format!("node {node} is back"));
                } else {
                    self.crashes
                        .push(self.nodes[node as usize].refusal().to_string());
                }
            }
        }
    }

    async fn happen(&mut self, at: Micros, what: What) {
        let now = self.shared.now();
        match what {
            What::Ask => {
                if let Some(next) = self.clients.next_first(at) {
                    self.at(next, What::Ask);
                }
                let id = self.clients.ask(at);
                self.try_node(id);
            }
            What::Again(client) => self.try_node(client),
            What::Event(number) => self.event(number, now).await,
            What::Drain(server) => {
                let mut stage = self.shared.stage();
                stage
                    .servers
                    .get_mut(&server)
                    .into_iter()
                    .for_each(|server| server.cache.drain());
                drop(stage);
                self.notice(now, server, Condition::Leaving, 0);
            }
            What::End(server) => self.end_server(now, server),
            What::Start(server) => {
                {
                    let mut stage = self.shared.stage();
                    stage
                        .servers
                        .get_mut(&server)
                        .into_iter()
                        .for_each(|s| s.cache.restart(now));
                }
                self.ways_of(server, |way| way.set(|state| state.listens = true));
                self.notice(now, server, Condition::Active, now);
            }
            What::Known(line) => self.shared.stage().become_known(now, line),
            // Two faults may each bring it back.
            What::Back(node) if self.nodes[node as usize].child.is_some() => {}
            What::Back(node) => {
                if let Err(e) = self.start_node(node) {
                    self.crashes
                        .push(format!("node {node} could not be started again: {e}"));
                }
            }
            What::Continue(node) => {
                self.shared.stage().rules.went_on(now, node);
                self.nodes[node as usize].signal(Signal::SIGCONT);
                self.news.push(format!("node {node} goes on"));
            }
            What::Mend(zone) => {
                self.news.push(format!("zone {zone} is reached again"));
                self.cut(zone, false);
            }
            What::ListUp => {
                self.news.push("the list service is back".into());
                self.shared.stage().list_up(now, true);
            }
            What::Calm(factor) => self.clients.quicken(1.0 / factor),
            What::Alone(server) => self.take(now, server, 0.0),
            What::OriginWell => self.shared.stage().origin.fail(None),
            What::AnswersWhole => self.shared.stage().network.break_answers(Breaks::default()),
            What::Rubbish(per_s, until) => self.rubbish(at, per_s, until),
            What::OriginQuick => self.shared.stage().origin.take(now, 0.0),
            What::Cool(part) => self.clients.heat(-part),
            What::Scanned(part) => self.clients.scan(-part),
            What::Restart(node) => {
                let its = &mut self.nodes[node as usize];
                if its.child.is_some() {
                    its.ending = true;
                    its.signal(Signal::SIGTERM);
                    let life = its.life;
                    self.at(now + LEAVES.as_micros() as Micros, What::Leave(node, life));
                }
            }
            What::Leave(node, life) => {
                if self.nodes[node as usize].life == life {
                    self.up.retain(|up| *up != node);
                }
            }
            What::Noticed(node, life) => {
                let its = &self.nodes[node as usize];
                if its.life == life && its.child.is_none() {
                    self.up.retain(|up| *up != node);
                }
            }
        }
        self.shared.wake.notify_one();
    }

    // Clients.

    fn try_node(&mut self, id: u64) {
        let Some(client) = self.clients.begin_try(id) else {
            return;
        };
        let number = self.next_try;
        self.next_try += 1;
        let ended = self.ended.0.clone();
        if self.up.is_empty() {
            self.tries.spawn(async move {
                let _ = ended
                    .send(Input::Ended(id, number, Some(Err(NoAnswer::Unreached))))
                    .await;
            });
            return;
        }
        let node = self.up[self.front.random_range(0..self.up.len())];
        self.clients.with_node(id, node, number);
        let now = self.shared.now();
        self.shared.stage().begin_try(now, number, node, &client);
        let left_ms = client.deadline.saturating_sub(now).div_ceil(1_000);
        let class = &self.scenario.class[client.class];
        let key = format!("{:016x}", client.key);
        let facts = match class.effect {
            crate::scenario::Effect::Keyed => format!("c={},d={left_ms},k={id:016x}", class.name),
            _ => format!("c={},d={left_ms}", class.name),
        };
        let name = format!("{number:016x}");
        let mut words = vec![
            &b"OBJ.GET"[..],
            key.as_bytes(),
            name.as_bytes(),
            facts.as_bytes(),
        ];
        let value = vec![b'v'; self.scenario.load.value_bytes as usize];
        if class.write {
            words[0] = b"OBJ.SET";
            words.push(&value);
        }
        let (command, until) = (command(&words), self.shared.instant(client.leaves));
        let connections = self.nodes[node as usize].clients.clone();
        let shared = self.shared.clone();
        self.tries.spawn(async move {
            let asked =
                tokio::time::timeout_at(until, connections.ask(&command, shared.value())).await;
            let _ = ended.send(Input::Ended(id, number, asked.ok())).await;
        });
    }

    /// A peer that no node should be harmed by comes to one of them, and the next one some time later.
    fn rubbish(&mut self, at: Micros, per_s: f64, until: Micros) {
        let next = at + (1e6 / per_s) as Micros;
        if next < until {
            self.at(next, What::Rubbish(per_s, until));
        }
        if self.up.is_empty() {
            return;
        }
        let node = self.up[self.faults.random_range(0..self.up.len())];
        let address = self.nodes[node as usize].address();
        let says = RUBBISH[self.faults.random_range(0..RUBBISH.len())];
        self.tries.spawn(async move {
            let peer = async {
                let mut stream = TcpStream::connect(address).await?;
                stream.write_all(says).await?;
                // Until the node has had enough.
                let mut answer = [0; 256];
                while stream.read(&mut answer).await? > 0 {}
                Ok::<_, std::io::Error>(())
            };
            let _ = tokio::time::timeout(RUDE, peer).await;
        });
    }

    // Nodes.

    fn start_node(&mut self, number: u32) -> std::io::Result<()> {
        let zone = deployment::zone(self.scenario, number);
        let (version, lines) = self.shared.stage().begin_node(self.shared.now(), number);
        let known = self.shared.listing(zone, version, true, &lines);
        let node = &mut self.nodes[number as usize];
        node.start(
            self.options.program,
            self.scenario,
            known,
            self.seeds.random(),
        )?;
        let (life, ready, tell) = (node.life, node.ready(), self.ended.0.clone());
        self.tries.spawn(async move {
            let ready = ready.await;
            let _ = tell.send(Input::Ready(number, life, ready)).await;
        });
        Ok(())
    }

    // Servers.

    fn ways_of(&self, server: Number, change: impl Fn(&Link)) {
        self.ways
            .iter()
            .filter_map(|ways| ways.get(server as usize - 1))
            .for_each(change);
    }

    fn end_server(&mut self, now: Micros, server: Number) {
        self.shared.stage().end_server(now, server);
        self.ways_of(server, Link::dies);
        self.notice(now, server, Condition::Left, 0);
    }

    fn take(&mut self, now: Micros, server: Number, part: f64) {
        let mut stage = self.shared.stage();
        stage
            .servers
            .get_mut(&server)
            .into_iter()
            .for_each(|server| server.cache.take(now, part));
    }

    /// How a server is becomes known some time later.
    fn notice(&mut self, now: Micros, server: Number, condition: Condition, started: Micros) {
        let at = now + us(self.scenario.list.notice);
        self.at(
            at,
            What::Known(Line {
                server,
                condition,
                started,
            }),
        );
    }

    /// Cuts a zone off from the others, or mends it. A new connection into a cut comes up and stays silent, as no
    /// program can keep the system from taking it.
    fn cut(&self, zone: u8, cut: bool) {
        self.shared.stage().cut(self.shared.now(), zone, cut);
        for (from, ways) in self.ways.iter().enumerate() {
            for (i, way) in ways.iter().enumerate() {
                let server = self
                    .shared
                    .stage()
                    .servers
                    .get(&(i as Number + 1))
                    .map(|server| server.zone);
                let crosses = server.is_some_and(|server| (from as u8 == zone) != (server == zone));
                if crosses {
                    way.set(|state| state.silent = (cut, cut));
                }
            }
        }
    }

    // What goes wrong.

    async fn event(&mut self, number: usize, now: Micros) {
        let event = self.scenario.event[number].clone();
        self.news.push(event.to_string());
        match event {
            Event::Replace {
                part, over, drain, ..
            } => {
                let servers = self.shared.stage().some_servers(part);
                let count = servers.len().max(1) as Micros;
                for (i, server) in servers.into_iter().enumerate() {
                    let at = now + us(over) * i as Micros / count;
                    let new = self.shared.stage().new_server(now, server);
                    if let Err(e) = self.open_server(new).await {
                        self.crashes
                            .push(format!("no port for {}: {e}", doors::name(new)));
                        continue;
                    }
                    self.at(at, What::Drain(server));
                    self.at(at + us(drain), What::End(server));
                    // What takes its place is there a little before it goes.
                    self.at(at, What::Start(new));
                }
            }
            Event::KillNodes { part, back, .. } => {
                let numbers = (0..self.nodes.len() as u32).collect();
                let some = self.shared.stage().some(numbers, part);
                for node in some {
                    self.nodes[node as usize].kill().await;
                    self.shared.stage().killed(self.shared.now(), node);
                    let life = self.nodes[node as usize].life;
                    self.at(
                        now + us(self.scenario.front.notice),
                        What::Noticed(node, life),
                    );
                    self.at(now + us(back), What::Back(node));
                }
            }
            Event::StopNodes { part, lasts, .. } => {
                let numbers = (0..self.nodes.len() as u32).collect();
                let some = self.shared.stage().some(numbers, part);
                for node in some {
                    self.nodes[node as usize].signal(Signal::SIGSTOP);
                    self.shared.stage().rules.stopped(now, node);
                    self.at(now + us(lasts), What::Continue(node));
                }
            }
            Event::RestartNodes { part, over, .. } => {
                let numbers = (0..self.nodes.len() as u32).collect();
                let some = self.shared.stage().some(numbers, part);
                let count = some.len().max(1) as Micros;
                for (i, node) in some.into_iter().enumerate() {
                    self.at(now + us(over) * i as Micros / count, What::Restart(node));
                }
            }
            Event::MoveList { .. } => {
                // The new service's doors are there before any node is told; nothing new is taken at the old ones.
                let old = std::mem::take(&mut self.lists);
                for number in 0..self.nodes.len() as u32 {
                    let moved = self
                        .open_list(number)
                        .and_then(|list| self.nodes[number as usize].move_list(list));
                    if let Err(e) = moved {
                        self.crashes
                            .push(format!("the list of node {number} could not be moved: {e}"));
                    }
                }
                old.into_iter().for_each(|door| door.abort());
                self.shared.stage().move_list();
            }
            Event::CutZone { zone, lasts, .. } => {
                self.cut(zone, true);
                self.at(now + us(lasts), What::Mend(zone));
            }
            Event::LoseServers { part, back, .. } => {
                let servers = self.shared.stage().some_servers(part);
                for server in servers {
                    self.end_server(now, server);
                    self.at(now + us(back), What::Start(server));
                }
            }
            Event::ListDown { lasts, .. } => {
                self.shared.stage().list_up(now, false);
                self.at(now + us(lasts), What::ListUp);
            }
            Event::Burst { factor, lasts, .. } => {
                self.clients.quicken(factor);
                self.at(now + us(lasts), What::Calm(factor));
            }
            Event::OriginFails {
                part, how, lasts, ..
            } => {
                self.shared
                    .stage()
                    .origin
                    .fail(Some((deployment::fault(how), part)));
                self.at(now + us(lasts), What::OriginWell);
            }
            Event::BreakAnswers {
                lost,
                spoilt,
                reset,
                lasts,
                ..
            } => {
                self.shared.stage().network.break_answers(Breaks {
                    lost,
                    spoilt,
                    reset,
                });
                self.at(now + us(lasts), What::AnswersWhole);
            }
            Event::Rubbish { per_s, lasts, .. } => {
                self.at(now, What::Rubbish(per_s, now + us(lasts)))
            }
            Event::OriginSlow { taken, lasts, .. } => {
                self.shared.stage().origin.take(now, taken);
                self.at(now + us(lasts), What::OriginQuick);
            }
            Event::HotKey { part, lasts, .. } => {
                self.clients.heat(part);
                self.at(now + us(lasts), What::Cool(part));
            }
            Event::Scan { part, lasts, .. } => {
                self.clients.scan(part);
                self.at(now + us(lasts), What::Scanned(part));
            }
            Event::Neighbour {
                part, taken, lasts, ..
            } => {
                let servers = self.shared.stage().some_servers(part);
                for server in servers {
                    self.take(now, server, taken);
                    self.at(now + us(lasts), What::Alone(server));
                }
            }
        }
    }

    /// Ends the nodes as a platform does: told first, killed if they do not.
    async fn end(&mut self) {
        for node in &mut self.nodes {
            node.ending = true;
            node.clients.close();
            node.signal(Signal::SIGCONT);
            node.signal(Signal::SIGTERM);
        }
        let until = tokio::time::Instant::now() + ENDS;
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                match tokio::time::timeout_at(until, child.wait()).await {
                    Ok(Ok(status)) if status.success() => {}
                    Ok(status) => self.crashes.push(format!(
                        "crash: a node ended with {status:?} when told to end"
                    )),
                    Err(_) => self.crashes.push("a node did not end when told to".into()),
                }
            }
            node.kill().await;
        }
    }

    fn report(&mut self, seed: u64) -> Report {
        let now = self.shared.now();
        let mut stage = self.shared.stage();
        stage.rules.end(now);
        let (mut broken, in_all) = report::breaks(&stage.rules, self.begin);
        let (service, classes, windows) = self.clients.result();
        let broken_in_all = in_all + self.crashes.len();
        broken.append(&mut self.crashes);
        let servers = self.scenario.kind.iter().map(|kind| kind.servers).sum();
        let (nodes, events) = (self.scenario.nodes, self.queue.entered());
        let load = std::mem::take(&mut stage.load);
        Report {
            seed,
            nodes,
            servers,
            service,
            classes,
            windows,
            load,
            events,
            broken,
            broken_in_all,
        }
    }
}
