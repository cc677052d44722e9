//! Handling of task failures: attributing them to the machine or to the job.
//!
//! A faulty machine fails tasks of many jobs and is released. A job submitted with an error fails
//! on every machine until its user cancels it; it must not make machines look faulty, nor take
//! resources from healthy jobs.

use std::time::Duration;

use tracing::{debug, info};

use super::{
    cluster::{ClusterState, Job},
    job::{JobId, Kind, TaskId},
    machine::{AttemptKey, ExitReason, MachineId, Phase, Placement, Stop, TaskPhase},
};

/// Number of machines on which a job has to fail, without any task done, to count as faulty.
const FAULTY_JOB_MACHINES: usize = 3;
/// Maximum number of failed machines remembered for one job.
const MAX_FAILED_MACHINES: usize = 16;
/// Interval after which failures are considered unrelated.
const FAILURE_WINDOW: Duration = Duration::from_secs(60);
/// Maximum binary exponent of the delay in seconds before a faulty job is retried; the delay
/// doubles each time.
const MAX_RETRY_EXPONENT: u32 = 6;

impl Job {
    /// Returns whether the job fails on every machine, so that its failures are no evidence of
    /// faulty machines. If one of its tasks is done or a replica runs, the machines are at fault.
    pub fn faulty(&self) -> bool {
        let has_running_replica = self.spec.kind == Kind::Service && self.running > 0;
        let has_succeeded = has_running_replica || self.done_count > 0;
        !has_succeeded && (self.inherited_faulty || self.failed_on.len() >= FAULTY_JOB_MACHINES)
    }

    /// Returns whether a faulty job has a task placed already; its tasks are tried one at a time.
    pub fn has_enough_probes(&self) -> bool {
        self.faulty() && self.placed > 0
    }
}

impl ClusterState {
    /// Processes the end of a task that is not done.
    pub(super) fn task_failed(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        reason: Option<ExitReason>,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if reason == Some(ExitReason::Error) {
            job.failures += 1;
            // Failures far apart, such as those of long-running replicas, are unrelated.
            if !job.faulty() && now > job.failed_at + FAILURE_WINDOW {
                job.failed_on.clear();
            }
            job.failed_at = now;
            if job.failed_on.len() < MAX_FAILED_MACHINES {
                job.failed_on.insert(id.clone());
            }
            let failures = job.failures;
            let is_faulty = job.faulty();
            if is_faulty {
                // Its owner must cancel it; until then it is retried at increasing intervals.
                if job.placed == 0 {
                    job.probes += 1;
                    let wait = Duration::from_secs(1 << job.probes.min(MAX_RETRY_EXPONENT));
                    job.retry_at = now + wait;
                    info!(task = %task, machine = %id, failures, next = ?wait, "job fails on every machine; delaying its next attempt");
                }
                job.nominations.clear();
                self.clear_machine_failures(&task.job);
            } else {
                info!(task = %task, machine = %id, failures, "task failed");
                let machine = self.machines.get_mut(id).expect("known machine");
                if !machine.failures.iter().any(|(j, _)| *j == task.job) {
                    machine.failures.push((task.job.clone(), now));
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if matches!(reason, Some(ExitReason::Unknown | ExitReason::Busy)) {
            job.retry_at = now + self.config.report_interval * 2;
        }
        if job.spec.kind == Kind::Gang {
            let id = task.job.clone();
            debug!(job = %id, why = ?reason, "task of a gang ended before the gang was done");
            match reason {
                Some(ExitReason::Incomplete) => self.continue_fetching(&id, now),
                _ => self.stop_gang(&id, Duration::ZERO, now),
            }
        }
    }

    /// Keeps the fetching tasks of a gang that was not complete in time, usually because some tasks
    /// fetched an image that others had. If they were stopped, the next attempt would fetch from
    /// the start and be late again.
    fn continue_fetching(&mut self, id: &JobId, now: Duration) {
        let is_fetching = |p: &Placement| {
            matches!(
                p.phase,
                Phase::Sent { .. } | Phase::Seen(TaskPhase::Fetching)
            )
        };
        let any_fetching = self
            .machines
            .values()
            .flat_map(|m| m.tasks.iter())
            .any(|((task, _), p)| task.job == *id && p.stop.is_none() && is_fetching(p));
        if let (Some(job), true) = (self.jobs.get_mut(id), any_fetching) {
            job.fetches_between_attempts = true;
        } else {
            self.stop_gang(id, Duration::ZERO, now);
        }
    }

    /// Stops a task of an incomplete gang once it has the image.
    pub(super) fn stop_after_fetch(&mut self, id: &MachineId, key: &AttemptKey, now: Duration) {
        let Some(job) = self.jobs.get(&key.0.job) else {
            return;
        };
        if !job.fetches_between_attempts || job.placed >= job.spec.tasks {
            return;
        }
        if let Some(placement) = self.machines.get_mut(id).and_then(|m| m.tasks.get_mut(key)) {
            placement.stop.get_or_insert(Stop::new(Duration::ZERO, now));
        }
    }

    /// Removes the failures that a job recorded on machines before it was found to be faulty. Two
    /// such jobs could otherwise make healthy machines look faulty and cause their release.
    fn clear_machine_failures(&mut self, id: &JobId) {
        for machine in self.machines.values_mut() {
            machine.failures.retain(|(job, _)| job != id);
        }
    }
}
