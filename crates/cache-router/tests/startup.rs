//! Steps of a start that fail for a moment or for good.
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

/// A process whose time only passes in pauses.
#[derive(Clone)]
struct FakeProcess(Rc<FakeState>);

struct FakeState {
    now: Cell<Instant>,
    reports: RefCell<Vec<String>>,
    /// After how many pauses it is told to shut down.
    pauses_until_shutdown: Cell<usize>,
}

impl FakeProcess {
    fn new() -> FakeProcess {
        FakeProcess(Rc::new(FakeState {
            now: Cell::new(Instant::now()),
            reports: RefCell::default(),
            pauses_until_shutdown: Cell::new(usize::MAX),
        }))
    }
}

impl Environment for FakeProcess {
    fn now(&self) -> Instant {
        self.0.now.get()
    }

    fn pause(&self, duration: Duration) {
        assert!(!duration.is_zero(), "it would spin");
        self.0.now.set(self.0.now.get() + duration);
        let left = &self.0.pauses_until_shutdown;
        left.set(left.get() - 1);
    }

    fn is_shutdown_requested(&self) -> bool {
        self.0.pauses_until_shutdown.get() == 0
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

/// How long a step that always fails is tried.
fn tried_for(timeout: Duration, error: impl Fn() -> StartError) -> Duration {
    let process = FakeProcess::new();
    let began = process.now();
    let result: Result<(), _> = Retries::new(process.clone()).run(timeout, || Err(error()));
    assert_eq!(result.unwrap_err().to_string(), error().to_string());
    process.now() - began
}

#[test]
fn a_step_that_fails_for_a_moment_succeeds_and_is_reported_once() {
    for errno in [libc::ENFILE, libc::ENOBUFS, libc::EMFILE, libc::EADDRINUSE] {
        let process = FakeProcess::new();
        let began = process.now();
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
        assert!(process.now() - began < Duration::from_millis(200));
    }
}

#[test]
fn a_step_that_fails_for_long_ends_the_start_with_what_to_do_in_time() {
    let error = cannot_listen(libc::EADDRINUSE);
    assert!(error.to_string().contains("end the process"), "{error}");
    let tried = tried_for(START_TIMEOUT, || cannot_listen(libc::EADDRINUSE));
    assert_eq!(tried, START_TIMEOUT);
    assert!(
        tried <= Duration::from_secs(10),
        "ready within 10 s as a rule"
    );
}

#[test]
fn all_steps_of_a_start_share_its_time() {
    let process = FakeProcess::new();
    let retries = Retries::new(process.clone());
    let began = process.now();
    for _ in 0..2 {
        let step = || Err::<(), _>(cannot_listen(libc::EMFILE));
        retries.run(START_TIMEOUT, step).unwrap_err();
    }
    assert_eq!(process.now() - began, START_TIMEOUT);
}

#[test]
fn a_file_that_cannot_be_read_or_is_cut_off_is_waited_for() {
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
    for tried in [
        tried_for(FILE_TIMEOUT, unreadable),
        tried_for(FILE_TIMEOUT, settings),
        tried_for(FILE_TIMEOUT, || malformed("")),
        tried_for(FILE_TIMEOUT, || malformed("12 34")),
    ] {
        assert_eq!(tried, FILE_TIMEOUT);
    }
}

#[test]
fn what_cannot_pass_fails_at_once() {
    let no_class = || {
        StartError::Config(ConfigError::NoClass {
            path: "config.json".into(),
        })
    };
    for tried in [
        tried_for(START_TIMEOUT, || cannot_listen(libc::EACCES)),
        tried_for(FILE_TIMEOUT, || malformed("\"a text\"")),
        tried_for(FILE_TIMEOUT, no_class),
    ] {
        assert_eq!(tried, Duration::ZERO);
    }
}

#[test]
fn a_start_that_waits_ends_when_the_router_is_told_to_shut_down() {
    let process = FakeProcess::new();
    process.0.pauses_until_shutdown.set(2);
    let step = || Err::<(), _>(cannot_listen(libc::EADDRINUSE));
    let result = Retries::new(process).run(START_TIMEOUT, step);
    assert!(matches!(result, Err(StartError::ShutDown)));
}
