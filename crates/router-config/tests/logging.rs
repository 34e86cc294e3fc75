//! What is written at a level and in a form, and how often the same is repeated.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use router_config::{Format, Level, Log, Repeat, Span, logging};
use tracing_subscriber::fmt::MakeWriter;

#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Written {
    type Writer = Written;

    fn make_writer(&self) -> Written {
        self.clone()
    }
}

/// The lines that some work writes.
fn written(log: &Log, work: impl FnOnce()) -> Vec<String> {
    let written = Written::default();
    let (subscriber, guard) = logging::subscriber(log, written.clone());
    tracing::subscriber::with_default(subscriber, work);
    drop(guard);
    let bytes = written.0.lock().unwrap().clone();
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
            per: Span(Duration::from_secs(3600)),
        },
    }
}

#[test]
fn a_line_that_repeats_is_cut_short_and_the_number_left_out_is_told() {
    let lines = written(&log(3, Format::Text), || {
        (0..1000).for_each(|id| tracing::warn!(request = id, "turned away"));
        tracing::info!("another place has room of its own");
    });
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert!(
        lines[0].contains(" WARN ") && lines[0].ends_with("turned away request=0"),
        "{}",
        lines[0]
    );
    assert!(lines[3].contains("another place"), "{}", lines[3]);
    let told = &lines[4];
    assert!(
        told.starts_with("WARN log: 997 more lines from ") && told.ends_with(" were left out"),
        "{told}"
    );
}

#[test]
fn json_lines_have_the_request_as_a_field_and_so_has_what_is_left_out() {
    let lines = written(&log(1, Format::Json), || {
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
fn a_level_that_is_off_writes_nothing_and_does_not_look_at_the_fields() {
    let mut looked = false;
    let lines = written(
        &Log {
            level: Level::Warn,
            ..log(9, Format::Text)
        },
        || {
            tracing::info!(
                request = {
                    looked = true;
                    1
                },
                "served"
            );
        },
    );
    assert!(lines.is_empty() && !looked, "{lines:?}");
    let lines = written(
        &Log {
            level: Level::Off,
            ..log(9, Format::Text)
        },
        || tracing::error!("lost"),
    );
    assert!(lines.is_empty(), "{lines:?}");
}
