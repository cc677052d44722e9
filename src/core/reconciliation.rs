//! Reconciliation after a failover: which stored machines have reported, which actions wait for the
//! others, and how tasks of previous leaders are handled.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard_recovery::reconciliation::{Input, Output, Reconciliation, WaitLimits, ZoneCounts};
use tracing::info;

use super::{
    cluster::ClusterState,
    config::Config,
    heartbeat::WORKER_RETRY_DELAY,
    job::JobSpec,
    machine::{Machine, MachineState},
};

/// Action that is deferred during reconciliation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeferredAction {
    Preempt,
    Provision,
}

#[derive(Debug)]
pub struct Reconciler {
    reconciliation: Reconciliation,
    /// Number of deferred actions since they were last logged.
    deferred: BTreeMap<DeferredAction, u32>,
    next_log: Duration,
}

impl Reconciler {
    pub fn new(config: &Config, now: Duration) -> Self {
        // A worker whose node fails tries the next one, and reports at least this often.
        let limits = WaitLimits {
            max: config.report_interval * 5 / 4 + WORKER_RETRY_DELAY,
            quiet: config.report_interval / 4,
        };
        Self {
            reconciliation: Reconciliation::new(limits, now),
            deferred: BTreeMap::new(),
            next_log: now,
        }
    }
}

impl ClusterState {
    /// Updates the reconciliation with the numbers of stored and silent machines by zone.
    pub(super) fn reconcile(&mut self, now: Duration) {
        if !self.reconciler.reconciliation.is_in_progress() {
            return;
        }
        let mut counts: BTreeMap<Arc<str>, ZoneCounts> = BTreeMap::new();
        for machine in self
            .machines
            .values()
            .filter(|m| m.assignment.may_be_stored)
        {
            let count = counts
                .entry(machine.zone.clone())
                .or_insert_with(|| ZoneCounts {
                    unreachable: !self.is_zone_reachable(&machine.zone),
                    ..ZoneCounts::default()
                });
            count.stored += 1;
            count.silent += usize::from(is_awaited(machine));
        }
        let outputs = self
            .reconciler
            .reconciliation
            .step(now, Input::Counts(counts));
        self.apply_reconciliation_outputs(outputs);
        if now >= self.reconciler.next_log && !self.reconciler.deferred.is_empty() {
            let deferred = std::mem::take(&mut self.reconciler.deferred);
            let (preemption_count, scale_out_count) = (
                deferred.get(&DeferredAction::Preempt),
                deferred.get(&DeferredAction::Provision),
            );
            info!(
                preemptions = preemption_count,
                scale_outs = scale_out_count,
                "actions deferred until silent machines report"
            );
            self.reconciler.next_log = now + Duration::from_secs(1);
        }
    }

    /// Delays the next pass if most machines were lost at once: this leader was probably
    /// disconnected, not the machines. Their workers return once they retry, and tasks placed on
    /// the first ones to return would fetch images that others have.
    pub(super) fn delay_after_mass_loss(&mut self, lost: usize, now: Duration) {
        if lost == 0 {
            return;
        }
        let is_up = |m: &&Machine| matches!(m.state, MachineState::Up | MachineState::Leaving);
        if lost > self.machines.values().filter(is_up).count() {
            self.next_pass = now + WORKER_RETRY_DELAY * 6 / 5;
        }
        self.requeue();
    }

    /// Records that the cloud's list was read completely.
    pub(super) fn record_complete_list(&mut self, now: Duration) {
        let outputs = self.reconciler.reconciliation.step(now, Input::Listed);
        self.apply_reconciliation_outputs(outputs);
    }

    fn apply_reconciliation_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Stage {
                    zone,
                    stage,
                    heard,
                    stored,
                } => info!(%zone, ?stage, heard, of = stored, "reached reconciliation stage"),
                Output::Reconciled { after } => info!(?after, "reconciliation complete"),
                Output::Listed => {}
            }
            // Deferred actions may proceed.
            self.requeue();
        }
    }

    /// Returns whether a machine that is about to report may have capacity for a task of the job;
    /// until it reports, nothing is preempted or rented for the job.
    pub(super) fn awaits_capacity(&mut self, spec: &JobSpec, action: DeferredAction) -> bool {
        let reconciliation = &self.reconciler.reconciliation;
        let is_expected = reconciliation.is_in_progress()
            && self.machines.values().any(|m| {
                is_awaited(m)
                    && reconciliation.is_awaited(&m.zone)
                    && spec.allows_type(&m.machine_type)
                    && spec.allows_placement(&m.zone, m.spot)
                    && spec.need.fits_in(&m.size)
            });
        if is_expected {
            *self.reconciler.deferred.entry(action).or_insert(0) += 1;
        }
        is_expected
    }

    /// Returns whether machines rented by a previous leader may still be unknown.
    pub(super) fn may_have_unknown_machines(&self, now: Duration) -> bool {
        self.reconciler.reconciliation.is_list_pending(now)
    }
}

/// Returns whether a machine has neither reported nor been given up.
fn is_awaited(machine: &Machine) -> bool {
    machine.unresolved && !machine.commands_unanswered && !machine.listed_failed
}
