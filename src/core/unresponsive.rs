//! Release of machines that stopped reporting while they run replicas, or that vanished from the
//! cloud's list, before the lease of their worker expires.
//!
//! The replicas of a hung machine may start elsewhere only after its lease has expired or the
//! machine is gone, and it is gone once the cloud has confirmed its release. A partitioned machine
//! keeps working, though, so a machine is released only while most of its zone is reachable,
//! which rules out a partition of the zone.

use std::{cmp::Reverse, time::Duration};

use tracing::info;

use super::{
    cluster::ClusterState,
    job::Kind,
    machine::{Machine, MachineId, MachineState},
};

/// Maximum number of machines released by one request.
const MAX_RELEASED_MACHINES: usize = 100;
/// Delay after which an overdue report counts as missed.
const REPORT_GRACE: Duration = Duration::from_secs(1);

impl Machine {
    /// Returns the number of tasks of services and gangs that run on this machine.
    fn long_running_tasks(&self) -> usize {
        let tasks = self.tasks.values().filter(|p| {
            let is_long_running = p.spec.as_ref().is_some_and(|s| s.kind != Kind::Array);
            is_long_running && !p.is_orphaned && !p.exited() && !p.stopping()
        });
        tasks.count()
    }

    fn is_silent_for(&self, silence: Duration, now: Duration) -> bool {
        self.state == MachineState::Up
            && self.fenced
            && self.heard_at.is_some_and(|at| now > at + silence)
    }
}

impl ClusterState {
    /// Returns whether the machine missed a report and should be probed by a direct command.
    pub(super) fn should_probe(&self, machine: &Machine, now: Duration) -> bool {
        machine.is_silent_for(self.config.report_interval * 3 / 2, now)
            && !machine.commands_unanswered
            && machine.long_running_tasks() > 0
    }

    /// Returns whether the machine is silent and has disappeared from the cloud's list, which means
    /// that the cloud has reclaimed it; a partition can't cause this. A list may be older than the
    /// one before it by the list lag, so only a list that is newer by more than that counts.
    fn has_vanished(&self, machine: &Machine, now: Duration) -> bool {
        let lag = self.config.list_lag * 2;
        let heard_at = machine.heard_at.unwrap_or(machine.first_seen);
        let has_missed_report = now > heard_at + self.config.report_interval * 5 / 4 + REPORT_GRACE;
        let (listed_at, list_requested_at) = (
            machine.listed_at,
            self.provisioning.complete_list_requested_at,
        );
        has_missed_report
            && listed_at
                .zip(list_requested_at)
                .is_some_and(|(at, requested)| requested > at + lag)
    }

    /// Returns the machines to be released to the cloud so that nothing runs there any more, those
    /// with the most replicas first.
    pub(super) fn plan_unresponsive_releases(&mut self, now: Duration) -> Vec<MachineId> {
        // A leader without a recent verification of its claim may be partitioned itself.
        if now > self.claim_verified_at + self.config.renew_interval * 2
            || self.reachability.is_uncertain
        {
            return Vec::new();
        }
        let silence = (self.config.report_interval * 2).max(self.config.worker_lease_bound / 3);
        let mut candidates: Vec<(Reverse<usize>, MachineId)> = self
            .machines
            .values()
            .filter(|m| {
                let is_unresponsive = m.is_silent_for(silence, now)
                    && m.commands_unanswered
                    && m.long_running_tasks() > 0;
                is_unresponsive && self.reachability.reachable_zones.contains(&m.zone)
                    || self.has_vanished(m, now)
            })
            .map(|m| (Reverse(m.long_running_tasks()), m.id.clone()))
            .filter(|(_, id)| !self.provisioning.is_being_released(id))
            .collect();
        candidates.sort();
        candidates.truncate(MAX_RELEASED_MACHINES);
        for (_, machine) in &candidates {
            info!(%machine, "releasing an unresponsive machine to free its tasks");
        }
        candidates.into_iter().map(|(_, id)| id).collect()
    }
}
