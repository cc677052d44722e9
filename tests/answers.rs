//! Answers of a node that can't serve: users get a retry delay at once, workers wait for a leader.

mod node_settings;
mod worker_reports;

use std::{sync::Arc, time::Duration};

use kiteyard::{
    core::{
        Answer, CallId, Clock, Input, Node, Output,
        cluster::DirectCommands,
        config::{Config, Options},
        heartbeat_forwarding::PeerMessage,
        job::JobId,
        machine::{DirectReply, WorkerReport},
        membership::nodes::NodeHeartbeat,
        provisioning::CloudReply,
        state_cache::LeaderRecord,
        store::{Entry, Event, LEADER_KEY, STORED_HEARTBEAT_KEY, StateReply, StateRequest},
        stored_heartbeat::StoredHeartbeat,
    },
    wire,
};

const JOB: &str = r#"{"uid": "run-000001", "flight": "work", "crew": "red", "shape": "array",
  "lift": "standard", "strings": 1, "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "sail": "img",
  "size_gb": 1.0, "same_place": false, "spread": false, "gusts": false, "airtime_s": 1.0,
  "tether_s": 0.0, "reel_s": 0.0, "landby_s": 60.0}"#;

const FLAVORS: &[u8] =
    br#"{"frames": [{"label": "m", "cpus": 8.0, "gpus": 0.0, "mem_gb": 32.0, "fields": ["a"]}]}"#;

fn submission() -> Input {
    let spec = wire::user::parse_submission(JOB.as_bytes(), false).expect("a valid submission");
    Input::Submit {
        request: 7,
        spec: Arc::new(spec),
    }
}

fn step(node: &mut Node, ms: u64, input: Input) -> Vec<Output> {
    let clock = Clock {
        now: Duration::from_millis(ms),
        wall_ms: ms,
    };
    node.step(clock, input)
}

fn is_later(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| {
        let Output::Answer { request, answer } = output else {
            return false;
        };
        *request == 7 && matches!(answer, Answer::Later { retry } if !retry.is_zero())
    })
}

fn state_call(outputs: &[Output], matching: fn(&StateRequest) -> bool) -> Option<CallId> {
    outputs.iter().find_map(|output| match output {
        Output::State { call, request, .. } if matching(request) => Some(*call),
        _ => None,
    })
}

/// A submission that can't be stored is answered immediately, so that its user retries.
#[test]
fn a_submission_that_cannot_be_stored_is_answered_in_the_same_step() {
    let settings = node_settings::with_peers(2);
    let mut node = Node::new(Config::new(&settings, Options::default()));
    let is_list = |request: &StateRequest| matches!(request, StateRequest::List { .. });
    let is_accept = |request: &StateRequest| matches!(request, StateRequest::Txn { conditions, .. } if conditions.iter().any(|c| c.key == "live/job/run-000001"));

    // Before the state cache is loaded.
    let outputs = step(&mut node, 1, Input::Tick);
    let load = state_call(&outputs, is_list).expect("the live keys are read");
    assert!(is_later(&step(&mut node, 2, submission())));

    // While the machine types are unknown.
    let reply = StateReply::Entries {
        entries: Vec::new(),
        more: false,
        revision: 1,
    };
    let outputs = step(&mut node, 3, Input::State { call: load, reply });
    let types = outputs.iter().find_map(|output| match output {
        Output::Cloud { call, .. } => Some(*call),
        _ => None,
    });
    let watch = state_call(&outputs, |r| matches!(r, StateRequest::Watch { .. }));
    assert!(is_later(&step(&mut node, 4, submission())));

    // When the state service refuses the write, or does not answer it.
    let call = types.expect("a request for the machine types");
    let reply = CloudReply::Types(wire::cloud::parse_types(FLAVORS).expect("types"));
    let outputs = step(&mut node, 5, Input::Cloud { call, reply });
    let stored = outputs.iter().find_map(|output| match output {
        Output::State {
            request: StateRequest::Txn { changes, .. },
            ..
        } => changes.first().cloned(),
        _ => None,
    });
    let Some(kiteyard::core::store::Change::Put { key, value, .. }) = stored else {
        panic!("types are stored");
    };
    let reply = StateReply::Events {
        events: vec![Event {
            key,
            value: Some(value),
            revision: 2,
        }],
        revision: 2,
    };
    let call = watch.expect("a watch");
    step(&mut node, 6, Input::State { call, reply });
    let refused = StateReply::Refused {
        retry_after: Some(Duration::from_secs(3)),
        rate_limited: true,
    };
    for (ms, reply) in [(7, refused), (9, StateReply::Unclear)] {
        let outputs = step(&mut node, ms, submission());
        let call = state_call(&outputs, is_accept).expect("the job is put");
        let outputs = step(&mut node, ms + 1, Input::State { call, reply });
        assert!(is_later(&outputs), "at {ms} ms");
    }
}

/// Returns a node that has loaded the live keys, and its watch.
fn loaded(entries: Vec<Entry>) -> (Node, CallId) {
    loaded_as(0, entries)
}

fn loaded_as(incarnation: u32, entries: Vec<Entry>) -> (Node, CallId) {
    let options = Options {
        incarnation,
        ..Options::default()
    };
    let settings = node_settings::with_peers(2);
    let mut node = Node::new(Config::new(&settings, options));
    let outputs = step(&mut node, 1, Input::Tick);
    let call = state_call(&outputs, |r| matches!(r, StateRequest::List { .. }));
    let call = call.expect("the live keys are read");
    let reply = StateReply::Entries {
        entries,
        more: false,
        revision: 1,
    };
    let outputs = step(&mut node, 2, Input::State { call, reply });
    let watch = state_call(&outputs, |r| matches!(r, StateRequest::Watch { .. }));
    (node, watch.expect("a watch"))
}

fn is_sync(request: &StateRequest) -> bool {
    matches!(request, StateRequest::Watch { wait, .. } if wait.is_zero())
}

/// Status polls share one sync request, and those beyond the queue limit are answered at once.
#[test]
fn a_burst_of_polls_takes_one_request_and_a_bounded_queue() {
    let (mut node, _) = loaded(Vec::new());
    let id = JobId::parse("run-000001").expect("an id");
    let (mut syncs, mut refused) = (0, 0);
    for request in 100..10_100 {
        let id = id.clone();
        let outputs = step(&mut node, 10, Input::Status { request, id });
        syncs += usize::from(state_call(&outputs, is_sync).is_some());
        refused += outputs
            .iter()
            .filter(|o| {
                matches!(
                    o,
                    Output::Answer {
                        answer: Answer::Later { .. },
                        ..
                    }
                )
            })
            .count();
    }
    assert_eq!(syncs, 1);
    assert!((5_000..10_000).contains(&refused), "{refused} refused");
}

/// Every change ends the watch of every node: with immediate repeats, the watches used up the
/// request rate that submissions need.
#[test]
fn a_watch_that_returned_events_is_not_repeated_at_once() {
    let (mut node, mut watch) = loaded(Vec::new());
    let mut watches = 0;
    for ms in 10..2_010 {
        let reply = StateReply::Events {
            events: Vec::new(),
            revision: ms,
        };
        let outputs = step(&mut node, ms, Input::State { call: watch, reply });
        let next = state_call(
            &outputs,
            |r| matches!(r, StateRequest::Watch { wait, .. } if !wait.is_zero()),
        );
        watches += usize::from(next.is_some());
        watch = next.unwrap_or(watch);
    }
    // 80 requests a second, one fifth of them for the watches of three nodes.
    assert!((5..=12).contains(&watches), "{watches} in 2 s");
}

fn leader_record(node: &str) -> Box<serde_json::value::RawValue> {
    let record = LeaderRecord {
        node: node.into(),
        superseded: false,
    };
    serde_json::value::to_raw_value(&record).expect("a record")
}

fn report_of(machine: &str, token: u64) -> WorkerReport {
    worker_reports::report_of(machine, token, Vec::new())
}

fn first_answer(outputs: &[Output]) -> Option<(u64, Answer)> {
    outputs.iter().find_map(|output| match output {
        Output::Answer { request, answer } => Some((*request, answer.clone())),
        _ => None,
    })
}

fn led_by_n1() -> Vec<Entry> {
    vec![Entry {
        key: LEADER_KEY.into(),
        value: leader_record("n1"),
        version: 9,
    }]
}

/// Returns the relay number with which a node forwards the report of a worker that returns to it.
fn relay_number(node: &mut Node, machine: &str) -> u64 {
    let heartbeat = NodeHeartbeat {
        claim: 9,
        ..NodeHeartbeat::default()
    };
    let from = "n1".to_owned();
    let message = PeerMessage::Heartbeat(heartbeat);
    step(node, 3, Input::Peer { from, message });
    let report = || report_of(machine, 0);
    let at = |request| Input::Report {
        request,
        report: report(),
    };
    step(node, 4, at(1));
    let outputs = step(node, 5, at(2));
    let relay = outputs.iter().find_map(|output| match output {
        Output::Peer {
            message: PeerMessage::Report { relay, .. },
            ..
        } => Some(*relay),
        _ => None,
    });
    relay.expect("a relay")
}

/// The answer to a report that the previous process forwarded is not delivered to a worker of
/// the restarted process. Without the incarnation, both would use the same relay number.
#[test]
fn an_answer_to_a_previous_process_is_dropped() {
    let delivered = |incarnations: [u32; 2]| {
        let [(mut previous, _), (mut next, _)] =
            incarnations.map(|incarnation| loaded_as(incarnation, led_by_n1()));
        let relay = relay_number(&mut previous, "vm-1");
        relay_number(&mut next, "vm-2");
        let answer = Some(Answer::Commands {
            token: 9 << 16,
            commands: Vec::new(),
        });
        let (from, message) = ("n1".to_owned(), PeerMessage::Reported { relay, answer });
        first_answer(&step(&mut next, 6, Input::Peer { from, message }))
    };
    assert!(
        delivered([0, 0]).is_some(),
        "both processes use the same relay number"
    );
    assert_eq!(delivered([1, 2]), None);
}

/// If a leader is unreachable for this node but its stored heartbeat changes, workers are
/// redirected to it, and those that return from it are not held.
#[test]
fn workers_are_redirected_to_a_leader_known_only_by_its_stored_heartbeat() {
    let (mut node, watch) = loaded(led_by_n1());
    let at = |request| Input::Report {
        request,
        report: report_of("vm-1", 9 << 16),
    };
    let stored_heartbeat = StoredHeartbeat {
        claim: 9,
        reachable_machines: 5,
    };
    let reply = StateReply::Events {
        events: vec![Event {
            key: STORED_HEARTBEAT_KEY.into(),
            value: Some(
                serde_json::value::to_raw_value(&stored_heartbeat).expect("a stored heartbeat"),
            ),
            revision: 12,
        }],
        revision: 12,
    };
    step(&mut node, 8_000, Input::State { call: watch, reply });
    let to_leader = Answer::Redirect(Some("n1".into()));
    assert_eq!(
        first_answer(&step(&mut node, 8_100, at(1))),
        Some((1, to_leader))
    );
    let next = Answer::Redirect(None);
    assert_eq!(
        first_answer(&step(&mut node, 8_600, at(2))),
        Some((2, next))
    );
    // Another node reaches the leader and forwards reports: between two zones that can't reach each
    // other, workers that were redirected to the leader itself lost their leases.
    let heartbeat = NodeHeartbeat {
        claim: 9,
        ..NodeHeartbeat::default()
    };
    let (from, message) = ("n2".to_owned(), PeerMessage::Heartbeat(heartbeat));
    step(&mut node, 8_700, Input::Peer { from, message });
    let forwarder = Answer::Redirect(Some("n2".into()));
    assert_eq!(
        first_answer(&step(&mut node, 8_800, at(4))),
        Some((4, forwarder))
    );
    // The leader is silent again: a report waits for the next leader.
    assert_eq!(first_answer(&step(&mut node, 20_000, at(3))), None);
}

/// Guards against redirecting workers while there is no leader: some were redirected to the
/// node that had stopped, and their leases expired meanwhile.
#[test]
fn a_report_without_a_leader_waits_until_there_is_one() {
    let (mut node, watch) = loaded(led_by_n1());
    let report = report_of("vm-1", 9 << 16);
    let alive = PeerMessage::Heartbeat(NodeHeartbeat::default());
    let heartbeat = |message| Input::Peer {
        from: "n2".into(),
        message,
    };
    let at = |request| Input::Report {
        request,
        report: report.clone(),
    };
    // At the time limit it is redirected to a node that is alive, not just to any other one.
    assert_eq!(first_answer(&step(&mut node, 3_000, at(1))), None);
    assert_eq!(
        first_answer(&step(&mut node, 6_000, heartbeat(alive))),
        None
    );
    let outputs = step(&mut node, 6_500, Input::Tick);
    let to = |node: &str| Some(Answer::Redirect(Some(node.into())));
    assert_eq!(first_answer(&outputs), to("n2").map(|answer| (1, answer)));
    // Another node leads.
    assert_eq!(first_answer(&step(&mut node, 7_000, at(2))), None);
    let reply = StateReply::Events {
        events: vec![Event {
            key: LEADER_KEY.into(),
            value: Some(leader_record("n2")),
            revision: 12,
        }],
        revision: 12,
    };
    let outputs = step(&mut node, 7_500, Input::State { call: watch, reply });
    assert_eq!(first_answer(&outputs), to("n2").map(|answer| (2, answer)));
}

/// A process that was suspended after its decision sends no commands when it resumes.
#[test]
fn commands_are_not_sent_after_the_term_has_ended() {
    let commands = Answer::Commands {
        token: 5 << 16,
        commands: Vec::new(),
    };
    let answer = |answer| Output::Answer { request: 7, answer };
    let Ok(Output::Answer { answer: sent, .. }) = answer(commands.clone()).after_term_expired()
    else {
        panic!("the worker is answered");
    };
    assert_eq!(sent, Answer::Redirect(None));
    let forwarded = PeerMessage::Reported {
        relay: 3,
        answer: Some(commands),
    };
    let to = "n1".to_owned();
    let message = forwarded;
    let Ok(Output::Peer { message, .. }) = (Output::Peer { to, message }).after_term_expired()
    else {
        panic!("the other node is answered");
    };
    assert!(matches!(
        message,
        PeerMessage::Reported {
            relay: 3,
            answer: None
        }
    ));
    let direct = DirectCommands {
        machine: Arc::from("vm-1"),
        addr: "127.0.0.1:9".parse().expect("an address"),
        token: 5 << 16,
        session: 1,
        commands: Vec::new(),
    };
    let outcome = Output::Direct { call: 4, direct }.after_term_expired();
    let unclear = |input: Box<Input>| {
        let reply = DirectReply::Unclear;
        format!("{input:?}") == format!("{:?}", Input::Direct { call: 4, reply })
    };
    assert!(outcome.is_err_and(unclear));
    // Answers to users don't depend on leadership.
    assert!(is_later(&[answer(Answer::Later {
        retry: Duration::from_secs(1)
    })
    .after_term_expired()
    .expect("an answer")]));
}
