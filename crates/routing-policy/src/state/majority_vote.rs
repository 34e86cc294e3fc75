//! The value that most of a stream have, by the majority vote of Boyer and Moore.

/// A candidate and its votes beyond those against it.
#[derive(Default, Clone)]
pub(crate) struct MajorityVote {
    candidate: u64,
    votes: u32,
}

impl MajorityVote {
    /// Takes a value, which is for the candidate within the tolerance; tells whether it is. At most so many
    /// votes are kept, so that a change is noticed.
    pub(crate) fn take(&mut self, value: u64, tolerance: f64, most_votes: u32) -> bool {
        let agrees = value.abs_diff(self.candidate) as f64 <= tolerance;
        if agrees {
            self.votes = (self.votes + 1).min(most_votes);
        } else if self.votes == 0 {
            self.candidate = value;
            self.votes = 1;
        } else {
            self.votes -= 1;
        }
        agrees
    }

    /// Votes for the candidate beyond those against it.
    pub(crate) fn votes(&self) -> u32 {
        self.votes
    }
}
