//! Checks a scenario for values that have the right type but are invalid.

use fault_plan::SystemCall;
use router_config::HumanDuration;

use super::{FaultEvent, Scenario};

/// Largest number of nodes; it bounds the memory of a run.
const MAX_NODES: u32 = 2_000;
/// Largest number of cache servers; it bounds the memory of a run.
const MAX_SERVERS: u32 = 3_200;
/// Largest number of requests; it bounds the duration of a run.
const MAX_REQUESTS: f64 = 50_000_000.0;
/// Largest number of zones.
const MAX_ZONES: u8 = 16;
/// Largest number of malformed connections per second.
const MAX_MALFORMED_PER_S: f64 = 1_000.0;
/// Largest step of a wall clock, in seconds: one year.
const MAX_CLOCK_STEP_S: f64 = 31_536_000.0;

/// The key of an invalid value, and a text with the value found and what to write, as `router_config::read_toml`
/// expects them. `None` if the value is valid.
type Finding = Option<(String, String)>;

fn invalid(key: &str, problem: String) -> Finding {
    Some((key.to_string(), problem))
}

fn check_positive(key: &str, value: f64) -> Finding {
    if value.is_nan() || value <= 0.0 {
        return invalid(key, format!("found {value}: write more than 0"));
    }
    None
}

fn check_fraction(key: &str, value: f64) -> Finding {
    if (0.0..=1.0).contains(&value) {
        return None;
    }
    invalid(key, format!("found {value}: write a fraction, 0 to 1"))
}

impl Scenario {
    /// The first invalid value, if there is one.
    pub(super) fn first_invalid_value(&self) -> Finding {
        self.check_sizes()
            .or_else(|| self.check_rates())
            .or_else(|| self.check_classes())
            .or_else(|| self.check_faults())
            .or_else(|| check_fraction("load.give_up", self.load.abandon_share))
            .or_else(|| check_fraction("network.lost", self.network.loss))
            .or_else(|| check_fraction("network.jitter", self.network.jitter))
    }

    fn check_sizes(&self) -> Finding {
        let nodes = self.nodes;
        if nodes == 0 || nodes > MAX_NODES {
            return invalid("nodes", format!("found {nodes}: write 1 to {MAX_NODES}"));
        }
        let zones = self.zones;
        if zones == 0 || zones > MAX_ZONES {
            return invalid("zones", format!("found {zones}: write 1 to {MAX_ZONES}"));
        }
        // Each count is capped before they are summed, so that the sum can't overflow.
        let counts = self.kinds.iter().map(|kind| kind.servers);
        let servers: u32 = counts.map(|count| count.min(MAX_SERVERS + 1)).sum();
        if servers == 0 || servers > MAX_SERVERS {
            let problem = format!("there are {servers} servers: write 1 to {MAX_SERVERS} in total");
            return invalid("kind", problem);
        }
        if self.classes.is_empty() {
            return invalid("class", "there is none: write a [[class]]".into());
        }
        if self.load.keys == 0 {
            return invalid("load.keys", "found 0: write 1 or more".into());
        }
        let requests = self.load.per_s * self.duration.0.as_secs_f64();
        if requests > MAX_REQUESTS {
            let problem =
                format!("{requests:.0} requests in total: write at most {MAX_REQUESTS:.0}");
            return invalid("load.per_s", problem);
        }
        None
    }

    fn check_rates(&self) -> Finding {
        check_positive("load.per_s", self.load.per_s)
            .or_else(|| check_positive("origin.cores", self.origin.cores))
            .or_else(|| {
                self.kinds.iter().enumerate().find_map(|(index, kind)| {
                    check_positive(&format!("kind.{index}.cores"), kind.cores)
                        .or_else(|| check_positive(&format!("kind.{index}.speed"), kind.speed))
                })
            })
    }

    fn check_classes(&self) -> Finding {
        self.classes.iter().enumerate().find_map(|(index, class)| {
            let objective = class.latency_objective;
            let deadline = class.deadline;
            if deadline < objective {
                let problem =
                    format!("found {deadline}, which is less than aim: write {objective} or more");
                return invalid(&format!("class.{index}.deadline"), problem);
            }
            check_fraction(&format!("class.{index}.share"), class.share)
        })
    }

    fn check_faults(&self) -> Finding {
        self.faults.iter().enumerate().find_map(|(index, fault)| {
            let check = FaultCheck { index };
            check
                .values(fault, self.zones)
                .or_else(|| check.time(fault.at(), self.duration))
        })
    }
}

/// Checks one fault of a scenario.
struct FaultCheck {
    index: usize,
}

impl FaultCheck {
    fn key(&self, name: &str) -> String {
        format!("event.{}.{name}", self.index)
    }

    fn fraction(&self, name: &str, value: f64) -> Finding {
        check_fraction(&self.key(name), value)
    }

    fn positive(&self, name: &str, value: f64) -> Finding {
        check_positive(&self.key(name), value)
    }

    fn values(&self, fault: &FaultEvent, zones: u8) -> Finding {
        match *fault {
            FaultEvent::ReplaceServers { part, .. }
            | FaultEvent::KillNodes { part, .. }
            | FaultEvent::PauseNodes { part, .. }
            | FaultEvent::RestartNodes { part, .. }
            | FaultEvent::OriginFails { part, .. }
            | FaultEvent::HotKey { part, .. }
            | FaultEvent::Scan { part, .. }
            | FaultEvent::CrashServers { part, .. } => self.fraction("part", part),
            FaultEvent::NoisyNeighbour { part, taken, .. } => self
                .fraction("part", part)
                .or_else(|| self.fraction("taken", taken)),
            FaultEvent::DamageAnswers {
                lost,
                corrupted_share,
                reset,
                ..
            } => self
                .fraction("lost", lost)
                .or_else(|| self.fraction("spoilt", corrupted_share))
                .or_else(|| self.fraction("reset", reset))
                .or_else(|| self.fraction("lost", lost + corrupted_share + reset)),
            FaultEvent::MalformedTraffic { per_s, .. } => self.malformed_rate(per_s),
            FaultEvent::OriginSlow { taken, .. } => self.fraction("taken", taken),
            FaultEvent::Burst { factor, .. } => self.positive("factor", factor),
            FaultEvent::IsolateZone { zone, .. } => self.zone(zone, zones),
            FaultEvent::ListDown { .. } | FaultEvent::RelocateList { .. } => None,
            FaultEvent::SystemCalls {
                part,
                ref calls,
                ref errors,
                rate,
                ..
            } => self
                .fraction("part", part)
                .or_else(|| self.fraction("rate", rate))
                .or_else(|| self.some_of("calls", calls, "recv"))
                .or_else(|| self.some_of("errors", errors, "EINTR")),
            FaultEvent::ShortCounts {
                part,
                ref calls,
                rate,
                ..
            } => self
                .fraction("part", part)
                .or_else(|| self.fraction("rate", rate))
                .or_else(|| self.some_of("calls", calls, "recv"))
                .or_else(|| self.transfers(calls)),
            FaultEvent::StepClock { part, step_s, .. } => self
                .fraction("part", part)
                .or_else(|| self.clock_step(step_s)),
        }
    }

    fn some_of<T>(&self, name: &str, values: &[T], example: &str) -> Finding {
        if !values.is_empty() {
            return None;
        }
        let problem = format!("found none: write one or more, such as [\"{example}\"]");
        invalid(&self.key(name), problem)
    }

    fn transfers(&self, calls: &[SystemCall]) -> Finding {
        let other = calls.iter().find(|call| !call.transfers_bytes())?;
        let problem =
            format!("found {other}, which transfers no bytes: write calls such as recv or send");
        invalid(&self.key("calls"), problem)
    }

    fn clock_step(&self, step_s: f64) -> Finding {
        if step_s.abs() <= MAX_CLOCK_STEP_S {
            return None;
        }
        let problem = format!(
            "found {step_s}: write seconds, {MAX_CLOCK_STEP_S} at most, negative to step back"
        );
        invalid(&self.key("by_s"), problem)
    }

    fn malformed_rate(&self, per_s: f64) -> Finding {
        if per_s > MAX_MALFORMED_PER_S {
            let problem = format!("found {per_s}: write at most {MAX_MALFORMED_PER_S}");
            return invalid(&self.key("per_s"), problem);
        }
        self.positive("per_s", per_s)
    }

    fn zone(&self, zone: u8, zones: u8) -> Finding {
        if zone < zones {
            return None;
        }
        let problem = format!("found {zone}: write 0 to {}", zones - 1);
        invalid(&self.key("zone"), problem)
    }

    fn time(&self, at: HumanDuration, duration: HumanDuration) -> Finding {
        if at <= duration {
            return None;
        }
        let problem = format!("found {at}, after the end: write at most {duration}");
        invalid(&self.key("at"), problem)
    }
}
