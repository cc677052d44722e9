//! Records that exceed the state service's value limit.

mod node_settings;

use std::{sync::Arc, time::Duration};

use kiteyard::{
    core::{
        Answer, CallId, Clock, Input, Node, Output,
        config::{Config, Options},
        provisioning::CloudReply,
        store::{StateReply, StateRequest},
    },
    settings::Settings,
    wire,
};
use serde_json::json;

fn node() -> Node {
    let text = node_settings::settings_text(0, &json!({"value_kb": 0.5}));
    let settings = Settings::parse(&text).expect("valid settings");
    Node::new(Config::new(&settings, Options::default()))
}

fn step(node: &mut Node, ms: u64, input: Input) -> Vec<Output> {
    let now = Duration::from_millis(ms);
    let wall_ms = ms;
    node.step(Clock { now, wall_ms }, input)
}

fn state_call(outputs: &[Output], matching: fn(&StateRequest) -> bool) -> Option<CallId> {
    outputs.iter().find_map(|output| match output {
        Output::State { call, request, .. } if matching(request) => Some(*call),
        _ => None,
    })
}

fn answer(outputs: &[Output]) -> Option<&Answer> {
    outputs.iter().find_map(|output| match output {
        Output::Answer { answer, .. } => Some(answer),
        _ => None,
    })
}

fn writes(outputs: &[Output], key: &str) -> bool {
    let names = |request: &StateRequest| format!("{request:?}").contains(key);
    let txn = |request: &StateRequest| matches!(request, StateRequest::Txn { .. });
    outputs.iter().any(
        |output| matches!(output, Output::State { request, .. } if txn(request) && names(request)),
    )
}

/// Returns a node that has loaded an empty state and `types` machine types.
fn loaded_node(types: usize) -> (Node, Vec<Output>) {
    let mut node = node();
    let outputs = step(&mut node, 1, Input::Tick);
    let load = state_call(&outputs, |r| matches!(r, StateRequest::List { .. }));
    let reply = StateReply::Entries {
        entries: Vec::new(),
        more: false,
        revision: 5,
    };
    let call = load.expect("a request to list the live keys");
    let outputs = step(&mut node, 2, Input::State { call, reply });
    let call = outputs.iter().find_map(|output| match output {
        Output::Cloud { call, .. } => Some(*call),
        _ => None,
    });
    let frames: Vec<_> = (0..types)
        .map(|i| {
            json!({"label": format!("m{i}"), "cpus": 8.0, "gpus": 0.0, "mem_gb": 32.0,
                "fields": ["a"]})
        })
        .collect();
    let body = json!({ "frames": frames }).to_string();
    let request = kiteyard::core::provisioning::CloudRequest::Types;
    let reply = wire::cloud::decode(&request, 200, body.as_bytes());
    assert!(matches!(reply, CloudReply::Types(_)));
    let call = call.expect("a request for machine types");
    let outputs = step(&mut node, 3, Input::Cloud { call, reply });
    (node, outputs)
}

fn submission(image: &str) -> Input {
    let text = json!({"uid": "run-000001", "flight": "work", "crew": "red", "shape": "array",
        "lift": "standard", "strings": 1, "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "sail": image,
        "size_gb": 1.0, "same_place": false, "spread": false, "gusts": false, "airtime_s": 1.0,
        "tether_s": 0.0, "reel_s": 0.0, "landby_s": 60.0});
    let spec = wire::user::parse_submission(text.to_string().as_bytes(), false);
    Input::Submit {
        request: 7,
        spec: Arc::new(spec.expect("a valid submission")),
    }
}

#[test]
fn oversized_machine_types_stay_in_memory_and_node_is_ready() {
    let (mut node, outputs) = loaded_node(30);
    assert!(!writes(&outputs, "live/types"));
    let outputs = step(&mut node, 4, Input::Ready { request: 8 });
    assert_eq!(answer(&outputs), Some(&Answer::Ready(true)));

    let (_, outputs) = loaded_node(1);
    assert!(writes(&outputs, "live/types"), "what fits is stored");
}

#[test]
fn oversized_job_is_rejected_with_a_reason() {
    let (mut node, _) = loaded_node(30);
    let outputs = step(&mut node, 10, submission(&"x".repeat(200)));
    assert!(!writes(&outputs, "live/job/"));
    // The job may have been accepted earlier, which has to be ruled out before the refusal.
    assert_eq!(answer(&outputs), None);
    let is_verification =
        |r: &StateRequest| matches!(r, StateRequest::Watch { wait, .. } if wait.is_zero());
    let call = state_call(&outputs, is_verification).expect("a request that verifies the cache");
    let reply = StateReply::Events {
        events: Vec::new(),
        revision: 5,
    };
    let outputs = step(&mut node, 11, Input::State { call, reply });
    let end = |r: &StateRequest| matches!(r, StateRequest::Get { key } if key.contains("run-"));
    let call = state_call(&outputs, end).expect("a read of the job's terminal state");
    let reply = StateReply::Missing;
    let outputs = step(&mut node, 12, Input::State { call, reply });
    let Some(Answer::Impossible(reason)) = answer(&outputs) else {
        panic!("{outputs:?}");
    };
    assert!(reason.contains("at most 512"), "{reason}");

    let outputs = step(&mut node, 20, submission("img"));
    assert!(writes(&outputs, "live/job/"), "what fits is stored");
}
