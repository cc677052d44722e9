//! Answers to user requests that coincide with acceptances, completions, cancellations and a state
//! service that does not answer.

use std::time::Duration;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, LONG, MEDIUM, RequestCounts, SMALL, Scale, World, ms},
};

const SHORT: Scale = Scale {
    duration: Duration::from_secs(60),
    ..MEDIUM
};

/// Enough long tasks that some can be cancelled at any time.
const MANY_JOBS: Scale = Scale { jobs: 100, ..LONG };

/// Duration of the faults; cancellations are reported during most of it.
const FAULT_DURATION: Duration = Duration::from_secs(45);

fn world(scale: Scale, seed: u64, defect: Defect, faults: &[(Fault, Duration)]) -> World {
    let mut world = World::with_scale(scale, seed, defect).with_quick_restarts();
    for (fault, duration) in faults {
        world = world.with_fault(3_000, *fault, *duration);
    }
    world.run();
    world
}

fn assert_rules_hold(faults: &[(Fault, Duration)], occurred: fn(&RequestCounts) -> bool) {
    for seed in seeds(4) {
        let world = world(SHORT, seed, Defect::None, faults);
        let context = format!("seed {seed}, {faults:?}, {:?}", world.requests.counts);
        world.observer.assert_no_violations(&context);
        assert!(occurred(&world.requests.counts), "{context}");
    }
}

fn assert_caught(defect: Defect, faults: &[(Fault, Duration)], rule: &str) {
    let caught = |seed| {
        let violations = world(SHORT, seed, defect, faults).observer.violations();
        violations.iter().any(|v| v.starts_with(rule))
    };
    assert!((0..12).any(caught), "{defect:?} was not caught as {rule}");
}

const POLLS: (Fault, Duration) = (Fault::ImmediatePolls, FAULT_DURATION);
const AT_COMPLETION: (Fault, Duration) = (Fault::RequestsAtCompletion, FAULT_DURATION);
const LOST_ANSWERS: (Fault, Duration) = (Fault::AnswersLost, FAULT_DURATION);
const UNRUNNABLE: (Fault, Duration) = (Fault::UnrunnableJobs, FAULT_DURATION);

#[test]
fn no_node_returns_an_older_state_however_soon_it_is_polled() {
    assert_rules_hold(&[POLLS], |counts| {
        counts.polled_jobs > 20 && counts.cancelled_at_once > 3
    });
}

#[test]
fn no_node_returns_an_older_state_when_transaction_answers_are_lost() {
    assert_rules_hold(&[POLLS, LOST_ANSWERS], |counts| {
        counts.polled_jobs > 20 && counts.answers_lost > 20
    });
}

#[test]
fn requests_at_the_end_of_the_last_task_get_consistent_answers() {
    assert_rules_hold(&[AT_COMPLETION, POLLS], |counts| counts.at_completion > 5);
}

#[test]
fn jobs_that_can_never_run_are_refused_at_each_node() {
    assert_rules_hold(&[UNRUNNABLE], |counts| counts.impossible > 500);
}

#[test]
fn answers_from_an_unverified_state_cache_are_caught_by_polls() {
    assert_caught(Defect::UnverifiedAnswers, &[POLLS], "went_back");
    assert_caught(Defect::UnverifiedAnswers, &[POLLS], "forgotten");
}

#[test]
fn a_job_that_is_accepted_twice_is_caught() {
    assert_caught(Defect::UnconditionalAcceptance, &[POLLS], "accepted_again");
}

#[test]
fn a_leader_that_starts_what_was_cancelled_long_ago_is_caught() {
    assert_caught(Defect::MissesCancellations, &[POLLS], "started_cancelled");
}

#[test]
fn a_node_that_starts_a_job_it_reported_as_ended_is_caught() {
    assert_caught(Defect::EndedJobsLookNew, &[POLLS], "started_over");
}

#[test]
fn a_node_that_assumes_a_larger_limit_is_caught() {
    assert_caught(
        Defect::IgnoresTeamLimits,
        &[UNRUNNABLE],
        "accepted_unrunnable",
    );
}

#[test]
fn an_overwritten_terminal_state_is_caught() {
    assert_caught(
        Defect::UnconditionalTerminalStates,
        &[AT_COMPLETION],
        "went_back",
    );
}

#[test]
fn a_lost_terminal_state_is_caught_by_requests_at_completion() {
    assert_caught(Defect::LosesTerminalStates, &[AT_COMPLETION], "forgotten");
}

#[test]
fn answers_from_an_unverified_state_cache_are_caught_when_answers_are_lost() {
    assert_caught(Defect::UnverifiedAnswers, &[LOST_ANSWERS], "went_back");
}

/// Four jobs per second for two minutes, a quarter of them cancelled. A low-priority job may wait
/// until it pays to provision a machine in its zone; all jobs are in a terminal state 115 s after
/// the last submission.
#[test]
fn rules_hold_under_a_steady_stream_of_small_jobs() {
    let scale = Scale {
        duration: Duration::from_secs(240),
        machines: 30,
        ..SMALL.quiet(0)
    };
    for seed in seeds(1) {
        let mut world = World::with_scale(scale, seed, Defect::None).with_job_stream(480, ms(250));
        world = world.with_fault(1_000, Fault::ImmediatePolls, Duration::from_secs(150));
        world = world.with_fault(40_000, Fault::RequestsAtCompletion, Duration::from_secs(20));
        // Users cause the only faults here, so no job may wait while a machine has room for it.
        world.liveness.check_from = Some(Duration::from_secs(10));
        world.run();
        let (done, cancelled) = world.ended_counts();
        let unfinished = world.unfinished_jobs();
        let counts = &world.requests.counts;
        let context = format!("seed {seed}: {done}, {cancelled}, {counts:?}, {unfinished:?}");
        world.observer.assert_no_violations(&context);
        assert!(done > 150 && done + cancelled == 480, "{context}");
        assert!(world.requests.counts.at_completion > 20, "{context}");
    }
}

/// Guards against wrong answers when a burst of cancellations arrives in the seconds around a
/// failover, or while the state service refuses the leader and then all nodes.
#[test]
fn rules_hold_when_users_cancel_and_poll_during_failovers() {
    let failovers = [
        (Fault::LeaderCrash, 0),
        (Fault::LeaderFreezes, 9),
        (Fault::LeaderZoneCut, 14),
        (Fault::LeaderIsolated, 16),
        (Fault::RefusalThenOutage, 24),
    ];
    for seed in seeds(2) {
        for (fault, duration) in failovers {
            for delay_ms in [0, 400, 1_500] {
                let mut world =
                    World::with_scale(MANY_JOBS, seed, Defect::None).with_quick_restarts();
                for (fault, duration) in [POLLS, AT_COMPLETION] {
                    world = world.with_fault(3_000, fault, duration);
                }
                world = world.with_fault(20_000, fault, Duration::from_secs(duration));
                world = world.with_fault(20_000 + delay_ms, Fault::CancelBurst, Duration::ZERO);
                world.run();
                let context = format!("seed {seed}, {fault:?}, {:?}", world.requests.counts);
                world.observer.assert_no_violations(&context);
                assert!(world.requests.counts.burst_cancellations > 5, "{context}");
            }
        }
    }
}

/// Cancels jobs at the moment the state service starts to refuse the leader alone; one second later
/// it is unavailable to all nodes, for longer than `cancel_s`.
fn cancel_burst_at_refusal(seed: u64, defect: Defect) -> World {
    let mut world = World::with_scale(LONG, seed, defect).with_fault(
        20_000,
        Fault::CancelBurstAtRefusal,
        Duration::from_secs(24),
    );
    world.run();
    world
}

#[test]
fn cancelled_tasks_stop_in_time_when_a_burst_coincides_with_the_refusal() {
    for seed in seeds(6) {
        let world = cancel_burst_at_refusal(seed, Defect::None);
        let context = format!("seed {seed}, {:?}", world.requests.counts);
        world.observer.assert_no_violations(&context);
        assert!(
            world.requests.counts.confirmed_during_refusal > 5,
            "{context}"
        );
    }
}

#[test]
fn a_term_that_is_too_long_is_caught_when_a_burst_coincides_with_the_refusal() {
    let caught = |seed| {
        let violations = cancel_burst_at_refusal(seed, Defect::CountsRenewalFromAnswer);
        let violations = violations.observer.violations();
        violations.iter().any(|v| v.starts_with("ran_cancelled"))
    };
    assert!((0..8).any(caught));
}
