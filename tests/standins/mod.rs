//! Stand-ins on loopback for the state service, the cloud and its workers, implemented from the
//! protocol as far as tests and the playground example need it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use kiteyard::core::store::{Change, Condition, Entry, StateReply, StateRequest};
use poem::{
    Endpoint, EndpointExt, Request, Response, Route, Server, handler, listener::TcpAcceptor, post,
    web::Data,
};
use serde_json::{Value, json, value::to_raw_value};

#[path = "../world/state.rs"]
mod state;
use state::StateStore;

/// Sends one request and returns status and body of the response.
pub async fn call(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: Option<String>,
) -> Option<(u16, Value)> {
    use http_body_util::{BodyExt, Full};
    use hyper_util::{client::legacy::Client, rt::TokioExecutor};
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .body(Full::new(bytes::Bytes::from(body.unwrap_or_default())))
        .ok()?;
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        Some((
            status,
            serde_json::from_slice(&bytes).unwrap_or(Value::Null),
        ))
    };
    tokio::time::timeout(Duration::from_secs(4), exchange)
        .await
        .ok()?
}

async fn serve(endpoint: impl Endpoint + 'static) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("free port");
    let addr = listener.local_addr().expect("local address");
    let acceptor = TcpAcceptor::from_tokio(listener).expect("acceptor");
    tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoint));
    addr
}

fn json_response(status: u16, body: &Value) -> Response {
    Response::builder()
        .status(StatusCode::from_u16(status).expect("valid status"))
        .body(body.to_string())
}

// State service.

type Shared = Arc<(Mutex<StateStore>, Instant)>;

/// Starts a state service and returns its address.
pub async fn state_service() -> SocketAddr {
    let shared: Shared = Arc::new((Mutex::new(StateStore::default()), Instant::now()));
    serve(poem::endpoint::make(move |request| {
        let shared = shared.clone();
        async move { handle_state_request(shared, request).await }
    }))
    .await
}

fn query(request: &Request, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

fn parse_state_request(request: &Request, body: &Value) -> Option<StateRequest> {
    let path = request.uri().path();
    if let Some(key) = path.strip_prefix("/kv/") {
        return Some(StateRequest::Get { key: key.into() });
    }
    if let Some(lease) = path.strip_prefix("/holds/") {
        let lease = lease.strip_suffix("/renew")?.parse().ok()?;
        return Some(StateRequest::Renew { lease });
    }
    Some(match path {
        "/kv" => StateRequest::List {
            prefix: query(request, "prefix")?,
            after: query(request, "after"),
        },
        "/holds" => StateRequest::Grant {
            ttl: Duration::from_millis(body["ttl_ms"].as_u64()?),
        },
        "/watch" => StateRequest::Watch {
            prefix: query(request, "prefix")?,
            after: query(request, "after")?.parse().ok()?,
            wait: Duration::from_millis(query(request, "wait_ms")?.parse().ok()?),
        },
        "/txn" => {
            let condition = |c: &Value| {
                Some(Condition {
                    key: c["key"].as_str()?.into(),
                    version: c["mark"].as_u64()?,
                })
            };
            let change = |c: &Value| match c["set"].as_str() {
                Some(key) => Some(Change::Put {
                    key: key.into(),
                    value: to_raw_value(&c["data"]).ok()?,
                    lease: c["tether"].as_u64(),
                }),
                None => Some(Change::Delete {
                    key: c["delete"].as_str()?.into(),
                }),
            };
            let items = |name: &str| body[name].as_array().cloned().unwrap_or_default();
            StateRequest::Txn {
                conditions: items("when").iter().map(condition).collect::<Option<_>>()?,
                changes: items("apply").iter().map(change).collect::<Option<_>>()?,
            }
        }
        _ => return None,
    })
}

async fn handle_state_request(shared: Shared, mut request: Request) -> Response {
    let body = request.take_body().into_vec().await.unwrap_or_default();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let Some(state_request) = parse_state_request(&request, &body) else {
        return json_response(400, &json!({"error": "malformed"}));
    };
    let (state, started) = &*shared;
    let wait = match &state_request {
        StateRequest::Watch { wait, .. } => *wait,
        _ => Duration::ZERO,
    };
    let until = Instant::now() + wait;
    let reply = loop {
        let reply = state
            .lock()
            .expect("not poisoned")
            .call(started.elapsed(), &state_request);
        match reply {
            Some(reply) => break reply,
            None if Instant::now() < until => tokio::time::sleep(Duration::from_millis(5)).await,
            None => {
                let revision = state.lock().expect("not poisoned").revision();
                return json_response(200, &json!({"logline": revision, "events": []}));
            }
        }
    };
    let item =
        |e: &Entry| json!({"key": e.key, "data": e.value, "mark": e.version, "tether": null});
    match reply {
        StateReply::Entry(entry) => json_response(200, &item(&entry)),
        StateReply::Missing => json_response(404, &json!({"logline": 0})),
        StateReply::Entries {
            entries,
            more,
            revision,
        } => {
            let items: Vec<Value> = entries.iter().map(item).collect();
            json_response(
                200,
                &json!({"items": items, "more": more, "logline": revision}),
            )
        }
        StateReply::Committed { revision } => json_response(200, &json!({"logline": revision})),
        StateReply::Conflict => json_response(409, &json!({"failed": [], "logline": 0})),
        StateReply::Granted { lease } => json_response(200, &json!({"tether": lease})),
        StateReply::Renewed => json_response(200, &json!({})),
        StateReply::LeaseExpired if matches!(state_request, StateRequest::Txn { .. }) => {
            json_response(400, &json!({"error": "no such lease"}))
        }
        StateReply::LeaseExpired => json_response(404, &json!({})),
        StateReply::Events { events, revision } => {
            let events: Vec<Value> = events
                .iter()
                .map(|e| match &e.value {
                    Some(value) => json!({"set": e.key, "data": value, "mark": e.revision}),
                    None => json!({"delete": e.key, "mark": e.revision}),
                })
                .collect();
            json_response(200, &json!({"logline": revision, "events": events}))
        }
        StateReply::TooOld => json_response(410, &json!({})),
        StateReply::Rejected => json_response(400, &json!({"error": "too large"})),
        StateReply::Refused { .. } | StateReply::Unclear => json_response(503, &json!({})),
    }
}

// Cloud and workers.

#[derive(Clone)]
struct Cloud {
    nodes: Vec<(String, SocketAddr)>,
    machines: Arc<Mutex<BTreeMap<String, Arc<Mutex<Worker>>>>>,
    /// Number of machines rented so far. The name of a released machine is not used again.
    rented: Arc<AtomicUsize>,
    behaviour: WorkerBehaviour,
    repeats: Arc<Mutex<RepeatCounts>>,
}

/// How the workers run tasks, and what reaches them.
#[derive(Clone, Copy)]
pub struct WorkerBehaviour {
    /// Run time of each task.
    pub run_time: Duration,
    /// Number of tasks that fail on the first machine before it runs any to completion.
    pub failures: u32,
    /// Time after which a copy of each executed direct command arrives once more.
    pub repeat_after: Option<Duration>,
}

impl Default for WorkerBehaviour {
    fn default() -> Self {
        Self {
            run_time: Duration::from_millis(600),
            failures: 0,
            repeat_after: None,
        }
    }
}

/// Copies of executed direct commands that arrived, as `GET /repeats` of the cloud returns them.
#[derive(Default)]
struct RepeatCounts {
    /// Copies with a start of an attempt that the worker had forgotten.
    of_forgotten_attempts: u64,
    /// Attempts that such a copy started again.
    revived: Vec<String>,
}

struct Worker {
    name: String,
    endpoint: SocketAddr,
    session: u64,
    seq: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), WorkerTask>,
    forgotten: BTreeSet<(String, u64)>,
    /// Number of tasks that are still to fail.
    failures: u32,
    released: bool,
}

struct WorkerTask {
    ends_at: Instant,
    exit_reason: Option<&'static str>,
}

/// Starts a cloud with `machine_count` running machines. Jobs with numbers of 500000 and above are
/// services, whose tasks don't end by themselves.
pub async fn cloud(
    nodes: Vec<(String, SocketAddr)>,
    machine_count: usize,
    behaviour: WorkerBehaviour,
) -> SocketAddr {
    let cloud = Cloud {
        nodes,
        machines: Arc::default(),
        rented: Arc::default(),
        behaviour,
        repeats: Arc::default(),
    };
    for _ in 0..machine_count {
        cloud.rent().await;
    }
    serve(
        Route::new()
            .at("/flavors", poem::get(flavors))
            .at("/hosts", poem::get(list).post(rent))
            .at("/hosts/release", post(release))
            .at("/repeats", poem::get(repeat_counts))
            .data(cloud),
    )
    .await
}

#[handler]
fn flavors() -> Response {
    json_response(
        200,
        &json!({"frames": [{"label": "m4", "cpus": 4, "gpus": 0, "mem_gb": 16, "local_gb": 20,
            "fetch_gb_per_s": 1.0, "hourly": 1.0, "market_price": 0.4, "boot_s": 1, "fields": ["a"]}]}),
    )
}

#[handler]
fn list(cloud: Data<&Cloud>) -> Response {
    let machines = cloud.machines.lock().expect("not poisoned");
    let listed: Vec<Value> = machines
        .iter()
        .map(|(name, worker)| {
            let endpoint = worker.lock().expect("not poisoned").endpoint;
            json!({"uid": name, "endpoint": endpoint, "frame": "m4", "field": "a", "gusts": false,
                "attitude": "running", "age_s": 5.0})
        })
        .collect();
    json_response(200, &json!({"perches": listed, "more": false}))
}

#[handler]
async fn rent(cloud: Data<&Cloud>) -> Response {
    let name = cloud.rent().await;
    json_response(200, &json!({"perches": [name]}))
}

#[handler]
async fn release(cloud: Data<&Cloud>, body: String) -> Response {
    let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
    for name in body["perches"].as_array().into_iter().flatten() {
        let mut machines = cloud.machines.lock().expect("not poisoned");
        if let Some(worker) = machines.remove(name.as_str().unwrap_or_default()) {
            worker.lock().expect("not poisoned").released = true;
        }
    }
    json_response(200, &json!({}))
}

#[handler]
fn repeat_counts(cloud: Data<&Cloud>) -> Response {
    let repeats = cloud.repeats.lock().expect("not poisoned");
    json_response(
        200,
        &json!({"of_forgotten_attempts": repeats.of_forgotten_attempts, "revived": repeats.revived}),
    )
}

impl Cloud {
    async fn rent(&self) -> String {
        let count = self.rented.fetch_add(1, Ordering::Relaxed);
        let name = format!("vm-{:06}", count + 1);
        let worker = Arc::new(Mutex::new(Worker {
            name: name.clone(),
            endpoint: "127.0.0.1:1".parse().expect("valid address"),
            session: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            forgotten: BTreeSet::new(),
            failures: if count == 0 {
                self.behaviour.failures
            } else {
                0
            },
            released: false,
        }));
        let (shared, behaviour) = (worker.clone(), self.behaviour);
        let repeats = self.repeats.clone();
        let endpoint = serve(poem::endpoint::make(move |mut request: Request| {
            let (shared, repeats) = (shared.clone(), repeats.clone());
            async move {
                let body = request.take_body().into_vec().await.unwrap_or_default();
                let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                let mut worker = shared.lock().expect("not poisoned");
                let is_current = worker.execute_direct(&body, behaviour.run_time);
                if let (true, Some(delay)) = (is_current, behaviour.repeat_after) {
                    let repeat = repeat_direct(shared.clone(), body, delay, behaviour, repeats);
                    tokio::spawn(repeat);
                }
                let report = worker.report();
                json_response(if is_current { 200 } else { 409 }, &report)
            }
        }))
        .await;
        worker.lock().expect("not poisoned").endpoint = endpoint;
        tokio::spawn(report_loop(
            worker.clone(),
            self.nodes.clone(),
            self.behaviour.run_time,
        ));
        self.machines
            .lock()
            .expect("not poisoned")
            .insert(name.clone(), worker);
        name
    }
}

/// Delivers a copy of a direct command after a delay.
async fn repeat_direct(
    worker: Arc<Mutex<Worker>>,
    body: Value,
    delay: Duration,
    behaviour: WorkerBehaviour,
    repeats: Arc<Mutex<RepeatCounts>>,
) {
    tokio::time::sleep(delay).await;
    let mut worker = worker.lock().expect("not poisoned");
    let is_forgotten = |key: &(String, u64)| worker.forgotten.contains(key);
    let revivable: Vec<_> = started_attempts(&body).filter(is_forgotten).collect();
    if worker.released || revivable.is_empty() {
        return;
    }
    worker.execute_direct(&body, behaviour.run_time);
    let mut repeats = repeats.lock().expect("not poisoned");
    repeats.of_forgotten_attempts += 1;
    let revived = revivable
        .iter()
        .filter(|key| worker.tasks.contains_key(key));
    let revived = revived.map(|(task, attempt)| format!("{task}@{attempt} on {}", worker.name));
    repeats.revived.extend(revived);
}

/// Returns the attempts that the commands start.
fn started_attempts(body: &Value) -> impl Iterator<Item = (String, u64)> {
    let commands = body["signals"].as_array().into_iter().flatten();
    let starts = commands.filter(|command| command["signal"] == "start");
    starts.filter_map(|command| {
        Some((
            command["string"].as_str()?.to_owned(),
            command["try"].as_u64()?,
        ))
    })
}

async fn report_loop(
    worker: Arc<Mutex<Worker>>,
    nodes: Vec<(String, SocketAddr)>,
    run_time: Duration,
) {
    let mut node = 0;
    loop {
        let report = {
            let mut worker = worker.lock().expect("not poisoned");
            if worker.released {
                return;
            }
            worker.report().to_string()
        };
        let reply = call(Method::POST, nodes[node].1, "/checkin", Some(report)).await;
        let delay_ms = match reply {
            Some((200, body)) => {
                worker
                    .lock()
                    .expect("not poisoned")
                    .execute(&body, run_time);
                200
            }
            Some((421, body)) => {
                let named = nodes
                    .iter()
                    .position(|(name, _)| body["spotter"] == name.as_str());
                let other = named.filter(|n| *n != node);
                let delay_ms = if other.is_some() { 50 } else { 500 };
                node = other.unwrap_or((node + 1) % nodes.len());
                delay_ms
            }
            _ => {
                node = (node + 1) % nodes.len();
                500
            }
        };
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

impl Worker {
    /// Executes direct commands if their token and session are current, and returns whether they
    /// are.
    fn execute_direct(&mut self, body: &Value, run_time: Duration) -> bool {
        let is_current = body["handle"].as_u64() >= Some(self.token)
            && body["launch"].as_u64() == Some(self.session);
        if is_current {
            self.execute(body, run_time);
        }
        is_current
    }

    fn execute(&mut self, body: &Value, run_time: Duration) {
        let token = body["handle"].as_u64().unwrap_or(0);
        if token < self.token {
            return;
        }
        self.token = token;
        for command in body["signals"].as_array().into_iter().flatten() {
            let (Some(task), Some(attempt)) = (command["string"].as_str(), command["try"].as_u64())
            else {
                continue;
            };
            let key = (task.to_owned(), attempt);
            match command["signal"].as_str() {
                Some("start") => {
                    let is_endless = task.as_bytes().get(4).is_some_and(|digit| *digit >= b'5');
                    let run_time = if is_endless {
                        run_time * 10_000
                    } else {
                        run_time
                    };
                    self.tasks.entry(key).or_insert(WorkerTask {
                        ends_at: Instant::now() + run_time,
                        exit_reason: None,
                    });
                }
                Some("kill") => {
                    if let Some(task) = self.tasks.get_mut(&key) {
                        task.exit_reason.get_or_insert("halted");
                    }
                }
                Some("reap") if self.tasks.remove(&key).is_some() => {
                    self.forgotten.insert(key);
                }
                _ => {}
            }
        }
    }

    fn report(&mut self) -> Value {
        self.seq += 1;
        let now = Instant::now();
        let mut tasks = Vec::new();
        for ((task, attempt), state) in &mut self.tasks {
            if now >= state.ends_at && state.exit_reason.is_none() {
                let fails = self.failures > 0;
                self.failures -= u32::from(fails);
                state.exit_reason = Some(if fails { "error" } else { "done" });
            }
            tasks.push(match state.exit_reason {
                Some(reason) => {
                    json!({"string": task, "try": attempt, "attitude": "exited", "downcause": reason})
                }
                None => json!({"string": task, "try": attempt, "attitude": "running"}),
            });
        }
        json!({"perch": self.name, "endpoint": self.endpoint, "frame": "m4", "field": "a", "gusts": false,
            "launch": self.session, "tick": self.seq, "handle": self.token, "recall_s": null,
            "strings": tasks})
    }
}

/// Returns the settings of one of several nodes.
pub fn settings(
    index: usize,
    nodes: &[(SocketAddr, SocketAddr)],
    state: SocketAddr,
    cloud: SocketAddr,
) -> Value {
    let known: Vec<Value> = (0..nodes.len())
        .filter(|i| *i != index)
        .map(|i| json!({"label": format!("node-{i}"), "site": "a", "peer_addr": nodes[i].1}))
        .collect();
    json!({
        "label": format!("node-{index}"), "site": "a",
        "api_addr": nodes[index].0, "cluster_listen": nodes[index].1, "known": known,
        "outside": {"cloud": cloud, "state": state},
        "params": {
            "zones": ["a"],
            "teams": [{"name": "desk", "cpus": 4.0, "cpus_max": 100.0}],
            "objectives": [],
            "workers": {"report_s": 0.5, "lease_s": 5.0, "gang_wait_s": 10.0, "gang_peer_s": 3.0, "cancel_s": 20.0},
            "state": {"rps": 300.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 10.0, "list_lag_s": 2.0},
            "resources": {"cpu_share": 1.0, "memory_mb": 100.0, "sockets": 500}
        }
    })
}

/// Returns the submission of a job that the stand-ins can run.
pub fn submission(id: &str, shape: &str, tasks: u32) -> Value {
    json!({"uid": id, "flight": "demo", "crew": "desk", "shape": shape, "lift": "standard", "strings": tasks,
        "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "sail": "img-1", "size_gb": 0.1, "frames": null, "field": null,
        "same_place": false, "spread": false, "gusts": false, "airtime_s": 1.0, "tether_s": 0.0, "reel_s": 0.0,
        "landby_s": null})
}

/// Returns free addresses on loopback.
pub fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<std::net::TcpListener> = (0..count)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("free port"))
        .collect();
    listeners
        .iter()
        .map(|l| l.local_addr().expect("local address"))
        .collect()
}
