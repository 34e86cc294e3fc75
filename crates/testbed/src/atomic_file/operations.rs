//! The file operations that replacing a file consists of.

use std::fs::File;
use std::io::{ErrorKind, Result, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// The calls to the operating system that [`replace`](super::replace) makes. Tests implement them with failures.
pub trait FileOperations {
    /// An open file.
    type File;

    /// Creates a file that must not exist yet, with the permissions `mode` before the umask is applied.
    ///
    /// # Errors
    /// If it exists or can't be created.
    fn create(&self, path: &Path, mode: u32) -> Result<Self::File>;

    /// Writes some or all of the bytes, and returns how many.
    ///
    /// # Errors
    /// If no bytes can be written.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> Result<usize>;

    /// Syncs the content of a file to disk.
    ///
    /// # Errors
    /// If the content may not be durable.
    fn sync(&self, file: &Self::File) -> Result<()>;

    /// Renames a file. An existing file at `to` is replaced.
    ///
    /// # Errors
    /// If the file can't be renamed.
    fn rename(&self, from: &Path, to: &Path) -> Result<()>;

    /// Syncs the entries of a folder to disk.
    ///
    /// # Errors
    /// If the entries may not be durable.
    fn sync_folder(&self, folder: &Path) -> Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// If the file can't be removed.
    fn remove(&self, path: &Path) -> Result<()>;
}

/// The file operations of the operating system.
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

    fn sync(&self, file: &File) -> Result<()> {
        file.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_folder(&self, folder: &Path) -> Result<()> {
        match File::open(folder)?.sync_all() {
            // Some file systems do not support syncing a folder.
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
