//! Replaces files atomically and durably. [`replace`] writes a temporary file in the folder of the target, syncs it to
//! disk, renames it over the target and syncs the folder. If a step fails or the machine crashes, the target holds
//! either the complete old content or the complete new content. Success is only returned once the new content is
//! durable.

mod operations;

use std::fmt::{self, Display, Formatter};
use std::io::{Error, ErrorKind, Result as IoResult, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

pub use operations::{FileOperations, OperatingSystem};

/// Number of times that the content is written to a new temporary file before a failed sync is reported.
const MAX_ATTEMPTS: u32 = 3;
/// Suffix of the names of temporary files.
const TEMPORARY_SUFFIX: &str = ".partial";
/// Permissions of a data file, before the umask is applied.
const DATA_MODE: u32 = 0o666;
/// Permissions of an executable, before the umask is applied.
const PROGRAM_MODE: u32 = 0o777;

/// A step of writing a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStep {
    /// Creating the temporary file.
    Create,
    /// Writing the content to the temporary file.
    Write,
    /// Syncing the content to disk.
    Sync,
    /// Renaming the temporary file over the target.
    Rename,
    /// Syncing the folder, so that the rename is durable.
    SyncFolder,
    /// Writing directly to a target that can't be replaced: a pipe or a device.
    Stream,
}

impl Display for WriteStep {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WriteStep::Create => "no temporary file can be created in its folder",
            WriteStep::Write => "its content cannot be written, the file is unchanged",
            WriteStep::Sync => "its content cannot be synced to disk, the file is unchanged",
            WriteStep::Rename => "it cannot be replaced, the file is unchanged",
            WriteStep::SyncFolder => {
                "it is replaced, but the new content may be lost if the machine crashes"
            }
            WriteStep::Stream => "its content may have been written in part only",
        })
    }
}

/// Why a file was not written: the file, the step that failed, the cause and a remedy.
#[derive(Debug, thiserror::Error)]
#[error("{}: {step}: {source}: {}", path.display(), remedy(source))]
pub struct WriteError {
    /// The file.
    pub path: PathBuf,
    /// The step that failed.
    pub step: WriteStep,
    /// The operating system's error.
    pub source: Error,
}

impl From<WriteError> for Error {
    fn from(error: WriteError) -> Error {
        Error::new(error.source.kind(), error)
    }
}

/// What the user can do about a file error.
pub fn remedy(error: &Error) -> &'static str {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => {
            "free disk space there, then run the same command again"
        }
        ErrorKind::FileTooLarge => "raise the file size limit, then run the same command again",
        ErrorKind::PermissionDenied | ErrorKind::ReadOnlyFilesystem => {
            "name a folder that can be written, or change its permissions"
        }
        ErrorKind::NotFound | ErrorKind::NotADirectory => "create its folder, or name another",
        _ => "check the disk or name a folder on another disk, then run the same command again",
    }
}

/// Writes a data file as [`replace`] does. A pipe or a device is written to directly.
///
/// # Errors
/// If it can't be written. An existing file is then unchanged, unless only the sync of its folder has failed: it then
/// has the new content.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> Result<(), WriteError> {
    if path.exists() && !path.is_file() {
        // A pipe or a device can't be replaced by a rename.
        return write_stream(path, bytes).map_err(|source| WriteError {
            path: path.into(),
            step: WriteStep::Stream,
            source,
        });
    }
    replace(&OperatingSystem, path, bytes, DATA_MODE)
}

/// Copies an executable atomically.
///
/// # Errors
/// If `from` can't be read or `to` can't be written.
pub(crate) fn copy_program(from: &Path, to: &Path) -> IoResult<()> {
    let bytes = std::fs::read(from)?;
    Ok(replace(&OperatingSystem, to, &bytes, PROGRAM_MODE)?)
}

fn write_stream(path: &Path, bytes: &[u8]) -> IoResult<()> {
    let mut stream = std::fs::File::options().write(true).open(path)?;
    stream.write_all(bytes)?;
    stream.flush()
}

/// Replaces a file, with the given file operations.
///
/// Short writes are continued and interrupted calls are repeated. After a failed sync, the kernel may have dropped the
/// unwritten pages and report success for the next sync of the same file. The content is therefore written again, from
/// memory, to a new temporary file.
///
/// # Errors
/// If a step fails. The temporary file is then removed.
pub fn replace(
    operations: &impl FileOperations,
    path: &Path,
    bytes: &[u8],
    mode: u32,
) -> Result<(), WriteError> {
    let replacement = Replacement {
        operations,
        path,
        folder: parent_folder(path),
        bytes,
        mode,
    };
    replacement.write(MAX_ATTEMPTS)
}

/// Whether another attempt with a new temporary file may succeed after this error.
fn may_succeed_with_new_file(error: &WriteError) -> bool {
    let is_sync_step = matches!(error.step, WriteStep::Sync | WriteStep::SyncFolder);
    is_sync_step || error.source.kind() == ErrorKind::Interrupted
}

/// The replacement of one file.
struct Replacement<'a, O> {
    operations: &'a O,
    path: &'a Path,
    folder: &'a Path,
    bytes: &'a [u8],
    mode: u32,
}

impl<O: FileOperations> Replacement<'_, O> {
    /// Makes up to `attempts` attempts.
    fn write(&self, attempts: u32) -> Result<(), WriteError> {
        let Err(error) = self.attempt() else {
            return Ok(());
        };
        if attempts <= 1 || !may_succeed_with_new_file(&error) {
            return Err(error);
        }
        match self.write(attempts - 1) {
            // This attempt has already replaced the file, so its error is returned: a later error may say that the file
            // is unchanged.
            Err(_) if error.step == WriteStep::SyncFolder => Err(error),
            result => result,
        }
    }

    /// Writes the content to a new temporary file, renames it over the target and syncs the folder. The temporary file
    /// is removed if writing or renaming fails.
    fn attempt(&self) -> Result<(), WriteError> {
        let temporary = self.folder.join(temporary_name());
        let renamed = self.write_temporary(&temporary).and_then(|()| {
            self.operations
                .rename(&temporary, self.path)
                .map_err(self.error_in(WriteStep::Rename))
        });
        if let Err(error) = renamed {
            // If this fails too, `remove_stale_temporary_files` removes the file later.
            drop(self.operations.remove(&temporary));
            return Err(error);
        }
        self.operations
            .sync_folder(self.folder)
            .map_err(self.error_in(WriteStep::SyncFolder))
    }

    fn write_temporary(&self, temporary: &Path) -> Result<(), WriteError> {
        let mut file = retry_interrupted(|| self.operations.create(temporary, self.mode))
            .map_err(self.error_in(WriteStep::Create))?;
        let mut rest = self.bytes;
        while !rest.is_empty() {
            let count = retry_interrupted(|| self.operations.write(&mut file, rest))
                .and_then(|count| match count {
                    0 => Err(ErrorKind::WriteZero.into()),
                    count => Ok(count),
                })
                .map_err(self.error_in(WriteStep::Write))?;
            rest = &rest[count..];
        }
        self.operations
            .sync(&file)
            .map_err(self.error_in(WriteStep::Sync))
    }

    fn error_in(&self, step: WriteStep) -> impl FnOnce(Error) -> WriteError + use<O> {
        let path = self.path.to_path_buf();
        move |source| WriteError { path, step, source }
    }
}

/// Repeats a call while signals interrupt it.
fn retry_interrupted<T>(mut call: impl FnMut() -> IoResult<T>) -> IoResult<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => (),
            result => return result,
        }
    }
}

/// The folder that contains a path.
fn parent_folder(path: &Path) -> &Path {
    path.parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."))
}

/// A unique name for a temporary file. It starts with the process id, so that other processes can tell which process it
/// belongs to.
fn temporary_name() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanoseconds = since_epoch.unwrap_or_default().as_nanos();
    let pid = std::process::id();
    format!(".{pid}-{nanoseconds}-{count}{TEMPORARY_SUFFIX}")
}

/// The id of the process that a temporary file belongs to, from its name.
fn owner_pid(name: &str) -> Option<u32> {
    let name = name.strip_prefix('.')?.strip_suffix(TEMPORARY_SUFFIX)?;
    name.split('-').next()?.parse().ok()
}

/// Creates a folder and its missing ancestors durably.
///
/// # Errors
/// If a folder can't be created or synced.
pub fn create_folder(folder: &Path) -> IoResult<()> {
    let missing: Vec<&Path> = folder
        .ancestors()
        .take_while(|ancestor| !ancestor.as_os_str().is_empty() && !ancestor.exists())
        .collect();
    std::fs::create_dir_all(folder)?;
    missing
        .into_iter()
        .try_for_each(|created| OperatingSystem.sync_folder(parent_folder(created)))
}

/// Removes the temporary files of processes that no longer exist from a folder. Returns the number of files removed.
///
/// # Errors
/// If the folder can't be read or a file can't be removed.
pub fn remove_stale_temporary_files(folder: &Path) -> IoResult<usize> {
    let mut removed = 0;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let owner_has_ended = entry
            .file_name()
            .to_str()
            .and_then(owner_pid)
            .is_some_and(|pid| !Path::new(&format!("/proc/{pid}")).exists());
        if owner_has_ended {
            std::fs::remove_file(entry.path())?;
            removed += 1;
        }
    }
    Ok(removed)
}
