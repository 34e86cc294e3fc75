//! What a node needs before a larger fleet against the usual one, and how much that may be.

use std::fmt::{self, Display, Formatter};

/// Share of the usual one that is served at least.
const LEAST_SERVICE_RATIO: f64 = 0.85;
/// Servers for which an allowance is stated.
const SERVERS_PER_STEP: f64 = 1_000.0;
const MEGABYTE: f64 = 1e6;
const KILOBYTE: f64 = 1e3;

/// What a node needed in the mean over a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetUsage {
    /// Cache servers of the run.
    pub servers: u32,
    /// CPU time in seconds.
    pub cpu_seconds: f64,
    /// Peak memory in bytes.
    pub peak_memory_bytes: f64,
    /// The most descriptors at a time.
    pub descriptors: f64,
    /// Connections made to cache servers.
    pub server_connections: f64,
    /// Bytes of lists from discovery.
    pub list_bytes: f64,
    /// Share served in time, by priority weight.
    pub service: f64,
}

/// How much of something a node may need before a larger fleet.
struct Allowance {
    /// Multiple of what it needs before the usual one,
    multiple: f64,
    /// plus this,
    constant: f64,
    /// plus this for each thousand cache servers.
    per_thousand_servers: f64,
}

impl Allowance {
    fn limit(&self, usual: f64, servers: u32) -> f64 {
        let steps = f64::from(servers) / SERVERS_PER_STEP;
        usual * self.multiple + self.constant + steps * self.per_thousand_servers
    }
}

/// Where a figure stands within what is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It grew by less than half of what is allowed.
    WithinHalf,
    /// It grew by more than half.
    Within,
    /// It is over the limit.
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
    usual: f64,
    larger: f64,
    limit: f64,
    verdict: Verdict,
}

impl Row {
    /// A figure that may not grow over a limit.
    fn cost(name: &'static str, usual: f64, larger: f64, limit: f64) -> Row {
        let half_way = usual + (limit - usual) / 2.0;
        let verdict = if larger <= half_way {
            Verdict::WithinHalf
        } else if larger <= limit {
            Verdict::Within
        } else {
            Verdict::Exceeded
        };
        Row {
            name,
            usual,
            larger,
            limit,
            verdict,
        }
    }

    /// The share served, which may not fall below a limit.
    fn service(usual: f64, larger: f64) -> Row {
        let limit = usual * LEAST_SERVICE_RATIO;
        Row {
            limit,
            usual,
            larger,
            ..Row::cost("share served", -usual, -larger, -limit)
        }
    }
}

/// A larger fleet against the usual one.
pub struct Comparison {
    usual_servers: u32,
    larger_servers: u32,
    rows: Vec<Row>,
}

impl Comparison {
    /// Compares what a node needed.
    pub fn new(usual: &FleetUsage, larger: &FleetUsage) -> Comparison {
        let cost = |name, of: fn(&FleetUsage) -> f64, unit: f64, allowance: Allowance| {
            let limit = allowance.limit(of(usual), larger.servers);
            Row::cost(name, of(usual) / unit, of(larger) / unit, limit / unit)
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
            Row::service(usual.service, larger.service),
        ];
        Comparison {
            usual_servers: usual.servers,
            larger_servers: larger.servers,
            rows,
        }
    }

    /// Where each figure stands, by its name.
    pub fn verdicts(&self) -> impl Iterator<Item = (&'static str, Verdict)> {
        self.rows.iter().map(|row| (row.name, row.verdict))
    }

    /// Whether no limit is passed.
    pub fn is_within_limits(&self) -> bool {
        self.verdicts()
            .all(|(_, verdict)| verdict != Verdict::Exceeded)
    }
}

impl Display for Comparison {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (usual, larger) = (self.usual_servers, self.larger_servers);
        writeln!(
            f,
            "a node in the mean {usual:>9} servers {larger:>9} servers    ratio     limit"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<18} {:>17.3} {:>17.3} {:>8.2} {:>9.3}  {}",
                row.name,
                row.usual,
                row.larger,
                row.larger / row.usual,
                row.limit,
                row.verdict
            )?;
        }
        Ok(())
    }
}
