//! Sockets, clocks and timers around the core. All decisions are made in the core.

mod client;
mod peer;
mod server;

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use crate::{
    core::{
        Answer, Clock, Input, Node, Output, RequestId,
        config::{Config, Options},
    },
    settings::Settings,
};

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Time between a SIGTERM and the end of the process, in which the leadership is handed over and
/// the requests in flight are answered.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(800);

/// Request received by the server, with the channel for its answer.
pub struct IncomingRequest {
    pub into_input: Box<dyn FnOnce(RequestId) -> Input + Send>,
    pub answer: oneshot::Sender<Answer>,
}

/// Runs the node until the process is terminated.
pub async fn serve(settings: Settings, options: Options) -> std::io::Result<()> {
    let licensed = options.licences.is_some();
    let shutdown_requested = Arc::new(AtomicBool::new(false));
    if options.rollout.is_some() {
        // Without a rollout configuration, SIGTERM ends the process at once.
        signal_hook::flag::register(signal_hook::consts::SIGTERM, shutdown_requested.clone())?;
    }
    let config = Config::new(&settings, options);
    let max_requests = config.max_waiting_requests;
    let (requests, mut incoming) = mpsc::channel::<IncomingRequest>(max_requests);
    let sockets = settings.params.resources.sockets;
    let listener = server::bind(settings.listen, sockets).await?;
    let peer_listener = server::bind(settings.peer_listen, sockets).await?;
    let local_set = tokio::task::LocalSet::new();
    local_set
        .run_until(async move {
            tokio::task::spawn_local(server::serve(listener, requests, licensed, max_requests));
            let (results, mut replies) = mpsc::unbounded_channel::<Input>();
            let peer_count = settings.peers.len();
            tokio::task::spawn_local(peer::listen(peer_listener, peer_count * 4, results.clone()));
            let client = client::Client::new(&settings, results);
            let mut tick = tokio::time::interval(TICK_INTERVAL);
            tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let driver = Driver {
                node: RefCell::new(Node::new(config)),
                pending_answers: RefCell::default(),
                started: Instant::now(),
                client: Rc::new(client),
                peers: peer::Peers::new(&settings, max_requests),
            };
            let mut next_request: RequestId = 0;
            let mut shutdown_started = None;
            loop {
                // Polled in a fixed order, so that runs are reproducible.
                tokio::select! {
                    biased;
                    _ = tick.tick() => {
                        if shutdown_requested.load(Ordering::Relaxed) {
                            let since = *shutdown_started.get_or_insert_with(|| {
                                driver.step(Input::Shutdown);
                                Instant::now()
                            });
                            if since.elapsed() > SHUTDOWN_GRACE {
                                return Ok(());
                            }
                        }
                        driver.step(Input::Tick);
                    }
                    Some(input) = replies.recv() => driver.step(input),
                    Some(request) = incoming.recv() => {
                        next_request += 1;
                        driver.pending_answers.borrow_mut().insert(next_request, request.answer);
                        driver.step((request.into_input)(next_request));
                    }
                }
            }
        })
        .await
}

struct Driver {
    node: RefCell<Node>,
    pending_answers: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    started: Instant,
    client: Rc<client::Client>,
    peers: peer::Peers,
}

impl Driver {
    fn step(&self, input: Input) {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let clock = Clock {
            now: self.started.elapsed(),
            wall_ms: wall.as_millis() as u64,
        };
        let outputs = self.node.borrow_mut().step(clock, input);
        let until = self.node.borrow().may_act_until();
        for output in outputs {
            // The process may have been suspended since the clock was read.
            let is_late = clock.now < until && self.started.elapsed() >= until;
            let output = match is_late {
                true => output.after_term_expired(),
                false => Ok(output),
            };
            let output = match output {
                Ok(output) => output,
                Err(input) => {
                    self.client.send_input(*input);
                    continue;
                }
            };
            match output {
                Output::Answer { request, answer } => {
                    if let Some(sender) = self.pending_answers.borrow_mut().remove(&request) {
                        // The client may have disconnected, and then needs no answer.
                        let _ = sender.send(answer);
                    }
                }
                Output::State {
                    call,
                    request,
                    timeout,
                } => self.client.state(call, request, timeout),
                Output::Cloud { call, request } => self.client.cloud(call, request),
                Output::Direct { call, direct } => self.client.direct(call, &direct),
                Output::Peer { to, message } => self.peers.send(&to, message),
            }
        }
    }
}
