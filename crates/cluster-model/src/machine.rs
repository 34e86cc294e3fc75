//! A machine that processes several jobs concurrently. Running jobs share the cores evenly. The number of slots and the
//! length of the queue are limited, and jobs that exceed the queue are rejected. The machine loses efficiency under
//! congestion, and is slower while it warms up or while another tenant of its host uses part of the capacity.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

use crate::Micros;

/// Identifies a job. The caller assigns the number.
pub type JobId = u64;

/// Upper limit of the stolen share of the capacity. The rest ensures that every job completes.
const MAX_STOLEN_SHARE: f64 = 0.99;

/// Minimum work of a job, in microseconds of the reference core. Smaller jobs are rounded up to it.
const MIN_JOB_WORK: f64 = 1.0;

/// Work that may remain when a job counts as completed, in microseconds of a core. Completion times are rounded to
/// whole microseconds, which can leave this much work undone.
const ROUNDING_REMAINDER: f64 = 0.5;

/// Properties of a machine. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineConfig {
    /// Number of cores. A job uses at most one core.
    pub cores: f64,
    /// Speed of a core as a multiple of the reference core.
    pub speed: f64,
    /// Maximum number of jobs that run concurrently.
    pub slots: usize,
    /// Maximum number of jobs that wait for a slot.
    pub queue_capacity: usize,
    /// Number of jobs per core, running or queued, above which the machine loses efficiency.
    pub congestion_threshold: f64,
    /// Efficiency loss for each job per core above the threshold: efficiency is 1 / (1 + loss * excess).
    pub congestion_loss: f64,
    /// Fraction of the full capacity that is available right after a start; 1 disables the warm-up.
    pub cold_share: f64,
    /// Maximum duration of the warm-up.
    pub warm_up: Micros,
    /// Work that completes the warm-up, as a fraction of the work that is possible in `warm_up`. At 0.5, a machine that
    /// is kept half busy is warm after half the time. At 0, only time warms the machine up.
    pub warm_by_work: f64,
    /// Whether a queued job that is cancelled is removed from the queue.
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

/// An amount of work with a total order, for use in the priority queue of completions.
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

/// The value of [`Machine::work_per_job`] at which a running job completes. Ordered by work, then by job.
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

/// A running machine. The times that are passed to its methods must never decrease.
#[derive(Debug, Clone)]
pub struct Machine {
    config: MachineConfig,
    started: Micros,
    /// Completed work is accounted for up to this time.
    accounted_until: Micros,
    /// Cumulative work per running job since the machine's start. One number serves all jobs, as they share evenly.
    work_per_job: f64,
    /// Completions of the running jobs, earliest first.
    completions: BinaryHeap<Reverse<Completion>>,
    /// Jobs that occupy a slot.
    running: BTreeSet<JobId>,
    queue: VecDeque<QueuedJob>,
    /// Fraction of the capacity that another tenant of the host uses.
    stolen_share: f64,
    /// Work done since the start, in microseconds of the reference core.
    work_done: f64,
}

impl Machine {
    /// Creates an idle machine that started at `started`. A start that lies `warm_up` or more in the past makes it
    /// warm.
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

    /// Fraction of the full capacity that the warm-up has reached, by elapsed time and by completed work.
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

    /// Current capacity, in seconds of the reference core per second.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.config.cores * self.config.speed * self.warm_fraction(now) * (1.0 - self.stolen_share)
    }

    /// Number of running and queued jobs.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Number of queued jobs.
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Fraction of the cores that are in use.
    pub fn utilization(&self) -> f64 {
        (self.running.len() as f64 / self.config.cores).min(1.0)
    }

    /// Sets the fraction of the capacity that another tenant of the host uses from now on; 0 for none.
    pub fn set_stolen_share(&mut self, now: Micros, share: f64) {
        self.advance_to(now);
        self.stolen_share = share.clamp(0.0, MAX_STOLEN_SHARE);
    }

    /// Submits a job with `work` in microseconds of the reference core. Returns false if slots and queue are full.
    pub fn submit(&mut self, now: Micros, job: JobId, work: f64) -> bool {
        self.advance_to(now);
        if self.running.len() < self.config.slots {
            self.run(job, work);
        } else if self.queue.len() < self.config.queue_capacity {
            self.queue.push_back(QueuedJob { job, work });
        } else {
            return false;
        }
        true
    }

    /// Charges work that belongs to no job, such as a handshake or a rejection. It delays all running jobs.
    pub fn charge_overhead(&mut self, now: Micros, work: f64) {
        self.advance_to(now);
        let jobs = self.running.len();
        if jobs > 0 {
            self.work_per_job -= work / (jobs as f64).max(self.config.cores);
        }
    }

    /// Cancels a job. Returns true if it was removed from the queue. A running job continues until it completes.
    pub fn cancel(&mut self, now: Micros, job: JobId) -> bool {
        self.advance_to(now);
        if !self.config.drops_cancelled {
            return false;
        }
        let index = self.queue.iter().position(|queued| queued.job == job);
        index.is_some_and(|index| self.queue.remove(index).is_some())
    }

    /// Returns the jobs that have completed by now, in order of completion. Queued jobs take the slots that become
    /// free.
    pub fn take_completed(&mut self, now: Micros) -> Vec<JobId> {
        self.advance_to(now);
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

    /// Time at which the next job completes if no other job arrives before.
    pub fn next_event_at(&self) -> Option<Micros> {
        let Reverse(next) = self.completions.peek()?;
        let Work(end) = next.work;
        let left = (end - self.work_per_job).max(0.0) / self.work_rate(self.accounted_until);
        Some(self.accounted_until + (left.ceil() as Micros).max(1))
    }

    /// Stops the machine, which loses all jobs. Returns the running jobs, then the queued jobs.
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

    /// Work that each running job receives in a microsecond.
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

    /// Accounts for the work that was done since the previous call.
    fn advance_to(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.accounted_until) as f64;
        let work = elapsed * self.work_rate(self.accounted_until);
        if !self.running.is_empty() {
            self.work_per_job += work;
            self.work_done += work * self.running.len() as f64;
        }
        self.accounted_until = self.accounted_until.max(now);
    }
}
