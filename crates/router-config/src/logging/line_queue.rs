//! A bounded queue of lines between the program and its log. A thread writes them, so that a log that blocks, such as a
//! full pipe that nobody reads, holds up that thread only.
//!
//! A line that finds the queue full or cannot be written (the reader is gone, the disk is full) is dropped. How many
//! were dropped is written once the log has caught up.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

use super::notice::Notice;
use crate::schema::Format;

/// The most bytes that wait to be written: several thousand lines.
const MAX_WAITING_BYTES: usize = 1024 * 1024;
/// How long a log that can take nothing now, and is not to block, is left alone.
const WOULD_BLOCK_PAUSE: Duration = Duration::from_millis(20);
/// How long the end of a program waits for the lines that are not written yet.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The log of this process: standard error.
pub fn standard_error() -> &'static LineQueue {
    static STANDARD_ERROR: OnceLock<LineQueue> = OnceLock::new();
    STANDARD_ERROR.get_or_init(|| LineQueue::new(io::stderr()))
}

/// A queue of lines for one log. A clone is the same queue.
#[derive(Clone)]
pub struct LineQueue {
    shared: Arc<Shared>,
}

/// What the queue and its thread share.
struct Shared {
    /// The thread has it locked for as long as it runs.
    log: Mutex<Box<dyn Write + Send>>,
    state: Mutex<State>,
    line_added: Condvar,
    all_written: Condvar,
}

#[derive(Default)]
struct State {
    thread_runs: bool,
    waiting: VecDeque<Vec<u8>>,
    /// The size of all lines in `waiting`.
    waiting_bytes: usize,
    is_writing: bool,
    /// How many lines were dropped since that was last reported.
    dropped: u64,
    /// The format in which it is reported.
    format: Format,
}

/// What the thread writes next.
struct NextLine {
    bytes: Vec<u8>,
    /// How many lines are lost if it cannot be written: a report stands for all those that it counts.
    stands_for: u64,
}

impl LineQueue {
    /// An empty queue for a log. Its thread starts with the first line.
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

    /// Adds a line, which includes its line feed, or drops it if too much waits already. It never waits for the log.
    pub fn push(&self, line: Vec<u8>) {
        let mut state = lock(&self.shared.state);
        if state.waiting_bytes + line.len() > MAX_WAITING_BYTES {
            state.dropped += 1;
            return;
        }
        state.waiting_bytes += line.len();
        state.waiting.push_back(line);
        self.start_thread(&mut state);
        drop(state);
        self.shared.line_added.notify_one();
    }

    /// Waits until all lines are written, but not for long; whether they are.
    pub fn flush(&self) -> bool {
        let end = Instant::now() + FLUSH_TIMEOUT;
        let mut state = lock(&self.shared.state);
        while state.is_writing || !state.waiting.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            self.start_thread(&mut state);
            let waited = self.shared.all_written.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Starts the thread unless it runs. If the system has none to give, the lines wait for the next try.
    fn start_thread(&self, state: &mut State) {
        if state.thread_runs {
            return;
        }
        let shared = self.shared.clone();
        let started = thread::Builder::new()
            .name("log".into())
            .spawn(move || shared.write_lines());
        state.thread_runs = started.is_ok();
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

/// Collects what is written into one line, which it adds to the queue when it is dropped.
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
        // Whether a line was written in part only.
        let mut is_line_open = false;
        loop {
            let mut line = self.next_line(can_write);
            if is_line_open {
                // What there is of the other line stays a line of its own.
                line.bytes.insert(0, b'\n');
            }
            let written = write_line(&mut **log, &line.bytes);
            can_write = written == Written::Whole;
            is_line_open = written == Written::Part || (is_line_open && !can_write);
            if !can_write {
                lock(&self.state).dropped += line.stands_for;
            }
        }
    }

    /// Waits for the next line: one from the queue, or a report of dropped lines if none waits and the log takes them.
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
        if let Some(bytes) = self.waiting.pop_front() {
            self.waiting_bytes -= bytes.len();
            return Some(NextLine {
                bytes,
                stands_for: 1,
            });
        }
        if self.dropped == 0 || !can_write {
            return None;
        }
        let dropped = std::mem::take(&mut self.dropped);
        Some(NextLine {
            bytes: Notice::Dropped { lines: dropped }.to_line(self.format),
            stands_for: dropped,
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

/// Writes a whole line, also if the log takes only a part of it at a time.
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

/// Locks a mutex, also after a panic: lines and counts are whole at any time.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
