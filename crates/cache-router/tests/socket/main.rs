//! Sockets whose system calls are interrupted, fall short or fail.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod connect;
mod errors;
mod stream;
