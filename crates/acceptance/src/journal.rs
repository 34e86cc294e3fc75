//! The journal that the operators' bench leaves: its entries as far as the standing test needs them. Reads only.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Why there is no journal to judge by.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The folder is not there or can't be listed.
    #[error("no journal: cannot read {}: {source}; play a score first, the bench writes it", path.display())]
    Unreadable {
        /// The folder that was looked for.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
}

/// An entry: one run of the bench. What an older or a foreign entry does not hold stays empty.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Its name, as the bench prints it.
    pub id: String,
    /// When the run began and ended, in UTC; the end is empty where it was cut off.
    pub at: Vec<String>,
    /// What was run; `real-score` is a score on real nodes.
    pub cmd: String,
    /// The command's arguments.
    pub argv: Vec<String>,
    /// Whether it ran to its end.
    pub ok: bool,
    /// The deployment that was played.
    pub site: Option<String>,
    /// The days that were played, as `real:SITE:1:DAY,DAY[:quick]`.
    pub panel: Option<String>,
    /// What went wrong with the run itself.
    pub error: Option<String>,
    /// Whether the sources changed while it ran.
    pub edited_meanwhile: bool,
    /// Files of the decision module.
    pub policy: Vec<PlayedFile>,
    /// Files of the node.
    pub node: Vec<PlayedFile>,
    /// The figures of all days together; `real_score`, and `gate`, 1 where it passed.
    pub figures: BTreeMap<String, serde_json::Value>,
    /// The days.
    pub days: Option<Vec<Day>>,
    /// All sources, as a commit and the files that differed from it.
    pub tree: Option<Tree>,
}

/// A file as it was played.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(default)]
pub struct PlayedFile {
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
    pub rules: Option<BTreeMap<String, u64>>,
    /// What failed in the gate, if anything.
    pub gate: Option<String>,
    /// A crash, a refusal to start or a limit that was passed.
    pub fault: Option<String>,
}

/// The sources of a run.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Tree {
    /// The commit that the files below differ from.
    pub base: String,
    /// Files that differ.
    pub files: Vec<PlayedFile>,
    /// Files of the commit that were not there.
    pub gone: Vec<String>,
}

/// The entries that could be read, oldest first, and a line for each that could not.
#[derive(Debug, Default)]
pub struct Journal {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Which files were passed over, and why.
    pub skipped: Vec<String>,
}

impl Journal {
    /// Reads all entries of a folder. One that is cut off or no entry is passed over and named.
    ///
    /// # Errors
    /// Where the folder can't be listed.
    pub fn read(folder: &Path) -> Result<Journal, JournalError> {
        let unreadable = |source| JournalError::Unreadable {
            path: folder.into(),
            source,
        };
        let mut journal = Journal::default();
        let mut paths = Vec::new();
        for file in std::fs::read_dir(folder).map_err(unreadable)? {
            paths.push(file.map_err(unreadable)?.path());
        }
        paths.retain(|path| path.extension().is_some_and(|e| e == "json"));
        paths.sort();
        for path in paths {
            let text = std::fs::read(&path).map_err(|e| e.to_string());
            match text.and_then(|text| serde_json::from_slice(&text).map_err(|e| e.to_string())) {
                Ok(entry) => journal.entries.push(entry),
                Err(e) => journal
                    .skipped
                    .push(format!("{}: no whole entry: {e}", path.display())),
            }
        }
        journal
            .entries
            .sort_by(|a, b| (a.at.first(), &a.id).cmp(&(b.at.first(), &b.id)));
        Ok(journal)
    }
}
