//! Ends the leases of silent workers, and resolves machines that are proven empty.
//!
//! Nothing ends here by this node's clock alone: the claim must be known to have stood after
//! the lease was over, or a leader that took over may have answered the worker meanwhile.

use std::time::Duration;

use tracing::info;

use super::ClusterState;
use crate::core::machine::{Machine, MachineId, Standing};

impl ClusterState {
    /// What time brings: leases that are over, and unresponsive machines proven empty.
    ///
    /// A lease ends only if no other leader has answered the worker meanwhile. One
    /// that has taken this one's place can have done so from its claim on; so the
    /// time that counts is not now, but when this claim was last known to stand.
    pub fn tick(&mut self, now: Duration) {
        self.log_counts(now);
        self.reconcile(now);
        // Where nothing else happens, nothing else would bring it back to the heap.
        if self.next_retry.take_if(|at| now >= *at).is_some() {
            self.requeue();
        }
        let lost = self.end_leases(now);
        self.delay_after_mass_loss(lost, now);
        self.resolve_empty_machines();
    }

    /// Machines whose worker's lease is over are lost, and so are their tasks. Returns how many.
    fn end_leases(&mut self, now: Duration) -> usize {
        let proven = self.proven;
        let lost: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| holds_lease(m))
            .filter(|m| self.lease_end(m).is_some_and(|at| proven > at))
            .map(|m| m.id.clone())
            .collect();
        for id in &lost {
            self.lose_machine(id, now);
        }
        lost.len()
    }

    fn lose_machine(&mut self, id: &MachineId, now: Duration) {
        let machine = self.machines.get_mut(id).expect("just listed");
        machine.dead_session = machine.session;
        machine.fenced = false;
        // Heard once under this claim, so its lease was counted from then.
        machine.unresolved = false;
        if machine.standing == Standing::Up {
            machine.standing = Standing::Lost;
        }
        self.counts.lost += 1;
        info!(machine = %id, tasks = machine.tasks.len(), "machine lost");
        self.end_session(id, now);
    }

    /// Unresponsive machines hold nothing any more once every lease that they may have is over.
    fn resolve_empty_machines(&mut self) {
        let proven = self.proven;
        let unresolved = self.machines.values().filter(|m| m.unresolved);
        let empty = unresolved.filter(|m| proven > self.resolved_by(m));
        let empty: Vec<MachineId> = empty.map(|m| m.id.clone()).collect();
        if empty.is_empty() {
            return;
        }
        for id in empty {
            info!(machine = %id, "unresponsive machine proven empty");
            let machine = self.machines.get_mut(&id).expect("just listed");
            machine.unresolved = false;
            if machine.standing == Standing::Booting {
                machine.standing = Standing::Lost;
            }
        }
        self.requeue();
    }

    /// By then a machine whose tasks are not known is empty, if it stays silent: one that
    /// this leader answered, a lease after that.
    fn resolved_by(&self, machine: &Machine) -> Duration {
        let zone = self.zone_lease_ends.get(&machine.zone).copied();
        let unmet = zone.map_or(self.resolve_by, |over| over.min(self.resolve_by));
        self.lease_end(machine).unwrap_or(unmet)
    }

    /// When the lease of a worker that stays silent is over. One that has not seen
    /// this leader's token may have been answered by a previous leader until that
    /// one stopped: an answer to a report that was held back proves nothing.
    fn lease_end(&self, machine: &Machine) -> Option<Duration> {
        let over = machine.answered_at? + self.config.worker_lease_bound;
        Some(match machine.fenced {
            true => over,
            false => over.max(self.resolve_by),
        })
    }

    /// A lease would be over if the claim were known to stand still.
    pub fn needs_proof(&self, now: Duration) -> bool {
        let over = |end: Duration| now > end && self.proven <= end;
        self.machines.values().any(|m| {
            let lost = holds_lease(m) && self.lease_end(m).is_some_and(over);
            lost || (m.unresolved && over(self.resolved_by(m)))
        })
    }
}

/// The worker's session counts, so that its lease may end.
fn holds_lease(machine: &Machine) -> bool {
    matches!(machine.standing, Standing::Up | Standing::Leaving)
        && machine.session > machine.dead_session
}
