//! Reads the journal that the operators' fleet test writes, limited to the fields that the acceptance check needs.
//!
//! The fleet test defines the JSON keys. Fields with a different Rust name are mapped by `serde`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Why the journal cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The folder is missing or cannot be listed.
    #[error("no journal: cannot read {}: {source}; run a score of the fleet test first to create it", path.display())]
    Unreadable {
        /// The folder.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// An entry, which describes one run of the fleet test. Fields that an older or foreign entry lacks stay empty.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Its id, as the test prints it.
    pub id: String,
    /// Start and end of the run, in UTC; the end is empty if the run was interrupted.
    #[serde(rename = "at")]
    pub times: Vec<String>,
    /// Command that was run; `real-score` runs a score on real nodes.
    #[serde(rename = "cmd")]
    pub command: String,
    /// Arguments of the command.
    #[serde(rename = "argv")]
    pub arguments: Vec<String>,
    /// Whether the run completed.
    #[serde(rename = "ok")]
    pub completed: bool,
    /// Name of the deployment under test.
    #[serde(rename = "site")]
    pub deployment: Option<String>,
    /// The days that were run, as `real:SITE:1:DAY,DAY[:quick]`. A day is one scenario of the fleet test.
    pub panel: Option<String>,
    /// Error of the run itself.
    pub error: Option<String>,
    /// Whether the sources changed while it ran.
    pub edited_meanwhile: bool,
    /// Files of the policy.
    #[serde(rename = "policy")]
    pub policy_files: Vec<SourceFile>,
    /// Files of the node.
    #[serde(rename = "node")]
    pub node_files: Vec<SourceFile>,
    /// Metrics over all days, among them `real_score`, and `gate`, which is 1 if the run passed the test's gate,
    /// its pass criteria.
    #[serde(rename = "figures")]
    pub metrics: BTreeMap<String, serde_json::Value>,
    /// Results of the days.
    pub days: Option<Vec<Day>>,
    /// All sources, as a commit and the files that differed from it.
    #[serde(rename = "tree")]
    pub source_tree: Option<SourceTree>,
}

/// A source file as it was when a run began.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(default)]
pub struct SourceFile {
    /// Path from the root of the repository.
    pub path: String,
    /// SHA-256 of its bytes, in hexadecimal.
    pub sha256: String,
}

/// Result of a day, which is one scenario of a score.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Number of violations of each rule.
    #[serde(rename = "rules")]
    pub rule_violations: Option<BTreeMap<String, u64>>,
    /// The part of the gate that the day failed, if any.
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
    /// The commit that `files` and `removed` are relative to.
    #[serde(rename = "base")]
    pub base_commit: String,
    /// Files that differ from the commit.
    pub files: Vec<SourceFile>,
    /// Paths of files of the commit that were missing.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
}

/// The entries that could be read, oldest first, and a message for each that could not.
#[derive(Debug, Default)]
pub struct Journal {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Which files were skipped, and why.
    pub skipped: Vec<String>,
}

impl Journal {
    /// Reads all entries of a folder. Files that are not complete entries are skipped and listed in `skipped`.
    ///
    /// # Errors
    /// If the folder cannot be listed.
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

/// The JSON files of a folder, sorted by name.
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

/// Why a file is not an entry.
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
