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
            .filter(|m| self.lease_end(m).is_some_and(|at| claim_verified_at > at))
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
        let empty = unresolved.filter(|m| claim_verified_at > self.presumed_empty_at(m));
        let empty: Vec<MachineId> = empty.map(|m| m.id.clone()).collect();
        if empty.is_empty() {
            return;
        }
        for id in empty {
            let machine = self.machines.get_mut(&id).expect("known machine");
            info!(machine = %id, last_answer = ?machine.answered_at, "unresponsive machine proven empty");
            machine.unresolved = false;
            if machine.state == MachineState::Booting {
                machine.state = MachineState::Lost;
            }
        }
        self.requeue();
    }

    /// Returns the time by which a silent machine with unknown tasks is empty: if this leader
    /// answered it, one lease after that answer.
    fn presumed_empty_at(&self, machine: &Machine) -> Duration {
        let zone_end = self.zone_lease_ends.get(&machine.zone).copied();
        let previous_end = zone_end.map_or(self.previous_leases_end, |end| {
            end.min(self.previous_leases_end)
        });
        self.lease_end(machine).unwrap_or(previous_end)
    }

    /// Returns the time at which the lease of a silent worker expires. A worker that has not seen
    /// this leader's token may have been answered by a previous leader until that one stopped: an
    /// answer to a delayed report proves nothing.
    fn lease_end(&self, machine: &Machine) -> Option<Duration> {
        let expiry = machine.answered_at? + self.config.worker_lease_bound;
        Some(match machine.fenced {
            true => expiry,
            false => expiry.max(self.previous_leases_end),
        })
    }

    /// Returns whether a lease would end if the claim were known to be still valid.
    pub fn needs_claim_verification(&self, now: Duration) -> bool {
        let has_passed = |end: Duration| now > end && self.claim_verified_at <= end;
        self.machines.values().any(|m| {
            let lost = has_current_session(m) && self.lease_end(m).is_some_and(has_passed);
            lost || (m.unresolved && has_passed(self.presumed_empty_at(m)))
        })
    }
}

/// Returns whether the worker has a current session, whose lease may end.
fn has_current_session(machine: &Machine) -> bool {
    matches!(machine.state, MachineState::Up | MachineState::Leaving)
        && machine.session > machine.expired_session
}
