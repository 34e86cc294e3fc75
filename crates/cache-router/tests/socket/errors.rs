//! The table of socket errors: each row differs from the default meaning of unlisted errors.

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
fn an_interrupted_call_is_retried_at_once() {
    assert_meaning(&[libc::EINTR], RetryNow);
}

#[test]
fn a_lack_of_local_resources_is_retried_after_a_pause() {
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
fn a_call_that_cannot_succeed_is_a_program_fault() {
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
    let library_error = io::Error::from(io::ErrorKind::UnexpectedEof);
    assert_eq!(classify(&library_error), ConnectionLost);
}
