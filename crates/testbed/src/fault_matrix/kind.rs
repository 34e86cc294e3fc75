//! The kinds of faults that the matrix injects into system calls and clocks of the nodes.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use fault_plan::{DescriptorKind, ErrorName, SystemCall};
use router_config::Span;

use crate::scenario::{ClockOwner, FaultEvent};

/// The faults last until all clients are answered: longer than any scenario of the matrix.
const LASTS: Span = Span(Duration::from_secs(3_600));
/// How far clocks are off, in seconds.
const CLOCK_OFFSET_S: f64 = 3_600.0;
/// Part of the nodes whose clocks are off, where not all of them are.
const NODES_WITH_OTHER_CLOCKS: f64 = 0.5;

const READS: [SystemCall; 3] = [SystemCall::Recv, SystemCall::Read, SystemCall::Readv];
const WRITES: [SystemCall; 3] = [SystemCall::Send, SystemCall::Write, SystemCall::Writev];
/// Errors that the machine answers with for a while when it has too little of something.
const SHORTAGES: [ErrorName; 4] = [
    ErrorName::Enfile,
    ErrorName::Emfile,
    ErrorName::Enobufs,
    ErrorName::Enomem,
];

/// A kind of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Sockets are read and written in shorter pieces than could be.
    ShortCounts,
    /// Calls on sockets and waits are interrupted.
    Interrupted,
    /// Sockets can't be created.
    Sockets,
    /// Connections can't be accepted.
    Accepts,
    /// Connections can't be made, for reasons of the own machine.
    Connects,
    /// Addresses can't be bound or listened on.
    Listens,
    /// Files can't be opened or read.
    Files,
    /// The log can't be written, or in part only.
    Log,
    /// All of these.
    Together,
    /// Clocks are off from the start.
    ClockOffset,
    /// Clocks are stepped, ahead and back, while nodes run.
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
        FaultKind::Together,
        FaultKind::ClockOffset,
        FaultKind::ClockSteps,
    ];

    /// Its name.
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
            FaultKind::Together => "together",
            FaultKind::ClockOffset => "clock-offset",
            FaultKind::ClockSteps => "clock-steps",
        }
    }

    /// Whether it hits a fraction of the calls; a clock is off or not.
    pub fn has_rate(self) -> bool {
        !matches!(self, FaultKind::ClockOffset | FaultKind::ClockSteps)
    }

    /// Whether the calls that it concerns are made by a node that is up and does its work, so that a run in which nothing
    /// was injected tests nothing. Other calls are few: at a low rate none of them may be hit.
    pub fn concerns_frequent_calls(self) -> bool {
        matches!(
            self,
            FaultKind::ShortCounts | FaultKind::Interrupted | FaultKind::Together
        )
    }

    /// The faults of a scenario of a length that inject it at a rate, from before the nodes start to the end.
    pub fn events(self, rate: f64, length: Span) -> Vec<FaultEvent> {
        match self {
            FaultKind::ShortCounts => vec![short_counts(DescriptorKind::Tcp, rate)],
            FaultKind::Interrupted => vec![interrupted(rate)],
            FaultKind::Sockets => vec![fails(&[SystemCall::Socket], &SHORTAGES, rate)],
            FaultKind::Accepts => vec![accepts_fail(rate)],
            FaultKind::Connects => vec![connects_fail(rate)],
            FaultKind::Listens => vec![listens_fail(rate)],
            FaultKind::Files => files_fail(rate),
            FaultKind::Log => log_fails(rate),
            FaultKind::Together => {
                let with_rate = FaultKind::ALL.into_iter().filter(|kind| kind.has_rate());
                let parts = with_rate.filter(|kind| *kind != FaultKind::Together);
                parts.flat_map(|kind| kind.events(rate, length)).collect()
            }
            FaultKind::ClockOffset => clock_offset(),
            FaultKind::ClockSteps => clock_steps(length),
        }
    }
}

impl Display for FaultKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// A word that is no kind of faults.
#[derive(Debug, thiserror::Error)]
#[error("found {found:?}: write {}", FaultKind::ALL.map(FaultKind::name).join(", "))]
pub struct UnknownFaultKind {
    /// The word.
    found: String,
}

impl FromStr for FaultKind {
    type Err = UnknownFaultKind;

    fn from_str(text: &str) -> Result<FaultKind, UnknownFaultKind> {
        let mut kinds = FaultKind::ALL.into_iter();
        kinds
            .find(|kind| kind.name() == text)
            .ok_or_else(|| UnknownFaultKind { found: text.into() })
    }
}

/// A fault of system calls on descriptors of a kind.
fn fails_on(
    on: DescriptorKind,
    calls: &[SystemCall],
    errors: &[ErrorName],
    rate: f64,
) -> FaultEvent {
    FaultEvent::SystemCalls {
        at: Span(Duration::ZERO),
        part: 1.0,
        calls: calls.to_vec(),
        on,
        errors: errors.to_vec(),
        rate,
        lasts: LASTS,
    }
}

/// A fault of system calls on TCP sockets, or of calls that transfer no bytes.
fn fails(calls: &[SystemCall], errors: &[ErrorName], rate: f64) -> FaultEvent {
    fails_on(DescriptorKind::Tcp, calls, errors, rate)
}

fn short_counts(on: DescriptorKind, rate: f64) -> FaultEvent {
    FaultEvent::ShortCounts {
        at: Span(Duration::ZERO),
        part: 1.0,
        calls: [READS, WRITES].concat(),
        on,
        rate,
        lasts: LASTS,
    }
}

fn interrupted(rate: f64) -> FaultEvent {
    let others = [
        SystemCall::Accept4,
        SystemCall::Connect,
        SystemCall::EpollWait,
    ];
    fails(&[READS, WRITES, others].concat(), &[ErrorName::Eintr], rate)
}

fn accepts_fail(rate: f64) -> FaultEvent {
    let of_connection = [ErrorName::Econnaborted, ErrorName::Eproto, ErrorName::Eperm];
    let errors = [&SHORTAGES[..], &of_connection].concat();
    fails(&[SystemCall::Accept4], &errors, rate)
}

fn connects_fail(rate: f64) -> FaultEvent {
    let errors = [
        ErrorName::Eaddrnotavail,
        ErrorName::Enetunreach,
        ErrorName::Enobufs,
        ErrorName::Enomem,
    ];
    fails(&[SystemCall::Connect], &errors, rate)
}

fn listens_fail(rate: f64) -> FaultEvent {
    let errors = [ErrorName::Eaddrinuse, ErrorName::Enobufs, ErrorName::Enomem];
    fails(&[SystemCall::Bind, SystemCall::Listen], &errors, rate)
}

fn files_fail(rate: f64) -> Vec<FaultEvent> {
    let opens = [SystemCall::Open, SystemCall::Openat];
    let open_errors = [ErrorName::Emfile, ErrorName::Enfile, ErrorName::Eio];
    let read_errors = [ErrorName::Eio, ErrorName::Eintr];
    vec![
        fails(&opens, &open_errors, rate),
        fails_on(DescriptorKind::File, &READS, &read_errors, rate),
        short_counts(DescriptorKind::File, rate),
    ]
}

fn log_fails(rate: f64) -> Vec<FaultEvent> {
    let errors = [
        ErrorName::Enospc,
        ErrorName::Eio,
        ErrorName::Epipe,
        ErrorName::Eintr,
    ];
    vec![
        fails_on(DescriptorKind::Log, &WRITES, &errors, rate),
        short_counts(DescriptorKind::Log, rate),
    ]
}

/// One half of the nodes has a clock that is ahead, and another half, drawn by itself, one that is behind.
fn clock_offset() -> Vec<FaultEvent> {
    let step = |by_s| FaultEvent::StepClock {
        at: Span(Duration::ZERO),
        who: ClockOwner::Nodes,
        part: NODES_WITH_OTHER_CLOCKS,
        by_s,
    };
    vec![step(CLOCK_OFFSET_S), step(-CLOCK_OFFSET_S / 2.0)]
}

/// Half of the nodes, then the list service, then all are stepped, at each quarter of the scenario.
fn clock_steps(length: Span) -> Vec<FaultEvent> {
    let step = |quarter, who, part, by_s| FaultEvent::StepClock {
        at: Span(length.0 * quarter / 4),
        who,
        part,
        by_s,
    };
    vec![
        step(
            1,
            ClockOwner::Nodes,
            NODES_WITH_OTHER_CLOCKS,
            CLOCK_OFFSET_S,
        ),
        step(2, ClockOwner::Discovery, 1.0, -CLOCK_OFFSET_S),
        step(3, ClockOwner::All, 1.0, -CLOCK_OFFSET_S),
    ]
}
