//! A limit on how often a log line from one code location is repeated, so that a fault that occurs with every request
//! cannot fill a disk. Lines over the limit are suppressed and counted, and the count is written instead.

use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Layer};

use super::notice::Notice;
use crate::schema::{Format, Log};

/// A location in the source code that writes log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CodeLocation {
    /// Path of the source file, or the event's target if the path is unknown.
    pub file: &'static str,
    /// Line in the file, starting at 1; 0 if unknown.
    pub line: u32,
}

impl CodeLocation {
    fn of(event: &Event<'_>) -> CodeLocation {
        let metadata = event.metadata();
        CodeLocation {
            file: metadata.file().unwrap_or_else(|| metadata.target()),
            line: metadata.line().unwrap_or(0),
        }
    }
}

impl Display for CodeLocation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// Counts of the lines of one code location in the current interval.
struct Interval {
    started_at: Instant,
    written: u32,
    suppressed: u64,
}

impl Interval {
    fn starting_at(now: Instant) -> Interval {
        Interval {
            started_at: now,
            written: 0,
            suppressed: 0,
        }
    }
}

/// Counts the lines of each code location and limits them in each interval.
pub struct RepeatLimiter<W> {
    max_lines: u32,
    interval: Duration,
    format: Format,
    writer: W,
    /// One entry for each location that has logged a line.
    intervals: Mutex<HashMap<CodeLocation, Interval>>,
}

impl<W> RepeatLimiter<W> {
    /// Creates a limiter with the limits of a configuration. It reports suppressed lines to `writer`.
    pub fn new(log: &Log, writer: W) -> Self {
        RepeatLimiter {
            max_lines: log.repeat.lines,
            interval: log.repeat.per.0,
            format: log.format,
            writer,
            intervals: Mutex::default(),
        }
    }
}

impl<W: for<'a> MakeWriter<'a>> RepeatLimiter<W> {
    /// Counts a line of a location and returns whether the line may be written.
    pub fn admit(&self, location: CodeLocation, now: Instant) -> bool {
        // The lock may be poisoned. The counts need not be exact, so those that a panicked thread left are used.
        let mut intervals = self
            .intervals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let interval = intervals
            .entry(location)
            .or_insert_with(|| Interval::starting_at(now));
        if now.duration_since(interval.started_at) >= self.interval {
            self.report(location, interval.suppressed);
            *interval = Interval::starting_at(now);
        }
        if interval.written >= self.max_lines {
            interval.suppressed += 1;
            return false;
        }
        interval.written += 1;
        true
    }

    /// Writes the number of suppressed lines of a location, unless it is 0.
    fn report(&self, location: CodeLocation, suppressed: u64) {
        if suppressed == 0 {
            return;
        }
        let notice = Notice::Suppressed {
            lines: suppressed,
            location,
        };
        let line = notice.to_line(self.format);
        // A log that cannot be written to must not stop the program.
        let _ = self.writer.make_writer().write_all(&line);
    }
}

/// The part of a limiter that does not depend on the type of its writer.
pub(super) trait ReportSuppressed {
    /// Writes the number of suppressed lines of each location, and resets the counts.
    fn report_suppressed(&self);
}

impl<W: for<'a> MakeWriter<'a>> ReportSuppressed for RepeatLimiter<W> {
    fn report_suppressed(&self) {
        let mut intervals = self
            .intervals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (location, interval) in intervals.iter_mut() {
            self.report(*location, std::mem::take(&mut interval.suppressed));
        }
    }
}

/// Applies a limiter to all lines of a subscriber.
///
/// This is a layer above all others and not a per-layer filter. The result of a per-layer filter for an event is not
/// reset when that event is suppressed, and would still apply to the next event.
pub(super) struct RepeatLimitLayer<W> {
    limiter: Arc<RepeatLimiter<W>>,
}

impl<W> RepeatLimitLayer<W> {
    pub(super) fn new(limiter: Arc<RepeatLimiter<W>>) -> Self {
        RepeatLimitLayer { limiter }
    }
}

impl<S, W> Layer<S> for RepeatLimitLayer<W>
where
    S: Subscriber,
    W: for<'a> MakeWriter<'a> + 'static,
{
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        self.limiter.admit(CodeLocation::of(event), Instant::now())
    }
}
