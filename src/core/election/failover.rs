//! Failover: loads job progress and the assignment index before a new leader acts.
//!
//! Owns the loader and builds the cluster state of the new term from it. Meanwhile reports are
//! answered, so that no worker loses its lease; the loader records each of these renewals. A node never leads
//! on partially loaded state: an unreadable entry aborts the failover, and the cluster state is
//! built only within the term and after everything has been read.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_recovery::worker_leases::WorkerLeases;
use tracing::debug;

use super::super::{
    Answer, Node, Purpose, RETRY_DELAY, STATE_TIMEOUT,
    assignment_index::ShardRecord,
    cluster::{ClusterState, StoredClusterState},
    fencing::claim_of,
    job::JobId,
    machine::{Command, MAX_COMMANDS_PER_ANSWER, WorkerReport},
    results::{ChunkPart, Results},
    store::{ASSIGNMENTS_PREFIX, Entry, PROGRESS_PREFIX, StateReply, StateRequest},
};

/// State that a new leader loads before it acts.
#[derive(Debug, Default)]
pub(super) struct FailoverLoader {
    started: bool,
    progress: Option<BTreeMap<JobId, Results>>,
    index: Option<Vec<(u32, ShardRecord, u64)>>,
    partial_progress: BTreeMap<JobId, Results>,
    partial_index: Vec<(u32, ShardRecord, u64)>,
    /// Leases of the workers, including those that this node renews during the failover.
    worker_leases: WorkerLeases,
    retry_at: Duration,
    reads_in_flight: u32,
    /// Whether the first attempt failed.
    has_failed: bool,
}

/// Number of concurrent reads: job progress and the assignment index.
const FAILOVER_READ_COUNT: u32 = 2;
/// Timeout of the first attempt. The reads are idempotent, and a lost reply must not delay the
/// failover; later attempts use `STATE_TIMEOUT`.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

impl FailoverLoader {
    pub(super) fn new(worker_leases: WorkerLeases) -> Self {
        Self {
            worker_leases,
            ..Self::default()
        }
    }

    /// Returns whether the reads should be started, for the first time or again.
    fn is_due(&self, now: Duration) -> bool {
        !self.started && self.reads_in_flight == 0 && now >= self.retry_at
    }

    /// Returns whether both reads have finished.
    fn is_complete(&self) -> bool {
        self.reads_in_flight == 0 && self.progress.is_some() && self.index.is_some()
    }

    /// Resets the loader to the first page of both reads and marks them as in flight.
    fn start_reads(&mut self) {
        self.started = true;
        self.partial_progress.clear();
        self.partial_index.clear();
        self.reads_in_flight = FAILOVER_READ_COUNT;
    }

    /// Restarts both reads after a failed page: at once if the reply to the first attempt was lost,
    /// otherwise after a delay.
    fn read_failed(&mut self, reply: &StateReply, now: Duration) {
        let reply_lost = !self.has_failed && matches!(reply, StateReply::Unclear);
        self.reads_in_flight -= 1;
        self.started = false;
        self.has_failed = true;
        self.retry_at = if reply_lost { now } else { now + RETRY_DELAY };
    }

    /// Adds a page and returns the key of its first unreadable entry, if any.
    fn add_page(&mut self, read: FailoverRead, entries: &[Entry]) -> Option<String> {
        let unreadable = entries.iter().find(|entry| {
            let added = match read {
                FailoverRead::AssignmentIndex { .. } => self.add_shard(entry),
                FailoverRead::Progress { .. } => self.add_progress(entry),
            };
            added.is_none()
        });
        unreadable.map(|entry| entry.key.clone())
    }

    /// Completes one of the reads after its last page.
    fn finish_read(&mut self, read: FailoverRead) {
        self.reads_in_flight -= 1;
        match read {
            FailoverRead::AssignmentIndex { .. } => {
                self.index = Some(std::mem::take(&mut self.partial_index));
            }
            FailoverRead::Progress { .. } => {
                self.progress = Some(std::mem::take(&mut self.partial_progress));
            }
        }
    }

    /// Adds a shard of the assignment index; returns `None` if it can't be read.
    fn add_shard(&mut self, entry: &Entry) -> Option<()> {
        let shard = entry.key.strip_prefix(ASSIGNMENTS_PREFIX)?.parse().ok()?;
        let record = ShardRecord::parse(entry.value.get())?;
        self.partial_index.push((shard, record, entry.version));
        Some(())
    }

    /// Adds the finished tasks of an array; returns `None` if they can't be read.
    fn add_progress(&mut self, entry: &Entry) -> Option<()> {
        let (id, chunk) = entry.key.strip_prefix(PROGRESS_PREFIX)?.split_once('/')?;
        let (id, chunk) = (JobId::parse(id)?, ChunkPart::parse(chunk)?);
        let text: String = serde_json::from_str(entry.value.get()).ok()?;
        let results = self.partial_progress.entry(id).or_default();
        results.read(chunk, entry.version, &text).then_some(())
    }
}

/// One of the two reads of a failover, with the claim it was started for.
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
        let is_leader = self.is_leader();
        if self.election.loader.is_some() && !is_leader {
            self.expedite_verification();
        }
        let (Some(loader), Some(claim)) = (&self.election.loader, self.election.claim) else {
            return;
        };
        let now = self.now();
        if now < self.election.last_renewal_sent + self.config.leader_term && loader.is_due(now) {
            self.start_failover_reads(claim);
            return;
        }
        // Being the leader implies that the cache includes everything stored before the claim.
        if is_leader && loader.is_complete() {
            self.take_over(claim);
        }
    }

    fn start_failover_reads(&mut self, claim: u64) {
        let Some(loader) = &mut self.election.loader else {
            return;
        };
        loader.start_reads();
        self.read_failover_page(FailoverRead::Progress { claim }, None);
        self.read_failover_page(FailoverRead::AssignmentIndex { claim }, None);
    }

    /// Builds the cluster state of the new term from the loaded state.
    fn take_over(&mut self, claim: u64) {
        let now = self.now();
        let Some(types) = self.cache.machine_types.clone() else {
            return;
        };
        let Some(loader) = self.election.loader.take() else {
            return;
        };
        let mut worker_leases = loader.worker_leases;
        worker_leases.set_zone_lease_ends(self.zone_lease_ends());
        let stored = StoredClusterState {
            jobs: &self.cache.jobs,
            progress: loader.progress.unwrap_or_default(),
            assignment_index: loader.index.unwrap_or_default(),
            worker_leases,
        };
        let mut cluster = ClusterState::new(self.config.clone(), claim, types, stored, now);
        cluster.apply_handover(std::mem::take(&mut self.handover), now);
        self.cluster = Some(cluster);
        self.apply_graph();
    }

    pub(super) fn failover_timeout(&self) -> Duration {
        match &self.election.loader {
            Some(loader) if !loader.has_failed => FIRST_ATTEMPT_TIMEOUT,
            _ => STATE_TIMEOUT,
        }
    }

    fn read_failover_page(&mut self, read: FailoverRead, after: Option<String>) {
        let prefix = match read {
            FailoverRead::AssignmentIndex { .. } => ASSIGNMENTS_PREFIX,
            FailoverRead::Progress { .. } => PROGRESS_PREFIX,
        };
        self.call_with_timeout(
            self.failover_timeout(),
            Purpose::Failover(read),
            StateRequest::List {
                prefix: prefix.into(),
                after,
            },
        );
    }

    pub(in crate::core) fn failover_read_answered(
        &mut self,
        read: FailoverRead,
        reply: StateReply,
    ) {
        let now = self.now();
        if self.election.claim != Some(read.claim()) {
            return;
        }
        let Some(loader) = &mut self.election.loader else {
            return;
        };
        let StateReply::Entries { entries, more, .. } = reply else {
            loader.read_failed(&reply, now);
            return;
        };
        if let Some(key) = loader.add_page(read, &entries) {
            self.abort_failover(&key);
            return;
        }
        if let (true, Some(last)) = (more, entries.last()) {
            self.read_failover_page(read, Some(last.key.clone()));
            return;
        }
        loader.finish_read(read);
    }

    /// Answers a report during the failover: renews the worker's lease and stops its tasks of
    /// finished jobs, since a lease renewed without that would carry cancelled tasks through
    /// successive failovers. Other commands come later, and the report does not count as heard.
    pub(in crate::core) fn answer_during_failover(
        &mut self,
        report: &WorkerReport,
    ) -> Option<Answer> {
        let token = self.election.token()?;
        let is_superseded = claim_of(report.token) > claim_of(token);
        if is_superseded {
            return None;
        }
        let now = self.now();
        let loader = self.election.loader.as_mut()?;
        loader.worker_leases.record_renewal(&report.machine, now);
        debug!(
            machine = %report.machine,
            seq = report.seq,
            seen_token = report.token,
            "renewing a worker's lease during the failover"
        );
        let commands = self.stops_of_finished_jobs(report);
        Some(Answer::Commands { token, commands })
    }

    /// Returns commands that stop the reported tasks of jobs that have ended.
    fn stops_of_finished_jobs(&self, report: &WorkerReport) -> Vec<Command> {
        let is_finished =
            |job| !self.cache.jobs.contains_key(job) && !self.cache.is_unreadable(job);
        let active_tasks = report.tasks.iter().filter(|t| !t.phase.exited());
        let finished = active_tasks.filter(|t| is_finished(&t.task.job));
        let stops = finished.map(|t| Command::Stop {
            task: t.task.clone(),
            attempt: t.attempt,
            grace: Duration::ZERO,
        });
        stops.take(MAX_COMMANDS_PER_ANSWER).collect()
    }
}
