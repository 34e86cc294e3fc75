//! Client connections and the listener, tested over real sockets with tokio's clock paused.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod closes;
mod command_timeout;
mod disconnects;
mod failing_calls;
mod memory;
mod requests;
mod support;
