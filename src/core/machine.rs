//! Machines, what runs on them, and what their workers say and are told.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    assignment_index::AssignmentEntry,
    job::{JobId, JobSpec, Resources, TaskId},
};

/// Names a machine, as the cloud does.
pub type MachineId = Arc<str>;

/// One attempt of a task: the task, and the number of its start, which no other start of any
/// leader has.
pub type AttemptKey = (TaskId, u64);

/// A kind of machine that the cloud rents.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineType {
    pub name: Arc<str>,
    pub size: Resources,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<Arc<str>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    Booting,
    Running,
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone)]
pub struct ListedMachine {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub state: ListedState,
    pub age: Duration,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    Done,
    Stopped { saved: bool },
    Peers,
    Incomplete,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited(ExitReason),
}

impl TaskPhase {
    pub fn exited(self) -> bool {
        matches!(self, TaskPhase::Exited(_))
    }

    /// The task has its image.
    pub fn on_machine(self) -> bool {
        matches!(
            self,
            TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Saving
        )
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportedTask {
    pub task: TaskId,
    pub attempt: u64,
    pub phase: TaskPhase,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerReport {
    pub machine: MachineId,
    pub addr: SocketAddr,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub notice_s: Option<f64>,
    pub tasks: Vec<ReportedTask>,
}

/// What became of commands sent straight to a worker.
#[derive(Debug, Clone)]
pub enum DirectReply {
    Executed(WorkerReport),
    /// Nothing was executed.
    Refused(WorkerReport),
    Unclear,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    Start {
        task: TaskId,
        attempt: u64,
    },
    Stop {
        task: TaskId,
        attempt: u64,
        grace: Duration,
    },
    Forget {
        task: TaskId,
        attempt: u64,
    },
}

/// How far a start command has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Decided, in no message yet.
    Decided,
    /// Sent with the answer to the report of this number. A worker has one
    /// report in flight and drops late answers, so the next report tells.
    /// Sent straight to the worker under a token, it may be executed late,
    /// until the worker has seen a higher one.
    Sent { seq: u64, direct: Option<u64> },
    /// Seen in a report.
    Seen(TaskPhase),
}

/// A task on a machine, or on its way there.
#[derive(Debug, Clone)]
pub struct Placement {
    pub phase: Phase,
    /// None where nothing is known of the job any more.
    pub spec: Option<Arc<JobSpec>>,
    /// What it holds; a task of an unknown job is taken to hold the whole machine.
    pub need: Resources,
    pub since: Duration,
    pub running_since: Option<Duration>,
    /// Set when the task was told to stop: the grace, and when.
    pub stop: Option<Stop>,
    /// The task is of a job that is over or unknown, or runs elsewhere.
    pub foreign: bool,
    /// The last report whose answer carried its start; 0: none did. Until a later report
    /// comes that answer may be on its way, whatever was seen of the task since, and a
    /// start after the worker has forgotten the attempt would run it again.
    pub offered: u64,
}

#[derive(Debug, Clone, Copy)]
pub struct Stop {
    pub grace: Duration,
    pub at: Duration,
    /// It went out once, so there is no hurry any more.
    pub sent: bool,
}

impl Stop {
    pub fn new(grace: Duration, at: Duration) -> Self {
        Self {
            grace,
            at,
            sent: false,
        }
    }
}

impl Placement {
    pub fn exited(&self) -> bool {
        matches!(self.phase, Phase::Seen(phase) if phase.exited())
    }

    pub fn image(&self) -> Option<&str> {
        self.spec.as_ref().map(|spec| &*spec.image)
    }

    pub fn stopping(&self) -> bool {
        self.stop.is_some()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Rented, its worker has not been heard of yet.
    Booting,
    /// Its worker reports.
    Up,
    /// Its worker's lease is over; it may come back with a new session.
    Lost,
    /// To be returned.
    Leaving,
}

/// One machine as the leader sees it.
#[derive(Debug, Clone)]
pub struct Machine {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub size: Resources,
    pub addr: Option<SocketAddr>,
    /// Where its worker was, and in which session, by what the previous leader told.
    pub last_known_worker: Option<(SocketAddr, u64)>,
    pub standing: Standing,
    pub session: u64,
    /// The newest report in this session, and the newest message of any kind.
    pub report_seq: u64,
    pub content_seq: u64,
    /// The token for this worker. Raised to shut out a direct command whose
    /// fate is unclear.
    pub token: u64,
    /// A direct command is under way.
    pub direct: bool,
    /// No direct command before this time.
    pub direct_retry: Duration,
    /// A session whose lease is over: reports from it came late.
    pub dead_session: u64,
    /// The worker has been seen to know this leader's token.
    pub fenced: bool,
    /// Its place in the stored assignment index.
    pub assignment: AssignmentEntry,
    /// May hold tasks that a previous leader started.
    pub unresolved: bool,
    pub answered_at: Option<Duration>,
    pub heard_at: Option<Duration>,
    /// It was asked since it was heard last, and did not answer.
    pub commands_unanswered: bool,
    pub first_seen: Duration,
    pub idle_since: Duration,
    pub notice_at: Option<Duration>,
    pub tasks: BTreeMap<AttemptKey, Placement>,
    /// Images in the machine's cache, as far as seen, with their last use.
    pub images: BTreeMap<Arc<str>, Duration>,
    /// What those are worth to services, see `value_images`.
    pub image_value: f64,
    /// Recent failures of tasks here, one entry a job.
    pub failures: Vec<(JobId, Duration)>,
    /// When the cloud's list last showed it.
    pub listed_at: Option<Duration>,
    pub listed_failed: bool,
}

/// What the cloud rents as one kind: machines that are alike in type, zone and price model.
///
/// Between nodes it is spoken as a list of three.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(
    from = "(Arc<str>, Arc<str>, bool)",
    into = "(Arc<str>, Arc<str>, bool)"
)]
pub(super) struct MachineKind {
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
}

impl From<(Arc<str>, Arc<str>, bool)> for MachineKind {
    fn from((machine_type, zone, spot): (Arc<str>, Arc<str>, bool)) -> Self {
        Self {
            machine_type,
            zone,
            spot,
        }
    }
}

impl From<MachineKind> for (Arc<str>, Arc<str>, bool) {
    fn from(kind: MachineKind) -> Self {
        (kind.machine_type, kind.zone, kind.spot)
    }
}

impl Machine {
    pub(super) fn kind(&self) -> MachineKind {
        MachineKind {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }

    pub fn new(
        id: MachineId,
        machine_type: Arc<str>,
        zone: Arc<str>,
        spot: bool,
        size: Resources,
        now: Duration,
    ) -> Self {
        Self {
            id,
            machine_type,
            zone,
            spot,
            size,
            addr: None,
            last_known_worker: None,
            standing: Standing::Booting,
            session: 0,
            report_seq: 0,
            content_seq: 0,
            token: 0,
            direct: false,
            direct_retry: Duration::ZERO,
            dead_session: 0,
            fenced: false,
            assignment: AssignmentEntry::default(),
            unresolved: false,
            answered_at: None,
            heard_at: None,
            commands_unanswered: false,
            first_seen: now,
            idle_since: now,
            notice_at: None,
            tasks: BTreeMap::new(),
            images: BTreeMap::new(),
            image_value: 0.0,
            failures: Vec::new(),
            listed_at: None,
            listed_failed: false,
        }
    }

    /// What is left beside everything that holds its place here.
    pub fn free(&self) -> Resources {
        self.tasks
            .values()
            .filter(|p| !p.exited())
            .fold(self.size, |room, p| room.minus(&p.need))
    }

    pub fn busy(&self) -> bool {
        self.tasks.values().any(|p| !p.exited())
    }

    /// A start that may go out, or a stop, waits to be sent.
    pub fn urgent(&self) -> bool {
        self.tasks
            .iter()
            .any(|((task, _), p)| match (p.phase, p.stop) {
                (Phase::Decided, None) => self.fenced && self.assignment.jobs.contains(&task.job),
                (Phase::Seen(phase), Some(stop)) => !phase.exited() && !stop.sent,
                _ => false,
            })
    }

    /// A start waits for its job to be listed in the assignment index.
    pub fn unlisted(&self) -> bool {
        self.tasks.iter().any(|((task, _), p)| {
            p.phase == Phase::Decided
                && p.stop.is_none()
                && !self.assignment.jobs.contains(&task.job)
        })
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.contains_key(image)
    }

    /// The image is being fetched for a task here.
    pub fn fetches(&self, image: &str) -> bool {
        self.tasks
            .values()
            .any(|p| !p.exited() && p.image() == Some(image))
    }

    pub fn fetching(&self) -> usize {
        self.tasks
            .values()
            .filter(|p| {
                !matches!(
                    p.phase,
                    Phase::Seen(TaskPhase::Running | TaskPhase::Exited(_))
                ) && !p.image().is_some_and(|image| self.has_image(image))
            })
            .count()
    }
}
