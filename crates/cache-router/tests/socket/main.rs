//! Sockets whose system calls are interrupted, transfer fewer bytes than requested, or fail.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod connect;
mod errors;
mod listen;
mod stream;
