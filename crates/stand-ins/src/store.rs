//! Store of the state service, without I/O: keys with revisions, transactions, leases, and a
//! log of recent changes for watches.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    time::Duration,
};

use serde_json::value::RawValue;

/// Number of changes kept for watches.
const MAX_LOG_EVENTS: usize = 10_000;
/// Items and bytes in one page of a list.
const MAX_PAGE_ITEMS: usize = 1_000;
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// Key with its value and the revision of its last change.
#[derive(Debug, Clone)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Box<RawValue>,
    /// Revision of the last change of the key.
    pub revision: u64,
    /// Lease that the key is attached to.
    pub lease: Option<u64>,
}

/// Change of a key as watches return it.
#[derive(Debug, Clone)]
pub struct Event {
    /// Key.
    pub key: String,
    /// New value, or `None` if the key was deleted.
    pub value: Option<Box<RawValue>>,
    /// Revision of the change.
    pub revision: u64,
}

/// Change in a transaction.
#[derive(Debug, Clone)]
pub enum Change {
    /// Sets a key.
    Put {
        /// Key.
        key: String,
        /// New value.
        value: Box<RawValue>,
        /// Lease to attach the key to; `None` detaches it.
        lease: Option<u64>,
    },
    /// Deletes a key, if it exists.
    Delete {
        /// Key.
        key: String,
    },
}

/// Required revision of a key; 0 requires that the key does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Required revision.
    pub revision: u64,
}

/// Reason why a transaction changed nothing.
#[derive(Debug, PartialEq, Eq)]
pub enum TxnError {
    /// Keys whose condition did not hold.
    Conflict(Vec<String>),
    /// A put names a lease that does not exist.
    NoSuchLease,
}

/// Page of a list.
#[derive(Debug)]
pub struct Page {
    /// Items, in the order of their keys.
    pub items: Vec<Item>,
    /// Whether there are more items after these.
    pub more: bool,
}

#[derive(Debug)]
struct Stored {
    value: Box<RawValue>,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
    keys: BTreeSet<String>,
}

/// Keys with revisions, leases and a log of changes.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    log: VecDeque<Event>,
    /// Revision of the last change that was removed from the log.
    compacted_revision: u64,
}

impl Store {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the size of all keys and values, in bytes.
    pub fn bytes(&self) -> usize {
        let sizes = self
            .keys
            .iter()
            .map(|(key, stored)| key.len() + stored.value.get().len());
        sizes.sum()
    }

    /// Returns the size of the largest value, in bytes.
    pub fn largest_value(&self) -> usize {
        let sizes = self.keys.values().map(|stored| stored.value.get().len());
        sizes.max().unwrap_or(0)
    }

    /// Returns a key with its value.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.keys.get(key).map(|stored| item(key, stored))
    }

    /// Returns keys with the prefix, in order, from the one after `after`.
    pub fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Page {
        let from = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let range = self.keys.range::<str, _>((from, Bound::Unbounded));
        let mut page = Page {
            items: Vec::new(),
            more: false,
        };
        let mut bytes = 0;
        for (key, stored) in range.take_while(|(key, _)| key.starts_with(prefix)) {
            bytes += key.len() + stored.value.get().len();
            if page.items.len() >= limit.min(MAX_PAGE_ITEMS) || bytes > MAX_PAGE_BYTES {
                page.more = true;
                break;
            }
            page.items.push(item(key, stored));
        }
        page
    }

    /// Applies all changes or none, and returns the new revision.
    pub fn transact(
        &mut self,
        conditions: &[Condition],
        changes: Vec<Change>,
    ) -> Result<u64, TxnError> {
        let lease_missing = changes.iter().any(|change| match change {
            Change::Put { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Change::Delete { .. } => false,
        });
        if lease_missing {
            return Err(TxnError::NoSuchLease);
        }
        let failed: Vec<String> = conditions
            .iter()
            .filter(|condition| self.revision_of(&condition.key) != condition.revision)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(TxnError::Conflict(failed));
        }
        if !changes.is_empty() {
            self.revision += 1;
        }
        for change in changes {
            self.apply(change);
        }
        Ok(self.revision)
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.revision)
    }

    fn apply(&mut self, change: Change) {
        let (key, value) = match change {
            Change::Put { key, value, lease } => {
                self.detach_from_lease(&key);
                if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
                    lease.keys.insert(key.clone());
                }
                let stored = Stored {
                    value: value.clone(),
                    revision: self.revision,
                    lease,
                };
                self.keys.insert(key.clone(), stored);
                (key, Some(value))
            }
            Change::Delete { key } => {
                self.detach_from_lease(&key);
                if self.keys.remove(&key).is_none() {
                    return;
                }
                (key, None)
            }
        };
        self.log.push_back(Event {
            key,
            value,
            revision: self.revision,
        });
        while self.log.len() > MAX_LOG_EVENTS {
            if let Some(event) = self.log.pop_front() {
                self.compacted_revision = event.revision;
            }
        }
    }

    fn detach_from_lease(&mut self, key: &str) {
        let lease = self.keys.get(key).and_then(|stored| stored.lease);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, now: Duration, ttl: Duration) -> u64 {
        self.next_lease += 1;
        let lease = Lease {
            ttl,
            expires_at: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Renews a lease; returns false if it no longer exists.
    pub fn renew(&mut self, now: Duration, id: u64) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Renews all leases, as after an outage.
    pub fn renew_all(&mut self, now: Duration) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
    }

    /// Ends expired leases; returns true if keys were deleted with them.
    pub fn expire(&mut self, now: Duration) -> bool {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        let before = self.revision;
        for id in expired {
            self.end_lease(id);
        }
        self.revision > before
    }

    /// Ends a lease and deletes the keys attached to it.
    pub fn end_lease(&mut self, id: u64) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        if !lease.keys.is_empty() {
            self.revision += 1;
        }
        for key in lease.keys {
            self.apply(Change::Delete { key });
        }
    }

    /// Returns changes of keys with the prefix after a revision, or `None` if the log no longer
    /// contains all of them.
    pub fn events(&self, prefix: &str, after: u64) -> Option<Vec<Event>> {
        if after < self.compacted_revision {
            return None;
        }
        let from = self.log.partition_point(|event| event.revision <= after);
        let events = self
            .log
            .range(from..)
            .filter(|event| event.key.starts_with(prefix));
        Some(events.cloned().collect())
    }
}

fn item(key: &str, stored: &Stored) -> Item {
    Item {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
        lease: stored.lease,
    }
}
