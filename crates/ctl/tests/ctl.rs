//! Retries, job files, and the program against a scripted node.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    process::Command,
    thread::JoinHandle,
    time::Duration,
};

use kiteyard_ctl::{
    job::{Job, JobError, Kind, Priority},
    retry::{AttemptOutcome, RetryState, RetryStep},
};

#[test]
fn requests_are_retried_at_each_node_in_turn() {
    let s = Duration::from_secs;
    let mut retries = RetryState::new(3, s(60));
    let retry_at = |node, delay| RetryStep::Retry { node, delay };
    // Unreachable nodes cause no delay until all of them have been tried.
    assert_eq!(
        retries.next_step(s(0), AttemptOutcome::NoResponse),
        retry_at(1, s(0))
    );
    assert_eq!(
        retries.next_step(s(0), AttemptOutcome::NoResponse),
        retry_at(2, s(0))
    );
    assert_eq!(
        retries.next_step(s(0), AttemptOutcome::NoResponse),
        retry_at(0, s(1))
    );
    let unavailable = |retry_after| AttemptOutcome::Status(503, retry_after);
    assert_eq!(
        retries.next_step(s(1), unavailable(None)),
        retry_at(1, s(1))
    );
    assert_eq!(
        retries.next_step(s(2), unavailable(Some(s(7)))),
        retry_at(2, s(7))
    );
    assert_eq!(
        retries.next_step(s(9), unavailable(Some(s(900)))),
        retry_at(0, s(30))
    );
    assert_eq!(
        retries.next_step(s(40), AttemptOutcome::Status(429, Some(s(25)))),
        RetryStep::GiveUp
    );
    for status in [200, 201, 400, 404, 422] {
        let outcome = AttemptOutcome::Status(status, None);
        assert_eq!(retries.next_step(s(99), outcome), RetryStep::Final(status));
    }
}

const JOB: &str = r#"
id = "run-000007"
class = "demo"
team = "desk"
image = "img-1"
tasks = 6
run_s = 1.0

[licences]
flow-solver = 1
"#;

#[test]
fn a_job_file_determines_the_submission() {
    let job = Job::parse("job.toml", JOB).expect("valid job file");
    assert_eq!((job.kind, job.priority), (Kind::Array, Priority::Normal));
    let body = job.submission();
    assert_eq!(body["strings"], 6);
    assert_eq!(body["licences"]["flow-solver"], 1);
    let unknown = JOB.replace("run_s", "runs");
    let error = Job::parse("job.toml", &unknown).expect_err("unknown field");
    assert!(
        error.to_string().starts_with("job.toml: line 7: "),
        "{error}"
    );
    let invalid_field = |from: &str, to: &str| {
        let text = JOB.replace(from, to);
        let job = Job::parse("job.toml", &text).expect("valid syntax");
        match job.check() {
            Err(JobError::Field(field, _)) => field,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(invalid_field("run-000007", "seven"), "id");
    assert_eq!(invalid_field("tasks = 6", "tasks = 0"), "tasks");
    assert_eq!(
        invalid_field("flow-solver = 1", "flow-solver = 0"),
        "licences"
    );
}

/// Starts a node that sends these responses, one per connection.
fn start_node(responses: Vec<String>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let addr = listener.local_addr().expect("local address");
    let thread = std::thread::spawn(move || {
        let mut requests = Vec::new();
        for response in responses {
            let (mut stream, _) = listener.accept().expect("connection accepted");
            let mut bytes = [0; 4096];
            let read = stream.read(&mut bytes).expect("request read");
            let text = String::from_utf8_lossy(&bytes[..read]);
            requests.push(text.lines().next().unwrap_or_default().to_owned());
            stream
                .write_all(response.as_bytes())
                .expect("response written");
        }
        requests
    });
    (addr, thread)
}

fn http_response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn run_ctl(args: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_kiteyardctl"))
        .env_remove("KITEYARD_NODES")
        .args(args)
        .output()
        .expect("kiteyardctl runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8 output");
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn requests_are_retried_and_their_results_printed() {
    let running = r#"{"uid":"run-000007","attitude":"running","done":3,"running":2}"#;
    let unavailable = http_response("503 Service Unavailable\r\nretry-after: 1", "{}");
    let (addr, server) = start_node(vec![unavailable, http_response("200 OK", running)]);
    let (code, out, _) = run_ctl(&[
        "--node",
        &addr.to_string(),
        "--json",
        "status",
        "run-000007",
    ]);
    assert_eq!(code, Some(0));
    assert!(
        out.contains("\"state\":\"running\"") && out.contains("\"done\":3"),
        "{out}"
    );
    let requests = server.join().expect("server thread");
    assert_eq!(requests, ["GET /work/run-000007 HTTP/1.1"; 2]);

    let (addr, server) = start_node(vec![http_response(
        "404 Not Found",
        r#"{"error":"no such job"}"#,
    )]);
    let (code, _, error) = run_ctl(&["--node", &addr.to_string(), "cancel", "run-000008"]);
    assert_eq!(code, Some(3));
    assert!(
        error.contains("no such job") && error.lines().count() == 1,
        "{error}"
    );
    server.join().expect("server thread");

    let (code, _, error) = run_ctl(&["status", "run-000007"]);
    assert_eq!(code, Some(2));
    assert!(error.contains("--node"), "{error}");
    let (code, _, _) = run_ctl(&["--node", "127.0.0.1:1", "--within-s", "0.1", "licences"]);
    assert_eq!(code, Some(1));
    assert!(run_ctl(&["completions", "bash"]).1.contains("kiteyardctl"));
}

/// Rollout status of the leader of two nodes; `here` says whether the follower is reachable.
fn rollout_response(here: bool) -> String {
    let node = |name: &str, leads: bool, here: bool| {
        serde_json::json!({"node": name, "zone": "a", "leads": leads, "here": here, "gone": false,
            "build": "1", "least": 1, "most": 2, "features": ["packed-finals"]})
    };
    let status = serde_json::json!({"node": "n0", "enabled": true, "from": 1, "to": 2,
        "stage": "soaking", "paused": false, "target": null, "gone": [],
        "nodes": [node("n0", true, true), node("n1", false, here)],
        "soaked_ms": 5000, "soak_ms": 60000, "held": "soaking", "migrated": 0, "left": null,
        "estimate_s": 55.0, "refuses": null, "clear": true});
    http_response("200 OK", &status.to_string())
}

#[test]
fn rollout_commands_print_the_hold_and_the_next_node() {
    let run = |here: bool, args: &[&str]| {
        let (addr, server) = start_node(vec![rollout_response(here)]);
        let addr = addr.to_string();
        let all = [&["--node", &addr, "rollout"], args].concat();
        let output = run_ctl(&all);
        server.join().expect("server thread");
        output
    };
    let (code, out, _) = run(true, &["status"]);
    assert_eq!(code, Some(0));
    for line in [
        "1 to 2, soaking",
        "held by: soaking",
        "5 s of 60 s",
        "about 55 s",
    ] {
        assert!(out.contains(line), "{line}: {out}");
    }
    let (code, out, _) = run(true, &["next", "--build", "2"]);
    assert_eq!((code, out.trim()), (Some(0), "n1"));
    let (code, _, error) = run(false, &["next", "--build", "2"]);
    assert_eq!(code, Some(3));
    assert!(error.contains("n1 is away"), "{error}");
    let (code, out, _) = run(true, &["plan", "--build", "2"]);
    assert_eq!(code, Some(0));
    assert!(
        out.starts_with("1. restart n1") && out.contains("step n0 down"),
        "{out}"
    );

    // An order that the node rejects.
    let refusal = r#"{"error":"no node n9, there are: n0, n1"}"#;
    let (addr, server) = start_node(vec![http_response("422 Unprocessable Entity", refusal)]);
    let (code, _, error) = run_ctl(&["--node", &addr.to_string(), "rollout", "forget", "n9"]);
    assert_eq!(code, Some(2));
    assert!(
        error.contains("n9") && error.lines().count() == 1,
        "{error}"
    );
    let requests = server.join().expect("server thread");
    assert_eq!(requests, ["POST /rollout/forget/n9 HTTP/1.1"]);
}

#[test]
fn machines_are_drained_by_name() {
    let body = r#"{"machines":[{"machine":"vm-1","zone":"a","state":"draining","replicas":1,
        "array_tasks":4,"gang_tasks":0,"waits":"ending","by_ms":null}]}"#;
    let (addr, server) = start_node(vec![http_response("200 OK", body)]);
    let addr = addr.to_string();
    let (code, out, _) = run_ctl(&["--node", &addr, "drain", "start", "vm-1", "--by-s", "60"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("vm-1") && out.contains("ending"), "{out}");
    assert_eq!(
        server.join().expect("server thread"),
        ["POST /drains/start HTTP/1.1"]
    );
    let (code, _, error) = run_ctl(&["--node", &addr, "drain", "start"]);
    assert_eq!((code, error.lines().count()), (Some(2), 1), "{error}");
}

/// The list of a whole fleet exceeds a megabyte, which a smaller body limit would cut off.
#[test]
fn drains_of_a_whole_fleet_are_listed() {
    let machine = |number: usize| {
        serde_json::json!({"machine": format!("vm-{number:06}"), "zone": "antofagasta-north-a",
            "state": "draining", "replicas": 1, "array_tasks": 4, "gang_tasks": 0,
            "waits": "ending", "by_ms": 1_700_000_000_000_u64, "note": "x".repeat(40)})
    };
    let machines: Vec<_> = (0..6000).map(machine).collect();
    let body = serde_json::json!({ "machines": machines }).to_string();
    assert!(body.len() > 1 << 20);
    let (addr, server) = start_node(vec![http_response("200 OK", &body)]);
    let (code, out, _) = run_ctl(&["--node", &addr.to_string(), "drain", "status"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("vm-000000") && out.contains("vm-005999"));
    server.join().expect("server thread");
}
