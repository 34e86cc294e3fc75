//! Clients as both drivers have them: when each asks, for what, how often it comes again, and what became of it. They do
//! not wait for each other (open loop): first tries come at their times whatever the answers, and a latency counts from
//! the time that the first try was meant for, so that a driver that falls behind can't hide it.

use std::collections::BTreeMap;

use cluster_model::list::NodeId;
use cluster_model::{Chance, Micros, chance};
use hdrhistogram::Histogram;
use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

use crate::report::{Counts, End, Latency, OfClass, WINDOW};
use crate::scenario::{Effect, Scenario};
use crate::us;

/// Parts of the world, each with chance of its own.
pub(crate) enum Part {
    Arrivals = 1,
    Keys = 2,
    Work = 3,
    Network = 4,
    Front = 5,
    Faults = 6,
    Nodes = 7,
}

/// How a node ended a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// With the value.
    Served,
    /// Refused: come again after so many microseconds, 0 where none were named.
    Refused(Micros),
    /// It failed.
    Failed,
}

/// A client with a request that has not ended.
#[derive(Debug, Clone)]
pub struct Client {
    /// Its class, by the place in the scenario.
    pub class: usize,
    /// Its key.
    pub key: u64,
    /// Work of an answer, in microseconds of the reference core.
    pub work: f64,
    /// When its first try was meant to come.
    pub first: Micros,
    /// It tells nodes that it waits until then, over all tries,
    pub deadline: Micros,
    /// and goes away at this time, which may be earlier.
    pub leaves: Micros,
    /// Tries so far.
    pub tries: u32,
    /// The node that has its present try, and the try's number there.
    pub at: Option<(NodeId, u64)>,
}

/// All clients of a play, and what became of those that have ended.
pub struct Clients<'a> {
    scenario: &'a Scenario,
    begin: Micros,
    open: BTreeMap<u64, Client>,
    next: u64,
    rate: f64,
    zipf: Zipf<f64>,
    /// Parts of the first tries that ask for one key, and that go through all keys, and how far they are.
    hot: f64,
    scan: (f64, u64),
    arrivals: Chance,
    keys: Chance,
    work: Chance,
    windows: Vec<Counts>,
    classes: Vec<(Counts, Histogram<u64>)>,
}

impl<'a> Clients<'a> {
    /// Clients of a scenario whose first tries come from a time on.
    pub fn new(scenario: &'a Scenario, seed: u64, begin: Micros) -> Self {
        let part = |part: Part| chance(seed, part as u64);
        let histogram =
            || Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are sound");
        let zipf = Zipf::new(scenario.load.keys as f64, scenario.load.zipf.max(0.0));
        Clients {
            begin,
            open: BTreeMap::new(),
            next: 1,
            rate: scenario.load.per_s,
            hot: 0.0,
            scan: (0.0, 0),
            zipf: zipf.expect("keys and exponent are sound"),
            arrivals: part(Part::Arrivals),
            keys: part(Part::Keys),
            work: part(Part::Work),
            windows: Vec::new(),
            classes: scenario
                .class
                .iter()
                .map(|_| (Counts::default(), histogram()))
                .collect(),
            scenario,
        }
    }

    /// First tries come from a time on, before any was asked for.
    pub fn begin_at(&mut self, begin: Micros) {
        self.begin = begin;
    }

    /// When the next first try comes after one at a time, `None` after the end.
    pub fn next_first(&mut self, now: Micros) -> Option<Micros> {
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        let at = now + (gap / self.rate * 1e6).ceil() as Micros;
        (at < self.begin + us(self.scenario.length)).then_some(at)
    }

    /// First tries come so many times as often from now on.
    pub fn quicken(&mut self, factor: f64) {
        self.rate *= factor;
    }

    /// A new client, its first try meant for a time.
    pub fn ask(&mut self, now: Micros) -> u64 {
        let id = self.next;
        self.next += 1;
        let total: f64 = self.scenario.class.iter().map(|class| class.share).sum();
        let mut draw = self.arrivals.random::<f64>() * total;
        let class = self.scenario.class.iter().position(|class| {
            draw -= class.share;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        let key = self.key(now);
        let spec = &self.scenario.class[class];
        let work = us(spec.work) as f64 * spread(spec.spread, &mut self.work);
        let deadline = now + us(spec.deadline);
        let load = &self.scenario.load;
        let gives_up = load.give_up > 0.0 && self.arrivals.random::<f64>() < load.give_up;
        let leaves = if gives_up {
            deadline.min(now + us(load.give_up_after))
        } else {
            deadline
        };
        self.open.insert(
            id,
            Client {
                class,
                key,
                work,
                first: now,
                deadline,
                leaves,
                tries: 0,
                at: None,
            },
        );
        id
    }

    /// This part more of the first tries asks for one key from now on.
    pub fn heat(&mut self, part: f64) {
        self.hot += part;
    }

    /// This part more of them goes through all keys from now on.
    pub fn scan(&mut self, part: f64) {
        self.scan.0 += part;
    }

    fn key(&mut self, now: Micros) -> u64 {
        let load = &self.scenario.load;
        // Drawn in any case, so that what is hot or scanned does not shift the chance of what comes after it.
        let (rank, draw) = (
            self.zipf.sample(&mut self.keys) as u64,
            self.keys.random::<f64>(),
        );
        if draw < self.hot {
            // None of the popular ones, so that its fame is new.
            return load.keys.div_ceil(2);
        }
        if draw < self.hot + self.scan.0 {
            self.scan.1 += 1;
            return load.keys - (self.scan.1 - 1) % load.keys;
        }
        let shift = (load.drift_per_s * now.saturating_sub(self.begin) as f64 / 1e6) as u64;
        (rank.max(1) - 1 + shift) % load.keys + 1
    }

    /// A client that has not ended.
    pub fn get(&self, id: u64) -> Option<&Client> {
        self.open.get(&id)
    }

    /// A client begins a try; `None` where it has ended.
    pub fn begin_try(&mut self, id: u64) -> Option<Client> {
        let client = self.open.get_mut(&id)?;
        client.tries += 1;
        let client = client.clone();
        self.count(client.first, |counts| counts.tries += 1);
        Some(client)
    }

    /// Its try is with a node.
    pub fn with_node(&mut self, id: u64, node: NodeId, number: u64) {
        self.open
            .entry(id)
            .and_modify(|client| client.at = Some((node, number)));
    }

    /// A client has an answer: when it comes again, or `None` where its request has ended.
    pub fn told(&mut self, now: Micros, id: u64, reply: Reply) -> Option<Micros> {
        let client = self.open.get_mut(&id)?;
        client.at = None;
        let spec = &self.scenario.class[client.class];
        let took = now - client.first;
        let end = match reply {
            Reply::Served if took <= us(spec.aim) => End::InTime,
            Reply::Served => End::Late,
            // What may have run is repeated only where that does no harm.
            Reply::Refused(_) | Reply::Failed => {
                let harmless = matches!(reply, Reply::Refused(_)) || spec.effect != Effect::Once;
                let pause = match reply {
                    Reply::Refused(pause) if pause > 0 => pause,
                    _ => us(self.scenario.load.backoff) << (client.tries - 1).min(10),
                };
                let more = client.tries <= self.scenario.load.retries;
                if harmless && more && now + pause < client.leaves {
                    return Some(now + pause);
                }
                if matches!(reply, Reply::Failed) {
                    End::Failed
                } else {
                    End::Refused
                }
            }
        };
        if matches!(reply, Reply::Served) {
            let class = client.class;
            self.classes[class].1.saturating_record(took);
        }
        self.end(id, end);
        None
    }

    /// A client's time is up, or it gives up. The node that has its try, if one has, and the try's number there.
    pub fn time_up(&mut self, id: u64) -> Option<(NodeId, u64)> {
        let client = self.open.get(&id)?;
        let (at, gave_up) = (client.at, client.leaves < client.deadline);
        self.end(id, if gave_up { End::GaveUp } else { End::TimedOut });
        at
    }

    fn end(&mut self, id: u64, end: End) {
        let Some(client) = self.open.remove(&id) else {
            return;
        };
        let worth = self.scenario.class[client.class].worth;
        self.classes[client.class].0.end(end, worth);
        self.count(client.first, |counts| counts.end(end, worth));
    }

    /// Counts something for what was first tried at a time.
    pub fn count(&mut self, first: Micros, add: impl FnOnce(&mut Counts)) {
        let window = (first.saturating_sub(self.begin) / WINDOW) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, Counts::default());
        }
        add(&mut self.windows[window]);
    }

    /// Clients whose requests have not ended.
    pub fn left(&self) -> usize {
        self.open.len()
    }

    /// Counts of all so far.
    pub fn sum(&self) -> Counts {
        self.windows
            .iter()
            .fold(Counts::default(), |sum, window| sum.and(window))
    }

    /// What came of all so far: part of the worth served, by class, by five seconds.
    pub fn result(&self) -> (f64, BTreeMap<String, OfClass>, Vec<Counts>) {
        let mut all = Counts::default();
        let mut classes = BTreeMap::new();
        for (spec, (counts, histogram)) in self.scenario.class.iter().zip(&self.classes) {
            all.worth += counts.worth;
            all.served += counts.served;
            let of = OfClass {
                counts: counts.clone(),
                latency: Latency::of(histogram),
            };
            classes.insert(spec.name.clone(), of);
        }
        (all.service(), classes, self.windows.clone())
    }
}

/// A factor of mean 1 with a standard deviation.
pub(crate) fn spread(deviation: f64, chance: &mut Chance) -> f64 {
    if deviation <= 0.0 {
        return 1.0;
    }
    let variance = (1.0 + deviation * deviation).ln();
    let normal =
        LogNormal::new(-variance / 2.0, variance.sqrt()).expect("the deviation is a number");
    normal.sample(chance)
}
