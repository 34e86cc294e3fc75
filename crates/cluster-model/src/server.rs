//! A cache server: a machine with a memory. It answers with hits and misses, rejects attempts that exceed its queue, and
//! collapses when it is sent more than it can do for too long while it warms up.

use crate::Micros;
use crate::accepted_jobs::{AcceptedJobs, CompletedJob};
use crate::machine::{JobId, Machine, MachineConfig};
use crate::memory::Memory;
use crate::slow_start_budget::{Collapse, OfferedLoad, OfferedWork, SlowStartBudget};

/// Properties of a cache server. Times are in microseconds, work in microseconds of the reference core.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheServerConfig {
    /// The machine that it runs on.
    pub machine: MachineConfig,
    /// Size of its memory in bytes.
    pub memory_bytes: u64,
    /// Values expire after this time; 0 for never.
    pub time_to_live: Micros,
    /// Work of a miss as a fraction of the work of a hit.
    pub miss_work_share: f64,
    /// Work of a rejection.
    pub rejection_work: f64,
    /// What it bears while it warms up.
    pub slow_start: SlowStartBudget,
}

impl Default for CacheServerConfig {
    fn default() -> Self {
        CacheServerConfig {
            machine: MachineConfig::default(),
            memory_bytes: 64 * 1024 * 1024,
            time_to_live: 0,
            miss_work_share: 0.3,
            rejection_work: 0.0,
            slow_start: SlowStartBudget::default(),
        }
    }
}

/// What an attempt asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lookup {
    /// The key.
    pub key: u64,
    /// Work of a hit, in microseconds of the reference core.
    pub work: f64,
    /// Whether the sender knew, or should have known, when this server last started.
    pub informed: bool,
}

/// How a cache server answers an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// With the value.
    Hit,
    /// It does not have the value.
    Miss,
    /// It rejected the attempt unprocessed.
    Busy,
    /// No process is there: the connection is refused.
    Refused,
}

/// What becomes of an attempt on arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is worked on; its response comes later from [`CacheServer::take_completed`].
    Accepted,
    /// It has its response at once.
    Answered(Response),
    /// It made the server collapse; these accepted attempts are lost.
    Collapsed(Vec<JobId>),
}

/// A cache server. The times passed to it must never decrease.
#[derive(Debug)]
pub struct CacheServer {
    config: CacheServerConfig,
    machine: Machine,
    memory: Memory,
    started: Micros,
    running: bool,
    draining: bool,
    /// The response that each accepted attempt will get.
    accepted: AcceptedJobs<Response>,
    offered: OfferedLoad,
    collapse: Option<Collapse>,
}

impl CacheServer {
    /// A server with an empty memory that started at `started` (0: long ago, so that it is warm).
    pub fn new(config: CacheServerConfig, started: Micros, now: Micros) -> Self {
        // One that started long ago is warm, wherever the clock begins.
        let cold_share = if started == 0 {
            1.0
        } else {
            config.machine.cold_share
        };
        let machine = MachineConfig {
            cold_share,
            ..config.machine.clone()
        };
        CacheServer {
            machine: Machine::new(machine, started, now),
            memory: Memory::new(config.memory_bytes, config.time_to_live),
            started,
            running: true,
            draining: false,
            accepted: AcceptedJobs::default(),
            offered: OfferedLoad::default(),
            collapse: None,
            config,
        }
    }

    /// When its process started, 0 for long ago.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// Whether its process runs.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// How it collapsed, if it did.
    pub fn collapse(&self) -> Option<Collapse> {
        self.collapse
    }

    /// Its machine.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Its memory.
    pub fn memory(&mut self) -> &mut Memory {
        &mut self.memory
    }

    /// From now on a neighbour uses this fraction of the machine, 0 for none.
    pub fn set_stolen_share(&mut self, now: Micros, share: f64) {
        self.machine.set_stolen_share(now, share);
    }

    /// From now on it completes what it has accepted and rejects everything else.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Its process ends. Returns the accepted attempts, which get no response.
    pub fn stop(&mut self) -> Vec<JobId> {
        self.running = false;
        self.accepted.clear();
        self.memory.clear();
        self.machine.stop()
    }

    /// A new process starts in its place, empty and cold.
    pub fn restart(&mut self, now: Micros) {
        self.stop();
        // A start at time 0 would mean "long ago".
        *self = CacheServer::new(self.config.clone(), now.max(1), now);
    }

    /// An attempt arrives.
    pub fn submit(&mut self, now: Micros, job: JobId, lookup: Lookup) -> Admission {
        if !self.running {
            return Admission::Answered(Response::Refused);
        }
        if self.collapses_under(now, &lookup) {
            return Admission::Collapsed(self.stop());
        }
        // The response is settled on arrival: a value that is stored before completion is not seen.
        let hit = self.memory.get(now, lookup.key);
        let (response, work) = if hit {
            (Response::Hit, lookup.work)
        } else {
            (Response::Miss, lookup.work * self.config.miss_work_share)
        };
        if self.draining || !self.machine.submit(now, job, work) {
            self.machine
                .charge_overhead(now, self.config.rejection_work);
            return Admission::Answered(Response::Busy);
        }
        self.accepted.insert(job, response);
        Admission::Accepted
    }

    /// Whether one more attempt makes it collapse. Attempts that will be rejected count as well. The capacity at the end
    /// of the window stands for the whole window, in which it changes little.
    fn collapses_under(&mut self, now: Micros, lookup: &Lookup) -> bool {
        let budget = self.config.slow_start;
        if !budget.is_limited() || self.machine.warm_fraction(now) >= 1.0 {
            self.offered.clear();
            return false;
        }
        let arrival = OfferedWork {
            at: now,
            work: lookup.work,
            informed: lookup.informed,
        };
        self.offered.add(arrival, budget.window);
        let capacity = self.machine.capacity(now);
        self.collapse = self.offered.collapse(&budget, capacity, now, self.started);
        self.collapse.is_some()
    }

    /// Cancels an attempt. True if it is dropped; otherwise it is worked on and gets its response.
    pub fn cancel(&mut self, now: Micros, job: JobId) -> bool {
        let dropped = self.machine.cancel(now, job);
        if dropped {
            self.accepted.remove(job);
        }
        dropped
    }

    /// The attempts that are completed by now, with their responses.
    pub fn take_completed(&mut self, now: Micros) -> Vec<CompletedJob<Response>> {
        self.accepted.take_completed(&mut self.machine, now)
    }

    /// When the next attempt will be completed if no other arrives before.
    pub fn next_event_at(&self) -> Option<Micros> {
        self.machine.next_event_at().filter(|_| self.running)
    }
}
