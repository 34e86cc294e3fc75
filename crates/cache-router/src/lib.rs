//! The router as a library. `main.rs` only calls it; tests use its modules directly.

pub mod cache_protocol;
pub mod client_command;
pub mod client_connection;
pub mod client_context;
pub mod clock;
pub mod closable_connections;
pub mod config;
pub mod connection_pool;
pub mod discovery;
pub mod event_loop;
pub mod fair_share;
pub mod http;
pub mod lifecycle;
pub mod listener;
pub mod memory_budget;
pub mod message;
pub mod origin_protocol;
pub mod resp;
pub mod response_buffer;
pub mod server_connection;
pub mod signals;
pub mod socket;
pub mod startup;
pub mod trace;
pub mod unread_input;
pub mod write_progress;
