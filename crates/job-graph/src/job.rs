//! The two records of the graph: of an active job, and of a job that active ones need.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::message::{End, JobFacts, Outcome, Urgency};
use crate::offer::{Offer, Offers};

/// An active job.
#[derive(Debug, Clone)]
pub(crate) struct ActiveJob<Id> {
    pub(crate) needs: BTreeSet<Id>,
    pub(crate) accepted_ms: u64,
    pub(crate) expected: Duration,
    /// Its urgency if no job waited for it.
    pub(crate) own_urgency: Urgency,
    /// Its urgency as last told; `None` only within the step that adds it.
    pub(crate) urgency: Option<Urgency>,
    /// What it adds to the urgency of each job that it needs.
    pub(crate) offer: Option<Offer>,
    /// How many of the jobs it needs are not known to be done.
    pub(crate) not_done: usize,
    /// A job that it needs, directly or through others, is cancelled. Ends never change, so
    /// neither does this.
    pub(crate) cancelled: bool,
    /// Its position in the topological order: above every active job that it needs.
    pub(crate) level: i64,
    /// It came last of a cycle of needs. The order and the urgencies leave its needs out.
    pub(crate) closes_cycle: bool,
}

impl<Id: Ord> ActiveJob<Id> {
    pub(crate) fn new(facts: JobFacts<Id>) -> Self {
        let own_urgency = Urgency {
            priority: facts.priority,
            latest_finish_ms: facts.deadline_ms,
        };
        ActiveJob {
            needs: facts.needs.into_iter().collect(),
            accepted_ms: facts.accepted_ms,
            expected: facts.expected,
            own_urgency,
            urgency: None,
            offer: None,
            not_done: 0,
            cancelled: false,
            level: 0,
            closes_cycle: false,
        }
    }
}

/// A job, active or not, that active jobs need.
#[derive(Debug, Clone)]
pub(crate) struct NeededJob<Id> {
    /// The active jobs that name it; never empty between steps.
    pub(crate) dependents: BTreeSet<Id>,
    /// What these jobs add to its urgency.
    pub(crate) offers: Offers,
    /// Its end, if known; always `None` while it is active.
    pub(crate) end: Option<End>,
}

impl<Id> Default for NeededJob<Id> {
    fn default() -> Self {
        NeededJob {
            dependents: BTreeSet::new(),
            offers: Offers::default(),
            end: None,
        }
    }
}

impl<Id> NeededJob<Id> {
    /// Whether it is known to have ended this way.
    pub(crate) fn ended_as(&self, outcome: Outcome) -> bool {
        self.end.is_some_and(|end| end.outcome == outcome)
    }
}
