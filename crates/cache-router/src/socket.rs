//! The only module that decides what a failed system call on a socket means, and that reads, writes and opens sockets.
//!
//! [`errors`] has the table of errors. [`stream`] reads and writes a connected socket so that neither a short count nor
//! an interrupted call leaves bytes unread or unwritten, and [`connect`] opens one. Connections to clients, to servers
//! and to discovery all use it; no other file looks at the kind of an I/O error.

pub mod connect;
pub mod errors;
pub mod stream;

pub use stream::SocketStream;
