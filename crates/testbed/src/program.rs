//! Where the `cache-router` program is that a play on sockets starts.

use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Why there is no program to start.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// It is not there.
    #[error("no program at {}: build it with `cargo build --release`, or name another", .0.display())]
    Missing(PathBuf),
    /// This program's own place is not known.
    #[error("cannot tell where this program is: {0}")]
    Lost(std::io::Error),
    /// It could not be built.
    #[error("`cargo build` of cache-router failed{0}")]
    Build(String),
}

/// The program named, or else the one beside this program. Run through cargo, that one is built first where it is not
/// up to date, as `cargo run` builds the command line only.
///
/// # Errors
/// Where it is not there or can't be built.
pub fn find(named: Option<&Path>) -> Result<PathBuf, ProgramError> {
    let program = match named {
        Some(named) => named.to_path_buf(),
        None => {
            let me = std::env::current_exe().map_err(ProgramError::Lost)?;
            let folder = me.parent().unwrap_or(Path::new("."));
            // Tests are a folder further down.
            let folder = if folder.ends_with("deps") {
                folder.parent().unwrap_or(folder)
            } else {
                folder
            };
            if let (Some(cargo), Some(manifest)) = (
                std::env::var_os("CARGO"),
                std::env::var_os("CARGO_MANIFEST_DIR"),
            ) {
                build(&cargo, Path::new(&manifest), folder)?;
            }
            folder.join("cache-router")
        }
    };
    if program.is_file() {
        Ok(program)
    } else {
        Err(ProgramError::Missing(program))
    }
}

/// Builds it in the workspace that a manifest's folder belongs to, with the profile that a folder is for.
fn build(cargo: &OsStr, manifest: &Path, folder: &Path) -> Result<(), ProgramError> {
    let Some(root) = manifest
        .ancestors()
        .find(|root| root.join("crates/cache-router").is_dir())
    else {
        return Ok(());
    };
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "--locked", "--package", "cache-router"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    if let Some(target) = folder.parent() {
        build.arg("--target-dir").arg(target);
    }
    let status = build.current_dir(root).stdin(Stdio::null()).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(ProgramError::Build(format!(": {status}"))),
        Err(e) => Err(ProgramError::Build(format!(": {e}"))),
    }
}
