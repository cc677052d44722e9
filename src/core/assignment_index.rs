//! The assignment index in the state service: which jobs may have tasks on which machine.
//!
//! A start is sent only for a job that is listed with its machine, so that a next
//! leader knows which jobs an unresponsive machine may hold. One stored value, a shard,
//! speaks for many machines: changes are what the state service counts, and a
//! large array lands on every machine within moments.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    cluster::ClusterState,
    job::JobId,
    machine::{Machine, MachineId, Standing},
    store::{Change, Condition, StateReply, delete, put, shard_key, when},
};

/// What one key of the assignment index holds. Types, zones and jobs are named once, and
/// machines refer to them by number.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRecord {
    kinds: Vec<Kind>,
    jobs: Vec<JobId>,
    machines: Vec<(MachineId, usize, Vec<usize>)>,
}

/// Machine type, zone, and whether it is a spot machine.
type Kind = (Arc<str>, Arc<str>, bool);

/// A machine in the assignment index.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignedMachine {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub jobs: BTreeSet<JobId>,
}

impl ShardRecord {
    /// A shard as stored, unless anything in it can't be understood: a machine that is
    /// passed over would be one where nothing can run.
    pub fn parse(text: &str) -> Option<Self> {
        let record: Self = serde_json::from_str(text).ok()?;
        let known = |(_, kind, jobs): &(MachineId, usize, Vec<usize>)| {
            *kind < record.kinds.len() && jobs.iter().all(|job| *job < record.jobs.len())
        };
        record.machines.iter().all(known).then_some(record)
    }

    pub fn machines(&self) -> impl Iterator<Item = AssignedMachine> + '_ {
        self.machines.iter().filter_map(|(id, kind, jobs)| {
            let (machine_type, zone, spot) = self.kinds.get(*kind)?.clone();
            let jobs = jobs.iter().filter_map(|job| self.jobs.get(*job).cloned());
            Some(AssignedMachine {
                id: id.clone(),
                machine_type,
                zone,
                spot,
                jobs: jobs.collect(),
            })
        })
    }
}

/// What is known of a machine's place in the stored assignment index.
#[derive(Debug, Clone, Default)]
pub struct AssignmentEntry {
    shard: Option<u32>,
    /// Jobs that are listed for certain.
    pub jobs: BTreeSet<JobId>,
    /// Something may be listed.
    pub stored: bool,
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
    /// The number of its last write.
    last_write: u64,
}

#[derive(Debug)]
pub struct AssignmentIndex {
    shards: BTreeMap<u32, Shard>,
    /// Writes so far.
    write_count: u64,
    /// Bytes that a value may have.
    value_most: usize,
}

/// A write of one shard, and what it lists.
#[derive(Debug)]
pub struct ShardWrite {
    shard: u32,
    machines: Vec<(MachineId, BTreeSet<JobId>)>,
    empty: bool,
}

/// A record under way, and the bytes that it takes at most.
struct Builder {
    record: ShardRecord,
    kinds: HashMap<Kind, usize>,
    jobs: HashMap<JobId, usize>,
    places: HashMap<MachineId, usize>,
    bytes: usize,
}

/// Digits, quotes, brackets and commas around a number or a name.
const NUMBER: usize = 7;
const NAME: usize = 4;
/// What a machine is expected to take, alone and for each of its CPUs.
const SHARE: usize = 32;
const SHARE_PER_CPU: f64 = 8.0;

fn share(machine: &Machine) -> usize {
    SHARE + (machine.size.cpus.max(0.0) * SHARE_PER_CPU) as usize
}

impl Builder {
    fn new() -> Self {
        Self {
            record: ShardRecord::default(),
            kinds: HashMap::new(),
            jobs: HashMap::new(),
            places: HashMap::new(),
            bytes: 64,
        }
    }

    /// Lists a job with a machine, unless that would make the value larger than
    /// `most`.
    fn list(&mut self, machine: &Machine, job: &JobId, most: usize) -> bool {
        let kind = (
            machine.machine_type.clone(),
            machine.zone.clone(),
            machine.spot,
        );
        let mut bytes = NUMBER;
        if !self.jobs.contains_key(job) {
            bytes += job.as_str().len() + NAME;
        }
        if !self.kinds.contains_key(&kind) {
            bytes += kind.0.len() + kind.1.len() + 3 * NAME;
        }
        if !self.places.contains_key(&machine.id) {
            bytes += machine.id.len() + NAME + 2 * NUMBER;
        }
        if self.bytes + bytes > most {
            return false;
        }
        self.bytes += bytes;
        let record = &mut self.record;
        let kind = *self.kinds.entry(kind).or_insert_with_key(|kind| {
            record.kinds.push(kind.clone());
            record.kinds.len() - 1
        });
        let job = *self.jobs.entry(job.clone()).or_insert_with_key(|job| {
            record.jobs.push(job.clone());
            record.jobs.len() - 1
        });
        let id = &machine.id;
        let place = *self.places.entry(id.clone()).or_insert_with(|| {
            record.machines.push((id.clone(), kind, Vec::new()));
            record.machines.len() - 1
        });
        record.machines[place].2.push(job);
        true
    }
}

impl AssignmentIndex {
    pub fn new(value_most: usize) -> Self {
        Self {
            shards: BTreeMap::new(),
            write_count: 0,
            value_most,
        }
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
        }
    }

    /// The shard for one more machine: the emptiest that has room left.
    fn shard_for(&mut self, machine: &Machine) -> u32 {
        let room = self.value_most / 4 * 3;
        let chosen = self
            .shards
            .iter()
            .map(|(id, shard)| (shard.taken, *id))
            .filter(|(taken, _)| taken + share(machine) <= room)
            .min();
        let id = match chosen {
            Some((_, id)) => id,
            None => (0..).find(|id| !self.shards.contains_key(id)).unwrap_or(0),
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
}

impl ClusterState {
    /// What a failover found in one shard.
    pub fn load_shard(&mut self, id: u32, record: &ShardRecord, version: u64, now: Duration) {
        let mut shard = Shard {
            version,
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
            shard.join(machine);
            machine.unresolved = true;
            machine.assignment = AssignmentEntry {
                shard: Some(id),
                jobs,
                stored: true,
            };
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
        for id in due.into_iter().take(changes_most.min(2)) {
            let (listing, record) = self.list_shard(id);
            let shard = self.assignment_index.shards.get_mut(&id)?;
            shard.stale = false;
            self.assignment_index.write_count += 1;
            shard.last_write = self.assignment_index.write_count;
            if listing.empty && shard.version == 0 {
                continue;
            }
            shard.writing = true;
            let key = shard_key(id);
            conditions.push(when(&key, shard.version));
            changes.push(match listing.empty {
                true => delete(key),
                false => put(key, &record),
            });
            for (machine, jobs) in &listing.machines {
                if let Some(machine) = self.machines.get_mut(machine) {
                    // Until the answer only what is listed before and after counts:
                    // a start for a job that this write drops must not go out.
                    machine.assignment.jobs.retain(|id| jobs.contains(id));
                    machine.assignment.stored |= !jobs.is_empty();
                }
            }
            listings.push(listing);
        }
        (!listings.is_empty()).then_some((listings, conditions, changes))
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
                    matches!(m.standing, Standing::Leaving | Standing::Lost)
                        && m.assignment.stored
                        && m.tasks.is_empty()
                        && !m.unresolved
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
        }
        let shards = &self.assignment_index.shards;
        due.retain(|id| shards.get(id).is_some_and(|s| !s.writing && !s.unsure));
        let mut due: Vec<u32> = due.into_iter().collect();
        due.sort_by_key(|id| (shards[id].last_write, *id));
        due
    }

    /// What a shard is to say now.
    fn list_shard(&self, id: u32) -> (ShardWrite, ShardRecord) {
        let mut builder = Builder::new();
        let members: Vec<&Machine> = self.assignment_index.shards[&id]
            .members
            .iter()
            .filter_map(|name| self.machines.get(name))
            .filter(|m| m.assignment.shard == Some(id))
            .collect();
        let mut machines: Vec<(MachineId, BTreeSet<JobId>)> = Vec::new();
        let mut new: Vec<(usize, JobId)> = Vec::new();
        for machine in &members {
            let mut jobs = BTreeSet::new();
            for job in Self::may_hold(machine) {
                // What is listed already may run there: it stays, come what may.
                if machine.assignment.jobs.contains(&job) {
                    builder.list(machine, &job, usize::MAX);
                    jobs.insert(job);
                } else {
                    new.push((machines.len(), job));
                }
            }
            machines.push((machine.id.clone(), jobs));
        }
        // One that finds no room any more waits until others are struck off.
        for (place, job) in new {
            if builder.list(members[place], &job, self.assignment_index.value_most) {
                machines[place].1.insert(job);
            }
        }
        let listing = ShardWrite {
            shard: id,
            machines,
            empty: builder.record.machines.is_empty(),
        };
        (listing, builder.record)
    }

    /// Jobs that may have tasks on a machine, or are about to; those that are over
    /// too, as long as a start of theirs may still be executed late.
    fn may_hold(machine: &Machine) -> BTreeSet<JobId> {
        let mut jobs: BTreeSet<JobId> = machine.tasks.keys().map(|(t, _)| t.job.clone()).collect();
        if machine.unresolved {
            // Its tasks are not known yet; the previous leader's list stands.
            jobs.extend(machine.assignment.jobs.iter().cloned());
        }
        jobs
    }

    pub fn assignment_index_written(&mut self, listings: Vec<ShardWrite>, reply: &StateReply) {
        if self.closed_priority.is_some() && matches!(reply, StateReply::Committed { .. }) {
            // Nothing else may happen that brings the parked back to the heap.
            self.requeue();
        }
        for listing in listings {
            let Some(shard) = self.assignment_index.shards.get_mut(&listing.shard) else {
                continue;
            };
            shard.writing = false;
            let revision = match reply {
                StateReply::Committed { revision } => *revision,
                // It changed nothing and never will.
                StateReply::Refused { .. } => {
                    shard.stale = true;
                    continue;
                }
                // It may have been executed, or may be later.
                _ => {
                    shard.unsure = true;
                    shard.stale = true;
                    continue;
                }
            };
            shard.version = if listing.empty { 0 } else { revision };
            for (id, jobs) in listing.machines {
                match self.machines.get_mut(&id) {
                    // One that came back after it was gone is no member any more.
                    Some(machine) if machine.assignment.shard == Some(listing.shard) => {
                        machine.assignment.stored = !jobs.is_empty();
                        machine.assignment.jobs = jobs;
                    }
                    _ => shard.stale |= !jobs.is_empty(),
                }
            }
        }
    }
}
