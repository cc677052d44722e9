//! Limits of the state service on the size and rate of writes, from the settings and from the
//! replies to writes.
//!
//! The limits may be lowered without notice, even below the announced ones. A rejected write
//! would be rejected again, so a rejection lowers the limit in use, and the next write is
//! split.

use std::{collections::HashMap, time::Duration};

use tracing::warn;

use super::{
    config::Config,
    store::{Change, StateRequest},
};
use crate::settings::MIN_TXN_OPS;

/// Lowest value size limit to which rejections lead; values within it are not split.
const MIN_VALUE_BYTES: usize = 512;
/// Minimum interval between two warnings about rejected writes of the same key.
const WARN_INTERVAL: Duration = Duration::from_secs(60);

/// Size of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteSize {
    /// Key with the largest value.
    pub key: String,
    /// Size of the largest value in bytes.
    pub value_bytes: usize,
    pub changes: usize,
}

impl WriteSize {
    /// Returns the size of a request, or none if it changes nothing.
    pub fn of(request: &StateRequest) -> Option<Self> {
        let StateRequest::Txn { changes, .. } = request else {
            return None;
        };
        let size = |change: &Change| match change {
            Change::Put { value, .. } => value.get().len(),
            Change::Delete { .. } => 0,
        };
        let largest = changes.iter().max_by_key(|change| size(change))?;
        let (Change::Put { key, .. } | Change::Delete { key }) = largest;
        Some(Self {
            key: key.clone(),
            value_bytes: size(largest),
            changes: changes.len(),
        })
    }
}

/// Current limits on the size of writes.
#[derive(Debug)]
pub struct WriteLimits {
    pub value_bytes: usize,
    pub txn_ops: usize,
    /// Time of the last warning about a rejected write, by key.
    warned_at: HashMap<String, Duration>,
}

impl WriteLimits {
    pub fn new(config: &Config) -> Self {
        Self {
            value_bytes: config.max_value_bytes,
            txn_ops: config.max_txn_ops,
            warned_at: HashMap::new(),
        }
    }

    /// Lowers a limit after a rejected write. Returns false if no limit can be lowered further.
    pub fn lower_after_rejection(&mut self, size: &WriteSize, now: Duration) -> bool {
        self.warn_of_rejection(size, now);
        let old_limits = (self.value_bytes, self.txn_ops);
        if size.changes > MIN_TXN_OPS {
            self.txn_ops = self.txn_ops.min(size.changes / 2).max(MIN_TXN_OPS);
        } else if size.value_bytes > MIN_VALUE_BYTES {
            let half = (size.value_bytes / 2).max(MIN_VALUE_BYTES);
            self.value_bytes = self.value_bytes.min(half);
        }
        old_limits != (self.value_bytes, self.txn_ops)
    }

    /// Returns whether a rejected write of the key is due for a warning; if so, records the
    /// warning.
    pub fn should_warn(&mut self, key: &str, now: Duration) -> bool {
        self.warned_at.retain(|_, at| now < *at + WARN_INTERVAL);
        let is_due = !self.warned_at.contains_key(key);
        if is_due {
            self.warned_at.insert(key.to_owned(), now);
        }
        is_due
    }

    fn warn_of_rejection(&mut self, size: &WriteSize, now: Duration) {
        if !self.should_warn(&size.key, now) {
            return;
        }
        warn!(
            key = size.key,
            bytes = size.value_bytes,
            changes = size.changes,
            value_limit = self.value_bytes,
            changes_limit = self.txn_ops,
            "state service rejected a write"
        );
    }
}

/// Shortest and longest time for which the write rate is reduced.
const MIN_REDUCTION_TIME: Duration = Duration::from_secs(10);
const MAX_REDUCTION_TIME: Duration = Duration::from_secs(300);
/// Time after a reduction in which further refusals are ignored: they answer writes that were
/// sent before it.
const REDUCTION_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Write rate that the leader plans with, in changes per second: the current limit, or the
/// announced lower one for a while after a write was refused for its rate.
#[derive(Debug)]
pub struct WriteRate {
    current: f64,
    announced: Option<f64>,
    reduced_since: Duration,
    reduced_until: Duration,
    reduction_time: Duration,
}

impl WriteRate {
    pub fn new(limit: f64, announced: Option<f64>) -> Self {
        Self {
            current: limit,
            announced: announced.filter(|rate| *rate < limit),
            reduced_since: Duration::ZERO,
            reduced_until: Duration::ZERO,
            reduction_time: Duration::ZERO,
        }
    }

    pub fn rate_at(&self, now: Duration) -> f64 {
        match self.announced {
            Some(rate) if now < self.reduced_until => rate,
            _ => self.current,
        }
    }

    /// Reduces the rate after a write was refused for its rate, for twice as long if that happens
    /// soon after the last reduction.
    pub fn reduce(&mut self, now: Duration) {
        let is_reduced = now < self.reduced_until;
        if is_reduced && now < self.reduced_since + REDUCTION_SETTLE_TIME {
            return;
        }
        let is_repeated = now < self.reduced_until + self.reduction_time;
        self.reduction_time = match is_repeated {
            true => (self.reduction_time * 2).min(MAX_REDUCTION_TIME),
            false => MIN_REDUCTION_TIME,
        };
        self.reduced_since = now;
        self.reduced_until = now + self.reduction_time;
    }
}
