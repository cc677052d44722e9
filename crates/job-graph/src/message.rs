//! What goes into the graph and what comes out of it.

use std::time::Duration;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to its end.
    Done,
    /// It was given up before that.
    Cancelled,
}

/// The stored end of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// When, in milliseconds of the time of day, if that was stored.
    pub at_ms: Option<u64>,
}

/// What the graph has to know of an active job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobFacts<Id> {
    /// The jobs that have to be done before this one may start. Duplicates count once.
    pub needs: Vec<Id>,
    /// Its own priority; a higher one goes first.
    pub priority: u8,
    /// When it was accepted, in milliseconds of the time of day.
    pub accepted_ms: u64,
    /// When it should be done at the latest, in milliseconds of the time of day.
    pub deadline_ms: Option<u64>,
    /// The time from the moment it may start until it is done.
    pub expected: Duration,
}

/// What the graph is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input<Id> {
    /// A job is active. Changes nothing if it is active already or its end is known.
    Added {
        /// The job.
        id: Id,
        /// What is known of it.
        facts: JobFacts<Id>,
    },
    /// A job is no longer active; how it ended is not known here yet.
    Removed {
        /// The job.
        id: Id,
    },
    /// The stored end of a job, active or not, was read or written. It implies
    /// [`Input::Removed`]. A second end of the same job is ignored.
    Ended {
        /// The job.
        id: Id,
        /// Its end.
        end: End,
    },
    /// A better estimate for an active job.
    Expected {
        /// The job.
        id: Id,
        /// The time from the moment it may start until it is done.
        expected: Duration,
    },
}

/// How urgent an active job is, on its own account and for the jobs that wait for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// The highest of its own priority and those of the jobs that wait for it.
    pub priority: u8,
    /// When it has to be done for its own deadline and those of the jobs that wait for it, in
    /// milliseconds of the time of day; `None` if no such job has a deadline.
    pub latest_finish_ms: Option<u64>,
}

/// What the graph tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Output<Id> {
    /// Every job that this one needs is known to be done. Not told for a job that needs none.
    Ready {
        /// The job.
        id: Id,
        /// When the last of the jobs it needs was done, or when it was accepted if that is later;
        /// in milliseconds of the time of day.
        since_ms: u64,
    },
    /// A job that this active one needs, directly or through others, is cancelled. Told once.
    Cancelled {
        /// The job.
        id: Id,
    },
    /// An active job needs this inactive one, whose end is not known: it has to be read.
    Lookup {
        /// The inactive job.
        id: Id,
    },
    /// The urgency of an active job has changed. For a new job it is told only if the job needs
    /// others or is needed.
    Urgency {
        /// The job.
        id: Id,
        /// Its urgency from now on.
        urgency: Urgency,
    },
}
