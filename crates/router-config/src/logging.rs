//! Logging for all programs: `tracing` lines on standard error, as text or JSON, from the level that the
//! configuration names. A line from one place in the program is repeated only so often ([`Limit`]), so that a fault
//! that comes with every request can't fill a disk; how many were left out is written instead.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::level_filters::LevelFilter;
use tracing::subscriber::set_global_default;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::Registry;

use crate::schema::{Format, Level, Log};

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("logging is set up already in this process")]
pub struct AlreadySet;

/// Holds what was left out and not yet told; tells it when dropped, at the end of the program.
#[must_use = "dropped at once, it tells nothing of what is left out later"]
pub struct Guard(Arc<dyn Tell + Send + Sync>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.tell_all();
    }
}

/// Sends all lines of this process to standard error.
///
/// # Errors
/// Where it was done before.
pub fn init(log: &Log) -> Result<Guard, AlreadySet> {
    let (subscriber, guard) = subscriber(log, std::io::stderr);
    set_global_default(subscriber).map_err(|_| AlreadySet)?;
    Ok(guard)
}

/// The same for a writer, not yet in force.
pub fn subscriber<W>(log: &Log, writer: W) -> (impl Subscriber + Send + Sync, Guard)
where
    W: for<'a> MakeWriter<'a> + Clone + Send + Sync + 'static,
{
    let limit = Limit::new(log, writer.clone());
    let guard = Guard(limit.0.clone());
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(writer);
    let lines: Box<dyn Layer<Registry> + Send + Sync> = match log.format {
        Format::Text => Box::new(lines),
        Format::Json => Box::new(lines.json().flatten_event(true)),
    };
    (
        Registry::default()
            .with(lines)
            .with(limit)
            .with(level(log.level)),
        guard,
    )
}

fn level(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::OFF,
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}

/// What was left out, told on demand.
trait Tell {
    fn tell_all(&self);
}

/// Lets so many lines from one place through in a time.
struct Limit<W>(Arc<Counts<W>>);

/// A place in the program: its file and line.
type At = (&'static str, u32);

struct Counts<W> {
    lines: u32,
    per: Duration,
    format: Format,
    writer: W,
    /// One entry for each place that has written a line.
    places: Mutex<HashMap<At, Place>>,
}

struct Place {
    since: Instant,
    let_through: u32,
    left_out: u64,
}

impl<W> Limit<W> {
    fn new(log: &Log, writer: W) -> Self {
        let (lines, per) = (log.repeat.lines, log.repeat.per.0);
        Limit(Arc::new(Counts {
            lines,
            per,
            format: log.format,
            writer,
            places: Mutex::default(),
        }))
    }
}

impl<W: for<'a> MakeWriter<'a>> Counts<W> {
    /// Whether there is room for one more line from a place.
    fn room(&self, at: At, now: Instant) -> bool {
        // A thread that died while it counted leaves counts that are still good enough.
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let place = places.entry(at).or_insert(Place {
            since: now,
            let_through: 0,
            left_out: 0,
        });
        if now.duration_since(place.since) >= self.per {
            self.tell(at, place);
            (place.since, place.let_through) = (now, 0);
        }
        if place.let_through >= self.lines {
            place.left_out += 1;
            return false;
        }
        place.let_through += 1;
        true
    }

    fn tell(&self, (file, line): At, place: &mut Place) {
        let left_out = std::mem::take(&mut place.left_out);
        if left_out == 0 {
            return;
        }
        let (at, mut writer) = (format!("{file}:{line}"), self.writer.make_writer());
        // A log that can't be written to is no reason to stop.
        let _ = match self.format {
            Format::Text => writeln!(
                writer,
                "WARN log: {left_out} more lines from {at} were left out"
            ),
            Format::Json => {
                let line = serde_json::json!({"level": "WARN", "target": "log", "left_out": left_out, "at": at,
                    "message": "lines were left out"});
                writeln!(writer, "{line}")
            }
        };
    }
}

impl<W: for<'a> MakeWriter<'a>> Tell for Counts<W> {
    fn tell_all(&self) {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        places
            .iter_mut()
            .for_each(|(at, place)| self.tell(*at, place));
    }
}

// A layer over all others and no filter of one: a filter's answer to a single event is not taken back where a line is
// refused, and the next line finds it still in force.
impl<S, W> Layer<S> for Limit<W>
where
    S: Subscriber,
    W: for<'a> MakeWriter<'a> + 'static,
{
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let at = (
            metadata.file().unwrap_or_else(|| metadata.target()),
            metadata.line().unwrap_or(0),
        );
        self.0.room(at, Instant::now())
    }
}

#[cfg(test)]
#[path = "../tests/parts/logging.rs"]
mod tests;
