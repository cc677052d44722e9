//! The start of a leader's reconciliation: who of the stored machines is heard, what waits for
//! the rest, and what becomes of tasks that it did not start.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard_recovery::{
    adoption::{AdoptionDecision, KnownState, Reported, decide_adoption},
    reconciliation::{Input, Output, Reconciliation, WaitLimits, ZoneCounts},
};
use tracing::info;

use super::{
    cluster::{ClusterState, Slot},
    config::Config,
    heartbeat::WORKER_RETRY,
    job::{JobSpec, TaskId},
    machine::{ExitReason, Machine, Standing, TaskPhase},
};

/// Orders that wait while the leader begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeferredAction {
    Preempt,
    Provision,
}

#[derive(Debug)]
pub struct Reconciler {
    reconciliation: Reconciliation,
    /// What was held back since that was logged last.
    held: BTreeMap<DeferredAction, u32>,
    next_log: Duration,
}

impl Reconciler {
    pub fn new(config: &Config, now: Duration) -> Self {
        // A worker whose node is gone tries the next one, and reports at least that often.
        let patience = WaitLimits {
            max: config.report * 5 / 4 + WORKER_RETRY,
            quiet: config.report / 4,
        };
        Self {
            reconciliation: Reconciliation::new(patience, now),
            held: BTreeMap::new(),
            next_log: now,
        }
    }
}

impl ClusterState {
    /// Takes in how far the stored machines are heard.
    pub(super) fn reconcile(&mut self, now: Duration) {
        if !self.reconciler.reconciliation.is_in_progress() {
            return;
        }
        let mut counts: BTreeMap<Arc<str>, ZoneCounts> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.assignment.stored) {
            let count = counts
                .entry(machine.zone.clone())
                .or_insert_with(|| ZoneCounts {
                    unreachable: !self.reaches(&machine.zone),
                    ..ZoneCounts::default()
                });
            count.stored += 1;
            count.silent += usize::from(is_awaited(machine));
        }
        let outputs = self
            .reconciler
            .reconciliation
            .step(now, Input::Counts(counts));
        self.apply_reconciliation(outputs);
        if now >= self.reconciler.next_log && !self.reconciler.held.is_empty() {
            let held = std::mem::take(&mut self.reconciler.held);
            let (first, room) = (
                held.get(&DeferredAction::Preempt),
                held.get(&DeferredAction::Provision),
            );
            info!(preemptions = first, scale_outs = room, "actions deferred");
            self.reconciler.next_log = now + Duration::from_secs(1);
        }
    }

    /// Machines were lost in one look. Most of them: this leader was away, not they. Their
    /// workers are back once they try again, and what went to the first few to come would
    /// fetch images that others have.
    pub(super) fn delay_after_mass_loss(&mut self, lost: usize, now: Duration) {
        if lost == 0 {
            return;
        }
        let lives = |m: &&Machine| matches!(m.standing, Standing::Up | Standing::Leaving);
        if lost > self.machines.values().filter(lives).count() {
            self.next_pass = now + WORKER_RETRY * 6 / 5;
        }
        self.requeue();
    }

    /// The cloud's list was read whole.
    pub(super) fn reconcile_list(&mut self, now: Duration) {
        let outputs = self.reconciler.reconciliation.step(now, Input::Listed);
        self.apply_reconciliation(outputs);
    }

    fn apply_reconciliation(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Stage {
                    zone,
                    stage,
                    heard,
                    stored,
                } => info!(%zone, ?stage, heard, of = stored, "reconciliation"),
                Output::Reconciled { after } => info!(?after, "reconciled"),
                Output::Listed => {}
            }
            // What was held back may go on.
            self.requeue();
        }
    }

    /// A machine that is about to be heard may have room for a task of the job: nobody is
    /// stopped and nothing is rented for it yet.
    pub(super) fn awaits_capacity(&mut self, spec: &JobSpec, action: DeferredAction) -> bool {
        let reconciliation = &self.reconciler.reconciliation;
        let comes = reconciliation.is_in_progress()
            && self.machines.values().any(|m| {
                is_awaited(m)
                    && reconciliation.is_awaited(&m.zone)
                    && spec.allows_type(&m.machine_type)
                    && spec.allows_place(&m.zone, m.spot)
                    && spec.need.fits_in(&m.size)
            });
        if comes {
            *self.reconciler.held.entry(action).or_insert(0) += 1;
        }
        comes
    }

    /// What a previous leader rented may not be known yet.
    pub(super) fn unlisted(&self, now: Duration) -> bool {
        self.reconciler.reconciliation.is_list_pending(now)
    }

    /// What becomes of a task that this leader did not start.
    pub(super) fn decide_adoption(&self, task: &TaskId, phase: TaskPhase) -> AdoptionDecision {
        let job = self.jobs.get(&task.job);
        let slot = job.and_then(|job| job.slots.get(task.index as usize));
        let known_state = match slot {
            None => KnownState::Unknown,
            Some(Slot::Waiting) => KnownState::Waiting,
            Some(Slot::On(_)) => KnownState::PlacedElsewhere,
            Some(Slot::Done) => KnownState::Done,
        };
        let reported = match phase {
            TaskPhase::Exited(ExitReason::Done) => Reported::Completed,
            phase if phase.exited() => Reported::Ended,
            _ => Reported::Alive,
        };
        decide_adoption(known_state, reported)
    }
}

/// Not heard, nor given up on.
fn is_awaited(machine: &Machine) -> bool {
    machine.unresolved && !machine.commands_unanswered && !machine.listed_failed
}
