//! Machines, their tasks, and the messages exchanged with their workers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    assignment_index::AssignmentEntry,
    fencing::{self, StartCopies},
    job::{JobId, JobSpec, Resources, TaskId},
};

/// Id of a machine, as assigned by the cloud.
pub type MachineId = Arc<str>;

/// Attempt of a task: the task and its attempt number, which no other start of any leader has.
pub type AttemptKey = (TaskId, u64);

/// Machine type that the cloud rents.
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

/// Machine in the cloud's list.
#[derive(Debug, Clone)]
pub struct ListedMachine {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub state: ListedState,
    pub age: Duration,
}

/// Reason why a task exited.
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

    /// Returns whether the task has its image.
    pub fn has_image(self) -> bool {
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

/// Report of a worker.
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

/// Outcome of commands sent directly to a worker.
#[derive(Debug, Clone)]
pub enum DirectReply {
    Executed(WorkerReport),
    /// No command was executed.
    Refused(WorkerReport),
    Unclear,
}

/// Maximum number of commands in one answer, which keeps it below the protocol's line limit.
pub(super) const MAX_COMMANDS_PER_ANSWER: usize = 400;

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

/// Progress of a start command.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// Decided, but not sent in any message.
    Decided,
    /// Sent with the answer to the report numbered `seq`. A worker has one report in flight and
    /// drops late answers, so the next report shows the result. A start sent directly under
    /// `direct_token` may be executed late, until the worker has seen a higher token.
    Sent { seq: u64, direct_token: Option<u64> },
    /// Seen in a report.
    Seen(TaskPhase),
}

/// Task on a machine, or on its way there.
#[derive(Debug, Clone)]
pub struct Placement {
    pub phase: Phase,
    /// Spec of the job, or none if the job is unknown.
    pub spec: Option<Arc<JobSpec>>,
    /// Reserved resources; a task of an unknown job is assumed to hold the whole machine.
    pub need: Resources,
    pub since: Duration,
    pub running_since: Option<Duration>,
    /// Stop request, if any.
    pub stop: Option<Stop>,
    /// Whether the task occupies no slot of a job: the job is finished or unknown, or the task is
    /// done or placed elsewhere.
    pub is_orphaned: bool,
    /// Messages with the start that may still arrive, whatever was seen of the task since.
    pub start_copies: StartCopies,
}

#[derive(Debug, Clone, Copy)]
pub struct Stop {
    pub grace: Duration,
    pub at: Duration,
    /// Whether the stop was sent once, so that it is no longer urgent.
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
pub enum MachineState {
    /// Rented, but its worker has not reported yet.
    Booting,
    /// Its worker reports.
    Up,
    /// Its worker's lease has expired; it may return with a new session.
    Lost,
    /// Marked for release to the cloud.
    Leaving,
}

/// Machine as known to the leader.
#[derive(Debug, Clone)]
pub struct Machine {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub size: Resources,
    pub addr: Option<SocketAddr>,
    /// Address and session of its worker according to the previous leader.
    pub last_known_worker: Option<(SocketAddr, u64)>,
    pub state: MachineState,
    pub session: u64,
    /// Newest regular report in this session, and newest report of any kind that was applied.
    pub report_seq: u64,
    pub content_seq: u64,
    /// Token for this worker, raised to void copies of direct commands, see `fencing`.
    pub token: u64,
    /// Whether a direct command is in flight.
    pub direct_in_flight: bool,
    /// Earliest time of the next direct command.
    pub direct_retry_at: Duration,
    /// Latest session whose lease has expired; reports from it are late.
    pub expired_session: u64,
    /// Whether the worker has been seen to know this leader's token.
    pub fenced: bool,
    /// Entry in the stored assignment index.
    pub assignment: AssignmentEntry,
    /// Whether the machine may hold tasks that a previous leader started.
    pub unresolved: bool,
    pub heard_at: Option<Duration>,
    /// Whether a command sent since it was last heard got no answer.
    pub commands_unanswered: bool,
    pub first_seen: Duration,
    pub idle_since: Duration,
    pub notice_at: Option<Duration>,
    pub tasks: BTreeMap<AttemptKey, Placement>,
    /// Images known to be in the machine's cache, with the time of their last use.
    pub images: BTreeMap<Arc<str>, Duration>,
    /// Value of those images to services, see `update_image_values`.
    pub image_value: f64,
    /// Recent task failures on this machine, one entry per job.
    pub failures: Vec<(JobId, Duration)>,
    /// Time at which the cloud's list last contained it.
    pub listed_at: Option<Duration>,
    pub listed_failed: bool,
}

/// Machines that the cloud rents as one kind, being alike in type, zone and price model.
///
/// Serialized between nodes as a list of three.
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
            state: MachineState::Booting,
            session: 0,
            report_seq: 0,
            content_seq: 0,
            token: 0,
            direct_in_flight: false,
            direct_retry_at: Duration::ZERO,
            expired_session: 0,
            fenced: false,
            assignment: AssignmentEntry::default(),
            unresolved: false,
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

    /// Returns the resources that no placement holds.
    pub fn free(&self) -> Resources {
        self.tasks
            .values()
            .filter(|p| !p.exited())
            .fold(self.size, |free, p| free.minus(&p.need))
    }

    pub fn busy(&self) -> bool {
        self.tasks.values().any(|p| !p.exited())
    }

    /// Returns whether a stop, or a start that may be sent, has not been sent yet.
    pub fn has_urgent_command(&self) -> bool {
        self.tasks
            .iter()
            .any(|((task, _), p)| match (p.phase, p.stop) {
                (Phase::Decided, None) => {
                    self.fenced
                        && fencing::allows_direct_start(self.token)
                        && self.assignment.jobs.contains(&task.job)
                }
                (Phase::Seen(phase), Some(stop)) => !phase.exited() && !stop.sent,
                _ => false,
            })
    }

    /// Returns whether a start waits for its job to be listed in the assignment index.
    pub fn has_unlisted_start(&self) -> bool {
        self.tasks.iter().any(|((task, _), p)| {
            p.phase == Phase::Decided
                && p.stop.is_none()
                && !self.assignment.jobs.contains(&task.job)
        })
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.contains_key(image)
    }

    /// Returns whether the image is being fetched for a task on this machine.
    pub fn is_fetching(&self, image: &str) -> bool {
        self.tasks
            .values()
            .any(|p| !p.exited() && p.image() == Some(image))
    }

    pub fn fetch_count(&self) -> usize {
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
