//! A cache server: a machine with a memory of cached values. It answers with hits and misses and rejects attempts that
//! exceed its queue. While it warms up, it collapses if the load of a time window exceeds its slow-start budget.

use crate::Micros;
use crate::accepted_jobs::{AcceptedJobs, CompletedJob};
use crate::machine::{JobId, Machine, MachineConfig};
use crate::memory::Memory;
use crate::slow_start_budget::{Collapse, OfferedLoad, OfferedWork, SlowStartBudget};

/// Properties of a cache server. Times are in microseconds, work in microseconds of the reference core.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheServerConfig {
    /// The machine that the server runs on.
    pub machine: MachineConfig,
    /// Size of the memory in bytes.
    pub memory_bytes: u64,
    /// Time after which values expire; 0 for never.
    pub time_to_live: Micros,
    /// Work of a miss as a fraction of the work of a hit.
    pub miss_work_share: f64,
    /// Work of a rejection.
    pub rejection_work: f64,
    /// Load that the server withstands while it warms up.
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

/// The lookup that an attempt requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lookup {
    /// The requested key.
    pub key: u64,
    /// Work of a hit, in microseconds of the reference core.
    pub work: f64,
    /// Whether the sender knew, or should have known, the time of the latest start of this server.
    pub sender_knows_start: bool,
}

/// How a cache server answers an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The response has the value.
    Hit,
    /// The server does not have the value.
    Miss,
    /// The server rejected the attempt unprocessed.
    Busy,
    /// No process is running, so the connection is refused.
    Refused,
}

/// Result of the arrival of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The attempt was accepted. [`CacheServer::take_completed`] returns its response later.
    Accepted,
    /// The attempt gets this response immediately.
    Answered(Response),
    /// The attempt made the server collapse. These accepted attempts are lost.
    Collapsed(Vec<JobId>),
}

/// A cache server. The times that are passed to its methods must never decrease.
#[derive(Debug)]
pub struct CacheServer {
    config: CacheServerConfig,
    machine: Machine,
    memory: Memory,
    started: Micros,
    running: bool,
    draining: bool,
    /// The accepted attempts with the response that each will get.
    accepted: AcceptedJobs<Response>,
    offered: OfferedLoad,
    collapse: Option<Collapse>,
}

impl CacheServer {
    /// Creates a server with an empty memory that started at `started`. 0 means long ago: the server is warm.
    pub fn new(config: CacheServerConfig, started: Micros, now: Micros) -> Self {
        // The clock may begin shortly after 0, so a server that started long ago is made warm by its configuration.
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

    /// Time at which the process started; 0 for long ago.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// Whether the process is running.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// The collapse of the server, if it has collapsed.
    pub fn collapse(&self) -> Option<Collapse> {
        self.collapse
    }

    /// The machine that the server runs on.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// The cached values.
    pub fn memory(&mut self) -> &mut Memory {
        &mut self.memory
    }

    /// Sets the fraction of the machine that another tenant of the host uses from now on; 0 for none.
    pub fn set_stolen_share(&mut self, now: Micros, share: f64) {
        self.machine.set_stolen_share(now, share);
    }

    /// Starts draining: the server completes the attempts that it has accepted and rejects all others.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Stops the process. Returns the accepted attempts, which get no response.
    pub fn stop(&mut self) -> Vec<JobId> {
        self.running = false;
        self.accepted.clear();
        self.memory.clear();
        self.machine.stop()
    }

    /// Starts a new process with an empty memory on a cold machine.
    pub fn restart(&mut self, now: Micros) {
        self.stop();
        // A start at time 0 would mean "long ago", and the server would be warm.
        *self = CacheServer::new(self.config.clone(), now.max(1), now);
    }

    /// Submits an attempt.
    pub fn submit(&mut self, now: Micros, job: JobId, lookup: Lookup) -> Admission {
        if !self.running {
            return Admission::Answered(Response::Refused);
        }
        if self.collapses_on_arrival(now, &lookup) {
            return Admission::Collapsed(self.stop());
        }
        // The response is determined on arrival. A value that is stored before the completion has no effect on it.
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

    /// Records the load of an arriving attempt, and returns whether the attempt makes the server collapse. Attempts
    /// that will be rejected count as well. The capacity at the end of the window is used for the whole window, as it
    /// changes little within it.
    fn collapses_on_arrival(&mut self, now: Micros, lookup: &Lookup) -> bool {
        let budget = self.config.slow_start;
        if !budget.is_limited() || self.machine.warm_fraction(now) >= 1.0 {
            self.offered.clear();
            return false;
        }
        let arrival = OfferedWork {
            at: now,
            work: lookup.work,
            sender_knows_start: lookup.sender_knows_start,
        };
        self.offered.add(arrival, budget.window);
        let capacity = self.machine.capacity(now);
        self.collapse = self.offered.collapse(&budget, capacity, now, self.started);
        self.collapse.is_some()
    }

    /// Cancels an attempt. Returns true if it was dropped. Otherwise it is processed and gets its response.
    pub fn cancel(&mut self, now: Micros, job: JobId) -> bool {
        let dropped = self.machine.cancel(now, job);
        if dropped {
            self.accepted.remove(job);
        }
        dropped
    }

    /// Returns the attempts that have completed by now, with their responses.
    pub fn take_completed(&mut self, now: Micros) -> Vec<CompletedJob<Response>> {
        self.accepted.take_completed(&mut self.machine, now)
    }

    /// Time at which the next attempt completes if no other attempt arrives before.
    pub fn next_event_at(&self) -> Option<Micros> {
        self.machine.next_event_at().filter(|_| self.running)
    }
}
