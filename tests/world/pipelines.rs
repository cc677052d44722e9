//! Pipelines under faults: no job starts before its dependencies are done, and none outlives the
//! cancellation of a dependency.

use std::time::Duration;

use kiteyard::core::store::TERMINAL_RANGES_PREFIX;

use crate::{
    faults::Fault,
    seeds,
    sim::{CancelledStage, Defect, NODES, SMALL, Scale, World, ms},
};

/// Pipelines beside a few jobs of other kinds, with time for all of them to end.
const PIPELINES: Scale = Scale {
    duration: Duration::from_secs(150),
    machines: 14,
    max_machines: 24,
    team_limit: 60.0,
    value_kb: 4.0,
    ..SMALL.quiet(4)
};

/// Number of pipelines in a world.
const PIPELINE_COUNT: usize = 12;
const UNKNOWN_COUNT: usize = 6;

/// Faults: start in milliseconds, kind, and length in milliseconds.
type Faults<'a> = &'a [(u64, Fault, u64)];

fn world(seed: u64, defect: Defect, faults: Faults) -> World {
    let world = World::with_scale(PIPELINES, seed, defect).with_quick_restarts();
    run(world, faults)
}

/// Like `world`, with the terminal states of jobs stored by ranges of ids.
fn packed_world(seed: u64, defect: Defect, faults: Faults) -> World {
    let world = World::with_scale(PIPELINES, seed, defect).with_quick_restarts();
    let mut world = run(world.with_packed_terminal_states(), faults);
    assert!(defect != Defect::None || world.count_keys(TERMINAL_RANGES_PREFIX) > 0);
    world
}

fn run(world: World, faults: Faults) -> World {
    let mut world = world
        .with_pipelines(PIPELINE_COUNT)
        .with_unknown_dependencies(UNKNOWN_COUNT);
    for (at, fault, duration) in faults {
        world = world.with_fault(*at, *fault, ms(*duration));
    }
    world.run();
    world
}

/// Asserts that no rule is broken and that all pipelines are done or cancelled.
fn assert_rules_hold(seed: u64, faults: Faults) -> World {
    assert_rules_hold_in(world(seed, Defect::None, faults), seed, faults)
}

fn assert_rules_hold_in(world: World, seed: u64, faults: Faults) -> World {
    let counts = &world.pipelines.counts;
    let context = format!("seed {seed}, {faults:?}, {counts:?}");
    world.observer.assert_no_violations(&context);
    assert_eq!(world.unfinished_stages(), [], "{context}");
    assert_eq!(counts.unknown_refused, UNKNOWN_COUNT as u64, "{context}");
    assert!(
        counts.submitted_late > 1 && counts.waiting_answers > 4,
        "{context}"
    );
    world
}

/// Asserts that the defect is caught with either form of stored terminal states.
fn assert_caught(defect: Defect, faults: Faults, rule: &str) {
    for build in [world, packed_world] {
        let caught = |seed| {
            let violations = build(seed, defect, faults).observer.violations();
            violations.iter().any(|v| v.starts_with(rule))
        };
        assert!((0..10).any(caught), "{defect:?} was not caught as {rule}");
    }
}

#[test]
fn pipelines_end_as_requested() {
    let stages = [
        CancelledStage::First,
        CancelledStage::Middle,
        CancelledStage::Last,
        CancelledStage::DuringSubmission,
    ];
    let mut cancelled = [0; 4];
    for seed in seeds(3) {
        let world = assert_rules_hold(seed, &[]);
        for (count, stage) in cancelled.iter_mut().zip(stages) {
            *count += world.cancelled_at(stage);
        }
        let done = world.pipelines_done();
        assert!(done > 2, "seed {seed}: {done} pipelines are done");
        assert_eq!(world.pipelines.without_time, [], "seed {seed}");
        assert!(
            world.pipelines.counts.timed_terminal_states > 3,
            "seed {seed}"
        );
    }
    assert!(cancelled.iter().all(|count| *count > 0), "{cancelled:?}");
}

#[test]
fn pipelines_keep_the_rules_when_leaders_crash() {
    let mut claims = 0;
    for seed in seeds(2) {
        let crashes = [
            (9_000, Fault::LeaderCrash, 0),
            (16_000, Fault::AllCrash, 0),
            (23_000, Fault::LeaderCrash, 0),
            (30_000, Fault::RepeatedCrashes, 0),
        ];
        claims += assert_rules_hold(seed, &crashes)
            .pipelines
            .counts
            .claims_while_waiting;
    }
    assert!(claims > 4, "{claims} leaders started while jobs waited");
}

#[test]
fn pipelines_keep_the_rules_when_the_state_service_is_unavailable_or_slow() {
    for seed in seeds(2) {
        let outages = [
            (8_000, Fault::StateOutage, 6_000),
            (20_000, Fault::StateSlow, 10_000),
            (33_000, Fault::StateOutage, 22_000),
        ];
        assert_rules_hold(seed, &outages);
    }
}

const LATE_MESSAGES: [(u64, Fault, u64); 4] = [
    (4_000, Fault::Duplicates, 50_000),
    (6_000, Fault::SlowLinks, 12_000),
    (20_000, Fault::LateWrites, 15_000),
    (36_000, Fault::ZoneCut, 9_000),
];

#[test]
fn pipelines_keep_the_rules_when_messages_are_late_or_lost() {
    for seed in seeds(2) {
        assert_rules_hold(seed, &LATE_MESSAGES);
    }
}

#[test]
fn pipelines_keep_the_rules_when_transactions_are_not_answered() {
    for seed in seeds(2) {
        let lost = [
            (1_000, Fault::AnswersLost, 60_000),
            (1_000, Fault::ImmediatePolls, 60_000),
            (1_000, Fault::RequestsAtCompletion, 60_000),
        ];
        let world = assert_rules_hold(seed, &lost);
        let counts = &world.requests.counts;
        assert!(
            counts.answers_lost > 10 && counts.polled_jobs > 20,
            "seed {seed}, {counts:?}"
        );
    }
}

const REFUSAL: [(u64, Fault, u64); 1] = [(17_000, Fault::CancelBurstAtRefusal, 24_000)];

/// A cancellation that was reported while the leader alone was refused also holds for the jobs that
/// depend on the cancelled one.
#[test]
fn pipelines_keep_the_rules_when_users_cancel_as_the_leader_is_refused() {
    let mut confirmed = 0;
    for seed in seeds(3) {
        confirmed += assert_rules_hold(seed, &REFUSAL)
            .requests
            .counts
            .confirmed_during_refusal;
    }
    assert!(
        confirmed > 3,
        "{confirmed} cancellations reported while the leader was refused"
    );
}

#[test]
fn a_terminal_state_read_as_done_without_evidence_is_caught() {
    assert_caught(Defect::TerminalStatesReadAsDone, &[], "too_early");
}

#[test]
fn answers_that_ignore_a_cancelled_dependency_are_caught() {
    assert_caught(Defect::IgnoresCancelledDependencies, &[], "orphaned");
}

#[test]
fn terminal_states_without_their_time_are_caught() {
    for build in [world, packed_world] {
        let world = build(0, Defect::LosesTerminalTimes, &[]);
        assert!(!world.pipelines.without_time.is_empty());
    }
}

/// A terminal state of a dependency is stored whether or not the job already has one.
#[test]
fn an_overwritten_terminal_state_of_a_dependency_is_caught() {
    let at_end = [(1_000, Fault::RequestsAtCompletion, 100_000)];
    assert_caught(Defect::UnconditionalTerminalStates, &at_end, "went_back");
}

/// Guards against a start triggered by an older change: the terminal state of a dependency is read
/// before the watch reports that the job existed.
#[test]
fn a_leader_that_reads_a_terminal_state_does_not_start_the_job_by_an_older_change() {
    assert_rules_hold(23, &LATE_MESSAGES);
}

/// Each kind of fault once more, with terminal states stored by ranges.
#[test]
fn pipelines_keep_the_rules_with_packed_terminal_states() {
    let lost = [
        (1_000, Fault::AnswersLost, 60_000),
        (1_000, Fault::RequestsAtCompletion, 60_000),
        (14_000, Fault::LeaderCrash, 0),
        (33_000, Fault::StateOutage, 15_000),
    ];
    let all: [Faults; 4] = [&[], &LATE_MESSAGES, &REFUSAL, &lost];
    for seed in seeds(1) {
        let mut timed = 0;
        for faults in all {
            let world = packed_world(seed, Defect::None, faults);
            timed += assert_rules_hold_in(world, seed, faults)
                .pipelines
                .counts
                .timed_terminal_states;
        }
        assert!(
            timed > 8,
            "seed {seed}: {timed} terminal states with their time"
        );
    }
}

/// Terminal states are rewritten from one form to the other while pipelines run.
#[test]
fn pipelines_keep_the_rules_while_terminal_states_are_rewritten() {
    for seed in seeds(2) {
        let mut world = World::with_scale(PIPELINES, seed, Defect::None).with_rollout("4");
        for node in 0..NODES {
            world = world.with_upgrade(14_000 + 5_000 * node as u64, node, 2);
        }
        let world = run(world, &[]);
        let mut world = assert_rules_hold_in(world, seed, &[]);
        assert!(
            world.count_keys(TERMINAL_RANGES_PREFIX) > 0,
            "seed {seed}: never switched to packed terminal states"
        );
    }
}

/// Six random faults, with terminal states of either form.
#[test]
fn pipelines_keep_the_rules_under_mixed_faults() {
    let scale = Scale {
        random_faults: 6,
        ..PIPELINES
    };
    for seed in seeds(2) {
        let world = || World::with_scale(scale, seed, Defect::None);
        for world in [world(), world().with_packed_terminal_states()] {
            let world = run(world, &[(30_000, Fault::CancelBurst, 0)]);
            let counts = &world.pipelines.counts;
            let context = format!("seed {seed}, {counts:?}");
            world.observer.assert_no_violations(&context);
        }
    }
}
