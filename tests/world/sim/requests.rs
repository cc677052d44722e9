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

use super::{Asker, CPUS, Event, NODES, Sabotage, World, ms, users::Asking};

/// Delays in milliseconds after a job's acceptance or end at which all nodes are polled.
const LOOKS: [u64; 6] = [0, 1, 3, 8, 20, 60];

/// Counts of the situations that occurred.
#[derive(Debug, Default)]
pub struct Met {
    pub looks: u64,
    pub cancelled_at_once: u64,
    pub at_the_end: u64,
    pub answers_lost: u64,
    pub impossible: u64,
    /// Jobs that were cancelled in a burst, and cancellations that were reported while the leader
    /// alone was refused.
    pub burst: u64,
    pub confirmed_in_gap: u64,
    /// Start commands for a job that a node had reported as cancelled, and the longest time after
    /// that report.
    pub late_starts: u64,
    pub latest_start: Duration,
}

#[derive(Default)]
pub struct Requests {
    /// Users poll all nodes about accepted and ended jobs until then.
    pub close_until: Duration,
    /// Requests about a job are sent as it completes until then.
    pub ends_until: Duration,
    /// Users submit jobs that can never run until then.
    pub odd_until: Duration,
    /// A quarter of all transactions is applied at once and not answered until then.
    pub unanswered_until: Duration,
    pub met: Met,
    /// Jobs that were polled at all nodes, once accepted and once ended.
    looked: HashSet<(JobId, bool)>,
    /// Jobs that each node has reported as ended.
    told_over: HashSet<(usize, JobId)>,
    /// Node that made the claim of each revision.
    claims: HashMap<u64, usize>,
    /// Time at which any node first reported a job as cancelled.
    cancelled: HashMap<JobId, Duration>,
    odd: HashSet<JobId>,
    /// Start and end of the time in which the leader alone is refused.
    gap: (Duration, Duration),
}

impl Requests {
    /// Forbids every start of a task of this job, which can never run.
    pub(super) fn forbid(&mut self, id: JobId) {
        self.odd.insert(id);
    }
}

fn started(output: &Output) -> &[Command] {
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
                    self.requests.told_over.insert((node, id.clone()));
                }
                if *state == JobState::Cancelled {
                    let (begins, ends) = self.requests.gap;
                    let first = !self.requests.cancelled.contains_key(id);
                    let in_gap = first && begins <= self.now && self.now < ends;
                    self.requests.met.confirmed_in_gap += u64::from(in_gap);
                    let cancelled = &mut self.requests.cancelled;
                    cancelled.entry(id.clone()).or_insert(self.now);
                }
            }
            if self.is_relayed(node, output) {
                continue;
            }
            for command in started(output) {
                if let Command::Start { task, .. } = command {
                    self.check_start(node, task);
                }
            }
        }
    }

    /// Records which node made a claim; its tokens begin with the claim's revision.
    pub(super) fn note_claim(
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
            self.pipelines_meet_claim();
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
        let what = format!("n{node} starts {task}");
        if self.requests.told_over.contains(&(node, task.job.clone())) {
            self.observer.breaks(self.now, "started_over", what.clone());
        }
        let Some(at) = self.requests.cancelled.get(&task.job) else {
            return;
        };
        let after = self.now - *at;
        self.requests.met.late_starts += 1;
        self.requests.met.latest_start = self.requests.met.latest_start.max(after);
        if after + self.scale.lease > self.scale.cancel {
            self.observer.breaks(self.now, "started_cancelled", what);
        }
    }

    /// Polls all nodes about a job that was reported as accepted or ended, and submits it again.
    pub(super) fn look_closely(&mut self, i: usize, state: JobState) {
        let id = self.jobs[i].spec.id.clone();
        let over = matches!(state, JobState::Done | JobState::Cancelled);
        if self.now >= self.requests.close_until || !self.requests.looked.insert((id, over)) {
            return;
        }
        if !over && self.rng.random_range(0..4) == 0 {
            self.requests.met.cancelled_at_once += 1;
            let (node, at) = (self.rng.random_range(0..NODES), self.now);
            self.jobs[i].withdraw_at = Some(at);
            self.push(at + ms(2), Event::Ask(i, node, Asking::Withdraw));
        }
        self.ask_all(i, &[Asking::Status, Asking::Submit]);
        self.requests.met.looks += 1;
    }

    fn ask_all(&mut self, i: usize, asked: &[Asking]) {
        for after in LOOKS {
            for node in 0..NODES {
                for asking in asked {
                    let at = self.now + ms(after + self.rng.random_range(0..3));
                    self.push(at, Event::Ask(i, node, *asking));
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
            if needs.iter().any(|need| !self.is_over(need)) {
                continue;
            }
            if !job.accepted || job.over || self.rng.random_range(0..5) == 0 {
                continue;
            }
            self.requests.met.burst += 1;
            self.jobs[i].withdraw_at = Some(self.now);
            let node = self.rng.random_range(0..NODES);
            for (again, after) in [0, 300, 700].into_iter().enumerate() {
                let at = self.now + ms(after + self.rng.random_range(0..200));
                let node = (node + again) % NODES;
                self.push(at, Event::Ask(i, node, Asking::Withdraw));
            }
        }
    }

    /// Whether a user was told that this job has ended.
    fn is_over(&self, id: &JobId) -> bool {
        let over = |state| matches!(state, JobState::Done | JobState::Cancelled);
        self.observer.state(id).is_some_and(over)
    }

    /// Makes the state service refuse the leader alone while users cancel, and makes it unavailable
    /// to all nodes one second later.
    pub(crate) fn refused_then_away(&mut self, leader: usize, lasts: Duration) {
        let away = self.now + ms(1_000);
        self.refused[leader] = away + lasts;
        self.requests.gap = (self.now, away);
        self.cancel_burst();
        self.push(away, Event::OutageBegins);
        self.push(away + lasts, Event::OutageEnds);
    }

    /// Sends cancellations, polls and submissions when the last task of a job completes.
    pub(super) fn met_end(&mut self, job: &JobId) {
        let index: usize = job.as_str()[4..].parse().expect("job number");
        if self.now >= self.requests.ends_until || self.jobs[index].spec.id != *job {
            return;
        }
        let whole = (0..self.jobs[index].spec.tasks).all(|task| {
            let job = job.clone();
            self.results.contains(&TaskId { job, index: task })
        });
        if whole && self.jobs[index].accepted && !self.jobs[index].over {
            self.requests.met.at_the_end += 1;
            let asked = [Asking::Status, Asking::Submit, Asking::Withdraw];
            // A cancellation alone, polls and submissions, or all of them.
            let asked = match self.rng.random_range(0..4) {
                0 => &asked[..2],
                1 => &asked[2..],
                _ => &asked[..],
            };
            self.ask_all(index, asked);
        }
    }

    /// Submits jobs that can never run, one for each reason, to every node.
    pub(super) fn send_odd(&mut self) {
        if self.now >= self.requests.odd_until {
            return;
        }
        self.push(self.now + ms(700), Event::Odd);
        for node in 0..NODES {
            for reason in 0..ODD {
                let number = 700_000 + self.requests.odd.len();
                let id = JobId::parse(&format!("run-{number}")).expect("valid job id");
                self.requests.odd.insert(id.clone());
                let spec = Arc::new(self.odd_job(reason, id.clone()));
                self.next_request += 1;
                let request = self.next_request;
                let epoch = self.epochs[node];
                self.asked
                    .insert((node, epoch, request), Asker::Odd(reason, id));
                let at = self.now + self.delay();
                let input = Input::Submit { request, spec };
                self.push(at, Event::ToNode(node, epoch, input));
            }
        }
    }

    fn odd_job(&mut self, reason: usize, id: JobId) -> JobSpec {
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
        let more_than_the_limit = (self.scale.team_limit / CPUS) as u32 + 1;
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
                spec.tasks = more_than_the_limit;
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

    pub(super) fn odd_answered(&mut self, node: usize, reason: usize, id: &JobId, answer: &Answer) {
        match answer {
            Answer::Impossible(_) => self.requests.met.impossible += 1,
            Answer::Later { .. } => {}
            other => {
                let what = format!("n{node}, reason {reason}, {id}: {other:?}");
                self.observer.breaks(self.now, "accepted_unrunnable", what);
            }
        }
    }

    /// Whether the command is about a job that can never run, which no worker knows.
    pub(super) fn is_odd(&self, command: &Command) -> bool {
        let (Command::Start { task, .. }
        | Command::Stop { task, .. }
        | Command::Forget { task, .. }) = command;
        self.requests.odd.contains(&task.job)
    }

    /// Whether the answer to an applied transaction is lost.
    pub(super) fn answer_lost(&mut self, request: &StateRequest, reply: &StateReply) -> bool {
        let carried_out = matches!(
            (request, reply),
            (StateRequest::Txn { .. }, StateReply::Committed { .. })
        );
        let lost = carried_out
            && self.now < self.requests.unanswered_until
            && self.rng.random_range(0..4) == 0;
        self.requests.met.answers_lost += u64::from(lost);
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
        let ends = changes
            .iter()
            .any(|change| matches!(change, Change::Put { key, .. } if key.starts_with(TERMINAL_STATES_PREFIX) || key.starts_with(TERMINAL_RANGES_PREFIX)));
        let about =
            |key: &str| key.starts_with(JOBS_PREFIX) || key.starts_with(TERMINAL_STATES_PREFIX);
        match self.sabotage {
            Sabotage::AcceptsWhateverIsStored => {
                conditions.retain(|c| c.version > 0 || !about(&c.key));
            }
            Sabotage::EndsWhateverIsStored if ends => conditions.retain(|c| !about(&c.key)),
            _ => {}
        }
    }

    /// Turns events that delete a job into events that announce it.
    pub(super) fn ends_look_new(&self, events: &mut [store::Event]) {
        for event in events.iter_mut().filter(|event| event.value.is_none()) {
            let id = event.key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse);
            let job = id.and_then(|id| self.jobs.iter().find(|job| job.spec.id == id));
            if let Some(job) = job {
                let record = JobRecord {
                    spec: Arc::new(job.spec.clone()),
                    accepted_ms: 1,
                };
                event.value = serde_json::value::to_raw_value(&record).ok();
                // Must be newer than the end: a node ignores what is older than an end that it
                // stored.
                event.revision += 1;
            }
        }
    }

    /// Adds jobs with one task at a fixed interval, a quarter of them cancelled soon.
    pub fn stream(mut self, count: usize, apart: Duration) -> Self {
        for number in 0..count {
            let i = self.jobs.len();
            let mut job = self.make_job(i);
            job.spec.kind = Kind::Array;
            job.spec.tasks = 1;
            job.spec.spread = false;
            job.faulty = false;
            let at = ms(5_000) + apart * number as u32;
            let soon = ms(self.rng.random_range(0..6_000));
            job.withdraw_at = (number % 4 == 0).then_some(at + soon);
            self.jobs.push(job);
            self.push(at, Event::User(i));
        }
        self
    }

    /// Jobs of which nobody was told a terminal state, with their teams and states.
    pub fn left(&self) -> Vec<(JobId, String, Option<JobState>)> {
        let left = self.jobs.iter().filter(|job| !job.over);
        let told = left.map(|job| {
            let (id, team) = (&job.spec.id, job.spec.team.to_string());
            (id.clone(), team, self.observer.state(id))
        });
        told.collect()
    }

    /// Number of jobs reported as done, and as cancelled.
    pub fn ended(&self) -> (usize, usize) {
        let told = |state| {
            let jobs = self.jobs.iter();
            jobs.filter(|job| self.observer.state(&job.spec.id) == Some(state))
                .count()
        };
        (told(JobState::Done), told(JobState::Cancelled))
    }
}

/// Number of reasons that `odd_job` knows.
const ODD: usize = 9;
