//! Classifies the errors of system calls on sockets.

use std::io;

/// What a failed system call on a socket means for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorMeaning {
    /// The call did nothing and can be retried at once.
    RetryNow,
    /// This machine is temporarily short of a resource. Nothing was sent, the peer is not the cause, and the call may
    /// succeed after a pause.
    RetrySoon,
    /// The connection, or the attempt to open it, has failed. All errors that the table does not list mean this.
    ConnectionLost,
    /// The program has made a call that cannot succeed. The connection cannot be used either.
    ProgramFault,
}

impl ErrorMeaning {
    /// Whether the same call may succeed if it is retried.
    pub fn is_transient(self) -> bool {
        matches!(self, ErrorMeaning::RetryNow | ErrorMeaning::RetrySoon)
    }
}

/// A row of the table of errors.
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
    // On connect: a kernel table, such as the routing cache, is full. On reads and writes it means "not ready", and the
    // caller waits for readiness instead.
    row(libc::EAGAIN, ErrorMeaning::RetrySoon),
    // The process or the machine has no free file descriptors.
    row(libc::EMFILE, ErrorMeaning::RetrySoon),
    row(libc::ENFILE, ErrorMeaning::RetrySoon),
    // There is no memory for the socket or for the data to be written.
    row(libc::ENOBUFS, ErrorMeaning::RetrySoon),
    row(libc::ENOMEM, ErrorMeaning::RetrySoon),
    // On connect: all local ports are in use.
    row(libc::EADDRNOTAVAIL, ErrorMeaning::RetrySoon),
    row(libc::EADDRINUSE, ErrorMeaning::RetrySoon),
    // This machine has no route, or its interface is down. The peer was not contacted.
    row(libc::ENETUNREACH, ErrorMeaning::RetrySoon),
    row(libc::ENETDOWN, ErrorMeaning::RetrySoon),
    // Too many descriptors are watched with epoll.
    row(libc::ENOSPC, ErrorMeaning::RetrySoon),
    // The connection tracking table of the local firewall is full.
    row(libc::EPERM, ErrorMeaning::RetrySoon),
    // These cannot occur on a socket that this program has opened and uses correctly.
    row(libc::EBADF, ErrorMeaning::ProgramFault),
    row(libc::EFAULT, ErrorMeaning::ProgramFault),
    row(libc::EINVAL, ErrorMeaning::ProgramFault),
    row(libc::ENOTSOCK, ErrorMeaning::ProgramFault),
    row(libc::EISCONN, ErrorMeaning::ProgramFault),
    row(libc::EAFNOSUPPORT, ErrorMeaning::ProgramFault),
    row(libc::EOPNOTSUPP, ErrorMeaning::ProgramFault),
];

/// Classifies the error of a system call on a socket.
pub fn classify(error: &io::Error) -> ErrorMeaning {
    let Some(errno) = error.raw_os_error() else {
        // Created by a library, for example by the standard library for an unexpected end of the stream.
        return ErrorMeaning::ConnectionLost;
    };
    ERROR_ROWS
        .iter()
        .find(|row| row.errno == errno)
        .map_or(ErrorMeaning::ConnectionLost, |row| row.meaning)
}

/// The error for data that can't be read because this process has no memory for it.
pub fn out_of_memory() -> io::Error {
    io::Error::from_raw_os_error(libc::ENOMEM)
}

/// Whether a call on a non-blocking socket failed because the socket is not ready.
pub fn is_not_ready(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
}
