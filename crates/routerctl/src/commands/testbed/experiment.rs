//! `routerctl testbed experiment`: runs an experiment and prints a report on it.

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
    /// Experiment file, in TOML (docs/TESTBED.md)
    file: PathBuf,
    /// Folder for the results; an interrupted experiment is resumed
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Number of threads for runs in virtual time [default: one per core]
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
        step.service_level
    ))
}

/// Sets a flag at the first Ctrl-C.
fn set_on_interrupt(flag: Arc<AtomicBool>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // The thread ends with the process, so it is not joined.
    std::thread::spawn(move || {
        // If signals cannot be received, the flag is set at once and the experiment stops.
        drop(runtime.block_on(tokio::signal::ctrl_c()));
        flag.store(true, Ordering::Relaxed);
    });
    Ok(())
}
