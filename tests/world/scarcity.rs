//! More work than room over slow links, and zones that lose the machines their jobs are bound to.

use std::time::Duration;

use kiteyard::core::job::{Kind, Priority};
use rand::RngExt;

use crate::{
    faults::Fault,
    liveness::{self, world},
    seeds,
    sim::{Defect, MEDIUM, Scale, World, ZONES, ms},
};

#[derive(Default)]
pub struct Scarcity {
    /// Messages between nodes and workers take 150 to 700 ms longer until then.
    links_slow_until: Duration,
    /// Machines that were lost while they held a task of a job bound to their zone.
    pub lost_with_bound_tasks: usize,
}

impl World {
    pub fn slow_links(&mut self, until: Duration) {
        self.scarcity.links_slow_until = until;
    }

    /// Additional delay of a message over a slow link.
    pub fn link_delay(&mut self) -> Duration {
        match self.now < self.scarcity.links_slow_until {
            true => ms(self.rng.random_range(150..700)),
            false => Duration::ZERO,
        }
    }

    /// Machines of a zone, with those first that hold a task which may run in no other zone.
    fn bound_first(&self, zone: usize) -> Vec<(bool, String)> {
        let mut names: Vec<(bool, String)> = Vec::new();
        for (name, worker) in &self.workers {
            if worker.zone == zone {
                let mut tasks = worker.tasks.keys();
                let bound = tasks.any(|(task, _)| self.spec(task).zone.is_some());
                names.push((!bound, name.clone()));
            }
        }
        names.sort();
        names
    }

    /// Removes half of the machines in the zone that has the most machines with bound tasks.
    pub fn lose_machines(&mut self) {
        let zones = (0..ZONES.len()).map(|zone| self.bound_first(zone));
        let bound =
            |names: &Vec<(bool, String)>| names.iter().filter(|(unbound, _)| !unbound).count();
        let mut names = zones.max_by_key(bound).unwrap_or_default();
        names.truncate(names.len().div_ceil(2));
        for (unbound, name) in names {
            self.scarcity.lost_with_bound_tasks += usize::from(!unbound);
            self.remove_worker(&name);
        }
    }
}

/// Far more work than room for most of the time.
const CROWDED: Scale = Scale {
    duration: Duration::from_secs(120),
    machines: 16,
    max_machines: 18,
    jobs: 110,
    ..MEDIUM
};

/// Room for all jobs, and enough time after the loss.
const ROOMY: Scale = Scale {
    duration: Duration::from_secs(120),
    jobs: 120,
    ..MEDIUM
};

fn assert_rules_hold(scale: Scale, seed: u64, faults: &[(u64, Fault, u64)]) -> World {
    let world = liveness::assert_rules_hold(scale, seed, faults);
    let context = format!("seed {seed}, {faults:?}");
    assert!(
        world.observer.starts > 40,
        "{context}: too few tasks started"
    );
    world
}

/// Number of accepted jobs that have started, and of all accepted jobs, either urgent or not.
fn started_jobs(world: &World, urgent: bool) -> (usize, usize) {
    let of_urgency = world.jobs.iter().filter(|job| {
        let is_cancelled = job.withdraw_at.is_some() && job.spec.kind != Kind::Service;
        job.accepted && !is_cancelled && (job.spec.priority == Priority::Production) == urgent
    });
    let has_started = |job: &&crate::sim::Job| world.observer.has_started(&job.spec.id);
    let jobs: Vec<_> = of_urgency.collect();
    (
        jobs.iter().filter(|job| has_started(job)).count(),
        jobs.len(),
    )
}

/// Whether nine of ten urgent jobs have started.
fn most_urgent_started(world: &World) -> bool {
    let (started, accepted) = started_jobs(world, true);
    accepted > 5 && started * 10 >= accepted * 9
}

/// Nearly all urgent jobs start, and at least half of the others.
#[test]
fn urgent_and_other_jobs_start_with_more_work_than_room_over_slow_links() {
    for seed in seeds(3) {
        for others in [&[][..], &[(30_000, Fault::LeaderCrash, 0)]] {
            let faults = [&[(10_000, Fault::SlowLinks, 50)], others].concat();
            let world = assert_rules_hold(CROWDED, seed, &faults);
            let (started, accepted) = started_jobs(&world, false);
            assert!(
                most_urgent_started(&world),
                "seed {seed}: {:?}",
                started_jobs(&world, true)
            );
            assert!(
                started * 2 >= accepted,
                "seed {seed}: {started} of {accepted} other jobs started"
            );
        }
    }
}

#[test]
fn a_core_that_ignores_priorities_is_caught() {
    let faults = [(10_000, Fault::SlowLinks, 50)];
    let defect = Defect::IgnoresPriorities;
    let late = |seed| !most_urgent_started(&world(CROWDED, seed, defect, &faults));
    assert!((0..6).any(late));
}

#[test]
fn a_core_that_moves_zone_bound_jobs_is_caught() {
    let faults = [(18_000, Fault::ZoneLosesMachines, 0)];
    let caught = |seed| {
        let world = world(ROOMY, seed, Defect::IgnoresPlacement, &faults);
        let violations = world.observer.violations();
        violations.iter().any(|v| v.starts_with("wrong_place"))
    };
    assert!((0..4).any(caught));
}

/// The zone's jobs start again in their zone, or wait while it has no room.
#[test]
fn jobs_bound_to_a_zone_are_not_left_waiting_after_it_loses_machines() {
    for seed in seeds(4) {
        let faults = [
            (18_000, Fault::ZoneLosesMachines, 0),
            (24_000, Fault::LeaderCrash, 0),
            (30_000, Fault::ZoneLosesMachines, 0),
            (42_000, Fault::ZoneLosesMachines, 0),
        ];
        let world = assert_rules_hold(ROOMY, seed, &faults);
        let lost = world.scarcity.lost_with_bound_tasks;
        assert!(lost > 0, "seed {seed}: no bound task lost its machine");
    }
}
