//! The emulated services that nodes talk to: cache servers in RESP, the origin and discovery in HTTP, as the platform's
//! protocol has them. They pass on to the cluster's state what they receive and write what it replies; they decide
//! nothing.
//!
//! Tasks: the run's driver owns one task for each listener. A listener's task owns its connections, which end with it.

pub mod cache_server;
pub mod discovery;
pub mod origin;

/// What a party sends instead of a reply when it is to be corrupt.
const CORRUPT_REPLY: &str = "?!";
