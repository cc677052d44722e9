//! Scheduling passes: place tasks in free capacity first, then preempt and nominate.

mod gangs;
mod usage;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tracing::info;

use kiteyard_maintenance::ledger::Replicas;

use super::{
    capacity_snapshot::{MachineCapacity, Snapshot, Unplaceable, Usage, jobs_on_unresolved},
    cluster::ClusterState,
    job::{JobId, JobSpec, Kind, Priority, Resources, TaskId},
    machine::{Machine, MachineId, Standing},
    reconciliation::DeferredAction,
};

/// Minimum interval between two scheduling passes.
pub const PASS_INTERVAL: Duration = Duration::from_millis(60);

/// Delay before a job that waits for licence seats is retried.
const SEATS_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay before a job that postponed its preemption is retried.
const SLACK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay before waiting jobs are retried after a nomination released its capacity.
const RELEASE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Preemption plan for one machine: the tasks to stop there so that one task fits.
struct PreemptionPlan {
    index: usize,
    victims: Vec<(TaskId, u64)>,
    breaches: usize,
    highest_priority: Option<Priority>,
    freed: Resources,
    /// Estimated time to fetch the image, in seconds.
    fetch_s: f64,
    /// Relative price of the machine; 0 unless the job is a service.
    retention_cost: f64,
}

impl PreemptionPlan {
    /// Compares by budget breaches, then by the highest victim priority. Among equal plans a
    /// machine with the image wins, even at the cost of one more victim: a fetch delays the new
    /// task by more than one more victim loses.
    fn is_better_than(&self, other: &PreemptionPlan) -> bool {
        (self.breaches, self.highest_priority)
            .cmp(&(other.breaches, other.highest_priority))
            .then(self.fetch_s.total_cmp(&other.fetch_s))
            .then(self.retention_cost.total_cmp(&other.retention_cost))
            .then((self.victims.len(), self.index).cmp(&(other.victims.len(), other.index)))
            .is_lt()
    }
}

impl ClusterState {
    pub fn usable(&self, machine: &Machine, now: Duration) -> bool {
        machine.standing == Standing::Up
            && machine.fenced
            && machine.notice_at.is_none()
            && !self.is_cordoned(&machine.id)
            && self.is_zone_reachable(&machine.zone)
            && machine
                .heard_at
                .is_some_and(|at| now < at + self.config.report * 2 + Duration::from_millis(700))
    }

    /// Whether commands can be delivered to the zone. If not, nothing is started there, and
    /// nothing is preempted there.
    pub(super) fn is_zone_reachable(&self, zone: &str) -> bool {
        !self.reachability.is_uncertain
            && !self.reachability.partitioned_zones.contains(zone)
            && !self.withheld.contains(zone)
    }

    /// Runs a scheduling pass: places jobs that fit, preempts for those that do not, and parks
    /// the rest.
    pub fn run_pass(&mut self, now: Duration) {
        self.queue.pass_requested = false;
        self.next_pass = now + PASS_INTERVAL;
        let places = self.deadline_order();
        self.queue.reorder(&places, &self.jobs);
        self.update_seat_holders(now);
        let mut view = self.snapshot(now);
        self.closed_priority = self.priority_to_close(now);
        // Arrays that had their turn on machines with their image, in queue order.
        let mut with_image: Vec<JobId> = Vec::new();
        loop {
            if !self.shares_locality_round(with_image.first()) {
                for id in std::mem::take(&mut with_image) {
                    self.place_job(&mut view, id, now);
                }
            }
            let Some(id) = self.queue.pop() else { break };
            if self.should_skip(&mut view, &id, now) {
                self.queue.park(id);
            } else if self
                .jobs
                .get(&id)
                .is_some_and(|job| self.prefers_image_locality(job, now))
            {
                self.place_with_image(&mut view, &id, now);
                with_image.push(id);
            } else {
                self.place_job(&mut view, id, now);
            }
        }
    }

    /// Whether the job is skipped in this pass.
    fn should_skip(&mut self, view: &mut Snapshot, id: &JobId, now: Duration) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.retry_at > now {
            let at = job.retry_at;
            self.retry_by(at);
            return true;
        }
        let spec = &job.spec;
        if (job.version < self.claim && view.on_unresolved.contains(id))
            || self
                .closed_priority
                .is_some_and(|closed_priority| spec.priority <= closed_priority)
            || view.rules_out(spec, !job.nominations.is_empty())
        {
            return true;
        }
        if !self.is_at_limit(view, spec, now) {
            return false;
        }
        // A job at a limit is not matched with machines, but its locality wait starts as if it was.
        let (with_image, seats) = (
            self.prefers_image_locality(job, now),
            !spec.licences.is_empty(),
        );
        if seats {
            self.retry_by(now + SEATS_RETRY_DELAY);
        }
        if with_image && let Some(job) = self.jobs.get_mut(id) {
            job.locality_wait_since.get_or_insert(now);
        }
        // Capacity that was freed for the job is released to others in the meantime.
        self.drop_completed_nominations(view, id, now);
        true
    }

    /// Whether even the smallest startable part of the job (a whole gang, or one task) exceeds
    /// the limits of its team or the free licence seats.
    fn is_at_limit(&self, view: &Snapshot, spec: &JobSpec, now: Duration) -> bool {
        let least = match spec.kind {
            Kind::Gang => spec.tasks,
            _ => 1,
        };
        self.exceeds_limit(view, spec, least, now)
    }

    /// Schedules a retry of the parked jobs at the given time, unless an earlier one is due.
    pub(super) fn retry_by(&mut self, at: Duration) {
        let next = self.next_retry.unwrap_or(Duration::MAX);
        self.next_retry = Some(next.min(at));
    }

    /// Places as many of the job's tasks as fit, preempts for the others, and parks the job if
    /// tasks are left.
    fn place_job(&mut self, view: &mut Snapshot, id: JobId, now: Duration) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.waiting_count() > 0) else {
            return;
        };
        let spec = job.spec.clone();
        if view.rules_out(&spec, !job.nominations.is_empty()) || self.is_at_limit(view, &spec, now)
        {
            if !spec.licences.is_empty() {
                self.retry_by(now + SEATS_RETRY_DELAY);
            }
            self.queue.park(id);
            return;
        }
        view.select_job(&spec, &self.machines);
        let all = match spec.kind {
            Kind::Gang => self.place_gang(view, &id, &spec, now),
            _ => self.place_tasks(view, &id, &spec, now),
        };
        if !all {
            // Licence seats may be returned without any event that triggers a retry.
            if !spec.licences.is_empty() {
                self.retry_by(now + SEATS_RETRY_DELAY);
            }
            self.queue.park(id);
        }
    }

    fn snapshot(&self, now: Duration) -> Snapshot {
        let (usage, leaving) = self.usage();
        let rooms: Vec<MachineCapacity> = self
            .machines
            .values()
            .filter(|m| self.usable(m, now))
            .map(MachineCapacity::new)
            .collect();
        let mut view = Snapshot::new(rooms, usage, leaving, jobs_on_unresolved(&self.machines));
        for job in self.jobs.values().filter(|j| !j.nominations.is_empty()) {
            view.hold(&job.spec, &job.nominations);
        }
        view
    }

    /// Fills machines with an array's tasks in the order of their cost. Placing a task changes
    /// only the cost of its own machine, and makes that machine cheaper for the next task, so
    /// the machines are compared only once.
    ///
    /// With `with_image`, uses only machines that have the image or are fetching it.
    pub(super) fn fill_machines(
        &mut self,
        view: &mut Snapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        with_image: bool,
        now: Duration,
    ) {
        let failed_on = &self.jobs[id].failed_on;
        let has_image = |room: &MachineCapacity| {
            let machine = &self.machines[&room.id];
            // Machines with failed tasks are a last resort, whatever images they have.
            let sound = machine.failures.is_empty() && !failed_on.contains(&room.id);
            sound && (machine.has_image(&spec.image) || machine.fetches(&spec.image))
        };
        let mut costs: Vec<(f64, usize)> = view
            .may_fit(spec)
            .filter(|room| {
                let room = &view.rooms[*room];
                !with_image || (spec.need.fits_in(&room.free) && has_image(room))
            })
            .filter_map(|room| Some((self.placement_cost(view, room, spec, now)?, room)))
            .collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, room) in costs {
            let machine = view.rooms[room].id.clone();
            while self.fits(view, &view.rooms[room], spec, &view.rooms[room].free) {
                if self.jobs[id].tries_enough() {
                    return;
                }
                let Some(index) = self.jobs.get_mut(id).and_then(|j| j.next_waiting()) else {
                    return;
                };
                if self.exceeds_limit(view, spec, 1, now) {
                    return;
                }
                let attempt = self.next_attempt();
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                self.place_task(view, room, &machine, task, attempt, now);
            }
        }
    }

    /// Places the tasks of an array or a service; returns false if tasks are left.
    fn place_tasks(
        &mut self,
        view: &mut Snapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        now: Duration,
    ) -> bool {
        if spec.kind == Kind::Array {
            self.fill_machines(view, id, spec, false, now);
        }
        while let Some(index) = self.jobs.get_mut(id).and_then(|j| j.next_waiting()) {
            if self.exceeds_limit(view, spec, 1, now) || self.jobs[id].tries_enough() {
                self.drop_completed_nominations(view, id, now);
                return false;
            }
            let task = TaskId {
                job: id.clone(),
                index,
            };
            if let Some(room) = self.best_fit(view, spec, now) {
                let machine = view.rooms[room].id.clone();
                let attempt = self.next_attempt();
                self.place_task(view, room, &machine, task, attempt, now);
                continue;
            }
            // A job that fails on every machine does not preempt others.
            return !self.jobs[id].faulty() && self.preempt_for(view, id, spec, now);
        }
        true
    }

    fn place_task(
        &mut self,
        view: &mut Snapshot,
        room: usize,
        machine: &MachineId,
        task: TaskId,
        attempt: u64,
        now: Duration,
    ) {
        let id = task.job.clone();
        let held = self.jobs[&id].nominations.len();
        let spec = self.jobs[&id].spec.clone();
        self.take_seats(&spec, &task, attempt, now);
        self.place(machine, task, attempt, now);
        view.put(room, &spec);
        if self.jobs[&id].nominations.len() != held {
            self.refresh_held(view, &id);
        }
    }

    fn refresh_held(&self, view: &mut Snapshot, id: &JobId) {
        let job = &self.jobs[id];
        view.refresh_held(&job.spec, &job.nominations);
    }

    fn exceeds_limit(&self, view: &Snapshot, spec: &JobSpec, tasks: u32, now: Duration) -> bool {
        if self.tasks_within_seats(spec, now) < tasks {
            return true;
        }
        let Some(team) = self.config.teams.get(&spec.team) else {
            return true;
        };
        let used = view.usage.of(&spec.team);
        let sum = used.plus_times(&spec.need, f64::from(tasks));
        let over = |limit: f64, value: f64| limit > 0.0 && value > limit + 1e-6;
        over(team.cpus_max, sum.cpus) || over(team.gpus_max, sum.gpus)
    }

    /// Whether the job's constraints allow a task on the machine, free resources aside.
    fn is_allowed(&self, view: &Snapshot, room: &MachineCapacity, spec: &JobSpec) -> bool {
        spec.allows_type(&room.machine_type)
            && spec.allows_place(&room.zone, room.spot)
            && is_zone_allowed(&view.zones, &room.zone, spec)
    }

    /// Checks that a task fits twice: without the nominated tasks, and again with those of equal
    /// or higher priority taken as running.
    fn fits(
        &self,
        view: &Snapshot,
        room: &MachineCapacity,
        spec: &JobSpec,
        free: &Resources,
    ) -> bool {
        if !spec.need.fits_in(free) {
            return false;
        }
        let mut left = *free;
        for (priority, job, need) in &room.held {
            if *priority >= spec.priority && *job != spec.id {
                left = left.minus(need);
            }
        }
        spec.need.fits_in(&left) && self.is_allowed(view, room, spec)
    }

    fn best_fit(&self, view: &Snapshot, spec: &JobSpec, now: Duration) -> Option<usize> {
        view.may_fit(spec)
            .filter_map(|room| Some((self.placement_cost(view, room, spec, now)?, room)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, room)| room)
    }

    /// Cost of placing a task of the job on the machine, or none if it does not fit there. The
    /// machine with the lowest cost is preferred.
    fn placement_cost(
        &self,
        view: &Snapshot,
        index: usize,
        spec: &JobSpec,
        now: Duration,
    ) -> Option<f64> {
        let room = &view.rooms[index];
        if !self.fits(view, room, spec, &room.free) {
            return None;
        }
        let job = self.jobs.get(&spec.id)?;
        let machine = &self.machines[&room.id];
        let mut cost = self.fetch_time(machine, spec);
        let failures = machine
            .failures
            .iter()
            .filter(|(_, at)| now < *at + Duration::from_secs(600))
            .count();
        cost += 20.0 * failures as f64;
        if job.failed_on.contains(&machine.id) {
            cost += 200.0;
        }
        // Spreads the replicas of a service over machines and zones.
        if spec.kind == Kind::Service {
            let beside = machine
                .tasks
                .iter()
                .filter(|((task, _), p)| task.job == spec.id && !p.exited())
                .count();
            let in_zone = view.zones.get(&machine.zone).copied().unwrap_or(0);
            cost += 4.0 * beside as f64 + f64::from(in_zone);
        }
        // Keeps idle machines that have images of services free for those services.
        if !machine.has_image(&spec.image) && !machine.busy() {
            cost += machine.image_value;
        }
        // Prefers spot machines for jobs that accept them.
        if spec.spot && !machine.spot {
            cost += self.on_demand_premium(machine) * spec.estimate_s;
        }
        // A service holds its machine for an unlimited time, so an expensive machine would stay
        // rented for it alone. Arrays and gangs leave the cheap machines to services.
        let keep = self.relative_price(machine);
        cost += match spec.kind {
            Kind::Service => 1.5 * keep,
            _ if machine.spot => 0.0,
            _ => 0.5 * (1.0 - keep),
        };
        // Prefers the fullest machine, so that idle ones can be released or taken as a whole.
        Some(cost + 1.0 - machine.size.minus(&room.free).share_of(&machine.size))
    }

    /// Extra price of the machine over a spot machine of its type, as a fraction of the on-demand
    /// price.
    fn on_demand_premium(&self, machine: &Machine) -> f64 {
        let price = |spot| self.price(&machine.machine_type, spot);
        (1.0 - price(true) / price(false).max(1e-9)).max(0.0)
    }

    /// Price of the machine as a fraction of the price of the most expensive type.
    fn relative_price(&self, machine: &Machine) -> f64 {
        let dearest = self.types.iter().map(|t| t.price).fold(0.0, f64::max);
        self.price(&machine.machine_type, machine.spot) / dearest.max(1e-9)
    }

    /// Preempts for the waiting tasks of a job that have no nomination yet.
    fn preempt_for(
        &mut self,
        view: &mut Snapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        now: Duration,
    ) -> bool {
        self.drop_completed_nominations(view, id, now);
        if self.awaits_capacity(spec, DeferredAction::Preempt) {
            return false;
        }
        if self.has_time_before_preempting(id) {
            self.retry_by(now + SLACK_RETRY_DELAY);
            return false;
        }
        let waiting = self.jobs[id].waiting_count() as usize;
        while self.jobs[id].nominations.len() < waiting {
            let nominated = self.jobs[id].nominations.len() as u32;
            if self.exceeds_limit(view, spec, nominated + 1, now) {
                break;
            }
            let Some(plan) = self.best_preemption_plan(view, spec) else {
                // With zone constraints, machines may be ruled out for this job alone.
                if nominated == 0 && !spec.one_zone && !spec.spread {
                    let spec = spec.clone();
                    view.unplaceable.push(Unplaceable { spec });
                }
                break;
            };
            self.nominate(view, id, spec, plan, now);
        }
        false
    }

    /// Drops the nominations of a job to machines where no task is stopping any more. A task
    /// whose victims are gone and that still did not fit may preempt again; one whose victims
    /// are still stopping may not.
    fn drop_completed_nominations(&mut self, view: &mut Snapshot, id: &JobId, now: Duration) {
        let machines = &self.machines;
        let job = self.jobs.get_mut(id).expect("job at hand");
        let before = job.nominations.len();
        job.nominations.retain(|m| {
            machines
                .get(m)
                .is_some_and(|m| m.tasks.values().any(|p| p.stopping() && !p.exited()))
        });
        if job.nominations.len() != before {
            self.refresh_held(view, id);
            // Jobs of the same priority may have had their turn in this pass already.
            self.retry_by(now + RELEASE_RETRY_DELAY);
        }
    }

    fn best_preemption_plan(&self, view: &Snapshot, spec: &JobSpec) -> Option<PreemptionPlan> {
        let reclaims = self.is_within_guarantee(view, spec);
        let mut best: Option<PreemptionPlan> = None;
        for (index, room) in view.rooms.iter().enumerate() {
            let most = room.most_free(spec.priority, reclaims);
            if !spec.need.fits_in(&most) || !self.is_allowed(view, room, spec) {
                continue;
            }
            if best
                .as_ref()
                .is_some_and(|b| self.is_worse_than(room, spec, reclaims, b))
            {
                continue;
            }
            let plan = self.preemption_plan(view, index, spec, reclaims);
            best = match (best, plan) {
                (Some(best), Some(plan)) if plan.is_better_than(&best) => Some(plan),
                (None, plan) => plan,
                (best, _) => best,
            };
        }
        best
    }

    /// Whether any plan for the machine would be worse than `best`. This check avoids visiting
    /// all tasks of each machine for each waiting service, which took most of the time of a pass
    /// under high load.
    fn is_worse_than(
        &self,
        room: &MachineCapacity,
        spec: &JobSpec,
        reclaims: bool,
        best: &PreemptionPlan,
    ) -> bool {
        let least = room.least_highest(spec, reclaims);
        if best.breaches > 0 || least != best.highest_priority {
            return best.breaches == 0 && least > best.highest_priority;
        }
        let machine = &self.machines[&room.id];
        let by_fetch = self.fetch_time(machine, spec).total_cmp(&best.fetch_s);
        by_fetch
            .then_with(|| {
                self.retention_cost(machine, spec)
                    .total_cmp(&best.retention_cost)
            })
            .is_gt()
    }

    fn retention_cost(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        match spec.kind {
            Kind::Service => self.relative_price(machine),
            _ => 0.0,
        }
    }

    /// Builds the plan for one machine: removes every task that may be preempted, then restores
    /// those that can stay.
    fn preemption_plan(
        &self,
        view: &Snapshot,
        index: usize,
        spec: &JobSpec,
        reclaims: bool,
    ) -> Option<PreemptionPlan> {
        let room = &view.rooms[index];
        let machine = &self.machines[&room.id];
        let mut free = room.free;
        // The job's own nominations here stand for other tasks of it.
        for (_, job, need) in &room.held {
            if *job == spec.id {
                free = free.minus(need);
            }
        }
        let mut candidates = Vec::new();
        for (key, p) in &machine.tasks {
            if p.exited() || room.victims.contains(key) {
                continue;
            }
            if p.stopping() {
                free = free.plus(&p.need);
            } else if let Some(victim) = &p.spec
                && victim.id != spec.id
                && (victim.priority < spec.priority || reclaims)
            {
                candidates.push((key, victim, p.since));
            }
        }
        // Newest first, so that a team loses the tasks that exceed its guarantee.
        candidates.sort_by(|a, b| (b.2, b.0).cmp(&(a.2, a.0)));
        let mut leaving = match reclaims {
            true => view.leaving.clone(),
            false => Usage::default(),
        };
        candidates.retain(|(_, victim, _)| {
            let may = victim.priority < spec.priority
                || (reclaims && self.may_reclaim(view, &leaving, spec, victim));
            if may {
                if reclaims {
                    leaving.add(&victim.team, &victim.need);
                }
                free = free.plus(&victim.need);
            }
            may
        });
        if !self.fits(view, room, spec, &free) {
            return None;
        }
        // Restores first the tasks whose stop would breach a disruption budget, then by priority,
        // then the oldest.
        let mut stopping: HashMap<JobId, (Replicas, u32)> = HashMap::new();
        let mut budgeted: Vec<_> = candidates
            .into_iter()
            .map(|(key, victim, since)| {
                let breaks = self.breaches_budget(victim, &mut stopping);
                (breaks, victim.priority, Reverse(since), key, victim)
            })
            .collect();
        budgeted.sort_by(|a, b| (b.0, b.1, b.2, a.3).cmp(&(a.0, a.1, a.2, b.3)));
        let mut plan = PreemptionPlan {
            index: index,
            victims: Vec::new(),
            breaches: 0,
            highest_priority: None,
            freed: Resources::default(),
            fetch_s: self.fetch_time(machine, spec),
            retention_cost: self.retention_cost(machine, spec),
        };
        for (breaks, priority, _, key, victim) in budgeted {
            let without = free.minus(&victim.need);
            if self.fits(view, room, spec, &without) {
                free = without;
                continue;
            }
            plan.breaches += usize::from(breaks);
            plan.highest_priority = plan.highest_priority.max(Some(priority));
            plan.freed = plan.freed.plus(&victim.need);
            plan.victims.push(key.clone());
        }
        Some(plan)
    }

    /// Whether one more task of the job, added to the team's running and nominated tasks, is
    /// within the team's guarantee.
    fn is_within_guarantee(&self, view: &Snapshot, spec: &JobSpec) -> bool {
        let Some(team) = self.config.teams.get(&spec.team) else {
            return false;
        };
        let mut sum = view.usage.of(&spec.team);
        for job in self.jobs.values().filter(|j| j.spec.team == spec.team) {
            sum = sum.plus_times(&job.spec.need, job.nominations.len() as f64);
        }
        let sum = sum.plus(&spec.need);
        sum.cpus <= team.cpus + 1e-6 && sum.gpus <= team.gpus + 1e-6
    }

    /// Whether the victim may be stopped because its team, another one, exceeds its guarantee
    /// without the tasks that are stopping. A victim of a higher priority is not reclaimed, since
    /// it would only preempt in turn.
    fn may_reclaim(
        &self,
        view: &Snapshot,
        leaving: &Usage,
        spec: &JobSpec,
        victim: &JobSpec,
    ) -> bool {
        if victim.priority > spec.priority || victim.team == spec.team {
            return false;
        }
        let Some(team) = self.config.teams.get(&victim.team) else {
            return false;
        };
        let stays = view.usage.of(&victim.team).minus(&leaving.of(&victim.team));
        stays.cpus > team.cpus + 1e-6 || stays.gpus > team.gpus + 1e-6
    }

    /// Whether stopping one more replica of the service would breach its disruption budget.
    /// Counts the replica in `more`.
    fn breaches_budget(
        &self,
        victim: &JobSpec,
        more: &mut HashMap<JobId, (Replicas, u32)>,
    ) -> bool {
        if victim.kind != Kind::Service {
            return false;
        }
        let (standing, count) = more
            .entry(victim.id.clone())
            .or_insert_with(|| (self.replica_counts(&victim.id), 0));
        *count += 1;
        self.ledger.breach(&victim.team, *standing, *count)
    }

    fn nominate(
        &mut self,
        view: &mut Snapshot,
        id: &JobId,
        spec: &JobSpec,
        plan: PreemptionPlan,
        now: Duration,
    ) {
        let machine = view.rooms[plan.index].id.clone();
        info!(
            job = %id,
            machine = %machine,
            victims = plan.victims.len(),
            breaches = plan.breaches,
            "nominated machine for waiting task"
        );
        self.counts.nominations += 1;
        let grace = self.config.options.grace;
        for key in &plan.victims {
            info!(task = %key.0, machine = %machine, by = %id, "preempting task");
            self.counts.victims += 1;
            if let Some(victim) = self.jobs.get(&key.0.job).map(|j| j.spec.clone()) {
                view.leaving.add(&victim.team, &victim.need);
            }
            self.stop(&machine, key, grace, now);
        }
        view.recount(plan.index, &self.machines[&machine]);
        self.jobs
            .get_mut(id)
            .expect("job at hand")
            .nominations
            .push(machine.clone());
        self.refresh_held(view, id);
        self.clear_lower_nominations(view, plan.index, spec);
    }

    /// Clears nominations of a lower priority that no longer fit beside the new one.
    fn clear_lower_nominations(&mut self, view: &mut Snapshot, index: usize, spec: &JobSpec) {
        let machine = self.machines[&view.rooms[index].id].clone();
        let mut lower: Vec<(Priority, JobId, Resources)> = Vec::new();
        let mut free = machine.free();
        for p in machine
            .tasks
            .values()
            .filter(|p| p.stopping() && !p.exited())
        {
            free = free.plus(&p.need);
        }
        for held in &view.rooms[index].held {
            if held.0 >= spec.priority {
                free = free.minus(&held.2);
            } else {
                lower.push(held.clone());
            }
        }
        lower.sort_by_key(|held| Reverse(held.0));
        for (_, job, need) in lower {
            if need.fits_in(&free) {
                free = free.minus(&need);
                continue;
            }
            if let Some(entry) = self.jobs.get_mut(&job)
                // Capacity that is only reserved for a gang in this pass is no nomination.
                && let Some(at) = entry.nominations.iter().position(|m| *m == machine.id)
            {
                entry.nominations.remove(at);
                info!(
                    job = %job,
                    machine = %machine.id,
                    "nomination cleared for a higher priority; requeueing job"
                );
                self.counts.cleared += 1;
                self.queue.push(&job, entry);
                self.refresh_held(view, &job);
            }
        }
    }
}

fn is_zone_allowed(zones: &BTreeMap<Arc<str>, u32>, zone: &Arc<str>, spec: &JobSpec) -> bool {
    if spec.one_zone && zones.iter().any(|(z, n)| z != zone && *n > 0) {
        return false;
    }
    !spec.spread || zones.get(zone).copied().unwrap_or(0) < spec.zone_limit()
}
