//! What the core asks of the state service, what it hears back, and the keys it uses.

use std::time::Duration;

use serde::Serialize;
use serde_json::value::RawValue;

use super::{job::JobId, results::ChunkPart};

/// Everything a follower has to keep in sight: the leader, machine types and active jobs.
pub const LIVE: &str = "live/";
pub const LEADER: &str = "live/leader";
/// Changed by each claim, and by nothing else: the leader key comes and goes, so its absence
/// alone does not tell a claim that is applied late that others have led meanwhile.
pub const CLAIMS: &str = "live/claims";
/// The last claim whose holder knows that whoever led before has stopped acting.
pub const SETTLED: &str = "live/settled";
pub const TYPES: &str = "live/types";
/// The generation of the stored forms, and what operators want of it.
pub const GENERATION: &str = "live/generation";
pub const ORDERS: &str = "live/orders";
/// Machines that operators want emptied.
pub const DRAINS: &str = "live/drains";
/// Zones that are partitioned, and since when nobody there was answered.
pub const PARTITIONED: &str = "live/apart";
/// The leader's last heartbeat, while some node may not hear it.
pub const STORED_HEARTBEAT: &str = "live/sign";
/// What each node's process is able to.
pub const NODES: &str = "live/node/";
pub const JOBS: &str = "live/job/";
/// Terminal states of jobs, one a key, and packed by range.
pub const TERMINAL_STATES: &str = "final/";
pub const TERMINAL_RANGES: &str = "ends/";
pub const PROGRESS: &str = "progress/";
pub const ASSIGNMENTS: &str = "roster/";

pub fn job_key(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

pub fn terminal_key(id: &JobId) -> String {
    format!("{TERMINAL_STATES}{id}")
}

pub fn node_key(node: &str) -> String {
    format!("{NODES}{node}")
}

pub fn progress_key(id: &JobId, part: ChunkPart) -> String {
    format!("{PROGRESS}{id}/{}", part.name())
}

pub fn shard_key(shard: u32) -> String {
    format!("{ASSIGNMENTS}{shard}")
}

#[derive(Debug, Clone, PartialEq)]
pub struct Condition {
    pub key: String,
    /// Revision of the key's last change; 0: the key does not exist.
    pub version: u64,
}

pub fn when(key: impl Into<String>, version: u64) -> Condition {
    Condition {
        key: key.into(),
        version,
    }
}

#[derive(Debug, Clone)]
pub enum Change {
    Put {
        key: String,
        value: Box<RawValue>,
        lease: Option<u64>,
    },
    Delete {
        key: String,
    },
}

/// Bytes that a value takes.
pub fn encoded_len(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX, |text| text.len())
}

pub fn put(key: impl Into<String>, value: &impl Serialize) -> Change {
    put_leased(key, value, None)
}

pub fn put_leased(key: impl Into<String>, value: &impl Serialize, lease: Option<u64>) -> Change {
    Change::Put {
        key: key.into(),
        value: serde_json::value::to_raw_value(value).unwrap_or_default(),
        lease,
    }
}

pub fn delete(key: impl Into<String>) -> Change {
    Change::Delete { key: key.into() }
}

#[derive(Debug, Clone)]
pub enum StateRequest {
    Get {
        key: String,
    },
    List {
        prefix: String,
        after: Option<String>,
    },
    Txn {
        conditions: Vec<Condition>,
        changes: Vec<Change>,
    },
    Grant {
        ttl: Duration,
    },
    Renew {
        lease: u64,
    },
    Watch {
        prefix: String,
        after: u64,
        wait: Duration,
    },
}

#[derive(Debug, Clone)]
pub struct Entry {
    pub key: String,
    pub value: Box<RawValue>,
    pub version: u64,
}

#[derive(Debug, Clone)]
pub struct Event {
    pub key: String,
    /// The new value, or none where the key was removed.
    pub value: Option<Box<RawValue>>,
    pub revision: u64,
}

#[derive(Debug, Clone)]
pub enum StateReply {
    Entry(Entry),
    Missing,
    Entries {
        entries: Vec<Entry>,
        more: bool,
        revision: u64,
    },
    Committed {
        revision: u64,
    },
    Conflict,
    Granted {
        lease: u64,
    },
    Renewed,
    LeaseGone,
    Events {
        events: Vec<Event>,
        revision: u64,
    },
    TooOld,
    /// Not executed, and the same request never will be: it is larger than the service takes
    /// now, or malformed.
    Rejected,
    /// Not executed: over a limit of requests, or in an outage.
    Refused {
        retry: Option<Duration>,
        limited: bool,
    },
    /// No answer: the request may have been executed, or may be later.
    Unclear,
}
