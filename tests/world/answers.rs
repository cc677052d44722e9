//! Answers to user requests that coincide with acceptances, completions, cancellations and a state
//! service that does not answer.

use std::time::Duration;

use crate::{
    cases::Case,
    seeds,
    sim::{LONG, MEDIUM, Met, SMALL, Sabotage, Scale, World, ms},
};

const SHORT: Scale = Scale {
    length: Duration::from_secs(60),
    ..MEDIUM
};

/// Enough long tasks that some can be cancelled at any time.
const MANY: Scale = Scale { jobs: 100, ..LONG };

/// Duration of the faults; cancellations are reported during most of it.
const DURING: Duration = Duration::from_secs(45);

fn world(scale: Scale, seed: u64, sabotage: Sabotage, cases: &[(Case, Duration)]) -> World {
    let mut world = World::sized(scale, seed, sabotage).quick();
    for (case, lasts) in cases {
        world = world.with(3_000, *case, *lasts);
    }
    world.run();
    world
}

fn holds(cases: &[(Case, Duration)], met: fn(&Met) -> bool) {
    for seed in seeds(4) {
        let world = world(SHORT, seed, Sabotage::None, cases);
        let what = format!("seed {seed}, {cases:?}, {:?}", world.requests.met);
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
        assert!(met(&world.requests.met), "{what}");
    }
}

fn caught(sabotage: Sabotage, cases: &[(Case, Duration)], rule: &str) {
    let hit = |seed| {
        let broken = world(SHORT, seed, sabotage, cases).observer.broken();
        broken.iter().any(|b| b.starts_with(rule))
    };
    assert!((0..12).any(hit), "{sabotage:?} was not caught as {rule}");
}

const LOOKS: (Case, Duration) = (Case::CloseLooks, DURING);
const AT_END: (Case, Duration) = (Case::AskedAtEnd, DURING);
const LOST: (Case, Duration) = (Case::AnswersLost, DURING);
const ODD: (Case, Duration) = (Case::OddRequests, DURING);

#[test]
fn no_node_answers_something_older_however_soon_it_is_asked() {
    holds(&[LOOKS], |met| met.looks > 20 && met.cancelled_at_once > 3);
}

#[test]
fn no_node_answers_something_older_where_answers_of_transactions_are_lost() {
    holds(&[LOOKS, LOST], |met| {
        met.looks > 20 && met.answers_lost > 20
    });
}

#[test]
fn what_meets_the_end_of_the_last_task_is_answered_one_way() {
    holds(&[AT_END, LOOKS], |met| met.at_the_end > 5);
}

#[test]
fn jobs_that_can_never_run_are_refused_at_each_node() {
    holds(&[ODD], |met| met.impossible > 500);
}

#[test]
fn answers_from_an_unproven_copy_are_caught_by_close_looks() {
    caught(Sabotage::UnprovenAnswers, &[LOOKS], "went_back");
    caught(Sabotage::UnprovenAnswers, &[LOOKS], "forgotten");
}

#[test]
fn a_job_that_is_accepted_twice_is_caught() {
    caught(
        Sabotage::AcceptsWhateverIsStored,
        &[LOOKS],
        "accepted_again",
    );
}

#[test]
fn a_leader_that_starts_what_was_cancelled_long_ago_is_caught() {
    caught(
        Sabotage::DeafForCancellations,
        &[LOOKS],
        "started_cancelled",
    );
}

#[test]
fn a_node_that_starts_what_it_told_as_over_is_caught() {
    caught(Sabotage::EndsLookNew, &[LOOKS], "started_over");
}

#[test]
fn a_node_that_takes_the_limit_for_larger_is_caught() {
    caught(Sabotage::NoTeamLimit, &[ODD], "accepted_unrunnable");
}

#[test]
fn an_end_that_is_stored_over_another_one_is_caught() {
    caught(Sabotage::EndsWhateverIsStored, &[AT_END], "went_back");
}

#[test]
fn an_end_that_is_lost_is_caught_by_what_meets_it() {
    caught(Sabotage::ForgetEnds, &[AT_END], "forgotten");
}

#[test]
fn answers_from_an_unproven_copy_are_caught_where_answers_are_lost() {
    caught(Sabotage::UnprovenAnswers, &[LOST], "went_back");
}

/// Four jobs per second for two minutes, a quarter of them cancelled. A low-priority job may wait
/// until it pays to provision a machine in its zone; all jobs are in a terminal state 115 s after
/// the last submission.
#[test]
fn rules_hold_while_small_jobs_come_all_the_time() {
    let scale = Scale {
        length: Duration::from_secs(240),
        machines: 30,
        ..SMALL.quiet(0)
    };
    for seed in seeds(1) {
        let mut world = World::sized(scale, seed, Sabotage::None).stream(480, ms(250));
        world = world.with(1_000, Case::CloseLooks, Duration::from_secs(150));
        world = world.with(40_000, Case::AskedAtEnd, Duration::from_secs(20));
        // Users cause the only faults here, so no job may wait while a machine has room for it.
        world.liveness.settled = Some(Duration::from_secs(10));
        world.run();
        let (done, cancelled) = world.ended();
        let left = world.left();
        let met = &world.requests.met;
        let what = format!("seed {seed}: {done}, {cancelled}, {met:?}, {left:?}");
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
        assert!(done > 150 && done + cancelled == 480, "{what}");
        assert!(world.requests.met.at_the_end > 20, "{what}");
    }
}

/// Guards against wrong answers when a burst of cancellations arrives in the seconds around a
/// failover, or while the state service refuses the leader and then all nodes.
#[test]
fn rules_hold_where_users_cancel_and_ask_while_work_changes_hands() {
    let hands = [
        (Case::LeaderEnds, 0),
        (Case::Stands, 9),
        (Case::LeaderZoneCut, 14),
        (Case::LeaderApart, 16),
        (Case::Gap, 24),
    ];
    for seed in seeds(2) {
        for (case, lasts) in hands {
            for before in [0, 400, 1_500] {
                let mut world = World::sized(MANY, seed, Sabotage::None).quick();
                for (case, lasts) in [LOOKS, AT_END] {
                    world = world.with(3_000, case, lasts);
                }
                world = world.with(20_000, case, Duration::from_secs(lasts));
                world = world.with(20_000 + before, Case::CancelBurst, Duration::ZERO);
                world.run();
                let what = format!("seed {seed}, {case:?}, {:?}", world.requests.met);
                assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
                assert!(world.requests.met.burst > 5, "{what}");
            }
        }
    }
}

/// Cancels jobs at the moment the state service starts to refuse the leader alone; one second later
/// it is unavailable to all nodes, for longer than `cancel_s`.
fn refused_then_away(seed: u64, sabotage: Sabotage) -> World {
    let mut world = World::sized(LONG, seed, sabotage).with(
        20_000,
        Case::RefusedThenAway,
        Duration::from_secs(24),
    );
    world.run();
    world
}

#[test]
fn cancelled_tasks_are_gone_in_time_where_the_refusal_meets_the_burst() {
    for seed in seeds(6) {
        let world = refused_then_away(seed, Sabotage::None);
        let what = format!("seed {seed}, {:?}", world.requests.met);
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
        assert!(world.requests.met.confirmed_in_gap > 5, "{what}");
    }
}

#[test]
fn a_term_that_is_too_long_is_caught_where_the_refusal_meets_the_burst() {
    let caught = |seed| {
        let broken = refused_then_away(seed, Sabotage::BelievesLateRenewals);
        let broken = broken.observer.broken();
        broken.iter().any(|b| b.starts_with("ran_cancelled"))
    };
    assert!((0..8).any(caught));
}
