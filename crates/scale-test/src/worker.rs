//! One hollow worker without I/O: it keeps to the protocol and runs nothing.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};

use crate::jobs::{JobDescription, Jobs, TaskName};

/// An image's fetch takes its nominal time, give or take so much.
const FETCH_SPREAD: f64 = 1.0 / 3.0;
/// For rounding in sums of amounts.
const EPSILON: f64 = 1e-9;

/// What a machine is and offers.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    /// The machine's name.
    pub name: String,
    /// Where the worker listens for direct commands.
    pub endpoint: SocketAddr,
    /// The machine's type.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// CPUs that tasks may take.
    pub cpus: f64,
    /// Memory that tasks may take, in GB.
    pub mem_gb: f64,
    /// How fast images are fetched, in GB a second.
    pub fetch_gb_per_s: f64,
    /// How long the worker's lease lasts.
    pub lease: Duration,
}

/// Something that the observer has to know, with the time at which it was due.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskEvent {
    /// The task.
    pub task: TaskName,
    /// When it was due.
    pub at: Duration,
    /// What became of the task.
    pub what: TaskChange,
}

/// What became of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskChange {
    /// It has its image and is on its machine.
    Started,
    /// It is no longer on its machine.
    Left {
        /// It has completed, and was not stopped or refused.
        completed: bool,
    },
}

/// Why a task exited, as reports name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// It has completed.
    Done,
    /// It was stopped.
    Halted,
    /// The machine has no room for it.
    NoRoom,
    /// Another attempt of it is on the machine.
    InUse,
    /// There is no such task.
    NoSuch,
}

#[derive(Debug)]
enum Phase {
    Fetching { until: Duration },
    Running { until: Duration },
    Exited(ExitReason),
}

#[derive(Debug)]
struct HollowTask {
    attempt: u64,
    phase: Phase,
    job: Option<Arc<JobDescription>>,
}

impl HollowTask {
    fn takes_room(&self) -> bool {
        !matches!(self.phase, Phase::Exited(_))
    }
}

#[derive(Debug, Serialize)]
struct WireReport<'a> {
    perch: &'a str,
    endpoint: SocketAddr,
    frame: &'a str,
    field: &'a str,
    gusts: bool,
    launch: u64,
    tick: u64,
    handle: u64,
    recall_s: Option<f64>,
    strings: Vec<WireTask<'a>>,
}

#[derive(Debug, Serialize)]
struct WireTask<'a> {
    string: &'a str,
    #[serde(rename = "try")]
    attempt: u64,
    attitude: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    downcause: Option<ExitReason>,
}

/// Commands, in an answer to a report or straight to the worker.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Commands {
    /// The fencing token.
    pub handle: Option<u64>,
    /// The session that direct commands are for.
    pub launch: Option<u64>,
    /// The commands, in their order.
    #[serde(default)]
    pub signals: Vec<Command>,
}

/// One command about one task.
#[derive(Debug, Clone, Deserialize)]
pub struct Command {
    /// What to do.
    #[serde(rename = "signal")]
    pub kind: CommandKind,
    /// The task.
    #[serde(rename = "string")]
    pub task: TaskName,
    /// The attempt of it.
    #[serde(rename = "try")]
    pub attempt: u64,
}

/// What a worker is told to do with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start it.
    Start,
    /// Stop it.
    Kill,
    /// Forget that it has exited.
    Reap,
}

/// A report as it was sent, to tell what its answer is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentReport {
    /// The session that it was sent in.
    pub session: u64,
    /// When it was sent.
    pub at: Duration,
}

/// How direct commands were taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectOutcome {
    /// They were carried out.
    Executed,
    /// They are for another session or of an older leader; nothing was carried out.
    Refused,
    /// They can't be read.
    Malformed,
}

/// A worker that keeps to the protocol and runs nothing.
#[derive(Debug)]
pub struct HollowWorker {
    spec: WorkerSpec,
    jobs: Arc<Jobs>,
    random: SmallRng,
    session: u64,
    seq: u64,
    token: u64,
    /// When the last answered report was sent, or the session began.
    lease_from: Duration,
    /// When a higher token last counted as a change.
    token_told: Option<Duration>,
    tasks: BTreeMap<(TaskName, u64), HollowTask>,
    /// Images by when they are on the machine. There is room for all.
    images: HashMap<String, Duration>,
    changed: bool,
    events: Vec<TaskEvent>,
}

impl HollowWorker {
    /// A worker in its first session, which begins now.
    pub fn new(spec: WorkerSpec, jobs: Arc<Jobs>, seed: u64, now: Duration) -> Self {
        Self {
            spec,
            jobs,
            random: SmallRng::seed_from_u64(seed),
            session: 1,
            seq: 0,
            token: 0,
            lease_from: now,
            token_told: None,
            tasks: BTreeMap::new(),
            images: HashMap::new(),
            changed: false,
            events: Vec::new(),
        }
    }

    /// What the machine is and offers.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// A number between 0 and 1 from the worker's own sequence.
    pub fn draw(&mut self) -> f64 {
        self.random.random()
    }

    /// Whether something changed that is to be reported before long; asked once.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Takes what happened since it was asked last.
    pub fn take_events(&mut self) -> Vec<TaskEvent> {
        std::mem::take(&mut self.events)
    }

    /// When something is due next on its own account.
    pub fn next_due(&self) -> Duration {
        let phases = self.tasks.values().filter_map(|task| match task.phase {
            Phase::Fetching { until } | Phase::Running { until } => Some(until),
            Phase::Exited(_) => None,
        });
        phases.fold(self.lease_ends(), Duration::min)
    }

    fn lease_ends(&self) -> Duration {
        self.lease_from + self.spec.lease
    }

    /// Does all that is due by now.
    pub fn advance(&mut self, now: Duration) {
        let until = now.min(self.lease_ends());
        self.advance_tasks(until);
        if now > self.lease_ends() {
            self.end_session();
            self.lease_from = now;
        }
    }

    fn advance_tasks(&mut self, now: Duration) {
        let keys: Vec<(TaskName, u64)> = self.tasks.keys().cloned().collect();
        for key in keys {
            self.advance_task(&key, now);
        }
    }

    fn advance_task(&mut self, key: &(TaskName, u64), now: Duration) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        if let Phase::Fetching { until } = task.phase
            && until <= now
        {
            let run = match &task.job {
                Some(job) if !self.jobs.has_result(&key.0) => run_time(job, &mut self.random),
                _ => Duration::ZERO,
            };
            task.phase = Phase::Running { until: until + run };
            self.changed = true;
            self.events.push(TaskEvent {
                task: key.0.clone(),
                at: until,
                what: TaskChange::Started,
            });
        }
        if let Phase::Running { until } = task.phase
            && until <= now
        {
            task.phase = Phase::Exited(ExitReason::Done);
            self.changed = true;
            self.jobs.keep_result(&key.0);
            self.events.push(TaskEvent {
                task: key.0.clone(),
                at: until,
                what: TaskChange::Left { completed: true },
            });
        }
    }

    /// Kills and forgets every task, and goes on to the next session.
    fn end_session(&mut self) {
        let at = self.lease_ends();
        self.drop_tasks(at);
        self.session += 1;
        self.changed = true;
    }

    fn drop_tasks(&mut self, at: Duration) {
        for ((name, _), task) in std::mem::take(&mut self.tasks) {
            if matches!(task.phase, Phase::Running { .. }) {
                self.events.push(TaskEvent {
                    task: name,
                    at,
                    what: TaskChange::Left { completed: false },
                });
            }
        }
    }

    /// The machine stops, with all that is on it.
    pub fn stop(&mut self, now: Duration) {
        self.advance(now);
        self.drop_tasks(now);
    }

    /// The report as JSON; every one has a number of its own.
    pub fn report(&mut self, now: Duration) -> (String, SentReport) {
        self.advance(now);
        self.seq += 1;
        let strings = self.tasks.iter().map(|((name, _), task)| {
            let (attitude, downcause) = match task.phase {
                Phase::Fetching { .. } => ("pulling", None),
                Phase::Running { .. } => ("running", None),
                Phase::Exited(reason) => ("exited", Some(reason)),
            };
            WireTask {
                string: name,
                attempt: task.attempt,
                attitude,
                downcause,
            }
        });
        let report = WireReport {
            perch: &self.spec.name,
            endpoint: self.spec.endpoint,
            frame: &self.spec.machine_type,
            field: &self.spec.zone,
            gusts: false,
            launch: self.session,
            tick: self.seq,
            handle: self.token,
            recall_s: None,
            strings: strings.collect(),
        };
        let text = serde_json::to_string(&report).unwrap_or_default();
        let sent = SentReport {
            session: self.session,
            at: now,
        };
        (text, sent)
    }

    /// An answer of 200 to a report. False: it had to be dropped.
    pub fn answered(&mut self, now: Duration, sent: SentReport, commands: &Commands) -> bool {
        self.advance(now);
        let token = commands.handle.unwrap_or(0);
        if sent.session != self.session || token < self.token || commands.handle.is_none() {
            return false;
        }
        self.raise_token(now, token);
        self.lease_from = self.lease_from.max(sent.at);
        self.execute(now, commands);
        true
    }

    /// Commands that came straight to the worker; the answer is a report in any case.
    pub fn direct(&mut self, now: Duration, commands: &Commands) -> DirectOutcome {
        self.advance(now);
        let (Some(token), Some(session)) = (commands.handle, commands.launch) else {
            return DirectOutcome::Malformed;
        };
        if token < self.token || session != self.session {
            return DirectOutcome::Refused;
        }
        self.raise_token(now, token);
        self.execute(now, commands);
        DirectOutcome::Executed
    }

    fn raise_token(&mut self, now: Duration, token: u64) {
        if token <= self.token {
            return;
        }
        self.token = token;
        let pause = self.spec.lease / 2;
        if self.token_told.is_none_or(|told| now >= told + pause) {
            self.token_told = Some(now);
            self.changed = true;
        }
    }

    fn execute(&mut self, now: Duration, commands: &Commands) {
        for command in &commands.signals {
            match command.kind {
                CommandKind::Start => self.start(now, command),
                CommandKind::Kill => self.kill(now, command),
                CommandKind::Reap => self.reap(command),
            }
        }
        // What needs nothing fetched starts at once.
        self.advance_tasks(now);
    }

    fn start(&mut self, now: Duration, command: &Command) {
        let key = (command.task.clone(), command.attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let job = self.jobs.of_task(&command.task);
        let in_use = self
            .tasks
            .iter()
            .any(|((name, _), task)| *name == command.task && task.takes_room());
        let phase = match &job {
            None => Phase::Exited(ExitReason::NoSuch),
            Some(_) if in_use => Phase::Exited(ExitReason::InUse),
            Some(job) if !self.has_room(job) => Phase::Exited(ExitReason::NoRoom),
            Some(job) => {
                let until = self.image_ready(now, job);
                Phase::Fetching { until }
            }
        };
        let attempt = command.attempt;
        self.tasks.insert(
            key,
            HollowTask {
                attempt,
                phase,
                job,
            },
        );
        self.changed = true;
    }

    fn has_room(&self, job: &JobDescription) -> bool {
        let (mut cpus, mut mem_gb) = (job.cpus, job.mem_gb);
        for task in self.tasks.values().filter(|task| task.takes_room()) {
            if let Some(job) = &task.job {
                cpus += job.cpus;
                mem_gb += job.mem_gb;
            }
        }
        cpus <= self.spec.cpus + EPSILON && mem_gb <= self.spec.mem_gb + EPSILON
    }

    /// When the job's image is on the machine; a fetch begins if need be.
    fn image_ready(&mut self, now: Duration, job: &JobDescription) -> Duration {
        if let Some(ready) = self.images.get(&job.image) {
            return now.max(*ready);
        }
        let nominal = job.image_gb / self.spec.fetch_gb_per_s;
        let spread = 1.0 + FETCH_SPREAD * (2.0 * self.draw() - 1.0);
        let ready = now + Duration::from_secs_f64(nominal * spread);
        self.images.insert(job.image.clone(), ready);
        ready
    }

    fn kill(&mut self, now: Duration, command: &Command) {
        let key = (command.task.clone(), command.attempt);
        let Some(task) = self.tasks.get_mut(&key) else {
            return;
        };
        if !task.takes_room() {
            return;
        }
        if matches!(task.phase, Phase::Running { .. }) {
            self.events.push(TaskEvent {
                task: key.0,
                at: now,
                what: TaskChange::Left { completed: false },
            });
        }
        task.phase = Phase::Exited(ExitReason::Halted);
        self.changed = true;
    }

    fn reap(&mut self, command: &Command) {
        let key = (command.task.clone(), command.attempt);
        let exited = self.tasks.get(&key).is_some_and(|task| !task.takes_room());
        if exited {
            self.tasks.remove(&key);
        }
    }
}

fn run_time(job: &JobDescription, random: &mut SmallRng) -> Duration {
    let seconds = match LogNormal::new(job.run_s.ln(), job.run_sigma) {
        Ok(distribution) => distribution.sample(random),
        Err(_) => job.run_s,
    };
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
