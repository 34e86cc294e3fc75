//! Failures of a socket that listens: each listed error means something that an unlisted one does not.

use std::io;

use cache_router::socket::errors::ErrorMeaning;
use cache_router::socket::listen::{AcceptRetry, classify_accept, may_pass, remedy};

/// Listed nowhere.
const UNLISTED: i32 = libc::ECHILD;

fn error(errno: i32) -> io::Error {
    io::Error::from_raw_os_error(errno)
}

#[test]
fn an_error_of_one_connection_lets_the_next_be_accepted_at_once_and_all_others_wait() {
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
fn an_error_that_comes_with_each_call_does_not_spin_and_the_first_pause_is_known() {
    let mut retry = AcceptRetry::default();
    let aborted = error(libc::ECONNABORTED);
    let failures_without_pause = (0..1_000)
        .take_while(|_| retry.pause_after(&aborted).is_none())
        .count();
    assert!((2..100).contains(&failures_without_pause));
    assert!(retry.is_first_pause());
    assert!(retry.pause_after(&aborted).is_some());
    assert!(!retry.is_first_pause());
    retry.succeeded();
    assert!(retry.pause_after(&aborted).is_none());
    assert!(retry.pause_after(&error(libc::EMFILE)).is_some());
    assert!(retry.is_first_pause());
}

#[test]
fn what_may_pass_is_tried_again_and_each_listed_error_has_a_remedy_of_its_own() {
    let passing = [
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
    for errno in passing {
        assert!(may_pass(&error(errno)), "{}", error(errno));
        assert_ne!(remedy(&error(errno)), unlisted_remedy);
    }
    for errno in permanent {
        assert!(!may_pass(&error(errno)), "{}", error(errno));
    }
    for errno in [libc::EINTR, libc::EAGAIN, UNLISTED] {
        assert!(may_pass(&error(errno)), "{}", error(errno));
    }
}
