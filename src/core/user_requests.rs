//! Users' requests. Any node answers them: jobs live in the state service, and
//! a node answers only from a state cache that is known to be as recent as the request.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use kiteyard_job_graph::Status;
use kiteyard_rollout::generation::ClusterGeneration;

use super::{
    Answer, Node, Purpose, RequestId,
    job::{JobId, JobRecord, JobSpec, JobState, Kind, Resources, TerminalRecord},
    machine::MachineType,
    store::{
        GENERATION_KEY, StateReply, StateRequest, delete, encoded_len, if_version, job_key, put,
        terminal_key,
    },
    terminal_states::{self, JobIdRange, KnownRange, Layout},
};

/// Request about a job, answered once the job's state has been confirmed.
#[derive(Debug, Clone)]
pub enum JobQuery {
    Status,
    /// Submission of a job that may exist already, and the number of attempts to store it.
    Resubmit(Arc<JobSpec>, u8),
    /// Submission to be rejected with this reason, unless the job was accepted before.
    Reject(String),
    Withdraw,
    /// A submission names this job as a dependency.
    ForSubmission(Box<DependencyCheck>),
    /// Request about a job that depends on this one.
    ForDependent(Box<PendingQuery>),
}

/// Submission whose dependencies are not all known to have been accepted yet.
#[derive(Debug, Clone)]
pub struct DependencyCheck {
    request: RequestId,
    spec: Arc<JobSpec>,
    /// Dependencies that remain to be checked, the next one last.
    unchecked: Vec<JobId>,
}

/// Job query and the request that it answers.
#[derive(Debug, Clone)]
pub struct PendingQuery {
    request: RequestId,
    id: JobId,
    query: JobQuery,
}

/// Search for the stored terminal state of a job.
#[derive(Debug)]
pub struct TerminalRead {
    id: JobId,
    request: RequestId,
    query: JobQuery,
    /// Layouts that remain to be read.
    layouts: Vec<Layout>,
    /// Revision of the generation record from which the layouts were derived.
    generation: u64,
}

impl TerminalRead {
    /// Covers every layout in which this generation may store the terminal state.
    pub(super) fn new(
        request: RequestId,
        id: JobId,
        query: JobQuery,
        (cluster, generation): &(ClusterGeneration, u64),
    ) -> Self {
        Self {
            id,
            request,
            query,
            layouts: terminal_states::layouts(cluster),
            generation: *generation,
        }
    }
}

#[derive(Debug, Default)]
pub struct UserRequests {
    /// Queries that wait for the next sync of the state cache.
    queued: Vec<PendingQuery>,
    /// Queries that the sync in flight covers.
    syncing: Vec<PendingQuery>,
    sync_in_flight: bool,
    next_sync: Duration,
}

/// Write that needs the contents of a terminal state range first.
#[derive(Debug, Clone)]
pub enum AfterRangeRead {
    Accept(Arc<JobSpec>, u8),
    Cancel,
}

/// Delay after which a client should repeat a request that could not be answered.
const CLIENT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Attempts to store a submission that conflicts with other writes.
const MAX_STORE_ATTEMPTS: u8 = 4;

impl Node {
    pub(super) fn submit(&mut self, request: RequestId, spec: Arc<JobSpec>) {
        let is_available = self.cache.loaded && !self.cannot_read_state();
        let Some(types) = self.cache.machine_types.clone().filter(|_| is_available) else {
            self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            );
            return;
        };
        let id = spec.id.clone();
        if self.cache.jobs.contains_key(&id) || self.terminal_cache.contains_key(&id) {
            self.queue_query(request, id, JobQuery::Resubmit(spec, MAX_STORE_ATTEMPTS));
            return;
        }
        let rejection = self.infeasible_reason(&spec, &types);
        if let Some(reason) = rejection.or_else(|| self.oversize_reason(&spec)) {
            self.queue_query(request, id, JobQuery::Reject(reason));
            return;
        }
        if !spec.needs.is_empty() && !self.all_support_dependencies() {
            self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            );
            return;
        }
        self.check_dependencies(DependencyCheck {
            request,
            unchecked: spec.needs.clone(),
            spec,
        });
    }

    /// Checks each dependency of a submission, and stores the submission once all of them are
    /// known to have been accepted. A dependency that is cancelled meanwhile does no harm: the
    /// new job is cancelled with it, whichever write comes first.
    fn check_dependencies(&mut self, mut check: DependencyCheck) {
        while let Some(dependency) = check.unchecked.last() {
            if let Some(job) = self.cache.jobs.get(dependency) {
                if job.record.spec.kind == Kind::Service {
                    self.reject_for_dependency(check, "is a service");
                    return;
                }
            } else if self.cache.is_unreadable(dependency) {
                self.answer(
                    check.request,
                    Answer::Later {
                        retry: CLIENT_RETRY_DELAY,
                    },
                );
                return;
            } else if !self.terminal_cache.contains_key(dependency) {
                let key = job_key(dependency);
                self.call(
                    Purpose::ReadDependency(Box::new(check)),
                    StateRequest::Get { key },
                );
                return;
            }
            check.unchecked.pop();
        }
        self.accept(check.request, check.spec, 0);
    }

    /// Rejects a submission because of a dependency, unless the job was accepted before.
    fn reject_for_dependency(&mut self, check: DependencyCheck, why: &str) {
        let Some(dependency) = check.unchecked.last() else {
            return;
        };
        let reason = format!("waits_on: {dependency} {why}");
        let id = check.spec.id.clone();
        self.queue_query(check.request, id, JobQuery::Reject(reason));
    }

    /// Handles the read of a dependency's job record.
    pub(super) fn dependency_read(&mut self, mut check: DependencyCheck, reply: &StateReply) {
        let Some(dependency) = check.unchecked.last().cloned() else {
            return;
        };
        match reply {
            StateReply::Entry(entry) => {
                match serde_json::from_str::<JobRecord>(entry.value.get()) {
                    Ok(record) if record.spec.kind == Kind::Service => {
                        self.reject_for_dependency(check, "is a service");
                    }
                    Ok(_) => {
                        check.unchecked.pop();
                        self.check_dependencies(check);
                    }
                    Err(_) => {
                        self.report_unreadable(&entry.key);
                        self.answer(
                            check.request,
                            Answer::Later {
                                retry: CLIENT_RETRY_DELAY,
                            },
                        );
                    }
                }
            }
            // Not active: if it was ever accepted, its terminal state is stored by now.
            StateReply::Missing => {
                let request = check.request;
                self.look_up_terminal_state(
                    request,
                    dependency,
                    JobQuery::ForSubmission(Box::new(check)),
                );
            }
            _ => self.answer(
                check.request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            ),
        }
    }

    /// Stores a job on condition that no record of it exists in any format, and that the
    /// generation is the one this node knows.
    fn accept(&mut self, request: RequestId, spec: Arc<JobSpec>, attempts: u8) {
        let id = spec.id.clone();
        let (cluster, generation) = self.cache.generation;
        let Some(absence) = terminal_states::absence_conditions(&cluster, &id, &self.ranges) else {
            let range = JobIdRange::containing(&id).0;
            match self.ranges.get(&range).is_some() {
                // The range holds a terminal state of this job.
                true => self.queue_query(request, id, JobQuery::Resubmit(spec, MAX_STORE_ATTEMPTS)),
                false => self.read_range(request, id, AfterRangeRead::Accept(spec, attempts)),
            }
            return;
        };
        let accepted_ms = self.clock.wall_ms;
        let record = JobRecord {
            spec: spec.clone(),
            accepted_ms,
        };
        let mut conditions = vec![
            if_version(job_key(&id), 0),
            if_version(GENERATION_KEY, generation),
        ];
        conditions.extend(absence);
        self.call(
            Purpose::Accept {
                request,
                spec,
                accepted_ms,
                attempts,
            },
            StateRequest::Txn {
                conditions,
                changes: vec![put(job_key(&id), &record)],
            },
        );
    }

    fn read_range(&mut self, request: RequestId, id: JobId, then: AfterRangeRead) {
        let key = JobIdRange::containing(&id).0.key();
        let purpose = Purpose::ReadRange { request, id, then };
        self.call(purpose, StateRequest::Get { key });
    }

    pub(super) fn range_read(
        &mut self,
        request: RequestId,
        id: JobId,
        then: AfterRangeRead,
        reply: &StateReply,
    ) {
        if self
            .cache_range(&JobIdRange::containing(&id).0, reply)
            .is_none()
        {
            self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            );
            return;
        }
        match then {
            AfterRangeRead::Accept(spec, attempts) => self.accept(request, spec, attempts),
            AfterRangeRead::Cancel => self.cancel(request, id),
        }
    }

    /// Caches the contents of a range that was just read. Returns `None` if they are unknown.
    pub(super) fn cache_range(
        &mut self,
        range: &JobIdRange,
        reply: &StateReply,
    ) -> Option<KnownRange> {
        let known = match reply {
            StateReply::Missing => KnownRange::default(),
            StateReply::Entry(entry) => match serde_json::from_str(entry.value.get()) {
                Ok(states) => KnownRange {
                    version: entry.version,
                    states,
                },
                Err(_) => {
                    self.report_unreadable(&entry.key);
                    return None;
                }
            },
            _ => return None,
        };
        self.ranges.forget(range);
        self.ranges.update(range.clone(), known.clone());
        Some(known)
    }

    /// Returns the reason why a job's record is too large to be stored, if it is.
    fn oversize_reason(&self, spec: &Arc<JobSpec>) -> Option<String> {
        let record = JobRecord {
            spec: spec.clone(),
            accepted_ms: self.clock.wall_ms,
        };
        let (bytes, max_bytes) = (encoded_len(&record), self.limits.value_bytes);
        (bytes > max_bytes)
            .then(|| format!("job record has {bytes} bytes; at most {max_bytes} are allowed"))
    }

    /// Returns the reason why a job can never run, if there is one.
    fn infeasible_reason(&self, spec: &JobSpec, types: &[MachineType]) -> Option<String> {
        let Some(team) = self.config.teams.get(&spec.team) else {
            return Some("unknown team".into());
        };
        let fits = types.iter().any(|t| {
            spec.allows_type(&t.name)
                && spec.need.fits_in(&t.size)
                && spec
                    .zone
                    .as_ref()
                    .is_none_or(|zone| t.zones.iter().any(|z| **z == **zone))
        });
        if !fits {
            return Some("no allowed machine type has capacity for a task".into());
        }
        let concurrent_tasks = match spec.kind {
            Kind::Array => 1,
            Kind::Gang | Kind::Service => spec.tasks,
        };
        let licences = self.config.options.licences.as_deref();
        for (name, seats) in &spec.licences {
            let Some(licence) = licences.and_then(|l| l.licences.get(name)) else {
                return Some(format!("unknown licence {name}"));
            };
            let wanted = u64::from(*seats) * u64::from(concurrent_tasks);
            if wanted > u64::from(licence.max_seats_for(&spec.team)) {
                return Some(format!("needs more seats of {name} than the team may use"));
            }
        }
        let total = Resources::default().plus_scaled(&spec.need, f64::from(concurrent_tasks));
        let exceeds = |limit: f64, value: f64| limit > 0.0 && value > limit + 1e-6;
        (exceeds(team.cpus_max, total.cpus) || exceeds(team.gpus_max, total.gpus))
            .then(|| "exceeds the team's limit".into())
    }

    pub(super) fn accepted(
        &mut self,
        request: RequestId,
        spec: Arc<JobSpec>,
        accepted_ms: u64,
        attempts: u8,
        reply: StateReply,
    ) {
        let id = spec.id.clone();
        match reply {
            StateReply::Committed { revision } => {
                let record = JobRecord { spec, accepted_ms };
                if self.cache.job_committed(&id, record, revision) {
                    self.job_added(&id);
                }
                self.answer(request, Answer::Accepted(id));
            }
            // The job exists already, or the range or the generation has changed.
            StateReply::Conflict => {
                self.ranges.forget(&JobIdRange::containing(&id).0);
                self.queue_query(request, id, JobQuery::Resubmit(spec, attempts + 1));
            }
            StateReply::Refused { retry_after, .. } => {
                let retry = retry_after.unwrap_or(CLIENT_RETRY_DELAY);
                self.answer(request, Answer::Later { retry });
            }
            _ => self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            ),
        }
    }

    pub(super) fn queue_query(&mut self, request: RequestId, id: JobId, query: JobQuery) {
        if let Some(record) = self.terminal_cache.get(&id).copied() {
            self.answer_terminal_state(request, &id, &query, record);
        } else if !self.cache.loaded
            || self.cannot_read_state()
            || self.user_requests.queued.len() >= self.config.max_waiting_requests
        {
            self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            );
        } else {
            self.user_requests
                .queued
                .push(PendingQuery { request, id, query });
        }
    }

    pub(super) fn drive_sync(&mut self) {
        let now = self.now();
        if self.user_requests.queued.is_empty()
            || self.user_requests.sync_in_flight
            || now < self.user_requests.next_sync
        {
            return;
        }
        if !self.cache.loaded {
            self.user_requests.syncing = std::mem::take(&mut self.user_requests.queued);
            self.synced(false);
            return;
        }
        self.user_requests.sync_in_flight = true;
        self.user_requests.next_sync = now + self.config.sync_interval;
        self.user_requests.syncing = std::mem::take(&mut self.user_requests.queued);
        let watch = self.watch_request(Duration::ZERO);
        self.call(Purpose::Sync, watch);
    }

    pub(super) fn synced(&mut self, is_current: bool) {
        self.user_requests.sync_in_flight = false;
        for pending in std::mem::take(&mut self.user_requests.syncing) {
            if is_current {
                self.resolve(pending);
            } else {
                self.answer(
                    pending.request,
                    Answer::Later {
                        retry: CLIENT_RETRY_DELAY,
                    },
                );
            }
        }
    }

    /// Answers a query from a cache that is more recent than the request.
    fn resolve(&mut self, pending: PendingQuery) {
        let PendingQuery { request, id, query } = pending;
        if self.cannot_read_state() || self.cache.is_unreadable(&id) {
            // The stored record has a format that this build can't read.
            self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            );
            return;
        }
        let Some(_) = self.cache.jobs.get(&id) else {
            if let Some(record) = self.terminal_cache.get(&id).copied() {
                self.answer_terminal_state(request, &id, &query, record);
                return;
            }
            // Neither active nor in a known terminal state: a terminal state is stored in
            // the same transaction that deletes the active job.
            self.look_up_terminal_state(request, id, query);
            return;
        };
        let waits_on = match self.dependencies.status(&id) {
            Status::Cancelled => {
                self.answer_terminal_state(request, &id, &query, TerminalRecord::cancelled(0));
                return;
            }
            // Cancelled or not, depending on a terminal state that is not cached yet.
            Status::Unknown { mut unread_jobs } if !matches!(query, JobQuery::Withdraw) => {
                if let Some(unread_job) = unread_jobs.pop() {
                    let pending = PendingQuery { request, id, query };
                    self.look_up_terminal_state(
                        request,
                        unread_job,
                        JobQuery::ForDependent(Box::new(pending)),
                    );
                }
                return;
            }
            Status::Waiting { on } => on,
            _ => Vec::new(),
        };
        let (done, running) = self.task_counts(&id);
        let state = match running {
            0 => JobState::Pending,
            _ => JobState::Running,
        };
        match query {
            JobQuery::Status if !waits_on.is_empty() => {
                self.answer(request, Answer::Waiting(id, waits_on));
            }
            JobQuery::Status => self.answer(request, Answer::Status(id, state, done, running)),
            JobQuery::Withdraw => self.cancel(request, id),
            JobQuery::Resubmit(spec, _) if !self.has_same_dependencies(&id, &spec) => {
                let reason = "waits_on: differs from the accepted submission";
                self.answer(request, Answer::Impossible(reason.into()));
            }
            _ => self.answer(request, Answer::Known(id, state)),
        }
    }

    /// Returns whether a repeated submission names the same dependencies, in any order.
    fn has_same_dependencies(&self, id: &JobId, spec: &JobSpec) -> bool {
        let dependencies = |spec: &JobSpec| spec.needs.iter().cloned().collect::<BTreeSet<JobId>>();
        let active = self.cache.jobs.get(id);
        active.is_none_or(|job| dependencies(&job.record.spec) == dependencies(spec))
    }

    /// Stores a job as cancelled, in the format of the current generation.
    pub(super) fn cancel(&mut self, request: RequestId, id: JobId) {
        let Some(job) = self.cache.jobs.get(&id) else {
            // The job ended while its range was read.
            self.queue_query(request, id, JobQuery::Withdraw);
            return;
        };
        let is_unchanged = if_version(job_key(&id), job.version);
        let (cluster, generation) = self.cache.generation;
        let record = TerminalRecord::cancelled(self.task_counts(&id).0);
        let ended = [(id.clone(), record)];
        let Some(terminal_write) = terminal_states::terminal_write(&cluster, &ended, &self.ranges)
        else {
            self.read_range(request, id, AfterRangeRead::Cancel);
            return;
        };
        let mut conditions = vec![is_unchanged, if_version(GENERATION_KEY, generation)];
        conditions.extend(terminal_write.conditions);
        let mut changes = vec![delete(job_key(&id))];
        changes.extend(terminal_write.changes);
        self.call(
            Purpose::Cancel {
                request,
                id,
                states: terminal_write.states,
            },
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    fn task_counts(&self, id: &JobId) -> (u32, u32) {
        match &self.cluster {
            Some(cluster) => cluster.job_counts(id).unwrap_or((0, 0)),
            None => self.forwarded.task_counts(id),
        }
    }

    pub(super) fn cancelled(
        &mut self,
        request: RequestId,
        id: JobId,
        states: Option<(JobIdRange, terminal_states::TerminalStates)>,
        reply: StateReply,
    ) {
        let now = self.now();
        self.range_written(&id, states, &reply);
        match reply {
            StateReply::Committed { revision } => {
                self.cache_terminal_state(id.clone(), TerminalRecord::cancelled(0));
                self.cache.job_end_committed(&id, revision);
                if let Some(cluster) = &mut self.cluster {
                    cluster.remove_job(&id, now);
                }
                self.answer(request, Answer::Known(id, JobState::Cancelled));
            }
            // Done or cancelled meanwhile: query the job again.
            StateReply::Conflict => self.queue_query(request, id, JobQuery::Withdraw),
            _ => self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            ),
        }
    }

    /// Updates the cached range after the write of a job's terminal state.
    pub(super) fn range_written(
        &mut self,
        id: &JobId,
        states: Option<(JobIdRange, terminal_states::TerminalStates)>,
        reply: &StateReply,
    ) {
        match (reply, states) {
            (StateReply::Committed { revision }, Some((range, states))) => {
                let version = *revision;
                self.ranges.update(range, KnownRange { version, states });
            }
            (StateReply::Committed { .. }, None) => {}
            _ => self.ranges.forget(&JobIdRange::containing(id).0),
        }
    }

    /// Reads the first of the remaining layouts, or confirms the generation after the last one.
    pub(super) fn read_terminal_state(&mut self, read: TerminalRead) {
        let request = match read.layouts.first() {
            Some(Layout::Single) => StateRequest::Get {
                key: terminal_key(&read.id),
            },
            Some(Layout::Packed) => StateRequest::Get {
                key: JobIdRange::containing(&read.id).0.key(),
            },
            // Found nowhere, which is conclusive only if the generation has not changed.
            None => StateRequest::Txn {
                conditions: vec![if_version(GENERATION_KEY, read.generation)],
                changes: Vec::new(),
            },
        };
        self.call(Purpose::ReadTerminalState(Box::new(read)), request);
    }

    pub(super) fn terminal_state_read(&mut self, mut read: TerminalRead, reply: StateReply) {
        let found = match (read.layouts.first(), &reply) {
            (Some(Layout::Single), StateReply::Missing) => None,
            (Some(Layout::Single), StateReply::Entry(entry)) => {
                match terminal_states::parse_single(entry.value.get()) {
                    Some(record) => Some((record, entry.version)),
                    None => {
                        self.report_unreadable(&entry.key);
                        self.answer(
                            read.request,
                            Answer::Later {
                                retry: CLIENT_RETRY_DELAY,
                            },
                        );
                        return;
                    }
                }
            }
            (Some(Layout::Packed), reply) => {
                let (range, name) = JobIdRange::containing(&read.id);
                match self.cache_range(&range, reply) {
                    Some(known) => known.states.get(name).map(|record| (record, known.version)),
                    None => {
                        self.answer(
                            read.request,
                            Answer::Later {
                                retry: CLIENT_RETRY_DELAY,
                            },
                        );
                        return;
                    }
                }
            }
            (None, StateReply::Committed { .. }) => {
                self.answer_unknown_job(read);
                return;
            }
            _ => {
                self.answer(
                    read.request,
                    Answer::Later {
                        retry: CLIENT_RETRY_DELAY,
                    },
                );
                return;
            }
        };
        if let Some((record, revision)) = found {
            self.terminal_state_found(&read.id, record, revision);
            match read.query {
                JobQuery::ForSubmission(check) => self.check_dependencies(*check),
                JobQuery::ForDependent(pending) => self.resolve(*pending),
                query => self.answer_terminal_state(read.request, &read.id, &query, record),
            }
            return;
        }
        read.layouts.remove(0);
        match read.layouts.is_empty() && read.generation == 0 {
            // Without a generation record, no terminal state has ever been moved.
            true => self.answer_unknown_job(read),
            false => self.read_terminal_state(read),
        }
    }

    /// Caches a terminal state that was read at this revision. It takes precedence over the
    /// active job, which may still be in the cache or be restored by an older event.
    fn terminal_state_found(&mut self, id: &JobId, record: TerminalRecord, revision: u64) {
        let now = self.now();
        self.cache_terminal_state(id.clone(), record);
        self.cache.job_end_committed(id, revision);
        if let Some(cluster) = &mut self.cluster {
            cluster.remove_job(id, now);
        }
    }

    /// Answers a query about a job that is not stored anywhere.
    fn answer_unknown_job(&mut self, read: TerminalRead) {
        let request = read.request;
        match read.query {
            JobQuery::Status | JobQuery::Withdraw => self.answer(request, Answer::NotFound),
            JobQuery::Reject(reason) => self.answer(request, Answer::Impossible(reason)),
            JobQuery::Resubmit(spec, attempts) if attempts < MAX_STORE_ATTEMPTS => {
                self.accept(request, spec, attempts)
            }
            JobQuery::Resubmit(..) | JobQuery::ForDependent(_) => {
                self.answer(
                    request,
                    Answer::Later {
                        retry: CLIENT_RETRY_DELAY,
                    },
                );
            }
            JobQuery::ForSubmission(check) => {
                self.reject_for_dependency(*check, "was never accepted")
            }
        }
    }

    fn answer_terminal_state(
        &mut self,
        request: RequestId,
        id: &JobId,
        query: &JobQuery,
        record: TerminalRecord,
    ) {
        let answer = match query {
            JobQuery::Status => Answer::Status(id.clone(), record.state, record.done, 0),
            _ => Answer::Known(id.clone(), record.state),
        };
        self.answer(request, answer);
    }
}
