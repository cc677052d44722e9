//! What is to be rented: for waiting work that neither running nor booting machines take.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tracing::info;

use super::{
    fleet::Rental,
    job::{JobId, JobSpec, Kind, Resources},
    leader::{Job, Leader},
    machine::Standing,
    room::listed_by_silent,
    squaring::Order,
};

/// Waiting tasks of one job that need room that is not there.
struct Demand {
    spec: Arc<JobSpec>,
    tasks: u32,
}

impl Leader {
    /// Rents for waiting work that neither running nor booting machines will take soon.
    pub(super) fn plan_rentals(&mut self, now: Duration) {
        self.fleet.forget_refusals(now);
        if self.unlisted(now) {
            return;
        }
        while self.fleet.may_order() && self.plan_rental(now) {}
    }

    fn plan_rental(&mut self, now: Duration) -> bool {
        let mut rented = false;
        let mut booting: Vec<(Arc<str>, Arc<str>, bool, Resources)> = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Booting)
            .map(|m| (m.machine_type.clone(), m.zone.clone(), m.spot, m.size))
            .collect();
        for r in self.fleet.ordered() {
            let size = self.size(&r.machine_type);
            for _ in 0..r.count {
                booting.push((r.machine_type.clone(), r.zone.clone(), r.spot, size));
            }
        }
        let mut demands = self.demands(now);
        for demand in &mut demands {
            for (kind, zone, spot, room) in &mut booting {
                let spec = &demand.spec;
                if demand.tasks > 0 && spec.allows_type(kind) && spec.allows_place(zone, *spot) {
                    let n = spec.need.times_in(room).min(demand.tasks);
                    *room = room.plus_times(&spec.need, -f64::from(n));
                    demand.tasks -= n;
                }
            }
        }
        for demand in demands.iter().filter(|d| d.tasks > 0) {
            if self.room_may_come(&demand.spec, Order::Rent) {
                continue;
            }
            let Some(rental) = self.choose_rental(&demand.spec, demand.tasks) else {
                continue;
            };
            let kind = rental.machine_type.clone();
            let (zone, spot, count) = (rental.zone.clone(), rental.spot, rental.count);
            let request = self.fleet.order(rental);
            info!(request, %kind, %zone, spot, count, job = %demand.spec.id, "rent");
            rented = true;
            // The next decision counts what this one brings.
            break;
        }
        rented
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
        let up: f64 = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Up && m.notice_at.is_none())
            .map(|m| m.size.cpus)
            .sum();
        let silent = listed_by_silent(&self.machines);
        let held = |id: &JobId, job: &Job| job.version < self.claim && silent.contains(id);
        let mut jobs: Vec<_> = self
            .jobs
            .iter()
            .filter(|(id, j)| j.retry_at <= now && !j.faulty() && !held(id, j))
            .map(|(_, j)| j)
            .filter(|j| j.waiting_count() as usize > j.nominations.len())
            .collect();
        jobs.sort_by_key(|j| (std::cmp::Reverse(j.spec.priority), j.accepted_ms, j.version));
        let mut ahead_cpu_s = 0.0;
        let mut left = self.limits_left();
        let mut demands = Vec::new();
        for job in jobs {
            let spec = &job.spec;
            let waiting = job.waiting_count() - job.nominations.len() as u32;
            let mut tasks = waiting;
            if spec.kind == Kind::Array {
                let per_task = spec.need.cpus * spec.estimate_s.max(1.0);
                // What is cleared while a new machine boots needs no machine.
                let clears = up * RENT_HORIZON.as_secs_f64();
                let over = (ahead_cpu_s + per_task * f64::from(waiting) - clears).max(0.0);
                ahead_cpu_s += per_task * f64::from(waiting);
                let horizon = RENT_HORIZON.as_secs_f64().max(spec.estimate_s);
                let wanted = over / (spec.need.cpus.max(0.01) * horizon);
                tasks = waiting.min(wanted.ceil() as u32);
            }
            // A machine for what the team may not run, or has no seats for, would stand
            // idle.
            tasks = tasks.min(self.seats_for(spec, now));
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

    /// The cheapest way to hold that many tasks, where the cloud has not refused it.
    fn choose_rental(&self, spec: &JobSpec, tasks: u32) -> Option<Rental> {
        let mut in_zone: HashMap<&str, usize> = HashMap::new();
        for machine in self.machines.values() {
            *in_zone.entry(&machine.zone).or_insert(0) += 1;
        }
        let mut best: Option<(f64, Rental)> = None;
        for t in self.types.iter().filter(|t| spec.allows_type(&t.name)) {
            let slots = spec.need.times_in(&t.size);
            if slots == 0 {
                continue;
            }
            for zone in &t.zones {
                for spot in [true, false] {
                    let kind = (t.name.clone(), zone.clone(), spot);
                    if !spec.allows_place(zone, spot)
                        || self.fleet.refuses(&kind)
                        || !self.reaches(zone)
                    {
                        continue;
                    }
                    let count = tasks.div_ceil(slots).min(RENT_MOST);
                    let price = if spot { t.spot_price } else { t.price };
                    let cost = price * f64::from(count) / f64::from(tasks.min(slots * count))
                        * (1.0 + t.boot_s / 60.0)
                        + 1e-4 * *in_zone.get(&**zone).unwrap_or(&0) as f64;
                    if best.as_ref().is_none_or(|(c, _)| cost < *c) {
                        let rental = Rental {
                            request: String::new(),
                            machine_type: t.name.clone(),
                            zone: zone.clone(),
                            spot,
                            count,
                        };
                        best = Some((cost, rental));
                    }
                }
            }
        }
        best.map(|(_, rental)| rental)
    }
}

/// Machines that one request asks for. With few of them calls are what a rush waits
/// for, with many all of a job's machines would stand in one zone.
const RENT_MOST: u32 = 16;
/// Waiting work that the machines do within this time needs no new ones.
const RENT_HORIZON: Duration = Duration::from_secs(20);
