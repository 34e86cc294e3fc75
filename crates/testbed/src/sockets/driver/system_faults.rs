//! Faults of the nodes' system calls and of wall clocks: which nodes they concern is drawn before the nodes start, and
//! the fault injector that is preloaded into each node is told when they begin and end.

use std::path::Path;

use cluster_model::{Micros, RandomStream};
use fault_plan::{Effect, Fault, StateFileError};
use rand::Rng;
use rand::seq::SliceRandom;
use router_config::Span;

use super::Driver;
use super::schedule::Scheduled;
use crate::micros;
use crate::report::InjectedFault;
use crate::scenario::{ClockOwner, FaultEvent, Scenario};
use crate::sockets::fault_injection::{FaultInjection, InjectionFiles, clock_step_us};

/// A fault of the scenario that concerns system calls or clocks.
#[derive(Debug, Clone)]
struct SystemFault {
    /// Its place in the scenario.
    event: usize,
    /// Its place in the plan of each node; none for a step of a clock, which no plan has.
    place: Option<usize>,
    /// The nodes that it concerns.
    nodes: Vec<u32>,
    /// Whether it is there before the nodes start.
    from_start: bool,
}

/// The faults of a scenario that concern system calls and clocks.
#[derive(Default)]
pub(super) struct SystemFaults {
    faults: Vec<SystemFault>,
    /// What the plan of each node holds.
    plan: Vec<Fault>,
}

impl SystemFaults {
    /// Draws the nodes that each of the faults concerns.
    pub(super) fn draw(scenario: &Scenario, random: &mut RandomStream) -> SystemFaults {
        let mut drawn = SystemFaults::default();
        for (event, fault) in scenario.faults.iter().enumerate() {
            let Some(part) = part_of_nodes(fault) else {
                continue;
            };
            let mut nodes: Vec<u32> = (0..scenario.nodes).collect();
            nodes.shuffle(random);
            nodes.truncate((f64::from(scenario.nodes) * part).round() as usize);
            let planned = planned_fault(fault);
            drawn.faults.push(SystemFault {
                event,
                place: planned.is_some().then_some(drawn.plan.len()),
                nodes,
                from_start: fault.at().0.is_zero(),
            });
            drawn.plan.extend(planned);
        }
        drawn
    }

    fn of_event(&self, event: usize) -> Option<SystemFault> {
        self.faults
            .iter()
            .find(|fault| fault.event == event)
            .cloned()
    }
}

/// Whether a scenario has faults that need the fault injector.
pub(in crate::sockets) fn needs_fault_injector(scenario: &Scenario) -> bool {
    scenario.faults.iter().any(|fault| {
        part_of_nodes(fault).is_some()
            && !matches!(fault, FaultEvent::StepClock { who, .. } if !who.includes_nodes())
    })
}

/// The part of the nodes that a fault of system calls or clocks concerns; `None` for other faults.
fn part_of_nodes(fault: &FaultEvent) -> Option<f64> {
    match fault {
        FaultEvent::SystemCalls { part, .. } | FaultEvent::ShortCounts { part, .. } => Some(*part),
        FaultEvent::StepClock { who, part, .. } => {
            Some(if who.includes_nodes() { *part } else { 0.0 })
        }
        _ => None,
    }
}

/// A fault as the plan of a node has it. When it begins and ends is not in the plan: nodes start at different times.
fn planned_fault(fault: &FaultEvent) -> Option<Fault> {
    let (calls, on, effect, rate) = match fault {
        FaultEvent::SystemCalls {
            calls,
            on,
            errors,
            rate,
            ..
        } => (calls, *on, Effect::Errors(errors.clone()), *rate),
        FaultEvent::ShortCounts {
            calls, on, rate, ..
        } => (calls, *on, Effect::Short, *rate),
        _ => return None,
    };
    Some(Fault {
        calls: calls.clone(),
        on,
        effect,
        rate,
        from_ms: 0,
        until_ms: None,
    })
}

impl Driver<'_> {
    /// Gives each node its fault injector, with all faults off.
    pub(super) fn prepare_fault_injection(&mut self, library: &Path) {
        let files = InjectionFiles {
            library,
            folder: self.options.folder,
        };
        for (node, process) in (0..).zip(&mut self.nodes) {
            let seed = self.random.system_faults.random();
            let injection = FaultInjection::new(node, &files, seed, &self.system_faults.plan);
            process.inject_faults(injection);
        }
    }

    /// Begins the faults that are there before the nodes start.
    pub(super) fn begin_early_system_faults(&mut self) {
        let now = self.shared.now();
        let scenario = self.scenario;
        for fault in self.system_faults.faults.clone() {
            if !fault.from_start {
                continue;
            }
            if let FaultEvent::StepClock { who, by_s, .. } = scenario.faults[fault.event] {
                self.step_clocks(now, &fault, who, by_s);
            } else {
                self.switch_system_fault(&fault, true);
            }
        }
    }

    /// A fault of system calls begins.
    pub(super) fn begin_system_fault(&mut self, now: Micros, event: usize, lasts: Span) {
        let Some(fault) = self.system_faults.of_event(event) else {
            return;
        };
        self.switch_system_fault(&fault, true);
        self.schedule_at(now + micros(lasts), Scheduled::EndSystemFault(event));
    }

    /// A fault of system calls ends.
    pub(super) fn end_system_fault(&mut self, event: usize) {
        if let Some(fault) = self.system_faults.of_event(event) {
            self.switch_system_fault(&fault, false);
        }
    }

    /// Clocks are stepped, unless they were before the nodes started.
    pub(super) fn begin_clock_step(
        &mut self,
        now: Micros,
        event: usize,
        who: ClockOwner,
        by_s: f64,
    ) {
        let fault = self.system_faults.of_event(event);
        if let Some(fault) = fault.filter(|fault| !fault.from_start) {
            self.step_clocks(now, &fault, who, by_s);
        }
    }

    fn step_clocks(&mut self, now: Micros, fault: &SystemFault, who: ClockOwner, by_s: f64) {
        let by = clock_step_us(by_s);
        if who.includes_discovery() {
            self.shared.step_discovery_clock(now, by);
        }
        self.change_injections(fault, |injection| injection.step_clock(by));
    }

    fn switch_system_fault(&mut self, fault: &SystemFault, on: bool) {
        if let Some(place) = fault.place {
            self.change_injections(fault, |injection| injection.switch(place, on));
        }
    }

    /// Changes the injectors of the nodes that a fault concerns.
    fn change_injections(
        &mut self,
        fault: &SystemFault,
        change: impl Fn(&mut FaultInjection) -> Result<(), StateFileError>,
    ) {
        for node in &fault.nodes {
            let Some(injection) = self.nodes[*node as usize].fault_injection() else {
                continue;
            };
            if let Err(error) = change(injection) {
                self.failures.push(error.to_string());
            }
        }
    }

    /// What the faults did to the nodes' system calls.
    pub(super) fn injected_faults(&mut self) -> Vec<InjectedFault> {
        let mut injected_faults = Vec::new();
        for fault in self.system_faults.faults.clone() {
            let mut sum = InjectedFault {
                event: fault.event,
                ..InjectedFault::default()
            };
            for node in &fault.nodes {
                let Some(injection) = self.nodes[*node as usize].fault_injection() else {
                    continue;
                };
                match count(injection, fault.place) {
                    Ok(counted) => {
                        sum.calls += counted.calls;
                        sum.injected += counted.injected;
                    }
                    Err(error) => self.failures.push(error.to_string()),
                }
            }
            injected_faults.push(sum);
        }
        injected_faults
    }
}

/// What a fault did to a node: its counts, or the readings of a clock that was off.
fn count(
    injection: &FaultInjection,
    place: Option<usize>,
) -> Result<fault_plan::FaultCounts, StateFileError> {
    if let Some(place) = place {
        return injection.counts(place);
    }
    let readings = injection.clock_readings()?;
    Ok(fault_plan::FaultCounts {
        calls: readings,
        injected: readings,
    })
}
