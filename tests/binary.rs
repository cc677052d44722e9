//! End-to-end tests of the program on loopback, against the stand-ins.

use std::{process::Command, time::Duration};

use http::Method;
use serde_json::{Value, json};

mod site;
mod standins;
use site::{Build, Site};
use standins::{WorkerBehaviour, call, submission};

/// Time after which a copy of each direct command arrives at its worker.
const REPEAT_AFTER: Duration = Duration::from_secs(2);

async fn submit(site: &Site, node: usize, job: &Value) {
    let body = Some(job.to_string());
    let is_accepted = |status, _: &Value| matches!(status, 200 | 201);
    site.wait_until(node, Method::POST, "/work", body, is_accepted)
        .await;
}

#[tokio::test]
async fn the_api_follows_the_protocol() {
    let site = Site::start("api", vec![Build::default(); 1], WorkerBehaviour::default()).await;
    let valid = submission("run-000001", "array", 3);
    let with = |field: &str, value: Value| {
        let mut job = valid.clone();
        job["uid"] = json!("run-000099");
        job[field] = value;
        job.to_string()
    };
    let mut missing = valid.clone();
    missing.as_object_mut().expect("an object").remove("sail");
    let malformed = [
        "".into(),
        "{".into(),
        "[1]".into(),
        "7".into(),
        "\"run-000001\"".into(),
        missing.to_string(),
        with("uid", json!("job 1")),
        with("uid", json!("../../x")),
        with("uid", json!(5)),
        with("strings", json!(0)),
        with("strings", json!(100_001)),
        with("strings", json!(1.5)),
        with("strings", json!("3")),
        with("cpus", json!(-1.0)),
        with("cpus", json!(null)),
        with("cpus", json!("2")),
        with("size_gb", json!(1e12)),
        with("shape", json!("heap")),
        with("lift", json!("highest")),
        with("gusts", json!(1)),
        with("frames", json!("m4")),
        with("landby_s", json!(-5.0)),
        valid.to_string().replace("\"cpus\":1.0", "\"cpus\":1e999"),
        valid.to_string().replace("\"cpus\":1.0", "\"cpus\":NaN"),
    ];
    for body in malformed {
        let (status, _) = site
            .request(0, Method::POST, "/work", Some(body.clone()))
            .await;
        assert_eq!(status, 400, "{body}");
    }
    let impossible = [
        with("crew", json!("nobody")),
        with("cpus", json!(64.0)),
        with("frames", json!(["giant"])),
        with("field", json!("nowhere")),
        submission("run-000098", "standing", 101).to_string(),
    ];
    for body in impossible {
        let (status, _) = site
            .request(0, Method::POST, "/work", Some(body.clone()))
            .await;
        assert_eq!(status, 422, "{body}");
    }
    let large = "x".repeat(65 * 1024);
    assert_eq!(
        site.request(0, Method::POST, "/work", Some(large.clone()))
            .await
            .0,
        413
    );
    assert_eq!(
        site.request(0, Method::POST, "/checkin", Some(large))
            .await
            .0,
        413
    );
    assert_eq!(
        site.request(0, Method::POST, "/checkin", Some("{}".into()))
            .await
            .0,
        400
    );
    for (method, path, status) in [
        (Method::GET, "/work/run-777777", 404),
        (Method::POST, "/work/run-777777/withdraw", 404),
        (Method::GET, "/work/what", 404),
        (Method::GET, "/nothing", 404),
        (Method::GET, "/work", 405),
        (Method::PUT, "/work/run-000001", 405),
        (Method::POST, "/ready", 405),
    ] {
        assert_eq!(
            site.request(0, method.clone(), path, None).await.0,
            status,
            "{method} {path}"
        );
    }
    // Accepted once, and known from then on, even after its completion.
    let (status, body) = site
        .request(0, Method::POST, "/work", Some(valid.to_string()))
        .await;
    assert_eq!((status, &body["attitude"]), (201, &json!("pending")));
    assert_eq!(
        site.request(0, Method::POST, "/work", Some(valid.to_string()))
            .await
            .0,
        200
    );
    let body = site.wait_for_state(0, "run-000001", "done").await;
    assert_eq!((&body["done"], &body["running"]), (&json!(3), &json!(0)));
    let (status, body) = site
        .request(0, Method::POST, "/work", Some(valid.to_string()))
        .await;
    assert_eq!((status, &body["attitude"]), (200, &json!("done")));
    let (status, body) = site
        .request(0, Method::POST, "/work/run-000001/withdraw", None)
        .await;
    assert_eq!((status, &body["attitude"]), (200, &json!("done")));
    // A service runs until it is cancelled.
    submit(&site, 0, &submission("run-500001", "standing", 2)).await;
    site.wait_until(0, Method::GET, "/work/run-500001", None, |_, body| {
        body["running"] == 2
    })
    .await;
    let (status, body) = site
        .request(0, Method::POST, "/work/run-500001/withdraw", None)
        .await;
    assert_eq!((status, &body["attitude"]), (200, &json!("cancelled")));
    assert_eq!(
        site.wait_for_state(0, "run-500001", "cancelled").await["running"],
        0
    );
}

#[tokio::test]
async fn jobs_survive_restarts_of_every_node() {
    let mut site = Site::start(
        "outlive",
        vec![Build::default(); 3],
        WorkerBehaviour::default(),
    )
    .await;
    submit(&site, 0, &submission("run-000001", "array", 2)).await;
    submit(&site, 1, &submission("run-500002", "standing", 1)).await;
    site.wait_for_state(2, "run-000001", "done").await;
    for i in 0..3 {
        site.kill_node(i);
    }
    for i in 0..3 {
        site.start_node(i);
    }
    for i in 0..3 {
        site.wait_for_state(i, "run-000001", "done").await;
        let (status, _) = site
            .request(
                i,
                Method::POST,
                "/work",
                Some(submission("run-000001", "array", 2).to_string()),
            )
            .await;
        assert_eq!(status, 200);
    }
    site.wait_until(1, Method::GET, "/work/run-500002", None, |_, body| {
        body["running"] == 1
    })
    .await;
    // One node after another is down for a while; new work is still done.
    for i in 0..3 {
        site.kill_node(i);
        let id = format!("run-00001{i}");
        submit(&site, (i + 1) % 3, &submission(&id, "array", 4)).await;
        site.start_node(i);
        site.wait_for_state((i + 2) % 3, &id, "done").await;
    }
}

/// Runs an array, of which tasks fail, and a service until it is cancelled. Nodes that are named are
/// killed meanwhile, and restarted at once.
async fn run_and_cancel(site: &mut Site, array: &str, service: &str, killed: &[usize]) {
    submit(site, 0, &submission(array, "array", 8)).await;
    submit(site, 0, &submission(service, "standing", 2)).await;
    let path = format!("/work/{service}");
    site.wait_until(0, Method::GET, &path, None, |_, body| body["running"] == 2)
        .await;
    for node in killed {
        site.kill_node(*node);
        site.start_node(*node);
    }
    let withdraw = format!("{path}/withdraw");
    let is_cancelled = |status, body: &Value| status == 200 && body["attitude"] == "cancelled";
    site.wait_until(0, Method::POST, &withdraw, None, is_cancelled)
        .await;
    site.wait_for_state(0, array, "done").await;
    tokio::time::sleep(REPEAT_AFTER * 2).await;
}

#[tokio::test]
async fn a_repeated_start_does_not_revive_a_task_that_failed_or_was_cancelled() {
    let behaviour = WorkerBehaviour {
        failures: 3,
        repeat_after: Some(REPEAT_AFTER),
        ..WorkerBehaviour::default()
    };
    let mut site = Site::start("repeated", vec![Build::default(); 3], behaviour).await;
    run_and_cancel(&mut site, "run-000001", "run-500001", &[]).await;
    run_and_cancel(&mut site, "run-000002", "run-500002", &[1, 2]).await;
    let repeats = call(Method::GET, site.cloud, "/repeats", None).await;
    let (_, repeats) = repeats.expect("an answer");
    assert!(
        repeats["of_forgotten_attempts"].as_u64() > Some(0),
        "{repeats}"
    );
    assert_eq!(repeats["revived"], json!([]), "{repeats}");
}

/// A process that restarts quickly may find its address still in use, and retries.
#[tokio::test]
async fn binding_an_address_in_use_is_retried() {
    let mut site = Site::start("taken", vec![Build::default()], WorkerBehaviour::default()).await;
    submit(&site, 0, &submission("run-000001", "array", 1)).await;
    site.kill_node(0);
    let former = std::net::TcpListener::bind(site.nodes[0].0).expect("the address");
    site.start_node(0);
    // The peer address is bound after the API address, so it is not bound yet.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let child = site.processes[0].as_mut().expect("a process");
    assert!(
        child.try_wait().expect("its state").is_none(),
        "the process ended"
    );
    assert!(std::net::TcpStream::connect(site.nodes[0].1).is_err());
    drop(former);
    site.wait_for_state(0, "run-000001", "done").await;
}

#[test]
fn flags_and_settings_are_checked() {
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_kiteyard"))
            .args(args)
            .output()
            .expect("it runs");
        let error = String::from_utf8(output.stderr).expect("text");
        let text = String::from_utf8(output.stdout).expect("text");
        (output.status.success(), text, error)
    };
    assert!(run(&["--help"]).1.contains("--config"));
    assert!(run(&["--version"]).1.starts_with("kiteyard "));
    for (args, field) in [
        (vec!["--frobnicate"], "--frobnicate"),
        (vec![], "--config"),
        (
            vec!["--config", "x", "--idle-boots", "many"],
            "--idle-boots",
        ),
    ] {
        let (ok, _, error) = run(&args);
        assert!(
            !ok && error.contains(field) && error.lines().count() == 1,
            "{error}"
        );
    }
    assert!(!run(&["--config", "/nonexistent/settings.json"]).0);
    let addrs = standins::free_addrs(4);
    let settings = standins::settings(0, &[(addrs[0], addrs[1])], addrs[2], addrs[3]);
    let path = std::env::temp_dir().join(format!("kiteyard-check-{}.json", std::process::id()));
    let check = |settings: &Value| {
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        run(&["--config", &path.display().to_string(), "--check"])
    };
    let mut extended = settings.clone();
    extended["unheard_of"] = json!({"a": 1});
    assert!(check(&extended).0);
    // The licence file is validated as well, and the error names the line.
    let licences = path.with_extension("toml");
    std::fs::write(&licences, "[licence.solver]\nseats = -1\n").expect("a file");
    let file = |path: &std::path::Path| path.display().to_string();
    let (ok, _, error) = run(&[
        "--config",
        &file(&path),
        "--check",
        "--licences",
        &file(&licences),
    ]);
    assert!(
        !ok && error.contains("line 2") && error.lines().count() == 1,
        "{error}"
    );
    let _ = std::fs::remove_file(&licences);
    let mut invalid = settings.clone();
    invalid["params"]["workers"]["lease_s"] = json!("ten");
    let (ok, _, error) = check(&invalid);
    assert!(
        !ok && error.contains("params.workers.lease_s") && error.lines().count() == 1,
        "{error}"
    );
    invalid["params"]["workers"]["lease_s"] = json!(-1.0);
    let (ok, _, error) = check(&invalid);
    assert!(!ok && error.contains("params.workers.lease_s"), "{error}");
    let _ = std::fs::remove_file(&path);
}

/// A leader's hints about 6,000 machines with long names take more than a megabyte in one
/// line: a node with a lower limit drops the connection, and each report relayed on it.
#[tokio::test]
async fn a_line_between_nodes_may_cover_a_whole_fleet() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let site = Site::start(
        "line",
        vec![Build::default(); 2],
        WorkerBehaviour::default(),
    )
    .await;
    let worker = |machine: usize| {
        let name = format!("cielo-archivo-pilbara-quetzal-node-highmem-{machine:06}");
        let images: Vec<usize> = (0..25).collect();
        (
            name,
            (json!(["10.1.200.231:9000", u64::MAX]), json!(images)),
        )
    };
    let workers: Vec<_> = (0..6000).map(worker).collect();
    let addresses = workers
        .iter()
        .map(|(name, (at, _))| (name.clone(), at.clone()));
    let images = workers
        .iter()
        .map(|(name, (_, of))| (name.clone(), of.clone()));
    let hints = json!({"images": (0..25).map(|i| format!("img-{i}")).collect::<Vec<_>>(),
        "machines": images.collect::<serde_json::Map<_, _>>(),
        "workers": addresses.collect::<serde_json::Map<_, _>>()});
    let line = json!({"from": "node-1", "message": {"hints": hints}}).to_string() + "\n";
    assert!((1 << 20..4 << 20).contains(&line.len()), "{}", line.len());
    let stream = tokio::net::TcpStream::connect(site.nodes[0].1).await;
    let mut stream = stream.expect("a connection");
    stream.write_all(line.as_bytes()).await.expect("written");
    let mut byte = [0; 1];
    let closed = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut byte));
    assert!(closed.await.is_err(), "the line was not read");
}
