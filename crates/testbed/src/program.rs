//! Finds the `cache-router` program that a run on sockets starts.

use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Name of the program.
const PROGRAM: &str = "cache-router";

/// Why there is no program to start.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// It does not exist.
    #[error("no program at {}: build it with `cargo build --release`, or name another", .path.display())]
    Missing {
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
    #[error("`cargo build` of cache-router failed{details}")]
    Build {
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
        None => beside_this_program()?,
    };
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::Missing { path })
    }
}

fn beside_this_program() -> Result<PathBuf, ProgramError> {
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
        build(&cargo, Path::new(&manifest), folder)?;
    }
    Ok(folder.join(PROGRAM))
}

/// Builds the program in the workspace of a manifest's folder, with the profile and into the target folder of `folder`.
fn build(cargo: &OsStr, manifest: &Path, folder: &Path) -> Result<(), ProgramError> {
    let Some(root) = manifest
        .ancestors()
        .find(|root| root.join("crates/cache-router").is_dir())
    else {
        return Ok(());
    };
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--locked", "--package", PROGRAM]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    if let Some(target) = folder.parent() {
        build.arg("--target-dir").arg(target);
    }
    let failed = |reason: &dyn std::fmt::Display| ProgramError::Build {
        details: format!(": {reason}"),
    };
    match build.current_dir(root).stdin(Stdio::null()).status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(failed(&status)),
        Err(e) => Err(failed(&e)),
    }
}
