//! Computes the margins of a run of the fleet test, which are its distances from the limits of the test's rules, from
//! the traces of its nodes. The rules limit the load on servers that are warming up, sends to servers that are
//! draining, the delay of notifications, lost requests, attempts for clients that had disconnected, the deadlines that
//! attempts state, and the time until restarted processes are ready.
//!
//! [`measure`] reads the logs of a run into a recording, evaluates the recording and returns [`Margins`]. Dependencies
//! follow that order: `process` fills the `recording`, the evaluation reads it, `report` and `table` print the
//! `findings`; `limits` and `findings` import none of the other modules.

mod availability;
mod capacity;
mod endpoint_list;
mod evaluation;
mod findings;
mod limits;
mod lost_requests;
mod notification;
mod process;
mod readiness;
mod recording;
mod report;
mod slow_start;
mod table;

use std::io::BufRead;
use std::path::{Path, PathBuf};

pub use self::findings::{
    AnswerLateness, AttemptAfterDisconnect, AttemptKind, Capacity, ClientDisconnects,
    DiscoveryCalls, LostRequests, MalformedLines, Margins, MissingData, Notification,
    NotificationDelay, Readiness, ReadinessDelay, SendAfterDrain, SlowStart, SlowStartWindow,
    StatedDeadline, StatedDeadlines,
};
use self::process::ProcessRecorder;
use self::recording::Recording;
pub use self::table::{LEGEND, TABLE_HEADER};

/// Why the margins of a run cannot be computed.
#[derive(Debug, thiserror::Error)]
pub enum MarginsError {
    /// A file or folder cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Its path.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// None of the files contains a trace.
    #[error("no trace in {}: run the day with deploy/trace.toml and --logs", folder.display())]
    NoTrace {
        /// The folder of the run.
        folder: PathBuf,
    },
}

/// Measures the margins of a run whose logs are in a folder, one file for each node.
///
/// # Errors
/// If a log cannot be read or no log contains a trace.
pub fn measure(folder: &Path) -> Result<Margins, MarginsError> {
    let mut recording = Recording::default();
    for path in log_paths(folder)? {
        read_log(&path, &mut recording).map_err(|source| MarginsError::Unreadable {
            path: path.clone(),
            source,
        })?;
    }
    recording.sort();
    match recording.parameters {
        Some(parameters) => Ok(evaluation::evaluate(recording, parameters)),
        None => Err(MarginsError::NoTrace {
            folder: folder.into(),
        }),
    }
}

/// The files of a folder, sorted by name.
fn log_paths(folder: &Path) -> Result<Vec<PathBuf>, MarginsError> {
    let unreadable = |source| MarginsError::Unreadable {
        path: folder.into(),
        source,
    };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable)? {
        paths.push(entry.map_err(unreadable)?.path());
    }
    paths.retain(|path| path.is_file());
    paths.sort();
    Ok(paths)
}

fn read_log(path: &Path, recording: &mut Recording) -> std::io::Result<()> {
    let mut reader = std::io::BufReader::new(std::fs::File::open(path)?);
    let mut process = ProcessRecorder::default();
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line)? > 0 {
        process.read_line(&String::from_utf8_lossy(&line), recording);
        line.clear();
    }
    Ok(())
}
