//! The rules that are checked while a run goes on, without I/O.
//!
//! Events may be handed over late, since a busy process notices late that a worker's lease
//! has ended. They carry the time at which they were due, so whatever looks like a breach
//! is held as a suspicion until the run is over, and taken back when an event that explains
//! it comes in.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    jobs::{JobDescription, TaskName, job_of},
    worker::{TaskChange, TaskEvent},
};

/// For rounding in sums of amounts.
const EPSILON: f64 = 1e-6;

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "rule", rename_all = "snake_case")]
pub enum Violation {
    /// A task started on one machine while it was on another.
    RanTwice {
        /// The task.
        task: TaskName,
        /// The machine that it started on.
        on: String,
        /// The machine that it was on.
        also_on: String,
    },
    /// A team's tasks used more than its limit.
    TeamLimit {
        /// The team's number.
        team: usize,
        /// What its tasks used.
        cpus: f64,
        /// What they may use.
        limit: f64,
    },
    /// A task completed by running more than once.
    CompletedTwice {
        /// The task.
        task: TaskName,
    },
    /// A job was called done before all of its tasks were.
    NotDone {
        /// The job's id.
        job: String,
    },
    /// A job called done was called something else.
    WentBack {
        /// The job's id.
        job: String,
    },
    /// An accepted job got 404.
    Forgotten {
        /// The job's id.
        job: String,
    },
}

/// What users are told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks have completed.
    Done,
    /// Its user has withdrawn it.
    Cancelled,
}

#[derive(Debug)]
struct Job {
    description: Arc<JobDescription>,
    submitted: Duration,
    accepted: bool,
    told_done: bool,
    done: HashSet<TaskName>,
}

#[derive(Debug)]
struct Placement {
    machine: String,
    started: Duration,
}

#[derive(Debug)]
struct DoubleStart {
    task: TaskName,
    machine: String,
    other: String,
    at: Duration,
}

#[derive(Debug)]
struct OverLimit {
    team: usize,
    cpus: f64,
    at: Duration,
}

/// The first start of a task that counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstStart {
    /// The job is urgent.
    pub urgent: bool,
    /// When the job was submitted.
    pub submitted: Duration,
    /// When the task started.
    pub at: Duration,
}

/// Follows jobs and tasks, and keeps the rules that were broken.
#[derive(Debug, Default)]
pub struct Checks {
    team_limit: f64,
    jobs: HashMap<String, Job>,
    on_machines: HashMap<TaskName, Vec<Placement>>,
    started_once: HashSet<TaskName>,
    team_cpus: BTreeMap<usize, f64>,
    double_starts: Vec<DoubleStart>,
    over_limits: Vec<OverLimit>,
    violations: Vec<Violation>,
    starts: u64,
    completed: u64,
}

/// How far the jobs are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Told to be done, of those accepted.
    pub done: usize,
    /// All tasks have completed, of those accepted.
    pub completed: usize,
}

impl Checks {
    /// With the CPUs that each team may use at most.
    pub fn new(team_limit: f64) -> Self {
        Self {
            team_limit,
            ..Self::default()
        }
    }

    /// A job is about to be submitted for the first time.
    pub fn submitted(&mut self, description: Arc<JobDescription>, now: Duration) {
        let job = Job {
            submitted: now,
            accepted: false,
            told_done: false,
            done: HashSet::new(),
            description: description.clone(),
        };
        self.jobs.insert(description.id.clone(), job);
    }

    /// The job was accepted.
    pub fn accepted(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.accepted = true;
        }
    }

    /// What a poll or a submission was answered.
    pub fn told(&mut self, id: &str, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let all_done = job.done.len() == job.description.tasks as usize;
        if state == JobState::Done && !all_done {
            let job = id.to_owned();
            self.violations.push(Violation::NotDone { job });
        } else if state != JobState::Done && (job.told_done || state == JobState::Cancelled) {
            let job = id.to_owned();
            self.violations.push(Violation::WentBack { job });
        }
        job.told_done |= state == JobState::Done;
    }

    /// A poll was answered 404.
    pub fn not_found(&mut self, id: &str) {
        if self.jobs.get(id).is_some_and(|job| job.accepted) {
            let job = id.to_owned();
            self.violations.push(Violation::Forgotten { job });
        }
    }

    /// What happened on a machine; the task's first start, if it was that.
    pub fn happened(&mut self, machine: &str, event: &TaskEvent) -> Option<FirstStart> {
        match event.what {
            TaskChange::Started => self.started(machine, event),
            TaskChange::Left { completed } => {
                self.left(machine, event, completed);
                None
            }
        }
    }

    fn started(&mut self, machine: &str, event: &TaskEvent) -> Option<FirstStart> {
        self.starts += 1;
        let placements = self.on_machines.entry(event.task.clone()).or_default();
        for placement in placements.iter() {
            self.double_starts.push(DoubleStart {
                task: event.task.clone(),
                machine: machine.to_owned(),
                other: placement.machine.clone(),
                at: event.at.max(placement.started),
            });
        }
        placements.push(Placement {
            machine: machine.to_owned(),
            started: event.at,
        });
        let job = self.jobs.get(job_of(&event.task))?;
        let team = job.description.team;
        let used = self.team_cpus.entry(team).or_default();
        *used += job.description.cpus;
        if *used > self.team_limit + EPSILON {
            self.over_limits.push(OverLimit {
                team,
                cpus: *used,
                at: event.at,
            });
        }
        let first = self.started_once.insert(event.task.clone());
        first.then_some(FirstStart {
            urgent: job.description.urgent,
            submitted: job.submitted,
            at: event.at,
        })
    }

    fn left(&mut self, machine: &str, event: &TaskEvent, completed: bool) {
        let Some(placements) = self.on_machines.get_mut(&event.task) else {
            return;
        };
        let Some(index) = placements.iter().position(|p| p.machine == machine) else {
            return;
        };
        let placement = placements.swap_remove(index);
        if placements.is_empty() {
            self.on_machines.remove(&event.task);
        }
        self.double_starts.retain(|suspicion| {
            let explained = suspicion.task == event.task
                && suspicion.other == machine
                && event.at <= suspicion.at;
            !explained
        });
        let Some(job) = self.jobs.get_mut(job_of(&event.task)) else {
            return;
        };
        let (team, cpus) = (job.description.team, job.description.cpus);
        if completed && !job.done.insert(event.task.clone()) && event.at > placement.started {
            let task = event.task.clone();
            self.violations.push(Violation::CompletedTwice { task });
        }
        self.completed += u64::from(completed);
        *self.team_cpus.entry(team).or_default() -= cpus;
        self.lower(team, cpus, event.at);
    }

    /// A task had left by then: what was counted since is less.
    fn lower(&mut self, team: usize, cpus: f64, left: Duration) {
        let limit = self.team_limit + EPSILON;
        for over in &mut self.over_limits {
            if over.team == team && left <= over.at {
                over.cpus -= cpus;
            }
        }
        self.over_limits.retain(|over| over.cpus > limit);
    }

    /// Starts of tasks so far, repeated ones included.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Completed tasks so far.
    pub fn completed_tasks(&self) -> u64 {
        self.completed
    }

    /// Tasks that are on machines.
    pub fn running(&self) -> usize {
        self.on_machines.len()
    }

    /// How far the accepted jobs are.
    pub fn job_counts(&self) -> JobCounts {
        let accepted = self.jobs.values().filter(|job| job.accepted);
        let mut counts = JobCounts::default();
        for job in accepted {
            counts.accepted += 1;
            counts.done += usize::from(job.told_done);
            let all = job.done.len() == job.description.tasks as usize;
            counts.completed += usize::from(all);
        }
        counts
    }

    /// All that is proven, and the suspicions that nothing explained.
    pub fn violations(&self) -> Vec<Violation> {
        let mut all = self.violations.clone();
        all.extend(self.double_starts.iter().map(|double| Violation::RanTwice {
            task: double.task.clone(),
            on: double.machine.clone(),
            also_on: double.other.clone(),
        }));
        all.extend(self.over_limits.iter().map(|over| Violation::TeamLimit {
            team: over.team,
            cpus: over.cpus,
            limit: self.team_limit,
        }));
        all
    }
}
