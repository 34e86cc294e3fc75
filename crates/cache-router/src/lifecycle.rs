//! The router's lifecycle, from its start to the end of its shutdown. It owns the deadlines of the shutdown; the event
//! loop keeps the timers and reports when they are due.

use routing_policy::Micros;
use tokio::sync::watch;

/// After SIGTERM, new connections are accepted for this long: clients go on opening them for up to 0.4 s.
const ACCEPT_AFTER_TERMINATE: Micros = 450_000;
/// The shutdown ends at the latest this long after the longest deadline of a request class.
const SHUTDOWN_SLACK: Micros = 550_000;
/// The platform kills a router no sooner than the longest deadline after SIGTERM, of which it counts this much at most.
pub const KILL_LONGEST_DEADLINE: Micros = 3_000_000;
/// The platform adds this much before it kills: what arrived 0.7 s after SIGTERM or later has its reply by then.
pub const KILL_SLACK: Micros = 700_000;
/// Time to write the last replies, before the router ends and before it may be killed.
pub const FINAL_WRITE_TIME: Micros = 100_000;
/// How long the process may be held up between reading its clock and writing.
const LONGEST_HOLD_UP: Micros = 150_000;
/// How long after new connections are no longer accepted the router first checks whether it has finished.
const FIRST_FINISHED_CHECK: Micros = 20_000;
/// How often it checks from then on.
const FINISHED_CHECK_INTERVAL: Micros = 10_000;

/// The phase of the router's life.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LifecyclePhase {
    /// It has no endpoint list with a ready server yet.
    Starting,
    /// It serves.
    Ready,
    /// It shuts down: client connections are closed between requests.
    Draining,
    /// The end of the shutdown is near: no further command is accepted, so that none is left without a reply.
    Closing,
}

impl LifecyclePhase {
    /// Whether client connections are closed between requests.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, LifecyclePhase::Draining | LifecyclePhase::Closing)
    }
}

/// A step of the shutdown. The order decides between timers that are due at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStep {
    /// Stop accepting connections, and close those of clients between requests.
    Drain,
    /// Accept no further command.
    Close,
    /// Check whether all is finished.
    CheckFinished,
}

/// A step of the shutdown and when it is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledStep {
    /// When it is due.
    pub at: Micros,
    /// The step.
    pub step: ShutdownStep,
}

/// The deadlines of a shutdown that has begun.
#[derive(Debug, Clone, Copy)]
struct ShutdownDeadlines {
    /// Requests have their reply by then.
    reply_by: Micros,
    /// The router ends by then, finished or not.
    end_by: Micros,
    /// No further command is accepted, and the last replies are being written.
    is_closing: bool,
}

/// The state machine of the router's life, which publishes its phase to the tasks of the clients.
pub struct Lifecycle {
    phase: watch::Sender<LifecyclePhase>,
    has_been_ready: bool,
    /// The longest deadline of a request class.
    longest_deadline: Micros,
    shutdown: Option<ShutdownDeadlines>,
}

impl Lifecycle {
    /// A router that starts. `phase` tells the clients' tasks, `longest_deadline` is that of all request classes.
    pub fn new(phase: watch::Sender<LifecyclePhase>, longest_deadline: Micros) -> Self {
        Lifecycle {
            phase,
            has_been_ready: false,
            longest_deadline,
            shutdown: None,
        }
    }

    /// Whether the router has had a ready server at any time.
    pub fn has_been_ready(&self) -> bool {
        self.has_been_ready
    }

    /// The first ready server is known: the router serves, unless its shutdown has begun.
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

    /// Begins the shutdown; the steps to schedule, or `None` if it has begun before.
    pub fn begin_shutdown(&mut self, now: Micros) -> Option<[ScheduledStep; 3]> {
        if self.shutdown.is_some() {
            return None;
        }
        let end_by = now + self.longest_deadline + SHUTDOWN_SLACK;
        let killed_at = now + self.longest_deadline.min(KILL_LONGEST_DEADLINE) + KILL_SLACK;
        // The end waits for a router that was held up, and the kill does not.
        let reply_by =
            (end_by - FINAL_WRITE_TIME).min(killed_at - FINAL_WRITE_TIME - LONGEST_HOLD_UP);
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

    /// Stops accepting connections, and closes those of clients between requests.
    pub fn drain(&self) {
        self.publish(LifecyclePhase::Draining);
    }

    /// Accepts no further command. The last replies have their time to be written also if this comes late.
    pub fn close(&mut self, now: Micros) {
        if let Some(deadlines) = &mut self.shutdown {
            deadlines.is_closing = true;
            deadlines.end_by = deadlines.end_by.max(now + FINAL_WRITE_TIME);
        }
        self.publish(LifecyclePhase::Closing);
    }

    /// When to check again whether all is finished.
    pub fn next_finished_check(&self, now: Micros) -> ScheduledStep {
        ScheduledStep {
            at: now + FINISHED_CHECK_INTERVAL,
            step: ShutdownStep::CheckFinished,
        }
    }

    /// Whether the time of the shutdown is over, finished or not. It never is before the last replies had their time.
    pub fn is_past_end(&self, now: Micros) -> bool {
        self.shutdown
            .is_some_and(|deadlines| deadlines.is_closing && now >= deadlines.end_by)
    }

    /// The deadline of a request: its own, or the last time for replies of a shutdown that has begun.
    pub fn limit_deadline(&self, deadline: Micros) -> Micros {
        deadline.min(self.reply_by().unwrap_or(Micros::MAX))
    }

    /// When all replies are due, once the shutdown has begun.
    pub fn reply_by(&self) -> Option<Micros> {
        self.shutdown.map(|deadlines| deadlines.reply_by)
    }

    /// When the router ends at the latest, once the shutdown has begun.
    pub fn end_by(&self) -> Option<Micros> {
        self.shutdown.map(|deadlines| deadlines.end_by)
    }

    fn publish(&self, phase: LifecyclePhase) {
        // Without a receiver no client is left that would have to know.
        let _ = self.phase.send(phase);
    }
}
