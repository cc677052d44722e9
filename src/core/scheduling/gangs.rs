//! Gang scheduling: gangs are placed, nominated and stopped as a whole, and free capacity is
//! reserved for them.

use std::{sync::Arc, time::Duration};

use super::ClusterState;
use crate::core::{
    capacity_snapshot::{MachineCapacity, Snapshot, by_zone},
    cluster::Slot,
    job::{JobId, JobSpec, Resources, TaskId},
    reconciliation::DeferredAction,
};

impl ClusterState {
    /// Places all tasks of a gang at once, after every task of its last attempt has exited.
    /// Returns whether it did.
    pub(super) fn place_gang(
        &mut self,
        view: &mut Snapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        now: Duration,
    ) -> bool {
        if self.jobs[id].placed > 0 || self.exceeds_limit(view, spec, spec.tasks, now) {
            return false;
        }
        let lingering = match by_zone(spec) {
            // For such a job, `zones` counts the tasks that are still on machines.
            true => !view.zones.is_empty(),
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
                job.gathers = false;
                job.nominations.clear();
                self.refresh_held(view, id);
                let attempt = self.next_attempt();
                for (index, room) in tasks.iter().zip(rooms) {
                    let machine = view.rooms[room].id.clone();
                    let task = TaskId {
                        job: id.clone(),
                        index: *index,
                    };
                    self.place_task(view, room, &machine, task, attempt, now);
                }
                return true;
            }
        }
        self.drop_completed_nominations(view, id, now);
        if self.jobs[id].nominations.is_empty()
            && !self.awaits_capacity(spec, DeferredAction::Preempt)
        {
            self.preempt_for_gang(view, id, spec, &tasks, now);
        }
        if self.jobs[id].nominations.is_empty() {
            self.reserve_for_gang(view, id, spec, tasks.len());
        }
        false
    }

    /// Reserves the free capacity that suits tasks of a gang, in the zones that fit the most of
    /// them, until the end of the pass. Tasks of a lower priority would be preempted as soon as
    /// the rest of the gang fits, and would delay it until then. Jobs of the same priority may go
    /// first until the gang has waited for `gather_after`.
    fn reserve_for_gang(&self, view: &mut Snapshot, id: &JobId, spec: &JobSpec, tasks: usize) {
        let mut best: Vec<usize> = Vec::new();
        for zones in view.gang_zones(spec) {
            let there = view.may_fit(spec).filter(|index| {
                let room = &view.rooms[*index];
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
            false => spec.priority.below(),
        };
        if let Some(against) = against {
            for index in best {
                view.rooms[index]
                    .held
                    .push((against, id.clone(), spec.need));
            }
        }
    }

    /// Finds machines for every task of a gang by trial placement in the snapshot, which is
    /// restored afterwards.
    fn fit_gang(
        &self,
        view: &mut Snapshot,
        spec: &JobSpec,
        tasks: &[u32],
        zones: &[Arc<str>],
        now: Duration,
    ) -> Option<Vec<usize>> {
        if !view.may_hold(spec, tasks.len(), zones, |room| room.free) {
            return None;
        }
        let before: Vec<Resources> = view.rooms.iter().map(|r| r.free).collect();
        let zones_before = view.zones.clone();
        let mut chosen = Vec::new();
        for room in &mut view.rooms {
            if !zones.contains(&room.zone) {
                room.free = Resources::default().minus(&spec.need);
            }
        }
        for _ in tasks {
            let Some(i) = self.best_fit(view, spec, now) else {
                break;
            };
            view.rooms[i].free = view.rooms[i].free.minus(&spec.need);
            let zone = view.rooms[i].zone.clone();
            *view.zones.entry(zone).or_insert(0) += 1;
            chosen.push(i);
        }
        for (room, free) in view.rooms.iter_mut().zip(before) {
            room.free = free;
        }
        view.zones = zones_before;
        (chosen.len() == tasks.len()).then_some(chosen)
    }

    /// Preempts for all tasks of a gang, or for none.
    fn preempt_for_gang(
        &mut self,
        view: &mut Snapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        tasks: &[u32],
        now: Duration,
    ) {
        let reclaims = self.is_within_guarantee(view, spec);
        let most = |room: &MachineCapacity| room.most_free(spec.priority, reclaims);
        for zones in view.gang_zones(spec) {
            if !view.may_hold(spec, tasks.len(), &zones, most) {
                continue;
            }
            let before: Vec<Resources> = view.rooms.iter().map(|r| r.free).collect();
            let zones_before = view.zones.clone();
            let mut plans = Vec::new();
            for room in &mut view.rooms {
                if !zones.contains(&self.machines[&room.id].zone) {
                    room.free = room.free.plus_times(&self.machines[&room.id].size, -2.0);
                }
            }
            for _ in tasks {
                let Some(plan) = self.best_preemption_plan(view, spec) else {
                    break;
                };
                let room = &mut view.rooms[plan.index];
                room.free = room.free.plus(&plan.freed).minus(&spec.need);
                room.victims.extend(plan.victims.iter().cloned());
                let zone = room.zone.clone();
                *view.zones.entry(zone).or_insert(0) += 1;
                plans.push(plan);
            }
            for (room, free) in view.rooms.iter_mut().zip(before) {
                room.free = free;
                room.victims.clear();
            }
            view.zones = zones_before;
            if plans.len() == tasks.len() {
                for plan in plans {
                    self.nominate(view, id, spec, plan, now);
                }
                return;
            }
        }
    }
}
