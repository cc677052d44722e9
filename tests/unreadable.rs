//! Behaviour of a node with unreadable records, which must not be treated as absent.

mod node_settings;

use std::time::Duration;

use kiteyard::core::{
    Answer, Clock, Input, Node, Output,
    config::{Config, Options},
    job::JobId,
    store::{
        ASSIGNMENTS_PREFIX, Change, DRAINS_KEY, Entry, Event, GENERATION_KEY, LEADER_KEY,
        MACHINE_TYPES_KEY, ORDERS_KEY, PARTITIONED_ZONES_KEY, PROGRESS_PREFIX, SETTLED_CLAIM_KEY,
        StateReply, StateRequest,
    },
};
use serde_json::value::RawValue;

/// Record in the form of a later build.
const NEWER_RECORD: &str = r#"{"form":9}"#;
const MACHINE_TYPES: &str = r#"[{"name":"m","size":{"cpus":8.0,"gpus":0.0,"memory_gb":64.0},"cache_gb":5.0,
  "fetch_gb_per_s":1.0,"price":1.0,"spot_price":0.4,"boot_s":30.0,"zones":["a"]}]"#;

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("JSON")
}

fn entry(key: &str, text: &str) -> Entry {
    Entry {
        key: key.to_owned(),
        value: raw(text),
        version: 5,
    }
}

/// Node with a state service that answers from a few fixed keys.
struct TestNode {
    node: Node,
    now: u64,
    /// Keys that are not watched.
    others: Vec<Entry>,
    answers: Vec<(u64, Answer)>,
    claims: usize,
    released_leadership: bool,
}

impl TestNode {
    fn new(mut live: Vec<Entry>, others: Vec<Entry>) -> Self {
        if live.iter().all(|entry| entry.key != MACHINE_TYPES_KEY) {
            live.push(entry(MACHINE_TYPES_KEY, MACHINE_TYPES));
        }
        let settings = node_settings::with_peers(1);
        let mut test_node = Self {
            node: Node::new(Config::new(&settings, Options::default())),
            now: 0,
            others,
            answers: Vec::new(),
            claims: 0,
            released_leadership: false,
        };
        test_node.run(Input::Tick, &live);
        for _ in 0..20 {
            test_node.run(Input::Tick, &live);
        }
        test_node
    }

    fn run(&mut self, input: Input, live: &[Entry]) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            self.now += 20;
            let clock = Clock {
                now: Duration::from_millis(self.now),
                wall_ms: self.now,
            };
            for output in self.node.step(clock, input) {
                match output {
                    Output::Answer { request, answer } => self.answers.push((request, answer)),
                    Output::State { call, request, .. } => {
                        if let Some(reply) = self.reply(&request, live) {
                            inputs.insert(0, Input::State { call, reply });
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn reply(&mut self, request: &StateRequest, live: &[Entry]) -> Option<StateReply> {
        Some(match request {
            StateRequest::List { prefix, .. } => {
                let all = live.iter().chain(&self.others);
                let own = all.filter(|e| e.key.starts_with(prefix.as_str()));
                StateReply::Entries {
                    entries: own.cloned().collect(),
                    more: false,
                    revision: 9,
                }
            }
            StateRequest::Get { key } => {
                let mut others = self.others.iter().chain(live);
                match others.find(|e| e.key == *key) {
                    Some(entry) => StateReply::Entry(entry.clone()),
                    None => StateReply::Missing,
                }
            }
            StateRequest::Txn { changes, .. } => {
                for change in changes {
                    match change {
                        Change::Put { key, .. } if key == LEADER_KEY => self.claims += 1,
                        Change::Delete { key } if key == LEADER_KEY => {
                            self.released_leadership = true
                        }
                        _ => {}
                    }
                }
                StateReply::Committed { revision: 9 }
            }
            StateRequest::Grant { .. } => StateReply::Granted { lease: 1 },
            StateRequest::Renew { .. } => StateReply::Renewed,
            StateRequest::Watch { wait, .. } if wait.is_zero() => StateReply::Events {
                events: Vec::<Event>::new(),
                revision: 9,
            },
            StateRequest::Watch { .. } => return None,
        })
    }

    fn answer(&mut self, input: Input, live: &[Entry]) -> Answer {
        let before = self.answers.len();
        self.run(input, live);
        for _ in 0..20 {
            self.run(Input::Tick, live);
        }
        let answers = &self.answers[before..];
        answers.first().expect("an answer").1.clone()
    }

    fn status(&mut self, id: &str) -> Answer {
        let id = JobId::parse(id).expect("an id");
        self.answer(Input::Status { request: 7, id }, &[])
    }

    fn ready(&mut self) -> bool {
        self.answer(Input::Ready { request: 8 }, &[]) == Answer::Ready(true)
    }
}

fn is_later(answer: &Answer) -> bool {
    matches!(answer, Answer::Later { .. })
}

#[test]
fn a_node_that_reads_everything_leads_and_answers() {
    let mut test_node = TestNode::new(Vec::new(), Vec::new());
    assert!(test_node.claims > 0 && test_node.ready());
    assert_eq!(test_node.status("run-000001"), Answer::NotFound);
}

/// Treated as absent, a leader key would be overwritten by a claim, and a job would be forgotten.
#[test]
fn an_unreadable_watched_key_prevents_leading() {
    let keys = [
        LEADER_KEY,
        GENERATION_KEY,
        ORDERS_KEY,
        PARTITIONED_ZONES_KEY,
        DRAINS_KEY,
        SETTLED_CLAIM_KEY,
        MACHINE_TYPES_KEY,
        "live/job/run-000001",
    ];
    for key in keys {
        let mut test_node = TestNode::new(vec![entry(key, NEWER_RECORD)], Vec::new());
        assert_eq!(test_node.claims, 0, "{key}");
        assert!(!test_node.ready(), "{key}");
    }
    // The status of an unreadable job is not answered; other jobs are answered.
    let mut test_node = TestNode::new(vec![entry("live/job/run-000001", NEWER_RECORD)], Vec::new());
    assert!(is_later(&test_node.status("run-000001")));
    assert_eq!(test_node.status("run-000002"), Answer::NotFound);
    // If the generation is unreadable, no status is answered.
    let mut test_node = TestNode::new(vec![entry(GENERATION_KEY, NEWER_RECORD)], Vec::new());
    assert!(is_later(&test_node.status("run-000002")));
    let later = r#"{"from":8,"to":9,"stage":"migrating"}"#;
    let mut test_node = TestNode::new(vec![entry(GENERATION_KEY, later)], Vec::new());
    assert!(
        is_later(&test_node.status("run-000002")) && !test_node.ready() && test_node.claims == 0
    );
}

#[test]
fn an_unreadable_terminal_state_is_not_treated_as_absent() {
    let settled = r#"{"from":2,"to":2,"stage":"settled"}"#;
    let done = r#"{"state":"done","done":3}"#;
    let cases = [
        (None, "final/run-000001", NEWER_RECORD, true),
        (
            None,
            "final/run-000001",
            r#"{"state":"pending","done":0}"#,
            true,
        ),
        (None, "final/run-000001", done, false),
        (Some(settled), "ends/run-0000", r#""01x3""#, true),
        (Some(settled), "ends/run-0000", r#""01d3,01d4""#, true),
        (Some(settled), "ends/run-0000", r#""01d3,02c0""#, false),
    ];
    for (generation, key, value, later) in cases {
        let live = generation.map(|text| entry(GENERATION_KEY, text));
        let mut test_node = TestNode::new(live.into_iter().collect(), vec![entry(key, value)]);
        let answer = test_node.status("run-000001");
        match later {
            true => assert!(is_later(&answer), "{value}: {answer:?}"),
            false => assert!(matches!(answer, Answer::Status(_, _, 3, 0)), "{answer:?}"),
        }
    }
}

/// If an unreadable shard were treated as empty, tasks that run on its machines would be started
/// twice.
#[test]
fn a_failover_stops_at_an_unreadable_record() {
    let assignment_index = format!("{ASSIGNMENTS_PREFIX}0");
    let progress = format!("{PROGRESS_PREFIX}run-000001/0");
    let out_of_range = r#"{"kinds":[["m","a",false]],"jobs":[],"machines":[["vm-1",0,[0]]]}"#;
    let cases = [
        (&assignment_index, NEWER_RECORD),
        (&assignment_index, out_of_range),
        (&progress, NEWER_RECORD),
        (&progress, r#""ff,zz""#),
    ];
    for (key, value) in cases {
        let test_node = TestNode::new(Vec::new(), vec![entry(key, value)]);
        assert!(test_node.claims > 0, "{key}");
        assert!(
            test_node.released_leadership && !test_node.node.has_taken_over(),
            "{key}: {value}"
        );
    }
}
