//! Image locality: arrays of equal priority are placed on machines that have their image first.
//!
//! Under high load, freed capacity is taken at once by the next job in the queue, which mostly has
//! to fetch its image there although another waiting array has its image on that machine. Such
//! fetches held a fifth of all capacity. So arrays of one priority first take, in queue order,
//! machines that have their image or are fetching it, and then any other machines in the same
//! order. No capacity is left idle for this, and no priority is passed over. An array that got no
//! machine this way for as long as its image takes to fetch is then placed on any machine: waiting
//! longer would cost more than the fetch (delay scheduling, Zaharia et al., 2010).

use std::time::Duration;

use super::{
    capacity_snapshot::CapacitySnapshot,
    cluster::{ClusterState, Job},
    job::{JobId, Kind},
};

impl ClusterState {
    /// Returns whether the next job in the queue belongs to the same locality round as `first`: an
    /// array of the same priority. True if no round is open.
    pub(super) fn shares_locality_round(&mut self, first: Option<&JobId>) -> bool {
        let Some(first) = first.and_then(|id| self.jobs.get(id)) else {
            return true;
        };
        let next = self.queue.peek().and_then(|id| self.jobs.get(id));
        next.is_some_and(|next| {
            next.spec.kind == Kind::Array && next.spec.priority == first.spec.priority
        })
    }

    /// Returns whether the job is still tried on machines with its image only, before the others.
    pub(super) fn prefers_image_locality(&self, job: &Job, now: Duration) -> bool {
        let spec = &job.spec;
        let max_wait = Duration::from_secs_f64(self.uncontended_fetch_secs(spec).min(3600.0));
        spec.kind == Kind::Array
            && job.nominations.is_empty()
            && job
                .locality_wait_since
                .is_none_or(|since| now < since + max_wait)
    }

    pub(super) fn place_with_image(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let (spec, placed_before) = (job.spec.clone(), job.placed);
        snapshot.select_job(&spec, &self.machines);
        self.fill_machines(snapshot, id, &spec, true, now);
        if let Some(job) = self.jobs.get_mut(id) {
            match job.placed > placed_before {
                true => job.locality_wait_since = None,
                false => {
                    job.locality_wait_since.get_or_insert(now);
                }
            }
        }
    }
}
