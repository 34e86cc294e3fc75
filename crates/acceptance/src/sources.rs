//! Which sources a score was played on, held against those in the working tree. Reads only.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::journal::{Entry, PlayedFile};

/// Why the sources as they are now can't be told.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// A file or folder can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The deploy file is no TOML or lacks a key.
    #[error("{} does not name the sources: {message}", path.display())]
    Deploy {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        message: String,
    },
}

/// The keys of the deploy file that name sources.
#[derive(Deserialize)]
struct Deploy {
    policy: Vec<String>,
    node: Vec<String>,
}

/// What the policy is made of, the files that the deploy file names as such included.
const POLICY_CRATE: &str = "crates/routing-policy/src";

/// The sources in the working tree that decide how a node acts.
#[derive(Debug)]
pub struct Sources {
    root: PathBuf,
    policy: Vec<PlayedFile>,
    node: Vec<PlayedFile>,
    /// What the module is made of besides the policy files.
    rest: Vec<PlayedFile>,
}

/// How the sources of an entry compare with these.
#[derive(Debug, PartialEq, Eq)]
pub enum Match {
    /// They are the same.
    Same,
    /// They differ.
    Differ,
    /// Those listed are the same, but the commit that holds the others is not in this repository.
    Unknown,
}

impl Sources {
    /// Reads them from the root of a repository.
    ///
    /// # Errors
    /// Where the deploy file or a file that it names can't be read.
    pub fn read(root: &Path) -> Result<Sources, SourceError> {
        let path = root.join("deploy/balancer.toml");
        let text = std::fs::read_to_string(&path).map_err(|source| SourceError::Unreadable {
            path: path.clone(),
            source,
        })?;
        let deploy: Deploy = toml::from_str(&text).map_err(|e| SourceError::Deploy {
            path,
            message: e.to_string(),
        })?;
        let policy = hashed(root, &deploy.policy)?;
        let node = hashed(root, &deploy.node)?;
        let mut rest = hashed(root, &[POLICY_CRATE.to_string()])?;
        let listed: BTreeSet<_> = policy.iter().chain(&node).map(|f| f.path.clone()).collect();
        rest.retain(|f| !listed.contains(&f.path));
        Ok(Sources {
            root: root.into(),
            policy,
            node,
            rest,
        })
    }

    /// Whether an entry was played on these, or on their network code at the least.
    pub fn compare(&self, entry: &Entry, network_only: bool) -> Match {
        let sorted = |files: &[PlayedFile]| files.iter().cloned().collect::<BTreeSet<_>>();
        if sorted(&entry.node) != sorted(&self.node) {
            return Match::Differ;
        }
        if network_only {
            return Match::Same;
        }
        if sorted(&entry.policy) != sorted(&self.policy) {
            return Match::Differ;
        }
        let Some(tree) = &entry.tree else {
            return Match::Unknown;
        };
        for file in &self.rest {
            if tree.gone.contains(&file.path) {
                return Match::Differ;
            }
            let played = match tree.files.iter().find(|played| played.path == file.path) {
                Some(played) => Some(played.sha256.clone()),
                None => match self.committed(&tree.base, &file.path) {
                    Ok(sha256) => sha256,
                    Err(()) => return Match::Unknown,
                },
            };
            if played.as_ref() != Some(&file.sha256) {
                return Match::Differ;
            }
        }
        Match::Same
    }

    /// Hash of a file in a commit, `None` where the commit has no such file; an error where there is no commit.
    fn committed(&self, commit: &str, path: &str) -> Result<Option<String>, ()> {
        // The name goes to another program: nothing but a commit's hash does.
        if commit.is_empty() || !commit.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(());
        }
        let git = |arguments: [&str; 3]| {
            let mut call = Command::new("git");
            call.arg("-C")
                .arg(&self.root)
                .args(arguments)
                .stderr(Stdio::null());
            call.output().map_err(drop)
        };
        if !git(["cat-file", "-e", &format!("{commit}^{{commit}}")])?
            .status
            .success()
        {
            return Err(());
        }
        let blob = git(["cat-file", "blob", &format!("{commit}:{path}")])?;
        Ok(blob.status.success().then(|| sha256(&blob.stdout)))
    }
}

/// The files under some paths, folders read through, with their hashes.
fn hashed(root: &Path, paths: &[String]) -> Result<Vec<PlayedFile>, SourceError> {
    let mut files = Vec::new();
    let mut open: Vec<PathBuf> = paths.iter().map(PathBuf::from).collect();
    while let Some(path) = open.pop() {
        let full = root.join(&path);
        let unreadable = |source| SourceError::Unreadable {
            path: full.clone(),
            source,
        };
        if full.is_dir() {
            for entry in std::fs::read_dir(&full).map_err(unreadable)? {
                open.push(path.join(entry.map_err(unreadable)?.file_name()));
            }
        } else {
            let sha256 = sha256(&std::fs::read(&full).map_err(unreadable)?);
            files.push(PlayedFile {
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
