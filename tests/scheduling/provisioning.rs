//! Provisioned capacity, its reservation for gangs, and released machines: regressions found
//! on fleets that scale out from zero.

use std::{sync::Arc, time::Duration};

use kiteyard::core::{
    job::{Kind, Priority, Resources},
    machine::{ListedMachine, ListedState},
    membership::reachability::Reachability,
    provisioning::{CloudReply, CloudRequest},
};

use crate::cluster::{Cluster, cpu_resources, spec};

/// Guards against arrays that take the machines a gang waits for one by one, only to be
/// preempted as soon as the last of them is up.
#[test]
fn a_gang_reserves_capacity_against_lower_priorities() {
    let mut c = Cluster::new(4.0);
    c.add_machine("vm-1");
    let gang = c.add_job(spec(1, Kind::Gang, Priority::High, 2, 4.0));
    let array = c.add_job(spec(2, Kind::Array, Priority::Normal, 4, 1.0));
    let equal = c.add_job(spec(3, Kind::Gang, Priority::High, 1, 4.0));
    c.pass();
    assert!(c.machines_of(&array).is_empty(), "the capacity is reserved");
    // Jobs of equal priority need not wait for missing machines.
    assert_eq!(c.machines_of(&equal), ["vm-1"]);
    c.add_machine("vm-2");
    c.add_machine("vm-3");
    c.pass();
    assert_eq!(c.machines_of(&gang), ["vm-2", "vm-3"]);
}

/// Guards against starvation of a gang by jobs of equal priority.
#[test]
fn a_gang_that_has_waited_reserves_capacity_against_equal_priority() {
    let mut c = Cluster::new(4.0);
    c.add_machine("vm-1");
    let gang = c.add_job(spec(1, Kind::Gang, Priority::High, 2, 4.0));
    c.cluster.wall_ms = 61_000;
    let equal = c.add_job(spec(3, Kind::Gang, Priority::High, 1, 4.0));
    c.pass();
    assert!(c.machines_of(&equal).is_empty());
    c.add_machine("vm-2");
    c.pass();
    assert_eq!(c.machines_of(&gang), ["vm-1", "vm-2"]);
}

fn list_reply(names: &[&str]) -> CloudReply {
    let machine = |name: &&str| ListedMachine {
        id: Arc::from(*name),
        machine_type: Arc::from("m"),
        zone: Arc::from("a"),
        spot: false,
        state: ListedState::Running,
        age: Duration::from_secs(60),
    };
    CloudReply::Machines {
        machines: names.iter().map(machine).collect(),
        more: false,
    }
}

/// Answers the cloud's lists with these machines, and returns the machines that are released.
fn released_within(c: &mut Cluster, seconds: u64, names: &[&str]) -> Vec<String> {
    let mut released = Vec::new();
    for _ in 0..seconds * 4 {
        c.now += Duration::from_millis(250);
        c.cluster.claim_verified_at = c.now;
        c.cluster.tick(c.now);
        match c.cluster.due_cloud_request(c.now) {
            Some(list @ CloudRequest::List { .. }) => {
                c.cluster.apply_cloud_reply(&list, list_reply(names), c.now);
            }
            Some(CloudRequest::Release { machines }) => {
                released.extend(machines.iter().map(|m| m.to_string()));
            }
            _ => {}
        }
    }
    released
}

/// A reclaimed machine is known to be gone once a list omits it, and need not wait for its
/// worker's lease. Neither a list that may be older than the one that showed the machine,
/// nor any list while the machine reports, shows that it is gone.
#[test]
fn a_silent_machine_missing_from_the_list_is_gone() {
    let mut c = Cluster::new(4.0);
    c.cluster.reachability = Reachability::default();
    c.add_machine("vm-1");
    let job = c.add_job(spec(1, Kind::Array, Priority::Normal, 1, 4.0));
    c.run_task("vm-1", &job, 0);
    assert!(released_within(&mut c, 2, &["vm-1"]).is_empty());
    // Lists lag by 10 s, so for 20 s a list may be older than the one before.
    for _ in 0..9 {
        c.report("vm-1");
        assert!(released_within(&mut c, 2, &[]).is_empty(), "it reports");
    }
    c.report("vm-1");
    assert_eq!(
        released_within(&mut c, 9, &[]).first().map(String::as_str),
        Some("vm-1")
    );
}

/// Guards against forgetting released machines in the order of their names instead of their
/// release: a late copy of a report then revived a machine that was gone.
#[test]
fn a_recently_released_machine_stays_released_whatever_its_name() {
    let mut c = Cluster::new(4.0);
    for batch in (0..30).rev() {
        c.now += Duration::from_secs(1);
        let machines = (0..100).map(|i| Arc::from(format!("vm-{:06}", batch * 100 + i)));
        let release = CloudRequest::Release {
            machines: machines.collect(),
        };
        c.cluster
            .apply_cloud_reply(&release, CloudReply::Released, c.now);
    }
    c.running.insert("vm-000007".into(), Vec::new());
    let copy = c.build_report("vm-000007", 1, c.cluster.token);
    assert!(c.cluster.process_report(&copy, c.now).is_none());
    assert!(!c.cluster.machines.contains_key("vm-000007"));
}

/// If GPUs are scarce, free CPUs don't show how full a machine is.
#[test]
fn the_share_of_a_machine_is_its_largest_resource_share() {
    let whole = Resources {
        cpus: 64.0,
        gpus: 8.0,
        memory_gb: 384.0,
    };
    let need = Resources {
        cpus: 6.0,
        gpus: 1.0,
        memory_gb: 36.0,
    };
    assert_eq!(need.dominant_share_of(&whole), 0.125);
    assert_eq!(cpu_resources(16.0).dominant_share_of(&whole), 0.25);
    // A zero need is a zero share of nothing; a positive one exceeds any share.
    assert_eq!(
        cpu_resources(0.0).dominant_share_of(&cpu_resources(0.0)),
        0.0
    );
    assert!(need.dominant_share_of(&cpu_resources(64.0)).is_infinite());
}

/// The cloud's list lags and still shows released machines: none of them counts as a new
/// one, even if a whole fleet was released at once.
#[test]
fn no_machine_of_a_released_fleet_is_added_again() {
    const MACHINES: usize = 6000;
    let mut c = Cluster::new(4.0);
    let names: Vec<String> = (0..MACHINES).map(|i| format!("vm-{i:06}")).collect();
    for chunk in names.chunks(100) {
        let machines = chunk.iter().map(|name| Arc::from(name.as_str())).collect();
        let request = CloudRequest::Release { machines };
        c.cluster
            .apply_cloud_reply(&request, CloudReply::Released, c.now);
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    // A list is due next.
    let list_requested = (0..40).any(|_| {
        c.now += Duration::from_millis(250);
        c.cluster.claim_verified_at = c.now;
        c.cluster.tick(c.now);
        let Some(request) = c.cluster.due_cloud_request(c.now) else {
            return false;
        };
        let is_list = matches!(request, CloudRequest::List { .. });
        if is_list {
            c.cluster
                .apply_cloud_reply(&request, list_reply(&names), c.now);
        }
        is_list
    });
    assert!(list_requested, "a list is requested");
    assert_eq!(c.cluster.machines.len(), 0);
}
