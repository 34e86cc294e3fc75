//! A limit on how often a line from one place in the program is repeated, so that a fault that comes with every
//! request cannot fill a disk. The lines over the limit are counted, and the count is written in their place.

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

/// A place in the source code that writes log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CodeLocation {
    /// Path of the source file, or the event's target where that is not known.
    pub file: &'static str,
    /// Line in the file, from 1; 0 where it is not known.
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

/// The lines of one code location in the current interval.
struct Interval {
    began: Instant,
    written: u32,
    suppressed: u64,
}

impl Interval {
    fn beginning(now: Instant) -> Interval {
        Interval {
            began: now,
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
    /// One entry for each location that has written a line.
    intervals: Mutex<HashMap<CodeLocation, Interval>>,
}

impl<W> RepeatLimiter<W> {
    /// A limiter with the limits of a configuration, which reports suppressed lines to `writer`.
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
    /// Counts one more line of a location and returns whether it may be written.
    pub fn admit(&self, location: CodeLocation, now: Instant) -> bool {
        // A thread that panicked while it counted leaves counts that are still good enough.
        let mut intervals = self
            .intervals
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let interval = intervals
            .entry(location)
            .or_insert_with(|| Interval::beginning(now));
        if now.duration_since(interval.began) >= self.interval {
            self.report(location, interval.suppressed);
            *interval = Interval::beginning(now);
        }
        if interval.written >= self.max_lines {
            interval.suppressed += 1;
            return false;
        }
        interval.written += 1;
        true
    }

    /// Writes how many lines of a location were suppressed, if any.
    fn report(&self, location: CodeLocation, suppressed: u64) {
        if suppressed == 0 {
            return;
        }
        let notice = Notice::Suppressed {
            lines: suppressed,
            location,
        };
        let line = notice.to_line(self.format);
        // A log that cannot be written to is no reason to stop.
        let _ = self.writer.make_writer().write_all(&line);
    }
}

/// Reports what a limiter has suppressed, whatever it writes to.
pub(super) trait ReportSuppressed {
    /// Writes the count of suppressed lines of each location, and begins to count anew.
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
/// It is a layer over all others and not a per-layer filter: the answer of such a filter to a single event is not
/// taken back where a line is suppressed, and the next line finds it still in force.
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
