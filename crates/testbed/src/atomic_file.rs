//! Files that are replaced as a whole and durably. [`replace`] is the only place that writes them: a temporary file beside
//! the target is written and synchronized, renamed over the target, and the folder is synchronized. Whatever fails, the
//! target holds the earlier content or the new one as a whole, and success is only returned once the new content is
//! stable.

mod operations;

use std::fmt::{self, Display, Formatter};
use std::io::{Error, ErrorKind, Result as IoResult, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

pub use operations::{FileOperations, OperatingSystem};

/// How often the content is written from memory before a failed synchronization is reported.
const MAX_ATTEMPTS: u32 = 3;
/// Ending of the names of temporary files.
const TEMPORARY_SUFFIX: &str = ".partial";
/// Permissions of a file of data, before the process's mask.
const DATA_MODE: u32 = 0o666;
/// Permissions of a program, before the process's mask.
const PROGRAM_MODE: u32 = 0o777;

/// A step of writing a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStep {
    /// Making the temporary file.
    Create,
    /// Writing the content.
    Write,
    /// Waiting until the content is stable.
    Synchronize,
    /// Renaming the temporary file over the target.
    Rename,
    /// Waiting until the new name is stable.
    SynchronizeFolder,
    /// Writing to a target that can't be replaced: a pipe or a device.
    Stream,
}

impl Display for WriteStep {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WriteStep::Create => "no file can be made beside it",
            WriteStep::Write => "its content cannot be written, the file is as it was",
            WriteStep::Synchronize => "its content does not become stable, the file is as it was",
            WriteStep::Rename => "it cannot be replaced, the file is as it was",
            WriteStep::SynchronizeFolder => {
                "it is replaced, but may be lost in a crash of the machine"
            }
            WriteStep::Stream => "only a part may have been written",
        })
    }
}

/// Why a file was not written: what failed, where, and what to do.
#[derive(Debug, thiserror::Error)]
#[error("{}: {step}: {source}: {}", path.display(), advice(source))]
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

/// What a user can do about an error of a file.
pub fn advice(error: &Error) -> &'static str {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => {
            "free space there, then run the same command again"
        }
        ErrorKind::FileTooLarge => {
            "raise the limit of a file's size, then run the same command again"
        }
        ErrorKind::PermissionDenied | ErrorKind::ReadOnlyFilesystem => {
            "name a folder that can be written, or change its permissions"
        }
        ErrorKind::NotFound | ErrorKind::NotADirectory => "make its folder, or name another",
        _ => "check the disk or name a folder on another one, then run the same command again",
    }
}

/// Writes a file of data: see [`replace`]. A pipe or a device is written to.
///
/// # Errors
/// If it can't be written. A file that was there is left as it was, or, if only its folder can't be synchronized, has the
/// new content.
pub fn write_atomically(path: &Path, bytes: &[u8]) -> Result<(), WriteError> {
    if path.exists() && !path.is_file() {
        // It can't be replaced by renaming a file.
        return write_stream(path, bytes).map_err(|source| WriteError {
            path: path.into(),
            step: WriteStep::Stream,
            source,
        });
    }
    replace(&OperatingSystem, path, bytes, DATA_MODE)
}

/// Copies a program, as a whole or not at all.
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

/// Replaces a file through the given operations.
///
/// Short counts and interrupted calls are continued. After a failed synchronization the system may have dropped what was
/// not written yet and report success the next time; so the content is written anew, from memory and to another file.
///
/// # Errors
/// If a step fails. The temporary file is removed then.
pub fn replace(
    operations: &impl FileOperations,
    path: &Path,
    bytes: &[u8],
    mode: u32,
) -> Result<(), WriteError> {
    let replacement = Replacement {
        operations,
        path,
        folder: folder_of(path),
        bytes,
        mode,
    };
    replacement.write(MAX_ATTEMPTS)
}

/// Whether another attempt, with another file, may succeed where this one failed.
fn may_pass_when_written_anew(error: &WriteError) -> bool {
    let is_synchronization = matches!(
        error.step,
        WriteStep::Synchronize | WriteStep::SynchronizeFolder
    );
    is_synchronization || error.source.kind() == ErrorKind::Interrupted
}

/// One replacement of a file.
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
        if attempts <= 1 || !may_pass_when_written_anew(&error) {
            return Err(error);
        }
        match self.write(attempts - 1) {
            // Since the rename the earlier content is gone, whatever has failed after it.
            Err(_) if error.step == WriteStep::SynchronizeFolder => Err(error),
            result => result,
        }
    }

    /// Writes the content to a new temporary file and renames it. If that fails, the temporary file is removed.
    fn attempt(&self) -> Result<(), WriteError> {
        let temporary = self.folder.join(temporary_name());
        let renamed = self.write_temporary(&temporary).and_then(|()| {
            self.operations
                .rename(&temporary, self.path)
                .map_err(self.failed(WriteStep::Rename))
        });
        if let Err(error) = renamed {
            // What can't be removed is removed by `remove_leftovers` later.
            drop(self.operations.remove(&temporary));
            return Err(error);
        }
        self.operations
            .synchronize_folder(self.folder)
            .map_err(self.failed(WriteStep::SynchronizeFolder))
    }

    fn write_temporary(&self, temporary: &Path) -> Result<(), WriteError> {
        let mut file = uninterrupted(|| self.operations.create(temporary, self.mode))
            .map_err(self.failed(WriteStep::Create))?;
        let mut rest = self.bytes;
        while !rest.is_empty() {
            let count = uninterrupted(|| self.operations.write(&mut file, rest))
                .and_then(|count| match count {
                    0 => Err(ErrorKind::WriteZero.into()),
                    count => Ok(count),
                })
                .map_err(self.failed(WriteStep::Write))?;
            rest = &rest[count..];
        }
        self.operations
            .synchronize(&file)
            .map_err(self.failed(WriteStep::Synchronize))
    }

    fn failed(&self, step: WriteStep) -> impl FnOnce(Error) -> WriteError + use<O> {
        let path = self.path.to_path_buf();
        move |source| WriteError { path, step, source }
    }
}

/// Repeats a call for as long as a signal interrupts it.
fn uninterrupted<T>(mut call: impl FnMut() -> IoResult<T>) -> IoResult<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => (),
            result => return result,
        }
    }
}

/// The folder that a path is in.
fn folder_of(path: &Path) -> &Path {
    path.parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."))
}

/// A name that no other file has: the process's number first, so that others know whose it is.
fn temporary_name() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanoseconds = since_epoch.unwrap_or_default().as_nanos();
    let process = std::process::id();
    format!(".{process}-{nanoseconds}-{count}{TEMPORARY_SUFFIX}")
}

/// The number of the process that a temporary file belongs to, by its name.
fn owner(name: &str) -> Option<u32> {
    let name = name.strip_prefix('.')?.strip_suffix(TEMPORARY_SUFFIX)?;
    name.split('-').next()?.parse().ok()
}

/// Makes a folder with all above it, and waits until their names are stable.
///
/// # Errors
/// If that fails.
pub fn create_folder(folder: &Path) -> IoResult<()> {
    let missing: Vec<&Path> = folder
        .ancestors()
        .take_while(|ancestor| !ancestor.as_os_str().is_empty() && !ancestor.exists())
        .collect();
    std::fs::create_dir_all(folder)?;
    missing
        .into_iter()
        .try_for_each(|made| OperatingSystem.synchronize_folder(folder_of(made)))
}

/// Removes the temporary files that killed processes have left in a folder. Returns their number.
///
/// # Errors
/// If the folder can't be read or a file can't be removed.
pub fn remove_leftovers(folder: &Path) -> IoResult<usize> {
    let mut removed = 0;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let has_ended = entry
            .file_name()
            .to_str()
            .and_then(owner)
            .is_some_and(|process| !Path::new(&format!("/proc/{process}")).exists());
        if has_ended {
            std::fs::remove_file(entry.path())?;
            removed += 1;
        }
    }
    Ok(removed)
}
