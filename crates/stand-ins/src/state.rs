//! HTTP interface of the state service, with limits, latency and outages.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::{net::TcpListener, sync::Notify};

use crate::{
    availability::Availability,
    http::{IncomingRequest, Reply, Traffic, serve},
    rate_limit::RateLimit,
    store::{Change, Condition, Event, Item, Store, TxnError},
};

/// Interval between checks for expired leases and for the end of an outage.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
const MAX_WATCH_WAIT_MS: u64 = 60_000;
const DEFAULT_PAGE_ITEMS: usize = 1_000;
const ALLOWED_TTL_MS: std::ops::RangeInclusive<u64> = 100..=600_000;
const MAX_TXN_BYTES: usize = 64 * 1024;

/// Limits, latency and outages of the service.
#[derive(Debug, Clone)]
pub struct StateSettings {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction.
    pub txn_ops: usize,
    /// Lower limits that take effect later, without notice.
    pub lowered: Option<LoweredLimits>,
    /// Latency and outages.
    pub availability: Availability,
}

/// Limits of writes that take effect some time after the start.
#[derive(Debug, Clone, Copy)]
pub struct LoweredLimits {
    /// Time after the start at which they take effect.
    pub after: Duration,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction.
    pub txn_ops: usize,
}

impl StateSettings {
    fn lowered_at(&self, now: Duration) -> Option<LoweredLimits> {
        self.lowered.filter(|limits| now >= limits.after)
    }
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateCounts {
    /// Requests of any kind.
    pub requests: u64,
    /// Transactions that the limits admitted.
    pub transactions: u64,
    /// Transactions that failed on a condition.
    pub conflicts: u64,
    /// Puts and deletes in those transactions.
    pub changes: u64,
    /// Watches.
    pub watches: u64,
    /// Renewals of leases.
    pub renewals: u64,
    /// Requests refused by the rate limit of requests.
    pub refused_requests: u64,
    /// Puts and deletes refused by the rate limit of changes.
    pub refused_changes: u64,
    /// Requests refused by an outage.
    pub outage_answers: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
}

/// Size of the stored data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Number of keys.
    pub keys: usize,
    /// Bytes of keys and values.
    pub bytes: usize,
    /// Bytes of the largest value.
    pub largest_value: usize,
}

#[derive(Default)]
struct Counters {
    requests: AtomicU64,
    transactions: AtomicU64,
    conflicts: AtomicU64,
    changes: AtomicU64,
    watches: AtomicU64,
    renewals: AtomicU64,
    refused_requests: AtomicU64,
    refused_changes: AtomicU64,
    outage_answers: AtomicU64,
}

struct Inner {
    store: Store,
    requests: RateLimit,
    changes: RateLimit,
}

/// A running state service.
#[derive(Clone)]
pub struct StateService {
    shared: Arc<Shared>,
}

struct Shared {
    settings: StateSettings,
    inner: Mutex<Inner>,
    changed: Notify,
    counters: Counters,
    traffic: Arc<Traffic>,
    started_at: Instant,
}

#[derive(Deserialize)]
struct WireTxn {
    #[serde(default)]
    when: Vec<WireCondition>,
    #[serde(default)]
    apply: Vec<WireChange>,
}

#[derive(Deserialize)]
struct WireCondition {
    key: String,
    mark: u64,
}

#[derive(Deserialize)]
struct WireChange {
    set: Option<String>,
    data: Option<Box<RawValue>>,
    tether: Option<u64>,
    delete: Option<String>,
}

impl WireChange {
    fn change(self) -> Option<Change> {
        match (self.set, self.delete) {
            (Some(key), None) => Some(Change::Put {
                key,
                value: self.data?,
                lease: self.tether,
            }),
            (None, Some(key)) => Some(Change::Delete { key }),
            _ => None,
        }
    }
}

#[derive(Deserialize)]
struct WireGrant {
    ttl_ms: u64,
}

#[derive(Serialize)]
struct WireItem<'a> {
    key: &'a str,
    data: &'a RawValue,
    mark: u64,
    tether: Option<u64>,
}

#[derive(Serialize)]
struct WirePage<'a> {
    items: Vec<WireItem<'a>>,
    more: bool,
    logline: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum WireEvent<'a> {
    Set {
        set: &'a str,
        data: &'a RawValue,
        mark: u64,
    },
    Delete {
        delete: &'a str,
        mark: u64,
    },
}

#[derive(Serialize)]
struct WireEvents<'a> {
    logline: u64,
    events: Vec<WireEvent<'a>>,
}

#[derive(Serialize)]
struct WireConflict<'a> {
    failed: &'a [String],
    logline: u64,
}

fn wire_item(item: &Item) -> WireItem<'_> {
    WireItem {
        key: &item.key,
        data: &item.value,
        mark: item.revision,
        tether: item.lease,
    }
}

fn wire_event(event: &Event) -> WireEvent<'_> {
    match &event.value {
        Some(data) => WireEvent::Set {
            set: &event.key,
            data,
            mark: event.revision,
        },
        None => WireEvent::Delete {
            delete: &event.key,
            mark: event.revision,
        },
    }
}

fn revision_body(revision: u64) -> String {
    format!("{{\"logline\":{revision}}}")
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

impl StateService {
    /// Starts serving on a free loopback port.
    pub async fn start(settings: StateSettings) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inner = Inner {
            store: Store::default(),
            requests: RateLimit::new(settings.rps, settings.rps),
            changes: RateLimit::new(settings.write_rps, settings.write_rps),
        };
        let service = Self {
            shared: Arc::new(Shared {
                settings,
                inner: Mutex::new(inner),
                changed: Notify::new(),
                counters: Counters::default(),
                traffic: Arc::default(),
                started_at: Instant::now(),
            }),
        };
        tokio::spawn(service.clone().expire_leases());
        let handler = service.clone();
        let traffic = service.shared.traffic.clone();
        tokio::spawn(serve(listener, traffic, move |request| {
            handler.clone().handle(request)
        }));
        Ok((service, address))
    }

    /// Returns the counters.
    pub fn counts(&self) -> StateCounts {
        let counters = &self.shared.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StateCounts {
            requests: read(&counters.requests),
            transactions: read(&counters.transactions),
            conflicts: read(&counters.conflicts),
            changes: read(&counters.changes),
            watches: read(&counters.watches),
            renewals: read(&counters.renewals),
            refused_requests: read(&counters.refused_requests),
            refused_changes: read(&counters.refused_changes),
            outage_answers: read(&counters.outage_answers),
            bytes_received: self.shared.traffic.received(),
            bytes_sent: self.shared.traffic.sent(),
        }
    }

    /// Returns the size of the stored data.
    pub fn size(&self) -> StateSize {
        let inner = self.inner();
        StateSize {
            keys: inner.store.len(),
            bytes: inner.store.bytes(),
            largest_value: inner.store.largest_value(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.shared
            .inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.shared.started_at.elapsed()
    }

    fn in_outage(&self) -> bool {
        self.shared.settings.availability.in_outage(self.now())
    }

    async fn expire_leases(self) {
        let mut was_in_outage = false;
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let in_outage = self.in_outage();
            let now = self.now();
            if was_in_outage && !in_outage {
                self.inner().store.renew_all(now);
            }
            if !in_outage && self.inner().store.expire(now) {
                self.shared.changed.notify_waiters();
            }
            was_in_outage = in_outage;
        }
    }

    async fn handle(self, request: IncomingRequest) -> Reply {
        let counters = &self.shared.counters;
        add(&counters.requests, 1);
        tokio::time::sleep(self.shared.settings.availability.latency).await;
        if self.in_outage() {
            add(&counters.outage_answers, 1);
            return Reply::new(503, r#"{"error":"unavailable"}"#);
        }
        let now = self.now();
        if !self.inner().requests.admit(now, 1.0) {
            add(&counters.refused_requests, 1);
            return Reply::too_many_requests();
        }
        let path = request.path.as_str();
        match (&request.method, path) {
            (&Method::GET, "/kv") => self.list(&request),
            (&Method::GET, "/watch") => self.watch(&request).await,
            (&Method::POST, "/txn") => self.transact(&request),
            (&Method::POST, "/holds") => self.grant(&request),
            _ => match (path.strip_prefix("/kv/"), path.strip_prefix("/holds/")) {
                (Some(key), _) if request.method == Method::GET => self.get(key),
                (_, Some(lease)) => self.handle_lease(&request.method, lease),
                _ => Reply::malformed(),
            },
        }
    }

    fn get(&self, key: &str) -> Reply {
        let inner = self.inner();
        match inner.store.get(key) {
            Some(item) => Reply::json(200, &wire_item(&item)),
            None => Reply::new(404, revision_body(inner.store.revision())),
        }
    }

    fn list(&self, request: &IncomingRequest) -> Reply {
        let Some(prefix) = request.query("prefix") else {
            return Reply::malformed();
        };
        let limit = request.query("page").and_then(|page| page.parse().ok());
        let inner = self.inner();
        let after = request.query("after");
        let page = inner
            .store
            .list(prefix, after, limit.unwrap_or(DEFAULT_PAGE_ITEMS));
        let body = WirePage {
            items: page.items.iter().map(wire_item).collect(),
            more: page.more,
            logline: inner.store.revision(),
        };
        Reply::json(200, &body)
    }

    async fn watch(&self, request: &IncomingRequest) -> Reply {
        add(&self.shared.counters.watches, 1);
        let number = |name| {
            request
                .query(name)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let (Some(prefix), Some(mut after)) = (request.query("prefix"), number("after")) else {
            return Reply::malformed();
        };
        let wait = number("wait_ms").unwrap_or(0).min(MAX_WATCH_WAIT_MS);
        let until = tokio::time::Instant::now() + Duration::from_millis(wait);
        loop {
            // Registered before the check, so that no change in between is missed.
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !self.in_outage() {
                let inner = self.inner();
                let Some(events) = inner.store.events(prefix, after) else {
                    return Reply::new(410, "{}");
                };
                let logline = inner.store.revision();
                let timed_out = tokio::time::Instant::now() >= until;
                if !events.is_empty() || timed_out {
                    let events = events.iter().map(wire_event).collect();
                    return Reply::json(200, &WireEvents { logline, events });
                }
                after = after.max(logline);
            }
            let wake_at = match self.in_outage() {
                true => tokio::time::Instant::now() + EXPIRY_INTERVAL,
                false => until,
            };
            // Either a change or the timeout leads to another check.
            let _ = tokio::time::timeout_at(wake_at, changed).await;
        }
    }

    fn transact(&self, request: &IncomingRequest) -> Reply {
        let settings = &self.shared.settings;
        let Ok(txn) = serde_json::from_slice::<WireTxn>(&request.body) else {
            return Reply::malformed();
        };
        let changes: Option<Vec<Change>> = txn.apply.into_iter().map(WireChange::change).collect();
        let Some(changes) = changes else {
            return Reply::malformed();
        };
        let lowered = settings.lowered_at(self.now());
        let value_kb = lowered.map_or(settings.value_kb, |limits| limits.value_kb);
        let txn_ops = lowered.map_or(settings.txn_ops, |limits| limits.txn_ops);
        let max_value_bytes = (value_kb * 1024.0) as usize;
        let too_large = changes.iter().any(|change| match change {
            Change::Put { value, .. } => value.get().len() > max_value_bytes,
            Change::Delete { .. } => false,
        });
        let too_many_operations = changes.len() > txn_ops || txn.when.len() > txn_ops * 4;
        if too_large || too_many_operations || request.body.len() > MAX_TXN_BYTES {
            return Reply::malformed();
        }
        let conditions: Vec<Condition> = txn
            .when
            .into_iter()
            .map(|condition| Condition {
                key: condition.key,
                revision: condition.mark,
            })
            .collect();
        self.commit(&conditions, changes)
    }

    fn commit(&self, conditions: &[Condition], changes: Vec<Change>) -> Reply {
        let counters = &self.shared.counters;
        let now = self.now();
        let count = changes.len();
        let mut inner = self.inner();
        if let Some(limits) = self.shared.settings.lowered_at(now) {
            inner.changes.lower(limits.write_rps);
        }
        if !inner.changes.admit(now, count as f64) {
            add(&counters.refused_changes, count as u64);
            return Reply::too_many_requests();
        }
        add(&counters.transactions, 1);
        add(&counters.changes, count as u64);
        match inner.store.transact(conditions, changes) {
            Ok(revision) => {
                if count > 0 {
                    self.shared.changed.notify_waiters();
                }
                Reply::new(200, revision_body(revision))
            }
            Err(TxnError::NoSuchLease) => Reply::new(400, r#"{"error":"no such lease"}"#),
            Err(TxnError::Conflict(failed)) => {
                add(&counters.conflicts, 1);
                let logline = inner.store.revision();
                let failed = &failed;
                Reply::json(409, &WireConflict { failed, logline })
            }
        }
    }

    fn grant(&self, request: &IncomingRequest) -> Reply {
        match serde_json::from_slice::<WireGrant>(&request.body) {
            Ok(grant) if ALLOWED_TTL_MS.contains(&grant.ttl_ms) => {
                let ttl = Duration::from_millis(grant.ttl_ms);
                let lease = self.inner().store.grant(self.now(), ttl);
                Reply::new(200, format!("{{\"tether\":{lease}}}"))
            }
            _ => Reply::malformed(),
        }
    }

    fn handle_lease(&self, method: &Method, path: &str) -> Reply {
        let (id, is_renewal) = match path.strip_suffix("/renew") {
            Some(id) => (id, true),
            None => (path, false),
        };
        let Ok(id) = id.parse::<u64>() else {
            return Reply::malformed();
        };
        match (method, is_renewal) {
            (&Method::POST, true) => {
                add(&self.shared.counters.renewals, 1);
                let now = self.now();
                let status = if self.inner().store.renew(now, id) {
                    200
                } else {
                    404
                };
                Reply::new(status, "{}")
            }
            (&Method::DELETE, false) => {
                self.inner().store.end_lease(id);
                self.shared.changed.notify_waiters();
                Reply::new(200, "{}")
            }
            _ => Reply::malformed(),
        }
    }
}
