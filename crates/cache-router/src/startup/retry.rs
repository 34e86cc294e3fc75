//! Retries of startup steps that fail for a short time: the machine may lack a resource, an earlier router may still
//! hold the address, or a file may be in the process of replacement.

use std::time::{Duration, Instant};

use super::StartError;

/// Time limit for the retries of the whole startup. A router normally has to be ready within 10 s, and within 30 s at
/// the latest. If the retries take all of this time, enough is left to get the endpoint list from discovery.
pub const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for a file that cannot be read or is incomplete. A program that writes the file needs less time.
pub const FILE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after the first failure. Each further delay is twice as long.
const INITIAL_DELAY: Duration = Duration::from_millis(10);
/// Maximum delay between two tries.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// The functions of the process that retries need.
pub trait Environment {
    /// Returns the time.
    fn now(&self) -> Instant;
    /// Blocks the thread.
    fn sleep(&self, duration: Duration);
    /// Returns whether the router has received a shutdown signal.
    fn is_shutdown_requested(&self) -> bool;
    /// Reports that a step has failed and is retried for the remaining time.
    fn report(&self, error: &StartError, remaining: Duration);
}

/// The retries of all steps of one startup.
pub struct Retries<E> {
    environment: E,
    /// The time limit of the whole startup.
    deadline: Instant,
}

impl<E: Environment> Retries<E> {
    /// Creates the retries for a startup that begins now.
    pub fn new(environment: E) -> Self {
        let deadline = environment.now() + START_TIMEOUT;
        Retries {
            environment,
            deadline,
        }
    }

    /// Tries a step until it succeeds, fails permanently, or a time limit has passed. The first failure is reported.
    ///
    /// # Errors
    /// The last error of the step, or [`StartError::ShutDown`] if the router receives a shutdown signal.
    pub fn run<T>(
        &self,
        timeout: Duration,
        mut step: impl FnMut() -> Result<T, StartError>,
    ) -> Result<T, StartError> {
        let deadline = self.deadline.min(self.environment.now() + timeout);
        let mut next_delay = INITIAL_DELAY;
        let mut is_reported = false;
        loop {
            let error = match step() {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            let remaining = deadline.saturating_duration_since(self.environment.now());
            if !error.is_transient() || remaining.is_zero() {
                return Err(error);
            }
            if !is_reported {
                self.environment.report(&error, remaining);
                is_reported = true;
            }
            self.environment.sleep(next_delay.min(remaining));
            if self.environment.is_shutdown_requested() {
                return Err(StartError::ShutDown);
            }
            next_delay = (next_delay * 2).min(MAX_DELAY);
        }
    }
}
