//! A simple stand-in for the state service, implemented from the protocol.

use std::{collections::BTreeMap, time::Duration};

use kiteyard::core::store::{Change, Entry, Event, StateReply, StateRequest};
use serde_json::value::RawValue;

/// Page size of lists; small, so that reads of several pages are tested.
const PAGE_SIZE: usize = 7;

#[derive(Clone)]
struct StoredValue {
    value: Box<RawValue>,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires: Duration,
}

/// Write limits from a given time on.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    pub from: Duration,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub changes_per_s: f64,
}

/// Rate limit of changes, with bursts of one second's worth.
#[derive(Default)]
struct Allowance {
    changes: f64,
    refilled: Duration,
}

#[derive(Default)]
pub struct StateStore {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    log: Vec<Event>,
    limits: Option<WriteLimits>,
    allowance: Allowance,
    /// Requests per second, except for waiting watches.
    requests: BTreeMap<u64, u32>,
    rejected: u32,
}

impl StateStore {
    /// Returns the answer, or `None` where a watch has no events yet.
    pub fn call(&mut self, now: Duration, request: &StateRequest) -> Option<StateReply> {
        self.expire_leases(now);
        if !matches!(request, StateRequest::Watch { wait, .. } if !wait.is_zero()) {
            *self.requests.entry(now.as_secs()).or_default() += 1;
        }
        if let Some(reply) = self.check_limits(now, request) {
            return Some(reply);
        }
        Some(match request {
            StateRequest::Get { key } => match self.keys.get(key) {
                Some(found) => StateReply::Entry(entry(key, found)),
                None => StateReply::Missing,
            },
            StateRequest::List { prefix, after } => {
                let all: Vec<Entry> = self
                    .keys
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix.as_str()))
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                    .map(|(key, found)| entry(key, found))
                    .collect();
                let more = all.len() > PAGE_SIZE;
                StateReply::Entries {
                    entries: all.into_iter().take(PAGE_SIZE).collect(),
                    more,
                    revision: self.revision,
                }
            }
            StateRequest::Txn {
                conditions,
                changes,
            } => {
                let expired = changes.iter().any(|change| match change {
                    Change::Put {
                        lease: Some(lease), ..
                    } => !self.leases.contains_key(lease),
                    _ => false,
                });
                let holds = conditions
                    .iter()
                    .all(|c| self.keys.get(&c.key).map_or(0, |k| k.version) == c.version);
                if expired {
                    StateReply::LeaseExpired
                } else if !holds {
                    StateReply::Conflict
                } else {
                    self.revision += 1;
                    for change in changes {
                        self.apply(change);
                    }
                    StateReply::Committed {
                        revision: self.revision,
                    }
                }
            }
            StateRequest::Grant { ttl } => {
                self.next_lease += 1;
                self.leases.insert(
                    self.next_lease,
                    Lease {
                        ttl: *ttl,
                        expires: now + *ttl,
                    },
                );
                StateReply::Granted {
                    lease: self.next_lease,
                }
            }
            StateRequest::Renew { lease } => match self.leases.get_mut(lease) {
                Some(lease) => {
                    lease.expires = now + lease.ttl;
                    StateReply::Renewed
                }
                None => StateReply::LeaseExpired,
            },
            StateRequest::Watch {
                prefix,
                after,
                wait,
            } => {
                let events: Vec<Event> = self
                    .log
                    .iter()
                    .filter(|e| e.revision > *after && e.key.starts_with(prefix.as_str()))
                    .cloned()
                    .collect();
                if events.is_empty() && !wait.is_zero() {
                    return None;
                }
                StateReply::Events {
                    events,
                    revision: self.revision,
                }
            }
        })
    }

    /// Returns the answer to a write that exceeds the limits of size or rate.
    fn check_limits(&mut self, now: Duration, request: &StateRequest) -> Option<StateReply> {
        let limits = self.limits.filter(|limits| now >= limits.from)?;
        let StateRequest::Txn {
            conditions,
            changes,
        } = request
        else {
            return None;
        };
        let is_too_large = |change: &Change| match change {
            Change::Put { value, .. } => value.get().len() > limits.value_bytes,
            Change::Delete { .. } => false,
        };
        let has_too_many_parts =
            changes.len() > limits.txn_ops || conditions.len() > 4 * limits.txn_ops;
        if has_too_many_parts || changes.iter().any(is_too_large) {
            self.rejected += 1;
            return Some(StateReply::Rejected);
        }
        let elapsed = now.saturating_sub(self.allowance.refilled).as_secs_f64();
        self.allowance.refilled = now;
        let changes_now = self.allowance.changes + elapsed * limits.changes_per_s;
        self.allowance.changes = changes_now.min(limits.changes_per_s);
        let wanted = changes.len() as f64;
        if wanted > self.allowance.changes {
            return Some(StateReply::Refused {
                retry_after: None,
                rate_limited: true,
            });
        }
        self.allowance.changes -= wanted;
        None
    }

    /// All entries under a prefix, in key order.
    #[allow(dead_code)] // Unused by the loopback stand-ins.
    pub fn entries(&self, prefix: &str) -> Vec<Entry> {
        let keys = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        keys.map(|(key, found)| entry(key, found)).collect()
    }

    /// Limits writes from a given time on.
    #[allow(dead_code)] // The loopback stand-ins have their own limits.
    pub fn set_limits(&mut self, limits: WriteLimits) {
        self.limits = Some(limits);
    }

    /// Writes that were rejected because of their size.
    #[allow(dead_code)]
    pub fn rejected(&self) -> u32 {
        self.rejected
    }

    /// Highest number of requests in any second from a given time on.
    #[allow(dead_code)]
    pub fn max_requests_per_second(&self, from: Duration) -> u32 {
        let since = self.requests.range(from.as_secs()..);
        since.map(|(_, requests)| *requests).max().unwrap_or(0)
    }

    /// Size of the largest value under a prefix.
    #[allow(dead_code)]
    pub fn largest_value(&self, prefix: &str) -> usize {
        let keys = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        keys.map(|(_, key)| key.value.get().len())
            .max()
            .unwrap_or(0)
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Extends every lease by its full TTL after an outage.
    #[allow(dead_code)] // The loopback stand-ins have no outages.
    pub fn extend_leases(&mut self, now: Duration) {
        for lease in self.leases.values_mut() {
            lease.expires = now + lease.ttl;
        }
    }

    /// Makes all leases permanent, including expired ones.
    #[allow(dead_code)]
    pub fn make_leases_permanent(&mut self) {
        for id in 1..=self.next_lease {
            let (ttl, expires) = (Duration::MAX, Duration::MAX);
            self.leases.insert(id, Lease { ttl, expires });
        }
    }

    pub fn expire_leases(&mut self, now: Duration) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, key)| key.lease == Some(id))
                .map(|(name, _)| name.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.apply(&Change::Delete { key });
            }
        }
    }

    fn apply(&mut self, change: &Change) {
        let (key, value) = match change {
            Change::Put { key, value, lease } => {
                let entry = StoredValue {
                    value: value.clone(),
                    version: self.revision,
                    lease: *lease,
                };
                self.keys.insert(key.clone(), entry);
                (key, Some(value.clone()))
            }
            Change::Delete { key } => {
                if self.keys.remove(key).is_none() {
                    return;
                }
                (key, None)
            }
        };
        self.log.push(Event {
            key: key.clone(),
            value,
            revision: self.revision,
        });
    }
}

fn entry(key: &str, found: &StoredValue) -> Entry {
    Entry {
        key: key.to_owned(),
        value: found.value.clone(),
        version: found.version,
    }
}
