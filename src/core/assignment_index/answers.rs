//! Applies the results of assignment index writes: which entries are certainly listed.

use tracing::info;

use super::{ClusterState, ShardWrite, StateReply};

impl ClusterState {
    pub fn assignment_index_written(&mut self, listings: Vec<ShardWrite>, reply: &StateReply) {
        if self.closed_priority.is_some() && matches!(reply, StateReply::Committed { .. }) {
            // Without other events, nothing else would return parked jobs to the queue.
            self.requeue();
        }
        let lists = listings.iter().any(|listing| !listing.empty);
        match reply {
            StateReply::Rejected if lists => self.pause_rentals(true),
            StateReply::Committed { .. } => self.pause_rentals(false),
            _ => {}
        }
        for listing in listings {
            let Some(shard) = self.assignment_index.shards.get_mut(&listing.shard) else {
                continue;
            };
            shard.writing = false;
            match reply {
                StateReply::Committed { revision } => {
                    shard.version = if listing.empty { 0 } else { *revision };
                    shard.stored_digest = Some(listing.digest);
                    self.write_stored(listing);
                }
                // The write was not applied and never will be.
                StateReply::Refused { .. } | StateReply::Rejected => {
                    shard.stale = true;
                    self.write_refused(&listing);
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

    fn pause_rentals(&mut self, rejected: bool) {
        if std::mem::replace(&mut self.assignment_index.rejected, rejected) != rejected {
            info!(
                paused = rejected,
                "paused or resumed renting for starts that can't be stored"
            );
        }
    }

    fn write_refused(&mut self, listing: &ShardWrite) {
        for listed in &listing.machines {
            if let Some(machine) = self.machines.get_mut(&listed.machine)
                && machine.assignment.shard == Some(listing.shard)
            {
                machine.assignment.may_be_written = listed.may_be_written;
            }
        }
    }

    fn write_stored(&mut self, listing: ShardWrite) {
        if listing.deletes_oversized {
            self.oversized_shard_deleted(&listing);
            return;
        }
        for listed in &listing.machines {
            let Some(shard) = self.assignment_index.shards.get_mut(&listing.shard) else {
                return;
            };
            match self.machines.get_mut(&listed.machine) {
                // A machine that was removed and came back is no longer a member.
                Some(machine) if machine.assignment.shard == Some(listing.shard) => {
                    let entry = &mut machine.assignment;
                    entry.may_be_written = false;
                    if listed.jobs.is_empty() && self.assignment_index.is_moving(entry) {
                        continue;
                    }
                    entry.may_be_stored = !listed.jobs.is_empty();
                    entry.listed_in = entry.may_be_stored.then_some(listing.shard);
                    entry.jobs = listed.jobs.clone();
                }
                _ => shard.stale |= !listed.jobs.is_empty(),
            }
        }
        self.detach_from_crowded(&listing);
    }

    /// Records the deletion of an oversized shard.
    fn oversized_shard_deleted(&mut self, listing: &ShardWrite) {
        if let Some(shard) = self.assignment_index.shards.get_mut(&listing.shard) {
            (shard.oversized, shard.stale) = (false, false);
        }
        for listed in &listing.machines {
            let machine = self.machines.get_mut(&listed.machine);
            if let Some(machine) = machine.filter(|m| m.assignment.listed_in == Some(listing.shard))
            {
                machine.assignment.listed_in = None;
                machine.assignment.may_be_stored = machine.assignment.may_be_written;
            }
        }
    }
}
