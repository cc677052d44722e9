//! Result of one run, as it is written to its file.

use kiteyard_stand_ins::{cloud::CloudCounts, state::StateCounts};
use serde::{Deserialize, Serialize};

use crate::{
    checks::{JobCounts, Violation},
    config::Config,
    latency::Percentiles,
};

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// Configuration of the run.
    pub config: Config,
    /// Duration of the measurement, over which all rates are computed, in seconds.
    pub measured_s: f64,
    /// Load average of the machine before the run, which shows other work on it.
    pub load_average_before: f64,
    /// Load average of the machine after the run.
    pub load_average_after: f64,
    /// Resource usage of the leader: the controller that answered the most reports.
    pub leader: ControllerResult,
    /// Mean resource usage of the other controllers; `None` if there is only one.
    pub followers: Option<ControllerResult>,
    /// Controllers whose process exited unexpectedly.
    pub controllers_ended: Vec<usize>,
    /// Load and size of the state service.
    pub state: StateResult,
    /// Load of the cloud.
    pub cloud: CloudResult,
    /// Traffic between workers and controllers.
    pub workers: WorkersResult,
    /// Traffic between users and controllers.
    pub users: UsersResult,
    /// Starts and ends of tasks.
    pub tasks: TasksResult,
    /// Resource usage of this process: hollow workers, stand-ins and users together.
    pub harness: ControllerResult,
    /// Progress of the jobs at the end.
    pub jobs: JobCounts,
    /// Rule violations.
    pub violations: Vec<Violation>,
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControllerResult {
    /// Average number of cores in use.
    pub cores: f64,
    /// Resident memory at the end of the measurement, in MB.
    pub resident_mb: f64,
    /// Peak of the resident memory, in MB.
    pub peak_resident_mb: f64,
    /// Number of open sockets at the end of the measurement.
    pub sockets: f64,
}

/// Load and size of the state service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StateResult {
    /// Requests of any kind.
    pub requests_per_s: f64,
    /// Puts and deletes.
    pub changes_per_s: f64,
    /// Transactions that the limits admitted.
    pub transactions_per_s: f64,
    /// Watches.
    pub watches_per_s: f64,
    /// Requests, and puts and deletes, refused by a rate limit.
    pub refused_per_s: f64,
    /// Bytes received, headers included.
    pub bytes_received_per_s: f64,
    /// Bytes sent, headers included.
    pub bytes_sent_per_s: f64,
    /// Number of keys at the end of the measurement.
    pub keys: usize,
    /// Bytes of keys and values at the end of the measurement.
    pub bytes: usize,
    /// Bytes of the largest value at the end of the measurement; missing in the results of
    /// earlier builds.
    #[serde(default)]
    pub largest_value: usize,
    /// Counters since the start of the run.
    pub counts: StateCounts,
}

/// Load of the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CloudResult {
    /// Requests of any kind.
    pub requests_per_s: f64,
    /// Requests refused by the rate limit.
    pub refused_per_s: f64,
    /// Bytes in both directions, headers included.
    pub bytes_per_s: f64,
    /// Counters since the start of the run.
    pub counts: CloudCounts,
}

/// Traffic between workers and controllers, headers included.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkersResult {
    /// Reports that were sent.
    pub reports_per_s: f64,
    /// Reports answered with 421.
    pub redirects_per_s: f64,
    /// Reports that got a response other than 200 or 421, or none.
    pub reports_failed_per_s: f64,
    /// Responses of 200 that the workers had to drop.
    pub answers_dropped_per_s: f64,
    /// Requests with direct commands.
    pub direct_commands_per_s: f64,
    /// Requests with direct commands that the worker refused.
    pub direct_refused_per_s: f64,
    /// Bytes sent per worker, of reports and direct commands together.
    pub bytes_sent_per_worker_s: f64,
    /// Bytes received per worker, of reports and direct commands together.
    pub bytes_received_per_worker_s: f64,
    /// Bytes of all workers in both directions.
    pub bytes_per_s: f64,
}

/// Traffic between users and controllers, headers included.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsersResult {
    /// Jobs submitted for the first time.
    pub submissions_per_s: f64,
    /// Polls.
    pub polls_per_s: f64,
    /// Retries of submissions.
    pub retries_per_s: f64,
    /// Polls that got neither a state nor 404.
    pub polls_failed_per_s: f64,
    /// Bytes in both directions.
    pub bytes_per_s: f64,
    /// Jobs not accepted since the start of the run.
    pub not_accepted: u64,
    /// From the first submission attempt to the acceptance.
    pub submit_latency: Percentiles,
    /// From each poll to its response.
    pub poll_latency: Percentiles,
}

/// Starts and ends of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TasksResult {
    /// Starts that the submitted jobs require on average, urgent ones included.
    pub asked_starts_per_s: f64,
    /// Starts, repeated ones included.
    pub starts_per_s: f64,
    /// Tasks that completed.
    pub completed_per_s: f64,
    /// Tasks on machines at the end of the measurement.
    pub running: usize,
    /// From the first submission attempt of an urgent job to the start of its task.
    pub urgent_start: Percentiles,
    /// From the first submission attempt of another job to the start of each task.
    pub other_start: Percentiles,
}
