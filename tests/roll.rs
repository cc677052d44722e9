//! Upgrades and downgrades real processes between two builds under load. The old build is this one
//! with `reads_most = 1`, or the program in `KITEYARD_OLD_BUILD` (`scripts/roll-two-builds` builds
//! one from the history).

use std::{
    path::PathBuf,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;

mod site;
mod standins;
use site::{Build, Site};
use standins::{WorkerBehaviour, call, submission};

const NODES: usize = 3;
/// Newest generation of the new build.
const NEWEST_GENERATION: u64 = 4;

fn env_number(variable: &str, default: usize) -> usize {
    let set = std::env::var(variable).ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("kiteyard-{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

fn build_with(file: &std::path::Path) -> Build {
    Build {
        args: vec!["--rollout".into(), file.display().to_string()],
        ..Build::default()
    }
}

fn job_id(number: usize) -> String {
    format!("run-{number:06}")
}

/// Stops a process with SIGTERM, on which it transfers the leadership first.
async fn stop_node(site: &mut Site, node: usize) {
    let Some(mut child) = site.processes[node].take() else {
        return;
    };
    let pid = child.id().to_string();
    let _ = Command::new("kill").args(["-TERM", &pid]).status();
    for _ in 0..100 {
        if matches!(child.try_wait(), Ok(Some(_))) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let _ = child.kill();
    let _ = child.wait();
    panic!("node {node} did not exit after SIGTERM");
}

async fn roll_nodes(site: &mut Site, to: &Build, crash: Option<usize>) {
    for node in 0..NODES {
        stop_node(site, node).await;
        site.builds[node] = to.clone();
        site.start_node(node);
        let ready = |status, _: &Value| status == 200;
        site.wait_until(node, Method::GET, "/ready", None, ready)
            .await;
        if crash == Some(node) {
            let other = (node + 1) % NODES;
            site.kill_node(other);
            site.start_node(other);
            site.wait_until(other, Method::GET, "/ready", None, ready)
                .await;
        }
    }
}

async fn wait_until_settled(site: &Site, generation: u64) {
    let is_settled =
        |_, status: &Value| status["stage"] == "settled" && status["from"] == generation;
    for node in 0..NODES {
        site.wait_until(node, Method::GET, "/rollout", None, is_settled)
            .await;
    }
}

/// Waits until every accepted job is done at some node and another node recognizes it when it is
/// submitted again.
async fn wait_until_all_done(site: &Site, jobs: std::ops::Range<usize>) {
    for job in jobs {
        let body = site.wait_for_state(job % NODES, &job_id(job), "done").await;
        assert_eq!(body["done"], 2, "{}", job_id(job));
        let again = submission(&job_id(job), "array", 2).to_string();
        let known = |status, body: &Value| status == 200 && body["attitude"] == "done";
        let node = (job + 1) % NODES;
        site.wait_until(node, Method::POST, "/work", Some(again), known)
            .await;
    }
}

#[tokio::test]
async fn two_builds_upgrade_and_downgrade_under_load() {
    let old_file = temp_file("roll-old", "soak_s = 1\nreads_most = 1\n");
    let new_file = temp_file("roll-new", "soak_s = 1\nmigration_share = 0.5\n");
    let new = build_with(&new_file);
    let old = match std::env::var("KITEYARD_OLD_BUILD") {
        Ok(program) => Build {
            program: program.into(),
            args: Vec::new(),
        },
        Err(_) => build_with(&old_file),
    };
    let mut site = Site::start("roll", vec![old.clone(); NODES], WorkerBehaviour::default()).await;

    // Submits jobs continuously and retries each one until it is accepted.
    let (addrs, job_count) = (site.nodes.clone(), env_number("KITEYARD_ROLL_JOBS", 60));
    let (stop, accepted) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let load = tokio::spawn({
        let (stop, accepted) = (stop.clone(), accepted.clone());
        async move {
            let mut rng = StdRng::seed_from_u64(20);
            for job in 0..job_count {
                let body = submission(&job_id(job), "array", 2).to_string();
                loop {
                    let node = addrs[rng.random_range(0..NODES)].0;
                    let answer = call(Method::POST, node, "/work", Some(body.clone())).await;
                    match answer {
                        Some((200 | 201, _)) => break,
                        Some((400 | 422, body)) => panic!("{} refused: {body}", job_id(job)),
                        _ => tokio::time::sleep(Duration::from_millis(60)).await,
                    }
                }
                accepted.store(job + 1, Ordering::Relaxed);
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    });

    for turn in 0..env_number("KITEYARD_ROLL_TURNS", 1) {
        roll_nodes(&mut site, &new, Some(turn % NODES)).await;
        wait_until_settled(&site, NEWEST_GENERATION).await;
        let (status, _) = site.request(0, Method::GET, "/work/run-999999", None).await;
        assert_eq!(status, 404);
        wait_until_all_done(&site, 0..accepted.load(Ordering::Relaxed).min(20)).await;
        let order = |status, _: &Value| status == 200;
        site.wait_until(1, Method::POST, "/rollout/target/1", None, order)
            .await;
        wait_until_settled(&site, 1).await;
        roll_nodes(&mut site, &old, None).await;
        // Upgrades again for the next turn.
        roll_nodes(&mut site, &new, None).await;
        site.wait_until(2, Method::POST, "/rollout/newest", None, order)
            .await;
        wait_until_settled(&site, NEWEST_GENERATION).await;
    }
    stop.store(true, Ordering::Relaxed);
    load.await.expect("the load ends");
    let jobs = accepted.load(Ordering::Relaxed);
    assert!(jobs > 20, "only {jobs} jobs");
    wait_until_all_done(&site, 0..jobs).await;
    for file in [old_file, new_file] {
        let _ = std::fs::remove_file(file);
    }
}
