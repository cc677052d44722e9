//! What is to be rented: for waiting work that neither running nor booting machines take.

pub mod arrivals;
mod plan;
mod upcoming_capacity;

use std::{collections::HashMap, sync::Arc, time::Duration};

use tracing::info;

use plan::{ScaleOutOrder, ScaleOutPlan};
use upcoming_capacity::UpcomingCapacity;

use super::{
    capacity_snapshot::jobs_on_unresolved,
    cluster::{ClusterState, Job},
    job::{JobId, JobSpec, Kind, Resources},
    machine::{MachineKind, Standing},
    provisioning::ProvisioningRequest,
    reconciliation::DeferredAction,
};

/// Waiting tasks of one job that need room that is not there.
struct Demand {
    spec: Arc<JobSpec>,
    tasks: u32,
}

impl ClusterState {
    /// Rents for waiting work that neither running nor booting machines will take soon.
    pub(super) fn plan_scale_out(&mut self, now: Duration) {
        self.provisioning.forget_refusals(now);
        if self.unlisted(now) || self.starts_rejected() {
            return;
        }
        if !self.provisioning.may_request() {
            return;
        }
        for order in self.plan_orders(now) {
            self.submit_order(order);
        }
    }

    /// Hands an order to the cloud in calls of as many machines as one call may ask for.
    fn submit_order(&mut self, order: ScaleOutOrder) {
        let ScaleOutOrder { kind, job, .. } = order;
        let MachineKind { zone, spot, .. } = &kind;
        let mut wanted = order.count;
        while wanted > 0 && self.provisioning.may_request() {
            let count = wanted.min(CALL_MOST);
            wanted -= count;
            let rental = ProvisioningRequest {
                request: String::new(),
                machine_type: kind.machine_type.clone(),
                zone: zone.clone(),
                spot: *spot,
                count,
            };
            let request = self.provisioning.open_request(rental);
            info!(request, kind = %kind.machine_type, %zone, spot, count, %job, "scale out");
        }
    }

    /// Machines by kind for all that waits, in as few calls as the cloud takes: one call
    /// for each job kept a fleet that begins with nothing waiting for calls.
    fn plan_orders(&mut self, now: Duration) -> Vec<ScaleOutOrder> {
        let mut plan = ScaleOutPlan::default();
        // Gangs that have to stay in one zone may wait though there is room for a part.
        let mut idle = UpcomingCapacity::default();
        for machine in self.machines.values() {
            plan.count_machines(&machine.zone, 1);
            if machine.standing == Standing::Booting {
                plan.coming.add(&machine.kind(), machine.size, 1);
            } else if !machine.busy() && self.usable(machine, now) {
                idle.add(&machine.kind(), machine.size, 1);
            }
        }
        for rental in self.provisioning.open_requests() {
            let size = self.size(&rental.machine_type);
            plan.coming.add(&rental.kind(), size, rental.count);
        }
        for demand in self.demands(now) {
            self.plan_demand(demand, &mut plan, &mut idle);
        }
        self.order_ahead(now, &mut plan);
        plan.into_orders()
    }

    /// Orders machines for the tasks that neither coming nor idle room takes.
    fn plan_demand(
        &mut self,
        mut demand: Demand,
        plan: &mut ScaleOutPlan,
        idle: &mut UpcomingCapacity,
    ) {
        let spec = demand.spec.clone();
        if !spec.one_zone {
            demand.tasks = plan.coming.fill(&spec, None, demand.tasks);
        } else if let Some(zone) = whole_in(&spec, demand.tasks, &plan.coming, idle) {
            let left = idle.fill(&spec, Some(&zone), demand.tasks);
            demand.tasks = plan.coming.fill(&spec, Some(&zone), left);
        }
        if demand.tasks == 0 || self.awaits_capacity(&spec, DeferredAction::Provision) {
            return;
        }
        while demand.tasks > 0 {
            let room_in = |zone: &str| match spec.one_zone {
                true => plan.coming.takes(&spec, Some(zone)) + idle.takes(&spec, Some(zone)),
                false => 0,
            };
            let Some((kind, count)) = self.choose_machine_kind(&demand, room_in, plan) else {
                break;
            };
            plan.order(&kind, self.size(&kind.machine_type), count, &spec);
            if spec.one_zone {
                demand.tasks = idle.fill(&spec, Some(&kind.zone), demand.tasks);
                demand.tasks = plan.coming.fill(&spec, Some(&kind.zone), demand.tasks);
            } else {
                demand.tasks = plan.coming.fill(&spec, None, demand.tasks);
            }
        }
    }

    /// Asks for room for what usually comes until a machine has booted, where that is to
    /// start sooner than it could on a machine that is asked for then.
    fn order_ahead(&self, now: Duration, plan: &mut ScaleOutPlan) {
        let expected = self.expected();
        if expected.is_empty() {
            return;
        }
        for machine in self.machines.values().filter(|m| self.usable(m, now)) {
            let free = machine.free();
            if expected.iter().any(|(spec, _)| spec.need.fits_in(&free)) {
                plan.coming.add(&machine.kind(), free, 1);
            }
        }
        let mut left = self.limits_left();
        for (spec, mut tasks) in expected {
            if let Some(left) = left.get_mut(&spec.team) {
                tasks = tasks.min(spec.need.times_in(left));
                *left = left.plus_times(&spec.need, -f64::from(tasks));
            }
            tasks = plan.coming.fill(&spec, None, tasks);
            while tasks > 0 {
                let demand = Demand {
                    spec: spec.clone(),
                    tasks: tasks.min(spec.need.times_in(&self.largest(&spec)) * ZONE_BATCH_MOST),
                };
                let Some((kind, count)) = self.choose_machine_kind(&demand, |_| 0, plan) else {
                    break;
                };
                plan.order(&kind, self.size(&kind.machine_type), count, &spec);
                tasks = plan.coming.fill(&spec, None, tasks);
            }
        }
    }

    /// The largest machine that the job may use.
    fn largest(&self, spec: &JobSpec) -> Resources {
        let types = self.types.iter().filter(|t| spec.allows_type(&t.name));
        let largest = types.max_by_key(|t| spec.need.times_in(&t.size));
        largest.map(|t| t.size).unwrap_or_default()
    }

    /// Tasks by class that usually come until a machine has booted, of those classes that
    /// can't wait for one.
    pub(super) fn expected(&self) -> Vec<(Arc<JobSpec>, u32)> {
        let within = |spec: &JobSpec| match self.patience(spec) > 0.0 {
            true => Duration::ZERO,
            false => crate::settings::seconds(self.boot_s(spec)),
        };
        self.arrivals.expected(self.wall_ms, within)
    }

    fn boot_s(&self, spec: &JobSpec) -> f64 {
        let types = self.types.iter().filter(|t| spec.allows_type(&t.name));
        let least = types.map(|t| t.boot_s).reduce(f64::min);
        least.unwrap_or(0.0)
    }

    fn size(&self, machine_type: &str) -> Resources {
        self.types
            .iter()
            .find(|t| &*t.name == machine_type)
            .map(|t| t.size)
            .unwrap_or_default()
    }

    /// Waiting tasks by job, the most important first. Of finite work only what
    /// the machines that are up will not have done by the time new ones are.
    fn demands(&self, now: Duration) -> Vec<Demand> {
        let finite = self.batch_capacity();
        let silent = jobs_on_unresolved(&self.machines);
        let held = |id: &JobId, job: &Job| job.version < self.claim && silent.contains(id);
        let mut jobs: Vec<_> = self
            .jobs
            .iter()
            .filter(|(id, j)| j.retry_at <= now && !j.faulty() && !held(id, j))
            .map(|(_, j)| j)
            .filter(|j| j.waiting_count() as usize > j.nominations.len())
            .collect();
        jobs.sort_by_key(|j| (std::cmp::Reverse(j.spec.priority), j.ready_ms, j.version));
        let mut ahead = 0.0;
        let mut left = self.limits_left();
        let mut demands = Vec::new();
        for job in jobs {
            let spec = &job.spec;
            let waiting = job.waiting_count() - job.nominations.len() as u32;
            let mut tasks = waiting;
            if spec.kind == Kind::Array {
                let share = spec.need.share_of(&finite);
                if share.is_finite() {
                    let work = share * spec.estimate_s.max(1.0) * f64::from(waiting);
                    // What is cleared while a new machine boots needs no machine.
                    let over = (ahead + work - self.patience(spec)).max(0.0);
                    ahead += work;
                    let horizon = SCALE_OUT_HORIZON.as_secs_f64().max(spec.estimate_s);
                    let wanted = over / (share.max(1e-9) * horizon);
                    tasks = waiting.min(wanted.ceil() as u32);
                }
            }
            // A machine for what the team may not run, or has no seats for, would stand
            // idle.
            tasks = tasks.min(self.tasks_within_seats(spec, now));
            if let Some(left) = left.get_mut(&spec.team) {
                tasks = tasks.min(spec.need.times_in(left));
                *left = left.plus_times(&spec.need, -f64::from(tasks));
            }
            if tasks > 0 {
                demands.push(Demand {
                    spec: spec.clone(),
                    tasks,
                });
            }
        }
        demands
    }

    /// For how long, in seconds, the machines that are up may go on clearing a job's tasks
    /// before more are asked for. Where they are to start sooner than a new machine has
    /// booted and fetched the image, every moment counts.
    fn patience(&self, spec: &JobSpec) -> f64 {
        let aims = self.config.objectives.iter();
        let aims = aims.filter(|o| o.kind == "wait" && *o.class == *spec.class);
        let tightest = aims.map(|o| o.within_s).fold(f64::INFINITY, f64::min);
        let left = tightest - self.boot_s(spec) - self.fetch_alone(spec);
        left.clamp(0.0, SCALE_OUT_HORIZON.as_secs_f64())
    }

    /// What teams with a limit may still run.
    fn limits_left(&self) -> HashMap<Arc<str>, Resources> {
        let most = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        let teams = self.config.teams.iter();
        let mut left: HashMap<Arc<str>, Resources> = teams
            .map(|(name, team)| {
                let limit = Resources {
                    cpus: most(team.cpus_max),
                    gpus: most(team.gpus_max),
                    memory_gb: f64::INFINITY,
                };
                (name.clone(), limit)
            })
            .collect();
        let tasks = self.machines.values().flat_map(|m| m.tasks.values());
        for placement in tasks.filter(|p| !p.exited()) {
            if let Some(spec) = &placement.spec
                && let Some(left) = left.get_mut(&spec.team)
            {
                *left = left.minus(&placement.need);
            }
        }
        left
    }

    /// The cheapest way to hold the tasks, where the cloud has not refused it: the kind of
    /// machine, and how many. `there` tells how many tasks a zone has room for already.
    fn choose_machine_kind(
        &self,
        demand: &Demand,
        there: impl Fn(&str) -> u32,
        plan: &ScaleOutPlan,
    ) -> Option<(MachineKind, u32)> {
        let spec = &demand.spec;
        let mut best: Option<(f64, MachineKind, u32)> = None;
        for t in self.types.iter().filter(|t| spec.allows_type(&t.name)) {
            let slots = spec.need.times_in(&t.size);
            if slots == 0 {
                continue;
            }
            for zone in &t.zones {
                let tasks = demand.tasks.saturating_sub(there(zone)).max(1);
                for spot in [true, false] {
                    let kind = MachineKind {
                        machine_type: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !spec.allows_place(zone, spot)
                        || self.provisioning.is_refused(&kind)
                        || !self.is_zone_reachable(zone)
                    {
                        continue;
                    }
                    // A gang is of use only whole.
                    let most = match spec.one_zone {
                        true => u32::MAX,
                        false => ZONE_BATCH_MOST,
                    };
                    let count = tasks.div_ceil(slots).min(most);
                    let price = if spot { t.spot_price } else { t.price };
                    let held = match spec.one_zone {
                        true => demand.tasks,
                        false => tasks.min(slots * count),
                    };
                    let cost = price * f64::from(count) / f64::from(held) * (1.0 + t.boot_s / 60.0)
                        + 1e-4 * plan.machines_in(zone) as f64;
                    if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                        best = Some((cost, kind, count));
                    }
                }
            }
        }
        best.map(|(_, kind, count)| (kind, count))
    }
}

/// A zone where all of a job's tasks find room.
fn whole_in(
    spec: &JobSpec,
    tasks: u32,
    ahead: &UpcomingCapacity,
    idle: &UpcomingCapacity,
) -> Option<Arc<str>> {
    let zones = ahead.zones().chain(idle.zones());
    let whole = |zone: &&Arc<str>| {
        let zone = Some(&***zone);
        idle.takes(spec, zone) + ahead.takes(spec, zone) >= tasks
    };
    zones.min_by_key(|zone| !whole(zone)).filter(whole).cloned()
}

/// Machines of one zone that a job's tasks ask for at a time: more would put all of them
/// there.
const ZONE_BATCH_MOST: u32 = 16;
/// Machines that one call may ask for, by the protocol.
const CALL_MOST: u32 = 50;
/// Waiting work that the machines do within this time needs no new ones.
const SCALE_OUT_HORIZON: Duration = Duration::from_secs(20);
