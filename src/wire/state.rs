//! Messages of the state service API.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::core::store::{Change, Condition, Entry, Event, StateReply, StateRequest};

#[derive(Debug, Serialize)]
struct Txn<'a> {
    when: Vec<When<'a>>,
    apply: Vec<Apply<'a>>,
}

#[derive(Debug, Serialize)]
struct When<'a> {
    key: &'a str,
    mark: u64,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Apply<'a> {
    Set {
        set: &'a str,
        data: &'a RawValue,
        #[serde(skip_serializing_if = "Option::is_none")]
        tether: Option<u64>,
    },
    Delete {
        delete: &'a str,
    },
}

#[derive(Debug, Deserialize)]
struct Item {
    key: String,
    data: Box<RawValue>,
    mark: u64,
}

#[derive(Debug, Deserialize)]
struct Items {
    items: Vec<Item>,
    #[serde(default)]
    more: bool,
    logline: u64,
}

#[derive(Debug, Deserialize)]
struct Revision {
    logline: u64,
}

#[derive(Debug, Deserialize)]
struct Lease {
    tether: u64,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: String,
}

/// Error of a transaction that attaches a key to a lease that has expired.
const NO_SUCH_LEASE: &str = "no such lease";

#[derive(Debug, Deserialize)]
struct Watched {
    logline: u64,
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Debug, Deserialize)]
struct WatchEvent {
    set: Option<String>,
    delete: Option<String>,
    data: Option<Box<RawValue>>,
    mark: u64,
}

/// Returns the method, path and body of a request.
pub fn encode(request: &StateRequest) -> (http::Method, String, Option<String>) {
    use http::Method;
    match request {
        StateRequest::Get { key } => (Method::GET, format!("/kv/{key}"), None),
        StateRequest::List { prefix, after } => {
            let mut path = format!("/kv?prefix={prefix}&page=500");
            if let Some(after) = after {
                path.push_str("&after=");
                path.push_str(after);
            }
            (Method::GET, path, None)
        }
        StateRequest::Txn {
            conditions,
            changes,
        } => {
            let txn = Txn {
                when: conditions.iter().map(when).collect(),
                apply: changes.iter().map(apply).collect(),
            };
            let body = serde_json::to_string(&txn).unwrap_or_default();
            (Method::POST, "/txn".into(), Some(body))
        }
        StateRequest::Grant { ttl } => {
            let body = serde_json::json!({ "ttl_ms": ttl.as_millis() as u64 }).to_string();
            (Method::POST, "/holds".into(), Some(body))
        }
        StateRequest::Renew { lease } => (Method::POST, format!("/holds/{lease}/renew"), None),
        StateRequest::Watch {
            prefix,
            after,
            wait,
        } => {
            let wait_ms = wait.as_millis();
            let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
            (Method::GET, path, None)
        }
    }
}

fn when(condition: &Condition) -> When<'_> {
    When {
        key: &condition.key,
        mark: condition.version,
    }
}

fn apply(change: &Change) -> Apply<'_> {
    match change {
        Change::Put { key, value, lease } => Apply::Set {
            set: key,
            data: value,
            tether: *lease,
        },
        Change::Delete { key } => Apply::Delete { delete: key },
    }
}

/// Decodes a response. One that can't be decoded counts as an unclear outcome.
pub fn decode(
    request: &StateRequest,
    status: u16,
    retry_after: Option<Duration>,
    body: &[u8],
) -> StateReply {
    match (status, request) {
        (429 | 503, _) => StateReply::Refused {
            retry_after,
            rate_limited: status == 429,
        },
        (200, request) => decode_ok(request, body).unwrap_or(StateReply::Unclear),
        (404, StateRequest::Get { .. }) => StateReply::Missing,
        (404, StateRequest::Renew { .. }) => StateReply::LeaseExpired,
        (409, StateRequest::Txn { .. }) => StateReply::Conflict,
        (400, request) if puts_under_lease(request) && is_lease_error(body) => {
            StateReply::LeaseExpired
        }
        (400, _) => StateReply::Rejected,
        (410, StateRequest::Watch { .. }) => StateReply::TooOld,
        _ => StateReply::Unclear,
    }
}

/// Returns whether a request puts a key under a lease, and so can fail for an expired one.
fn puts_under_lease(request: &StateRequest) -> bool {
    let leased = |change: &Change| matches!(change, Change::Put { lease: Some(_), .. });
    matches!(request, StateRequest::Txn { changes, .. } if changes.iter().any(leased))
}

/// Returns whether the body reports an expired lease. Other errors concern the request.
fn is_lease_error(body: &[u8]) -> bool {
    let error: Result<ErrorBody, _> = serde_json::from_slice(body);
    error.is_ok_and(|body| body.error == NO_SUCH_LEASE)
}

fn decode_ok(request: &StateRequest, body: &[u8]) -> Option<StateReply> {
    Some(match request {
        StateRequest::Get { .. } => {
            let item: Item = serde_json::from_slice(body).ok()?;
            StateReply::Entry(entry(item))
        }
        StateRequest::List { .. } => {
            let items: Items = serde_json::from_slice(body).ok()?;
            StateReply::Entries {
                entries: items.items.into_iter().map(entry).collect(),
                more: items.more,
                revision: items.logline,
            }
        }
        StateRequest::Txn { .. } => {
            let revision: Revision = serde_json::from_slice(body).ok()?;
            StateReply::Committed {
                revision: revision.logline,
            }
        }
        StateRequest::Grant { .. } => {
            let lease: Lease = serde_json::from_slice(body).ok()?;
            StateReply::Granted {
                lease: lease.tether,
            }
        }
        StateRequest::Renew { .. } => StateReply::Renewed,
        StateRequest::Watch { .. } => {
            let watched: Watched = serde_json::from_slice(body).ok()?;
            let mut events = Vec::with_capacity(watched.events.len());
            for event in watched.events {
                events.push(match (event.set, event.delete) {
                    (Some(key), None) => Event {
                        key,
                        value: Some(event.data?),
                        revision: event.mark,
                    },
                    (None, Some(key)) => Event {
                        key,
                        value: None,
                        revision: event.mark,
                    },
                    _ => return None,
                });
            }
            StateReply::Events {
                events,
                revision: watched.logline,
            }
        }
    })
}

fn entry(item: Item) -> Entry {
    Entry {
        key: item.key,
        value: item.data,
        version: item.mark,
    }
}
