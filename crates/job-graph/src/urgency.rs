//! Derivation of the urgency of a job from its own properties and the jobs that wait for it.
//!
//! A change propagates from a job to its needs until it makes no difference. Jobs are processed
//! from the highest level downwards, so that each is computed once in a step.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::contribution::Contribution;
use crate::graph::JobGraph;
use crate::job::ActiveJob;
use crate::message::{Output, Urgency};

impl<Id: Clone + Ord> JobGraph<Id> {
    /// Recomputes the urgency and the contribution of these active jobs, and of their transitive
    /// needs as far as something changes.
    pub(crate) fn update_urgencies(&mut self, changed: &[Id], outputs: &mut Vec<Output<Id>>) {
        let mut queue = BTreeSet::new();
        self.enqueue(&mut queue, changed);
        while let Some((_, id)) = queue.pop_first() {
            outputs.extend(self.update_urgency(&id));
            let needs = self.update_contribution(&id);
            self.enqueue(&mut queue, &needs);
        }
    }

    fn enqueue(&self, queue: &mut BTreeSet<(Reverse<i64>, Id)>, ids: &[Id]) {
        for id in ids {
            if let Some(job) = self.active.get(id) {
                queue.insert((Reverse(job.level), id.clone()));
            }
        }
    }

    /// Recomputes the urgency of a job; returns an output if it has changed.
    fn update_urgency(&mut self, id: &Id) -> Option<Output<Id>> {
        let job = self.active.get_mut(id)?;
        let needed = self.needed.get(id);
        let urgency = needed.map_or(job.own_urgency, |needed| {
            needed.contributions.combine_with(job.own_urgency)
        });
        let before = job.urgency.replace(urgency);
        let is_reported = match before {
            Some(before) => before != urgency,
            None => needed.is_some() || !job.needs.is_empty(),
        };
        is_reported.then(|| Output::Urgency {
            id: id.clone(),
            urgency,
        })
    }

    /// Updates the contribution of a job to its needs; returns the needs if it has changed.
    fn update_contribution(&mut self, id: &Id) -> Vec<Id> {
        let Some(job) = self.active.get_mut(id) else {
            return Vec::new();
        };
        let contribution = contribution_of(job);
        let before = std::mem::replace(&mut job.contribution, contribution);
        if before == contribution {
            return Vec::new();
        }
        for need in &job.needs {
            let Some(needed) = self.needed.get_mut(need) else {
                continue;
            };
            if let Some(before) = before {
                needed.contributions.remove(before);
            }
            if let Some(contribution) = contribution {
                needed.contributions.add(contribution);
            }
        }
        job.needs.iter().cloned().collect()
    }
}

/// Returns the contribution of a job to its needs. A cancelled job, which will not run, and one
/// that closes a cycle contribute nothing.
fn contribution_of<Id>(job: &ActiveJob<Id>) -> Option<Contribution> {
    if job.cancelled || job.closes_cycle {
        return None;
    }
    let Urgency {
        priority,
        latest_finish_ms,
    } = job.urgency?;
    let expected_ms = u64::try_from(job.expected.as_millis()).unwrap_or(u64::MAX);
    Some(Contribution {
        priority,
        latest_finish_ms: latest_finish_ms.map(|finish_ms| finish_ms.saturating_sub(expected_ms)),
    })
}
