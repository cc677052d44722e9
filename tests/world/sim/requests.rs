//! Faults around user requests: polls at all nodes, cancellations at the moment a job completes,
//! jobs that can never run, and transactions that are applied but not answered; and checks of the
//! answers and of the starts that follow them.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use kiteyard::core::{
    Answer, Input, Output,
    heartbeat_forwarding::PeerMessage,
    job::{JobId, JobRecord, JobSpec, JobState, Kind, TaskId},
    machine::Command,
    store::{
        self, Change, JOBS_PREFIX, LEADER_KEY, StateReply, StateRequest, TERMINAL_RANGES_PREFIX,
        TERMINAL_STATES_PREFIX,
    },
};
use rand::RngExt;

use super::{CPUS, Defect, Event, NODES, Requester, World, ms, users::UserAction};

/// Delays in milliseconds after a job's acceptance or end at which all nodes are polled.
const POLL_DELAYS_MS: [u64; 6] = [0, 1, 3, 8, 20, 60];

/// Counts of the situations that occurred.
#[derive(Debug, Default)]
pub struct RequestCounts {
    pub polled_jobs: u64,
    pub cancelled_at_once: u64,
    pub at_completion: u64,
    pub answers_lost: u64,
    pub impossible: u64,
    /// Jobs that were cancelled in a burst, and cancellations that were reported while the leader
    /// alone was refused.
    pub burst_cancellations: u64,
    pub confirmed_during_refusal: u64,
    /// Start commands for a job that a node had reported as cancelled, and the longest time after
    /// that report.
    pub late_starts: u64,
    pub latest_start: Duration,
}

#[derive(Default)]
pub struct Requests {
    /// Users poll all nodes about accepted and ended jobs until then.
    pub polls_until: Duration,
    /// Requests about a job are sent as it completes until then.
    pub completions_until: Duration,
    /// Users submit jobs that can never run until then.
    pub unrunnable_until: Duration,
    /// A quarter of all transactions is applied at once and not answered until then.
    pub unanswered_until: Duration,
    pub counts: RequestCounts,
    /// Jobs that were polled at all nodes, once accepted and once ended.
    polled: HashSet<(JobId, bool)>,
    /// Jobs that each node has reported as ended.
    reported_ended: HashSet<(usize, JobId)>,
    /// Node that made the claim of each revision.
    claims: HashMap<u64, usize>,
    /// Time at which any node first reported a job as cancelled.
    cancelled: HashMap<JobId, Duration>,
    unrunnable: HashSet<JobId>,
    /// Start and end of the time in which the leader alone is refused.
    refusal_window: (Duration, Duration),
}

impl Requests {
    /// Forbids every start of a task of this job, which can never run.
    pub(super) fn forbid(&mut self, id: JobId) {
        self.unrunnable.insert(id);
    }
}

fn commands_of(output: &Output) -> &[Command] {
    match output {
        Output::Answer {
            answer: Answer::Commands { commands, .. },
            ..
        }
        | Output::Peer {
            message:
                PeerMessage::Reported {
                    answer: Some(Answer::Commands { commands, .. }),
                    ..
                },
            ..
        } => commands,
        Output::Direct { direct, .. } => &direct.commands,
        _ => &[],
    }
}

impl World {
    /// Checks a node's outputs in order: no node starts a job that it reported as ended, and no
    /// start is sent so late that the lease it may rely on outlives the time allowed for the
    /// cancellation.
    pub(super) fn check_starts(&mut self, node: usize, outputs: &[Output]) {
        for output in outputs {
            if let Output::Answer {
                answer: Answer::Known(id, state) | Answer::Status(id, state, ..),
                ..
            } = output
            {
                if matches!(state, JobState::Done | JobState::Cancelled) {
                    self.requests.reported_ended.insert((node, id.clone()));
                }
                if *state == JobState::Cancelled {
                    let (start, end) = self.requests.refusal_window;
                    let first = !self.requests.cancelled.contains_key(id);
                    let during_refusal = first && start <= self.now && self.now < end;
                    self.requests.counts.confirmed_during_refusal += u64::from(during_refusal);
                    let cancelled = &mut self.requests.cancelled;
                    cancelled.entry(id.clone()).or_insert(self.now);
                }
            }
            if self.is_relayed(node, output) {
                continue;
            }
            for command in commands_of(output) {
                if let Command::Start { task, .. } = command {
                    self.check_start(node, task);
                }
            }
        }
    }

    /// Records which node made a claim; its tokens begin with the claim's revision.
    pub(super) fn record_claim(
        &mut self,
        node: usize,
        request: &StateRequest,
        reply: Option<&StateReply>,
    ) {
        let (StateRequest::Txn { changes, .. }, Some(StateReply::Committed { revision })) =
            (request, reply)
        else {
            return;
        };
        let claims =
            |change: &Change| matches!(change, Change::Put { key, .. } if key == LEADER_KEY);
        if changes.iter().any(claims) {
            self.requests.claims.insert(*revision, node);
            self.claim_committed(node, *revision);
            self.resume_after_claim();
            self.count_claim_while_waiting();
        }
    }

    /// Whether the node only relays another node's answer to a worker. That answer was checked when
    /// the other node sent it.
    fn is_relayed(&self, node: usize, output: &Output) -> bool {
        let Output::Answer {
            answer: Answer::Commands { token, .. },
            ..
        } = output
        else {
            return false;
        };
        let decided_by = self.requests.claims.get(&(token >> 16));
        decided_by.is_some_and(|decided_by| *decided_by != node)
    }

    fn check_start(&mut self, node: usize, task: &TaskId) {
        let detail = format!("n{node} starts {task}");
        if self
            .requests
            .reported_ended
            .contains(&(node, task.job.clone()))
        {
            self.observer
                .report_violation(self.now, "started_over", detail.clone());
        }
        let Some(at) = self.requests.cancelled.get(&task.job) else {
            return;
        };
        let after = self.now - *at;
        self.requests.counts.late_starts += 1;
        self.requests.counts.latest_start = self.requests.counts.latest_start.max(after);
        if after + self.scale.lease > self.scale.cancel {
            self.observer
                .report_violation(self.now, "started_cancelled", detail);
        }
    }

    /// Polls all nodes about a job that was reported as accepted or ended, and submits it again.
    pub(super) fn poll_all_nodes(&mut self, i: usize, state: JobState) {
        let id = self.jobs[i].spec.id.clone();
        let ended = matches!(state, JobState::Done | JobState::Cancelled);
        if self.now >= self.requests.polls_until || !self.requests.polled.insert((id, ended)) {
            return;
        }
        if !ended && self.rng.random_range(0..4) == 0 {
            self.requests.counts.cancelled_at_once += 1;
            let (node, at) = (self.rng.random_range(0..NODES), self.now);
            self.jobs[i].withdraw_at = Some(at);
            self.push(
                at + ms(2),
                Event::UserRequest(i, node, UserAction::Withdraw),
            );
        }
        self.schedule_requests(i, &[UserAction::Status, UserAction::Submit]);
        self.requests.counts.polled_jobs += 1;
    }

    fn schedule_requests(&mut self, i: usize, actions: &[UserAction]) {
        for after in POLL_DELAYS_MS {
            for node in 0..NODES {
                for action in actions {
                    let at = self.now + ms(after + self.rng.random_range(0..3));
                    self.push(at, Event::UserRequest(i, node, *action));
                }
            }
        }
    }

    /// Cancels most unfinished jobs within 200 ms, at any node, and repeats the cancellations. Jobs
    /// that wait for dependencies are left to be cancelled with them.
    pub(crate) fn cancel_burst(&mut self) {
        for i in 0..self.jobs.len() {
            let job = &self.jobs[i];
            let needs = &job.spec.needs;
            if needs.iter().any(|need| !self.has_ended(need)) {
                continue;
            }
            if !job.accepted || job.ended || self.rng.random_range(0..5) == 0 {
                continue;
            }
            self.requests.counts.burst_cancellations += 1;
            self.jobs[i].withdraw_at = Some(self.now);
            let node = self.rng.random_range(0..NODES);
            for (again, after) in [0, 300, 700].into_iter().enumerate() {
                let at = self.now + ms(after + self.rng.random_range(0..200));
                let node = (node + again) % NODES;
                self.push(at, Event::UserRequest(i, node, UserAction::Withdraw));
            }
        }
    }

    /// Whether this job was reported to a user as ended.
    fn has_ended(&self, id: &JobId) -> bool {
        let ended = |state| matches!(state, JobState::Done | JobState::Cancelled);
        self.observer.state(id).is_some_and(ended)
    }

    /// Makes the state service refuse the leader alone while users cancel, and makes it unavailable
    /// to all nodes one second later.
    pub(crate) fn cancel_burst_at_refusal(&mut self, leader: usize, duration: Duration) {
        let outage_start = self.now + ms(1_000);
        self.refused_until[leader] = outage_start + duration;
        self.requests.refusal_window = (self.now, outage_start);
        self.cancel_burst();
        self.push(outage_start, Event::OutageStarted);
        self.push(outage_start + duration, Event::OutageEnded);
    }

    /// Sends cancellations, polls and submissions when the last task of a job completes.
    pub(super) fn on_task_done(&mut self, job: &JobId) {
        let index: usize = job.as_str()[4..].parse().expect("job number");
        if self.now >= self.requests.completions_until || self.jobs[index].spec.id != *job {
            return;
        }
        let complete = (0..self.jobs[index].spec.tasks).all(|task| {
            let job = job.clone();
            self.completed_tasks.contains(&TaskId { job, index: task })
        });
        if complete && self.jobs[index].accepted && !self.jobs[index].ended {
            self.requests.counts.at_completion += 1;
            let actions = [UserAction::Status, UserAction::Submit, UserAction::Withdraw];
            // A cancellation alone, polls and submissions, or all of them.
            let actions = match self.rng.random_range(0..4) {
                0 => &actions[..2],
                1 => &actions[2..],
                _ => &actions[..],
            };
            self.schedule_requests(index, actions);
        }
    }

    /// Submits jobs that can never run, one for each reason, to every node.
    pub(super) fn submit_unrunnable_jobs(&mut self) {
        if self.now >= self.requests.unrunnable_until {
            return;
        }
        self.push(self.now + ms(700), Event::UnrunnableJobs);
        for node in 0..NODES {
            for reason in 0..UNRUNNABLE_REASONS {
                let number = 700_000 + self.requests.unrunnable.len();
                let id = JobId::parse(&format!("run-{number}")).expect("valid job id");
                self.requests.unrunnable.insert(id.clone());
                let spec = Arc::new(self.unrunnable_job(reason, id.clone()));
                self.next_request += 1;
                let request = self.next_request;
                let epoch = self.epochs[node];
                self.pending_requests
                    .insert((node, epoch, request), Requester::Unrunnable(reason, id));
                let at = self.now + self.delay();
                let input = Input::Submit { request, spec };
                self.push(at, Event::NodeInput(node, epoch, input));
            }
        }
    }

    fn unrunnable_job(&mut self, reason: usize, id: JobId) -> JobSpec {
        let mut spec = self.make_job(0).spec;
        spec = JobSpec {
            id,
            team: Arc::from("red"),
            kind: Kind::Array,
            tasks: 1,
            zone: None,
            types: None,
            ..spec
        };
        spec.licences.clear();
        spec.need.cpus = 1.0;
        let tasks_over_limit = (self.scale.team_limit / CPUS) as u32 + 1;
        match reason {
            0 => spec.team = Arc::from("nobody"),
            1 => spec.need.cpus = CPUS + 1.0,
            2 => spec.need.gpus = 1.0,
            3 => spec.need.memory_gb = 1e6,
            4 => spec.types = Some(vec!["giant".into()]),
            5 => spec.types = Some(Vec::new()),
            6 => spec.zone = Some("nowhere".into()),
            7 | 8 => {
                spec.need.cpus = CPUS;
                spec.tasks = tasks_over_limit;
                spec.kind = if reason == 7 {
                    Kind::Gang
                } else {
                    Kind::Service
                };
            }
            _ => unreachable!("unknown reason"),
        }
        spec
    }

    pub(super) fn handle_unrunnable_answer(
        &mut self,
        node: usize,
        reason: usize,
        id: &JobId,
        answer: &Answer,
    ) {
        match answer {
            Answer::Impossible(_) => self.requests.counts.impossible += 1,
            Answer::Later { .. } => {}
            other => {
                let detail = format!("n{node}, reason {reason}, {id}: {other:?}");
                self.observer
                    .report_violation(self.now, "accepted_unrunnable", detail);
            }
        }
    }

    /// Whether the command is about a job that can never run, which no worker knows.
    pub(super) fn targets_unrunnable_job(&self, command: &Command) -> bool {
        let (Command::Start { task, .. }
        | Command::Stop { task, .. }
        | Command::Forget { task, .. }) = command;
        self.requests.unrunnable.contains(&task.job)
    }

    /// Whether the answer to an applied transaction is lost.
    pub(super) fn loses_answer(&mut self, request: &StateRequest, reply: &StateReply) -> bool {
        let committed = matches!(
            (request, reply),
            (StateRequest::Txn { .. }, StateReply::Committed { .. })
        );
        let lost = committed
            && self.now < self.requests.unanswered_until
            && self.rng.random_range(0..4) == 0;
        self.requests.counts.answers_lost += u64::from(lost);
        lost
    }

    /// Removes the conditions on stored jobs and terminal states from a transaction that accepts or
    /// ends a job.
    pub(super) fn drop_conditions(&self, request: &mut StateRequest) {
        let StateRequest::Txn {
            conditions,
            changes,
        } = request
        else {
            return;
        };
        let ends_job = changes
            .iter()
            .any(|change| matches!(change, Change::Put { key, .. } if key.starts_with(TERMINAL_STATES_PREFIX) || key.starts_with(TERMINAL_RANGES_PREFIX)));
        let is_job_key =
            |key: &str| key.starts_with(JOBS_PREFIX) || key.starts_with(TERMINAL_STATES_PREFIX);
        match self.defect {
            Defect::UnconditionalAcceptance => {
                conditions.retain(|c| c.version > 0 || !is_job_key(&c.key));
            }
            Defect::UnconditionalTerminalStates if ends_job => {
                conditions.retain(|c| !is_job_key(&c.key))
            }
            _ => {}
        }
    }

    /// Turns events that delete a job into events that announce it.
    pub(super) fn announce_ended_jobs(&self, events: &mut [store::Event]) {
        for event in events.iter_mut().filter(|event| event.value.is_none()) {
            let id = event.key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse);
            let job = id.and_then(|id| self.jobs.iter().find(|job| job.spec.id == id));
            if let Some(job) = job {
                let record = JobRecord {
                    spec: Arc::new(job.spec.clone()),
                    accepted_ms: 1,
                };
                event.value = serde_json::value::to_raw_value(&record).ok();
                // Must be newer than the terminal state: a node ignores events that are older
                // than a terminal state it has stored.
                event.revision += 1;
            }
        }
    }

    /// Adds jobs with one task at a fixed interval, a quarter of them cancelled soon.
    pub fn with_job_stream(mut self, count: usize, interval: Duration) -> Self {
        for number in 0..count {
            let i = self.jobs.len();
            let mut job = self.make_job(i);
            job.spec.kind = Kind::Array;
            job.spec.tasks = 1;
            job.spec.spread = false;
            job.faulty = false;
            let at = ms(5_000) + interval * number as u32;
            let withdraw_after = ms(self.rng.random_range(0..6_000));
            job.withdraw_at = (number % 4 == 0).then_some(at + withdraw_after);
            self.jobs.push(job);
            self.push(at, Event::UserPoll(i));
        }
        self
    }

    /// Jobs whose terminal state no user has seen, with their teams and states.
    pub fn unfinished_jobs(&self) -> Vec<(JobId, String, Option<JobState>)> {
        let unfinished = self.jobs.iter().filter(|job| !job.ended);
        let reported = unfinished.map(|job| {
            let (id, team) = (&job.spec.id, job.spec.team.to_string());
            (id.clone(), team, self.observer.state(id))
        });
        reported.collect()
    }

    /// Number of jobs reported as done, and as cancelled.
    pub fn ended_counts(&self) -> (usize, usize) {
        let reported = |state| {
            let jobs = self.jobs.iter();
            jobs.filter(|job| self.observer.state(&job.spec.id) == Some(state))
                .count()
        };
        (reported(JobState::Done), reported(JobState::Cancelled))
    }
}

/// Number of reasons that `unrunnable_job` knows.
const UNRUNNABLE_REASONS: usize = 9;
