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
    capacity_snapshot::{
        CapacitySnapshot, MachineCapacity, Unplaceable, Usage, jobs_on_unresolved_machines,
    },
    cluster::ClusterState,
    job::{JobId, JobSpec, Kind, Priority, Resources, TaskId},
    machine::{Machine, MachineId, MachineState},
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
    /// Index of the machine in the snapshot.
    index: usize,
    victims: Vec<(TaskId, u64)>,
    /// Number of victims that breach a disruption budget.
    breaches: usize,
    /// Highest priority of the victims.
    highest_priority: Option<Priority>,
    /// Resources of the victims.
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
    /// Returns whether tasks may be placed on the machine now.
    pub fn usable(&self, machine: &Machine, now: Duration) -> bool {
        machine.state == MachineState::Up
            && machine.fenced
            && machine.notice_at.is_none()
            && !self.is_cordoned(&machine.id)
            && self.is_zone_reachable(&machine.zone)
            && machine.heard_at.is_some_and(|at| {
                now < at + self.config.report_interval * 2 + Duration::from_millis(700)
            })
    }

    /// Returns whether commands can be delivered to the zone. If not, nothing is started or
    /// preempted there.
    pub(super) fn is_zone_reachable(&self, zone: &str) -> bool {
        !self.reachability.is_uncertain
            && !self.reachability.partitioned_zones.contains(zone)
            && !self.start_blocked_zones.contains(zone)
    }

    /// Runs a scheduling pass: places jobs that fit, preempts for those that do not, and parks
    /// the rest.
    pub fn run_pass(&mut self, now: Duration) {
        self.queue.pass_requested = false;
        self.next_pass = now + PASS_INTERVAL;
        let positions = self.deadline_order();
        self.queue.reorder(&positions, &self.jobs);
        self.update_seat_holders(now);
        let mut snapshot = self.capacity_snapshot(now);
        self.closed_priority = self.priority_to_close(now);
        // Arrays already tried on machines with their image, in queue order.
        let mut locality_round: Vec<JobId> = Vec::new();
        loop {
            if !self.shares_locality_round(locality_round.first()) {
                for id in std::mem::take(&mut locality_round) {
                    self.place_job(&mut snapshot, id, now);
                }
            }
            let Some(id) = self.queue.pop() else { break };
            if self.should_skip(&mut snapshot, &id, now) {
                self.queue.park(id);
            } else if self
                .jobs
                .get(&id)
                .is_some_and(|job| self.prefers_image_locality(job, now))
            {
                self.place_with_image(&mut snapshot, &id, now);
                locality_round.push(id);
            } else {
                self.place_job(&mut snapshot, id, now);
            }
        }
    }

    /// Returns whether the job is skipped in this pass.
    fn should_skip(&mut self, snapshot: &mut CapacitySnapshot, id: &JobId, now: Duration) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.retry_at > now {
            let at = job.retry_at;
            self.retry_by(at);
            return true;
        }
        let spec = &job.spec;
        if (job.version < self.claim && snapshot.unresolved_jobs.contains(id))
            || self
                .closed_priority
                .is_some_and(|closed_priority| spec.priority <= closed_priority)
            || snapshot.rules_out(spec, !job.nominations.is_empty())
        {
            return true;
        }
        if !self.is_at_limit(snapshot, spec, now) {
            return false;
        }
        // A job at a limit is not matched with machines, but its locality wait starts all the same.
        let (prefers_image_locality, needs_seats) = (
            self.prefers_image_locality(job, now),
            !spec.licences.is_empty(),
        );
        if needs_seats {
            self.retry_by(now + SEATS_RETRY_DELAY);
        }
        if prefers_image_locality && let Some(job) = self.jobs.get_mut(id) {
            job.locality_wait_since.get_or_insert(now);
        }
        // Capacity that was freed for the job is released to others in the meantime.
        self.drop_completed_nominations(snapshot, id, now);
        true
    }

    /// Returns whether even the smallest startable part of the job (a whole gang, or one task)
    /// exceeds the limits of its team or the free licence seats.
    fn is_at_limit(&self, snapshot: &CapacitySnapshot, spec: &JobSpec, now: Duration) -> bool {
        let min_tasks = match spec.kind {
            Kind::Gang => spec.tasks,
            _ => 1,
        };
        self.exceeds_limit(snapshot, spec, min_tasks, now)
    }

    /// Schedules a retry of the parked jobs at the given time, unless an earlier one is due.
    pub(super) fn retry_by(&mut self, at: Duration) {
        let scheduled = self.next_retry.unwrap_or(Duration::MAX);
        self.next_retry = Some(scheduled.min(at));
    }

    /// Places as many of the job's tasks as fit, preempts for the others, and parks the job if
    /// tasks are left.
    fn place_job(&mut self, snapshot: &mut CapacitySnapshot, id: JobId, now: Duration) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.waiting_count() > 0) else {
            return;
        };
        let spec = job.spec.clone();
        if snapshot.rules_out(&spec, !job.nominations.is_empty())
            || self.is_at_limit(snapshot, &spec, now)
        {
            if !spec.licences.is_empty() {
                self.retry_by(now + SEATS_RETRY_DELAY);
            }
            self.queue.park(id);
            return;
        }
        snapshot.select_job(&spec, &self.machines);
        let all_placed = match spec.kind {
            Kind::Gang => self.place_gang(snapshot, &id, &spec, now),
            _ => self.place_tasks(snapshot, &id, &spec, now),
        };
        if !all_placed {
            // Licence seats may be returned without any event that triggers a retry.
            if !spec.licences.is_empty() {
                self.retry_by(now + SEATS_RETRY_DELAY);
            }
            self.queue.park(id);
        }
    }

    /// Builds the capacity snapshot for one pass.
    fn capacity_snapshot(&self, now: Duration) -> CapacitySnapshot {
        let (usage, stopping_usage) = self.usage();
        let capacities: Vec<MachineCapacity> = self
            .machines
            .values()
            .filter(|m| self.usable(m, now))
            .map(MachineCapacity::new)
            .collect();
        let mut snapshot = CapacitySnapshot::new(
            capacities,
            usage,
            stopping_usage,
            jobs_on_unresolved_machines(&self.machines),
        );
        for job in self.jobs.values().filter(|j| !j.nominations.is_empty()) {
            snapshot.reserve_nominations(&job.spec, &job.nominations);
        }
        snapshot
    }

    /// Fills machines with an array's tasks in the order of their cost. Placing a task changes only
    /// the cost of the machine that it is placed on, and makes it cheaper for the next task, so the
    /// machines are compared only once.
    ///
    /// With `with_image`, uses only machines that have the image or are fetching it.
    pub(super) fn fill_machines(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        with_image: bool,
        now: Duration,
    ) {
        let failed_on = &self.jobs[id].failed_on;
        let has_image = |capacity: &MachineCapacity| {
            let machine = &self.machines[&capacity.id];
            // Machines with failed tasks are a last resort, whatever images they have.
            let is_healthy = machine.failures.is_empty() && !failed_on.contains(&capacity.id);
            is_healthy && (machine.has_image(&spec.image) || machine.is_fetching(&spec.image))
        };
        let mut costs: Vec<(f64, usize)> = snapshot
            .may_fit(spec)
            .filter(|candidate| {
                let capacity = &snapshot.machines[*candidate];
                !with_image || (spec.need.fits_in(&capacity.free) && has_image(capacity))
            })
            .filter_map(|candidate| {
                Some((
                    self.placement_cost(snapshot, candidate, spec, now)?,
                    candidate,
                ))
            })
            .collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, candidate) in costs {
            let machine = snapshot.machines[candidate].id.clone();
            while self.fits(
                snapshot,
                &snapshot.machines[candidate],
                spec,
                &snapshot.machines[candidate].free,
            ) {
                if self.jobs[id].has_enough_probes() {
                    return;
                }
                let Some(index) = self.jobs.get_mut(id).and_then(|j| j.next_waiting()) else {
                    return;
                };
                if self.exceeds_limit(snapshot, spec, 1, now) {
                    return;
                }
                let Some(attempt) = self.next_attempt() else {
                    return;
                };
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                self.place_task(snapshot, candidate, &machine, task, attempt, now);
            }
        }
    }

    /// Places the tasks of an array or a service; returns false if tasks are left.
    fn place_tasks(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        now: Duration,
    ) -> bool {
        if spec.kind == Kind::Array {
            self.fill_machines(snapshot, id, spec, false, now);
        }
        while let Some(index) = self.jobs.get_mut(id).and_then(|j| j.next_waiting()) {
            if self.exceeds_limit(snapshot, spec, 1, now) || self.jobs[id].has_enough_probes() {
                self.drop_completed_nominations(snapshot, id, now);
                return false;
            }
            let task = TaskId {
                job: id.clone(),
                index,
            };
            if let Some(candidate) = self.best_fit(snapshot, spec, now) {
                let machine = snapshot.machines[candidate].id.clone();
                let Some(attempt) = self.next_attempt() else {
                    return false;
                };
                self.place_task(snapshot, candidate, &machine, task, attempt, now);
                continue;
            }
            // A job that fails on every machine does not preempt others.
            return !self.jobs[id].faulty() && self.preempt_for(snapshot, id, spec, now);
        }
        true
    }

    /// Places one task on the machine, and updates the seats and the snapshot.
    fn place_task(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        candidate: usize,
        machine: &MachineId,
        task: TaskId,
        attempt: u64,
        now: Duration,
    ) {
        let id = task.job.clone();
        let nominations_before = self.jobs[&id].nominations.len();
        let spec = self.jobs[&id].spec.clone();
        self.take_seats(&spec, &task, attempt, now);
        self.record_placement(machine, task, attempt, now);
        snapshot.record_placement(candidate, &spec);
        if self.jobs[&id].nominations.len() != nominations_before {
            self.refresh_reservations(snapshot, &id);
        }
    }

    fn refresh_reservations(&self, snapshot: &mut CapacitySnapshot, id: &JobId) {
        let job = &self.jobs[id];
        snapshot.refresh_reservations(&job.spec, &job.nominations);
    }

    fn exceeds_limit(
        &self,
        snapshot: &CapacitySnapshot,
        spec: &JobSpec,
        tasks: u32,
        now: Duration,
    ) -> bool {
        if self.tasks_within_seats(spec, now) < tasks {
            return true;
        }
        let Some(team) = self.config.teams.get(&spec.team) else {
            return true;
        };
        let used = snapshot.usage.of(&spec.team);
        let sum = used.plus_scaled(&spec.need, f64::from(tasks));
        let exceeds = |limit: f64, value: f64| limit > 0.0 && value > limit + 1e-6;
        exceeds(team.cpus_max, sum.cpus) || exceeds(team.gpus_max, sum.gpus)
    }

    /// Returns whether the job's constraints allow a task on the machine, free resources aside.
    fn is_allowed(
        &self,
        snapshot: &CapacitySnapshot,
        capacity: &MachineCapacity,
        spec: &JobSpec,
    ) -> bool {
        spec.allows_type(&capacity.machine_type)
            && spec.allows_placement(&capacity.zone, capacity.spot)
            && is_zone_allowed(&snapshot.job_zones, &capacity.zone, spec)
    }

    /// Returns whether a task fits, both without the nominated tasks and with those of equal or
    /// higher priority counted as running.
    fn fits(
        &self,
        snapshot: &CapacitySnapshot,
        capacity: &MachineCapacity,
        spec: &JobSpec,
        free: &Resources,
    ) -> bool {
        if !spec.need.fits_in(free) {
            return false;
        }
        let mut remaining = *free;
        for (priority, job, need) in &capacity.reservations {
            if *priority >= spec.priority && *job != spec.id {
                remaining = remaining.minus(need);
            }
        }
        spec.need.fits_in(&remaining) && self.is_allowed(snapshot, capacity, spec)
    }

    fn best_fit(
        &self,
        snapshot: &CapacitySnapshot,
        spec: &JobSpec,
        now: Duration,
    ) -> Option<usize> {
        snapshot
            .may_fit(spec)
            .filter_map(|candidate| {
                Some((
                    self.placement_cost(snapshot, candidate, spec, now)?,
                    candidate,
                ))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, candidate)| candidate)
    }

    /// Returns the cost of placing a task of the job on the machine, or none if it does not fit
    /// there. The machine with the lowest cost is preferred.
    fn placement_cost(
        &self,
        snapshot: &CapacitySnapshot,
        candidate: usize,
        spec: &JobSpec,
        now: Duration,
    ) -> Option<f64> {
        let capacity = &snapshot.machines[candidate];
        if !self.fits(snapshot, capacity, spec, &capacity.free) {
            return None;
        }
        let job = self.jobs.get(&spec.id)?;
        let machine = &self.machines[&capacity.id];
        let mut cost = self.estimated_fetch_secs(machine, spec);
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
            let on_machine = machine
                .tasks
                .iter()
                .filter(|((task, _), p)| task.job == spec.id && !p.exited())
                .count();
            let in_zone = snapshot.job_zones.get(&machine.zone).copied().unwrap_or(0);
            cost += 4.0 * on_machine as f64 + f64::from(in_zone);
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
        let relative_price = self.relative_price(machine);
        cost += match spec.kind {
            Kind::Service => 1.5 * relative_price,
            _ if machine.spot => 0.0,
            _ => 0.5 * (1.0 - relative_price),
        };
        // Prefers the fullest machine, so that idle ones can be released or taken as a whole.
        Some(
            cost + 1.0
                - machine
                    .size
                    .minus(&capacity.free)
                    .dominant_share_of(&machine.size),
        )
    }

    /// Returns the extra price of the machine over a spot machine of its type, as a fraction of the
    /// on-demand price.
    fn on_demand_premium(&self, machine: &Machine) -> f64 {
        let price = |spot| self.price(&machine.machine_type, spot);
        (1.0 - price(true) / price(false).max(1e-9)).max(0.0)
    }

    /// Returns the price of the machine as a fraction of the price of the most expensive type.
    fn relative_price(&self, machine: &Machine) -> f64 {
        let max_price = self.types.iter().map(|t| t.price).fold(0.0, f64::max);
        self.price(&machine.machine_type, machine.spot) / max_price.max(1e-9)
    }

    /// Preempts for the waiting tasks of a job that have no nomination yet. Returns false, since
    /// none of them is placed yet.
    fn preempt_for(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        now: Duration,
    ) -> bool {
        self.drop_completed_nominations(snapshot, id, now);
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
            if self.exceeds_limit(snapshot, spec, nominated + 1, now) {
                break;
            }
            let Some(plan) = self.best_preemption_plan(snapshot, spec) else {
                // With zone constraints, machines may be ruled out for this job alone.
                if nominated == 0 && !spec.one_zone && !spec.spread {
                    let spec = spec.clone();
                    snapshot.unplaceable.push(Unplaceable { spec });
                }
                break;
            };
            self.nominate(snapshot, id, spec, plan, now);
        }
        false
    }

    /// Drops the nominations of a job to machines where no task is stopping any more. A task
    /// whose victims are gone and that still did not fit may preempt again; one whose victims
    /// are still stopping may not.
    fn drop_completed_nominations(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        now: Duration,
    ) {
        let machines = &self.machines;
        let job = self.jobs.get_mut(id).expect("active job");
        let count_before = job.nominations.len();
        job.nominations.retain(|m| {
            machines
                .get(m)
                .is_some_and(|m| m.tasks.values().any(|p| p.stopping() && !p.exited()))
        });
        if job.nominations.len() != count_before {
            self.refresh_reservations(snapshot, id);
            // Jobs of the same priority may already have been tried in this pass.
            self.retry_by(now + RELEASE_RETRY_DELAY);
        }
    }

    fn best_preemption_plan(
        &self,
        snapshot: &CapacitySnapshot,
        spec: &JobSpec,
    ) -> Option<PreemptionPlan> {
        let reclaims = self.is_within_guarantee(snapshot, spec);
        let mut best: Option<PreemptionPlan> = None;
        for (index, capacity) in snapshot.machines.iter().enumerate() {
            let max_free = capacity.max_free(spec.priority, reclaims);
            if !spec.need.fits_in(&max_free) || !self.is_allowed(snapshot, capacity, spec) {
                continue;
            }
            if best
                .as_ref()
                .is_some_and(|b| self.is_worse_than(capacity, spec, reclaims, b))
            {
                continue;
            }
            let plan = self.preemption_plan(snapshot, index, spec, reclaims);
            best = match (best, plan) {
                (Some(best), Some(plan)) if plan.is_better_than(&best) => Some(plan),
                (None, plan) => plan,
                (best, _) => best,
            };
        }
        best
    }

    /// Returns whether any plan for the machine would be worse than `best`. This check avoids
    /// visiting all tasks of each machine for each waiting service, which took most of the time of
    /// a pass under high load.
    fn is_worse_than(
        &self,
        capacity: &MachineCapacity,
        spec: &JobSpec,
        reclaims: bool,
        best: &PreemptionPlan,
    ) -> bool {
        let min_highest = capacity.min_highest_victim(spec, reclaims);
        if best.breaches > 0 || min_highest != best.highest_priority {
            return best.breaches == 0 && min_highest > best.highest_priority;
        }
        let machine = &self.machines[&capacity.id];
        let by_fetch_time = self
            .estimated_fetch_secs(machine, spec)
            .total_cmp(&best.fetch_s);
        by_fetch_time
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
        snapshot: &CapacitySnapshot,
        index: usize,
        spec: &JobSpec,
        reclaims: bool,
    ) -> Option<PreemptionPlan> {
        let capacity = &snapshot.machines[index];
        let machine = &self.machines[&capacity.id];
        let mut free = capacity.free;
        // The job's own nominations here belong to its other tasks.
        for (_, job, need) in &capacity.reservations {
            if *job == spec.id {
                free = free.minus(need);
            }
        }
        let mut candidates = Vec::new();
        for (key, p) in &machine.tasks {
            if p.exited() || capacity.victims.contains(key) {
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
        let mut stopping_usage = match reclaims {
            true => snapshot.stopping_usage.clone(),
            false => Usage::default(),
        };
        candidates.retain(|(_, victim, _)| {
            let is_eligible = victim.priority < spec.priority
                || (reclaims && self.may_reclaim(snapshot, &stopping_usage, spec, victim));
            if is_eligible {
                if reclaims {
                    stopping_usage.add(&victim.team, &victim.need);
                }
                free = free.plus(&victim.need);
            }
            is_eligible
        });
        if !self.fits(snapshot, capacity, spec, &free) {
            return None;
        }
        // Restores first the tasks whose stop would breach a disruption budget, then by priority,
        // then the oldest.
        let mut stopping: HashMap<JobId, (Replicas, u32)> = HashMap::new();
        let mut ordered: Vec<_> = candidates
            .into_iter()
            .map(|(key, victim, since)| {
                let is_breach = self.breaches_budget(victim, &mut stopping);
                (is_breach, victim.priority, Reverse(since), key, victim)
            })
            .collect();
        ordered.sort_by(|a, b| (b.0, b.1, b.2, a.3).cmp(&(a.0, a.1, a.2, b.3)));
        let mut plan = PreemptionPlan {
            index,
            victims: Vec::new(),
            breaches: 0,
            highest_priority: None,
            freed: Resources::default(),
            fetch_s: self.estimated_fetch_secs(machine, spec),
            retention_cost: self.retention_cost(machine, spec),
        };
        for (is_breach, priority, _, key, victim) in ordered {
            let remaining = free.minus(&victim.need);
            if self.fits(snapshot, capacity, spec, &remaining) {
                free = remaining;
                continue;
            }
            plan.breaches += usize::from(is_breach);
            plan.highest_priority = plan.highest_priority.max(Some(priority));
            plan.freed = plan.freed.plus(&victim.need);
            plan.victims.push(key.clone());
        }
        Some(plan)
    }

    /// Returns whether one more task of the job, added to the team's running and nominated tasks,
    /// is within the team's guarantee.
    fn is_within_guarantee(&self, snapshot: &CapacitySnapshot, spec: &JobSpec) -> bool {
        let Some(team) = self.config.teams.get(&spec.team) else {
            return false;
        };
        let mut sum = snapshot.usage.of(&spec.team);
        for job in self.jobs.values().filter(|j| j.spec.team == spec.team) {
            sum = sum.plus_scaled(&job.spec.need, job.nominations.len() as f64);
        }
        let sum = sum.plus(&spec.need);
        sum.cpus <= team.cpus + 1e-6 && sum.gpus <= team.gpus + 1e-6
    }

    /// Returns whether the victim may be stopped because its team, which must be another one,
    /// exceeds its guarantee even without the tasks that are stopping. A victim of a higher
    /// priority is not reclaimed, since it would only preempt another task itself.
    fn may_reclaim(
        &self,
        snapshot: &CapacitySnapshot,
        stopping_usage: &Usage,
        spec: &JobSpec,
        victim: &JobSpec,
    ) -> bool {
        if victim.priority > spec.priority || victim.team == spec.team {
            return false;
        }
        let Some(team) = self.config.teams.get(&victim.team) else {
            return false;
        };
        let remaining = snapshot
            .usage
            .of(&victim.team)
            .minus(&stopping_usage.of(&victim.team));
        remaining.cpus > team.cpus + 1e-6 || remaining.gpus > team.gpus + 1e-6
    }

    /// Returns whether stopping one more replica of the service would breach its disruption budget.
    /// Counts the replica in `stopping`.
    fn breaches_budget(
        &self,
        victim: &JobSpec,
        stopping: &mut HashMap<JobId, (Replicas, u32)>,
    ) -> bool {
        if victim.kind != Kind::Service {
            return false;
        }
        let (replicas, count) = stopping
            .entry(victim.id.clone())
            .or_insert_with(|| (self.replica_counts(&victim.id), 0));
        *count += 1;
        self.disruption_ledger
            .is_breach(&victim.team, *replicas, *count)
    }

    /// Executes a plan: stops its victims and nominates the machine for the job.
    fn nominate(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        id: &JobId,
        spec: &JobSpec,
        plan: PreemptionPlan,
        now: Duration,
    ) {
        let machine = snapshot.machines[plan.index].id.clone();
        info!(job = %id, machine = %machine, victims = plan.victims.len(), breaches = plan.breaches, "nominated machine for waiting task");
        self.counts.nominations += 1;
        let grace = self.config.options.grace;
        for key in &plan.victims {
            info!(task = %key.0, machine = %machine, by = %id, "preempting task");
            self.counts.victims += 1;
            if let Some(victim) = self.jobs.get(&key.0.job).map(|j| j.spec.clone()) {
                snapshot.stopping_usage.add(&victim.team, &victim.need);
            }
            self.stop_task(&machine, key, grace, now);
        }
        snapshot.recompute_machine(plan.index, &self.machines[&machine]);
        self.jobs
            .get_mut(id)
            .expect("active job")
            .nominations
            .push(machine.clone());
        self.refresh_reservations(snapshot, id);
        self.clear_lower_nominations(snapshot, plan.index, spec);
    }

    /// Clears nominations of a lower priority that no longer fit beside the new one.
    fn clear_lower_nominations(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        index: usize,
        spec: &JobSpec,
    ) {
        let machine = self.machines[&snapshot.machines[index].id].clone();
        let mut lower: Vec<(Priority, JobId, Resources)> = Vec::new();
        let mut free = machine.free();
        for p in machine
            .tasks
            .values()
            .filter(|p| p.stopping() && !p.exited())
        {
            free = free.plus(&p.need);
        }
        for reservation in &snapshot.machines[index].reservations {
            if reservation.0 >= spec.priority {
                free = free.minus(&reservation.2);
            } else {
                lower.push(reservation.clone());
            }
        }
        lower.sort_by_key(|reservation| Reverse(reservation.0));
        for (_, job, need) in lower {
            if need.fits_in(&free) {
                free = free.minus(&need);
                continue;
            }
            if let Some(entry) = self.jobs.get_mut(&job)
                // Capacity that is only reserved for a gang in this pass is no nomination.
                && let Some(position) = entry.nominations.iter().position(|m| *m == machine.id)
            {
                entry.nominations.remove(position);
                info!(job = %job, machine = %machine.id, "nomination cleared for a higher priority; requeueing job");
                self.counts.cleared += 1;
                self.queue.push(&job, entry);
                self.refresh_reservations(snapshot, &job);
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
