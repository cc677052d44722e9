//! Two and three faults within a second or two of one another, with processes that restart after 0
//! to 500 ms.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, LONG, MEDIUM, Scale, World},
};

/// Each fault, and its duration in seconds.
const FAULTS: [(Fault, u64); 28] = [
    (Fault::LeaderLosesWorkers, 5),
    (Fault::LeaderCrash, 0),
    (Fault::AllCrash, 0),
    (Fault::RepeatedCrashes, 0),
    (Fault::ZoneCut, 14),
    (Fault::LeaderZoneCut, 14),
    (Fault::LeaderIsolated, 16),
    (Fault::DeliveryBlocked, 14),
    (Fault::MachinesHang, 4),
    (Fault::LeaderFreezes, 9),
    (Fault::StateOutage, 22),
    (Fault::RefusalThenOutage, 22),
    (Fault::StateSlow, 14),
    (Fault::LateWrites, 30),
    (Fault::Duplicates, 30),
    (Fault::HeldCommands, 25),
    (Fault::ReportsBlocked, 14),
    (Fault::ReplayedReports, 25),
    (Fault::HeldReports, 20),
    (Fault::LateCommands, 25),
    (Fault::CancelAndHang, 4),
    (Fault::AllDown, 7),
    (Fault::ImmediatePolls, 20),
    (Fault::RequestsAtCompletion, 20),
    (Fault::AnswersLost, 20),
    (Fault::CancelBurstAtRefusal, 22),
    (Fault::SlowLinks, 14),
    (Fault::ZoneLosesMachines, 0),
];

fn run_faults(scale: Scale, seed: u64, faults: &[(Fault, u64)]) {
    let mut world = World::with_scale(scale, seed, Defect::None).with_quick_restarts();
    let mut at = 18_000;
    let mut rng = StdRng::seed_from_u64(seed);
    for (fault, seconds) in faults {
        world = world.with_fault(at, *fault, Duration::from_secs(*seconds));
        at += rng.random_range(0..2_500);
    }
    world.run();
    let context = format!("seed {seed}, {faults:?}");
    world.observer.assert_no_violations(&context);
    assert!(
        world.observer.starts > 40,
        "{context}: too few tasks started"
    );
    assert!(
        world.observer.finished > 3,
        "{context}: too few jobs finished"
    );
}

/// Runs every n-th world of all pairs of faults; the others run with `KITEYARD_WORLD_SEEDS`.
fn run_pairs(scale: Scale, nth: usize) {
    let seed_count = seeds(0).end;
    let mut number = 0;
    for seed in 0..seed_count.max(1) {
        for first in FAULTS {
            for second in FAULTS {
                number += 1;
                if seed_count > 0 || number % nth == 0 {
                    run_faults(scale, seed, &[first, second]);
                }
            }
        }
    }
}

#[test]
fn rules_hold_when_two_faults_coincide() {
    run_pairs(MEDIUM, 8);
}

/// Tasks of one job end at different times, on machines that keep them when the leader changes.
#[test]
fn rules_hold_when_two_faults_coincide_with_long_tasks() {
    run_pairs(LONG, 8);
}

#[test]
fn rules_hold_when_three_faults_coincide() {
    let mut rng = StdRng::seed_from_u64(7);
    for seed in seeds(12) {
        let mut any = || FAULTS[rng.random_range(0..FAULTS.len())];
        run_faults(MEDIUM, seed, &[any(), any(), any()]);
        run_faults(LONG, seed, &[any(), any(), any()]);
    }
}
