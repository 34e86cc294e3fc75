//! Builds the node program of a commit in a separate Git work tree.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::atomic_file::copy_program;
use crate::program::ProgramError;

/// Name of the router's binary.
const BINARY: &str = "cache-router";
/// Name of the binary in commits that do not have the folder `crates/cache-router`.
const EARLIER_BINARY: &str = "spardeal-node";
/// Subfolder of an experiment's folder for builds.
const BUILDS: &str = "builds";

/// Builds the node program of a commit, unless `folder` contains it from an earlier build. Returns its path.
pub(super) fn build(commit: &str, folder: &Path) -> Result<PathBuf, ProgramError> {
    let build = CommitBuild { commit };
    let hash = build.resolve()?;
    // Cargo runs in the work tree, where a relative path would refer to a different folder.
    let folder = folder.canonicalize().map_err(|e| build.failed(&e))?;
    let builds = folder.join(BUILDS);
    let program = builds.join(format!("{hash}-{BINARY}"));
    if program.is_file() {
        return Ok(program);
    }
    std::fs::create_dir_all(&builds).map_err(|e| build.failed(&e))?;
    let tree = builds.join(&hash);
    build.add_work_tree(&tree, &hash)?;
    let built = build.compile(&tree, &builds.join("target"), &program);
    // If the work tree can't be removed now, the next build of the commit removes it.
    let _ = build.output(
        Command::new("git")
            .args(["worktree", "remove", "--force"])
            .arg(&tree),
    );
    built.map(|()| program)
}

struct CommitBuild<'a> {
    /// The commit, as the experiment names it.
    commit: &'a str,
}

impl CommitBuild<'_> {
    fn failed(&self, reason: &dyn std::fmt::Display) -> ProgramError {
        ProgramError::Build {
            package: "cache-router",
            details: format!(" at {}: {reason}", self.commit),
        }
    }

    /// Runs a command and returns its output. An error has the last line that the command wrote to standard error.
    fn output(&self, command: &mut Command) -> Result<Vec<u8>, ProgramError> {
        let output = command
            .stdin(Stdio::null())
            .output()
            .map_err(|e| self.failed(&e))?;
        if output.status.success() {
            return Ok(output.stdout);
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        Err(self.failed(&errors.lines().last().unwrap_or("no reason given")))
    }

    /// The hash of the commit.
    fn resolve(&self) -> Result<String, ProgramError> {
        let hash = self.output(
            Command::new("git")
                .args(["rev-parse", "--verify", "--quiet", "--end-of-options"])
                .arg(format!("{}^{{commit}}", self.commit)),
        )?;
        Ok(String::from_utf8_lossy(&hash).trim().to_string())
    }

    fn add_work_tree(&self, tree: &Path, hash: &str) -> Result<(), ProgramError> {
        // A work tree left by an interrupted build may be incomplete.
        let _ = std::fs::remove_dir_all(tree);
        self.output(Command::new("git").args(["worktree", "prune"]))?;
        self.output(
            Command::new("git")
                .args(["worktree", "add", "--detach", "--force"])
                .arg(tree)
                .arg(hash),
        )?;
        Ok(())
    }

    /// Compiles the program of a work tree into a target folder, and copies it to `program`.
    fn compile(&self, tree: &Path, target: &Path, program: &Path) -> Result<(), ProgramError> {
        let binary = if tree.join("crates/cache-router").is_dir() {
            BINARY
        } else {
            EARLIER_BINARY
        };
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut command = Command::new(cargo);
        command
            .args(["build", "--release", "--locked", "--bin", binary])
            .arg("--target-dir")
            .arg(target)
            .current_dir(tree);
        self.output(&mut command)?;
        let compiled = target.join("release").join(binary);
        // The copy is atomic: a later run must not use an incomplete file as the build of this commit.
        copy_program(&compiled, program).map_err(|e| self.failed(&e))
    }
}
