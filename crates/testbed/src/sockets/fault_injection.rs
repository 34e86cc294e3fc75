//! The fault injector of one node: a library that is preloaded into each of the node's processes, with a plan and a
//! state file of its own for each.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use fault_plan::{Fault, FaultCounts, PLAN_VARIABLE, Plan, StateFile, StateFileError};

/// The environment variable by which the loader is told what to load before a program.
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";
const NANOS_PER_MICRO: i64 = 1_000;

/// An environment variable of a node's process.
pub(crate) struct EnvironmentVariable {
    /// Its name.
    pub(crate) name: &'static str,
    /// Its value.
    pub(crate) value: OsString,
}

/// Where the faults of a node come from.
pub(crate) struct InjectionFiles<'a> {
    /// The library to preload.
    pub(crate) library: &'a Path,
    /// The folder for plans and state files.
    pub(crate) folder: &'a Path,
}

/// A fault of the node, over all its processes.
struct NodeFault {
    fault: Fault,
    is_on: bool,
    /// What became of the calls of processes before the present one.
    earlier: FaultCounts,
}

/// The fault injector of one node.
pub(crate) struct FaultInjection {
    node: u32,
    library: PathBuf,
    folder: PathBuf,
    seed: u64,
    faults: Vec<NodeFault>,
    clock_offset_ns: i64,
    earlier_clock_readings: u64,
    /// The state file of the present process, or of the latest one.
    state: Option<StateFile>,
}

impl FaultInjection {
    /// The injector of a node, with all faults off and the right time.
    pub(crate) fn new(
        node: u32,
        files: &InjectionFiles<'_>,
        seed: u64,
        faults: &[Fault],
    ) -> FaultInjection {
        let off = |fault: &Fault| NodeFault {
            fault: fault.clone(),
            is_on: false,
            earlier: FaultCounts::default(),
        };
        FaultInjection {
            node,
            library: files.library.to_path_buf(),
            folder: files.folder.to_path_buf(),
            seed,
            faults: faults.iter().map(off).collect(),
            clock_offset_ns: 0,
            earlier_clock_readings: 0,
            state: None,
        }
    }

    /// Writes plan and state for a new process, and returns its environment variables.
    ///
    /// # Errors
    /// Where a file can't be read or written.
    pub(crate) fn prepare(
        &mut self,
        incarnation: u32,
    ) -> Result<[EnvironmentVariable; 2], StateFileError> {
        self.keep_counts()?;
        let name = format!("n{}-{incarnation}", self.node);
        let state_path = self.folder.join(format!("{name}.faults"));
        let state = StateFile::create(&state_path, self.faults.len())?;
        for (place, fault) in self.faults.iter().enumerate() {
            state.switch(place, fault.is_on)?;
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

    fn keep_counts(&mut self) -> Result<(), StateFileError> {
        for place in 0..self.faults.len() {
            self.faults[place].earlier = self.counts(place)?;
        }
        self.earlier_clock_readings = self.clock_readings()?;
        Ok(())
    }

    /// Switches a fault on or off, by its place, for the present process and those to come.
    ///
    /// # Errors
    /// Where the state file can't be written.
    pub(crate) fn switch(&mut self, place: usize, on: bool) -> Result<(), StateFileError> {
        self.faults[place].is_on = on;
        match &self.state {
            Some(state) => state.switch(place, on),
            None => Ok(()),
        }
    }

    /// Steps the wall clock of the node's machine, for the present process and those to come.
    ///
    /// # Errors
    /// Where the state file can't be written.
    pub(crate) fn step_clock(&mut self, by_us: i64) -> Result<(), StateFileError> {
        self.clock_offset_ns += by_us * NANOS_PER_MICRO;
        match &self.state {
            Some(state) => state.set_clock_offset(self.clock_offset_ns),
            None => Ok(()),
        }
    }

    /// What became of the calls of a fault, by its place, over all processes so far.
    ///
    /// # Errors
    /// Where the state file can't be read.
    pub(crate) fn counts(&self, place: usize) -> Result<FaultCounts, StateFileError> {
        let earlier = self.faults[place].earlier;
        let Some(state) = &self.state else {
            return Ok(earlier);
        };
        let present = state.counts(place)?;
        Ok(FaultCounts {
            calls: earlier.calls + present.calls,
            injected: earlier.injected + present.injected,
        })
    }

    /// How often the node read a wall clock that was off, over all processes so far.
    ///
    /// # Errors
    /// Where the state file can't be read.
    pub(crate) fn clock_readings(&self) -> Result<u64, StateFileError> {
        let present = match &self.state {
            Some(state) => state.clock_readings()?,
            None => 0,
        };
        Ok(self.earlier_clock_readings + present)
    }
}

/// A step of a clock in microseconds, from seconds.
pub(crate) fn clock_step_us(by_s: f64) -> i64 {
    (by_s * 1e6) as i64
}
