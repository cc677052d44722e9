//! Transactions that are applied late, after newer ones of the same controller, and messages that
//! arrive again.

use std::time::Duration;

use crate::{
    cases::Case,
    seeds,
    sim::{MEDIUM, Sabotage, World},
};

fn world(seed: u64, sabotage: Sabotage, troubles: &[(Case, u64)]) -> World {
    let mut world = World::sized(MEDIUM, seed, sabotage).quick();
    for (number, (case, seconds)) in troubles.iter().enumerate() {
        let at = 15_000 + 5_000 * number as u64;
        world = world.with(at, *case, Duration::from_secs(*seconds));
    }
    world.run();
    world
}

const LATE: (Case, u64) = (Case::LateWrites, 45);

#[test]
fn rules_hold_while_transactions_are_carried_out_late() {
    for seed in seeds(4) {
        for others in [
            &[][..],
            &[(Case::LeaderEnds, 0), (Case::LeaderEnds, 0)],
            &[(Case::StateSlow, 12), (Case::AllEnd, 0)],
            &[(Case::LeaderApart, 14)],
        ] {
            let world = world(seed, Sabotage::None, &[&[LATE], others].concat());
            let what = format!("seed {seed}, {others:?}");
            assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
            assert!(world.observer.finished > 8, "{what}: too few jobs finished");
        }
    }
}

fn caught(sabotage: Sabotage, troubles: &[(Case, u64)], rule: &str) {
    let hit = |seed| {
        let broken = world(seed, sabotage, troubles).observer.broken();
        broken.iter().any(|b| b.starts_with(rule))
    };
    assert!((0..20).any(hit), "{sabotage:?} was not caught as {rule}");
}

/// An older set of results overwrites a newer one whose results the workers have forgotten.
#[test]
fn results_that_are_written_whatever_is_stored_are_caught() {
    caught(Sabotage::ResultsByKeyAlone, &[LATE], "shrank");
}

/// A claim that only checks that the key is absent could be applied after another claim has come
/// and gone.
#[test]
fn a_claim_that_is_applied_late_never_stands() {
    let troubles = [(Case::LeaderEnds, 0), (Case::AllEnd, 0)];
    for seed in seeds(4) {
        let mut safe = world(seed, Sabotage::None, &troubles);
        assert!(!safe.late_claims_stand(), "seed {seed}");
        let mut unsafe_one = world(seed, Sabotage::ClaimsByKeyAlone, &troubles);
        assert!(unsafe_one.late_claims_stand(), "seed {seed}");
    }
}

#[test]
fn a_renewal_that_counts_from_its_answer_is_caught() {
    caught(
        Sabotage::BelievesLateRenewals,
        &[(Case::LeaderZoneCut, 40)],
        "ran_twice",
    );
}

#[test]
fn a_copy_that_is_taken_for_a_new_report_is_caught() {
    caught(Sabotage::BelievesCopies, &[(Case::Copies, 40)], "ran_twice");
}

/// A delayed start command may be executed until the worker has seen a higher token or session.
#[test]
fn a_start_that_is_taken_to_be_void_too_early_is_caught() {
    caught(
        Sabotage::BelievesVoid,
        &[(Case::HeldCommands, 40)],
        "ran_twice",
    );
}
