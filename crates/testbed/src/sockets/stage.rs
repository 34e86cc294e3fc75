//! The world behind the sockets: cache servers, the origin, the list and the rules, with who waits for what. All times
//! are Unix microseconds, which the list's `since_ms` needs. One lock guards it; nothing waits while holding it.

use std::collections::BTreeMap;

use cluster_model::list::{Call, Condition, Line, List, NodeId, Told};
use cluster_model::machine::JobId;
use cluster_model::network::{Fate, Network, Zone};
use cluster_model::origin::{Answer as OriginAnswer, Origin, Taken as OriginTaken};
use cluster_model::rules::{Figures, Rules};
use cluster_model::server::{Answer, Ask, Cache, Taken};
use cluster_model::{Chance, Micros, chance};
use rand::seq::SliceRandom;
use tokio::sync::{mpsc, oneshot};

use crate::clients::{Client, Part, spread};
use crate::deployment::{self, ORIGIN_SPREAD};
use crate::scenario::Scenario;
use crate::us;

/// Names a cache server; they count from 1.
pub type Number = u32;
/// An attempt that was on its way when its request ended breaks no rule: the protocol's slack on sockets.
const SLACK: Micros = 50_000;
/// What was held up by a cut comes within this time after it was mended.
const HELD_UP: Micros = 500_000;
/// Lists that wait to be written to one watch; one that is slower is ended and begins anew.
const UNWRITTEN: usize = 64;

/// What a cache server or the origin says to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// The value.
    Value,
    /// It lacks the key.
    Miss,
    /// It turned the attempt away.
    Busy,
    /// The origin failed, and may have run.
    Failed,
    /// Its process has died, or its connection is reset.
    Died,
    /// Nothing, and the connection stays.
    Nothing,
    /// Rubbish.
    Rubbish,
}

fn origin_says(answer: OriginAnswer) -> Said {
    match answer {
        OriginAnswer::Done => Said::Value,
        OriginAnswer::Failed => Said::Failed,
        OriginAnswer::Unprocessed => Said::Busy,
        OriginAnswer::Refused => Said::Died,
    }
}

/// A cache server.
pub struct Server {
    /// The world's part of it.
    pub cache: Cache,
    /// Its kind, by the place in the scenario.
    pub kind: usize,
    /// Its zone.
    pub zone: Zone,
}

/// A try of a client as the servers know it.
struct Try {
    node: NodeId,
    class: usize,
    key: u64,
    work: f64,
    first: Micros,
    begun: Micros,
    attempts: u16,
    out: u16,
    missed: Vec<Number>,
    ended: Option<Micros>,
}

struct Job {
    number: u64,
    attempt: u16,
    say: oneshot::Sender<Said>,
}

/// An attempt that a connection waits for.
pub struct Attempt {
    /// Its job.
    pub job: JobId,
    /// Its answer.
    pub said: oneshot::Receiver<Said>,
}

/// What happened to a count, for the clients' report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counted {
    /// An attempt at a cache server.
    Attempt,
    /// One that was turned away.
    TurnedAway,
    /// A call to the origin.
    Origin,
}

/// The world behind the sockets.
pub struct Stage {
    scenario: Scenario,
    /// Its cache servers.
    pub servers: BTreeMap<Number, Server>,
    /// The origin.
    pub origin: Origin,
    /// Which answers break; the ways themselves are between the doors.
    pub network: Network,
    /// The list.
    pub list: List,
    /// The rules.
    pub rules: Rules,
    tries: BTreeMap<u64, Try>,
    jobs: BTreeMap<JobId, (Option<Number>, Job)>,
    next_job: JobId,
    /// Who waits for the list service.
    waiting: BTreeMap<NodeId, mpsc::Sender<Told>>,
    /// What each node holds of the list, as far as it was written to it, and the version.
    held: BTreeMap<NodeId, (u64, BTreeMap<Number, Line>)>,
    /// When each start became known.
    known: BTreeMap<Number, Micros>,
    /// The latest cut of each zone: when it was cut off, and when mended, at first in a far future.
    cuts: BTreeMap<Zone, (Micros, Micros)>,
    work: Chance,
    faults: Chance,
    /// Counts for the requests that were first tried at a time, until the driver takes them.
    pub counted: Vec<(Micros, Counted)>,
    /// Attempts at each cache server.
    pub load: BTreeMap<Number, u64>,
    /// Servers that have fallen, until the driver takes them.
    pub fallen: Vec<Number>,
}

impl Stage {
    /// The world of a scenario.
    pub fn new(scenario: &Scenario, seed: u64, now: Micros) -> Stage {
        let mut servers = BTreeMap::new();
        for (kind, spec) in scenario.kind.iter().enumerate() {
            for _ in 0..spec.servers {
                let number = servers.len() as Number + 1;
                let cache = Cache::new(deployment::cache(scenario, spec), 0, now);
                servers.insert(
                    number,
                    Server {
                        cache,
                        kind,
                        zone: deployment::zone(scenario, number),
                    },
                );
            }
        }
        Stage {
            network: deployment::network(scenario),
            list: List::new(deployment::list(scenario), servers.keys().copied()),
            servers,
            origin: deployment::origin(scenario, now),
            rules: deployment::rules(scenario, SLACK),
            tries: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            known: BTreeMap::new(),
            cuts: BTreeMap::new(),
            work: chance(seed, Part::Work as u64 + 100),
            faults: chance(seed, Part::Faults as u64),
            counted: Vec::new(),
            load: BTreeMap::new(),
            fallen: Vec::new(),
            scenario: scenario.clone(),
        }
    }

    // Tries of clients.

    /// A client writes a try to a node, which owes it an answer until its deadline.
    pub fn begin_try(&mut self, now: Micros, number: u64, node: NodeId, client: &Client) {
        let effect = deployment::effect(&self.scenario, client.class);
        self.rules.taken((node, number), client.deadline, effect);
        let (class, key, work, first) = (client.class, client.key, client.work, client.first);
        let (missed, ended) = (Vec::new(), None);
        let begun = now;
        self.tries.insert(
            number,
            Try {
                node,
                class,
                key,
                work,
                first,
                begun,
                attempts: 0,
                out: 0,
                missed,
                ended,
            },
        );
    }

    /// A try has its answer; whether it is a refusal.
    pub fn answered(&mut self, now: Micros, number: u64, refused: bool) {
        let Some(node) = self.end_try(now, number) else {
            return;
        };
        self.rules.answered(now, (node, number), refused);
        self.forget(now, number);
    }

    /// Nothing is owed for a try any more: its client has gone, or its node was killed.
    pub fn gone(&mut self, now: Micros, number: u64) {
        let Some(node) = self.end_try(now, number) else {
            return;
        };
        self.rules.client_gone(now, (node, number));
        self.forget(now, number);
    }

    /// A try's connection was ended by its node without an answer.
    pub fn broken_off(&mut self, now: Micros, number: u64) {
        let Some(node) = self.end_try(now, number) else {
            return;
        };
        self.rules.broken_off(now, (node, number));
        self.forget(now, number);
    }

    fn end_try(&mut self, now: Micros, number: u64) -> Option<NodeId> {
        let ended = self.tries.get_mut(&number)?;
        ended.ended.get_or_insert(now);
        Some(ended.node)
    }

    /// Forgets a try that ended some time ago and has no attempt out.
    fn forget(&mut self, now: Micros, number: u64) {
        let over = |t: &Try| t.out == 0 && t.ended.is_some_and(|ended| ended + 2 * SLACK < now);
        if self.tries.get(&number).is_some_and(over)
            && let Some(t) = self.tries.remove(&number)
        {
            self.rules.forget((t.node, number));
        }
    }

    /// Forgets all that is over.
    pub fn sweep(&mut self, now: Micros) {
        let over: Vec<u64> = self.tries.keys().copied().collect();
        over.into_iter().for_each(|number| self.forget(now, number));
    }

    // Attempts.

    /// An attempt of a try reaches a cache server; `None` where the try is not known.
    pub fn attempt(&mut self, now: Micros, server: Number, number: u64) -> Option<Attempt> {
        let (node, attempt) = self.sent(now, number, server)?;
        let t = self.tries.get(&number)?;
        let (key, work, first) = (t.key, t.work, t.first);
        self.counted.push((first, Counted::Attempt));
        *self.load.entry(server).or_default() += 1;
        let s = self.servers.get(&server)?;
        let started = s.cache.started();
        let line = self.held.get(&node).and_then(|(_, held)| held.get(&server));
        let heard = line.is_some_and(|line| line.started >= started);
        let known = self
            .known
            .get(&server)
            .is_some_and(|at| now >= at + Figures::default().told_after);
        let (job, said) = self.job(Some(server), number, attempt);
        let ask = Ask {
            key,
            work,
            knew: heard || known,
        };
        match self.servers.get_mut(&server)?.cache.arrive(now, job, ask) {
            Taken::Held => {}
            Taken::Answered(Answer::Refused) => self.say(now, job, Said::Died),
            Taken::Answered(_) => {
                self.counted.push((first, Counted::TurnedAway));
                self.say(now, job, Said::Busy);
            }
            Taken::FellOver(held) => {
                let fall = self.servers.get(&server).and_then(|s| s.cache.fall());
                fall.into_iter()
                    .for_each(|fall| self.rules.fell(server, fall));
                held.into_iter()
                    .chain([job])
                    .for_each(|job| self.say(now, job, Said::Died));
                self.fallen.push(server);
            }
        }
        Some(Attempt { job, said })
    }

    /// The same for the origin.
    pub fn origin_call(&mut self, now: Micros, number: u64) -> Option<Attempt> {
        let (_, attempt) = self.sent(now, number, 0)?;
        let first = self.tries.get(&number)?.first;
        self.counted.push((first, Counted::Origin));
        let work = us(self.scenario.origin.work) as f64 * spread(ORIGIN_SPREAD, &mut self.work);
        let (job, said) = self.job(None, number, attempt);
        match self.origin.arrive(now, job, work, &mut self.work) {
            OriginTaken::Held => {}
            OriginTaken::Answered(answer) => self.say(now, job, origin_says(answer)),
            OriginTaken::FellOver(held) => held
                .into_iter()
                .chain([job])
                .for_each(|job| self.say(now, job, Said::Died)),
        }
        Some(Attempt { job, said })
    }

    fn sent(&mut self, now: Micros, number: u64, server: Number) -> Option<(NodeId, u16)> {
        let t = self.tries.get_mut(&number)?;
        let attempt = t.attempts;
        (t.attempts, t.out) = (t.attempts + 1, t.out + 1);
        // It was sent before it came.
        let near = deployment::zone(&self.scenario, t.node);
        let there = self.servers.get(&server).map_or(near, |server| server.zone);
        let network = &self.scenario.network;
        let mut sent = now
            - us(if near == there {
                network.same
            } else {
                network.cross
            });
        // What a cut has held up was sent at some time since the cut.
        let cuts = if near == there {
            &[][..]
        } else {
            &[near, there][..]
        };
        for (cut, mended) in cuts.iter().filter_map(|zone| self.cuts.get(zone)) {
            if now < mended + HELD_UP {
                sent = sent.min(t.begun.max(*cut));
            }
        }
        self.rules.sent(sent, (t.node, number), attempt, server);
        Some((t.node, attempt))
    }

    fn job(
        &mut self,
        server: Option<Number>,
        number: u64,
        attempt: u16,
    ) -> (JobId, oneshot::Receiver<Said>) {
        let (say, said) = oneshot::channel();
        self.next_job += 1;
        self.jobs.insert(
            self.next_job,
            (
                server,
                Job {
                    number,
                    attempt,
                    say,
                },
            ),
        );
        (self.next_job, said)
    }

    /// The connection of an attempt has ended before its answer. The origin works on.
    pub fn cancel(&mut self, now: Micros, job: JobId) {
        let Some((Some(server), _)) = self.jobs.get(&job) else {
            return;
        };
        let dropped = self
            .servers
            .get_mut(server)
            .is_some_and(|s| s.cache.cancel(now, job));
        if dropped
            && let Some((
                _,
                Job {
                    number, attempt, ..
                },
            )) = self.jobs.remove(&job)
        {
            self.out(now, number, attempt, true);
        }
    }

    fn say(&mut self, now: Micros, job: JobId, said: Said) {
        let Some((
            server,
            Job {
                number,
                attempt,
                say,
            },
        )) = self.jobs.remove(&job)
        else {
            return;
        };
        if said == Said::Value && server.is_none() {
            self.fetched(now, number);
        }
        if let (Said::Miss, Some(server), Some(t)) = (said, server, self.tries.get_mut(&number)) {
            t.missed.push(server);
        }
        let said = match self.network.fate(&mut self.work) {
            Fate::Whole => said,
            Fate::Lost => Said::Nothing,
            Fate::Spoilt => Said::Rubbish,
            Fate::Reset => Said::Died,
        };
        // Nobody may wait for it any more.
        let _ = say.send(said);
        self.out(
            now,
            number,
            attempt,
            matches!(said, Said::Miss | Said::Busy),
        );
    }

    fn out(&mut self, now: Micros, number: u64, attempt: u16, never_ran: bool) {
        let Some(t) = self.tries.get_mut(&number) else {
            return;
        };
        t.out -= 1;
        if never_ran {
            self.rules.never_ran((t.node, number), attempt);
        }
        self.forget(now, number);
    }

    /// The origin has answered: a read that is waited for is stored where it missed, a write voids the copies.
    fn fetched(&mut self, now: Micros, number: u64) {
        let Some(t) = self.tries.get(&number) else {
            return;
        };
        if self.scenario.class[t.class].write {
            let key = t.key;
            return self
                .servers
                .values_mut()
                .for_each(|server| server.cache.memory().drop_key(key));
        }
        for server in t.missed.iter().take(2) {
            if let Some(server) = self
                .servers
                .get_mut(server)
                .filter(|server| server.cache.up())
            {
                server
                    .cache
                    .memory()
                    .store(now, t.key, self.scenario.load.value_bytes);
            }
        }
    }

    // The list.

    /// A node calls the list service; what it is told comes through the channel, which ends with the call or watch.
    pub fn call(&mut self, now: Micros, node: NodeId, call: Call) -> Option<mpsc::Receiver<Told>> {
        if self.list.call(now, node, call).is_some() {
            return None;
        }
        let (tell, told) = mpsc::channel(UNWRITTEN);
        self.waiting.insert(node, tell);
        Some(told)
    }

    /// A node has ended its call or watch, unless it has begun another since.
    pub fn hang_up(&mut self, node: NodeId) {
        if self.waiting.get(&node).is_some_and(mpsc::Sender::is_closed) {
            self.waiting.remove(&node);
            self.list.hang_up(node);
        }
    }

    fn tell(&mut self, node: NodeId, told: Told) {
        let failed = told == Told::Failed;
        let written = self
            .waiting
            .get(&node)
            .is_some_and(|tell| tell.try_send(told).is_ok());
        if failed || !written {
            self.waiting.remove(&node);
            self.list.hang_up(node);
        }
    }

    /// A list or a change was written to a node.
    pub fn written(&mut self, now: Micros, node: NodeId, told: &Told) {
        let Told::Lines {
            version,
            whole,
            lines,
        } = told
        else {
            return;
        };
        let (held_version, held) = self.held.entry(node).or_default();
        *held_version = *version;
        let mut gone = Vec::new();
        if *whole {
            gone = held
                .keys()
                .copied()
                .filter(|s| lines.iter().all(|line| line.server != *s))
                .collect();
            held.clear();
        }
        held.extend(lines.iter().map(|line| (line.server, *line)));
        gone.into_iter()
            .for_each(|server| self.rules.told(now, node, server, false));
        for line in lines {
            self.rules
                .told(now, node, line.server, line.condition == Condition::Active);
        }
    }

    /// A node's process begins with the list that the one before it held: its version and lines.
    pub fn begin_node(&mut self, now: Micros, node: NodeId) -> (u64, Vec<Line>) {
        let first = || {
            let lines = self
                .list
                .lines()
                .into_iter()
                .map(|line| (line.server, line));
            (self.list.version(), lines.collect())
        };
        let (version, held) = self.held.entry(node).or_insert_with(first);
        let (version, lines): (_, Vec<Line>) = (*version, held.values().copied().collect());
        for line in &lines {
            self.rules
                .told(now, node, line.server, line.condition == Condition::Active);
        }
        (version, lines)
    }

    /// How a server is becomes known.
    pub fn become_known(&mut self, now: Micros, line: Line) {
        let ready = line.condition == Condition::Active;
        self.rules.known(now, line.server, ready);
        if ready {
            self.known.insert(line.server, now);
        }
        for (_, node, told) in self.list.change(now, line) {
            self.tell(node, told);
        }
    }

    /// The list service is reached elsewhere: what nodes hold of the old one's versions tells the new one nothing.
    pub fn move_list(&mut self) {
        for (node, told) in self.list.move_away() {
            self.tell(node, told);
        }
    }

    /// The list service goes down or comes back.
    pub fn list_up(&mut self, now: Micros, up: bool) {
        for (node, told) in self.list.set_up(now, up) {
            self.tell(node, told);
        }
    }

    // Time.

    /// What is due by now happens.
    pub fn work(&mut self, now: Micros) {
        for number in self.servers.keys().copied().collect::<Vec<_>>() {
            let Some(server) = self.servers.get_mut(&number) else {
                continue;
            };
            if server.cache.due().is_none_or(|due| due > now) {
                continue;
            }
            for (job, answer) in server.cache.finish(now) {
                self.say(
                    now,
                    job,
                    if answer == Answer::Hit {
                        Said::Value
                    } else {
                        Said::Miss
                    },
                );
            }
        }
        if self.origin.due().is_some_and(|due| due <= now) {
            for (job, answer) in self.origin.finish(now) {
                self.say(now, job, origin_says(answer));
            }
        }
        for (node, told) in self.list.work(now) {
            self.tell(node, told);
        }
    }

    /// When something is due next.
    pub fn due(&self) -> Option<Micros> {
        let servers = self
            .servers
            .values()
            .filter_map(|server| server.cache.due());
        servers
            .chain(self.origin.due())
            .chain(self.list.due())
            .min()
    }

    // What goes wrong.

    /// A server's process ends: what it held has no answer.
    pub fn end_server(&mut self, now: Micros, number: Number) {
        let held = self
            .servers
            .get_mut(&number)
            .map(|server| server.cache.stop())
            .unwrap_or_default();
        held.into_iter()
            .for_each(|job| self.say(now, job, Said::Died));
    }

    /// A machine like another, which has not started yet.
    pub fn new_server(&mut self, now: Micros, like: Number) -> Number {
        let (kind, zone) = self
            .servers
            .get(&like)
            .map_or((0, 0), |server| (server.kind, server.zone));
        let number = self
            .servers
            .last_key_value()
            .map_or(1, |(number, _)| number + 1);
        let spec = deployment::cache(&self.scenario, &self.scenario.kind[kind]);
        let mut cache = Cache::new(spec, now, now);
        cache.stop();
        self.servers.insert(number, Server { cache, kind, zone });
        number
    }

    /// A zone was cut off from the others, or mended.
    pub fn cut(&mut self, now: Micros, zone: Zone, cut: bool) {
        let latest = self.cuts.entry(zone).or_insert((now, now));
        *latest = if cut {
            (now, Micros::MAX - HELD_UP)
        } else {
            (latest.0, now)
        };
    }

    /// A part of the servers that are up, by chance.
    pub fn some_servers(&mut self, part: f64) -> Vec<Number> {
        let up: Vec<_> = self
            .servers
            .iter()
            .filter(|(_, s)| s.cache.up())
            .map(|(number, _)| *number)
            .collect();
        self.some(up, part)
    }

    /// A part of some things, by chance.
    pub fn some(&mut self, mut of: Vec<u32>, part: f64) -> Vec<u32> {
        of.shuffle(&mut self.faults);
        of.truncate((of.len() as f64 * part).round() as usize);
        of
    }

    /// A node was killed: what it had open is its clients' to ask again.
    pub fn killed(&mut self, now: Micros, node: NodeId) {
        self.rules.killed(node);
        self.ended(now, node);
    }

    /// A node's process has ended by itself: what it still owes stays owed.
    pub fn ended(&mut self, now: Micros, node: NodeId) {
        self.waiting.remove(&node);
        self.list.hang_up(node);
        for t in self.tries.values_mut().filter(|t| t.node == node) {
            t.ended.get_or_insert(now);
        }
    }
}
