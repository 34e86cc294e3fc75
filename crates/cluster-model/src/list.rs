//! The list of servers: one service for all nodes that handles calls one after another. What changes becomes known
//! some time later; watches are told of it, and a call that waits too long fails.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// Names a node.
pub type NodeId = u32;

/// What the service is like.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Time that each call takes it, in microseconds.
    pub call: Micros,
    /// Time that it takes to write one change to one watch, in microseconds.
    pub write: Micros,
    /// A call that has waited for this long fails.
    pub timeout: Micros,
    /// Changes that it remembers; a watch from before has the whole list.
    pub history: usize,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            call: 10_000,
            write: 0,
            timeout: 2_000_000,
            history: 1_000,
        }
    }
}

/// What is known of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It takes requests.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is gone; only changes say so.
    Left,
}

/// A server as the list has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Line {
    /// Its id.
    pub server: u32,
    /// How it is.
    pub condition: Condition,
    /// When it last started, 0 for long ago.
    pub started: Micros,
}

/// What a node asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// The whole list, once.
    Whole,
    /// All changes after a version (0: the list), until the watch ends.
    Watch {
        /// The version held.
        after: u64,
    },
}

/// What a node is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// A list, or changes of it.
    Lines {
        /// Version that the node holds with it.
        version: u64,
        /// Whether it is whole: what it does not name is gone.
        whole: bool,
        /// Its servers.
        lines: Vec<Line>,
    },
    /// The call failed or the watch ended.
    Failed,
}

/// The service.
#[derive(Debug)]
pub struct List {
    spec: Spec,
    version: u64,
    lines: BTreeMap<u32, Line>,
    /// The latest changes, with the version that each made.
    changes: VecDeque<(u64, Line)>,
    /// Calls that wait, oldest first.
    queue: VecDeque<(Micros, NodeId, Call)>,
    /// Nodes with a watch, and the version that each was told.
    watches: BTreeMap<NodeId, u64>,
    /// Until when it is at work.
    busy: Micros,
    up: bool,
}

impl List {
    /// A list of servers that run since long ago.
    pub fn new(spec: Spec, servers: impl IntoIterator<Item = u32>) -> Self {
        let line = |server| {
            (
                server,
                Line {
                    server,
                    condition: Condition::Active,
                    started: 0,
                },
            )
        };
        List {
            spec,
            version: 1,
            lines: servers.into_iter().map(line).collect(),
            changes: VecDeque::new(),
            queue: VecDeque::new(),
            watches: BTreeMap::new(),
            busy: 0,
            up: true,
        }
    }

    /// The version; it only grows.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The whole list.
    pub fn lines(&self) -> Vec<Line> {
        self.lines.values().copied().collect()
    }

    /// A change becomes known. Watches are told in turn, each after the time that its write takes.
    pub fn change(&mut self, now: Micros, line: Line) -> Vec<(Micros, NodeId, Told)> {
        self.version += 1;
        match line.condition {
            Condition::Left => drop(self.lines.remove(&line.server)),
            _ => drop(self.lines.insert(line.server, line)),
        }
        self.changes.push_back((self.version, line));
        while self.changes.len() > self.spec.history {
            self.changes.pop_front();
        }
        if !self.up {
            return Vec::new();
        }
        let (version, write) = (self.version, self.spec.write);
        let mut told = Vec::new();
        for (node, held) in &mut self.watches {
            self.busy = self.busy.max(now) + write;
            *held = version;
            told.push((
                self.busy,
                *node,
                Told::Lines {
                    version,
                    whole: false,
                    lines: vec![line],
                },
            ));
        }
        told
    }

    /// A node calls. A new watch of a node is in place of its old one.
    pub fn call(&mut self, now: Micros, node: NodeId, call: Call) -> Option<Told> {
        if !self.up {
            return Some(Told::Failed);
        }
        self.hang_up(node);
        self.queue.push_back((now, node, call));
        None
    }

    /// A node closes its watch or gives its call up.
    pub fn hang_up(&mut self, node: NodeId) {
        self.watches.remove(&node);
        self.queue.retain(|(_, waiting, _)| *waiting != node);
    }

    /// When [`List::work`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        let (came, ..) = self.queue.front()?;
        Some((self.busy.max(*came) + self.spec.call).min(came + self.spec.timeout))
    }

    /// Handles what is due: the answer to each call, or its failure.
    pub fn work(&mut self, now: Micros) -> Vec<(NodeId, Told)> {
        let mut told = Vec::new();
        while let Some(&(came, node, call)) = self.queue.front() {
            let done = self.busy.max(came) + self.spec.call;
            if done > came + self.spec.timeout {
                if came + self.spec.timeout > now {
                    break;
                }
                // It waited in vain, and cost the service no work.
                told.push((node, Told::Failed));
            } else if done > now {
                break;
            } else {
                self.busy = done;
                told.push((node, self.answer(node, call)));
            }
            self.queue.pop_front();
        }
        told
    }

    fn answer(&mut self, node: NodeId, call: Call) -> Told {
        let version = self.version;
        let whole = Told::Lines {
            version,
            whole: true,
            lines: self.lines(),
        };
        let Call::Watch { after } = call else {
            return whole;
        };
        self.watches.insert(node, version);
        // Known from the version after the one held on, without a gap.
        let oldest = self
            .changes
            .front()
            .map_or(version + 1, |(version, _)| *version);
        if after == 0 || after > version || after + 1 < oldest {
            return whole;
        }
        let lines = self
            .changes
            .iter()
            .filter(|(version, _)| *version > after)
            .map(|(_, line)| *line)
            .collect();
        Told::Lines {
            version,
            whole: false,
            lines,
        }
    }

    /// The service is reached elsewhere from now on: all watches and calls end.
    pub fn move_away(&mut self) -> Vec<(NodeId, Told)> {
        let watching = std::mem::take(&mut self.watches).into_keys();
        let waiting = std::mem::take(&mut self.queue)
            .into_iter()
            .map(|(_, node, _)| node);
        watching
            .chain(waiting)
            .map(|node| (node, Told::Failed))
            .collect()
    }

    /// The service goes down, which ends all watches and calls, or comes back.
    pub fn set_up(&mut self, now: Micros, up: bool) -> Vec<(NodeId, Told)> {
        self.up = up;
        self.busy = self.busy.max(now);
        if up { Vec::new() } else { self.move_away() }
    }
}
