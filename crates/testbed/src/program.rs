//! Finds the `cache-router` program that a run on sockets starts, and the library that injects faults into it.

use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Name of the program, and of its package.
const PROGRAM: &str = "cache-router";
/// The package of the fault injector.
const INJECTOR_PACKAGE: &str = "fault-injector";
/// The library that cargo builds of it.
const INJECTOR_LIBRARY: &str = "libfault_injector.so";

/// Why there is no program to start.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// It does not exist.
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
    /// The path of this program is not known.
    #[error("cannot tell where this program is: {source}")]
    Unlocatable {
        /// The reason.
        source: std::io::Error,
    },
    /// It could not be built.
    #[error("`cargo build` of {package} failed{details}")]
    Build {
        /// The package.
        package: &'static str,
        /// The reason, as it follows the message.
        details: String,
    },
}

/// The program at `named`, or else the one beside this program. If this program runs through cargo, the other is built
/// first where it is not up to date, as `cargo run` builds only one program.
///
/// # Errors
/// If it does not exist or can't be built.
pub fn find(named: Option<&Path>) -> Result<PathBuf, ProgramError> {
    let path = match named {
        Some(named) => named.to_path_buf(),
        None => beside_this_program(PROGRAM)?.join(PROGRAM),
    };
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::Missing { path })
    }
}

/// The library that injects faults into the system calls of nodes. It is beside this program, and is built first as
/// `cache-router` is.
///
/// # Errors
/// If it does not exist or can't be built.
pub fn find_fault_injector() -> Result<PathBuf, ProgramError> {
    let path = beside_this_program(INJECTOR_PACKAGE)?.join(INJECTOR_LIBRARY);
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::MissingInjector { path })
    }
}

/// The folder of this program, where a package is built first if this program runs through cargo.
fn beside_this_program(package: &'static str) -> Result<PathBuf, ProgramError> {
    let this = std::env::current_exe().map_err(|source| ProgramError::Unlocatable { source })?;
    let folder = this.parent().unwrap_or(Path::new("."));
    // Test programs are one folder further down.
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

/// Builds a package in the workspace of a manifest's folder, with the profile and into the target folder of `folder`.
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
