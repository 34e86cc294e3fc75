//! Shows the progress of a run on sockets: as a bar on a terminal, otherwise as a line every few seconds.

use std::cell::{Cell, RefCell};

use indicatif::{ProgressBar, ProgressStyle};
use testbed::Scenario;
use testbed::sockets::Progress;
use tokio::sync::Notify;

use crate::output::{OutputError, print_line};

/// Time between two status lines if there is no terminal, in microseconds.
const LINE_INTERVAL_US: u64 = 5_000_000;
/// Template of the progress bar.
const BAR_TEMPLATE: &str = "{bar:30} {elapsed} {msg}";

/// Displays the progress of one run.
pub struct ProgressDisplay {
    bar: ProgressBar,
    /// Number of the last interval for which a status line was printed.
    last_interval: Cell<u64>,
    /// The first error of a line that could not be printed.
    failure: RefCell<Option<OutputError>>,
    /// Notified when a line could not be printed.
    failed: Notify,
}

impl ProgressDisplay {
    /// Creates a display for a run of a scenario.
    pub fn new(scenario: &Scenario) -> ProgressDisplay {
        let bar = ProgressBar::new(scenario.duration.0.as_millis() as u64);
        let style = ProgressStyle::with_template(BAR_TEMPLATE)
            .unwrap_or_else(|_| ProgressStyle::default_bar());
        ProgressDisplay {
            bar: bar.with_style(style),
            last_interval: Cell::new(0),
            failure: RefCell::new(None),
            failed: Notify::new(),
        }
    }

    /// Shows the current progress of the run.
    pub fn show(&self, progress: &Progress) {
        let (elapsed_us, length_us) = (progress.elapsed, progress.length);
        let elapsed_us = elapsed_us.min(length_us);
        let seconds = elapsed_us as f64 / 1e6;
        for message in &progress.messages {
            self.print(&format!("{seconds:>5.1} s  {message}"));
        }
        let (nodes, servers) = (progress.nodes_up, progress.servers_up);
        let served_percent = 100.0 * progress.recent.service_level();
        let status = format!(
            "{served_percent:.1}% served in time, {nodes} nodes and {servers} cache servers up"
        );
        let interval = elapsed_us / LINE_INTERVAL_US;
        if self.bar.is_hidden() && interval > self.last_interval.get() {
            self.last_interval.set(interval);
            self.print_line(&format!("{seconds:>5.1} s  {status}"));
        }
        self.bar.set_message(status);
        self.bar.set_position(elapsed_us / 1_000);
    }

    /// Prints a line without disturbing the bar.
    fn print(&self, line: &str) {
        if self.bar.is_hidden() {
            self.print_line(line);
        } else {
            self.bar.println(line);
        }
    }

    fn print_line(&self, line: &str) {
        if let Err(error) = print_line(format_args!("{line}")) {
            self.failure.borrow_mut().get_or_insert(error);
            self.failed.notify_one();
        }
    }

    /// Waits until a line could not be printed.
    pub async fn failed(&self) {
        self.failed.notified().await;
    }

    /// Fails with the first error of a line that could not be printed.
    pub fn into_result(self) -> Result<(), OutputError> {
        self.failure.take().map_or(Ok(()), Err)
    }
}

impl Drop for ProgressDisplay {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}
