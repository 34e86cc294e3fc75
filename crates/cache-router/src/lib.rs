//! The router in service as a library: `main.rs` is a thin program over it, and tests reach each part.

pub mod caches;
pub mod clients;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod event_loop;
pub mod http;
pub mod lifecycle;
pub mod message;
pub mod origin;
pub mod resp;
pub mod resting;
pub mod signals;
pub mod startup;
pub mod trace;
pub mod upstreams;
