//! The router program. It serves clients, and forwards their requests to cache servers and the origin that discovery
//! lists.

use std::process::ExitCode;

use cache_router::startup;
use router_config::logging;

/// The exit code of a router that could not start.
const CANNOT_START: u8 = 2;

fn main() -> ExitCode {
    match startup::run() {
        Ok(()) => ExitCode::SUCCESS,
        // Printed as one line at any log level.
        Err(error) => {
            let line = format!("cache-router: {error}\n");
            logging::standard_error().push(line.into_bytes());
            logging::standard_error().flush();
            ExitCode::from(CANNOT_START)
        }
    }
}
