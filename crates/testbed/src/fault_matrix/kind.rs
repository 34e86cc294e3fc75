//! The kinds of faults that the matrix injects into the system calls and clocks of nodes (`cache-router` processes).

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use fault_plan::{DescriptorKind, ErrorName, SystemCall};
use router_config::HumanDuration;

use crate::scenario::{ClockOwner, FaultEvent};

/// Longer than any scenario of the matrix, so that faults stay active until all requests have been answered.
const FAULT_DURATION: HumanDuration = HumanDuration(Duration::from_secs(3_600));
/// Offset of stepped clocks, in seconds.
const CLOCK_OFFSET_S: f64 = 3_600.0;
/// Fraction of the nodes that a clock step affects, where it does not affect all of them.
const AFFECTED_NODE_FRACTION: f64 = 0.5;

const READ_CALLS: [SystemCall; 3] = [SystemCall::Recv, SystemCall::Read, SystemCall::Readv];
const WRITE_CALLS: [SystemCall; 3] = [SystemCall::Send, SystemCall::Write, SystemCall::Writev];
/// Errors that the operating system returns temporarily while a resource is exhausted.
const RESOURCE_ERRORS: [ErrorName; 4] = [
    ErrorName::Enfile,
    ErrorName::Emfile,
    ErrorName::Enobufs,
    ErrorName::Enomem,
];

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Reads and writes on sockets transfer fewer bytes than they could.
    ShortCounts,
    /// Calls on sockets and `epoll_wait` fail with `EINTR`.
    Interrupted,
    /// `socket` fails.
    Sockets,
    /// `accept4` fails.
    Accepts,
    /// `connect` fails, for a cause on the local machine.
    Connects,
    /// `bind` and `listen` fail.
    Listens,
    /// Opens and reads of files fail, or transfers of file data are short.
    Files,
    /// Writes to the log fail or are short.
    Log,
    /// All kinds above together.
    Combined,
    /// Clocks are wrong from the start.
    ClockOffset,
    /// Clocks are stepped forwards and backwards while nodes run.
    ClockSteps,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 11] = [
        FaultKind::ShortCounts,
        FaultKind::Interrupted,
        FaultKind::Sockets,
        FaultKind::Accepts,
        FaultKind::Connects,
        FaultKind::Listens,
        FaultKind::Files,
        FaultKind::Log,
        FaultKind::Combined,
        FaultKind::ClockOffset,
        FaultKind::ClockSteps,
    ];

    /// The name used on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::ShortCounts => "short-counts",
            FaultKind::Interrupted => "interrupted",
            FaultKind::Sockets => "sockets",
            FaultKind::Accepts => "accepts",
            FaultKind::Connects => "connects",
            FaultKind::Listens => "listens",
            FaultKind::Files => "files",
            FaultKind::Log => "log",
            FaultKind::Combined => "together",
            FaultKind::ClockOffset => "clock-offset",
            FaultKind::ClockSteps => "clock-steps",
        }
    }

    /// Whether it affects a given fraction of the calls. Clock faults have no rate.
    pub fn has_rate(self) -> bool {
        !matches!(self, FaultKind::ClockOffset | FaultKind::ClockSteps)
    }

    /// Whether it affects calls that every serving node makes all the time, so that a run in which nothing was injected
    /// tests nothing. The other calls are rare: at a low rate, possibly none of them is affected.
    pub fn affects_frequent_calls(self) -> bool {
        matches!(
            self,
            FaultKind::ShortCounts | FaultKind::Interrupted | FaultKind::Combined
        )
    }

    /// The events that inject this fault at `rate` into a scenario of the given duration, from before the nodes start
    /// until the end.
    pub fn events(self, rate: f64, duration: HumanDuration) -> Vec<FaultEvent> {
        match self {
            FaultKind::ShortCounts => vec![short_counts(DescriptorKind::Tcp, rate)],
            FaultKind::Interrupted => vec![interrupted_calls(rate)],
            FaultKind::Sockets => vec![call_errors(&[SystemCall::Socket], &RESOURCE_ERRORS, rate)],
            FaultKind::Accepts => vec![accept_errors(rate)],
            FaultKind::Connects => vec![connect_errors(rate)],
            FaultKind::Listens => vec![listen_errors(rate)],
            FaultKind::Files => file_errors(rate),
            FaultKind::Log => log_errors(rate),
            FaultKind::Combined => {
                let kinds_with_rate = FaultKind::ALL.into_iter().filter(|kind| kind.has_rate());
                let combined = kinds_with_rate.filter(|kind| *kind != FaultKind::Combined);
                combined
                    .flat_map(|kind| kind.events(rate, duration))
                    .collect()
            }
            FaultKind::ClockOffset => clock_offset(),
            FaultKind::ClockSteps => clock_steps(duration),
        }
    }
}

impl Display for FaultKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// The name is not that of a fault kind.
#[derive(Debug, thiserror::Error)]
#[error("unknown kind of fault {name:?}: write one of {}", FaultKind::ALL.map(FaultKind::name).join(", "))]
pub struct UnknownFaultKind {
    /// The unknown name.
    name: String,
}

impl FromStr for FaultKind {
    type Err = UnknownFaultKind;

    fn from_str(text: &str) -> Result<FaultKind, UnknownFaultKind> {
        let mut kinds = FaultKind::ALL.into_iter();
        kinds
            .find(|kind| kind.name() == text)
            .ok_or_else(|| UnknownFaultKind { name: text.into() })
    }
}

/// Makes system calls on descriptors of a kind fail, from the start.
fn call_errors_on(
    descriptor_kind: DescriptorKind,
    calls: &[SystemCall],
    errors: &[ErrorName],
    rate: f64,
) -> FaultEvent {
    FaultEvent::SystemCalls {
        at: HumanDuration(Duration::ZERO),
        part: 1.0,
        calls: calls.to_vec(),
        descriptor_kind,
        errors: errors.to_vec(),
        rate,
        lasts: FAULT_DURATION,
    }
}

/// Makes system calls on TCP sockets, or calls that transfer no bytes, fail from the start.
fn call_errors(calls: &[SystemCall], errors: &[ErrorName], rate: f64) -> FaultEvent {
    call_errors_on(DescriptorKind::Tcp, calls, errors, rate)
}

fn short_counts(descriptor_kind: DescriptorKind, rate: f64) -> FaultEvent {
    FaultEvent::ShortCounts {
        at: HumanDuration(Duration::ZERO),
        part: 1.0,
        calls: [READ_CALLS, WRITE_CALLS].concat(),
        descriptor_kind,
        rate,
        lasts: FAULT_DURATION,
    }
}

fn interrupted_calls(rate: f64) -> FaultEvent {
    let other_calls = [
        SystemCall::Accept4,
        SystemCall::Connect,
        SystemCall::EpollWait,
    ];
    call_errors(
        &[READ_CALLS, WRITE_CALLS, other_calls].concat(),
        &[ErrorName::Eintr],
        rate,
    )
}

fn accept_errors(rate: f64) -> FaultEvent {
    let connection_errors = [ErrorName::Econnaborted, ErrorName::Eproto, ErrorName::Eperm];
    let errors = [&RESOURCE_ERRORS[..], &connection_errors].concat();
    call_errors(&[SystemCall::Accept4], &errors, rate)
}

fn connect_errors(rate: f64) -> FaultEvent {
    let errors = [
        ErrorName::Eaddrnotavail,
        ErrorName::Enetunreach,
        ErrorName::Enobufs,
        ErrorName::Enomem,
    ];
    call_errors(&[SystemCall::Connect], &errors, rate)
}

fn listen_errors(rate: f64) -> FaultEvent {
    let errors = [ErrorName::Eaddrinuse, ErrorName::Enobufs, ErrorName::Enomem];
    call_errors(&[SystemCall::Bind, SystemCall::Listen], &errors, rate)
}

fn file_errors(rate: f64) -> Vec<FaultEvent> {
    let open_calls = [SystemCall::Open, SystemCall::Openat];
    let open_errors = [ErrorName::Emfile, ErrorName::Enfile, ErrorName::Eio];
    let read_errors = [ErrorName::Eio, ErrorName::Eintr];
    vec![
        call_errors(&open_calls, &open_errors, rate),
        call_errors_on(DescriptorKind::File, &READ_CALLS, &read_errors, rate),
        short_counts(DescriptorKind::File, rate),
    ]
}

fn log_errors(rate: f64) -> Vec<FaultEvent> {
    let errors = [
        ErrorName::Enospc,
        ErrorName::Eio,
        ErrorName::Epipe,
        ErrorName::Eintr,
    ];
    vec![
        call_errors_on(DescriptorKind::Log, &WRITE_CALLS, &errors, rate),
        short_counts(DescriptorKind::Log, rate),
    ]
}

/// Sets the clocks of half of the nodes ahead, and those of half of the nodes behind. The two halves are drawn
/// independently.
fn clock_offset() -> Vec<FaultEvent> {
    let step = |step_s| FaultEvent::StepClock {
        at: HumanDuration(Duration::ZERO),
        clocks: ClockOwner::Nodes,
        part: AFFECTED_NODE_FRACTION,
        step_s,
    };
    vec![step(CLOCK_OFFSET_S), step(-CLOCK_OFFSET_S / 2.0)]
}

/// Steps the clocks of half of the nodes, then of the discovery service, then of all, after one, two and three quarters
/// of the scenario.
fn clock_steps(duration: HumanDuration) -> Vec<FaultEvent> {
    let step = |quarter, clocks, part, step_s| FaultEvent::StepClock {
        at: HumanDuration(duration.0 * quarter / 4),
        clocks,
        part,
        step_s,
    };
    vec![
        step(1, ClockOwner::Nodes, AFFECTED_NODE_FRACTION, CLOCK_OFFSET_S),
        step(2, ClockOwner::Discovery, 1.0, -CLOCK_OFFSET_S),
        step(3, ClockOwner::All, 1.0, -CLOCK_OFFSET_S),
    ]
}
