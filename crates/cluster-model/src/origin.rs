//! The origin: a machine that serves all fetches and writes. It rejects calls that exceed its queue, keeps working on
//! calls whose callers have gone, can fail a fraction of its calls, and collapses when it stays saturated for too long.

use rand::Rng;

use crate::accepted_jobs::{AcceptedJobs, CompletedJob};
use crate::machine::{JobId, Machine, MachineConfig};
use crate::{Micros, RandomStream};

/// Properties of the origin. Times are in microseconds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OriginConfig {
    /// The machine that it runs on.
    pub machine: MachineConfig,
    /// It collapses after rejecting calls for this long without relief; 0: never.
    pub collapse_after: Micros,
    /// A pause this long without a rejection counts as relief.
    pub relief: Micros,
    /// After a collapse it is back after this time.
    pub recovery: Micros,
}

/// How the origin answers a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// With the value or the receipt (200).
    Done,
    /// With a failure, and the call may have run (500).
    Failed,
    /// The call never ran, for want of capacity (503) or as a server behind the origin did not answer (504).
    Unprocessed,
    /// No process is there: the connection is refused.
    Refused,
}

/// How calls are made to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// They are worked on and fail at the end.
    Late,
    /// They are rejected at once, unprocessed.
    Early,
}

/// What becomes of a call on arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is worked on; its response comes later from [`Origin::take_completed`].
    Accepted,
    /// It has its response at once.
    Answered(Response),
    /// It made the origin collapse; these accepted calls are lost.
    Collapsed(Vec<JobId>),
}

/// A fault that is injected into a fraction of the calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultInjection {
    /// How they fail.
    pub fault: Fault,
    /// The fraction of the calls that fail.
    pub share: f64,
}

/// A period in which the origin rejected calls without relief.
#[derive(Debug, Clone, Copy)]
struct Saturation {
    since: Micros,
    last_rejection: Micros,
}

/// The origin. The times passed to it must never decrease.
#[derive(Debug)]
pub struct Origin {
    config: OriginConfig,
    machine: Machine,
    /// The response that each accepted call will get.
    accepted: AcceptedJobs<Response>,
    fault: Option<FaultInjection>,
    saturation: Option<Saturation>,
    down_until: Option<Micros>,
    collapses: u32,
}

impl Origin {
    /// An origin that is warm and idle.
    pub fn new(config: OriginConfig, now: Micros) -> Origin {
        let machine = Machine::new(config.machine.clone(), 0, now);
        Origin {
            config,
            machine,
            accepted: AcceptedJobs::default(),
            fault: None,
            saturation: None,
            down_until: None,
            collapses: 0,
        }
    }

    /// From now on calls fail as given; `None` ends the fault.
    pub fn set_fault(&mut self, fault: Option<FaultInjection>) {
        self.fault = fault;
    }

    /// From now on this fraction of the machine's capacity is used by others.
    pub fn set_stolen_share(&mut self, now: Micros, share: f64) {
        self.machine.set_stolen_share(now, share);
    }

    /// Number of collapses so far.
    pub fn collapses(&self) -> u32 {
        self.collapses
    }

    /// A call arrives, with `work` in microseconds of the reference core.
    pub fn submit(
        &mut self,
        now: Micros,
        job: JobId,
        work: f64,
        random: &mut RandomStream,
    ) -> Admission {
        // Drawn in any case, so that a fault does not shift the draws that come after it.
        let draw = random.random::<f64>();
        if self.down_until.is_some_and(|until| now < until) {
            return Admission::Answered(Response::Refused);
        }
        self.down_until = None;
        let injected = self.fault.filter(|injection| draw < injection.share);
        let response = match injected.map(|injection| injection.fault) {
            Some(Fault::Early) => return Admission::Answered(Response::Unprocessed),
            Some(Fault::Late) => Response::Failed,
            None => Response::Done,
        };
        if self.machine.submit(now, job, work) {
            self.accepted.insert(job, response);
            return Admission::Accepted;
        }
        if self.rejection_is_fatal(now) {
            return Admission::Collapsed(self.collapse(now));
        }
        Admission::Answered(Response::Unprocessed)
    }

    /// Records a rejection. Whether the origin has been saturated for too long.
    fn rejection_is_fatal(&mut self, now: Micros) -> bool {
        let relief = self.config.relief;
        let since = self
            .saturation
            .filter(|saturation| saturation.last_rejection + relief >= now)
            .map_or(now, |saturation| saturation.since);
        self.saturation = Some(Saturation {
            since,
            last_rejection: now,
        });
        self.config.collapse_after > 0 && now >= since + self.config.collapse_after
    }

    /// The process dies and restarts later. Returns the accepted calls, which are lost.
    fn collapse(&mut self, now: Micros) -> Vec<JobId> {
        self.saturation = None;
        self.down_until = Some(now + self.config.recovery);
        self.collapses += 1;
        self.accepted.clear();
        let lost = self.machine.stop();
        self.machine = Machine::new(self.config.machine.clone(), 0, now);
        lost
    }

    /// The calls that are completed by now, with their responses.
    pub fn take_completed(&mut self, now: Micros) -> Vec<CompletedJob<Response>> {
        self.accepted.take_completed(&mut self.machine, now)
    }

    /// When the next call will be completed if no other arrives before.
    pub fn next_event_at(&self) -> Option<Micros> {
        self.machine.next_event_at()
    }
}
