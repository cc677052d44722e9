//! Several real nodes on loopback, which tests start, kill and send requests to.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use http::Method;
use serde_json::Value;

use crate::standins::{self, WorkerBehaviour, call};

/// Program and arguments of a node's process.
#[derive(Clone)]
pub struct Build {
    pub program: PathBuf,
    pub args: Vec<String>,
}

impl Default for Build {
    fn default() -> Self {
        Self {
            program: env!("CARGO_BIN_EXE_kiteyard").into(),
            args: Vec::new(),
        }
    }
}

pub struct Site {
    #[allow(dead_code)] // Not every test file that uses this module reads it.
    pub cloud: SocketAddr,
    pub nodes: Vec<(SocketAddr, SocketAddr)>,
    pub settings_files: Vec<PathBuf>,
    pub processes: Vec<Option<Child>>,
    /// Build that each node is started with next.
    pub builds: Vec<Build>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for i in 0..self.processes.len() {
            self.kill_node(i);
        }
        for file in &self.settings_files {
            let _ = std::fs::remove_file(file);
        }
    }
}

impl Site {
    /// Starts one node of each build, and waits until all are ready.
    pub async fn start(name: &str, builds: Vec<Build>, behaviour: WorkerBehaviour) -> Self {
        let count = builds.len();
        let addrs = standins::free_addrs(count * 2);
        let nodes: Vec<_> = addrs.chunks(2).map(|pair| (pair[0], pair[1])).collect();
        let named = nodes
            .iter()
            .enumerate()
            .map(|(i, node)| (format!("node-{i}"), node.0));
        let state = standins::state_service().await;
        let cloud = standins::cloud(named.collect(), 3, behaviour).await;
        let mut site = Self {
            cloud,
            settings_files: Vec::new(),
            processes: (0..count).map(|_| None).collect(),
            nodes,
            builds,
        };
        for i in 0..count {
            let settings = standins::settings(i, &site.nodes, state, cloud);
            let file = std::env::temp_dir()
                .join(format!("kiteyard-{name}-{}-{i}.json", std::process::id()));
            std::fs::write(&file, settings.to_string()).expect("settings file written");
            site.settings_files.push(file);
            site.start_node(i);
        }
        for i in 0..count {
            site.wait_until(i, Method::GET, "/ready", None, |status, _| status == 200)
                .await;
        }
        site
    }

    pub fn start_node(&mut self, i: usize) {
        let build = &self.builds[i];
        let child = Command::new(&build.program)
            .args(&build.args)
            .arg("--config")
            .arg(&self.settings_files[i])
            .env("LOG_LEVEL", "error")
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.processes[i] = Some(child);
    }

    pub fn kill_node(&mut self, i: usize) {
        if let Some(mut child) = self.processes[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub async fn request(
        &self,
        i: usize,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> (u16, Value) {
        call(method, self.nodes[i].0, path, body)
            .await
            .unwrap_or((0, Value::Null))
    }

    /// Repeats a request until the response satisfies `is_expected`.
    pub async fn wait_until(
        &self,
        i: usize,
        method: Method,
        path: &str,
        body: Option<String>,
        is_expected: impl Fn(u16, &Value) -> bool,
    ) -> Value {
        let mut last = (0, Value::Null);
        for _ in 0..600 {
            last = self.request(i, method.clone(), path, body.clone()).await;
            if is_expected(last.0, &last.1) {
                return last.1;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{path}: still {last:?}");
    }

    pub async fn wait_for_state(&self, i: usize, id: &str, state: &str) -> Value {
        let path = format!("/work/{id}");
        self.wait_until(i, Method::GET, &path, None, |_, body| {
            body["attitude"] == state
        })
        .await
    }
}
