//! The file that an injector shares with the program that started its process: which faults are on, how far the wall
//! clock is off, and what was injected.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// The layout of the file: 64-bit slots in the byte order of the machine.
pub mod layout {
    /// Bytes of a slot.
    pub const SLOT_BYTES: usize = size_of::<u64>();
    /// The slot of the wall clock's offset in nanoseconds, signed. It is added to the steps of the plan.
    pub const CLOCK_OFFSET: usize = 0;
    /// The slot that counts readings of a wall clock that was off.
    pub const CLOCK_READINGS: usize = 1;

    /// The slot that tells whether a fault is on: 0 if not.
    pub const fn switch(fault: usize) -> usize {
        2 + 3 * fault
    }

    /// The slot that counts the calls that a fault could have hit while it was on.
    pub const fn calls(fault: usize) -> usize {
        switch(fault) + 1
    }

    /// The slot that counts the calls that a fault did hit.
    pub const fn injected(fault: usize) -> usize {
        switch(fault) + 2
    }

    /// The number of slots for so many faults.
    pub const fn slots(faults: usize) -> usize {
        switch(faults)
    }
}

/// What became of the calls that a fault is meant for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultCounts {
    /// Calls that it could have hit while it was on.
    pub calls: u64,
    /// Calls that it did hit.
    pub injected: u64,
}

/// Why a state file can't be used.
#[derive(Debug, thiserror::Error)]
#[error("cannot use the state file {} of a fault injector: {source}", .path.display())]
pub struct StateFileError {
    /// Path of the file.
    path: PathBuf,
    /// The operating system's error.
    source: std::io::Error,
}

/// A state file, as the program sees it that started the process.
#[derive(Debug)]
pub struct StateFile {
    path: PathBuf,
    file: File,
}

impl StateFile {
    /// Creates or empties the file for a plan of so many faults, all of them off.
    ///
    /// # Errors
    /// If the file can't be written.
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
    /// If the file can't be written.
    pub fn switch(&self, fault: usize, on: bool) -> Result<(), StateFileError> {
        self.write(layout::switch(fault), u64::from(on))
    }

    /// Puts the wall clock ahead by so many nanoseconds, or behind where negative.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_clock_offset(&self, offset_ns: i64) -> Result<(), StateFileError> {
        self.write(layout::CLOCK_OFFSET, offset_ns as u64)
    }

    /// What became of the calls of a fault so far.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn counts(&self, fault: usize) -> Result<FaultCounts, StateFileError> {
        Ok(FaultCounts {
            calls: self.read(layout::calls(fault))?,
            injected: self.read(layout::injected(fault))?,
        })
    }

    /// How often a wall clock that was off was read so far.
    ///
    /// # Errors
    /// If the file can't be read.
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
