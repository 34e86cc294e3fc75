//! Runs a scenario on sockets with the nodes of this build, for several tests.

use std::path::Path;

use testbed::sockets::{Progress, RunOptions, SocketError, run};
use testbed::{Report, Scenario, program};

/// Runs a scenario until its end, or until `stop` completes. The nodes' configurations and logs are in `folder`.
pub fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    folder: &Path,
    stop: impl Future<Output = ()>,
    progress: impl FnMut(&Progress),
) -> Result<Report, SocketError> {
    let program = program::find(None).unwrap();
    let options = RunOptions {
        program: &program,
        folder,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(run(scenario, seed, &options, stop, progress))
}
