//! Progress of a new leader in hearing the machines that are stored as holding tasks.
//!
//! The free capacity of a machine is unknown until it was heard. Stopping a task, renting a
//! machine or returning one before that may be needless, as capacity may already be there. So
//! these actions wait, by zone, for the machines that are still likely to be heard soon. Starts
//! on machines that were heard don't wait.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Limits on the time to wait for reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Time within which every working worker has reported.
    pub most: Duration,
    /// Time without a newly heard machine, after some were heard, that ends the wait for the rest.
    pub quiet: Duration,
}

/// Counts of the machines of one zone that are stored as holding tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of machines in the stored state.
    pub stored: usize,
    /// Of these, machines neither heard, nor proven empty, nor asked without an answer.
    pub silent: usize,
    /// Whether the zone is unreachable, so that its machines are not waited for.
    pub cut: bool,
}

/// A zone is not waited for once at most one machine in this many is silent: if the others have
/// no capacity, the last ones are unlikely to have any.
const FEW_ONE_IN: usize = 10;

/// The stage of a zone's reconciliation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Machines are still likely to be heard.
    Hearing,
    /// All stored machines were heard or proven empty.
    Reconciled,
    /// Some machines are still silent, and are no longer waited for.
    Overdue,
}

/// Inputs of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Current counts by zone.
    Heard(BTreeMap<Arc<str>, Count>),
    /// The cloud's list of machines was read completely.
    Listed,
}

/// Changes, for the log and for callers that deferred actions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A zone has entered a stage.
    Stage {
        /// The zone.
        zone: Arc<str>,
        /// The stage that it has entered.
        stage: Stage,
        /// Number of machines that were heard or proven empty.
        heard: usize,
        /// Number of machines in the stored state.
        stored: usize,
    },
    /// No zone is waited for any longer.
    Reconciled {
        /// Time since the leader started.
        after: Duration,
    },
    /// Actions that waited for the cloud's list may proceed.
    Listed,
}

#[derive(Debug, Clone)]
struct Zone {
    count: Count,
    stage: Stage,
    /// Time of the last decrease of the number of silent machines.
    fell: Option<Duration>,
}

/// Tracks, zone by zone, which stored machines a new leader has heard.
#[derive(Debug, Clone)]
pub struct Reconciliation {
    patience: Patience,
    began: Duration,
    zones: BTreeMap<Arc<str>, Zone>,
    /// Set once counts of all zones were received.
    looked: bool,
    listed: bool,
    reconciled: bool,
}

impl Reconciliation {
    /// Starts at `now`, without any zones.
    pub fn new(patience: Patience, now: Duration) -> Self {
        Self {
            patience,
            began: now,
            zones: BTreeMap::new(),
            looked: false,
            listed: false,
            reconciled: false,
        }
    }

    /// Applies an input and returns the changes.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        match input {
            Input::Listed if self.listed => {}
            Input::Listed => {
                self.listed = true;
                out.push(Output::Listed);
            }
            Input::Heard(counts) => {
                self.looked = true;
                for (name, count) in counts {
                    out.extend(self.update_zone(now, name, count));
                }
                if !self.reconciled && self.zones.values().all(|z| z.stage != Stage::Hearing) {
                    self.reconciled = true;
                    let after = now.saturating_sub(self.began);
                    out.push(Output::Reconciled { after });
                }
            }
        }
        out
    }

    fn update_zone(&mut self, now: Duration, name: Arc<str>, count: Count) -> Option<Output> {
        let zone = self.zones.entry(name.clone()).or_insert(Zone {
            count,
            stage: Stage::Hearing,
            fell: (count.silent < count.stored).then_some(now),
        });
        if count.silent < zone.count.silent {
            zone.fell = Some(now);
        }
        zone.count = count;
        let waited = now >= self.began + self.patience.most;
        let quiet = zone.fell.is_some_and(|at| now >= at + self.patience.quiet);
        let few = count.silent * FEW_ONE_IN <= count.stored;
        let stage = match (zone.stage, count.silent) {
            // A zone that was given up on is not waited for again.
            (Stage::Hearing | Stage::Overdue, 0) | (Stage::Reconciled, _) => Stage::Reconciled,
            (Stage::Overdue, _) => Stage::Overdue,
            _ if waited || quiet || count.cut || few => Stage::Overdue,
            _ => Stage::Hearing,
        };
        let changed = stage != zone.stage;
        zone.stage = stage;
        changed.then_some(Output::Stage {
            zone: name,
            stage,
            heard: count.stored - count.silent.min(count.stored),
            stored: count.stored,
        })
    }

    /// Returns whether machines of a zone, of unknown capacity, are still likely to be heard.
    pub fn is_awaited(&self, zone: &str) -> bool {
        let stage = self.zones.get(zone).map(|zone| zone.stage);
        stage.map_or(!self.looked, |stage| stage == Stage::Hearing)
    }

    /// Returns whether any zone is still waited for.
    pub fn is_in_progress(&self) -> bool {
        !self.reconciled
    }

    /// Returns whether the cloud's list, which may contain unknown machines requested earlier, is
    /// still waited for. The wait is no longer than that for a worker.
    pub fn unlisted(&self, now: Duration) -> bool {
        !self.listed && now < self.began + self.patience.most
    }

    /// Returns each zone with its stage, machines heard and machines stored.
    pub fn zones(&self) -> impl Iterator<Item = (&Arc<str>, Stage, usize, usize)> {
        self.zones.iter().map(|(name, zone)| {
            let Count { stored, silent, .. } = zone.count;
            (name, zone.stage, stored - silent.min(stored), stored)
        })
    }
}
