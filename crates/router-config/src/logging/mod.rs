//! Logging for all programs: `tracing` events on standard error, as text or JSON, at the configured level and above.
//! [`RepeatLimiter`] limits how often a line from one code location is repeated. [`LineQueue`] ensures that a log that
//! blocks or fails does not stop the program.

mod line_queue;
mod notice;
mod repeat_limiter;

use std::sync::Arc;

use tracing::Subscriber;
use tracing::level_filters::LevelFilter;
use tracing::subscriber::set_global_default;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::registry::Registry;

pub use self::line_queue::{LineQueue, LineWriter, standard_error};
pub use self::repeat_limiter::{CodeLocation, RepeatLimiter};
use self::repeat_limiter::{RepeatLimitLayer, ReportSuppressed};
use crate::schema::{Format, Level, Log};

/// Logging is already initialized in this process.
#[derive(Debug, thiserror::Error)]
#[error("logging is already initialized in this process")]
pub struct AlreadyInitialized;

/// Finishes logging when it is dropped at the end of the program: reports the suppressed lines that were not yet
/// reported, and waits a limited time for queued lines to be written.
#[must_use = "suppressed lines are reported when the guard is dropped; keep it until the program ends"]
pub struct LogGuard {
    limiter: Arc<dyn ReportSuppressed + Send + Sync>,
    queue: Option<LineQueue>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.limiter.report_suppressed();
        if let Some(queue) = &self.queue {
            queue.flush();
        }
    }
}

/// Initializes logging of this process to standard error, and warns if deprecated environment variables were read. A
/// standard error that blocks or fails does not stop the process.
///
/// # Errors
/// If logging is already initialized.
pub fn init(log: &Log) -> Result<LogGuard, AlreadyInitialized> {
    let queue = standard_error();
    queue.set_format(log.format);
    let (subscriber, mut guard) = subscriber(log, queue.clone());
    guard.queue = Some(queue.clone());
    set_global_default(subscriber).map_err(|_| AlreadyInitialized)?;
    log.deprecated_variables.log_warning();
    Ok(guard)
}

/// Creates a subscriber that writes to `writer`, without installing it as the global subscriber.
pub fn subscriber<W>(log: &Log, writer: W) -> (impl Subscriber + Send + Sync, LogGuard)
where
    W: for<'a> MakeWriter<'a> + Clone + Send + Sync + 'static,
{
    let limiter = Arc::new(RepeatLimiter::new(log, writer.clone()));
    let guard = LogGuard {
        limiter: limiter.clone(),
        queue: None,
    };
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
            .with(RepeatLimitLayer::new(limiter))
            .with(level_filter(log.level)),
        guard,
    )
}

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::OFF,
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}
