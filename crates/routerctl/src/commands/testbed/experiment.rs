//! `routerctl testbed experiment`: the runs of an experiment, and a report on them.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use clap::Args;
use testbed::experiment::{self, CompletedRun, Experiment, Run};

use super::report;
use crate::outcome::CommandResult;
use crate::output::{OutputError, print_line, print_notice};

#[derive(Args)]
#[command(
    after_help = "Example:\n  routerctl testbed experiment crates/testbed/experiments/retries.toml --out target/retries"
)]
pub struct Arguments {
    /// The experiment, TOML (docs/TESTBED.md)
    file: PathBuf,
    /// Folder of its results; an experiment that was interrupted is resumed
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Threads for runs in virtual time [default: one for each core]
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
    threads: Option<u16>,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let experiment = Experiment::read(&arguments.file)?;
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = arguments.threads.map_or(cores, usize::from);
    let stop = Arc::new(AtomicBool::new(false));
    set_on_interrupt(stop.clone())?;
    for path in experiment::incomplete_reports(&experiment, &arguments.out)? {
        print_notice(format_args!(
            "{} holds no complete report: its run is repeated",
            path.display()
        ));
    }
    let mut printed = Ok(());
    let result = experiment::run(&experiment, &arguments.out, threads, &stop, |step| {
        if printed.is_ok() {
            printed = print_step(step);
        }
        if printed.is_err() {
            stop.store(true, Ordering::Relaxed);
        }
    });
    printed?;
    result?;
    report::print(&arguments.out)
}

fn print_step(step: &CompletedRun) -> Result<(), OutputError> {
    let Run {
        scenario,
        seed,
        variant,
    } = &step.run;
    let (completed, all) = (step.done, step.total);
    print_line(format_args!(
        "{completed:>4} of {all}  {scenario}, seed {seed}, {variant}: service {:.4}",
        step.service
    ))
}

/// Sets a flag at the first Ctrl-C.
fn set_on_interrupt(flag: Arc<AtomicBool>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // The thread ends with the process: there is nothing to wait for.
    std::thread::spawn(move || {
        // Where signals cannot be received, an experiment is stopped as if by one.
        drop(runtime.block_on(tokio::signal::ctrl_c()));
        flag.store(true, Ordering::Relaxed);
    });
    Ok(())
}
