//! The plan of the faults of one process.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::{DescriptorKind, ErrorName, SystemCall};

/// What is done to a call that a fault hits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// It is not made, and fails with one of these errors.
    Errors(Vec<ErrorName>),
    /// It reads or writes fewer bytes than it could, but at least one.
    Short,
}

/// A fault of some system calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The calls.
    pub calls: Vec<SystemCall>,
    /// What calls that transfer bytes have to work on to be hit. Calls that transfer none are hit whatever it is.
    #[serde(default)]
    pub on: DescriptorKind,
    /// What is done to them.
    pub effect: Effect,
    /// Fraction of the calls that is hit.
    pub rate: f64,
    /// It begins this long after the start of the process, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// It ends this long after the start of the process, in milliseconds; without it, it lasts.
    #[serde(default)]
    pub until_ms: Option<u64>,
}

/// A step of the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockStep {
    /// When, after the start of the process, in milliseconds.
    pub at_ms: u64,
    /// How far the clock is ahead from then on, in nanoseconds; negative where it is behind.
    pub offset_ns: i64,
}

/// The faults of one process. Of several that would hit a call, the first one does.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all draws: which calls are hit depends on it, on the fault, and on how many calls there were before.
    #[serde(default)]
    pub seed: u64,
    /// The file that faults are switched in and counted in. It is created where it does not exist; without it, all
    /// faults are on and nobody learns the counts.
    #[serde(default)]
    pub state: Option<PathBuf>,
    /// Faults of system calls.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Steps of the wall clock, in the order of their times.
    #[serde(default)]
    pub clock: Vec<ClockStep>,
}

/// Why there is no plan.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// Its file can't be read.
    #[error("cannot read {}: {source}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// It is not a plan.
    #[error("not a plan of faults: {0}")]
    Invalid(#[from] serde_json::Error),
}

impl Plan {
    /// Reads the value of [`crate::PLAN_VARIABLE`]: a plan, or the path of one.
    ///
    /// # Errors
    /// If the file can't be read or the text is not a plan.
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

    /// The plan as JSON, without the path of a state file that is not valid Unicode.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
