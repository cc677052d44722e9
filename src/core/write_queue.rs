//! The leader's writes: the assignment index, results, and terminal states of jobs. Every write is
//! conditional on the leader's claim, so one that is applied late changes nothing.

use std::time::Duration;

use tracing::info;

use super::{
    Node, Purpose, RETRY_DELAY,
    assignment_index::ShardWrite,
    cluster::{ClusterState, Job},
    config::Config,
    job::{JobId, JobState, TaskSet, TerminalRecord},
    limits::{WriteLimits, WriteRate},
    results::{self, ChunkPart},
    store::{
        Change, GENERATION_KEY, LEADER_KEY, StateReply, StateRequest, delete, if_version, job_key,
        progress_key, put, shard_key,
    },
    terminal_states::{self, JobIdRange, Layout, TerminalStates},
};

#[derive(Debug)]
pub enum QueuedWrite {
    AssignmentIndex {
        claim: u64,
        shard_writes: Vec<ShardWrite>,
    },
    /// Rereads a shard of the assignment index after a write with an unknown outcome.
    RereadShard {
        claim: u64,
        shard: u32,
    },
    Progress {
        claim: u64,
        id: JobId,
        set: TaskSet,
        chunks: Vec<ChunkPart>,
    },
    /// Rereads results of a job after a write with an unknown outcome.
    RereadProgress {
        claim: u64,
        id: JobId,
        chunk: ChunkPart,
    },
    Finish {
        claim: u64,
        ended: Vec<(JobId, TerminalRecord)>,
        /// The jobs' range with its new content, if terminal states are stored by range.
        states: Option<(JobIdRange, TerminalStates)>,
        keys: Vec<String>,
    },
    /// Reads a range of terminal states before it is written.
    ReadRange {
        claim: u64,
        range: JobIdRange,
    },
    DeleteGarbage {
        claim: u64,
        keys: Vec<String>,
    },
}

/// Writes in flight, and the write budget.
#[derive(Debug)]
pub struct WriteQueue {
    /// Present rate in changes per second.
    present_rate: f64,
    write_rate: WriteRate,
    /// Consecutive writes that were rejected and can't be made smaller.
    unsplittable_rejections: u32,
    allowance: f64,
    refilled_at: Duration,
    in_flight: u32,
    retry_at: Duration,
    /// Whether a write was answered, so that writes that depend on it can be sent at once.
    pub(super) has_new_replies: bool,
}

/// Maximum number of concurrent requests: writes, and the reads that they depend on.
const MAX_WRITES_IN_FLIGHT: u32 = 6;
/// Maximum number of times the pause doubles while a rejected write can't be made smaller.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Time for which results are collected before they are written together.
const PROGRESS_WRITE_DELAY: Duration = Duration::from_millis(1500);

/// Minimum time between two writes of a range of terminal states. Submissions in the range are
/// conditional on its key, so each write may make some of them conflict. The protocol allows
/// `done` to be 3 s late.
const RANGE_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Write with its conditions and changes.
type PreparedWrite = (QueuedWrite, Vec<super::store::Condition>, Vec<Change>);

impl ClusterState {
    /// Prepares a write for the job with the oldest unsaved result, if that arrived by `before`.
    fn next_progress_write(
        &mut self,
        before: Duration,
        limits: &WriteLimits,
    ) -> Option<PreparedWrite> {
        let claim = self.claim;
        let is_ready =
            |job: &Job| !job.saving && !job.is_complete() && job.saved.next_unverified().is_none();
        let (id, job) = self
            .jobs
            .iter_mut()
            .filter(|(_, job)| is_ready(job) && job.unsaved_since.is_some_and(|at| at <= before))
            .min_by_key(|(id, job)| (job.unsaved_since, (*id).clone()))?;
        job.saving = true;
        job.unsaved_since = None;
        let set = job.done.clone();
        let mut chunks = results::unsaved_parts(&set, job.saved.stored(), limits.value_bytes);
        chunks.truncate(limits.txn_ops);
        let mut conditions = vec![if_version(job_key(id), job.version)];
        let mut changes = Vec::new();
        for chunk in &chunks {
            let key = progress_key(id, *chunk);
            conditions.push(if_version(&key, job.saved.version(*chunk)));
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

    /// Handles the reply to a write of results.
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
            StateReply::Committed { revision } => job.saved.mark_written(set, chunks, *revision),
            // The write was not executed and never will be.
            StateReply::Refused { .. } | StateReply::Rejected => {}
            _ => job.saved.mark_unverified(chunks),
        }
        if !job.done.chunks_added_since(job.saved.stored()).is_empty() {
            job.unsaved_since.get_or_insert(now);
        }
    }

    /// Handles the reply to a reread of a job's results. Returns whether their stored state is
    /// known now.
    fn progress_reread(&mut self, id: &JobId, chunk: ChunkPart, reply: &StateReply) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return true;
        };
        job.saving = false;
        match reply {
            StateReply::Missing => {
                job.saved.mark_missing(chunk);
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
            present_rate: config.write_rate,
            write_rate: WriteRate::new(config.write_rate, config.announced_write_rate),
            unsplittable_rejections: 0,
            allowance: config.write_rate,
            refilled_at: Duration::ZERO,
            in_flight: 0,
            retry_at: Duration::ZERO,
            has_new_replies: false,
        }
    }

    pub fn reset(&mut self) {
        self.in_flight = 0;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.present_rate = self.write_rate.rate_at(now);
        self.allowance = (self.allowance + elapsed * self.present_rate).min(self.present_rate);
    }

    /// Handles a write that was refused because of the rate limit.
    pub fn rate_limited(&mut self, now: Duration) {
        self.write_rate.reduce(now);
    }

    /// Handles a rejected write; `smaller` is set if the next one will be smaller.
    pub fn rejected(&mut self, smaller: bool) {
        self.unsplittable_rejections = match smaller {
            true => 0,
            false => self.unsplittable_rejections + 1,
        };
    }

    /// Returns the delay before the next write after a failed one.
    fn pause(&self) -> Duration {
        RETRY_DELAY * 2_u32.pow(self.unsplittable_rejections.min(MAX_PAUSE_DOUBLINGS))
    }

    /// Returns whether the budget allows optional writes.
    pub fn has_spare_budget(&self) -> bool {
        self.allowance > self.present_rate / 4.0
    }

    /// Charges the budget for changes outside the queue, mostly users' requests at any node:
    /// those come first, and the leader's own writes use the rest.
    pub fn charge(&mut self, changes: f64) {
        self.allowance = (self.allowance - changes).max(-self.present_rate);
    }
}

impl Node {
    /// Sends pending writes, then continues the migration of old records.
    pub(super) fn drive_write_queue(&mut self) {
        self.send_writes();
        self.drive_migration();
    }

    fn send_writes(&mut self) {
        let now = self.now();
        self.write_queue.refill(now);
        self.write_queue.has_new_replies = false;
        if let Some(cluster) = &mut self.cluster {
            cluster
                .assignment_index
                .lower_max_value_bytes(self.limits.value_bytes);
        }
        while self.write_queue.in_flight < MAX_WRITES_IN_FLIGHT && now >= self.write_queue.retry_at
        {
            // The allowance has to cover one change; a larger transaction overdraws it.
            if self.write_queue.allowance < 1.0 {
                return;
            }
            let Some(claim) = self.claim() else { return };
            if self.reread_shard(claim)
                || self.reread_progress(claim)
                || self.read_range_before_write(now, claim)
            {
                continue;
            }
            let Some((write, mut conditions, changes)) = self.next_write(now) else {
                return;
            };
            conditions.push(if_version(LEADER_KEY, claim));
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

    /// Rereads one shard of the assignment index after a write with an unknown outcome.
    fn reread_shard(&mut self, claim: u64) -> bool {
        let unverified = self
            .cluster
            .as_mut()
            .and_then(|cluster| cluster.assignment_index.next_unverified());
        let Some(shard) = unverified else {
            return false;
        };
        let key = shard_key(shard);
        self.write_queue.in_flight += 1;
        let write = Purpose::QueuedWrite(QueuedWrite::RereadShard { claim, shard });
        self.call(write, StateRequest::Get { key });
        true
    }

    /// Rereads results after a write with an unknown outcome. The write that ends a job does not
    /// wait for this, since it stores the terminal state and deletes the results.
    fn reread_progress(&mut self, claim: u64) -> bool {
        let Some(cluster) = self.cluster.as_mut() else {
            return false;
        };
        let idle = cluster
            .jobs
            .iter_mut()
            .filter(|(_, job)| !job.saving && !job.is_complete());
        let mut unverified =
            idle.filter_map(|(id, job)| Some((id, job.saved.next_unverified()?, job)));
        let Some((id, chunk, job)) = unverified.next() else {
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

    /// Returns the next complete job to store as ended, among those whose range may be written.
    fn next_complete_job(&self, now: Duration) -> Option<&JobId> {
        let packed = self.packs_terminal_states();
        let cluster = self.cluster.as_ref()?;
        let complete = cluster.jobs.iter().filter(|(id, job)| {
            job.is_complete()
                && !job.saving
                && (!packed || self.ranges.is_available(&JobIdRange::containing(id).0, now))
        });
        complete
            .min_by_key(|(id, job)| (job.unsaved_since, *id))
            .map(|(id, _)| id)
    }

    /// Returns whether terminal states of jobs are stored by range.
    fn packs_terminal_states(&self) -> bool {
        terminal_states::layout(self.cache.generation.0.written_generation()) == Layout::Packed
    }

    /// Reads the range that the next terminal state belongs to, if its content is unknown.
    fn read_range_before_write(&mut self, now: Duration, claim: u64) -> bool {
        if !self.packs_terminal_states() {
            return false;
        }
        let Some(range) = self
            .next_complete_job(now)
            .map(|id| JobIdRange::containing(id).0)
        else {
            return false;
        };
        if self.ranges.get(&range).is_some() {
            return false;
        }
        let key = range.key();
        self.ranges.mark_busy(&range);
        self.write_queue.in_flight += 1;
        let write = Purpose::QueuedWrite(QueuedWrite::ReadRange { claim, range });
        self.call(write, StateRequest::Get { key });
        true
    }

    /// Prepares the write that ends a complete job, together with other complete jobs in the
    /// same range, which cost one change less each.
    fn next_finish_write(&mut self, now: Duration, claim: u64) -> Option<PreparedWrite> {
        let max_ops = self.limits.txn_ops;
        let (generation, generation_revision) = self.cache.generation;
        let first = self.next_complete_job(now)?.clone();
        let mut ids = vec![first.clone()];
        if self.packs_terminal_states() {
            let range = JobIdRange::containing(&first).0;
            let jobs = &self.cluster.as_ref()?.jobs;
            let others = jobs.iter().filter(|(id, job)| {
                job.is_complete()
                    && !job.saving
                    && **id != first
                    && JobIdRange::containing(id).0 == range
            });
            ids.extend(
                others
                    .map(|(id, _)| id.clone())
                    .take(max_ops.saturating_sub(2)),
            );
        }
        let cluster = self.cluster.as_mut()?;
        let (mut ended, mut conditions) = (
            Vec::new(),
            vec![if_version(GENERATION_KEY, generation_revision)],
        );
        let (mut changes, mut keys) = (Vec::new(), Vec::new());
        for id in ids {
            let job = cluster.jobs.get_mut(&id)?;
            conditions.push(if_version(job_key(&id), job.version));
            changes.push(delete(job_key(&id)));
            let chunks = job.saved.chunks().into_iter();
            keys.extend(chunks.map(|chunk| progress_key(&id, chunk)));
            let has_dependents = self.dependencies.has_dependents(&id);
            let record = TerminalRecord {
                state: JobState::Done,
                done: job.done_count,
                ended_ms: has_dependents.then_some(self.clock.wall_ms),
            };
            ended.push((id, record));
        }
        let terminal_write = terminal_states::terminal_write(&generation, &ended, &self.ranges)?;
        conditions.extend(terminal_write.conditions);
        changes.extend(terminal_write.changes);
        // Keys that do not fit into this transaction are deleted by a later one.
        let remaining_keys = keys.split_off(keys.len().min(max_ops.saturating_sub(changes.len())));
        changes.extend(keys.into_iter().map(delete));
        for (id, _) in &ended {
            cluster.jobs.get_mut(id)?.saving = true;
        }
        if let Some((range, _)) = &terminal_write.states {
            self.ranges.mark_busy(range);
        }
        let write = QueuedWrite::Finish {
            claim,
            ended,
            states: terminal_write.states,
            keys: remaining_keys,
        };
        Some((write, conditions, changes))
    }

    fn next_write(&mut self, now: Duration) -> Option<PreparedWrite> {
        let max_ops = self.limits.txn_ops;
        let claim = self.cluster.as_ref()?.claim;

        if let Some(write) = self.next_finish_write(now, claim) {
            return Some(write);
        }

        let cluster = self.cluster.as_mut()?;
        // Tasks start only after the assignment index lists their job for the machine.
        if let Some((shard_writes, conditions, changes)) =
            cluster.assignment_index_write(true, max_ops)
        {
            return Some((
                QueuedWrite::AssignmentIndex {
                    claim,
                    shard_writes,
                },
                conditions,
                changes,
            ));
        }

        if let Some(write) =
            cluster.next_progress_write(now.saturating_sub(PROGRESS_WRITE_DELAY), &self.limits)
        {
            return Some(write);
        }

        if let Some((shard_writes, conditions, changes)) =
            cluster.assignment_index_write(false, max_ops)
        {
            return Some((
                QueuedWrite::AssignmentIndex {
                    claim,
                    shard_writes,
                },
                conditions,
                changes,
            ));
        }
        // Leftover keys are deleted only while at least half of the budget is free.
        if !cluster.obsolete_keys.is_empty()
            && self.write_queue.allowance > self.write_queue.present_rate / 2.0
        {
            let count = cluster.obsolete_keys.len().min(max_ops / 4);
            let keys: Vec<String> = cluster.obsolete_keys.drain(..count).collect();
            let changes = keys.iter().cloned().map(delete).collect();
            return Some((
                QueuedWrite::DeleteGarbage { claim, keys },
                Vec::new(),
                changes,
            ));
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
            self.write_queue.retry_at = now + self.write_queue.pause();
        }
        if committed {
            self.write_queue.unsplittable_rejections = 0;
        }
        match &write {
            QueuedWrite::Finish { ended, states, .. } => {
                for (id, record) in ended.iter().filter(|_| committed) {
                    self.cache_terminal_state(id.clone(), *record);
                    self.cache.job_end_committed(id, revision);
                }
                if let Some((range, _)) = states {
                    let pause = if committed {
                        RANGE_WRITE_INTERVAL
                    } else {
                        RETRY_DELAY
                    };
                    self.ranges.release(range, now + pause, now);
                }
                self.range_written(&ended[0].0, states.clone(), &reply);
            }
            QueuedWrite::ReadRange { range, .. } => {
                let is_known = self.cache_range(range, &reply).is_some();
                let pause = if is_known {
                    Duration::ZERO
                } else {
                    RETRY_DELAY
                };
                self.ranges.release(range, now + pause, now);
            }
            _ => {}
        }
        let claim = match &write {
            QueuedWrite::AssignmentIndex { claim, .. }
            | QueuedWrite::RereadShard { claim, .. }
            | QueuedWrite::Progress { claim, .. }
            | QueuedWrite::RereadProgress { claim, .. }
            | QueuedWrite::Finish { claim, .. }
            | QueuedWrite::ReadRange { claim, .. }
            | QueuedWrite::DeleteGarbage { claim, .. } => *claim,
        };
        let Some(cluster) = self
            .cluster
            .as_mut()
            .filter(|cluster| cluster.claim == claim)
        else {
            return;
        };
        self.write_queue.in_flight = self.write_queue.in_flight.saturating_sub(1);
        self.write_queue.has_new_replies = true;
        match write {
            QueuedWrite::AssignmentIndex { shard_writes, .. } => {
                cluster.assignment_index_written(shard_writes, &reply)
            }
            QueuedWrite::RereadShard { shard, .. } => {
                let version = match &reply {
                    StateReply::Entry(entry) => Some(entry.version),
                    StateReply::Missing => Some(0),
                    _ => None,
                };
                cluster.assignment_index.record_reread(shard, version);
            }
            QueuedWrite::Progress {
                id, set, chunks, ..
            } => cluster.progress_saved(&id, &set, &chunks, &reply, now),
            QueuedWrite::RereadProgress { id, chunk, .. } => {
                if !cluster.progress_reread(&id, chunk, &reply) {
                    self.write_queue.retry_at = now + RETRY_DELAY;
                }
            }
            QueuedWrite::Finish { ended, keys, .. } => {
                for (id, _) in &ended {
                    if let Some(job) = cluster.jobs.get_mut(id) {
                        job.saving = false;
                    }
                    if committed {
                        info!(job = %id, "job completed");
                        cluster.remove_job(id, now);
                    }
                }
                if committed {
                    cluster.obsolete_keys.extend(keys);
                }
            }
            QueuedWrite::ReadRange { .. } => {}
            QueuedWrite::DeleteGarbage { keys, .. } => {
                if !committed {
                    cluster.obsolete_keys.extend(keys);
                }
            }
        }
    }
}
