//! Checks the rules from outside: by the answers users get, and by the tasks that run on machines.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use kiteyard::core::job::{JobId, JobSpec, JobState, TaskId};

#[derive(Default)]
struct Told {
    state: Option<JobState>,
    withdrawn: bool,
    /// Time of the last answered request about the job.
    answered: Duration,
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
    told: HashMap<JobId, Told>,
    done_tasks: BTreeMap<TaskId, ()>,
    /// Jobs of which a task has started.
    begun: HashSet<JobId>,
    on: BTreeMap<TaskId, Running>,
    /// Jobs of pipelines: the number of tasks, and the jobs each depends on.
    pipelines: HashMap<JobId, (u32, Vec<JobId>)>,
    broken: Vec<String>,
    pub starts: u64,
    pub finished: u64,
    cancel_within: Duration,
    limits: HashMap<String, f64>,
    seats: u32,
    pub seats_used_most: u32,
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
    pub fn limits(&mut self, team: &str, limit: f64) {
        self.limits.insert(team.to_owned(), limit);
    }

    /// CPUs the team may use in addition to its current use, measured at the workers.
    pub fn left_to(&self, team: &str) -> f64 {
        let used = self.on.values().filter(|r| *r.spec.team == *team);
        let used: f64 = used.map(|r| r.spec.need.cpus).sum();
        self.limits.get(team).map_or(f64::MAX, |limit| limit - used)
    }

    pub fn broken(&self) -> Vec<String> {
        self.broken.clone()
    }

    pub fn breaks(&mut self, now: Duration, rule: &str, what: String) {
        // Records at most five violations per rule, so that one rule does not hide another.
        if self.broken.iter().filter(|b| b.starts_with(rule)).count() < 5 {
            self.broken
                .push(format!("{rule} at {:.3}: {what}", now.as_secs_f64()));
        }
    }

    /// Whether the job was reported as cancelled longer ago than its tasks may go on.
    fn cancelled_long_ago(&self, now: Duration, task: &TaskId) -> bool {
        let told = self.told.get(&task.job);
        let at = told.and_then(|told| told.cancelled_at);
        at.is_some_and(|at| now > at + self.cancel_within)
    }

    /// Registers a job that may depend on others or be a dependency.
    pub fn knows(&mut self, spec: &JobSpec) {
        let facts = (spec.tasks, spec.needs.clone());
        self.pipelines.insert(spec.id.clone(), facts);
    }

    /// All direct and indirect dependencies of a job.
    fn ancestors(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut open = vec![id];
        while let Some(id) = open.pop() {
            let needs = self.pipelines.get(id).map(|(_, needs)| needs);
            for need in needs.into_iter().flatten() {
                if found.insert(need.clone()) {
                    open.push(need);
                }
            }
        }
        found
    }

    /// Time at which a user was first told that a dependency of this job is cancelled.
    fn orphaned_since(&self, id: &JobId) -> Option<Duration> {
        let ancestors = self.ancestors(id);
        let told = ancestors.iter().filter_map(|id| self.told.get(id));
        told.filter_map(|told| told.cancelled_at).min()
    }

    /// Whether a dependency was cancelled longer ago than this job's tasks may go on.
    fn orphaned_long_ago(&self, now: Duration, id: &JobId) -> bool {
        let since = self.orphaned_since(id);
        since.is_some_and(|since| now > since + self.cancel_within)
    }

    /// Whether nobody cancelled this job itself, but somebody cancelled a dependency.
    pub fn cancelled_with_needs(&self, id: &JobId) -> bool {
        let withdrawn = |id: &JobId| self.told.get(id).is_some_and(|told| told.withdrawn);
        !withdrawn(id) && self.ancestors(id).iter().any(withdrawn)
    }

    /// Whether all tasks of all its dependencies are done.
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

    pub fn started(&mut self, now: Duration, task: &TaskId, running: Running) {
        self.starts += 1;
        self.begun.insert(task.job.clone());
        if self.cancelled_long_ago(now, task) {
            self.breaks(now, "ran_cancelled", format!("{task} starts"));
        }
        if !self.may_start(&running.spec) {
            self.breaks(now, "too_early", format!("{task} starts"));
        }
        if self.orphaned_long_ago(now, &task.job) {
            self.breaks(now, "orphaned", format!("{task} starts"));
        }
        if let Some(other) = self.on.get(task) {
            let what = format!("{task} on {} and {}", other.machine, running.machine);
            self.breaks(now, "ran_twice", what);
        }
        let spec = running.spec.clone();
        let same: Vec<&Running> = self
            .on
            .iter()
            .filter(|(t, _)| t.job == spec.id)
            .map(|(_, r)| r)
            .collect();
        let in_zone = same.iter().filter(|r| r.zone == running.zone).count() as u32;
        let wrong = (running.spot && !spec.spot)
            || spec.zone.as_ref().is_some_and(|zone| *zone != running.zone)
            || (spec.one_zone && same.iter().any(|r| r.zone != running.zone))
            || (spec.spread && in_zone + 1 > spec.tasks.div_ceil(2));
        if wrong {
            self.breaks(now, "wrong_place", format!("{task} in {}", running.zone));
        }
        let team = spec.team.to_string();
        self.on.insert(task.clone(), running);
        let used: f64 = self
            .on
            .values()
            .filter(|r| *r.spec.team == *team)
            .map(|r| r.spec.need.cpus)
            .sum();
        if let Some(limit) = self.limits.get(&team)
            && used > *limit + 1e-6
        {
            self.breaks(now, "quota", format!("{team} uses {used}"));
        }
        let seats = self.on.values().flat_map(|r| r.spec.licences.values());
        let seats = seats.sum();
        self.seats_used_most = self.seats_used_most.max(seats);
        if seats > self.seats {
            self.breaks(now, "seats", format!("{seats} in use"));
        }
    }

    pub fn has_begun(&self, id: &JobId) -> bool {
        self.begun.contains(id)
    }

    pub fn unlisted(&mut self, now: Duration, task: &TaskId, machine: &str) {
        self.breaks(now, "unlisted", format!("{task} on {machine}"));
    }

    pub fn gone(&mut self, task: &TaskId, machine: &str, done: bool) {
        if self.on.get(task).is_some_and(|r| r.machine == machine) {
            self.on.remove(task);
        }
        if done {
            self.done_tasks.insert(task.clone(), ());
        }
    }

    /// Checks that no task of a cancelled job is left after the time allowed.
    pub fn tick(&mut self, now: Duration) {
        let late: Vec<String> = self
            .on
            .keys()
            .filter(|task| self.cancelled_long_ago(now, task))
            .map(|task| task.to_string())
            .collect();
        for task in late {
            self.breaks(now, "ran_cancelled", task);
        }
        let orphans = self.on.keys();
        let orphans = orphans.filter(|task| self.orphaned_long_ago(now, &task.job));
        for task in orphans.map(TaskId::to_string).collect::<Vec<_>>() {
            self.breaks(now, "orphaned", format!("{task} runs"));
        }
    }

    pub fn withdrawn(&mut self, id: &JobId) {
        self.told.entry(id.clone()).or_default().withdrawn = true;
    }

    /// Records a job's state from an answer; `before` is the state known when the request was sent.
    pub fn told(
        &mut self,
        now: Duration,
        spec: &JobSpec,
        state: JobState,
        before: Option<JobState>,
    ) {
        let over = |state| matches!(state, JobState::Done | JobState::Cancelled);
        let id = &spec.id;
        if state == JobState::Done && !self.all_done(id, spec.tasks) {
            self.breaks(now, "not_done", id.to_string());
        }
        if let Some(before) = before
            && over(before)
            && before != state
        {
            self.breaks(now, "went_back", format!("{id} {before:?} to {state:?}"));
        }
        let with_needs = self.cancelled_with_needs(id);
        let told = self.told.entry(id.clone()).or_default();
        let uncalled = state == JobState::Cancelled && !told.withdrawn && !with_needs;
        if state == JobState::Done && !told.state.is_some_and(over) {
            self.finished += 1;
        }
        if state == JobState::Cancelled {
            told.cancelled_at.get_or_insert(now);
        }
        if told.state.is_none_or(|s| !over(s)) {
            told.state = Some(state);
        }
        if uncalled {
            self.breaks(
                now,
                "went_back",
                format!("{id} cancelled without a request"),
            );
        }
    }

    /// Records that a job was reported as pending or running. An acceptance alone does not count: a
    /// job that depends on a cancelled one is accepted at any time.
    pub fn told_active(&mut self, now: Duration, id: &JobId, state: JobState) {
        if self.orphaned_long_ago(now, id) {
            self.breaks(now, "orphaned", format!("{id} told as {state:?}"));
        }
    }

    pub fn answered(&mut self, now: Duration, id: &JobId) {
        self.told.entry(id.clone()).or_default().answered = now;
    }

    /// Checks at the end, longer than `within` after all faults, that requests are answered again.
    pub fn ends(&mut self, now: Duration, within: Duration) {
        let unanswered = |told: &Told| !told.withdrawn && now > told.answered + within;
        let told = self.told.iter().filter(|(_, told)| unanswered(told));
        let lost: Vec<JobId> = told.map(|(id, _)| id.clone()).collect();
        for id in lost {
            self.breaks(now, "forgotten", format!("{id}: no request is answered"));
        }
    }

    pub fn state(&self, id: &JobId) -> Option<JobState> {
        self.told.get(id).and_then(|told| told.state)
    }

    pub fn not_found(&mut self, now: Duration, id: &JobId, accepted_before: bool) {
        if accepted_before {
            self.breaks(now, "forgotten", id.to_string());
        }
    }

    pub fn rejected(&mut self, now: Duration, id: &JobId) {
        if self.state(id).is_some() {
            self.breaks(now, "forgotten", format!("{id} rejected"));
        }
    }

    pub fn known_without_submission(&mut self, now: Duration, id: &JobId) {
        self.breaks(now, "invented", id.to_string());
    }
}
