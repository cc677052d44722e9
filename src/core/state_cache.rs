//! A node's cache of the live keys, kept current by watching the state service.
//!
//! The reply to a watch with a zero wait verifies that the cache is as recent as the moment the
//! watch was sent, so one such request serves every poll received before it.

use std::{collections::BTreeMap, sync::Arc};

use kiteyard_maintenance::drain::Drains;
use kiteyard_rollout::generation::{Ability, ClusterGeneration, Orders};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    job::{JobId, JobRecord},
    machine::MachineType,
    partitioned_zones::PartitionedZonesRecord,
    store::{
        CLAIMS_KEY, DRAINS_KEY, Entry, Event, GENERATION_KEY, JOBS_PREFIX, LEADER_KEY,
        MACHINE_TYPES_KEY, NODES_PREFIX, ORDERS_KEY, PARTITIONED_ZONES_KEY, SETTLED_CLAIM_KEY,
        STORED_HEARTBEAT_KEY, job_key,
    },
    stored_heartbeat::StoredHeartbeat,
};

/// Value of the leader key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderRecord {
    pub node: String,
    /// Whether the leader replaced one whose term may not have ended yet.
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
    /// Revision up to which all changes are in the cache.
    pub cursor: u64,
    pub leader: Option<(LeaderRecord, u64)>,
    /// Revision of the last claim by any node.
    pub last_claim: u64,
    /// Revision of the last settled claim.
    pub settled_claim: u64,
    pub machine_types: Option<Arc<Vec<MachineType>>>,
    pub jobs: BTreeMap<JobId, LiveJob>,
    /// Jobs that this node has ended, with the revision of the end, until the cursor reaches it:
    /// an older change that arrives in between must not restore the job.
    ended_jobs: BTreeMap<JobId, u64>,
    /// Generation of the stored records, and the revision of its key; 0 if the key is missing.
    pub generation: (ClusterGeneration, u64),
    pub orders: (Orders, u64),
    /// Partitioned zones, and the revision of the key; 0 if the key is missing.
    pub partitioned_zones: (PartitionedZonesRecord, u64),
    /// Machines to be drained, and the revision of the key; 0 if the key is missing.
    pub drains: (Drains, u64),
    /// Abilities announced by each node's process, and the revision of the record. `None` if
    /// this build can't parse the record.
    pub nodes: BTreeMap<String, (Option<Ability>, u64)>,
    /// Keys whose values can't be parsed, with their revisions. Such a key must not be treated
    /// as missing, since its content is unknown.
    pub unreadable: BTreeMap<String, u64>,
}

/// Change of the cache that the node reacts to.
#[derive(Debug, PartialEq)]
pub enum StateChange {
    JobAdded(JobId),
    JobRemoved(JobId),
    LeaderKey,
    MachineTypes,
    Generation,
    StoredHeartbeat(StoredHeartbeat),
}

impl StateCache {
    /// Returns whether the job's stored record can't be parsed.
    pub fn is_unreadable(&self, id: &JobId) -> bool {
        !self.unreadable.is_empty() && self.unreadable.contains_key(&job_key(id))
    }

    /// Returns whether the leader replaced one that may still act.
    pub fn has_unsettled_claim(&self) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|(record, version)| record.superseded && self.settled_claim != *version)
    }

    pub fn apply_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.apply(&Event {
                key: entry.key,
                value: Some(entry.value),
                revision: entry.version,
            });
        }
    }

    /// Applies the events of a watch and skips those already seen.
    pub fn apply_events(&mut self, events: &[Event], revision: u64) -> Vec<StateChange> {
        let mut changes = Vec::new();
        let cursor = self.cursor;
        for event in events.iter().filter(|e| e.revision > cursor) {
            changes.extend(self.apply(event));
        }
        self.cursor = self.cursor.max(revision);
        let cursor = self.cursor;
        self.ended_jobs.retain(|_, ended| *ended > cursor);
        changes
    }

    /// Parses the new value of a key. Returns `None` if the key was deleted, or if its value
    /// can't be parsed, in which case the key is recorded as unreadable.
    fn parse_value<T: DeserializeOwned>(&mut self, event: &Event) -> Option<T> {
        let value = event.value.as_ref();
        let parsed = value.map(|value| serde_json::from_str(value.get()));
        match parsed {
            Some(Err(_)) => {
                self.unreadable.insert(event.key.clone(), event.revision);
                None
            }
            parsed => {
                self.unreadable.remove(&event.key);
                parsed.and_then(Result::ok)
            }
        }
    }

    fn apply(&mut self, event: &Event) -> Option<StateChange> {
        let revision = event.revision;
        match event.key.as_str() {
            LEADER_KEY => {
                self.leader = self.parse_value(event).map(|record| (record, revision));
                return Some(StateChange::LeaderKey);
            }
            CLAIMS_KEY => self.last_claim = if event.value.is_some() { revision } else { 0 },
            // An unreadable value leaves the claim unsettled, which is the safe side.
            SETTLED_CLAIM_KEY => self.settled_claim = self.parse_value(event).unwrap_or_default(),
            MACHINE_TYPES_KEY => {
                self.machine_types = self.parse_value(event).map(Arc::new);
                return Some(StateChange::MachineTypes);
            }
            GENERATION_KEY => {
                let exists = event.value.is_some();
                let cluster = self.parse_value(event).filter(ClusterGeneration::is_valid);
                if exists && cluster.is_none() {
                    self.unreadable.insert(event.key.clone(), revision);
                }
                let revision = if exists { revision } else { 0 };
                self.generation = (cluster.unwrap_or_default(), revision);
                return Some(StateChange::Generation);
            }
            ORDERS_KEY => {
                let revision = if event.value.is_some() { revision } else { 0 };
                self.orders = (self.parse_value(event).unwrap_or_default(), revision);
            }
            PARTITIONED_ZONES_KEY => {
                let revision = if event.value.is_some() { revision } else { 0 };
                self.partitioned_zones = (self.parse_value(event).unwrap_or_default(), revision);
            }
            DRAINS_KEY => {
                let revision = if event.value.is_some() { revision } else { 0 };
                self.drains = (self.parse_value(event).unwrap_or_default(), revision);
            }
            // No other stored record depends on this key, so an unreadable value is ignored.
            STORED_HEARTBEAT_KEY => {
                let stored_heartbeat = event.value.as_ref()?;
                return serde_json::from_str(stored_heartbeat.get())
                    .ok()
                    .map(StateChange::StoredHeartbeat);
            }
            key => match key.strip_prefix(NODES_PREFIX) {
                Some(node) => self.update_node(node.to_owned(), event),
                None => return self.apply_job(event),
            },
        }
        None
    }

    fn update_node(&mut self, node: String, event: &Event) {
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
        let id = JobId::parse(event.key.strip_prefix(JOBS_PREFIX)?)?;
        match self.parse_value(event) {
            Some(record) => self
                .add_job(id.clone(), record, event.revision)
                .then_some(StateChange::JobAdded(id)),
            // The record is unreadable, so the cached one may be outdated.
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
            || self
                .ended_jobs
                .get(&id)
                .is_some_and(|ended| *ended >= version);
        if !known {
            self.jobs.insert(id, LiveJob { record, version });
        }
        !known
    }

    /// Applies the end of a job that this node has stored, before the watch delivers it.
    pub fn job_end_committed(&mut self, id: &JobId, revision: u64) {
        if revision > self.cursor {
            self.jobs.remove(id);
            self.ended_jobs.insert(id.clone(), revision);
        }
    }

    /// Applies a job record that this node has stored, before the watch delivers it. Skips a
    /// record that the watch has already delivered, since it may be outdated. Also skips any
    /// record during a reload: the job may have ended before the first page was listed.
    pub fn job_committed(&mut self, id: &JobId, record: JobRecord, version: u64) -> bool {
        self.loaded && version > self.cursor && self.add_job(id.clone(), record, version)
    }
}
