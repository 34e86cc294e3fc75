//! Logs that block, fail, or accept only a part of a line do not stop the program, and dropped lines are reported.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use router_config::Format;
use router_config::logging::LineQueue;

/// Number of lines that together exceed the capacity of the queue.
const LINES: usize = 40_000;
const LINE: &[u8] = b"a line of forty bytes with its line feed\n";

/// The bytes that were written to a log so far.
#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Written {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

/// A log that blocks until the sender of `opened` is dropped.
struct BlockedLog {
    opened: Receiver<()>,
    written: Written,
}

impl Write for BlockedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns an error, and so does not block any more, once the sender is dropped.
        let _ = self.opened.recv();
        self.written.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_log() -> (LineQueue, Sender<()>, Written) {
    let (open, opened) = channel();
    let written = Written::default();
    let log = BlockedLog {
        opened,
        written: written.clone(),
    };
    (LineQueue::new(log), open, written)
}

/// A log whose next writes have these results. All writes after them succeed.
struct FailingLog {
    results: VecDeque<Result<usize, ErrorKind>>,
    written: Written,
}

impl Write for FailingLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let length = self.results.pop_front().unwrap_or(Ok(bytes.len()))?;
        self.written.0.lock().unwrap().write(&bytes[..length])
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn failing_log(results: &[Result<usize, ErrorKind>]) -> (LineQueue, Written) {
    let written = Written::default();
    let log = FailingLog {
        results: results.iter().copied().collect(),
        written: written.clone(),
    };
    (LineQueue::new(log), written)
}

fn wait_until_written(queue: &LineQueue) {
    while !queue.flush() {}
}

#[test]
fn a_blocked_log_does_not_block_the_program_and_dropped_lines_are_counted() {
    let (queue, open, written) = blocked_log();
    (0..LINES).for_each(|_| queue.push(LINE.to_vec()));
    assert!(!queue.flush(), "flushing does not wait for a blocked log");
    drop(open);
    wait_until_written(&queue);
    let text = written.text();
    let report = text.lines().last().unwrap();
    let dropped: usize = report
        .strip_prefix("WARN log: ")
        .and_then(|rest| rest.strip_suffix(" lines could not be written and were dropped"))
        .expect(report)
        .parse()
        .unwrap();
    assert_eq!(text.lines().count() - 1 + dropped, LINES);
    assert!(dropped > 0);
}

#[test]
fn lines_that_failed_to_be_written_are_reported_once_a_write_succeeds() {
    for error in [ErrorKind::StorageFull, ErrorKind::BrokenPipe] {
        let (queue, written) = failing_log(&[Err(error), Err(error)]);
        queue.set_format(Format::Json);
        for line in ["one\n", "two\n", "three\n"] {
            queue.push(line.into());
            wait_until_written(&queue);
        }
        let text = written.text();
        let (line, report) = text.split_once('\n').unwrap();
        assert_eq!(line, "three");
        let report: serde_json::Value = serde_json::from_str(report).unwrap();
        assert_eq!(report["dropped"], 2);
    }
}

#[test]
fn a_line_is_completed_after_partial_interrupted_and_would_block_writes() {
    let interrupted = Err(ErrorKind::Interrupted);
    let full = Err(ErrorKind::WouldBlock);
    let (queue, written) = failing_log(&[Ok(1), interrupted, Ok(2), full, Ok(1)]);
    queue.push(b"whole line\n".to_vec());
    wait_until_written(&queue);
    assert_eq!(written.text(), "whole line\n");
}

#[test]
fn an_incomplete_line_on_a_full_disk_does_not_corrupt_later_lines() {
    let full = Err(ErrorKind::StorageFull);
    let (queue, written) = failing_log(&[Ok(4), full, full]);
    queue.push(b"lost line\n".to_vec());
    queue.push(b"another lost line\n".to_vec());
    queue.push(b"whole line\n".to_vec());
    wait_until_written(&queue);
    let text = written.text();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines[..2], ["lost", "whole line"]);
    assert!(lines[2].contains("2 lines could not be written"), "{text}");
}
