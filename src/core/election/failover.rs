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

/// The first try of a failover is given up after this time: what it reads changes nothing,
/// and an answer that was lost must not hold everything up. Later ones take the usual time.
const FIRST_ATTEMPT: Duration = Duration::from_millis(500);

impl FailoverLoader {
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
        let now = self.now();
        let acts = self.is_leader();
        if self.election.loader.is_some() && !acts {
            self.expedite_proof();
        }
        let (Some(loader), Some(claim)) = (&mut self.election.loader, self.election.claim) else {
            return;
        };
        if now < self.election.renewed + self.config.leader_term
            && !loader.started
            && loader.in_flight == 0
            && now >= loader.retry
        {
            loader.started = true;
            loader.progress_so_far.clear();
            loader.index_so_far.clear();
            loader.in_flight = 2;
            self.read_failover_page(FailoverRead::Progress { claim }, None);
            self.read_failover_page(FailoverRead::AssignmentIndex { claim }, None);
            return;
        }
        // The cache must hold what came until the claim, too.
        if loader.in_flight > 0 || !acts || loader.progress.is_none() || loader.index.is_none() {
            return;
        }
        let Some(types) = self.cache.types.clone() else {
            return;
        };
        let loader = self.election.loader.take().expect("just seen");
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
        self.tell_leader_of_graph();
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
            _ => PROGRESS,
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
            let lost = !loader.again && matches!(reply, StateReply::Unclear);
            loader.in_flight -= 1;
            loader.started = false;
            loader.again = true;
            loader.retry = if lost { now } else { now + BACK_OFF };
            return;
        };
        let last = entries.last().map(|e| e.key.clone());
        let mut unreadable = entries.iter().filter(|entry| {
            let read = match loading {
                FailoverRead::AssignmentIndex { .. } => loader.add_shard(entry),
                _ => loader.add_progress(entry),
            };
            read.is_none()
        });
        if let Some(entry) = unreadable.next() {
            let key = entry.key.clone();
            self.abort_failover(&key);
            return;
        }
        if let (true, Some(_)) = (more, &last) {
            self.read_failover_page(loading, last);
            return;
        }
        loader.in_flight -= 1;
        match loading {
            FailoverRead::AssignmentIndex { .. } => {
                loader.index = Some(std::mem::take(&mut loader.index_so_far));
            }
            _ => loader.progress = Some(std::mem::take(&mut loader.progress_so_far)),
        }
    }
}
