//! Runs instances of the routing policy on a simulator's wire protocol. It translates and decides nothing.
//!
//! The simulator sends batches: a header, event records of a fixed size, and a tail for what has no fixed size. Each
//! batch is answered, before the next is read, by a reply of action records and a tail. Numbers are little-endian.
//!
//! - [`serve`] reads batches from a stream and writes the replies;
//! - [`host`] keeps the policy instances and hands them their events;
//! - [`events`] decodes batches, [`actions`] encodes replies;
//! - [`error`] says what is wrong with an input.

pub mod actions;
pub mod error;
pub mod events;
pub mod host;
mod session;
mod wire;

pub use error::AdapterError;
pub use session::serve;
