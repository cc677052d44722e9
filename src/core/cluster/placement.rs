//! Places tasks on machines, stops them, releases their slots and marks them done.
//!
//! Stopping only requests an end: the slot of a task that was sent stays taken until its end is
//! known or its job no longer needs it. Only a start that has not been sent yet is withdrawn at
//! once.

use std::time::Duration;

use tracing::debug;

use super::{ClusterState, Slot};
use crate::core::{
    fencing::StartCopies,
    job::{JobId, Kind, TaskId},
    machine::{AttemptKey, Machine, MachineId, Phase, Placement, Stop, TaskPhase},
};

impl ClusterState {
    /// Marks a task done; for a gang, all of its tasks.
    pub(super) fn finish_task(&mut self, task: &TaskId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // Replicas run until their job is cancelled.
        if job.spec.kind == Kind::Service || task.index >= job.spec.tasks {
            return;
        }
        let finished = match job.spec.kind {
            Kind::Gang => 0..job.spec.tasks,
            _ => task.index..task.index + 1,
        };
        for index in finished {
            self.finish_task_index(&task.job, index, now);
        }
    }

    /// Marks one task of a job done, and stops its remaining placement.
    fn finish_task_index(&mut self, id: &JobId, index: u32, now: Duration) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.done.contains(index) {
            return;
        }
        job.done.insert(index);
        job.done_count += 1;
        job.unsaved_since.get_or_insert(now);
        let slot = std::mem::replace(&mut job.slots[index as usize], Slot::Done);
        let Slot::Placed(machine) = slot else {
            return;
        };
        job.placed -= 1;
        if let Some(machine) = self.machines.get_mut(&machine) {
            job.running -= stop_finished(machine, id, index, now);
        }
    }

    /// Stops the remaining tasks of a gang; it restarts once all of them are gone.
    pub fn stop_gang(&mut self, id: &JobId, grace: Duration, now: Duration) {
        let mut unsent = Vec::new();
        for machine in self.machines.values_mut() {
            machine.tasks.retain(|(task, _), p| {
                if task.job != *id || p.is_orphaned || p.exited() {
                    return true;
                }
                if p.phase == Phase::Decided {
                    unsent.push((machine.id.clone(), task.clone(), p.clone()));
                    return false;
                }
                p.stop.get_or_insert(Stop::new(grace, now));
                true
            });
        }
        for (machine, task, placement) in unsent {
            self.release_slot(&machine, &task, &placement);
        }
    }

    /// Requests the stop of a task, or withdraws a start that was not sent yet.
    pub fn stop_task(&mut self, id: &MachineId, key: &AttemptKey, grace: Duration, now: Duration) {
        let is_gang = self
            .jobs
            .get(&key.0.job)
            .is_some_and(|job| job.spec.kind == Kind::Gang);
        if is_gang {
            self.stop_gang(&key.0.job.clone(), grace, now);
            return;
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(placement) = machine.tasks.get_mut(key) else {
            return;
        };
        if placement.phase == Phase::Decided {
            let placement = machine.tasks.remove(key).expect("known task");
            self.release_slot(id, &key.0, &placement);
            self.requeue();
        } else if placement.stop.is_none() {
            placement.stop = Some(Stop::new(grace, now));
        }
    }

    /// Records the placement of a waiting task on a machine.
    pub fn record_placement(&mut self, id: &MachineId, task: TaskId, attempt: u64, now: Duration) {
        let job = self.jobs.get_mut(&task.job).expect("job of a waiting task");
        job.slots[task.index as usize] = Slot::Placed(id.clone());
        job.placed += 1;
        // The task needs one nomination fewer: preferably the one of this machine.
        if let Some(at) = job.nominations.iter().position(|m| m == id) {
            job.nominations.remove(at);
        }
        let waiting = job.waiting_count() as usize;
        job.nominations.truncate(waiting);
        let machine = self.machines.get_mut(id).expect("known machine");
        debug!(task = %task, machine = %id, attempt, "placing task");
        self.counts.starts += 1;
        machine.tasks.insert(
            (task, attempt),
            Placement {
                phase: Phase::Decided,
                need: job.spec.need,
                spec: Some(job.spec.clone()),
                since: now,
                running_since: None,
                stop: None,
                is_orphaned: false,
                start_copies: StartCopies::default(),
            },
        );
    }
}

/// Stops all placements of a done task on a machine; returns how many of them were running.
fn stop_finished(machine: &mut Machine, id: &JobId, index: u32, now: Duration) -> u32 {
    let mut running = 0;
    for ((task, _), placement) in &mut machine.tasks {
        // Orphans already have a stop, and are not counted as running.
        if task.job != *id || task.index != index || placement.exited() || placement.is_orphaned {
            continue;
        }
        if placement.phase == Phase::Seen(TaskPhase::Running) {
            running += 1;
        }
        placement.is_orphaned = true;
        placement.stop.get_or_insert(Stop::new(Duration::ZERO, now));
    }
    running
}
