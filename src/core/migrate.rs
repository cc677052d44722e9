//! Rewriting old records in the form of the new generation: the leader's work, as slow as
//! its share of the state service's changes, and behind everything else that it writes.
//!
//! Nothing is remembered of how far it is: what is left is what a listing still finds. So
//! it goes on after a failover as after a pause, and it is over when a listing that began
//! after the new form was switched on finds nothing. Nobody writes the old form after that
//! switch, since every such write depends on the generation's record.

use std::{collections::VecDeque, time::Duration};

use tracing::info;

use super::{
    BACK_OFF, Node, Purpose,
    job::{JobId, TerminalRecord},
    store::{
        Entry, GENERATION, LEADER, StateReply, StateRequest, TERMINAL_RANGES, TERMINAL_STATES, when,
    },
    terminal_states::{self, Place, Range, Rewrite},
};
use kiteyard_rollout::generation::Stage;

/// Records of one range that are still in the old form.
#[derive(Debug)]
enum Work {
    Pack(Range, VecDeque<(JobId, TerminalRecord, u64)>),
    Unpack(Range),
}

impl Work {
    fn range(&self) -> &Range {
        match self {
            Work::Pack(range, _) | Work::Unpack(range) => range,
        }
    }
}

#[derive(Debug, Default)]
pub struct Migration {
    /// The revision of the generation's record that this is about, and the claim.
    about: (u64, u64),
    /// Where the listing goes on.
    after: Option<String>,
    queue: VecDeque<Work>,
    /// Records that this listing found, and those of them that were rewritten.
    found: u64,
    rewritten: u64,
    listed: bool,
    clean: bool,
    /// A request is under way.
    busy: bool,
    retry: Duration,
    /// Changes that may be made now.
    allowance: f64,
    refilled: Duration,
    moved: u64,
}

impl Migration {
    /// Nothing old is left, under the record of that revision.
    pub fn clean(&self, revision: u64) -> bool {
        self.clean && self.about.0 == revision
    }

    pub fn moved(&self) -> u64 {
        self.moved
    }

    /// Records found and not yet rewritten; none before any listing.
    pub fn left(&self) -> Option<u64> {
        (self.listed || self.found > 0).then(|| self.found.saturating_sub(self.rewritten))
    }

    /// From the beginning: what failed is found again.
    fn again(&mut self) {
        self.after = None;
        self.queue.clear();
        (self.found, self.rewritten) = (0, 0);
    }
}

/// What a request of the migration was.
#[derive(Debug)]
pub enum MigrationRequest {
    List,
    Read(Range),
    Rewrite(Range, terminal_states::TerminalStates, u64),
}

impl Node {
    /// Does the next bit, after all else that the leader had to write.
    pub(super) fn drive_migration(&mut self) {
        let now = self.now();
        let (cluster, revision) = self.cache.cluster;
        let Some(config) = self.config.options.rollout.clone() else {
            return;
        };
        let Some(claim) = self.cluster.as_ref().map(|cluster| cluster.claim) else {
            return;
        };
        if cluster.stage != Stage::Migrating || self.cache.orders.0.paused {
            return;
        }
        let rate = self.config.writes * config.migration_share;
        let most = self.limits.txn_ops;
        let migration = &mut self.rollout.migration;
        if migration.about != (revision, claim) {
            *migration = Migration {
                about: (revision, claim),
                moved: migration.moved,
                refilled: now,
                ..Migration::default()
            };
        }
        if terminal_states::place(cluster.from) == terminal_states::place(cluster.to) {
            migration.clean = true;
        }
        let passed = now.saturating_sub(migration.refilled).as_secs_f64();
        migration.refilled = now;
        migration.allowance = (migration.allowance + passed * rate).min(most as f64);
        if migration.busy || migration.clean || now < migration.retry {
            return;
        }
        let Some(work) = migration.queue.front() else {
            migration.busy = true;
            let prefix = match terminal_states::place(cluster.from) {
                Place::Single => TERMINAL_STATES,
                Place::Packed => TERMINAL_RANGES,
            };
            let after = migration.after.clone();
            self.call(
                Purpose::Migrate((revision, claim), MigrationRequest::List),
                StateRequest::List {
                    prefix: prefix.into(),
                    after,
                },
            );
            return;
        };
        let range = work.range().clone();
        // Whoever waits for a change comes first, and so do the terminal states of jobs.
        if migration.allowance < 1.0
            || !self.write_queue.has_spare_budget()
            || !self.ranges.free(&range, now)
        {
            return;
        }
        let Some(known) = self.ranges.get(&range) else {
            migration.busy = true;
            let key = range.key();
            self.call(
                Purpose::Migrate((revision, claim), MigrationRequest::Read(range)),
                StateRequest::Get { key },
            );
            return;
        };
        let rewrite = match migration.queue.front_mut() {
            Some(Work::Pack(range, alone)) => {
                let count = alone.len().min(most - 1);
                let some: Vec<_> = alone.drain(..count).collect();
                let rewrite = terminal_states::pack(range, &some, known);
                if alone.is_empty() {
                    migration.queue.pop_front();
                }
                Some(rewrite)
            }
            Some(Work::Unpack(range)) => terminal_states::unpack(range, known, most),
            None => None,
        };
        let Some(rewrite) = rewrite.filter(|rewrite| rewrite.records > 0) else {
            migration.queue.pop_front();
            return;
        };
        migration.busy = true;
        let Rewrite {
            mut conditions,
            changes,
            range,
            ends,
            records,
        } = rewrite;
        conditions.push(when(GENERATION, revision));
        conditions.push(when(LEADER, claim));
        migration.allowance -= changes.len() as f64;
        self.write_queue.charge(changes.len() as f64);
        self.ranges.take(&range);
        let step = MigrationRequest::Rewrite(range, ends, records as u64);
        self.call(
            Purpose::Migrate((revision, claim), step),
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn migrated(
        &mut self,
        about: (u64, u64),
        step: MigrationRequest,
        reply: StateReply,
    ) {
        let now = self.now();
        if let MigrationRequest::Rewrite(range, ends, _) = &step {
            match &reply {
                StateReply::Committed { revision } => {
                    // Emptied, it was removed.
                    let known = terminal_states::KnownRange {
                        version: if ends.is_empty() { 0 } else { *revision },
                        ends: ends.clone(),
                    };
                    self.ranges.forget(range);
                    self.ranges.learn(range.clone(), known);
                }
                _ => self.ranges.forget(range),
            }
            self.ranges.release(range, now, now);
        }
        if self.rollout.migration.about != about {
            return;
        }
        self.rollout.migration.busy = false;
        match (step, reply) {
            (MigrationRequest::List, StateReply::Entries { entries, more, .. }) => {
                self.old_records(&entries, more);
            }
            (MigrationRequest::Read(range), reply) => {
                if self.learn_range(&range, &reply).is_none() {
                    self.rollout.migration.retry = now + BACK_OFF * 4;
                }
            }
            (MigrationRequest::Rewrite(range, ends, records), StateReply::Committed { .. }) => {
                let migration = &mut self.rollout.migration;
                migration.moved += records;
                migration.rewritten += records;
                let over = ends.is_empty();
                let front = migration.queue.front();
                if matches!(front, Some(Work::Unpack(r)) if *r == range && over) {
                    migration.queue.pop_front();
                }
            }
            // It may have been done, or something came between: listed again.
            _ => {
                let migration = &mut self.rollout.migration;
                migration.again();
                migration.retry = now + BACK_OFF;
            }
        }
    }

    /// A page of records in the old form.
    fn old_records(&mut self, entries: &[Entry], more: bool) {
        let mut unread = None;
        let migration = &mut self.rollout.migration;
        for entry in entries {
            let text = entry.value.get();
            let alone = terminal_states::single_id(&entry.key);
            let read = match alone {
                Some(id) => terminal_states::parse_single(text).map(|record| {
                    let range = Range::of(&id).0;
                    let record = (id, record, entry.version);
                    match migration.queue.back_mut() {
                        Some(Work::Pack(last, alone)) if *last == range => alone.push_back(record),
                        _ => migration
                            .queue
                            .push_back(Work::Pack(range, [record].into())),
                    }
                    1
                }),
                None => Range::of_key(&entry.key).and_then(|range| {
                    let ends: terminal_states::TerminalStates = serde_json::from_str(text).ok()?;
                    migration.queue.push_back(Work::Unpack(range));
                    Some(ends.len() as u64)
                }),
            };
            match read {
                Some(records) => migration.found += records,
                // It stays, and keeps the rollout where it is.
                None => {
                    migration.found += 1;
                    unread = Some(entry.key.clone());
                }
            }
        }
        migration.listed |= !more;
        migration.after = entries.last().map(|e| e.key.clone()).filter(|_| more);
        if !more && migration.found == 0 {
            migration.clean = true;
            info!(moved = migration.moved, "nothing old is left");
        } else if !more && migration.queue.is_empty() {
            migration.again();
            migration.retry = self.clock.now + BACK_OFF * 10;
        }
        if let Some(key) = unread {
            self.report_unreadable(&key);
        }
    }
}
