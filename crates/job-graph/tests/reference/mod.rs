//! Reference model of the graph: recomputes everything from the definitions after each input.

use std::collections::{BTreeMap, BTreeSet};

use kiteyard_job_graph::{Input, JobFacts, Outcome, Output, Status, TerminalState, Urgency};

pub type Id = u8;

#[derive(Debug, Clone, Default)]
pub struct ReferenceModel {
    pub active: BTreeMap<Id, JobFacts<Id>>,
    terminal_states: BTreeMap<Id, TerminalState>,
    cancelled: BTreeSet<Id>,
}

impl ReferenceModel {
    /// Applies an input and returns the changes in the order of [`sorted`].
    pub fn step(&mut self, input: &Input<Id>) -> Vec<Output<Id>> {
        let before = self.clone();
        self.step_without_urgencies(input);
        self.changes_since(&before)
    }

    /// Applies an input, which may close a cycle.
    pub fn step_without_urgencies(&mut self, input: &Input<Id>) {
        match input.clone() {
            Input::Added { id, facts } => {
                if !self.terminal_states.contains_key(&id) {
                    self.active.entry(id).or_insert(facts);
                }
            }
            Input::Removed { id } => {
                self.active.remove(&id);
            }
            Input::Ended { id, terminal_state } => {
                self.active.remove(&id);
                self.terminal_states.entry(id).or_insert(terminal_state);
            }
            Input::Expected { id, expected } => {
                if let Some(facts) = self.active.get_mut(&id) {
                    facts.expected = expected;
                }
            }
        }
        let needed_jobs = self.needed_jobs();
        self.terminal_states
            .retain(|id, _| needed_jobs.contains(id));
        self.derive_cancelled();
    }

    pub fn needed_jobs(&self) -> BTreeSet<Id> {
        let needs = self.active.values().flat_map(|facts| &facts.needs);
        needs.copied().collect()
    }

    pub fn unread_jobs(&self) -> BTreeSet<Id> {
        let mut unknown = self.needed_jobs();
        unknown
            .retain(|id| !self.active.contains_key(id) && !self.terminal_states.contains_key(id));
        unknown
    }

    pub fn status(&self, id: Id) -> Status<Id> {
        let Some(facts) = self.active.get(&id) else {
            return Status::NotActive;
        };
        let outcome = |need: &Id| self.terminal_states.get(need).map(|state| state.outcome);
        let done = |need: &&Id| outcome(need) == Some(Outcome::Done);
        let unread_jobs = self.unread_jobs();
        let unknown = &self.transitive_needs(id) & &unread_jobs;
        let unknown = unknown.into_iter().collect::<Vec<_>>();
        if self.cancelled.contains(&id) {
            Status::Cancelled
        } else if facts.needs.iter().all(|need| done(&need)) {
            let times_ms = facts
                .needs
                .iter()
                .filter_map(|need| self.terminal_states[need].at_ms);
            let since_ms = times_ms
                .chain([facts.accepted_ms])
                .max()
                .expect("at least one time");
            Status::Ready { since_ms }
        } else if !unknown.is_empty() {
            Status::Unknown {
                unread_jobs: unknown,
            }
        } else {
            let needs = facts.needs.iter().collect::<BTreeSet<_>>();
            let on = needs.into_iter().filter(|need| !done(need));
            Status::Waiting {
                on: on.copied().collect(),
            }
        }
    }

    /// Returns the urgency; only for graphs whose cycles are all jobs that name themselves.
    pub fn urgency(&self, id: Id) -> Option<Urgency> {
        let own = self.active.get(&id)?;
        let mut urgency = Urgency {
            priority: own.priority,
            latest_finish_ms: own.deadline_ms,
        };
        for (dependent, facts) in &self.active {
            let names_itself = facts.needs.contains(dependent);
            if !facts.needs.contains(&id) || self.cancelled.contains(dependent) || names_itself {
                continue;
            }
            let theirs = self.urgency(*dependent)?;
            let expected_ms = u64::try_from(facts.expected.as_millis()).unwrap_or(u64::MAX);
            let required_finish_ms = theirs
                .latest_finish_ms
                .map(|finish_ms| finish_ms.saturating_sub(expected_ms));
            urgency.priority = urgency.priority.max(theirs.priority);
            let finishes_ms = urgency
                .latest_finish_ms
                .into_iter()
                .chain(required_finish_ms);
            urgency.latest_finish_ms = finishes_ms.min();
        }
        Some(urgency)
    }

    /// Returns this job and every job that it needs directly or through active jobs.
    fn transitive_needs(&self, id: Id) -> BTreeSet<Id> {
        let mut found = BTreeSet::from([id]);
        loop {
            let known = found.iter().filter_map(|id| self.active.get(id));
            let needs = known.flat_map(|facts| &facts.needs).copied();
            let more = needs.collect::<BTreeSet<_>>();
            if more.is_subset(&found) {
                return found;
            }
            found.extend(more);
        }
    }

    /// Propagates cancellations. A cancelled job stays cancelled while it is active.
    fn derive_cancelled(&mut self) {
        self.cancelled.retain(|id| self.active.contains_key(id));
        loop {
            let is_cancelled = |need: &Id| {
                let state = self.terminal_states.get(need);
                self.cancelled.contains(need)
                    || state.is_some_and(|state| state.outcome == Outcome::Cancelled)
            };
            let jobs = self.active.iter();
            let found = jobs.filter(|(_, facts)| facts.needs.iter().any(is_cancelled));
            let found = found.map(|(id, _)| *id).collect::<BTreeSet<_>>();
            if found.is_subset(&self.cancelled) {
                return;
            }
            self.cancelled.extend(found);
        }
    }

    fn changes_since(&self, before: &ReferenceModel) -> Vec<Output<Id>> {
        let mut changes = Vec::new();
        let lookups = &self.unread_jobs() - &before.unread_jobs();
        changes.extend(lookups.into_iter().map(|id| Output::Lookup { id }));
        let needed_jobs = self.needed_jobs();
        for (&id, facts) in &self.active {
            let was_ready = matches!(before.status(id), Status::Ready { .. });
            match self.status(id) {
                Status::Ready { since_ms } if !was_ready && !facts.needs.is_empty() => {
                    changes.push(Output::Ready { id, since_ms });
                }
                Status::Cancelled if !before.cancelled.contains(&id) => {
                    changes.push(Output::Cancelled { id });
                }
                _ => {}
            }
        }
        for (&id, facts) in &self.active {
            let urgency = self.urgency(id).expect("an active job");
            let is_reported = match before.urgency(id) {
                Some(before) => before != urgency,
                None => !facts.needs.is_empty() || needed_jobs.contains(&id),
            };
            if is_reported {
                changes.push(Output::Urgency { id, urgency });
            }
        }
        sorted(changes)
    }
}

/// Sorts the outputs of a step, whose order has no meaning.
pub fn sorted(mut outputs: Vec<Output<Id>>) -> Vec<Output<Id>> {
    outputs.sort_by_key(|output| format!("{output:?}"));
    outputs
}
