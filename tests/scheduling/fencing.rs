//! When a worker's fencing token is raised, what goes under its last one, and the numbers of
//! attempts.

use std::time::Duration;

use kiteyard::core::{
    attempt_numbers::{self, AttemptNumbers},
    cluster::DirectCommands,
    fencing,
    job::{JobId, Kind, Priority},
    machine::{Command, DirectReply, ExitReason, ReportedTask, TaskPhase, WorkerReport},
};

use crate::cluster::{Cluster, spec};

/// Claim of the leader that `Cluster` creates.
const CLAIM: u64 = 5;
const MACHINE: &str = "vm-1";

fn last_token() -> u64 {
    fencing::first_token(CLAIM + 1) - 1
}

/// A leader with one machine, whose token is the given one, and a job of two tasks placed there.
fn leader_with_placed_job(token: u64) -> (Cluster, JobId) {
    let mut c = Cluster::new(4.0);
    c.add_machine(MACHINE);
    let machine = c.cluster.machines.get_mut(MACHINE).expect("the machine");
    machine.token = token;
    let job = c.add_job(spec(1, Kind::Array, Priority::Normal, 2, 1.0));
    c.pass();
    let machine = c.cluster.machines.get_mut(MACHINE).expect("the machine");
    machine.assignment.jobs.insert(job.clone());
    (c, job)
}

fn token(c: &Cluster) -> u64 {
    c.cluster.machines[MACHINE].token
}

fn direct(c: &mut Cluster) -> Option<DirectCommands> {
    c.now += Duration::from_secs(1);
    c.cluster.direct_commands(c.now).pop()
}

/// Sends direct starts, which the worker executes and answers.
fn start_directly(c: &mut Cluster) -> DirectCommands {
    let direct = direct(c).expect("direct starts");
    let report = c.build_report(MACHINE, 1, direct.token);
    let reply = DirectReply::Executed(report);
    c.cluster.apply_direct_reply(&direct, reply, c.now);
    direct
}

/// Makes the worker execute the starts and report all its tasks with this phase; returns the
/// token and the commands of the answer.
fn report_phase(c: &mut Cluster, phase: TaskPhase) -> (u64, Vec<Command>) {
    let attempts = c.cluster.machines[MACHINE].tasks.keys();
    let tasks = attempts.map(|(task, attempt)| ReportedTask {
        task: task.clone(),
        attempt: *attempt,
        phase,
    });
    c.running.insert(MACHINE.to_owned(), tasks.collect());
    let seen = token(c);
    let report = c.build_report(MACHINE, 1, seen);
    c.cluster.process_report(&report, c.now).expect("in time")
}

fn count(commands: &[Command], is_counted: fn(&Command) -> bool) -> usize {
    commands.iter().filter(|c| is_counted(c)).count()
}

fn starts(commands: &[Command]) -> usize {
    count(commands, |c| matches!(c, Command::Start { .. }))
}

fn forgets(commands: &[Command]) -> usize {
    count(commands, |c| matches!(c, Command::Forget { .. }))
}

const FAILED: TaskPhase = TaskPhase::Exited(ExitReason::Error);

#[test]
fn attempts_that_were_started_directly_are_forgotten_under_a_higher_token() {
    let first = fencing::first_token(CLAIM);
    for reason in [
        ExitReason::Error,
        ExitReason::Stopped { saved: true },
        ExitReason::Stopped { saved: false },
        ExitReason::Peers,
        ExitReason::Incomplete,
        ExitReason::NoRoom,
        ExitReason::Busy,
        ExitReason::Unknown,
    ] {
        let (mut c, _) = leader_with_placed_job(first);
        let direct = start_directly(&mut c);
        assert_eq!((direct.token, starts(&direct.commands)), (first, 2));
        let (answered, _) = report_phase(&mut c, TaskPhase::Running);
        assert_eq!(answered, first);
        let exited = TaskPhase::Exited(reason);
        let (answered, commands) = report_phase(&mut c, exited);
        assert_eq!((answered, forgets(&commands)), (first + 1, 2), "{reason:?}");
        // The answer may be lost; its repeat needs no token of its own.
        let (answered, commands) = report_phase(&mut c, exited);
        assert_eq!((answered, forgets(&commands)), (first + 1, 2), "{reason:?}");
    }
}

/// The job may end before its tasks do, or be cancelled.
#[test]
fn attempts_of_an_ended_job_are_forgotten_under_a_higher_token() {
    let first = fencing::first_token(CLAIM);
    let (mut c, job) = leader_with_placed_job(first);
    start_directly(&mut c);
    report_phase(&mut c, TaskPhase::Running);
    c.cluster.remove_job(&job, c.now);
    for reason in [ExitReason::Stopped { saved: false }, ExitReason::Done] {
        let (answered, commands) = report_phase(&mut c, TaskPhase::Exited(reason));
        assert_eq!((answered, forgets(&commands)), (first + 1, 2), "{reason:?}");
    }
}

#[test]
fn attempts_that_were_started_with_an_answer_are_forgotten_under_the_same_token() {
    let first = fencing::first_token(CLAIM);
    let (mut c, _) = leader_with_placed_job(first);
    assert_eq!(starts(&c.report(MACHINE)), 2);
    report_phase(&mut c, TaskPhase::Running);
    let (answered, commands) = report_phase(&mut c, FAILED);
    assert_eq!((answered, forgets(&commands)), (first, 2));
}

#[test]
fn a_token_that_is_raised_to_the_last_one_stays_within_its_claim() {
    let (mut c, _) = leader_with_placed_job(last_token() - 1);
    let direct = direct(&mut c).expect("direct starts");
    assert_eq!(starts(&direct.commands), 2);
    let unanswered = DirectReply::Unclear;
    c.cluster.apply_direct_reply(&direct, unanswered, c.now);
    assert_eq!(token(&c), last_token());
    assert_eq!(fencing::claim_of(token(&c)), CLAIM);
    // The starts were executed, and the worker has seen the last token.
    report_phase(&mut c, TaskPhase::Running);
    let (answered, commands) = report_phase(&mut c, FAILED);
    assert_eq!((answered, forgets(&commands)), (last_token(), 2));
}

#[test]
fn no_start_is_sent_directly_under_the_last_token() {
    let (mut c, job) = leader_with_placed_job(last_token());
    assert!(direct(&mut c).is_none());
    assert_eq!(starts(&c.report(MACHINE)), 2, "with the answer to a report");
    report_phase(&mut c, TaskPhase::Running);
    // A stop is urgent at any token, and may stay unanswered.
    c.cluster.remove_job(&job, c.now);
    let stops = direct(&mut c).expect("direct stops");
    assert_eq!((stops.token, stops.commands.len()), (last_token(), 2));
    c.cluster
        .apply_direct_reply(&stops, DirectReply::Unclear, c.now);
    assert_eq!(token(&c), last_token());
    let stopped = TaskPhase::Exited(ExitReason::Stopped { saved: false });
    let (answered, commands) = report_phase(&mut c, stopped);
    assert_eq!((answered, forgets(&commands)), (last_token(), 2));
}

/// Without the voiding token a copy of the start that revived it could do so again.
#[test]
fn a_revived_attempt_is_forgotten_under_a_higher_token() {
    let first = fencing::first_token(CLAIM);
    let (mut c, _) = leader_with_placed_job(first);
    start_directly(&mut c);
    let (_, commands) = report_phase(&mut c, FAILED);
    assert_eq!(forgets(&commands), 2);
    let revived = c.running[MACHINE].clone();
    c.running.insert(MACHINE.to_owned(), Vec::new());
    c.report(MACHINE);
    c.running.insert(MACHINE.to_owned(), revived);
    let report = WorkerReport {
        token: first + 1,
        ..c.build_report(MACHINE, 1, first)
    };
    let answer = c.cluster.process_report(&report, c.now);
    let (answered, commands) = answer.expect("in time");
    assert_eq!((answered, forgets(&commands)), (first + 2, 2));
}

#[test]
fn attempt_numbers_stay_below_those_of_a_later_claim() {
    let mut numbers = AttemptNumbers::new(CLAIM);
    let own: Vec<u64> = std::iter::from_fn(|| numbers.take()).collect();
    let below_next = attempt_numbers::first_of(CLAIM + 1) - 1;
    assert_eq!(own.first(), Some(&(attempt_numbers::first_of(CLAIM) + 1)));
    assert_eq!(own.last(), Some(&below_next));
    assert!(!numbers.record_revision(CLAIM));
    assert_eq!(numbers.take(), None);
    // A later claim is above the revision that this leader has read.
    assert!(numbers.record_revision(CLAIM + 1));
    assert_eq!(numbers.take(), Some(below_next + 1));
    assert!(numbers.take() < Some(attempt_numbers::first_of(CLAIM + 2)));
}

#[test]
fn tasks_wait_and_start_again_when_attempt_numbers_have_run_out() {
    for kind in [Kind::Array, Kind::Gang] {
        let mut c = Cluster::new(4.0);
        c.add_machine(MACHINE);
        while c.cluster.attempt_numbers.take().is_some() {}
        let job = c.add_job(spec(1, kind, Priority::Normal, 2, 1.0));
        c.pass();
        assert!(c.machines_of(&job).is_empty(), "{kind:?}");
        c.cluster.record_revision(CLAIM + 1);
        c.pass();
        assert_eq!(c.machines_of(&job).len(), 2, "{kind:?}");
    }
}
