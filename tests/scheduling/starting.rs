//! Behaviour of a new leader before the stored machines have reported.

use std::{sync::Arc, time::Duration};

use kiteyard::core::{
    assignment_index::ShardRecord,
    job::{JobId, JobRecord, JobSpec},
    job::{Kind, Priority, TaskSet},
    provisioning::{CloudReply, CloudRequest},
    state_cache::LiveJob,
};

use crate::cluster::{Cluster, spec};

const STORED_SHARD: &str = r#"{"kinds":[["m","a",false]],"jobs":["run-000001"],
    "machines":[["vm-1",0,[0]],["vm-2",0,[0]]]}"#;

/// New leader with two stored machines and jobs that were accepted before its claim.
fn new_leader(jobs: &[&JobSpec]) -> Cluster {
    let shard = ShardRecord::parse(STORED_SHARD).expect("a shard");
    let resolve_by = Duration::from_secs(140);
    let mut c = Cluster::after_failover(4.0, vec![(0, shard, 1)], resolve_by);
    for (at, job) in jobs.iter().enumerate() {
        let record = JobRecord {
            spec: Arc::new((*job).clone()),
            accepted_ms: at as u64,
        };
        let live = LiveJob { record, version: 2 };
        c.cluster.add_job(&job.id, &live, TaskSet::default());
    }
    c
}

fn tick_and_pass(c: &mut Cluster) {
    c.cluster.tick(c.now);
    c.pass();
}

/// Only `vm-1` has reported. It runs the whole array, and a service waits for capacity.
fn one_machine_reported() -> (Cluster, JobId) {
    let low = spec(1, Kind::Array, Priority::Normal, 1, 4.0);
    let high = spec(2, Kind::Service, Priority::High, 1, 4.0);
    let mut c = new_leader(&[&low, &high]);
    c.running.insert("vm-1".into(), Vec::new());
    c.run_task("vm-1", &low.id, 0);
    tick_and_pass(&mut c);
    (c, high.id)
}

#[test]
fn no_preemption_while_an_unreported_machine_may_have_capacity() {
    let (mut c, high) = one_machine_reported();
    assert!(c.nominated(&high).is_empty() && c.victims("vm-1").is_empty());
    // The machine reports, and has the capacity.
    c.add_machine("vm-2");
    tick_and_pass(&mut c);
    assert_eq!(c.machines_of(&high), ["vm-2"]);
    assert!(c.victims("vm-1").is_empty());
}

#[test]
fn an_unresponsive_machine_delays_preemption_only_for_a_bounded_time() {
    let (mut c, high) = one_machine_reported();
    // The report interval is 1 s; no other machine has reported for a quarter of it.
    c.now += Duration::from_millis(300);
    tick_and_pass(&mut c);
    assert_eq!(c.nominated(&high), ["vm-1"]);
    // No machine reports: preemption is deferred for as long as a live worker may take to report.
    let low = spec(1, Kind::Array, Priority::Normal, 1, 4.0);
    let mut c = new_leader(&[&low, &spec(2, Kind::Service, Priority::High, 1, 4.0)]);
    c.running.insert("vm-1".into(), Vec::new());
    c.now += Duration::from_secs(3);
    tick_and_pass(&mut c);
    c.run_task("vm-1", &low.id, 0);
    tick_and_pass(&mut c);
    assert_eq!(c.nominated(&high), ["vm-1"]);
}

#[test]
fn no_machine_is_rented_before_the_cloud_list_is_read_and_machines_report() {
    // One task more than the unresponsive machine can hold.
    let wanted = spec(2, Kind::Service, Priority::High, 2, 4.0);
    // The same priority, so that neither job preempts the other.
    let low = spec(1, Kind::Array, Priority::High, 1, 4.0);
    let mut c = new_leader(&[&low, &wanted]);
    let list = c.cluster.due_cloud_request(c.now).expect("a request");
    assert!(matches!(list, CloudRequest::List { .. }), "{list:?}");
    let no_machines = CloudReply::Machines {
        machines: Vec::new(),
        more: false,
    };
    c.cluster.apply_cloud_reply(&list, no_machines, c.now);
    let next = |c: &mut Cluster, ms: u64| {
        c.now += Duration::from_millis(ms);
        tick_and_pass(c);
        c.cluster.due_cloud_request(c.now)
    };
    let is_rental =
        |request: Option<CloudRequest>| matches!(request, Some(CloudRequest::Provision(_)));
    // The stored machines may have free capacity.
    assert!(!is_rental(next(&mut c, 600)));
    // One machine reports, the other does not.
    c.running.insert("vm-1".into(), Vec::new());
    c.run_task("vm-1", &low.id, 0);
    let mut later = (0..6).map(|_| next(&mut c, 600));
    assert!(later.any(is_rental), "no machine was rented");
}

#[test]
fn capacity_refused_to_the_previous_leader_is_not_requested_again() {
    let wanted = spec(2, Kind::Service, Priority::High, 1, 4.0);
    let mut c = Cluster::new(4.0);
    let handover = r#"{"images":[],"machines":{},"refused":[[["m","a",false],{"secs":9,"nanos":0}],
        [["m","b",false],{"secs":9,"nanos":0}]]}"#;
    c.cluster.apply_handover(
        serde_json::from_str(handover).expect("a handover snapshot"),
        c.now,
    );
    c.add_job(wanted);
    let rents = |c: &mut Cluster, from: u64, to: u64| {
        (from..to).any(|second| {
            c.now = Duration::from_secs(100 + second);
            tick_and_pass(c);
            let request = c.cluster.due_cloud_request(c.now);
            matches!(request, Some(CloudRequest::Provision(_)))
        })
    };
    assert!(!rents(&mut c, 3, 9));
    assert!(rents(&mut c, 9, 12));
}
