//! Migration of old records to the form of the new generation. The leader does it within a
//! configured share of the state service's change rate, after all its other writes.
//!
//! No progress is stored: a listing finds the records that are left. So the migration continues
//! in the same way after a failover and after a pause, and it is finished when a listing that
//! began after the switch to the new form finds nothing. No node writes the old form after the
//! switch, since every such write is conditional on the generation's record.

use std::{collections::VecDeque, time::Duration};

use tracing::info;

use super::{
    Node, Purpose, RETRY_DELAY,
    job::{JobId, TerminalRecord},
    store::{
        Entry, GENERATION_KEY, LEADER_KEY, StateReply, StateRequest, TERMINAL_RANGES_PREFIX,
        TERMINAL_STATES_PREFIX, if_version,
    },
    terminal_states::{self, JobIdRange, Layout, Rewrite},
};
use kiteyard_rollout::generation::Stage;

/// Records of one range in the old form.
#[derive(Debug)]
enum PendingRange {
    Pack(JobIdRange, VecDeque<(JobId, TerminalRecord, u64)>),
    Unpack(JobIdRange),
}

impl PendingRange {
    fn range(&self) -> &JobIdRange {
        match self {
            PendingRange::Pack(range, _) | PendingRange::Unpack(range) => range,
        }
    }
}

#[derive(Debug, Default)]
pub struct Migration {
    /// Revision of the generation's record, and the claim, that this migration belongs to.
    scope: (u64, u64),
    /// Last key of the previous page, if the listing continues.
    list_after: Option<String>,
    queue: VecDeque<PendingRange>,
    /// Records that the present listing found, and how many of them were rewritten.
    found: u64,
    rewritten: u64,
    listed: bool,
    is_finished: bool,
    request_in_flight: bool,
    retry_at: Duration,
    /// Number of changes that the budget allows now.
    allowance: f64,
    refilled_at: Duration,
    total_rewritten: u64,
}

impl Migration {
    /// Returns whether no old records are left under the generation's record of that revision.
    pub fn is_finished(&self, revision: u64) -> bool {
        self.is_finished && self.scope.0 == revision
    }

    pub fn total_rewritten(&self) -> u64 {
        self.total_rewritten
    }

    /// Returns the number of records found and not yet rewritten, or `None` before the first
    /// listing.
    pub fn remaining(&self) -> Option<u64> {
        (self.listed || self.found > 0).then(|| self.found.saturating_sub(self.rewritten))
    }

    /// Restarts the listing, which finds the records whose rewrite failed.
    fn restart(&mut self) {
        self.list_after = None;
        self.queue.clear();
        (self.found, self.rewritten) = (0, 0);
    }
}

/// Request that the migration sent.
#[derive(Debug)]
pub enum MigrationRequest {
    List,
    Read(JobIdRange),
    Rewrite(JobIdRange, terminal_states::TerminalStates, u64),
}

impl Node {
    /// Sends the next request of the migration, after all other writes of the leader.
    pub(super) fn drive_migration(&mut self) {
        let now = self.now();
        let (generation, revision) = self.cache.generation;
        let Some(config) = self.config.options.rollout.clone() else {
            return;
        };
        let Some(claim) = self.cluster.as_ref().map(|cluster| cluster.claim) else {
            return;
        };
        if generation.stage != Stage::Migrating || self.cache.orders.0.paused {
            return;
        }
        let rate = self.config.write_rate * config.migration_share;
        let max_ops = self.limits.txn_ops;
        let migration = &mut self.rollout.migration;
        if migration.scope != (revision, claim) {
            *migration = Migration {
                scope: (revision, claim),
                total_rewritten: migration.total_rewritten,
                refilled_at: now,
                ..Migration::default()
            };
        }
        if terminal_states::layout(generation.from) == terminal_states::layout(generation.to) {
            migration.is_finished = true;
        }
        let elapsed = now.saturating_sub(migration.refilled_at).as_secs_f64();
        migration.refilled_at = now;
        migration.allowance = (migration.allowance + elapsed * rate).min(max_ops as f64);
        if migration.request_in_flight || migration.is_finished || now < migration.retry_at {
            return;
        }
        let Some(pending) = migration.queue.front() else {
            migration.request_in_flight = true;
            let prefix = match terminal_states::layout(generation.from) {
                Layout::Single => TERMINAL_STATES_PREFIX,
                Layout::Packed => TERMINAL_RANGES_PREFIX,
            };
            let after = migration.list_after.clone();
            self.call(
                Purpose::Migrate((revision, claim), MigrationRequest::List),
                StateRequest::List {
                    prefix: prefix.into(),
                    after,
                },
            );
            return;
        };
        let range = pending.range().clone();
        // Writes that users or tasks wait for take precedence, as do terminal states of jobs.
        if migration.allowance < 1.0
            || !self.write_queue.has_spare_budget()
            || !self.ranges.is_available(&range, now)
        {
            return;
        }
        let Some(known) = self.ranges.get(&range) else {
            migration.request_in_flight = true;
            let key = range.key();
            self.call(
                Purpose::Migrate((revision, claim), MigrationRequest::Read(range)),
                StateRequest::Get { key },
            );
            return;
        };
        let rewrite = match migration.queue.front_mut() {
            Some(PendingRange::Pack(range, records_left)) => {
                let count = records_left.len().min(max_ops - 1);
                let batch: Vec<_> = records_left.drain(..count).collect();
                let rewrite = terminal_states::pack(range, &batch, known);
                if records_left.is_empty() {
                    migration.queue.pop_front();
                }
                Some(rewrite)
            }
            Some(PendingRange::Unpack(range)) => terminal_states::unpack(range, known, max_ops),
            None => None,
        };
        let Some(rewrite) = rewrite.filter(|rewrite| rewrite.records > 0) else {
            migration.queue.pop_front();
            return;
        };
        migration.request_in_flight = true;
        let Rewrite {
            mut conditions,
            changes,
            range,
            states,
            records,
        } = rewrite;
        conditions.push(if_version(GENERATION_KEY, revision));
        conditions.push(if_version(LEADER_KEY, claim));
        migration.allowance -= changes.len() as f64;
        self.write_queue.charge(changes.len() as f64);
        self.ranges.mark_busy(&range);
        let request = MigrationRequest::Rewrite(range, states, records as u64);
        self.call(
            Purpose::Migrate((revision, claim), request),
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn migration_answered(
        &mut self,
        scope: (u64, u64),
        request: MigrationRequest,
        reply: StateReply,
    ) {
        let now = self.now();
        if let MigrationRequest::Rewrite(range, states, _) = &request {
            match &reply {
                StateReply::Committed { revision } => {
                    // An empty range is stored by deleting its key.
                    let known = terminal_states::KnownRange {
                        version: if states.is_empty() { 0 } else { *revision },
                        states: states.clone(),
                    };
                    self.ranges.forget(range);
                    self.ranges.update(range.clone(), known);
                }
                _ => self.ranges.forget(range),
            }
            self.ranges.release(range, now, now);
        }
        if self.rollout.migration.scope != scope {
            return;
        }
        self.rollout.migration.request_in_flight = false;
        match (request, reply) {
            (MigrationRequest::List, StateReply::Entries { entries, more, .. }) => {
                self.queue_old_records(&entries, more);
            }
            (MigrationRequest::Read(range), reply) => {
                if self.cache_range(&range, &reply).is_none() {
                    self.rollout.migration.retry_at = now + RETRY_DELAY * 4;
                }
            }
            (MigrationRequest::Rewrite(range, states, records), StateReply::Committed { .. }) => {
                let migration = &mut self.rollout.migration;
                migration.total_rewritten += records;
                migration.rewritten += records;
                let is_empty = states.is_empty();
                let front = migration.queue.front();
                if matches!(front, Some(PendingRange::Unpack(r)) if *r == range && is_empty) {
                    migration.queue.pop_front();
                }
            }
            // The outcome is unknown, or another write came in between: list again.
            _ => {
                let migration = &mut self.rollout.migration;
                migration.restart();
                migration.retry_at = now + RETRY_DELAY;
            }
        }
    }

    /// Queues a page of records in the old form.
    fn queue_old_records(&mut self, entries: &[Entry], more: bool) {
        let mut unreadable_key = None;
        let migration = &mut self.rollout.migration;
        for entry in entries {
            let text = entry.value.get();
            let single_id = terminal_states::single_id(&entry.key);
            let read = match single_id {
                Some(id) => terminal_states::parse_single(text).map(|record| {
                    let range = JobIdRange::containing(&id).0;
                    let record = (id, record, entry.version);
                    match migration.queue.back_mut() {
                        Some(PendingRange::Pack(last, records)) if *last == range => {
                            records.push_back(record)
                        }
                        _ => migration
                            .queue
                            .push_back(PendingRange::Pack(range, [record].into())),
                    }
                    1
                }),
                None => JobIdRange::from_key(&entry.key).and_then(|range| {
                    let states: terminal_states::TerminalStates =
                        serde_json::from_str(text).ok()?;
                    migration.queue.push_back(PendingRange::Unpack(range));
                    Some(states.len() as u64)
                }),
            };
            match read {
                Some(records) => migration.found += records,
                // An unreadable record stays and blocks the rollout.
                None => {
                    migration.found += 1;
                    unreadable_key = Some(entry.key.clone());
                }
            }
        }
        migration.listed |= !more;
        migration.list_after = entries.last().map(|e| e.key.clone()).filter(|_| more);
        if !more && migration.found == 0 {
            migration.is_finished = true;
            info!(
                moved = migration.total_rewritten,
                "migration finished; no old records are left"
            );
        } else if !more && migration.queue.is_empty() {
            migration.restart();
            migration.retry_at = self.clock.now + RETRY_DELAY * 10;
        }
        if let Some(key) = unreadable_key {
            self.report_unreadable(&key);
        }
    }
}
