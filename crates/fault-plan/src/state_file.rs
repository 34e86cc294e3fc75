//! The file that an injector shares with the program that started the process. It holds the switch of each fault, the
//! offset of the wall clock, and the counts of injected faults.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// The layout of the file: 64-bit slots in native byte order.
pub mod layout {
    /// Size of a slot in bytes.
    pub const SLOT_BYTES: usize = size_of::<u64>();
    /// The slot of the wall clock's offset, in signed nanoseconds. It is added to the offset that the plan sets.
    pub const CLOCK_OFFSET: usize = 0;
    /// The slot that counts the readings of the wall clock with an offset other than 0.
    pub const CLOCK_READINGS: usize = 1;

    /// The slot with the switch of a fault. The fault is off if the value is 0.
    pub const fn switch(fault: usize) -> usize {
        2 + 3 * fault
    }

    /// The slot that counts the calls that a fault could have affected while it was on.
    pub const fn eligible_calls(fault: usize) -> usize {
        switch(fault) + 1
    }

    /// The slot that counts the calls that a fault affected.
    pub const fn injected(fault: usize) -> usize {
        switch(fault) + 2
    }

    /// The number of slots that this many faults need.
    pub const fn slots(faults: usize) -> usize {
        switch(faults)
    }
}

/// Counts of the calls that a fault applies to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultCounts {
    /// Calls that the fault could have affected while it was on.
    pub calls: u64,
    /// Calls that the fault affected.
    pub injected: u64,
}

/// An error of the operating system when a state file is used.
#[derive(Debug, thiserror::Error)]
#[error("cannot use the state file {} of a fault injector: {source}", .path.display())]
pub struct StateFileError {
    /// Path of the file.
    path: PathBuf,
    /// The operating system's error.
    source: std::io::Error,
}

/// A state file as used by the program that started the process.
#[derive(Debug)]
pub struct StateFile {
    path: PathBuf,
    file: File,
}

impl StateFile {
    /// Creates or truncates the file for a plan with this many faults. All faults are off.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn create(path: &Path, faults: usize) -> Result<StateFile, StateFileError> {
        let create = || {
            let mut options = File::options();
            options.read(true).write(true).create(true).truncate(true);
            let file = options.open(path)?;
            file.set_len((layout::slots(faults) * layout::SLOT_BYTES) as u64)?;
            Ok(file)
        };
        Ok(StateFile {
            path: path.to_path_buf(),
            file: create().map_err(|source| StateFileError {
                path: path.to_path_buf(),
                source,
            })?,
        })
    }

    /// Switches a fault on or off.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn set_enabled(&self, fault: usize, on: bool) -> Result<(), StateFileError> {
        self.write(layout::switch(fault), u64::from(on))
    }

    /// Sets the offset of the wall clock in nanoseconds. A negative offset puts the clock behind.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn set_clock_offset(&self, offset_ns: i64) -> Result<(), StateFileError> {
        self.write(layout::CLOCK_OFFSET, offset_ns as u64)
    }

    /// Returns the counts of a fault so far.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub fn counts(&self, fault: usize) -> Result<FaultCounts, StateFileError> {
        Ok(FaultCounts {
            calls: self.read(layout::eligible_calls(fault))?,
            injected: self.read(layout::injected(fault))?,
        })
    }

    /// Returns how often the wall clock was read with an offset other than 0.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub fn clock_readings(&self) -> Result<u64, StateFileError> {
        self.read(layout::CLOCK_READINGS)
    }

    fn write(&self, slot: usize, value: u64) -> Result<(), StateFileError> {
        let offset = (slot * layout::SLOT_BYTES) as u64;
        self.file
            .write_all_at(&value.to_ne_bytes(), offset)
            .map_err(|source| self.error(source))
    }

    fn read(&self, slot: usize) -> Result<u64, StateFileError> {
        let mut bytes = [0; layout::SLOT_BYTES];
        let offset = (slot * layout::SLOT_BYTES) as u64;
        self.file
            .read_exact_at(&mut bytes, offset)
            .map_err(|source| self.error(source))?;
        Ok(u64::from_ne_bytes(bytes))
    }

    fn error(&self, source: std::io::Error) -> StateFileError {
        StateFileError {
            path: self.path.clone(),
            source,
        }
    }
}
