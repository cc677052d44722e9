//! Gangs: placed, nominated and stopped whole, and room that is gathered for them.

use std::{sync::Arc, time::Duration};

use super::ClusterState;
use crate::core::{
    capacity_snapshot::{CapacitySnapshot, MachineCapacity, depends_on_zones},
    cluster::Slot,
    job::{JobId, JobSpec, Resources, TaskId},
    reconciliation::DeferredAction,
};

impl ClusterState {
    /// A gang starts whole, once nothing of its last attempt is left anywhere.
    pub(super) fn place_gang(
        &mut self,
        view: &mut CapacitySnapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        now: Duration,
    ) -> bool {
        if self.jobs[id].placed > 0 || self.over_limit(view, spec, spec.tasks, now) {
            return false;
        }
        let lingering = match depends_on_zones(spec) {
            // They were counted for where the others may be.
            true => !view.job_zones.is_empty(),
            false => self.machines.values().any(|m| {
                let mut tasks = m.tasks.iter();
                tasks.any(|((task, _), p)| task.job == *id && !p.exited())
            }),
        };
        if lingering {
            return false;
        }
        let tasks: Vec<u32> = (0..spec.tasks)
            .filter(|i| self.jobs[id].slots[*i as usize] == Slot::Waiting)
            .collect();
        for zones in view.gang_zones(spec) {
            if let Some(rooms) = self.fit_gang(view, spec, &tasks, &zones, now) {
                let job = self.jobs.get_mut(id).expect("job at hand");
                job.fetches_between_attempts = false;
                job.nominations.clear();
                self.refresh_held(view, id);
                let attempt = self.next_attempt();
                for (index, room) in tasks.iter().zip(rooms) {
                    let machine = view.machines[room].id.clone();
                    let task = TaskId {
                        job: id.clone(),
                        index: *index,
                    };
                    self.put(view, room, &machine, task, attempt, now);
                }
                return true;
            }
        }
        self.drop_spent(view, id, now);
        if self.jobs[id].nominations.is_empty()
            && !self.awaits_capacity(spec, DeferredAction::Preempt)
        {
            self.make_room_for_gang(view, id, spec, &tasks, now);
        }
        if self.jobs[id].nominations.is_empty() {
            self.gather(view, id, spec, tasks.len());
        }
        false
    }

    /// Holds what room there is for a part of a gang, in the one zone where most is, until
    /// the end of the pass: the next one looks again. Whatever is lower would be stopped
    /// again as soon as the rest is there, and until then it would keep the gang waiting;
    /// its equals may go first, but not for ever.
    fn gather(&self, view: &mut CapacitySnapshot, id: &JobId, spec: &JobSpec, tasks: usize) {
        let mut best: Vec<usize> = Vec::new();
        for zones in view.gang_zones(spec) {
            let there = view.may_fit(spec).filter(|index| {
                let room = &view.machines[*index];
                zones.contains(&room.zone) && self.fits(view, room, spec, &room.free)
            });
            let there: Vec<usize> = there.take(tasks).collect();
            if there.len() > best.len() {
                best = there;
            }
        }
        let waited = Duration::from_millis(self.wall_ms.saturating_sub(self.jobs[id].ready_ms));
        let against = match waited > self.config.options.gather_after {
            true => Some(spec.priority),
            false => spec.priority.next_lower(),
        };
        if let Some(against) = against {
            for index in best {
                view.machines[index]
                    .reservations
                    .push((against, id.clone(), spec.need));
            }
        }
    }

    /// Rooms for every task of a gang, tried on the view and put back.
    fn fit_gang(
        &self,
        view: &mut CapacitySnapshot,
        spec: &JobSpec,
        tasks: &[u32],
        zones: &[Arc<str>],
        now: Duration,
    ) -> Option<Vec<usize>> {
        if !view.may_hold(spec, tasks.len(), zones, |room| room.free) {
            return None;
        }
        let before: Vec<Resources> = view.machines.iter().map(|r| r.free).collect();
        let zones_before = view.job_zones.clone();
        let mut chosen = Vec::new();
        for room in &mut view.machines {
            if !zones.contains(&room.zone) {
                room.free = Resources::default().minus(&spec.need);
            }
        }
        for _ in tasks {
            let Some(i) = self.best_fit(view, spec, now) else {
                break;
            };
            view.machines[i].free = view.machines[i].free.minus(&spec.need);
            let zone = view.machines[i].zone.clone();
            *view.job_zones.entry(zone).or_insert(0) += 1;
            chosen.push(i);
        }
        for (room, free) in view.machines.iter_mut().zip(before) {
            room.free = free;
        }
        view.job_zones = zones_before;
        (chosen.len() == tasks.len()).then_some(chosen)
    }

    /// Victims for a whole gang, or none at all.
    fn make_room_for_gang(
        &mut self,
        view: &mut CapacitySnapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        tasks: &[u32],
        now: Duration,
    ) {
        let reclaims = self.within_guarantee(view, spec);
        let most = |room: &MachineCapacity| room.max_free(spec.priority, reclaims);
        for zones in view.gang_zones(spec) {
            if !view.may_hold(spec, tasks.len(), &zones, most) {
                continue;
            }
            let before: Vec<Resources> = view.machines.iter().map(|r| r.free).collect();
            let zones_before = view.job_zones.clone();
            let mut plans = Vec::new();
            for room in &mut view.machines {
                if !zones.contains(&self.machines[&room.id].zone) {
                    room.free = room.free.plus_scaled(&self.machines[&room.id].size, -2.0);
                }
            }
            for _ in tasks {
                let Some(plan) = self.best_plan(view, spec) else {
                    break;
                };
                let room = &mut view.machines[plan.room];
                room.free = room.free.plus(&plan.freed).minus(&spec.need);
                room.victims.extend(plan.victims.iter().cloned());
                let zone = room.zone.clone();
                *view.job_zones.entry(zone).or_insert(0) += 1;
                plans.push(plan);
            }
            for (room, free) in view.machines.iter_mut().zip(before) {
                room.free = free;
                room.victims.clear();
            }
            view.job_zones = zones_before;
            if plans.len() == tasks.len() {
                for plan in plans {
                    self.nominate(view, id, spec, plan, now);
                }
                return;
            }
        }
    }
}
