//! Finds the majority value of a stream with the Boyer–Moore majority vote algorithm.

/// The current candidate, and the votes for it minus those against it.
#[derive(Default, Clone)]
pub(crate) struct MajorityVote {
    candidate: u64,
    votes: u32,
}

impl MajorityVote {
    /// Counts a value and returns whether it agrees with the candidate within the tolerance. The count is
    /// capped at `max_votes`, so that a change of the majority value is detected soon.
    pub(crate) fn observe(&mut self, value: u64, tolerance: f64, max_votes: u32) -> bool {
        let agrees = value.abs_diff(self.candidate) as f64 <= tolerance;
        if agrees {
            self.votes = (self.votes + 1).min(max_votes);
        } else if self.votes == 0 {
            self.candidate = value;
            self.votes = 1;
        } else {
            self.votes -= 1;
        }
        agrees
    }

    /// Votes for the candidate minus votes against it.
    pub(crate) fn votes(&self) -> u32 {
        self.votes
    }
}
