//! The state service refuses the leader alone while another node confirms cancellations, and is
//! then unavailable to all nodes for longer than `cancel_s`.

use std::time::Duration;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, MEDIUM, World},
};

/// Longer than `cancel_s` of these worlds.
const OUTAGE_DURATION: Duration = Duration::from_secs(24);

fn violations(seed: u64, fault: Fault, defect: Defect) -> Vec<String> {
    let mut world =
        World::with_scale(MEDIUM, seed, defect).with_fault(20_000, fault, OUTAGE_DURATION);
    world.run();
    assert!(
        world.observer.finished > 8,
        "{fault:?} {seed}: too few jobs finished"
    );
    world.observer.violations()
}

fn assert_rules_hold(fault: Fault) {
    for seed in seeds(8) {
        let violations = violations(seed, fault, Defect::None);
        assert_eq!(violations, Vec::<String>::new(), "{fault:?} {seed}");
    }
}

#[test]
fn cancelled_tasks_stop_in_time_when_an_outage_follows_a_refusal() {
    assert_rules_hold(Fault::RefusalThenOutage);
}

/// Guards against a failover that keeps leases alive without stopping cancelled tasks, which would
/// prolong them by another term and another lease.
#[test]
fn cancelled_tasks_stop_in_time_when_an_outage_follows_a_claim() {
    assert_rules_hold(Fault::OutageAfterClaim);
}

/// Guards against a leader whose term is extended by its claim alone, although it has not seen the
/// cancellations.
#[test]
fn cancelled_tasks_stop_in_time_when_the_leaders_watch_is_silent() {
    assert_rules_hold(Fault::SilentWatch);
}

#[test]
fn a_term_that_grows_with_a_renewal_alone_is_caught() {
    let caught = |seed| {
        let violations = violations(seed, Fault::SilentWatch, Defect::RenewalExtendsTerm);
        violations.iter().any(|v| v.starts_with("ran_cancelled"))
    };
    assert!((0..8).any(caught));
}
