//! A cache server: a machine with a memory. It answers what it holds, tells what it lacks, turns away what finds no
//! room, and falls over when it is cold and sent more than it can do for too long.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;
use crate::machine::{JobId, Machine, Spec as MachineSpec};
use crate::memory::Memory;

/// What a cache server is.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Its machine.
    pub machine: MachineSpec,
    /// Bytes that it keeps.
    pub memory: u64,
    /// Its values are void after this time; 0 for never.
    pub keeps: Micros,
    /// Part of the work of an answer that a miss takes.
    pub miss_work: f64,
    /// Work of turning an attempt away, in microseconds of the reference core.
    pub refusal_work: f64,
    /// While it is cold it falls when sent more than this multiple of what it can do (0: it does not fall)
    pub fall_multiple: f64,
    /// within any window of this length,
    pub fall_after: Micros,
    /// and so much work over it, for chance.
    pub fall_slack: f64,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            machine: MachineSpec::default(),
            memory: 64 * 1024 * 1024,
            keeps: 0,
            miss_work: 0.3,
            refusal_work: 0.0,
            fall_multiple: 0.0,
            fall_after: 2_000_000,
            fall_slack: 0.0,
        }
    }
}

/// What an attempt asks of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// The key.
    pub key: u64,
    /// Work of an answer, in microseconds of the reference core.
    pub work: f64,
    /// Whether its sender knew when this server last started, or counts as knowing.
    pub knew: bool,
}

/// What it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It holds the value.
    Hit,
    /// It does not.
    Miss,
    /// It turned the attempt away unseen.
    Busy,
    /// No process is there: the connection is refused.
    Refused,
}

/// What becomes of an attempt that has just come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// Its answer comes later, out of [`Cache::finish`].
    Held,
    /// It has its answer at once.
    Answered(Answer),
    /// It was the one too many: the server has fallen over, and these that it held are lost.
    FellOver(Vec<JobId>),
}

/// Why a cold server fell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fall {
    /// When.
    pub at: Micros,
    /// How long after its start.
    pub age: Micros,
    /// The load of the window as a multiple of what it could do.
    pub multiple: f64,
    /// Part of the load that came from those who knew of the start.
    pub knew: f64,
}

/// A cache server. Times given to it never go back.
#[derive(Debug)]
pub struct Cache {
    spec: Spec,
    machine: Machine,
    memory: Memory,
    started: Micros,
    up: bool,
    draining: bool,
    held: BTreeMap<JobId, (Ask, bool)>,
    /// Attempts of the last window: when, their work, and whether their sender knew.
    offered: VecDeque<(Micros, f64, bool)>,
    load: f64,
    fall: Option<Fall>,
}

impl Cache {
    /// One that is empty and started at a time (0: long ago, so that it is warm).
    pub fn new(spec: Spec, started: Micros, now: Micros) -> Self {
        // One that runs since long ago is warm, whatever the clock's beginning.
        let cold = if started == 0 {
            1.0
        } else {
            spec.machine.cold_share
        };
        let machine = Machine::new(
            MachineSpec {
                cold_share: cold,
                ..spec.machine.clone()
            },
            started,
            now,
        );
        Cache {
            machine,
            memory: Memory::new(spec.memory, spec.keeps),
            started,
            up: true,
            draining: false,
            held: BTreeMap::new(),
            offered: VecDeque::new(),
            load: 0.0,
            fall: None,
            spec,
        }
    }

    /// When its process started, 0 for long ago.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// Whether a process is there.
    pub fn up(&self) -> bool {
        self.up
    }

    /// Why it fell, if it did.
    pub fn fall(&self) -> Option<Fall> {
        self.fall
    }

    /// Its machine.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// What it keeps.
    pub fn memory(&mut self) -> &mut Memory {
        &mut self.memory
    }

    /// A neighbour takes a part of its machine, 0 for none.
    pub fn take(&mut self, now: Micros, part: f64) {
        self.machine.take(now, part);
    }

    /// It finishes what it has and turns all else away.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Its process ends. What it held has no answer; the jobs are returned.
    pub fn stop(&mut self) -> Vec<JobId> {
        self.up = false;
        self.held.clear();
        self.memory.clear();
        self.machine.stop()
    }

    /// A new process starts in its place, empty and cold.
    pub fn restart(&mut self, now: Micros) {
        self.stop();
        *self = Cache::new(self.spec.clone(), now.max(1), now);
    }

    /// An attempt comes.
    pub fn arrive(&mut self, now: Micros, job: JobId, ask: Ask) -> Taken {
        if !self.up {
            return Taken::Answered(Answer::Refused);
        }
        if self.weigh(now, &ask) {
            return Taken::FellOver(self.stop());
        }
        // What it will answer is settled when it begins to look, so that a value stored meanwhile is not seen.
        let hit = self.memory.get(now, ask.key);
        let work = if hit {
            ask.work
        } else {
            ask.work * self.spec.miss_work
        };
        if self.draining || !self.machine.arrive(now, job, work) {
            self.machine.distract(now, self.spec.refusal_work);
            return Taken::Answered(Answer::Busy);
        }
        self.held.insert(job, (ask, hit));
        Taken::Held
    }

    /// Whether one more attempt is too many. Refused ones weigh as well; what it can do changes little within a window.
    fn weigh(&mut self, now: Micros, ask: &Ask) -> bool {
        let age = now.saturating_sub(self.started);
        let cold = self.spec.fall_multiple > 0.0 && self.machine.warmth(now) < 1.0;
        if !cold {
            self.offered.clear();
            self.load = 0.0;
            return false;
        }
        self.offered.push_back((now, ask.work, ask.knew));
        self.load += ask.work;
        while let Some(&(at, work, _)) = self.offered.front()
            && at + self.spec.fall_after <= now
        {
            self.offered.pop_front();
            self.load -= work;
        }
        let can = self.machine.capacity(now) * self.spec.fall_after as f64;
        if self.load <= self.spec.fall_multiple * can + self.spec.fall_slack {
            return false;
        }
        let knew: f64 = self
            .offered
            .iter()
            .filter(|(.., knew)| *knew)
            .map(|(_, work, _)| work)
            .sum();
        self.fall = Some(Fall {
            at: now,
            age,
            multiple: self.load / can,
            knew: knew / self.load,
        });
        true
    }

    /// An attempt is called off. True where it is dropped; else it is worked on and has its answer.
    pub fn cancel(&mut self, now: Micros, job: JobId) -> bool {
        let dropped = self.machine.cancel(now, job);
        if dropped {
            self.held.remove(&job);
        }
        dropped
    }

    /// The attempts that have their answer by now.
    pub fn finish(&mut self, now: Micros) -> Vec<(JobId, Answer)> {
        let finished = self.machine.finish(now).into_iter();
        finished
            .filter_map(|job| {
                let (_, hit) = self.held.remove(&job)?;
                Some((job, if hit { Answer::Hit } else { Answer::Miss }))
            })
            .collect()
    }

    /// When [`Cache::finish`] has something to tell, if nothing comes before.
    pub fn due(&self) -> Option<Micros> {
        self.machine.due().filter(|_| self.up)
    }
}
