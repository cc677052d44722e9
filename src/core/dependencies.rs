//! Job dependencies.
//!
//! Every node keeps a graph of the active jobs, built from what it reads and watches in the state
//! service. A job that needs others may start once the stored terminal state of each of them is
//! done; that a job is no longer active does not show that it is done. A job that needs a cancelled
//! one, directly or through others, counts as cancelled: every node derives that from the stored
//! terminal state. The leader also stores terminal states for such jobs, but only to clean up.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_job_graph::{
    Input, JobFacts, JobGraph, Outcome, Output, Status, TerminalState, Urgency,
};
use tracing::info;

use super::{
    INTERNAL, Node, RequestId,
    cluster::ClusterState,
    job::{JobId, JobSpec, JobState, Priority, TerminalRecord},
    state_cache::LiveJob,
    user_requests::{JobQuery, TerminalRead},
};

/// Maximum number of terminal states that the leader reads at a time.
const MAX_LOOKUPS: usize = 16;
/// Delay before a terminal state is read, or its write requested, again.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Interval between the leader's checks for pipelines that will probably be late.
const RISK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Dependency graph of the active jobs known to this node, and the pending reads for it.
#[derive(Debug, Default)]
pub struct Dependencies {
    graph: JobGraph<JobId>,
    /// Terminal states being read, with the time from which the read may be repeated.
    lookups: BTreeMap<JobId, Duration>,
    /// Active jobs that need a cancelled one, with the time from which the write of their
    /// terminal state may be requested.
    cancelled_dependents: BTreeMap<JobId, Duration>,
    next_risk_check: Duration,
}

impl Dependencies {
    /// Returns whether any active job needs this one.
    pub fn has_dependents(&self, id: &JobId) -> bool {
        self.graph.has_dependents(id)
    }

    /// Returns the dependency status of an active job.
    pub fn status(&self, id: &JobId) -> Status<JobId> {
        self.graph.status(id)
    }
}

/// Time until the last task of a job ends, as a multiple of the run time of one task.
const RUN_TIME_FACTOR: f64 = 1.5;
/// Overhead of a job beside its run time: image fetch, starts and storing the terminal state.
const STAGE_OVERHEAD: Duration = Duration::from_secs(5);
/// Time within which capacity for one more task usually becomes free.
const CAPACITY_WAIT: Duration = Duration::from_secs(10);

/// Returns the expected time from when a job may start until its terminal state is stored.
fn expected_duration(run_time: Duration) -> Duration {
    run_time.mul_f64(RUN_TIME_FACTOR) + STAGE_OVERHEAD
}

/// Returns the facts about a job that the graph needs.
fn job_facts(job: &LiveJob) -> JobFacts<JobId> {
    let (spec, accepted_ms) = (&job.record.spec, job.record.accepted_ms);
    JobFacts {
        needs: spec.needs.clone(),
        priority: spec.priority as u8,
        accepted_ms,
        deadline_ms: deadline_ms(spec, accepted_ms),
        expected: expected_duration(crate::settings::seconds(spec.estimate_s)),
    }
}

/// Returns the deadline of the job in Unix milliseconds.
fn deadline_ms(spec: &JobSpec, accepted_ms: u64) -> Option<u64> {
    let deadline = crate::settings::seconds(spec.deadline_s?);
    Some(accepted_ms.saturating_add(deadline.as_millis() as u64))
}

fn graph_end(record: TerminalRecord) -> TerminalState {
    TerminalState {
        outcome: match record.state {
            JobState::Cancelled => Outcome::Cancelled,
            _ => Outcome::Done,
        },
        at_ms: record.ended_ms,
    }
}

impl Node {
    /// Rebuilds the graph after all active jobs were read.
    pub(super) fn rebuild_graph(&mut self) {
        self.dependencies = Dependencies::default();
        let mut jobs: Vec<(u64, JobId)> = self
            .cache
            .jobs
            .iter()
            .map(|(id, job)| (job.version, id.clone()))
            .collect();
        // In order of acceptance, so that a job follows those it needs.
        jobs.sort();
        for (_, id) in jobs {
            self.add_to_graph(&id);
        }
    }

    /// Adds an active job to the graph.
    pub(super) fn add_to_graph(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else {
            return;
        };
        let facts = job_facts(job);
        let needs = facts.needs.clone();
        let id = id.clone();
        self.step_graph(Input::Added { id, facts });
        for need in needs {
            if let Some(record) = self.terminal_cache.get(&need).copied() {
                let terminal_state = graph_end(record);
                self.step_graph(Input::Ended {
                    id: need,
                    terminal_state,
                });
            }
        }
    }

    /// Marks a job as no longer active in the graph; its terminal state is not known yet.
    pub(super) fn remove_from_graph(&mut self, id: &JobId) {
        self.dependencies.cancelled_dependents.remove(id);
        self.step_graph(Input::Removed { id: id.clone() });
    }

    /// Records a terminal state that was read or written.
    pub(super) fn record_end_in_graph(&mut self, id: &JobId, record: TerminalRecord) {
        self.dependencies.lookups.remove(id);
        self.dependencies.cancelled_dependents.remove(id);
        let (id, terminal_state) = (id.clone(), graph_end(record));
        self.step_graph(Input::Ended { id, terminal_state });
    }

    fn step_graph(&mut self, input: Input<JobId>) {
        for output in self.dependencies.graph.step(input) {
            match output {
                Output::Ready { id, since_ms } => {
                    if let Some(cluster) = &mut self.cluster {
                        cluster.unblock_job(&id, since_ms);
                    }
                }
                Output::Cancelled { id } => {
                    self.dependencies
                        .cancelled_dependents
                        .insert(id, Duration::ZERO);
                }
                Output::Urgency { id, urgency } => {
                    if let Some(cluster) = &mut self.cluster {
                        cluster.set_urgency(&id, urgency);
                    }
                }
                // Terminal states are read elsewhere: by `drive_dependencies` on the leader, and on
                // any node when a user requests one.
                Output::Lookup { .. } => {}
            }
        }
    }

    /// Applies the graph's state of every job to the cluster state of a new leader.
    pub(super) fn apply_graph(&mut self) {
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        let ids: Vec<JobId> = cluster.jobs.keys().cloned().collect();
        for id in ids {
            self.apply_graph_to_job(&id);
        }
    }

    /// Applies the graph's state of one job to the cluster state.
    pub(super) fn apply_graph_to_job(&mut self, id: &JobId) {
        let graph = &self.dependencies.graph;
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        if let Status::Ready { since_ms } = graph.status(id) {
            cluster.unblock_job(id, since_ms);
        }
        if let Some(urgency) = graph.urgency(id) {
            cluster.set_urgency(id, urgency);
        }
    }

    pub(super) fn drive_dependencies(&mut self) {
        if !self.is_leader() || self.cluster.is_none() {
            return;
        }
        self.look_up_terminal_states();
        self.store_cancelled_dependents();
        self.warn_of_late_pipelines();
    }

    /// Reads the terminal states that decide whether waiting jobs may start.
    fn look_up_terminal_states(&mut self) {
        let now = self.now();
        let dependencies = &mut self.dependencies;
        dependencies.lookups.retain(|_, retry_at| *retry_at > now);
        let available = MAX_LOOKUPS.saturating_sub(dependencies.lookups.len());
        if available == 0 {
            return;
        }
        let unknown = dependencies.graph.unread_jobs();
        let wanted = unknown.filter(|id| !dependencies.lookups.contains_key(*id));
        let wanted: Vec<JobId> = wanted.take(available).cloned().collect();
        for id in wanted {
            if self.cache.jobs.contains_key(&id) || self.cache.is_unreadable(&id) {
                continue;
            }
            let retry_at = now + LOOKUP_RETRY_DELAY;
            self.dependencies.lookups.insert(id.clone(), retry_at);
            self.look_up_terminal_state(INTERNAL, id, JobQuery::Status);
        }
    }

    /// Stores the terminal states of jobs that need a cancelled one, after all other writes. Until
    /// then every node derives them.
    fn store_cancelled_dependents(&mut self) {
        let now = self.now();
        if !self.write_queue.has_spare_budget() {
            return;
        }
        let mut due = self.dependencies.cancelled_dependents.iter_mut();
        let Some((id, retry_at)) = due.find(|(_, retry_at)| **retry_at <= now) else {
            return;
        };
        *retry_at = now + LOOKUP_RETRY_DELAY;
        let id = id.clone();
        self.write_queue.charge(2.0);
        self.cancel(INTERNAL, id);
    }

    /// Warns periodically about pipelines that will probably miss their deadlines.
    fn warn_of_late_pipelines(&mut self) {
        let now = self.now();
        if now < self.dependencies.next_risk_check {
            return;
        }
        self.dependencies.next_risk_check = now + RISK_CHECK_INTERVAL;
        if let Some(cluster) = &mut self.cluster {
            cluster.warn_of_late_pipelines();
        }
    }

    /// Reads the terminal state of a job that is not active.
    pub(super) fn look_up_terminal_state(
        &mut self,
        request: RequestId,
        id: JobId,
        query: JobQuery,
    ) {
        let read = TerminalRead::new(request, id, query, &self.cache.generation);
        self.read_terminal_state(read);
    }
}

impl ClusterState {
    /// Unblocks a job whose dependencies are all done. Its waiting time counts from `since_ms`.
    pub fn unblock_job(&mut self, id: &JobId, since_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.blocked {
            return;
        }
        job.blocked = false;
        job.ready_ms = since_ms.max(job.accepted_ms);
        self.queue.push(id, job);
        self.request_pass();
    }

    /// Applies the priority and the latest finish time that a job inherits from its dependents.
    pub fn set_urgency(&mut self, id: &JobId, urgency: Urgency) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let own_deadline_ms = deadline_ms(&job.spec, job.accepted_ms).unwrap_or(u64::MAX);
        job.latest_finish_ms = urgency
            .latest_finish_ms
            .filter(|latest| *latest < own_deadline_ms);
        let priority = Priority::ALL.get(usize::from(urgency.priority)).copied();
        let Some(priority) = priority.filter(|priority| *priority != job.spec.priority) else {
            return;
        };
        let spec = JobSpec {
            priority,
            ..(*job.spec).clone()
        };
        job.spec = std::sync::Arc::new(spec);
        let spec = job.spec.clone();
        let placements = self.machines.values_mut().flat_map(|m| &mut m.tasks);
        for (_, placement) in placements.filter(|((task, _), _)| task.job == *id) {
            if placement.spec.is_some() {
                placement.spec = Some(spec.clone());
            }
        }
        self.requeue();
    }

    /// Returns whether a job with an inherited priority would still finish in time if it waited for
    /// free capacity. It does not preempt then: victims lose work, and capacity becomes free all
    /// the time.
    pub(super) fn has_time_before_preempting(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let inherits = job.spec.priority > job.own_priority;
        let Some(latest_ms) = job.latest_finish_ms.filter(|_| inherits) else {
            return false;
        };
        let expected = expected_duration(crate::settings::seconds(self.estimated_run_time(job)));
        let needed = (expected + CAPACITY_WAIT).as_millis() as u64;
        self.wall_ms + needed < latest_ms
    }

    fn warn_of_late_pipelines(&mut self) {
        let wall_ms = self.wall_ms;
        let mut late = Vec::new();
        for (id, job) in &self.jobs {
            let Some(latest_ms) = job.latest_finish_ms.filter(|_| !job.at_risk) else {
                continue;
            };
            let run_time = crate::settings::seconds(self.estimated_run_time(job));
            let expected_ms = wall_ms + expected_duration(run_time).as_millis() as u64;
            if expected_ms > latest_ms {
                late.push((id.clone(), expected_ms - latest_ms));
            }
        }
        for (id, late_ms) in late {
            let late = Duration::from_millis(late_ms);
            info!(job = %id, ?late, "pipeline at risk: job will probably finish too late for its dependents");
            if let Some(job) = self.jobs.get_mut(&id) {
                job.at_risk = true;
            }
        }
    }
}
