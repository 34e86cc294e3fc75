//! Further tries of a step of the start that fails for a moment: the machine may be short of something, an earlier
//! router may still hold the address, a file may just be being replaced.

use std::time::{Duration, Instant};

use super::StartError;

/// How long a start waits in all. A router has to be ready within 10 s as a rule, and within 30 s at the latest: one that
/// has waited to the end still has the time to hear from discovery.
pub const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a start waits for a file that cannot be read or is not whole. Whoever writes it is done sooner.
pub const FILE_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause after the first failure. Each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// What further tries need from the process.
pub trait Environment {
    /// The time.
    fn now(&self) -> Instant;
    /// Waits.
    fn pause(&self, duration: Duration);
    /// Whether the router has been told to shut down.
    fn is_shutdown_requested(&self) -> bool;
    /// Reports that a step has failed and is tried again for some time.
    fn report(&self, error: &StartError, remaining: Duration);
}

/// The further tries of all steps of one start.
pub struct Retries<E> {
    environment: E,
    /// The end of the whole start.
    deadline: Instant,
}

impl<E: Environment> Retries<E> {
    /// For a start that begins now.
    pub fn new(environment: E) -> Self {
        let deadline = environment.now() + START_TIMEOUT;
        Retries {
            environment,
            deadline,
        }
    }

    /// Tries a step until it succeeds, fails for good, or a time is over. The first failure is reported.
    ///
    /// # Errors
    /// With the last error of the step, or [`StartError::ShutDown`] if the router is told to shut down.
    pub fn run<T>(
        &self,
        timeout: Duration,
        mut step: impl FnMut() -> Result<T, StartError>,
    ) -> Result<T, StartError> {
        let deadline = self.deadline.min(self.environment.now() + timeout);
        let mut next_pause = FIRST_PAUSE;
        let mut is_reported = false;
        loop {
            let error = match step() {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            let remaining = deadline.saturating_duration_since(self.environment.now());
            if !error.may_pass() || remaining.is_zero() {
                return Err(error);
            }
            if !is_reported {
                self.environment.report(&error, remaining);
                is_reported = true;
            }
            self.environment.pause(next_pause.min(remaining));
            if self.environment.is_shutdown_requested() {
                return Err(StartError::ShutDown);
            }
            next_pause = (next_pause * 2).min(LONGEST_PAUSE);
        }
    }
}
