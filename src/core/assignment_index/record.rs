//! Stored form of one shard of the assignment index, and its construction.

use std::{
    collections::{BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::core::{
    job::JobId,
    machine::{Machine, MachineId},
};

/// Value of one key of the assignment index. Types, zones and jobs are named once; machines refer
/// to them by number.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardRecord {
    kinds: Vec<Kind>,
    jobs: Vec<JobId>,
    machines: Vec<(MachineId, usize, Vec<usize>)>,
}

/// Machine type, zone, and whether it is a spot machine.
type Kind = (Arc<str>, Arc<str>, bool);

/// Machine listed in the assignment index.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignedMachine {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub jobs: BTreeSet<JobId>,
}

impl ShardRecord {
    /// Parses a stored shard, or returns none if any part of it is invalid: a skipped machine would
    /// be taken for one that can't run anything.
    pub fn parse(text: &str) -> Option<Self> {
        let record: Self = serde_json::from_str(text).ok()?;
        let known = |(_, kind, jobs): &(MachineId, usize, Vec<usize>)| {
            *kind < record.kinds.len() && jobs.iter().all(|job| *job < record.jobs.len())
        };
        record.machines.iter().all(known).then_some(record)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.machines.is_empty()
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

/// Returns a digest that distinguishes stored values of a shard.
pub(super) fn digest(record: &ShardRecord) -> u64 {
    let mut hasher = DefaultHasher::new();
    serde_json::to_string(record).ok().hash(&mut hasher);
    hasher.finish()
}

/// Record under construction, with an upper bound of its encoded size.
pub(super) struct Builder {
    pub(super) record: ShardRecord,
    kinds: HashMap<Kind, usize>,
    jobs: HashMap<JobId, usize>,
    positions: HashMap<MachineId, usize>,
    bytes: usize,
}

/// Maximum bytes of a number, and bytes of the quotes and separators around a name.
const NUMBER_BYTES: usize = 7;
const NAME_OVERHEAD_BYTES: usize = 4;

impl Builder {
    pub(super) fn new() -> Self {
        Self {
            record: ShardRecord::default(),
            kinds: HashMap::new(),
            jobs: HashMap::new(),
            positions: HashMap::new(),
            bytes: 64,
        }
    }

    /// Lists all given jobs with a machine, or none if they don't fit.
    pub(super) fn list_jobs(
        &mut self,
        machine: &Machine,
        jobs: &BTreeSet<JobId>,
        max_bytes: usize,
    ) -> bool {
        let names = jobs.iter().filter(|job| !self.jobs.contains_key(*job));
        let name_bytes: usize = names
            .map(|job| job.as_str().len() + NAME_OVERHEAD_BYTES)
            .sum();
        let kind_bytes = machine.machine_type.len() + machine.zone.len() + 3 * NAME_OVERHEAD_BYTES;
        let position_bytes = machine.id.len() + NAME_OVERHEAD_BYTES + 2 * NUMBER_BYTES;
        let fits =
            self.bytes + name_bytes + kind_bytes + position_bytes + jobs.len() * NUMBER_BYTES
                <= max_bytes;
        for job in jobs.iter().filter(|_| fits) {
            self.list_job(machine, job, usize::MAX);
        }
        fits
    }

    /// Lists a job with a machine, unless the value would then exceed `max_bytes` bytes.
    pub(super) fn list_job(&mut self, machine: &Machine, job: &JobId, max_bytes: usize) -> bool {
        let kind = (
            machine.machine_type.clone(),
            machine.zone.clone(),
            machine.spot,
        );
        let mut bytes = NUMBER_BYTES;
        if !self.jobs.contains_key(job) {
            bytes += job.as_str().len() + NAME_OVERHEAD_BYTES;
        }
        if !self.kinds.contains_key(&kind) {
            bytes += kind.0.len() + kind.1.len() + 3 * NAME_OVERHEAD_BYTES;
        }
        if !self.positions.contains_key(&machine.id) {
            bytes += machine.id.len() + NAME_OVERHEAD_BYTES + 2 * NUMBER_BYTES;
        }
        if self.bytes + bytes > max_bytes {
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
        let position = *self.positions.entry(id.clone()).or_insert_with(|| {
            record.machines.push((id.clone(), kind, Vec::new()));
            record.machines.len() - 1
        });
        record.machines[position].2.push(job);
        true
    }
}
