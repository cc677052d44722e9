//! Active jobs in the leader's cluster state.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    job::{JobSpec, Kind, Priority, TaskSet},
    machine::MachineId,
    results::Results,
    state_cache::LiveJob,
};

/// State of one task.
#[derive(Debug, Clone, PartialEq)]
pub enum Slot {
    Waiting,
    Placed(MachineId),
    Done,
}

/// Active job in the leader's cluster state.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub version: u64,
    pub accepted_ms: u64,
    /// Time at which the last job that it needs was done, or at which it was accepted if later. All
    /// times except the deadline count from then.
    pub ready_ms: u64,
    /// Whether any job that it needs is not known to be done; meanwhile none of its tasks may
    /// start.
    pub blocked: bool,
    /// Latest finish time that keeps the jobs that need it on schedule.
    pub latest_finish_ms: Option<u64>,
    /// Priority assigned by its owner; `spec.priority` may be higher, inherited from dependent
    /// jobs.
    pub own_priority: Priority,
    /// Whether its pipeline was reported as likely to be late.
    pub(super) at_risk: bool,
    pub slots: Vec<Slot>,
    /// Waiting tasks in reverse order of their start. May include tasks that no longer wait.
    pub waiting: Vec<u32>,
    pub placed: u32,
    pub running: u32,
    pub done: TaskSet,
    pub done_count: u32,
    pub saved: Results,
    /// Time since which some results are not stored.
    pub unsaved_since: Option<Duration>,
    pub saving: bool,
    /// Machines that the job's tasks failed on.
    pub failed_on: BTreeSet<MachineId>,
    pub failures: u32,
    pub(super) failed_at: Duration,
    /// Whether the previous leader found that it fails on every machine.
    pub(super) inherited_faulty: bool,
    /// Number of attempts since the job was found to be faulty.
    pub(super) probes: u32,
    pub retry_at: Duration,
    /// Time since which no machine with its image has had capacity, see `image_locality`.
    pub(super) locality_wait_since: Option<Duration>,
    /// Whether the last attempt of this gang was incomplete and its remaining tasks still fetch
    /// images.
    pub(super) fetches_between_attempts: bool,
    /// Machines nominated for waiting tasks, one entry per task.
    pub nominations: Vec<MachineId>,
}

impl Job {
    pub(super) fn new(live: &LiveJob, saved: Results) -> Self {
        let done = saved.stored().clone();
        let spec = live.record.spec.clone();
        let slots: Vec<Slot> = (0..spec.tasks)
            .map(|i| match done.contains(i) {
                true => Slot::Done,
                false => Slot::Waiting,
            })
            .collect();
        let waiting: Vec<u32> = (0..spec.tasks)
            .rev()
            .filter(|i| !done.contains(*i))
            .collect();
        Self {
            version: live.version,
            accepted_ms: live.record.accepted_ms,
            ready_ms: live.record.accepted_ms,
            blocked: !live.record.spec.needs.is_empty(),
            latest_finish_ms: None,
            own_priority: spec.priority,
            at_risk: false,
            done_count: spec.tasks - waiting.len() as u32,
            slots,
            waiting,
            placed: 0,
            running: 0,
            saved,
            done,
            unsaved_since: None,
            saving: false,
            failed_on: BTreeSet::new(),
            failures: 0,
            failed_at: Duration::ZERO,
            inherited_faulty: false,
            probes: 0,
            retry_at: Duration::ZERO,
            locality_wait_since: None,
            fetches_between_attempts: false,
            nominations: Vec::new(),
            spec,
        }
    }

    /// Returns the number of tasks that may start and are not placed; 0 while the job is blocked.
    pub fn waiting_count(&self) -> u32 {
        match self.blocked {
            true => 0,
            false => self.unplaced_count(),
        }
    }

    /// Returns the number of tasks that are neither done nor known to be on a machine.
    pub fn unplaced_count(&self) -> u32 {
        self.spec.tasks - self.done_count - self.placed
    }

    /// Returns the next waiting task without removing it.
    pub fn next_waiting(&mut self) -> Option<u32> {
        while let Some(&index) = self.waiting.last() {
            if self.slots[index as usize] == Slot::Waiting {
                return Some(index);
            }
            self.waiting.pop();
        }
        None
    }

    pub fn is_complete(&self) -> bool {
        self.spec.kind != Kind::Service && self.done_count == self.spec.tasks
    }
}
