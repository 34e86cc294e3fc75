//! The origin: a machine that all fetches and writes come to. It turns away what finds no room, works on for calls that
//! nobody waits for any more, can fail a part of its calls, and falls over when it is kept full for too long.

use std::collections::BTreeMap;

use rand::Rng;

use crate::machine::{JobId, Machine, Spec as MachineSpec};
use crate::{Chance, Micros};

/// What the origin is.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Spec {
    /// Its machine.
    pub machine: MachineSpec,
    /// It falls over when it has turned calls away for so long without a pause; 0: it does not.
    pub fall_after: Micros,
    /// A pause in which it turns nothing away, and after which it counts as relieved.
    pub relief: Micros,
    /// After a fall it is back after this.
    pub back_after: Micros,
}

/// How it answers a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// With the value or the receipt (200).
    Done,
    /// It failed, and may have run (500).
    Failed,
    /// It never ran, for want of room (503) or because another behind it did not answer (504).
    Unprocessed,
    /// No process is there.
    Refused,
}

/// In what way calls fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// They are worked on and fail at the end.
    Late,
    /// They are turned away unprocessed at once.
    Early,
}

/// What becomes of a call that has just come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// Its answer comes later, out of [`Origin::finish`].
    Held,
    /// It has its answer at once.
    Answered(Answer),
    /// It was the one too many: the origin has fallen over, and these that it held are lost.
    FellOver(Vec<JobId>),
}

/// The origin. Times given to it never go back.
#[derive(Debug)]
pub struct Origin {
    spec: Spec,
    machine: Machine,
    held: BTreeMap<JobId, bool>,
    fault: Option<(Fault, f64)>,
    /// Since when it turns calls away, and when it last did.
    full: Option<(Micros, Micros)>,
    down_until: Option<Micros>,
    falls: u32,
}

impl Origin {
    /// One that is warm and idle.
    pub fn new(spec: Spec, now: Micros) -> Origin {
        let machine = Machine::new(spec.machine.clone(), 0, now);
        Origin {
            spec,
            machine,
            held: BTreeMap::new(),
            fault: None,
            full: None,
            down_until: None,
            falls: 0,
        }
    }

    /// From now on this part of the calls fails in some way, or none.
    pub fn fail(&mut self, fault: Option<(Fault, f64)>) {
        self.fault = fault;
    }

    /// A part of its machine is taken, 0 for none.
    pub fn take(&mut self, now: Micros, part: f64) {
        self.machine.take(now, part);
    }

    /// Times that it has fallen over.
    pub fn falls(&self) -> u32 {
        self.falls
    }

    /// A call comes.
    pub fn arrive(&mut self, now: Micros, job: JobId, work: f64, chance: &mut Chance) -> Taken {
        // Drawn in any case, so that a fault does not shift the chance of what comes after it.
        let draw = chance.random::<f64>();
        if self.down_until.is_some_and(|until| now < until) {
            return Taken::Answered(Answer::Refused);
        }
        self.down_until = None;
        let fault = self
            .fault
            .filter(|(_, part)| draw < *part)
            .map(|(fault, _)| fault);
        if fault == Some(Fault::Early) {
            return Taken::Answered(Answer::Unprocessed);
        }
        if self.machine.arrive(now, job, work) {
            self.held.insert(job, fault == Some(Fault::Late));
            return Taken::Held;
        }
        let relieved = |(_, last): &(Micros, Micros)| last + self.spec.relief < now;
        let since = self
            .full
            .filter(|full| !relieved(full))
            .map_or(now, |(since, _)| since);
        self.full = Some((since, now));
        if self.spec.fall_after == 0 || now < since + self.spec.fall_after {
            return Taken::Answered(Answer::Unprocessed);
        }
        (self.full, self.down_until, self.falls) =
            (None, Some(now + self.spec.back_after), self.falls + 1);
        self.held.clear();
        let lost = self.machine.stop();
        self.machine = Machine::new(self.spec.machine.clone(), 0, now);
        Taken::FellOver(lost)
    }

    /// The calls that have their answer by now.
    pub fn finish(&mut self, now: Micros) -> Vec<(JobId, Answer)> {
        let finished = self.machine.finish(now).into_iter();
        let answer = |job| {
            Some((
                job,
                if self.held.remove(&job)? {
                    Answer::Failed
                } else {
                    Answer::Done
                },
            ))
        };
        finished.filter_map(answer).collect()
    }

    /// When [`Origin::finish`] has something to tell, if nothing comes before.
    pub fn due(&self) -> Option<Micros> {
        self.machine.due()
    }
}
