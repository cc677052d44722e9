//! A node's copy of the live keys, kept current by watching the state service.
//!
//! A watch that does not wait proves the copy as new as the moment it was sent,
//! so one such request serves every poll that came before it.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{
    job::{JobId, JobRecord},
    machine::MachineType,
    store::{Entry, Event, JOBS, LEADER, SETTLED, TYPES},
};

/// Who leads, in the leader key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// It took the place of one that may act for another term.
    #[serde(default)]
    pub superseded: bool,
}

#[derive(Debug, Clone)]
pub struct LiveJob {
    pub record: JobRecord,
    pub version: u64,
}

#[derive(Debug, Default)]
pub struct Mirror {
    pub loaded: bool,
    /// Every change up to this revision is in the copy.
    pub cursor: u64,
    pub leader: Option<(LeaderRecord, u64)>,
    /// The last claim that is settled.
    pub settled: u64,
    pub types: Option<Arc<Vec<MachineType>>>,
    pub jobs: BTreeMap<JobId, LiveJob>,
}

/// What a change means to the node.
#[derive(Debug, PartialEq)]
pub enum Noticed {
    JobAdded(JobId),
    JobRemoved(JobId),
    Leader,
    Types,
}

impl Mirror {
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
    pub fn advance(&mut self, events: &[Event], revision: u64) -> Vec<Noticed> {
        let mut noticed = Vec::new();
        let cursor = self.cursor;
        for event in events.iter().filter(|e| e.revision > cursor) {
            noticed.extend(self.apply(event));
        }
        self.cursor = self.cursor.max(revision);
        noticed
    }

    fn apply(&mut self, event: &Event) -> Option<Noticed> {
        let value = event.value.as_ref().map(|v| v.get());
        if event.key == LEADER {
            self.leader = value
                .and_then(|v| serde_json::from_str(v).ok())
                .map(|record| (record, event.revision));
            return Some(Noticed::Leader);
        }
        if event.key == SETTLED {
            self.settled = value
                .and_then(|v| serde_json::from_str(v).ok())
                .unwrap_or_default();
            return None;
        }
        if event.key == TYPES {
            self.types = value
                .and_then(|v| serde_json::from_str(v).ok())
                .map(Arc::new);
            return Some(Noticed::Types);
        }
        let id = JobId::parse(event.key.strip_prefix(JOBS)?)?;
        match value {
            Some(value) => {
                let record = serde_json::from_str(value).ok()?;
                self.add_job(id.clone(), record, event.revision)
                    .then_some(Noticed::JobAdded(id))
            }
            None => self
                .jobs
                .remove(&id)
                .is_some()
                .then_some(Noticed::JobRemoved(id)),
        }
    }

    fn add_job(&mut self, id: JobId, record: JobRecord, version: u64) -> bool {
        let known = self.jobs.get(&id).is_some_and(|j| j.version >= version);
        if !known {
            self.jobs.insert(id, LiveJob { record, version });
        }
        !known
    }

    /// A change of this node's own, known before the watch brings it. One that
    /// the watch has brought already may be outdated, so it is passed over.
    pub fn committed_job(&mut self, id: &JobId, record: JobRecord, version: u64) -> bool {
        version > self.cursor && self.add_job(id.clone(), record, version)
    }
}
