//! The state service refuses the leader alone while another node confirms cancellations, and is
//! then unavailable to all nodes for longer than `cancel_s`.

use std::time::Duration;

use crate::{
    cases::Case,
    seeds,
    sim::{MEDIUM, Sabotage, World},
};

/// Longer than `cancel_s` of these worlds.
const LONG: Duration = Duration::from_secs(24);

fn broken(seed: u64, case: Case, sabotage: Sabotage) -> Vec<String> {
    let mut world = World::sized(MEDIUM, seed, sabotage).with(20_000, case, LONG);
    world.run();
    assert!(
        world.observer.finished > 8,
        "{case:?} {seed}: too few jobs finished"
    );
    world.observer.broken()
}

fn holds(case: Case) {
    for seed in seeds(8) {
        let broken = broken(seed, case, Sabotage::None);
        assert_eq!(broken, Vec::<String>::new(), "{case:?} {seed}");
    }
}

#[test]
fn cancelled_tasks_are_gone_in_time_through_a_gap() {
    holds(Case::Gap);
}

/// Guards against a failover that keeps leases alive without stopping cancelled tasks, which would
/// prolong them by another term and another lease.
#[test]
fn cancelled_tasks_are_gone_in_time_where_a_gap_meets_a_claim() {
    holds(Case::GapAfterClaim);
}

/// Guards against a term that grows with the claim alone and goes on without the cancellations.
#[test]
fn cancelled_tasks_are_gone_in_time_where_the_leaders_watch_is_silent() {
    holds(Case::SilentWatch);
}

#[test]
fn a_term_that_grows_with_a_renewal_alone_is_caught() {
    let caught = |seed| {
        let broken = broken(seed, Case::SilentWatch, Sabotage::RenewalAlone);
        broken.iter().any(|b| b.starts_with("ran_cancelled"))
    };
    assert!((0..8).any(caught));
}
