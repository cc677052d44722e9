//! Job queue: a heap of waiting jobs, and the parked jobs that could not be placed.
//!
//! An entry represents all waiting tasks of its job, which are identical.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet},
    time::Duration,
};

use super::{
    Node,
    cluster::{ClusterState, Job},
    job::{JobId, Priority},
    machine::MachineId,
};

/// Sort key of the heap: highest priority first, then the earliest in order.
type Rank = (Priority, Reverse<(u64, u64)>, Reverse<JobId>);

#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Rank>,
    queued: HashSet<JobId>,
    parked: BTreeSet<JobId>,
    /// Whether a scheduling pass has been requested since the last one.
    pub pass_requested: bool,
}

impl Queue {
    pub fn push(&mut self, id: &JobId, job: &Job) {
        self.parked.remove(id);
        if job.waiting_count() > 0 && self.queued.insert(id.clone()) {
            let order = (job.ready_ms, job.version);
            self.heap
                .push((job.spec.priority, Reverse(order), Reverse(id.clone())));
        }
    }

    /// Rebuilds the heap with the current priorities of the jobs, and the given positions among
    /// jobs of equal priority.
    pub fn reorder(&mut self, positions: &HashMap<JobId, usize>, jobs: &BTreeMap<JobId, Job>) {
        let heap_entry = |id: &JobId| {
            let priority = jobs.get(id)?.spec.priority;
            let position = positions
                .get(id)
                .map_or(u64::MAX, |position| *position as u64);
            Some((priority, Reverse((position, 0)), Reverse(id.clone())))
        };
        self.heap = self.queued.iter().filter_map(heap_entry).collect();
    }

    /// Returns the job that `pop` would return next.
    pub fn peek(&mut self) -> Option<&JobId> {
        while let Some((_, _, Reverse(id))) = self.heap.peek() {
            if self.queued.contains(id) {
                break;
            }
            self.heap.pop();
        }
        self.heap.peek().map(|(_, _, Reverse(id))| id)
    }

    pub fn pop(&mut self) -> Option<JobId> {
        while let Some((_, _, Reverse(id))) = self.heap.pop() {
            if self.queued.remove(&id) {
                return Some(id);
            }
        }
        None
    }

    pub fn park(&mut self, id: JobId) {
        self.parked.insert(id);
    }

    pub fn remove(&mut self, id: &JobId) {
        self.queued.remove(id);
        self.parked.remove(id);
    }

    fn contains(&self, id: &JobId) -> bool {
        self.queued.contains(id) || self.parked.contains(id)
    }

    pub fn unpark(&mut self, jobs: &BTreeMap<JobId, Job>) {
        for id in std::mem::take(&mut self.parked) {
            if let Some(job) = jobs.get(&id) {
                self.push(&id, job);
            }
        }
    }
}

/// Properties of a machine that a scheduling pass depends on. If they change, waiting jobs are
/// retried.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Availability {
    /// Whether tasks may be placed on the machine.
    usable: bool,
    /// Whether tasks that it may hold, though unconfirmed, count against team limits.
    unresolved: bool,
}

impl ClusterState {
    /// Returns the availability of the machine now. A machine that stopped reporting becomes
    /// unusable long before its lease ends, and so does one in a partitioned zone.
    pub(super) fn availability(&self, id: &MachineId, now: Duration) -> Option<Availability> {
        let machine = self.machines.get(id)?;
        Some(Availability {
            usable: self.usable(machine, now),
            unresolved: machine.unresolved,
        })
    }
}

impl Node {
    /// Returns a job with waiting tasks that is neither queued nor parked, and so would never be
    /// tried again. Tests use this to check the invariant that there is none.
    pub fn unqueued_job(&self) -> Option<JobId> {
        let cluster = self.cluster.as_ref()?;
        let is_unqueued =
            |(id, job): &(&JobId, &Job)| job.waiting_count() > 0 && !cluster.queue.contains(id);
        cluster
            .jobs
            .iter()
            .find(is_unqueued)
            .map(|(id, _)| id.clone())
    }
}
