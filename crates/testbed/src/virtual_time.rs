//! The driver in virtual time: a queue of events, the decision module of each node, and the world's parts. The clock
//! jumps from event to event; of two at one time the one asked for first comes first.

use std::collections::BTreeMap;

use cluster_model::list::{Call, Condition as Listed, Line, List, NodeId, Told};
use cluster_model::machine::JobId;
use cluster_model::network::{Breaks, Fate, Network, Zone};
use cluster_model::origin::{Answer as OriginAnswer, Origin, Taken as OriginTaken};
use cluster_model::rules::{Figures, Rules};
use cluster_model::server::{Answer, Ask, Cache, Taken};
use cluster_model::{Chance, Micros, chance};
use rand::Rng;
use rand::seq::SliceRandom;
use routing_policy::{
    Action, AttemptStatus, Endpoint, EndpointState, Event as ModuleEvent, ListUpdate, Policy,
    Request, RequestId, ServerId,
};

use crate::clients::{Clients, Part, Reply, spread};
use crate::deployment::{self, MAX_ATTEMPTS, ORIGIN_SPREAD, outcome};
use crate::queue::Queue;
use crate::report::{self, Counts, Report};
use crate::scenario::{Event, LEAVES, Scenario};
use crate::us;

/// The origin's id; cache servers count from 1.
const ORIGIN: ServerId = 1_000_000;
/// The clock's beginning: late enough that "long ago" is before it.
const BEGIN: Micros = 1_000_000_000;
/// From a client to a node, one way.
const CLIENT_WAY: Micros = 300;
/// A node that was told to end and has not answered all by then is killed.
const LONGEST_END: Micros = 10_000_000;
/// Whether it has is looked at so often.
const END_LOOK: Micros = 10_000;
/// A process takes so long to start.
const START: Micros = 50_000;
/// After the last first try, the world goes on until all is answered, this long at most.
const TAIL: Micros = 10_000_000;
/// What is to happen.
enum What {
    /// The next first try of a client.
    Ask,
    /// A client tries again.
    Again(u64),
    /// A client's time is up.
    Deadline(u64),
    /// A client has an answer.
    Told(u64, Reply),
    /// An attempt reaches its server.
    Reach(JobId),
    /// An attempt's answer reaches its node.
    Answer(JobId, AttemptStatus),
    /// A node stops waiting for an attempt.
    GiveUp(JobId),
    /// A cache server may have answers; void if its number is old.
    Cache(ServerId, u64),
    /// The same for the origin.
    Origin(u64),
    /// A timer of a node's module, set in one of its lives.
    Timer(NodeId, u32, u32),
    /// The list service may have answers.
    List,
    /// A node is told, in one of its lives.
    ListTold(NodeId, u32, Told),
    /// It becomes known how a server is.
    Known(Line),
    /// An event of the scenario.
    Event(usize),
    /// A server drains, ends or starts.
    Drain(ServerId),
    End(ServerId),
    Start(ServerId),
    /// A node is back.
    Back(NodeId),
    /// A stopped node goes on.
    Continue(NodeId),
    /// A zone is mended.
    Mend(Zone),
    /// The list service is back.
    ListUp,
    /// A burst is over.
    Calm(f64),
    /// A neighbour leaves a machine alone.
    Alone(ServerId),
    /// The origin's calls do not fail any more; it has its cores again.
    OriginWell,
    /// Answers come whole again.
    AnswersWhole,
    OriginQuick,
    /// A part of the clients leaves the hot key, or stops going through all keys.
    Cool(f64),
    Scanned(f64),
    /// A node is told to end, the front leaves it, and it ends once it has answered all.
    Restart(NodeId),
    Leave(NodeId, u32),
    EndNode(NodeId, u32, Micros),
    /// The front notices that a node has died, in one of its lives.
    Noticed(NodeId, u32),
}

struct Open {
    client: u64,
    ends: Micros,
    sent: u16,
    out: u16,
    over: bool,
    missed: Vec<ServerId>,
}

struct Node {
    policy: Policy,
    zone: Zone,
    up: bool,
    /// Grows with each start; what was meant for an earlier life is void.
    life: u32,
    next: RequestId,
    open: BTreeMap<RequestId, Open>,
    /// Times that it was stopped and does not yet go on, and what waits for it meanwhile.
    stops: u32,
    waiting: Vec<ModuleEvent>,
    /// Its list, and the list's version.
    list: BTreeMap<ServerId, Line>,
    version: u64,
}

struct Server {
    cache: Cache,
    kind: usize,
    zone: Zone,
    due: u64,
}

struct Job {
    node: NodeId,
    request: RequestId,
    attempt: u16,
    server: ServerId,
    client: u64,
}

struct World<'a> {
    scenario: &'a Scenario,
    now: Micros,
    ends: Micros,
    queue: Queue<What>,
    clients: Clients<'a>,
    nodes: Vec<Node>,
    /// Nodes that are up, among which the front deals tries out.
    up: Vec<NodeId>,
    servers: BTreeMap<ServerId, Server>,
    origin: Origin,
    origin_due: u64,
    list: List,
    network: Network,
    rules: Rules,
    jobs: BTreeMap<JobId, Job>,
    by_attempt: BTreeMap<(NodeId, RequestId, u16), JobId>,
    next_job: JobId,
    /// When each start of a server became known.
    known: BTreeMap<ServerId, Micros>,
    work: Chance,
    ways: Chance,
    front: Chance,
    faults: Chance,
    seeds: Chance,
    /// Attempts at each cache server.
    load: BTreeMap<u32, u64>,
    events: u64,
}

/// Plays a scenario with a seed.
pub fn play(scenario: &Scenario, seed: u64) -> Report {
    let mut world = World::new(scenario, seed);
    world.begin();
    while let Some((at, what)) = world.queue.pop() {
        if at > world.ends + TAIL {
            break;
        }
        world.now = at;
        world.events += 1;
        world.happen(what);
    }
    world.report(seed)
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let part = |part: Part| chance(seed, part as u64);
        let mut servers = BTreeMap::new();
        for (kind, spec) in scenario.kind.iter().enumerate() {
            for _ in 0..spec.servers {
                let id = servers.len() as ServerId + 1;
                let cache = Cache::new(deployment::cache(scenario, spec), 0, BEGIN);
                servers.insert(
                    id,
                    Server {
                        cache,
                        kind,
                        zone: deployment::zone(scenario, id),
                        due: 0,
                    },
                );
            }
        }
        World {
            now: BEGIN,
            ends: BEGIN + us(scenario.length),
            queue: Queue::new(),
            clients: Clients::new(scenario, seed, BEGIN),
            nodes: Vec::new(),
            up: (0..scenario.nodes).collect(),
            list: List::new(deployment::list(scenario), servers.keys().copied()),
            servers,
            origin: deployment::origin(scenario, BEGIN),
            origin_due: 0,
            network: deployment::network(scenario),
            rules: deployment::rules(scenario, 0),
            jobs: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            next_job: 0,
            known: BTreeMap::new(),
            work: part(Part::Work),
            ways: part(Part::Network),
            front: part(Part::Front),
            faults: part(Part::Faults),
            seeds: part(Part::Nodes),
            load: BTreeMap::new(),
            events: 0,
            scenario,
        }
    }

    fn begin(&mut self) {
        self.hold_at_first();
        let lines: BTreeMap<_, _> = self
            .list
            .lines()
            .into_iter()
            .map(|line| (line.server, line))
            .collect();
        for id in 0..self.scenario.nodes {
            let policy = Policy::new(deployment::settings(self.scenario, id), self.seeds.random());
            let zone = deployment::zone(self.scenario, id);
            let (list, version) = (lines.clone(), self.list.version());
            let open = BTreeMap::new();
            let (stops, waiting) = (0, Vec::new());
            self.nodes.push(Node {
                policy,
                zone,
                up: true,
                life: 0,
                next: 1,
                open,
                stops,
                waiting,
                list,
                version,
            });
            self.start_node(id);
        }
        for (i, event) in self.scenario.event.iter().enumerate() {
            self.at(BEGIN + us(event.at()), What::Event(i));
        }
        self.next_ask();
    }

    fn hold_at_first(&mut self) {
        let servers = self.lines(self.list.lines().iter());
        for (key, server) in deployment::held_at_first(self.scenario, BEGIN, servers) {
            if let Some(server) = self.servers.get_mut(&server) {
                server
                    .cache
                    .memory()
                    .store(BEGIN, key, self.scenario.load.value_bytes);
            }
        }
    }

    fn at(&mut self, at: Micros, what: What) {
        self.queue.push(at.max(self.now), what);
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Ask => self.ask(),
            What::Again(client) => self.try_node(client),
            What::Deadline(client) => self.deadline(client),
            What::Told(client, reply) => self.told(client, reply),
            What::Reach(job) => self.reach(job),
            What::Answer(job, status) => self.outcome(job, status),
            What::GiveUp(job) => self.give_up(job),
            What::Cache(server, due) => self.cache_due(server, due),
            What::Origin(due) => self.origin_due(due),
            What::Timer(node, life, token) if self.lives(node, life) => {
                self.tell(node, ModuleEvent::Timer(token))
            }
            What::List => {
                for (node, told) in self.list.work(self.now) {
                    self.list_told(self.now, node, told);
                }
                self.list_due();
            }
            What::ListTold(node, life, told) if self.lives(node, life) => self.hear(node, told),
            What::Timer(..) | What::ListTold(..) => {}
            What::Known(line) => self.become_known(line),
            What::Event(number) => self.event(number),
            What::Drain(server) => {
                self.servers
                    .get_mut(&server)
                    .into_iter()
                    .for_each(|s| s.cache.drain());
                self.notice(server, Listed::Leaving, 0);
            }
            What::End(server) => self.end_server(server),
            What::Start(server) => self.start_server(server),
            What::Back(node) => self.node_back(node),
            What::Continue(node) => {
                let its = &mut self.nodes[node as usize];
                its.stops = its.stops.saturating_sub(1);
                if its.stops == 0 {
                    let waiting = std::mem::take(&mut its.waiting);
                    waiting.into_iter().for_each(|event| self.tell(node, event));
                }
            }
            What::Mend(zone) => self.network.isolate(zone, self.scenario.zones, false),
            What::ListUp => drop(self.list.set_up(self.now, true)),
            What::Calm(factor) => self.clients.quicken(1.0 / factor),
            What::Alone(server) => self.take(server, 0.0),
            What::OriginWell => self.origin.fail(None),
            What::AnswersWhole => self.network.break_answers(Breaks::default()),
            What::OriginQuick => {
                self.origin.take(self.now, 0.0);
                self.origin_again();
            }
            What::Cool(part) => self.clients.heat(-part),
            What::Scanned(part) => self.clients.scan(-part),
            What::Restart(node) => {
                let life = self.nodes[node as usize].life;
                if self.nodes[node as usize].up {
                    self.at(
                        self.now + LEAVES.as_micros() as Micros,
                        What::Leave(node, life),
                    );
                }
            }
            What::Leave(node, life) if self.lives(node, life) => {
                self.up.retain(|up| *up != node);
                self.happen(What::EndNode(node, life, self.now));
            }
            What::EndNode(node, life, since) if self.lives(node, life) => {
                // A platform kills what does not end.
                if self.nodes[node as usize].open.is_empty() || self.now > since + LONGEST_END {
                    self.kill_node(node);
                    self.at(self.now + START, What::Back(node));
                } else {
                    self.at(self.now + END_LOOK, What::EndNode(node, life, since));
                }
            }
            What::Leave(..) | What::EndNode(..) => {}
            What::Noticed(node, life) => {
                let its = &self.nodes[node as usize];
                if !its.up && its.life == life {
                    self.up.retain(|up| *up != node);
                }
            }
        }
    }

    fn lives(&self, node: NodeId, life: u32) -> bool {
        let node = &self.nodes[node as usize];
        node.up && node.life == life
    }

    // Clients.

    fn next_ask(&mut self) {
        if let Some(at) = self.clients.next_first(self.now) {
            self.at(at, What::Ask);
        }
    }

    fn ask(&mut self) {
        self.next_ask();
        let id = self.clients.ask(self.now);
        let leaves = self
            .clients
            .get(id)
            .map_or(self.now, |client| client.leaves);
        self.at(leaves, What::Deadline(id));
        self.try_node(id);
    }

    fn try_node(&mut self, id: u64) {
        let Some(client) = self.clients.begin_try(id) else {
            return;
        };
        if self.up.is_empty() {
            return self.at(self.now + CLIENT_WAY, What::Told(id, Reply::Failed));
        }
        let node = self.up[self.front.random_range(0..self.up.len())];
        if !self.nodes[node as usize].up {
            // Its connection is refused.
            return self.at(self.now + 2 * CLIENT_WAY, What::Told(id, Reply::Failed));
        }
        // The way to the node takes some of the time that it is told.
        let left = client.deadline.saturating_sub(self.now + CLIENT_WAY);
        let n = &mut self.nodes[node as usize];
        let request = n.next;
        n.next += 1;
        let open = Open {
            client: id,
            ends: self.now + left,
            sent: 0,
            out: 0,
            over: false,
            missed: Vec::new(),
        };
        n.open.insert(request, open);
        self.clients.with_node(id, node, request);
        let effect = deployment::effect(self.scenario, client.class);
        self.rules.taken((node, request), self.now + left, effect);
        let (class, key, write) = (
            client.class,
            client.key,
            self.scenario.class[client.class].write,
        );
        let request = Request {
            id: request,
            class,
            key,
            write,
            remaining_deadline: left,
            ..Request::default()
        };
        self.tell(node, ModuleEvent::Request(request));
    }

    fn told(&mut self, id: u64, reply: Reply) {
        if let Some(again) = self.clients.told(self.now, id, reply) {
            self.at(again, What::Again(id));
        }
    }

    fn deadline(&mut self, id: u64) {
        let Some((node, request)) = self.clients.time_up(id) else {
            return;
        };
        self.rules.client_gone(self.now, (node, request));
        // It has waited to the end and is owed nothing more: the node hears that it has gone.
        if let Some(open) = self.nodes[node as usize].open.get_mut(&request)
            && !open.over
        {
            open.over = true;
            self.tell(node, ModuleEvent::ClientGone(request));
            self.close(node, request);
        }
    }

    /// Counts something for the request of a client, or for now where that has ended.
    fn count(&mut self, client: u64, add: impl FnOnce(&mut Counts)) {
        let first = self
            .clients
            .get(client)
            .map_or(self.now, |client| client.first);
        self.clients.count(first, add);
    }

    // Nodes.

    fn start_node(&mut self, node: NodeId) {
        let lines: Vec<_> = self.nodes[node as usize].list.values().copied().collect();
        for line in &lines {
            self.rules.told(
                self.now,
                node,
                line.server,
                line.condition == Listed::Active,
            );
        }
        let servers = self.lines(lines.iter());
        self.tell(
            node,
            ModuleEvent::EndpointList {
                update: ListUpdate::Cached,
                endpoints: servers,
            },
        );
    }

    fn lines<'l>(&self, lines: impl Iterator<Item = &'l Line>) -> Vec<Endpoint> {
        let line = |line: &Line| {
            let server = self.servers.get(&line.server);
            Endpoint {
                id: line.server,
                zone: server.map_or(0, |server| server.zone),
                kind: server.map_or(0, |server| server.kind as u16),
                started: line.started,
                state: match line.condition {
                    Listed::Active => EndpointState::Ready,
                    Listed::Leaving => EndpointState::Draining,
                    Listed::Left => EndpointState::Removed,
                },
                ..Endpoint::default()
            }
        };
        let origin = Endpoint {
            id: ORIGIN,
            kind: self.scenario.kind.len() as u16,
            ..Endpoint::default()
        };
        lines.map(line).chain([origin]).collect()
    }

    fn tell(&mut self, node: NodeId, event: ModuleEvent) {
        let its = &mut self.nodes[node as usize];
        if its.stops > 0 {
            return its.waiting.push(event);
        }
        let mut actions = Vec::new();
        its.policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: NodeId, action: Action) {
        let life = self.nodes[node as usize].life;
        match action {
            Action::Send {
                request, server, ..
            } => self.send(node, request, server),
            Action::Reject {
                request,
                retry_after,
            } => self.answer(node, request, Reply::Refused(retry_after)),
            Action::Fail(request) => self.answer(node, request, Reply::Failed),
            Action::Cancel { request, attempt } => self.cancel(node, request, attempt),
            Action::Timer { after, token } => {
                self.at(self.now + after.max(1), What::Timer(node, life, token))
            }
            Action::Subscribe(true) => {
                let after = self.nodes[node as usize].version;
                self.call_list(node, Call::Watch { after });
            }
            Action::Subscribe(false) => self.list.hang_up(node),
            Action::FetchEndpoints => self.call_list(node, Call::Whole),
            // Nothing here has a price on connections, and no peer or probe is modelled.
            Action::CloseIdle(_)
            | Action::CheckHealth(_)
            | Action::SendToPeer { .. }
            | Action::Log(_)
            | Action::Fault(_) => {}
        }
    }

    fn answer(&mut self, node: NodeId, request: RequestId, reply: Reply) {
        let Some(open) = self.nodes[node as usize]
            .open
            .get_mut(&request)
            .filter(|open| !open.over)
        else {
            return;
        };
        open.over = true;
        let client = open.client;
        self.rules.answered(
            self.now,
            (node, request),
            matches!(reply, Reply::Refused(_)),
        );
        self.at(self.now + CLIENT_WAY, What::Told(client, reply));
        self.close(node, request);
    }

    /// Forgets a request that is over and has no attempt out.
    fn close(&mut self, node: NodeId, request: RequestId) {
        let open = &mut self.nodes[node as usize].open;
        if open
            .get(&request)
            .is_some_and(|open| open.over && open.out == 0)
        {
            open.remove(&request);
            self.rules.forget((node, request));
        }
    }

    // Attempts.

    fn send(&mut self, node: NodeId, request: RequestId, server: ServerId) {
        let n = &mut self.nodes[node as usize];
        let Some(open) = n.open.get_mut(&request) else {
            return;
        };
        let (attempt, client, ends) = (open.sent, open.client, open.ends);
        open.sent += 1;
        open.out += 1;
        let allowed = !open.over && u32::from(attempt) < MAX_ATTEMPTS && self.now < ends;
        let from = n.zone;
        let job = self.next_job;
        self.next_job += 1;
        self.jobs.insert(
            job,
            Job {
                node,
                request,
                attempt,
                server,
                client,
            },
        );
        self.by_attempt.insert((node, request, attempt), job);
        if !allowed {
            return self.at(self.now, What::Answer(job, AttemptStatus::NotSent));
        }
        self.rules.sent(self.now, (node, request), attempt, server);
        let to_origin = server == ORIGIN;
        if !to_origin {
            *self.load.entry(server).or_default() += 1;
        }
        self.count(client, |counts| {
            *(if to_origin {
                &mut counts.origin
            } else {
                &mut counts.attempts
            }) += 1
        });
        if let Some(way) = self.way(from, server) {
            self.at(self.now + way, What::Reach(job));
        }
        self.at(ends, What::GiveUp(job));
    }

    /// Time from a zone to a server, `None` where the message is lost. The origin is in every zone.
    fn way(&mut self, zone: Zone, server: ServerId) -> Option<Micros> {
        let there = self.servers.get(&server).map_or(zone, |server| server.zone);
        self.network.carry(zone, there, &mut self.ways)
    }

    fn reach(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(client) = self.clients.get(job.client) else {
            // Its client is gone, and with it what the work would be; the node still gives it up by itself.
            return;
        };
        let (server, node) = (job.server, job.node);
        if server == ORIGIN {
            let work = us(self.scenario.origin.work) as f64 * spread(ORIGIN_SPREAD, &mut self.work);
            let taken = self.origin.arrive(self.now, id, work, &mut self.work);
            self.origin_again();
            return match taken {
                OriginTaken::Held => {}
                OriginTaken::Answered(answer) => self.back(id, origin_status(answer)),
                OriginTaken::FellOver(held) => held
                    .into_iter()
                    .chain([id])
                    .for_each(|job| self.back(job, AttemptStatus::Reset)),
            };
        }
        let started = self.servers.get(&server).map_or(0, |s| s.cache.started());
        let heard = self.nodes[node as usize]
            .list
            .get(&server)
            .is_some_and(|line| line.started >= started);
        let known = self
            .known
            .get(&server)
            .is_some_and(|at| self.now >= at + Figures::default().told_after);
        let ask = Ask {
            key: client.key,
            work: client.work,
            knew: heard || known,
        };
        let Some(s) = self.servers.get_mut(&server) else {
            return self.back(id, AttemptStatus::ConnectFailed);
        };
        match s.cache.arrive(self.now, id, ask) {
            Taken::Held => {}
            Taken::Answered(Answer::Refused) => self.back(id, AttemptStatus::ConnectFailed),
            Taken::Answered(_) => {
                self.count(self.jobs[&id].client, |counts| counts.turned_away += 1);
                self.back(id, AttemptStatus::Rejected);
            }
            Taken::FellOver(held) => {
                let fall = s.cache.fall();
                fall.into_iter()
                    .for_each(|fall| self.rules.fell(server, fall));
                held.into_iter()
                    .chain([id])
                    .for_each(|job| self.back(job, AttemptStatus::Reset));
                self.notice(server, Listed::Left, 0);
            }
        }
        self.cache_again(server);
    }

    /// An answer sets out to its node, if the way is open.
    fn back(&mut self, id: JobId, status: AttemptStatus) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (zone, server) = (self.nodes[job.node as usize].zone, job.server);
        let there = self.servers.get(&server).map_or(zone, |server| server.zone);
        let fate = self.network.fate(&mut self.ways);
        if let Some(way) = self.network.carry(there, zone, &mut self.ways) {
            match fate {
                Fate::Lost => {}
                Fate::Whole => self.at(self.now + way, What::Answer(id, status)),
                // A node ends a connection that brings rubbish, which is the same to its module.
                Fate::Spoilt | Fate::Reset => {
                    self.at(self.now + way, What::Answer(id, AttemptStatus::Reset))
                }
            }
        }
    }

    fn outcome(&mut self, id: JobId, status: AttemptStatus) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let Job {
            node,
            request,
            attempt,
            server,
            ..
        } = job;
        self.by_attempt.remove(&(node, request, attempt));
        if status.proves_not_run() {
            self.rules.never_ran((node, request), attempt);
        }
        let Some(open) = self.nodes[node as usize].open.get_mut(&request) else {
            return;
        };
        open.out -= 1;
        if status == AttemptStatus::Miss {
            open.missed.push(server);
        }
        let over = open.over || status == AttemptStatus::Served;
        if status == AttemptStatus::Served {
            self.answer(node, request, Reply::Served);
        }
        let event = outcome(request, attempt, server, status, over);
        self.tell(node, ModuleEvent::AttemptOutcome(event));
        self.close(node, request);
    }

    fn give_up(&mut self, id: JobId) {
        if self.jobs.contains_key(&id) {
            self.call_off(id);
            self.outcome(id, AttemptStatus::TimedOut);
        }
    }

    fn cancel(&mut self, node: NodeId, request: RequestId, attempt: u16) {
        if let Some(id) = self.by_attempt.get(&(node, request, attempt)).copied() {
            self.call_off(id);
            // The module hears of it as an event of its own, after what it is at now.
            self.at(self.now, What::Answer(id, AttemptStatus::Cancelled));
        }
    }

    /// The server of an attempt hears that nobody waits for it.
    fn call_off(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let server = job.server;
        if let Some(s) = self.servers.get_mut(&server) {
            s.cache.cancel(self.now, id);
            self.cache_again(server);
        }
    }

    fn cache_again(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.due += 1;
        let (due, number) = (server.cache.due(), server.due);
        if let Some(due) = due {
            self.at(due, What::Cache(id, number));
        }
    }

    fn cache_due(&mut self, id: ServerId, number: u64) {
        let Some(server) = self
            .servers
            .get_mut(&id)
            .filter(|server| server.due == number)
        else {
            return;
        };
        for (job, answer) in server.cache.finish(self.now) {
            let status = if answer == Answer::Hit {
                AttemptStatus::Served
            } else {
                AttemptStatus::Miss
            };
            self.back(job, status);
        }
        self.cache_again(id);
    }

    fn origin_again(&mut self) {
        self.origin_due += 1;
        if let Some(due) = self.origin.due() {
            self.at(due, What::Origin(self.origin_due));
        }
    }

    fn origin_due(&mut self, number: u64) {
        if number != self.origin_due {
            return;
        }
        for (job, answer) in self.origin.finish(self.now) {
            if answer == OriginAnswer::Done {
                self.fetched(job);
            }
            self.back(job, origin_status(answer));
        }
        self.origin_again();
    }

    /// The origin has answered: a read that is waited for is stored where it missed, a write voids the copies.
    fn fetched(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(client) = self.clients.get(job.client) else {
            return;
        };
        let (key, bytes) = (client.key, self.scenario.load.value_bytes);
        if self.scenario.class[client.class].write {
            self.servers
                .values_mut()
                .for_each(|server| server.cache.memory().drop_key(key));
            return;
        }
        let missed = self.nodes[job.node as usize]
            .open
            .get(&job.request)
            .map_or(&[][..], |open| &open.missed);
        for server in missed.iter().take(2) {
            if let Some(server) = self
                .servers
                .get_mut(server)
                .filter(|server| server.cache.up())
            {
                server.cache.memory().store(self.now, key, bytes);
            }
        }
    }

    // The list.

    fn call_list(&mut self, node: NodeId, call: Call) {
        if let Some(told) = self.list.call(self.now, node, call) {
            // Not at once: a refused connection takes its way there and back.
            self.list_told(self.now + CLIENT_WAY, node, told);
        }
        self.list_due();
    }

    fn list_due(&mut self) {
        if let Some(due) = self.list.due() {
            self.at(due, What::List);
        }
    }

    fn list_told(&mut self, at: Micros, node: NodeId, told: Told) {
        let life = self.nodes[node as usize].life;
        self.at(at, What::ListTold(node, life, told));
    }

    fn hear(&mut self, node: NodeId, told: Told) {
        let Told::Lines {
            version,
            whole,
            lines,
        } = told
        else {
            let event = ModuleEvent::EndpointList {
                update: ListUpdate::Failed,
                endpoints: Vec::new(),
            };
            return self.tell(node, event);
        };
        let n = &mut self.nodes[node as usize];
        if !whole && version < n.version {
            return;
        }
        n.version = version;
        if whole {
            let gone: Vec<_> = n
                .list
                .keys()
                .copied()
                .filter(|id| !lines.iter().any(|l| l.server == *id))
                .collect();
            n.list.clear();
            gone.into_iter()
                .for_each(|server| self.rules.told(self.now, node, server, false));
        }
        for line in &lines {
            self.nodes[node as usize].list.insert(line.server, *line);
            self.rules.told(
                self.now,
                node,
                line.server,
                line.condition == Listed::Active,
            );
        }
        let kind = if whole {
            ListUpdate::Full
        } else {
            ListUpdate::Delta
        };
        let servers = self.lines(lines.iter());
        self.tell(
            node,
            ModuleEvent::EndpointList {
                update: kind,
                endpoints: servers,
            },
        );
    }

    /// How a server is becomes known some time later.
    fn notice(&mut self, server: ServerId, condition: Listed, started: Micros) {
        let at = self.now + us(self.scenario.list.notice);
        self.at(
            at,
            What::Known(Line {
                server,
                condition,
                started,
            }),
        );
    }

    fn become_known(&mut self, line: Line) {
        let ready = line.condition == Listed::Active;
        self.rules.known(self.now, line.server, ready);
        if ready {
            self.known.insert(line.server, self.now);
        }
        for (at, node, told) in self.list.change(self.now, line) {
            self.list_told(at, node, told);
        }
    }

    // What goes wrong.

    fn event(&mut self, number: usize) {
        match self.scenario.event[number].clone() {
            Event::Replace {
                part, over, drain, ..
            } => {
                let servers = self.some_servers(part);
                let count = servers.len().max(1) as Micros;
                for (i, server) in servers.into_iter().enumerate() {
                    let at = self.now + us(over) * i as Micros / count;
                    self.at(at, What::Drain(server));
                    self.at(at + us(drain), What::End(server));
                    // What takes its place is there a little before it goes.
                    let id = self.new_server(server);
                    self.at(at, What::Start(id));
                }
            }
            Event::KillNodes { part, back, .. } => {
                for node in self.some_nodes(part) {
                    self.kill_node(node);
                    self.at(self.now + us(back), What::Back(node));
                }
            }
            Event::StopNodes { part, lasts, .. } => {
                for node in self.some_nodes(part) {
                    self.nodes[node as usize].stops += 1;
                    self.at(self.now + us(lasts), What::Continue(node));
                }
            }
            Event::RestartNodes { part, over, .. } => {
                let nodes = self.some_nodes(part);
                let count = nodes.len().max(1) as Micros;
                for (i, node) in nodes.into_iter().enumerate() {
                    self.at(
                        self.now + us(over) * i as Micros / count,
                        What::Restart(node),
                    );
                }
            }
            Event::MoveList { .. } => {
                self.nodes.iter_mut().for_each(|node| node.version = 0);
                for (node, told) in self.list.move_away() {
                    self.list_told(self.now, node, told);
                }
            }
            Event::CutZone { zone, lasts, .. } => {
                self.network.isolate(zone, self.scenario.zones, true);
                self.at(self.now + us(lasts), What::Mend(zone));
            }
            Event::LoseServers { part, back, .. } => {
                for server in self.some_servers(part) {
                    self.end_server(server);
                    self.at(self.now + us(back), What::Start(server));
                }
            }
            Event::ListDown { lasts, .. } => {
                for (node, told) in self.list.set_up(self.now, false) {
                    self.list_told(self.now, node, told);
                }
                self.at(self.now + us(lasts), What::ListUp);
            }
            Event::Burst { factor, lasts, .. } => {
                self.clients.quicken(factor);
                self.at(self.now + us(lasts), What::Calm(factor));
            }
            Event::OriginFails {
                part, how, lasts, ..
            } => {
                self.origin.fail(Some((deployment::fault(how), part)));
                self.at(self.now + us(lasts), What::OriginWell);
            }
            Event::BreakAnswers {
                lost,
                spoilt,
                reset,
                lasts,
                ..
            } => {
                self.network.break_answers(Breaks {
                    lost,
                    spoilt,
                    reset,
                });
                self.at(self.now + us(lasts), What::AnswersWhole);
            }
            // What is no command never reaches a module.
            Event::Rubbish { .. } => {}
            Event::OriginSlow { taken, lasts, .. } => {
                self.origin.take(self.now, taken);
                self.origin_again();
                self.at(self.now + us(lasts), What::OriginQuick);
            }
            Event::HotKey { part, lasts, .. } => {
                self.clients.heat(part);
                self.at(self.now + us(lasts), What::Cool(part));
            }
            Event::Scan { part, lasts, .. } => {
                self.clients.scan(part);
                self.at(self.now + us(lasts), What::Scanned(part));
            }
            Event::Neighbour {
                part, taken, lasts, ..
            } => {
                for server in self.some_servers(part) {
                    self.take(server, taken);
                    self.at(self.now + us(lasts), What::Alone(server));
                }
            }
        }
    }

    /// A part of the nodes, by chance.
    fn some_nodes(&mut self, part: f64) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = (0..self.nodes.len() as NodeId).collect();
        nodes.shuffle(&mut self.faults);
        nodes.truncate((nodes.len() as f64 * part).round() as usize);
        nodes
    }

    /// A part of the servers that are up, by chance.
    fn some_servers(&mut self, part: f64) -> Vec<ServerId> {
        let up = self
            .servers
            .iter()
            .filter(|(_, server)| server.cache.up())
            .map(|(id, _)| *id);
        let mut up: Vec<_> = up.collect();
        up.shuffle(&mut self.faults);
        up.truncate((up.len() as f64 * part).round() as usize);
        up
    }

    fn take(&mut self, id: ServerId, part: f64) {
        self.servers
            .get_mut(&id)
            .into_iter()
            .for_each(|server| server.cache.take(self.now, part));
        self.cache_again(id);
    }

    /// A machine of the same kind that has not started yet.
    fn new_server(&mut self, like: ServerId) -> ServerId {
        let (kind, zone) = self
            .servers
            .get(&like)
            .map_or((0, 0), |server| (server.kind, server.zone));
        let id = self.servers.last_key_value().map_or(1, |(id, _)| id + 1);
        let mut cache = Cache::new(
            deployment::cache(self.scenario, &self.scenario.kind[kind]),
            self.now,
            self.now,
        );
        cache.stop();
        self.servers.insert(
            id,
            Server {
                cache,
                kind,
                zone,
                due: 0,
            },
        );
        id
    }

    fn start_server(&mut self, id: ServerId) {
        let now = self.now;
        self.servers
            .get_mut(&id)
            .into_iter()
            .for_each(|server| server.cache.restart(now));
        self.notice(id, Listed::Active, now);
    }

    fn end_server(&mut self, id: ServerId) {
        let held = self
            .servers
            .get_mut(&id)
            .map(|server| server.cache.stop())
            .unwrap_or_default();
        held.into_iter()
            .for_each(|job| self.back(job, AttemptStatus::Reset));
        self.notice(id, Listed::Left, 0);
    }

    fn kill_node(&mut self, id: NodeId) {
        let node = &mut self.nodes[id as usize];
        if !node.up {
            return;
        }
        node.up = false;
        node.life += 1;
        let noticed = What::Noticed(id, node.life);
        let open = std::mem::take(&mut node.open);
        self.at(self.now + us(self.scenario.front.notice), noticed);
        self.list.hang_up(id);
        self.rules.killed(id);
        let jobs: Vec<_> = self
            .by_attempt
            .range((id, 0, 0)..(id + 1, 0, 0))
            .map(|(_, job)| *job)
            .collect();
        for job in jobs {
            self.call_off(job);
            if let Some(Job {
                node,
                request,
                attempt,
                ..
            }) = self.jobs.remove(&job)
            {
                self.by_attempt.remove(&(node, request, attempt));
            }
        }
        for open in open.into_values().filter(|open| !open.over) {
            self.at(
                self.now + CLIENT_WAY,
                What::Told(open.client, Reply::Failed),
            );
        }
    }

    fn node_back(&mut self, id: NodeId) {
        // Two faults may each bring it back.
        if self.nodes[id as usize].up {
            return;
        }
        let policy = Policy::new(deployment::settings(self.scenario, id), self.seeds.random());
        let node = &mut self.nodes[id as usize];
        (node.policy, node.up, node.next) = (policy, true, 1);
        (node.stops, node.waiting) = (0, Vec::new());
        if !self.up.contains(&id) {
            self.up.push(id);
        }
        self.start_node(id);
    }

    fn report(mut self, seed: u64) -> Report {
        self.rules.end(self.now);
        let (service, classes, windows) = self.clients.result();
        let (broken, broken_in_all) = report::breaks(&self.rules, BEGIN);
        Report {
            seed,
            nodes: self.scenario.nodes,
            servers: self.scenario.kind.iter().map(|kind| kind.servers).sum(),
            service,
            classes,
            windows,
            load: self.load,
            events: self.events,
            broken,
            broken_in_all,
        }
    }
}

/// What an answer of the origin is to a node.
fn origin_status(answer: OriginAnswer) -> AttemptStatus {
    match answer {
        OriginAnswer::Done => AttemptStatus::Served,
        OriginAnswer::Failed => AttemptStatus::Error,
        OriginAnswer::Unprocessed => AttemptStatus::Rejected,
        OriginAnswer::Refused => AttemptStatus::ConnectFailed,
    }
}
