//! A bounded queue of lines between the program and its log. A separate thread writes the lines, so that a blocked log,
//! such as a full pipe that is not read, blocks only that thread.
//!
//! A line is dropped if the queue is full or if writing it fails, for example because the reader has exited or the disk
//! is full. The number of dropped lines is written to the log once all queued lines have been processed and the log
//! accepts lines again.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

use super::notice::Notice;
use crate::schema::Format;

/// Maximum number of bytes in the queue. This is several thousand lines.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;
/// Pause before the next write to a non-blocking log that would have blocked.
const WOULD_BLOCK_PAUSE: Duration = Duration::from_millis(20);
/// Maximum time for which [`LineQueue::flush`] waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The queue of the log of this process, which is standard error.
pub fn standard_error() -> &'static LineQueue {
    static STANDARD_ERROR: OnceLock<LineQueue> = OnceLock::new();
    STANDARD_ERROR.get_or_init(|| LineQueue::new(io::stderr()))
}

/// A queue of lines for one log. All clones share the queue.
#[derive(Clone)]
pub struct LineQueue {
    shared: Arc<Shared>,
}

/// State that the queue shares with the writing thread.
struct Shared {
    /// The log. The writing thread holds this lock as long as it runs.
    log: Mutex<Box<dyn Write + Send>>,
    state: Mutex<State>,
    line_added: Condvar,
    all_written: Condvar,
}

#[derive(Default)]
struct State {
    thread_running: bool,
    queued: VecDeque<Vec<u8>>,
    /// Total size of the lines in `queued`.
    queued_bytes: usize,
    is_writing: bool,
    /// Number of lines that were dropped since the last report.
    dropped: u64,
    /// Format of the reports.
    format: Format,
}

/// The next line that the thread writes.
struct NextLine {
    bytes: Vec<u8>,
    /// Number of lines that count as dropped if this line cannot be written. For a report, this is the number of lines
    /// that it reports.
    line_count: u64,
}

impl LineQueue {
    /// Creates an empty queue for a log. The first line starts the writing thread.
    pub fn new(log: impl Write + Send + 'static) -> LineQueue {
        LineQueue {
            shared: Arc::new(Shared {
                log: Mutex::new(Box::new(log)),
                state: Mutex::default(),
                line_added: Condvar::new(),
                all_written: Condvar::new(),
            }),
        }
    }

    /// Sets the format in which dropped lines are reported.
    pub fn set_format(&self, format: Format) {
        lock(&self.shared.state).format = format;
    }

    /// Adds a line, which must include its line feed, or drops it if the queue is full. Never waits for the log.
    pub fn push(&self, line: Vec<u8>) {
        let mut state = lock(&self.shared.state);
        if state.queued_bytes + line.len() > MAX_QUEUED_BYTES {
            state.dropped += 1;
            return;
        }
        state.queued_bytes += line.len();
        state.queued.push_back(line);
        self.start_thread(&mut state);
        drop(state);
        self.shared.line_added.notify_one();
    }

    /// Waits until all lines are written, but no longer than `FLUSH_TIMEOUT`. Returns whether all lines are written.
    pub fn flush(&self) -> bool {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut state = lock(&self.shared.state);
        while state.is_writing || !state.queued.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            self.start_thread(&mut state);
            let waited = self.shared.all_written.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Starts the writing thread unless it is running. If the system cannot create a thread, the lines stay queued
    /// until the next call.
    fn start_thread(&self, state: &mut State) {
        if state.thread_running {
            return;
        }
        let shared = self.shared.clone();
        let started = thread::Builder::new()
            .name("log".into())
            .spawn(move || shared.write_lines());
        state.thread_running = started.is_ok();
    }
}

impl MakeWriter<'_> for LineQueue {
    type Writer = LineWriter;

    fn make_writer(&self) -> LineWriter {
        LineWriter {
            queue: self.clone(),
            line: Vec::new(),
        }
    }
}

/// Collects the written bytes into one line and adds the line to the queue when dropped.
pub struct LineWriter {
    queue: LineQueue,
    line: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        self.queue.push(std::mem::take(&mut self.line));
    }
}

impl Shared {
    /// Writes lines for as long as the process runs.
    fn write_lines(&self) {
        let mut log = lock(&self.log);
        let mut can_write = true;
        // Whether the log ends with an incomplete line, of which only a part could be written.
        let mut has_incomplete_line = false;
        loop {
            let mut line = self.next_line(can_write);
            if has_incomplete_line {
                // Terminates the incomplete line, so that the next line starts on a line of its own.
                line.bytes.insert(0, b'\n');
            }
            let written = write_line(&mut **log, &line.bytes);
            can_write = written == Written::Whole;
            has_incomplete_line = written == Written::Part || (has_incomplete_line && !can_write);
            if !can_write {
                lock(&self.state).dropped += line.line_count;
            }
        }
    }

    /// Waits for the next line. This is a line from the queue, or a report of dropped lines if the queue is empty and
    /// the previous write succeeded.
    fn next_line(&self, can_write: bool) -> NextLine {
        let mut state = lock(&self.state);
        state.is_writing = false;
        loop {
            let next = state.next_line(can_write);
            if let Some(line) = next {
                state.is_writing = true;
                return line;
            }
            self.all_written.notify_all();
            let added = self.line_added.wait(state);
            state = added.unwrap_or_else(PoisonError::into_inner);
        }
    }
}

impl State {
    fn next_line(&mut self, can_write: bool) -> Option<NextLine> {
        if let Some(bytes) = self.queued.pop_front() {
            self.queued_bytes -= bytes.len();
            return Some(NextLine {
                bytes,
                line_count: 1,
            });
        }
        if self.dropped == 0 || !can_write {
            return None;
        }
        let dropped = std::mem::take(&mut self.dropped);
        Some(NextLine {
            bytes: Notice::Dropped { lines: dropped }.to_line(self.format),
            line_count: dropped,
        })
    }
}

/// How much of a line was written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Written {
    Whole,
    Part,
    Nothing,
}

/// Writes a line. A log may accept only a part of the line at a time.
fn write_line(log: &mut dyn Write, line: &[u8]) -> Written {
    let mut rest = line;
    while !rest.is_empty() {
        match log.write(rest) {
            Ok(count) if count > 0 => rest = &rest[count..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                thread::sleep(WOULD_BLOCK_PAUSE);
            }
            Ok(_) | Err(_) if rest.len() < line.len() => return Written::Part,
            Ok(_) | Err(_) => return Written::Nothing,
        }
    }
    Written::Whole
}

/// Locks a mutex, even if it is poisoned. The lines and counts are consistent at any time, so a panic of another thread
/// does not invalidate them.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
