//! The router in service, between clients on one side and cache servers, the origin and discovery on the other.

use std::process::ExitCode;

use cache_router::startup;
use router_config::logging;

/// The exit code of a router that could not start.
const CANNOT_START: u8 = 2;

fn main() -> ExitCode {
    match startup::run() {
        Ok(()) => ExitCode::SUCCESS,
        // One line, whatever the level of the log is.
        Err(error) => {
            let line = format!("cache-router: {error}\n");
            logging::standard_error().push(line.into_bytes());
            logging::standard_error().flush();
            ExitCode::from(CANNOT_START)
        }
    }
}
