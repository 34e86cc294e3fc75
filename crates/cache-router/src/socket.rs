//! Socket I/O and the classification of socket errors.
//!
//! [`errors`] has the table of errors. [`stream`] reads and writes a connected socket and handles short counts and
//! interrupted calls, so that no bytes are left unread or unwritten. [`connect`] opens connections, and [`listen`]
//! classifies failures to listen and to accept. Connections to clients, to servers and to discovery all use this
//! module, and no other module interprets socket errors itself.

pub mod connect;
pub mod errors;
pub mod listen;
pub mod stream;

pub use stream::SocketStream;
