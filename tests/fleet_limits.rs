//! A whole fleet at one node: no fixed limit turns machines away.

mod node_settings;

use std::{sync::Arc, time::Duration};

use kiteyard::{
    core::{
        Answer, CallId, Clock, Input, Node, Output, RequestId,
        config::{Config, Options},
        machine::{ReportedTask, TaskPhase, WorkerReport},
        members::nodes::Pulse,
        mirror::LeaderRecord,
        relay::PeerMessage,
        store::{Entry, Event, LEADER, StateReply, StateRequest},
    },
    settings::Settings,
};
use serde_json::value::{RawValue, to_raw_value};

/// Machines, and the sockets of a node that can serve them.
const FLEETS: [(usize, usize); 2] = [(4000, 700), (6000, 7000)];
/// The claim of the other node that leads.
const CLAIM: u64 = 9;

fn settings(sockets: usize) -> Settings {
    let mut settings = node_settings::with_peers(2);
    settings.params.resources.sockets = sockets;
    settings
}

fn step(node: &mut Node, ms: u64, input: Input) -> Vec<Output> {
    let clock = Clock {
        now: Duration::from_millis(ms),
        wall_ms: ms,
    };
    node.step(clock, input)
}

fn state_call(outputs: &[Output], which: fn(&StateRequest) -> bool) -> Option<CallId> {
    outputs.iter().find_map(|output| match output {
        Output::State { call, request, .. } if which(request) => Some(*call),
        _ => None,
    })
}

fn leads(node: &str) -> Box<RawValue> {
    let record = LeaderRecord {
        node: node.into(),
        superseded: false,
    };
    to_raw_value(&record).expect("a record")
}

/// A node that has read that `n1` leads, and its watch.
fn follower(sockets: usize) -> (Node, CallId) {
    let config = Config::new(&settings(sockets), Options::default());
    let mut node = Node::new(config);
    let outputs = step(&mut node, 1, Input::Tick);
    let call = state_call(&outputs, |r| matches!(r, StateRequest::List { .. }));
    let call = call.expect("the live keys are read");
    let reply = StateReply::Entries {
        entries: vec![Entry {
            key: LEADER.into(),
            value: leads("n1"),
            version: CLAIM,
        }],
        more: false,
        revision: CLAIM,
    };
    let outputs = step(&mut node, 2, Input::State { call, reply });
    let watch = state_call(&outputs, |r| matches!(r, StateRequest::Watch { .. }));
    (node, watch.expect("a watch"))
}

fn report(machine: usize, token: u64, tasks: Vec<ReportedTask>) -> WorkerReport {
    WorkerReport {
        machine: Arc::from(format!("vm-{machine:06}")),
        addr: "127.0.0.1:9".parse().expect("an address"),
        machine_type: Arc::from("m"),
        zone: Arc::from("a"),
        spot: false,
        session: 1,
        seq: 5,
        token,
        notice_s: None,
        tasks,
    }
}

/// Each machine's report, a request for each machine's number.
fn reports(node: &mut Node, ms: u64, machines: usize, token: u64) -> Vec<Output> {
    let report_of = |machine| Input::Report {
        request: machine as RequestId,
        report: report(machine, token, Vec::new()),
    };
    let outputs = (0..machines).flat_map(|machine| step(node, ms, report_of(machine)));
    outputs.collect()
}

fn answers(outputs: &[Output]) -> Vec<&Answer> {
    let answers = outputs.iter().filter_map(|output| match output {
        Output::Answer { answer, .. } => Some(answer),
        _ => None,
    });
    answers.collect()
}

fn new_leader(node: &mut Node, ms: u64, watch: CallId) -> Vec<Output> {
    let reply = StateReply::Events {
        events: vec![Event {
            key: LEADER.into(),
            value: Some(leads("n2")),
            revision: 12,
        }],
        revision: 12,
    };
    step(node, ms, Input::State { call: watch, reply })
}

fn hears_leader(node: &mut Node, ms: u64) {
    let pulse = Pulse {
        claim: CLAIM,
        ..Pulse::default()
    };
    let (from, message) = ("n1".to_owned(), PeerMessage::Pulse(pulse));
    step(node, ms, Input::Peer { from, message });
}

#[test]
fn every_report_of_a_fleet_waits_for_the_next_leader() {
    for (machines, sockets) in FLEETS {
        let (mut node, watch) = follower(sockets);
        let outputs = reports(&mut node, 3_000, machines, CLAIM << 16);
        assert!(answers(&outputs).is_empty(), "{machines} machines");
        let outputs = new_leader(&mut node, 3_500, watch);
        let to_leader = Answer::Redirect(Some("n2".into()));
        let answers = answers(&outputs);
        assert_eq!(answers.len(), machines);
        assert!(answers.iter().all(|answer| **answer == to_leader));
    }
}

/// Those whose time is up are answered, and the others wait on.
#[test]
fn held_reports_are_answered_in_their_time() {
    let (machines, sockets) = FLEETS[0];
    let (mut node, _) = follower(sockets);
    reports(&mut node, 3_000, machines / 2, CLAIM << 16);
    reports(&mut node, 4_000, machines / 2, CLAIM << 16);
    for ms in [6_500, 7_500] {
        let outputs = step(&mut node, ms, Input::Tick);
        assert_eq!(answers(&outputs).len(), machines / 2, "at {ms} ms");
    }
}

/// What the held reports take in memory stays bounded, however few list the tasks.
#[test]
fn the_tasks_of_held_reports_are_bounded() {
    const TASKS: usize = 500;
    let settings = settings(700);
    let most = Config::new(&settings, Options::default()).waiting_tasks_most;
    let (mut node, _) = follower(700);
    let tasks = || {
        let task = |index| ReportedTask {
            task: kiteyard::core::job::TaskId {
                job: kiteyard::core::job::JobId::parse("run-000001").expect("an id"),
                index,
            },
            attempt: 1,
            phase: TaskPhase::Running,
        };
        (0..TASKS as u32).map(task).collect()
    };
    let mut turned_away = 0;
    for machine in 0..200 {
        let input = Input::Report {
            request: machine as RequestId,
            report: report(machine, CLAIM << 16, tasks()),
        };
        turned_away += answers(&step(&mut node, 3_000, input)).len();
    }
    assert_eq!(turned_away, 200 - most / TASKS);
}

#[test]
fn every_report_of_a_fleet_that_lost_its_way_is_relayed() {
    for (machines, sockets) in FLEETS {
        let (mut node, _) = follower(sockets);
        hears_leader(&mut node, 3);
        // Sent to the leader once, they come back.
        let outputs = reports(&mut node, 4, machines, 0);
        assert_eq!(answers(&outputs).len(), machines);
        // Answered a while ago, none is urgent.
        let outputs = reports(&mut node, 5, machines, 0);
        assert!(answers(&outputs).is_empty(), "{machines} machines");
        let relayed = outputs.iter().filter_map(|output| match output {
            Output::Peer {
                message: PeerMessage::Report { relay, .. },
                ..
            } => Some(*relay),
            _ => None,
        });
        let relayed: Vec<u64> = relayed.collect();
        assert_eq!(relayed.len(), machines);
        for relay in relayed {
            let answer = Some(Answer::Commands {
                token: CLAIM << 16,
                commands: Vec::new(),
            });
            let (from, message) = ("n1".into(), PeerMessage::Reported { relay, answer });
            let outputs = step(&mut node, 6, Input::Peer { from, message });
            assert_eq!(answers(&outputs).len(), 1);
        }
    }
}
