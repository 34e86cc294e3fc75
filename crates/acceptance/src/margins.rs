//! How far a play of the fleet test stayed from the limits of three rules, from the traces of its nodes: load at
//! cold servers, sends after a drain was told, and the time of final answers.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display, Formatter};
use std::io::BufRead;
use std::path::{Path, PathBuf};

use crate::trace::{self, Fact, Figures, Micros};

/// Whatever discovery has to tell counts as told so much later, by the protocol.
const TOLD: Micros = 6_000_000;
/// Every time limit of the rules grows by this on sockets, by the protocol.
const SLACK: Micros = 50_000;
/// A final answer counts as lost this long after the request's time, by the page on the fleet days.
const LOST: i64 = 500_000;
/// Windows in which a warm server turned requests away tell its kind's capacity where there are as many.
const BUSY_WINDOWS: usize = 20;
/// Where servers were hardly ever busy, a kind can do at least what this part of the windows stay below.
const SEEN: f64 = 0.95;
/// A margin under this part of its limit asks for a cause.
const NARROW: f64 = 0.25;

/// Why a play has no figures.
#[derive(Debug, thiserror::Error)]
pub enum MarginError {
    /// A file or folder can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// None of the files holds a trace.
    #[error("no trace in {}: play the day with deploy/trace.toml and --logs", .0.display())]
    NoTrace(PathBuf),
}

/// The figures of one play.
#[derive(Debug, Default)]
pub struct Margins {
    /// The settings that the rules rest on.
    pub figures: Option<Figures>,
    /// The cold server that was nearest to falling over.
    pub cold: Option<Cold>,
    /// The latest send to a server that was told to drain or to be gone.
    pub drain: Option<Drain>,
    /// The longest that a node did not hear, in microseconds, of a drain or an end that another had heard of or that
    /// was news while it started, and the node.
    pub unheard: Option<(Micros, u32)>,
    /// The latest final answer, in microseconds after its request's time, and the client's name of the request.
    pub latest: Option<(i64, String)>,
    /// Requests whose node went on past their time and never answered.
    pub unanswered: u64,
    /// What a warm server of each kind can do, in attempts a second, and whether it was seen full.
    pub capacity: BTreeMap<i64, (f64, bool)>,
    /// Final answers by how they ended.
    pub ends: BTreeMap<String, u64>,
    /// Calls to discovery, and those that failed.
    pub calls: (u64, u64),
    /// Lines of a trace that are broken, and the first.
    pub broken: (u64, String),
}

/// A cold server's worst window.
#[derive(Debug, Clone, PartialEq)]
pub struct Cold {
    /// Its id.
    pub server: u32,
    /// Its kind.
    pub kind: i64,
    /// End of the window, in microseconds after its start.
    pub age: Micros,
    /// Attempts in the window.
    pub attempts: usize,
    /// How many of them came from nodes that had heard of this start or count as having heard.
    pub knew: usize,
    /// How many of them it answered, as far as their outcomes tell.
    pub answered: usize,
    /// The attempts as a part of those at which it falls.
    pub load: f64,
}

/// A send after a drain was told.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// The server.
    pub server: u32,
    /// The node.
    pub node: u32,
    /// Time since it was told or counted as told, in microseconds.
    pub after: Micros,
    /// Whether the node's own list had it.
    pub heard: bool,
}

struct Send {
    at: Micros,
    server: u32,
    node: u32,
    /// The start that the node's list had.
    started: Micros,
    /// When the node's list first had it not ready, if it did.
    told: Option<Micros>,
    /// Whether the server answered it, as far as its outcome tells.
    answered: bool,
}

/// All that was seen in one play.
#[derive(Default)]
struct Play {
    margins: Margins,
    sends: Vec<Send>,
    kinds: HashMap<u32, i64>,
    /// Starts of each server that discovery has told of, and when a node first heard of each.
    starts: HashMap<u32, BTreeMap<Micros, Micros>>,
    /// When nodes heard that a server is ready, and that it is not.
    returns: HashMap<u32, Vec<Micros>>,
    leaves: HashMap<u32, Vec<Micros>>,
    /// Each hearing of those: the server, when, the node, and when its process began.
    hearings: Vec<(u32, Micros, u32, Micros)>,
    /// Times of answers, and of requests turned away, by server.
    answers: HashMap<u32, Vec<Micros>>,
    full: HashMap<u32, Vec<Micros>>,
}

/// One process, as far as its log was read.
#[derive(Default)]
struct Process {
    node: u32,
    began: Micros,
    /// The servers of its list: start, and since when they are not ready.
    list: HashMap<u32, (Micros, Option<Micros>)>,
    /// What a whole list that is being read has named, and when it came.
    whole: Option<(Micros, Vec<u32>)>,
    /// Whether the list that is being read is the old one that a process begins with, and no news.
    cached: bool,
    open: HashMap<u64, (Micros, String)>,
    /// Places of its sends among all.
    out: HashMap<(u64, u16), usize>,
    last: Micros,
}

/// The figures of a play whose logs are in a folder.
///
/// # Errors
/// Where a log can't be read or none holds a trace.
pub fn of(folder: &Path) -> Result<Margins, MarginError> {
    let unreadable = |path: &Path| {
        let path = path.to_path_buf();
        move |source| MarginError::Unreadable { path, source }
    };
    let mut play = Play::default();
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable(folder))? {
        paths.push(entry.map_err(unreadable(folder))?.path());
    }
    paths.sort();
    for path in paths.iter().filter(|path| path.is_file()) {
        let file = std::fs::File::open(path).map_err(unreadable(path))?;
        let mut lines = std::io::BufReader::new(file);
        let (mut process, mut bytes) = (Process::default(), Vec::new());
        while lines
            .read_until(b'\n', &mut bytes)
            .map_err(unreadable(path))?
            > 0
        {
            play.line(&mut process, &String::from_utf8_lossy(&bytes));
            bytes.clear();
        }
        play.process_ended(&mut process);
    }
    if play.margins.figures.is_none() {
        return Err(MarginError::NoTrace(folder.into()));
    }
    Ok(play.judge())
}

impl Play {
    fn line(&mut self, process: &mut Process, text: &str) {
        let line = match trace::read(text) {
            None => return,
            Some(Ok(line)) => line,
            Some(Err(text)) => {
                self.margins.broken.0 += 1;
                if self.margins.broken.0 == 1 {
                    self.margins.broken.1 = text.trim_end().into();
                }
                return;
            }
        };
        // A list ends where something else begins: what a whole one has not named is gone.
        if !matches!(line.fact, Fact::Server(_)) {
            self.list_ended(process);
        }
        if let Fact::Start(figures) = line.fact {
            self.process_ended(process);
            *process = Process {
                node: figures.me,
                began: line.at,
                ..Process::default()
            };
            self.margins.figures = Some(figures);
        }
        process.last = line.at;
        match line.fact {
            Fact::Start(_) => {}
            Fact::List { whole, cached } => {
                process.whole = whole.then(|| (line.at, Vec::new()));
                process.cached = cached;
            }
            Fact::Server(server) => {
                process
                    .whole
                    .iter_mut()
                    .for_each(|(_, named)| named.push(server.id));
                self.kinds.insert(server.id, server.kind);
                if !process.cached {
                    let heard = self
                        .starts
                        .entry(server.id)
                        .or_default()
                        .entry(server.started)
                        .or_insert(line.at);
                    *heard = (*heard).min(line.at);
                    if server.ready {
                        self.returns.entry(server.id).or_default().push(line.at);
                    }
                }
                let known = process.list.entry(server.id).or_default();
                known.0 = known.0.max(server.started);
                let before = known.1;
                known.1 = (!server.ready).then(|| before.unwrap_or(line.at));
                if !server.ready && before.is_none() {
                    self.left(process, server.id, line.at);
                }
            }
            Fact::Request { id, left, name, .. } => {
                process.open.insert(id, (line.at + left, name.into()));
            }
            Fact::Send {
                id,
                attempt,
                server,
            } => {
                let (started, told) = process.list.get(&server).copied().unwrap_or_default();
                process.out.insert((id, attempt), self.sends.len());
                let (at, node) = (line.at, process.node);
                self.sends.push(Send {
                    at,
                    server,
                    node,
                    started,
                    told,
                    answered: false,
                });
            }
            Fact::Outcome {
                id,
                attempt,
                server,
                status,
            } => {
                let send = process.out.remove(&(id, attempt));
                match status {
                    "Served" | "Miss" | "Error" => {
                        send.into_iter()
                            .for_each(|send| self.sends[send].answered = true);
                        self.answers.entry(server).or_default().push(line.at);
                    }
                    // Work to a warm server, whoever still waits: but no proof that it could be done in time.
                    "TimedOut" | "Cancelled" => {
                        self.answers.entry(server).or_default().push(line.at)
                    }
                    "Full" => self.full.entry(server).or_default().push(line.at),
                    _ => {}
                }
            }
            Fact::End { id, how, late } => {
                let request = process.open.remove(&id);
                *self.margins.ends.entry(how.into()).or_default() += 1;
                let latest = self
                    .margins
                    .latest
                    .as_ref()
                    .map_or(i64::MIN, |(late, _)| *late);
                if let Some((_, name)) = request.filter(|_| how != "gone" && late > latest) {
                    self.margins.latest = Some((late, name));
                }
            }
            Fact::Asked => self.margins.calls.0 += 1,
            Fact::Unheard => self.margins.calls.1 += 1,
        }
    }

    fn list_ended(&mut self, process: &mut Process) {
        let Some((at, named)) = process.whole.take() else {
            return;
        };
        let mut gone = Vec::new();
        for (server, (_, told)) in process
            .list
            .iter_mut()
            .filter(|(id, _)| !named.contains(id))
        {
            if told.replace(told.unwrap_or(at)).is_none() {
                gone.push(*server);
            }
        }
        gone.into_iter()
            .for_each(|server| self.left(process, server, at));
    }

    /// A process has heard that a server is not ready any more.
    fn left(&mut self, process: &Process, server: u32, at: Micros) {
        self.leaves.entry(server).or_default().push(at);
        self.hearings
            .push((server, at, process.node, process.began));
    }

    /// What a process that was killed had open is its clients' to ask again; what one that went on left is lost.
    fn process_ended(&mut self, process: &mut Process) {
        let over = |(ends, _): &&(Micros, String)| ends + LOST.unsigned_abs() < process.last;
        self.margins.unanswered += process.open.values().filter(over).count() as u64;
        process.open.clear();
    }

    fn judge(mut self) -> Margins {
        let figures = self.margins.figures.take().unwrap_or(Figures {
            me: 0,
            balancers: 1,
            cold_share: 1.0,
            warm_up: 1.0,
            fall_multiple: 1.0,
            fall_after: 1.0,
            drain_grace: 0.0,
            origin_kind: -1,
        });
        for times in [
            &mut self.returns,
            &mut self.leaves,
            &mut self.answers,
            &mut self.full,
        ] {
            times.values_mut().for_each(|times| times.sort_unstable());
        }
        self.sends.sort_unstable_by_key(|send| send.at);
        self.margins.drain = self.worst_drain();
        self.margins.unheard = self.longest_unheard();
        self.margins.capacity = self.capacity(&figures);
        self.margins.cold = self.worst_cold(&figures);
        self.margins.figures = Some(figures);
        self.margins
    }

    fn worst_drain(&self) -> Option<Drain> {
        let mut worst: Option<Drain> = None;
        for send in &self.sends {
            let heard = send.told.map(|told| send.at.saturating_sub(told));
            // The first node to hear of it tells when discovery had it.
            let first = self.first_leave(send.server, send.at);
            let counts = first.and_then(|first| send.at.checked_sub(first + TOLD));
            let Some(after) = heard.max(counts) else {
                continue;
            };
            if worst.as_ref().is_none_or(|w| after > w.after) {
                worst = Some(Drain {
                    server: send.server,
                    node: send.node,
                    after,
                    heard: heard >= counts,
                });
            }
        }
        worst
    }

    fn longest_unheard(&self) -> Option<(Micros, u32)> {
        let since = |(server, at, node, began): &(u32, Micros, u32, Micros)| {
            let first = self.first_leave(*server, *at).unwrap_or(*at);
            (at - first.max(*began).min(*at), *node)
        };
        self.hearings.iter().map(since).max()
    }

    /// When the first node heard that a server is not ready, as it is not at a time.
    fn first_leave(&self, server: u32, at: Micros) -> Option<Micros> {
        // The news is void once it is back.
        let back = before(&self.returns, server, at);
        let leaves = self.leaves.get(&server)?;
        leaves
            .get(leaves.partition_point(|left| *left <= back))
            .copied()
    }

    /// The last start of a send's server before it, 0 where it runs since long ago, and whether the node knew of it
    /// or counts as knowing.
    fn start(&self, send: &Send) -> (Micros, bool) {
        let starts = self.starts.get(&send.server);
        let last = starts.and_then(|starts| starts.range(..=send.at).next_back());
        let (start, heard) = last.map_or((0, 0), |(start, heard)| (*start, *heard));
        (start, send.started >= start || send.at >= heard + TOLD)
    }

    /// What a warm server of each kind does in a window: the middle one of those in which it turned requests away,
    /// or else nearly the most that was seen.
    fn capacity(&self, figures: &Figures) -> BTreeMap<i64, (f64, bool)> {
        let window = figures.fall_after as Micros;
        let mut busy: BTreeMap<i64, Vec<f64>> = BTreeMap::new();
        let mut all: BTreeMap<i64, Vec<f64>> = BTreeMap::new();
        for (server, answers) in &self.answers {
            let kind = self.kinds.get(server).copied().unwrap_or(-1);
            let (Some(first), Some(last)) = (answers.first(), answers.last()) else {
                continue;
            };
            let started = self
                .starts
                .get(server)
                .and_then(|starts| starts.keys().next_back())
                .copied()
                .unwrap_or(0);
            let warm = started
                + if started == 0 {
                    0
                } else {
                    figures.warm_up as Micros
                };
            let mut from = warm.max(*first);
            while from + window <= *last {
                let count = |times: &[Micros]| {
                    times.partition_point(|at| *at < from + window)
                        - times.partition_point(|at| *at < from)
                };
                let rate = count(answers) as f64 * 1e6 / window as f64;
                let away = self.full.get(server).map_or(0, |full| count(full));
                all.entry(kind).or_default().push(rate);
                // One in ten: it had more than it could do for the better part of the window.
                if away * 10 > count(answers) {
                    busy.entry(kind).or_default().push(rate);
                }
                from += window;
            }
        }
        let place = |rates: &mut Vec<f64>, part: f64| {
            rates.sort_unstable_by(f64::total_cmp);
            rates[((rates.len() - 1) as f64 * part) as usize]
        };
        all.iter_mut()
            .filter(|(kind, _)| **kind != figures.origin_kind)
            .map(|(kind, rates)| {
                match busy.get_mut(kind).filter(|busy| busy.len() >= BUSY_WINDOWS) {
                    Some(busy) => (*kind, (place(busy, 0.5), true)),
                    None => (*kind, (place(rates, SEEN), false)),
                }
            })
            .collect()
    }

    fn worst_cold(&self, figures: &Figures) -> Option<Cold> {
        let window = figures.fall_after as Micros;
        let mut sends: HashMap<u32, Vec<&Send>> = HashMap::new();
        self.sends
            .iter()
            .for_each(|send| sends.entry(send.server).or_default().push(send));
        let mut worst: Option<Cold> = None;
        for (server, sends) in &sends {
            let kind = self.kinds.get(server).copied().unwrap_or(-1);
            let Some((capacity, _)) = self.margins.capacity.get(&kind) else {
                continue;
            };
            for (last, send) in sends.iter().enumerate() {
                let (start, _) = self.start(send);
                let age = send.at.saturating_sub(start);
                if start == 0 || age as f64 >= figures.warm_up {
                    continue;
                }
                let from = send.at.saturating_sub(window).max(start);
                let first = sends.partition_point(|send| send.at < from);
                // It never warms slower than evenly over the stated time: what it can do is at least this.
                let middle = (send.at - start).saturating_sub(window / 2) as f64 / figures.warm_up;
                let warmth = figures.cold_share + (1.0 - figures.cold_share) * middle;
                let least = capacity * warmth * window as f64 / 1e6;
                let attempts = last + 1 - first;
                // And it could do what it answered.
                let answered = sends[first..=last]
                    .iter()
                    .filter(|send| send.answered)
                    .count();
                let load =
                    attempts as f64 / falls_at(figures.fall_multiple * least.max(answered as f64));
                if worst.as_ref().is_none_or(|w| load > w.load) {
                    let knew = sends[first..=last]
                        .iter()
                        .filter(|send| self.start(send).1)
                        .count();
                    // The rule is broken by those who knew: where they sent less than two thirds it is not.
                    if knew * 3 >= attempts * 2 {
                        worst = Some(Cold {
                            server: *server,
                            kind,
                            age,
                            attempts,
                            knew,
                            answered,
                            load,
                        });
                    }
                }
            }
        }
        worst
    }
}

/// The last of some times that is not after another, 0 where there is none.
fn before(times: &HashMap<u32, Vec<Micros>>, server: u32, at: Micros) -> Micros {
    let times = times.get(&server).map_or(&[][..], Vec::as_slice);
    times[..times.partition_point(|time| *time <= at)]
        .last()
        .copied()
        .unwrap_or(0)
}

/// A cold server falls when it gets more than this in the time that the settings name, by the page on the fleet days:
/// what the settings allow it then, and the room that the page leaves for chance.
fn falls_at(allowed: f64) -> f64 {
    allowed + 3.0 * allowed.sqrt() + 3.0
}

/// Part of a limit that is left.
fn left(figure: f64, limit: f64) -> f64 {
    (limit - figure) / limit
}

impl Margins {
    /// The play's figures beside their limits: name, figure, limit, unit, and the part of the limit that is left.
    fn rows(&self) -> Vec<(&'static str, f64, f64, &'static str, f64)> {
        let Some(figures) = &self.figures else {
            return Vec::new();
        };
        let grace = (figures.drain_grace as Micros + SLACK) as f64 / 1e6;
        let cold = self
            .cold
            .as_ref()
            .map(|cold| ("cold server", cold.load, 1.0, "of its fall"));
        let drain = self
            .drain
            .as_ref()
            .map_or(0.0, |drain| drain.after as f64 / 1e6);
        let drain = Some(("drain", drain, grace, "s"));
        let late = self
            .latest
            .as_ref()
            .map(|(late, _)| ("answer", *late as f64 / 1e6, LOST as f64 / 1e6, "s"));
        let unheard = self
            .unheard
            .map(|(time, _)| ("news", time as f64 / 1e6, TOLD as f64 / 1e6, "s"));
        let rows = cold.into_iter().chain(drain).chain(unheard).chain(late);
        rows.map(|(name, figure, limit, unit)| (name, figure, limit, unit, left(figure, limit)))
            .collect()
    }

    /// Whether a figure is nearer to its limit than a quarter, or a request was never answered.
    pub fn narrow(&self) -> bool {
        self.unanswered > 0 || self.rows().iter().any(|(.., left)| *left < NARROW)
    }

    /// The play as rows of a table: play, figure, value, limit, distance.
    pub fn table(&self, play: &str) -> String {
        let row = |(name, figure, limit, unit, left): &(_, f64, f64, _, f64)| {
            let mark = if *left < NARROW { " (narrow)" } else { "" };
            format!(
                "| {play} | {name} | {figure:.2} {unit} | {limit:.2} {unit} | {:.0}%{mark} |\n",
                left * 100.0
            )
        };
        let never = format!("| {play} | never answered | {} | 0 | |\n", self.unanswered);
        self.rows().iter().map(row).collect::<String>()
            + if self.unanswered > 0 { &never } else { "" }
    }
}

impl Display for Margins {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (kind, (rate, full)) in &self.capacity {
            let how = if *full {
                "while full"
            } else {
                "at least, never seen full"
            };
            writeln!(
                f,
                "kind {kind}: a warm server answers {rate:.1} attempts a second, {how}"
            )?;
        }
        if let Some(c) = &self.cold {
            writeln!(
                f,
                "cold server {} of kind {}: {} attempts in the window that ends {:.2} s after its start, {} from nodes \
                 that knew, {} answered",
                c.server,
                c.kind,
                c.attempts,
                c.age as f64 / 1e6,
                c.knew,
                c.answered
            )?;
        }
        if let Some(d) = &self.drain {
            let how = if d.heard {
                "its list said so"
            } else {
                "it counts as told"
            };
            writeln!(
                f,
                "drain: node {} sends to {} {:.3} s after {how}",
                d.node,
                d.server,
                d.after as f64 / 1e6
            )?;
        }
        if let Some((time, node)) = self.unheard {
            writeln!(
                f,
                "news: node {node} heard {:.3} s late that a server is not ready",
                time as f64 / 1e6
            )?;
        }
        if let Some((late, name)) = &self.latest {
            writeln!(
                f,
                "answer: request {name} {:.3} s after its time",
                *late as f64 / 1e6
            )?;
        }
        writeln!(
            f,
            "ends: {:?}; discovery: {} calls, {} failed",
            self.ends, self.calls.0, self.calls.1
        )?;
        match &self.broken {
            (0, _) => Ok(()),
            (lines, first) => writeln!(
                f,
                "{lines} lines of the traces are broken, the first: {first}"
            ),
        }
    }
}
