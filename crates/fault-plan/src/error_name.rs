//! The errors that a system call can be made to fail with.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// An error of the operating system, by its name in the manual pages. `EAGAIN` is not supported: it promises a
/// readiness event, which would never come on an edge-triggered socket. No operating system behaves like this.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
#[expect(missing_docs, reason = "the manual pages document each")]
pub enum ErrorName {
    Eacces,
    Eaddrinuse,
    Eaddrnotavail,
    Econnaborted,
    Econnrefused,
    Econnreset,
    Ehostunreach,
    Eintr,
    Eio,
    Emfile,
    Enetdown,
    Enetunreach,
    Enfile,
    Enobufs,
    Enoent,
    Enomem,
    Enospc,
    Eperm,
    Epipe,
    Eproto,
    Etimedout,
}

impl Display for ErrorName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_uppercase())
    }
}
