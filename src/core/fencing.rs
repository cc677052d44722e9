//! Fencing of commands that were sent directly to a worker, and of the starts among them.
//!
//! A direct command under token T for session S takes effect on its machine in every copy that
//! arrives, until the worker has seen a token above T or has begun a session after S, or the machine
//! is gone. An answer proves that one copy was executed; it proves nothing about the others.
//!
//! A start has no effect while the worker knows its attempt. Its copies therefore matter from the
//! moment at which the worker forgets the attempt, and a worker is told to forget one only under a
//! token above those of all its direct starts. So whatever a report shows to be gone from a machine
//! can't return to it: the task may start elsewhere, and the machine may count as empty.
//!
//! The upper bits of a token are the claim of its leader, so the first token of a claim is above
//! those of all earlier leaders. The lower bits are raised for single workers. A start is never sent
//! directly under a worker's last token, since no higher one would be left to void its copies.

/// Number of lower bits of a token, which are raised for single workers.
const WORKER_BITS: u32 = 16;

/// Returns the first token of a claim.
pub fn first_token(claim: u64) -> u64 {
    claim << WORKER_BITS
}

/// Returns the claim of the leader that uses the token.
pub fn claim_of(token: u64) -> u64 {
    token >> WORKER_BITS
}

/// Returns the next token for a worker under the same claim, or `None` after the last.
pub fn raised(token: u64) -> Option<u64> {
    let next = token.checked_add(1)?;
    (claim_of(next) == claim_of(token)).then_some(next)
}

/// Returns whether a start may be sent directly under the token.
pub fn allows_direct_start(token: u64) -> bool {
    raised(token).is_some()
}

/// Copies of an attempt's start that may still arrive at its worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StartCopies {
    /// Last report whose answer carried the start, or 0 if none did.
    answered_report: u64,
    /// Highest token under which the start was sent directly.
    direct_token: Option<u64>,
}

impl StartCopies {
    /// Copies of a start that this leader sent and no longer knows of.
    pub fn unknown(worker_token: u64) -> Self {
        Self {
            answered_report: 0,
            direct_token: Some(worker_token),
        }
    }

    /// Records that the answer to this report carries the start.
    pub fn record_answer(&mut self, report_seq: u64) {
        self.answered_report = report_seq;
    }

    /// Records that the start is sent directly under this token.
    pub fn record_direct(&mut self, token: u64) {
        self.direct_token = self.direct_token.max(Some(token));
    }

    /// Returns whether the answer that carried the start may be in flight. A worker has one report
    /// in flight and drops late answers, so a later report rules it out.
    pub fn answer_may_arrive(&self, last_report: u64) -> bool {
        self.answered_report != 0 && self.answered_report >= last_report
    }

    /// Returns the lowest token, from the worker's present one on, that voids all direct copies, or
    /// `None` if no token of this claim does.
    pub fn voiding_token(&self, worker_token: u64) -> Option<u64> {
        match self.direct_token {
            Some(token) if token >= worker_token => raised(token),
            _ => Some(worker_token),
        }
    }
}
