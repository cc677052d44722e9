//! Collects the events of a run from workers and users, for the rules and the latencies.

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

/// Collector of the events of one run.
pub struct Observer {
    started_at: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    checks: Checks,
    /// Measurement window; latencies of jobs and polls sent outside of it don't count.
    window: Option<(Duration, Duration)>,
    urgent_starts: Latencies,
    other_starts: Latencies,
    submissions: Latencies,
    polls: Latencies,
}

/// Latencies of jobs and polls sent during the measurement.
#[derive(Debug, Clone, Copy)]
pub struct LatencyPercentiles {
    /// From submission to the first start of each task of an urgent job.
    pub urgent_starts: Percentiles,
    /// From submission to the first start of each task of another job.
    pub other_starts: Percentiles,
    /// From the first submission attempt to the acceptance.
    pub submissions: Percentiles,
    /// From each poll to its response.
    pub polls: Percentiles,
}

impl Observer {
    /// Starts the clock of a run, with the CPU limit of each team.
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
            started_at: Instant::now(),
            inner: Mutex::new(inner),
        })
    }

    /// Returns the time since the start of the run, the origin of all times in it.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the measurement window for the latencies.
    pub fn set_window(&self, from: Duration, until: Duration) {
        self.inner().window = Some((from, until));
    }

    /// Records a job before its first submission, and returns the time.
    pub fn record_submission(&self, job: Arc<JobDescription>) -> Duration {
        let now = self.now();
        self.inner().checks.record_submission(job, now);
        now
    }

    /// Records that a job first submitted at `submitted` was accepted.
    pub fn record_acceptance(&self, id: &str, submitted: Duration) {
        let latency = self.now().saturating_sub(submitted);
        let mut inner = self.inner();
        inner.checks.record_acceptance(id);
        if inner.in_window(submitted) {
            inner.submissions.record(latency);
        }
    }

    /// Records the state of a job that a user received.
    pub fn record_state(&self, id: &str, state: JobState) {
        self.inner().checks.record_state(id, state);
    }

    /// Records the response to a poll that was sent at `sent`.
    pub fn record_poll(&self, sent: Duration) {
        let latency = self.now().saturating_sub(sent);
        let mut inner = self.inner();
        if inner.in_window(sent) {
            inner.polls.record(latency);
        }
    }

    /// Records that a user's request for a job got 404.
    pub fn record_not_found(&self, id: &str) {
        self.inner().checks.record_not_found(id);
    }

    /// Records events on a machine.
    pub fn record_events(&self, machine: &str, events: &[TaskEvent]) {
        if events.is_empty() {
            return;
        }
        let mut inner = self.inner();
        for event in events {
            let Some(first) = inner.checks.record_event(machine, event) else {
                continue;
            };
            if !inner.in_window(first.submitted) {
                continue;
            }
            let latency = first.at.saturating_sub(first.submitted);
            match first.urgent {
                true => inner.urgent_starts.record(latency),
                false => inner.other_starts.record(latency),
            }
        }
    }

    /// Returns the number of task starts, repeated ones included.
    pub fn starts(&self) -> u64 {
        self.inner().checks.starts()
    }

    /// Returns the number of completed tasks.
    pub fn completed_tasks(&self) -> u64 {
        self.inner().checks.completed_tasks()
    }

    /// Returns the number of tasks on machines.
    pub fn running(&self) -> usize {
        self.inner().checks.running()
    }

    /// Returns the progress of the accepted jobs.
    pub fn job_counts(&self) -> JobCounts {
        self.inner().checks.job_counts()
    }

    /// Returns the rule violations.
    pub fn violations(&self) -> Vec<Violation> {
        self.inner().checks.violations()
    }

    /// Returns the percentiles of the latencies.
    pub fn latencies(&self) -> LatencyPercentiles {
        let inner = self.inner();
        LatencyPercentiles {
            urgent_starts: inner.urgent_starts.percentiles(),
            other_starts: inner.other_starts.percentiles(),
            submissions: inner.submissions.percentiles(),
            polls: inner.polls.percentiles(),
        }
    }
}

impl Inner {
    fn in_window(&self, at: Duration) -> bool {
        self.window
            .is_some_and(|(from, until)| from <= at && at < until)
    }
}
