//! Records of the graph: one for an active job, one for a job that active ones need.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::contribution::{Contribution, Contributions};
use crate::message::{JobFacts, Outcome, TerminalState, Urgency};

/// An active job.
#[derive(Debug, Clone)]
pub(crate) struct ActiveJob<Id> {
    pub(crate) needs: BTreeSet<Id>,
    pub(crate) accepted_ms: u64,
    pub(crate) expected: Duration,
    /// Urgency without any dependents.
    pub(crate) own_urgency: Urgency,
    /// Urgency as last reported; `None` only within the step that adds the job.
    pub(crate) urgency: Option<Urgency>,
    /// Contribution to the urgency of each job that it needs.
    pub(crate) contribution: Option<Contribution>,
    /// Number of needs that are not known to be done.
    pub(crate) not_done: usize,
    /// Set once a direct or transitive need is cancelled. Never reset, since terminal states
    /// never change.
    pub(crate) cancelled: bool,
    /// Position in the topological order: above every active job that it needs.
    pub(crate) level: i64,
    /// Set for the job whose addition closed a cycle of needs. The topological order and the
    /// urgencies ignore its needs.
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
            contribution: None,
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
    /// Active jobs that name it; never empty between steps.
    pub(crate) dependents: BTreeSet<Id>,
    /// Contributions of these jobs to its urgency.
    pub(crate) contributions: Contributions,
    /// Terminal state of the job, if known; always `None` while it is active.
    pub(crate) terminal_state: Option<TerminalState>,
}

impl<Id> Default for NeededJob<Id> {
    fn default() -> Self {
        NeededJob {
            dependents: BTreeSet::new(),
            contributions: Contributions::default(),
            terminal_state: None,
        }
    }
}

impl<Id> NeededJob<Id> {
    /// Returns whether the job is known to have ended with this outcome.
    pub(crate) fn ended_as(&self, outcome: Outcome) -> bool {
        self.terminal_state
            .is_some_and(|state| state.outcome == outcome)
    }
}
