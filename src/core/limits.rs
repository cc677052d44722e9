//! What the state service takes: sizes of writes and their rate, as the settings say and as
//! its answers teach.
//!
//! The limits may fall without notice, and once more than the settings announce. A rejected
//! write never passes as it is, so what is rejected lowers the limit in use here, and the
//! next write is split.

use std::{collections::HashMap, time::Duration};

use tracing::warn;

use super::{
    config::Config,
    store::{Change, StateRequest},
};
use crate::settings::MIN_TXN_OPS;

/// Values of this size are never split further.
const VALUE_FLOOR: usize = 512;
/// Rejected writes of one key are told once within this time.
const WARN_EVERY: Duration = Duration::from_secs(60);

/// How large a write is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteSize {
    /// The key with the largest value, or the first one.
    pub key: String,
    /// Bytes of the largest value.
    pub value_bytes: usize,
    pub changes: usize,
}

impl WriteSize {
    /// The size of a request; none where it changes nothing.
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

/// How large writes may be.
#[derive(Debug)]
pub struct WriteLimits {
    pub value_bytes: usize,
    pub txn_ops: usize,
    /// When a rejected write of a key was told last.
    warned: HashMap<String, Duration>,
}

impl WriteLimits {
    pub fn new(config: &Config) -> Self {
        Self {
            value_bytes: config.max_value_bytes,
            txn_ops: config.max_txn_ops,
            warned: HashMap::new(),
        }
    }

    /// Takes in that a write was rejected; false where nothing is left to be lowered.
    pub fn rejected(&mut self, size: &WriteSize, now: Duration) -> bool {
        self.tell(size, now);
        let before = (self.value_bytes, self.txn_ops);
        if size.changes > MIN_TXN_OPS {
            self.txn_ops = self.txn_ops.min(size.changes / 2).max(MIN_TXN_OPS);
        } else if size.value_bytes > VALUE_FLOOR {
            let half = (size.value_bytes / 2).max(VALUE_FLOOR);
            self.value_bytes = self.value_bytes.min(half);
        }
        before != (self.value_bytes, self.txn_ops)
    }

    /// A rejected write of that key was not told lately.
    pub fn is_news(&mut self, key: &str, now: Duration) -> bool {
        self.warned.retain(|_, at| now < *at + WARN_EVERY);
        let news = !self.warned.contains_key(key);
        if news {
            self.warned.insert(key.to_owned(), now);
        }
        news
    }

    fn tell(&mut self, size: &WriteSize, now: Duration) {
        if !self.is_news(&size.key, now) {
            return;
        }
        warn!(
            key = size.key,
            bytes = size.value_bytes,
            changes = size.changes,
            value_limit = self.value_bytes,
            changes_limit = self.txn_ops,
            "the state service rejects a write"
        );
    }
}

/// The first time that the rate is reduced for, and the longest.
const REDUCED_FIRST: Duration = Duration::from_secs(10);
const REDUCED_MOST: Duration = Duration::from_secs(300);
/// Answers to writes that were under way when the rate was reduced are in by then.
const SETTLES: Duration = Duration::from_secs(2);

/// Changes a second that the leader plans with: the present limit, or the announced one for
/// a while after a write was refused for its rate.
#[derive(Debug)]
pub struct WriteRate {
    present: f64,
    announced: Option<f64>,
    reduced_since: Duration,
    reduced_until: Duration,
    reduced_for: Duration,
}

impl WriteRate {
    pub fn new(present: f64, announced: Option<f64>) -> Self {
        Self {
            present,
            announced: announced.filter(|rate| *rate < present),
            reduced_since: Duration::ZERO,
            reduced_until: Duration::ZERO,
            reduced_for: Duration::ZERO,
        }
    }

    pub fn at(&self, now: Duration) -> f64 {
        match self.announced {
            Some(rate) if now < self.reduced_until => rate,
            _ => self.present,
        }
    }

    /// A write was refused for the rate.
    pub fn limited(&mut self, now: Duration) {
        let reduced = now < self.reduced_until;
        if reduced && now < self.reduced_since + SETTLES {
            return;
        }
        let again = now < self.reduced_until + self.reduced_for;
        self.reduced_for = match again {
            true => (self.reduced_for * 2).min(REDUCED_MOST),
            false => REDUCED_FIRST,
        };
        self.reduced_since = now;
        self.reduced_until = now + self.reduced_for;
    }
}
