//! The heap of waiting jobs and the list of those that could not be placed.
//!
//! A job stands for all of its waiting tasks, which are alike.

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

/// Highest priority first, then the one accepted first.
type Rank = (Priority, Reverse<(u64, u64)>, Reverse<JobId>);

#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Rank>,
    queued: HashSet<JobId>,
    parked: BTreeSet<JobId>,
    /// Something has changed since the last pass.
    pub dirty: bool,
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

    /// Orders the heap anew: by the priorities that the jobs have now, and among equal ones
    /// by the given places.
    pub fn rank(&mut self, places: &HashMap<JobId, usize>, jobs: &BTreeMap<JobId, Job>) {
        let ranked = |id: &JobId| {
            let priority = jobs.get(id)?.spec.priority;
            let place = places.get(id).map_or(u64::MAX, |place| *place as u64);
            Some((priority, Reverse((place, 0)), Reverse(id.clone())))
        };
        self.heap = self.queued.iter().filter_map(ranked).collect();
    }

    /// The job that `pop` gives next.
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

    fn holds(&self, id: &JobId) -> bool {
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

/// What a pass makes of a machine. Where it changes, waiting jobs are tried again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Availability {
    /// Tasks may be placed there.
    usable: bool,
    /// What it may hold counts against team limits, though nobody has seen it.
    unresolved: bool,
}

impl ClusterState {
    /// How a pass sees the machine now. One that stopped reporting is not usable, long before its
    /// lease is over, and neither is one of a zone that is partitioned.
    pub(super) fn availability(&self, id: &MachineId, now: Duration) -> Option<Availability> {
        let machine = self.machines.get(id)?;
        Some(Availability {
            usable: self.usable(machine, now),
            unresolved: machine.unresolved,
        })
    }
}

impl Node {
    /// A job with waiting tasks that neither the heap nor the list holds: nothing would
    /// ever look at it again. There is none.
    pub fn lost_job(&self) -> Option<JobId> {
        let cluster = self.cluster.as_ref()?;
        let waits =
            |(id, job): &(&JobId, &Job)| job.waiting_count() > 0 && !cluster.queue.holds(id);
        cluster.jobs.iter().find(waits).map(|(id, _)| id.clone())
    }
}
