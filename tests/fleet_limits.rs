//! A whole fleet on one node: no fixed limit rejects machines.

mod node_settings;
mod worker_reports;

use std::{sync::Arc, time::Duration};

use kiteyard::{
    core::{
        Answer, CallId, Clock, Input, Node, Output, RequestId,
        config::{Config, Options},
        heartbeat_forwarding::PeerMessage,
        machine::{ReportedTask, TaskPhase, WorkerReport},
        maintenance::MaintenanceRequest,
        membership::nodes::NodeHeartbeat,
        state_cache::LeaderRecord,
        store::{
            Change, Entry, Event, GENERATION_KEY, LEADER_KEY, MACHINE_TYPES_KEY,
            PARTITIONED_ZONES_KEY, StateReply, StateRequest,
        },
    },
    settings::Settings,
};
use serde_json::value::{RawValue, to_raw_value};

/// Numbers of machines, and sockets of a node that can serve them.
const FLEETS: [(usize, usize); 2] = [(4000, 700), (6000, 7000)];
/// Claim of the other node, which leads.
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

fn state_call(outputs: &[Output], matching: fn(&StateRequest) -> bool) -> Option<CallId> {
    outputs.iter().find_map(|output| match output {
        Output::State { call, request, .. } if matching(request) => Some(*call),
        _ => None,
    })
}

fn leader_record(node: &str) -> Box<RawValue> {
    let record = LeaderRecord {
        node: node.into(),
        superseded: false,
    };
    to_raw_value(&record).expect("a record")
}

/// Returns a node that has read that `n1` leads, and its watch.
fn follower(sockets: usize) -> (Node, CallId) {
    let config = Config::new(&settings(sockets), Options::default());
    let mut node = Node::new(config);
    let outputs = step(&mut node, 1, Input::Tick);
    let call = state_call(&outputs, |r| matches!(r, StateRequest::List { .. }));
    let call = call.expect("request for the live keys");
    let reply = StateReply::Entries {
        entries: vec![Entry {
            key: LEADER_KEY.into(),
            value: leader_record("n1"),
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
    worker_reports::report_of(&format!("vm-{machine:06}"), token, tasks)
}

/// Reports from each machine, with the machine's number as request id.
fn send_reports(node: &mut Node, ms: u64, machines: usize, token: u64) -> Vec<Output> {
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
            key: LEADER_KEY.into(),
            value: Some(leader_record("n2")),
            revision: 12,
        }],
        revision: 12,
    };
    step(node, ms, Input::State { call: watch, reply })
}

fn receive_leader_heartbeat(node: &mut Node, ms: u64) {
    let heartbeat = NodeHeartbeat {
        claim: CLAIM,
        ..NodeHeartbeat::default()
    };
    let (from, message) = ("n1".to_owned(), PeerMessage::Heartbeat(heartbeat));
    step(node, ms, Input::Peer { from, message });
}

#[test]
fn every_report_of_a_fleet_waits_for_the_next_leader() {
    for (machines, sockets) in FLEETS {
        let (mut node, watch) = follower(sockets);
        let outputs = send_reports(&mut node, 3_000, machines, CLAIM << 16);
        assert!(answers(&outputs).is_empty(), "{machines} machines");
        let outputs = new_leader(&mut node, 3_500, watch);
        let to_leader = Answer::Redirect(Some("n2".into()));
        let answers = answers(&outputs);
        assert_eq!(answers.len(), machines);
        assert!(answers.iter().all(|answer| **answer == to_leader));
    }
}

/// Reports that reach their deadline are answered while the others keep waiting.
#[test]
fn held_reports_are_answered_when_due() {
    let (machines, sockets) = FLEETS[0];
    let (mut node, _) = follower(sockets);
    send_reports(&mut node, 3_000, machines / 2, CLAIM << 16);
    send_reports(&mut node, 4_000, machines / 2, CLAIM << 16);
    for ms in [6_500, 7_500] {
        let outputs = step(&mut node, ms, Input::Tick);
        assert_eq!(answers(&outputs).len(), machines / 2, "at {ms} ms");
    }
}

/// The memory of held reports stays bounded even if few of them list many tasks.
#[test]
fn the_tasks_of_held_reports_are_bounded() {
    const TASKS: usize = 500;
    let settings = settings(700);
    let max_waiting_tasks = Config::new(&settings, Options::default()).max_waiting_tasks;
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
    let mut rejected = 0;
    for machine in 0..200 {
        let input = Input::Report {
            request: machine as RequestId,
            report: report(machine, CLAIM << 16, tasks()),
        };
        rejected += answers(&step(&mut node, 3_000, input)).len();
    }
    assert_eq!(rejected, 200 - max_waiting_tasks / TASKS);
}

#[test]
fn every_misdirected_report_of_a_fleet_is_forwarded() {
    for (machines, sockets) in FLEETS {
        let (mut node, _) = follower(sockets);
        receive_leader_heartbeat(&mut node, 3);
        // Redirected to the leader once, they return.
        let outputs = send_reports(&mut node, 4, machines, 0);
        assert_eq!(answers(&outputs).len(), machines);
        // Their last answer is recent, so none is urgent.
        let outputs = send_reports(&mut node, 5, machines, 0);
        assert!(answers(&outputs).is_empty(), "{machines} machines");
        let forwarded = outputs.iter().filter_map(|output| match output {
            Output::Peer {
                message: PeerMessage::Report { relay, .. },
                ..
            } => Some(*relay),
            _ => None,
        });
        let forwarded: Vec<u64> = forwarded.collect();
        assert_eq!(forwarded.len(), machines);
        for relay in forwarded {
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

const MACHINE_TYPES: &str = r#"[{"name":"m","size":{"cpus":8.0,"gpus":0.0,"memory_gb":64.0},"cache_gb":5.0,
  "fetch_gb_per_s":1.0,"price":1.0,"spot_price":0.4,"boot_s":30.0,"zones":["a"]}]"#;

fn entry(key: &str, text: &str) -> Entry {
    Entry {
        key: key.to_owned(),
        value: RawValue::from_string(text.to_owned()).expect("JSON"),
        version: 5,
    }
}

/// Leading node with a state service that commits every write except for the list of partitioned
/// zones, which stays pending.
struct LeadingNode {
    node: Node,
    now: u64,
    live: Vec<Entry>,
    revision: u64,
    events: Vec<Event>,
    /// Pending write of that list.
    pending_partition_write: Option<CallId>,
}

impl LeadingNode {
    fn new(settings: &Settings, mut live: Vec<Entry>) -> Self {
        live.push(entry(MACHINE_TYPES_KEY, MACHINE_TYPES));
        live.push(entry(
            GENERATION_KEY,
            r#"{"from":4,"to":4,"stage":"settled"}"#,
        ));
        let options = Options {
            maintenance: Some(Arc::new(
                kiteyard_maintenance::config::Config::without_file(1),
            )),
            ..Options::default()
        };
        let mut leading = Self {
            node: Node::new(Config::new(settings, options)),
            now: 0,
            live,
            revision: 9,
            events: Vec::new(),
            pending_partition_write: None,
        };
        for _ in 0..100 {
            leading.run(Input::Tick);
        }
        leading
    }

    fn run(&mut self, input: Input) -> Vec<Output> {
        self.now += 20;
        self.run_at_once(input)
    }

    fn run_at_once(&mut self, input: Input) -> Vec<Output> {
        let mut inputs = vec![input];
        let mut all = Vec::new();
        while let Some(input) = inputs.pop() {
            for output in step(&mut self.node, self.now, input) {
                match output {
                    Output::State { call, request, .. } => {
                        let reply = self.reply(call, &request);
                        inputs.extend(reply.map(|reply| Input::State { call, reply }));
                    }
                    output => all.push(output),
                }
            }
        }
        all
    }

    fn reply(&mut self, call: CallId, request: &StateRequest) -> Option<StateReply> {
        Some(match request {
            StateRequest::List { prefix, .. } => {
                let live = self.live.iter();
                let own = live.filter(|entry| entry.key.starts_with(prefix.as_str()));
                StateReply::Entries {
                    entries: own.cloned().collect(),
                    more: false,
                    revision: 9,
                }
            }
            StateRequest::Get { .. } => StateReply::Missing,
            StateRequest::Txn { changes, .. } => {
                let writes_partitions = |change: &Change| matches!(change, Change::Put { key, .. } if key == PARTITIONED_ZONES_KEY);
                if changes.iter().any(writes_partitions) {
                    self.pending_partition_write = Some(call);
                    return None;
                }
                self.revision += 1;
                self.events.extend(changes.iter().map(|change| {
                    let (key, value) = match change.clone() {
                        Change::Put { key, value, .. } => (key, Some(value)),
                        Change::Delete { key } => (key, None),
                    };
                    Event {
                        key,
                        value,
                        revision: self.revision,
                    }
                }));
                StateReply::Committed {
                    revision: self.revision,
                }
            }
            StateRequest::Grant { .. } => StateReply::Granted { lease: 1 },
            StateRequest::Renew { .. } => StateReply::Renewed,
            StateRequest::Watch { wait, after, .. } if wait.is_zero() => {
                let events = self.events.iter();
                let newer = events.filter(|e| e.revision > *after && e.key.starts_with("live/"));
                StateReply::Events {
                    events: newer.cloned().collect(),
                    revision: self.revision,
                }
            }
            StateRequest::Watch { .. } => return None,
        })
    }
}

#[test]
fn every_report_of_a_partitioned_zone_waits_until_it_is_reconnected() {
    for (machines, sockets) in FLEETS {
        let partitioned = entry(PARTITIONED_ZONES_KEY, r#"{"zones":{"a":0}}"#);
        let mut leading = LeadingNode::new(&settings(sockets), vec![partitioned]);
        let mut outputs = Vec::new();
        for machine in 0..machines {
            outputs.extend(leading.run_at_once(Input::Report {
                request: machine as RequestId,
                report: report(machine, 0, Vec::new()),
            }));
        }
        assert!(answers(&outputs).is_empty(), "{machines} machines");
        let call = leading
            .pending_partition_write
            .expect("write that removes the zone from the list");
        let revision = leading.revision + 1;
        leading.revision = revision;
        let reply = StateReply::Committed { revision };
        let mut outputs = leading.run(Input::State { call, reply });
        outputs.extend(leading.run(Input::Tick));
        let answers = answers(&outputs);
        assert_eq!(answers.len(), machines);
        let has_commands = |answer: &&&Answer| matches!(answer, Answer::Commands { .. });
        assert_eq!(answers.iter().filter(has_commands).count(), machines);
    }
}

/// The number of machines drained at a time is limited only by the size of one stored value.
#[test]
fn a_drain_is_limited_only_by_its_size_in_bytes() {
    let refusal = |machines: usize, value_kb: f64, names: &str| {
        let mut settings = settings(700);
        settings.params.state.value_kb = value_kb;
        let mut leading = LeadingNode::new(&settings, Vec::new());
        let action = MaintenanceRequest::Start {
            machines: (0..machines).map(|i| format!("{names}{i}")).collect(),
            by: Some(Duration::from_secs(60)),
        };
        // A previous leader may still act for a while.
        for _ in 0..3_000 {
            leading.run(Input::Tick);
        }
        let outputs = leading.run(Input::Maintenance { request: 7, action });
        match answers(&outputs)[..] {
            [Answer::Impossible(why)] => why.clone(),
            ref other => panic!("{other:?}"),
        }
    };
    // Requests that fit get as far as the check for the machine's name.
    assert_eq!(refusal(250, 16.0, "vm-"), "no machine vm-0");
    assert_eq!(refusal(1000, 64.0, "vm-"), "no machine vm-0");
    for (machines, value_kb) in [(1000, 16.0), (4000, 16.0), (4000, 512.0)] {
        let why = refusal(machines, value_kb, "vm-");
        assert!(why.contains("bytes"), "{why}");
    }
}

/// Each line of an answer is limited to 64 KiB, however many machines are named.
#[test]
fn drain_answers_have_one_line_per_machine() {
    let view = |number: usize| kiteyard::core::maintenance::MachineView {
        machine: format!("vm-{number:06}"),
        zone: "a".into(),
        state: "draining".into(),
        replicas: 1,
        array_tasks: 2,
        gang_tasks: 3,
        waits: None,
        by_ms: Some(5),
    };
    for machines in [0, 1, 6000] {
        let machine_views: Vec<_> = (0..machines).map(view).collect();
        let text = kiteyard::wire::user::drains_body(&machine_views);
        assert!(text.lines().all(|line| line.len() < 1000));
        let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(
            value["machines"],
            serde_json::to_value(&machine_views).expect("JSON")
        );
    }
}

/// Users' status requests are not rejected before their connections are.
#[test]
fn as_many_status_requests_wait_as_connections_are_accepted() {
    for (machines, sockets) in FLEETS {
        let mut leading = LeadingNode::new(&settings(sockets), Vec::new());
        let outputs: Vec<_> = (0..machines)
            .flat_map(|request| {
                let id = kiteyard::core::job::JobId::parse("run-000001").expect("an id");
                let request = request as RequestId;
                step(
                    &mut leading.node,
                    leading.now,
                    Input::Status { request, id },
                )
            })
            .collect();
        let later = |answer: &&&Answer| matches!(answer, Answer::Later { .. });
        assert_eq!(answers(&outputs).iter().filter(later).count(), 0);
    }
}

/// The next leader receives the address of every worker of the fleet, in a line within its limit.
#[test]
fn handover_snapshot_contains_every_machine_of_a_fleet() {
    const MAX_LINE_BYTES: usize = 4 << 20;
    for (machines, sockets) in FLEETS {
        let mut leading = LeadingNode::new(&settings(sockets), Vec::new());
        let mut token = 0;
        for seq in [5, 6] {
            for machine in 0..machines {
                let report = WorkerReport {
                    seq,
                    ..report(machine, token, Vec::new())
                };
                let request = machine as RequestId;
                let outputs = leading.run_at_once(Input::Report { request, report });
                if let [
                    Answer::Commands {
                        token: new_token, ..
                    },
                ] = answers(&outputs)[..]
                {
                    token = *new_token;
                }
            }
        }
        assert!(token > 0, "workers receive a token");
        let snapshot = (0..500).find_map(|_| {
            let outputs = leading.run(Input::Tick);
            outputs.into_iter().find_map(|output| match output {
                Output::Peer {
                    message: PeerMessage::Handover(snapshot),
                    ..
                } => serde_json::to_value(&snapshot).ok(),
                _ => None,
            })
        });
        let snapshot = snapshot.expect("snapshot");
        let workers = snapshot["workers"].as_object().map(|workers| workers.len());
        assert_eq!(workers, Some(machines));
        assert!(snapshot.to_string().len() < MAX_LINE_BYTES);
    }
}
