//! Rejected submissions, dependencies of jobs, and requests that arrive while a node reloads
//! its state cache.

mod node_settings;

use std::{sync::Arc, time::Duration};

use kiteyard::{
    core::{
        Answer, CallId, Clock, Input, Node, Output,
        config::{Config, Options},
        job::{JobId, JobRecord},
        state_cache::StateCache,
        store::{Entry, Event, StateReply, StateRequest, job_key},
    },
    wire::user::parse_submission,
};
use serde_json::{Value, json};

fn submission() -> Value {
    json!({"uid": "run-000001", "flight": "work", "crew": "red", "shape": "array",
        "lift": "standard", "strings": 1, "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0,
        "sail": "img", "size_gb": 1.0, "frames": null, "field": null, "same_place": false,
        "spread": false, "gusts": false, "airtime_s": 1.0, "tether_s": 0.0, "reel_s": 0.0,
        "landby_s": 60.0})
}

const OPTIONAL_FIELDS: [&str; 3] = ["frames", "field", "landby_s"];

fn rejection(body: &Value) -> String {
    let body = body.to_string();
    let parsed = parse_submission(body.as_bytes(), true);
    parsed.expect_err(&body)
}

#[test]
fn a_missing_field_is_named_unless_it_is_optional() {
    let whole = submission();
    for field in whole.as_object().expect("an object").keys() {
        let mut job = submission();
        job.as_object_mut().expect("an object").remove(field);
        match OPTIONAL_FIELDS.contains(&field.as_str()) {
            true => assert!(parse_submission(job.to_string().as_bytes(), true).is_ok()),
            false => {
                assert!(rejection(&job).contains(&format!("`{field}`")), "{field}");
                job[field] = Value::Null;
                assert!(rejection(&job).contains(field), "{field}");
            }
        }
    }
}

#[test]
fn a_field_that_is_invalid_or_out_of_range_is_named() {
    let invalid = [
        ("uid", json!("job 1")),
        ("uid", json!(5)),
        ("flight", json!("")),
        ("flight", json!(["work"])),
        ("crew", json!("")),
        ("crew", json!("x".repeat(201))),
        ("shape", json!("heap")),
        ("lift", json!("highest")),
        ("strings", json!(0)),
        ("strings", json!(-1)),
        ("strings", json!(100_001)),
        ("strings", json!(1.5)),
        ("strings", json!("3")),
        ("cpus", json!(-1.0)),
        ("cpus", json!("2")),
        ("gpus", json!(-0.5)),
        ("gpus", json!(true)),
        ("mem_gb", json!(-1)),
        ("mem_gb", json!({})),
        ("sail", json!("")),
        ("sail", json!(7)),
        ("size_gb", json!(1e12)),
        ("size_gb", json!([])),
        ("frames", json!("m")),
        ("frames", json!([1])),
        ("field", json!(3)),
        ("same_place", json!("yes")),
        ("spread", json!(0)),
        ("gusts", json!(1)),
        ("airtime_s", json!(-1.0)),
        ("airtime_s", json!("long")),
        ("tether_s", json!(-1.0)),
        ("tether_s", json!(false)),
        ("reel_s", json!(-1.0)),
        ("reel_s", json!("0")),
        ("landby_s", json!(-5.0)),
        ("landby_s", json!("soon")),
        ("licences", json!([])),
        ("licences", json!({"solver": 0})),
    ];
    for (field, value) in invalid {
        let mut job = submission();
        job[field] = value;
        let message = rejection(&job);
        assert!(message.contains(field), "{field}: {message}");
    }
}

/// An array of the values in field order is not accepted as a submission.
#[test]
fn a_body_that_is_not_an_object_is_rejected() {
    let values = json!([
        "run-000001",
        "work",
        "red",
        "array",
        "standard",
        1,
        1.0,
        0.0,
        1.0,
        "img",
        1.0,
        null,
        null,
        false,
        false,
        false,
        1.0,
        0.0,
        0.0,
        60.0,
        null
    ]);
    for body in [values, json!(7), json!("run-000001"), Value::Null] {
        assert_eq!(rejection(&body), "expected a JSON object");
    }
    let twice = format!("{}{}", submission(), submission());
    assert!(parse_submission(twice.as_bytes(), true).is_err());
}

/// Node whose requests to the state service are answered by the test.
struct TestNode {
    node: Node,
    ms: u64,
    outputs: Vec<Output>,
}

impl TestNode {
    fn new() -> Self {
        Self::with_peers(0, Options::default())
    }

    /// Creates one of several nodes.
    fn with_peers(peers: usize, options: Options) -> Self {
        let settings = node_settings::with_peers(peers);
        let node = Node::new(Config::new(&settings, options));
        let outputs = Vec::new();
        Self {
            node,
            ms: 0,
            outputs,
        }
    }

    fn step(&mut self, input: Input) {
        self.ms += 400;
        let clock = Clock {
            now: Duration::from_millis(self.ms),
            wall_ms: self.ms,
        };
        self.outputs.extend(self.node.step(clock, input));
    }

    /// Returns the last matching request to the state service.
    fn last_call(&mut self, matching: fn(&StateRequest) -> bool) -> CallId {
        let call = self.outputs.iter().rev().find_map(|output| match output {
            Output::State { call, request, .. } if matching(request) => Some(*call),
            _ => None,
        });
        call.expect("such a request")
    }

    fn reply(&mut self, call: CallId, reply: StateReply) {
        self.step(Input::State { call, reply });
    }

    fn query_status(&mut self, request: u64) {
        let id = id();
        self.step(Input::Status { request, id });
    }

    fn answer(&self, to: u64) -> Option<Answer> {
        self.outputs.iter().find_map(|output| match output {
            Output::Answer { request, answer } if *request == to => Some(answer.clone()),
            _ => None,
        })
    }

    fn complete_load(&mut self, entries: Vec<Entry>, revision: u64) {
        let call = self.last_call(|r| matches!(r, StateRequest::List { .. }));
        let more = false;
        self.reply(
            call,
            StateReply::Entries {
                entries,
                more,
                revision,
            },
        );
    }

    /// Ends the watch as too old while a sync is in flight, so that the node reloads its state
    /// cache. Returns the sync request.
    fn fall_behind(&mut self) -> CallId {
        self.step(Input::Tick);
        self.complete_load(vec![entry(5)], 10);
        self.query_status(1);
        let sync = self.last_call(is_sync);
        let watch = self.last_call(is_watch);
        self.reply(watch, StateReply::TooOld);
        self.step(Input::Tick);
        sync
    }
}

/// Dependencies named by a submission, and answers about a job that has dependencies.
mod dependencies {
    use kiteyard::core::{
        job::JobState,
        rollout::{FEATURES, JOB_DEPENDENCIES},
        store::Change,
    };

    use super::*;

    const TYPES: &str = r#"[{"name":"m","size":{"cpus":8.0,"gpus":0.0,"memory_gb":64.0},"cache_gb":5.0,"fetch_gb_per_s":1.0,"price":1.0,"spot_price":0.4,"boot_s":30.0,"zones":["a"]}]"#;

    fn id_of(number: u32) -> JobId {
        JobId::parse(&format!("run-{number:06}")).expect("an id")
    }

    fn submission_of(number: u32, needs: &[u32]) -> Value {
        let mut job = submission();
        job["uid"] = json!(id_of(number).as_str());
        let needs = needs.iter().map(|need| id_of(*need).as_str().to_owned());
        job["waits_on"] = json!(needs.collect::<Vec<_>>());
        job
    }

    fn entry_of(job: &Value, version: u64) -> Entry {
        let spec = parse_submission(job.to_string().as_bytes(), false).expect("a submission");
        let key = job_key(&spec.id);
        let record = JobRecord {
            spec: Arc::new(spec),
            accepted_ms: version,
        };
        Entry {
            key,
            value: serde_json::value::to_raw_value(&record).expect("a record"),
            version,
        }
    }

    fn service(number: u32) -> Value {
        let mut job = submission_of(number, &[]);
        job["shape"] = json!("standing");
        job
    }

    fn text_entry(key: &str, text: &str, version: u64) -> Entry {
        Entry {
            key: key.into(),
            value: serde_json::value::RawValue::from_string(text.into()).expect("JSON"),
            version,
        }
    }

    fn terminal_state(number: u32, state: &str, version: u64) -> StateReply {
        let text = json!({"state": state, "done": 1}).to_string();
        StateReply::Entry(text_entry(
            &format!("final/{}", id_of(number)),
            &text,
            version,
        ))
    }

    /// Matches a transaction that changes something.
    fn is_txn(request: &StateRequest) -> bool {
        matches!(request, StateRequest::Txn { changes, .. } if !changes.is_empty())
    }

    fn is_job_read(request: &StateRequest) -> bool {
        matches!(request, StateRequest::Get { key } if key.starts_with("live/job/"))
    }

    fn is_terminal_state_read(request: &StateRequest) -> bool {
        matches!(request, StateRequest::Get { key } if key.starts_with("final/"))
    }

    impl TestNode {
        /// Creates a node whose state cache holds these active jobs.
        fn with_jobs(jobs: &[Value]) -> Self {
            Self::new().with_active(jobs, Vec::new())
        }

        fn with_active(self, jobs: &[Value], mut entries: Vec<Entry>) -> Self {
            let mut test_node = self;
            test_node.step(Input::Tick);
            let numbered = jobs.iter().zip(2..);
            entries.extend(numbered.map(|(job, at)| entry_of(job, at)));
            entries.push(text_entry("live/types", TYPES, 1));
            test_node.complete_load(entries, 10);
            test_node
        }

        fn submit(&mut self, request: u64, job: &Value) {
            let spec = parse_submission(job.to_string().as_bytes(), false).expect("a submission");
            let spec = Arc::new(spec);
            self.step(Input::Submit { request, spec });
        }

        fn status_of(&mut self, request: u64, number: u32) {
            let id = id_of(number);
            self.step(Input::Status { request, id });
        }

        /// Answers the sync: nothing has changed.
        fn complete_sync(&mut self) {
            let sync = self.last_call(is_sync);
            self.reply(sync, no_events(10));
        }

        /// Checks that a submission is rejected once its job is known to be new.
        fn assert_rejected(&mut self, to: u64, about: &str) {
            assert_eq!(self.answer(to), None);
            self.complete_sync();
            let read = self.last_call(is_terminal_state_read);
            self.reply(read, StateReply::Missing);
            match self.answer(to) {
                Some(Answer::Impossible(reason)) => {
                    assert!(
                        reason.contains("waits_on") && reason.contains(about),
                        "{reason}"
                    );
                }
                other => panic!("{other:?}"),
            }
        }

        fn remove_active(&mut self, number: u32, revision: u64) {
            let watch = self.last_call(is_watch);
            let event = Event {
                key: job_key(&id_of(number)),
                value: None,
                revision,
            };
            let events = vec![event];
            self.reply(watch, StateReply::Events { events, revision });
        }
    }

    #[test]
    fn malformed_dependencies_are_rejected_and_named() {
        let lists = [
            json!("run-000002"),
            json!(5),
            json!(true),
            json!({"run-000002": 1}),
            json!([2]),
            json!([null]),
            json!([["run-000002"]]),
            json!(["job 2"]),
            json!([""]),
            json!(["run-000002", "run-"]),
            json!(["run-000001"]),
            json!(["run-000002", "run-000003", "run-000002"]),
        ];
        for list in lists {
            let mut job = submission();
            job["waits_on"] = list.clone();
            let message = rejection(&job);
            assert!(message.contains("waits_on"), "{list}: {message}");
        }
        for list in [Value::Null, json!([])] {
            let mut job = submission();
            job["waits_on"] = list;
            let spec = parse_submission(job.to_string().as_bytes(), true).expect("a submission");
            assert!(spec.needs.is_empty());
        }
    }

    #[test]
    fn a_job_that_depends_on_a_service_is_rejected() {
        let mut test_node = TestNode::with_jobs(&[service(2)]);
        test_node.submit(1, &submission_of(1, &[2]));
        test_node.assert_rejected(1, "run-000002");
        // A service that the node's state cache does not hold yet.
        let mut test_node = TestNode::with_jobs(&[]);
        test_node.submit(1, &submission_of(1, &[2]));
        let read = test_node.last_call(is_job_read);
        test_node.reply(read, StateReply::Entry(entry_of(&service(2), 12)));
        test_node.assert_rejected(1, "run-000002");
    }

    #[test]
    fn a_job_that_depends_on_an_unknown_job_is_rejected() {
        let mut test_node = TestNode::with_jobs(&[submission_of(3, &[])]);
        test_node.submit(1, &submission_of(1, &[2, 3]));
        let read = test_node.last_call(is_job_read);
        test_node.reply(read, StateReply::Missing);
        let read = test_node.last_call(is_terminal_state_read);
        test_node.reply(read, StateReply::Missing);
        test_node.assert_rejected(1, "run-000002");
    }

    #[test]
    fn an_unanswered_read_does_not_make_a_dependency_unknown() {
        for active_is_known in [false, true] {
            let mut test_node = TestNode::with_jobs(&[]);
            test_node.submit(1, &submission_of(1, &[2]));
            let mut read = test_node.last_call(is_job_read);
            if active_is_known {
                test_node.reply(read, StateReply::Missing);
                read = test_node.last_call(is_terminal_state_read);
            }
            test_node.reply(read, StateReply::Unclear);
            let answer = test_node.answer(1).expect("an answer");
            assert!(matches!(answer, Answer::Later { .. }), "{answer:?}");
        }
    }

    /// Creates one of two nodes with stored feature lists and rollouts enabled.
    fn one_of_two_nodes(other_features: &Value) -> TestNode {
        let file = include_str!("../deploy/rollout.toml");
        let config = kiteyard_rollout::config::Config::parse(file, FEATURES).expect("a file");
        let options = Options {
            rollout: Some(Arc::new(config)),
            ..Options::default()
        };
        let entry = |node: &str, features: &Value| {
            let record = json!({"build": "b", "least": 1, "most": 4, "features": features});
            text_entry(&format!("live/node/{node}"), &record.to_string(), 1)
        };
        let own = json!([JOB_DEPENDENCIES]);
        let nodes = vec![entry("n0", &own), entry("n1", other_features)];
        TestNode::with_peers(1, options).with_active(&[submission_of(2, &[])], nodes)
    }

    #[test]
    fn dependencies_are_not_accepted_until_every_node_supports_them() {
        let mut test_node = one_of_two_nodes(&json!(["drains"]));
        test_node.submit(1, &submission_of(1, &[2]));
        let answer = test_node.answer(1).expect("an answer");
        assert!(matches!(answer, Answer::Later { .. }), "{answer:?}");
        let mut test_node = one_of_two_nodes(&json!(["drains", JOB_DEPENDENCIES]));
        test_node.submit(1, &submission_of(1, &[2]));
        let accept = test_node.last_call(is_accept);
        test_node.reply(accept, StateReply::Committed { revision: 11 });
        assert_eq!(test_node.answer(1), Some(Answer::Accepted(id_of(1))));
    }

    /// Matches a transaction that stores a job, unlike one that stores the node's features.
    fn is_accept(request: &StateRequest) -> bool {
        let stores = |change: &Change| matches!(change, Change::Put { key, .. } if key.starts_with("live/job/"));
        matches!(request, StateRequest::Txn { changes, .. } if changes.iter().any(stores))
    }

    #[test]
    fn a_job_that_depends_on_a_terminated_job_is_accepted() {
        for state in ["done", "cancelled"] {
            let mut test_node = TestNode::with_jobs(&[]);
            test_node.submit(1, &submission_of(1, &[2]));
            let read = test_node.last_call(is_job_read);
            test_node.reply(read, StateReply::Missing);
            let read = test_node.last_call(is_terminal_state_read);
            test_node.reply(read, terminal_state(2, state, 9));
            let accept = test_node.last_call(is_txn);
            test_node.reply(accept, StateReply::Committed { revision: 11 });
            assert_eq!(
                test_node.answer(1),
                Some(Answer::Accepted(id_of(1))),
                "{state}"
            );
        }
    }

    #[test]
    fn a_repeated_submission_has_the_same_dependencies_in_any_order() {
        let jobs = [
            submission_of(2, &[]),
            submission_of(3, &[]),
            submission_of(1, &[2, 3]),
        ];
        let mut test_node = TestNode::with_jobs(&jobs);
        test_node.submit(1, &submission_of(1, &[3, 2]));
        test_node.complete_sync();
        let known = Answer::Known(id_of(1), JobState::Pending);
        assert_eq!(test_node.answer(1), Some(known));
        for (request, other) in [(2, &[2][..]), (3, &[2, 3, 4]), (4, &[])] {
            test_node.submit(request, &submission_of(1, other));
            test_node.complete_sync();
            let answer = test_node.answer(request).expect("an answer");
            let named = matches!(&answer, Answer::Impossible(why) if why.contains("waits_on"));
            assert!(named, "{other:?}: {answer:?}");
        }
    }

    #[test]
    fn a_pending_job_lists_the_dependencies_it_waits_for() {
        let jobs = [
            submission_of(2, &[]),
            submission_of(3, &[]),
            submission_of(1, &[2, 3]),
        ];
        let mut test_node = TestNode::with_jobs(&jobs);
        test_node.status_of(1, 1);
        test_node.complete_sync();
        let waiting = Answer::Waiting(id_of(1), vec![id_of(2), id_of(3)]);
        assert_eq!(test_node.answer(1), Some(waiting));
        // The absence of an active job does not determine its terminal state.
        test_node.remove_active(2, 11);
        test_node.status_of(2, 1);
        let sync = test_node.last_call(is_sync);
        test_node.reply(sync, no_events(11));
        assert_eq!(test_node.answer(2), None);
        let read = test_node.last_call(is_terminal_state_read);
        test_node.reply(read, terminal_state(2, "done", 11));
        let waiting = Answer::Waiting(id_of(1), vec![id_of(3)]);
        assert_eq!(test_node.answer(2), Some(waiting));
    }

    /// Cancellation follows from the stored state of the cancelled dependency, even transitively.
    #[test]
    fn a_job_is_cancelled_with_its_dependency() {
        let jobs = [
            submission_of(2, &[]),
            submission_of(3, &[2]),
            submission_of(1, &[3]),
        ];
        let mut test_node = TestNode::with_jobs(&jobs);
        test_node.remove_active(2, 11);
        test_node.status_of(1, 1);
        let sync = test_node.last_call(is_sync);
        test_node.reply(sync, no_events(11));
        let read = test_node.last_call(is_terminal_state_read);
        test_node.reply(read, terminal_state(2, "cancelled", 11));
        let cancelled = Answer::Status(id_of(1), JobState::Cancelled, 0, 0);
        assert_eq!(test_node.answer(1), Some(cancelled));
        let id = id_of(3);
        test_node.step(Input::Withdraw { request: 2, id });
        let sync = test_node.last_call(is_sync);
        test_node.reply(sync, no_events(11));
        let known = Answer::Known(id_of(3), JobState::Cancelled);
        assert_eq!(test_node.answer(2), Some(known));
    }
}

fn is_sync(request: &StateRequest) -> bool {
    matches!(request, StateRequest::Watch { wait, .. } if wait.is_zero())
}

fn is_watch(request: &StateRequest) -> bool {
    matches!(request, StateRequest::Watch { wait, .. } if !wait.is_zero())
}

fn id() -> JobId {
    JobId::parse("run-000001").expect("an id")
}

fn entry(version: u64) -> Entry {
    let body = submission().to_string();
    let record = JobRecord {
        spec: Arc::new(parse_submission(body.as_bytes(), false).expect("a submission")),
        accepted_ms: 1,
    };
    Entry {
        key: job_key(&id()),
        value: serde_json::value::to_raw_value(&record).expect("a record"),
        version,
    }
}

fn no_events(revision: u64) -> StateReply {
    let events = Vec::new();
    StateReply::Events { events, revision }
}

/// A sync that was requested for the previous state cache doesn't cover the reloaded one:
/// counted as valid, it made a known job look unknown.
#[test]
fn a_job_is_not_unknown_while_the_cache_reloads() {
    let mut test_node = TestNode::new();
    let sync = test_node.fall_behind();
    test_node.reply(sync, no_events(10));
    let answer = test_node.answer(1).expect("an answer at once");
    assert!(matches!(answer, Answer::Later { .. }), "{answer:?}");
}

/// Events from before a reload are ignored: a key set and then deleted would stay in the
/// state cache, and a terminated job would be reported as pending.
#[test]
fn events_from_before_a_reload_are_ignored() {
    let mut test_node = TestNode::new();
    let sync = test_node.fall_behind();
    let job = entry(12);
    let event = Event {
        key: job.key,
        value: Some(job.value),
        revision: 12,
    };
    let (events, revision) = (vec![event], 12);
    test_node.reply(sync, StateReply::Events { events, revision });
    test_node.complete_load(Vec::new(), 20);
    test_node.query_status(2);
    let sync = test_node.last_call(is_sync);
    test_node.reply(sync, no_events(20));
    let read = test_node.last_call(|r| matches!(r, StateRequest::Get { .. }));
    test_node.reply(read, StateReply::Missing);
    assert_eq!(test_node.answer(2), Some(Answer::NotFound));
}

/// Guards against an older watch event that arrives after this node has stored the job's
/// terminal state: the leader then scheduled the job again.
#[test]
fn an_older_event_does_not_restore_a_job_that_this_node_has_ended() {
    let change = |value: Option<_>, revision| Event {
        key: job_key(&id()),
        value,
        revision,
    };
    let mut cache = StateCache::default();
    cache.apply_events(&[], 10);
    cache.job_end_committed(&id(), 13);
    assert_eq!(
        cache.apply_events(&[change(Some(entry(12).value), 12)], 12),
        []
    );
    assert!(cache.jobs.is_empty());
    assert_eq!(cache.apply_events(&[change(None, 13)], 13), []);
    assert!(cache.jobs.is_empty());
}
