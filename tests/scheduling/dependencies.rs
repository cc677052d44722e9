//! Job dependencies: blocked jobs, and jobs that inherit the urgency of their dependents.

use std::time::Duration;

use kiteyard::core::job::{JobId, JobSpec, Kind, Priority};
use kiteyard_job_graph::Urgency;

use crate::cluster::{Cluster, spec};

/// One machine that an array of normal priority fills, and a waiting job of low priority that
/// a job of high priority will need.
fn full_machine_and_needed_job() -> (Cluster, JobId) {
    let mut c = Cluster::new(4.0);
    c.add_machine("vm-1");
    let normal = c.add_job(spec(1, Kind::Array, Priority::Normal, 1, 4.0));
    c.run_task("vm-1", &normal, 0);
    let needed = c.add_job(spec(2, Kind::Array, Priority::Low, 1, 4.0));
    (c, needed)
}

fn high_urgency(latest_finish_ms: u64) -> Urgency {
    Urgency {
        priority: Priority::High as u8,
        latest_finish_ms: Some(latest_finish_ms),
    }
}

#[test]
fn a_blocked_job_is_placed_only_once_it_is_released() {
    let mut c = Cluster::new(4.0);
    c.add_machine("vm-1");
    let first = JobId::parse("run-000001").expect("an id");
    let waits = c.add_job(JobSpec {
        needs: vec![first],
        ..spec(2, Kind::Array, Priority::High, 1, 1.0)
    });
    c.pass();
    assert!(c.machines_of(&waits).is_empty());
    c.cluster.unblock_job(&waits, 5_000);
    c.pass();
    assert_eq!(c.machines_of(&waits), ["vm-1"]);
    assert_eq!(c.cluster.jobs[&waits].ready_ms, 5_000);
}

#[test]
fn an_inherited_priority_applies_in_the_queue_and_to_running_tasks() {
    let mut c = Cluster::new(4.0);
    c.add_machine("vm-1");
    let low = c.add_job(spec(1, Kind::Array, Priority::Low, 1, 4.0));
    c.run_task("vm-1", &low, 0);
    c.cluster.set_urgency(&low, high_urgency(u64::MAX));
    // It runs with high priority now: a normal job can't preempt it.
    let normal = c.add_job(spec(2, Kind::Array, Priority::Normal, 1, 4.0));
    c.pass();
    assert!(c.nominated(&normal).is_empty());
    let production = c.add_job(spec(3, Kind::Array, Priority::Production, 1, 4.0));
    c.pass();
    assert_eq!(c.nominated(&production), ["vm-1"]);
}

#[test]
fn a_needed_job_with_time_to_spare_waits_for_capacity() {
    let (mut c, needed) = full_machine_and_needed_job();
    c.cluster.wall_ms = 1_000;
    c.cluster.set_urgency(&needed, high_urgency(600_000));
    c.pass();
    assert!(c.nominated(&needed).is_empty());
    assert!(c.victims("vm-1").is_empty());
}

#[test]
fn a_needed_job_that_would_be_late_preempts() {
    let (mut c, needed) = full_machine_and_needed_job();
    c.cluster.wall_ms = 1_000;
    c.cluster.set_urgency(&needed, high_urgency(600_000));
    c.pass();
    // Time passes, and no capacity becomes free.
    c.cluster.wall_ms = 595_000;
    c.now += Duration::from_secs(2);
    c.cluster.tick(c.now);
    c.report("vm-1");
    c.pass();
    assert_eq!(c.nominated(&needed), ["vm-1"]);
}

#[test]
fn a_job_whose_own_priority_is_high_preempts_at_once() {
    let (mut c, _) = full_machine_and_needed_job();
    let own = c.add_job(spec(3, Kind::Array, Priority::High, 1, 4.0));
    c.cluster.wall_ms = 1_000;
    c.cluster.set_urgency(&own, high_urgency(600_000));
    c.pass();
    assert_eq!(c.nominated(&own), ["vm-1"]);
}
