//! Breadth-first search of every reachable state of small simulated deployments.

mod world;

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

use kiteyard_quota::ledger::Share;
use world::{Bounds, Fault, World};

/// Visits all reachable states; fails at the first one that violates an invariant.
fn search(bounds: &Bounds) -> Result<usize, String> {
    let hashers = [RandomState::new(), RandomState::new()];
    let fingerprint = |world: &World| hashers.each_ref().map(|hasher| hasher.hash_one(world));
    let mut seen = HashSet::new();
    let mut queue = VecDeque::new();
    for initial in World::initial_worlds(bounds) {
        seen.insert(fingerprint(&initial));
        queue.push_back(initial);
    }
    while let Some(world) = queue.pop_front() {
        world
            .check(bounds)
            .map_err(|violation| format!("{violation}, after {} states: {world:#?}", seen.len()))?;
        for next in world.next(bounds) {
            if seen.insert(fingerprint(&next)) {
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

fn bounds(cells: usize, horizon: u64, loans: u64, clocks: &[i64]) -> Bounds {
    let mut shares = vec![
        Share {
            base: 0,
            guarantee: 0
        };
        cells
    ];
    shares[0].base = 1;
    let clocks = clocks.to_vec();
    Bounds {
        shares,
        horizon,
        loans,
        restarts: 0,
        lost_records: 0,
        lost_answers: 0,
        clocks,
        fault: None,
    }
}

fn assert_no_violation(name: &str, bounds: &Bounds) {
    match search(bounds) {
        Ok(states) => println!("{name}: {states} states"),
        Err(violation) => panic!("{name}: {violation}"),
    }
}

#[test]
fn two_cells_with_clock_skew() {
    assert_no_violation("two cells, clock skew", &bounds(2, 8, 2, &[-1, 1]));
}

#[test]
fn three_cells() {
    assert_no_violation("three cells", &bounds(3, 6, 2, &[0]));
}

#[test]
fn leader_failover() {
    assert_no_violation(
        "leader failover",
        &Bounds {
            restarts: 1,
            ..bounds(2, 5, 1, &[0])
        },
    );
}

#[test]
fn leader_failover_with_clock_skew() {
    assert_no_violation(
        "leader failover, clock skew",
        &Bounds {
            restarts: 1,
            ..bounds(2, 3, 1, &[-1, 1])
        },
    );
}

#[test]
fn lost_write_answer() {
    assert_no_violation(
        "lost answer",
        &Bounds {
            lost_answers: 1,
            ..bounds(2, 8, 1, &[0])
        },
    );
}

#[test]
fn lost_write_answer_and_leader_failover() {
    assert_no_violation(
        "lost answer, leader failover",
        &Bounds {
            lost_answers: 1,
            restarts: 1,
            ..bounds(2, 2, 1, &[0])
        },
    );
}

#[test]
fn lost_record() {
    assert_no_violation(
        "lost record",
        &Bounds {
            restarts: 1,
            lost_records: 1,
            ..bounds(2, 4, 1, &[0])
        },
    );
}

#[test]
fn a_guarantee_is_never_lent() {
    let shares = vec![
        Share {
            base: 2,
            guarantee: 1,
        },
        Share {
            base: 1,
            guarantee: 0,
        },
    ];
    assert_no_violation(
        "guarantee",
        &Bounds {
            shares,
            ..bounds(2, 2, 1, &[0])
        },
    );
}

/// Searches with an injected fault, which must be detected.
fn assert_fault_detected(fault: Fault, bounds: Bounds) {
    let violation = search(&Bounds {
        fault: Some(fault),
        ..bounds
    })
    .expect_err(&format!("{fault:?} was not detected"));
    println!(
        "{fault:?}: {}",
        violation.split(':').next().unwrap_or_default()
    );
}

#[test]
fn detects_lender_that_lowers_before_the_borrower() {
    assert_fault_detected(Fault::LenderLowersBeforeBorrower, bounds(2, 2, 1, &[0]));
}

#[test]
fn detects_use_past_the_loan_end() {
    assert_fault_detected(Fault::BorrowerUsesPastTheEnd, bounds(2, 7, 1, &[0]));
}

#[test]
fn detects_grant_sent_before_it_is_stored() {
    assert_fault_detected(
        Fault::GrantSentBeforeStored,
        Bounds {
            restarts: 1,
            ..bounds(2, 2, 2, &[0])
        },
    );
}

#[test]
fn detects_holdings_sent_before_they_are_stored() {
    assert_fault_detected(
        Fault::HoldingsSentBeforeStored,
        Bounds {
            restarts: 1,
            ..bounds(2, 2, 2, &[0])
        },
    );
}

#[test]
fn detects_reused_loan_number() {
    let shares = vec![
        Share {
            base: 3,
            guarantee: 0,
        },
        Share {
            base: 0,
            guarantee: 0,
        },
    ];
    assert_fault_detected(
        Fault::LoanNumberReused,
        Bounds {
            shares,
            restarts: 1,
            ..bounds(2, 1, 2, &[0])
        },
    );
}

#[test]
fn detects_returned_loan_accepted_again() {
    assert_fault_detected(
        Fault::ReturnedLoanAcceptedAgain,
        Bounds {
            restarts: 1,
            ..bounds(2, 2, 2, &[0])
        },
    );
}

#[test]
fn detects_lender_that_ignores_the_clock_bound() {
    assert_fault_detected(Fault::LenderIgnoresClockBound, bounds(2, 8, 2, &[-1, 1]));
}

#[test]
fn detects_borrower_that_ignores_the_clock_bound() {
    assert_fault_detected(
        Fault::BorrowerIgnoresClockBound,
        Bounds {
            restarts: 1,
            ..bounds(2, 3, 1, &[-1, 1])
        },
    );
}

#[test]
fn detects_limit_lowered_after_the_answer() {
    assert_fault_detected(Fault::LimitLoweredAfterTheAnswer, bounds(2, 2, 1, &[0]));
}

/// This fault violates no invariant: the lender counts a loan before its grant is sent,
/// and the tasks of a former leader count against its successor's limit. The state machine waits
/// for the answer nevertheless.
#[test]
fn limit_raised_before_the_answer_violates_no_invariant() {
    let fault = Some(Fault::LimitRaisedBeforeTheAnswer);
    assert_no_violation(
        "limit raised early",
        &Bounds {
            fault,
            restarts: 1,
            lost_answers: 1,
            ..bounds(2, 2, 1, &[0])
        },
    );
}

#[test]
fn detects_unsettled_leader_that_lowers() {
    assert_fault_detected(
        Fault::UnsettledLeaderLowers,
        Bounds {
            restarts: 1,
            ..bounds(2, 2, 2, &[0])
        },
    );
}

#[test]
fn detects_write_without_the_claim() {
    assert_fault_detected(
        Fault::WriteWithoutClaim,
        Bounds {
            restarts: 1,
            ..bounds(2, 2, 2, &[0])
        },
    );
}

#[test]
fn detects_unclear_write_taken_as_failed() {
    assert_fault_detected(
        Fault::UnclearTakenAsFailed,
        Bounds {
            lost_answers: 1,
            ..bounds(2, 2, 2, &[0])
        },
    );
}

#[test]
fn detects_missing_lapse_lead() {
    assert_fault_detected(Fault::NoLapseLead, bounds(2, 8, 2, &[-1, 1]));
}

#[test]
fn detects_accepted_grant_for_a_lost_record() {
    assert_fault_detected(
        Fault::GrantForLostRecordAccepted,
        Bounds {
            restarts: 1,
            lost_records: 1,
            ..bounds(2, 2, 2, &[0])
        },
    );
}
