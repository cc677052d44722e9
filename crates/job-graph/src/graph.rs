//! State, inputs and queries of the graph.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::job::{ActiveJob, NeededJob};
use crate::message::{Input, JobFacts, Outcome, Output, TerminalState, Urgency};
use crate::status::Status;

/// The dependency graph of the active jobs.
///
/// Memory grows with the active jobs and the needs that they name, not with the jobs that have
/// ended.
#[derive(Debug, Clone)]
pub struct JobGraph<Id> {
    pub(crate) active: BTreeMap<Id, ActiveJob<Id>>,
    /// Jobs that active jobs name as needs.
    pub(crate) needed: BTreeMap<Id, NeededJob<Id>>,
    /// Entries of `needed` that are neither active nor have a known terminal state.
    unread_jobs: BTreeSet<Id>,
}

impl<Id> Default for JobGraph<Id> {
    fn default() -> Self {
        JobGraph {
            active: BTreeMap::new(),
            needed: BTreeMap::new(),
            unread_jobs: BTreeSet::new(),
        }
    }
}

impl<Id: Clone + Ord> JobGraph<Id> {
    /// Creates an empty graph.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an input and returns the resulting outputs. No two outputs of one step have both the
    /// same job and the same kind; their order has no meaning.
    pub fn step(&mut self, input: Input<Id>) -> Vec<Output<Id>> {
        let mut outputs = Vec::new();
        match input {
            Input::Added { id, facts } => self.add(id, facts, &mut outputs),
            Input::Removed { id } => self.remove(&id, &mut outputs),
            Input::Ended { id, terminal_state } => self.end_job(&id, terminal_state, &mut outputs),
            Input::Expected { id, expected } => self.update_expected(id, expected, &mut outputs),
        }
        outputs
    }

    /// Returns the status of a job.
    pub fn status(&self, id: &Id) -> Status<Id> {
        let Some(job) = self.active.get(id) else {
            return Status::NotActive;
        };
        if job.cancelled {
            return Status::Cancelled;
        }
        if job.not_done == 0 {
            let since_ms = self.ready_since_ms(job);
            return Status::Ready { since_ms };
        }
        let unread_jobs = self.unread_needs(id);
        if !unread_jobs.is_empty() {
            return Status::Unknown { unread_jobs };
        }
        let needs = job.needs.iter();
        let on = needs.filter(|need| !self.is_done(need)).cloned().collect();
        Status::Waiting { on }
    }

    /// Returns the inactive jobs that active ones need and whose terminal states must be read.
    pub fn unread_jobs(&self) -> impl Iterator<Item = &Id> {
        self.unread_jobs.iter()
    }

    /// Returns whether an active job names this one as a need.
    pub fn has_dependents(&self, id: &Id) -> bool {
        self.needed.contains_key(id)
    }

    /// Returns the urgency of an active job.
    pub fn urgency(&self, id: &Id) -> Option<Urgency> {
        self.active.get(id)?.urgency
    }

    /// Clears the graph, for use before all jobs are read again.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the active jobs that name this one as a need.
    pub(crate) fn dependents(&self, id: &Id) -> impl Iterator<Item = &Id> {
        self.needed
            .get(id)
            .into_iter()
            .flat_map(|needed| &needed.dependents)
    }

    fn add(&mut self, id: Id, facts: JobFacts<Id>, outputs: &mut Vec<Output<Id>>) {
        if self.active.contains_key(&id) || self.known_terminal_state(&id).is_some() {
            return;
        }
        self.insert(&id, ActiveJob::new(facts), outputs);
        self.assign_level(&id);
        let mut changed = Vec::new();
        if self.has_cancelled_need(&id) {
            changed = self.cancel(vec![id.clone()], outputs);
        }
        outputs.extend(self.ready_output(&id));
        changed.push(id);
        self.update_urgencies(&changed, outputs);
    }

    /// Inserts an active job and registers it with each of its needs.
    fn insert(&mut self, id: &Id, mut job: ActiveJob<Id>, outputs: &mut Vec<Output<Id>>) {
        self.unread_jobs.remove(id);
        for need in &job.needs {
            let needed = self.needed.entry(need.clone()).or_default();
            needed.dependents.insert(id.clone());
            if !needed.ended_as(Outcome::Done) {
                job.not_done += 1;
            }
            let unknown =
                needed.terminal_state.is_none() && need != id && !self.active.contains_key(need);
            if unknown && self.unread_jobs.insert(need.clone()) {
                outputs.push(Output::Lookup { id: need.clone() });
            }
        }
        self.active.insert(id.clone(), job);
    }

    fn remove(&mut self, id: &Id, outputs: &mut Vec<Output<Id>>) {
        let Some(changed) = self.remove_active(id) else {
            return;
        };
        if self.needed.contains_key(id) {
            self.unread_jobs.insert(id.clone());
            outputs.push(Output::Lookup { id: id.clone() });
        }
        self.update_urgencies(&changed, outputs);
    }

    /// Removes a job from the active ones and from its needs; returns those needs.
    fn remove_active(&mut self, id: &Id) -> Option<Vec<Id>> {
        let job = self.active.remove(id)?;
        for need in &job.needs {
            let Some(needed) = self.needed.get_mut(need) else {
                continue;
            };
            needed.dependents.remove(id);
            if let Some(contribution) = job.contribution {
                needed.contributions.remove(contribution);
            }
            if needed.dependents.is_empty() {
                self.needed.remove(need);
                self.unread_jobs.remove(need);
            }
        }
        Some(job.needs.into_iter().collect())
    }

    fn end_job(&mut self, id: &Id, terminal_state: TerminalState, outputs: &mut Vec<Output<Id>>) {
        let mut changed = self.remove_active(id).unwrap_or_default();
        if self.store_terminal_state(id, terminal_state) {
            let dependents = self.dependents(id).cloned().collect::<Vec<_>>();
            match terminal_state.outcome {
                Outcome::Done => self.record_done_need(&dependents, outputs),
                Outcome::Cancelled => changed.extend(self.cancel(dependents, outputs)),
            }
        }
        self.update_urgencies(&changed, outputs);
    }

    /// Stores the terminal state of a needed job; returns whether it was unknown before.
    fn store_terminal_state(&mut self, id: &Id, terminal_state: TerminalState) -> bool {
        let Some(needed) = self.needed.get_mut(id) else {
            return false;
        };
        if needed.terminal_state.is_some() {
            return false;
        }
        needed.terminal_state = Some(terminal_state);
        self.unread_jobs.remove(id);
        true
    }

    /// Records for each dependent that one more of its needs is done.
    fn record_done_need(&mut self, dependents: &[Id], outputs: &mut Vec<Output<Id>>) {
        for dependent in dependents {
            if let Some(job) = self.active.get_mut(dependent) {
                job.not_done -= 1;
            }
            outputs.extend(self.ready_output(dependent));
        }
    }

    /// Returns a [`Output::Ready`] for a job that has needs and may start.
    fn ready_output(&self, id: &Id) -> Option<Output<Id>> {
        let job = self.active.get(id)?;
        let ready = !job.needs.is_empty() && job.not_done == 0 && !job.cancelled;
        ready.then(|| Output::Ready {
            id: id.clone(),
            since_ms: self.ready_since_ms(job),
        })
    }

    fn update_expected(&mut self, id: Id, expected: Duration, outputs: &mut Vec<Output<Id>>) {
        if let Some(job) = self.active.get_mut(&id) {
            job.expected = expected;
            self.update_urgencies(&[id], outputs);
        }
    }

    fn known_terminal_state(&self, id: &Id) -> Option<TerminalState> {
        self.needed.get(id)?.terminal_state
    }

    fn is_done(&self, id: &Id) -> bool {
        self.known_terminal_state(id)
            .is_some_and(|state| state.outcome == Outcome::Done)
    }

    fn ready_since_ms(&self, job: &ActiveJob<Id>) -> u64 {
        let states = job
            .needs
            .iter()
            .filter_map(|need| self.known_terminal_state(need));
        states
            .filter_map(|state| state.at_ms)
            .fold(job.accepted_ms, u64::max)
    }

    /// Returns the unread jobs that a job needs directly or through active jobs.
    fn unread_needs(&self, id: &Id) -> Vec<Id> {
        if self.unread_jobs.is_empty() {
            return Vec::new();
        }
        let mut unread_jobs = BTreeSet::new();
        let mut seen = BTreeSet::from([id]);
        let mut pending = vec![id];
        while let Some(id) = pending.pop() {
            if self.unread_jobs.contains(id) {
                unread_jobs.insert(id.clone());
            }
            let needs = self.active.get(id).into_iter().flat_map(|job| &job.needs);
            pending.extend(needs.filter(|need| seen.insert(need)));
        }
        unread_jobs.into_iter().collect()
    }
}
