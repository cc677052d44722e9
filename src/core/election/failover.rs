//! What a new leader reads before it acts: the progress of jobs and the assignment index.
//!
//! Owns the loader and builds the cluster state of the new term from it. It never lets a
//! node lead on part of what is stored: an entry that can't be read aborts the failover, and
//! the cluster state is made only inside the term and once everything was read.

use std::{collections::BTreeMap, time::Duration};

use super::super::{
    BACK_OFF, Node, Purpose, STATE_TIMEOUT,
    assignment_index::ShardRecord,
    cluster::{ClusterState, StoredClusterState},
    job::JobId,
    results::{ChunkPart, Results},
    store::{ASSIGNMENTS, Entry, PROGRESS, StateReply, StateRequest},
};

/// What a new leader reads before it acts.
#[derive(Debug, Default)]
pub(super) struct FailoverLoader {
    started: bool,
    progress: Option<BTreeMap<JobId, Results>>,
    index: Option<Vec<(u32, ShardRecord, u64)>>,
    progress_so_far: BTreeMap<JobId, Results>,
    index_so_far: Vec<(u32, ShardRecord, u64)>,
    retry: Duration,
    in_flight: u32,
    /// It was not read at the first try.
    again: bool,
}

/// The progress of jobs and the assignment index are read side by side.
const FAILOVER_READS: u32 = 2;
/// The first try of a failover is given up after this time: what it reads changes nothing,
/// and an answer that was lost must not hold everything up. Later ones take the usual time.
const FIRST_ATTEMPT: Duration = Duration::from_millis(500);

impl FailoverLoader {
    /// The reads are to be started, for the first time or again.
    fn is_due(&self, now: Duration) -> bool {
        !self.started && self.in_flight == 0 && now >= self.retry
    }

    /// All was read.
    fn is_complete(&self) -> bool {
        self.in_flight == 0 && self.progress.is_some() && self.index.is_some()
    }

    /// Both reads are under way, from their first page.
    fn start(&mut self) {
        self.started = true;
        self.progress_so_far.clear();
        self.index_so_far.clear();
        self.in_flight = FAILOVER_READS;
    }

    /// A page was not read: both reads start again, at once where the first try was lost.
    fn read_failed(&mut self, reply: &StateReply, now: Duration) {
        let lost = !self.again && matches!(reply, StateReply::Unclear);
        self.in_flight -= 1;
        self.started = false;
        self.again = true;
        self.retry = if lost { now } else { now + BACK_OFF };
    }

    /// Takes a page in; the key of the first entry that can't be read, where there is one.
    fn add_page(&mut self, loading: FailoverRead, entries: &[Entry]) -> Option<String> {
        let unreadable = entries.iter().find(|entry| {
            let read = match loading {
                FailoverRead::AssignmentIndex { .. } => self.add_shard(entry),
                FailoverRead::Progress { .. } => self.add_progress(entry),
            };
            read.is_none()
        });
        unreadable.map(|entry| entry.key.clone())
    }

    /// The last page of one of the reads is in.
    fn finish(&mut self, loading: FailoverRead) {
        self.in_flight -= 1;
        match loading {
            FailoverRead::AssignmentIndex { .. } => {
                self.index = Some(std::mem::take(&mut self.index_so_far));
            }
            FailoverRead::Progress { .. } => {
                self.progress = Some(std::mem::take(&mut self.progress_so_far));
            }
        }
    }

    /// Takes a shard of the assignment index in; none where it can't be read.
    fn add_shard(&mut self, entry: &Entry) -> Option<()> {
        let shard = entry.key.strip_prefix(ASSIGNMENTS)?.parse().ok()?;
        let record = ShardRecord::parse(entry.value.get())?;
        self.index_so_far.push((shard, record, entry.version));
        Some(())
    }

    /// The same for done tasks of an array.
    fn add_progress(&mut self, entry: &Entry) -> Option<()> {
        let (id, chunk) = entry.key.strip_prefix(PROGRESS)?.split_once('/')?;
        let (id, chunk) = (JobId::parse(id)?, ChunkPart::parse(chunk)?);
        let text: String = serde_json::from_str(entry.value.get()).ok()?;
        let results = self.progress_so_far.entry(id).or_default();
        results.read(chunk, entry.version, &text).then_some(())
    }
}

/// One of the two reads of a failover, under the claim for which it was begun.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FailoverRead {
    Progress { claim: u64 },
    AssignmentIndex { claim: u64 },
}

impl FailoverRead {
    fn claim(self) -> u64 {
        match self {
            FailoverRead::Progress { claim } | FailoverRead::AssignmentIndex { claim } => claim,
        }
    }
}

impl Node {
    pub(super) fn drive_failover(&mut self) {
        let acts = self.is_leader();
        if self.election.loader.is_some() && !acts {
            self.expedite_proof();
        }
        let (Some(loader), Some(claim)) = (&self.election.loader, self.election.claim) else {
            return;
        };
        let now = self.now();
        if now < self.election.renewed + self.config.leader_term && loader.is_due(now) {
            self.start_failover_reads(claim);
            return;
        }
        // The cache must hold what came until the claim, too.
        if acts && loader.is_complete() {
            self.take_over(claim);
        }
    }

    fn start_failover_reads(&mut self, claim: u64) {
        let Some(loader) = &mut self.election.loader else {
            return;
        };
        loader.start();
        self.read_failover_page(FailoverRead::Progress { claim }, None);
        self.read_failover_page(FailoverRead::AssignmentIndex { claim }, None);
    }

    /// Makes the cluster state of the new term from what was read.
    fn take_over(&mut self, claim: u64) {
        let now = self.now();
        let Some(types) = self.cache.types.clone() else {
            return;
        };
        let Some(loader) = self.election.loader.take() else {
            return;
        };
        let found = StoredClusterState {
            jobs: &self.cache.jobs,
            progress: loader.progress.unwrap_or_default(),
            assignment_index: loader.index.unwrap_or_default(),
            resolve_by: self.election.previous_stopped_at + self.config.worker_lease_bound,
            zone_lease_ends: self.zone_lease_ends(),
        };
        let mut cluster = ClusterState::new(self.config.clone(), claim, types, found, now);
        cluster.apply_handover(std::mem::take(&mut self.handover), now);
        self.cluster = Some(cluster);
        self.apply_graph();
    }

    pub(super) fn failover_timeout(&self) -> Duration {
        match &self.election.loader {
            Some(loader) if !loader.again => FIRST_ATTEMPT,
            _ => STATE_TIMEOUT,
        }
    }

    fn read_failover_page(&mut self, loading: FailoverRead, after: Option<String>) {
        let prefix = match loading {
            FailoverRead::AssignmentIndex { .. } => ASSIGNMENTS,
            FailoverRead::Progress { .. } => PROGRESS,
        };
        self.call_within(
            self.failover_timeout(),
            Purpose::Failover(loading),
            StateRequest::List {
                prefix: prefix.into(),
                after,
            },
        );
    }

    pub(in crate::core) fn failover_reply(&mut self, loading: FailoverRead, reply: StateReply) {
        let now = self.now();
        if self.election.claim != Some(loading.claim()) {
            return;
        }
        let Some(loader) = &mut self.election.loader else {
            return;
        };
        let StateReply::Entries { entries, more, .. } = reply else {
            loader.read_failed(&reply, now);
            return;
        };
        if let Some(key) = loader.add_page(loading, &entries) {
            self.abort_failover(&key);
            return;
        }
        if let (true, Some(last)) = (more, entries.last()) {
            self.read_failover_page(loading, Some(last.key.clone()));
            return;
        }
        loader.finish(loading);
    }
}
