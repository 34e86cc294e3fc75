//! The jobs that a cache server or the origin works on, each with the response that was settled on its arrival.

use std::collections::BTreeMap;

use crate::Micros;
use crate::machine::{JobId, Machine};

/// A job that is completed, and the response to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletedJob<R> {
    /// The job.
    pub job: JobId,
    /// Its response.
    pub response: R,
}

/// The responses that accepted jobs will get.
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
    /// A job was accepted.
    pub(crate) fn insert(&mut self, job: JobId, response: R) {
        self.responses.insert(job, response);
    }

    /// A job is dropped and gets no response.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.responses.remove(&job);
    }

    /// All jobs are lost.
    pub(crate) fn clear(&mut self) {
        self.responses.clear();
    }

    /// The jobs that their machine has completed by now, with their responses.
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
