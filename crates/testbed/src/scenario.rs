//! A scenario: the fleet, its load and what goes wrong, as a TOML file. `docs/LAB.md` has every key.

use std::fmt::{self, Display, Formatter};
use std::path::{Path, PathBuf};

use router_config::{ConfigError, Span};
use serde::{Deserialize, Serialize};

/// A scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The file that this one is based on: what it does not set is as it is there.
    #[serde(default, skip_serializing)]
    pub base: Option<PathBuf>,
    /// Seed of all chance.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long clients ask.
    pub length: Span,
    /// Nodes.
    pub nodes: u32,
    /// Zones; nodes and servers are dealt out among them in turn.
    #[serde(default = "one")]
    pub zones: u8,
    /// What clients ask for.
    pub load: Load,
    /// Classes of requests.
    pub class: Vec<Class>,
    /// Kinds of cache servers.
    pub kind: Vec<Kind>,
    /// The origin.
    pub origin: Origin,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// The front.
    #[serde(default)]
    pub front: Front,
    /// The list of servers.
    #[serde(default)]
    pub list: List,
    /// The rules.
    #[serde(default)]
    pub rules: Rules,
    /// What goes wrong.
    #[serde(default)]
    pub event: Vec<Event>,
}

fn one<T: From<u8>>() -> T {
    T::from(1)
}

/// What clients ask for. They do not wait for each other: requests come at their times whatever the answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second, over all nodes.
    pub per_s: f64,
    /// Keys that there are.
    pub keys: u64,
    /// Exponent of their popularity; 0 for all alike.
    pub zipf: f64,
    /// Bytes of a value.
    pub value_bytes: u64,
    /// Tries after the first.
    #[serde(default)]
    pub retries: u32,
    /// Pause before the first of them, doubled for each further one, where the refusal tells none.
    #[serde(default = "backoff")]
    pub backoff: Span,
    /// So many ranks of popularity a second pass from key to key: what was most popular is not for long.
    #[serde(default)]
    pub drift_per_s: f64,
    /// This part of the clients goes away
    #[serde(default)]
    pub give_up: f64,
    /// after this, though its deadline is later.
    #[serde(default = "backoff")]
    pub give_up_after: Span,
}

fn backoff() -> Span {
    Span(std::time::Duration::from_millis(50))
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Part of the first tries that it makes.
    pub share: f64,
    /// Mean work of an answer on a reference core.
    pub work: Span,
    /// Spread of that work: standard deviation of a log-normal over its mean.
    #[serde(default)]
    pub spread: f64,
    /// An answer after this earns nothing.
    pub aim: Span,
    /// Its clients wait for so long over all tries.
    pub deadline: Span,
    /// What an answer in time is worth.
    pub worth: f64,
    /// What happens when it runs twice.
    #[serde(default)]
    pub effect: Effect,
    /// Whether it writes.
    #[serde(default)]
    pub write: bool,
}

/// What happens when a request runs twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing.
    #[default]
    Pure,
    /// Servers drop a repeat within 2 s.
    Keyed,
    /// It must not.
    Once,
}

/// A kind of cache servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Servers of it.
    pub servers: u32,
    /// Cores.
    pub cores: f64,
    /// Speed of a core beside the reference core.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Bytes that it keeps.
    pub memory_bytes: u64,
    /// Part of its capacity after a start.
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    /// It is warm after this time at the latest.
    #[serde(default = "warm_up")]
    pub warm_up: Span,
    /// Work that warms it as well, as a part of what it could do in that time.
    #[serde(default)]
    pub warm_by_work: f64,
}

fn cold_share() -> f64 {
    0.2
}

fn warm_up() -> Span {
    Span(std::time::Duration::from_secs(20))
}

/// The origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Calls in work at once.
    pub slots: usize,
    /// Calls that wait.
    pub waiting: usize,
    /// Time that a call takes while no other is out.
    pub work: Span,
    /// Calls that it works on at full speed.
    pub cores: f64,
    /// It falls over when it has turned calls away for so long without a pause of half a second; 0s: it does not.
    #[serde(default = "none")]
    pub fall_after: Span,
    /// After a fall it is back after this.
    #[serde(default = "back_after")]
    pub back_after: Span,
}

fn none() -> Span {
    Span(std::time::Duration::ZERO)
}

fn back_after() -> Span {
    Span(std::time::Duration::from_secs(5))
}

/// The front that deals out the clients' requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    /// It notices a node that has died after this; what it deals out to it until then fails.
    pub notice: Span,
}

impl Default for Front {
    fn default() -> Self {
        Front { notice: none() }
    }
}

/// The network, one way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Within a zone.
    pub same: Span,
    /// Between zones.
    pub cross: Span,
    /// Up to this part more, by chance.
    pub jitter: f64,
    /// Part of the messages to and from servers that is lost.
    pub lost: f64,
}

impl Default for Network {
    fn default() -> Self {
        let us = |us| Span(std::time::Duration::from_micros(us));
        Network {
            same: us(200),
            cross: us(4_000),
            jitter: 0.2,
            lost: 0.0,
        }
    }
}

/// The list of servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// Time that a call takes it.
    pub call: Span,
    /// A change is known after this time.
    pub notice: Span,
    /// A call that waits for longer fails.
    pub timeout: Span,
}

impl Default for List {
    fn default() -> Self {
        let ms = |ms| Span(std::time::Duration::from_millis(ms));
        List {
            call: ms(10),
            notice: ms(1_500),
            timeout: ms(2_000),
        }
    }
}

/// The rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// A cold server falls when sent more than this multiple of what it can do,
    pub fall_multiple: f64,
    /// in any window of this length
    pub fall_after: Span,
    /// and so many attempts of mean work over it, for chance.
    pub fall_slack: f64,
    /// Sends to a drained server end within this.
    pub drain_grace: Span,
}

impl Default for Rules {
    fn default() -> Self {
        let ms = |ms| Span(std::time::Duration::from_millis(ms));
        Rules {
            fall_multiple: 2.5,
            fall_after: ms(2_000),
            fall_slack: 10.0,
            drain_grace: ms(500),
        }
    }
}

/// How calls to the origin fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Failure {
    /// After they were worked on: they may have run.
    Late,
    /// At once: they never ran.
    Early,
}

/// What goes wrong, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Event {
    /// A part of the servers is replaced by new ones, spread over a time: each drains, ends, and a cold one starts.
    Replace {
        /// When it begins.
        at: Span,
        /// Part of the servers.
        part: f64,
        /// It takes this long.
        over: Span,
        /// Each drains for so long.
        drain: Span,
    },
    /// A part of the nodes is killed at once; they are back after a time.
    KillNodes {
        /// When.
        at: Span,
        /// Part of the nodes.
        part: f64,
        /// They are back after this.
        back: Span,
    },
    /// A part of the nodes is stopped, as a paused machine is; they go on after a time. Nothing of theirs ends.
    StopNodes {
        /// When.
        at: Span,
        /// Part of the nodes.
        part: f64,
        /// For how long.
        lasts: Span,
    },
    /// A part of the nodes is restarted one after another: each is told to end, answers what it has, and is started
    /// again once it has ended. The front sends it new requests for another 0.3 s.
    RestartNodes {
        /// When it begins.
        at: Span,
        /// Part of the nodes.
        part: f64,
        /// They are told within this.
        over: Span,
    },
    /// The list service moves: watches end, nodes are told where it is (on sockets by SIGHUP), and ask for all of it.
    MoveList {
        /// When.
        at: Span,
    },
    /// A zone is cut off from the others.
    CutZone {
        /// When.
        at: Span,
        /// Its number.
        zone: u8,
        /// For how long.
        lasts: Span,
    },
    /// A part of the servers ends without a word, and each starts again, cold, after a time.
    LoseServers {
        /// When.
        at: Span,
        /// Part of the servers.
        part: f64,
        /// They start again after this.
        back: Span,
    },
    /// The list service is down.
    ListDown {
        /// When.
        at: Span,
        /// For how long.
        lasts: Span,
    },
    /// Clients ask more often.
    Burst {
        /// When.
        at: Span,
        /// So many times as often.
        factor: f64,
        /// For how long.
        lasts: Span,
    },
    /// A part of the origin's calls fails.
    OriginFails {
        /// When.
        at: Span,
        /// Part of the calls.
        part: f64,
        /// `late`: worked on, and then 500; `early`: 503 or 504 at once, unprocessed.
        how: Failure,
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
    /// A part of the first tries asks for one key.
    HotKey {
        /// When.
        at: Span,
        /// Part of the first tries.
        part: f64,
        /// For how long.
        lasts: Span,
    },
    /// A part of the first tries goes through all keys in turn, from the least popular.
    Scan {
        /// When.
        at: Span,
        /// Part of the first tries.
        part: f64,
        /// For how long.
        lasts: Span,
    },
    /// Parts of the answers of cache servers and origin do not come as they were sent.
    BreakAnswers {
        /// When.
        at: Span,
        /// Part that never comes while its connection stays,
        #[serde(default)]
        lost: f64,
        /// that comes as rubbish,
        #[serde(default)]
        spoilt: f64,
        /// or as the end of its connection.
        #[serde(default)]
        reset: f64,
        /// For how long.
        lasts: Span,
    },
    /// Peers come to the nodes that say nothing, rubbish or half a command. Only on sockets: no module sees them.
    Rubbish {
        /// When.
        at: Span,
        /// So many a second, 1,000 at most.
        per_s: f64,
        /// For how long.
        lasts: Span,
    },
    /// Neighbours take a part of some machines.
    Neighbour {
        /// When.
        at: Span,
        /// Part of the servers.
        part: f64,
        /// Part of each that is taken.
        taken: f64,
        /// For how long.
        lasts: Span,
    },
}

impl Event {
    /// When it happens.
    pub fn at(&self) -> Span {
        match self {
            Event::Replace { at, .. }
            | Event::KillNodes { at, .. }
            | Event::StopNodes { at, .. }
            | Event::RestartNodes { at, .. }
            | Event::MoveList { at }
            | Event::CutZone { at, .. }
            | Event::LoseServers { at, .. }
            | Event::ListDown { at, .. }
            | Event::Burst { at, .. }
            | Event::OriginFails { at, .. }
            | Event::OriginSlow { at, .. }
            | Event::BreakAnswers { at, .. }
            | Event::Rubbish { at, .. }
            | Event::HotKey { at, .. }
            | Event::Scan { at, .. }
            | Event::Neighbour { at, .. } => *at,
        }
    }
}

impl Display for Event {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let percent = |part: &f64| format!("{:.0}%", part * 100.0);
        match self {
            Event::Replace { part, over, .. } => {
                write!(
                    f,
                    "{} of the cache servers are replaced within {over}",
                    percent(part)
                )
            }
            Event::KillNodes { part, back, .. } => {
                write!(
                    f,
                    "{} of the nodes are killed, back after {back}",
                    percent(part)
                )
            }
            Event::StopNodes { part, lasts, .. } => {
                write!(f, "{} of the nodes are stopped for {lasts}", percent(part))
            }
            Event::RestartNodes { part, over, .. } => {
                write!(
                    f,
                    "{} of the nodes are restarted within {over}",
                    percent(part)
                )
            }
            Event::MoveList { .. } => write!(f, "the list service moves"),
            Event::CutZone { zone, lasts, .. } => write!(f, "zone {zone} is cut off for {lasts}"),
            Event::LoseServers { part, back, .. } => {
                write!(
                    f,
                    "{} of the cache servers die, back cold after {back}",
                    percent(part)
                )
            }
            Event::ListDown { lasts, .. } => write!(f, "the list service is down for {lasts}"),
            Event::Burst { factor, lasts, .. } => {
                write!(f, "clients ask {factor} times as often for {lasts}")
            }
            Event::OriginFails {
                part, how, lasts, ..
            } => {
                let how = if *how == Failure::Late {
                    "fail after their work"
                } else {
                    "are turned away"
                };
                write!(
                    f,
                    "{} of the origin's calls {how} for {lasts}",
                    percent(part)
                )
            }
            Event::BreakAnswers {
                lost,
                spoilt,
                reset,
                lasts,
                ..
            } => {
                let (lost, spoilt, reset) = (percent(lost), percent(spoilt), percent(reset));
                write!(
                    f,
                    "{lost} of the answers are lost, {spoilt} spoilt, {reset} reset for {lasts}"
                )
            }
            Event::Rubbish { per_s, lasts, .. } => {
                write!(
                    f,
                    "{per_s} peers a second send rubbish or nothing for {lasts}"
                )
            }
            Event::OriginSlow { taken, lasts, .. } => {
                write!(
                    f,
                    "the origin loses {} of its cores for {lasts}",
                    percent(taken)
                )
            }
            Event::HotKey { part, lasts, .. } => {
                write!(
                    f,
                    "{} of the clients ask for one key for {lasts}",
                    percent(part)
                )
            }
            Event::Scan { part, lasts, .. } => {
                write!(
                    f,
                    "{} of the clients go through all keys for {lasts}",
                    percent(part)
                )
            }
            Event::Neighbour {
                part, taken, lasts, ..
            } => {
                let (part, taken) = (percent(part), percent(taken));
                write!(
                    f,
                    "neighbours take {taken} of {part} of the cache servers for {lasts}"
                )
            }
        }
    }
}

/// The front sends a node that was told to end new requests for so long.
pub(crate) const LEAVES: std::time::Duration = std::time::Duration::from_millis(300);

/// The most that a scenario may hold: what a play in memory still bears.
const MOST: (u32, u32, f64) = (2_000, 2_000, 50_000_000.0);

impl Scenario {
    /// The scenario of `routerctl demo`, as TOML.
    pub const DEMO: &str = include_str!("../scenarios/demo.toml");

    /// Reads a file.
    ///
    /// # Errors
    /// Where it can't be read, or holds what the schema or sense does not allow; with file, line and what would do.
    pub fn read(path: &Path) -> Result<Scenario, ConfigError> {
        Scenario::read_with(path, &[])
    }

    /// The same with some keys set over the file's: with dots, and as they would stand in the file.
    ///
    /// # Errors
    /// The same.
    pub fn read_with(path: &Path, set: &[(String, String)]) -> Result<Scenario, ConfigError> {
        router_config::read_toml(path, set, Scenario::impossible)
    }

    /// The first value that is of the right kind and yet impossible: its key, and what would do.
    fn impossible(&self) -> Option<(String, String)> {
        let wrong = |key: &str, what: String| Some((key.to_string(), what));
        let above = |key: &str, value: f64| {
            (value.is_nan() || value <= 0.0)
                .then(|| (key.to_string(), format!("found {value}: write more than 0")))
        };
        let part = |key: &str, value: f64| {
            let outside = !(0.0..=1.0).contains(&value);
            outside.then(|| {
                (
                    key.to_string(),
                    format!("found {value}: write a part, 0 to 1"),
                )
            })
        };
        if self.nodes == 0 || self.nodes > MOST.0 {
            return wrong(
                "nodes",
                format!("found {}: write 1 to {}", self.nodes, MOST.0),
            );
        }
        if self.zones == 0 || self.zones > 16 {
            return wrong("zones", format!("found {}: write 1 to 16", self.zones));
        }
        let servers: u32 = self
            .kind
            .iter()
            .map(|kind| kind.servers.min(MOST.1 + 1))
            .sum();
        if servers == 0 || servers > MOST.1 {
            return wrong(
                "kind",
                format!("there are {servers} servers: write 1 to {} in all", MOST.1),
            );
        }
        if self.class.is_empty() {
            return wrong("class", "there is none: write a [[class]]".into());
        }
        if self.load.keys == 0 {
            return wrong("load.keys", "found 0: write 1 or more".into());
        }
        let requests = self.load.per_s * self.length.0.as_secs_f64();
        if requests > MOST.2 {
            return wrong(
                "load.per_s",
                format!("{requests:.0} requests in all: write at most {:.0}", MOST.2),
            );
        }
        let figures = [
            ("load.per_s", self.load.per_s),
            ("origin.cores", self.origin.cores),
        ];
        let kinds = self.kind.iter().enumerate().flat_map(|(i, kind)| {
            [
                (format!("kind.{i}.cores"), kind.cores),
                (format!("kind.{i}.speed"), kind.speed),
            ]
        });
        let named = figures
            .into_iter()
            .map(|(key, value)| (key.to_string(), value))
            .chain(kinds);
        if let Some(found) = named
            .into_iter()
            .find_map(|(key, value)| above(&key, value))
        {
            return Some(found);
        }
        for (i, class) in self.class.iter().enumerate() {
            if class.deadline < class.aim {
                let (aim, deadline) = (class.aim, class.deadline);
                let what =
                    format!("found {deadline}, which is before the aim: write {aim} or more");
                return wrong(&format!("class.{i}.deadline"), what);
            }
            if let Some(found) = part(&format!("class.{i}.share"), class.share) {
                return Some(found);
            }
        }
        for (i, event) in self.event.iter().enumerate() {
            let key = |name: &str| format!("event.{i}.{name}");
            let found = match event {
                Event::Replace { part: share, .. }
                | Event::KillNodes { part: share, .. }
                | Event::StopNodes { part: share, .. }
                | Event::RestartNodes { part: share, .. }
                | Event::OriginFails { part: share, .. }
                | Event::HotKey { part: share, .. }
                | Event::Scan { part: share, .. }
                | Event::LoseServers { part: share, .. } => part(&key("part"), *share),
                Event::Neighbour {
                    part: share, taken, ..
                } => part(&key("part"), *share).or_else(|| part(&key("taken"), *taken)),
                Event::BreakAnswers {
                    lost,
                    spoilt,
                    reset,
                    ..
                } => part(&key("lost"), *lost)
                    .or_else(|| part(&key("spoilt"), *spoilt))
                    .or_else(|| part(&key("reset"), *reset))
                    .or_else(|| part(&key("lost"), lost + spoilt + reset)),
                Event::Rubbish { per_s, .. } if *per_s > 1_000.0 => {
                    wrong(&key("per_s"), format!("found {per_s}: write at most 1000"))
                }
                Event::Rubbish { per_s, .. } => above(&key("per_s"), *per_s),
                Event::OriginSlow { taken, .. } => part(&key("taken"), *taken),
                Event::Burst { factor, .. } => above(&key("factor"), *factor),
                Event::CutZone { zone, .. } if *zone >= self.zones => wrong(
                    &key("zone"),
                    format!("found {zone}: write 0 to {}", self.zones - 1),
                ),
                Event::CutZone { .. } | Event::ListDown { .. } | Event::MoveList { .. } => None,
            };
            if found.is_some() {
                return found;
            }
            if event.at() > self.length {
                let (at, length) = (event.at(), self.length);
                return wrong(
                    &key("at"),
                    format!("found {at}, after the end: write at most {length}"),
                );
            }
        }
        part("load.give_up", self.load.give_up).or_else(|| {
            part("network.lost", self.network.lost)
                .or_else(|| part("network.jitter", self.network.jitter))
        })
    }
}
