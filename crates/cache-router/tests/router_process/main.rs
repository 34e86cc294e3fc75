//! The router as a process, over loopback sockets: one test for each failure that must not happen.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod configuration;
mod connection_limits;
mod endpoint_lists;
mod final_replies;
mod log;
mod production;
mod requests;
mod server_failures;
mod shutdown;
mod start;
mod support;
mod trace_lines;
