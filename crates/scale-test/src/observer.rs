//! What happens in a run, collected from workers and users: rules and latencies.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{
    checks::{Checks, JobCounts, JobState, Violation},
    jobs::JobDescription,
    latency::{Latencies, Percentiles},
    worker::TaskEvent,
};

/// Collects what happens in one run.
pub struct Observer {
    started: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    checks: Checks,
    /// Only what was submitted within it counts for the latencies.
    window: Option<(Duration, Duration)>,
    urgent_starts: Latencies,
    other_starts: Latencies,
    submissions: Latencies,
    polls: Latencies,
}

/// Latencies of what was submitted while it was measured.
#[derive(Debug, Clone, Copy)]
pub struct Observed {
    /// From submission to the first start of each task of an urgent job.
    pub urgent_starts: Percentiles,
    /// The same of the other jobs.
    pub other_starts: Percentiles,
    /// From the first try to submit to the acceptance.
    pub submissions: Percentiles,
    /// From each poll to its answer.
    pub polls: Percentiles,
}

impl Observer {
    /// Begins a run in which each team may use so many CPUs.
    pub fn new(team_limit: f64) -> Arc<Self> {
        let inner = Inner {
            checks: Checks::new(team_limit),
            window: None,
            urgent_starts: Latencies::default(),
            other_starts: Latencies::default(),
            submissions: Latencies::default(),
            polls: Latencies::default(),
        };
        Arc::new(Self {
            started: Instant::now(),
            inner: Mutex::new(inner),
        })
    }

    /// Time since the start of the run; every time of a run is counted from there.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Only what is submitted within this span counts for the latencies from now on.
    pub fn measure(&self, from: Duration, until: Duration) {
        self.inner().window = Some((from, until));
    }

    /// A job is about to be submitted for the first time; says when that is.
    pub fn submitted(&self, job: Arc<JobDescription>) -> Duration {
        let now = self.now();
        self.inner().checks.submitted(job, now);
        now
    }

    /// A job was accepted that was submitted at that time.
    pub fn accepted(&self, id: &str, submitted: Duration) {
        let latency = self.now().saturating_sub(submitted);
        let mut inner = self.inner();
        inner.checks.accepted(id);
        if inner.counts(submitted) {
            inner.submissions.record(latency);
        }
    }

    /// A user was told how a job is.
    pub fn told(&self, id: &str, state: JobState) {
        self.inner().checks.told(id, state);
    }

    /// A poll that was sent at that time was answered.
    pub fn polled(&self, asked: Duration) {
        let latency = self.now().saturating_sub(asked);
        let mut inner = self.inner();
        if inner.counts(asked) {
            inner.polls.record(latency);
        }
    }

    /// A user was told that there is no such job.
    pub fn not_found(&self, id: &str) {
        self.inner().checks.not_found(id);
    }

    /// Takes in what happened on a machine.
    pub fn happened(&self, machine: &str, events: &[TaskEvent]) {
        if events.is_empty() {
            return;
        }
        let mut inner = self.inner();
        for event in events {
            let Some(first) = inner.checks.happened(machine, event) else {
                continue;
            };
            if !inner.counts(first.submitted) {
                continue;
            }
            let latency = first.at.saturating_sub(first.submitted);
            match first.urgent {
                true => inner.urgent_starts.record(latency),
                false => inner.other_starts.record(latency),
            }
        }
    }

    /// Starts of tasks so far, repeated ones included.
    pub fn starts(&self) -> u64 {
        self.inner().checks.starts()
    }

    /// Completed tasks so far.
    pub fn completed_tasks(&self) -> u64 {
        self.inner().checks.completed_tasks()
    }

    /// Tasks that are on machines.
    pub fn running(&self) -> usize {
        self.inner().checks.running()
    }

    /// How far the accepted jobs are.
    pub fn job_counts(&self) -> JobCounts {
        self.inner().checks.job_counts()
    }

    /// The rules that were broken so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.inner().checks.violations()
    }

    /// The latencies so far.
    pub fn observed(&self) -> Observed {
        let inner = self.inner();
        Observed {
            urgent_starts: inner.urgent_starts.percentiles(),
            other_starts: inner.other_starts.percentiles(),
            submissions: inner.submissions.percentiles(),
            polls: inner.polls.percentiles(),
        }
    }
}

impl Inner {
    fn counts(&self, at: Duration) -> bool {
        self.window
            .is_some_and(|(from, until)| from <= at && at < until)
    }
}
