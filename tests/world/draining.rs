//! Drains of machines under other faults.

use std::{sync::Arc, time::Duration};

use kiteyard_maintenance::config::Config;

use crate::{
    cases::Case,
    seeds,
    sim::{Event, LARGE, MEDIUM, NODES, SMALL, Sabotage, Scale, World, ms},
};

const S: u64 = 1000;
const FILE: &str = "[budget]\nmax_down = 1\nfloor = 0.5\nmax_in_s = 10\nmax_tasks = 40\n";

/// Returns a world at the fourth generation from the start, which drains every second one of the
/// first machines at 20 s.
fn drained(scale: Scale, seed: u64, machines: usize, sabotage: Sabotage) -> World {
    let mut world = World::sized(scale, seed, sabotage).rolling("1");
    let config = Config::parse(FILE, 1).expect("valid config file");
    world.roll.maintenance = Some(Arc::new(config));
    world.roll.most = [4; NODES];
    for node in 0..NODES {
        world.restart(node);
    }
    let every_second = (0..machines).map(|i| format!("vm-{:06}", 2 * i + 1));
    world.push(ms(20 * S), Event::Drain(every_second.collect()));
    world
}

fn keeps_the_rules(scale: Scale, seed: u64, machines: usize, troubles: &[(Case, u64, u64)]) {
    let mut world = drained(scale, seed, machines, Sabotage::None);
    for (case, at, lasts) in troubles {
        world = world.with(*at, *case, ms(*lasts));
    }
    world.run();
    let what = format!("seed {seed}, {troubles:?}");
    assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
    assert!(world.observer.finished > 8, "{what}: too few jobs finished");
    let (gone, asked) = (world.roll.returned, world.roll.cordoned.len());
    assert!(asked > 0, "{what}: no machine was cordoned");
    assert!(gone * 10 >= asked * 9, "{what}: {gone} of {asked} returned");
    assert!(world.keys("live/drains") == 1, "{what}");
}

#[test]
fn drained_machines_are_emptied_and_returned_and_nothing_starts_there() {
    for seed in seeds(2) {
        keeps_the_rules(MEDIUM, seed, 16, &[]);
    }
    keeps_the_rules(LARGE, 0, 150, &[(Case::LeaderEnds, 24_000, 0)]);
}

#[test]
fn drains_go_on_through_each_trouble_and_each_pair() {
    let cases = [
        (Case::LeaderEnds, 0),
        (Case::AllEnd, 0),
        (Case::ZoneCut, 8 * S),
        (Case::Outage, 6 * S),
        (Case::Stands, 9 * S),
        (Case::Blind, 8 * S),
        (Case::Hang, 3 * S),
        (Case::Roll, 4 * S),
    ];
    for seed in seeds(1) {
        for (at, first) in cases.iter().enumerate() {
            let first = (first.0, 20_400, first.1);
            keeps_the_rules(MEDIUM, seed, 16, &[first]);
            for second in &cases[at + 1..] {
                let second = (second.0, 23_000, second.1);
                keeps_the_rules(MEDIUM, seed, 16, &[first, second]);
            }
        }
    }
}

/// Shows that the observer detects starts on cordoned machines.
#[test]
fn a_next_leader_that_forgets_the_cordons_is_caught() {
    let forgets = |seed| {
        let world = drained(MEDIUM, seed, 16, Sabotage::ForgetsDrains);
        let mut world = world.with(20_400, Case::LeaderEnds, Duration::ZERO);
        world.run();
        world.observer.broken()
    };
    let hit = |seed| forgets(seed).iter().any(|b| b.starts_with("cordoned"));
    assert!(
        (0..10).any(hit),
        "starts on cordoned machines were not caught"
    );
}

#[test]
fn rules_hold_in_drains_under_mixed_troubles() {
    for seed in seeds(8) {
        let mut world = drained(SMALL, 7000 + seed, 6, Sabotage::None);
        let later = (4..12).map(|i| format!("vm-{i:06}"));
        world.push(ms(60 * S), Event::Drain(later.collect()));
        world.run();
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "seed {seed}");
    }
}
