//! The simulator's adapter as a program: batches on standard input, replies on standard output.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match simulator_adapter::serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
