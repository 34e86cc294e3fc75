//! Every decision of a balancer. The types it speaks in (settings, events, actions) are in `interface.rs`.
//!
//! Ordinary path: a read goes to the first server in its key's order that is not over the load bound; after
//! a miss the value is fetched from the origin, and a write goes straight there, through a gate of an
//! outstanding cap and a windowed tally; a call that finds the gate shut is postponed by a random delay.
//! All else here is a departure for a failure that the code names.

use crate::interface::*;
use crate::log_event::LogEvent;
use crate::state::*;

/// Load bound: a server is skipped from this multiple of its part of this balancer's attempts in flight: the
/// first where the origin has room for the fetch a skip costs, the second where it holds calls up; never
/// below this balancer's part of the third, else a quiet one would scatter its keys.
/// The origin is without room when the fourth, as a part of the calls, finds the gate shut.
const BOUND: (f64, f64, f64, f64) = (1.25, 3.0, 8.0, 0.05);
/// A server whose queue takes longer than this part of the time left is full.
const FULL: f64 = 0.5;
/// Answers that a server is credited with before any were seen: a few in flight at an idle one pass.
const PRIOR: f64 = 2.0;
/// And once the time that servers take is known: those of so many cores in an aim. The few answers that one
/// of many balancers draws from an idle server tell how little it asked, not how little the server can do;
/// and that time, as measured here, has the network and other balancers' requests in it.
const PRIOR_CORES: f64 = 3.0;
/// Gate: outstanding origin calls of one balancer at most; it starts from half, the note's default.
const GATE_OUT: f64 = 20.0;
/// Gate: so many balancers may each have that much, and the note's calls a second; more of them share what
/// these have together, down to less than one call out each, as the origin bears the sum. Not fewer: one that
/// has only a call or two at a time must find the gate open more often than chance brings them together.
const GATE_SENDERS: f64 = 15.0;
/// Gate: calls a second, as a part of this balancer's share; at the least the note's.
const GATE_RATE: (f64, f64) = (1.0, 30.0);
/// Gate: its window as a part of the longest aim, short enough that what bursts over it can still wait;
/// longer where a balancer has so small a part that chance would overrun it, up to the note's second.
const GATE_WINDOW: f64 = 0.25;
/// Gate: sub-limit of fetches, of both limits; writes have the rest for themselves.
const GATE_FETCHES: f64 = 0.7;
/// Gate: factor on the outstanding cap at a sign of congestion, and its floor as part of an equal ceiling.
const GATE_CUT: (f64, f64) = (0.8, 0.1);
/// Gate: an origin answer later than this part of the shortest aim is a congestion signal.
const ORIGIN_SLOW: f64 = 0.8;
/// The usual time of a fetch follows each by this part; what is left of it at each fetch that is not made, as
/// the origin may have become quicker.
const USUAL: (f64, f64) = (0.1, 0.98);
/// Postponement: the note's 1 to 3 s against its bound of 60 s, taken as parts of the request's aim.
const DELAY: (f64, f64) = (1.0 / 60.0, 3.0 / 60.0);
/// An attempt without answer for this part of its aim is slow, for twice this nearly late.
const PATIENCE: f64 = 0.4;
/// Strikes in a row, with no answer between them, after which a server is set aside.
const STRIKES: u32 = 3;
/// A server is set aside for this multiple of the longest aim, doubled each time up to the second figure, or
/// to the third where it refuses connections: a list that is late names servers that are gone for good, and
/// each trial of one costs a request an attempt. What returns is set aside for about as long as it was away.
const ASIDE: (f64, f64, f64) = (1.0, 8.0, 64.0);
/// Repeats of what may have run, and second copies, as a part of the requests, and how many at once.
const REPEATS: (f64, f64) = (0.05, 5.0);
/// What is left of a server's part of its keys at each attempt that it is nearly late with or turns away,
/// what an answer in good time adds to it, and the least. They balance where about a twentieth is late.
const THIN: (f64, f64, f64) = (0.8, 0.01, 0.05);
/// So many balancers learn of a server in such steps. Of more, each meets it less often and takes larger
/// ones, as the root of their number: chance in them evens out over all balancers.
const FEW: f64 = 5.0;
/// The same for its kind, in steps of this part, as all servers of the kind take part in it. The first steps
/// are whole ones and become this after the second figure of attempts: a balancer begins with nothing, often
/// together with most others, and until it knows the kinds it jams the weak ones.
const KIND_STEP: (f64, f64) = (0.25, 24.0);
/// A server has its whole part again after this multiple of the longest aim at the latest: one left with few
/// keys has few answers to show that it keeps up.
const THIN_FOR: f64 = 256.0;
/// A server's quickest time follows a quicker answer at once, and a slower one by this part: what it measures
/// is the way there and an unhindered service, not chance and queues.
const QUICKEST: f64 = 0.02;
/// Signs of overload in each attempt (turned away or nearly late is one, slow a half) from which tenants are
/// held closer to their quotas, and even below them.
const STRAIN: (f64, f64) = (0.06, 0.55);
/// Multiple of the quotas that fills the buckets: lowest (a jammed fleet heals half idle), at start, highest.
const LEVEL: (f64, f64, f64) = (0.25, 1.0, 4.0);
/// Steps of the level at a review, whole from so many attempts judged: one of many balancers sees few.
const LEVEL_STEPS: (f64, f64, f64) = (0.92, 1.04, 5.0);
/// Tokens that a bucket holds beyond an aim's worth, against chance in who reaches which balancer.
const BURST: f64 = 5.0;
/// Part of the quotas that tenants may use in common: those within their quotas leave about the rest unused.
const POOL: f64 = 0.8;
/// What a review keeps of the counts before it, while more than this many are left to judge by.
const FADE: (f64, f64) = (0.85, 10.0);
/// A cold server gets at most this part of what makes it fall over, scaled by its present part of capacity;
/// a warm one's attempts are taken for what it can do, though it may be able to do more.
const COLD_RATE: f64 = 0.8;
/// And so many roots of what comes to it in the time in which it falls over are left to chance: each balancer
/// counts its own only, their sum varies by about its root, the worst of many windows is three above.
const COLD_CHANCE: f64 = 3.0;
/// The pause before discovery is asked again is doubled so often: a change counts as told after 6 s, whether
/// it was heard of or not, and the longest pause must leave room for the call itself.
const ASK_AGAIN: u32 = 2;
/// Nor is it longer than this on the mean: the call that failed may have waited for 2 s of those six.
const ASK_PAUSE: Micros = 1_600_000;
/// Waits that differ by less than this part of the deadline are alike: the way to the node takes some of it.
const ALIKE: f64 = 0.01;
/// A class's usual wait is known by so many more votes for it than against, and held by the second at most.
const SURE: (u32, u32) = (4, 16);
/// A key is hot that was asked for before among so many requests here: a part of all, whatever N is.
const HOT: usize = 64;

impl Policy {
    /// A balancer that knows its settings and nothing else yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aims = settings.classes.iter().map(|c| c.latency_objective);
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let quota_share = quotas / f64::from(settings.balancer_count.max(1));
        let mut policy = Policy {
            aim: aims.clone().max().unwrap_or(1_000_000).max(1),
            origin_aim: aims.min().unwrap_or(1_000_000),
            usual_wait: vec![(0, 0); settings.classes.len()],
            senders: vec![Bucket::default(); settings.tenants.len().max(1)],
            rng: Random::new(seed),
            level: LEVEL.1,
            // Held by all balancers, a connection costs more than it saves: whatever the traffic, the price
            // of keeping one open grows with their number and the price of opening it again does not.
            crowded: f64::from(settings.balancer_count) * settings.connection_cost
                > 100.0 * settings.handshake_cost,
            repeats: REPEATS.1,
            // Calls of an earlier life of this balancer may still run: the gate opens gradually.
            gate_part: (GATE_SENDERS / f64::from(settings.balancer_count.max(1))).min(1.0),
            seldom: (f64::from(settings.balancer_count) / FEW).max(1.0),
            quota_share,
            settings,
            ..Policy::default()
        };
        policy.gate.limit = GATE_OUT / 2.0 * policy.gate_part;
        policy.wake(0, Wake::Subscribe);
        policy.wake(0, Wake::Review);
        policy
    }

    /// Takes one event at a clock value and adds the actions that it calls for.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::EndpointList {
                update: ListUpdate::Failed,
                ..
            } => self.discovery_failed(out),
            // Its silence was waited for already, and began for each balancer at a time of its own: no pause.
            Event::EndpointList {
                update: ListUpdate::WatchSilent,
                ..
            } => out.push(Action::Subscribe(true)),
            Event::EndpointList {
                update: kind,
                endpoints: servers,
            } => self.server_list(kind, servers),
            Event::Request(request) => self.request(request, out),
            Event::AttemptOutcome(outcome) => self.outcome(outcome, out),
            // A streamed answer belongs to the client from here on: nothing is owed, and no deadline runs.
            Event::ResponseStarted { request, .. } | Event::ClientGone(request) => {
                drop(self.held.remove(&request))
            }
            Event::Connection {
                request,
                attempt,
                established: up,
            } => self.connection(request, attempt, up),
            Event::Timer(_) => self.wakes.timer_came(),
            Event::HealthChecked {
                server,
                healthy: true,
                ..
            } => self.reached(server, out),
            Event::PeerMessage { .. } | Event::HealthChecked { .. } => {}
        }
        while let Some(wake) = self.wakes.due(now, out) {
            match wake {
                Wake::End(id) => self.time_up(id, out),
                Wake::Go(id, wait) if self.held.get(&id).map(|h| h.wait) == Some(wait) => {
                    self.step(id, out)
                }
                Wake::Patience(id, attempt) => self.patience(id, attempt, out),
                Wake::Subscribe if self.settings.poll_discovery => {
                    out.push(Action::Subscribe(true))
                }
                Wake::Go(..) | Wake::Subscribe => {}
                Wake::Review => self.review(out),
            }
        }
    }

    fn wake(&mut self, after: Micros, wake: Wake) {
        self.wakes.at(self.now + after, wake);
    }

    // A request arrives.

    fn request(&mut self, r: Request, out: &mut Vec<Action>) {
        // Ends some ticks before its time is up, so that the answer is in time when a call comes late.
        let margin = 2 * self.settings.tick;
        let gone = if r.write { 0 } else { self.waited_before(&r) };
        let mut held = Held {
            class: r.class,
            key: r.key,
            write: r.write,
            aim_at: (self.now
                + self.settings.classes[r.class]
                    .latency_objective
                    .saturating_sub(gone))
            .saturating_sub(margin),
            ends: self.now + r.remaining_deadline.saturating_sub(margin),
            ..Held::default()
        };
        self.repeats = (self.repeats + REPEATS.0).min(REPEATS.1);
        self.recent.push_front(r.key);
        self.recent.truncate(HOT);
        let (ends, aim_at) = (held.ends, self.useful_until(&held));
        let admitted = self.admit(&mut held, r.tenant) && self.now < ends;
        self.held.insert(r.id, held);
        if !admitted {
            return self.end(r.id, out);
        }
        // What is known to be a later try was counted before. Counted again, a jam in which clients ask twice
        // looks like twice the fleet, and the cold servers in it as though they could bear twice as much.
        if gone == 0 {
            self.admitted.count(1.0);
        }
        self.wakes.at(ends, Wake::End(r.id));
        self.wakes.at(aim_at, Wake::End(r.id));
        self.step(r.id, out);
    }

    /// How long a client has waited in earlier tries. A deadline spans them all, and the aim counts from
    /// the first: a try that is waited for as long as most tells nothing, any other has what the earlier ones
    /// left. Served in a strain as though it were new, what is late takes the place of what is not.
    fn waited_before(&mut self, r: &Request) -> Micros {
        let deadline = self.settings.classes[r.class].deadline;
        let (usual, votes) = &mut self.usual_wait[r.class];
        let near = r.remaining_deadline.abs_diff(*usual) as f64 <= deadline as f64 * ALIKE;
        match (near, *votes) {
            (true, _) => *votes = (*votes + 1).min(SURE.1),
            (false, 0) => (*usual, *votes) = (r.remaining_deadline, 1),
            (false, _) => *votes -= 1,
        }
        let told = !near && *votes >= SURE.0 && self.level < LEVEL.2;
        if told {
            deadline.saturating_sub(r.remaining_deadline)
        } else {
            0
        }
    }

    /// A tenant's token bucket fills with this balancer's part of its quota, times the level, so that those
    /// furthest over are turned away first. A rate measured from the handful that one of many balancers sees
    /// would turn away those within their quotas.
    fn admit(&mut self, h: &mut Held, tenant: usize) -> bool {
        let Some(sender) = self.senders.get_mut(tenant) else {
            return true;
        };
        // While all together ask for less than their quotas, chance in a small bucket turns none away.
        // A falling level empties the buckets too: what many hold back would keep a jam going for long.
        let burst = (BURST * self.level).clamp(1.0, BURST);
        let pooled = self
            .pool
            .fill(self.now, POOL * self.quota_share * self.level, burst);
        let quota = self
            .settings
            .tenants
            .get(tenant)
            .map_or(f64::INFINITY, |t| t.quota_per_s);
        let part = self.level * quota / f64::from(self.settings.balancer_count.max(1));
        let room = sender.fill(self.now, part, burst + part * self.aim as f64 / 1e6);
        let admitted = room || pooled || self.level >= LEVEL.2;
        if admitted {
            sender.take();
            self.pool.take();
            h.charged = Some(tenant);
        }
        admitted
    }

    /// Chooses and makes the next call of a request that has none out.
    fn step(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        if self.now >= self.useful_until(h) || u32::from(h.sent) >= self.settings.max_attempts {
            return self.end(id, out);
        }
        if h.write || h.missed {
            return self.origin_call(id, out);
        }
        if !self
            .pick(id)
            .is_some_and(|server| self.send(id, server, Call::Cache, out))
        {
            self.end(id, out);
        }
    }

    fn useful_until(&self, h: &Held) -> Micros {
        if self.settings.classes[h.class].late_weight > 0.0 {
            h.ends
        } else {
            h.aim_at.min(h.ends)
        }
    }

    // The key's order.

    /// The first server in the key's order within the load bound, else the first; none where that is full.
    fn pick(&self, id: RequestId) -> Option<ServerId> {
        let h = &self.held[&id];
        let key = if h.key == 0 { id } else { h.key };
        let left = self.useful_until(h).saturating_sub(self.now) as f64;
        let multiple =
            BOUND.0 + (BOUND.1 - BOUND.0) * (self.gate.pressed.value() / BOUND.3).min(1.0);
        let bound = multiple * f64::from(self.cache_out + 1) / self.total;
        let floor = BOUND.2 / f64::from(self.settings.balancer_count.max(2)); // All of it from one is a crowd.
        let late = |s: &Server| s.quickest > left;
        let mut best = None;
        for s in self
            .ready(false)
            .filter(|s| !h.tried.contains(&s.line.id) && self.warm_enough(key, h, s))
        {
            // Last, not left out: when most look bad the cause is shared, and there is no better place.
            let aside = s.aside.0 != 0 && (self.now < s.aside.0 || s.in_flight > 0);
            let over = f64::from(s.in_flight) >= (bound * self.capacity(s)).max(floor);
            let thinned = 1.0 - self.part(s);
            let thinned = thinned > 0.0 && unit_hash(key, s.line.id, 3) < thinned;
            let over = over || thinned || self.queue(id, s) > left * FULL;
            // A client in a hurry is served by a server near by or not at all.
            let place = (aside, late(s), over, self.place(key, s), s.line.id);
            if best.is_none_or(|b| place < b) {
                best = Some(place);
            }
        }
        // Passing over a full server for one far down the order would scatter the keys and empty the caches.
        let backlog = |s: &Server| {
            if self.level < LEVEL.2 {
                self.backlog(s)
            } else {
                0.0
            }
        };
        let full = |s: &Server| self.queue(id, s).max(backlog(s)) > left * FULL;
        best.map(|(.., server)| &self.servers[&server])
            .filter(|s| !late(s) && !full(s))
            .map(|s| s.line.id)
    }

    /// Wait at a server by what the list tells of the requests that all balancers together have there. Each
    /// request takes it for more or less, else all balancers would turn away, and come back, in step.
    fn queue(&self, id: RequestId, s: &Server) -> f64 {
        let wait = self.service * s.held_per_core();
        if wait > 0.0 {
            wait * (0.5 + unit_hash(id, s.line.id, 2))
        } else {
            0.0
        }
    }

    /// Time until a server has answered what this balancer has in flight there, at the pace of its latest
    /// answers (Little's law), with a credit for a server that has had little to answer.
    fn backlog(&self, s: &Server) -> f64 {
        let aim = self.aim as f64;
        let credit = if self.service > 0.0 {
            PRIOR_CORES * aim / self.service
        } else {
            0.0
        };
        f64::from(s.in_flight) * aim / (s.answered_lately(self.now, self.aim) + credit.max(PRIOR))
    }

    fn ready(&self, origin: bool) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(move |s| s.line.state == EndpointState::Ready && s.origin == origin)
    }

    fn weight(&self, s: &Server) -> f64 {
        if self.settings.weights_are_sizes {
            f64::from(s.line.weight).max(0.01)
        } else {
            1.0
        }
    }

    /// The part of its keys that a server is left, by what was seen of it and of all of its kind.
    fn part(&self, s: &Server) -> f64 {
        (1.0 - s.thinned)
            * (1.0
                - self
                    .kinds
                    .get(&s.line.kind)
                    .map_or(0.0, |kind| kind.thinned))
    }

    /// What a server can do beside others when it is warm, as its weight and its kind tell.
    fn capacity(&self, s: &Server) -> f64 {
        self.weight(s)
            * (1.0
                - self
                    .kinds
                    .get(&s.line.kind)
                    .map_or(0.0, |kind| kind.thinned))
    }

    fn add_up(&mut self) {
        let (total, count) = self
            .ready(false)
            .fold((0.0, 0.0), |(t, n), s| (t + self.capacity(s), n + 1.0));
        (self.total, self.mean) = (total.max(0.01), total.max(0.01) / f64::max(count, 1.0));
        let warm = |kind| {
            let of = |s: &&Server| {
                s.line.kind == kind && s.line.started + self.settings.warm_up_period <= self.now
            };
            self.ready(false).filter(of).count() as u32
        };
        let warm: Vec<_> = self.kinds.keys().map(|kind| (*kind, warm(*kind))).collect();
        for (kind, warm) in warm {
            self.kinds.entry(kind).or_default().warm = warm;
        }
    }

    /// A server turned an attempt away or is nearly late with it: it is left less of its keys, and its kind a
    /// little less.
    fn overdone(&mut self, server: ServerId) {
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        thin(&mut s.thinned, THIN.0.powf(self.seldom.sqrt()), THIN.2);
        let kind = self.kinds.entry(s.line.kind).or_default();
        let step = kind.step(KIND_STEP);
        thin(&mut kind.thinned, THIN.0.powf(step), THIN.2);
        s.taught += step;
    }

    /// Place of a server in a key's order, the smaller the earlier (weighted rendezvous hashing): the same
    /// at every balancer, and little moves when a server comes or goes.
    fn place(&self, key: Key, s: &Server) -> f64 {
        let draw = unit_hash(key, s.line.id, 0);
        // The same order without the logarithm, which was most of a pick at 475 servers.
        if self.settings.weights_are_sizes {
            -draw.ln() / self.weight(s)
        } else {
            -draw
        }
    }

    /// Part of its capacity that a server has at the least, some time after its start.
    fn warmth(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.line.started) as f64
            / self.settings.warm_up_period.max(1) as f64;
        let share = self.settings.cold_capacity_share;
        if s.line.started == 0 {
            1.0
        } else {
            (share + (1.0 - share) * age).min(1.0)
        }
    }

    /// Against pushing a cold server over: it gets a part of its keys that grows as it warms, the same
    /// keys from every balancer, and from each no more than a part of a warm server's requests. What the warm
    /// ones turn away in a jam goes along the order at all balancers at once, and must not come down on it.
    fn warm_enough(&self, key: Key, h: &Held, s: &Server) -> bool {
        let warmth = self.warmth(s);
        let part =
            COLD_RATE * self.settings.overload_multiple * warmth * self.capacity(s) / self.mean;
        let room = |(level, depth)| level < depth;
        // A hot key would come from all balancers at once, from each within its bucket.
        let hot = || self.recent.iter().filter(|recent| **recent == key).count() > 1;
        warmth >= 1.0
            || (h.sent == 0
                && unit_hash(key, s.line.id, 1) < part
                && room(self.cold_bucket(s))
                && !hot())
    }

    /// Level and depth of the bucket of attempts at a server, as cold as it is.
    fn cold_bucket(&self, s: &Server) -> (f64, f64) {
        let most =
            COLD_RATE * self.settings.overload_multiple * self.warmth(s) * self.borne(s) / 1e6;
        // Of all that is sent within the time this much is usual: m + C * sqrt(m) = all. Its own it counts.
        let balancers = f64::from(self.settings.balancer_count.max(1));
        let all = most * self.settings.overload_window as f64 * balancers;
        let chance = COLD_CHANCE * (1.0 - 1.0 / balancers);
        let root = ((chance * chance + 4.0 * all).sqrt() - chance) / 2.0;
        let rate = if all > 0.0 {
            most * root * root / all
        } else {
            0.0
        };
        let level = s.cold.0 - rate * (self.now - s.cold.1) as f64;
        (
            level.max(0.0),
            (rate * self.settings.overload_window as f64 / 2.0).max(1.0),
        )
    }

    /// Requests a second that a warm server like this one has from this balancer: its part of the usual ones,
    /// or what the warm ones of its kind answer where that is less. A jam shows in the second only: kinds are
    /// thinned alike in it, and what clients ask for is more than any server can do.
    fn borne(&self, s: &Server) -> f64 {
        let part = self.usual_share() * self.capacity(s) / self.total;
        match self.kinds.get(&s.line.kind).map(|kind| kind.borne.usual) {
            Some(answered) if answered > 0.0 => answered.min(part),
            _ => part,
        }
    }

    /// Requests a second that are this balancer's to serve.
    fn share(&self) -> f64 {
        if self.quota_share > 0.0 {
            self.quota_share
        } else {
            self.admitted.per_s
        }
    }

    /// The same as it was over a longer time: what clients ask for again in a jam tells nothing of capacity.
    fn usual_share(&self) -> f64 {
        if self.quota_share > 0.0 {
            self.quota_share
        } else {
            self.admitted.usual
        }
    }

    // Calls to the origin.

    fn origin_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let call = if self.held[&id].write {
            Call::Write
        } else {
            Call::Fetch
        };
        // Where the gate is shut to some, what can't be answered in time takes the place of what can: the
        // origin would work for nobody, and what its client has given up by then is not stored either.
        let in_time = |h: &Held| self.now as f64 + self.gate.usual < self.useful_until(h) as f64;
        if call == Call::Fetch && self.gate.pressed.value() > BOUND.3 && !in_time(&self.held[&id]) {
            self.gate.usual *= USUAL.1;
            return if self.held[&id].out == 0 {
                self.end(id, out)
            };
        }
        let target = match self.settings.origin_kind {
            Some(_) => self.ready(true).map(|s| s.line.id).next(),
            // Servers that fetch for themselves take writes too.
            None => self.pick(id),
        };
        match target.filter(|_| self.gate_open(call)) {
            None => self.postpone(id, out),
            Some(target) if self.send(id, target, call, out) => {}
            Some(_) => self.end(id, out),
        }
    }

    /// What this balancer may have of the gate's figures: an equal part, or what its own requests ask for by
    /// Little's law. Clients come to some balancers several times as often as to others; with equal parts
    /// those would refuse what the origin has room for, as the others leave theirs unused.
    fn gate_part(&self) -> f64 {
        let slow = self.origin_aim as f64 * ORIGIN_SLOW / 1e6;
        self.gate_part
            .max((self.usual_share() * slow / GATE_OUT).min(1.0))
    }

    /// Whether the outstanding cap and the windowed tally let one more call through.
    fn gate_open(&mut self, call: Call) -> bool {
        let window = (self.aim as f64 * GATE_WINDOW / self.gate_part).min(1e6);
        let tally = (self.share() * GATE_RATE.0).max(GATE_RATE.1 * self.gate_part) * window / 1e6;
        self.gate.roll(self.now, window as Micros);
        let g = &self.gate;
        let room = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        let out = |i: usize, part: f64| room(g.out[i], g.limit * part);
        let tallied = |i: usize, part: f64| room(g.tally[i], tally * part);
        // Where there is less than one call out for each balancer, a write does not wait for its fetches.
        let writes = (out(0, 1.0) || g.out[0] == g.out[1]) && tallied(0, 1.0);
        let fetches = || {
            out(0, 1.0) && out(1, GATE_FETCHES) && tallied(1, GATE_FETCHES) && self.now >= g.rest
        };
        let open = writes && (call == Call::Write || fetches());
        self.gate.pressed.add(f64::from(u8::from(!open)), 1.0);
        open
    }

    /// Parks a request that a shut gate stops, for a random delay, while its answer can still earn.
    fn postpone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let delay = self.delay(self.held[&id].class);
        let h = &self.held[&id];
        if self.now + delay >= self.useful_until(h) {
            return if h.out == 0 {
                self.end(id, out)
            };
        }
        if let Some(h) = self.held.get_mut(&id) {
            h.wait += 1;
            self.wakes.at(self.now + delay, Wake::Go(id, h.wait));
        }
    }

    /// The random delay of a blocked call.
    fn delay(&mut self, class: usize) -> Micros {
        let aim = self.settings.classes[class].latency_objective as f64;
        (aim * (DELAY.0 + (DELAY.1 - DELAY.0) * self.rng.unit())) as Micros + 1
    }

    // The one place that sends.

    /// Sends an attempt, or tells that a rule forbids it.
    fn send(&mut self, id: RequestId, server: ServerId, call: Call, out: &mut Vec<Action>) -> bool {
        let (Some(h), Some(s)) = (self.held.get(&id), self.servers.get(&server)) else {
            return false;
        };
        let allowed = self.now < h.ends
            && u32::from(h.sent) < self.settings.max_attempts
            && s.line.state == EndpointState::Ready
            && (h.out == 0 || self.settings.may_hedge)
            && self.may_repeat(h, server);
        if !allowed {
            return false;
        }
        let cold = (self.cold_bucket(s).0 + 1.0, self.now);
        let (attempt, sent, aim) = (
            h.sent,
            self.now,
            self.settings.classes[h.class].latency_objective,
        );
        let slow_after = (aim as f64 * PATIENCE) as Micros;
        if let (Some(h), Some(s)) = (self.held.get_mut(&id), self.servers.get_mut(&server)) {
            (h.sent, h.out) = (h.sent + 1, h.out + 1);
            h.may_have_run.push((attempt, sent, server));
            (s.in_flight, s.cold) = (s.in_flight + 1, cold);
        }
        if call == Call::Cache {
            self.cache_out += 1;
            self.wake(slow_after, Wake::Patience(id, attempt));
        } else {
            self.gate.enter(call);
        }
        self.flights.insert(
            (id, attempt),
            Flight {
                server,
                call,
                sent,
                aim,
                slow_after,
                connecting: false,
            },
        );
        out.push(Action::Send {
            request: id,
            server,
            give_up_after: 0,
        });
        true
    }

    /// No effect twice: a repeat of what may have run goes only where and while it is dropped.
    fn may_repeat(&self, h: &Held, server: ServerId) -> bool {
        let Some(&(_, sent, first)) = h.may_have_run.first() else {
            return true;
        };
        match self.settings.classes[h.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Deduplicated {
                scope: group,
                window,
            } => {
                let (first, next) = (self.servers.get(&first), self.servers.get(&server));
                let shared = first
                    .zip(next)
                    .is_some_and(|(a, b)| a.shares_group(b, group));
                shared && self.now + 2 * self.settings.tick < sent + window
            }
        }
    }

    // An attempt ends.

    fn outcome(&mut self, o: AttemptOutcome, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&(o.request, o.attempt)) else {
            return;
        };
        self.learn(&flight, &o, out);
        let Some(h) = self.held.get_mut(&o.request) else {
            return;
        };
        h.out -= 1;
        if o.status.proves_not_run() {
            h.may_have_run.retain(|&(attempt, ..)| attempt != o.attempt);
        }
        h.missed |= o.status == AttemptStatus::Miss;
        if flight.call == Call::Cache && o.status != AttemptStatus::Miss {
            h.tried.push(flight.server);
        }
        let (others_out, class) = (h.out > 0, h.class);
        if o.request_complete || o.status == AttemptStatus::Served {
            self.cancel_rest(o.request, out);
            self.held.remove(&o.request);
            return;
        }
        if others_out && o.status != AttemptStatus::Miss {
            return; // Their outcomes decide.
        }
        if flight.call != Call::Cache && o.status == AttemptStatus::Rejected {
            return self.postpone(o.request, out);
        }
        // Repeating what may still run adds work just when things are slow: only on a budget.
        // Where each attempt opens a connection, one turned away has cost the server work all the same.
        let costly = self.crowded && flight.call == Call::Cache && o.status != AttemptStatus::Miss;
        // A connection that broke or a request that failed before its answer was due tells of no load.
        let early = self.now - flight.sent < flight.slow_after;
        let broke = matches!(o.status, AttemptStatus::Reset | AttemptStatus::Error) && early;
        let price = if broke { 0.0 } else { 1.0 };
        if costly || !o.status.proves_not_run() {
            if self.repeats < price
                || self.settings.classes[class].idempotency != Idempotency::Idempotent
            {
                return self.end(o.request, out);
            }
            self.repeats -= price;
        }
        self.step(o.request, out);
    }

    /// What an outcome tells of its server and of the strain on the fleet, or of the origin.
    fn learn(&mut self, flight: &Flight, o: &AttemptOutcome, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&flight.server) else {
            return;
        };
        s.in_flight = s.in_flight.saturating_sub(1);
        // The tables of the servers have no room for an idle connection from each of many balancers.
        if s.in_flight == 0 && self.crowded {
            out.push(Action::CloseIdle(flight.server));
        }
        if flight.call != Call::Cache {
            return self.learn_origin(flight, o, out);
        }
        self.cache_out -= 1;
        // A late answer has been counted when it became late: waiting for its end would lag the overload.
        if self.now - flight.sent < flight.slow_after {
            self.strain.add(
                f64::from(u8::from(o.status == AttemptStatus::Rejected)),
                1.0,
            );
        }
        match o.status {
            AttemptStatus::Rejected => self.overdone(flight.server),
            AttemptStatus::Served | AttemptStatus::Miss
                if self.now - flight.sent < 2 * flight.slow_after =>
            {
                s.thinned = (s.thinned - THIN.1 * self.seldom.sqrt()).max(0.0);
                s.taught = 0.0;
                let kind = self.kinds.entry(s.line.kind).or_default();
                kind.thinned = (kind.thinned - THIN.1 * kind.step(KIND_STEP)).max(0.0);
                if kind.warm > 0 && s.line.started + self.settings.warm_up_period <= self.now {
                    kind.borne.count(1.0 / f64::from(kind.warm));
                }
            }
            _ => {}
        }
        let Some(s) = self.servers.get_mut(&flight.server) else {
            return;
        };
        match o.status {
            // A server that fails each request at once looks idle and would draw ever more of them.
            AttemptStatus::ConnectFailed | AttemptStatus::Reset | AttemptStatus::Error => {
                s.unreachable = o.status == AttemptStatus::ConnectFailed;
                self.strike(flight.server, out);
            }
            AttemptStatus::TimedOut => s.unreachable = false,
            AttemptStatus::NotSent | AttemptStatus::Cancelled => {}
            _ => {
                let sample = (self.now - flight.sent) as f64 / (1.0 + s.held_per_core());
                if o.status == AttemptStatus::Served {
                    let quicker = sample < s.quickest || s.quickest == 0.0;
                    s.quickest += if quicker { 1.0 } else { QUICKEST } * (sample - s.quickest);
                    self.service +=
                        if self.service == 0.0 { 1.0 } else { 0.1 } * (sample - self.service);
                }
                s.answered = 1.0 + s.answered_lately(self.now, flight.aim);
                let away = s.unreachable && s.strikes >= STRIKES;
                (s.heard, s.strikes) = (self.now, s.strikes.saturating_sub(1));
                if s.aside.0 != 0 {
                    s.aside = (0, 0);
                    out.push(Action::Log(LogEvent::ServerReadmitted {
                        server: flight.server,
                    }));
                    s.unreachable = false;
                    // It refused connections for long and answers again: a new process, cold, and the list is
                    // late. Once may have been for want of room.
                    if away {
                        s.line.started = s.line.started.max(self.now);
                        self.begin_cold(flight.server);
                    }
                }
            }
        }
    }

    /// A slow, failing or refusing origin lowers the gate's limit, within a floor; good answers restore it.
    fn learn_origin(&mut self, flight: &Flight, o: &AttemptOutcome, out: &mut Vec<Action>) {
        let slow = self.now - flight.sent > (self.origin_aim as f64 * ORIGIN_SLOW) as Micros;
        let (part, least) = (self.gate_part(), GATE_OUT * self.gate_part * GATE_CUT.1);
        let (g, most) = (&mut self.gate, GATE_OUT * part);
        g.leave(flight.call);
        let was = g.limit;
        // A limit of less than one is kept by a rest after each call.
        let rest = (1.0 / (g.limit * GATE_FETCHES) - 1.0).max(0.0) * (0.5 + self.rng.unit());
        g.rest = self.now + (rest * (self.now - flight.sent) as f64) as Micros;
        if o.status == AttemptStatus::Served && flight.call == Call::Fetch {
            let took = (self.now - flight.sent) as f64;
            g.usual += if g.usual == 0.0 { 1.0 } else { USUAL.0 } * (took - g.usual);
        }
        if o.status == AttemptStatus::Served && !slow {
            g.limit = (g.limit + (part / g.limit).min(g.limit)).min(most);
        } else if o.status != AttemptStatus::NotSent && flight.sent >= g.cut_at {
            // One cut for all calls that were out together.
            g.cut_at = self.now;
            g.limit = (g.limit * GATE_CUT.0).max(least);
        }
        log_crossing(
            out,
            was,
            g.limit,
            most / 4.0,
            LogEvent::OriginLimitLowered,
            LogEvent::OriginLimitRestored,
        );
    }

    /// A server that fails several times in a row, with no answer between, is set aside for a while.
    fn strike(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        s.strikes += 1;
        let trial_failed = s.aside.0 != 0 && self.now >= s.aside.0;
        // A refused connect leaves nothing to chance: no process is there, or it has no room.
        if trial_failed || (s.aside.0 == 0 && (s.strikes >= STRIKES || s.unreachable)) {
            let (least, most) = if s.unreachable {
                (self.seldom, ASIDE.2)
            } else {
                (1.0, ASIDE.1)
            };
            let [least, most] =
                [least * ASIDE.0, most].map(|aims| (self.aim as f64 * aims) as Micros);
            let time = (s.aside.1 * 2).clamp(least, most.max(least));
            s.aside = (self.now + time, time);
            // It was silent or failed: that tells nothing of how many keys it can bear, or its kind.
            s.thinned = 0.0;
            if let Some(kind) = self.kinds.get_mut(&s.line.kind) {
                let taught = THIN.0.powf(std::mem::take(&mut s.taught));
                kind.thinned = (1.0 - (1.0 - kind.thinned) / taught).max(0.0);
            }
            out.push(Action::Log(LogEvent::ServerEjected {
                server,
                ejected_for: time,
            }));
        }
    }

    /// A connection came up later than attempts wait for one: the way is slow, but the server is there.
    fn reached(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        if s.in_flight == 0 && self.crowded {
            out.push(Action::CloseIdle(server));
        }
        if std::mem::take(&mut s.unreachable) {
            (s.strikes, s.aside) = (s.strikes.saturating_sub(1), (0, 0));
            out.push(Action::Log(LogEvent::ServerReached { server }));
        }
    }

    /// A server's time counts from when an attempt is written: how long the way there took tells nothing of
    /// its load.
    fn connection(&mut self, id: RequestId, attempt: u16, up: bool) {
        let Some(f) = self.flights.get_mut(&(id, attempt)) else {
            return;
        };
        f.connecting = !up;
        if up {
            f.sent = self.now;
            let patience = f.slow_after;
            self.wake(patience, Wake::Patience(id, attempt));
        }
    }

    /// An attempt has had no answer for long: a sign of overload, and against silent and hanging servers a
    /// strike when the server has answered nothing since.
    fn patience(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(&f) = self.flights.get(&(id, attempt)) else {
            return;
        };
        let (age, patience) = (self.now - f.sent, f.slow_after + 1);
        if f.connecting {
            return self.hedge(id, f.server, out);
        }
        if age < f.slow_after {
            return; // It was written later than sent, and is looked at again.
        }
        // Half a sign when it becomes slow, and is counted, and half when nearly late: slow is not yet lost.
        self.strain.add(
            if age < f.aim { 0.5 } else { 0.0 },
            if age < patience * 3 / 2 { 1.0 } else { 0.0 },
        );
        if age < patience * 3 / 2 {
            self.hedge(id, f.server, out);
        } else if age < f.aim {
            self.overdone(f.server);
        }
        if age < f.aim {
            return self.wake(patience, Wake::Patience(id, attempt));
        }
        // One strike for one attempt: a single slow request is no sign of a sick server.
        if self
            .servers
            .get(&f.server)
            .is_some_and(|s| s.heard < f.sent)
        {
            self.strike(f.server, out);
        }
    }

    /// Against a slow or silent server, of which one of many balancers sees too little to avoid it: a read
    /// that waits long is sent to the next server too. Where it sees enough, a copy would only add a fetch.
    fn hedge(&mut self, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get_mut(&id).filter(|h| h.out == 1 && !h.missed) else {
            return;
        };
        let known = self
            .servers
            .get(&server)
            .is_some_and(|s| s.answered_lately(self.now, self.aim) >= PRIOR);
        if known
            || self.settings.classes[h.class].idempotency != Idempotency::Idempotent
            || !self.settings.may_hedge
            || self.repeats < 1.0
        {
            return;
        }
        h.tried.push(server);
        if self
            .pick(id)
            .is_some_and(|next| self.send(id, next, Call::Cache, out))
        {
            self.repeats -= 1.0;
        }
    }

    // A request ends.

    /// At the aim, where late answers earn nothing, an attempt at a cache server only crowds out those that
    /// can still be in time. A call to the origin runs on anyway, and its answer fills the cache.
    fn time_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        let origin = |attempt| {
            self.flights
                .get(&(id, attempt))
                .is_some_and(|f| f.call != Call::Cache)
        };
        if self.now >= h.ends || !(0..h.sent).any(origin) {
            self.end(id, out);
        }
    }

    /// The one place that gives a final answer: a refusal where a retry is harmless, else a failure.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        // A quota is of answers: what was not served is given back, else one held to its quota gets less.
        let charged = h.charged.filter(|_| self.level >= LEVEL.1);
        charged
            .and_then(|tenant| self.senders.get_mut(tenant))
            .into_iter()
            .for_each(Bucket::give_back);
        let (class, harmless) = (h.class, h.may_have_run.is_empty());
        // A refused client is told to come back after the delay of a blocked call, random as that is: told to
        // wait for longer it comes back too late, and its answer takes another's place.
        out.push(
            match self.settings.classes[class].idempotency == Idempotency::Idempotent || harmless {
                true => {
                    let retry_after = self.delay(class).min(self.settings.max_retry_after);
                    Action::Reject {
                        request: id,
                        retry_after,
                    }
                }
                false => Action::Fail(id),
            },
        );
        self.cancel_rest(id, out);
        self.held.remove(&id);
    }

    /// Work that nobody waits for is wasted and holds up the rest.
    fn cancel_rest(&self, id: RequestId, out: &mut Vec<Action>) {
        let sent = self
            .held
            .get(&id)
            .filter(|h| h.out > 0 && self.settings.may_cancel)
            .map_or(0, |h| h.sent);
        let out_still = (0..sent).filter(|attempt| self.flights.contains_key(&(id, *attempt)));
        out.extend(out_still.map(|attempt| Action::Cancel {
            request: id,
            attempt,
        }));
    }

    // The server list.

    fn server_list(&mut self, kind: ListUpdate, lines: Vec<Endpoint>) {
        self.subscribe_tries = if kind == ListUpdate::Cached {
            self.subscribe_tries
        } else {
            0
        };
        if kind != ListUpdate::Delta {
            self.servers
                .values_mut()
                .for_each(|s| s.line.state = EndpointState::Removed);
        }
        let mut begun = Vec::new();
        for line in lines {
            let s = self.servers.entry(line.id).or_default();
            s.origin = self.settings.origin_kind == Some(line.kind);
            // A new process starts with a clean record. One presumed cold stays so until the list knows.
            if line.started > s.line.started {
                (s.strikes, s.aside, s.thinned) = (0, (0, 0), 0.0);
                begun.push(line.id);
            }
            s.size = if self.settings.weights_are_live {
                s.size.max(line.weight)
            } else {
                line.weight
            };
            let started = if line.started == 0 {
                0
            } else {
                line.started.max(s.line.started)
            };
            s.line = Endpoint { started, ..line };
        }
        // Gone and owing nothing: forgotten here, as a walk over the fleet at each review cost much CPU.
        self.servers
            .retain(|_, s| s.line.state != EndpointState::Removed || s.in_flight > 0);
        self.add_up();
        begun.into_iter().for_each(|id| self.begin_cold(id));
    }

    /// The bucket of a server that has just started is full: the first attempt comes after a chance part of
    /// the time between two. A token at once from each of many balancers would push it over.
    fn begin_cold(&mut self, server: ServerId) {
        let used = self.rng.unit()
            + self
                .servers
                .get(&server)
                .map_or(1.0, |s| self.cold_bucket(s).1);
        self.servers
            .entry(server)
            .and_modify(|s| s.cold = (used, self.now));
    }

    /// Discovery has little capacity: it is asked again later each time, and not by all at once.
    fn discovery_failed(&mut self, out: &mut Vec<Action>) {
        // Each call that waits in vain costs discovery as well: many begin with a long pause.
        let tries = self.subscribe_tries + u32::from(self.seldom > 1.0);
        let base = ((self.settings.notified_within / 16) << tries.min(ASK_AGAIN)).min(ASK_PAUSE);
        self.subscribe_tries += 1;
        let delay = (base as f64 * (0.5 + self.rng.unit())) as Micros;
        self.wake(delay, Wake::Subscribe);
        out.push(Action::Log(LogEvent::DiscoveryRetry { backoff: delay }));
    }

    // Now and then.

    /// Moves the level that tenants are held to, by the strain seen lately.
    fn review(&mut self, out: &mut Vec<Action>) {
        let period = (self.aim / 8).max(self.settings.tick).max(1);
        let was = self.level;
        let strain = self.strain.value();
        let (floor, hold) = if strain > STRAIN.1 {
            (LEVEL.0, false)
        } else {
            (LEVEL.1, strain > STRAIN.0)
        };
        // It hastens in a jam, which grows by itself, and where few or no requests are left to judge by.
        let haste = strain > STRAIN.1 || was < LEVEL.1 || (self.cache_out == 0 && strain <= 0.0);
        let part = if haste {
            1.0
        } else {
            (self.strain.fresh / LEVEL_STEPS.2).min(1.0)
        };
        self.level = match strain > STRAIN.1 || (hold && was > LEVEL.1) {
            true => (was * LEVEL_STEPS.0.powf(part)).max(floor),
            false => (was * LEVEL_STEPS.1.powf(part)).min(if hold { LEVEL.1 } else { LEVEL.2 }),
        };
        log_crossing(
            out,
            was,
            self.level,
            LEVEL.2,
            LogEvent::LoadSheddingStarted,
            LogEvent::LoadSheddingEnded,
        );
        let regained = period as f64 / (THIN_FOR * self.aim as f64);
        let kinds = self.kinds.values_mut().map(|kind| &mut kind.thinned);
        let parts = self
            .servers
            .values_mut()
            .map(|s| &mut s.thinned)
            .chain(kinds);
        parts.for_each(|thinned| *thinned = (*thinned - regained).max(0.0));
        self.strain.fade(FADE.0, FADE.1);
        self.gate.pressed.fade(FADE.0, FADE.1);
        self.admitted.roll(period);
        self.kinds
            .values_mut()
            .for_each(|kind| kind.borne.roll(period));
        self.add_up();
        self.wake(period, Wake::Review);
    }
}
