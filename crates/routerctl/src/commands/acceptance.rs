//! `routerctl acceptance`: checks whether the fleet test was run and passed on the current sources.

use std::path::PathBuf;

use acceptance::check::Verdict;
use acceptance::journal::Journal;
use acceptance::sources::Sources;
use clap::Args;

use crate::outcome::{CommandResult, Outcome};
use crate::output::{print_line, print_notice};

#[derive(Args)]
#[command(after_help = "Example:\n  routerctl acceptance")]
pub struct Arguments {
    /// Root of the repository
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Folder of the journal [default: `journal` in the root]
    #[arg(long)]
    journal: Option<PathBuf>,
}

pub fn run(arguments: &Arguments) -> CommandResult {
    let sources = Sources::read(&arguments.root)?;
    let journal = match &arguments.journal {
        Some(folder) => Journal::read(folder)?,
        None => Journal::read(&arguments.root.join("journal"))?,
    };
    for skipped in &journal.skipped {
        print_notice(format_args!("skipped {skipped}"));
    }
    let verdict = Verdict::of(&journal, &sources);
    print_line(format_args!("{verdict}"))?;
    Ok(Outcome::passed_if(verdict.passed()))
}
