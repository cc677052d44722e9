//! Propagation of a cancellation from a job to the jobs that need it.

use crate::graph::JobGraph;
use crate::message::{Outcome, Output};

impl<Id: Clone + Ord> JobGraph<Id> {
    /// Returns whether a direct need of this active job is cancelled.
    pub(crate) fn has_cancelled_need(&self, id: &Id) -> bool {
        let Some(job) = self.active.get(id) else {
            return false;
        };
        job.needs.iter().any(|need| {
            let ended_cancelled = self
                .needed
                .get(need)
                .is_some_and(|needed| needed.ended_as(Outcome::Cancelled));
            let active_cancelled = self.active.get(need).is_some_and(|job| job.cancelled);
            ended_cancelled || active_cancelled
        })
    }

    /// Marks these active jobs and their transitive dependents as cancelled; returns the newly
    /// marked ones.
    pub(crate) fn cancel(&mut self, ids: Vec<Id>, outputs: &mut Vec<Output<Id>>) -> Vec<Id> {
        let mut pending = ids;
        let mut newly_cancelled = Vec::new();
        while let Some(id) = pending.pop() {
            let Some(job) = self.active.get_mut(&id) else {
                continue;
            };
            if job.cancelled {
                continue;
            }
            job.cancelled = true;
            pending.extend(self.dependents(&id).cloned());
            outputs.push(Output::Cancelled { id: id.clone() });
            newly_cancelled.push(id);
        }
        newly_cancelled
    }
}
