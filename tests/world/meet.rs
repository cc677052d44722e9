//! Two and three faults within a second or two of one another, with processes that restart after 0
//! to 500 ms.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    cases::Case,
    seeds,
    sim::{LONG, MEDIUM, Sabotage, Scale, World},
};

/// Each fault, and its duration in seconds.
const TROUBLES: [(Case, u64); 28] = [
    (Case::Blind, 5),
    (Case::LeaderEnds, 0),
    (Case::AllEnd, 0),
    (Case::EndAgain, 0),
    (Case::ZoneCut, 14),
    (Case::LeaderZoneCut, 14),
    (Case::LeaderApart, 16),
    (Case::Deaf, 14),
    (Case::Hang, 4),
    (Case::Stands, 9),
    (Case::Outage, 22),
    (Case::Gap, 22),
    (Case::StateSlow, 14),
    (Case::LateWrites, 30),
    (Case::Copies, 30),
    (Case::HeldCommands, 25),
    (Case::Mute, 14),
    (Case::KeptCopies, 25),
    (Case::HeldReports, 20),
    (Case::LateCommands, 25),
    (Case::CancelAndHang, 4),
    (Case::AllAway, 7),
    (Case::CloseLooks, 20),
    (Case::AskedAtEnd, 20),
    (Case::AnswersLost, 20),
    (Case::RefusedThenAway, 22),
    (Case::SlowLinks, 14),
    (Case::ZoneLosesMachines, 0),
];

fn met(scale: Scale, seed: u64, troubles: &[(Case, u64)]) {
    let mut world = World::sized(scale, seed, Sabotage::None).quick();
    let mut at = 18_000;
    let mut rng = StdRng::seed_from_u64(seed);
    for (case, seconds) in troubles {
        world = world.with(at, *case, Duration::from_secs(*seconds));
        at += rng.random_range(0..2_500);
    }
    world.run();
    let what = format!("seed {seed}, {troubles:?}");
    assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
    assert!(world.observer.starts > 40, "{what}: too few tasks started");
    assert!(world.observer.finished > 3, "{what}: too few jobs finished");
}

/// Runs every n-th world of all pairs of faults; the others run with `KITEYARD_WORLD_SEEDS`.
fn pairs(scale: Scale, part: usize) {
    let many = seeds(0).end;
    let mut number = 0;
    for seed in 0..many.max(1) {
        for first in TROUBLES {
            for second in TROUBLES {
                number += 1;
                if many > 0 || number % part == 0 {
                    met(scale, seed, &[first, second]);
                }
            }
        }
    }
}

#[test]
fn rules_hold_where_two_troubles_meet() {
    pairs(MEDIUM, 8);
}

/// Tasks of one job that end far apart, on machines that hold them through a change of the leader.
#[test]
fn rules_hold_where_two_troubles_meet_over_long_tasks() {
    pairs(LONG, 8);
}

#[test]
fn rules_hold_where_three_troubles_meet() {
    let mut rng = StdRng::seed_from_u64(7);
    for seed in seeds(12) {
        let mut any = || TROUBLES[rng.random_range(0..TROUBLES.len())];
        met(MEDIUM, seed, &[any(), any(), any()]);
        met(LONG, seed, &[any(), any(), any()]);
    }
}
