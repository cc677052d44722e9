//! Pipelines: jobs with dependencies, submitted one after another, some of them cancelled at a
//! chosen stage; and submissions that depend on a job that was never submitted.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use kiteyard::core::{
    Answer, Input,
    job::{JobId, JobSpec, JobState, Kind, TerminalRecord},
    store::{
        Change, GENERATION_KEY, StateReply, StateRequest, TERMINAL_RANGES_PREFIX,
        TERMINAL_STATES_PREFIX, put,
    },
    terminal_states::{JobIdRange, TerminalStates, parse_single},
};
use kiteyard_rollout::generation::{ClusterGeneration, Stage};
use rand::RngExt;

use super::{Defect, Event, NODES, Requester, World, ms, users::UserAction};

/// Interval at which a job's dependencies are checked before its submission.
const CHECK_INTERVAL: Duration = ms(50);
/// Interval between repeated submissions that depend on an unknown job.
const UNKNOWN_RETRY_INTERVAL: Duration = ms(1_500);
/// Time after which the leader knows an accepted job: no message takes longer.
const MAX_ACCEPTANCE_DELAY: Duration = Duration::from_secs(6);
/// Maximum number of tasks of one job.
const MAX_TASKS: u32 = 4;

/// Job of a pipeline that its user cancels.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CancelledStage {
    First,
    Middle,
    Last,
    /// The first, at the moment the next one is submitted.
    DuringSubmission,
}

const PLANS: [Option<CancelledStage>; 6] = [
    None,
    Some(CancelledStage::First),
    Some(CancelledStage::Middle),
    None,
    Some(CancelledStage::Last),
    Some(CancelledStage::DuringSubmission),
];

/// Jobs of a pipeline in the order of submission, each with its dependencies.
const SHAPES: [&[&[usize]]; 4] = [
    // A chain, a diamond with a tail, a fan-out and fan-in, a chain with shortcuts.
    &[&[], &[0], &[1], &[2]],
    &[&[], &[0], &[0], &[1, 2], &[3]],
    &[&[], &[0], &[0], &[0], &[1, 2, 3]],
    &[&[], &[0], &[0, 1], &[0, 2]],
];

struct Pipeline {
    /// Indices of its jobs in `World::jobs`, in the order of submission.
    jobs: Vec<usize>,
    cancelled: Option<(CancelledStage, usize)>,
}

/// A job that depends on one that was never submitted.
struct UnknownDependency {
    spec: Arc<JobSpec>,
    refused: bool,
}

/// Counts of the situations that occurred.
#[derive(Debug, Default)]
pub struct PipelineCounts {
    /// Jobs that were submitted after all their dependencies had ended.
    pub submitted_late: u64,
    /// Leaders that started while accepted jobs waited for their dependencies.
    pub claims_while_waiting: u64,
    /// Answers that named the dependencies a job waits for.
    pub waiting_answers: u64,
    /// Submissions that were refused because they depend on an unknown job.
    pub unknown_refused: u64,
    /// Terminal states of awaited dependencies that were stored with their time.
    pub timed_terminal_states: u64,
}

#[derive(Default)]
pub struct Pipelines {
    all: Vec<Pipeline>,
    /// Jobs still to be submitted; true if only after their dependencies have ended.
    unsubmitted: BTreeMap<usize, bool>,
    accepted: BTreeMap<usize, Duration>,
    unknown: Vec<UnknownDependency>,
    /// Jobs whose stored terminal state was observed.
    ended: HashSet<JobId>,
    /// Awaited dependencies whose terminal state was stored without its time.
    pub without_time: Vec<JobId>,
    pub counts: PipelineCounts,
}

impl World {
    /// Stores the terminal states of jobs by ranges of ids from the start.
    pub fn with_packed_terminal_states(mut self) -> Self {
        let cluster = ClusterGeneration {
            from: 2,
            to: 2,
            stage: Stage::Settled,
        };
        let request = StateRequest::Txn {
            conditions: Vec::new(),
            changes: vec![put(GENERATION_KEY, &cluster)],
        };
        self.state.call(self.now, &request);
        self
    }

    /// Adds pipelines that start within the first 25 s, and independent jobs on which some of them
    /// depend as well.
    pub fn with_pipelines(mut self, count: usize) -> Self {
        let independent: Vec<usize> = (0..2)
            .map(|_| self.add_pipeline_job(Vec::new(), false))
            .collect();
        for number in 0..count {
            let shape = SHAPES[number % SHAPES.len()];
            // Combines each shape with each plan.
            let plan = PLANS[(number + number / PLANS.len()) % PLANS.len()];
            let mut jobs = Vec::new();
            for (stage, needs) in shape.iter().enumerate() {
                let mut needs: Vec<usize> = needs.iter().map(|need| jobs[*need]).collect();
                if stage == 1 && number % 4 == 3 {
                    needs.push(independent[number % independent.len()]);
                }
                let last = stage + 1 == shape.len();
                jobs.push(self.add_pipeline_job(needs, last && number % 3 == 0));
            }
            let cancelled = plan.map(|stage| match stage {
                CancelledStage::First | CancelledStage::DuringSubmission => (stage, jobs[0]),
                CancelledStage::Middle => (stage, jobs[jobs.len() / 2]),
                CancelledStage::Last => (stage, jobs[jobs.len() - 1]),
            });
            self.pipelines.all.push(Pipeline { jobs, cancelled });
        }
        self
    }

    /// Adds a job that is submitted as soon as its dependencies are accepted, or late.
    fn add_pipeline_job(&mut self, needs: Vec<usize>, late: bool) -> usize {
        let number = self.jobs.len();
        let mut job = self.make_job(number);
        let submit_at = match needs.is_empty() {
            true => ms(self.rng.random_range(1_000..25_000)),
            false => Duration::ZERO,
        };
        let spec = &mut job.spec;
        if spec.kind == Kind::Service {
            spec.kind = Kind::Array;
        }
        spec.tasks = spec.tasks.min(MAX_TASKS);
        // Any machine fits, so that no job waits long for room.
        spec.zone = None;
        spec.one_zone = false;
        spec.spread = false;
        spec.need.cpus = spec.need.cpus.min(2.0);
        spec.needs = needs
            .iter()
            .map(|i| self.jobs[*i].spec.id.clone())
            .collect();
        job.faulty = false;
        job.withdraw_at = None;
        self.observer.register_pipeline_job(&job.spec);
        self.jobs.push(job);
        self.pipelines.unsubmitted.insert(number, late);
        self.push(submit_at, Event::SubmitStage(number));
        number
    }

    fn dependencies_of(&self, number: usize) -> Vec<usize> {
        let needs = self.jobs[number].spec.needs.iter();
        needs.map(|id| self.job_index(id)).collect()
    }

    fn job_index(&self, id: &JobId) -> usize {
        id.as_str()[4..].parse().expect("job number")
    }

    /// Submits a job of a pipeline to any node once its dependencies allow it.
    pub(super) fn submit_stage(&mut self, number: usize) {
        let late = self.pipelines.unsubmitted[&number];
        let needs = self.dependencies_of(number);
        let submittable = |i: &usize| self.jobs[*i].accepted && (!late || self.jobs[*i].ended);
        if !needs.iter().all(submittable) {
            self.push(self.now + CHECK_INTERVAL, Event::SubmitStage(number));
            return;
        }
        self.pipelines.unsubmitted.remove(&number);
        self.pipelines.counts.submitted_late += u64::from(late);
        self.push(self.now, Event::UserPoll(number));
        self.plan_cancellations(number, &needs);
    }

    /// Schedules the cancellations that follow this submission: of the job itself some time later,
    /// or of a dependency at once.
    fn plan_cancellations(&mut self, number: usize, needs: &[usize]) {
        let plans = self.pipelines.all.iter().filter_map(|p| p.cancelled);
        for (stage, cancelled) in plans.collect::<Vec<_>>() {
            if stage == CancelledStage::DuringSubmission && needs.contains(&cancelled) {
                let node = self.rng.random_range(0..NODES);
                let at = self.now + ms(self.rng.random_range(0..30));
                self.jobs[cancelled].withdraw_at = Some(self.now);
                self.push(
                    at,
                    Event::UserRequest(cancelled, node, UserAction::Withdraw),
                );
            } else if stage != CancelledStage::DuringSubmission && cancelled == number {
                let after = ms(self.rng.random_range(200..4_000));
                self.jobs[number].withdraw_at = Some(self.now + after);
            }
        }
    }

    /// Records that a state of the job was reported to a user.
    pub(super) fn record_stage_answer(&mut self, number: usize) {
        let now = self.now;
        self.pipelines.accepted.entry(number).or_insert(now);
    }

    /// Whether the job belongs to a pipeline.
    pub(super) fn in_pipeline(&self, number: usize) -> bool {
        let pipelines = self.pipelines.all.iter();
        pipelines.flat_map(|p| &p.jobs).any(|job| *job == number)
    }

    pub(super) fn check_waiting_answer(&mut self, number: usize, on: &[JobId]) {
        self.pipelines.counts.waiting_answers += 1;
        let spec = &self.jobs[number].spec;
        if on.is_empty() || !on.iter().all(|id| spec.needs.contains(id)) {
            let detail = format!("{} waits for {on:?}", spec.id);
            self.observer.report_violation(self.now, "waits_on", detail);
        }
    }

    /// Counts a claim that is made while accepted jobs wait for their dependencies.
    pub(super) fn count_claim_while_waiting(&mut self) {
        let waits = |number: &usize| {
            let job = &self.jobs[*number];
            let needs = self.dependencies_of(*number);
            !job.ended && needs.iter().any(|need| !self.jobs[*need].ended)
        };
        let waiting = self.pipelines.accepted.keys().any(waits);
        self.pipelines.counts.claims_while_waiting += u64::from(waiting);
    }

    /// Jobs of pipelines whose terminal state no user has seen.
    pub fn unfinished_stages(&self) -> Vec<(JobId, Option<JobState>)> {
        let all = self.pipelines.all.iter().flat_map(|p| &p.jobs);
        let unfinished = all.filter(|number| !self.jobs[**number].ended);
        let reported = unfinished.map(|number| {
            let id = &self.jobs[*number].spec.id;
            (id.clone(), self.observer.state(id))
        });
        reported.collect()
    }

    /// Number of pipelines that were cancelled at a stage, as planned.
    pub fn cancelled_at(&self, stage: CancelledStage) -> usize {
        let is_cancelled = |number: usize| {
            let id = &self.jobs[number].spec.id;
            self.observer.state(id) == Some(JobState::Cancelled)
        };
        let planned = self.pipelines.all.iter().filter_map(|p| p.cancelled);
        let counts = planned.filter(|(at, number)| *at == stage && is_cancelled(*number));
        counts.count()
    }

    /// Number of pipelines whose jobs were all reported as done.
    pub fn pipelines_done(&self) -> usize {
        let done = |number: &usize| {
            let id = &self.jobs[*number].spec.id;
            self.observer.state(id) == Some(JobState::Done)
        };
        let pipelines = self.pipelines.all.iter();
        pipelines.filter(|p| p.jobs.iter().all(done)).count()
    }

    /// Adds submissions that depend on a job that was never submitted, some also on known ones.
    pub fn with_unknown_dependencies(mut self, count: usize) -> Self {
        for i in 0..count {
            let id = JobId::parse(&format!("run-{}", 800_000 + i)).expect("valid job id");
            // Half of the ids differ from known ones only in the last digits.
            let missing = match i % 2 {
                0 => format!("run-{}", 810_000 + i),
                _ => format!("run-{:06}", 90 + i),
            };
            let missing = JobId::parse(&missing).expect("valid job id");
            let mut spec = JobSpec {
                id: id.clone(),
                ..self.make_job(0).spec
            };
            spec.kind = Kind::Array;
            spec.zone = None;
            spec.needs = match (i % 3, self.pipelines.all.first()) {
                (0, Some(known)) => vec![self.jobs[known.jobs[0]].spec.id.clone(), missing],
                _ => vec![missing],
            };
            self.requests.forbid(id);
            let spec = Arc::new(spec);
            let refused = false;
            self.pipelines
                .unknown
                .push(UnknownDependency { spec, refused });
            let at = ms(self.rng.random_range(26_000..60_000));
            self.push(at, Event::SubmitUnknownDependency(i));
        }
        self
    }

    /// Sends a submission with an unknown dependency to any node, repeatedly until it is refused.
    pub(super) fn submit_unknown_dependency(&mut self, number: usize) {
        if self.pipelines.unknown[number].refused {
            return;
        }
        self.push(
            self.now + UNKNOWN_RETRY_INTERVAL,
            Event::SubmitUnknownDependency(number),
        );
        let node = self.rng.random_range(0..NODES);
        if self.nodes[node].is_none() {
            return;
        }
        let spec = self.pipelines.unknown[number].spec.clone();
        self.next_request += 1;
        let (request, epoch) = (self.next_request, self.epochs[node]);
        self.pending_requests
            .insert((node, epoch, request), Requester::UnknownDependency(number));
        let at = self.now + self.delay();
        let input = Input::Submit { request, spec };
        self.push(at, Event::NodeInput(node, epoch, input));
    }

    pub(super) fn handle_unknown_dependency_answer(&mut self, number: usize, answer: &Answer) {
        let unknown = &mut self.pipelines.unknown[number];
        match answer {
            Answer::Impossible(_) => {
                self.pipelines.counts.unknown_refused += u64::from(!unknown.refused);
                unknown.refused = true;
            }
            Answer::Later { .. } => {}
            other => {
                let detail = format!("{}: {other:?}", unknown.spec.id);
                self.observer.report_violation(self.now, "invented", detail);
            }
        }
    }

    /// Checks terminal states that are stored for the first time: one that active jobs waited for
    /// must include its time.
    pub(crate) fn check_terminal_states(&mut self, changes: &[Change]) {
        for change in changes {
            let Change::Put { key, value, .. } = change else {
                continue;
            };
            let is_end =
                key.starts_with(TERMINAL_STATES_PREFIX) || key.starts_with(TERMINAL_RANGES_PREFIX);
            for number in 0..self.jobs.len() * usize::from(is_end) {
                let id = self.jobs[number].spec.id.clone();
                if let Some(record) = stored_terminal_state(&id, key, value.get())
                    && self.pipelines.ended.insert(id)
                {
                    self.check_terminal_state(number, record);
                }
            }
        }
    }

    fn check_terminal_state(&mut self, number: usize, record: TerminalRecord) {
        let (id, now) = (&self.jobs[number].spec.id, self.now);
        let mut accepted = self.pipelines.accepted.iter();
        let waited_for = accepted.any(|(dependent, at)| {
            let spec = &self.jobs[*dependent].spec;
            let active = !self.pipelines.ended.contains(&spec.id);
            active && spec.needs.contains(id) && *at + MAX_ACCEPTANCE_DELAY < now
        });
        if record.state != JobState::Done || !waited_for {
            return;
        }
        match record.ended_ms {
            Some(_) => self.pipelines.counts.timed_terminal_states += 1,
            None => self.pipelines.without_time.push(id.clone()),
        }
    }

    /// With `Defect::TerminalStatesReadAsDone`, makes every terminal state that is read say done,
    /// including missing ones.
    pub(super) fn tamper_terminal_state(&self, request: &StateRequest, reply: &mut StateReply) {
        let StateRequest::Get { key } = request else {
            return;
        };
        if self.defect != Defect::TerminalStatesReadAsDone {
            return;
        }
        match reply {
            StateReply::Entry(entry)
                if key.starts_with(TERMINAL_STATES_PREFIX)
                    || key.starts_with(TERMINAL_RANGES_PREFIX) =>
            {
                let text = entry.value.get().replace("cancelled", "done");
                let text = match key.starts_with(TERMINAL_RANGES_PREFIX) {
                    true => text.replace('c', "d"),
                    false => text,
                };
                entry.value = serde_json::value::RawValue::from_string(text).expect("valid JSON");
            }
            StateReply::Missing if key.starts_with(TERMINAL_STATES_PREFIX) => {
                let record = TerminalRecord {
                    state: JobState::Done,
                    done: 1,
                    ended_ms: None,
                };
                *reply = StateReply::Entry(kiteyard::core::store::Entry {
                    key: key.clone(),
                    value: serde_json::value::to_raw_value(&record).expect("serializable record"),
                    version: 1,
                });
            }
            _ => {}
        }
    }

    /// Whether `Defect::IgnoresCancelledDependencies` makes answers hide that the job is cancelled
    /// with a dependency, and report it as pending.
    pub(super) fn hides_derived_cancellation(&self, id: &JobId) -> bool {
        self.defect == Defect::IgnoresCancelledDependencies
            && self.observer.cancelled_with_dependency(id)
    }
}

/// Terminal state of this job, if it is stored under this key.
fn stored_terminal_state(id: &JobId, key: &str, text: &str) -> Option<TerminalRecord> {
    if key.strip_prefix(TERMINAL_STATES_PREFIX) == Some(id.as_str()) {
        return parse_single(text);
    }
    let (range, name) = JobIdRange::containing(id);
    if range.key() != key {
        return None;
    }
    let states: TerminalStates =
        serde_json::from_str(text).expect("valid terminal states of a range");
    states.get(name)
}

/// Removes the times of terminal states from a transaction, for `Defect::LosesTerminalTimes`.
pub(super) fn remove_terminal_times(changes: &mut [Change]) {
    for change in changes {
        let Change::Put { key, value, .. } = change else {
            continue;
        };
        let text = if key.starts_with(TERMINAL_STATES_PREFIX) {
            let mut record: TerminalRecord =
                serde_json::from_str(value.get()).expect("valid terminal state");
            record.ended_ms = None;
            serde_json::to_string(&record).expect("valid terminal state")
        } else if key.starts_with(TERMINAL_RANGES_PREFIX) {
            let text: String = serde_json::from_str(value.get()).expect("valid terminal states");
            let entries = text.split(',').map(|e| e.split('t').next().unwrap_or(e));
            serde_json::Value::from(entries.collect::<Vec<_>>().join(",")).to_string()
        } else {
            continue;
        };
        *value = serde_json::value::RawValue::from_string(text).expect("valid JSON");
    }
}
