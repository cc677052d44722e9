//! Snapshots of all counters, and the rates between two of them.

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
    /// Time of the snapshot, since the start of the run.
    pub at: Duration,
    /// Resource usage of each controller's process; `None` if it has ended.
    pub processes: Vec<Option<ProcessSample>>,
    /// Resource usage of this process.
    pub harness: ProcessSample,
    /// Reports answered with 200, by controller.
    pub answered_by: Vec<u64>,
    /// Counters of the state service.
    pub state: StateCounts,
    /// Size of the stored data.
    pub stored: StateSize,
    /// Counters of the cloud.
    pub cloud: CloudCounts,
    /// Counters of the workers.
    pub fleet: FleetSnapshot,
    /// Counters of the users.
    pub users: UserSnapshot,
    /// Number of task starts, repeated ones included.
    pub starts: u64,
    /// Number of completed tasks.
    pub completed: u64,
    /// Number of tasks on machines.
    pub running: usize,
}

/// Counters of the workers at one moment.
pub struct FleetSnapshot {
    /// Reports that were sent.
    pub reports: u64,
    /// Reports answered with 421.
    pub redirects: u64,
    /// Reports that got a response other than 200 or 421, or none.
    pub reports_failed: u64,
    /// Responses of 200 that the workers had to drop.
    pub answers_dropped: u64,
    /// Requests with direct commands.
    pub direct_commands: u64,
    /// Requests with direct commands that the worker refused.
    pub direct_refused: u64,
    /// Bytes that the workers sent.
    pub sent: u64,
    /// Bytes that the workers received.
    pub received: u64,
}

/// Counters of the users at one moment.
pub struct UserSnapshot {
    /// Jobs submitted for the first time.
    pub submissions: u64,
    /// Polls.
    pub polls: u64,
    /// Retries of submissions.
    pub retries: u64,
    /// Polls that got neither a state nor 404.
    pub polls_failed: u64,
    /// Bytes in both directions.
    pub bytes: u64,
}

/// Interval between two snapshots.
pub struct Window<'a> {
    /// Earlier snapshot.
    pub first: &'a Snapshot,
    /// Later snapshot.
    pub last: &'a Snapshot,
    /// Length of the interval, in seconds.
    pub seconds: f64,
}

impl Window<'_> {
    /// Returns the increase of a counter per second.
    pub fn rate(&self, pick: impl Fn(&Snapshot) -> u64) -> f64 {
        pick(self.last).saturating_sub(pick(self.first)) as f64 / self.seconds
    }

    /// Returns the index of the controller that answered the most reports.
    pub fn leader(&self) -> usize {
        let answered = |index: &usize| {
            let index = *index;
            self.last.answered_by[index] - self.first.answered_by[index]
        };
        (0..self.last.answered_by.len())
            .max_by_key(answered)
            .unwrap_or(0)
    }

    /// Returns the resource usage of one controller.
    pub fn controller(&self, index: usize) -> ControllerResult {
        let first = self.first.processes[index].as_ref();
        process_result(first, self.last.processes[index].as_ref(), self.seconds)
    }

    /// Returns the mean of all controllers but the leader; `None` if there is only one.
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

    /// Returns the load of the state service, and its size at the end.
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

    /// Returns the load of the cloud.
    pub fn cloud(&self) -> CloudResult {
        CloudResult {
            requests_per_s: self.rate(|at| at.cloud.requests),
            refused_per_s: self.rate(|at| at.cloud.refused),
            bytes_per_s: self.rate(|at| at.cloud.bytes_received + at.cloud.bytes_sent),
            counts: self.last.cloud,
        }
    }

    /// Returns the traffic between `workers` workers and the controllers.
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

    /// Returns the traffic between users and controllers, without latencies.
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

/// Returns the resource usage of a process between two samples.
pub fn process_result(
    first: Option<&ProcessSample>,
    last: Option<&ProcessSample>,
    seconds: f64,
) -> ControllerResult {
    let Some(last) = last else {
        return ControllerResult::default();
    };
    // A restarted process may have used less processor time than its predecessor.
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
