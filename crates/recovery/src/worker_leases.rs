//! Bounds on the leases of workers, as far as one leader knows them.
//!
//! A worker keeps its tasks until one lease after it sent the last report that a leader answered.
//! Such an answer was given either by a leader before this claim, which had stopped by a known
//! time, or by this process under this claim. So a silent machine is empty one lease after the
//! later of the two. This process answers reports from the verification of its claim on, before
//! its failover has read anything, and every such answer counts.
//!
//! A worker that has seen this claim's token drops the answers of previous leaders from then on.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

/// Bounds on the workers' leases under one claim. All times are those of this process's clock.
#[derive(Debug, Default)]
pub struct WorkerLeases {
    lease: Duration,
    previous_leader_stopped_at: Duration,
    zone_lease_ends: BTreeMap<Arc<str>, Duration>,
    renewed_at: HashMap<Arc<str>, Duration>,
}

impl WorkerLeases {
    /// Creates the bounds for a new claim: `lease` is the longest time that a worker may act after
    /// an answer, and every previous leader stops answering by `previous_leader_stopped_at`.
    pub fn new(lease: Duration, previous_leader_stopped_at: Duration) -> Self {
        Self {
            lease,
            previous_leader_stopped_at,
            ..Self::default()
        }
    }

    /// Sets earlier ends of the leases that previous leaders renewed, for zones whose workers no
    /// leader has answered for a while.
    pub fn set_zone_lease_ends(&mut self, zone_lease_ends: BTreeMap<Arc<str>, Duration>) {
        self.zone_lease_ends = zone_lease_ends;
    }

    /// Records that this process answers a report of the worker, or that the worker's session
    /// began by now.
    pub fn record_renewal(&mut self, worker: &Arc<str>, now: Duration) {
        self.raise(worker, now);
    }

    /// Records that the worker has seen this claim's token by now, without a report that was
    /// answered: until then a previous leader may have renewed its lease.
    pub fn record_token_seen(&mut self, worker: &Arc<str>, now: Duration) {
        self.raise(worker, now.min(self.previous_leader_stopped_at));
    }

    fn raise(&mut self, worker: &Arc<str>, renewed_at: Duration) {
        let latest = self.renewed_at.entry(worker.clone()).or_default();
        *latest = renewed_at.max(*latest);
    }

    /// Removes a worker whose machine no longer exists.
    pub fn remove(&mut self, worker: &str) {
        self.renewed_at.remove(worker);
    }

    /// Returns the time of this process's last answer to the worker, if there was one.
    pub fn renewed_at(&self, worker: &str) -> Option<Duration> {
        self.renewed_at.get(worker).copied()
    }

    /// Returns the time by which the worker's lease has expired if no report of it is answered any
    /// more; `has_seen_token` says whether it is known to have seen this claim's token.
    pub fn lease_end(&self, worker: &str, zone: &str, has_seen_token: bool) -> Duration {
        let previous_end = self.previous_leader_stopped_at + self.lease;
        match self.renewed_at(worker) {
            Some(renewed_at) if has_seen_token => renewed_at + self.lease,
            Some(renewed_at) => previous_end.max(renewed_at + self.lease),
            None => match self.zone_lease_ends.get(zone) {
                Some(zone_end) => previous_end.min(*zone_end),
                None => previous_end,
            },
        }
    }
}
