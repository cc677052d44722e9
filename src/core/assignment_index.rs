//! The assignment index in the state service: which jobs may have tasks on which machine.
//!
//! A start is sent only for a job that is listed with its machine, so that a next
//! leader knows which jobs an unresponsive machine may hold. One stored value, a shard,
//! speaks for many machines: changes are what the state service counts, and a
//! large array lands on every machine within moments.

mod answers;
mod record;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tracing::info;

use super::{
    cluster::ClusterState,
    job::JobId,
    machine::{Machine, MachineId, Standing},
    store::{Change, Condition, StateReply, delete, encoded_len, if_version, put, shard_key},
};

pub use record::{AssignedMachine, ShardRecord};
use record::{Builder, digest};

/// What is known of a machine's place in the stored assignment index.
#[derive(Debug, Clone, Default)]
pub struct AssignmentEntry {
    /// The shard that is to list it from now on.
    shard: Option<u32>,
    /// The shard that `jobs` was read from or written to: until a machine has moved, another
    /// one than its own.
    listed_in: Option<u32>,
    /// A write of its own shard that names it was not refused for certain.
    tried: bool,
    /// Jobs that are listed for certain.
    pub jobs: BTreeSet<JobId>,
    /// Jobs that only other shards listed at the failover.
    prior: BTreeSet<JobId>,
    /// Something may be listed.
    pub stored: bool,
}

impl AssignmentEntry {
    /// Jobs that any shard lists, which may run there while nothing else is known.
    pub fn may_list(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter().chain(&self.prior)
    }
}

#[derive(Debug, Default)]
struct Shard {
    /// Revision of the key; 0: there is none.
    version: u64,
    /// A write is under way.
    writing: bool,
    /// A write was not answered, so the key is read before the next one.
    unsure: bool,
    members: BTreeSet<MachineId>,
    /// What its members are expected to take of the value.
    taken: usize,
    /// A machine that is gone is still listed.
    stale: bool,
    /// The stored value is larger than the service takes now: it stays as it is until all its
    /// machines are listed elsewhere.
    oversized: bool,
    /// Something found no room at the last look.
    crowded: bool,
    /// The number of its last write.
    last_write: u64,
    /// Digest of the stored value, where this leader wrote it.
    stored: Option<u64>,
}

#[derive(Debug)]
pub struct AssignmentIndex {
    shards: BTreeMap<u32, Shard>,
    /// Writes so far.
    write_count: u64,
    /// Bytes that a value may have.
    value_most: usize,
    /// The last write that lists starts was rejected.
    rejected: bool,
}

/// A write of one shard, and what it lists.
#[derive(Debug)]
pub struct ShardWrite {
    shard: u32,
    machines: Vec<Listed>,
    empty: bool,
    /// Of the value that is written.
    digest: u64,
    /// It deletes an oversized shard whose machines are listed elsewhere.
    strikes: bool,
    /// Something found no room in it.
    crowded: bool,
}

/// A machine in a write of its shard.
#[derive(Debug)]
struct Listed {
    machine: MachineId,
    jobs: BTreeSet<JobId>,
    /// A write before this one may have named it in the same shard.
    tried: bool,
}

impl Listed {
    fn nothing(machine: &Machine) -> Self {
        Self {
            machine: machine.id.clone(),
            jobs: BTreeSet::new(),
            tried: machine.assignment.tried,
        }
    }
}

/// Numbers that new shards take first.
const SMALL_NUMBERS: u32 = 1000;
/// What a machine is expected to take, alone and for each of its CPUs.
const SHARE: usize = 32;
const SHARE_PER_CPU: f64 = 8.0;

fn share(machine: &Machine) -> usize {
    SHARE + (machine.size.cpus.max(0.0) * SHARE_PER_CPU) as usize
}

impl AssignmentIndex {
    pub fn new(value_most: usize) -> Self {
        Self {
            shards: BTreeMap::new(),
            write_count: 0,
            value_most,
            rejected: false,
        }
    }

    /// Values may be no larger from now on.
    pub fn limit_values(&mut self, value_most: usize) {
        self.value_most = self.value_most.min(value_most);
    }

    /// The machine does not exist any more.
    pub fn remove_machine(&mut self, machine: &Machine) {
        if let Some(shard) = machine
            .assignment
            .shard
            .and_then(|s| self.shards.get_mut(&s))
        {
            if shard.members.remove(&machine.id) {
                shard.taken = shard.taken.saturating_sub(share(machine));
            }
            shard.stale |= machine.assignment.stored;
            shard.crowded = false;
        }
    }

    /// A shard whose write was not answered, to be read again.
    pub fn unsure(&mut self) -> Option<u32> {
        let mut shards = self.shards.iter_mut();
        let (id, shard) = shards.find(|(_, s)| s.unsure && !s.writing)?;
        shard.writing = true;
        Some(*id)
    }

    /// The revision that a shard was read to have; none where it was not read.
    pub fn reread(&mut self, shard: u32, version: Option<u64>) {
        let Some(shard) = self.shards.get_mut(&shard) else {
            return;
        };
        shard.writing = false;
        if let Some(version) = version {
            // A write that is applied late fails once the next one is in.
            shard.unsure = false;
            shard.version = version;
            shard.oversized &= version != 0;
        }
    }

    /// An oversized shard lists the machine, and its own one does not yet.
    fn moves(&self, entry: &AssignmentEntry) -> bool {
        let listed_in = entry.listed_in.and_then(|id| self.shards.get(&id));
        listed_in.is_some_and(|shard| shard.oversized)
    }

    /// The key of the oversized shard that is read last, if there is any.
    fn last_oversized(&self) -> Option<String> {
        let oversized = self.shards.iter().filter(|(_, shard)| shard.oversized);
        oversized.map(|(id, _)| id.to_string()).max()
    }

    /// A number that no shard has, and whose key comes after `last` in the order of keys.
    fn new_number(&self, last: Option<&str>) -> u32 {
        let after = |id: &u32| last.is_none_or(|last| *id.to_string() > *last);
        let free = |id: &u32| !self.shards.contains_key(id) && after(id);
        // Any number that begins with the digits of the last one comes after it.
        let longer = (1..u32::MAX.ilog10()).filter_map(|digits| {
            let first: u32 = last?.parse().ok()?;
            let scale = 10_u32.checked_pow(digits)?;
            let end = first.checked_add(1)?.checked_mul(scale)?;
            Some(first * scale..end)
        });
        let small = 0..SMALL_NUMBERS;
        let mut numbers = small.chain(longer.flatten());
        numbers.find(free).unwrap_or(u32::MAX)
    }

    /// The shard for one more machine: the emptiest that has room left.
    fn shard_for(&mut self, machine: &Machine) -> u32 {
        let room = self.value_most / 4 * 3;
        // A version that does not know of oversized shards believes the shard that it reads
        // last, so that has to be the one that is written.
        let last = self.last_oversized();
        let after = |id: u32| last.as_ref().is_none_or(|last| id.to_string() > *last);
        let chosen = self
            .shards
            .iter()
            .filter(|(id, shard)| !shard.oversized && !shard.crowded && after(**id))
            .map(|(id, shard)| (shard.taken, *id))
            .filter(|(taken, _)| taken + share(machine) <= room)
            .min();
        let id = match chosen {
            Some((_, id)) => id,
            None => self.new_number(last.as_deref()),
        };
        self.shards.entry(id).or_default().join(machine);
        id
    }
}

impl Shard {
    fn join(&mut self, machine: &Machine) {
        if self.members.insert(machine.id.clone()) {
            self.taken += share(machine);
        }
    }

    fn leave(&mut self, machine: &MachineId, share: usize) {
        if self.members.remove(machine) {
            self.taken = self.taken.saturating_sub(share);
        }
    }
}

impl ClusterState {
    /// What a failover found in one shard.
    pub fn load_shard(&mut self, id: u32, record: &ShardRecord, version: u64, now: Duration) {
        let mut shard = Shard {
            version,
            oversized: encoded_len(record) > self.assignment_index.value_most,
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
            // A leader ended before it had struck the machine off another shard. The one that
            // is read last was written last; what the others list may run there, too.
            let earlier = std::mem::take(&mut machine.assignment);
            let prior: BTreeSet<JobId> = earlier.may_list().cloned().collect();
            machine.assignment = AssignmentEntry {
                shard: (!shard.oversized).then_some(id),
                listed_in: Some(id),
                tried: false,
                prior: prior.difference(&jobs).cloned().collect(),
                jobs,
                stored: true,
            };
            if !shard.oversized {
                shard.join(machine);
            }
            let share = share(machine);
            let other = earlier.shard.filter(|other| *other != id);
            if let Some(other) =
                other.and_then(|other| self.assignment_index.shards.get_mut(&other))
            {
                other.leave(&name, share);
            }
        }
        self.assignment_index.shards.insert(id, shard);
    }

    /// The next write of the assignment index. An urgent one lists jobs whose starts wait
    /// for it, any other only strikes off what is there no more.
    pub fn assignment_index_write(
        &mut self,
        urgent: bool,
        changes_most: usize,
    ) -> Option<(Vec<ShardWrite>, Vec<Condition>, Vec<Change>)> {
        let due = self.due_shards(urgent);
        let (mut listings, mut conditions, mut changes) = (Vec::new(), Vec::new(), Vec::new());
        // Two values of full size leave room in one transaction for the rest.
        let most = changes_most.min(2);
        for id in due {
            if listings.len() == most {
                break;
            }
            let (listing, record) = self.list_shard(id);
            let too_large = encoded_len(&record) > self.assignment_index.value_most;
            self.assignment_index.write_count += 1;
            let shard = self.assignment_index.shards.get_mut(&id)?;
            shard.last_write = self.assignment_index.write_count;
            shard.crowded = listing.crowded;
            if too_large {
                self.outgrown(id);
                continue;
            }
            if !shard.stale && !listing.strikes && shard.stored == Some(listing.digest) {
                self.leave_crowded(&listing);
                continue;
            }
            shard.stale = false;
            if listing.empty && shard.version == 0 {
                shard.oversized = false;
                self.nothing_listed(&listing);
                continue;
            }
            shard.writing = true;
            let key = shard_key(id);
            conditions.push(if_version(&key, shard.version));
            changes.push(match listing.empty {
                true => delete(key),
                false => put(key, &record),
            });
            self.listing_sent(&listing);
            listings.push(listing);
        }
        (!listings.is_empty()).then_some((listings, conditions, changes))
    }

    /// A write is under way. Until its answer only what is listed before and after counts: a
    /// start for a job that this write drops must not go out.
    fn listing_sent(&mut self, listing: &ShardWrite) {
        for listed in &listing.machines {
            let Some(machine) = self.machines.get_mut(&listed.machine) else {
                continue;
            };
            let entry = &mut machine.assignment;
            if !listing.strikes && listed.jobs.is_empty() && self.assignment_index.moves(entry) {
                // It found no room, and what lists it now stays.
                continue;
            }
            entry.jobs.retain(|id| listed.jobs.contains(id));
            entry.stored |= !listed.jobs.is_empty();
            entry.tried |= !listed.jobs.is_empty();
        }
    }

    /// Nothing is stored of a shard that lists nothing.
    fn nothing_listed(&mut self, listing: &ShardWrite) {
        for listed in &listing.machines {
            let Some(machine) = self.machines.get_mut(&listed.machine) else {
                continue;
            };
            if !self.assignment_index.moves(&machine.assignment) {
                machine.assignment.stored = false;
            }
        }
    }

    /// What a shard has to list is more than a value may hold: its machines go to new ones.
    fn outgrown(&mut self, id: u32) {
        let Some(shard) = self.assignment_index.shards.get_mut(&id) else {
            return;
        };
        info!(shard = id, machines = shard.members.len(), "shard split");
        shard.oversized = true;
        shard.taken = 0;
        for name in std::mem::take(&mut shard.members) {
            let machine = self.machines.get_mut(&name);
            if let Some(machine) = machine.filter(|m| m.assignment.shard == Some(id)) {
                machine.assignment.shard = None;
                machine.assignment.tried = false;
            }
        }
    }

    /// Machines that found no room in a shard that others fill look for another one.
    fn leave_crowded(&mut self, listing: &ShardWrite) {
        if !listing.crowded || listing.empty {
            return;
        }
        for listed in listing.machines.iter().filter(|l| l.jobs.is_empty()) {
            let Some(machine) = self.machines.get_mut(&listed.machine) else {
                continue;
            };
            let own = machine.assignment.listed_in == Some(listing.shard);
            if own || machine.assignment.tried || machine.assignment.shard != Some(listing.shard) {
                continue;
            }
            machine.assignment.shard = None;
            let share = share(machine);
            if let Some(shard) = self.assignment_index.shards.get_mut(&listing.shard) {
                shard.leave(&listed.machine, share);
                shard.crowded = true;
            }
        }
    }

    /// An oversized shard is deleted once no machine may hold what only it lists.
    fn struck_shards(&self) -> Vec<u32> {
        let oversized = self
            .assignment_index
            .shards
            .iter()
            .filter(|(_, s)| s.oversized);
        let mut struck: BTreeSet<u32> = oversized.map(|(id, _)| *id).collect();
        if struck.is_empty() {
            return Vec::new();
        }
        for machine in self.machines.values() {
            if let Some(id) = machine.assignment.listed_in
                && struck.contains(&id)
                && !Self::may_hold(machine).is_empty()
            {
                struck.remove(&id);
            }
        }
        struck.into_iter().collect()
    }

    /// Starts wait because the state service rejects what would list them: more machines
    /// would be of no use.
    pub(super) fn starts_rejected(&self) -> bool {
        self.assignment_index.rejected && self.machines.values().any(Machine::unlisted)
    }

    /// Shards that have to be written, the one whose last write is longest ago first.
    ///
    /// In the order of their numbers, the first ones were due again before the last
    /// ones had their turn: machines of the last ones were given tasks that never
    /// started, and held their place.
    fn due_shards(&mut self, urgent: bool) -> Vec<u32> {
        let mut due = BTreeSet::new();
        let wanting: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| match urgent {
                true => m.standing == Standing::Up && m.fenced && m.unlisted(),
                // They get no more tasks, and a next leader need not wait for them.
                false => {
                    let moves = self.assignment_index.moves(&m.assignment);
                    let leaves = matches!(m.standing, Standing::Leaving | Standing::Lost)
                        && m.assignment.stored
                        && m.tasks.is_empty()
                        && !m.unresolved;
                    (leaves && !moves) || (moves && self.may_move(m))
                }
            })
            .map(|m| m.id.clone())
            .collect();
        for id in wanting {
            let machine = &self.machines[&id];
            let shard = match machine.assignment.shard {
                Some(shard) => shard,
                None => self.assignment_index.shard_for(machine),
            };
            let machine = self.machines.get_mut(&id).expect("just seen");
            machine.assignment.shard = Some(shard);
            due.insert(shard);
        }
        if !urgent {
            let stale = self.assignment_index.shards.iter().filter(|(_, s)| s.stale);
            due.extend(stale.map(|(id, _)| *id));
            due.retain(|id| !self.assignment_index.shards[id].oversized);
            due.extend(self.struck_shards());
        }
        let shards = &self.assignment_index.shards;
        due.retain(|id| shards.get(id).is_some_and(|s| !s.writing && !s.unsure));
        let mut due: Vec<u32> = due.into_iter().collect();
        due.sort_by_key(|id| (shards[id].last_write, *id));
        due
    }

    /// Something may run there, and there may be room in a shard to list it.
    fn may_move(&self, machine: &Machine) -> bool {
        let own = machine
            .assignment
            .shard
            .and_then(|id| self.assignment_index.shards.get(&id));
        !own.is_some_and(|shard| shard.crowded) && !Self::may_hold(machine).is_empty()
    }

    /// The deletion of an oversized shard: it lists nothing any more.
    fn strike_shard(&self, id: u32) -> (ShardWrite, ShardRecord) {
        let machines = self.machines.values();
        let listed = machines.filter(|m| m.assignment.listed_in == Some(id));
        let listing = ShardWrite {
            shard: id,
            machines: listed.map(Listed::nothing).collect(),
            empty: true,
            digest: 0,
            strikes: true,
            crowded: false,
        };
        (listing, ShardRecord::default())
    }

    /// What a shard is to say now.
    fn list_shard(&self, id: u32) -> (ShardWrite, ShardRecord) {
        if self.assignment_index.shards[&id].oversized {
            return self.strike_shard(id);
        }
        let mut builder = Builder::new();
        let members: Vec<&Machine> = self.assignment_index.shards[&id]
            .members
            .iter()
            .filter_map(|name| self.machines.get(name))
            .filter(|m| m.assignment.shard == Some(id))
            .collect();
        let mut machines: Vec<Listed> = members.iter().map(|m| Listed::nothing(m)).collect();
        let mut new: Vec<(usize, JobId)> = Vec::new();
        let mut moving: Vec<(usize, BTreeSet<JobId>)> = Vec::new();
        for (place, machine) in members.iter().enumerate() {
            let listed = |job: &JobId| machine.assignment.jobs.contains(job);
            let (kept, added): (BTreeSet<JobId>, BTreeSet<JobId>) =
                Self::may_hold(machine).into_iter().partition(listed);
            if self.assignment_index.moves(&machine.assignment) {
                moving.push((place, kept));
            } else {
                // What is listed already may run there: it stays, come what may.
                for job in &kept {
                    builder.list(machine, job, usize::MAX);
                }
                machines[place].jobs = kept;
            }
            new.extend(added.into_iter().map(|job| (place, job)));
        }
        // All that may run on a machine is listed at once, or it stays where it is.
        let most = self.assignment_index.value_most;
        let mut stays = BTreeSet::new();
        for (place, jobs) in moving {
            match builder.list_all(members[place], &jobs, most) {
                true => machines[place].jobs = jobs,
                false => drop(stays.insert(place)),
            }
        }
        // One that finds no room any more waits until others are struck off.
        let mut crowded = !stays.is_empty();
        for (place, job) in new {
            if !stays.contains(&place) && builder.list(members[place], &job, most) {
                machines[place].jobs.insert(job);
            } else {
                crowded = true;
            }
        }
        let listing = ShardWrite {
            shard: id,
            machines,
            empty: builder.record.is_empty(),
            digest: digest(&builder.record),
            strikes: false,
            crowded,
        };
        (listing, builder.record)
    }

    /// Jobs that may have tasks on a machine, or are about to; those that are over
    /// too, as long as a start of theirs may still be executed late.
    fn may_hold(machine: &Machine) -> BTreeSet<JobId> {
        let mut jobs: BTreeSet<JobId> = machine.tasks.keys().map(|(t, _)| t.job.clone()).collect();
        if machine.unresolved {
            // Its tasks are not known yet; the previous leader's list stands.
            jobs.extend(machine.assignment.may_list().cloned());
        }
        jobs
    }
}
