//! The rules of the protocol, watched while the world runs: no lost request, no effect twice, no send to a server that
//! was told to drain, no cold server pushed over by those who knew. Whoever drives the world reports what nodes do;
//! each break is kept with its time and its parties.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use crate::Micros;
use crate::list::NodeId;
use crate::server::Fall;

/// Names a request at its node.
pub type Request = (NodeId, u64);

/// What happens when a request runs twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated and refused freely.
    Pure,
    /// Servers drop a repeat within this time of the first send that may have run.
    Keyed(Micros),
    /// It must not: it goes out again, or is refused, only when no attempt can have run.
    Once,
}

/// The figures of the rules, in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// Past a request's deadline its answer still counts for so long.
    pub answer_grace: Micros,
    /// Past a request's end what was sent before it may still come for so long.
    pub sent_grace: Micros,
    /// Sends to a server end within this time of the news that it drains or is gone.
    pub drain_grace: Micros,
    /// News counts as told this long after it was known, heard of or not.
    pub told_after: Micros,
    /// A fall is a break from this part of its load on that came from those who knew.
    pub fall_knew: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            answer_grace: 70_000,
            sent_grace: 0,
            drain_grace: 550_000,
            told_after: 6_000_000,
            fall_knew: 2.0 / 3.0,
        }
    }
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Break {
    /// When.
    pub at: Micros,
    /// Which, and by whom.
    pub what: Broken,
}

/// Which rule, and by whom.
#[derive(Debug, Clone, PartialEq)]
pub enum Broken {
    /// A request had no final answer in time, or none at all.
    Lost(Request),
    /// A request was sent after its node had ended it.
    SentAfterEnd(Request),
    /// A request that must not run twice was sent while an attempt may have run.
    Twice(Request),
    /// A request was refused, which says that it did not run, while an attempt may have.
    RefusedThoughRun(Request),
    /// A node sent to a server so long after it was told to stop.
    Drain(NodeId, u32, Micros),
    /// A cold server was pushed over.
    PushedOver(u32, Fall),
}

impl Display for Break {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: ", self.at as f64 / 1e6)?;
        match &self.what {
            Broken::Lost((node, id)) => {
                write!(
                    f,
                    "lost: node {node} gave request {id} no final answer in time"
                )
            }
            Broken::SentAfterEnd((node, id)) => {
                write!(f, "lost: node {node} sent request {id} after its end")
            }
            Broken::Twice((node, id)) => {
                write!(
                    f,
                    "dup: node {node} sent request {id} though it may have run"
                )
            }
            Broken::RefusedThoughRun((node, id)) => {
                write!(
                    f,
                    "dup: node {node} refused request {id} though it may have run"
                )
            }
            Broken::Drain(node, server, after) => {
                let after = *after as f64 / 1e6;
                write!(
                    f,
                    "drain: node {node} sent to server {server} {after:.3} s after it was told to stop"
                )
            }
            Broken::PushedOver(server, fall) => write!(
                f,
                "failback: server {server} fell over {:.1} s after its start, sent {:.1} times what it could do",
                fall.age as f64 / 1e6,
                fall.multiple
            ),
        }
    }
}

#[derive(Debug)]
struct Owed {
    deadline: Micros,
    effect: Effect,
    ended: Option<Micros>,
    /// Attempts that run or may have run, and when each was sent.
    may_have_run: BTreeMap<u16, Micros>,
}

/// The rules, and what has broken them so far.
#[derive(Debug, Default)]
pub struct Rules {
    figures: Figures,
    owed: BTreeMap<Request, Owed>,
    /// When each node was told that a server is not ready.
    told: BTreeMap<(NodeId, u32), Micros>,
    /// When it was known of servers that they are not ready.
    known: BTreeMap<u32, Micros>,
    /// Since when nodes are stopped.
    stopped: BTreeMap<NodeId, Micros>,
    breaks: Vec<Break>,
}

impl Rules {
    /// With these figures.
    pub fn new(figures: Figures) -> Self {
        Rules {
            figures,
            ..Rules::default()
        }
    }

    /// What has been broken, in order.
    pub fn breaks(&self) -> &[Break] {
        &self.breaks
    }

    fn broken(&mut self, at: Micros, what: Broken) {
        self.breaks.push(Break { at, what });
    }

    /// A node has taken a request whose client waits until a deadline.
    pub fn taken(&mut self, request: Request, deadline: Micros, effect: Effect) {
        let owed = Owed {
            deadline,
            effect,
            ended: None,
            may_have_run: BTreeMap::new(),
        };
        self.owed.insert(request, owed);
    }

    /// A node sends an attempt of a request to a server.
    pub fn sent(&mut self, now: Micros, request: Request, attempt: u16, server: u32) {
        let (node, _) = request;
        let told = self.told.get(&(node, server)).copied();
        let known = self
            .known
            .get(&server)
            .map(|known| known + self.figures.told_after);
        let told = told.into_iter().chain(known).min();
        if let Some(after) = told.and_then(|told| now.checked_sub(told))
            && after > self.figures.drain_grace
        {
            self.broken(now, Broken::Drain(node, server, after));
        }
        let Some(owed) = self.owed.get_mut(&request) else {
            return;
        };
        let first = owed.may_have_run.values().min().copied();
        owed.may_have_run.insert(attempt, now);
        let twice = match (owed.effect, first) {
            (Effect::Pure, _) | (_, None) => false,
            (Effect::Keyed(window), Some(first)) => now > first + window,
            (Effect::Once, Some(_)) => true,
        };
        let ended = owed
            .ended
            .is_some_and(|ended| now >= ended + self.figures.sent_grace);
        if twice {
            self.broken(now, Broken::Twice(request));
        }
        if ended {
            self.broken(now, Broken::SentAfterEnd(request));
        }
    }

    /// An attempt is proved never to have run.
    pub fn never_ran(&mut self, request: Request, attempt: u16) {
        if let Some(owed) = self.owed.get_mut(&request) {
            owed.may_have_run.remove(&attempt);
        }
    }

    /// A node gives its final answer; whether it is a refusal.
    pub fn answered(&mut self, now: Micros, request: Request, refused: bool) {
        let Some(owed) = self
            .owed
            .get_mut(&request)
            .filter(|owed| owed.ended.is_none())
        else {
            return;
        };
        owed.ended = Some(now);
        let late = now > owed.deadline + self.figures.answer_grace;
        let run = refused && owed.effect == Effect::Once && !owed.may_have_run.is_empty();
        if late {
            self.broken(now, Broken::Lost(request));
        }
        if run {
            self.broken(now, Broken::RefusedThoughRun(request));
        }
    }

    /// A node ended a request's connection without a whole answer, and was not killed.
    pub fn broken_off(&mut self, now: Micros, request: Request) {
        if let Some(owed) = self
            .owed
            .get_mut(&request)
            .filter(|owed| owed.ended.is_none())
        {
            owed.ended = Some(now);
            self.broken(now, Broken::Lost(request));
        }
    }

    /// Nothing is owed for a request any more: its client has gone.
    pub fn client_gone(&mut self, now: Micros, request: Request) {
        if let Some(owed) = self.owed.get_mut(&request) {
            owed.ended.get_or_insert(now);
        }
    }

    /// A node's process is stopped: it learns nothing until it goes on.
    pub fn stopped(&mut self, now: Micros, node: NodeId) {
        self.stopped.insert(node, now);
    }

    /// A stopped node goes on: only now can it learn which clients left meanwhile.
    pub fn went_on(&mut self, now: Micros, node: NodeId) {
        let Some(since) = self.stopped.remove(&node) else {
            return;
        };
        let meanwhile = self
            .owed
            .iter_mut()
            .filter(|(request, _)| request.0 == node);
        for (_, owed) in
            meanwhile.filter(|(_, owed)| owed.ended.is_some_and(|ended| ended >= since))
        {
            owed.ended = Some(now);
        }
    }

    /// No attempt of a request is out any more and it has ended: it can be forgotten.
    pub fn forget(&mut self, request: Request) {
        if self
            .owed
            .get(&request)
            .is_some_and(|owed| owed.ended.is_some())
        {
            self.owed.remove(&request);
        }
    }

    /// It is known of a server that it is ready, or not.
    pub fn known(&mut self, now: Micros, server: u32, ready: bool) {
        if ready {
            self.known.remove(&server);
        } else {
            self.known.entry(server).or_insert(now);
        }
    }

    /// A node is told that a server is ready, or not.
    pub fn told(&mut self, now: Micros, node: NodeId, server: u32, ready: bool) {
        if ready {
            self.told.remove(&(node, server));
        } else {
            self.told.entry((node, server)).or_insert(now);
        }
    }

    /// A node is killed: what it had is its clients' to ask again, and what it was told is forgotten.
    pub fn killed(&mut self, node: NodeId) {
        self.stopped.remove(&node);
        self.owed.retain(|(owner, _), _| *owner != node);
        self.told.retain(|(owner, _), _| *owner != node);
    }

    /// A cold server fell.
    pub fn fell(&mut self, server: u32, fall: Fall) {
        if fall.knew >= self.figures.fall_knew {
            self.broken(fall.at, Broken::PushedOver(server, fall));
        }
    }

    /// The world ends: what should have been answered by now and was not is lost.
    pub fn end(&mut self, now: Micros) {
        let grace = self.figures.answer_grace;
        let lost = |(request, owed): (&Request, &Owed)| {
            (owed.ended.is_none() && now > owed.deadline + grace).then_some(*request)
        };
        let lost: Vec<_> = self.owed.iter().filter_map(lost).collect();
        lost.into_iter()
            .for_each(|request| self.broken(now, Broken::Lost(request)));
    }
}
