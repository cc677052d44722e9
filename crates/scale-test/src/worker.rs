//! Hollow worker, without I/O: it follows the protocol and runs nothing.

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

/// Relative jitter of the time of an image download, in both directions.
const FETCH_JITTER: f64 = 1.0 / 3.0;
/// Tolerance for rounding errors in sums.
const EPSILON: f64 = 1e-9;

/// Properties and capacity of a machine.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    /// Name of the machine.
    pub name: String,
    /// Address at which the worker receives direct commands.
    pub endpoint: SocketAddr,
    /// Type of the machine.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// CPUs available to tasks.
    pub cpus: f64,
    /// Memory available to tasks, in GB.
    pub mem_gb: f64,
    /// Image download rate, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Length of the worker's lease.
    pub lease: Duration,
}

/// Event for the observer, with the time at which it was due.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskEvent {
    /// Task.
    pub task: TaskName,
    /// Time at which the event was due.
    pub at: Duration,
    /// Change of the task.
    pub change: TaskChange,
}

/// Change of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskChange {
    /// The task has its image and runs on the machine.
    Started,
    /// The task is no longer on the machine.
    Ended {
        /// Whether it completed, as opposed to being stopped or refused.
        completed: bool,
    },
}

/// Exit reason of a task, as reports name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// The task was stopped.
    Halted,
    /// The machine has no capacity for the task.
    NoRoom,
    /// Another attempt of the task is on the machine.
    InUse,
    /// The task does not exist.
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
    fn uses_capacity(&self) -> bool {
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

/// Commands, from the response to a report or sent directly to the worker.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Commands {
    /// Fencing token.
    pub handle: Option<u64>,
    /// Session that direct commands are meant for.
    pub launch: Option<u64>,
    /// Commands, in order.
    #[serde(default)]
    pub signals: Vec<Command>,
}

/// Command for one task.
#[derive(Debug, Clone, Deserialize)]
pub struct Command {
    /// Kind of the command.
    #[serde(rename = "signal")]
    pub kind: CommandKind,
    /// Task.
    #[serde(rename = "string")]
    pub task: TaskName,
    /// Attempt of the task.
    #[serde(rename = "try")]
    pub attempt: u64,
}

/// Kind of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start the task.
    Start,
    /// Stop the task.
    Kill,
    /// Forget the exited task.
    Reap,
}

/// Session and time of a sent report, which decide whether its response is still valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentReport {
    /// Session that the report was sent in.
    pub session: u64,
    /// Time at which the report was sent.
    pub at: Duration,
}

/// Outcome of direct commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectOutcome {
    /// The commands were executed.
    Executed,
    /// The commands are for another session or from an older leader; none was executed.
    Refused,
    /// The commands have no token or no session.
    Malformed,
}

/// Worker that follows the protocol and runs nothing.
#[derive(Debug)]
pub struct HollowWorker {
    spec: WorkerSpec,
    jobs: Arc<Jobs>,
    random: SmallRng,
    session: u64,
    seq: u64,
    token: u64,
    /// Start of the lease: the last answered report was sent, or the session began.
    lease_start: Duration,
    /// Time at which a higher token last caused a report.
    token_reported_at: Option<Duration>,
    tasks: BTreeMap<(TaskName, u64), HollowTask>,
    /// Time at which each image is on the machine; the cache holds all images.
    images: HashMap<String, Duration>,
    changed: bool,
    events: Vec<TaskEvent>,
}

impl HollowWorker {
    /// Creates a worker in its first session, which begins now.
    pub fn new(spec: WorkerSpec, jobs: Arc<Jobs>, seed: u64, now: Duration) -> Self {
        Self {
            spec,
            jobs,
            random: SmallRng::seed_from_u64(seed),
            session: 1,
            seq: 0,
            token: 0,
            lease_start: now,
            token_reported_at: None,
            tasks: BTreeMap::new(),
            images: HashMap::new(),
            changed: false,
            events: Vec::new(),
        }
    }

    /// Returns the properties and capacity of the machine.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Draws a number between 0 and 1 from the worker's own random sequence.
    pub fn random_fraction(&mut self) -> f64 {
        self.random.random()
    }

    /// Returns whether a change needs an early report, and resets the flag.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<TaskEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the time of the next phase change or the end of the lease.
    pub fn next_due(&self) -> Duration {
        let phases = self.tasks.values().filter_map(|task| match task.phase {
            Phase::Fetching { until } | Phase::Running { until } => Some(until),
            Phase::Exited(_) => None,
        });
        phases.fold(self.lease_end(), Duration::min)
    }

    fn lease_end(&self) -> Duration {
        self.lease_start + self.spec.lease
    }

    /// Applies all changes that are due by now.
    pub fn advance(&mut self, now: Duration) {
        let until = now.min(self.lease_end());
        self.advance_tasks(until);
        if now > self.lease_end() {
            self.end_session();
            self.lease_start = now;
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
                change: TaskChange::Started,
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
                change: TaskChange::Ended { completed: true },
            });
        }
    }

    /// Kills and forgets every task, and begins the next session.
    fn end_session(&mut self) {
        let at = self.lease_end();
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
                    change: TaskChange::Ended { completed: false },
                });
            }
        }
    }

    /// Stops the machine with all of its tasks.
    pub fn stop(&mut self, now: Duration) {
        self.advance(now);
        self.drop_tasks(now);
    }

    /// Returns the next report as JSON; each report has its own sequence number.
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

    /// Handles a response of 200 to a report; returns false if it had to be dropped.
    pub fn handle_response(
        &mut self,
        now: Duration,
        sent: SentReport,
        commands: &Commands,
    ) -> bool {
        self.advance(now);
        let token = commands.handle.unwrap_or(0);
        if sent.session != self.session || token < self.token || commands.handle.is_none() {
            return false;
        }
        self.raise_token(now, token);
        self.lease_start = self.lease_start.max(sent.at);
        self.execute(now, commands);
        true
    }

    /// Handles direct commands; the response is a report in any case.
    pub fn handle_direct(&mut self, now: Duration, commands: &Commands) -> DirectOutcome {
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
        let min_interval = self.spec.lease / 2;
        if self
            .token_reported_at
            .is_none_or(|at| now >= at + min_interval)
        {
            self.token_reported_at = Some(now);
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
        // Tasks whose image is on the machine start at once.
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
            .any(|((name, _), task)| *name == command.task && task.uses_capacity());
        let phase = match &job {
            None => Phase::Exited(ExitReason::NoSuch),
            Some(_) if in_use => Phase::Exited(ExitReason::InUse),
            Some(job) if !self.has_capacity(job) => Phase::Exited(ExitReason::NoRoom),
            Some(job) => {
                let until = self.image_ready_at(now, job);
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

    fn has_capacity(&self, job: &JobDescription) -> bool {
        let (mut cpus, mut mem_gb) = (job.cpus, job.mem_gb);
        for task in self.tasks.values().filter(|task| task.uses_capacity()) {
            if let Some(job) = &task.job {
                cpus += job.cpus;
                mem_gb += job.mem_gb;
            }
        }
        cpus <= self.spec.cpus + EPSILON && mem_gb <= self.spec.mem_gb + EPSILON
    }

    /// Returns the time at which the job's image is on the machine; starts its download if needed.
    fn image_ready_at(&mut self, now: Duration, job: &JobDescription) -> Duration {
        if let Some(ready) = self.images.get(&job.image) {
            return now.max(*ready);
        }
        let nominal = job.image_gb / self.spec.fetch_gb_per_s;
        let jitter = 1.0 + FETCH_JITTER * (2.0 * self.random_fraction() - 1.0);
        let ready = now + Duration::from_secs_f64(nominal * jitter);
        self.images.insert(job.image.clone(), ready);
        ready
    }

    fn kill(&mut self, now: Duration, command: &Command) {
        let key = (command.task.clone(), command.attempt);
        let Some(task) = self.tasks.get_mut(&key) else {
            return;
        };
        if !task.uses_capacity() {
            return;
        }
        if matches!(task.phase, Phase::Running { .. }) {
            self.events.push(TaskEvent {
                task: key.0,
                at: now,
                change: TaskChange::Ended { completed: false },
            });
        }
        task.phase = Phase::Exited(ExitReason::Halted);
        self.changed = true;
    }

    fn reap(&mut self, command: &Command) {
        let key = (command.task.clone(), command.attempt);
        let exited = self
            .tasks
            .get(&key)
            .is_some_and(|task| !task.uses_capacity());
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
