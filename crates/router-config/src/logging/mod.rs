//! Logging for all programs: `tracing` lines on standard error, as text or JSON, from the level that the
//! configuration names. [`RepeatLimiter`] limits how often a line from one place in the program is repeated; a
//! [`LineQueue`] keeps a log that blocks or fails from stopping the program.

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

/// Logging was set up before in this process.
#[derive(Debug, thiserror::Error)]
#[error("logging is set up already in this process")]
pub struct AlreadySet;

/// Reports, when dropped at the end of the program, how many lines were suppressed and not yet reported, and waits a
/// moment for lines that are not written yet.
#[must_use = "dropped at once, it reports no line that is suppressed later"]
pub struct Guard {
    limiter: Arc<dyn ReportSuppressed + Send + Sync>,
    queue: Option<LineQueue>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.limiter.report_suppressed();
        if let Some(queue) = &self.queue {
            queue.flush();
        }
    }
}

/// Sends all lines of this process to standard error, and warns if deprecated environment variables were read. Neither
/// a standard error that blocks nor one that fails stops the process.
///
/// # Errors
/// Where logging was set up before.
pub fn init(log: &Log) -> Result<Guard, AlreadySet> {
    let queue = standard_error();
    queue.set_format(log.format);
    let (subscriber, mut guard) = subscriber(log, queue.clone());
    guard.queue = Some(queue.clone());
    set_global_default(subscriber).map_err(|_| AlreadySet)?;
    log.deprecated_variables.log_warning();
    Ok(guard)
}

/// A subscriber that writes to `writer`, not yet set as the process's own.
pub fn subscriber<W>(log: &Log, writer: W) -> (impl Subscriber + Send + Sync, Guard)
where
    W: for<'a> MakeWriter<'a> + Clone + Send + Sync + 'static,
{
    let limiter = Arc::new(RepeatLimiter::new(log, writer.clone()));
    let guard = Guard {
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
