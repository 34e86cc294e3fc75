//! Startup steps with transient and permanent failures.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cache_router::config::ConfigError;
use cache_router::startup::StartError;
use cache_router::startup::retry::{Environment, FILE_TIMEOUT, Retries, START_TIMEOUT};

/// A process whose time advances only while it sleeps.
#[derive(Clone)]
struct FakeProcess(Rc<FakeState>);

struct FakeState {
    now: Cell<Instant>,
    reports: RefCell<Vec<String>>,
    /// Number of sleeps until it receives a shutdown signal.
    sleeps_until_shutdown: Cell<usize>,
}

impl FakeProcess {
    fn new() -> FakeProcess {
        FakeProcess(Rc::new(FakeState {
            now: Cell::new(Instant::now()),
            reports: RefCell::default(),
            sleeps_until_shutdown: Cell::new(usize::MAX),
        }))
    }
}

impl Environment for FakeProcess {
    fn now(&self) -> Instant {
        self.0.now.get()
    }

    fn sleep(&self, duration: Duration) {
        assert!(!duration.is_zero(), "a retry without a delay");
        self.0.now.set(self.0.now.get() + duration);
        let remaining = &self.0.sleeps_until_shutdown;
        remaining.set(remaining.get() - 1);
    }

    fn is_shutdown_requested(&self) -> bool {
        self.0.sleeps_until_shutdown.get() == 0
    }

    fn report(&self, error: &StartError, _: Duration) {
        self.0.reports.borrow_mut().push(error.to_string());
    }
}

fn cannot_listen(errno: i32) -> StartError {
    StartError::Listen {
        address: "127.0.0.1:6379".parse().unwrap(),
        source: io::Error::from_raw_os_error(errno),
    }
}

fn malformed(text: &str) -> StartError {
    StartError::Config(ConfigError::Malformed {
        path: "config.json".into(),
        source: serde_json::from_str::<u32>(text).unwrap_err(),
    })
}

/// Returns for how long a step that always fails is retried.
fn retry_time(timeout: Duration, error: impl Fn() -> StartError) -> Duration {
    let process = FakeProcess::new();
    let started_at = process.now();
    let result: Result<(), _> = Retries::new(process.clone()).run(timeout, || Err(error()));
    assert_eq!(result.unwrap_err().to_string(), error().to_string());
    process.now() - started_at
}

#[test]
fn a_step_with_a_transient_failure_succeeds_and_is_reported_once() {
    for errno in [libc::ENFILE, libc::ENOBUFS, libc::EMFILE, libc::EADDRINUSE] {
        let process = FakeProcess::new();
        let started_at = process.now();
        let mut tries = 0;
        let result = Retries::new(process.clone()).run(START_TIMEOUT, || {
            tries += 1;
            if tries <= 3 {
                return Err(cannot_listen(errno));
            }
            Ok("listening")
        });
        assert_eq!(result.unwrap(), "listening");
        assert_eq!(process.0.reports.borrow().len(), 1);
        assert!(process.now() - started_at < Duration::from_millis(200));
    }
}

#[test]
fn a_step_that_keeps_failing_ends_the_startup_in_time_with_a_remedy() {
    let error = cannot_listen(libc::EADDRINUSE);
    assert!(error.to_string().contains("end the process"), "{error}");
    let retried_for = retry_time(START_TIMEOUT, || cannot_listen(libc::EADDRINUSE));
    assert_eq!(retried_for, START_TIMEOUT);
    assert!(
        retried_for <= Duration::from_secs(10),
        "ready within 10 s as a rule"
    );
}

#[test]
fn all_steps_of_a_startup_share_its_time_limit() {
    let process = FakeProcess::new();
    let retries = Retries::new(process.clone());
    let started_at = process.now();
    for _ in 0..2 {
        let step = || Err::<(), _>(cannot_listen(libc::EMFILE));
        retries.run(START_TIMEOUT, step).unwrap_err();
    }
    assert_eq!(process.now() - started_at, START_TIMEOUT);
}

#[test]
fn a_file_that_is_unreadable_or_truncated_is_retried() {
    let unreadable = || {
        StartError::Config(ConfigError::Unreadable {
            path: "config.json".into(),
            source: io::Error::from_raw_os_error(libc::ENOENT),
        })
    };
    let settings = || {
        StartError::Settings(router_config::ConfigError::Unreadable {
            path: "router.toml".into(),
            source: io::Error::from_raw_os_error(libc::EIO),
        })
    };
    for retried_for in [
        retry_time(FILE_TIMEOUT, unreadable),
        retry_time(FILE_TIMEOUT, settings),
        retry_time(FILE_TIMEOUT, || malformed("")),
        retry_time(FILE_TIMEOUT, || malformed("12 34")),
    ] {
        assert_eq!(retried_for, FILE_TIMEOUT);
    }
}

#[test]
fn permanent_errors_fail_at_once() {
    let no_class = || {
        StartError::Config(ConfigError::NoClass {
            path: "config.json".into(),
        })
    };
    for retried_for in [
        retry_time(START_TIMEOUT, || cannot_listen(libc::EACCES)),
        retry_time(FILE_TIMEOUT, || malformed("\"a text\"")),
        retry_time(FILE_TIMEOUT, no_class),
    ] {
        assert_eq!(retried_for, Duration::ZERO);
    }
}

#[test]
fn a_startup_that_waits_ends_on_a_shutdown_signal() {
    let process = FakeProcess::new();
    process.0.sleeps_until_shutdown.set(2);
    let step = || Err::<(), _>(cannot_listen(libc::EADDRINUSE));
    let result = Retries::new(process).run(START_TIMEOUT, step);
    assert!(matches!(result, Err(StartError::ShutDown)));
}
