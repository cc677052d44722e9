//! What the leader writes: the assignment index, results, and terminal states of jobs. Every write
//! depends on its claim, so one that is applied late changes nothing.

use std::time::Duration;

use tracing::info;

use super::{
    BACK_OFF, Node, Purpose,
    assignment_index::ShardWrite,
    cluster::{ClusterState, Job},
    config::Config,
    job::{JobId, JobState, TaskSet, TerminalRecord},
    limits::{WriteLimits, WriteRate},
    results::{self, ChunkPart},
    store::{
        Change, GENERATION, LEADER, StateReply, StateRequest, delete, job_key, progress_key, put,
        shard_key, when,
    },
    terminal_states::{self, Place, Range, TerminalStates},
};

#[derive(Debug)]
pub enum QueuedWrite {
    AssignmentIndex {
        claim: u64,
        listings: Vec<ShardWrite>,
    },
    /// Reads a shard of the assignment index again whose write was not answered.
    Reread {
        claim: u64,
        shard: u32,
    },
    Progress {
        claim: u64,
        id: JobId,
        set: TaskSet,
        chunks: Vec<ChunkPart>,
    },
    /// Reads results of a job again whose write was not answered.
    RereadProgress {
        claim: u64,
        id: JobId,
        chunk: ChunkPart,
    },
    Finish {
        claim: u64,
        ended: Vec<(JobId, TerminalRecord)>,
        /// Their range as it will be, where they are stored so.
        ends: Option<(Range, TerminalStates)>,
        keys: Vec<String>,
    },
    /// Reads a range of ends that is to be written.
    ReadRange {
        claim: u64,
        range: Range,
    },
    Collect {
        claim: u64,
        keys: Vec<String>,
    },
}

/// How many writes are out, and what the budget allows.
#[derive(Debug)]
pub struct WriteQueue {
    /// Changes a second, now.
    rate: f64,
    rates: WriteRate,
    /// Writes in a row that were rejected and could not be made smaller.
    stuck: u32,
    allowance: f64,
    refilled: Duration,
    in_flight: u32,
    retry: Duration,
    /// A write was answered: what waited for it goes out at once.
    pub(super) has_news: bool,
}

const IN_FLIGHT: u32 = 6;
/// How often the pause doubles while a rejected write can't be made smaller.
const STUCK_DOUBLES: u32 = 4;
/// Results are stored together with those that follow within this time.
const GATHER: Duration = Duration::from_millis(1500);

/// After a write, a range of ends is left alone for so long: submissions in the same range
/// depend on it. The protocol allows a late `done` by 3 s.
const RANGE_RESTS: Duration = Duration::from_secs(1);

/// A write, and what it depends on and changes.
type PreparedWrite = (QueuedWrite, Vec<super::store::Condition>, Vec<Change>);

impl ClusterState {
    /// Stores the results of the job whose oldest one came first, if that was before.
    fn next_progress_write(
        &mut self,
        before: Duration,
        limits: &WriteLimits,
    ) -> Option<PreparedWrite> {
        let claim = self.claim;
        let waits = |job: &Job| !job.saving && !job.complete() && job.saved.unsure().is_none();
        let (id, job) = self
            .jobs
            .iter_mut()
            .filter(|(_, job)| waits(job) && job.unsaved_since.is_some_and(|at| at <= before))
            .min_by_key(|(id, job)| (job.unsaved_since, (*id).clone()))?;
        job.saving = true;
        job.unsaved_since = None;
        let set = job.done.clone();
        let mut chunks = results::unsaved(&set, job.saved.stored(), limits.value_bytes);
        chunks.truncate(limits.txn_ops);
        let mut conditions = vec![when(job_key(id), job.version)];
        let mut changes = Vec::new();
        for chunk in &chunks {
            let key = progress_key(id, *chunk);
            conditions.push(when(&key, job.saved.version(*chunk)));
            changes.push(put(key, &chunk.encode(&set)));
        }
        let write = QueuedWrite::Progress {
            claim,
            id: id.clone(),
            set,
            chunks,
        };
        Some((write, conditions, changes))
    }

    /// What came of a write of results.
    fn progress_saved(
        &mut self,
        id: &JobId,
        set: &TaskSet,
        chunks: &[ChunkPart],
        reply: &StateReply,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.saving = false;
        match reply {
            StateReply::Committed { revision } => job.saved.written(set, chunks, *revision),
            // It changed nothing and never will.
            StateReply::Refused { .. } | StateReply::Rejected => {}
            _ => job.saved.unclear(chunks),
        }
        if !job.done.chunks_beyond(job.saved.stored()).is_empty() {
            job.unsaved_since.get_or_insert(now);
        }
    }

    /// What is stored of a job's results, as read after an unclear write; false where that
    /// is still not known.
    fn progress_reread(&mut self, id: &JobId, chunk: ChunkPart, reply: &StateReply) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return true;
        };
        job.saving = false;
        match reply {
            StateReply::Missing => {
                job.saved.missing(chunk);
                true
            }
            StateReply::Entry(entry) => {
                let text: Option<String> = serde_json::from_str(entry.value.get()).ok();
                text.is_some_and(|text| job.saved.read(chunk, entry.version, &text))
            }
            _ => false,
        }
    }
}

impl WriteQueue {
    pub fn new(config: &Config) -> Self {
        Self {
            rate: config.writes,
            rates: WriteRate::new(config.writes, config.writes_next),
            stuck: 0,
            allowance: config.writes,
            refilled: Duration::ZERO,
            in_flight: 0,
            retry: Duration::ZERO,
            has_news: false,
        }
    }

    pub fn reset(&mut self) {
        self.in_flight = 0;
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.rate = self.rates.at(now);
        self.allowance = (self.allowance + passed * self.rate).min(self.rate);
    }

    /// A write was refused for the rate.
    pub fn limited(&mut self, now: Duration) {
        self.rates.limited(now);
    }

    /// A write was rejected; it will be made smaller, or can't be.
    pub fn rejected(&mut self, smaller: bool) {
        self.stuck = match smaller {
            true => 0,
            false => self.stuck + 1,
        };
    }

    /// How long writes pause after one that failed.
    fn pause(&self) -> Duration {
        BACK_OFF * 2_u32.pow(self.stuck.min(STUCK_DOUBLES))
    }

    /// There is room beside what has to be written.
    pub fn has_spare_budget(&self) -> bool {
        self.allowance > self.rate / 4.0
    }

    /// Changes that users' requests caused, on any node: they come first, and the
    /// leader makes do with the rest.
    pub fn charge(&mut self, changes: f64) {
        self.allowance = (self.allowance - changes).max(-self.rate);
    }
}

impl Node {
    /// What has to be written goes out, and then old records are rewritten.
    pub(super) fn drive_write_queue(&mut self) {
        self.send_writes();
        self.drive_migration();
    }

    fn send_writes(&mut self) {
        let now = self.now();
        self.write_queue.refill(now);
        self.write_queue.has_news = false;
        if let Some(cluster) = &mut self.cluster {
            cluster
                .assignment_index
                .limit_values(self.limits.value_bytes);
        }
        while self.write_queue.in_flight < IN_FLIGHT && now >= self.write_queue.retry {
            // One change has to be affordable; a larger transaction borrows.
            if self.write_queue.allowance < 1.0 {
                return;
            }
            let Some(claim) = self.claim() else { return };
            if self.reread_shard(claim)
                || self.reread_progress(claim)
                || self.read_range_to_write(now, claim)
            {
                continue;
            }
            let Some((write, mut conditions, changes)) = self.next_write(now) else {
                return;
            };
            conditions.push(when(LEADER, claim));
            self.write_queue.allowance -= changes.len() as f64;
            self.write_queue.in_flight += 1;
            self.call(
                Purpose::QueuedWrite(write),
                StateRequest::Txn {
                    conditions,
                    changes,
                },
            );
        }
    }

    /// Reads one shard of the assignment index again whose write was not answered.
    fn reread_shard(&mut self, claim: u64) -> bool {
        let unsure = self
            .cluster
            .as_mut()
            .and_then(|l| l.assignment_index.unsure());
        let Some(shard) = unsure else { return false };
        let key = shard_key(shard);
        self.write_queue.in_flight += 1;
        let write = Purpose::QueuedWrite(QueuedWrite::Reread { claim, shard });
        self.call(write, StateRequest::Get { key });
        true
    }

    /// Reads results again whose write was not answered. An end of the job stores what
    /// matters and takes them away, so it does not wait for that.
    fn reread_progress(&mut self, claim: u64) -> bool {
        let Some(cluster) = self.cluster.as_mut() else {
            return false;
        };
        let open = cluster
            .jobs
            .iter_mut()
            .filter(|(_, job)| !job.saving && !job.complete());
        let mut unsure = open.filter_map(|(id, job)| Some((id, job.saved.unsure()?, job)));
        let Some((id, chunk, job)) = unsure.next() else {
            return false;
        };
        job.saving = true;
        let id = id.clone();
        let key = progress_key(&id, chunk);
        self.write_queue.in_flight += 1;
        let write = Purpose::QueuedWrite(QueuedWrite::RereadProgress { claim, id, chunk });
        self.call(write, StateRequest::Get { key });
        true
    }

    /// The job whose end is to be stored next, of those whose range may be written.
    fn complete_job(&self, now: Duration) -> Option<&JobId> {
        let packed = self.packs_terminal_states();
        let cluster = self.cluster.as_ref()?;
        let complete = cluster.jobs.iter().filter(|(id, job)| {
            job.complete() && !job.saving && (!packed || self.ranges.free(&Range::of(id).0, now))
        });
        complete
            .min_by_key(|(id, job)| (job.unsaved_since, *id))
            .map(|(id, _)| id)
    }

    /// Terminal states of jobs are stored by range.
    fn packs_terminal_states(&self) -> bool {
        terminal_states::place(self.cache.cluster.0.written_generation()) == Place::Packed
    }

    /// Reads the range where the next end of a job goes, if it is not known.
    fn read_range_to_write(&mut self, now: Duration, claim: u64) -> bool {
        if !self.packs_terminal_states() {
            return false;
        }
        let Some(range) = self.complete_job(now).map(|id| Range::of(id).0) else {
            return false;
        };
        if self.ranges.get(&range).is_some() {
            return false;
        }
        let key = range.key();
        self.ranges.take(&range);
        self.write_queue.in_flight += 1;
        let write = Purpose::QueuedWrite(QueuedWrite::ReadRange { claim, range });
        self.call(write, StateRequest::Get { key });
        true
    }

    /// Stores the end of a job that is complete, and with it those of others in the same
    /// range, which cost one change less each.
    fn next_finish_write(&mut self, now: Duration, claim: u64) -> Option<PreparedWrite> {
        let most = self.limits.txn_ops;
        let (cluster, generation) = self.cache.cluster;
        let first = self.complete_job(now)?.clone();
        let mut ids = vec![first.clone()];
        if self.packs_terminal_states() {
            let range = Range::of(&first).0;
            let jobs = &self.cluster.as_ref()?.jobs;
            let also = jobs.iter().filter(|(id, job)| {
                job.complete() && !job.saving && **id != first && Range::of(id).0 == range
            });
            ids.extend(also.map(|(id, _)| id.clone()).take(most.saturating_sub(2)));
        }
        let leader = self.cluster.as_mut()?;
        let (mut ended, mut conditions) = (Vec::new(), vec![when(GENERATION, generation)]);
        let (mut changes, mut keys) = (Vec::new(), Vec::new());
        for id in ids {
            let job = leader.jobs.get_mut(&id)?;
            conditions.push(when(job_key(&id), job.version));
            changes.push(delete(job_key(&id)));
            let chunks = job.saved.chunks().into_iter();
            keys.extend(chunks.map(|chunk| progress_key(&id, chunk)));
            let needed = self.dependencies.has_dependents(&id);
            let record = TerminalRecord {
                state: JobState::Done,
                done: job.done_count,
                ended_ms: needed.then_some(self.clock.wall_ms),
            };
            ended.push((id, record));
        }
        let terminal_write = terminal_states::terminal_write(&cluster, &ended, &self.ranges)?;
        conditions.extend(terminal_write.conditions);
        changes.extend(terminal_write.changes);
        // What does not fit into this transaction goes with a later one.
        let rest = keys.split_off(keys.len().min(most.saturating_sub(changes.len())));
        changes.extend(keys.into_iter().map(delete));
        for (id, _) in &ended {
            leader.jobs.get_mut(id)?.saving = true;
        }
        if let Some((range, _)) = &terminal_write.ends {
            self.ranges.take(range);
        }
        let write = QueuedWrite::Finish {
            claim,
            ended,
            ends: terminal_write.ends,
            keys: rest,
        };
        Some((write, conditions, changes))
    }

    fn next_write(&mut self, now: Duration) -> Option<PreparedWrite> {
        let most = self.limits.txn_ops;
        let claim = self.cluster.as_ref()?.claim;

        if let Some(write) = self.next_finish_write(now, claim) {
            return Some(write);
        }

        let cluster = self.cluster.as_mut()?;
        // Starts wait for their job to be listed with their machine.
        if let Some((listings, conditions, changes)) = cluster.assignment_index_write(true, most) {
            return Some((
                QueuedWrite::AssignmentIndex { claim, listings },
                conditions,
                changes,
            ));
        }

        if let Some(write) = cluster.next_progress_write(now.saturating_sub(GATHER), &self.limits) {
            return Some(write);
        }

        if let Some((listings, conditions, changes)) = cluster.assignment_index_write(false, most) {
            return Some((
                QueuedWrite::AssignmentIndex { claim, listings },
                conditions,
                changes,
            ));
        }
        // Removing what is left over waits until there is plenty of room.
        if !cluster.garbage.is_empty() && self.write_queue.allowance > self.write_queue.rate / 2.0 {
            let count = cluster.garbage.len().min(most / 4);
            let keys: Vec<String> = cluster.garbage.drain(..count).collect();
            let changes = keys.iter().cloned().map(delete).collect();
            return Some((QueuedWrite::Collect { claim, keys }, Vec::new(), changes));
        }
        None
    }

    pub(super) fn write_answered(&mut self, write: QueuedWrite, reply: StateReply) {
        let now = self.now();
        let (committed, revision) = match &reply {
            StateReply::Committed { revision } => (true, *revision),
            _ => (false, 0),
        };
        if matches!(
            reply,
            StateReply::Refused { .. } | StateReply::Rejected | StateReply::Unclear
        ) {
            self.write_queue.retry = now + self.write_queue.pause();
        }
        if committed {
            self.write_queue.stuck = 0;
        }
        match &write {
            QueuedWrite::Finish { ended, ends, .. } => {
                for (id, record) in ended.iter().filter(|_| committed) {
                    self.cache_terminal_state(id.clone(), *record);
                    self.cache.committed_end(id, revision);
                }
                if let Some((range, _)) = ends {
                    let rest = if committed { RANGE_RESTS } else { BACK_OFF };
                    self.ranges.release(range, now + rest, now);
                }
                self.range_written(&ended[0].0, ends.clone(), &reply);
            }
            QueuedWrite::ReadRange { range, .. } => {
                let read = self.learn_range(range, &reply).is_some();
                let rest = if read { Duration::ZERO } else { BACK_OFF };
                self.ranges.release(range, now + rest, now);
            }
            _ => {}
        }
        let claim = match &write {
            QueuedWrite::AssignmentIndex { claim, .. }
            | QueuedWrite::Reread { claim, .. }
            | QueuedWrite::Progress { claim, .. }
            | QueuedWrite::RereadProgress { claim, .. }
            | QueuedWrite::Finish { claim, .. }
            | QueuedWrite::ReadRange { claim, .. }
            | QueuedWrite::Collect { claim, .. } => *claim,
        };
        let Some(cluster) = self.cluster.as_mut().filter(|l| l.claim == claim) else {
            return;
        };
        self.write_queue.in_flight = self.write_queue.in_flight.saturating_sub(1);
        self.write_queue.has_news = true;
        match write {
            QueuedWrite::AssignmentIndex { listings, .. } => {
                cluster.assignment_index_written(listings, &reply)
            }
            QueuedWrite::Reread { shard, .. } => {
                let version = match &reply {
                    StateReply::Entry(entry) => Some(entry.version),
                    StateReply::Missing => Some(0),
                    _ => None,
                };
                cluster.assignment_index.reread(shard, version);
            }
            QueuedWrite::Progress {
                id, set, chunks, ..
            } => cluster.progress_saved(&id, &set, &chunks, &reply, now),
            QueuedWrite::RereadProgress { id, chunk, .. } => {
                if !cluster.progress_reread(&id, chunk, &reply) {
                    self.write_queue.retry = now + BACK_OFF;
                }
            }
            QueuedWrite::Finish { ended, keys, .. } => {
                for (id, _) in &ended {
                    if let Some(job) = cluster.jobs.get_mut(id) {
                        job.saving = false;
                    }
                    if committed {
                        info!(job = %id, "job done");
                        cluster.remove_job(id, now);
                    }
                }
                if committed {
                    cluster.garbage.extend(keys);
                }
            }
            QueuedWrite::ReadRange { .. } => {}
            QueuedWrite::Collect { keys, .. } => {
                if !committed {
                    cluster.garbage.extend(keys);
                }
            }
        }
    }
}
