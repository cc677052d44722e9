//! Gang scheduling: gangs are placed, nominated and stopped as a whole, and free capacity is
//! reserved for them.

use std::{sync::Arc, time::Duration};

use super::ClusterState;
use crate::core::{
    capacity_snapshot::{CapacitySnapshot, MachineCapacity, depends_on_zones},
    cluster::Slot,
    job::{JobId, JobSpec, Resources, TaskId},
    reconciliation::DeferredAction,
};

impl ClusterState {
    /// Places all tasks of a gang at once, after every task of its last attempt has exited. Returns
    /// whether they were placed.
    pub(super) fn place_gang(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        now: Duration,
    ) -> bool {
        if self.jobs[id].placed > 0 || self.exceeds_limit(snapshot, spec, spec.tasks, now) {
            return false;
        }
        let has_remaining_tasks = match depends_on_zones(spec) {
            // For such a job, `job_zones` counts the tasks that are still on machines.
            true => !snapshot.job_zones.is_empty(),
            false => self.machines.values().any(|m| {
                let mut tasks = m.tasks.iter();
                tasks.any(|((task, _), p)| task.job == *id && !p.exited())
            }),
        };
        if has_remaining_tasks {
            return false;
        }
        let tasks: Vec<u32> = (0..spec.tasks)
            .filter(|i| self.jobs[id].slots[*i as usize] == Slot::Waiting)
            .collect();
        for zones in snapshot.gang_zones(spec) {
            if let Some(candidates) = self.fit_gang(snapshot, spec, &tasks, &zones, now) {
                let Some(attempt) = self.next_attempt() else {
                    return false;
                };
                let job = self.jobs.get_mut(id).expect("active job");
                job.fetches_between_attempts = false;
                job.nominations.clear();
                self.refresh_reservations(snapshot, id);
                for (index, candidate) in tasks.iter().zip(candidates) {
                    let machine = snapshot.machines[candidate].id.clone();
                    let task = TaskId {
                        job: id.clone(),
                        index: *index,
                    };
                    self.place_task(snapshot, candidate, &machine, task, attempt, now);
                }
                return true;
            }
        }
        self.drop_completed_nominations(snapshot, id, now);
        if self.jobs[id].nominations.is_empty()
            && !self.awaits_capacity(spec, DeferredAction::Preempt)
        {
            self.preempt_for_gang(snapshot, id, spec, &tasks, now);
        }
        if self.jobs[id].nominations.is_empty() {
            self.reserve_for_gang(snapshot, id, spec, tasks.len());
        }
        false
    }

    /// Reserves the free capacity that suits tasks of a gang, in the zones that fit the most of
    /// them, until the end of the pass. Tasks of a lower priority would be preempted as soon as
    /// the rest of the gang fits, and would delay it until then. Jobs of the same priority may go
    /// first until the gang has waited for `gather_after`.
    fn reserve_for_gang(
        &self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        spec: &JobSpec,
        task_count: usize,
    ) {
        let mut best: Vec<usize> = Vec::new();
        for zones in snapshot.gang_zones(spec) {
            let candidates = snapshot.may_fit(spec).filter(|index| {
                let capacity = &snapshot.machines[*index];
                zones.contains(&capacity.zone)
                    && self.fits(snapshot, capacity, spec, &capacity.free)
            });
            let candidates: Vec<usize> = candidates.take(task_count).collect();
            if candidates.len() > best.len() {
                best = candidates;
            }
        }
        let waited = Duration::from_millis(self.wall_ms.saturating_sub(self.jobs[id].ready_ms));
        let reservation_priority = match waited > self.config.options.gather_after {
            true => Some(spec.priority),
            false => spec.priority.next_lower(),
        };
        if let Some(reservation_priority) = reservation_priority {
            for index in best {
                snapshot.machines[index].reservations.push((
                    reservation_priority,
                    id.clone(),
                    spec.need,
                ));
            }
        }
    }

    /// Finds machines for every task of a gang by trial placement in the snapshot, which is
    /// restored afterwards.
    fn fit_gang(
        &self,
        snapshot: &mut CapacitySnapshot,
        spec: &JobSpec,
        tasks: &[u32],
        zones: &[Arc<str>],
        now: Duration,
    ) -> Option<Vec<usize>> {
        if !snapshot.may_hold(spec, tasks.len(), zones, |capacity| capacity.free) {
            return None;
        }
        let free_before: Vec<Resources> = snapshot.machines.iter().map(|c| c.free).collect();
        let zones_before = snapshot.job_zones.clone();
        let mut chosen = Vec::new();
        for capacity in &mut snapshot.machines {
            if !zones.contains(&capacity.zone) {
                capacity.free = Resources::default().minus(&spec.need);
            }
        }
        for _ in tasks {
            let Some(candidate) = self.best_fit(snapshot, spec, now) else {
                break;
            };
            snapshot.machines[candidate].free = snapshot.machines[candidate].free.minus(&spec.need);
            let zone = snapshot.machines[candidate].zone.clone();
            *snapshot.job_zones.entry(zone).or_insert(0) += 1;
            chosen.push(candidate);
        }
        for (capacity, free) in snapshot.machines.iter_mut().zip(free_before) {
            capacity.free = free;
        }
        snapshot.job_zones = zones_before;
        (chosen.len() == tasks.len()).then_some(chosen)
    }

    /// Preempts for all tasks of a gang, or for none.
    fn preempt_for_gang(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        tasks: &[u32],
        now: Duration,
    ) {
        let reclaims = self.is_within_guarantee(snapshot, spec);
        let max_free = |capacity: &MachineCapacity| capacity.max_free(spec.priority, reclaims);
        for zones in snapshot.gang_zones(spec) {
            if !snapshot.may_hold(spec, tasks.len(), &zones, max_free) {
                continue;
            }
            let free_before: Vec<Resources> = snapshot.machines.iter().map(|c| c.free).collect();
            let zones_before = snapshot.job_zones.clone();
            let mut plans = Vec::new();
            for capacity in &mut snapshot.machines {
                if !zones.contains(&self.machines[&capacity.id].zone) {
                    capacity.free = capacity
                        .free
                        .plus_scaled(&self.machines[&capacity.id].size, -2.0);
                }
            }
            for _ in tasks {
                let Some(plan) = self.best_preemption_plan(snapshot, spec) else {
                    break;
                };
                let capacity = &mut snapshot.machines[plan.index];
                capacity.free = capacity.free.plus(&plan.freed).minus(&spec.need);
                capacity.victims.extend(plan.victims.iter().cloned());
                let zone = capacity.zone.clone();
                *snapshot.job_zones.entry(zone).or_insert(0) += 1;
                plans.push(plan);
            }
            for (capacity, free) in snapshot.machines.iter_mut().zip(free_before) {
                capacity.free = free;
                capacity.victims.clear();
            }
            snapshot.job_zones = zones_before;
            if plans.len() == tasks.len() {
                for plan in plans {
                    self.nominate(snapshot, id, spec, plan, now);
                }
                return;
            }
        }
    }
}
