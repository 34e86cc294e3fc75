//! The file operations that a replacement is made of.

use std::fs::File;
use std::io::{ErrorKind, Result, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// What is asked of the operating system; tests have each of them fail in turn.
pub trait FileOperations {
    /// An open file.
    type File;

    /// Makes a file that must not exist yet, with these permissions before the process's mask.
    ///
    /// # Errors
    /// If it exists or can't be made.
    fn create(&self, path: &Path, mode: u32) -> Result<Self::File>;

    /// Writes a part of some bytes, and returns how many.
    ///
    /// # Errors
    /// If none can be written.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> Result<usize>;

    /// Waits until the content of a file is stable.
    ///
    /// # Errors
    /// If it may not be.
    fn synchronize(&self, file: &Self::File) -> Result<()>;

    /// Renames a file, over another if there is one.
    ///
    /// # Errors
    /// If that fails.
    fn rename(&self, from: &Path, to: &Path) -> Result<()>;

    /// Waits until the names in a folder are stable.
    ///
    /// # Errors
    /// If they may not be.
    fn synchronize_folder(&self, folder: &Path) -> Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// If that fails.
    fn remove(&self, path: &Path) -> Result<()>;
}

/// The operations of the operating system.
pub struct OperatingSystem;

impl FileOperations for OperatingSystem {
    type File = File;

    fn create(&self, path: &Path, mode: u32) -> Result<File> {
        let mut options = File::options();
        options.write(true).create_new(true).mode(mode).open(path)
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> Result<usize> {
        file.write(bytes)
    }

    fn synchronize(&self, file: &File) -> Result<()> {
        file.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        std::fs::rename(from, to)
    }

    fn synchronize_folder(&self, folder: &Path) -> Result<()> {
        match File::open(folder)?.sync_all() {
            // Some file systems have nothing to synchronize in a folder.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::InvalidInput | ErrorKind::Unsupported
                ) =>
            {
                Ok(())
            }
            result => result,
        }
    }

    fn remove(&self, path: &Path) -> Result<()> {
        std::fs::remove_file(path)
    }
}
