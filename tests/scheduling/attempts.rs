//! Several attempts of one task, reported to a new leader in any order and from any time.

use std::{sync::Arc, time::Duration};

use kiteyard::core::{
    job::{JobId, Kind, Priority, TaskId},
    machine::{
        Command, DirectReply, ExitReason, MachineState, ReportedTask, TaskPhase, WorkerReport,
    },
};

use crate::cluster::{Cluster, shard_of_one_machine, spec};

const OLD: u64 = 1;
const REAL: u64 = 2;

/// Returns the report of a worker with one running attempt of the job's task, or with none. The
/// token is of the previous leader unless the worker has seen this one's.
fn report(c: &mut Cluster, name: &str, job: &JobId, attempt: Option<u64>) -> WorkerReport {
    let task = TaskId {
        job: job.clone(),
        index: 0,
    };
    let running = attempt.map(|attempt| ReportedTask {
        task,
        attempt,
        phase: TaskPhase::Running,
    });
    let running = running.into_iter().collect();
    c.running.insert(name.to_owned(), running);
    let token = c.cluster.token;
    c.build_report(name, 1, token)
}

fn process(c: &mut Cluster, report: &WorkerReport) -> Vec<Command> {
    let answer = c.cluster.process_report(report, c.now);
    answer.expect("in time").1
}

fn process_old(c: &mut Cluster, name: &str, job: &JobId, attempt: u64) {
    let mut old = report(c, name, job, Some(attempt));
    old.token = 3 << 16;
    process(c, &old);
}

fn leader_with_job(kind: Kind) -> (Cluster, JobId) {
    let mut c = Cluster::new(4.0);
    let tasks = if kind == Kind::Gang { 2 } else { 1 };
    let job = c.add_job(spec(1, kind, Priority::Normal, tasks, 2.0));
    (c, job)
}

fn started_attempts(c: &Cluster) -> Vec<u64> {
    let machines = c.cluster.machines.values();
    let attempts = machines.flat_map(|machine| machine.tasks.keys());
    let own = attempts.filter(|(_, attempt)| *attempt > REAL);
    own.map(|(_, attempt)| *attempt).collect()
}

fn stops_real_attempt(commands: &[Command]) -> bool {
    let is_stop = |c: &Command| matches!(c, Command::Stop { attempt, .. } if *attempt == REAL);
    commands.iter().any(is_stop)
}

/// Whichever report arrives first, the newer attempt keeps running, and when the older one turns
/// out to be gone the task is not started a third time.
#[test]
fn the_newest_reported_attempt_holds_the_slot() {
    for kind in [Kind::Array, Kind::Service] {
        for old_first in [true, false] {
            let (mut c, job) = leader_with_job(kind);
            if old_first {
                process_old(&mut c, "vm-1", &job, OLD);
            }
            let real = report(&mut c, "vm-2", &job, Some(REAL));
            let commands = process(&mut c, &real);
            assert!(!stops_real_attempt(&commands), "{kind:?}");
            if !old_first {
                process_old(&mut c, "vm-1", &job, OLD);
            }
            assert_eq!(c.machines_of(&job), ["vm-2"], "{kind:?} {old_first}");
            assert_eq!(c.cluster.jobs[&job].running, 1);
            let gone = report(&mut c, "vm-1", &job, None);
            process(&mut c, &gone);
            c.pass();
            assert_eq!(c.machines_of(&job), ["vm-2"], "{kind:?} {old_first}");
            assert_eq!(started_attempts(&c), Vec::<u64>::new());
            assert_eq!(c.cluster.jobs[&job].running, 1);
        }
    }
}

/// While the kill of an older attempt is on its way, the end of the newer one does not start the
/// task again; the end of both does.
#[test]
fn a_task_starts_again_only_after_the_end_of_every_attempt() {
    for kind in [Kind::Array, Kind::Service, Kind::Gang] {
        for reason in [ExitReason::Error, ExitReason::Stopped { saved: false }] {
            let (mut c, job) = leader_with_job(kind);
            let real = report(&mut c, "vm-2", &job, Some(REAL));
            process(&mut c, &real);
            process_old(&mut c, "vm-1", &job, OLD);
            c.end_task("vm-2", &job, reason);
            c.add_machine("vm-3");
            c.pass();
            let context = format!("{kind:?} {reason:?}");
            assert_eq!(started_attempts(&c), Vec::<u64>::new(), "{context}");
            assert_eq!(c.machines_of(&job), ["vm-1"], "{context}");
            let gone = report(&mut c, "vm-1", &job, None);
            process(&mut c, &gone);
            c.now += Duration::from_secs(2);
            for machine in ["vm-1", "vm-2", "vm-3"] {
                c.running.insert(machine.to_owned(), Vec::new());
                c.report(machine);
            }
            c.pass();
            let tasks = c.cluster.jobs[&job].spec.tasks as usize;
            assert_eq!(started_attempts(&c).len(), tasks, "{context}");
            assert_eq!(c.cluster.jobs[&job].running, 0, "{context}");
        }
    }
}

/// Three attempts are known at once: the slot passes from one to the next in the order of their
/// numbers, also on one machine.
#[test]
fn a_slot_passes_through_all_attempts() {
    let (mut c, job) = leader_with_job(Kind::Array);
    process_old(&mut c, "vm-1", &job, 0);
    process_old(&mut c, "vm-2", &job, OLD);
    let real = report(&mut c, "vm-3", &job, Some(REAL));
    process(&mut c, &real);
    for (ended, next) in [("vm-3", "vm-2"), ("vm-2", "vm-1")] {
        let gone = report(&mut c, ended, &job, None);
        process(&mut c, &gone);
        c.pass();
        assert_eq!(c.machines_of(&job), [next]);
        assert_eq!(c.cluster.jobs[&job].running, 1);
    }
    let gone = report(&mut c, "vm-1", &job, None);
    process(&mut c, &gone);
    c.pass();
    assert_eq!(started_attempts(&c).len(), 1);
}

/// A newer attempt on the machine of the old one takes its slot within one report.
#[test]
fn a_newer_attempt_on_the_same_machine_takes_the_slot() {
    let (mut c, job) = leader_with_job(Kind::Array);
    process_old(&mut c, "vm-1", &job, OLD);
    let real = report(&mut c, "vm-1", &job, Some(REAL));
    let commands = process(&mut c, &real);
    assert!(!stops_real_attempt(&commands));
    c.add_machine("vm-2");
    c.pass();
    assert_eq!(c.machines_of(&job), ["vm-1"]);
    assert_eq!(started_attempts(&c), Vec::<u64>::new());
    c.end_task("vm-1", &job, ExitReason::Done);
    assert_eq!(c.cluster.jobs[&job].done_count, 1);
    assert_eq!(c.cluster.jobs[&job].running, 0);
}

/// Attempts that a stop has not reached count against their team's limit.
#[test]
fn displaced_attempts_count_against_the_limit() {
    let mut c = Cluster::new(1000.0);
    let job = c.add_job(spec(1, Kind::Array, Priority::Normal, 1, 400.0));
    process_old(&mut c, "vm-1", &job, OLD);
    let real = report(&mut c, "vm-2", &job, Some(REAL));
    process(&mut c, &real);
    c.add_machine("vm-3");
    let other = c.add_job(spec(2, Kind::Array, Priority::Normal, 1, 400.0));
    c.pass();
    assert!(c.machines_of(&other).is_empty(), "the limit is 1000 CPUs");
    let gone = report(&mut c, "vm-1", &job, None);
    process(&mut c, &gone);
    c.pass();
    assert_eq!(c.machines_of(&other).len(), 1);
}

/// A machine that fails tasks is not given up while a previous leader's delayed start may still
/// arrive there: marked for release, it counted as having no unknown tasks.
#[test]
fn an_unresolved_machine_is_not_released_as_faulty() {
    let mut c = Cluster::after_failover(
        4.0,
        vec![(0, shard_of_one_machine(), 1)],
        Duration::from_secs(140),
    );
    let tasks: Vec<JobId> = (2..4)
        .map(|number| c.add_job(spec(number, Kind::Array, Priority::Normal, 1, 1.0)))
        .collect();
    for phase in [TaskPhase::Running, TaskPhase::Exited(ExitReason::Error)] {
        let listed = tasks.iter().map(|job| ReportedTask {
            task: TaskId {
                job: job.clone(),
                index: 0,
            },
            attempt: OLD,
            phase,
        });
        let listed = listed.collect();
        c.running.insert("vm-1".to_owned(), listed);
        let unfenced = c.build_report("vm-1", 1, 3 << 16);
        process(&mut c, &unfenced);
    }
    assert_eq!(c.cluster.machines["vm-1"].failures.len(), 2);
    c.cluster.due_cloud_request(c.now);
    let machine = &c.cluster.machines["vm-1"];
    assert!(machine.unresolved);
    assert_eq!(machine.state, MachineState::Up);
}

/// A superseded leader may have answered a worker after its last report to this leader and before
/// the worker saw this leader's token: until it has stopped, its answers count.
#[test]
fn a_token_seen_by_a_direct_command_does_not_end_a_previous_leaders_lease() {
    let resolve_by = Duration::from_secs(113);
    let mut c = Cluster::after_failover(4.0, vec![(0, shard_of_one_machine(), 1)], resolve_by);
    c.running.insert("vm-1".to_owned(), Vec::new());
    let unfenced = c.build_report("vm-1", 1, 3 << 16);
    process(&mut c, &unfenced);
    c.now += Duration::from_secs(2);
    let direct = c.cluster.direct_commands(c.now);
    let direct = direct.first().expect("a direct command").clone();
    let seen = WorkerReport {
        token: direct.token,
        ..c.build_report("vm-1", 1, 0)
    };
    c.cluster
        .apply_direct_reply(&direct, DirectReply::Executed(seen), c.now);
    assert!(c.cluster.machines["vm-1"].fenced);
    let is_lost_at = |c: &mut Cluster, at: u64| {
        c.now = Duration::from_secs(at);
        c.cluster.claim_verified_at = c.now;
        c.cluster.tick(c.now);
        c.cluster.machines[&Arc::from("vm-1") as &Arc<str>].state == MachineState::Lost
    };
    assert!(!is_lost_at(&mut c, 112));
    assert!(is_lost_at(&mut c, 114));
}
