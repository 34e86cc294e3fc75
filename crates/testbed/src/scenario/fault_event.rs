//! The faults that a scenario injects, and their descriptions for progress messages.

use std::fmt::{self, Display, Formatter};

use fault_plan::{DescriptorKind, ErrorName, SystemCall};
use router_config::HumanDuration;
use serde::{Deserialize, Serialize};

/// How calls to the origin fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OriginFailure {
    /// After processing: they may have taken effect.
    Late,
    /// At once: they were not processed.
    Early,
}

/// Whose wall clock is stepped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClockOwner {
    /// The clocks of the nodes' machines.
    #[default]
    Nodes,
    /// The clock of the endpoint list service's machine.
    Discovery,
    /// Both.
    All,
}

impl ClockOwner {
    /// Whether clocks of nodes are stepped.
    pub fn includes_nodes(self) -> bool {
        self != ClockOwner::Discovery
    }

    /// Whether the clock of the endpoint list service is stepped.
    pub fn includes_discovery(self) -> bool {
        self != ClockOwner::Nodes
    }
}

/// The calls that `short-counts` affects by default.
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

fn all_members() -> f64 {
    1.0
}

/// A fault, and when it is injected. Each `part` is a fraction from 0 to 1; the affected members are picked at random.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultEvent {
    /// A fraction of the cache servers is replaced, one after another: each drains and stops, and a new server starts
    /// cold, with an empty cache and reduced capacity until it has warmed up.
    #[serde(rename = "replace")]
    ReplaceServers {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the cache servers.
        part: f64,
        /// Time over which the replacements are spread.
        #[serde(rename = "over")]
        period: HumanDuration,
        /// How long each server drains.
        drain: HumanDuration,
    },
    /// A fraction of the nodes is killed, all at the same time.
    KillNodes {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the nodes.
        part: f64,
        /// Time after which they start again.
        back: HumanDuration,
    },
    /// A fraction of the nodes is paused, as on a suspended machine. Their connections stay open.
    #[serde(rename = "stop-nodes")]
    PauseNodes {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the nodes.
        part: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// A fraction of the nodes is restarted one after another: each shuts down gracefully and starts again. The load
    /// balancer sends a node new requests for 0.3 s after its shutdown has begun.
    RestartNodes {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the nodes.
        part: f64,
        /// Time over which the restarts are spread.
        #[serde(rename = "over")]
        period: HumanDuration,
    },
    /// The endpoint list service moves to another address. Open watches end, nodes are notified of the new address (on
    /// sockets by SIGHUP) and fetch the complete list.
    #[serde(rename = "move-list")]
    RelocateList {
        /// When the fault begins.
        at: HumanDuration,
    },
    /// A zone is partitioned from the others.
    #[serde(rename = "cut-zone")]
    IsolateZone {
        /// When the fault begins.
        at: HumanDuration,
        /// Number of the zone.
        zone: u8,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// A fraction of the cache servers crashes without notice. Each starts again cold, with an empty cache and reduced
    /// capacity until it has warmed up.
    #[serde(rename = "lose-servers")]
    CrashServers {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the cache servers.
        part: f64,
        /// Time after which they start again.
        back: HumanDuration,
    },
    /// The endpoint list service is down.
    ListDown {
        /// When the fault begins.
        at: HumanDuration,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// Clients send more requests.
    Burst {
        /// When the fault begins.
        at: HumanDuration,
        /// Multiple of the usual rate.
        factor: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// A fraction of the calls to the origin fails.
    OriginFails {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the calls.
        part: f64,
        /// `late`: status 500 after processing; `early`: status 503 or 504 at once, without processing.
        #[serde(rename = "how")]
        failure: OriginFailure,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// The origin is slow: a fraction of its cores is not available to it.
    OriginSlow {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of its cores that is not available.
        taken: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// A fraction of the requests asks for one key.
    HotKey {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the requests.
        part: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// A fraction of the requests scans all keys in turn, the least popular first.
    Scan {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the requests.
        part: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// Fractions of the answers of cache servers and the origin are lost, corrupted, or replaced by a connection reset.
    #[serde(rename = "break-answers")]
    DamageAnswers {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction that never arrives while its connection stays open.
        #[serde(default)]
        lost: f64,
        /// Fraction that arrives with corrupted bytes.
        #[serde(default, rename = "spoilt")]
        corrupted_share: f64,
        /// Fraction for which the connection is reset instead.
        #[serde(default)]
        reset: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// Peers connect to the nodes and send nothing, malformed bytes or an incomplete command. This has an effect on
    /// sockets only, because such peers never reach the policy.
    #[serde(rename = "rubbish")]
    MalformedTraffic {
        /// When the fault begins.
        at: HumanDuration,
        /// Connections per second, at most 1,000.
        per_s: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// Other workloads on the same machines take a fraction of the capacity of some cache servers.
    #[serde(rename = "neighbour")]
    NoisyNeighbour {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the cache servers.
        part: f64,
        /// Fraction of each server's capacity that is taken.
        taken: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// System calls of a fraction of the nodes fail. With `at` 0s the fault is active before the nodes start. It has an
    /// effect on sockets only, because the policy makes no system calls.
    SystemCalls {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the nodes.
        #[serde(default = "all_members")]
        part: f64,
        /// The affected calls.
        calls: Vec<SystemCall>,
        /// Kind of descriptor on which calls that transfer bytes are affected.
        #[serde(default, rename = "on")]
        descriptor_kind: DescriptorKind,
        /// The errors that they fail with.
        errors: Vec<ErrorName>,
        /// Fraction of the calls that fails.
        rate: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// System calls of a fraction of the nodes transfer fewer bytes than they could. Otherwise the same as
    /// `system-calls`.
    ShortCounts {
        /// When the fault begins.
        at: HumanDuration,
        /// Fraction of the nodes.
        #[serde(default = "all_members")]
        part: f64,
        /// The affected calls.
        #[serde(default = "default_transfers")]
        calls: Vec<SystemCall>,
        /// Kind of descriptor on which calls are affected.
        #[serde(default, rename = "on")]
        descriptor_kind: DescriptorKind,
        /// Fraction of the calls that is cut short.
        rate: f64,
        /// How long the fault lasts.
        lasts: HumanDuration,
    },
    /// Wall clocks are stepped for the rest of the run. With `at` 0s the step is made before the nodes start. It has an
    /// effect on sockets only, because in virtual time there is only one clock.
    StepClock {
        /// When the fault begins.
        at: HumanDuration,
        /// Whose clocks are stepped.
        #[serde(default, rename = "who")]
        clocks: ClockOwner,
        /// Fraction of the nodes, if clocks of nodes are stepped.
        #[serde(default = "all_members")]
        part: f64,
        /// Size of the step in seconds; negative to step back.
        #[serde(rename = "by_s")]
        step_s: f64,
    },
}

impl FaultEvent {
    /// When the fault begins.
    pub fn at(&self) -> HumanDuration {
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

/// Joins items with commas, for messages.
fn join<T: Display>(items: &[T]) -> String {
    let texts: Vec<String> = items.iter().map(T::to_string).collect();
    texts.join(", ")
}

impl FaultEvent {
    /// What the fault affects, for messages.
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
            FaultEvent::StepClock { clocks, part, .. } => match clocks {
                ClockOwner::Nodes => format!("the clocks of {} of the nodes", Percent(*part)),
                ClockOwner::Discovery => "the clock of the list service".into(),
                ClockOwner::All => "all clocks".into(),
            },
            FaultEvent::RelocateList { .. } | FaultEvent::ListDown { .. } => {
                "the list service".into()
            }
            FaultEvent::IsolateZone { zone, .. } => format!("zone {zone}"),
            FaultEvent::Burst { .. } => "clients".into(),
            FaultEvent::OriginFails { part, .. } => {
                format!("{} of the calls to the origin", Percent(*part))
            }
            FaultEvent::OriginSlow { .. } => "the origin".into(),
            FaultEvent::HotKey { part, .. } | FaultEvent::Scan { part, .. } => {
                format!("{} of the clients", Percent(*part))
            }
            FaultEvent::DamageAnswers { lost, .. } => {
                format!("{} of the answers", Percent(*lost))
            }
            FaultEvent::MalformedTraffic { per_s, .. } => format!("{per_s} peers per second"),
            FaultEvent::NoisyNeighbour { .. } => "noisy neighbours".into(),
        }
    }

    /// What happens to the subject, for messages.
    fn predicate(&self) -> String {
        match self {
            FaultEvent::ReplaceServers { period, .. } => format!("are replaced within {period}"),
            FaultEvent::KillNodes { back, .. } => format!("are killed, restart after {back}"),
            FaultEvent::PauseNodes { lasts, .. } => format!("are paused for {lasts}"),
            FaultEvent::RestartNodes { period, .. } => format!("are restarted within {period}"),
            FaultEvent::RelocateList { .. } => "moves to another address".into(),
            FaultEvent::IsolateZone { lasts, .. } => format!("is partitioned for {lasts}"),
            FaultEvent::CrashServers { back, .. } => format!("crash, restart cold after {back}"),
            FaultEvent::ListDown { lasts, .. } => format!("is down for {lasts}"),
            FaultEvent::Burst { factor, lasts, .. } => {
                format!("send {factor} times as many requests for {lasts}")
            }
            FaultEvent::OriginFails { failure, lasts, .. } => match failure {
                OriginFailure::Late => format!("fail after processing for {lasts}"),
                OriginFailure::Early => format!("are rejected for {lasts}"),
            },
            FaultEvent::OriginSlow { taken, lasts, .. } => {
                format!("has {} fewer cores for {lasts}", Percent(*taken))
            }
            FaultEvent::HotKey { lasts, .. } => format!("request the same key for {lasts}"),
            FaultEvent::Scan { lasts, .. } => format!("scan all keys for {lasts}"),
            FaultEvent::DamageAnswers {
                corrupted_share,
                reset,
                lasts,
                ..
            } => {
                let corrupted = Percent(*corrupted_share);
                let reset = Percent(*reset);
                format!("are lost, {corrupted} corrupted, {reset} reset for {lasts}")
            }
            FaultEvent::MalformedTraffic { lasts, .. } => {
                format!("send malformed input or nothing for {lasts}")
            }
            FaultEvent::NoisyNeighbour {
                part, taken, lasts, ..
            } => {
                let part = Percent(*part);
                let taken = Percent(*taken);
                format!("take {taken} of the capacity of {part} of the cache servers for {lasts}")
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
            FaultEvent::StepClock { step_s, .. } => format!("stepped by {step_s:+} s"),
        }
    }
}

impl Display for FaultEvent {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.subject(), self.predicate())
    }
}
