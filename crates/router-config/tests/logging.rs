//! Logging by level and format, and the limit on repeated lines.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use router_config::{Format, HumanDuration, Level, Log, Repeat, logging};
use tracing_subscriber::fmt::MakeWriter;

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Buffer {
    type Writer = Buffer;

    fn make_writer(&self) -> Buffer {
        self.clone()
    }
}

/// Returns the lines that `work` logs.
fn lines_of(log: &Log, work: impl FnOnce()) -> Vec<String> {
    let buffer = Buffer::default();
    let (subscriber, guard) = logging::subscriber(log, buffer.clone());
    tracing::subscriber::with_default(subscriber, work);
    drop(guard);
    let bytes = buffer.0.lock().unwrap().clone();
    String::from_utf8(bytes)
        .unwrap()
        .lines()
        .map(str::to_string)
        .collect()
}

fn log(lines: u32, format: Format) -> Log {
    Log {
        level: Level::Info,
        format,
        repeat: Repeat {
            lines,
            per: HumanDuration(Duration::from_secs(3600)),
        },
        ..Log::default()
    }
}

#[test]
fn repeated_lines_over_the_limit_are_suppressed_and_their_count_is_reported() {
    let lines = lines_of(&log(3, Format::Text), || {
        (0..1000).for_each(|id| tracing::warn!(request = id, "rejected"));
        tracing::info!("another location has its own limit");
    });
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert!(
        lines[0].contains(" WARN ") && lines[0].ends_with("rejected request=0"),
        "{}",
        lines[0]
    );
    assert!(lines[3].contains("another location"), "{}", lines[3]);
    let report = &lines[4];
    assert!(
        report.starts_with("WARN log: 997 more lines from ") && report.ends_with(" were left out"),
        "{report}"
    );
}

#[test]
fn json_lines_and_the_count_of_suppressed_lines_have_fields() {
    let lines = lines_of(&log(1, Format::Json), || {
        (7..9).for_each(|id| tracing::error!(request = id, "failed: \"why\""));
    });
    let objects: Vec<serde_json::Value> = lines
        .iter()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(objects.len(), 2);
    assert_eq!(
        (&objects[0]["request"], &objects[0]["level"]),
        (&7.into(), &"ERROR".into())
    );
    assert_eq!(objects[0]["message"], "failed: \"why\"");
    assert_eq!(objects[1]["left_out"], 1);
}

#[test]
fn a_disabled_level_writes_nothing_and_does_not_evaluate_fields() {
    let mut evaluated = false;
    let lines = lines_of(
        &Log {
            level: Level::Warn,
            ..log(9, Format::Text)
        },
        || {
            tracing::info!(
                request = {
                    evaluated = true;
                    1
                },
                "served"
            );
        },
    );
    assert!(lines.is_empty() && !evaluated, "{lines:?}");
    let lines = lines_of(
        &Log {
            level: Level::Off,
            ..log(9, Format::Text)
        },
        || tracing::error!("lost"),
    );
    assert!(lines.is_empty(), "{lines:?}");
}
