//! Faults of the nodes' system calls and of wall clocks. The affected nodes are drawn before the nodes start. The fault
//! injector that is preloaded into each node is told when a fault begins and ends.

use std::path::Path;

use cluster_model::{Micros, RandomStream};
use fault_plan::{Effect, Fault, StateFileError};
use rand::Rng;
use rand::seq::SliceRandom;
use router_config::HumanDuration;

use super::Driver;
use super::schedule::Scheduled;
use crate::micros;
use crate::report::InjectedFault;
use crate::scenario::{ClockOwner, FaultEvent, Scenario};
use crate::sockets::fault_injection::{FaultInjection, InjectionFiles, clock_step_us};

/// A fault of system calls or clocks in the scenario.
#[derive(Debug, Clone)]
struct SystemFault {
    /// Index of the event in the scenario.
    event: usize,
    /// Index of the fault in each node's plan; `None` for a clock step, which is not part of the plan.
    plan_index: Option<usize>,
    /// The affected nodes.
    nodes: Vec<u32>,
    /// Whether the fault begins before the nodes start.
    from_start: bool,
}

/// All faults of system calls and clocks in a scenario.
#[derive(Default)]
pub(super) struct SystemFaults {
    faults: Vec<SystemFault>,
    /// The faults in each node's plan.
    plan: Vec<Fault>,
}

impl SystemFaults {
    /// Draws the nodes that each fault affects.
    pub(super) fn draw(scenario: &Scenario, random: &mut RandomStream) -> SystemFaults {
        let mut drawn = SystemFaults::default();
        for (event, fault) in scenario.faults.iter().enumerate() {
            let Some(fraction) = node_fraction(fault) else {
                continue;
            };
            let mut nodes: Vec<u32> = (0..scenario.nodes).collect();
            nodes.shuffle(random);
            nodes.truncate((f64::from(scenario.nodes) * fraction).round() as usize);
            let planned = planned_fault(fault);
            drawn.faults.push(SystemFault {
                event,
                plan_index: planned.is_some().then_some(drawn.plan.len()),
                nodes,
                from_start: fault.at().0.is_zero(),
            });
            drawn.plan.extend(planned);
        }
        drawn
    }

    fn for_event(&self, event: usize) -> Option<SystemFault> {
        self.faults
            .iter()
            .find(|fault| fault.event == event)
            .cloned()
    }
}

/// Returns whether a scenario has faults that need the fault injector.
pub(in crate::sockets) fn needs_fault_injector(scenario: &Scenario) -> bool {
    scenario.faults.iter().any(|fault| {
        node_fraction(fault).is_some()
            && !matches!(fault, FaultEvent::StepClock { clocks, .. } if !clocks.includes_nodes())
    })
}

/// Returns the fraction of the nodes that a fault of system calls or clocks affects, or `None` for other faults.
fn node_fraction(fault: &FaultEvent) -> Option<f64> {
    match fault {
        FaultEvent::SystemCalls { part, .. } | FaultEvent::ShortCounts { part, .. } => Some(*part),
        FaultEvent::StepClock { clocks, part, .. } => {
            Some(if clocks.includes_nodes() { *part } else { 0.0 })
        }
        _ => None,
    }
}

/// Returns a fault in the form of a node's plan. The plan does not contain its begin and end, because nodes start at
/// different times.
fn planned_fault(fault: &FaultEvent) -> Option<Fault> {
    let (calls, on, effect, rate) = match fault {
        FaultEvent::SystemCalls {
            calls,
            descriptor_kind,
            errors,
            rate,
            ..
        } => (
            calls,
            *descriptor_kind,
            Effect::Errors(errors.clone()),
            *rate,
        ),
        FaultEvent::ShortCounts {
            calls,
            descriptor_kind,
            rate,
            ..
        } => (calls, *descriptor_kind, Effect::Short, *rate),
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
    /// Gives each node a fault injector with all faults off.
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

    /// Begins the faults that are active before the nodes start.
    pub(super) fn begin_initial_system_faults(&mut self) {
        let now = self.shared.now();
        let scenario = self.scenario;
        for fault in self.system_faults.faults.clone() {
            if !fault.from_start {
                continue;
            }
            if let FaultEvent::StepClock { clocks, step_s, .. } = scenario.faults[fault.event] {
                self.step_clocks(now, &fault, clocks, step_s);
            } else {
                self.switch_system_fault(&fault, true);
            }
        }
    }

    /// Begins a fault of system calls, and schedules its end.
    pub(super) fn begin_system_fault(
        &mut self,
        now: Micros,
        event: usize,
        duration: HumanDuration,
    ) {
        let Some(fault) = self.system_faults.for_event(event) else {
            return;
        };
        self.switch_system_fault(&fault, true);
        self.schedule_at(now + micros(duration), Scheduled::EndSystemFault(event));
    }

    /// Ends a fault of system calls.
    pub(super) fn end_system_fault(&mut self, event: usize) {
        if let Some(fault) = self.system_faults.for_event(event) {
            self.switch_system_fault(&fault, false);
        }
    }

    /// Steps the clocks, unless they were stepped before the nodes started.
    pub(super) fn begin_clock_step(
        &mut self,
        now: Micros,
        event: usize,
        clocks: ClockOwner,
        step_s: f64,
    ) {
        let fault = self.system_faults.for_event(event);
        if let Some(fault) = fault.filter(|fault| !fault.from_start) {
            self.step_clocks(now, &fault, clocks, step_s);
        }
    }

    fn step_clocks(&mut self, now: Micros, fault: &SystemFault, clocks: ClockOwner, step_s: f64) {
        let by = clock_step_us(step_s);
        if clocks.includes_discovery() {
            self.shared.step_discovery_clock(now, by);
        }
        self.update_injectors(fault, |injection| injection.step_clock(by));
    }

    fn switch_system_fault(&mut self, fault: &SystemFault, on: bool) {
        if let Some(plan_index) = fault.plan_index {
            self.update_injectors(fault, |injection| injection.set_enabled(plan_index, on));
        }
    }

    /// Updates the injectors of the nodes that a fault affects.
    fn update_injectors(
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

    /// Returns how often the faults affected the nodes' system calls.
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
                match count(injection, fault.plan_index) {
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

/// Returns how often a fault affected a node: the counts of its calls, or the number of readings of a stepped clock.
fn count(
    injection: &FaultInjection,
    plan_index: Option<usize>,
) -> Result<fault_plan::FaultCounts, StateFileError> {
    if let Some(plan_index) = plan_index {
        return injection.counts(plan_index);
    }
    let readings = injection.clock_readings()?;
    Ok(fault_plan::FaultCounts {
        calls: readings,
        injected: readings,
    })
}
