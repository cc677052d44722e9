//! Placement: fits without victims first, then preemption and nominations.

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

/// The least time between two passes.
pub const PASS_EVERY: Duration = Duration::from_millis(60);

/// How soon a job that waits for a seat is tried again.
const SEATS_AGAIN: Duration = Duration::from_secs(1);

/// How soon a job that has time to wait for room is looked at again.
const SLACK_AGAIN: Duration = Duration::from_secs(1);

/// How soon waiting jobs are tried again after room was held no longer.
const HELD_AGAIN: Duration = Duration::from_secs(1);

/// Victims on one machine.
struct Plan {
    room: usize,
    victims: Vec<(TaskId, u64)>,
    breaches: usize,
    highest: Option<Priority>,
    freed: Resources,
    /// About how long the image takes to arrive, in seconds.
    fetch: f64,
    /// What it costs to keep the machine.
    keeping: f64,
}

impl Plan {
    /// Fewer breaches, then lower victims. Among machines that are disrupted alike, the one
    /// with the image: what one victim more loses is less than what a fetch keeps waiting.
    fn better_than(&self, other: &Plan) -> bool {
        (self.breaches, self.highest)
            .cmp(&(other.breaches, other.highest))
            .then(self.fetch.total_cmp(&other.fetch))
            .then(self.keeping.total_cmp(&other.keeping))
            .then((self.victims.len(), self.room).cmp(&(other.victims.len(), other.room)))
            .is_lt()
    }
}

impl ClusterState {
    pub fn usable(&self, machine: &Machine, now: Duration) -> bool {
        machine.standing == Standing::Up
            && machine.fenced
            && machine.notice_at.is_none()
            && !self.cordoned(&machine.id)
            && self.reaches(&machine.zone)
            && machine
                .heard_at
                .is_some_and(|at| now < at + self.config.report * 2 + Duration::from_millis(700))
    }

    /// Nothing is started that can't be delivered, and nobody stopped for it.
    pub(super) fn reaches(&self, zone: &str) -> bool {
        !self.reachability.is_uncertain
            && !self.reachability.partitioned_zones.contains(zone)
            && !self.withheld.contains(zone)
    }

    /// Places what fits, makes room for what does not, and parks the rest.
    pub fn pass(&mut self, now: Duration) {
        self.queue.dirty = false;
        self.next_pass = now + PASS_EVERY;
        let places = self.deadline_order();
        self.queue.rank(&places, &self.jobs);
        self.count_seats(now);
        let mut view = self.view(now);
        self.closed_priority = self.priority_to_close(now);
        // Arrays that were given what has their image, in their order.
        let mut with_image: Vec<JobId> = Vec::new();
        loop {
            if !self.shares_locality_round(with_image.first()) {
                for id in std::mem::take(&mut with_image) {
                    self.place_job(&mut view, id, now);
                }
            }
            let Some(id) = self.queue.pop() else { break };
            if self.waits(&mut view, &id, now) {
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

    /// Whether nothing is to be tried for the job in this pass.
    fn waits(&mut self, view: &mut Snapshot, id: &JobId, now: Duration) -> bool {
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
        if !self.at_limit(view, spec, now) {
            return false;
        }
        // No room is looked at for what may have none. Its turn is counted all the same.
        let (with_image, seats) = (
            self.prefers_image_locality(job, now),
            !spec.licences.is_empty(),
        );
        if seats {
            self.retry_by(now + SEATS_AGAIN);
        }
        if with_image && let Some(job) = self.jobs.get_mut(id) {
            job.locality_wait_since.get_or_insert(now);
        }
        // What was freed for it is not kept from others meanwhile.
        self.drop_spent(view, id, now);
        true
    }

    /// Not the least that could start of the job is within what its team may use.
    fn at_limit(&self, view: &Snapshot, spec: &JobSpec, now: Duration) -> bool {
        let least = match spec.kind {
            Kind::Gang => spec.tasks,
            _ => 1,
        };
        self.over_limit(view, spec, least, now)
    }

    /// The parked are tried again by then at the latest.
    pub(super) fn retry_by(&mut self, at: Duration) {
        let next = self.next_retry.unwrap_or(Duration::MAX);
        self.next_retry = Some(next.min(at));
    }

    /// Places all of a job that has room anywhere, or makes room for it.
    fn place_job(&mut self, view: &mut Snapshot, id: JobId, now: Duration) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.waiting_count() > 0) else {
            return;
        };
        let spec = job.spec.clone();
        if view.rules_out(&spec, !job.nominations.is_empty()) || self.at_limit(view, &spec, now) {
            if !spec.licences.is_empty() {
                self.retry_by(now + SEATS_AGAIN);
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
            // Seats may come back without anything else happening.
            if !spec.licences.is_empty() {
                self.retry_by(now + SEATS_AGAIN);
            }
            self.queue.park(id);
        }
    }

    fn view(&self, now: Duration) -> Snapshot {
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

    /// Fills the best rooms for an array's tasks, the best one first. A task that
    /// is placed changes the cost of its own room only, and makes that the better
    /// one for the next: the rooms need to be compared but once.
    ///
    /// With `with_image`, only rooms that have its image, or are about to.
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
            // One that failed tasks is the last resort, whatever its cache holds.
            let sound = machine.failures.is_empty() && !failed_on.contains(&room.id);
            sound && (machine.has_image(&spec.image) || machine.fetches(&spec.image))
        };
        let mut costs: Vec<(f64, usize)> = view
            .may_fit(spec)
            .filter(|room| {
                let room = &view.rooms[*room];
                !with_image || (spec.need.fits_in(&room.free) && has_image(room))
            })
            .filter_map(|room| Some((self.cost(view, room, spec, now)?, room)))
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
                if self.over_limit(view, spec, 1, now) {
                    return;
                }
                let attempt = self.next_attempt();
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                self.put(view, room, &machine, task, attempt, now);
            }
        }
    }

    /// Places an array's or a service's tasks.
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
            if self.over_limit(view, spec, 1, now) || self.jobs[id].tries_enough() {
                self.drop_spent(view, id, now);
                return false;
            }
            let task = TaskId {
                job: id.clone(),
                index,
            };
            if let Some(room) = self.best_fit(view, spec, now) {
                let machine = view.rooms[room].id.clone();
                let attempt = self.next_attempt();
                self.put(view, room, &machine, task, attempt, now);
                continue;
            }
            // Nobody makes room for one that fails everywhere.
            return !self.jobs[id].faulty() && self.make_room(view, id, spec, now);
        }
        true
    }

    fn put(
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

    fn over_limit(&self, view: &Snapshot, spec: &JobSpec, tasks: u32, now: Duration) -> bool {
        if self.seats_for(spec, now) < tasks {
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

    /// Whether the job may have a task there, room aside.
    fn allowed(&self, view: &Snapshot, room: &MachineCapacity, spec: &JobSpec) -> bool {
        spec.allows_type(&room.machine_type)
            && spec.allows_place(&room.zone, room.spot)
            && zone_allowed(&view.zones, &room.zone, spec)
    }

    /// Both checks: with the nominated tasks of equal or higher priority taken
    /// as running, and again without them.
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
        spec.need.fits_in(&left) && self.allowed(view, room, spec)
    }

    fn best_fit(&self, view: &Snapshot, spec: &JobSpec, now: Duration) -> Option<usize> {
        view.may_fit(spec)
            .filter_map(|room| Some((self.cost(view, room, spec, now)?, room)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, room)| room)
    }

    /// How good a room is for a task that fits there; the lowest is the best.
    fn cost(&self, view: &Snapshot, index: usize, spec: &JobSpec, now: Duration) -> Option<f64> {
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
        // Replicas of a service are better off apart.
        if spec.kind == Kind::Service {
            let beside = machine
                .tasks
                .iter()
                .filter(|((task, _), p)| task.job == spec.id && !p.exited())
                .count();
            let in_zone = view.zones.get(&machine.zone).copied().unwrap_or(0);
            cost += 4.0 * beside as f64 + f64::from(in_zone);
        }
        // An empty machine with images of services is left to them.
        if !machine.has_image(&spec.image) && !machine.busy() {
            cost += machine.image_value;
        }
        // What may be taken back is left to those who may use it.
        if spec.spot && !machine.spot {
            cost += self.dearer(machine) * spec.estimate_s;
        }
        // Work without an end keeps its machine: on a dear one it would keep much
        // that is not needed. Finite work leaves the cheap ones to it.
        let keep = self.keeping(machine);
        cost += match spec.kind {
            Kind::Service => 1.5 * keep,
            _ if machine.spot => 0.0,
            _ => 0.5 * (1.0 - keep),
        };
        // Full machines first, so that empty ones can be returned, and stay whole.
        Some(cost + 1.0 - machine.size.minus(&room.free).share_of(&machine.size))
    }

    /// What a machine costs more than one of its kind that may be taken back, as a share.
    fn dearer(&self, machine: &Machine) -> f64 {
        let price = |spot| self.price(&machine.machine_type, spot);
        (1.0 - price(true) / price(false).max(1e-9)).max(0.0)
    }

    /// What it costs to keep a machine, as a share of the dearest.
    fn keeping(&self, machine: &Machine) -> f64 {
        let dearest = self.types.iter().map(|t| t.price).fold(0.0, f64::max);
        self.price(&machine.machine_type, machine.spot) / dearest.max(1e-9)
    }

    /// Preemption for the waiting tasks of a job that hold no nomination yet.
    fn make_room(
        &mut self,
        view: &mut Snapshot,
        id: &JobId,
        spec: &Arc<JobSpec>,
        now: Duration,
    ) -> bool {
        self.drop_spent(view, id, now);
        if self.awaits_capacity(spec, DeferredAction::Preempt) {
            return false;
        }
        if self.has_time_before_preempting(id) {
            self.retry_by(now + SLACK_AGAIN);
            return false;
        }
        let waiting = self.jobs[id].waiting_count() as usize;
        while self.jobs[id].nominations.len() < waiting {
            let nominated = self.jobs[id].nominations.len() as u32;
            if self.over_limit(view, spec, nominated + 1, now) {
                break;
            }
            let Some(plan) = self.best_plan(view, spec) else {
                // Zones may rule out rooms for this job that others could take.
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

    /// A task whose nominated machine still has victims stopping does not
    /// preempt again; one whose victims are gone, and which still did not fit, may.
    fn drop_spent(&mut self, view: &mut Snapshot, id: &JobId, now: Duration) {
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
            // Its equals may have had their turn before it.
            self.retry_by(now + HELD_AGAIN);
        }
    }

    fn best_plan(&self, view: &Snapshot, spec: &JobSpec) -> Option<Plan> {
        let reclaims = self.within_guarantee(view, spec);
        let mut best: Option<Plan> = None;
        for (index, room) in view.rooms.iter().enumerate() {
            let most = room.most_free(spec.priority, reclaims);
            if !spec.need.fits_in(&most) || !self.allowed(view, room, spec) {
                continue;
            }
            if best
                .as_ref()
                .is_some_and(|b| self.loses(room, spec, reclaims, b))
            {
                continue;
            }
            let plan = self.plan(view, index, spec, reclaims);
            best = match (best, plan) {
                (Some(best), Some(plan)) if plan.better_than(&best) => Some(plan),
                (None, plan) => plan,
                (best, _) => best,
            };
        }
        best
    }

    /// Whatever the plan for this room is, it is worse than this one. Going through the
    /// tasks of each machine for each waiting service was most of a pass in a rush.
    fn loses(&self, room: &MachineCapacity, spec: &JobSpec, reclaims: bool, best: &Plan) -> bool {
        let least = room.least_highest(spec, reclaims);
        if best.breaches > 0 || least != best.highest {
            return best.breaches == 0 && least > best.highest;
        }
        let machine = &self.machines[&room.id];
        let by_fetch = self.fetch_time(machine, spec).total_cmp(&best.fetch);
        by_fetch
            .then_with(|| self.keeping_for(machine, spec).total_cmp(&best.keeping))
            .is_gt()
    }

    fn keeping_for(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        match spec.kind {
            Kind::Service => self.keeping(machine),
            _ => 0.0,
        }
    }

    /// Sets aside every task that may make room, then restores those that can stay.
    fn plan(&self, view: &Snapshot, index: usize, spec: &JobSpec, reclaims: bool) -> Option<Plan> {
        let room = &view.rooms[index];
        let machine = &self.machines[&room.id];
        let mut free = room.free;
        // Own nominations here are other tasks of the same job.
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
        // The newest first, so that a team loses those beyond its guarantee.
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
        // Budget-breaking ones are restored first, then by priority, then the oldest.
        let mut stopping: HashMap<JobId, (Replicas, u32)> = HashMap::new();
        let mut budgeted: Vec<_> = candidates
            .into_iter()
            .map(|(key, victim, since)| {
                let breaks = self.breaks_budget(victim, &mut stopping);
                (breaks, victim.priority, Reverse(since), key, victim)
            })
            .collect();
        budgeted.sort_by(|a, b| (b.0, b.1, b.2, a.3).cmp(&(a.0, a.1, a.2, b.3)));
        let mut plan = Plan {
            room: index,
            victims: Vec::new(),
            breaches: 0,
            highest: None,
            freed: Resources::default(),
            fetch: self.fetch_time(machine, spec),
            keeping: self.keeping_for(machine, spec),
        };
        for (breaks, priority, _, key, victim) in budgeted {
            let without = free.minus(&victim.need);
            if self.fits(view, room, spec, &without) {
                free = without;
                continue;
            }
            plan.breaches += usize::from(breaks);
            plan.highest = plan.highest.max(Some(priority));
            plan.freed = plan.freed.plus(&victim.need);
            plan.victims.push(key.clone());
        }
        Some(plan)
    }

    /// One more task of the job, beside all that its team runs or has room held
    /// for, is within the team's guarantee.
    fn within_guarantee(&self, view: &Snapshot, spec: &JobSpec) -> bool {
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

    /// Work that another team runs beyond its guarantee, what leaves it put
    /// aside. A higher priority is left alone: it would only preempt back.
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

    /// More of a service's tasks would be stopping than its disruption budget allows.
    fn breaks_budget(&self, victim: &JobSpec, more: &mut HashMap<JobId, (Replicas, u32)>) -> bool {
        if victim.kind != Kind::Service {
            return false;
        }
        let (standing, count) = more
            .entry(victim.id.clone())
            .or_insert_with(|| (self.standing(&victim.id), 0));
        *count += 1;
        self.ledger.is_breach(&victim.team, *standing, *count)
    }

    fn nominate(
        &mut self,
        view: &mut Snapshot,
        id: &JobId,
        spec: &JobSpec,
        plan: Plan,
        now: Duration,
    ) {
        let machine = view.rooms[plan.room].id.clone();
        info!(job = %id, machine = %machine, victims = plan.victims.len(), breaches = plan.breaches, "nominate");
        self.counts.nominations += 1;
        let grace = self.config.options.grace;
        for key in &plan.victims {
            info!(task = %key.0, machine = %machine, by = %id, "preempt");
            self.counts.victims += 1;
            if let Some(victim) = self.jobs.get(&key.0.job).map(|j| j.spec.clone()) {
                view.leaving.add(&victim.team, &victim.need);
            }
            self.stop(&machine, key, grace, now);
        }
        view.recount(plan.room, &self.machines[&machine]);
        self.jobs
            .get_mut(id)
            .expect("job at hand")
            .nominations
            .push(machine.clone());
        self.refresh_held(view, id);
        self.clear_lower(view, plan.room, spec);
    }

    /// A higher nomination that leaves no room clears the lower ones.
    fn clear_lower(&mut self, view: &mut Snapshot, index: usize, spec: &JobSpec) {
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
                // What is only being gathered in this pass is no nomination.
                && let Some(at) = entry.nominations.iter().position(|m| *m == machine.id)
            {
                entry.nominations.remove(at);
                info!(job = %job, machine = %machine.id, "nomination cleared");
                self.counts.cleared += 1;
                self.queue.push(&job, entry);
                self.refresh_held(view, &job);
            }
        }
    }
}

fn zone_allowed(zones: &BTreeMap<Arc<str>, u32>, zone: &Arc<str>, spec: &JobSpec) -> bool {
    if spec.one_zone && zones.iter().any(|(z, n)| z != zone && *n > 0) {
        return false;
    }
    !spec.spread || zones.get(zone).copied().unwrap_or(0) < spec.zone_limit()
}
