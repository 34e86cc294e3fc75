//! What a failed system call on a socket means for its caller.

use std::io;

/// What a failed system call on a socket means for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorMeaning {
    /// The call did nothing and can be made again at once.
    RetryNow,
    /// This machine lacks something at the moment. Nothing was sent, the peer is not to blame, and the call may succeed
    /// after a pause.
    RetrySoon,
    /// The connection, or the attempt to open it, has failed. This is the meaning of all errors that the table does not
    /// list.
    ConnectionLost,
    /// The program has made a call that cannot succeed. The connection is of no use either.
    ProgramFault,
}

impl ErrorMeaning {
    /// Whether the same call may still succeed.
    pub fn is_transient(self) -> bool {
        matches!(self, ErrorMeaning::RetryNow | ErrorMeaning::RetrySoon)
    }
}

/// One row of the table of errors.
struct ErrorRow {
    errno: i32,
    meaning: ErrorMeaning,
}

const fn row(errno: i32, meaning: ErrorMeaning) -> ErrorRow {
    ErrorRow { errno, meaning }
}

/// The errors of socket(2), connect(2), recv(2), send(2) and `epoll_ctl(2)` that do not mean a lost connection.
const ERROR_ROWS: [ErrorRow; 19] = [
    // A signal arrived before any byte was transferred.
    row(libc::EINTR, ErrorMeaning::RetryNow),
    // On connect: no entry is free in a table of the kernel. Reads and writes wait for readiness instead.
    row(libc::EAGAIN, ErrorMeaning::RetrySoon),
    // The descriptors of the process or of the machine are used up.
    row(libc::EMFILE, ErrorMeaning::RetrySoon),
    row(libc::ENFILE, ErrorMeaning::RetrySoon),
    // Memory for the socket or for what is written.
    row(libc::ENOBUFS, ErrorMeaning::RetrySoon),
    row(libc::ENOMEM, ErrorMeaning::RetrySoon),
    // On connect: all local ports are in use.
    row(libc::EADDRNOTAVAIL, ErrorMeaning::RetrySoon),
    row(libc::EADDRINUSE, ErrorMeaning::RetrySoon),
    // This machine has no route, or its interface is down. The peer has never been asked.
    row(libc::ENETUNREACH, ErrorMeaning::RetrySoon),
    row(libc::ENETDOWN, ErrorMeaning::RetrySoon),
    // Too many descriptors are watched with epoll.
    row(libc::ENOSPC, ErrorMeaning::RetrySoon),
    // The connection tracking table of the local firewall is full.
    row(libc::EPERM, ErrorMeaning::RetrySoon),
    // These are not possible on a socket that this program has opened.
    row(libc::EBADF, ErrorMeaning::ProgramFault),
    row(libc::EFAULT, ErrorMeaning::ProgramFault),
    row(libc::EINVAL, ErrorMeaning::ProgramFault),
    row(libc::ENOTSOCK, ErrorMeaning::ProgramFault),
    row(libc::EISCONN, ErrorMeaning::ProgramFault),
    row(libc::EAFNOSUPPORT, ErrorMeaning::ProgramFault),
    row(libc::EOPNOTSUPP, ErrorMeaning::ProgramFault),
];

/// What an error of a call on a socket means.
pub fn classify(error: &io::Error) -> ErrorMeaning {
    let Some(errno) = error.raw_os_error() else {
        // Made by a library, as by the standard library for an unexpected end.
        return ErrorMeaning::ConnectionLost;
    };
    ERROR_ROWS
        .iter()
        .find(|row| row.errno == errno)
        .map_or(ErrorMeaning::ConnectionLost, |row| row.meaning)
}

/// Whether a call on a non-blocking socket has to wait until the socket is ready.
pub fn is_not_ready(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
}
