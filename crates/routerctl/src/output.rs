//! Standard output of all commands. Unlike `println!`, which panics, a failed write is an error of the command.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Why the output of a command did not reach its reader.
#[derive(Debug, thiserror::Error)]
#[error("cannot write the output: {0}: write it elsewhere, then run the same command again")]
pub struct OutputError(#[from] std::io::Error);

impl OutputError {
    /// Whether the reader has gone, as `head` does once it has enough. Nobody is left to be told.
    pub fn reader_is_gone(&self) -> bool {
        self.0.kind() == ErrorKind::BrokenPipe
    }
}

/// Prints a text. It has left this process when this returns.
pub fn print(text: Arguments<'_>) -> Result<(), OutputError> {
    let mut output = std::io::stdout().lock();
    output.write_fmt(text)?;
    Ok(output.flush()?)
}

/// Prints a line.
pub fn print_line(line: Arguments<'_>) -> Result<(), OutputError> {
    print(format_args!("{line}\n"))
}

/// Prints a line for the user on standard error. Where that fails, nobody can be told.
pub fn print_notice(line: Arguments<'_>) {
    drop(writeln!(std::io::stderr(), "routerctl: {line}"));
}
