//! Contributions of dependents to the urgency of a job that they need.

use std::collections::BTreeMap;

use crate::message::Urgency;

/// Contribution of one dependent to the urgency of each job that it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Contribution {
    pub(crate) priority: u8,
    pub(crate) latest_finish_ms: Option<u64>,
}

/// Multiset of the contributions of all dependents of a job, so that one of thousands can change
/// without a scan of the others.
#[derive(Debug, Clone, Default)]
pub(crate) struct Contributions {
    priorities: Counts<u8>,
    latest_finishes_ms: Counts<u64>,
}

impl Contributions {
    pub(crate) fn add(&mut self, contribution: Contribution) {
        self.priorities.add(contribution.priority);
        if let Some(latest_finish_ms) = contribution.latest_finish_ms {
            self.latest_finishes_ms.add(latest_finish_ms);
        }
    }

    pub(crate) fn remove(&mut self, contribution: Contribution) {
        self.priorities.remove(contribution.priority);
        if let Some(latest_finish_ms) = contribution.latest_finish_ms {
            self.latest_finishes_ms.remove(latest_finish_ms);
        }
    }

    /// Combines a job's own urgency with these contributions.
    pub(crate) fn combine_with(&self, own: Urgency) -> Urgency {
        let dependents_finish_ms = self.latest_finishes_ms.first();
        Urgency {
            priority: self.priorities.last().unwrap_or(0).max(own.priority),
            latest_finish_ms: own
                .latest_finish_ms
                .into_iter()
                .chain(dependents_finish_ms)
                .min(),
        }
    }
}

/// A multiset.
#[derive(Debug, Clone)]
struct Counts<Value>(BTreeMap<Value, usize>);

impl<Value> Default for Counts<Value> {
    fn default() -> Self {
        Counts(BTreeMap::new())
    }
}

impl<Value: Copy + Ord> Counts<Value> {
    fn add(&mut self, value: Value) {
        *self.0.entry(value).or_default() += 1;
    }

    fn remove(&mut self, value: Value) {
        let Some(count) = self.0.get_mut(&value) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0.remove(&value);
        }
    }

    fn first(&self) -> Option<Value> {
        self.0.first_key_value().map(|(value, _)| *value)
    }

    fn last(&self) -> Option<Value> {
        self.0.last_key_value().map(|(value, _)| *value)
    }
}
