//! Progress of a new leader in hearing the machines that are stored as holding tasks.
//!
//! The free capacity of a machine is unknown until it is heard. Stopping a task, renting a machine
//! or returning one before that may be needless, as enough capacity may exist already. So these
//! actions wait, by zone, for the machines that are still likely to be heard soon. Starts on
//! machines that were heard don't wait.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Limits on the time to wait for reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// Time after the start of the leader within which every working worker has reported.
    pub max: Duration,
    /// Time without a newly heard machine, after some were heard, that ends the wait for the rest.
    pub quiet: Duration,
}

/// Counts of the machines of one zone that are stored as holding tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneCounts {
    /// Number of machines in the stored state.
    pub stored: usize,
    /// Number of these that are waited for: not heard, not proven empty, not listed as failed, and
    /// without unanswered commands.
    pub silent: usize,
    /// Whether the zone is unreachable, so that its machines are not waited for.
    pub unreachable: bool,
}

/// A zone is no longer waited for once at most one machine in this many is silent: if the others
/// have no capacity, the last ones are unlikely to have any.
const STRAGGLERS_ONE_IN: usize = 10;

/// The stage of a zone's reconciliation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Machines are still likely to be heard.
    Waiting,
    /// All stored machines were heard or proven empty.
    Reconciled,
    /// Some machines are still silent, and are no longer waited for.
    Overdue,
}

/// Inputs of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Current counts by zone.
    Counts(BTreeMap<Arc<str>, ZoneCounts>),
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
    counts: ZoneCounts,
    stage: Stage,
    /// Time of the last decrease of the number of silent machines.
    last_progress: Option<Duration>,
}

/// Tracks, zone by zone, which stored machines a new leader has heard.
#[derive(Debug, Clone)]
pub struct Reconciliation {
    limits: WaitLimits,
    started_at: Duration,
    zones: BTreeMap<Arc<str>, Zone>,
    /// Set once counts of all zones were received.
    has_counts: bool,
    listed: bool,
    reconciled: bool,
}

impl Reconciliation {
    /// Starts at `now`, without any zones.
    pub fn new(limits: WaitLimits, now: Duration) -> Self {
        Self {
            limits,
            started_at: now,
            zones: BTreeMap::new(),
            has_counts: false,
            listed: false,
            reconciled: false,
        }
    }

    /// Applies an input and returns the changes.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Listed if self.listed => {}
            Input::Listed => {
                self.listed = true;
                outputs.push(Output::Listed);
            }
            Input::Counts(counts) => {
                self.has_counts = true;
                for (name, zone_counts) in counts {
                    outputs.extend(self.update_zone(now, name, zone_counts));
                }
                if !self.reconciled && self.zones.values().all(|z| z.stage != Stage::Waiting) {
                    self.reconciled = true;
                    let after = now.saturating_sub(self.started_at);
                    outputs.push(Output::Reconciled { after });
                }
            }
        }
        outputs
    }

    fn update_zone(&mut self, now: Duration, name: Arc<str>, counts: ZoneCounts) -> Option<Output> {
        let zone = self.zones.entry(name.clone()).or_insert(Zone {
            counts,
            stage: Stage::Waiting,
            last_progress: (counts.silent < counts.stored).then_some(now),
        });
        if counts.silent < zone.counts.silent {
            zone.last_progress = Some(now);
        }
        zone.counts = counts;
        let is_timed_out = now >= self.started_at + self.limits.max;
        let is_stalled = zone
            .last_progress
            .is_some_and(|at| now >= at + self.limits.quiet);
        let only_stragglers = counts.silent * STRAGGLERS_ONE_IN <= counts.stored;
        let stage = match (zone.stage, counts.silent) {
            // An overdue zone is not waited for again.
            (Stage::Waiting | Stage::Overdue, 0) | (Stage::Reconciled, _) => Stage::Reconciled,
            (Stage::Overdue, _) => Stage::Overdue,
            _ if is_timed_out || is_stalled || counts.unreachable || only_stragglers => {
                Stage::Overdue
            }
            _ => Stage::Waiting,
        };
        let changed = stage != zone.stage;
        zone.stage = stage;
        changed.then_some(Output::Stage {
            zone: name,
            stage,
            heard: counts.stored - counts.silent.min(counts.stored),
            stored: counts.stored,
        })
    }

    /// Returns whether machines of a zone, of unknown capacity, are still likely to be heard.
    pub fn is_awaited(&self, zone: &str) -> bool {
        let stage = self.zones.get(zone).map(|zone| zone.stage);
        stage.map_or(!self.has_counts, |stage| stage == Stage::Waiting)
    }

    /// Returns whether any zone is still waited for.
    pub fn is_in_progress(&self) -> bool {
        !self.reconciled
    }

    /// Returns whether the cloud's list, which may contain unknown machines requested earlier, is
    /// still waited for. The wait lasts at most as long as that for a worker.
    pub fn is_list_pending(&self, now: Duration) -> bool {
        !self.listed && now < self.started_at + self.limits.max
    }

    /// Returns each zone with its stage, machines heard and machines stored.
    pub fn zones(&self) -> impl Iterator<Item = (&Arc<str>, Stage, usize, usize)> {
        self.zones.iter().map(|(name, zone)| {
            let ZoneCounts { stored, silent, .. } = zone.counts;
            (name, zone.stage, stored - silent.min(stored), stored)
        })
    }
}
