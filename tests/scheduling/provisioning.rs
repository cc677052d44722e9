//! Room that is rented, gathered and proven empty: failures found at a fleet that begins
//! with nothing.

use std::{sync::Arc, time::Duration};

use kiteyard::core::{
    job::{Kind, Priority, Resources},
    machine::{ListedMachine, ListedState},
    membership::reachability::Reachability,
    provisioning::{CloudReply, CloudRequest},
};

use crate::cluster::{Cluster, cpu_resources, spec};

/// Arrays took each machine that a gang needed with another one, and were stopped for it
/// as soon as that was there.
#[test]
fn a_gang_gathers_room_against_lower_priorities() {
    let mut c = Cluster::new(4.0);
    c.add_machine("vm-1");
    let gang = c.add_job(spec(1, Kind::Gang, Priority::High, 2, 4.0));
    let array = c.add_job(spec(2, Kind::Array, Priority::Normal, 4, 1.0));
    let equal = c.add_job(spec(3, Kind::Gang, Priority::High, 1, 4.0));
    c.pass();
    assert!(c.machines_of(&array).is_empty(), "the room is held");
    // Its equals need not wait for what is not there.
    assert_eq!(c.machines_of(&equal), ["vm-1"]);
    c.add_machine("vm-2");
    c.add_machine("vm-3");
    c.pass();
    assert_eq!(c.machines_of(&gang), ["vm-2", "vm-3"]);
}

/// One that has waited for long is not passed over by its equals for ever.
#[test]
fn a_gang_that_has_waited_keeps_room_from_its_equals() {
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

fn listed(names: &[&str]) -> CloudReply {
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

/// What one second of the cloud brings: lists are answered with these machines.
fn released(c: &mut Cluster, seconds: u64, names: &[&str]) -> Vec<String> {
    let mut released = Vec::new();
    for _ in 0..seconds * 4 {
        c.now += Duration::from_millis(250);
        c.cluster.claim_proven_at = c.now;
        c.cluster.tick(c.now);
        match c.cluster.cloud_work(c.now) {
            Some(list @ CloudRequest::List { .. }) => {
                c.cluster.cloud_reply(&list, listed(names), c.now);
            }
            Some(CloudRequest::Release { machines }) => {
                released.extend(machines.iter().map(|m| m.to_string()));
            }
            _ => {}
        }
    }
    released
}

/// A machine that was taken back was known to be gone after its worker's lease, though the
/// cloud's list had not shown it for long. A list that may be older than the one that
/// showed it proves nothing, and neither does one while the machine reports.
#[test]
fn a_silent_machine_that_the_list_shows_no_more_is_proven_gone() {
    let mut c = Cluster::new(4.0);
    c.cluster.reachability = Reachability::default();
    c.add_machine("vm-1");
    let job = c.add_job(spec(1, Kind::Array, Priority::Normal, 1, 4.0));
    c.run_task("vm-1", &job, 0);
    assert!(released(&mut c, 2, &["vm-1"]).is_empty());
    // Lists lag by 10 s: for twice that the next ones may be older.
    for _ in 0..9 {
        c.report("vm-1");
        assert!(released(&mut c, 2, &[]).is_empty(), "it reports");
    }
    c.report("vm-1");
    assert_eq!(
        released(&mut c, 9, &[]).first().map(String::as_str),
        Some("vm-1")
    );
}

/// The names of returned machines were dropped by their order, not by their age: a late
/// copy of a report revived a machine that was gone.
#[test]
fn a_machine_returned_last_stays_returned_whatever_its_name() {
    let mut c = Cluster::new(4.0);
    for hundred in (0..30).rev() {
        c.now += Duration::from_secs(1);
        let machines = (0..100).map(|i| Arc::from(format!("vm-{:06}", hundred * 100 + i)));
        let release = CloudRequest::Release {
            machines: machines.collect(),
        };
        c.cluster.cloud_reply(&release, CloudReply::Released, c.now);
    }
    c.running.insert("vm-000007".into(), Vec::new());
    let copy = c.build_report("vm-000007", 1, c.cluster.token);
    assert!(c.cluster.report(&copy, c.now).is_none());
    assert!(!c.cluster.machines.contains_key("vm-000007"));
}

/// Where GPUs bind, CPUs that are left say nothing of how full a machine is.
#[test]
fn the_share_that_binds_is_the_largest() {
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
    // Nothing is no part of nothing; something is no part of it at all.
    assert_eq!(
        cpu_resources(0.0).dominant_share_of(&cpu_resources(0.0)),
        0.0
    );
    assert!(need.dominant_share_of(&cpu_resources(64.0)).is_infinite());
}

/// The cloud's list lags: machines that were returned are in it yet, and none is taken for
/// a new one, also where a whole fleet was returned at once.
#[test]
fn none_of_a_returned_fleet_is_met_again() {
    const MACHINES: usize = 6000;
    let mut c = Cluster::new(4.0);
    let names: Vec<String> = (0..MACHINES).map(|i| format!("vm-{i:06}")).collect();
    for some in names.chunks(100) {
        let machines = some.iter().map(|name| Arc::from(name.as_str())).collect();
        let request = CloudRequest::Release { machines };
        c.cluster.cloud_reply(&request, CloudReply::Released, c.now);
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    // What is due now is a list.
    let lists = (0..40).any(|_| {
        c.now += Duration::from_millis(250);
        c.cluster.claim_proven_at = c.now;
        c.cluster.tick(c.now);
        let Some(request) = c.cluster.cloud_work(c.now) else {
            return false;
        };
        let lists = matches!(request, CloudRequest::List { .. });
        if lists {
            c.cluster.cloud_reply(&request, listed(&names), c.now);
        }
        lists
    });
    assert!(lists, "a list is asked for");
    assert_eq!(c.cluster.machines.len(), 0);
}
