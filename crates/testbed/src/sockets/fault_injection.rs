//! The fault injector of one node: a library that is preloaded into each of the node's processes. Each process has its
//! own plan and state file.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use fault_plan::{Fault, FaultCounts, PLAN_VARIABLE, Plan, StateFile, StateFileError};

/// The environment variable that tells the dynamic loader which libraries to preload.
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
const NANOS_PER_MICRO: i64 = 1_000;

/// An environment variable of a node's process.
pub(crate) struct EnvironmentVariable {
    pub(crate) name: &'static str,
    pub(crate) value: OsString,
}

/// The files that the fault injector of a node needs.
pub(crate) struct InjectionFiles<'a> {
    /// The library to preload.
    pub(crate) library: &'a Path,
    /// The folder for plans and state files.
    pub(crate) folder: &'a Path,
}

/// A fault of the node, across all its processes.
struct NodeFault {
    fault: Fault,
    is_on: bool,
    /// Counts of the calls of the processes before the current one.
    previous: FaultCounts,
}

/// The fault injector of one node.
pub(crate) struct FaultInjection {
    node: u32,
    library: PathBuf,
    folder: PathBuf,
    seed: u64,
    faults: Vec<NodeFault>,
    clock_offset_ns: i64,
    previous_clock_readings: u64,
    /// The state file of the current process, or of the latest one.
    state: Option<StateFile>,
}

impl FaultInjection {
    /// Creates the injector of a node, with all faults off and no clock offset.
    pub(crate) fn new(
        node: u32,
        files: &InjectionFiles<'_>,
        seed: u64,
        faults: &[Fault],
    ) -> FaultInjection {
        let new_fault = |fault: &Fault| NodeFault {
            fault: fault.clone(),
            is_on: false,
            previous: FaultCounts::default(),
        };
        FaultInjection {
            node,
            library: files.library.to_path_buf(),
            folder: files.folder.to_path_buf(),
            seed,
            faults: faults.iter().map(new_fault).collect(),
            clock_offset_ns: 0,
            previous_clock_readings: 0,
            state: None,
        }
    }

    /// Writes the plan and the state file for a new process, and returns its environment variables.
    ///
    /// # Errors
    /// Returns an error if a file can't be read or written.
    pub(crate) fn prepare(
        &mut self,
        incarnation: u32,
    ) -> Result<[EnvironmentVariable; 2], StateFileError> {
        self.accumulate_counts()?;
        let name = format!("n{}-{incarnation}", self.node);
        let state_path = self.folder.join(format!("{name}.faults"));
        let state = StateFile::create(&state_path, self.faults.len())?;
        for (plan_index, fault) in self.faults.iter().enumerate() {
            state.set_enabled(plan_index, fault.is_on)?;
        }
        state.set_clock_offset(self.clock_offset_ns)?;
        self.state = Some(state);
        let plan = Plan {
            seed: self.seed.wrapping_add(u64::from(incarnation) << 32),
            state: Some(state_path),
            faults: self
                .faults
                .iter()
                .map(|fault| fault.fault.clone())
                .collect(),
            clock: Vec::new(),
        };
        Ok([
            EnvironmentVariable {
                name: PRELOAD_VARIABLE,
                value: self.library.clone().into(),
            },
            EnvironmentVariable {
                name: PLAN_VARIABLE,
                value: plan.to_json().into(),
            },
        ])
    }

    fn accumulate_counts(&mut self) -> Result<(), StateFileError> {
        for plan_index in 0..self.faults.len() {
            self.faults[plan_index].previous = self.counts(plan_index)?;
        }
        self.previous_clock_readings = self.clock_readings()?;
        Ok(())
    }

    /// Switches the fault at this index of the plan on or off, for the current process and later ones.
    ///
    /// # Errors
    /// Returns an error if the state file can't be written.
    pub(crate) fn set_enabled(
        &mut self,
        plan_index: usize,
        on: bool,
    ) -> Result<(), StateFileError> {
        self.faults[plan_index].is_on = on;
        match &self.state {
            Some(state) => state.set_enabled(plan_index, on),
            None => Ok(()),
        }
    }

    /// Steps the wall clock of the node's machine, for the current process and later ones.
    ///
    /// # Errors
    /// Returns an error if the state file can't be written.
    pub(crate) fn step_clock(&mut self, by_us: i64) -> Result<(), StateFileError> {
        self.clock_offset_ns += by_us * NANOS_PER_MICRO;
        match &self.state {
            Some(state) => state.set_clock_offset(self.clock_offset_ns),
            None => Ok(()),
        }
    }

    /// Returns how many calls the fault at this index of the plan applied to, and how many of them it affected, over
    /// all processes so far.
    ///
    /// # Errors
    /// Returns an error if the state file can't be read.
    pub(crate) fn counts(&self, plan_index: usize) -> Result<FaultCounts, StateFileError> {
        let previous = self.faults[plan_index].previous;
        let Some(state) = &self.state else {
            return Ok(previous);
        };
        let current = state.counts(plan_index)?;
        Ok(FaultCounts {
            calls: previous.calls + current.calls,
            injected: previous.injected + current.injected,
        })
    }

    /// Returns how often the node read a wall clock that had an offset, over all processes so far.
    ///
    /// # Errors
    /// Returns an error if the state file can't be read.
    pub(crate) fn clock_readings(&self) -> Result<u64, StateFileError> {
        let current = match &self.state {
            Some(state) => state.clock_readings()?,
            None => 0,
        };
        Ok(self.previous_clock_readings + current)
    }
}

/// Converts a clock step from seconds to microseconds.
pub(crate) fn clock_step_us(step_s: f64) -> i64 {
    (step_s * 1e6) as i64
}
