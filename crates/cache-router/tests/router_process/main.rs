//! Tests of the router as a process, over loopback sockets. Each test guards against one failure.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod bulk_clients;
mod closed_clients;
mod configuration;
mod connection_limits;
mod crowd;
mod endless_responses;
mod endpoint_lists;
mod final_replies;
mod log;
mod memory;
mod memory_limit;
mod memory_soak;
mod production;
mod requests;
mod server_failures;
mod shutdown;
mod start;
mod support;
mod trace_lines;
