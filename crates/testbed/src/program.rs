//! Locates the `cache-router` program that runs on sockets start, and the library that injects faults into it.

use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Name of the program and of its Cargo package.
const PROGRAM_NAME: &str = "cache-router";
/// The Cargo package of the fault injector.
const INJECTOR_PACKAGE: &str = "fault-injector";
/// The file name of the library that Cargo builds from it.
const INJECTOR_LIBRARY: &str = "libfault_injector.so";

/// Why the program or the fault injector is not available.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The program does not exist.
    #[error("no program at {}: build it with `cargo build --release`, or name another", .path.display())]
    Missing {
        /// Where it was expected.
        path: PathBuf,
    },
    /// The fault injector does not exist.
    #[error("no fault injector at {}: build it with `cargo build --release --package fault-injector`", .path.display())]
    MissingInjector {
        /// Where it was expected.
        path: PathBuf,
    },
    /// The path of the running program can't be determined.
    #[error("cannot determine the path of this program: {source}")]
    UnknownLocation {
        /// The reason.
        source: std::io::Error,
    },
    /// The package could not be built.
    #[error("`cargo build` of {package} failed{details}")]
    Build {
        /// The package.
        package: &'static str,
        /// The reason, with the separator that joins it to the message.
        details: String,
    },
}

/// Returns `requested` if given, or else the path of the program in the folder of the running program. If Cargo runs
/// this program, the other one is built first if it is out of date, since `cargo run` builds only the program that it
/// runs.
///
/// # Errors
/// If it does not exist or can't be built.
pub fn find(requested: Option<&Path>) -> Result<PathBuf, ProgramError> {
    let path = match requested {
        Some(requested) => requested.to_path_buf(),
        None => build_beside_this_program(PROGRAM_NAME)?.join(PROGRAM_NAME),
    };
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::Missing { path })
    }
}

/// Returns the path of the library that injects faults into the system calls of nodes. It is expected in the folder of
/// the running program, and is built first in the same case as `cache-router` in [`find`].
///
/// # Errors
/// If it does not exist or can't be built.
pub fn find_fault_injector() -> Result<PathBuf, ProgramError> {
    let path = build_beside_this_program(INJECTOR_PACKAGE)?.join(INJECTOR_LIBRARY);
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::MissingInjector { path })
    }
}

/// Returns the folder of the running program. If Cargo runs this program, `package` is built into that folder first.
fn build_beside_this_program(package: &'static str) -> Result<PathBuf, ProgramError> {
    let current_exe =
        std::env::current_exe().map_err(|source| ProgramError::UnknownLocation { source })?;
    let folder = current_exe.parent().unwrap_or(Path::new("."));
    // Cargo puts test programs into the subfolder `deps`.
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    let cargo = std::env::var_os("CARGO");
    let manifest = std::env::var_os("CARGO_MANIFEST_DIR");
    if let (Some(cargo), Some(manifest)) = (cargo, manifest) {
        build(package, &cargo, Path::new(&manifest), folder)?;
    }
    Ok(folder.to_path_buf())
}

/// Builds a package of the workspace that contains the folder `manifest`, with the profile and the target folder that
/// `folder` belongs to.
fn build(
    package: &'static str,
    cargo: &OsStr,
    manifest: &Path,
    folder: &Path,
) -> Result<(), ProgramError> {
    let Some(root) = manifest
        .ancestors()
        .find(|root| root.join("crates/cache-router").is_dir())
    else {
        return Ok(());
    };
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--locked", "--package", package]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    if let Some(target) = folder.parent() {
        build.arg("--target-dir").arg(target);
    }
    let failed = |reason: &dyn std::fmt::Display| ProgramError::Build {
        package,
        details: format!(": {reason}"),
    };
    match build.current_dir(root).stdin(Stdio::null()).status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(failed(&status)),
        Err(e) => Err(failed(&e)),
    }
}
