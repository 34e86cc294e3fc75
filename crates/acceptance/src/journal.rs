//! The journal that the operators' fleet test writes: its entries as far as the acceptance check needs them.
//!
//! The keys of an entry are the test's own; fields with another name here are mapped by `serde`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Why the journal cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The folder is missing or cannot be listed.
    #[error("no journal: cannot read {}: {source}; run a score of the fleet test first, which writes it", path.display())]
    Unreadable {
        /// The folder.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// An entry: one run of the fleet test. What an older or a foreign entry does not hold stays empty.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Its id, as the test prints it.
    pub id: String,
    /// When the run began and ended, in UTC; the end is empty where it was interrupted.
    #[serde(rename = "at")]
    pub times: Vec<String>,
    /// What was run; `real-score` is a score on real nodes.
    #[serde(rename = "cmd")]
    pub command: String,
    /// The command's arguments.
    #[serde(rename = "argv")]
    pub arguments: Vec<String>,
    /// Whether it ran to its end.
    #[serde(rename = "ok")]
    pub completed: bool,
    /// Name of the deployment that was under test.
    #[serde(rename = "site")]
    pub deployment: Option<String>,
    /// The days that were run, as `real:SITE:1:DAY,DAY[:quick]`.
    pub panel: Option<String>,
    /// What went wrong with the run itself.
    pub error: Option<String>,
    /// Whether the sources changed while it ran.
    pub edited_meanwhile: bool,
    /// Files of the policy.
    #[serde(rename = "policy")]
    pub policy_files: Vec<SourceFile>,
    /// Files of the node.
    #[serde(rename = "node")]
    pub node_files: Vec<SourceFile>,
    /// The metrics of all days together; `real_score`, and `gate`, 1 where it passed.
    #[serde(rename = "figures")]
    pub metrics: BTreeMap<String, serde_json::Value>,
    /// The days.
    pub days: Option<Vec<Day>>,
    /// All sources, as a commit and the files that differed from it.
    #[serde(rename = "tree")]
    pub source_tree: Option<SourceTree>,
}

/// A source file as it was when a run began.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(default)]
pub struct SourceFile {
    /// From the root of the repository.
    pub path: String,
    /// SHA-256 of its bytes, in hexadecimal.
    pub sha256: String,
}

/// A day of a score.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// How often each rule was broken.
    #[serde(rename = "rules")]
    pub rule_violations: Option<BTreeMap<String, u64>>,
    /// The part of the gate that failed, if one did.
    #[serde(rename = "gate")]
    pub failed_gate: Option<String>,
    /// A crash, a node that did not start or a limit that was exceeded.
    #[serde(rename = "fault")]
    pub failure: Option<String>,
}

/// The sources of a run.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct SourceTree {
    /// The commit that the files below differ from.
    #[serde(rename = "base")]
    pub base_commit: String,
    /// Files that differ.
    pub files: Vec<SourceFile>,
    /// Paths of the commit's files that were not there.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
}

/// The entries that could be read, oldest first, and a line for each that could not.
#[derive(Debug, Default)]
pub struct Journal {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Which files were skipped, and why.
    pub skipped: Vec<String>,
}

impl Journal {
    /// Reads all entries of a folder. One that is incomplete or no entry at all is skipped and named.
    ///
    /// # Errors
    /// Where the folder cannot be listed.
    pub fn read(folder: &Path) -> Result<Journal, JournalError> {
        let mut journal = Journal::default();
        for path in entry_paths(folder)? {
            match read_entry(&path) {
                Ok(entry) => journal.entries.push(entry),
                Err(error) => journal
                    .skipped
                    .push(format!("{}: not a complete entry: {error}", path.display())),
            }
        }
        journal.entries.sort_by(|left, right| {
            (left.times.first(), &left.id).cmp(&(right.times.first(), &right.id))
        });
        Ok(journal)
    }
}

/// The files of a folder that may be entries, by name.
fn entry_paths(folder: &Path) -> Result<Vec<PathBuf>, JournalError> {
    let unreadable = |source| JournalError::Unreadable {
        path: folder.into(),
        source,
    };
    let mut paths = Vec::new();
    for file in std::fs::read_dir(folder).map_err(unreadable)? {
        paths.push(file.map_err(unreadable)?.path());
    }
    paths.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "json")
    });
    paths.sort();
    Ok(paths)
}

/// Why a file is no entry.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    #[error(transparent)]
    NotAnEntry(#[from] serde_json::Error),
}

fn read_entry(path: &Path) -> Result<Entry, EntryError> {
    let bytes = std::fs::read(path)?;
    Ok(serde_json::from_slice(&bytes)?)
}
