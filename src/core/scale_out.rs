//! Plans new machines for waiting work that running and booting machines won't take soon.

pub mod arrivals;
mod plan;
mod upcoming_capacity;

use std::{collections::HashMap, sync::Arc, time::Duration};

use tracing::info;

use plan::{ScaleOutOrder, ScaleOutPlan};
use upcoming_capacity::UpcomingCapacity;

use super::{
    capacity_snapshot::jobs_on_unresolved_machines,
    cluster::{ClusterState, Job},
    job::{JobId, JobSpec, Kind, Resources},
    machine::{MachineKind, MachineState},
    provisioning::ProvisioningRequest,
    reconciliation::DeferredAction,
};

/// Waiting tasks of one job that need additional capacity.
struct Demand {
    spec: Arc<JobSpec>,
    tasks: u32,
}

impl ClusterState {
    /// Requests machines for waiting work that running and booting machines won't take soon.
    pub(super) fn plan_scale_out(&mut self, now: Duration) {
        self.provisioning.expire_refusals(now);
        if self.may_have_unknown_machines(now) || self.starts_rejected() {
            return;
        }
        if !self.provisioning.may_request() {
            return;
        }
        for order in self.plan_orders(now) {
            self.submit_order(order);
        }
    }

    /// Splits an order into provisioning requests of at most the allowed size.
    fn submit_order(&mut self, order: ScaleOutOrder) {
        let ScaleOutOrder { kind, job, .. } = order;
        let MachineKind { zone, spot, .. } = &kind;
        let mut wanted = order.count;
        while wanted > 0 && self.provisioning.may_request() {
            let count = wanted.min(MAX_MACHINES_PER_REQUEST);
            wanted -= count;
            let request = ProvisioningRequest {
                id: String::new(),
                machine_type: kind.machine_type.clone(),
                zone: zone.clone(),
                spot: *spot,
                count,
            };
            let request = self.provisioning.open_request(request);
            info!(request, kind = %kind.machine_type, %zone, spot, count, %job, "requesting machines");
        }
    }

    /// Plans machines by kind for all waiting work, to need as few requests as possible: with
    /// one request per job, the request rate delayed the scale-out of an empty fleet.
    fn plan_orders(&mut self, now: Duration) -> Vec<ScaleOutOrder> {
        let mut plan = ScaleOutPlan::default();
        // A gang bound to one zone may wait while idle machines have capacity for a part of it.
        let mut idle = UpcomingCapacity::default();
        for machine in self.machines.values() {
            plan.count_machines(&machine.zone, 1);
            if machine.state == MachineState::Booting {
                plan.upcoming.add(&machine.kind(), machine.size, 1);
            } else if !machine.busy() && self.usable(machine, now) {
                idle.add(&machine.kind(), machine.size, 1);
            }
        }
        for request in self.provisioning.open_requests() {
            let size = self.size(&request.machine_type);
            plan.upcoming.add(&request.kind(), size, request.count);
        }
        for demand in self.demands(now) {
            self.plan_demand(demand, &mut plan, &mut idle);
        }
        self.plan_expected_arrivals(now, &mut plan);
        plan.into_orders()
    }

    /// Orders machines for the tasks that neither upcoming nor idle capacity takes.
    fn plan_demand(
        &mut self,
        mut demand: Demand,
        plan: &mut ScaleOutPlan,
        idle: &mut UpcomingCapacity,
    ) {
        let spec = demand.spec.clone();
        if !spec.one_zone {
            demand.tasks = plan.upcoming.fill(&spec, None, demand.tasks);
        } else if let Some(zone) = zone_with_capacity(&spec, demand.tasks, &plan.upcoming, idle) {
            let left = idle.fill(&spec, Some(&zone), demand.tasks);
            demand.tasks = plan.upcoming.fill(&spec, Some(&zone), left);
        }
        if demand.tasks == 0 || self.awaits_capacity(&spec, DeferredAction::Provision) {
            return;
        }
        while demand.tasks > 0 {
            let slots_in = |zone: &str| match spec.one_zone {
                true => plan.upcoming.slots(&spec, Some(zone)) + idle.slots(&spec, Some(zone)),
                false => 0,
            };
            let Some((kind, count)) = self.choose_machine_kind(&demand, slots_in, plan) else {
                break;
            };
            plan.order_machines(&kind, self.size(&kind.machine_type), count, &spec);
            if spec.one_zone {
                demand.tasks = idle.fill(&spec, Some(&kind.zone), demand.tasks);
                demand.tasks = plan.upcoming.fill(&spec, Some(&kind.zone), demand.tasks);
            } else {
                demand.tasks = plan.upcoming.fill(&spec, None, demand.tasks);
            }
        }
    }

    /// Orders machines for the expected arrivals of classes whose objective is shorter than
    /// the boot of a machine requested on arrival.
    fn plan_expected_arrivals(&self, now: Duration, plan: &mut ScaleOutPlan) {
        let expected = self.expected_arrivals();
        if expected.is_empty() {
            return;
        }
        for machine in self.machines.values().filter(|m| self.usable(m, now)) {
            let free = machine.free();
            if expected.iter().any(|(spec, _)| spec.need.fits_in(&free)) {
                plan.upcoming.add(&machine.kind(), free, 1);
            }
        }
        let mut remaining = self.remaining_limits();
        for (spec, mut tasks) in expected {
            if let Some(left) = remaining.get_mut(&spec.team) {
                tasks = tasks.min(spec.need.count_fitting(left));
                *left = left.plus_scaled(&spec.need, -f64::from(tasks));
            }
            tasks = plan.upcoming.fill(&spec, None, tasks);
            while tasks > 0 {
                let demand = Demand {
                    spec: spec.clone(),
                    tasks: tasks
                        .min(spec.need.count_fitting(&self.largest_size(&spec)) * MAX_ZONE_BATCH),
                };
                let Some((kind, count)) = self.choose_machine_kind(&demand, |_| 0, plan) else {
                    break;
                };
                plan.order_machines(&kind, self.size(&kind.machine_type), count, &spec);
                tasks = plan.upcoming.fill(&spec, None, tasks);
            }
        }
    }

    /// Returns the size of the largest machine type that the job may use.
    fn largest_size(&self, spec: &JobSpec) -> Resources {
        let types = self.types.iter().filter(|t| spec.allows_type(&t.name));
        let largest = types.max_by_key(|t| spec.need.count_fitting(&t.size));
        largest.map(|t| t.size).unwrap_or_default()
    }

    /// Returns the expected arrivals by class during the boot of a machine, for the classes that
    /// can't wait for one.
    pub(super) fn expected_arrivals(&self) -> Vec<(Arc<JobSpec>, u32)> {
        let within = |spec: &JobSpec| match self.wait_budget_s(spec) > 0.0 {
            true => Duration::ZERO,
            false => crate::settings::seconds(self.min_boot_s(spec)),
        };
        self.arrivals.expected(self.wall_ms, within)
    }

    fn min_boot_s(&self, spec: &JobSpec) -> f64 {
        let types = self.types.iter().filter(|t| spec.allows_type(&t.name));
        let min = types.map(|t| t.boot_s).reduce(f64::min);
        min.unwrap_or(0.0)
    }

    fn size(&self, machine_type: &str) -> Resources {
        self.types
            .iter()
            .find(|t| &*t.name == machine_type)
            .map(|t| t.size)
            .unwrap_or_default()
    }

    /// Returns the waiting tasks by job, the highest priority first. Of arrays, only the tasks that
    /// the machines that are up won't have completed by the time new ones have booted.
    fn demands(&self, now: Duration) -> Vec<Demand> {
        let batch_capacity = self.batch_capacity();
        let unresolved = jobs_on_unresolved_machines(&self.machines);
        let may_run_already =
            |id: &JobId, job: &Job| job.version < self.claim && unresolved.contains(id);
        let mut jobs: Vec<_> = self
            .jobs
            .iter()
            .filter(|(id, j)| j.retry_at <= now && !j.faulty() && !may_run_already(id, j))
            .map(|(_, j)| j)
            .filter(|j| j.waiting_count() as usize > j.nominations.len())
            .collect();
        jobs.sort_by_key(|j| (std::cmp::Reverse(j.spec.priority), j.ready_ms, j.version));
        let mut backlog = 0.0;
        let mut remaining = self.remaining_limits();
        let mut demands = Vec::new();
        for job in jobs {
            let spec = &job.spec;
            let waiting = job.waiting_count() - job.nominations.len() as u32;
            let mut tasks = waiting;
            if spec.kind == Kind::Array {
                let share = spec.need.dominant_share_of(&batch_capacity);
                if share.is_finite() {
                    let work = share * spec.estimate_s.max(1.0) * f64::from(waiting);
                    // Work completed while a new machine boots needs no new machine.
                    let excess = (backlog + work - self.wait_budget_s(spec)).max(0.0);
                    backlog += work;
                    let horizon = SCALE_OUT_HORIZON.as_secs_f64().max(spec.estimate_s);
                    let wanted = excess / (share.max(1e-9) * horizon);
                    tasks = waiting.min(wanted.ceil() as u32);
                }
            }
            // A machine for tasks beyond the team's limit or licence seats would stay idle.
            tasks = tasks.min(self.tasks_within_seats(spec, now));
            if let Some(left) = remaining.get_mut(&spec.team) {
                tasks = tasks.min(spec.need.count_fitting(left));
                *left = left.plus_scaled(&spec.need, -f64::from(tasks));
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

    /// Returns the seconds of work that may be queued for the machines that are up before new ones
    /// are requested: zero if the wait objective is shorter than boot and image fetch.
    fn wait_budget_s(&self, spec: &JobSpec) -> f64 {
        let objectives = self.config.objectives.iter();
        let objectives = objectives.filter(|o| o.kind == "wait" && *o.class == *spec.class);
        let tightest = objectives.map(|o| o.within_s).fold(f64::INFINITY, f64::min);
        let left = tightest - self.min_boot_s(spec) - self.uncontended_fetch_secs(spec);
        left.clamp(0.0, SCALE_OUT_HORIZON.as_secs_f64())
    }

    /// Returns the resources that teams with a limit may still use.
    fn remaining_limits(&self) -> HashMap<Arc<str>, Resources> {
        let limit_or_infinity = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        let teams = self.config.teams.iter();
        let mut remaining: HashMap<Arc<str>, Resources> = teams
            .map(|(name, team)| {
                let limit = Resources {
                    cpus: limit_or_infinity(team.cpus_max),
                    gpus: limit_or_infinity(team.gpus_max),
                    memory_gb: f64::INFINITY,
                };
                (name.clone(), limit)
            })
            .collect();
        let tasks = self.machines.values().flat_map(|m| m.tasks.values());
        for placement in tasks.filter(|p| !p.exited()) {
            if let Some(spec) = &placement.spec
                && let Some(left) = remaining.get_mut(&spec.team)
            {
                *left = left.minus(&placement.need);
            }
        }
        remaining
    }

    /// Returns the cheapest machine kind for the tasks, among those that the cloud has not refused,
    /// and the number of machines. `existing_slots` returns the number of tasks that already fit in
    /// a zone.
    fn choose_machine_kind(
        &self,
        demand: &Demand,
        existing_slots: impl Fn(&str) -> u32,
        plan: &ScaleOutPlan,
    ) -> Option<(MachineKind, u32)> {
        let spec = &demand.spec;
        let mut best: Option<(f64, MachineKind, u32)> = None;
        for t in self.types.iter().filter(|t| spec.allows_type(&t.name)) {
            let slots = spec.need.count_fitting(&t.size);
            if slots == 0 {
                continue;
            }
            for zone in &t.zones {
                let tasks = demand.tasks.saturating_sub(existing_slots(zone)).max(1);
                for spot in [true, false] {
                    let kind = MachineKind {
                        machine_type: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !spec.allows_placement(zone, spot)
                        || self.provisioning.is_refused(&kind)
                        || !self.is_zone_reachable(zone)
                    {
                        continue;
                    }
                    // A gang runs only as a whole.
                    let max_count = match spec.one_zone {
                        true => u32::MAX,
                        false => MAX_ZONE_BATCH,
                    };
                    let count = tasks.div_ceil(slots).min(max_count);
                    let price = if spot { t.spot_price } else { t.price };
                    let placed = match spec.one_zone {
                        true => demand.tasks,
                        false => tasks.min(slots * count),
                    };
                    let cost = price * f64::from(count) / f64::from(placed)
                        * (1.0 + t.boot_s / 60.0)
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

/// Returns a zone that has capacity for all tasks of a job.
fn zone_with_capacity(
    spec: &JobSpec,
    tasks: u32,
    upcoming: &UpcomingCapacity,
    idle: &UpcomingCapacity,
) -> Option<Arc<str>> {
    let zones = upcoming.zones().chain(idle.zones());
    let has_capacity = |zone: &&Arc<str>| {
        let zone = Some(&***zone);
        idle.slots(spec, zone) + upcoming.slots(spec, zone) >= tasks
    };
    zones
        .min_by_key(|zone| !has_capacity(zone))
        .filter(has_capacity)
        .cloned()
}

/// Maximum number of machines ordered in one zone at a time, to spread a job over zones.
const MAX_ZONE_BATCH: u32 = 16;
/// Maximum number of machines in one provisioning request, by the protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Waiting work that the existing machines complete within this time needs no new ones.
const SCALE_OUT_HORIZON: Duration = Duration::from_secs(20);
