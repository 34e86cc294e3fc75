//! The clients, which are the same in both drivers: when each sends a request, for which key, how often it retries, and
//! how its request ended. The load is an open loop: arrival times do not depend on the answers. A latency is measured
//! from the time at which the first attempt was intended, so that it includes any delay of a driver that falls behind.

use std::collections::BTreeMap;

use cluster_model::endpoint_list::NodeId;
use cluster_model::{Micros, RandomStream, random_stream};
use hdrhistogram::Histogram;
use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

use crate::micros;
use crate::report::{ClassReport, Counts, LatencyPercentiles, RequestEnd, WINDOW};
use crate::scenario::{Idempotency, RequestClass, Scenario};

/// Largest latency that is recorded, in microseconds.
const MAX_LATENCY: u64 = 600_000_000;
/// Number of significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Largest number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Numbers of the random streams of a run. Each part of a run draws from its own stream.
pub(crate) enum Stream {
    Arrivals = 1,
    Keys = 2,
    Work = 3,
    Network = 4,
    LoadBalancer = 5,
    Faults = 6,
    Nodes = 7,
}

/// The reply of a node to an attempt of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The value.
    Served,
    /// A rejection, with the time after which to retry in microseconds; 0 if it has none.
    Rejected(Micros),
    /// A failure.
    Failed,
}

/// The node that handles a client's attempt, and the id of the request there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// The node.
    pub node: NodeId,
    /// Id of the request at the node.
    pub request: u64,
}

/// A client whose request has not ended.
#[derive(Debug, Clone)]
pub struct Client {
    /// Index of the request's class in the scenario.
    pub class: usize,
    /// The requested key.
    pub key: u64,
    /// Work of the answer, in microseconds of the reference core.
    pub work: f64,
    /// Time at which the first attempt was intended.
    pub intended_at: Micros,
    /// The deadline that the client states to nodes, over all attempts.
    pub deadline: Micros,
    /// Time at which the client stops waiting, which may be before the deadline.
    pub leaves_at: Micros,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The node and the request of the current attempt.
    pub assignment: Option<Assignment>,
}

/// The results of all clients of a run, in the form of a report.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientResults {
    /// The service level, as in [`Counts::service_level`].
    pub service_level: f64,
    /// Results by name of the class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Counts by [`WINDOW`].
    pub windows: Vec<Counts>,
}

/// Counts and latencies of a class.
struct ClassTotals {
    counts: Counts,
    latencies: Histogram<u64>,
}

/// All clients of a run, and counts of the requests that have ended by how they ended.
pub struct Clients<'a> {
    scenario: &'a Scenario,
    begin: Micros,
    open: BTreeMap<u64, Client>,
    next_id: u64,
    /// Arrivals per second.
    rate: f64,
    popularity: Zipf<f64>,
    /// Fraction of the requests that ask for the hot key.
    hot_share: f64,
    /// Fraction of the requests that scan all keys.
    scan_share: f64,
    /// Number of requests of the scan so far.
    scanned: u64,
    arrivals: RandomStream,
    keys: RandomStream,
    work: RandomStream,
    windows: Vec<Counts>,
    classes: Vec<ClassTotals>,
}

impl<'a> Clients<'a> {
    /// The clients of a scenario, which send requests from `begin` on.
    #[expect(
        clippy::expect_used,
        reason = "the bounds of the histogram are constants, and a scenario has at least one key and an exponent that \
                  is not negative"
    )]
    #[expect(clippy::missing_panics_doc, reason = "it can't panic, see above")]
    pub fn new(scenario: &'a Scenario, seed: u64, begin: Micros) -> Self {
        let stream = |stream: Stream| random_stream(seed, stream as u64);
        let totals = |_: &RequestClass| ClassTotals {
            counts: Counts::default(),
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY, LATENCY_DIGITS)
                .expect("the bounds are valid"),
        };
        let workload = &scenario.load;
        let popularity = Zipf::new(workload.keys as f64, workload.zipf_exponent.max(0.0));
        Clients {
            begin,
            open: BTreeMap::new(),
            next_id: 1,
            rate: workload.per_s,
            popularity: popularity.expect("keys and exponent are valid"),
            hot_share: 0.0,
            scan_share: 0.0,
            scanned: 0,
            arrivals: stream(Stream::Arrivals),
            keys: stream(Stream::Keys),
            work: stream(Stream::Work),
            windows: Vec::new(),
            classes: scenario.classes.iter().map(totals).collect(),
            scenario,
        }
    }

    /// Sets the time from which requests arrive. Must be called before the first arrival.
    pub fn set_begin(&mut self, begin: Micros) {
        self.begin = begin;
    }

    /// The time of the next arrival after one at `now`; `None` if it would be after the end of the load.
    pub fn next_arrival(&mut self, now: Micros) -> Option<Micros> {
        let gap: f64 = Exp1.sample(&mut self.arrivals);
        let at = now + (gap / self.rate * 1e6).ceil() as Micros;
        (at < self.begin + micros(self.scenario.duration)).then_some(at)
    }

    /// Multiplies the rate of arrivals by a factor.
    pub fn scale_rate(&mut self, factor: f64) {
        self.rate *= factor;
    }

    /// Adds a client whose first attempt is intended for `now`. Returns its id.
    pub fn new_client(&mut self, now: Micros) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let class = self.draw_class();
        let key = self.draw_key(now);
        let spec = &self.scenario.classes[class];
        let work =
            micros(spec.work) as f64 * log_normal_factor(spec.work_deviation, &mut self.work);
        let deadline = now + micros(spec.deadline);
        let client = Client {
            class,
            key,
            work,
            intended_at: now,
            deadline,
            leaves_at: self.draw_leaving_time(now, deadline),
            attempts: 0,
            assignment: None,
        };
        self.open.insert(id, client);
        id
    }

    fn draw_class(&mut self) -> usize {
        let classes = &self.scenario.classes;
        let total: f64 = classes.iter().map(|class| class.share).sum();
        let mut draw = self.arrivals.random::<f64>() * total;
        let drawn = classes.iter().position(|class| {
            draw -= class.share;
            draw < 0.0
        });
        drawn.unwrap_or(0)
    }

    fn draw_leaving_time(&mut self, now: Micros, deadline: Micros) -> Micros {
        let workload = &self.scenario.load;
        let abandons =
            workload.abandon_share > 0.0 && self.arrivals.random::<f64>() < workload.abandon_share;
        if abandons {
            deadline.min(now + micros(workload.abandon_after))
        } else {
            deadline
        }
    }

    fn draw_key(&mut self, now: Micros) -> u64 {
        let workload = &self.scenario.load;
        // Both are always drawn, so that a hot key or a scan does not change the random draws of later requests.
        let rank = self.popularity.sample(&mut self.keys) as u64;
        let draw = self.keys.random::<f64>();
        if draw < self.hot_share {
            // A key of middle rank, which is not popular by itself.
            return workload.keys.div_ceil(2);
        }
        if draw < self.hot_share + self.scan_share {
            self.scanned += 1;
            return workload.keys - (self.scanned - 1) % workload.keys;
        }
        let shift = (workload.drift_per_s * now.saturating_sub(self.begin) as f64 / 1e6) as u64;
        (rank.max(1) - 1 + shift) % workload.keys + 1
    }

    /// Adds to the fraction of the requests that ask for the hot key; a negative difference reduces it.
    pub fn adjust_hot_share(&mut self, difference: f64) {
        self.hot_share += difference;
    }

    /// Adds to the fraction of the requests that scan all keys; a negative difference reduces it.
    pub fn adjust_scan_share(&mut self, difference: f64) {
        self.scan_share += difference;
    }

    /// A client whose request has not ended.
    pub fn get(&self, id: u64) -> Option<&Client> {
        self.open.get(&id)
    }

    /// Begins an attempt of a client. Returns the client, or `None` if its request has ended.
    pub fn begin_attempt(&mut self, id: u64) -> Option<Client> {
        let client = self.open.get_mut(&id)?;
        client.attempts += 1;
        let client = client.clone();
        self.count(client.intended_at, |counts| counts.client_attempts += 1);
        Some(client)
    }

    /// Records that a client's attempt was assigned to a node, which identifies it by the id `request`.
    pub fn assign(&mut self, id: u64, node: NodeId, request: u64) {
        if let Some(client) = self.open.get_mut(&id) {
            client.assignment = Some(Assignment { node, request });
        }
    }

    /// Handles a reply to a client. Returns the time of the next attempt, or `None` if the request has ended.
    pub fn handle_reply(&mut self, now: Micros, id: u64, reply: Reply) -> Option<Micros> {
        let client = self.open.get_mut(&id)?;
        client.assignment = None;
        let class = client.class;
        let latency = now - client.intended_at;
        let objective = micros(self.scenario.classes[class].latency_objective);
        let retry_at = self.retry_time(now, id, reply);
        if retry_at.is_some() {
            return retry_at;
        }
        let end = match reply {
            Reply::Served if latency <= objective => RequestEnd::InTime,
            Reply::Served => RequestEnd::Late,
            Reply::Rejected(_) => RequestEnd::Rejected,
            Reply::Failed => RequestEnd::Failed,
        };
        if reply == Reply::Served {
            self.classes[class].latencies.saturating_record(latency);
        }
        self.end(id, end);
        None
    }

    /// The time at which a client retries after a reply; `None` if it does not retry.
    fn retry_time(&self, now: Micros, id: u64, reply: Reply) -> Option<Micros> {
        let client = self.open.get(&id)?;
        let workload = &self.scenario.load;
        let backoff = micros(workload.backoff) << (client.attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
        let idempotency = self.scenario.classes[client.class].idempotency;
        let delay = match reply {
            Reply::Served => return None,
            Reply::Rejected(retry_after) if retry_after > 0 => retry_after,
            Reply::Rejected(_) => backoff,
            // The request may have run already.
            Reply::Failed if idempotency == Idempotency::NotIdempotent => return None,
            Reply::Failed => backoff,
        };
        let retry_at = now + delay;
        (client.attempts <= workload.retries && retry_at < client.leaves_at).then_some(retry_at)
    }

    /// Ends the request of a client that stops waiting, at its deadline or before. Returns the current attempt's
    /// assignment.
    pub fn leave(&mut self, id: u64) -> Option<Assignment> {
        let client = self.open.get(&id)?;
        let assignment = client.assignment;
        let end = if client.leaves_at < client.deadline {
            RequestEnd::Abandoned
        } else {
            RequestEnd::TimedOut
        };
        self.end(id, end);
        assignment
    }

    fn end(&mut self, id: u64, end: RequestEnd) {
        let Some(client) = self.open.remove(&id) else {
            return;
        };
        let weight = self.scenario.classes[client.class].priority_weight;
        self.classes[client.class].counts.record(end, weight);
        self.count(client.intended_at, |counts| counts.record(end, weight));
    }

    /// Updates the counts of the window in which the first attempt of a request was intended.
    pub fn count(&mut self, intended_at: Micros, update: impl FnOnce(&mut Counts)) {
        let window = (intended_at.saturating_sub(self.begin) / WINDOW) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, Counts::default());
        }
        update(&mut self.windows[window]);
    }

    /// Number of clients whose requests have not ended.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// The sum of the counts of all windows so far.
    pub fn totals(&self) -> Counts {
        self.windows
            .iter()
            .fold(Counts::default(), |sum, window| sum.plus(window))
    }

    /// The results so far.
    pub fn results(&self) -> ClientResults {
        let mut total = Counts::default();
        let mut classes = BTreeMap::new();
        for (spec, totals) in self.scenario.classes.iter().zip(&self.classes) {
            total.priority_weight += totals.counts.priority_weight;
            total.served_weight += totals.counts.served_weight;
            let report = ClassReport {
                counts: totals.counts.clone(),
                latency: LatencyPercentiles::of(&totals.latencies),
            };
            classes.insert(spec.name.clone(), report);
        }
        ClientResults {
            service_level: total.service_level(),
            classes,
            windows: self.windows.clone(),
        }
    }
}

/// Draws a log-normal factor with mean 1 and the given standard deviation.
#[expect(
    clippy::expect_used,
    reason = "it fails only for NaN or infinity, which the validation of scenarios does not reject yet"
)]
pub(crate) fn log_normal_factor(deviation: f64, random: &mut RandomStream) -> f64 {
    if deviation <= 0.0 {
        return 1.0;
    }
    let variance = (1.0 + deviation * deviation).ln();
    LogNormal::new(-variance / 2.0, variance.sqrt())
        .expect("the deviation is finite")
        .sample(random)
}
