//! No job waits while a machine that fits has room, and teams at their limits keep them through a
//! change of the leader. Measured at the workers.

use std::{collections::BTreeMap, time::Duration};

use kiteyard::core::job::{JobId, JobSpec, Kind, TaskId};

use crate::{
    cases::Case,
    seeds,
    sim::{CPUS, Job, MEDIUM, Sabotage, Scale, World, ZONES},
};

/// With a lease of 15 s, the protocol's 90 s are six leases.
const LEASES: u32 = 6;
/// Seconds in which the faults are active, where limits bind.
const SPELL: std::ops::Range<u64> = 20..40;
const LOOKS_EVERY: Duration = Duration::from_millis(500);

/// Since when each machine has had room for a waiting task of each job, without interruption.
#[derive(Default)]
pub struct Liveness {
    /// Time by which all faults are over; waiting jobs are not checked where it is not set.
    pub settled: Option<Duration>,
    next_look: Duration,
    room_since: BTreeMap<JobId, BTreeMap<String, Duration>>,
    /// Number of checks during the faults in which a team had less left than one of its waiting
    /// tasks needs.
    pub at_limit: BTreeMap<String, u64>,
}

/// Free capacity of a machine, as its worker knows it.
struct Room {
    machine: String,
    zone: usize,
    spot: bool,
    free: f64,
}

impl World {
    pub fn look_for_waiting(&mut self) {
        let settled = self.liveness.settled.unwrap_or(Duration::MAX);
        if self.now < self.liveness.next_look {
            return;
        }
        self.liveness.next_look = self.now + LOOKS_EVERY;
        self.count_limits();
        if self.now < settled {
            return;
        }
        let rooms = self.rooms();
        for number in 0..self.jobs.len() {
            let id = self.jobs[number].spec.id.clone();
            let fitting = match self.waits(&self.jobs[number]) {
                true => self.fitting(&self.jobs[number].spec, &rooms),
                false => Vec::new(),
            };
            self.left_waiting(id, number, &fitting);
        }
    }

    /// Records since when the machines have had room, and reports a violation where enough of them
    /// had it for too long.
    fn left_waiting(&mut self, id: JobId, number: usize, fitting: &[&Room]) {
        let before = self.liveness.room_since.remove(&id).unwrap_or_default();
        let since = |room: &&Room| before.get(&room.machine).copied().unwrap_or(self.now);
        let known: BTreeMap<String, Duration> = fitting
            .iter()
            .map(|r| (r.machine.clone(), since(r)))
            .collect();
        let long = self.scale.lease * LEASES;
        let aged = fitting.iter().filter(|r| self.now > since(r) + long);
        let aged: Vec<&Room> = aged.copied().collect();
        let spec = &self.jobs[number].spec;
        if holds_least(spec, &aged) {
            let what = format!("{id} {:?} could run on {}", spec.kind, aged[0].machine);
            self.observer.breaks(self.now, "left_waiting", what);
        }
        self.liveness.room_since.insert(id, known);
    }

    /// Whether the job is accepted and unfinished, and one of its tasks is on no machine. Excludes
    /// jobs that fail wherever they run, since they are retried ever less often.
    fn waits(&self, job: &Job) -> bool {
        let called_off = job.withdraw_at.is_some_and(|at| self.now > at);
        if !job.accepted || job.over || job.faulty || called_off {
            return false;
        }
        if !self.observer.may_start(&job.spec) {
            return false;
        }
        let there = self.places(&job.spec).len();
        let done = (0..job.spec.tasks).filter(|index| self.has_result(&job.spec, *index));
        there + done.count() < job.spec.tasks as usize
    }

    fn has_result(&self, spec: &JobSpec, index: u32) -> bool {
        let job = spec.id.clone();
        self.results.contains(&TaskId { job, index })
    }

    /// Zones of the job's tasks on machines, with or without their image.
    fn places(&self, spec: &JobSpec) -> Vec<usize> {
        let held = self.workers.values().flat_map(|worker| {
            let tasks = worker.tasks.iter();
            let live = tasks.filter(|((task, _), t)| task.job == spec.id && !t.phase.exited());
            live.map(|_| worker.zone)
        });
        held.collect()
    }

    fn rooms(&self) -> Vec<Room> {
        let answers = |w: &&crate::sim::Worker| w.hung_until < self.now && w.notice.is_none();
        let workers = self.workers.iter().filter(|(_, w)| answers(w));
        let rooms = workers.map(|(machine, worker)| {
            let live = worker.tasks.iter().filter(|(_, t)| !t.phase.exited());
            let used: f64 = live.map(|((task, _), _)| self.cpus_of(task)).sum();
            Room {
                machine: machine.clone(),
                zone: worker.zone,
                spot: worker.spot,
                free: CPUS - used,
            }
        });
        rooms.collect()
    }

    fn cpus_of(&self, task: &TaskId) -> f64 {
        let job = self.jobs.iter().find(|job| job.spec.id == task.job);
        job.map_or(0.0, |job| job.spec.need.cpus)
    }

    /// Machines where the next task of the job may start, given its team and its other tasks.
    fn fitting<'a>(&self, spec: &JobSpec, rooms: &'a [Room]) -> Vec<&'a Room> {
        let there = self.places(spec);
        let whole = spec.kind == Kind::Gang;
        let least = if whole { spec.tasks } else { 1 };
        // Tasks that fetch their image count against the limit, as do tasks that have only just
        // ended.
        let fetching = self.fetching(&spec.team);
        let left = self.observer.left_to(&spec.team) - fetching;
        if f64::from(least) * spec.need.cpus > left || (whole && !there.is_empty()) {
            return Vec::new();
        }
        let allowed = |room: &&Room| {
            let in_zone = there.iter().filter(|zone| **zone == room.zone).count() as u32;
            spec.need.cpus <= room.free + 1e-6
                && (spec.spot || !room.spot)
                && spec
                    .zone
                    .as_ref()
                    .is_none_or(|zone| zone == ZONES[room.zone])
                && !(spec.one_zone && there.iter().any(|zone| *zone != room.zone))
                && !(spec.spread && in_zone + 1 > spec.tasks.div_ceil(2))
        };
        rooms.iter().filter(allowed).collect()
    }

    fn fetching(&self, team: &str) -> f64 {
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        let fetching = tasks.filter(|(_, t)| !t.phase.exited() && !t.phase.has_image());
        let team_of = |task: &TaskId| self.jobs.iter().find(|job| job.spec.id == task.job);
        let of_team = fetching
            .filter(|((task, _), _)| team_of(task).is_some_and(|job| *job.spec.team == *team));
        of_team.map(|((task, _), _)| self.cpus_of(task)).sum()
    }

    fn count_limits(&mut self) {
        if !SPELL.contains(&self.now.as_secs()) {
            return;
        }
        let waiting: Vec<&Job> = self.jobs.iter().filter(|job| self.waits(job)).collect();
        let mut binds = std::collections::BTreeSet::new();
        for job in waiting {
            let left = self.observer.left_to(&job.spec.team) - self.fetching(&job.spec.team);
            if job.spec.need.cpus > left {
                binds.insert(job.spec.team.to_string());
            }
        }
        for team in binds {
            *self.liveness.at_limit.entry(team).or_default() += 1;
        }
    }
}

/// Whether the minimum that may start of a job fits on these machines together.
fn holds_least(spec: &JobSpec, rooms: &[&Room]) -> bool {
    if spec.kind != Kind::Gang {
        return !rooms.is_empty();
    }
    let times = |room: &&&Room| ((room.free + 1e-6) / spec.need.cpus).floor() as u32;
    let by_zone: Vec<u32> = (0..ZONES.len())
        .map(|zone| {
            rooms
                .iter()
                .filter(|r| r.zone == zone)
                .map(|r| times(&r))
                .sum()
        })
        .collect();
    match (spec.one_zone, spec.spread) {
        (true, _) => by_zone.iter().any(|slots| *slots >= spec.tasks),
        (_, true) => {
            let most = spec.tasks.div_ceil(2);
            by_zone.iter().map(|slots| (*slots).min(most)).sum::<u32>() >= spec.tasks
        }
        _ => by_zone.iter().sum::<u32>() >= spec.tasks,
    }
}

/// Long enough after the last fault.
const LIVELY: Scale = Scale {
    length: Duration::from_secs(110),
    ..MEDIUM
};

/// Both teams have less than their jobs request.
const BOUND: Scale = Scale {
    team_limit: 16.0,
    second_limit: 12.0,
    longer: 3,
    jobs: 140,
    ..LIVELY
};

/// Runs a world with these faults, each with its start in milliseconds and its length in seconds.
pub fn world(scale: Scale, seed: u64, sabotage: Sabotage, troubles: &[(u64, Case, u64)]) -> World {
    let mut world = World::sized(scale, seed, sabotage).quick();
    for (at, case, seconds) in troubles {
        world = world.with(*at, *case, Duration::from_secs(*seconds));
    }
    world.liveness.settled = Some(Duration::from_secs(65));
    world.run();
    world
}

/// Like `world`; asserts that no rule is broken and no job is left waiting.
pub fn holds(scale: Scale, seed: u64, troubles: &[(u64, Case, u64)]) -> World {
    let world = world(scale, seed, Sabotage::None, troubles);
    let what = format!("seed {seed}, {troubles:?}");
    assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
    assert!(world.observer.starts > 20, "{what}: too few tasks started");
    world
}

/// Guards against exceeded team limits after a failover: both teams are at their limits, machines
/// are partitioned, hang or receive nothing, services are cancelled, and the leader crashes.
#[test]
fn teams_at_their_limits_keep_them_through_a_change_of_the_leader() {
    let troubles: [&[(u64, Case, u64)]; 3] = [
        &[
            (20_000, Case::ZoneCut, 14),
            (21_000, Case::HeldCommands, 20),
            (22_000, Case::LeaderEnds, 0),
        ],
        &[
            (20_000, Case::Hang, 4),
            (20_500, Case::HeldCommands, 20),
            (21_000, Case::LeaderEnds, 0),
        ],
        &[
            (20_000, Case::Deaf, 14),
            (23_000, Case::HeldCommands, 20),
            (22_000, Case::LeaderEnds, 0),
        ],
    ];
    for seed in seeds(2) {
        for troubles in troubles {
            let world = holds(BOUND, seed, troubles);
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
fn leaders_change_ten_times_also_inside_an_outage() {
    let mut troubles: Vec<(u64, Case, u64)> = (0..10)
        .map(|n| (15_000 + 4_500 * n, Case::LeaderEnds, 0))
        .collect();
    troubles.push((26_000, Case::Outage, 9));
    for seed in seeds(2) {
        holds(LIVELY, seed, &troubles);
    }
}

#[test]
fn room_that_nobody_hears_of_is_caught() {
    let caught = |seed| {
        let world = world(LIVELY, seed, Sabotage::HidesRoom, &[]);
        let broken = world.observer.broken();
        broken.iter().any(|b| b.starts_with("left_waiting"))
    };
    assert!((0..4).any(caught));
}

/// Guards against a leader that considers machines empty too early and does not count a former
/// leader's tasks.
#[test]
fn a_former_leaders_tasks_that_are_not_counted_are_caught() {
    let troubles = [(20_000, Case::Deaf, 14), (21_000, Case::LeaderEnds, 0)];
    let caught = |seed| {
        let world = world(BOUND, seed, Sabotage::NoWorkerLease, &troubles);
        world
            .observer
            .broken()
            .iter()
            .any(|b| b.starts_with("quota"))
    };
    assert!((0..12).any(caught));
}
