//! The origin: a machine that serves all fetches and writes. It rejects calls that exceed its queue, and continues to
//! process calls whose callers have left. It can be made to fail a fraction of its calls. It collapses when it stays
//! saturated for too long.

use rand::Rng;

use crate::accepted_jobs::{AcceptedJobs, CompletedJob};
use crate::machine::{JobId, Machine, MachineConfig};
use crate::{Micros, RandomStream};

/// Properties of the origin. Times are in microseconds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OriginConfig {
    /// The machine that the origin runs on.
    pub machine: MachineConfig,
    /// Duration of saturation after which the origin collapses; 0 for never.
    pub collapse_after: Micros,
    /// Time without a rejection that ends a period of saturation.
    pub saturation_end_delay: Micros,
    /// Time from a collapse until the origin accepts calls again.
    pub restart_delay: Micros,
}

/// How the origin answers a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The call succeeded, and the response has the value or the receipt (200).
    Done,
    /// The call failed and may have run (500).
    Failed,
    /// The call did not run, as the origin had no capacity (503) or a server behind the origin did not answer (504).
    Unprocessed,
    /// No process is running, so the connection is refused.
    Refused,
}

/// How an injected fault makes calls fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Calls are processed and fail at the end.
    FailAfterProcessing,
    /// Calls are rejected on arrival, unprocessed.
    RejectOnArrival,
}

/// Result of the arrival of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The call was accepted. [`Origin::take_completed`] returns its response later.
    Accepted,
    /// The call gets this response immediately.
    Answered(Response),
    /// The call made the origin collapse. These accepted calls are lost.
    Collapsed(Vec<JobId>),
}

/// A fault that is injected into a fraction of the calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultInjection {
    /// How the calls fail.
    pub fault: Fault,
    /// Fraction of the calls that fail.
    pub share: f64,
}

/// A period in which the origin kept rejecting calls. It ends after [`OriginConfig::saturation_end_delay`] without a
/// rejection.
#[derive(Debug, Clone, Copy)]
struct Saturation {
    since: Micros,
    last_rejection: Micros,
}

/// The origin. The times that are passed to its methods must never decrease.
#[derive(Debug)]
pub struct Origin {
    config: OriginConfig,
    machine: Machine,
    /// The accepted calls with the response that each will get.
    accepted: AcceptedJobs<Response>,
    fault: Option<FaultInjection>,
    saturation: Option<Saturation>,
    down_until: Option<Micros>,
    collapses: u32,
}

impl Origin {
    /// Creates an origin that is warm and idle.
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

    /// Sets the fault that calls have from now on; `None` for no fault.
    pub fn set_fault(&mut self, fault: Option<FaultInjection>) {
        self.fault = fault;
    }

    /// Sets the fraction of the machine's capacity that other tenants of the host use from now on.
    pub fn set_stolen_share(&mut self, now: Micros, share: f64) {
        self.machine.set_stolen_share(now, share);
    }

    /// Number of collapses so far.
    pub fn collapses(&self) -> u32 {
        self.collapses
    }

    /// Submits a call with `work` in microseconds of the reference core.
    pub fn submit(
        &mut self,
        now: Micros,
        job: JobId,
        work: f64,
        random: &mut RandomStream,
    ) -> Admission {
        // Drawn even without a fault, so that a fault does not shift later draws.
        let draw = random.random::<f64>();
        if self.down_until.is_some_and(|until| now < until) {
            return Admission::Answered(Response::Refused);
        }
        self.down_until = None;
        let injected = self.fault.filter(|injection| draw < injection.share);
        let response = match injected.map(|injection| injection.fault) {
            Some(Fault::RejectOnArrival) => return Admission::Answered(Response::Unprocessed),
            Some(Fault::FailAfterProcessing) => Response::Failed,
            None => Response::Done,
        };
        if self.machine.submit(now, job, work) {
            self.accepted.insert(job, response);
            return Admission::Accepted;
        }
        if self.rejection_causes_collapse(now) {
            return Admission::Collapsed(self.collapse(now));
        }
        Admission::Answered(Response::Unprocessed)
    }

    /// Records a rejection. Returns whether it makes the origin collapse, as the saturation has lasted too long.
    fn rejection_causes_collapse(&mut self, now: Micros) -> bool {
        let saturation_end_delay = self.config.saturation_end_delay;
        let since = self
            .saturation
            .filter(|saturation| saturation.last_rejection + saturation_end_delay >= now)
            .map_or(now, |saturation| saturation.since);
        self.saturation = Some(Saturation {
            since,
            last_rejection: now,
        });
        self.config.collapse_after > 0 && now >= since + self.config.collapse_after
    }

    /// Stops the process until its restart. Returns the accepted calls, which are lost.
    fn collapse(&mut self, now: Micros) -> Vec<JobId> {
        self.saturation = None;
        self.down_until = Some(now + self.config.restart_delay);
        self.collapses += 1;
        self.accepted.clear();
        let lost = self.machine.stop();
        self.machine = Machine::new(self.config.machine.clone(), 0, now);
        lost
    }

    /// Returns the calls that have completed by now, with their responses.
    pub fn take_completed(&mut self, now: Micros) -> Vec<CompletedJob<Response>> {
        self.accepted.take_completed(&mut self.machine, now)
    }

    /// Time at which the next call completes if no other call arrives before.
    pub fn next_event_at(&self) -> Option<Micros> {
        self.machine.next_event_at()
    }
}
