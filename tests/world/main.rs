//! Several cores in a small simulated world: state service, cloud, workers and
//! users, with late and lost messages, crashes, cuts, outages and drift. An
//! observer that knows nothing of the cores checks the protocol's rules.

mod observer;
mod sim;
mod state;

use sim::{Sabotage, World};

/// Runs one world and says which rules were broken.
fn run(seed: u64, sabotage: Sabotage) -> Vec<String> {
    let mut world = World::new(seed, sabotage);
    world.run();
    world.observer.broken()
}

fn seeds_keep_the_rules(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut world = World::new(seed, Sabotage::None);
        world.run();
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "seed {seed}");
        assert!(world.observer.starts > 20, "seed {seed} ran too little");
        assert!(
            world.observer.finished > 3,
            "seed {seed} finished too little"
        );
    }
}

#[test]
fn rules_hold_under_mixed_troubles_first_half() {
    seeds_keep_the_rules(0..12);
}

#[test]
fn rules_hold_under_mixed_troubles_second_half() {
    seeds_keep_the_rules(12..24);
}

#[test]
fn the_same_seed_gives_the_same_world() {
    let trace = |seed| {
        let mut world = World::new(seed, Sabotage::None);
        world.run();
        (world.observer.starts, world.observer.finished, world.steps)
    };
    assert_eq!(trace(5), trace(5));
}

/// The observer can fail: a core made unsafe in one way is caught by the rule.
fn caught(sabotage: Sabotage, rule: &str) {
    let hit = (100..130).any(|seed| run(seed, sabotage).iter().any(|b| b.starts_with(rule)));
    assert!(hit, "{sabotage:?} was not caught as {rule}");
}

#[test]
fn a_leader_that_does_not_wait_for_worker_leases_is_caught() {
    caught(Sabotage::NoWorkerLease, "ran_twice");
}

#[test]
fn a_core_without_team_limits_is_caught() {
    caught(Sabotage::NoTeamLimit, "quota");
}

#[test]
fn a_core_blind_for_zones_is_caught() {
    caught(Sabotage::BlindForPlaces, "wrong_place");
}

#[test]
fn a_leader_deaf_for_cancellations_is_caught() {
    caught(Sabotage::DeafForCancellations, "ran_cancelled");
}

#[test]
fn a_store_that_forgets_ends_is_caught() {
    caught(Sabotage::ForgetEnds, "forgotten");
}

#[test]
fn a_worker_result_believed_too_early_is_caught() {
    caught(Sabotage::BelieveRunning, "not_done");
}

#[test]
fn an_unproven_copy_is_caught() {
    caught(Sabotage::UnprovenAnswers, "went_back");
}
