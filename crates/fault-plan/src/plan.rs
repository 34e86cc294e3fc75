//! The plan of the faults of one process.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::{DescriptorKind, ErrorName, SystemCall};

/// The effect of a fault on a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// The call is not made and fails with one of these errors.
    Errors(Vec<ErrorName>),
    /// The call reads or writes fewer bytes than it could, but at least one.
    Short,
}

/// A fault that is injected into system calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The affected system calls.
    pub calls: Vec<SystemCall>,
    /// The kind of descriptor to which the fault is limited. Applies only to calls that transfer bytes.
    #[serde(default)]
    pub on: DescriptorKind,
    /// The effect on a call.
    pub effect: Effect,
    /// Fraction of the calls that are affected.
    pub rate: f64,
    /// Time from the start of the process to the start of the fault, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// Time from the start of the process to the end of the fault, in milliseconds. Without it, the fault does not end.
    #[serde(default)]
    pub until_ms: Option<u64>,
}

/// A step of the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockStep {
    /// Time from the start of the process to the step, in milliseconds.
    pub at_ms: u64,
    /// Offset of the clock after the step, in nanoseconds. A negative offset means that the clock is behind.
    pub offset_ns: i64,
}

/// The faults of one process. If several faults would affect a call, the first one does.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all draws. Whether a call is affected depends on the seed, the fault and the number of previous calls.
    #[serde(default)]
    pub seed: u64,
    /// Path of the state file, which switches faults on and off and counts them. The file is created if it does not
    /// exist. Without a path, all faults are on and the counts are not available.
    #[serde(default)]
    pub state: Option<PathBuf>,
    /// Faults of system calls.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Steps of the wall clock, sorted by time.
    #[serde(default)]
    pub clock: Vec<ClockStep>,
}

/// The reason why a plan cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file of the plan cannot be read.
    #[error("cannot read {}: {source}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The text is not a valid plan.
    #[error("invalid fault plan: {0}")]
    Invalid(#[from] serde_json::Error),
}

impl Plan {
    /// Reads a plan from the value of [`crate::PLAN_VARIABLE`], which is a plan or the path of a plan.
    ///
    /// # Errors
    /// If the file cannot be read or the text is not a valid plan.
    pub fn read(variable: &str) -> Result<Plan, PlanError> {
        if variable.trim_start().starts_with('{') {
            return Ok(serde_json::from_str(variable)?);
        }
        let path = Path::new(variable);
        let text = std::fs::read(path).map_err(|source| PlanError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Ok(serde_json::from_slice(&text)?)
    }

    /// The plan as JSON; empty if the path of the state file is not valid Unicode.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
