//! Applies the results of assignment index writes: which entries are certainly listed.

use tracing::info;

use super::{ClusterState, ShardWrite, StateReply};

impl ClusterState {
    pub fn assignment_index_written(&mut self, writes: Vec<ShardWrite>, reply: &StateReply) {
        if self.closed_priority.is_some() && matches!(reply, StateReply::Committed { .. }) {
            // Without other events, nothing else would return parked jobs to the queue.
            self.requeue();
        }
        let lists_jobs = writes.iter().any(|write| !write.empty);
        match reply {
            StateReply::Rejected if lists_jobs => self.set_rentals_paused(true),
            StateReply::Committed { .. } => self.set_rentals_paused(false),
            _ => {}
        }
        for write in writes {
            let Some(shard) = self.assignment_index.shards.get_mut(&write.shard) else {
                continue;
            };
            shard.writing = false;
            match reply {
                StateReply::Committed { revision } => {
                    shard.version = if write.empty { 0 } else { *revision };
                    shard.stored_digest = Some(write.digest);
                    self.handle_stored_write(write);
                }
                // The write was not applied and never will be.
                StateReply::Refused { .. } | StateReply::Rejected => {
                    shard.stale = true;
                    self.handle_refused_write(&write);
                }
                // The write may have been applied, or may be applied later.
                _ => {
                    shard.unverified = true;
                    shard.stored_digest = None;
                    shard.stale = true;
                }
            }
        }
    }

    fn set_rentals_paused(&mut self, is_paused: bool) {
        if std::mem::replace(&mut self.assignment_index.rejected, is_paused) != is_paused {
            info!(
                paused = is_paused,
                "paused or resumed renting machines after a write of the assignment index"
            );
        }
    }

    fn handle_refused_write(&mut self, write: &ShardWrite) {
        for listing in &write.machines {
            if let Some(machine) = self.machines.get_mut(&listing.machine)
                && machine.assignment.shard == Some(write.shard)
            {
                machine.assignment.may_be_written = listing.may_be_written;
            }
        }
    }

    fn handle_stored_write(&mut self, write: ShardWrite) {
        if write.deletes_oversized {
            self.oversized_shard_deleted(&write);
            return;
        }
        for listing in &write.machines {
            let Some(shard) = self.assignment_index.shards.get_mut(&write.shard) else {
                return;
            };
            match self.machines.get_mut(&listing.machine) {
                // A machine that was removed and added again is no longer a member.
                Some(machine) if machine.assignment.shard == Some(write.shard) => {
                    let entry = &mut machine.assignment;
                    entry.may_be_written = false;
                    if listing.jobs.is_empty() && self.assignment_index.is_moving(entry) {
                        continue;
                    }
                    entry.may_be_stored = !listing.jobs.is_empty();
                    entry.listed_in = entry.may_be_stored.then_some(write.shard);
                    entry.jobs = listing.jobs.clone();
                }
                _ => shard.stale |= !listing.jobs.is_empty(),
            }
        }
        self.detach_from_crowded(&write);
    }

    /// Records the deletion of an oversized shard.
    fn oversized_shard_deleted(&mut self, write: &ShardWrite) {
        if let Some(shard) = self.assignment_index.shards.get_mut(&write.shard) {
            (shard.oversized, shard.stale) = (false, false);
        }
        for listing in &write.machines {
            let machine = self.machines.get_mut(&listing.machine);
            if let Some(machine) = machine.filter(|m| m.assignment.listed_in == Some(write.shard)) {
                machine.assignment.listed_in = None;
                machine.assignment.may_be_stored = machine.assignment.may_be_written;
            }
        }
    }
}
