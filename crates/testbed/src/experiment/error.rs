//! The errors of experiments.

use std::path::{Path, PathBuf};

use router_config::ConfigError;

use crate::atomic_file::{WriteError, remedy};
use crate::program::ProgramError;
use crate::sockets::SocketError;

/// Why an experiment is not valid, or did not finish.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file or a scenario is not valid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A scenario is not valid with the values of a variant.
    #[error("variant {variant}: {source}")]
    Variant {
        /// Name of the variant.
        variant: String,
        /// The reason.
        source: ConfigError,
    },
    /// A node program does not exist or can't be built.
    #[error("variant {variant}: {source}")]
    Program {
        /// Name of the variant.
        variant: String,
        /// The reason.
        source: ProgramError,
    },
    /// A run failed.
    #[error("{run}: {source}")]
    Run {
        /// Description of the run.
        run: String,
        /// The reason.
        source: SocketError,
    },
    /// A file can't be written.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// The report of a run can't be saved.
    #[error("{source}; {done} of {total} runs are kept, run the same command again to continue")]
    ReportNotSaved {
        /// Number of runs that are kept.
        done: usize,
        /// Number of all runs.
        total: usize,
        /// What failed.
        source: WriteError,
    },
    /// A file or folder of the results can't be read or created.
    #[error("{}: {source}: {}", path.display(), remedy(source))]
    File {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The folder holds results of another experiment.
    #[error("{} holds results of another experiment: name another folder", .folder.display())]
    AnotherExperiment {
        /// The folder.
        folder: PathBuf,
    },
    /// The experiment was interrupted. Completed runs are kept.
    #[error("interrupted: {done} of {total} runs are kept, run the same command again to continue")]
    Interrupted {
        /// Number of completed runs.
        done: usize,
        /// Number of all runs.
        total: usize,
    },
}

impl ExperimentError {
    /// Creates an error about a file from its cause.
    pub(crate) fn file(path: &Path) -> impl FnOnce(std::io::Error) -> ExperimentError + use<> {
        let path = path.to_path_buf();
        move |source| ExperimentError::File { path, source }
    }
}
