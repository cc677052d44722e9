//! Counters at two moments, and the rates that lie between them.

use std::time::Duration;

use kiteyard_stand_ins::{
    cloud::CloudCounts,
    state::{StateCounts, StateSize},
};

use crate::{
    procfs::ProcessSample,
    result::{CloudResult, ControllerResult, StateResult, UsersResult, WorkersResult},
};

/// Counters at one moment.
pub struct Snapshot {
    /// When it was taken, since the start of the run.
    pub at: Duration,
    /// The controllers' processes; none where one has ended.
    pub processes: Vec<Option<ProcessSample>>,
    /// This process.
    pub harness: ProcessSample,
    /// Reports answered with 200, by controller.
    pub answered_by: Vec<u64>,
    /// The state service's counters.
    pub state: StateCounts,
    /// What is stored.
    pub stored: StateSize,
    /// The cloud's counters.
    pub cloud: CloudCounts,
    /// The workers' counters.
    pub fleet: FleetNumbers,
    /// The users' counters.
    pub users: UserNumbers,
    /// Starts of tasks, repeated ones included.
    pub starts: u64,
    /// Completed tasks.
    pub completed: u64,
    /// Tasks that are on machines.
    pub running: usize,
}

/// The workers' counters, as of one moment.
pub struct FleetNumbers {
    /// Reports that were sent.
    pub reports: u64,
    /// Reports answered with 421.
    pub redirects: u64,
    /// Reports that got another answer than 200 or 421, or none.
    pub reports_failed: u64,
    /// Answers with 200 that the workers had to drop.
    pub answers_dropped: u64,
    /// Requests with direct commands.
    pub direct_commands: u64,
    /// Of these, refused by the worker.
    pub direct_refused: u64,
    /// Bytes that the workers sent.
    pub sent: u64,
    /// Bytes that the workers received.
    pub received: u64,
}

/// The users' counters, as of one moment.
pub struct UserNumbers {
    /// Jobs submitted for the first time.
    pub submissions: u64,
    /// Polls.
    pub polls: u64,
    /// Submissions that were tried again.
    pub retries: u64,
    /// Polls that got neither a state nor 404.
    pub polls_failed: u64,
    /// Bytes in both directions.
    pub bytes: u64,
}

/// What lies between two moments.
pub struct Window<'a> {
    /// The earlier moment.
    pub first: &'a Snapshot,
    /// The later moment.
    pub last: &'a Snapshot,
    /// How long lies between them.
    pub seconds: f64,
}

impl Window<'_> {
    /// How fast a counter rose, a second.
    pub fn rate(&self, pick: impl Fn(&Snapshot) -> u64) -> f64 {
        pick(self.last).saturating_sub(pick(self.first)) as f64 / self.seconds
    }

    /// Who answered the most reports.
    pub fn leader(&self) -> usize {
        let answered = |index: &usize| {
            let index = *index;
            self.last.answered_by[index] - self.first.answered_by[index]
        };
        (0..self.last.answered_by.len())
            .max_by_key(answered)
            .unwrap_or(0)
    }

    /// What one controller used.
    pub fn controller(&self, index: usize) -> ControllerResult {
        let first = self.first.processes[index].as_ref();
        process_result(first, self.last.processes[index].as_ref(), self.seconds)
    }

    /// The mean of all controllers but the leader; none if there is only one.
    pub fn followers(&self, leader: usize) -> Option<ControllerResult> {
        let others: Vec<ControllerResult> = (0..self.last.processes.len())
            .filter(|index| *index != leader)
            .map(|index| self.controller(index))
            .collect();
        if others.is_empty() {
            return None;
        }
        let mean = |pick: fn(&ControllerResult) -> f64| {
            others.iter().map(pick).sum::<f64>() / others.len() as f64
        };
        Some(ControllerResult {
            cores: mean(|other| other.cores),
            resident_mb: mean(|other| other.resident_mb),
            peak_resident_mb: mean(|other| other.peak_resident_mb),
            sockets: mean(|other| other.sockets),
        })
    }

    /// The load of the state service, and its size at the end.
    pub fn state(&self) -> StateResult {
        StateResult {
            requests_per_s: self.rate(|at| at.state.requests),
            changes_per_s: self.rate(|at| at.state.changes),
            transactions_per_s: self.rate(|at| at.state.transactions),
            watches_per_s: self.rate(|at| at.state.watches),
            refused_per_s: self.rate(|at| at.state.refused_requests + at.state.refused_changes),
            bytes_received_per_s: self.rate(|at| at.state.bytes_received),
            bytes_sent_per_s: self.rate(|at| at.state.bytes_sent),
            keys: self.last.stored.keys,
            bytes: self.last.stored.bytes,
            largest_value: self.last.stored.largest_value,
            counts: self.last.state,
        }
    }

    /// The load of the cloud.
    pub fn cloud(&self) -> CloudResult {
        CloudResult {
            requests_per_s: self.rate(|at| at.cloud.requests),
            refused_per_s: self.rate(|at| at.cloud.refused),
            bytes_per_s: self.rate(|at| at.cloud.bytes_received + at.cloud.bytes_sent),
            counts: self.last.cloud,
        }
    }

    /// What so many workers exchanged with the controllers.
    pub fn workers(&self, workers: f64) -> WorkersResult {
        WorkersResult {
            reports_per_s: self.rate(|at| at.fleet.reports),
            redirects_per_s: self.rate(|at| at.fleet.redirects),
            reports_failed_per_s: self.rate(|at| at.fleet.reports_failed),
            answers_dropped_per_s: self.rate(|at| at.fleet.answers_dropped),
            direct_commands_per_s: self.rate(|at| at.fleet.direct_commands),
            direct_refused_per_s: self.rate(|at| at.fleet.direct_refused),
            bytes_sent_per_worker_s: self.rate(|at| at.fleet.sent) / workers,
            bytes_received_per_worker_s: self.rate(|at| at.fleet.received) / workers,
            bytes_per_s: self.rate(|at| at.fleet.sent + at.fleet.received),
        }
    }

    /// What users exchanged with the controllers, without latencies.
    pub fn users(&self) -> UsersResult {
        UsersResult {
            submissions_per_s: self.rate(|at| at.users.submissions),
            polls_per_s: self.rate(|at| at.users.polls),
            retries_per_s: self.rate(|at| at.users.retries),
            polls_failed_per_s: self.rate(|at| at.users.polls_failed),
            bytes_per_s: self.rate(|at| at.users.bytes),
            not_accepted: 0,
            submit_latency: Default::default(),
            poll_latency: Default::default(),
        }
    }
}

/// What a process used between two looks at it.
pub fn process_result(
    first: Option<&ProcessSample>,
    last: Option<&ProcessSample>,
    seconds: f64,
) -> ControllerResult {
    let Some(last) = last else {
        return ControllerResult::default();
    };
    // A process that was started again has used less than before.
    let before = first.map_or(0.0, |first| first.cpu_s);
    let used = if last.cpu_s >= before {
        last.cpu_s - before
    } else {
        last.cpu_s
    };
    ControllerResult {
        cores: used / seconds,
        resident_mb: last.resident_kb as f64 / 1024.0,
        peak_resident_mb: last.peak_resident_kb as f64 / 1024.0,
        sockets: last.sockets as f64,
    }
}
