//! Drains of machines under other faults.

use std::{sync::Arc, time::Duration};

use kiteyard_maintenance::config::Config;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, Event, LARGE, MEDIUM, NODES, SMALL, Scale, World, ms},
};

const SECOND_MS: u64 = 1000;
const MAINTENANCE_CONFIG: &str =
    "[budget]\nmax_down = 1\nfloor = 0.5\nmax_in_s = 10\nmax_tasks = 40\n";

/// Returns a world at the fourth generation from the start, which drains every second one of the
/// first machines at 20 s.
pub fn drained_world(scale: Scale, seed: u64, machines: usize, defect: Defect) -> World {
    let mut world = World::with_scale(scale, seed, defect).with_rollout("1");
    let config = Config::parse(MAINTENANCE_CONFIG, 1).expect("valid config file");
    world.rollout.maintenance = Some(Arc::new(config));
    world.rollout.supported_generation = [4; NODES];
    for node in 0..NODES {
        world.restart(node);
    }
    let every_second = (0..machines).map(|i| format!("vm-{:06}", 2 * i + 1));
    world.push(ms(20 * SECOND_MS), Event::Drain(every_second.collect()));
    world
}

fn assert_rules_hold(scale: Scale, seed: u64, machines: usize, faults: &[(Fault, u64, u64)]) {
    let mut world = drained_world(scale, seed, machines, Defect::None);
    for (fault, at, duration) in faults {
        world = world.with_fault(*at, *fault, ms(*duration));
    }
    world.run();
    let context = format!("seed {seed}, {faults:?}");
    world.observer.assert_no_violations(&context);
    assert!(
        world.observer.finished > 8,
        "{context}: too few jobs finished"
    );
    let (returned, cordoned) = (world.rollout.returned, world.rollout.cordoned.len());
    assert!(cordoned > 0, "{context}: no machine was cordoned");
    assert!(
        returned * 10 >= cordoned * 9,
        "{context}: {returned} of {cordoned} returned"
    );
    assert!(world.count_keys("live/drains") == 1, "{context}");
}

#[test]
fn drained_machines_are_emptied_and_returned_and_nothing_starts_there() {
    for seed in seeds(2) {
        assert_rules_hold(MEDIUM, seed, 16, &[]);
    }
    assert_rules_hold(LARGE, 0, 150, &[(Fault::LeaderCrash, 24_000, 0)]);
}

#[test]
fn drains_continue_through_each_fault_and_each_pair() {
    let faults = [
        (Fault::LeaderCrash, 0),
        (Fault::AllCrash, 0),
        (Fault::ZoneCut, 8 * SECOND_MS),
        (Fault::StateOutage, 6 * SECOND_MS),
        (Fault::LeaderFreezes, 9 * SECOND_MS),
        (Fault::LeaderLosesWorkers, 8 * SECOND_MS),
        (Fault::MachinesHang, 3 * SECOND_MS),
        (Fault::RollingRestart, 4 * SECOND_MS),
    ];
    for seed in seeds(1) {
        for (at, first) in faults.iter().enumerate() {
            let first = (first.0, 20_400, first.1);
            assert_rules_hold(MEDIUM, seed, 16, &[first]);
            for second in &faults[at + 1..] {
                let second = (second.0, 23_000, second.1);
                assert_rules_hold(MEDIUM, seed, 16, &[first, second]);
            }
        }
    }
}

/// Shows that the observer detects starts on cordoned machines.
#[test]
fn a_new_leader_that_forgets_cordons_is_caught() {
    let violations = |seed| {
        let world = drained_world(MEDIUM, seed, 16, Defect::ForgetsDrains);
        let mut world = world.with_fault(20_400, Fault::LeaderCrash, Duration::ZERO);
        world.run();
        world.observer.violations()
    };
    let caught = |seed| violations(seed).iter().any(|v| v.starts_with("cordoned"));
    assert!(
        (0..10).any(caught),
        "starts on cordoned machines were not caught"
    );
}

#[test]
fn rules_hold_during_drains_under_mixed_faults() {
    for seed in seeds(8) {
        let mut world = drained_world(SMALL, 7000 + seed, 6, Defect::None);
        let later = (4..12).map(|i| format!("vm-{i:06}"));
        world.push(ms(60 * SECOND_MS), Event::Drain(later.collect()));
        world.run();
        world
            .observer
            .assert_no_violations(format_args!("seed {seed}"));
    }
}
