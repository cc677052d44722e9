//! Pipelines under faults: no job starts before its dependencies are done, and none outlives the
//! cancellation of a dependency.

use std::time::Duration;

use kiteyard::core::store::TERMINAL_RANGES_PREFIX;

use crate::{
    cases::Case,
    seeds,
    sim::{CancelledStage, NODES, SMALL, Sabotage, Scale, World, ms},
};

/// Pipelines beside a few jobs of other kinds, with time for all of them to end.
const PIPELINES: Scale = Scale {
    length: Duration::from_secs(150),
    machines: 14,
    machines_most: 24,
    team_limit: 60.0,
    value_kb: 4.0,
    ..SMALL.quiet(4)
};

/// Number of pipelines in a world.
const COUNT: usize = 12;
const UNKNOWN: usize = 6;

/// Faults: start in milliseconds, kind, and length in milliseconds.
type Troubles<'a> = &'a [(u64, Case, u64)];

fn world(seed: u64, sabotage: Sabotage, troubles: Troubles) -> World {
    let world = World::sized(PIPELINES, seed, sabotage).quick();
    run(world, troubles)
}

/// Like `world`, with the terminal states of jobs stored by ranges of ids.
fn packed(seed: u64, sabotage: Sabotage, troubles: Troubles) -> World {
    let world = World::sized(PIPELINES, seed, sabotage).quick();
    let mut world = run(world.packs_ends(), troubles);
    assert!(sabotage != Sabotage::None || world.keys(TERMINAL_RANGES_PREFIX) > 0);
    world
}

fn run(world: World, troubles: Troubles) -> World {
    let mut world = world.pipelines(COUNT).unknown_needs(UNKNOWN);
    for (at, case, lasts) in troubles {
        world = world.with(*at, *case, ms(*lasts));
    }
    world.run();
    world
}

/// Asserts that no rule is broken and that all pipelines are done or cancelled.
fn holds(seed: u64, troubles: Troubles) -> World {
    checked(world(seed, Sabotage::None, troubles), seed, troubles)
}

fn checked(world: World, seed: u64, troubles: Troubles) -> World {
    let met = &world.pipelines.met;
    let what = format!("seed {seed}, {troubles:?}, {met:?}");
    assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
    assert_eq!(world.unfinished_stages(), [], "{what}");
    assert_eq!(met.unknown_refused, UNKNOWN as u64, "{what}");
    assert!(met.late > 1 && met.waiting_answers > 4, "{what}");
    world
}

/// Asserts that the defect is caught with either form of stored terminal states.
fn caught(sabotage: Sabotage, troubles: Troubles, rule: &str) {
    for build in [world, packed] {
        let hit = |seed| {
            let broken = build(seed, sabotage, troubles).observer.broken();
            broken.iter().any(|b| b.starts_with(rule))
        };
        assert!((0..10).any(hit), "{sabotage:?} was not caught as {rule}");
    }
}

#[test]
fn pipelines_end_as_their_users_want() {
    let stages = [
        CancelledStage::First,
        CancelledStage::Middle,
        CancelledStage::Last,
        CancelledStage::DuringSubmission,
    ];
    let mut cancelled = [0; 4];
    for seed in seeds(3) {
        let world = holds(seed, &[]);
        for (count, stage) in cancelled.iter_mut().zip(stages) {
            *count += world.cancelled_at(stage);
        }
        let done = world.pipelines_done();
        assert!(done > 2, "seed {seed}: {done} pipelines are done");
        assert_eq!(world.pipelines.untimed, [], "seed {seed}");
        assert!(world.pipelines.met.timed_ends > 3, "seed {seed}");
    }
    assert!(cancelled.iter().all(|count| *count > 0), "{cancelled:?}");
}

#[test]
fn pipelines_hold_where_leaders_end() {
    let mut met = 0;
    for seed in seeds(2) {
        let ends = [
            (9_000, Case::LeaderEnds, 0),
            (16_000, Case::AllEnd, 0),
            (23_000, Case::LeaderEnds, 0),
            (30_000, Case::EndAgain, 0),
        ];
        met += holds(seed, &ends).pipelines.met.claims_while_waiting;
    }
    assert!(met > 4, "{met} leaders started while jobs waited");
}

#[test]
fn pipelines_hold_where_the_state_service_is_away_or_slow() {
    for seed in seeds(2) {
        let away = [
            (8_000, Case::Outage, 6_000),
            (20_000, Case::StateSlow, 10_000),
            (33_000, Case::Outage, 22_000),
        ];
        holds(seed, &away);
    }
}

const LATE: [(u64, Case, u64); 4] = [
    (4_000, Case::Copies, 50_000),
    (6_000, Case::SlowLinks, 12_000),
    (20_000, Case::LateWrites, 15_000),
    (36_000, Case::ZoneCut, 9_000),
];

#[test]
fn pipelines_hold_where_messages_are_late_or_lost() {
    for seed in seeds(2) {
        holds(seed, &LATE);
    }
}

#[test]
fn pipelines_hold_where_transactions_are_not_answered() {
    for seed in seeds(2) {
        let lost = [
            (1_000, Case::AnswersLost, 60_000),
            (1_000, Case::CloseLooks, 60_000),
            (1_000, Case::AskedAtEnd, 60_000),
        ];
        let world = holds(seed, &lost);
        let met = &world.requests.met;
        assert!(
            met.answers_lost > 10 && met.looks > 20,
            "seed {seed}, {met:?}"
        );
    }
}

const REFUSED: [(u64, Case, u64); 1] = [(17_000, Case::RefusedThenAway, 24_000)];

/// A cancellation that was reported while the leader alone was refused also holds for the jobs that
/// depend on the cancelled one.
#[test]
fn pipelines_hold_where_users_cancel_as_the_leader_is_refused() {
    let mut confirmed = 0;
    for seed in seeds(3) {
        confirmed += holds(seed, &REFUSED).requests.met.confirmed_in_gap;
    }
    assert!(
        confirmed > 3,
        "{confirmed} cancellations reported while the leader was refused"
    );
}

#[test]
fn an_end_that_is_read_as_done_without_evidence_is_caught() {
    caught(Sabotage::EndsReadAsDone, &[], "too_early");
}

#[test]
fn answers_that_ignore_a_cancelled_need_are_caught() {
    caught(Sabotage::IgnoresCancelledNeeds, &[], "orphaned");
}

#[test]
fn ends_that_are_stored_without_their_time_are_caught() {
    for build in [world, packed] {
        let world = build(0, Sabotage::ForgetsEndTimes, &[]);
        assert!(!world.pipelines.untimed.is_empty());
    }
}

/// A terminal state of a dependency is stored whether or not the job already has one.
#[test]
fn an_end_of_a_needed_job_that_is_stored_over_another_one_is_caught() {
    let at_end = [(1_000, Case::AskedAtEnd, 100_000)];
    caught(Sabotage::EndsWhateverIsStored, &at_end, "went_back");
}

/// Guards against a start triggered by an older change: the terminal state of a dependency is read
/// before the watch reports that the job existed.
#[test]
fn a_leader_that_reads_an_end_does_not_start_the_job_by_an_older_change() {
    holds(23, &LATE);
}

/// Each kind of fault once more, with terminal states stored by ranges.
#[test]
fn pipelines_hold_where_ends_are_packed() {
    let lost = [
        (1_000, Case::AnswersLost, 60_000),
        (1_000, Case::AskedAtEnd, 60_000),
        (14_000, Case::LeaderEnds, 0),
        (33_000, Case::Outage, 15_000),
    ];
    let all: [Troubles; 4] = [&[], &LATE, &REFUSED, &lost];
    for seed in seeds(1) {
        let mut timed = 0;
        for troubles in all {
            let world = packed(seed, Sabotage::None, troubles);
            timed += checked(world, seed, troubles).pipelines.met.timed_ends;
        }
        assert!(
            timed > 8,
            "seed {seed}: {timed} terminal states with their time"
        );
    }
}

/// Terminal states are rewritten from one form to the other while pipelines run.
#[test]
fn pipelines_hold_while_ends_are_rewritten() {
    for seed in seeds(2) {
        let mut world = World::sized(PIPELINES, seed, Sabotage::None).rolling("4");
        for node in 0..NODES {
            world = world.upgrade(14_000 + 5_000 * node as u64, node, 2);
        }
        let world = run(world, &[]);
        let mut world = checked(world, seed, &[]);
        assert!(
            world.keys(TERMINAL_RANGES_PREFIX) > 0,
            "seed {seed}: never switched to packed terminal states"
        );
    }
}

/// Six random faults, with terminal states of either form.
#[test]
fn pipelines_keep_the_rules_under_mixed_troubles() {
    let scale = Scale {
        troubles: 6,
        ..PIPELINES
    };
    for seed in seeds(2) {
        let world = || World::sized(scale, seed, Sabotage::None);
        for world in [world(), world().packs_ends()] {
            let world = run(world, &[(30_000, Case::CancelBurst, 0)]);
            let met = &world.pipelines.met;
            let what = format!("seed {seed}, {met:?}");
            assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
        }
    }
}
