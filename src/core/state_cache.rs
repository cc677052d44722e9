//! A node's cache of the live keys, kept current by watching the state service.
//!
//! A watch that does not wait proves the cache as new as the moment it was sent,
//! so one such request serves every poll that came before it.

use std::{collections::BTreeMap, sync::Arc};

use kiteyard_maintenance::drain::Drains;
use kiteyard_rollout::generation::{Ability, ClusterGeneration, Orders};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    job::{JobId, JobRecord},
    machine::MachineType,
    partitioned_zones::PartitionedZonesRecord,
    store::{
        CLAIMS, DRAINS, Entry, Event, GENERATION, JOBS, LEADER, NODES, ORDERS, PARTITIONED,
        SETTLED, STORED_HEARTBEAT, TYPES, job_key,
    },
    stored_heartbeat::StoredHeartbeat,
};

/// Who leads, in the leader key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderRecord {
    pub node: String,
    /// It took the place of one that may act for another term.
    pub superseded: bool,
}

#[derive(Debug, Clone)]
pub struct LiveJob {
    pub record: JobRecord,
    pub version: u64,
}

#[derive(Debug, Default)]
pub struct StateCache {
    pub loaded: bool,
    /// Every change up to this revision is in the cache.
    pub cursor: u64,
    pub leader: Option<(LeaderRecord, u64)>,
    /// Revision of the last claim, whoever made it.
    pub claims: u64,
    /// The last claim that is settled.
    pub settled: u64,
    pub types: Option<Arc<Vec<MachineType>>>,
    pub jobs: BTreeMap<JobId, LiveJob>,
    /// Jobs that this node has ended, and the revision, until the watch has come that far:
    /// an older change that arrives meanwhile must not bring one back.
    ended: BTreeMap<JobId, u64>,
    /// The generation of the stored forms, and the revision of its key; 0: there is none.
    pub cluster: (ClusterGeneration, u64),
    pub orders: (Orders, u64),
    /// Zones that are partitioned, and the revision; 0: there is no such key.
    pub partitioned_zones: (PartitionedZonesRecord, u64),
    /// Machines that are to be emptied, and the revision; 0: there is no such key.
    pub drains: (Drains, u64),
    /// What nodes' processes said they are able to, and the revision; none where this one
    /// can't read it.
    pub nodes: BTreeMap<String, (Option<Ability>, u64)>,
    /// Keys that are there and can't be read. What they say is not known, so nothing may
    /// be done as if they were not there.
    pub unreadable: BTreeMap<String, u64>,
}

/// What a change means to the node.
#[derive(Debug, PartialEq)]
pub enum StateChange {
    JobAdded(JobId),
    JobRemoved(JobId),
    LeaderKey,
    Types,
    Cluster,
    StoredHeartbeat(StoredHeartbeat),
}

impl StateCache {
    /// Whether what is stored of this job can't be read.
    pub fn is_unreadable(&self, id: &JobId) -> bool {
        !self.unreadable.is_empty() && self.unreadable.contains_key(&job_key(id))
    }

    /// The leader took the place of one that may still act.
    pub fn unsettled(&self) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|(record, version)| record.superseded && self.settled != *version)
    }

    pub fn load(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.apply(&Event {
                key: entry.key,
                value: Some(entry.value),
                revision: entry.version,
            });
        }
    }

    /// Takes in the events of a watch. Those seen already are passed over.
    pub fn advance(&mut self, events: &[Event], revision: u64) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let cursor = self.cursor;
        for event in events.iter().filter(|e| e.revision > cursor) {
            changes.extend(self.apply(event));
        }
        self.cursor = self.cursor.max(revision);
        let cursor = self.cursor;
        self.ended.retain(|_, ended| *ended > cursor);
        changes
    }

    /// What a key holds now; none where it is gone, or can't be read, which is kept in mind.
    fn read<T: DeserializeOwned>(&mut self, event: &Event) -> Option<T> {
        let value = event.value.as_ref();
        let read = value.map(|value| serde_json::from_str(value.get()));
        match read {
            Some(Err(_)) => {
                self.unreadable.insert(event.key.clone(), event.revision);
                None
            }
            read => {
                self.unreadable.remove(&event.key);
                read.and_then(Result::ok)
            }
        }
    }

    fn apply(&mut self, event: &Event) -> Option<StateChange> {
        let revision = event.revision;
        match event.key.as_str() {
            LEADER => {
                self.leader = self.read(event).map(|record| (record, revision));
                return Some(StateChange::LeaderKey);
            }
            CLAIMS => self.claims = if event.value.is_some() { revision } else { 0 },
            // One that can't be read leaves a claim unsettled, which is the careful side.
            SETTLED => self.settled = self.read(event).unwrap_or_default(),
            TYPES => {
                self.types = self.read(event).map(Arc::new);
                return Some(StateChange::Types);
            }
            GENERATION => {
                let there = event.value.is_some();
                let cluster = self.read(event).filter(ClusterGeneration::is_valid);
                if there && cluster.is_none() {
                    self.unreadable.insert(event.key.clone(), revision);
                }
                let revision = if there { revision } else { 0 };
                self.cluster = (cluster.unwrap_or_default(), revision);
                return Some(StateChange::Cluster);
            }
            ORDERS => {
                let revision = if event.value.is_some() { revision } else { 0 };
                self.orders = (self.read(event).unwrap_or_default(), revision);
            }
            PARTITIONED => {
                let revision = if event.value.is_some() { revision } else { 0 };
                self.partitioned_zones = (self.read(event).unwrap_or_default(), revision);
            }
            DRAINS => {
                let revision = if event.value.is_some() { revision } else { 0 };
                self.drains = (self.read(event).unwrap_or_default(), revision);
            }
            // It decides nothing that is stored: one that can't be read is just no heartbeat.
            STORED_HEARTBEAT => {
                let stored_heartbeat = event.value.as_ref()?;
                return serde_json::from_str(stored_heartbeat.get())
                    .ok()
                    .map(StateChange::StoredHeartbeat);
            }
            key => match key.strip_prefix(NODES) {
                Some(node) => self.node_told(node.to_owned(), event),
                None => return self.apply_job(event),
            },
        }
        None
    }

    fn node_told(&mut self, node: String, event: &Event) {
        match &event.value {
            Some(value) => {
                let ability = serde_json::from_str(value.get()).ok();
                self.nodes.insert(node, (ability, event.revision));
            }
            None => {
                self.nodes.remove(&node);
            }
        }
    }

    fn apply_job(&mut self, event: &Event) -> Option<StateChange> {
        let id = JobId::parse(event.key.strip_prefix(JOBS)?)?;
        match self.read(event) {
            Some(record) => self
                .add_job(id.clone(), record, event.revision)
                .then_some(StateChange::JobAdded(id)),
            // What was known of it before may not be what it is now.
            None if event.value.is_some() => None,
            None => self
                .jobs
                .remove(&id)
                .is_some()
                .then_some(StateChange::JobRemoved(id)),
        }
    }

    fn add_job(&mut self, id: JobId, record: JobRecord, version: u64) -> bool {
        let known = self.jobs.get(&id).is_some_and(|j| j.version >= version)
            || self.ended.get(&id).is_some_and(|ended| *ended >= version);
        if !known {
            self.jobs.insert(id, LiveJob { record, version });
        }
        !known
    }

    /// The end of a job that this node has stored, known before the watch brings it.
    pub fn committed_end(&mut self, id: &JobId, revision: u64) {
        if revision > self.cursor {
            self.jobs.remove(id);
            self.ended.insert(id.clone(), revision);
        }
    }

    /// A change of this node's own, known before the watch brings it. One that
    /// the watch has brought already may be outdated, so it is passed over. So is one that
    /// comes while everything is read again: the job may be over before the first page.
    pub fn committed_job(&mut self, id: &JobId, record: JobRecord, version: u64) -> bool {
        self.loaded && version > self.cursor && self.add_job(id.clone(), record, version)
    }
}
