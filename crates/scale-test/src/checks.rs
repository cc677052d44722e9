//! Rules checked during a run, without I/O.
//!
//! Events may arrive late, since a busy process notices the end of a worker's lease late. They
//! carry the time at which they were due, so an apparent violation stays a suspicion until the
//! end of the run, and is dropped when an event that explains it arrives.

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

/// Tolerance for rounding errors in sums.
const EPSILON: f64 = 1e-6;

/// Violation of a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "rule", rename_all = "snake_case")]
pub enum Violation {
    /// A task started on one machine while it ran on another.
    RanTwice {
        /// Task.
        task: TaskName,
        /// Machine that the task started on.
        on: String,
        /// Machine that the task already ran on.
        also_on: String,
    },
    /// A team's tasks used more than its limit.
    TeamLimit {
        /// Number of the team.
        team: usize,
        /// CPUs that its tasks used.
        cpus: f64,
        /// CPUs that its tasks may use.
        limit: f64,
    },
    /// A task ran to completion more than once.
    CompletedTwice {
        /// Task.
        task: TaskName,
    },
    /// A job was reported as done before all of its tasks were.
    NotDone {
        /// Id of the job.
        job: String,
    },
    /// A job reported as done was later reported in another state.
    WentBack {
        /// Id of the job.
        job: String,
    },
    /// A request for an accepted job got 404.
    Forgotten {
        /// Id of the job.
        job: String,
    },
}

/// State of a job as reported to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task is running.
    Pending,
    /// At least one task is running.
    Running,
    /// All tasks have completed.
    Done,
    /// The user has cancelled the job.
    Cancelled,
}

#[derive(Debug)]
struct Job {
    description: Arc<JobDescription>,
    submitted: Duration,
    accepted: bool,
    reported_done: bool,
    done: HashSet<TaskName>,
}

#[derive(Debug)]
struct Placement {
    machine: String,
    started_at: Duration,
}

#[derive(Debug)]
struct DoubleStart {
    task: TaskName,
    machine: String,
    other_machine: String,
    at: Duration,
}

#[derive(Debug)]
struct OverLimit {
    team: usize,
    cpus: f64,
    at: Duration,
}

/// First start of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstStart {
    /// Whether the job is urgent.
    pub urgent: bool,
    /// Time of the job's submission.
    pub submitted: Duration,
    /// Time of the task's start.
    pub at: Duration,
}

/// Tracks jobs and tasks, and records violations.
#[derive(Debug, Default)]
pub struct Checks {
    team_limit: f64,
    jobs: HashMap<String, Job>,
    placements: HashMap<TaskName, Vec<Placement>>,
    started_tasks: HashSet<TaskName>,
    team_cpus: BTreeMap<usize, f64>,
    double_starts: Vec<DoubleStart>,
    over_limits: Vec<OverLimit>,
    violations: Vec<Violation>,
    starts: u64,
    completed: u64,
}

/// Progress of the jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Accepted jobs that were reported as done.
    pub done: usize,
    /// Accepted jobs whose tasks have all completed.
    pub completed: usize,
}

impl Checks {
    /// Creates checks with the CPU limit of each team.
    pub fn new(team_limit: f64) -> Self {
        Self {
            team_limit,
            ..Self::default()
        }
    }

    /// Records a job before its first submission.
    pub fn record_submission(&mut self, description: Arc<JobDescription>, now: Duration) {
        let job = Job {
            submitted: now,
            accepted: false,
            reported_done: false,
            done: HashSet::new(),
            description: description.clone(),
        };
        self.jobs.insert(description.id.clone(), job);
    }

    /// Records that a job was accepted.
    pub fn record_acceptance(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.accepted = true;
        }
    }

    /// Records the state in a response to a poll or a submission.
    pub fn record_state(&mut self, id: &str, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let all_completed = job.done.len() == job.description.tasks as usize;
        if state == JobState::Done && !all_completed {
            let job = id.to_owned();
            self.violations.push(Violation::NotDone { job });
        } else if state != JobState::Done && (job.reported_done || state == JobState::Cancelled) {
            let job = id.to_owned();
            self.violations.push(Violation::WentBack { job });
        }
        job.reported_done |= state == JobState::Done;
    }

    /// Records that a poll got 404.
    pub fn record_not_found(&mut self, id: &str) {
        if self.jobs.get(id).is_some_and(|job| job.accepted) {
            let job = id.to_owned();
            self.violations.push(Violation::Forgotten { job });
        }
    }

    /// Records an event on a machine; returns the task's first start if the event is that.
    pub fn record_event(&mut self, machine: &str, event: &TaskEvent) -> Option<FirstStart> {
        match event.change {
            TaskChange::Started => self.record_start(machine, event),
            TaskChange::Ended { completed } => {
                self.record_end(machine, event, completed);
                None
            }
        }
    }

    fn record_start(&mut self, machine: &str, event: &TaskEvent) -> Option<FirstStart> {
        self.starts += 1;
        let placements = self.placements.entry(event.task.clone()).or_default();
        for placement in placements.iter() {
            self.double_starts.push(DoubleStart {
                task: event.task.clone(),
                machine: machine.to_owned(),
                other_machine: placement.machine.clone(),
                at: event.at.max(placement.started_at),
            });
        }
        placements.push(Placement {
            machine: machine.to_owned(),
            started_at: event.at,
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
        let is_first = self.started_tasks.insert(event.task.clone());
        is_first.then_some(FirstStart {
            urgent: job.description.urgent,
            submitted: job.submitted,
            at: event.at,
        })
    }

    fn record_end(&mut self, machine: &str, event: &TaskEvent, completed: bool) {
        let Some(placements) = self.placements.get_mut(&event.task) else {
            return;
        };
        let Some(index) = placements.iter().position(|p| p.machine == machine) else {
            return;
        };
        let placement = placements.swap_remove(index);
        if placements.is_empty() {
            self.placements.remove(&event.task);
        }
        self.double_starts.retain(|suspicion| {
            let is_explained = suspicion.task == event.task
                && suspicion.other_machine == machine
                && event.at <= suspicion.at;
            !is_explained
        });
        let Some(job) = self.jobs.get_mut(job_of(&event.task)) else {
            return;
        };
        let (team, cpus) = (job.description.team, job.description.cpus);
        if completed && !job.done.insert(event.task.clone()) && event.at > placement.started_at {
            let task = event.task.clone();
            self.violations.push(Violation::CompletedTwice { task });
        }
        self.completed += u64::from(completed);
        *self.team_cpus.entry(team).or_default() -= cpus;
        self.deduct_usage(team, cpus, event.at);
    }

    /// Deducts a task that had ended from the usage that was counted at or after its end.
    fn deduct_usage(&mut self, team: usize, cpus: f64, ended_at: Duration) {
        let limit = self.team_limit + EPSILON;
        for over in &mut self.over_limits {
            if over.team == team && ended_at <= over.at {
                over.cpus -= cpus;
            }
        }
        self.over_limits.retain(|over| over.cpus > limit);
    }

    /// Returns the number of task starts, repeated ones included.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Returns the number of completed tasks.
    pub fn completed_tasks(&self) -> u64 {
        self.completed
    }

    /// Returns the number of tasks on machines.
    pub fn running(&self) -> usize {
        self.placements.len()
    }

    /// Returns the progress of the accepted jobs.
    pub fn job_counts(&self) -> JobCounts {
        let accepted = self.jobs.values().filter(|job| job.accepted);
        let mut counts = JobCounts::default();
        for job in accepted {
            counts.accepted += 1;
            counts.done += usize::from(job.reported_done);
            let all_completed = job.done.len() == job.description.tasks as usize;
            counts.completed += usize::from(all_completed);
        }
        counts
    }

    /// Returns the proven violations and the suspicions that no event explained.
    pub fn violations(&self) -> Vec<Violation> {
        let mut all = self.violations.clone();
        all.extend(self.double_starts.iter().map(|double| Violation::RanTwice {
            task: double.task.clone(),
            on: double.machine.clone(),
            also_on: double.other_machine.clone(),
        }));
        all.extend(self.over_limits.iter().map(|over| Violation::TeamLimit {
            team: over.team,
            cpus: over.cpus,
            limit: self.team_limit,
        }));
        all
    }
}
