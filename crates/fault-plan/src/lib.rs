//! What the fault injector is told to do to a process, and what it reports.
//!
//! A [`Plan`] is JSON, in the environment variable [`PLAN_VARIABLE`] or in the file that it names. What can change while
//! the process runs, and what was injected, is in a [`StateFile`] that the injector maps into memory, so that it is read
//! and written without a system call of the process and outlives a process that is killed.

mod error_name;
mod plan;
mod state_file;
mod system_call;

pub use error_name::ErrorName;
pub use plan::{ClockStep, Effect, Fault, Plan, PlanError};
pub use state_file::{FaultCounts, StateFile, StateFileError, layout};
pub use system_call::{DescriptorKind, SystemCall};

/// The environment variable that holds a plan, or the path of one.
pub const PLAN_VARIABLE: &str = "FAULT_INJECTOR_PLAN";
