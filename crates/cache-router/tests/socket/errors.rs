//! The table of errors: each row gives a meaning that an unlisted error does not have.

use std::io;

use cache_router::socket::errors::ErrorMeaning::{
    self, ConnectionLost, ProgramFault, RetryNow, RetrySoon,
};
use cache_router::socket::errors::classify;

#[track_caller]
fn assert_meaning(errnos: &[i32], meaning: ErrorMeaning) {
    for &errno in errnos {
        let error = io::Error::from_raw_os_error(errno);
        assert_eq!(classify(&error), meaning, "{error}");
    }
}

#[test]
fn an_interrupted_call_is_made_again_at_once() {
    assert_meaning(&[libc::EINTR], RetryNow);
}

#[test]
fn what_this_machine_lacks_is_waited_for() {
    let descriptors = [libc::EMFILE, libc::ENFILE, libc::ENOSPC];
    let memory = [libc::EAGAIN, libc::ENOBUFS, libc::ENOMEM];
    let network = [
        libc::EADDRNOTAVAIL,
        libc::EADDRINUSE,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::EPERM,
    ];
    for errnos in [&descriptors[..], &memory, &network] {
        assert_meaning(errnos, RetrySoon);
    }
}

#[test]
fn a_call_that_cannot_succeed_is_a_fault_of_the_program() {
    let errnos = [
        libc::EBADF,
        libc::EFAULT,
        libc::EINVAL,
        libc::ENOTSOCK,
        libc::EISCONN,
        libc::EAFNOSUPPORT,
        libc::EOPNOTSUPP,
    ];
    assert_meaning(&errnos, ProgramFault);
}

#[test]
fn all_other_errors_mean_that_the_connection_is_lost() {
    let errnos = [
        libc::ECONNRESET,
        libc::ECONNREFUSED,
        libc::ECONNABORTED,
        libc::EPIPE,
        libc::ETIMEDOUT,
        libc::EHOSTUNREACH,
        libc::EIO,
    ];
    assert_meaning(&errnos, ConnectionLost);
    let made_by_a_library = io::Error::from(io::ErrorKind::UnexpectedEof);
    assert_eq!(classify(&made_by_a_library), ConnectionLost);
}
