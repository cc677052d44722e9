//! How far a new leader is with hearing the machines that are stored as holding tasks.
//!
//! Room on a machine that was not heard yet is not known. Whoever stops a task, rents a
//! machine or returns one before that does so for what may be there already. So some orders
//! wait, by zone, for the machines that are still likely to be heard soon. Starts on
//! machines that were heard wait for nothing.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long to wait at most, by what workers do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// A worker that reports at all has come by then.
    pub most: Duration,
    /// Where some were heard and then no more for so long, the rest is not about to come.
    pub quiet: Duration,
}

/// The machines of one zone that are stored as holding tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Machines that the stored state lists.
    pub stored: usize,
    /// Of these, not heard and not proven empty, nor asked in vain.
    pub silent: usize,
    /// The way to the zone is cut: nobody there is waited for.
    pub cut: bool,
}

/// Where all but one in so many were heard and none has room, the rest hardly has: nobody
/// waits for the last ones.
const FEW_ONE_IN: usize = 10;

/// How far a zone's reconciliation is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Machines are still likely to be heard.
    Hearing,
    /// All that is stored was heard or proven empty.
    Reconciled,
    /// Some are silent still, and nobody waits for them any more.
    Overdue,
}

/// What the state machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// How the zones stand now.
    Heard(BTreeMap<Arc<str>, Count>),
    /// The cloud's list of machines was read whole.
    Listed,
}

/// What has changed, for the log and for whoever held something back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A zone has entered a stage.
    Stage {
        /// The zone.
        zone: Arc<str>,
        /// The stage that it has entered.
        stage: Stage,
        /// Machines that were heard or proven empty.
        heard: usize,
        /// Machines that the stored state lists.
        stored: usize,
    },
    /// No zone is waited for any more.
    Reconciled {
        /// Time since the leader began.
        after: Duration,
    },
    /// What waited for the cloud's list may go on.
    Listed,
}

#[derive(Debug, Clone)]
struct Zone {
    count: Count,
    stage: Stage,
    /// When the number of unresponsive machines fell last.
    fell: Option<Duration>,
}

/// Tracks, zone by zone, which stored machines a new leader has heard.
#[derive(Debug, Clone)]
pub struct Reconciliation {
    patience: Patience,
    began: Duration,
    zones: BTreeMap<Arc<str>, Zone>,
    /// Every zone was looked at once.
    looked: bool,
    listed: bool,
    reconciled: bool,
}

impl Reconciliation {
    /// Begins at `now`, with no zone seen yet.
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

    /// Takes an input in, and tells what has changed.
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
            // What was given up on is not waited for again.
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

    /// Machines there are still likely to be heard: what they have room for is not known.
    pub fn is_awaited(&self, zone: &str) -> bool {
        let stage = self.zones.get(zone).map(|zone| zone.stage);
        stage.map_or(!self.looked, |stage| stage == Stage::Hearing)
    }

    /// Any zone is still heard.
    pub fn is_in_progress(&self) -> bool {
        !self.reconciled
    }

    /// Machines that were ordered before may not be known yet. A cloud that gives no list is
    /// waited for no longer than a worker.
    pub fn unlisted(&self, now: Duration) -> bool {
        !self.listed && now < self.began + self.patience.most
    }

    /// How each zone stands: its stage, machines heard, machines stored.
    pub fn zones(&self) -> impl Iterator<Item = (&Arc<str>, Stage, usize, usize)> {
        self.zones.iter().map(|(name, zone)| {
            let Count { stored, silent, .. } = zone.count;
            (name, zone.stage, stored - silent.min(stored), stored)
        })
    }
}
