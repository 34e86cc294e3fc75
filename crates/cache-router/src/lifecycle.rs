//! The router's lifecycle, from startup to the end of shutdown. This module computes the deadlines of the shutdown; the
//! event loop keeps the timers and reports when they are due.

use routing_policy::Micros;
use tokio::sync::watch;

/// After SIGTERM, new connections are accepted for this long, in microseconds, because clients continue to open them
/// for up to 0.4 s.
const ACCEPT_AFTER_TERMINATE: Micros = 450_000;
/// The shutdown ends no later than this many microseconds after the longest deadline of a request class, counted from
/// SIGTERM.
const SHUTDOWN_GRACE_PERIOD: Micros = 550_000;
/// The platform kills a router no sooner than the longest deadline of a request class after SIGTERM. A longer deadline
/// than this many microseconds counts as this many.
pub const MAX_KILL_DEADLINE: Micros = 3_000_000;
/// The platform waits this many microseconds after that deadline before it kills a router. Requests that arrive 0.7 s
/// after SIGTERM or later must have their reply by then.
pub const KILL_GRACE_PERIOD: Micros = 700_000;
/// Time reserved for writing the last replies, in microseconds, both before the router exits and before it may be
/// killed.
pub const FINAL_WRITE_TIME: Micros = 100_000;
/// The longest time for which the process may be suspended between reading its clock and writing, in microseconds.
const MAX_SUSPENSION: Micros = 150_000;
/// Delay from the end of accepting connections to the first check whether the router has finished, in microseconds.
const FIRST_FINISHED_CHECK: Micros = 20_000;
/// Interval between further checks, in microseconds.
const FINISHED_CHECK_INTERVAL: Micros = 10_000;

/// A phase of the router's lifecycle.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LifecyclePhase {
    /// No endpoint list has had a ready server yet.
    Starting,
    /// The router serves requests.
    Ready,
    /// The router is shutting down: client connections are closed between requests.
    Draining,
    /// The end of the shutdown is near: no further command is accepted, so that no accepted command is left without a
    /// reply.
    Closing,
}

impl LifecyclePhase {
    /// Returns whether client connections are closed between requests.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, LifecyclePhase::Draining | LifecyclePhase::Closing)
    }
}

/// A step of the shutdown. The order decides between timers that are due at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStep {
    /// Stop accepting connections, and close client connections between requests.
    Drain,
    /// Accept no further commands.
    Close,
    /// Check whether the router has finished.
    CheckFinished,
}

/// A step of the shutdown and when it is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledStep {
    /// When the step is due.
    pub at: Micros,
    /// The step.
    pub step: ShutdownStep,
}

/// The deadlines of a shutdown in progress.
#[derive(Debug, Clone, Copy)]
struct ShutdownDeadlines {
    /// All requests have their reply by this time.
    reply_by: Micros,
    /// The router exits by this time, even if it has not finished.
    end_by: Micros,
    /// Whether the last replies are being written and no further command is accepted.
    is_closing: bool,
}

/// The state machine of the router's lifecycle. It publishes the phase to the client tasks.
pub struct Lifecycle {
    phase: watch::Sender<LifecyclePhase>,
    has_been_ready: bool,
    /// The longest deadline of a request class.
    longest_deadline: Micros,
    shutdown: Option<ShutdownDeadlines>,
}

impl Lifecycle {
    /// Creates the lifecycle of a router that is starting. `phase` publishes to the client tasks; `longest_deadline` is
    /// the longest of all request classes.
    pub fn new(phase: watch::Sender<LifecyclePhase>, longest_deadline: Micros) -> Self {
        Lifecycle {
            phase,
            has_been_ready: false,
            longest_deadline,
            shutdown: None,
        }
    }

    /// Returns whether the router has ever had a ready server.
    pub fn has_been_ready(&self) -> bool {
        self.has_been_ready
    }

    /// Records that a ready server is known. The router serves requests from then on, unless its shutdown has begun.
    pub fn become_ready(&mut self) {
        self.has_been_ready = true;
        self.phase.send_if_modified(|phase| {
            let is_starting = *phase == LifecyclePhase::Starting;
            if is_starting {
                *phase = LifecyclePhase::Ready;
            }
            is_starting
        });
    }

    /// Begins the shutdown. Returns the steps to schedule, or `None` if the shutdown had begun before.
    pub fn begin_shutdown(&mut self, now: Micros) -> Option<[ScheduledStep; 3]> {
        if self.shutdown.is_some() {
            return None;
        }
        let end_by = now + self.longest_deadline + SHUTDOWN_GRACE_PERIOD;
        let killed_at = now + self.longest_deadline.min(MAX_KILL_DEADLINE) + KILL_GRACE_PERIOD;
        // If the router is suspended, its own end is delayed as well, but the platform's kill is not. Only the latter
        // needs a reserve for a suspension.
        let reply_by =
            (end_by - FINAL_WRITE_TIME).min(killed_at - FINAL_WRITE_TIME - MAX_SUSPENSION);
        self.shutdown = Some(ShutdownDeadlines {
            reply_by,
            end_by,
            is_closing: false,
        });
        let drain_at = now + ACCEPT_AFTER_TERMINATE;
        Some([
            ScheduledStep {
                at: drain_at,
                step: ShutdownStep::Drain,
            },
            ScheduledStep {
                at: drain_at + FIRST_FINISHED_CHECK,
                step: ShutdownStep::CheckFinished,
            },
            ScheduledStep {
                at: reply_by.max(drain_at),
                step: ShutdownStep::Close,
            },
        ])
    }

    /// Stops accepting connections, and closes client connections between requests.
    pub fn drain(&self) {
        self.publish(LifecyclePhase::Draining);
    }

    /// Stops accepting commands. The time for writing the last replies is reserved even if this step is late.
    pub fn close(&mut self, now: Micros) {
        if let Some(deadlines) = &mut self.shutdown {
            deadlines.is_closing = true;
            deadlines.end_by = deadlines.end_by.max(now + FINAL_WRITE_TIME);
        }
        self.publish(LifecyclePhase::Closing);
    }

    /// Returns the next check whether the router has finished.
    pub fn next_finished_check(&self, now: Micros) -> ScheduledStep {
        ScheduledStep {
            at: now + FINISHED_CHECK_INTERVAL,
            step: ShutdownStep::CheckFinished,
        }
    }

    /// Returns whether the shutdown has reached its end time, even if it has not finished. This is never the case
    /// before the time for the last replies has passed.
    pub fn is_past_end(&self, now: Micros) -> bool {
        self.shutdown
            .is_some_and(|deadlines| deadlines.is_closing && now >= deadlines.end_by)
    }

    /// Limits the deadline of a request to the time by which a shutdown in progress must have sent all replies.
    pub fn limit_deadline(&self, deadline: Micros) -> Micros {
        deadline.min(self.reply_by().unwrap_or(Micros::MAX))
    }

    /// Returns when all replies are due, once the shutdown has begun.
    pub fn reply_by(&self) -> Option<Micros> {
        self.shutdown.map(|deadlines| deadlines.reply_by)
    }

    /// Returns when the router exits at the latest, once the shutdown has begun.
    pub fn end_by(&self) -> Option<Micros> {
        self.shutdown.map(|deadlines| deadlines.end_by)
    }

    fn publish(&self, phase: LifecyclePhase) {
        // Sending fails only if no receiver, and so no client task, is left.
        let _ = self.phase.send(phase);
    }
}
