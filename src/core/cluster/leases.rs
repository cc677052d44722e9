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
        let proven = self.proven;
        let lost: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Up || m.standing == Standing::Leaving)
            .filter(|m| m.session > m.dead_session)
            .filter(|m| self.lease_end(m).is_some_and(|at| proven > at))
            .map(|m| m.id.clone())
            .collect();
        for id in &lost {
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
        self.delay_after_mass_loss(lost.len(), now);
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
            let lost = matches!(m.standing, Standing::Up | Standing::Leaving)
                && m.session > m.dead_session
                && self.lease_end(m).is_some_and(over);
            lost || (m.unresolved && over(self.resolved_by(m)))
        })
    }
}
