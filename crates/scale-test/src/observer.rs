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
    pub urgent_starts: Percentiles,
    pub other_starts: Percentiles,
    pub submissions: Percentiles,
    pub polls: Percentiles,
}

impl Observer {
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

    pub fn measure(&self, from: Duration, until: Duration) {
        self.inner().window = Some((from, until));
    }

    pub fn submitted(&self, job: Arc<JobDescription>) -> Duration {
        let now = self.now();
        self.inner().checks.submitted(job, now);
        now
    }

    pub fn accepted(&self, id: &str, submitted: Duration) {
        let latency = self.now().saturating_sub(submitted);
        let mut inner = self.inner();
        inner.checks.accepted(id);
        if inner.counts(submitted) {
            inner.submissions.record(latency);
        }
    }

    pub fn told(&self, id: &str, state: JobState) {
        self.inner().checks.told(id, state);
    }

    pub fn polled(&self, asked: Duration) {
        let latency = self.now().saturating_sub(asked);
        let mut inner = self.inner();
        if inner.counts(asked) {
            inner.polls.record(latency);
        }
    }

    pub fn not_found(&self, id: &str) {
        self.inner().checks.not_found(id);
    }

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

    pub fn starts(&self) -> u64 {
        self.inner().checks.starts()
    }

    pub fn completed_tasks(&self) -> u64 {
        self.inner().checks.completed_tasks()
    }

    pub fn running(&self) -> usize {
        self.inner().checks.running()
    }

    pub fn job_counts(&self) -> JobCounts {
        self.inner().checks.job_counts()
    }

    pub fn violations(&self) -> Vec<Violation> {
        self.inner().checks.violations()
    }

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
