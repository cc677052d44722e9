//! Transactions that are applied late, after newer ones of the same controller, and messages that
//! arrive again.

use std::time::Duration;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, MEDIUM, World},
};

fn world(seed: u64, defect: Defect, faults: &[(Fault, u64)]) -> World {
    let mut world = World::with_scale(MEDIUM, seed, defect).with_quick_restarts();
    for (number, (fault, seconds)) in faults.iter().enumerate() {
        let at = 15_000 + 5_000 * number as u64;
        world = world.with_fault(at, *fault, Duration::from_secs(*seconds));
    }
    world.run();
    world
}

const LATE_WRITES: (Fault, u64) = (Fault::LateWrites, 45);

#[test]
fn rules_hold_while_transactions_are_applied_late() {
    for seed in seeds(4) {
        for others in [
            &[][..],
            &[(Fault::LeaderCrash, 0), (Fault::LeaderCrash, 0)],
            &[(Fault::StateSlow, 12), (Fault::AllCrash, 0)],
            &[(Fault::LeaderIsolated, 14)],
        ] {
            let world = world(seed, Defect::None, &[&[LATE_WRITES], others].concat());
            let context = format!("seed {seed}, {others:?}");
            world.observer.assert_no_violations(&context);
            assert!(
                world.observer.finished > 8,
                "{context}: too few jobs finished"
            );
        }
    }
}

fn assert_caught(defect: Defect, faults: &[(Fault, u64)], rule: &str) {
    let caught = |seed| {
        let violations = world(seed, defect, faults).observer.violations();
        violations.iter().any(|v| v.starts_with(rule))
    };
    assert!((0..20).any(caught), "{defect:?} was not caught as {rule}");
}

/// An older set of results overwrites a newer one whose results the workers have forgotten.
#[test]
fn results_that_are_written_whatever_is_stored_are_caught() {
    assert_caught(Defect::UnconditionalResults, &[LATE_WRITES], "shrank");
}

/// A claim that only checks that the key is absent could be applied after another claim was made
/// and deleted.
#[test]
fn a_claim_that_arrives_late_is_never_applied() {
    let faults = [(Fault::LeaderCrash, 0), (Fault::AllCrash, 0)];
    for seed in seeds(4) {
        let mut safe = world(seed, Defect::None, &faults);
        assert!(!safe.replays_late_claims(), "seed {seed}");
        let mut unsafe_one = world(seed, Defect::ClaimChecksKeyAlone, &faults);
        assert!(unsafe_one.replays_late_claims(), "seed {seed}");
    }
}

#[test]
fn a_renewal_that_counts_from_its_answer_is_caught() {
    assert_caught(
        Defect::CountsRenewalFromAnswer,
        &[(Fault::LeaderZoneCut, 40)],
        "ran_twice",
    );
}

#[test]
fn a_duplicate_accepted_as_a_new_report_is_caught() {
    assert_caught(
        Defect::AcceptsDuplicateReports,
        &[(Fault::Duplicates, 40)],
        "ran_twice",
    );
}

/// A delayed start command may be executed until the worker has seen a higher token or session.
#[test]
fn a_start_considered_void_too_early_is_caught() {
    assert_caught(
        Defect::AssumesUnansweredVoid,
        &[(Fault::HeldCommands, 40)],
        "ran_twice",
    );
}
