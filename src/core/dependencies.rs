//! What jobs need of one another.
//!
//! Every node keeps the graph of the active jobs, told by what it reads and watches of the
//! state service. A job that needs others may start once the stored end of each of them says
//! that it is done; that a job is no longer active proves nothing. A job that needs a
//! cancelled one, directly or through others, is cancelled by that alone: every node that is
//! asked derives it from the stored end. The leader stores the ends of such jobs as well, but
//! only to tidy up.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_job_graph::{End, Input, JobFacts, JobGraph, Outcome, Output, Status, Urgency};
use tracing::info;

use super::{
    INTERNAL, Node, RequestId,
    cluster::ClusterState,
    job::{JobId, JobSpec, JobState, Priority, TerminalRecord},
    state_cache::LiveJob,
    user_requests::{JobQuery, TerminalRead},
};

/// Ends that the leader reads at a time.
const LOOKUPS_MOST: usize = 16;
/// An end that was asked for is asked for again after this time.
const LOOKUP_AGAIN: Duration = Duration::from_secs(2);
/// How often the leader looks which pipelines will probably be late.
const RISK_EVERY: Duration = Duration::from_secs(1);

/// The graph of this node's active jobs, and what it has under way for it.
#[derive(Debug, Default)]
pub struct Dependencies {
    graph: JobGraph<JobId>,
    /// Ends that are being read, and when they may be asked for again.
    lookups: BTreeMap<JobId, Duration>,
    /// Active jobs that need a cancelled one: their ends are to be stored.
    cancelled: BTreeMap<JobId, Duration>,
    next_risk: Duration,
}

impl Dependencies {
    /// Some active job names this one.
    pub fn has_dependents(&self, id: &JobId) -> bool {
        self.graph.has_dependents(id)
    }

    /// What an active job waits for, if anything.
    pub fn status(&self, id: &JobId) -> Status<JobId> {
        self.graph.status(id)
    }
}

/// The last task of a job ends after so many times the run time of one.
const LAST_TASK: f64 = 1.5;
/// What a stage takes beside its run time: the fetch of the image, starts, the stored end.
const STAGE_OVERHEAD: Duration = Duration::from_secs(5);
/// Room for one more task mostly falls free within this time.
const WAITS_FOR_ROOM: Duration = Duration::from_secs(10);

/// The time from the moment a job may start until its end is stored.
fn expected_time(run_time: Duration) -> Duration {
    run_time.mul_f64(LAST_TASK) + STAGE_OVERHEAD
}

/// What the graph has to know of a job.
fn facts(job: &LiveJob) -> JobFacts<JobId> {
    let (spec, accepted_ms) = (&job.record.spec, job.record.accepted_ms);
    JobFacts {
        needs: spec.needs.clone(),
        priority: spec.priority as u8,
        accepted_ms,
        deadline_ms: deadline_ms(spec, accepted_ms),
        expected: expected_time(crate::settings::seconds(spec.estimate_s)),
    }
}

/// When the job should be complete, in milliseconds of the time of day.
fn deadline_ms(spec: &JobSpec, accepted_ms: u64) -> Option<u64> {
    let deadline = crate::settings::seconds(spec.deadline_s?);
    Some(accepted_ms.saturating_add(deadline.as_millis() as u64))
}

fn end(record: TerminalRecord) -> End {
    End {
        outcome: match record.state {
            JobState::Cancelled => Outcome::Cancelled,
            _ => Outcome::Done,
        },
        at_ms: record.ended_ms,
    }
}

impl Node {
    /// All active jobs were read: the graph is built anew.
    pub(super) fn build_graph(&mut self) {
        self.dependencies = Dependencies::default();
        let mut jobs: Vec<(u64, JobId)> = self
            .cache
            .jobs
            .iter()
            .map(|(id, job)| (job.version, id.clone()))
            .collect();
        // A job is accepted after those that it names.
        jobs.sort();
        for (_, id) in jobs {
            self.add_to_graph(&id);
        }
    }

    /// An active job is known from now on.
    pub(super) fn add_to_graph(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else {
            return;
        };
        let facts = facts(job);
        let needs = facts.needs.clone();
        let id = id.clone();
        self.step_graph(Input::Added { id, facts });
        for need in needs {
            if let Some(record) = self.terminal_cache.get(&need).copied() {
                let end = end(record);
                self.step_graph(Input::Ended { id: need, end });
            }
        }
    }

    /// A job is no longer active; how it ended is not known here.
    pub(super) fn remove_from_graph(&mut self, id: &JobId) {
        self.dependencies.cancelled.remove(id);
        self.step_graph(Input::Removed { id: id.clone() });
    }

    /// The stored end of a job was read or written.
    pub(super) fn end_in_graph(&mut self, id: &JobId, record: TerminalRecord) {
        self.dependencies.lookups.remove(id);
        self.dependencies.cancelled.remove(id);
        let (id, end) = (id.clone(), end(record));
        self.step_graph(Input::Ended { id, end });
    }

    fn step_graph(&mut self, input: Input<JobId>) {
        for output in self.dependencies.graph.step(input) {
            match output {
                Output::Ready { id, since_ms } => {
                    if let Some(cluster) = &mut self.cluster {
                        cluster.release_job(&id, since_ms);
                    }
                }
                Output::Cancelled { id } => {
                    self.dependencies.cancelled.insert(id, Duration::ZERO);
                }
                Output::Urgency { id, urgency } => {
                    if let Some(cluster) = &mut self.cluster {
                        cluster.set_urgency(&id, urgency);
                    }
                }
                // The leader reads what is not known, and any node what it is asked about.
                Output::Lookup { .. } => {}
            }
        }
    }

    /// Tells a leader that has just begun what the graph says of each job.
    pub(super) fn tell_leader_of_graph(&mut self) {
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        let ids: Vec<JobId> = cluster.jobs.keys().cloned().collect();
        for id in ids {
            self.tell_leader_of_job(&id);
        }
    }

    /// The same of one job.
    pub(super) fn tell_leader_of_job(&mut self, id: &JobId) {
        let graph = &self.dependencies.graph;
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        if let Status::Ready { since_ms } = graph.status(id) {
            cluster.release_job(id, since_ms);
        }
        if let Some(urgency) = graph.urgency(id) {
            cluster.set_urgency(id, urgency);
        }
    }

    pub(super) fn drive_dependencies(&mut self) {
        if !self.is_leader() || self.cluster.is_none() {
            return;
        }
        self.look_up_ends();
        self.store_cancelled_dependents();
        self.warn_of_late_pipelines();
    }

    /// Reads the ends that decide whether waiting jobs may start.
    fn look_up_ends(&mut self) {
        let now = self.now();
        let dependencies = &mut self.dependencies;
        dependencies.lookups.retain(|_, again| *again > now);
        let free = LOOKUPS_MOST.saturating_sub(dependencies.lookups.len());
        if free == 0 {
            return;
        }
        let unknown = dependencies.graph.unknown_ends();
        let wanted = unknown.filter(|id| !dependencies.lookups.contains_key(*id));
        let wanted: Vec<JobId> = wanted.take(free).cloned().collect();
        for id in wanted {
            if self.cache.jobs.contains_key(&id) || self.cache.is_unreadable(&id) {
                continue;
            }
            let again = now + LOOKUP_AGAIN;
            self.dependencies.lookups.insert(id.clone(), again);
            self.look_for_end(INTERNAL, id, JobQuery::Status);
        }
    }

    /// Stores the terminal states of jobs that need a cancelled one, behind all other writes. Until
    /// then every node that is asked derives the same.
    fn store_cancelled_dependents(&mut self) {
        let now = self.now();
        if !self.write_queue.has_spare_budget() {
            return;
        }
        let mut due = self.dependencies.cancelled.iter_mut();
        let Some((id, again)) = due.find(|(_, again)| **again <= now) else {
            return;
        };
        *again = now + LOOKUP_AGAIN;
        let id = id.clone();
        self.write_queue.charge(2.0);
        self.cancel(INTERNAL, id);
    }

    /// Says once of each job that its pipeline will probably miss its deadline.
    fn warn_of_late_pipelines(&mut self) {
        let now = self.now();
        if now < self.dependencies.next_risk {
            return;
        }
        self.dependencies.next_risk = now + RISK_EVERY;
        if let Some(cluster) = &mut self.cluster {
            cluster.warn_of_late_pipelines();
        }
    }

    /// Looks for the stored end of a job that is not active.
    pub(super) fn look_for_end(&mut self, request: RequestId, id: JobId, question: JobQuery) {
        let read = TerminalRead::new(request, id, question, &self.cache.generation);
        self.read_terminal_state(read);
    }
}

impl ClusterState {
    /// All that the job needs is done: it may start, and its times count from then.
    pub fn release_job(&mut self, id: &JobId, since_ms: u64) {
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

    /// Jobs that need this one make it as urgent as they are.
    pub fn set_urgency(&mut self, id: &JobId, urgency: Urgency) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let own = deadline_ms(&job.spec, job.accepted_ms).unwrap_or(u64::MAX);
        job.latest_finish_ms = urgency.latest_finish_ms.filter(|latest| *latest < own);
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

    /// The job is as urgent as those that need it, and they would be in time if it found room
    /// a little later by itself: nobody is stopped for it yet. What is stopped loses its work,
    /// and room falls free all the time.
    pub(super) fn has_time_before_preempting(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let inherits = job.spec.priority > job.own_priority;
        let Some(latest_ms) = job.latest_finish_ms.filter(|_| inherits) else {
            return false;
        };
        let expected = expected_time(crate::settings::seconds(self.estimated_run_time(job)));
        let needed = (expected + WAITS_FOR_ROOM).as_millis() as u64;
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
            let expected_ms = wall_ms + expected_time(run_time).as_millis() as u64;
            if expected_ms > latest_ms {
                late.push((id.clone(), expected_ms - latest_ms));
            }
        }
        for (id, late_ms) in late {
            let late = Duration::from_millis(late_ms);
            info!(job = %id, ?late, "pipeline at risk: this job will probably end too late for those that need it");
            if let Some(job) = self.jobs.get_mut(&id) {
                job.at_risk = true;
            }
        }
    }
}
