//! Classifies failures of listening sockets: of opening them, and of accepting connections.

use std::io;
use std::time::Duration;

use super::errors::{ErrorMeaning, classify};
use super::stream::LOCAL_RETRY_PAUSE;

/// After this many consecutive failures to accept, the listener pauses whatever the error is.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 16;

/// A row of the table of errors that can occur while a listening socket is opened or the runtime is started.
struct OpenRow {
    errno: i32,
    /// Whether the call may succeed later.
    is_transient: bool,
    /// What an operator can do about the error.
    remedy: &'static str,
}

const fn transient(errno: i32, remedy: &'static str) -> OpenRow {
    OpenRow {
        errno,
        is_transient: true,
        remedy,
    }
}

const fn permanent(errno: i32, remedy: &'static str) -> OpenRow {
    OpenRow {
        errno,
        is_transient: false,
        remedy,
    }
}

/// The errors of socket(2), bind(2), listen(2), `epoll_create1(2)` and eventfd(2). An error that is not listed counts
/// as transient: retrying without success costs less than a router that does not start.
const OPEN_ROWS: [OpenRow; 11] = [
    // A previous router process releases the address once its last replies are written.
    transient(
        libc::EADDRINUSE,
        "end the process that listens there, or change `listen`",
    ),
    // The machine's address may be configured after its programs have started.
    transient(
        libc::EADDRNOTAVAIL,
        "give this machine the address, or correct `listen`",
    ),
    transient(
        libc::EMFILE,
        "raise the limit on descriptors of the process",
    ),
    transient(libc::ENFILE, "raise the limit on open files of the machine"),
    transient(libc::ENOBUFS, "free memory on this machine"),
    transient(libc::ENOMEM, "free memory on this machine"),
    // The permission to use a port does not change while the router waits.
    permanent(libc::EACCES, "choose a port that the user may listen on"),
    // The machine does not support the address's protocol, or lacks a system call that the router needs.
    permanent(
        libc::EAFNOSUPPORT,
        "choose an address of a protocol that this machine has",
    ),
    permanent(
        libc::EPROTONOSUPPORT,
        "choose an address of a protocol that this machine has",
    ),
    permanent(libc::EINVAL, "correct `listen`"),
    permanent(libc::ENOSYS, "start the router on a newer Linux"),
];
const UNLISTED_REMEDY: &str = "check `listen` and the limits of the process";

/// Whether opening a listening socket may succeed later, after it has failed with this error.
pub fn is_transient(error: &io::Error) -> bool {
    open_row(error).is_none_or(|row| row.is_transient)
}

/// What an operator can do about a socket that cannot be opened for listening.
pub fn remedy(error: &io::Error) -> &'static str {
    open_row(error).map_or(UNLISTED_REMEDY, |row| row.remedy)
}

fn open_row(error: &io::Error) -> Option<&'static OpenRow> {
    let errno = error.raw_os_error()?;
    OPEN_ROWS.iter().find(|row| row.errno == errno)
}

/// The errors of accept(2) that concern a single connection: it ended, or its network failed, before it was accepted.
/// The next connection may be accepted at once.
const ONE_CONNECTION_ERRORS: [i32; 12] = [
    libc::ECONNABORTED,
    libc::ECONNRESET,
    libc::EPROTO,
    libc::ENOPROTOOPT,
    libc::EOPNOTSUPP,
    libc::ENETDOWN,
    libc::ENETUNREACH,
    libc::EHOSTDOWN,
    libc::EHOSTUNREACH,
    libc::ENONET,
    libc::ETIMEDOUT,
    // A firewall rule forbids this connection.
    libc::EPERM,
];

/// Classifies an error of accept(2): [`ErrorMeaning::RetryNow`] if the next connection can be accepted at once. All
/// errors that are not known to concern a single connection require a pause.
pub fn classify_accept(error: &io::Error) -> ErrorMeaning {
    let concerns_one_connection = error
        .raw_os_error()
        .is_some_and(|errno| ONE_CONNECTION_ERRORS.contains(&errno));
    match classify(error) {
        _ if concerns_one_connection => ErrorMeaning::RetryNow,
        ErrorMeaning::RetryNow => ErrorMeaning::RetryNow,
        ErrorMeaning::ProgramFault => ErrorMeaning::ProgramFault,
        ErrorMeaning::RetrySoon | ErrorMeaning::ConnectionLost => ErrorMeaning::RetrySoon,
    }
}

/// Decides on the pauses of a listener after failed calls of accept(2).
#[derive(Debug, Default)]
pub struct AcceptRetry {
    /// Failures since the last accepted connection.
    failures: u32,
    /// Pauses since the last accepted connection.
    pauses: u32,
}

impl AcceptRetry {
    /// Records that a connection was accepted.
    pub fn record_success(&mut self) {
        *self = AcceptRetry::default();
    }

    /// Records a failure to accept. Returns how long to wait before the next call, or `None` to retry at once.
    pub fn pause_after(&mut self, error: &io::Error) -> Option<Duration> {
        self.failures += 1;
        let retries_at_once = classify_accept(error) == ErrorMeaning::RetryNow
            && self.failures <= MAX_FAILURES_WITHOUT_PAUSE;
        if retries_at_once {
            return None;
        }
        self.pauses += 1;
        Some(LOCAL_RETRY_PAUSE)
    }

    /// Whether there has been exactly one pause since the last accepted connection.
    pub fn is_first_pause(&self) -> bool {
        self.pauses == 1
    }
}
