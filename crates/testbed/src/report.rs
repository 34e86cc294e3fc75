//! What came of a play: served, refused and late by class and by five seconds, latencies, attempts, calls to the origin
//! and broken rules. The same play gives the same bytes.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::io::Write;
use std::path::Path;

use cluster_model::Micros;
use cluster_model::rules::{Break, Rules};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Length of a window, in microseconds.
pub const WINDOW: Micros = 5_000_000;

/// Broken rules that a report spells out.
const SPELLED_OUT: usize = 20;

/// The first broken rules, their times counted from a beginning, and how many there are.
pub(crate) fn breaks(rules: &Rules, begin: Micros) -> (Vec<String>, usize) {
    let relative = |broken: &Break| {
        Break {
            at: broken.at.saturating_sub(begin),
            ..broken.clone()
        }
        .to_string()
    };
    let breaks = rules.breaks();
    (
        breaks.iter().take(SPELLED_OUT).map(relative).collect(),
        breaks.len(),
    )
}

/// Writes a file as a whole: where that fails, what stood in its place is left as it was.
pub(crate) fn write_whole(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    if path.exists() && !path.is_file() {
        // A pipe or a device has no place that could be taken.
        let mut file = std::fs::File::options().write(true).open(path)?;
        file.write_all(bytes)?;
        return file.flush();
    }
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(bytes)?;
    file.as_file().sync_all()?;
    file.persist(path)?;
    Ok(())
}

/// What became of a client's request, over all its tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It had its answer within the aim.
    InTime,
    /// It had it later.
    Late,
    /// Its last try was refused.
    Refused,
    /// Its last try failed.
    Failed,
    /// Its client waited until the deadline.
    TimedOut,
    /// Its client went away before.
    GaveUp,
}

/// Counts of ends, and what they were worth.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests, a client's retries not counted.
    pub asked: u64,
    /// Those answered within the aim.
    pub in_time: u64,
    /// Those answered later.
    pub late: u64,
    /// Those whose last try was refused.
    pub refused: u64,
    /// Those whose last try failed.
    pub failed: u64,
    /// Those whose client waited until the deadline.
    pub timed_out: u64,
    /// Those whose client went away before.
    pub gave_up: u64,
    /// Tries, the first ones included.
    pub tries: u64,
    /// Attempts at cache servers.
    pub attempts: u64,
    /// Attempts that cache servers turned away.
    pub turned_away: u64,
    /// Calls to the origin.
    pub origin: u64,
    /// Worth asked for.
    pub worth: f64,
    /// Worth served in time.
    pub served: f64,
}

impl Counts {
    /// Counts an end.
    pub fn end(&mut self, end: End, worth: f64) {
        self.asked += 1;
        self.worth += worth;
        match end {
            End::InTime => {
                self.in_time += 1;
                self.served += worth;
            }
            End::Late => self.late += 1,
            End::Refused => self.refused += 1,
            End::Failed => self.failed += 1,
            End::TimedOut => self.timed_out += 1,
            End::GaveUp => self.gave_up += 1,
        }
    }

    fn with(
        &self,
        other: &Counts,
        count: fn(u64, u64) -> u64,
        worth: fn(f64, f64) -> f64,
    ) -> Counts {
        Counts {
            asked: count(self.asked, other.asked),
            in_time: count(self.in_time, other.in_time),
            late: count(self.late, other.late),
            refused: count(self.refused, other.refused),
            failed: count(self.failed, other.failed),
            timed_out: count(self.timed_out, other.timed_out),
            gave_up: count(self.gave_up, other.gave_up),
            tries: count(self.tries, other.tries),
            attempts: count(self.attempts, other.attempts),
            turned_away: count(self.turned_away, other.turned_away),
            origin: count(self.origin, other.origin),
            worth: worth(self.worth, other.worth),
            served: worth(self.served, other.served),
        }
    }

    /// Both together.
    pub fn and(&self, other: &Counts) -> Counts {
        self.with(other, |a, b| a + b, |a, b| a + b)
    }

    /// What has come since an earlier count.
    pub fn since(&self, earlier: &Counts) -> Counts {
        self.with(earlier, u64::saturating_sub, |a, b| a - b)
    }

    /// Part of the worth asked for that was served in time.
    pub fn service(&self) -> f64 {
        if self.worth > 0.0 {
            self.served / self.worth
        } else {
            1.0
        }
    }
}

/// Latencies of answers in microseconds, from the first try on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Half are quicker.
    pub p50_us: u64,
    /// 99 of 100 are quicker.
    pub p99_us: u64,
    /// 999 of 1,000 are quicker.
    pub p999_us: u64,
}

impl Latency {
    /// Out of a histogram.
    pub fn of(histogram: &Histogram<u64>) -> Latency {
        let at = |part| histogram.value_at_quantile(part);
        Latency {
            p50_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
        }
    }
}

/// A class's counts and latencies.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OfClass {
    /// Its counts.
    pub counts: Counts,
    /// Latencies of what was answered.
    pub latency: Latency,
}

/// What came of a play.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Nodes.
    pub nodes: u32,
    /// Cache servers at the beginning.
    pub servers: u32,
    /// Part of the worth served in time.
    pub service: f64,
    /// By class.
    pub classes: BTreeMap<String, OfClass>,
    /// By five seconds, from the first try's time.
    pub windows: Vec<Counts>,
    /// Attempts at each cache server.
    pub load: BTreeMap<u32, u64>,
    /// Events that the play took.
    pub events: u64,
    /// The first broken rules, and how many there are.
    pub broken: Vec<String>,
    /// How many there are.
    pub broken_in_all: usize,
}

impl Report {
    /// Writes it as a line of JSON: whole in the file's place, or, where that fails, not
    /// at all.
    ///
    /// # Errors
    /// Where a file can't be made beside it or there is no room; what stood there before is left as it was.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        write_whole(path, (serde_json::to_string(self)? + "\n").as_bytes())
    }

    /// Whether every rule was kept.
    pub fn kept(&self) -> bool {
        self.broken_in_all == 0
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Report {
            seed,
            nodes,
            servers,
            service,
            events,
            ..
        } = self;
        writeln!(
            f,
            "seed {seed}: {nodes} nodes, {servers} cache servers, {events} events"
        )?;
        writeln!(f, "served in time, by worth: {service:.4}")?;
        writeln!(
            f,
            "   from   asked  in time%   late%  refused%  failed%  t/o%  left%  tries/r  att/r  away%  origin/s"
        )?;
        for (i, w) in self.windows.iter().enumerate() {
            let of = |part: u64| 100.0 * part as f64 / w.asked.max(1) as f64;
            let per = |part: u64| part as f64 / w.asked.max(1) as f64;
            let away = 100.0 * w.turned_away as f64 / w.attempts.max(1) as f64;
            let origin = w.origin as f64 * 1e6 / WINDOW as f64;
            writeln!(
                f,
                "{:>6}s {:>7}  {:>8.1} {:>7.1} {:>9.1} {:>8.1} {:>5.1} {:>6.1} {:>8.2} {:>6.2} {away:>6.1} {origin:>9.0}",
                i as u64 * WINDOW / 1_000_000,
                w.asked,
                of(w.in_time),
                of(w.late),
                of(w.refused),
                of(w.failed),
                of(w.timed_out),
                of(w.gave_up),
                per(w.tries),
                per(w.attempts)
            )?;
        }
        for (name, class) in &self.classes {
            let Latency {
                p50_us,
                p99_us,
                p999_us,
            } = class.latency;
            let ms = |us: u64| us as f64 / 1e3;
            writeln!(
                f,
                "class {name}: served {:.4}, latency ms p50 {:.1} p99 {:.1} p99.9 {:.1}",
                class.counts.service(),
                ms(p50_us),
                ms(p99_us),
                ms(p999_us)
            )?;
        }
        match self.broken_in_all {
            0 => writeln!(f, "rules kept"),
            count => {
                writeln!(f, "RULES BROKEN, {count} times:")?;
                self.broken
                    .iter()
                    .try_for_each(|line| writeln!(f, "  {line}"))
            }
        }
    }
}
