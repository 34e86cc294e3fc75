//! A bounded queue of lines between the program and its log. A separate thread writes the lines, so that a blocked log,
//! such as a full pipe that is not read, blocks only that thread.
//!
//! A line is dropped if the queue is full or if writing it fails, for example because the reader has exited or the disk
//! is full. The number of dropped lines is reported in the log once the queue is empty and the latest write has
//! succeeded.

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
/// Pause before a write that returned [`ErrorKind::WouldBlock`] is retried.
const WOULD_BLOCK_PAUSE: Duration = Duration::from_millis(20);
/// Maximum time for which [`LineQueue::flush`] waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the queue for standard error, which is the log of this process.
pub fn standard_error() -> &'static LineQueue {
    static STANDARD_ERROR: OnceLock<LineQueue> = OnceLock::new();
    STANDARD_ERROR.get_or_init(|| LineQueue::new(io::stderr()))
}

/// A queue of lines for one log. All clones share the queue.
#[derive(Clone)]
pub struct LineQueue {
    shared: Arc<Shared>,
}

/// Data that the clones of the queue share with the writing thread.
struct Shared {
    /// The log. The writing thread holds this lock as long as it runs.
    log: Mutex<Box<dyn Write + Send>>,
    state: Mutex<State>,
    line_added: Condvar,
    all_processed: Condvar,
}

/// The queued lines and the progress of the writing thread.
#[derive(Default)]
struct State {
    thread_running: bool,
    queued: VecDeque<Vec<u8>>,
    /// Total size of the lines in `queued`.
    queued_bytes: usize,
    is_writing: bool,
    /// Number of dropped lines that have not been reported yet.
    dropped: u64,
    /// Format of the report of dropped lines.
    format: Format,
}

/// The next line that the thread writes.
struct NextLine {
    bytes: Vec<u8>,
    /// Number of lines to count as dropped if the write fails: 1 for a line from the queue, the reported number for a
    /// report of dropped lines.
    dropped_on_failure: u64,
}

impl LineQueue {
    /// Creates an empty queue for a log. The first line starts the writing thread.
    pub fn new(log: impl Write + Send + 'static) -> LineQueue {
        LineQueue {
            shared: Arc::new(Shared {
                log: Mutex::new(Box::new(log)),
                state: Mutex::default(),
                line_added: Condvar::new(),
                all_processed: Condvar::new(),
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

    /// Waits until every queued line has been written or dropped, but no longer than `FLUSH_TIMEOUT`. Returns `false`
    /// on timeout.
    pub fn flush(&self) -> bool {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut state = lock(&self.shared.state);
        while state.is_writing || !state.queued.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            self.start_thread(&mut state);
            let wait_result = self.shared.all_processed.wait_timeout(state, remaining);
            state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Starts the writing thread unless it is running. If the system cannot create a thread, the lines stay queued, and
    /// a later `push` or `flush` tries again.
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

/// Collects the written bytes into one line. The destructor adds the line to the queue.
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
        let mut last_write_succeeded = true;
        // Whether the log ends with a line of which only a part was written.
        let mut has_incomplete_line = false;
        loop {
            let mut line = self.wait_for_next_line(last_write_succeeded);
            if has_incomplete_line {
                // Terminates the incomplete line, so that this line is not appended to it.
                line.bytes.insert(0, b'\n');
            }
            let written = write_line(&mut **log, &line.bytes);
            last_write_succeeded = written == Written::Whole;
            has_incomplete_line =
                written == Written::Part || (has_incomplete_line && !last_write_succeeded);
            if !last_write_succeeded {
                lock(&self.state).dropped += line.dropped_on_failure;
            }
        }
    }

    /// Waits for the next line. This is a line from the queue, or a report of dropped lines if the queue is empty and
    /// the previous write succeeded.
    fn wait_for_next_line(&self, last_write_succeeded: bool) -> NextLine {
        let mut state = lock(&self.state);
        state.is_writing = false;
        loop {
            let next = state.take_next_line(last_write_succeeded);
            if let Some(line) = next {
                state.is_writing = true;
                return line;
            }
            self.all_processed.notify_all();
            let wait_result = self.line_added.wait(state);
            state = wait_result.unwrap_or_else(PoisonError::into_inner);
        }
    }
}

impl State {
    /// Takes the next line to write, or returns `None` if there is none yet.
    fn take_next_line(&mut self, last_write_succeeded: bool) -> Option<NextLine> {
        if let Some(bytes) = self.queued.pop_front() {
            self.queued_bytes -= bytes.len();
            return Some(NextLine {
                bytes,
                dropped_on_failure: 1,
            });
        }
        if self.dropped == 0 || !last_write_succeeded {
            return None;
        }
        let dropped = std::mem::take(&mut self.dropped);
        Some(NextLine {
            bytes: Notice::Dropped { lines: dropped }.to_line(self.format),
            dropped_on_failure: dropped,
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

/// Writes a line. A log may accept only a part of the line at a time. A write that accepts no bytes is a failure.
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
