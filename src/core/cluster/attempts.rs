//! Decides which attempt of a task holds its slot, when a worker reports attempts that this leader
//! did not start.
//!
//! A leader starts a task only once every earlier attempt of it is known to be gone, and with a
//! higher attempt number. So of several reported attempts only the one with the highest number can
//! be alive, whatever the age of the reports, and it holds the slot. A report that is older than
//! this leader's term proves that its attempts were started, and neither that they are alive nor
//! that no later attempt is.
//!
//! The others are displaced: they are stopped, but a stop may be delayed. A slot is therefore
//! released only once no attempt of its task is left. Until then the next displaced attempt takes
//! the slot over, and the task is not started again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kiteyard_recovery::adoption::{AdoptionDecision, KnownState, Reported, decide_adoption};
use tracing::{debug, info};

use super::{ClusterState, Slot};
use crate::core::{
    attempt_numbers,
    fencing::StartCopies,
    job::{JobId, TaskId},
    machine::{AttemptKey, ExitReason, MachineId, Phase, Placement, Stop, TaskPhase},
};

/// Attempts that were reported for tasks whose slot another attempt holds, by their number. An
/// entry may outlive its attempt.
#[derive(Debug, Default)]
pub(super) struct DisplacedAttempts(BTreeMap<TaskId, BTreeSet<(u64, MachineId)>>);

impl DisplacedAttempts {
    fn insert(&mut self, key: &AttemptKey, machine: &MachineId) {
        let attempts = self.0.entry(key.0.clone()).or_default();
        attempts.insert((key.1, machine.clone()));
    }

    /// Removes an attempt that ended or takes the slot over.
    fn remove(&mut self, key: &AttemptKey, machine: &MachineId) {
        let Some(attempts) = self.0.get_mut(&key.0) else {
            return;
        };
        attempts.remove(&(key.1, machine.clone()));
        if attempts.is_empty() {
            self.0.remove(&key.0);
        }
    }

    pub(super) fn remove_job(&mut self, id: &JobId) {
        self.0.retain(|task, _| task.job != *id);
    }

    /// Returns the attempts of a task, the one with the highest number first.
    fn of(&self, task: &TaskId) -> impl Iterator<Item = (AttemptKey, MachineId)> {
        let attempts = self.0.get(task).into_iter().flatten().rev();
        attempts.map(|(attempt, machine)| ((task.clone(), *attempt), machine.clone()))
    }
}

impl ClusterState {
    /// Records a reported attempt that this leader did not start: one that a previous leader
    /// started, or one that is to be stopped.
    pub(super) fn adopt_attempt(
        &mut self,
        id: &MachineId,
        key: &AttemptKey,
        phase: TaskPhase,
        now: Duration,
    ) {
        let decision = self.decide_adoption(key, phase);
        debug!(
            task = %key.0,
            attempt = key.1,
            machine = %id,
            ?phase,
            ?decision,
            fenced = self.machines[id].fenced,
            "a worker reported a task that this leader did not start"
        );
        let mut start_copies = StartCopies::default();
        if self.is_own_attempt(key) {
            self.command_counts.record_revived(id, key, phase);
            start_copies = StartCopies::unknown(self.machines[id].token);
        }
        if decision == AdoptionDecision::Replace {
            self.displace_placed_attempt(&key.0, now);
        }
        let is_adopted = matches!(
            decision,
            AdoptionDecision::Adopt | AdoptionDecision::Replace
        );
        let job = self.jobs.get_mut(&key.0.job);
        let spec = job.as_ref().map(|job| job.spec.clone());
        if let (Some(job), true) = (job, is_adopted) {
            job.slots[key.0.index as usize] = Slot::Placed(id.clone());
            job.placed += 1;
        }
        if decision == AdoptionDecision::Stop && self.is_placed(&key.0) {
            self.displaced_attempts.insert(key, id);
        }
        let machine = self.machines.get_mut(id).expect("known machine");
        let stop = (!is_adopted).then_some(Stop::new(Duration::ZERO, now));
        machine.tasks.insert(
            key.clone(),
            Placement {
                phase: Phase::Sent {
                    seq: 0,
                    direct_token: None,
                },
                need: spec.as_ref().map_or(machine.size, |spec| spec.need),
                spec,
                since: now,
                running_since: None,
                stop,
                is_orphaned: !is_adopted,
                start_copies,
            },
        );
        if decision == AdoptionDecision::Finish {
            self.finish_task(&key.0, now);
        }
    }

    fn decide_adoption(&self, key: &AttemptKey, phase: TaskPhase) -> AdoptionDecision {
        let job = self.jobs.get(&key.0.job);
        let slot = job.and_then(|job| job.slots.get(key.0.index as usize));
        let known_state = match slot {
            None => KnownState::Unknown,
            Some(Slot::Waiting) => KnownState::Waiting,
            Some(Slot::Done) => KnownState::Done,
            Some(Slot::Placed(_)) => match self.placed_attempt(&key.0) {
                Some((_, (_, placed))) if placed < key.1 => KnownState::OlderAttemptPlaced,
                _ => KnownState::NewerAttemptPlaced,
            },
        };
        let reported = match phase {
            TaskPhase::Exited(ExitReason::Done) => Reported::Completed,
            phase if phase.exited() => Reported::Ended,
            _ => Reported::Alive,
        };
        decide_adoption(known_state, reported)
    }

    /// Returns whether this leader started the attempt.
    fn is_own_attempt(&self, key: &AttemptKey) -> bool {
        key.1 > attempt_numbers::first_of(self.claim)
    }

    fn is_placed(&self, task: &TaskId) -> bool {
        let slots = self.jobs.get(&task.job).map(|job| &job.slots);
        let slot = slots.and_then(|slots| slots.get(task.index as usize));
        matches!(slot, Some(Slot::Placed(_)))
    }

    /// Returns the attempt that holds the task's slot, and its machine.
    fn placed_attempt(&self, task: &TaskId) -> Option<(MachineId, AttemptKey)> {
        let slots = &self.jobs.get(&task.job)?.slots;
        let Slot::Placed(id) = slots.get(task.index as usize)? else {
            return None;
        };
        let attempts = (task.clone(), 0)..=(task.clone(), u64::MAX);
        let mut attempts = self.machines.get(id)?.tasks.range(attempts);
        let (key, _) = attempts.find(|(_, placement)| !placement.is_orphaned)?;
        Some((id.clone(), key.clone()))
    }

    /// Takes the slot from the attempt that holds it, and stops that attempt.
    fn displace_placed_attempt(&mut self, task: &TaskId, now: Duration) {
        let Some((id, key)) = self.placed_attempt(task) else {
            return;
        };
        let placement = self.placement_mut(&id, &key).expect("placed attempt");
        let was_running = placement.phase == Phase::Seen(TaskPhase::Running);
        placement.is_orphaned = true;
        placement.stop.get_or_insert(Stop::new(Duration::ZERO, now));
        let job = self.jobs.get_mut(&task.job).expect("job of a placed task");
        job.placed -= 1;
        job.running -= u32::from(was_running);
        info!(task = %task, attempt = key.1, machine = %id, "displacing an older attempt");
        self.displaced_attempts.insert(&key, &id);
    }

    fn placement_mut(&mut self, id: &MachineId, key: &AttemptKey) -> Option<&mut Placement> {
        self.machines.get_mut(id)?.tasks.get_mut(key)
    }

    /// Frees the slot that an attempt on this machine held until its end: for a displaced attempt
    /// of the task that may be alive, or else for a new start.
    pub(super) fn release_slot(&mut self, id: &MachineId, task: &TaskId, ended: &Placement) {
        if !self.is_placed_on(id, task) {
            return;
        }
        if ended.phase == Phase::Seen(TaskPhase::Running) {
            let job = self.jobs.get_mut(&task.job).expect("job of a placed task");
            job.running -= 1;
        }
        if self.hand_slot_over(task) {
            return;
        }
        let job = self.jobs.get_mut(&task.job).expect("job of a placed task");
        job.slots[task.index as usize] = Slot::Waiting;
        job.placed -= 1;
        job.waiting.push(task.index);
        self.queue.push(&task.job, job);
    }

    fn is_placed_on(&self, id: &MachineId, task: &TaskId) -> bool {
        let slots = self.jobs.get(&task.job).map(|job| &job.slots);
        let slot = slots.and_then(|slots| slots.get(task.index as usize));
        matches!(slot, Some(Slot::Placed(machine)) if machine == id)
    }

    /// Gives the slot to the newest displaced attempt that may be alive, and returns whether there
    /// is one. It remains stopped: the slot is released at its end.
    fn hand_slot_over(&mut self, task: &TaskId) -> bool {
        let attempts: Vec<_> = self.displaced_attempts.of(task).collect();
        for (key, id) in attempts {
            self.displaced_attempts.remove(&key, &id);
            let Some(placement) = self.placement_mut(&id, &key) else {
                continue;
            };
            if placement.exited() {
                continue;
            }
            placement.is_orphaned = false;
            let is_running = placement.phase == Phase::Seen(TaskPhase::Running);
            info!(task = %task, attempt = key.1, machine = %id, "task waits for the end of another attempt");
            let job = self.jobs.get_mut(&task.job).expect("job of a placed task");
            job.slots[task.index as usize] = Slot::Placed(id);
            job.running += u32::from(is_running);
            return true;
        }
        false
    }
}
