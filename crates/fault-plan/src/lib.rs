//! The interface of the fault injector: the plan of the faults of a process, and the counts of injected faults.
//!
//! A [`Plan`] is JSON. It is the value of the environment variable [`PLAN_VARIABLE`], or is in the file that this
//! variable names. A [`StateFile`] holds the state that can change while the process runs, and the counts of injected
//! faults. The injector maps this file into memory, so that the process needs no system call to read or write it and
//! its content remains after the process is killed.

mod error_name;
mod plan;
mod state_file;
mod system_call;

pub use error_name::ErrorName;
pub use plan::{ClockStep, Effect, Fault, Plan, PlanError};
pub use state_file::{FaultCounts, StateFile, StateFileError, layout};
pub use system_call::{DescriptorKind, SystemCall};

/// The environment variable that holds a plan or the path of a plan.
pub const PLAN_VARIABLE: &str = "FAULT_INJECTOR_PLAN";
