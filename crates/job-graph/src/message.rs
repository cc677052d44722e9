//! Inputs and outputs of the graph.

use std::time::Duration;

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The job completed.
    Done,
    /// The job was cancelled before it completed.
    Cancelled,
}

/// The stored terminal state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TerminalState {
    /// Outcome of the job.
    pub outcome: Outcome,
    /// Time at which the job ended in Unix milliseconds, if it was stored.
    pub at_ms: Option<u64>,
}

/// Properties of an active job that the graph uses.
#[derive(Debug, Clone, PartialEq)]
pub struct JobFacts<Id> {
    /// Jobs that must be done before this one may start. Duplicates count once.
    pub needs: Vec<Id>,
    /// Own priority; higher values go first.
    pub priority: u8,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_ms: u64,
    /// Deadline in Unix milliseconds.
    pub deadline_ms: Option<u64>,
    /// Expected time from readiness to completion.
    pub expected: Duration,
}

/// Inputs of the graph.
#[derive(Debug, Clone, PartialEq)]
pub enum Input<Id> {
    /// A job became active. Ignored if it is active already or its terminal state is known.
    Added {
        /// The job.
        id: Id,
        /// Properties of the job.
        facts: JobFacts<Id>,
    },
    /// A job is no longer active; its terminal state is not known yet.
    Removed {
        /// The job.
        id: Id,
    },
    /// The terminal state of a job, active or not, was read or written. Implies
    /// [`Input::Removed`]. A second terminal state of the same job is ignored.
    Ended {
        /// The job.
        id: Id,
        /// Its terminal state.
        terminal_state: TerminalState,
    },
    /// An updated estimate for an active job.
    Expected {
        /// The job.
        id: Id,
        /// Expected time from readiness to completion.
        expected: Duration,
    },
}

/// The urgency of an active job, derived from its own properties and those of its dependents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Highest of its own priority and the priorities of the jobs that wait for it.
    pub priority: u8,
    /// Latest finish in Unix milliseconds that meets its own deadline and those of the jobs that
    /// wait for it; `None` if no such job has a deadline.
    pub latest_finish_ms: Option<u64>,
}

/// Outputs of the graph.
#[derive(Debug, Clone, PartialEq)]
pub enum Output<Id> {
    /// Every need of this job is known to be done. Not reported for a job without needs.
    Ready {
        /// The job.
        id: Id,
        /// Time at which the last need was done, or the time of acceptance if that is later; in
        /// Unix milliseconds.
        since_ms: u64,
    },
    /// A direct or transitive need of this active job is cancelled. Reported once.
    Cancelled {
        /// The job.
        id: Id,
    },
    /// The terminal state of this inactive job is needed but not known: the caller must read it.
    Lookup {
        /// The inactive job.
        id: Id,
    },
    /// The urgency of an active job has changed. For a new job it is reported only if the job
    /// has needs or dependents.
    Urgency {
        /// The job.
        id: Id,
        /// The new urgency.
        urgency: Urgency,
    },
}
