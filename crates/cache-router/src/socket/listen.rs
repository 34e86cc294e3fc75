//! What failures mean for a socket that listens: of opening it, and of accepting connections from it.

use std::io;
use std::time::Duration;

use super::errors::{ErrorMeaning, classify};
use super::stream::LOCAL_RETRY_PAUSE;

/// Connections in a row that could not be accepted, after which there is a pause in any case.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 16;

/// One row of the table of errors while a socket is opened for listening, or the runtime is started.
struct OpenRow {
    errno: i32,
    /// Whether the call may succeed after a while.
    may_pass: bool,
    /// What an operator can do.
    remedy: &'static str,
}

const fn passing(errno: i32, remedy: &'static str) -> OpenRow {
    OpenRow {
        errno,
        may_pass: true,
        remedy,
    }
}

const fn permanent(errno: i32, remedy: &'static str) -> OpenRow {
    OpenRow {
        errno,
        may_pass: false,
        remedy,
    }
}

/// The errors of socket(2), bind(2), listen(2), `epoll_create1(2)` and eventfd(2). An error that is not listed may pass:
/// a start that waits in vain costs less than a router that stays down.
const OPEN_ROWS: [OpenRow; 11] = [
    // An earlier router gives its address up when its last replies are written.
    passing(
        libc::EADDRINUSE,
        "end the process that listens there, or change `listen`",
    ),
    // The address of a machine may be set up after its programs have started.
    passing(
        libc::EADDRNOTAVAIL,
        "give this machine the address, or correct `listen`",
    ),
    passing(
        libc::EMFILE,
        "raise the limit on descriptors of the process",
    ),
    passing(libc::ENFILE, "raise the limit on open files of the machine"),
    passing(libc::ENOBUFS, "free memory on this machine"),
    passing(libc::ENOMEM, "free memory on this machine"),
    // A right to a port does not come by itself.
    permanent(libc::EACCES, "choose a port that the user may listen on"),
    // The machine does not have the protocol of the address, or not at all what a router needs.
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

/// Whether a socket that could not be opened for listening may be opened after a while.
pub fn may_pass(error: &io::Error) -> bool {
    open_row(error).is_none_or(|row| row.may_pass)
}

/// What an operator can do about a socket that cannot be opened for listening.
pub fn remedy(error: &io::Error) -> &'static str {
    open_row(error).map_or(UNLISTED_REMEDY, |row| row.remedy)
}

fn open_row(error: &io::Error) -> Option<&'static OpenRow> {
    let errno = error.raw_os_error()?;
    OPEN_ROWS.iter().find(|row| row.errno == errno)
}

/// The errors of accept(2) that concern one connection: it has ended, or its network had trouble, before it was
/// accepted. The connection after it may be accepted at once.
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
    // A rule of the firewall forbids this connection.
    libc::EPERM,
];

/// What an error of accept(2) means: [`ErrorMeaning::RetryNow`] if the next connection can be accepted at once. All that
/// is not known to concern one connection is waited for.
pub fn classify_accept(error: &io::Error) -> ErrorMeaning {
    let concerns_one = error
        .raw_os_error()
        .is_some_and(|errno| ONE_CONNECTION_ERRORS.contains(&errno));
    match classify(error) {
        _ if concerns_one => ErrorMeaning::RetryNow,
        ErrorMeaning::RetryNow => ErrorMeaning::RetryNow,
        ErrorMeaning::ProgramFault => ErrorMeaning::ProgramFault,
        ErrorMeaning::RetrySoon | ErrorMeaning::ConnectionLost => ErrorMeaning::RetrySoon,
    }
}

/// The pauses of a listener between calls of accept(2) that fail.
#[derive(Debug, Default)]
pub struct AcceptRetry {
    /// Since the last connection that was accepted.
    failures: u32,
    /// Since the last connection that was accepted.
    pauses: u32,
}

impl AcceptRetry {
    /// A connection was accepted.
    pub fn succeeded(&mut self) {
        *self = AcceptRetry::default();
    }

    /// Accepting has failed: how long to wait before the next try, if at all.
    pub fn pause_after(&mut self, error: &io::Error) -> Option<Duration> {
        self.failures += 1;
        let can_go_on = classify_accept(error) == ErrorMeaning::RetryNow
            && self.failures <= MAX_FAILURES_WITHOUT_PAUSE;
        if can_go_on {
            return None;
        }
        self.pauses += 1;
        Some(LOCAL_RETRY_PAUSE)
    }

    /// Whether there was one pause since the last connection that was accepted.
    pub fn is_first_pause(&self) -> bool {
        self.pauses == 1
    }
}
