//! Waiting jobs are retried whenever capacity or a limit is freed, even if no task ends.

use std::{sync::Arc, time::Duration};

use kiteyard::core::{
    assignment_index::ShardRecord,
    job::{JobRecord, JobSpec, Kind, Priority, TaskSet},
    machine::ExitReason,
    state_cache::LiveJob,
    store::StateReply,
};

use crate::cluster::{Cluster, spec};

fn tick_and_pass(c: &mut Cluster) {
    c.cluster.tick(c.now);
    if c.cluster.queue.pass_requested {
        c.pass();
    }
}

/// A machine that misses a few reports within its lease gets no work until it reports again.
#[test]
fn a_machine_that_reports_again_within_its_lease_gets_waiting_jobs() {
    let mut c = Cluster::new(4.0);
    c.add_machine("vm-1");
    c.now += Duration::from_secs(4);
    let job = c.add_job(spec(1, Kind::Service, Priority::Normal, 1, 1.0));
    tick_and_pass(&mut c);
    assert!(
        c.machines_of(&job).is_empty(),
        "the machine is unresponsive"
    );
    c.report("vm-1");
    tick_and_pass(&mut c);
    assert_eq!(c.machines_of(&job), ["vm-1"]);
}

/// Late starts reopen a closed priority without any write or any end of a task.
#[test]
fn a_closed_priority_reopens_after_late_starts() {
    let mut c = Cluster::new(8.0);
    c.add_machine("vm-1");
    c.add_machine("vm-2");
    c.add_job(spec(0, Kind::Service, Priority::Normal, 1, 8.0));
    tick_and_pass(&mut c);
    let (shard_writes, _, _) = c
        .cluster
        .assignment_index_write(true, 16)
        .expect("work to list");
    let listed = StateReply::Committed { revision: 20 };
    c.cluster.assignment_index_written(shard_writes, &listed);
    c.now += Duration::from_millis(1_100);
    let late = c.add_job(spec(1, Kind::Service, Priority::Normal, 1, 8.0));
    tick_and_pass(&mut c);
    assert!(c.machines_of(&late).is_empty(), "the priority is closed");
    for _ in 0..3 {
        c.now += Duration::from_millis(500);
        c.report("vm-1");
        c.report("vm-2");
        c.start_placed_tasks();
        tick_and_pass(&mut c);
    }
    assert_eq!(c.machines_of(&late).len(), 1);
}

/// Capacity that was freed for a job whose team has reached its limit since goes to others.
#[test]
fn a_job_at_its_limit_holds_no_capacity() {
    let mut c = Cluster::new(600.0);
    c.add_machine("vm-1");
    c.add_machine("vm-2");
    let other_team = |number, tasks| JobSpec {
        team: Arc::from("blue"),
        ..spec(number, Kind::Array, Priority::Low, tasks, 600.0)
    };
    let victim = c.add_job(other_team(1, 1));
    c.run_task("vm-1", &victim, 0);
    let beside = c.add_job(spec(2, Kind::Array, Priority::Normal, 1, 300.0));
    c.run_task("vm-2", &beside, 0);
    let high = c.add_job(spec(3, Kind::Array, Priority::High, 1, 600.0));
    tick_and_pass(&mut c);
    assert_eq!(c.nominated(&high), ["vm-1"]);
    // The team uses 500 of its 1,000 CPUs now.
    let urgent = c.add_job(spec(4, Kind::Array, Priority::Production, 1, 200.0));
    tick_and_pass(&mut c);
    assert_eq!(c.machines_of(&urgent), ["vm-2"]);
    c.end_task("vm-1", &victim, ExitReason::Stopped { saved: false });
    tick_and_pass(&mut c);
    assert!(c.machines_of(&high).is_empty(), "the team is at its limit");
    assert_eq!(c.machines_of(&victim), ["vm-1"]);
}

/// A waiting task is on at most one unresponsive machine, however many list its job.
#[test]
fn a_task_that_several_unresponsive_machines_list_counts_once_against_the_limit() {
    let shard = r#"{"kinds":[["m","a",false]],"jobs":["run-000001"],
        "machines":[["vm-1",0,[0]],["vm-2",0,[0]],["vm-3",0,[0]]]}"#;
    let shard = ShardRecord::parse(shard).expect("a shard");
    let mut c = Cluster::after_failover(600.0, vec![(0, shard, 1)], Duration::from_secs(140));
    let listed = Arc::new(spec(1, Kind::Array, Priority::Normal, 1, 300.0));
    let record = JobRecord {
        spec: listed.clone(),
        accepted_ms: 0,
    };
    let live = LiveJob { record, version: 2 };
    c.cluster.add_job(&listed.id, &live, TaskSet::default());
    c.add_machine("vm-4");
    let fits = c.add_job(spec(2, Kind::Array, Priority::Normal, 1, 500.0));
    let over_limit = c.add_job(spec(3, Kind::Array, Priority::Low, 1, 250.0));
    c.add_machine("vm-5");
    tick_and_pass(&mut c);
    assert!(
        c.machines_of(&listed.id).is_empty(),
        "it may run on an unresponsive machine"
    );
    assert_eq!(c.machines_of(&fits).len(), 1, "300 and 500 of 1,000");
    assert!(
        c.machines_of(&over_limit).is_empty(),
        "300, 500 and 250 of 1,000"
    );
}
