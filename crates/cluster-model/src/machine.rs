//! A machine that works on several jobs at once. Jobs share its cores evenly; it has a limited number of slots and a
//! limited queue, loses efficiency under congestion, is slower while it warms up or while a neighbour uses part of it,
//! and rejects jobs that exceed its queue.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

use crate::Micros;

/// Identifies a job; the number is the caller's own.
pub type JobId = u64;

/// A neighbour never takes more than this share: some capacity remains, so that every job ends.
const MAX_STOLEN_SHARE: f64 = 0.99;

/// Jobs with less work than this, in microseconds of the reference core, count as this much.
const MIN_JOB_WORK: f64 = 1.0;

/// Work that may be left when a job counts as completed, in microseconds of a core: what rounding completion times to
/// whole microseconds leaves undone.
const ROUNDING_REMAINDER: f64 = 0.5;

/// Properties of a machine. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineConfig {
    /// Number of cores. One job uses one at most.
    pub cores: f64,
    /// Speed of a core as a multiple of the reference core.
    pub speed: f64,
    /// Jobs that are worked on at once.
    pub slots: usize,
    /// Jobs that may wait for a slot.
    pub queue_capacity: usize,
    /// Above this number of jobs per core, in slots or queued, it loses efficiency.
    pub congestion_threshold: f64,
    /// Efficiency lost for each further job per core.
    pub congestion_loss: f64,
    /// Fraction of the full capacity that it has right after a start; 1 for all.
    pub cold_share: f64,
    /// It is warm after this time at the latest.
    pub warm_up: Micros,
    /// Fraction of the work possible in `warm_up` that alone would make it warm: at 0.5, a machine kept half busy is
    /// warm after half the time. 0: it warms up by time alone.
    pub warm_by_work: f64,
    /// Whether a job that is cancelled while it is queued leaves the queue.
    pub drops_cancelled: bool,
}

impl Default for MachineConfig {
    fn default() -> Self {
        MachineConfig {
            cores: 2.0,
            speed: 1.0,
            slots: 8,
            queue_capacity: 6,
            congestion_threshold: f64::INFINITY,
            congestion_loss: 0.0,
            cold_share: 1.0,
            warm_up: 0,
            warm_by_work: 0.0,
            drops_cancelled: true,
        }
    }
}

/// An amount of work with a total order, for the queue of completions.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Work(f64);

impl Eq for Work {}

impl PartialOrd for Work {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Work {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// When a job in a slot is completed, on the scale of [`Machine::work_per_job`]. Ordered by work first, then by job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Completion {
    work: Work,
    job: JobId,
}

/// A job that waits for a slot.
#[derive(Debug, Clone, Copy)]
struct QueuedJob {
    job: JobId,
    work: f64,
}

/// A machine at work. The times passed to it must never decrease.
#[derive(Debug, Clone)]
pub struct Machine {
    config: MachineConfig,
    started: Micros,
    /// Work is accounted for up to this time.
    accounted_until: Micros,
    /// Work that each job in a slot has had since the machine's start. Jobs share evenly, so one number does for all.
    work_per_job: f64,
    /// Jobs in slots, the next to be completed first.
    completions: BinaryHeap<Reverse<Completion>>,
    /// Jobs in slots.
    running: BTreeSet<JobId>,
    queue: VecDeque<QueuedJob>,
    /// Fraction of the capacity that a neighbour uses.
    stolen_share: f64,
    /// Work done since the start, in microseconds of the reference core.
    work_done: f64,
}

impl Machine {
    /// A machine that started at `started`: long ago for one that is warm.
    pub fn new(config: MachineConfig, started: Micros, now: Micros) -> Self {
        Machine {
            config,
            started,
            accounted_until: now,
            work_per_job: 0.0,
            completions: BinaryHeap::new(),
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            stolen_share: 0.0,
            work_done: 0.0,
        }
    }

    /// Fraction of the full capacity that it has reached, by time and by the work it has done.
    pub fn warm_fraction(&self, now: Micros) -> f64 {
        let MachineConfig {
            cold_share,
            warm_up,
            warm_by_work,
            cores,
            speed,
            ..
        } = self.config;
        if warm_up == 0 || cold_share >= 1.0 {
            return 1.0;
        }
        let by_time = now.saturating_sub(self.started) as f64 / warm_up as f64;
        let full_work = cores * speed * warm_up as f64;
        let by_work = if warm_by_work > 0.0 {
            self.work_done / (full_work * warm_by_work)
        } else {
            0.0
        };
        (cold_share + (1.0 - cold_share) * (by_time + by_work)).min(1.0)
    }

    /// Work that it can do now, in seconds of the reference core per second.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.config.cores * self.config.speed * self.warm_fraction(now) * (1.0 - self.stolen_share)
    }

    /// Number of jobs in slots and queued.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Number of jobs queued.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Fraction of its cores that is in use.
    pub fn utilization(&self) -> f64 {
        (self.running.len() as f64 / self.config.cores).min(1.0)
    }

    /// From now on a neighbour uses this fraction of the capacity, 0 for none.
    pub fn set_stolen_share(&mut self, now: Micros, share: f64) {
        self.catch_up(now);
        self.stolen_share = share.clamp(0.0, MAX_STOLEN_SHARE);
    }

    /// Accepts a job with `work` in microseconds of the reference core; false if slots and queue are full.
    pub fn submit(&mut self, now: Micros, job: JobId, work: f64) -> bool {
        self.catch_up(now);
        if self.running.len() < self.config.slots {
            self.run(job, work);
        } else if self.queue.len() < self.config.queue_capacity {
            self.queue.push_back(QueuedJob { job, work });
        } else {
            return false;
        }
        true
    }

    /// Work that belongs to no job, such as a handshake or a rejection: it delays all jobs in slots.
    pub fn charge_overhead(&mut self, now: Micros, work: f64) {
        self.catch_up(now);
        let jobs = self.running.len();
        if jobs > 0 {
            self.work_per_job -= work / (jobs as f64).max(self.config.cores);
        }
    }

    /// Cancels a job. True if it was dropped from the queue; a job in a slot is worked on to its end.
    pub fn cancel(&mut self, now: Micros, job: JobId) -> bool {
        self.catch_up(now);
        if !self.config.drops_cancelled {
            return false;
        }
        let place = self.queue.iter().position(|queued| queued.job == job);
        place.is_some_and(|place| self.queue.remove(place).is_some())
    }

    /// The jobs that are completed by now, in the order of completion. Queued jobs take the slots that become free.
    pub fn take_completed(&mut self, now: Micros) -> Vec<JobId> {
        self.catch_up(now);
        let mut completed = Vec::new();
        while let Some(&Reverse(Completion {
            work: Work(end),
            job,
        })) = self.completions.peek()
            && end <= self.work_per_job + ROUNDING_REMAINDER * self.config.speed
        {
            self.completions.pop();
            self.running.remove(&job);
            completed.push(job);
            if let Some(next) = self.queue.pop_front() {
                self.run(next.job, next.work);
            }
        }
        completed
    }

    /// When the next job will be completed if no other arrives before.
    pub fn next_event_at(&self) -> Option<Micros> {
        let Reverse(next) = self.completions.peek()?;
        let Work(end) = next.work;
        let left = (end - self.work_per_job).max(0.0) / self.work_rate(self.accounted_until);
        Some(self.accounted_until + (left.ceil() as Micros).max(1))
    }

    /// Stops the machine. Returns the jobs in slots, then those queued; all are lost.
    pub fn stop(&mut self) -> Vec<JobId> {
        self.completions.clear();
        let running = std::mem::take(&mut self.running);
        let queued = std::mem::take(&mut self.queue);
        running
            .into_iter()
            .chain(queued.into_iter().map(|queued| queued.job))
            .collect()
    }

    fn run(&mut self, job: JobId, work: f64) {
        let work = Work(self.work_per_job + work.max(MIN_JOB_WORK));
        self.completions.push(Reverse(Completion { work, job }));
        self.running.insert(job);
    }

    /// Work that each job in a slot gets in a microsecond.
    fn work_rate(&self, now: Micros) -> f64 {
        let MachineConfig {
            cores,
            congestion_threshold,
            congestion_loss,
            ..
        } = self.config;
        let jobs = self.running.len().max(1) as f64;
        let excess = (self.job_count() as f64 / cores - congestion_threshold).max(0.0);
        let efficiency = 1.0 / (1.0 + congestion_loss * excess);
        self.capacity(now) / cores * (cores / jobs).min(1.0) * efficiency
    }

    /// Accounts for the work done since the last call.
    fn catch_up(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.accounted_until) as f64;
        let work = elapsed * self.work_rate(self.accounted_until);
        if !self.running.is_empty() {
            self.work_per_job += work;
            self.work_done += work * self.running.len() as f64;
        }
        self.accounted_until = self.accounted_until.max(now);
    }
}
