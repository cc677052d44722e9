//! No job waits while a machine that fits has room, and teams at their limits keep them through a
//! change of the leader. Measured at the workers.

use std::{collections::BTreeMap, time::Duration};

use kiteyard::core::job::{JobId, JobSpec, Kind, TaskId};

use crate::{
    faults::Fault,
    seeds,
    sim::{CPUS, Defect, Job, MEDIUM, Scale, World, ZONES},
};

/// Maximum wait in leases: the protocol allows 90 s for a lease of 15 s.
const MAX_WAIT_LEASES: u32 = 6;
/// Seconds in which the faults are active and team limits bind.
const FAULT_SECONDS: std::ops::Range<u64> = 20..40;
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks for how long each machine has continuously had room for a waiting task of each job.
#[derive(Default)]
pub struct Liveness {
    /// Time by which all faults have ended; waiting jobs are not checked if it is not set.
    pub check_from: Option<Duration>,
    next_check: Duration,
    room_since: BTreeMap<JobId, BTreeMap<String, Duration>>,
    /// Number of checks during the faults in which a team had less left than one of its waiting
    /// tasks needs.
    pub at_limit: BTreeMap<String, u64>,
}

/// Free capacity of a machine, as its worker knows it.
struct FreeCapacity {
    machine: String,
    zone: usize,
    spot: bool,
    free: f64,
}

impl World {
    pub fn check_waiting_jobs(&mut self) {
        let check_from = self.liveness.check_from.unwrap_or(Duration::MAX);
        if self.now < self.liveness.next_check {
            return;
        }
        self.liveness.next_check = self.now + CHECK_INTERVAL;
        self.count_teams_at_limit();
        if self.now < check_from {
            return;
        }
        let capacities = self.free_capacity();
        for number in 0..self.jobs.len() {
            let id = self.jobs[number].spec.id.clone();
            let fitting_capacities = match self.has_waiting_task(&self.jobs[number]) {
                true => self.fitting_machines(&self.jobs[number].spec, &capacities),
                false => Vec::new(),
            };
            self.check_left_waiting(id, number, &fitting_capacities);
        }
    }

    /// Records since when the machines have had room, and reports a violation if enough of them
    /// have had it for too long.
    fn check_left_waiting(
        &mut self,
        id: JobId,
        number: usize,
        fitting_capacities: &[&FreeCapacity],
    ) {
        let before = self.liveness.room_since.remove(&id).unwrap_or_default();
        let since =
            |capacity: &&FreeCapacity| before.get(&capacity.machine).copied().unwrap_or(self.now);
        let updated: BTreeMap<String, Duration> = fitting_capacities
            .iter()
            .map(|c| (c.machine.clone(), since(c)))
            .collect();
        let max_wait = self.scale.lease * MAX_WAIT_LEASES;
        let overdue = fitting_capacities
            .iter()
            .filter(|c| self.now > since(c) + max_wait);
        let overdue: Vec<&FreeCapacity> = overdue.copied().collect();
        let spec = &self.jobs[number].spec;
        if fits_minimum(spec, &overdue) {
            let detail = format!("{id} {:?} could run on {}", spec.kind, overdue[0].machine);
            self.observer
                .report_violation(self.now, "left_waiting", detail);
        }
        self.liveness.room_since.insert(id, updated);
    }

    /// Whether the job is accepted and unfinished, and one of its tasks is on no machine. Excludes
    /// jobs that fail wherever they run, since they are retried ever less often.
    fn has_waiting_task(&self, job: &Job) -> bool {
        let is_cancelled = job.withdraw_at.is_some_and(|at| self.now > at);
        if !job.accepted || job.ended || job.faulty || is_cancelled {
            return false;
        }
        if !self.observer.may_start(&job.spec) {
            return false;
        }
        let placed_zones = self.task_zones(&job.spec).len();
        let done = (0..job.spec.tasks).filter(|index| self.has_result(&job.spec, *index));
        placed_zones + done.count() < job.spec.tasks as usize
    }

    fn has_result(&self, spec: &JobSpec, index: u32) -> bool {
        let job = spec.id.clone();
        self.completed_tasks.contains(&TaskId { job, index })
    }

    /// Zones of the job's tasks on machines, with or without their image.
    fn task_zones(&self, spec: &JobSpec) -> Vec<usize> {
        let zones = self.workers.values().flat_map(|worker| {
            let tasks = worker.tasks.iter();
            let live = tasks.filter(|((task, _), t)| task.job == spec.id && !t.phase.exited());
            live.map(|_| worker.zone)
        });
        zones.collect()
    }

    fn free_capacity(&self) -> Vec<FreeCapacity> {
        let is_responsive = |w: &&crate::sim::Worker| w.hung_until < self.now && w.notice.is_none();
        let workers = self.workers.iter().filter(|(_, w)| is_responsive(w));
        let capacities = workers.map(|(machine, worker)| {
            let live = worker.tasks.iter().filter(|(_, t)| !t.phase.exited());
            let used: f64 = live.map(|((task, _), _)| self.cpus_of(task)).sum();
            FreeCapacity {
                machine: machine.clone(),
                zone: worker.zone,
                spot: worker.spot,
                free: CPUS - used,
            }
        });
        capacities.collect()
    }

    fn cpus_of(&self, task: &TaskId) -> f64 {
        let job = self.jobs.iter().find(|job| job.spec.id == task.job);
        job.map_or(0.0, |job| job.spec.need.cpus)
    }

    /// Machines where the next task of the job may start, given its team and its other tasks.
    fn fitting_machines<'a>(
        &self,
        spec: &JobSpec,
        capacities: &'a [FreeCapacity],
    ) -> Vec<&'a FreeCapacity> {
        let placed_zones = self.task_zones(spec);
        let is_gang = spec.kind == Kind::Gang;
        let min_tasks = if is_gang { spec.tasks } else { 1 };
        // Tasks that fetch their image count against the limit, as do tasks that have only just
        // ended.
        let fetching = self.fetching_cpus(&spec.team);
        let left = self.observer.available_to(&spec.team) - fetching;
        if f64::from(min_tasks) * spec.need.cpus > left || (is_gang && !placed_zones.is_empty()) {
            return Vec::new();
        }
        let allowed = |capacity: &&FreeCapacity| {
            let in_zone = placed_zones
                .iter()
                .filter(|zone| **zone == capacity.zone)
                .count() as u32;
            spec.need.cpus <= capacity.free + 1e-6
                && (spec.spot || !capacity.spot)
                && spec
                    .zone
                    .as_ref()
                    .is_none_or(|zone| zone == ZONES[capacity.zone])
                && !(spec.one_zone && placed_zones.iter().any(|zone| *zone != capacity.zone))
                && !(spec.spread && in_zone + 1 > spec.tasks.div_ceil(2))
        };
        capacities.iter().filter(allowed).collect()
    }

    fn fetching_cpus(&self, team: &str) -> f64 {
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        let fetching = tasks.filter(|(_, t)| !t.phase.exited() && !t.phase.has_image());
        let job_of = |task: &TaskId| self.jobs.iter().find(|job| job.spec.id == task.job);
        let of_team = fetching
            .filter(|((task, _), _)| job_of(task).is_some_and(|job| *job.spec.team == *team));
        of_team.map(|((task, _), _)| self.cpus_of(task)).sum()
    }

    fn count_teams_at_limit(&mut self) {
        if !FAULT_SECONDS.contains(&self.now.as_secs()) {
            return;
        }
        let waiting: Vec<&Job> = self
            .jobs
            .iter()
            .filter(|job| self.has_waiting_task(job))
            .collect();
        let mut teams_at_limit = std::collections::BTreeSet::new();
        for job in waiting {
            let left =
                self.observer.available_to(&job.spec.team) - self.fetching_cpus(&job.spec.team);
            if job.spec.need.cpus > left {
                teams_at_limit.insert(job.spec.team.to_string());
            }
        }
        for team in teams_at_limit {
            *self.liveness.at_limit.entry(team).or_default() += 1;
        }
    }
}

/// Whether these machines have room for all tasks of a gang, or for one task of any other job.
fn fits_minimum(spec: &JobSpec, capacities: &[&FreeCapacity]) -> bool {
    if spec.kind != Kind::Gang {
        return !capacities.is_empty();
    }
    let slots_on =
        |capacity: &&&FreeCapacity| ((capacity.free + 1e-6) / spec.need.cpus).floor() as u32;
    let by_zone: Vec<u32> = (0..ZONES.len())
        .map(|zone| {
            capacities
                .iter()
                .filter(|c| c.zone == zone)
                .map(|c| slots_on(&c))
                .sum()
        })
        .collect();
    match (spec.one_zone, spec.spread) {
        (true, _) => by_zone.iter().any(|slots| *slots >= spec.tasks),
        (_, true) => {
            let max_per_zone = spec.tasks.div_ceil(2);
            by_zone
                .iter()
                .map(|slots| (*slots).min(max_per_zone))
                .sum::<u32>()
                >= spec.tasks
        }
        _ => by_zone.iter().sum::<u32>() >= spec.tasks,
    }
}

/// Runs long enough after the last fault to show whether jobs are left waiting.
const LONG_SETTLING: Scale = Scale {
    duration: Duration::from_secs(110),
    ..MEDIUM
};

/// Team limits below what the jobs of both teams request.
const AT_LIMIT: Scale = Scale {
    team_limit: 16.0,
    second_team_limit: 12.0,
    duration_factor: 3,
    jobs: 140,
    ..LONG_SETTLING
};

/// Runs a world with these faults, each with its start in milliseconds and its length in seconds.
pub fn world(scale: Scale, seed: u64, defect: Defect, faults: &[(u64, Fault, u64)]) -> World {
    let mut world = World::with_scale(scale, seed, defect).with_quick_restarts();
    for (at, fault, seconds) in faults {
        world = world.with_fault(*at, *fault, Duration::from_secs(*seconds));
    }
    world.liveness.check_from = Some(Duration::from_secs(65));
    world.run();
    world
}

/// Like `world`; asserts that no rule is broken and no job is left waiting.
pub fn assert_rules_hold(scale: Scale, seed: u64, faults: &[(u64, Fault, u64)]) -> World {
    let world = world(scale, seed, Defect::None, faults);
    let context = format!("seed {seed}, {faults:?}");
    world.observer.assert_no_violations(&context);
    assert!(
        world.observer.starts > 20,
        "{context}: too few tasks started"
    );
    world
}

/// Guards against exceeded team limits after a failover: both teams are at their limits, machines
/// are partitioned, hang or receive nothing, services are cancelled, and the leader crashes.
#[test]
fn teams_at_their_limits_keep_them_through_a_change_of_the_leader() {
    let faults: [&[(u64, Fault, u64)]; 3] = [
        &[
            (20_000, Fault::ZoneCut, 14),
            (21_000, Fault::HeldCommands, 20),
            (22_000, Fault::LeaderCrash, 0),
        ],
        &[
            (20_000, Fault::MachinesHang, 4),
            (20_500, Fault::HeldCommands, 20),
            (21_000, Fault::LeaderCrash, 0),
        ],
        &[
            (20_000, Fault::DeliveryBlocked, 14),
            (23_000, Fault::HeldCommands, 20),
            (22_000, Fault::LeaderCrash, 0),
        ],
    ];
    for seed in seeds(2) {
        for faults in faults {
            let world = assert_rules_hold(AT_LIMIT, seed, faults);
            let bound = |team: &str| world.liveness.at_limit.get(team).is_some_and(|n| *n > 10);
            assert!(
                bound("red") && bound("blue"),
                "seed {seed}: team limits did not bind"
            );
        }
    }
}

/// Ten leaders crash, 4.5 s apart, some of them during an outage.
#[test]
fn leaders_change_ten_times_also_during_an_outage() {
    let mut faults: Vec<(u64, Fault, u64)> = (0..10)
        .map(|n| (15_000 + 4_500 * n, Fault::LeaderCrash, 0))
        .collect();
    faults.push((26_000, Fault::StateOutage, 9));
    for seed in seeds(2) {
        assert_rules_hold(LONG_SETTLING, seed, &faults);
    }
}

#[test]
fn free_machines_that_do_not_report_are_caught() {
    let caught = |seed| {
        let world = world(LONG_SETTLING, seed, Defect::IdleMachinesSilent, &[]);
        let violations = world.observer.violations();
        violations.iter().any(|v| v.starts_with("left_waiting"))
    };
    assert!((0..4).any(caught));
}

/// Guards against a leader that considers machines empty too early and does not count a former
/// leader's tasks.
#[test]
fn a_former_leaders_tasks_that_are_not_counted_are_caught() {
    let faults = [
        (20_000, Fault::DeliveryBlocked, 14),
        (21_000, Fault::LeaderCrash, 0),
    ];
    let caught = |seed| {
        let world = world(AT_LIMIT, seed, Defect::IgnoresWorkerLeases, &faults);
        world
            .observer
            .violations()
            .iter()
            .any(|v| v.starts_with("quota"))
    };
    assert!((0..12).any(caught));
}
