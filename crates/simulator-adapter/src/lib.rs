//! Runs instances of the routing policy on a simulator's wire protocol. It only translates; all decisions are
//! made by the policy.
//!
//! The simulator sends batches: a header, event records of fixed size, and a tail for data of variable size.
//! The adapter answers each batch, before it reads the next one, with a reply of action records and a tail.
//! Numbers are little-endian.
//!
//! - [`serve`] reads batches from a stream and writes the replies;
//! - [`host`] holds the policy instances and passes them their events;
//! - [`events`] decodes batches, [`actions`] encodes replies;
//! - [`error`] defines the errors.

pub mod actions;
pub mod error;
pub mod events;
pub mod host;
mod session;
mod wire;

pub use error::AdapterError;
pub use session::serve;
