//! The result of a run: requests served, rejected and late by class and by window, latencies, attempts, calls to the
//! origin, and violated invariants. Two runs with the same scenario and seed in virtual time write identical bytes.

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

/// Number of violations that a report describes; further ones are only counted.
const MAX_VIOLATIONS_SHOWN: usize = 20;

/// The violations of a run, as a report states them.
pub(crate) struct Violations {
    /// Descriptions of the first violations.
    pub(crate) descriptions: Vec<String>,
    /// Total number of violations.
    pub(crate) count: usize,
}

/// The violations so far. Their times are relative to `begin`.
pub(crate) fn violations(invariants: &Invariants, begin: Micros) -> Violations {
    let violations = invariants.violations();
    let describe = |violation: &Violation| {
        let relative = Violation {
            at: violation.at.saturating_sub(begin),
            kind: violation.kind.clone(),
        };
        relative.to_string()
    };
    let first = violations.iter().take(MAX_VIOLATIONS_SHOWN);
    Violations {
        descriptions: first.map(describe).collect(),
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
    /// Its client disconnected before the deadline.
    Abandoned,
}

/// Counts of requests, attempts and priority weight.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that have ended. A request and its retries by the client count once.
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
    /// Requests whose client disconnected before the deadline.
    #[serde(rename = "gave_up")]
    pub abandoned: u64,
    /// Attempts that clients sent to nodes, including the first ones.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Attempts that nodes sent to cache servers.
    pub attempts: u64,
    /// Attempts that cache servers rejected.
    #[serde(rename = "turned_away")]
    pub rejected_attempts: u64,
    /// Calls that nodes sent to the origin.
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
    /// Counts a request that has ended, with its priority weight.
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

    /// Combines each count with its counterpart in `other`.
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

    /// The difference from an earlier state of the same counts.
    pub fn since(&self, earlier: &Counts) -> Counts {
        self.combine(earlier, u64::saturating_sub, |a, b| a - b)
    }

    /// The service level: the fraction of the priority weight that was answered within the latency objective. It is 1
    /// if there were no requests.
    pub fn service_level(&self) -> f64 {
        if self.priority_weight > 0.0 {
            self.served_weight / self.priority_weight
        } else {
            1.0
        }
    }
}

/// Percentiles of the latency of answers in microseconds, measured from the client's first attempt.
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

/// How often a fault of the scenario was injected into system calls, summed over all processes of the nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InjectedFault {
    /// Index of the fault in the scenario.
    pub event: usize,
    /// Calls that matched the fault. For a clock step, readings of the clocks that were off.
    pub calls: u64,
    /// Calls into which it was injected.
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
    /// The service level, as in [`Counts::service_level`].
    #[serde(rename = "service")]
    pub service_level: f64,
    /// Results by the name of the class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Counts by [`WINDOW`], from the time of the first attempt.
    pub windows: Vec<Counts>,
    /// Number of attempts sent to each cache server.
    #[serde(rename = "load")]
    pub attempts_by_server: BTreeMap<u32, u64>,
    /// Number of events that the run processed.
    pub events: u64,
    /// Descriptions of the first violations of invariants.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Total number of violations.
    #[serde(rename = "broken_in_all")]
    pub violation_count: usize,
    /// Faults that were injected into system calls of nodes.
    #[serde(default, rename = "injected", skip_serializing_if = "Vec::is_empty")]
    pub injected_faults: Vec<InjectedFault>,
}

impl Report {
    /// Writes the report as one line of JSON. The file is replaced atomically.
    ///
    /// # Errors
    /// If no temporary file can be created beside it or the disk is full. An earlier file is left unchanged.
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
            "   from  requests  in time%   late%  rejected%  failed%  timeout%  abandoned%  client att/req  att/req  \
             att rej%  origin/s"
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
                "{:>6}s {:>9} {:>9.1} {:>7.1} {:>10.1} {:>8.1} {:>9.1} {:>11.1} {:>15.2} {:>8.2} {:>9.1} {:>9.0}",
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
                "class {name}: service level {:.4}, latency ms p50 {:.1} p99 {:.1} p99.9 {:.1}",
                class.counts.service_level(),
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
            writeln!(
                f,
                "event {event}: fault injected into {injected} of {calls} system calls"
            )
        })
    }

    fn write_violations(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.invariants_hold() {
            return writeln!(f, "all invariants held");
        }
        writeln!(f, "INVARIANTS VIOLATED, {} times:", self.violation_count)?;
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
            service_level,
            events,
            ..
        } = self;
        writeln!(
            f,
            "seed {seed}: {nodes} nodes, {servers} cache servers, {events} events"
        )?;
        writeln!(
            f,
            "service level (fraction of the priority weight served in time): {service_level:.4}"
        )?;
        self.write_windows(f)?;
        self.write_classes(f)?;
        self.write_injected_faults(f)?;
        self.write_violations(f)
    }
}
