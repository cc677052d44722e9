//! The result of one run, as it is written.

use kiteyard_stand_ins::{cloud::CloudCounts, state::StateCounts};
use serde::{Deserialize, Serialize};

use crate::{
    checks::{JobCounts, Violation},
    config::Config,
    latency::Percentiles,
};

/// All that is kept of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The file that was run.
    pub config: Config,
    /// How long was measured; all rates are over it.
    pub measured_s: f64,
    /// Other work on the machine: processes that were runnable on average over a minute.
    pub load_average_before: f64,
    /// The same at the end.
    pub load_average_after: f64,
    /// The controller that answered most reports.
    pub leader: ControllerResult,
    /// Means over all controllers but the leader; none if there is only one.
    pub followers: Option<ControllerResult>,
    /// Controllers whose process ended without being asked to.
    pub controllers_ended: Vec<usize>,
    /// Load and size of the state service.
    pub state: StateResult,
    /// Load of the cloud.
    pub cloud: CloudResult,
    /// What workers exchanged with the controllers.
    pub workers: WorkersResult,
    /// What users exchanged with the controllers.
    pub users: UsersResult,
    /// Starts and ends of tasks.
    pub tasks: TasksResult,
    /// This process: hollow workers, stand-ins and users together.
    pub harness: ControllerResult,
    /// How far the jobs were at the end.
    pub jobs: JobCounts,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
}

/// What a process used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControllerResult {
    /// Of one core, on average.
    pub cores: f64,
    /// Memory in use at the end of what was measured, in MB.
    pub resident_mb: f64,
    /// The most memory that was in use, in MB.
    pub peak_resident_mb: f64,
    /// Open sockets at the end of what was measured.
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
    /// Requests, and puts and deletes, refused by a limit.
    pub refused_per_s: f64,
    /// Bytes that it received, headers included.
    pub bytes_received_per_s: f64,
    /// Bytes that it sent, headers included.
    pub bytes_sent_per_s: f64,
    /// Keys at the end of what was measured.
    pub keys: usize,
    /// Bytes of keys and values at the end of what was measured.
    pub bytes: usize,
    /// Bytes of the largest value at the end of what was measured. Results of earlier builds
    /// don't tell it.
    #[serde(default)]
    pub largest_value: usize,
    /// Since the start of the run.
    pub counts: StateCounts,
}

/// Load of the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CloudResult {
    /// Requests of any kind.
    pub requests_per_s: f64,
    /// Requests refused by the limit.
    pub refused_per_s: f64,
    /// Bytes in both directions, headers included.
    pub bytes_per_s: f64,
    /// Since the start of the run.
    pub counts: CloudCounts,
}

/// What the workers exchanged with the controllers, headers included.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkersResult {
    /// Reports that were sent.
    pub reports_per_s: f64,
    /// Reports answered with 421.
    pub redirects_per_s: f64,
    /// Reports that got another answer than 200 or 421, or none.
    pub reports_failed_per_s: f64,
    /// Answers with 200 that the workers had to drop.
    pub answers_dropped_per_s: f64,
    /// Requests with direct commands.
    pub direct_commands_per_s: f64,
    /// Of these, refused by the worker.
    pub direct_refused_per_s: f64,
    /// For each worker, of reports and direct commands together.
    pub bytes_sent_per_worker_s: f64,
    /// The same in the other direction.
    pub bytes_received_per_worker_s: f64,
    /// Of all workers.
    pub bytes_per_s: f64,
}

/// What users exchanged with the controllers, headers included.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsersResult {
    /// Jobs submitted for the first time.
    pub submissions_per_s: f64,
    /// Polls.
    pub polls_per_s: f64,
    /// Submissions that were tried again.
    pub retries_per_s: f64,
    /// Polls that got neither a state nor 404.
    pub polls_failed_per_s: f64,
    /// Bytes in both directions.
    pub bytes_per_s: f64,
    /// Since the start of the run.
    pub not_accepted: u64,
    /// From the first try to submit to the acceptance.
    pub submit_latency: Percentiles,
    /// From each poll to its answer.
    pub poll_latency: Percentiles,
}

/// Starts and ends of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TasksResult {
    /// What the arrivals asked for on average, urgent ones included.
    pub asked_starts_per_s: f64,
    /// Starts, repeated ones included.
    pub starts_per_s: f64,
    /// Tasks that completed.
    pub completed_per_s: f64,
    /// At the end of what was measured.
    pub running: usize,
    /// From the first attempt to submit to the task on its machine.
    pub urgent_start: Percentiles,
    /// The same of the other jobs.
    pub other_start: Percentiles,
}
