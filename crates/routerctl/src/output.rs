//! Standard output of all commands. A failed write is an error of the command, unlike with `println!`, which panics.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Why the output of a command could not be written.
#[derive(Debug, thiserror::Error)]
#[error("cannot write the output: {0}: write it elsewhere, then run the same command again")]
pub struct OutputError(#[from] std::io::Error);

impl OutputError {
    /// Whether the reader has closed its end, as `head` does after enough lines. No error is printed then.
    pub fn is_reader_closed(&self) -> bool {
        self.0.kind() == ErrorKind::BrokenPipe
    }
}

/// Prints a text and flushes standard output.
pub fn print(text: Arguments<'_>) -> Result<(), OutputError> {
    let mut output = std::io::stdout().lock();
    output.write_fmt(text)?;
    Ok(output.flush()?)
}

/// Prints a line.
pub fn print_line(line: Arguments<'_>) -> Result<(), OutputError> {
    print(format_args!("{line}\n"))
}

/// Prints a line for the user on standard error. A failure is ignored, since it cannot be reported anywhere.
pub fn print_notice(line: Arguments<'_>) {
    drop(writeln!(std::io::stderr(), "routerctl: {line}"));
}
