//! Orders jobs of equal priority so that as many as possible finish in time.
//!
//! Jobs are taken by due time. If that makes one late, the job with the most work among those
//! taken is deferred (Moore-Hodgson): one job is late in any case, and a large one would make
//! many small ones late too. Deferred jobs follow, ordered the same way by their next due time.
//! Jobs without a due time left come last, the smallest first.

use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use super::{
    cluster::{ClusterState, Job},
    job::{JobId, JobSpec, Kind, Resources},
    machine::MachineState,
};

/// Array job to be ordered. Times are in seconds from now.
struct DatedJob {
    id: JobId,
    /// Remaining run time if the job had the whole batch capacity to itself.
    work_s: f64,
    /// Minimum remaining run time: that of one task.
    min_run_s: f64,
    /// Times by which the job should finish, in ascending order.
    due_times_s: Vec<f64>,
}

/// A job older than this many times its last due time goes first, to prevent starvation.
const STARVATION_FACTOR: f64 = 6.0;
/// Maximum share of the batch capacity that a task counts for, to keep sums finite.
const MAX_CAPACITY_SHARE: f64 = 1e6;

impl ClusterState {
    /// Returns the position of each waiting job in the order, starting at 0.
    pub fn deadline_order(&self) -> HashMap<JobId, usize> {
        let mut by_ready_time: Vec<(&JobId, &Job)> = Vec::new();
        let batch_capacity = self.batch_capacity();
        let mut remaining: Vec<DatedJob> = Vec::new();
        let mut faulty: Vec<JobId> = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.waiting_count() > 0) {
            if job.faulty() {
                faulty.push(id.clone());
                continue;
            }
            match self.dated_job(id, job, &batch_capacity) {
                Some(entry) => remaining.push(entry),
                None => by_ready_time.push((id, job)),
            }
        }
        by_ready_time.sort_by_key(|(id, job)| (job.ready_ms, job.version, (*id).clone()));
        let mut order: Vec<JobId> = by_ready_time
            .into_iter()
            .map(|(id, _)| id.clone())
            .collect();
        let mut total_work = 0.0;
        for round in 0..2 {
            let (mut taken, mut deferred): (Vec<Option<DatedJob>>, _) = (Vec::new(), Vec::new());
            // Most work first; among equals the job taken last.
            let mut by_work: BinaryHeap<(u64, usize)> = BinaryHeap::new();
            remaining.sort_by(|a, b| {
                let due = |e: &DatedJob| e.due_times_s.get(round).copied().unwrap_or(f64::INFINITY);
                due(a).total_cmp(&due(b)).then_with(|| a.id.cmp(&b.id))
            });
            for entry in remaining {
                let Some(due) = entry
                    .due_times_s
                    .get(round)
                    .copied()
                    .filter(|d| entry.min_run_s <= *d)
                else {
                    deferred.push(entry);
                    continue;
                };
                total_work += entry.work_s;
                // Work is never negative, so its bit patterns sort like its values.
                by_work.push((entry.work_s.to_bits(), taken.len()));
                taken.push(Some(entry));
                if total_work > due
                    && let Some((_, index)) = by_work.pop()
                    && let Some(removed) = taken[index].take()
                {
                    total_work -= removed.work_s;
                    deferred.push(removed);
                }
            }
            order.extend(taken.into_iter().flatten().map(|e| e.id));
            remaining = deferred;
        }
        remaining.sort_by(|a, b| a.work_s.total_cmp(&b.work_s).then_with(|| a.id.cmp(&b.id)));
        order.extend(remaining.into_iter().map(|e| e.id));
        order.extend(faulty);
        order
            .into_iter()
            .enumerate()
            .map(|(i, id)| (id, i))
            .collect()
    }

    /// Returns the entry of a job to be ordered by due time, or none if it is ordered by the time
    /// it became ready.
    fn dated_job(&self, id: &JobId, job: &Job, batch_capacity: &Resources) -> Option<DatedJob> {
        let spec = &job.spec;
        if spec.kind != Kind::Array {
            return None;
        }
        let (mut due_times, since_ms) = match spec.deadline_s {
            Some(deadline) => (vec![deadline], job.accepted_ms),
            None => (self.completion_objectives(spec), job.ready_ms),
        };
        let age = self.wall_ms.saturating_sub(since_ms) as f64 / 1000.0;
        due_times.sort_by(f64::total_cmp);
        if due_times
            .last()
            .is_some_and(|due| age > due * STARVATION_FACTOR)
        {
            return None;
        }
        let run_time_s = self.estimated_run_time(job);
        due_times.iter_mut().for_each(|due| *due -= age);
        if let Some(latest_ms) = job.latest_finish_ms {
            due_times.push((latest_ms as f64 - self.wall_ms as f64) / 1000.0);
            due_times.sort_by(f64::total_cmp);
            due_times.dedup();
        }
        due_times.retain(|due| *due >= run_time_s);
        Some(DatedJob {
            id: id.clone(),
            work_s: spec
                .need
                .dominant_share_of(batch_capacity)
                .min(MAX_CAPACITY_SHARE)
                * run_time_s
                * f64::from(spec.tasks - job.done_count),
            min_run_s: run_time_s,
            due_times_s: due_times,
        })
    }

    /// Returns the completion objectives of the job's class, in seconds.
    fn completion_objectives(&self, spec: &JobSpec) -> Vec<f64> {
        let objectives = self.config.objectives.iter();
        let matching = objectives.filter(|o| o.kind == "finished" && *o.class == *spec.class);
        matching.map(|o| o.within_s).collect()
    }

    /// Returns the owner's run time estimate, corrected by observed run times of the class.
    pub fn estimated_run_time(&self, job: &Job) -> f64 {
        let correction = self
            .runtime_corrections
            .get(&job.spec.class)
            .copied()
            .unwrap_or_default();
        (job.spec.estimate_s * correction.exp()).max(1.0)
    }

    /// Updates the correction for the job's class with the observed run time of a task.
    pub fn record_run_time(&mut self, job: &JobId, run_time: Duration) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        if job.spec.estimate_s > 0.0 && run_time > Duration::ZERO {
            let ratio = (run_time.as_secs_f64() / job.spec.estimate_s)
                .ln()
                .clamp(-2.0, 2.0);
            let correction = self
                .runtime_corrections
                .entry(job.spec.class.clone())
                .or_insert(0.0);
            *correction += (ratio - *correction) * 0.02;
        }
    }

    /// Returns the capacity available to arrays: that of the machines that are up, without the
    /// resources of services and gangs.
    pub(super) fn batch_capacity(&self) -> Resources {
        let mut sum = Resources::default();
        let up = self.machines.values();
        for machine in up.filter(|m| m.state == MachineState::Up && m.notice_at.is_none()) {
            sum = sum.plus(&machine.size);
            let others = machine
                .tasks
                .values()
                .filter(|p| !p.exited() && p.spec.as_ref().is_none_or(|s| s.kind != Kind::Array));
            sum = others.fold(sum, |sum, p| sum.minus(&p.need));
        }
        sum
    }
}
