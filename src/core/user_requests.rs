//! Users' requests. Any node answers them: jobs live in the state service, and
//! an answer is given only from a copy proven as new as the question.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use kiteyard_job_graph::Status;
use kiteyard_rollout::generation::ClusterGeneration;

use super::{
    Answer, Node, Purpose, RequestId,
    job::{JobId, JobRecord, JobSpec, JobState, Kind, Resources, TerminalRecord},
    machine::MachineType,
    store::{
        GENERATION, StateReply, StateRequest, delete, encoded_len, job_key, put, terminal_key, when,
    },
    terminal_states::{self, KnownRange, Place, Range},
};

/// What is to be answered about a job once its state is known for sure.
#[derive(Debug, Clone)]
pub enum Question {
    Status,
    /// A submission of a job that may be known, and how often it was tried to store it.
    Repeat(Arc<JobSpec>, u8),
    /// A submission that can never run, unless the job was accepted before.
    Reject(String),
    Withdraw,
    /// A submission names this job.
    Named(Box<NeedsCheck>),
    /// Somebody asks about a job that needs this one.
    NeededBy(Box<PendingQuestion>),
}

/// A submission of which it is not known yet whether all jobs that it names were accepted.
#[derive(Debug, Clone)]
pub struct NeedsCheck {
    request: RequestId,
    spec: Arc<JobSpec>,
    /// Those that are still to be looked for, the next one last.
    unchecked: Vec<JobId>,
}

/// A question about a job, and who asks.
#[derive(Debug, Clone)]
pub struct PendingQuestion {
    request: RequestId,
    id: JobId,
    question: Question,
}

/// The end of a job that is looked for.
#[derive(Debug)]
pub struct TerminalRead {
    id: JobId,
    request: RequestId,
    question: Question,
    /// Where it still may be.
    places: Vec<Place>,
    /// The revision of the generation's record that these places follow from.
    generation: u64,
}

impl TerminalRead {
    /// Begins with the first place where the end may be in this generation.
    pub(super) fn new(
        request: RequestId,
        id: JobId,
        question: Question,
        (cluster, generation): &(ClusterGeneration, u64),
    ) -> Self {
        Self {
            id,
            request,
            question,
            places: terminal_states::places(cluster),
            generation: *generation,
        }
    }
}

#[derive(Debug, Default)]
pub struct UserRequests {
    /// Not covered by a proof yet.
    unproven: Vec<PendingQuestion>,
    /// Covered by the proof under way.
    proving: Vec<PendingQuestion>,
    in_flight: bool,
    next_sync: Duration,
}

/// A write that needs to know the end of no job in a range.
#[derive(Debug, Clone)]
pub enum AfterRangeRead {
    Accept(Arc<JobSpec>, u8),
    Cancel,
}

const RETRY: Duration = Duration::from_secs(1);
/// How often a submission is tried that something else came before.
const TRIES: u8 = 4;

impl Node {
    pub(super) fn submit(&mut self, request: RequestId, spec: Arc<JobSpec>) {
        let able = self.cache.loaded && !self.cannot_read_state();
        let Some(types) = self.cache.types.clone().filter(|_| able) else {
            self.answer(request, Answer::Later { retry: RETRY });
            return;
        };
        let id = spec.id.clone();
        if self.cache.jobs.contains_key(&id) || self.terminal_cache.contains_key(&id) {
            self.queue_question(request, id, Question::Repeat(spec, TRIES));
            return;
        }
        let objection = self.reason_it_never_runs(&spec, &types);
        if let Some(reason) = objection.or_else(|| self.never_stored(&spec)) {
            self.queue_question(request, id, Question::Reject(reason));
            return;
        }
        if !spec.needs.is_empty() && !self.all_know_dependencies() {
            self.answer(request, Answer::Later { retry: RETRY });
            return;
        }
        self.check_needs(NeedsCheck {
            request,
            unchecked: spec.needs.clone(),
            spec,
        });
    }

    /// Looks for each job that a submission names, and stores the submission once all are
    /// known to have been accepted. One that is cancelled meanwhile does no harm: the new job
    /// is cancelled with it, whichever is stored first.
    fn check_needs(&mut self, mut check: NeedsCheck) {
        while let Some(need) = check.unchecked.last() {
            if let Some(job) = self.cache.jobs.get(need) {
                if job.record.spec.kind == Kind::Service {
                    self.refuse_need(check, "is a service");
                    return;
                }
            } else if self.cache.is_unreadable(need) {
                self.answer(check.request, Answer::Later { retry: RETRY });
                return;
            } else if !self.terminal_cache.contains_key(need) {
                let key = job_key(need);
                self.call(
                    Purpose::ReadNeed(Box::new(check)),
                    StateRequest::Get { key },
                );
                return;
            }
            check.unchecked.pop();
        }
        self.accept(check.request, check.spec, 0);
    }

    /// Answers that the job can never run, unless it was accepted before.
    fn refuse_need(&mut self, check: NeedsCheck, why: &str) {
        let Some(need) = check.unchecked.last() else {
            return;
        };
        let reason = format!("waits_on: {need} {why}");
        let id = check.spec.id.clone();
        self.queue_question(check.request, id, Question::Reject(reason));
    }

    /// Whether a job that a submission names is active, as read just now.
    pub(super) fn need_read(&mut self, mut check: NeedsCheck, reply: &StateReply) {
        let Some(need) = check.unchecked.last().cloned() else {
            return;
        };
        match reply {
            StateReply::Entry(entry) => {
                match serde_json::from_str::<JobRecord>(entry.value.get()) {
                    Ok(record) if record.spec.kind == Kind::Service => {
                        self.refuse_need(check, "is a service");
                    }
                    Ok(_) => {
                        check.unchecked.pop();
                        self.check_needs(check);
                    }
                    Err(_) => {
                        self.report_unreadable(&entry.key);
                        self.answer(check.request, Answer::Later { retry: RETRY });
                    }
                }
            }
            // Not active now: if it was accepted before, its end was stored by now.
            StateReply::Missing => {
                let request = check.request;
                self.look_for_end(request, need, Question::Named(Box::new(check)));
            }
            _ => self.answer(check.request, Answer::Later { retry: RETRY }),
        }
    }

    /// Stores a job on condition that nothing is stored of it, in any form: of the
    /// generation that this node knows, or the write fails.
    fn accept(&mut self, request: RequestId, spec: Arc<JobSpec>, tries: u8) {
        let id = spec.id.clone();
        let (cluster, generation) = self.cache.cluster;
        let Some(absence) = terminal_states::absence_conditions(&cluster, &id, &self.ranges) else {
            let range = Range::of(&id).0;
            match self.ranges.get(&range).is_some() {
                // It has an end.
                true => self.queue_question(request, id, Question::Repeat(spec, TRIES)),
                false => self.read_range(request, id, AfterRangeRead::Accept(spec, tries)),
            }
            return;
        };
        let accepted_ms = self.clock.wall_ms;
        let record = JobRecord {
            spec: spec.clone(),
            accepted_ms,
        };
        let mut conditions = vec![when(job_key(&id), 0), when(GENERATION, generation)];
        conditions.extend(absence);
        self.call(
            Purpose::Accept {
                request,
                spec,
                accepted_ms,
                tries,
            },
            StateRequest::Txn {
                conditions,
                changes: vec![put(job_key(&id), &record)],
            },
        );
    }

    fn read_range(&mut self, request: RequestId, id: JobId, then: AfterRangeRead) {
        let key = Range::of(&id).0.key();
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
        if self.learn_range(&Range::of(&id).0, reply).is_none() {
            self.answer(request, Answer::Later { retry: RETRY });
            return;
        }
        match then {
            AfterRangeRead::Accept(spec, tries) => self.accept(request, spec, tries),
            AfterRangeRead::Cancel => self.cancel(request, id),
        }
    }

    /// What a range holds, as read just now; none where that is not known.
    pub(super) fn learn_range(&mut self, range: &Range, reply: &StateReply) -> Option<KnownRange> {
        let known = match reply {
            StateReply::Missing => KnownRange::default(),
            StateReply::Entry(entry) => match serde_json::from_str(entry.value.get()) {
                Ok(ends) => KnownRange {
                    version: entry.version,
                    ends,
                },
                Err(_) => {
                    self.report_unreadable(&entry.key);
                    return None;
                }
            },
            _ => return None,
        };
        self.ranges.forget(range);
        self.ranges.learn(range.clone(), known.clone());
        Some(known)
    }

    /// Why a job's record can never be stored, if it can't.
    fn never_stored(&self, spec: &Arc<JobSpec>) -> Option<String> {
        let record = JobRecord {
            spec: spec.clone(),
            accepted_ms: self.clock.wall_ms,
        };
        let (bytes, most) = (encoded_len(&record), self.limits.value_bytes);
        (bytes > most).then(|| format!("its record has {bytes} bytes, at most {most} are stored"))
    }

    /// Why a job can never run, if it can't.
    fn reason_it_never_runs(&self, spec: &JobSpec, types: &[MachineType]) -> Option<String> {
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
            return Some("a task fits no allowed machine type".into());
        }
        let at_once = match spec.kind {
            Kind::Array => 1,
            Kind::Gang | Kind::Service => spec.tasks,
        };
        let licences = self.config.options.licences.as_deref();
        for (name, seats) in &spec.licences {
            let Some(licence) = licences.and_then(|l| l.licences.get(name)) else {
                return Some(format!("unknown licence {name}"));
            };
            let wanted = u64::from(*seats) * u64::from(at_once);
            if wanted > u64::from(licence.max_seats_for(&spec.team)) {
                return Some(format!("more seats of {name} than the team can have"));
            }
        }
        let sum = Resources::default().plus_times(&spec.need, f64::from(at_once));
        let over = |limit: f64, value: f64| limit > 0.0 && value > limit + 1e-6;
        (over(team.cpus_max, sum.cpus) || over(team.gpus_max, sum.gpus))
            .then(|| "more than the team's limit".into())
    }

    pub(super) fn accepted(
        &mut self,
        request: RequestId,
        spec: Arc<JobSpec>,
        accepted_ms: u64,
        tries: u8,
        reply: StateReply,
    ) {
        let id = spec.id.clone();
        match reply {
            StateReply::Committed { revision } => {
                let record = JobRecord { spec, accepted_ms };
                if self.cache.committed_job(&id, record, revision) {
                    self.job_added(&id);
                }
                self.answer(request, Answer::Accepted(id));
            }
            // The job is known, or the range or the generation has changed.
            StateReply::Conflict => {
                self.ranges.forget(&Range::of(&id).0);
                self.queue_question(request, id, Question::Repeat(spec, tries + 1));
            }
            StateReply::Refused { retry, .. } => {
                let retry = retry.unwrap_or(RETRY);
                self.answer(request, Answer::Later { retry });
            }
            _ => self.answer(request, Answer::Later { retry: RETRY }),
        }
    }

    pub(super) fn queue_question(&mut self, request: RequestId, id: JobId, question: Question) {
        if let Some(record) = self.terminal_cache.get(&id).copied() {
            self.answer_terminal_state(request, &id, &question, record);
        } else if !self.cache.loaded
            || self.cannot_read_state()
            || self.user_requests.unproven.len() >= self.config.requests_most
        {
            self.answer(request, Answer::Later { retry: RETRY });
        } else {
            self.user_requests.unproven.push(PendingQuestion {
                request,
                id,
                question,
            });
        }
    }

    pub(super) fn drive_proofs(&mut self) {
        let now = self.now();
        if self.user_requests.unproven.is_empty()
            || self.user_requests.in_flight
            || now < self.user_requests.next_sync
        {
            return;
        }
        if !self.cache.loaded {
            self.user_requests.proving = std::mem::take(&mut self.user_requests.unproven);
            self.synced(false);
            return;
        }
        self.user_requests.in_flight = true;
        self.user_requests.next_sync = now + self.config.sync_every;
        self.user_requests.proving = std::mem::take(&mut self.user_requests.unproven);
        let watch = self.watch(Duration::ZERO);
        self.call(Purpose::Sync, watch);
    }

    pub(super) fn synced(&mut self, proven: bool) {
        self.user_requests.in_flight = false;
        for pending in std::mem::take(&mut self.user_requests.proving) {
            if proven {
                self.resolve(pending);
            } else {
                self.answer(pending.request, Answer::Later { retry: RETRY });
            }
        }
    }

    /// The cache is newer than the question.
    fn resolve(&mut self, pending: PendingQuestion) {
        let PendingQuestion {
            request,
            id,
            question,
        } = pending;
        if self.cannot_read_state() || self.cache.is_unreadable(&id) {
            // What is stored of it says something that this process can't know.
            self.answer(request, Answer::Later { retry: RETRY });
            return;
        }
        let Some(_) = self.cache.jobs.get(&id) else {
            if let Some(record) = self.terminal_cache.get(&id).copied() {
                self.answer_terminal_state(request, &id, &question, record);
                return;
            }
            // Neither active nor known to be over: its end, if it had one, was
            // stored with its removal from the active ones.
            self.look_for_end(request, id, question);
            return;
        };
        let waits_on = match self.dependencies.status(&id) {
            Status::Cancelled => {
                self.answer_terminal_state(request, &id, &question, TerminalRecord::cancelled(0));
                return;
            }
            // Whether it is cancelled depends on an end that is not known here yet.
            Status::Unknown { mut ends } if !matches!(question, Question::Withdraw) => {
                if let Some(end) = ends.pop() {
                    let pending = PendingQuestion {
                        request,
                        id,
                        question,
                    };
                    self.look_for_end(request, end, Question::NeededBy(Box::new(pending)));
                }
                return;
            }
            Status::Waiting { on } => on,
            _ => Vec::new(),
        };
        let (done, running) = self.counts(&id);
        let state = match running {
            0 => JobState::Pending,
            _ => JobState::Running,
        };
        match question {
            Question::Status if !waits_on.is_empty() => {
                self.answer(request, Answer::Waiting(id, waits_on));
            }
            Question::Status => self.answer(request, Answer::Status(id, state, done, running)),
            Question::Withdraw => self.cancel(request, id),
            Question::Repeat(spec, _) if !self.names_the_same(&id, &spec) => {
                let reason = "waits_on: not the jobs that were named when it was accepted";
                self.answer(request, Answer::Impossible(reason.into()));
            }
            _ => self.answer(request, Answer::Known(id, state)),
        }
    }

    /// A repeated submission names the same jobs as the accepted one, in any order.
    fn names_the_same(&self, id: &JobId, spec: &JobSpec) -> bool {
        let named = |spec: &JobSpec| spec.needs.iter().cloned().collect::<BTreeSet<JobId>>();
        let accepted = self.cache.jobs.get(id);
        accepted.is_none_or(|job| named(&job.record.spec) == named(spec))
    }

    /// Stores a job's end as cancelled, in the form that is written now.
    pub(super) fn cancel(&mut self, request: RequestId, id: JobId) {
        let Some(job) = self.cache.jobs.get(&id) else {
            // It ended while its range was read.
            self.queue_question(request, id, Question::Withdraw);
            return;
        };
        let job = when(job_key(&id), job.version);
        let (cluster, generation) = self.cache.cluster;
        let record = TerminalRecord::cancelled(self.counts(&id).0);
        let ended = [(id.clone(), record)];
        let Some(terminal_write) = terminal_states::terminal_write(&cluster, &ended, &self.ranges)
        else {
            self.read_range(request, id, AfterRangeRead::Cancel);
            return;
        };
        let mut conditions = vec![job, when(GENERATION, generation)];
        conditions.extend(terminal_write.conditions);
        let mut changes = vec![delete(job_key(&id))];
        changes.extend(terminal_write.changes);
        self.call(
            Purpose::Cancel {
                request,
                id,
                ends: terminal_write.ends,
            },
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    fn counts(&self, id: &JobId) -> (u32, u32) {
        match &self.cluster {
            Some(cluster) => cluster.job_counts(id).unwrap_or((0, 0)),
            None => self.forwarded.counts(id),
        }
    }

    pub(super) fn cancelled(
        &mut self,
        request: RequestId,
        id: JobId,
        ends: Option<(Range, terminal_states::TerminalStates)>,
        reply: StateReply,
    ) {
        let now = self.now();
        self.range_written(&id, ends, &reply);
        match reply {
            StateReply::Committed { revision } => {
                self.cache_terminal_state(id.clone(), TerminalRecord::cancelled(0));
                self.cache.committed_end(&id, revision);
                if let Some(cluster) = &mut self.cluster {
                    cluster.remove_job(&id, now);
                }
                self.answer(request, Answer::Known(id, JobState::Cancelled));
            }
            // Done or cancelled meanwhile: asked again.
            StateReply::Conflict => self.queue_question(request, id, Question::Withdraw),
            _ => self.answer(request, Answer::Later { retry: RETRY }),
        }
    }

    /// What came of a write that would change a range.
    pub(super) fn range_written(
        &mut self,
        id: &JobId,
        ends: Option<(Range, terminal_states::TerminalStates)>,
        reply: &StateReply,
    ) {
        match (reply, ends) {
            (StateReply::Committed { revision }, Some((range, ends))) => {
                let version = *revision;
                self.ranges.learn(range, KnownRange { version, ends });
            }
            (StateReply::Committed { .. }, None) => {}
            _ => self.ranges.forget(&Range::of(id).0),
        }
    }

    /// Looks for the end of a job at the first of the places that are left.
    pub(super) fn read_terminal_state(&mut self, read: TerminalRead) {
        let request = match read.places.first() {
            Some(Place::Single) => StateRequest::Get {
                key: terminal_key(&read.id),
            },
            Some(Place::Packed) => StateRequest::Get {
                key: Range::of(&read.id).0.key(),
            },
            // It was nowhere. That says something only if nothing moved meanwhile.
            None => StateRequest::Txn {
                conditions: vec![when(GENERATION, read.generation)],
                changes: Vec::new(),
            },
        };
        self.call(Purpose::ReadTerminalState(Box::new(read)), request);
    }

    pub(super) fn terminal_state_read(&mut self, mut read: TerminalRead, reply: StateReply) {
        let found = match (read.places.first(), &reply) {
            (Some(Place::Single), StateReply::Missing) => None,
            (Some(Place::Single), StateReply::Entry(entry)) => {
                match terminal_states::parse_single(entry.value.get()) {
                    Some(record) => Some((record, entry.version)),
                    None => {
                        self.report_unreadable(&entry.key);
                        self.answer(read.request, Answer::Later { retry: RETRY });
                        return;
                    }
                }
            }
            (Some(Place::Packed), reply) => {
                let (range, name) = Range::of(&read.id);
                match self.learn_range(&range, reply) {
                    Some(known) => known.ends.get(name).map(|record| (record, known.version)),
                    None => {
                        self.answer(read.request, Answer::Later { retry: RETRY });
                        return;
                    }
                }
            }
            (None, StateReply::Committed { .. }) => {
                self.answer_unknown_job(read);
                return;
            }
            _ => {
                self.answer(read.request, Answer::Later { retry: RETRY });
                return;
            }
        };
        if let Some((record, revision)) = found {
            self.end_read(&read.id, record, revision);
            match read.question {
                Question::Named(check) => self.check_needs(*check),
                Question::NeededBy(pending) => self.resolve(*pending),
                question => self.answer_terminal_state(read.request, &read.id, &question, record),
            }
            return;
        }
        read.places.remove(0);
        match read.places.is_empty() && read.generation == 0 {
            // The record of the generation is stored long before anything moves.
            true => self.answer_unknown_job(read),
            false => self.read_terminal_state(read),
        }
    }

    /// The stored end of a job was read, in a record of this revision. The job may still be
    /// active in the cache, or become so by an older change: the end counts from now on.
    fn end_read(&mut self, id: &JobId, record: TerminalRecord, revision: u64) {
        let now = self.now();
        self.cache_terminal_state(id.clone(), record);
        self.cache.committed_end(id, revision);
        if let Some(cluster) = &mut self.cluster {
            cluster.remove_job(id, now);
        }
    }

    /// A job of which nothing is stored.
    fn answer_unknown_job(&mut self, read: TerminalRead) {
        let request = read.request;
        match read.question {
            Question::Status | Question::Withdraw => self.answer(request, Answer::NotFound),
            Question::Reject(reason) => self.answer(request, Answer::Impossible(reason)),
            Question::Repeat(spec, tries) if tries < TRIES => self.accept(request, spec, tries),
            Question::Repeat(..) | Question::NeededBy(_) => {
                self.answer(request, Answer::Later { retry: RETRY });
            }
            Question::Named(check) => self.refuse_need(*check, "was never accepted"),
        }
    }

    fn answer_terminal_state(
        &mut self,
        request: RequestId,
        id: &JobId,
        question: &Question,
        record: TerminalRecord,
    ) {
        let answer = match question {
            Question::Status => Answer::Status(id.clone(), record.state, record.done, 0),
            _ => Answer::Known(id.clone(), record.state),
        };
        self.answer(request, answer);
    }
}
