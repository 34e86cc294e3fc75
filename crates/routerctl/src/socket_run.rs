//! Runs scenarios in real time, with real nodes on sockets.

use std::path::{Path, PathBuf};

use clap::Args;
use testbed::sockets::{self, Progress, RunOptions};
use testbed::{Report, Scenario, program};

use crate::outcome::{CommandError, temporary_folder};
use crate::progress::ProgressDisplay;

/// Options of a run on sockets.
#[derive(Args)]
pub struct SocketOptions {
    /// Path of the cache-router program [default: the one next to this program]
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    /// Keep the configurations and logs of the nodes in this folder
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
}

impl SocketOptions {
    /// Whether any of the options is set.
    pub fn is_any_set(&self) -> bool {
        self.node.is_some() || self.logs.is_some()
    }
}

/// Runs a scenario on sockets and shows its progress. The run ends early on Ctrl-C or if the output can't be written.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    options: &SocketOptions,
) -> Result<Report, CommandError> {
    run_observed(scenario, seed, options, |_, _| ())
}

/// Like [`run`], and also calls `observe` with the progress and the folder of the nodes' configurations.
pub fn run_observed(
    scenario: &Scenario,
    seed: u64,
    options: &SocketOptions,
    mut observe: impl FnMut(&Progress, &Path),
) -> Result<Report, CommandError> {
    let program = program::find(options.node.as_deref())?;
    let temporary = temporary_folder()?;
    let folder = options.logs.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(folder).map_err(|source| CommandError::CreateFolder {
        path: folder.into(),
        source,
    })?;
    let run_options = RunOptions {
        program: &program,
        folder,
    };
    let display = ProgressDisplay::new(scenario);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let interrupted = async {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => (),
            () = display.failed() => (),
        }
    };
    let run = sockets::run(scenario, seed, &run_options, interrupted, |progress| {
        display.show(progress);
        observe(progress, folder);
    });
    let result = runtime.block_on(run);
    display.into_result()?;
    Ok(result?)
}
