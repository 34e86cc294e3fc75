//! Compares the resource usage of a node with a larger fleet of cache servers to that with the baseline fleet, and
//! checks it against limits.

use std::fmt::{self, Display, Formatter};

/// Minimum ratio of the share served with the larger fleet to that with the baseline fleet.
const MIN_SERVICE_RATIO: f64 = 0.85;
/// Number of cache servers that [`Allowance::per_thousand_servers`] refers to.
const SERVERS_PER_ALLOWANCE: f64 = 1_000.0;
const MEGABYTE: f64 = 1e6;
const KILOBYTE: f64 = 1e3;

/// Mean resource usage per node in a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetUsage {
    /// Number of cache servers in the run.
    pub servers: u32,
    /// CPU time in seconds.
    pub cpu_seconds: f64,
    /// Peak memory in bytes.
    pub peak_memory_bytes: f64,
    /// Peak number of open descriptors.
    pub descriptors: f64,
    /// Number of connections opened to cache servers.
    pub server_connections: f64,
    /// Bytes of endpoint lists received from discovery.
    pub list_bytes: f64,
    /// Share of requests served in time, weighted by the priority of their classes.
    pub service_level: f64,
}

/// The limit of a resource with a larger fleet: the sum of three terms.
struct Allowance {
    /// Factor that the usage with the baseline fleet is multiplied by.
    multiple: f64,
    /// Constant term.
    constant: f64,
    /// Term for each thousand cache servers of the larger fleet.
    per_thousand_servers: f64,
}

impl Allowance {
    fn limit(&self, baseline: f64, servers: u32) -> f64 {
        let thousands = f64::from(servers) / SERVERS_PER_ALLOWANCE;
        baseline * self.multiple + self.constant + thousands * self.per_thousand_servers
    }
}

/// How a value compares with its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It grew by at most half of the allowed growth.
    WithinHalf,
    /// It grew by more than half of the allowed growth.
    Within,
    /// It exceeds the limit.
    Exceeded,
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Verdict::WithinHalf => "within half",
            Verdict::Within => "within",
            Verdict::Exceeded => "EXCEEDED",
        })
    }
}

struct Row {
    name: &'static str,
    baseline: f64,
    larger: f64,
    limit: f64,
    verdict: Verdict,
}

impl Row {
    /// A row for a value that must not exceed a limit.
    fn cost(name: &'static str, baseline: f64, larger: f64, limit: f64) -> Row {
        let midpoint = baseline + (limit - baseline) / 2.0;
        let verdict = if larger <= midpoint {
            Verdict::WithinHalf
        } else if larger <= limit {
            Verdict::Within
        } else {
            Verdict::Exceeded
        };
        Row {
            name,
            baseline,
            larger,
            limit,
            verdict,
        }
    }

    /// The row for the share served, which must not be below its limit. The signs are inverted for the comparison.
    fn service_level(baseline: f64, larger: f64) -> Row {
        let limit = baseline * MIN_SERVICE_RATIO;
        Row {
            limit,
            baseline,
            larger,
            ..Row::cost("share served", -baseline, -larger, -limit)
        }
    }
}

/// Compares a larger fleet with the baseline fleet.
pub struct Comparison {
    baseline_servers: u32,
    larger_servers: u32,
    rows: Vec<Row>,
}

impl Comparison {
    /// Compares the resource usage per node.
    pub fn new(baseline: &FleetUsage, larger: &FleetUsage) -> Comparison {
        let cost = |name, of: fn(&FleetUsage) -> f64, unit: f64, allowance: Allowance| {
            let limit = allowance.limit(of(baseline), larger.servers);
            Row::cost(name, of(baseline) / unit, of(larger) / unit, limit / unit)
        };
        let allowance = |multiple, constant, per_thousand_servers| Allowance {
            multiple,
            constant,
            per_thousand_servers,
        };
        let rows = vec![
            cost(
                "CPU seconds",
                |usage| usage.cpu_seconds,
                1.0,
                allowance(1.4, 0.02, 0.03),
            ),
            cost(
                "peak memory, MB",
                |usage| usage.peak_memory_bytes,
                MEGABYTE,
                allowance(1.5, 8.0 * MEGABYTE, 4.0 * MEGABYTE),
            ),
            cost(
                "descriptors",
                |usage| usage.descriptors,
                1.0,
                allowance(2.0, 40.0, 0.0),
            ),
            cost(
                "connections made",
                |usage| usage.server_connections,
                1.0,
                allowance(2.5, 40.0, 0.0),
            ),
            cost(
                "list bytes, KB",
                |usage| usage.list_bytes,
                KILOBYTE,
                allowance(2.0, 64.0 * KILOBYTE, 500.0 * KILOBYTE),
            ),
            Row::service_level(baseline.service_level, larger.service_level),
        ];
        Comparison {
            baseline_servers: baseline.servers,
            larger_servers: larger.servers,
            rows,
        }
    }

    /// The verdict on each value, with its name.
    pub fn verdicts(&self) -> impl Iterator<Item = (&'static str, Verdict)> {
        self.rows.iter().map(|row| (row.name, row.verdict))
    }

    /// Whether no limit is exceeded.
    pub fn is_within_limits(&self) -> bool {
        self.verdicts()
            .all(|(_, verdict)| verdict != Verdict::Exceeded)
    }
}

impl Display for Comparison {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (baseline, larger) = (self.baseline_servers, self.larger_servers);
        writeln!(
            f,
            "mean per node      {baseline:>9} servers {larger:>9} servers    ratio     limit"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<18} {:>17.3} {:>17.3} {:>8.2} {:>9.3}  {}",
                row.name,
                row.baseline,
                row.larger,
                row.larger / row.baseline,
                row.limit,
                row.verdict
            )?;
        }
        Ok(())
    }
}
