//! The result of a run: requests served, rejected and late by class and by window, latencies, attempts, calls to the
//! origin, and violated invariants. The same run gives the same bytes.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::path::Path;

use cluster_model::Micros;
use cluster_model::invariants::{Invariants, Violation};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::atomic_file::{WriteError, WriteStep, write_atomically};

/// Length of a window, in microseconds.
pub const WINDOW: Micros = 5_000_000;

/// Violations that a report spells out; further ones are only counted.
const MAX_VIOLATIONS_SHOWN: usize = 20;

/// The violations of a run, as a report has them.
pub(crate) struct Violations {
    /// The first ones, in words.
    pub(crate) shown: Vec<String>,
    /// Number of all.
    pub(crate) count: usize,
}

/// The violations so far, their times counted from `begin`.
pub(crate) fn violations(invariants: &Invariants, begin: Micros) -> Violations {
    let violations = invariants.violations();
    let in_words = |violation: &Violation| {
        let relative = Violation {
            at: violation.at.saturating_sub(begin),
            kind: violation.kind.clone(),
        };
        relative.to_string()
    };
    let first = violations.iter().take(MAX_VIOLATIONS_SHOWN);
    Violations {
        shown: first.map(in_words).collect(),
        count: violations.len(),
    }
}

/// How a client's request ended, over all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered within the latency objective.
    InTime,
    /// It was answered later.
    Late,
    /// Its last attempt was rejected.
    Rejected,
    /// Its last attempt failed.
    Failed,
    /// Its client waited until the deadline.
    TimedOut,
    /// Its client went away before the deadline.
    Abandoned,
}

/// Counts of requests, attempts and priority weight.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that have ended; a client's retries are not counted.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests answered within the latency objective.
    pub in_time: u64,
    /// Requests answered later.
    pub late: u64,
    /// Requests whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests whose last attempt failed.
    pub failed: u64,
    /// Requests whose client waited until the deadline.
    pub timed_out: u64,
    /// Requests whose client went away before the deadline.
    #[serde(rename = "gave_up")]
    pub abandoned: u64,
    /// Attempts of clients at nodes, the first ones included.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Attempts of nodes at cache servers.
    pub attempts: u64,
    /// Attempts that cache servers rejected.
    #[serde(rename = "turned_away")]
    pub rejected_attempts: u64,
    /// Calls of nodes to the origin.
    #[serde(rename = "origin")]
    pub origin_calls: u64,
    /// Sum of the priority weights of all requests.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Sum of the priority weights of the requests answered within the latency objective.
    #[serde(rename = "served")]
    pub served_weight: f64,
}

impl Counts {
    /// Counts a request that ended, with its priority weight.
    pub fn record(&mut self, end: RequestEnd, weight: f64) {
        self.requests += 1;
        self.priority_weight += weight;
        match end {
            RequestEnd::InTime => {
                self.in_time += 1;
                self.served_weight += weight;
            }
            RequestEnd::Late => self.late += 1,
            RequestEnd::Rejected => self.rejected += 1,
            RequestEnd::Failed => self.failed += 1,
            RequestEnd::TimedOut => self.timed_out += 1,
            RequestEnd::Abandoned => self.abandoned += 1,
        }
    }

    /// Combines each pair of counts.
    fn combine(
        &self,
        other: &Counts,
        count: fn(u64, u64) -> u64,
        weight: fn(f64, f64) -> f64,
    ) -> Counts {
        Counts {
            requests: count(self.requests, other.requests),
            in_time: count(self.in_time, other.in_time),
            late: count(self.late, other.late),
            rejected: count(self.rejected, other.rejected),
            failed: count(self.failed, other.failed),
            timed_out: count(self.timed_out, other.timed_out),
            abandoned: count(self.abandoned, other.abandoned),
            client_attempts: count(self.client_attempts, other.client_attempts),
            attempts: count(self.attempts, other.attempts),
            rejected_attempts: count(self.rejected_attempts, other.rejected_attempts),
            origin_calls: count(self.origin_calls, other.origin_calls),
            priority_weight: weight(self.priority_weight, other.priority_weight),
            served_weight: weight(self.served_weight, other.served_weight),
        }
    }

    /// The sum of both.
    pub fn plus(&self, other: &Counts) -> Counts {
        self.combine(other, |a, b| a + b, |a, b| a + b)
    }

    /// What was counted since an earlier count.
    pub fn since(&self, earlier: &Counts) -> Counts {
        self.combine(earlier, u64::saturating_sub, |a, b| a - b)
    }

    /// The service level: fraction of the priority weight that was answered within the latency objective.
    pub fn service(&self) -> f64 {
        if self.priority_weight > 0.0 {
            self.served_weight / self.priority_weight
        } else {
            1.0
        }
    }
}

/// Percentiles of the latency of answers in microseconds, counted from the first attempt.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyPercentiles {
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
}

impl LatencyPercentiles {
    /// The percentiles of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> LatencyPercentiles {
        let at = |quantile| histogram.value_at_quantile(quantile);
        LatencyPercentiles {
            p50_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
        }
    }
}

/// Counts and latencies of a class of requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Its counts.
    pub counts: Counts,
    /// Latencies of the requests that were answered.
    pub latency: LatencyPercentiles,
}

/// What a fault of the scenario did to the system calls of the nodes, over all their processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InjectedFault {
    /// The fault, by its place in the scenario.
    pub event: usize,
    /// Calls that it could have hit. Of a stepped clock, readings of clocks that were off.
    pub calls: u64,
    /// Calls that it did hit.
    pub injected: u64,
}

/// The result of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: u32,
    /// Number of cache servers at the beginning.
    pub servers: u32,
    /// The service level, as in [`Counts::service`].
    pub service: f64,
    /// Results by the name of the class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Counts by [`WINDOW`], from the time of the first attempt.
    pub windows: Vec<Counts>,
    /// Attempts at each cache server.
    #[serde(rename = "load")]
    pub attempts_by_server: BTreeMap<u32, u64>,
    /// Number of events of the run.
    pub events: u64,
    /// The first violations of invariants, in words.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Number of all violations.
    #[serde(rename = "broken_in_all")]
    pub violation_count: usize,
    /// What was injected into the system calls of nodes.
    #[serde(default, rename = "injected", skip_serializing_if = "Vec::is_empty")]
    pub injected_faults: Vec<InjectedFault>,
}

impl Report {
    /// Writes it as a line of JSON. The file is replaced as a whole.
    ///
    /// # Errors
    /// If no file can be made beside it or there is no space; the old file is left as it was.
    pub fn save(&self, path: &Path) -> Result<(), WriteError> {
        let line = serde_json::to_string(self).map_err(|e| WriteError {
            path: path.into(),
            step: WriteStep::Write,
            source: e.into(),
        })?;
        write_atomically(path, (line + "\n").as_bytes())
    }

    /// Whether all invariants held.
    pub fn invariants_hold(&self) -> bool {
        self.violation_count == 0
    }

    fn write_windows(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "   from   asked  in time%   late%  refused%  failed%  t/o%  left%  tries/r  att/r  away%  origin/s"
        )?;
        for (index, window) in self.windows.iter().enumerate() {
            let requests = window.requests.max(1) as f64;
            let percent = |count: u64| 100.0 * count as f64 / requests;
            let per_request = |count: u64| count as f64 / requests;
            let rejected_attempts =
                100.0 * window.rejected_attempts as f64 / window.attempts.max(1) as f64;
            let origin_per_s = window.origin_calls as f64 * 1e6 / WINDOW as f64;
            writeln!(
                f,
                "{:>6}s {:>7}  {:>8.1} {:>7.1} {:>9.1} {:>8.1} {:>5.1} {:>6.1} {:>8.2} {:>6.2} {:>6.1} {:>9.0}",
                index as u64 * WINDOW / 1_000_000,
                window.requests,
                percent(window.in_time),
                percent(window.late),
                percent(window.rejected),
                percent(window.failed),
                percent(window.timed_out),
                percent(window.abandoned),
                per_request(window.client_attempts),
                per_request(window.attempts),
                rejected_attempts,
                origin_per_s
            )?;
        }
        Ok(())
    }

    fn write_classes(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let milliseconds = |micros: u64| micros as f64 / 1e3;
        for (name, class) in &self.classes {
            writeln!(
                f,
                "class {name}: served {:.4}, latency ms p50 {:.1} p99 {:.1} p99.9 {:.1}",
                class.counts.service(),
                milliseconds(class.latency.p50_us),
                milliseconds(class.latency.p99_us),
                milliseconds(class.latency.p999_us)
            )?;
        }
        Ok(())
    }

    fn write_injected_faults(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.injected_faults.iter().try_for_each(|fault| {
            let InjectedFault {
                event,
                calls,
                injected,
            } = fault;
            writeln!(f, "event {event} hit {injected} of {calls} system calls")
        })
    }

    fn write_violations(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.invariants_hold() {
            return writeln!(f, "rules kept");
        }
        writeln!(f, "RULES BROKEN, {} times:", self.violation_count)?;
        self.violations
            .iter()
            .try_for_each(|violation| writeln!(f, "  {violation}"))
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
        self.write_windows(f)?;
        self.write_classes(f)?;
        self.write_injected_faults(f)?;
        self.write_violations(f)
    }
}
