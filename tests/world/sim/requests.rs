//! Troubles that users' requests bring: close looks at all nodes, cancellations at the
//! moment of a job's end, jobs that can't run, transactions that are carried out at once
//! and not answered; and the checks of what users are told and of what is started after it.

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

/// When after a job's acceptance or end all nodes are asked, in milliseconds.
const LOOKS: [u64; 6] = [0, 1, 3, 8, 20, 60];

/// How often each meeting came about.
#[derive(Debug, Default)]
pub struct Met {
    pub looks: u64,
    pub cancelled_at_once: u64,
    pub at_the_end: u64,
    pub answers_lost: u64,
    pub impossible: u64,
    /// Jobs that were cancelled in a burst, and cancellations that were told while the
    /// leader alone was refused.
    pub burst: u64,
    pub confirmed_in_gap: u64,
    /// Start commands for a job that some node had told as cancelled, and the longest time
    /// after that.
    pub late_starts: u64,
    pub latest_start: Duration,
}

#[derive(Default)]
pub struct Requests {
    /// Until then users look closely at what was accepted or is over.
    pub close_until: Duration,
    /// Until then what is asked about a job meets its end.
    pub ends_until: Duration,
    /// Until then users send jobs that can't run.
    pub odd_until: Duration,
    /// Until then a part of all transactions is carried out at once and not answered.
    pub unanswered_until: Duration,
    pub met: Met,
    /// Jobs that were looked at closely, once accepted and once over.
    looked: HashSet<(JobId, bool)>,
    /// What each node has told as over.
    told_over: HashSet<(usize, JobId)>,
    /// Which node made the claim of each revision.
    claims: HashMap<u64, usize>,
    /// When any node first told a job as cancelled.
    cancelled: HashMap<JobId, Duration>,
    odd: HashSet<JobId>,
    /// While the leader alone is refused.
    gap: (Duration, Duration),
}

impl Requests {
    /// No task of this job may start: it can't run.
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
    /// Looks at what a node decided, in order: no node starts what it told as over, and no
    /// start goes out so late that the lease it may rest on outlives the cancellation.
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

    /// Remembers which node made a claim; its tokens begin with the claim's revision.
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

    /// An answer that another node decided and this one passes on to a worker. It was looked at
    /// when that node sent it.
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

    /// A job was told as accepted or over: all nodes are asked, and it is submitted again.
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

    /// Most jobs that are not over are called off within a fifth of a second, at any node,
    /// and again until it is answered. Those that wait for others are left to be cancelled
    /// with them.
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

    /// Some user was told that this job is over.
    fn is_over(&self, id: &JobId) -> bool {
        let over = |state| matches!(state, JobState::Done | JobState::Cancelled);
        self.observer.state(id).is_some_and(over)
    }

    /// The state service refuses the leader alone while users cancel, and a second later it
    /// is away for all.
    pub(crate) fn refused_then_away(&mut self, leader: usize, lasts: Duration) {
        let away = self.now + ms(1_000);
        self.refused[leader] = away + lasts;
        self.requests.gap = (self.now, away);
        self.cancel_burst();
        self.push(away, Event::OutageBegins);
        self.push(away + lasts, Event::OutageEnds);
    }

    /// A task has completed: at the end of the last one users cancel, ask and repeat.
    pub(super) fn met_end(&mut self, job: &JobId) {
        let index: usize = job.as_str()[4..].parse().expect("a number");
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
            // A cancellation alone, a question alone, or all that users can ask.
            let asked = match self.rng.random_range(0..4) {
                0 => &asked[..2],
                1 => &asked[2..],
                _ => &asked[..],
            };
            self.ask_all(index, asked);
        }
    }

    /// Jobs that can never run, one for each reason, at a node.
    pub(super) fn send_odd(&mut self) {
        if self.now >= self.requests.odd_until {
            return;
        }
        self.push(self.now + ms(700), Event::Odd);
        for node in 0..NODES {
            for reason in 0..ODD {
                let number = 700_000 + self.requests.odd.len();
                let id = JobId::parse(&format!("run-{number}")).expect("an id");
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
            _ => unreachable!("no such reason"),
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

    /// A command about a job that can't run: no worker knows its description.
    pub(super) fn is_odd(&self, command: &Command) -> bool {
        let (Command::Start { task, .. }
        | Command::Stop { task, .. }
        | Command::Forget { task, .. }) = command;
        self.requests.odd.contains(&task.job)
    }

    /// Whether the answer to a transaction that was carried out is lost.
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

    /// A transaction that accepts or ends a job without looking at what is stored of it.
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

    /// Events that tell of a job's end tell of the job instead.
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
                // Newer than the end: a node passes over what is older than an end of its own.
                event.revision += 1;
            }
        }
    }

    /// One-task jobs, that many a second, a quarter of them cancelled soon.
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

    /// The jobs that nobody was told the end of, with their teams and states.
    pub fn left(&self) -> Vec<(JobId, String, Option<JobState>)> {
        let left = self.jobs.iter().filter(|job| !job.over);
        let told = left.map(|job| {
            let (id, team) = (&job.spec.id, job.spec.team.to_string());
            (id.clone(), team, self.observer.state(id))
        });
        told.collect()
    }

    /// How many jobs were told as done, and as cancelled.
    pub fn ended(&self) -> (usize, usize) {
        let told = |state| {
            let jobs = self.jobs.iter();
            jobs.filter(|job| self.observer.state(&job.spec.id) == Some(state))
                .count()
        };
        (told(JobState::Done), told(JobState::Cancelled))
    }
}

/// How many reasons `odd_job` knows.
const ODD: usize = 9;
