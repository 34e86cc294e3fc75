//! A machine that works on several jobs at once: they share its cores evenly, it has so many slots and a waiting room,
//! loses efficiency when crowded, is slower while it is cold or a neighbour takes part of it, and turns away what finds
//! no room.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use crate::Micros;

/// Names a job; the caller's own number.
pub type JobId = u64;

/// What a machine is.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Cores. One job uses one at most.
    pub cores: f64,
    /// Work that a core does, as a multiple of the reference core.
    pub speed: f64,
    /// Jobs in work at once.
    pub slots: usize,
    /// Jobs that wait for a slot.
    pub waiting: usize,
    /// From so many jobs held for each core on it loses efficiency,
    pub crowd_from: f64,
    /// this part of it for each further one per core.
    pub crowd_loss: f64,
    /// Part of its capacity that it starts with, 1 for all.
    pub cold_share: f64,
    /// It is warm after this time at the latest.
    pub warm_up: Micros,
    /// Work, as a part of what makes it warm by time alone, that makes it warm as well: at 0.5 a machine that is kept
    /// half busy is warm after half the time. 0 for time alone.
    pub warm_by_work: f64,
    /// Whether a job that is called off while it waits leaves the waiting room.
    pub drops_cancelled: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            cores: 2.0,
            speed: 1.0,
            slots: 8,
            waiting: 6,
            crowd_from: f64::INFINITY,
            crowd_loss: 0.0,
            cold_share: 1.0,
            warm_up: 0,
            warm_by_work: 0.0,
            drops_cancelled: true,
        }
    }
}

/// A job's work, ordered for the queue of those that end next.
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

/// A machine at work. Times given to it never go back.
#[derive(Debug, Clone)]
pub struct Machine {
    spec: Spec,
    started: Micros,
    /// Up to when its work is accounted for.
    at: Micros,
    /// Work that each job in a slot has had since the beginning; they share evenly, so that one figure does for all.
    shared: f64,
    /// Jobs in slots, by the shared figure at which they are done.
    ends: BinaryHeap<Reverse<(Work, JobId)>>,
    /// Jobs in slots, and the work that they came with.
    working: BTreeMap<JobId, f64>,
    waiting: VecDeque<(JobId, f64)>,
    /// Part that a neighbour takes.
    taken: f64,
    /// Work done since it started, in microseconds of the reference core.
    done: f64,
}

impl Machine {
    /// One that started at a time: long ago for one that is warm.
    pub fn new(spec: Spec, started: Micros, now: Micros) -> Self {
        Machine {
            spec,
            started,
            at: now,
            shared: 0.0,
            ends: BinaryHeap::new(),
            working: BTreeMap::new(),
            waiting: VecDeque::new(),
            taken: 0.0,
            done: 0.0,
        }
    }

    /// Part of its capacity that it has, by time and by the work it has done.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Spec {
            cold_share,
            warm_up,
            warm_by_work,
            cores,
            speed,
            ..
        } = self.spec;
        if warm_up == 0 || cold_share >= 1.0 {
            return 1.0;
        }
        let by_time = now.saturating_sub(self.started) as f64 / warm_up as f64;
        let full = cores * speed * warm_up as f64;
        let by_work = if warm_by_work > 0.0 {
            self.done / (full * warm_by_work)
        } else {
            0.0
        };
        (cold_share + (1.0 - cold_share) * (by_time + by_work)).min(1.0)
    }

    /// Work a second that it can do now, in seconds of the reference core.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.spec.cores * self.spec.speed * self.warmth(now) * (1.0 - self.taken)
    }

    /// Jobs in slots and waiting.
    pub fn held(&self) -> usize {
        self.working.len() + self.waiting.len()
    }

    /// Jobs waiting.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Part of its cores that is in use.
    pub fn busy(&self) -> f64 {
        (self.working.len() as f64 / self.spec.cores).min(1.0)
    }

    /// A neighbour takes a part of it from now on, 0 for none.
    pub fn take(&mut self, now: Micros, part: f64) {
        self.catch_up(now);
        self.taken = part.clamp(0.0, 0.99);
    }

    /// Takes a job of so much work, in microseconds of the reference core, unless there is no room.
    pub fn arrive(&mut self, now: Micros, job: JobId, work: f64) -> bool {
        self.catch_up(now);
        if self.working.len() < self.spec.slots {
            self.begin(job, work);
        } else if self.waiting.len() < self.spec.waiting {
            self.waiting.push_back((job, work));
        } else {
            return false;
        }
        true
    }

    /// Work that no job waits for: a handshake, or turning something away. It takes its time from all.
    pub fn distract(&mut self, now: Micros, work: f64) {
        self.catch_up(now);
        let jobs = self.working.len();
        if jobs > 0 {
            self.shared -= work / (jobs as f64).max(self.spec.cores);
        }
    }

    /// Calls a job off. True where it was dropped; one in a slot is worked on to its end.
    pub fn cancel(&mut self, now: Micros, job: JobId) -> bool {
        self.catch_up(now);
        let place = self.waiting.iter().position(|(waiting, _)| *waiting == job);
        match place.filter(|_| self.spec.drops_cancelled) {
            Some(place) => self.waiting.remove(place).is_some(),
            None => false,
        }
    }

    /// The jobs that are done by now, in the order in which they were; room is given to those that wait.
    pub fn finish(&mut self, now: Micros) -> Vec<JobId> {
        self.catch_up(now);
        let mut finished = Vec::new();
        // Half a microsecond's work: what rounding to whole microseconds leaves undone.
        while let Some(&Reverse((Work(end), job))) = self.ends.peek()
            && end <= self.shared + 0.5 * self.spec.speed
        {
            self.ends.pop();
            self.working.remove(&job);
            finished.push(job);
            if let Some((next, work)) = self.waiting.pop_front() {
                self.begin(next, work);
            }
        }
        finished
    }

    /// When the next job is done, if nothing comes before.
    pub fn due(&self) -> Option<Micros> {
        let Reverse((Work(end), _)) = self.ends.peek()?;
        let left = (end - self.shared).max(0.0) / self.rate(self.at);
        Some(self.at + (left.ceil() as Micros).max(1))
    }

    /// All that it holds, which is lost when it stops.
    pub fn stop(&mut self) -> Vec<JobId> {
        self.ends.clear();
        let working = std::mem::take(&mut self.working).into_keys();
        working
            .chain(
                std::mem::take(&mut self.waiting)
                    .into_iter()
                    .map(|(job, _)| job),
            )
            .collect()
    }

    fn begin(&mut self, job: JobId, work: f64) {
        let end = Work(self.shared + work.max(1.0));
        self.ends.push(Reverse((end, job)));
        self.working.insert(job, work);
    }

    /// Work that each job in a slot gets in a microsecond.
    fn rate(&self, now: Micros) -> f64 {
        let jobs = self.working.len().max(1) as f64;
        let over = (self.held() as f64 / self.spec.cores - self.spec.crowd_from).max(0.0);
        let efficiency = 1.0 / (1.0 + self.spec.crowd_loss * over);
        self.capacity(now) / self.spec.cores * (self.spec.cores / jobs).min(1.0) * efficiency
    }

    fn catch_up(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64;
        let work = passed * self.rate(self.at);
        if !self.working.is_empty() {
            self.shared += work;
            self.done += work * self.working.len() as f64;
        }
        self.at = self.at.max(now);
    }
}
