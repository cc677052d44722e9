//! Requests to the state service, its replies, and the keys in use.

use std::time::Duration;

use serde::Serialize;
use serde_json::value::RawValue;

use super::{job::JobId, results::ChunkPart};

/// Key prefix of everything a follower watches, such as the leader, machine types and active jobs.
pub const LIVE_PREFIX: &str = "live/";
pub const LEADER_KEY: &str = "live/leader";
/// Key changed by each claim and by nothing else. The leader key expires, so a claim that is
/// applied late can't conclude from its absence that no other node has led in between.
pub const CLAIMS_KEY: &str = "live/claims";
/// Key of the last claim whose holder knows that the previous leader has stopped acting.
pub const SETTLED_CLAIM_KEY: &str = "live/settled";
pub const MACHINE_TYPES_KEY: &str = "live/types";
/// Key of the generation of the stored records.
pub const GENERATION_KEY: &str = "live/generation";
/// Key of the operators' orders about the generation.
pub const ORDERS_KEY: &str = "live/orders";
/// Key of the machines that operators want drained.
pub const DRAINS_KEY: &str = "live/drains";
/// Key of the partitioned zones, with the time of the last answer to a worker of each.
pub const PARTITIONED_ZONES_KEY: &str = "live/apart";
/// Key of the leader's last heartbeat, stored while some node may not receive heartbeats.
pub const STORED_HEARTBEAT_KEY: &str = "live/sign";
/// Key prefix of the abilities of each node's process.
pub const NODES_PREFIX: &str = "live/node/";
pub const JOBS_PREFIX: &str = "live/job/";
/// Key prefix of terminal states stored one job per key.
pub const TERMINAL_STATES_PREFIX: &str = "final/";
/// Key prefix of terminal states packed by range.
pub const TERMINAL_RANGES_PREFIX: &str = "ends/";
pub const PROGRESS_PREFIX: &str = "progress/";
pub const ASSIGNMENTS_PREFIX: &str = "roster/";

pub fn job_key(id: &JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

pub fn terminal_key(id: &JobId) -> String {
    format!("{TERMINAL_STATES_PREFIX}{id}")
}

pub fn node_key(node: &str) -> String {
    format!("{NODES_PREFIX}{node}")
}

pub fn progress_key(id: &JobId, part: ChunkPart) -> String {
    format!("{PROGRESS_PREFIX}{id}/{}", part.name())
}

pub fn shard_key(shard: u32) -> String {
    format!("{ASSIGNMENTS_PREFIX}{shard}")
}

#[derive(Debug, Clone, PartialEq)]
pub struct Condition {
    pub key: String,
    /// Revision of the key's last change; 0 if the key must not exist.
    pub version: u64,
}

pub fn if_version(key: impl Into<String>, version: u64) -> Condition {
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

/// Returns the size of the encoded value in bytes.
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
    /// New value, or `None` if the key was deleted.
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
    LeaseExpired,
    Events {
        events: Vec<Event>,
        revision: u64,
    },
    TooOld,
    /// Not executed, and retrying the same request won't help: it exceeds the service's present
    /// size limits or is malformed.
    Rejected,
    /// Not executed because of a rate limit or an outage.
    Refused {
        retry_after: Option<Duration>,
        rate_limited: bool,
    },
    /// No reply: the request may have been executed, or may still be.
    Unclear,
}
