//! Arrays of equal priority are given rooms with their image before others are.
//!
//! Under a rush every room that falls free is taken at once by whatever is next in the
//! order, and mostly fetches an image for it, though another array that waits has its
//! image there. A fifth of all room was held by fetches like that. So arrays of one
//! priority first take, in their order, the rooms that have their image or are about
//! to; what is left of the rooms goes to them in the same order, as ever. Nothing
//! stays empty for it, and no priority is passed over. An array that got nothing this
//! way for as long as its image takes to arrive takes any room in its turn: waiting
//! longer would cost more than the fetch (delay scheduling, Zaharia and others, 2010).

use std::time::Duration;

use super::{
    capacity_snapshot::CapacitySnapshot,
    cluster::{ClusterState, Job},
    job::{JobId, Kind},
};

impl ClusterState {
    /// Whether the next job may take its turn beside those that took theirs near.
    pub(super) fn shares_locality_round(&mut self, first: Option<&JobId>) -> bool {
        let Some(first) = first.and_then(|id| self.jobs.get(id)) else {
            return true;
        };
        let next = self.queue.peek().and_then(|id| self.jobs.get(id));
        next.is_some_and(|next| {
            next.spec.kind == Kind::Array && next.spec.priority == first.spec.priority
        })
    }

    /// The job takes rooms with its image before any other.
    pub(super) fn prefers_image_locality(&self, job: &Job, now: Duration) -> bool {
        let spec = &job.spec;
        let patience = Duration::from_secs_f64(self.uncontended_fetch_secs(spec).min(3600.0));
        spec.kind == Kind::Array
            && job.nominations.is_empty()
            && job
                .locality_wait_since
                .is_none_or(|since| now < since + patience)
    }

    pub(super) fn place_with_image(
        &mut self,
        view: &mut CapacitySnapshot,
        id: &JobId,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let (spec, before) = (job.spec.clone(), job.placed);
        view.select_job(&spec, &self.machines);
        self.fill_machines(view, id, &spec, true, now);
        if let Some(job) = self.jobs.get_mut(id) {
            match job.placed > before {
                true => job.locality_wait_since = None,
                false => {
                    job.locality_wait_since.get_or_insert(now);
                }
            }
        }
    }
}
