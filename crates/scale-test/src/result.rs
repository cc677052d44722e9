//! The result of one run, as it is written.

use kiteyard_stand_ins::{cloud::CloudCounts, state::StateCounts};
use serde::{Deserialize, Serialize};

use crate::{
    checks::{JobCounts, Violation},
    config::Config,
    latency::Percentiles,
};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    pub config: Config,
    /// How long was measured; all rates are over it.
    pub measured_s: f64,
    /// Other work on the machine: processes that were runnable on average over a minute.
    pub load_average_before: f64,
    pub load_average_after: f64,
    pub leader: ControllerResult,
    /// Means over all controllers but the leader; none if there is only one.
    pub followers: Option<ControllerResult>,
    /// Controllers whose process ended without being asked to.
    pub controllers_ended: Vec<usize>,
    pub state: StateResult,
    pub cloud: CloudResult,
    pub workers: WorkersResult,
    pub users: UsersResult,
    pub tasks: TasksResult,
    /// This process: hollow workers, stand-ins and users together.
    pub harness: ControllerResult,
    pub jobs: JobCounts,
    pub violations: Vec<Violation>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ControllerResult {
    /// Of one core, on average.
    pub cores: f64,
    pub resident_mb: f64,
    pub peak_resident_mb: f64,
    pub sockets: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StateResult {
    pub requests_per_s: f64,
    pub changes_per_s: f64,
    pub transactions_per_s: f64,
    pub watches_per_s: f64,
    pub refused_per_s: f64,
    pub bytes_received_per_s: f64,
    pub bytes_sent_per_s: f64,
    pub keys: usize,
    pub bytes: usize,
    /// Bytes of the largest value at the end of what was measured. Results of earlier builds
    /// don't tell it.
    #[serde(default)]
    pub largest_value: usize,
    /// Since the start of the run.
    pub counts: StateCounts,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CloudResult {
    pub requests_per_s: f64,
    pub refused_per_s: f64,
    pub bytes_per_s: f64,
    pub counts: CloudCounts,
}

/// What the workers exchanged with the controllers, headers included.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkersResult {
    pub reports_per_s: f64,
    pub redirects_per_s: f64,
    pub reports_failed_per_s: f64,
    pub answers_dropped_per_s: f64,
    pub direct_commands_per_s: f64,
    pub direct_refused_per_s: f64,
    /// For each worker, of reports and direct commands together.
    pub bytes_sent_per_worker_s: f64,
    pub bytes_received_per_worker_s: f64,
    /// Of all workers.
    pub bytes_per_s: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsersResult {
    pub submissions_per_s: f64,
    pub polls_per_s: f64,
    pub retries_per_s: f64,
    pub polls_failed_per_s: f64,
    pub bytes_per_s: f64,
    /// Since the start of the run.
    pub not_accepted: u64,
    pub submit_latency: Percentiles,
    pub poll_latency: Percentiles,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TasksResult {
    /// What the arrivals asked for on average, urgent ones included.
    pub asked_starts_per_s: f64,
    pub starts_per_s: f64,
    pub completed_per_s: f64,
    /// At the end of what was measured.
    pub running: usize,
    /// From the first attempt to submit to the task on its machine.
    pub urgent_start: Percentiles,
    pub other_start: Percentiles,
}
