//! Hashes the sources in the working tree and compares them with the sources of a run of the fleet test.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::journal::{Entry, SourceFile, SourceTree};

/// Why the sources in the working tree cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// A file or folder cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Its path.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The deploy file is not TOML or lacks a key.
    #[error("{} does not name the sources: {message}", path.display())]
    InvalidDeployFile {
        /// Path of the deploy file.
        path: PathBuf,
        /// What is wrong, and where.
        message: String,
    },
}

/// The keys of the deploy file that name sources.
#[derive(Deserialize)]
struct DeployFile {
    policy: Vec<String>,
    node: Vec<String>,
}

/// The deploy file, from the root of the repository.
const DEPLOY_FILE: &str = "deploy/balancer.toml";
/// Folder of all sources of the policy, including the files that the deploy file lists.
const POLICY_SOURCES: &str = "crates/routing-policy/src";

/// The sources in the working tree that determine the behaviour of a node.
#[derive(Debug)]
pub struct Sources {
    root: PathBuf,
    policy_files: Vec<SourceFile>,
    node_files: Vec<SourceFile>,
    /// Sources of the policy that the deploy file does not list.
    other_policy_files: Vec<SourceFile>,
}

/// How the sources of a run compare with those in the working tree.
#[derive(Debug, PartialEq, Eq)]
pub enum Match {
    /// They are the same.
    Same,
    /// They differ.
    Differ,
    /// The listed files are the same, but the commit with the other files is not in this repository.
    Unknown,
}

impl Sources {
    /// Reads and hashes the sources.
    ///
    /// `root` is the root of the repository.
    ///
    /// # Errors
    /// If the deploy file or a file that it lists cannot be read.
    pub fn read(root: &Path) -> Result<Sources, SourceError> {
        let path = root.join(DEPLOY_FILE);
        let text = std::fs::read_to_string(&path).map_err(|source| SourceError::Unreadable {
            path: path.clone(),
            source,
        })?;
        let deploy: DeployFile =
            toml::from_str(&text).map_err(|error| SourceError::InvalidDeployFile {
                path,
                message: error.to_string(),
            })?;
        let policy_files = hash_files(root, &deploy.policy)?;
        let node_files = hash_files(root, &deploy.node)?;
        let mut other_policy_files = hash_files(root, &[POLICY_SOURCES.to_string()])?;
        let listed: BTreeSet<&str> = policy_files
            .iter()
            .chain(&node_files)
            .map(|file| file.path.as_str())
            .collect();
        other_policy_files.retain(|file| !listed.contains(file.path.as_str()));
        Ok(Sources {
            root: root.into(),
            policy_files,
            node_files,
            other_policy_files,
        })
    }

    /// Compares the sources of a run with these, either all of them or only the network code.
    pub fn compare(&self, entry: &Entry, network_code_only: bool) -> Match {
        if !same_files(&entry.node_files, &self.node_files) {
            return Match::Differ;
        }
        if network_code_only {
            return Match::Same;
        }
        if !same_files(&entry.policy_files, &self.policy_files) {
            return Match::Differ;
        }
        match &entry.source_tree {
            Some(tree) => self.compare_other_policy_files(tree),
            None => Match::Unknown,
        }
    }

    fn compare_other_policy_files(&self, tree: &SourceTree) -> Match {
        for file in &self.other_policy_files {
            if tree.removed.contains(&file.path) {
                return Match::Differ;
            }
            let changed = tree.files.iter().find(|changed| changed.path == file.path);
            let sha256 = match changed {
                Some(changed) => Some(changed.sha256.clone()),
                None => match self.committed_sha256(&tree.base_commit, &file.path) {
                    Ok(sha256) => sha256,
                    Err(UnknownCommit) => return Match::Unknown,
                },
            };
            if sha256.as_ref() != Some(&file.sha256) {
                return Match::Differ;
            }
        }
        Match::Same
    }

    /// SHA-256 of a file in a commit; `None` if the commit has no such file.
    fn committed_sha256(&self, commit: &str, path: &str) -> Result<Option<String>, UnknownCommit> {
        // The text is passed to git as an argument, so only hexadecimal digits are accepted.
        if commit.is_empty() || !commit.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(UnknownCommit);
        }
        let exists = self.git(["cat-file", "-e", &format!("{commit}^{{commit}}")])?;
        if !exists.status.success() {
            return Err(UnknownCommit);
        }
        let blob = self.git(["cat-file", "blob", &format!("{commit}:{path}")])?;
        Ok(blob.status.success().then(|| sha256(&blob.stdout)))
    }

    fn git(&self, arguments: [&str; 3]) -> Result<Output, UnknownCommit> {
        Command::new("git")
            .arg("-C")
            .arg(&self.root)
            .args(arguments)
            .stderr(Stdio::null())
            .output()
            // Without git no commit can be looked up.
            .map_err(|_| UnknownCommit)
    }
}

/// The commit cannot be read in this repository.
struct UnknownCommit;

/// Whether two lists have the same files, in any order.
fn same_files(left: &[SourceFile], right: &[SourceFile]) -> bool {
    let left: BTreeSet<&SourceFile> = left.iter().collect();
    let right: BTreeSet<&SourceFile> = right.iter().collect();
    left == right
}

/// Hashes all files under the given paths, at any depth. The result is sorted by path.
fn hash_files(root: &Path, paths: &[String]) -> Result<Vec<SourceFile>, SourceError> {
    let mut files = Vec::new();
    let mut pending: Vec<PathBuf> = paths.iter().map(PathBuf::from).collect();
    while let Some(path) = pending.pop() {
        let full = root.join(&path);
        let unreadable = |source| SourceError::Unreadable {
            path: full.clone(),
            source,
        };
        if full.is_dir() {
            for entry in std::fs::read_dir(&full).map_err(unreadable)? {
                pending.push(path.join(entry.map_err(unreadable)?.file_name()));
            }
        } else {
            let sha256 = sha256(&std::fs::read(&full).map_err(unreadable)?);
            files.push(SourceFile {
                path: path.to_string_lossy().into_owned(),
                sha256,
            });
        }
    }
    files.sort();
    Ok(files)
}

fn sha256(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
