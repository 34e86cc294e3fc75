//! The limit on repeated lines, with a clock that the test controls.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use router_config::logging::{CodeLocation, RepeatLimiter};
use router_config::{HumanDuration, Log, Repeat};

struct ChannelWriter(Sender<String>);

impl Write for ChannelWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_new_interval_admits_lines_again_and_reports_those_that_were_suppressed() {
    let (sender, written) = std::sync::mpsc::channel();
    let sender = Mutex::new(sender);
    let writer = move || ChannelWriter(sender.lock().unwrap().clone());
    let repeat = Repeat {
        lines: 2,
        per: HumanDuration(Duration::from_secs(10)),
    };
    let log = Log {
        repeat,
        ..Log::default()
    };
    let limiter = RepeatLimiter::new(&log, writer);
    let location = |line| CodeLocation {
        file: "node.rs",
        line,
    };
    let begin = Instant::now();
    let admit = |second: u64| limiter.admit(location(7), begin + Duration::from_secs(second));
    assert_eq!(
        [0, 1, 2, 9, 10].map(admit),
        [true, true, false, false, true]
    );
    let text: String = written.try_iter().collect();
    assert_eq!(
        text,
        "WARN log: 2 more lines from node.rs:7 were left out\n"
    );
    assert!(
        limiter.admit(location(8), begin),
        "another location has its own limit"
    );
}
