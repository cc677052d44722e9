//! Numbers of attempts, of which no two starts of any leader share one.
//!
//! The upper bits of a number are a revision of the state service, at first that of the leader's
//! claim. A later claim has a higher revision than any that this leader has seen while it led, so
//! numbers up to the newest known revision can't meet those of a later leader.

/// Number of lower bits of an attempt number, which count attempts.
const COUNT_BITS: u32 = 24;

/// Returns the number below all attempt numbers of a claim.
pub fn first_of(claim: u64) -> u64 {
    claim << COUNT_BITS
}

/// Attempt numbers of one leader.
#[derive(Debug, Clone)]
pub struct AttemptNumbers {
    last: u64,
    newest_revision: u64,
}

impl AttemptNumbers {
    /// Numbers of the leader that holds this claim.
    pub fn new(claim: u64) -> Self {
        Self {
            last: first_of(claim),
            newest_revision: claim,
        }
    }

    /// Records a revision that was read while the claim was valid. Returns whether numbers had run
    /// out until then.
    pub fn record_revision(&mut self, revision: u64) -> bool {
        let had_run_out = self.has_run_out();
        self.newest_revision = self.newest_revision.max(revision);
        had_run_out && !self.has_run_out()
    }

    /// Returns the next number, unless it could be a later leader's.
    pub fn take(&mut self) -> Option<u64> {
        if self.has_run_out() {
            return None;
        }
        self.last += 1;
        Some(self.last)
    }

    fn has_run_out(&self) -> bool {
        self.last + 1 >= first_of(self.newest_revision + 1)
    }
}
