//! Several real nodes on loopback, which tests start, kill and send requests to.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use http::Method;
use serde_json::Value;

use crate::standins::{self, call};

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
    pub nodes: Vec<(SocketAddr, SocketAddr)>,
    pub files: Vec<PathBuf>,
    pub running: Vec<Option<Child>>,
    /// Build that each node is started with next.
    pub builds: Vec<Build>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for i in 0..self.running.len() {
            self.kill(i);
        }
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}

impl Site {
    /// Starts one node of each build, and waits until all are ready.
    pub async fn of(name: &str, builds: Vec<Build>) -> Self {
        let count = builds.len();
        let addrs = standins::free_addrs(count * 2);
        let nodes: Vec<_> = addrs.chunks(2).map(|pair| (pair[0], pair[1])).collect();
        let named = nodes
            .iter()
            .enumerate()
            .map(|(i, node)| (format!("node-{i}"), node.0));
        let state = standins::state_service().await;
        let cloud = standins::cloud(named.collect(), 3, Duration::from_millis(600)).await;
        let mut site = Self {
            files: Vec::new(),
            running: (0..count).map(|_| None).collect(),
            nodes,
            builds,
        };
        for i in 0..count {
            let settings = standins::settings(i, &site.nodes, state, cloud);
            let file = std::env::temp_dir()
                .join(format!("kiteyard-{name}-{}-{i}.json", std::process::id()));
            std::fs::write(&file, settings.to_string()).expect("a settings file");
            site.files.push(file);
            site.launch(i);
        }
        for i in 0..count {
            site.until(i, Method::GET, "/ready", None, |status, _| status == 200)
                .await;
        }
        site
    }

    pub fn launch(&mut self, i: usize) {
        let build = &self.builds[i];
        let child = Command::new(&build.program)
            .args(&build.args)
            .arg("--config")
            .arg(&self.files[i])
            .env("LOG_LEVEL", "error")
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.running[i] = Some(child);
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.running[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub async fn ask(
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

    /// Repeats a request until the response satisfies `good`.
    pub async fn until(
        &self,
        i: usize,
        method: Method,
        path: &str,
        body: Option<String>,
        good: impl Fn(u16, &Value) -> bool,
    ) -> Value {
        let mut last = (0, Value::Null);
        for _ in 0..600 {
            last = self.ask(i, method.clone(), path, body.clone()).await;
            if good(last.0, &last.1) {
                return last.1;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{path}: still {last:?}");
    }

    pub async fn becomes(&self, i: usize, id: &str, state: &str) -> Value {
        let path = format!("/work/{id}");
        self.until(i, Method::GET, &path, None, |_, body| {
            body["attitude"] == state
        })
        .await
    }
}
