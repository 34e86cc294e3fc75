//! Connections of clients and the listener, driven by hand in paused time.
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
mod requests;
mod support;
