//! `routerctl margins`: measures how far runs of the fleet test stayed from the limits of the test's rules.

use std::path::PathBuf;

use acceptance::margins;
use clap::Args;

use crate::outcome::{CommandResult, Outcome};
use crate::output::{print, print_line};

#[derive(Args)]
#[command(after_help = "Example:\n  routerctl margins logs/join-11 logs/zone-11")]
pub struct Arguments {
    /// Log folders, one for each run; the table shows a run under the name of its folder
    #[arg(required = true, value_name = "RUNS")]
    runs: Vec<PathBuf>,
    /// Print only the table
    #[arg(long)]
    table: bool,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let mut table = String::from(margins::TABLE_HEADER);
    let mut any_narrow = false;
    for folder in &arguments.runs {
        let name = folder
            .file_name()
            .unwrap_or(folder.as_os_str())
            .to_string_lossy();
        let margins = margins::measure(folder)?;
        if !arguments.table {
            print_line(format_args!("{name}\n{margins}"))?;
        }
        any_narrow |= margins.is_narrow();
        table += &margins.table(&name);
    }
    print(format_args!("{table}"))?;
    if !arguments.table {
        print(format_args!("\n{}", margins::LEGEND))?;
    }
    Ok(Outcome::passed_if(!any_narrow))
}
