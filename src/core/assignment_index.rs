//! Assignment index in the state service: the jobs that may have tasks on each machine.
//!
//! A start is sent only for a job that is listed with its machine, so that the next leader knows
//! which jobs an unresponsive machine may hold. One stored value, a shard, covers many machines,
//! because the state service limits the number of changes and a large array reaches every machine
//! within moments.

mod record;
mod write_results;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tracing::info;

use super::{
    cluster::ClusterState,
    job::JobId,
    machine::{Machine, MachineId, MachineState},
    store::{Change, Condition, StateReply, delete, encoded_len, if_version, put, shard_key},
};

pub use record::{AssignedMachine, ShardRecord};
use record::{Builder, digest};

/// State of a machine's entry in the stored assignment index.
#[derive(Debug, Clone, Default)]
pub struct AssignmentEntry {
    /// Shard that lists the machine from now on.
    shard: Option<u32>,
    /// Shard that `jobs` was read from or written to; differs from `shard` until a move is
    /// complete.
    listed_in: Option<u32>,
    /// Whether a write of its own shard that names the machine may have been applied.
    may_be_written: bool,
    /// Jobs that are certainly listed.
    pub jobs: BTreeSet<JobId>,
    /// Jobs that only other shards listed at the failover.
    prior_jobs: BTreeSet<JobId>,
    /// Whether anything may be listed.
    pub may_be_stored: bool,
}

impl AssignmentEntry {
    /// Returns the jobs listed by any shard, which may run on the machine until more is known.
    pub fn possible_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter().chain(&self.prior_jobs)
    }
}

#[derive(Debug, Default)]
struct Shard {
    /// Revision of the key, or 0 if it does not exist.
    version: u64,
    /// Whether a write is in flight.
    writing: bool,
    /// Whether a write got no answer, so that the key is read before the next write.
    unverified: bool,
    members: BTreeSet<MachineId>,
    /// Expected bytes of its members in the value.
    expected_bytes: usize,
    /// Whether a removed machine is still listed.
    stale: bool,
    /// Whether the stored value exceeds the service's current limit; it stays unchanged until all
    /// its machines are listed elsewhere.
    oversized: bool,
    /// Whether an entry did not fit at the last write.
    crowded: bool,
    /// Sequence number of its last write.
    last_write: u64,
    /// Digest of the stored value, if this leader wrote it.
    stored_digest: Option<u64>,
}

#[derive(Debug)]
pub struct AssignmentIndex {
    shards: BTreeMap<u32, Shard>,
    /// Number of writes so far.
    write_count: u64,
    /// Maximum size of a value in bytes.
    max_value_bytes: usize,
    /// Whether the last write that listed starts was rejected.
    rejected: bool,
}

/// Write of one shard, with its listed machines.
#[derive(Debug)]
pub struct ShardWrite {
    shard: u32,
    machines: Vec<MachineListing>,
    empty: bool,
    /// Digest of the written value.
    digest: u64,
    /// Whether it deletes an oversized shard whose machines are listed elsewhere.
    deletes_oversized: bool,
    /// Whether an entry did not fit.
    crowded: bool,
}

/// Machine in a write of its shard.
#[derive(Debug)]
struct MachineListing {
    machine: MachineId,
    jobs: BTreeSet<JobId>,
    /// Whether an earlier write may have named it in the same shard.
    may_be_written: bool,
}

impl MachineListing {
    fn empty(machine: &Machine) -> Self {
        Self {
            machine: machine.id.clone(),
            jobs: BTreeSet::new(),
            may_be_written: machine.assignment.may_be_written,
        }
    }
}

/// Shard numbers that are used first.
const FIRST_SHARD_NUMBERS: u32 = 1000;
/// Expected bytes of a machine's entry: a base, and an amount for each of its CPUs.
const BYTES_PER_MACHINE: usize = 32;
const BYTES_PER_CPU: f64 = 8.0;

fn expected_entry_bytes(machine: &Machine) -> usize {
    BYTES_PER_MACHINE + (machine.size.cpus.max(0.0) * BYTES_PER_CPU) as usize
}

impl AssignmentIndex {
    pub fn new(max_value_bytes: usize) -> Self {
        Self {
            shards: BTreeMap::new(),
            write_count: 0,
            max_value_bytes,
            rejected: false,
        }
    }

    /// Lowers the maximum size of a value.
    pub fn lower_max_value_bytes(&mut self, max_value_bytes: usize) {
        self.max_value_bytes = self.max_value_bytes.min(max_value_bytes);
    }

    /// Removes a machine that no longer exists.
    pub fn remove_machine(&mut self, machine: &Machine) {
        if let Some(shard) = machine
            .assignment
            .shard
            .and_then(|s| self.shards.get_mut(&s))
        {
            if shard.members.remove(&machine.id) {
                shard.expected_bytes = shard
                    .expected_bytes
                    .saturating_sub(expected_entry_bytes(machine));
            }
            shard.stale |= machine.assignment.may_be_stored;
            shard.crowded = false;
        }
    }

    /// Returns a shard whose write was not answered, to be reread.
    pub fn next_unverified(&mut self) -> Option<u32> {
        let mut shards = self.shards.iter_mut();
        let (id, shard) = shards.find(|(_, s)| s.unverified && !s.writing)?;
        shard.writing = true;
        Some(*id)
    }

    /// Records the revision found by rereading a shard; none if it was not read.
    pub fn record_reread(&mut self, shard: u32, version: Option<u64>) {
        let Some(shard) = self.shards.get_mut(&shard) else {
            return;
        };
        shard.writing = false;
        if let Some(version) = version {
            // A write that is applied late fails once the next one has been applied.
            shard.unverified = false;
            shard.version = version;
            shard.oversized &= version != 0;
        }
    }

    /// Returns whether an oversized shard lists the machine and its own shard does not yet.
    fn is_moving(&self, entry: &AssignmentEntry) -> bool {
        let listed_in = entry.listed_in.and_then(|id| self.shards.get(&id));
        listed_in.is_some_and(|shard| shard.oversized)
    }

    /// Returns the last key, in read order, of the oversized shards.
    fn last_oversized(&self) -> Option<String> {
        let oversized = self.shards.iter().filter(|(_, shard)| shard.oversized);
        oversized.map(|(id, _)| id.to_string()).max()
    }

    /// Returns an unused shard number whose key sorts after `last`.
    fn new_shard_number(&self, last: Option<&str>) -> u32 {
        let sorts_after_last = |id: &u32| last.is_none_or(|last| *id.to_string() > *last);
        let is_unused = |id: &u32| !self.shards.contains_key(id) && sorts_after_last(id);
        // Any longer number that begins with the digits of `last` sorts after it.
        let longer_numbers = (1..u32::MAX.ilog10()).filter_map(|digits| {
            let first: u32 = last?.parse().ok()?;
            let scale = 10_u32.checked_pow(digits)?;
            let end = first.checked_add(1)?.checked_mul(scale)?;
            Some(first * scale..end)
        });
        let first_numbers = 0..FIRST_SHARD_NUMBERS;
        let mut numbers = first_numbers.chain(longer_numbers.flatten());
        numbers.find(is_unused).unwrap_or(u32::MAX)
    }

    /// Returns the shard for one more machine: the one with the fewest expected bytes that can hold
    /// it.
    fn shard_for(&mut self, machine: &Machine) -> u32 {
        let max_bytes = self.max_value_bytes / 4 * 3;
        // A version that does not support oversized shards trusts the shard that it reads last, so
        // the shard that is written has to sort last.
        let last = self.last_oversized();
        let sorts_after_last = |id: u32| last.as_ref().is_none_or(|last| id.to_string() > *last);
        let chosen = self
            .shards
            .iter()
            .filter(|(id, shard)| !shard.oversized && !shard.crowded && sorts_after_last(**id))
            .map(|(id, shard)| (shard.expected_bytes, *id))
            .filter(|(expected_bytes, _)| {
                expected_bytes + expected_entry_bytes(machine) <= max_bytes
            })
            .min();
        let id = match chosen {
            Some((_, id)) => id,
            None => self.new_shard_number(last.as_deref()),
        };
        self.shards.entry(id).or_default().add_member(machine);
        id
    }
}

impl Shard {
    fn add_member(&mut self, machine: &Machine) {
        if self.members.insert(machine.id.clone()) {
            self.expected_bytes += expected_entry_bytes(machine);
        }
    }

    fn remove_member(&mut self, machine: &MachineId, entry_bytes: usize) {
        if self.members.remove(machine) {
            self.expected_bytes = self.expected_bytes.saturating_sub(entry_bytes);
        }
    }
}

impl ClusterState {
    /// Loads one shard found by a failover.
    pub fn load_shard(&mut self, id: u32, record: &ShardRecord, version: u64, now: Duration) {
        let mut shard = Shard {
            version,
            oversized: encoded_len(record) > self.assignment_index.max_value_bytes,
            ..Shard::default()
        };
        for found in record.machines() {
            let AssignedMachine {
                id: name,
                machine_type,
                zone,
                spot,
                jobs,
            } = found;
            let machine = self.ensure_machine(&name, &machine_type, &zone, spot, now);
            machine.unresolved = true;
            // A previous leader may have ended before it removed the machine from another shard.
            // The shard read last was written last; jobs that the others list may run there, too.
            let earlier = std::mem::take(&mut machine.assignment);
            let prior_jobs: BTreeSet<JobId> = earlier.possible_jobs().cloned().collect();
            machine.assignment = AssignmentEntry {
                shard: (!shard.oversized).then_some(id),
                listed_in: Some(id),
                may_be_written: false,
                prior_jobs: prior_jobs.difference(&jobs).cloned().collect(),
                jobs,
                may_be_stored: true,
            };
            if !shard.oversized {
                shard.add_member(machine);
            }
            let entry_bytes = expected_entry_bytes(machine);
            let other = earlier.shard.filter(|other| *other != id);
            if let Some(other) =
                other.and_then(|other| self.assignment_index.shards.get_mut(&other))
            {
                other.remove_member(&name, entry_bytes);
            }
        }
        self.assignment_index.shards.insert(id, shard);
    }

    /// Builds the next write of the assignment index. An urgent write lists jobs whose starts wait
    /// for it; any other only removes entries that no longer apply.
    pub fn assignment_index_write(
        &mut self,
        urgent: bool,
        max_changes: usize,
    ) -> Option<(Vec<ShardWrite>, Vec<Condition>, Vec<Change>)> {
        let due = self.due_shards(urgent);
        let (mut writes, mut conditions, mut changes) = (Vec::new(), Vec::new(), Vec::new());
        // Two values of full size leave space in one transaction for other changes.
        let max_writes = max_changes.min(2);
        for id in due {
            if writes.len() == max_writes {
                break;
            }
            let (write, record) = self.build_shard(id);
            let too_large = encoded_len(&record) > self.assignment_index.max_value_bytes;
            self.assignment_index.write_count += 1;
            let shard = self.assignment_index.shards.get_mut(&id)?;
            shard.last_write = self.assignment_index.write_count;
            shard.crowded = write.crowded;
            if too_large {
                self.split_shard(id);
                continue;
            }
            if !shard.stale && !write.deletes_oversized && shard.stored_digest == Some(write.digest)
            {
                self.detach_from_crowded(&write);
                continue;
            }
            shard.stale = false;
            if write.empty && shard.version == 0 {
                shard.oversized = false;
                self.record_empty_shard(&write);
                continue;
            }
            shard.writing = true;
            let key = shard_key(id);
            conditions.push(if_version(&key, shard.version));
            changes.push(match write.empty {
                true => delete(key),
                false => put(key, &record),
            });
            self.record_sent_write(&write);
            writes.push(write);
        }
        (!writes.is_empty()).then_some((writes, conditions, changes))
    }

    /// Records a write in flight. Until its answer only jobs listed both before and after count: a
    /// start for a job that this write drops must not be sent.
    fn record_sent_write(&mut self, write: &ShardWrite) {
        for listing in &write.machines {
            let Some(machine) = self.machines.get_mut(&listing.machine) else {
                continue;
            };
            let entry = &mut machine.assignment;
            if !write.deletes_oversized
                && listing.jobs.is_empty()
                && self.assignment_index.is_moving(entry)
            {
                // The machine did not fit, and its current listing stays.
                continue;
            }
            entry.jobs.retain(|id| listing.jobs.contains(id));
            entry.may_be_stored |= !listing.jobs.is_empty();
            entry.may_be_written |= !listing.jobs.is_empty();
        }
    }

    /// Records that nothing is stored for a shard that lists no jobs.
    fn record_empty_shard(&mut self, write: &ShardWrite) {
        for listing in &write.machines {
            let Some(machine) = self.machines.get_mut(&listing.machine) else {
                continue;
            };
            if !self.assignment_index.is_moving(&machine.assignment) {
                machine.assignment.may_be_stored = false;
            }
        }
    }

    /// Moves the machines of a shard whose entries exceed the maximum value size to new shards.
    fn split_shard(&mut self, id: u32) {
        let Some(shard) = self.assignment_index.shards.get_mut(&id) else {
            return;
        };
        info!(
            shard = id,
            machines = shard.members.len(),
            "shard exceeds the value limit; moving its machines to new shards"
        );
        shard.oversized = true;
        shard.expected_bytes = 0;
        for name in std::mem::take(&mut shard.members) {
            let machine = self.machines.get_mut(&name);
            if let Some(machine) = machine.filter(|m| m.assignment.shard == Some(id)) {
                machine.assignment.shard = None;
                machine.assignment.may_be_written = false;
            }
        }
    }

    /// Detaches machines that did not fit into a crowded shard, so that they get another one.
    fn detach_from_crowded(&mut self, write: &ShardWrite) {
        if !write.crowded || write.empty {
            return;
        }
        for listing in write.machines.iter().filter(|l| l.jobs.is_empty()) {
            let Some(machine) = self.machines.get_mut(&listing.machine) else {
                continue;
            };
            let is_own = machine.assignment.listed_in == Some(write.shard);
            if is_own
                || machine.assignment.may_be_written
                || machine.assignment.shard != Some(write.shard)
            {
                continue;
            }
            machine.assignment.shard = None;
            let entry_bytes = expected_entry_bytes(machine);
            if let Some(shard) = self.assignment_index.shards.get_mut(&write.shard) {
                shard.remove_member(&listing.machine, entry_bytes);
                shard.crowded = true;
            }
        }
    }

    /// Returns oversized shards to delete: no machine may hold jobs that only they list.
    fn deletable_oversized_shards(&self) -> Vec<u32> {
        let oversized = self
            .assignment_index
            .shards
            .iter()
            .filter(|(_, s)| s.oversized);
        let mut deletable: BTreeSet<u32> = oversized.map(|(id, _)| *id).collect();
        if deletable.is_empty() {
            return Vec::new();
        }
        for machine in self.machines.values() {
            if let Some(id) = machine.assignment.listed_in
                && deletable.contains(&id)
                && !Self::jobs_possibly_on(machine).is_empty()
            {
                deletable.remove(&id);
            }
        }
        deletable.into_iter().collect()
    }

    /// Returns whether starts wait because the state service rejects the write that lists them;
    /// renting more machines would not help.
    pub(super) fn starts_rejected(&self) -> bool {
        self.assignment_index.rejected && self.machines.values().any(Machine::has_unlisted_start)
    }

    /// Returns the shards to write, the least recently written first.
    ///
    /// In the order of their numbers, the first shards would be due again before the last ones are
    /// written: machines of the last shards would be given tasks that never start but hold their
    /// slots.
    fn due_shards(&mut self, urgent: bool) -> Vec<u32> {
        let mut due = BTreeSet::new();
        let pending_machines: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| match urgent {
                true => m.state == MachineState::Up && m.fenced && m.has_unlisted_start(),
                // These machines get no more tasks, and the next leader need not wait for them.
                false => {
                    let is_moving = self.assignment_index.is_moving(&m.assignment);
                    let is_leaving = matches!(m.state, MachineState::Leaving | MachineState::Lost)
                        && m.assignment.may_be_stored
                        && m.tasks.is_empty()
                        && !m.unresolved;
                    (is_leaving && !is_moving) || (is_moving && self.can_move(m))
                }
            })
            .map(|m| m.id.clone())
            .collect();
        for id in pending_machines {
            let machine = &self.machines[&id];
            let shard = match machine.assignment.shard {
                Some(shard) => shard,
                None => self.assignment_index.shard_for(machine),
            };
            let machine = self.machines.get_mut(&id).expect("known machine");
            machine.assignment.shard = Some(shard);
            due.insert(shard);
        }
        if !urgent {
            let stale = self.assignment_index.shards.iter().filter(|(_, s)| s.stale);
            due.extend(stale.map(|(id, _)| *id));
            due.retain(|id| !self.assignment_index.shards[id].oversized);
            due.extend(self.deletable_oversized_shards());
        }
        let shards = &self.assignment_index.shards;
        due.retain(|id| shards.get(id).is_some_and(|s| !s.writing && !s.unverified));
        let mut due: Vec<u32> = due.into_iter().collect();
        due.sort_by_key(|id| (shards[id].last_write, *id));
        due
    }

    /// Returns whether the machine may hold tasks and its shard, if any, may have space to list it.
    fn can_move(&self, machine: &Machine) -> bool {
        let own_shard = machine
            .assignment
            .shard
            .and_then(|id| self.assignment_index.shards.get(&id));
        !own_shard.is_some_and(|shard| shard.crowded) && !Self::jobs_possibly_on(machine).is_empty()
    }

    /// Builds the deletion of an oversized shard, which lists nothing afterwards.
    fn build_deletion(&self, id: u32) -> (ShardWrite, ShardRecord) {
        let machines = self.machines.values();
        let listed = machines.filter(|m| m.assignment.listed_in == Some(id));
        let write = ShardWrite {
            shard: id,
            machines: listed.map(MachineListing::empty).collect(),
            empty: true,
            digest: 0,
            deletes_oversized: true,
            crowded: false,
        };
        (write, ShardRecord::default())
    }

    /// Builds the current contents of a shard.
    fn build_shard(&self, id: u32) -> (ShardWrite, ShardRecord) {
        if self.assignment_index.shards[&id].oversized {
            return self.build_deletion(id);
        }
        let mut builder = Builder::new();
        let members: Vec<&Machine> = self.assignment_index.shards[&id]
            .members
            .iter()
            .filter_map(|name| self.machines.get(name))
            .filter(|m| m.assignment.shard == Some(id))
            .collect();
        let mut machines: Vec<MachineListing> =
            members.iter().map(|m| MachineListing::empty(m)).collect();
        let mut new: Vec<(usize, JobId)> = Vec::new();
        let mut moving: Vec<(usize, BTreeSet<JobId>)> = Vec::new();
        for (position, machine) in members.iter().enumerate() {
            let listed = |job: &JobId| machine.assignment.jobs.contains(job);
            let (kept, added): (BTreeSet<JobId>, BTreeSet<JobId>) = Self::jobs_possibly_on(machine)
                .into_iter()
                .partition(listed);
            if self.assignment_index.is_moving(&machine.assignment) {
                moving.push((position, kept));
            } else {
                // Tasks of listed jobs may run there, so their entries stay regardless of size.
                for job in &kept {
                    builder.list_job(machine, job, usize::MAX);
                }
                machines[position].jobs = kept;
            }
            new.extend(added.into_iter().map(|job| (position, job)));
        }
        // All jobs that may run on a moving machine are listed at once, or it stays in its old
        // shard.
        let max_bytes = self.assignment_index.max_value_bytes;
        let mut staying = BTreeSet::new();
        for (position, jobs) in moving {
            match builder.list_jobs(members[position], &jobs, max_bytes) {
                true => machines[position].jobs = jobs,
                false => drop(staying.insert(position)),
            }
        }
        // A job that does not fit waits until others are removed.
        let mut crowded = !staying.is_empty();
        for (position, job) in new {
            if !staying.contains(&position) && builder.list_job(members[position], &job, max_bytes)
            {
                machines[position].jobs.insert(job);
            } else {
                crowded = true;
            }
        }
        let write = ShardWrite {
            shard: id,
            machines,
            empty: builder.record.is_empty(),
            digest: digest(&builder.record),
            deletes_oversized: false,
            crowded,
        };
        (write, builder.record)
    }

    /// Returns the jobs that may have tasks on a machine or are about to, including finished jobs
    /// while one of their starts may still be executed late.
    fn jobs_possibly_on(machine: &Machine) -> BTreeSet<JobId> {
        let mut jobs: BTreeSet<JobId> = machine.tasks.keys().map(|(t, _)| t.job.clone()).collect();
        if machine.unresolved {
            // The machine's tasks are not known yet, so the previous leader's list applies.
            jobs.extend(machine.assignment.possible_jobs().cloned());
        }
        jobs
    }
}
