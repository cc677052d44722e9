//! An active job in the leader's cluster state.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    job::{JobSpec, Kind, Priority, TaskSet},
    machine::MachineId,
    results::Results,
    state_cache::LiveJob,
};

/// Where one task stands.
#[derive(Debug, Clone, PartialEq)]
pub enum Slot {
    Waiting,
    On(MachineId),
    Done,
}

/// An active job in the leader's cluster state.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub version: u64,
    pub accepted_ms: u64,
    /// When the last job that it needs was done, or when it was accepted if that was later.
    /// All times but the deadline count from then.
    pub ready_ms: u64,
    /// Jobs that it needs are not known to be done: none of its tasks may start.
    pub blocked: bool,
    /// When it has to be done for the jobs that need it to be in time.
    pub latest_finish_ms: Option<u64>,
    /// The priority that its owner gave it; `spec` has that of the jobs that need it, too.
    pub own_priority: Priority,
    /// It was said that its pipeline will probably be late.
    pub(super) at_risk: bool,
    pub slots: Vec<Slot>,
    /// Waiting tasks, the next one last. May name tasks that wait no longer.
    pub waiting: Vec<u32>,
    pub placed: u32,
    pub running: u32,
    pub done: TaskSet,
    pub done_count: u32,
    pub saved: Results,
    /// Since when there are results that are not stored.
    pub unsaved_since: Option<Duration>,
    pub saving: bool,
    /// Machines that the job's tasks failed on.
    pub failed_on: BTreeSet<MachineId>,
    pub failures: u32,
    pub(super) failed_at: Duration,
    /// The previous leader found that it fails wherever it runs.
    pub(super) inherited_faulty: bool,
    /// Tries since the job was found to fail.
    pub(super) probes: u32,
    pub retry_at: Duration,
    /// Since when it found no room with its image, see `image_locality`.
    pub(super) locality_wait_since: Option<Duration>,
    /// A gang whose last attempt was not complete in time, while images still arrive.
    pub(super) gathers: bool,
    /// Machines held for waiting tasks, one entry a task.
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
            gathers: false,
            nominations: Vec::new(),
            spec,
        }
    }

    /// Tasks that may start and are nowhere. While the job waits for others there are none.
    pub fn waiting_count(&self) -> u32 {
        match self.blocked {
            true => 0,
            false => self.unplaced_count(),
        }
    }

    /// Tasks that are neither done nor known to be on a machine.
    pub fn unplaced_count(&self) -> u32 {
        self.spec.tasks - self.done_count - self.placed
    }

    /// The next waiting task, left in its place.
    pub fn next_waiting(&mut self) -> Option<u32> {
        while let Some(&index) = self.waiting.last() {
            if self.slots[index as usize] == Slot::Waiting {
                return Some(index);
            }
            self.waiting.pop();
        }
        None
    }

    pub fn complete(&self) -> bool {
        self.spec.kind != Kind::Service && self.done_count == self.spec.tasks
    }
}
