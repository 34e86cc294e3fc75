//! The result of a command: its exit code, and the errors that the user can fix.

use std::path::PathBuf;
use std::process::ExitCode;

use acceptance::journal::JournalError;
use acceptance::margins::MarginsError;
use acceptance::sources::SourceError;
use router_config::ConfigError;
use tempfile::TempDir;
use testbed::atomic_file::{WriteError, remedy};
use testbed::experiment::ExperimentError;
use testbed::fault_matrix::MatrixError;
use testbed::program::ProgramError;
use testbed::sockets::SocketError;

use crate::output::OutputError;

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The check or run passed.
    Passed,
    /// The check or run failed.
    Failed,
}

impl Outcome {
    /// `Passed` if the condition is true, otherwise `Failed`.
    pub fn passed_if(condition: bool) -> Outcome {
        if condition {
            Outcome::Passed
        } else {
            Outcome::Failed
        }
    }

    /// The exit code for this outcome.
    pub fn exit_code(self) -> ExitCode {
        match self {
            Outcome::Passed => ExitCode::SUCCESS,
            Outcome::Failed => ExitCode::FAILURE,
        }
    }
}

/// Why a command has no outcome: it was used incorrectly, or an input cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A configuration or scenario cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The sources of the repository cannot be read.
    #[error(transparent)]
    Sources(#[from] SourceError),
    /// The journal cannot be read.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The traces of a run cannot be read.
    #[error(transparent)]
    Margins(#[from] MarginsError),
    /// An experiment cannot be run or its results cannot be read.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// A fault matrix was not completed.
    #[error(transparent)]
    FaultMatrix(#[from] MatrixError),
    /// The `cache-router` program is missing.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// A run on sockets is not possible or was interrupted.
    #[error(transparent)]
    Sockets(#[from] SocketError),
    /// The configuration cannot be printed as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// The operating system refused something.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// Standard output cannot be written.
    #[error(transparent)]
    Output(#[from] OutputError),
    /// A file cannot be written.
    #[error("cannot write {0}")]
    Write(#[from] WriteError),
    /// The folder for the files of a run cannot be created.
    #[error(
        "cannot create a temporary folder: {source}: free space there or set TMPDIR to another folder"
    )]
    TemporaryFolder {
        /// The operating system's error, which names the folder.
        source: std::io::Error,
    },
    /// A folder cannot be created.
    #[error("cannot create {}: {source}: {}", path.display(), remedy(source))]
    CreateFolder {
        /// Path of the folder.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Options for a run on sockets were given for a run in virtual time.
    #[error("--node and --logs go with --sockets")]
    SocketOptionsInVirtualTime,
    /// Only one fleet size was given, so there is nothing to compare.
    #[error("--servers takes two numbers or more, such as 24,384")]
    TooFewSizes,
    /// There is no address to send the load to.
    #[error("there is no address to send the load to")]
    NoTarget,
}

impl CommandError {
    /// Whether the only error is that the reader of standard output closed its end.
    pub fn is_reader_closed(&self) -> bool {
        matches!(self, CommandError::Output(error) if error.is_reader_closed())
    }
}

/// Creates a temporary folder for the files of one run.
pub fn temporary_folder() -> Result<TempDir, CommandError> {
    tempfile::tempdir().map_err(|source| CommandError::TemporaryFolder { source })
}

/// The result of a command.
pub type CommandResult = Result<Outcome, CommandError>;
