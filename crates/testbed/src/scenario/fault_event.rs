//! The faults that a scenario injects, and their description in words.

use std::fmt::{self, Display, Formatter};

use fault_plan::{DescriptorKind, ErrorName, SystemCall};
use router_config::Span;
use serde::{Deserialize, Serialize};

/// How calls to the origin fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OriginFailure {
    /// After they were worked on: they may have run.
    Late,
    /// At once: they never ran.
    Early,
}

/// Whose wall clock is stepped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClockOwner {
    /// Machines of nodes.
    #[default]
    Nodes,
    /// The machine of the endpoint list service.
    Discovery,
    /// Both.
    All,
}

impl ClockOwner {
    /// Whether machines of nodes are among them.
    pub fn includes_nodes(self) -> bool {
        self != ClockOwner::Discovery
    }

    /// Whether the machine of the endpoint list service is among them.
    pub fn includes_discovery(self) -> bool {
        self != ClockOwner::Nodes
    }
}

/// The calls that `short-counts` concerns unless it names some.
fn default_transfers() -> Vec<SystemCall> {
    vec![
        SystemCall::Recv,
        SystemCall::Read,
        SystemCall::Readv,
        SystemCall::Send,
        SystemCall::Write,
        SystemCall::Writev,
    ]
}

fn all() -> f64 {
    1.0
}

/// A fault, and when it is injected. A `part` is a fraction, 0 to 1; members are picked at random.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultEvent {
    /// A part of the servers is replaced, spread over a time: each drains and ends, and a new, cold one starts.
    #[serde(rename = "replace")]
    ReplaceServers {
        /// When it begins.
        at: Span,
        /// Part of the servers.
        part: f64,
        /// Time from the first to the last replacement.
        over: Span,
        /// How long each server drains.
        drain: Span,
    },
    /// A part of the nodes is killed at once.
    KillNodes {
        /// When.
        at: Span,
        /// Part of the nodes.
        part: f64,
        /// They start again after this time.
        back: Span,
    },
    /// A part of the nodes is paused, as on a suspended machine. Their connections stay open.
    #[serde(rename = "stop-nodes")]
    PauseNodes {
        /// When.
        at: Span,
        /// Part of the nodes.
        part: f64,
        /// For how long.
        lasts: Span,
    },
    /// A part of the nodes is restarted one after another: each shuts down gracefully and starts again. The load
    /// balancer still sends it new requests for 0.3 s.
    RestartNodes {
        /// When it begins.
        at: Span,
        /// Part of the nodes.
        part: f64,
        /// Time from the first to the last restart.
        over: Span,
    },
    /// The endpoint list service moves to another address: watches end, nodes are notified of the address (on sockets by
    /// SIGHUP), and fetch the complete list.
    #[serde(rename = "move-list")]
    RelocateList {
        /// When.
        at: Span,
    },
    /// A zone is cut off from the others.
    #[serde(rename = "cut-zone")]
    IsolateZone {
        /// When.
        at: Span,
        /// Its number.
        zone: u8,
        /// For how long.
        lasts: Span,
    },
    /// A part of the servers crashes without notice, and each starts again, cold.
    #[serde(rename = "lose-servers")]
    CrashServers {
        /// When.
        at: Span,
        /// Part of the servers.
        part: f64,
        /// They start again after this time.
        back: Span,
    },
    /// The endpoint list service is down.
    ListDown {
        /// When.
        at: Span,
        /// For how long.
        lasts: Span,
    },
    /// Clients send more requests.
    Burst {
        /// When.
        at: Span,
        /// Multiple of the usual rate.
        factor: f64,
        /// For how long.
        lasts: Span,
    },
    /// A part of the calls to the origin fails.
    OriginFails {
        /// When.
        at: Span,
        /// Part of the calls.
        part: f64,
        /// `late`: worked on, and then 500; `early`: 503 or 504 at once, unprocessed.
        how: OriginFailure,
        /// For how long.
        lasts: Span,
    },
    /// The origin is slow: a part of its cores is taken.
    OriginSlow {
        /// When.
        at: Span,
        /// Part of its cores.
        taken: f64,
        /// For how long.
        lasts: Span,
    },
    /// A part of the requests asks for one key.
    HotKey {
        /// When.
        at: Span,
        /// Part of the requests.
        part: f64,
        /// For how long.
        lasts: Span,
    },
    /// A part of the requests scans all keys in turn, the least popular first.
    Scan {
        /// When.
        at: Span,
        /// Part of the requests.
        part: f64,
        /// For how long.
        lasts: Span,
    },
    /// Parts of the answers of cache servers and origin arrive damaged or not at all.
    #[serde(rename = "break-answers")]
    DamageAnswers {
        /// When.
        at: Span,
        /// Part that never arrives while its connection stays open,
        #[serde(default)]
        lost: f64,
        /// that arrives as other bytes,
        #[serde(default)]
        spoilt: f64,
        /// or as a reset of its connection.
        #[serde(default)]
        reset: f64,
        /// For how long.
        lasts: Span,
    },
    /// Peers connect to the nodes and send nothing, malformed bytes or half a command. It has an effect on sockets only:
    /// no policy sees such peers.
    #[serde(rename = "rubbish")]
    MalformedTraffic {
        /// When.
        at: Span,
        /// Connections per second, 1,000 at most.
        per_s: f64,
        /// For how long.
        lasts: Span,
    },
    /// Neighbours take a part of some machines.
    #[serde(rename = "neighbour")]
    NoisyNeighbour {
        /// When.
        at: Span,
        /// Part of the servers.
        part: f64,
        /// Part of each that is taken.
        taken: f64,
        /// For how long.
        lasts: Span,
    },
    /// System calls of a part of the nodes fail. One `at` 0s is there before the nodes start. It has an effect on sockets
    /// only: the policy makes no system calls.
    SystemCalls {
        /// When.
        at: Span,
        /// Part of the nodes.
        #[serde(default = "all")]
        part: f64,
        /// The calls.
        calls: Vec<SystemCall>,
        /// What calls that transfer bytes have to work on to fail.
        #[serde(default)]
        on: DescriptorKind,
        /// The errors that they fail with.
        errors: Vec<ErrorName>,
        /// Part of the calls that fails.
        rate: f64,
        /// For how long.
        lasts: Span,
    },
    /// System calls of a part of the nodes transfer fewer bytes than they could. As `system-calls` in all else.
    ShortCounts {
        /// When.
        at: Span,
        /// Part of the nodes.
        #[serde(default = "all")]
        part: f64,
        /// The calls.
        #[serde(default = "default_transfers")]
        calls: Vec<SystemCall>,
        /// What they have to work on.
        #[serde(default)]
        on: DescriptorKind,
        /// Part of the calls that is cut short.
        rate: f64,
        /// For how long.
        lasts: Span,
    },
    /// Wall clocks are stepped, and stay so. One `at` 0s is there before the nodes start. It has an effect on sockets
    /// only: in virtual time there is one clock.
    StepClock {
        /// When.
        at: Span,
        /// Whose.
        #[serde(default)]
        who: ClockOwner,
        /// Part of the nodes, where theirs are stepped.
        #[serde(default = "all")]
        part: f64,
        /// By how many seconds; back where negative.
        by_s: f64,
    },
}

impl FaultEvent {
    /// When it begins.
    pub fn at(&self) -> Span {
        match self {
            FaultEvent::ReplaceServers { at, .. }
            | FaultEvent::KillNodes { at, .. }
            | FaultEvent::PauseNodes { at, .. }
            | FaultEvent::RestartNodes { at, .. }
            | FaultEvent::RelocateList { at }
            | FaultEvent::IsolateZone { at, .. }
            | FaultEvent::CrashServers { at, .. }
            | FaultEvent::ListDown { at, .. }
            | FaultEvent::Burst { at, .. }
            | FaultEvent::OriginFails { at, .. }
            | FaultEvent::OriginSlow { at, .. }
            | FaultEvent::DamageAnswers { at, .. }
            | FaultEvent::MalformedTraffic { at, .. }
            | FaultEvent::HotKey { at, .. }
            | FaultEvent::Scan { at, .. }
            | FaultEvent::NoisyNeighbour { at, .. }
            | FaultEvent::SystemCalls { at, .. }
            | FaultEvent::ShortCounts { at, .. }
            | FaultEvent::StepClock { at, .. } => *at,
        }
    }
}

/// A fraction as a percentage, for messages.
struct Percent(f64);

impl Display for Percent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0}%", self.0 * 100.0)
    }
}

/// Things in words, with commas, for messages.
fn join<T: Display>(things: &[T]) -> String {
    let words: Vec<String> = things.iter().map(T::to_string).collect();
    words.join(", ")
}

impl FaultEvent {
    /// Who is affected, for messages.
    fn subject(&self) -> String {
        match self {
            FaultEvent::ReplaceServers { part, .. } | FaultEvent::CrashServers { part, .. } => {
                format!("{} of the cache servers", Percent(*part))
            }
            FaultEvent::KillNodes { part, .. }
            | FaultEvent::PauseNodes { part, .. }
            | FaultEvent::RestartNodes { part, .. }
            | FaultEvent::SystemCalls { part, .. }
            | FaultEvent::ShortCounts { part, .. } => {
                format!("{} of the nodes", Percent(*part))
            }
            FaultEvent::StepClock { who, part, .. } => match who {
                ClockOwner::Nodes => format!("the clocks of {} of the nodes", Percent(*part)),
                ClockOwner::Discovery => "the list service's clock".into(),
                ClockOwner::All => "all clocks".into(),
            },
            FaultEvent::RelocateList { .. } | FaultEvent::ListDown { .. } => {
                "the list service".into()
            }
            FaultEvent::IsolateZone { zone, .. } => format!("zone {zone}"),
            FaultEvent::Burst { .. } => "clients".into(),
            FaultEvent::OriginFails { part, .. } => {
                format!("{} of the origin's calls", Percent(*part))
            }
            FaultEvent::OriginSlow { .. } => "the origin".into(),
            FaultEvent::HotKey { part, .. } | FaultEvent::Scan { part, .. } => {
                format!("{} of the clients", Percent(*part))
            }
            FaultEvent::DamageAnswers { lost, .. } => {
                format!("{} of the answers", Percent(*lost))
            }
            FaultEvent::MalformedTraffic { per_s, .. } => format!("{per_s} peers a second"),
            FaultEvent::NoisyNeighbour { .. } => "neighbours".into(),
        }
    }

    /// What happens to them, for messages.
    fn predicate(&self) -> String {
        match self {
            FaultEvent::ReplaceServers { over, .. } => format!("are replaced within {over}"),
            FaultEvent::KillNodes { back, .. } => format!("are killed, back after {back}"),
            FaultEvent::PauseNodes { lasts, .. } => format!("are stopped for {lasts}"),
            FaultEvent::RestartNodes { over, .. } => format!("are restarted within {over}"),
            FaultEvent::RelocateList { .. } => "moves".into(),
            FaultEvent::IsolateZone { lasts, .. } => format!("is cut off for {lasts}"),
            FaultEvent::CrashServers { back, .. } => format!("die, back cold after {back}"),
            FaultEvent::ListDown { lasts, .. } => format!("is down for {lasts}"),
            FaultEvent::Burst { factor, lasts, .. } => {
                format!("ask {factor} times as often for {lasts}")
            }
            FaultEvent::OriginFails { how, lasts, .. } => match how {
                OriginFailure::Late => format!("fail after their work for {lasts}"),
                OriginFailure::Early => format!("are turned away for {lasts}"),
            },
            FaultEvent::OriginSlow { taken, lasts, .. } => {
                format!("loses {} of its cores for {lasts}", Percent(*taken))
            }
            FaultEvent::HotKey { lasts, .. } => format!("ask for one key for {lasts}"),
            FaultEvent::Scan { lasts, .. } => format!("go through all keys for {lasts}"),
            FaultEvent::DamageAnswers {
                spoilt,
                reset,
                lasts,
                ..
            } => {
                let spoilt = Percent(*spoilt);
                let reset = Percent(*reset);
                format!("are lost, {spoilt} spoilt, {reset} reset for {lasts}")
            }
            FaultEvent::MalformedTraffic { lasts, .. } => {
                format!("send rubbish or nothing for {lasts}")
            }
            FaultEvent::NoisyNeighbour {
                part, taken, lasts, ..
            } => {
                let part = Percent(*part);
                let taken = Percent(*taken);
                format!("take {taken} of {part} of the cache servers for {lasts}")
            }
            FaultEvent::SystemCalls {
                calls,
                errors,
                rate,
                lasts,
                ..
            } => {
                let (rate, calls, errors) = (Percent(*rate), join(calls), join(errors));
                format!("have {rate} of {calls} fail with {errors} for {lasts}")
            }
            FaultEvent::ShortCounts {
                calls, rate, lasts, ..
            } => {
                let (rate, calls) = (Percent(*rate), join(calls));
                format!("have {rate} of {calls} cut short for {lasts}")
            }
            FaultEvent::StepClock { by_s, .. } => format!("step by {by_s:+} s"),
        }
    }
}

impl Display for FaultEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.subject(), self.predicate())
    }
}
