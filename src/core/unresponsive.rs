//! Machines that stop reporting with replicas on them, or are gone from the cloud's list:
//! proving them empty by returning them, before the worker's lease is over.
//!
//! A machine that hangs takes its replicas with it, and they may start elsewhere
//! only when its lease is over or it is gone. Once the cloud has confirmed its
//! return it is gone. A machine that is only partitioned goes on working, though: it is
//! given up only while most of its zone is heard, so that its silence is its own.

use std::{cmp::Reverse, time::Duration};

use tracing::info;

use super::{
    cluster::ClusterState,
    job::Kind,
    machine::{Machine, MachineId, Standing},
};

/// Machines that one request returns at most.
const RETURNED_MOST: usize = 100;
/// A report that is later than this after its time is missed.
const REPORT_LATE: Duration = Duration::from_secs(1);

impl Machine {
    /// How many tasks run here that have to run all the time.
    fn endless_tasks(&self) -> usize {
        let endless = self.tasks.values().filter(|p| {
            let endless = p.spec.as_ref().is_some_and(|s| s.kind != Kind::Array);
            endless && !p.foreign && !p.exited() && !p.stopping()
        });
        endless.count()
    }

    fn is_unheard(&self, time: Duration, now: Duration) -> bool {
        self.standing == Standing::Up
            && self.fenced
            && self.heard_at.is_some_and(|at| now > at + time)
    }
}

impl ClusterState {
    /// The machine missed a report: it is asked whether it still answers.
    pub(super) fn should_probe(&self, machine: &Machine, now: Duration) -> bool {
        machine.is_unheard(self.config.report * 3 / 2, now)
            && !machine.commands_unanswered
            && machine.endless_tasks() > 0
    }

    /// The machine is silent, and the cloud's list, which showed it, does not any more: it
    /// was taken back. That needs no doubt about the way there. A list may be older than
    /// the one before by as much as it lags, so it must be newer than that.
    fn has_vanished(&self, machine: &Machine, now: Duration) -> bool {
        let lag = self.config.list_lag * 2;
        let since = machine.heard_at.unwrap_or(machine.first_seen);
        let missed = now > since + self.config.report * 5 / 4 + REPORT_LATE;
        let (shown, read) = (
            machine.listed_at,
            self.provisioning.complete_list_requested_at,
        );
        missed && shown.zip(read).is_some_and(|(at, read)| read > at + lag)
    }

    /// Machines to be returned, as a proof that nothing runs there any more: those
    /// with the most replicas first.
    pub(super) fn plan_unresponsive_returns(&mut self, now: Duration) -> Vec<MachineId> {
        // One that does not know that it still leads may be the one partitioned.
        if now > self.proven + self.config.renew_every * 2 || self.reachability.is_uncertain {
            return Vec::new();
        }
        let silence = (self.config.report * 2).max(self.config.worker_lease_bound / 3);
        let mut go: Vec<(Reverse<usize>, MachineId)> = self
            .machines
            .values()
            .filter(|m| {
                let unresponsive =
                    m.is_unheard(silence, now) && m.commands_unanswered && m.endless_tasks() > 0;
                unresponsive && self.reachability.reachable_zones.contains(&m.zone)
                    || self.has_vanished(m, now)
            })
            .map(|m| (Reverse(m.endless_tasks()), m.id.clone()))
            .filter(|(_, id)| !self.provisioning.is_being_released(id))
            .collect();
        go.sort();
        go.truncate(RETURNED_MOST);
        for (_, machine) in &go {
            info!(%machine, "unresponsive: returned to prove it empty");
        }
        go.into_iter().map(|(_, id)| id).collect()
    }
}
