//! What a job waits for.

/// Where a job stands in the graph.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status<Id> {
    /// It may start.
    Ready {
        /// Since when, in milliseconds of the time of day.
        since_ms: u64,
    },
    /// Jobs that it needs are not done yet.
    Waiting {
        /// These jobs.
        on: Vec<Id>,
    },
    /// A job that it needs, directly or through others, is cancelled.
    Cancelled,
    /// To tell waiting, ready and cancelled apart, more has to be known.
    Unknown {
        /// The inactive jobs, needed by it directly or through active jobs, whose ends have to be
        /// read first.
        ends: Vec<Id>,
    },
    /// It is not an active job.
    NotActive,
}
