//! Status of a job in the graph.

/// The status of a job in the graph.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status<Id> {
    /// The job may start.
    Ready {
        /// Time since which it may start, in Unix milliseconds.
        since_ms: u64,
    },
    /// Some needs are not done yet.
    Waiting {
        /// The needs that are not done.
        on: Vec<Id>,
    },
    /// A direct or transitive need is cancelled.
    Cancelled,
    /// The status depends on terminal states that are not known yet.
    Unknown {
        /// Inactive jobs, needed directly or through active jobs, whose terminal states must be
        /// read first.
        unread_jobs: Vec<Id>,
    },
    /// The job is not active.
    NotActive,
}
