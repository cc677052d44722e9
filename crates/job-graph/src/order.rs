//! The topological order of the active jobs.
//!
//! Each active job has a level above those of the active jobs that it needs. A job is usually added
//! after its needs and is then placed on top; the levels of other jobs change only when jobs are
//! added in another order.

use std::collections::BTreeSet;

use crate::graph::JobGraph;

impl<Id: Clone + Ord> JobGraph<Id> {
    /// Assigns a level to a new job, raises the dependents that are not above it, and detects
    /// whether the job closes a cycle.
    pub(crate) fn assign_level(&mut self, id: &Id) {
        let level = self.first_level(id);
        if let Some(job) = self.active.get_mut(id) {
            job.level = level;
        }
        self.raise_dependents(id, level);
    }

    /// Returns the level just above the needs of a job, or else just below its dependents.
    fn first_level(&self, id: &Id) -> i64 {
        let needs = self.active.get(id).into_iter().flat_map(|job| &job.needs);
        let highest_need = needs
            .filter(|need| *need != id)
            .filter_map(|need| self.active.get(need))
            .map(|need| need.level)
            .max();
        if let Some(level) = highest_need {
            return level + 1;
        }
        let lowest_dependent = self
            .dependents(id)
            .filter(|dependent| *dependent != id)
            .filter_map(|dependent| self.active.get(dependent))
            .filter(|dependent| !dependent.closes_cycle)
            .map(|dependent| dependent.level)
            .min();
        lowest_dependent.map_or(0, |level| level - 1)
    }

    /// Raises dependents until each is above its needs. Terminates because the needs have no cycle
    /// without the new job: a path back to the new job is not followed, and excludes the needs of
    /// the new job from the order.
    fn raise_dependents(&mut self, new: &Id, new_level: i64) {
        let mut raised = BTreeSet::from([(new_level, new.clone())]);
        let mut closes_cycle = false;
        while let Some((level, id)) = raised.pop_first() {
            let Some(needed) = self.needed.get(&id) else {
                continue;
            };
            for dependent in &needed.dependents {
                if dependent == new {
                    closes_cycle = true;
                    continue;
                }
                let Some(job) = self.active.get_mut(dependent) else {
                    continue;
                };
                if job.closes_cycle || job.level > level {
                    continue;
                }
                raised.remove(&(job.level, dependent.clone()));
                job.level = level + 1;
                raised.insert((job.level, dependent.clone()));
            }
        }
        if let Some(job) = self.active.get_mut(new) {
            job.closes_cycle = closes_cycle;
        }
    }
}
