//! Ends the leases of silent workers, and resolves machines that are proven empty.
//!
//! The clock of this node alone never ends a lease: the claim must be known to have been valid
//! after the lease expired, since a newer leader may otherwise have answered the worker meanwhile.

use std::time::Duration;

use tracing::info;

use super::ClusterState;
use crate::core::machine::{Machine, MachineId, MachineState};

impl ClusterState {
    /// Processes elapsed time: expired leases, and unresponsive machines proven empty.
    ///
    /// A lease ends only if no other leader has answered the worker meanwhile. A successor can do
    /// so from its claim on, so the deciding time is not `now` but the last time at which this
    /// claim was known to be valid.
    pub fn tick(&mut self, now: Duration) {
        self.log_counts(now);
        self.reconcile(now);
        // Without other events, nothing else would return the job to the queue.
        if self.next_retry.take_if(|at| now >= *at).is_some() {
            self.requeue();
        }
        let lost = self.end_leases(now);
        self.delay_after_mass_loss(lost, now);
        self.resolve_empty_machines();
    }

    /// Marks machines whose worker's lease has expired, and their tasks, as lost. Returns the
    /// number of these machines.
    fn end_leases(&mut self, now: Duration) -> usize {
        let claim_verified_at = self.claim_verified_at;
        let lost: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| has_current_session(m))
            .filter(|m| claim_verified_at > self.lease_end(m))
            .map(|m| m.id.clone())
            .collect();
        for id in &lost {
            self.mark_machine_lost(id, now);
        }
        lost.len()
    }

    fn mark_machine_lost(&mut self, id: &MachineId, now: Duration) {
        let machine = self.machines.get_mut(id).expect("known machine");
        machine.expired_session = machine.session;
        machine.fenced = false;
        // The machine was heard under this claim, so its lease was counted from then.
        machine.unresolved = false;
        if machine.state == MachineState::Up {
            machine.state = MachineState::Lost;
        }
        self.counts.lost += 1;
        info!(machine = %id, tasks = machine.tasks.len(), "worker lease expired; machine lost");
        self.end_session(id, now);
    }

    /// Marks unresponsive machines as empty once all leases that they may have had have expired.
    fn resolve_empty_machines(&mut self) {
        let claim_verified_at = self.claim_verified_at;
        let unresolved = self.machines.values().filter(|m| m.unresolved);
        let empty = unresolved.filter(|m| claim_verified_at > self.lease_end(m));
        let empty: Vec<MachineId> = empty.map(|m| m.id.clone()).collect();
        if empty.is_empty() {
            return;
        }
        for id in empty {
            let machine = self.machines.get_mut(&id).expect("known machine");
            let last_renewal = self.worker_leases.renewed_at(&id);
            info!(machine = %id, ?last_renewal, "unresponsive machine proven empty");
            machine.unresolved = false;
            if machine.state == MachineState::Booting {
                machine.state = MachineState::Lost;
            }
        }
        self.requeue();
    }

    /// Returns the time at which the lease of a silent worker has expired.
    fn lease_end(&self, machine: &Machine) -> Duration {
        self.worker_leases
            .lease_end(&machine.id, &machine.zone, machine.fenced)
    }

    /// Returns whether a lease would end if the claim were known to be still valid.
    pub fn needs_claim_verification(&self, now: Duration) -> bool {
        let has_passed = |end: Duration| now > end && self.claim_verified_at <= end;
        self.machines
            .values()
            .any(|m| (has_current_session(m) || m.unresolved) && has_passed(self.lease_end(m)))
    }
}

/// Returns whether the worker has a current session, whose lease may end.
fn has_current_session(machine: &Machine) -> bool {
    matches!(machine.state, MachineState::Up | MachineState::Leaving)
        && machine.session > machine.expired_session
}
