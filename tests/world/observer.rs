//! Checks the rules from outside: by the answers users get, and by the tasks that run on machines.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt::Display,
    time::Duration,
};

use kiteyard::core::job::{JobId, JobSpec, JobState, TaskId};

#[derive(Default)]
struct JobReport {
    state: Option<JobState>,
    withdrawn: bool,
    /// Time of the last answered request about the job.
    last_answer: Duration,
    cancelled_at: Option<Duration>,
}

/// A task that has its image.
pub struct Running {
    pub spec: JobSpec,
    pub machine: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Default)]
pub struct Observer {
    reports: HashMap<JobId, JobReport>,
    done_tasks: BTreeMap<TaskId, ()>,
    /// Jobs of which a task has started.
    started_jobs: HashSet<JobId>,
    running: BTreeMap<TaskId, Running>,
    /// Jobs of pipelines: the number of tasks, and the jobs each depends on.
    pipelines: HashMap<JobId, (u32, Vec<JobId>)>,
    violations: Vec<String>,
    pub starts: u64,
    /// Starts that machines executed after their job was reported as cancelled.
    pub starts_after_cancellation: u64,
    pub finished: u64,
    cancel_within: Duration,
    limits: HashMap<String, f64>,
    seats: u32,
    pub max_seats_used: u32,
}

impl Observer {
    pub fn new(cancel_within: Duration, team: &str, limit: f64, seats: u32) -> Self {
        Self {
            cancel_within,
            limits: HashMap::from([(team.to_owned(), limit)]),
            seats,
            ..Self::default()
        }
    }

    /// Sets the limit of one more team.
    pub fn set_limit(&mut self, team: &str, limit: f64) {
        self.limits.insert(team.to_owned(), limit);
    }

    /// CPUs the team may use in addition to its current use, measured at the workers.
    pub fn available_to(&self, team: &str) -> f64 {
        let used = self.running.values().filter(|r| *r.spec.team == *team);
        let used: f64 = used.map(|r| r.spec.need.cpus).sum();
        self.limits.get(team).map_or(f64::MAX, |limit| limit - used)
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.clone()
    }

    /// Asserts that no rule was broken; `context` says which world it was.
    #[track_caller]
    pub fn assert_no_violations(&self, context: impl Display) {
        assert_eq!(self.violations, Vec::<String>::new(), "{context}");
    }

    /// Whether the rule was broken.
    pub fn has_broken(&self, rule: &str) -> bool {
        self.violations.iter().any(|v| v.starts_with(rule))
    }

    pub fn report_violation(&mut self, now: Duration, rule: &str, detail: String) {
        // Records at most five violations per rule, so that one rule does not hide another.
        if self
            .violations
            .iter()
            .filter(|v| v.starts_with(rule))
            .count()
            < 5
        {
            self.violations
                .push(format!("{rule} at {:.3}: {detail}", now.as_secs_f64()));
        }
    }

    /// Whether the job was reported as cancelled longer ago than its tasks may continue to run.
    fn cancelled_long_ago(&self, now: Duration, task: &TaskId) -> bool {
        let report = self.reports.get(&task.job);
        let at = report.and_then(|report| report.cancelled_at);
        at.is_some_and(|at| now > at + self.cancel_within)
    }

    /// Whether a user was told that the job is cancelled.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        let report = self.reports.get(id);
        report.is_some_and(|report| report.cancelled_at.is_some())
    }

    /// Counts a start that a machine executes after its job was reported as cancelled.
    pub fn record_start_command(&mut self, id: &JobId) {
        self.starts_after_cancellation += u64::from(self.is_cancelled(id));
    }

    /// Registers a job that may depend on others or be a dependency.
    pub fn register_pipeline_job(&mut self, spec: &JobSpec) {
        let entry = (spec.tasks, spec.needs.clone());
        self.pipelines.insert(spec.id.clone(), entry);
    }

    /// All direct and indirect dependencies of a job.
    fn ancestors(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut unvisited = vec![id];
        while let Some(id) = unvisited.pop() {
            let needs = self.pipelines.get(id).map(|(_, needs)| needs);
            for need in needs.into_iter().flatten() {
                if found.insert(need.clone()) {
                    unvisited.push(need);
                }
            }
        }
        found
    }

    /// Time at which a dependency of this job was first reported as cancelled.
    fn orphaned_since(&self, id: &JobId) -> Option<Duration> {
        let ancestors = self.ancestors(id);
        let reports = ancestors.iter().filter_map(|id| self.reports.get(id));
        reports.filter_map(|report| report.cancelled_at).min()
    }

    /// Whether a dependency was cancelled longer ago than this job's tasks may continue to run.
    fn orphaned_long_ago(&self, now: Duration, id: &JobId) -> bool {
        let since = self.orphaned_since(id);
        since.is_some_and(|since| now > since + self.cancel_within)
    }

    /// Whether nobody cancelled this job itself, but somebody cancelled a dependency.
    pub fn cancelled_with_dependency(&self, id: &JobId) -> bool {
        let withdrawn = |id: &JobId| self.reports.get(id).is_some_and(|report| report.withdrawn);
        !withdrawn(id) && self.ancestors(id).iter().any(withdrawn)
    }

    /// Whether all tasks of all dependencies of the job are done.
    pub fn may_start(&self, spec: &JobSpec) -> bool {
        spec.needs.iter().all(|need| {
            let tasks = self.pipelines.get(need).map_or(0, |(tasks, _)| *tasks);
            tasks > 0 && self.all_done(need, tasks)
        })
    }

    fn all_done(&self, id: &JobId, tasks: u32) -> bool {
        (0..tasks).all(|index| {
            let job = id.clone();
            self.done_tasks.contains_key(&TaskId { job, index })
        })
    }

    pub fn record_start(&mut self, now: Duration, task: &TaskId, running: Running) {
        self.starts += 1;
        self.started_jobs.insert(task.job.clone());
        if self.cancelled_long_ago(now, task) {
            self.report_violation(now, "ran_cancelled", format!("{task} starts"));
        }
        if !self.may_start(&running.spec) {
            self.report_violation(now, "too_early", format!("{task} starts"));
        }
        if self.orphaned_long_ago(now, &task.job) {
            self.report_violation(now, "orphaned", format!("{task} starts"));
        }
        if let Some(other) = self.running.get(task) {
            let detail = format!("{task} on {} and {}", other.machine, running.machine);
            self.report_violation(now, "ran_twice", detail);
        }
        let spec = running.spec.clone();
        let same_job: Vec<&Running> = self
            .running
            .iter()
            .filter(|(t, _)| t.job == spec.id)
            .map(|(_, r)| r)
            .collect();
        let in_zone = same_job.iter().filter(|r| r.zone == running.zone).count() as u32;
        let wrong = (running.spot && !spec.spot)
            || spec.zone.as_ref().is_some_and(|zone| *zone != running.zone)
            || (spec.one_zone && same_job.iter().any(|r| r.zone != running.zone))
            || (spec.spread && in_zone + 1 > spec.tasks.div_ceil(2));
        if wrong {
            self.report_violation(now, "wrong_place", format!("{task} in {}", running.zone));
        }
        let team = spec.team.to_string();
        self.running.insert(task.clone(), running);
        let used: f64 = self
            .running
            .values()
            .filter(|r| *r.spec.team == *team)
            .map(|r| r.spec.need.cpus)
            .sum();
        if let Some(limit) = self.limits.get(&team)
            && used > *limit + 1e-6
        {
            self.report_violation(now, "quota", format!("{team} uses {used}"));
        }
        let seats = self.running.values().flat_map(|r| r.spec.licences.values());
        let seats = seats.sum();
        self.max_seats_used = self.max_seats_used.max(seats);
        if seats > self.seats {
            self.report_violation(now, "seats", format!("{seats} in use"));
        }
    }

    pub fn has_started(&self, id: &JobId) -> bool {
        self.started_jobs.contains(id)
    }

    pub fn report_unlisted(&mut self, now: Duration, task: &TaskId, machine: &str) {
        self.report_violation(now, "unlisted", format!("{task} on {machine}"));
    }

    pub fn record_task_end(&mut self, task: &TaskId, machine: &str, done: bool) {
        if self.running.get(task).is_some_and(|r| r.machine == machine) {
            self.running.remove(task);
        }
        if done {
            self.done_tasks.insert(task.clone(), ());
        }
    }

    /// Checks that no task of a cancelled job is left after the time allowed.
    pub fn check_cancelled(&mut self, now: Duration) {
        let late: Vec<String> = self
            .running
            .keys()
            .filter(|task| self.cancelled_long_ago(now, task))
            .map(|task| task.to_string())
            .collect();
        for task in late {
            self.report_violation(now, "ran_cancelled", task);
        }
        let orphans = self.running.keys();
        let orphans = orphans.filter(|task| self.orphaned_long_ago(now, &task.job));
        for task in orphans.map(TaskId::to_string).collect::<Vec<_>>() {
            self.report_violation(now, "orphaned", format!("{task} runs"));
        }
    }

    pub fn record_withdrawal(&mut self, id: &JobId) {
        self.reports.entry(id.clone()).or_default().withdrawn = true;
    }

    /// Records a job's state from an answer; `before` is the state known when the request was sent.
    pub fn record_state(
        &mut self,
        now: Duration,
        spec: &JobSpec,
        state: JobState,
        before: Option<JobState>,
    ) {
        let is_terminal = |state| matches!(state, JobState::Done | JobState::Cancelled);
        let id = &spec.id;
        if state == JobState::Done && !self.all_done(id, spec.tasks) {
            self.report_violation(now, "not_done", id.to_string());
        }
        if let Some(before) = before
            && is_terminal(before)
            && before != state
        {
            self.report_violation(now, "went_back", format!("{id} {before:?} to {state:?}"));
        }
        let with_dependency = self.cancelled_with_dependency(id);
        let report = self.reports.entry(id.clone()).or_default();
        let unrequested = state == JobState::Cancelled && !report.withdrawn && !with_dependency;
        if state == JobState::Done && !report.state.is_some_and(is_terminal) {
            self.finished += 1;
        }
        if state == JobState::Cancelled {
            report.cancelled_at.get_or_insert(now);
        }
        if report.state.is_none_or(|s| !is_terminal(s)) {
            report.state = Some(state);
        }
        if unrequested {
            self.report_violation(
                now,
                "went_back",
                format!("{id} cancelled without a request"),
            );
        }
    }

    /// Records that a job was reported as pending or running. An acceptance alone does not count: a
    /// job that depends on a cancelled one is accepted at any time.
    pub fn record_active(&mut self, now: Duration, id: &JobId, state: JobState) {
        if self.orphaned_long_ago(now, id) {
            self.report_violation(now, "orphaned", format!("{id} reported as {state:?}"));
        }
    }

    pub fn record_answer(&mut self, now: Duration, id: &JobId) {
        self.reports.entry(id.clone()).or_default().last_answer = now;
    }

    /// Checks at the end, longer than `within` after all faults, that requests are being answered.
    pub fn check_answered(&mut self, now: Duration, within: Duration) {
        let unanswered =
            |report: &JobReport| !report.withdrawn && now > report.last_answer + within;
        let reports = self.reports.iter().filter(|(_, report)| unanswered(report));
        let lost: Vec<JobId> = reports.map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.report_violation(now, "forgotten", format!("{id}: no request is answered"));
        }
    }

    pub fn state(&self, id: &JobId) -> Option<JobState> {
        self.reports.get(id).and_then(|report| report.state)
    }

    pub fn check_not_found(&mut self, now: Duration, id: &JobId, accepted_before: bool) {
        if accepted_before {
            self.report_violation(now, "forgotten", id.to_string());
        }
    }

    pub fn check_rejected(&mut self, now: Duration, id: &JobId) {
        if self.state(id).is_some() {
            self.report_violation(now, "forgotten", format!("{id} rejected"));
        }
    }

    pub fn report_unsubmitted(&mut self, now: Duration, id: &JobId) {
        self.report_violation(now, "invented", id.to_string());
    }
}
