//! Tasks that fail: whether the machine is at fault or the job.
//!
//! A faulty machine fails tasks of many jobs and is returned. A job that was
//! submitted with a mistake fails on every machine until its user cancels it; it
//! must not make machines look faulty, nor take what healthy work needs.

use std::time::Duration;

use tracing::{debug, info};

use super::{
    cluster::{ClusterState, Job},
    job::{JobId, Kind, TaskId},
    machine::{AttemptKey, ExitReason, MachineId, Phase, Placement, Stop, TaskPhase},
};

/// A job that failed on so many machines, and nowhere else was done, is at fault.
const MACHINES: usize = 3;
/// Machines that are remembered of one job.
const MACHINES_MOST: usize = 16;
/// Failures further apart than this have nothing to do with one another.
const UNRELATED_AFTER: Duration = Duration::from_secs(60);
/// A job at fault is tried again after twice as long each time, up to this power of
/// two in seconds.
const WAIT_MOST: u32 = 6;

impl Job {
    /// The job fails wherever it runs, so its failures say nothing of machines. One
    /// of which a task is done, or a replica runs, does not: there the machines are
    /// at fault.
    pub fn faulty(&self) -> bool {
        let serves = self.spec.kind == Kind::Service && self.running > 0;
        let works = serves || self.done_count > 0;
        !works && (self.inherited_faulty || self.failed_on.len() >= MACHINES)
    }

    /// Of a job that fails everywhere one task at a time is tried.
    pub fn tries_enough(&self) -> bool {
        self.faulty() && self.placed > 0
    }
}

impl ClusterState {
    /// A task ended without being done.
    pub(super) fn failed(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        why: Option<ExitReason>,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if why == Some(ExitReason::Error) {
            job.failures += 1;
            // Failures far apart, as of replicas that run for long, say nothing of it.
            if !job.faulty() && now > job.failed_at + UNRELATED_AFTER {
                job.failed_on.clear();
            }
            job.failed_at = now;
            if job.failed_on.len() < MACHINES_MOST {
                job.failed_on.insert(id.clone());
            }
            let failures = job.failures;
            let faulty = job.faulty();
            if faulty {
                // Its owner must cancel it; until then it is tried ever more seldom.
                if job.placed == 0 {
                    job.probes += 1;
                    let wait = Duration::from_secs(1 << job.probes.min(WAIT_MOST));
                    job.retry_at = now + wait;
                    info!(task = %task, machine = %id, failures, next = ?wait, "job fails everywhere");
                }
                job.nominations.clear();
                self.unmark(&task.job);
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
        if matches!(why, Some(ExitReason::Unknown | ExitReason::Busy)) {
            job.retry_at = now + self.config.report_interval * 2;
        }
        if job.spec.kind == Kind::Gang {
            let id = task.job.clone();
            debug!(job = %id, ?why, "gang broken");
            match why {
                Some(ExitReason::Incomplete) => self.gather_again(&id, now),
                _ => self.break_gang(&id, Duration::ZERO, now),
            }
        }
    }

    /// A gang was not complete in time, mostly because some of its tasks fetched an image
    /// that others had. Those that fetch go on until they have it: stopped, they would
    /// begin anew with the next attempt, and be as late again and again.
    fn gather_again(&mut self, id: &JobId, now: Duration) {
        let fetching = |p: &Placement| {
            matches!(
                p.phase,
                Phase::Sent { .. } | Phase::Seen(TaskPhase::Fetching)
            )
        };
        let fetching = self
            .machines
            .values()
            .flat_map(|m| m.tasks.iter())
            .any(|((task, _), p)| task.job == *id && p.stop.is_none() && fetching(p));
        if let (Some(job), true) = (self.jobs.get_mut(id), fetching) {
            job.gathers = true;
        } else {
            self.break_gang(id, Duration::ZERO, now);
        }
    }

    /// Stops a task of a gang that is not complete any more, now that it has the image.
    pub(super) fn has_gathered(&mut self, id: &MachineId, key: &AttemptKey, now: Duration) {
        let Some(job) = self.jobs.get(&key.0.job) else {
            return;
        };
        if !job.gathers || job.placed >= job.spec.tasks {
            return;
        }
        if let Some(placement) = self.machines.get_mut(id).and_then(|m| m.tasks.get_mut(key)) {
            placement.stop.get_or_insert(Stop::new(Duration::ZERO, now));
        }
    }

    /// Takes back what a job's failures said of machines before it was found out.
    /// Two such jobs made good machines look faulty, and they were returned.
    fn unmark(&mut self, id: &JobId) {
        for machine in self.machines.values_mut() {
            machine.failures.retain(|(job, _)| job != id);
        }
    }
}
