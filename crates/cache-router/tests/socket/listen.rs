//! Failures of listening sockets: each listed error is handled differently from an unlisted one.

use std::io;

use cache_router::socket::errors::ErrorMeaning;
use cache_router::socket::listen::{AcceptRetry, classify_accept, is_transient, remedy};

/// An error that no table lists.
const UNLISTED: i32 = libc::ECHILD;

fn error(errno: i32) -> io::Error {
    io::Error::from_raw_os_error(errno)
}

#[test]
fn an_error_of_one_connection_is_retried_at_once_and_all_others_after_a_pause() {
    let one_connection = [
        libc::EINTR,
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
        libc::EPERM,
    ];
    for errno in one_connection {
        let meaning = classify_accept(&error(errno));
        assert_eq!(meaning, ErrorMeaning::RetryNow, "{}", error(errno));
    }
    for errno in [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        UNLISTED,
    ] {
        let meaning = classify_accept(&error(errno));
        assert_eq!(meaning, ErrorMeaning::RetrySoon, "{}", error(errno));
    }
}

#[test]
fn an_error_on_every_call_does_not_spin_and_the_first_pause_is_reported() {
    let mut retry = AcceptRetry::default();
    let aborted = error(libc::ECONNABORTED);
    let failures_without_pause = (0..1_000)
        .take_while(|_| retry.pause_after(&aborted).is_none())
        .count();
    assert!((2..100).contains(&failures_without_pause));
    assert!(retry.is_first_pause());
    assert!(retry.pause_after(&aborted).is_some());
    assert!(!retry.is_first_pause());
    retry.record_success();
    assert!(retry.pause_after(&aborted).is_none());
    assert!(retry.pause_after(&error(libc::EMFILE)).is_some());
    assert!(retry.is_first_pause());
}

#[test]
fn transient_errors_are_recognized_and_have_a_specific_remedy() {
    let transient = [
        libc::EADDRINUSE,
        libc::EADDRNOTAVAIL,
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
    ];
    let permanent = [
        libc::EACCES,
        libc::EAFNOSUPPORT,
        libc::EPROTONOSUPPORT,
        libc::EINVAL,
        libc::ENOSYS,
    ];
    let unlisted_remedy = remedy(&error(UNLISTED));
    for errno in transient {
        assert!(is_transient(&error(errno)), "{}", error(errno));
        assert_ne!(remedy(&error(errno)), unlisted_remedy);
    }
    for errno in permanent {
        assert!(!is_transient(&error(errno)), "{}", error(errno));
    }
    for errno in [libc::EINTR, libc::EAGAIN, UNLISTED] {
        assert!(is_transient(&error(errno)), "{}", error(errno));
    }
}
