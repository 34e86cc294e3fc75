//! The jobs that a cache server or the origin has accepted, each with the response that was determined on its arrival.

use std::collections::BTreeMap;

use crate::Micros;
use crate::machine::{JobId, Machine};

/// A completed job and its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletedJob<R> {
    /// The completed job.
    pub job: JobId,
    /// The response to the job.
    pub response: R,
}

/// The accepted jobs with the response that each will get.
#[derive(Debug)]
pub(crate) struct AcceptedJobs<R> {
    responses: BTreeMap<JobId, R>,
}

impl<R> Default for AcceptedJobs<R> {
    fn default() -> Self {
        AcceptedJobs {
            responses: BTreeMap::new(),
        }
    }
}

impl<R> AcceptedJobs<R> {
    /// Adds an accepted job.
    pub(crate) fn insert(&mut self, job: JobId, response: R) {
        self.responses.insert(job, response);
    }

    /// Removes a job that was dropped. It gets no response.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.responses.remove(&job);
    }

    /// Removes all jobs, as they are lost.
    pub(crate) fn clear(&mut self) {
        self.responses.clear();
    }

    /// Returns the jobs that the machine has completed by now, with their responses.
    pub(crate) fn take_completed(
        &mut self,
        machine: &mut Machine,
        now: Micros,
    ) -> Vec<CompletedJob<R>> {
        let completed = machine.take_completed(now).into_iter();
        completed
            .filter_map(|job| {
                let response = self.responses.remove(&job)?;
                Some(CompletedJob { job, response })
            })
            .collect()
    }
}
