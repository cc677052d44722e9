//! Breadth-first search of every reachable state of small simulated deployments.

mod world;

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};

use kiteyard_quota::ledger::Share;
use world::{Fault, Size, World};

/// Visits all reachable states; fails at the first one that violates an invariant.
fn search(size: &Size) -> Result<usize, String> {
    let hashers = [RandomState::new(), RandomState::new()];
    let fingerprint = |world: &World| hashers.each_ref().map(|hasher| hasher.hash_one(world));
    let mut seen = HashSet::new();
    let mut open = VecDeque::new();
    for start in World::starts(size) {
        seen.insert(fingerprint(&start));
        open.push_back(start);
    }
    while let Some(world) = open.pop_front() {
        world
            .check(size)
            .map_err(|why| format!("{why}, after {} states: {world:#?}", seen.len()))?;
        for next in world.next(size) {
            if seen.insert(fingerprint(&next)) {
                open.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

fn size(cells: usize, horizon: u64, loans: u64, clocks: &[i64]) -> Size {
    let mut shares = vec![
        Share {
            base: 0,
            guarantee: 0
        };
        cells
    ];
    shares[0].base = 1;
    let clocks = clocks.to_vec();
    Size {
        shares,
        horizon,
        loans,
        restarts: 0,
        losses: 0,
        unclear: 0,
        clocks,
        fault: None,
    }
}

fn whole(name: &str, size: &Size) {
    match search(size) {
        Ok(states) => println!("{name}: {states} states"),
        Err(why) => panic!("{name}: {why}"),
    }
}

#[test]
fn two_cells_with_clocks_off_either_way() {
    whole("two cells, clocks off", &size(2, 8, 2, &[-1, 1]));
}

#[test]
fn three_cells() {
    whole("three cells", &size(3, 6, 2, &[0]));
}

#[test]
fn leaders_that_end() {
    whole(
        "a leader ends",
        &Size {
            restarts: 1,
            ..size(2, 5, 1, &[0])
        },
    );
}

#[test]
fn leaders_that_end_with_clocks_off() {
    whole(
        "a leader ends, clocks off",
        &Size {
            restarts: 1,
            ..size(2, 3, 1, &[-1, 1])
        },
    );
}

#[test]
fn writes_whose_answers_are_lost() {
    whole(
        "an answer is lost",
        &Size {
            unclear: 1,
            ..size(2, 8, 1, &[0])
        },
    );
}

#[test]
fn an_answer_is_lost_and_a_leader_ends() {
    whole(
        "an answer lost, a leader ends",
        &Size {
            unclear: 1,
            restarts: 1,
            ..size(2, 2, 1, &[0])
        },
    );
}

#[test]
fn records_that_are_lost() {
    whole(
        "a record is lost",
        &Size {
            restarts: 1,
            losses: 1,
            ..size(2, 4, 1, &[0])
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
    whole(
        "a guarantee",
        &Size {
            shares,
            ..size(2, 2, 1, &[0])
        },
    );
}

/// Searches with an injected fault, which must be detected.
fn found(fault: Fault, size: Size) {
    let why = search(&Size {
        fault: Some(fault),
        ..size
    })
    .expect_err(&format!("{fault:?} was not detected"));
    println!("{fault:?}: {}", why.split(':').next().unwrap_or_default());
}

#[test]
fn lender_lowers_before_the_borrower_did() {
    found(Fault::LenderLowersFirst, size(2, 2, 1, &[0]));
}

#[test]
fn borrower_uses_past_the_end() {
    found(Fault::BorrowerUsesPastTheEnd, size(2, 7, 1, &[0]));
}

#[test]
fn grant_is_sent_before_it_is_stored() {
    found(
        Fault::GrantSentBeforeStored,
        Size {
            restarts: 1,
            ..size(2, 2, 2, &[0])
        },
    );
}

#[test]
fn holdings_are_sent_before_they_are_stored() {
    found(
        Fault::HoldingsSentBeforeStored,
        Size {
            restarts: 1,
            ..size(2, 2, 2, &[0])
        },
    );
}

#[test]
fn loan_number_is_reused() {
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
    found(
        Fault::LoanNumberReused,
        Size {
            shares,
            restarts: 1,
            ..size(2, 1, 2, &[0])
        },
    );
}

#[test]
fn returned_loan_is_taken_again() {
    found(
        Fault::ReturnedLoanTakenAgain,
        Size {
            restarts: 1,
            ..size(2, 2, 2, &[0])
        },
    );
}

#[test]
fn lender_reuses_at_the_end_without_the_clock_bound() {
    found(Fault::LenderIgnoresClockBound, size(2, 8, 2, &[-1, 1]));
}

#[test]
fn borrower_returns_at_its_own_end() {
    found(
        Fault::BorrowerReturnsAtItsOwnEnd,
        Size {
            restarts: 1,
            ..size(2, 3, 1, &[-1, 1])
        },
    );
}

#[test]
fn limit_is_lowered_after_the_answer() {
    found(Fault::LimitLoweredAfterTheAnswer, size(2, 2, 1, &[0]));
}

/// This fault can't violate an invariant here: the lender counts a loan before its grant is sent,
/// and the tasks of a former leader count against its successor's limit. The state machine waits
/// for the answer nevertheless.
#[test]
fn limit_raised_before_the_answer_breaks_nothing() {
    let fault = Some(Fault::LimitRaisedBeforeTheAnswer);
    whole(
        "limit raised early",
        &Size {
            fault,
            restarts: 1,
            unclear: 1,
            ..size(2, 2, 1, &[0])
        },
    );
}

#[test]
fn unsettled_leader_lowers() {
    found(
        Fault::UnsettledLeaderLowers,
        Size {
            restarts: 1,
            ..size(2, 2, 2, &[0])
        },
    );
}

#[test]
fn write_does_not_depend_on_the_claim() {
    found(
        Fault::WriteWithoutClaim,
        Size {
            restarts: 1,
            ..size(2, 2, 2, &[0])
        },
    );
}

#[test]
fn unclear_write_is_taken_as_failed() {
    found(
        Fault::UnclearTakenAsFailed,
        Size {
            unclear: 1,
            ..size(2, 2, 2, &[0])
        },
    );
}

#[test]
fn tasks_are_stopped_at_the_end_only() {
    found(Fault::NoLapseLead, size(2, 8, 2, &[-1, 1]));
}

#[test]
fn grant_for_a_lost_record_is_taken() {
    found(
        Fault::GrantForLostRecordTaken,
        Size {
            restarts: 1,
            losses: 1,
            ..size(2, 2, 2, &[0])
        },
    );
}
