//! A few dozen balancers and cold servers: what all of them together send, first attempts, retries and second copies.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use common::*;
use routing_policy::*;

const SERVERS: u32 = 20;
/// Requests a second over all balancers; a warm server bears its part of them.
const RATE: u64 = 600;
const COLD: [ServerId; 3] = [2, 3, 21];

/// Chance that is the same in each run.
struct Draw(u64);

impl Draw {
    fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % end
    }
}

/// When an attempt has its outcome: the balancer, the request, the attempt, the server, and whether it is turned away.
type Due = (Micros, usize, RequestId, u16, ServerId, bool);

/// What a fleet does with three servers that start cold, one of them new: when each was sent an attempt after its
/// start by a balancer that had been told of it.
struct Fleet {
    draw: Draw,
    nodes: Vec<Node>,
    /// Outcomes to come.
    due: BinaryHeap<Reverse<Due>>,
    told: Vec<bool>,
    sent: Vec<(Micros, ServerId)>,
    begun: Micros,
}

impl Fleet {
    fn new(balancers: u32, seed: u64) -> Self {
        let config = Fleet::settings(balancers);
        let nodes: Vec<_> = (0..balancers)
            .map(|me| {
                Node::seeded(
                    Settings {
                        balancer_index: me,
                        ..config.clone()
                    },
                    SERVERS,
                    seed * 1_000 + u64::from(me),
                )
            })
            .collect();
        let told = vec![false; nodes.len()];
        let draw = Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        Fleet {
            draw,
            nodes,
            due: BinaryHeap::new(),
            told,
            sent: Vec::new(),
            begun: 0,
        }
    }

    fn settings(balancers: u32) -> Settings {
        Settings {
            balancer_count: balancers,
            cold_capacity_share: 0.2,
            warm_up_period: 20 * SECOND,
            overload_multiple: 2.5,
            may_hedge: true,
            ..settings()
        }
    }

    /// Sees to what a balancer wants sent: most is answered soon, some is turned away, some late, some a miss.
    fn act(&mut self, at: usize, attempts: &mut [u16], actions: &[Action]) {
        let now = self.nodes[at].now;
        for action in actions {
            let Action::Send {
                request, server, ..
            } = action
            else {
                continue;
            };
            if COLD.contains(server) && self.begun > 0 && self.told[at] {
                self.sent.push((now, *server));
            }
            let place = (*request % attempts.len() as u64) as usize;
            let attempt = attempts[place];
            attempts[place] += 1;
            let (late, full) = (self.draw.below(12) == 0, self.draw.below(8) == 0);
            let after = if late {
                400 * MS
            } else {
                (15 + self.draw.below(40)) * MS
            };
            let full = full && *server != ORIGIN;
            self.due
                .push(Reverse((now + after, at, *request, attempt, *server, full)));
        }
    }

    /// Plays some seconds. The lists reach the balancers over one and a half; some have just restarted.
    fn play(&mut self, restarted: bool) {
        let mut attempts = vec![0u16; 1 << 16];
        let mut id = 0;
        let (start, step) = (self.nodes[0].now, 5 * MS);
        let cold_at = start + 15 * SECOND;
        let hears: Vec<_> = self
            .nodes
            .iter()
            .map(|_| cold_at + self.draw.below(1_500) * MS)
            .collect();
        for tick in 0..(25 * SECOND / step) {
            let now = start + tick * step;
            if self.begun == 0 && now >= cold_at {
                self.begun = now;
            }
            for (at, hears) in hears.iter().enumerate() {
                if now >= *hears && !self.told[at] {
                    self.told[at] = true;
                    if restarted && at % 3 == 0 {
                        let balancers = self.nodes.len() as u32;
                        let config = Settings {
                            balancer_index: at as u32,
                            ..Fleet::settings(balancers)
                        };
                        let mut fresh = Node::seeded(config, SERVERS, self.draw.below(1 << 40));
                        fresh.now = now;
                        self.nodes[at] = fresh;
                        // What it had out ends with its process.
                        let due = std::mem::take(&mut self.due).into_iter();
                        self.due = due.filter(|Reverse(outcome)| outcome.1 != at).collect();
                    }
                    let cold = COLD.map(|id| Endpoint {
                        started: cold_at,
                        ..server(id)
                    });
                    let actions = self.nodes[at].list(ListUpdate::Delta, cold.to_vec());
                    self.act(at, &mut attempts, &actions);
                }
                let behind = now.saturating_sub(self.nodes[at].now);
                let actions = self.nodes[at].pass(behind);
                self.act(at, &mut attempts, &actions);
            }
            while let Some(Reverse((due, ..))) = self.due.peek()
                && *due <= now
            {
                let Some(Reverse((_, at, request, attempt, server, full))) = self.due.pop() else {
                    break;
                };
                let miss = server != ORIGIN && self.draw.below(10) == 0;
                let status = match (full, miss) {
                    (true, _) => AttemptStatus::Rejected,
                    (_, true) => AttemptStatus::Miss,
                    _ => AttemptStatus::Served,
                };
                let actions = self.nodes[at].outcome(request, attempt, server, status);
                self.act(at, &mut attempts, &actions);
            }
            // A burst of three times as much for two seconds, soon after the start.
            let burst = now >= cold_at + SECOND && now < cold_at + 3 * SECOND;
            let asks = RATE * if burst { 3 } else { 1 } * step / SECOND;
            for _ in 0..asks {
                id += 1;
                attempts[(id % (1 << 16)) as usize] = 0;
                let at = self.draw.below(self.nodes.len() as u64) as usize;
                // Popular keys are asked for far more often than others.
                let rank = 1 + self.draw.below(1 + self.draw.0 % 400);
                let actions = self.nodes[at].request(read(id, rank * 7_919));
                self.act(at, &mut attempts, &actions);
            }
        }
    }

    /// The attempts in the worst window at any cold server, and the most that may be in it.
    fn worst(&self) -> (usize, f64) {
        let settings = Fleet::settings(self.nodes.len() as u32);
        let warm = RATE as f64 / f64::from(SERVERS + 1);
        let windows = self.sent.iter().map(|(from, server)| {
            let until = from + settings.overload_window;
            let count = self
                .sent
                .iter()
                .filter(|(at, s)| s == server && at >= from && *at < until)
                .count();
            let age = (until - settings.overload_window / 2 - self.begun) as f64
                / settings.warm_up_period as f64;
            let warmth = (settings.cold_capacity_share
                + (1.0 - settings.cold_capacity_share) * age)
                .min(1.0);
            let n =
                settings.overload_multiple * warmth * warm * settings.overload_window as f64 / 1e6;
            (count, n + 2.0 * n.sqrt() + 2.0)
        });
        windows
            .max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1)))
            .expect("they are used")
    }
}

#[test]
fn twenty_and_thirty_balancers_together_spare_cold_servers_though_some_know_nothing_and_lists_come_late()
 {
    for balancers in [20, 30] {
        for restarted in [false, true] {
            for seed in 1..=3 {
                let mut fleet = Fleet::new(balancers, seed);
                fleet.play(restarted);
                let (count, most) = fleet.worst();
                println!(
                    "{balancers} {restarted} {seed}: {count} of {most:.1}, {} in all",
                    fleet.sent.len()
                );
                assert!(
                    count as f64 <= most,
                    "{balancers} {restarted} {seed}: {count}, {most:.1} may be"
                );
                assert!(
                    fleet.sent.len() >= 30,
                    "{balancers} {restarted} {seed}: they are used"
                );
            }
        }
    }
}
