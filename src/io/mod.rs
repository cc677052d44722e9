//! Sockets, clocks and timers around the core. Nothing is decided here.

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

/// How often the core is asked whether anything is due.
const TICK: Duration = Duration::from_millis(40);

/// A process that is asked to end has this time to hand over and to answer what it has
/// taken.
const RETIRES: Duration = Duration::from_millis(800);

/// A request from outside, with the place its answer goes to.
pub struct Call {
    pub make: Box<dyn FnOnce(RequestId) -> Input + Send>,
    pub answer: oneshot::Sender<Answer>,
}

/// Serves until the process is ended.
pub async fn serve(settings: Settings, options: Options) -> std::io::Result<()> {
    let licensed = options.licences.is_some();
    let asked_to_end = Arc::new(AtomicBool::new(false));
    if options.rollout.is_some() {
        // Without it the process ends at once, as on any other signal.
        signal_hook::flag::register(signal_hook::consts::SIGTERM, asked_to_end.clone())?;
    }
    let config = Config::new(&settings, options);
    let requests_most = config.max_waiting_requests;
    let (calls, mut incoming) = mpsc::channel::<Call>(requests_most);
    let sockets = settings.params.resources.sockets;
    let listener = server::bind(settings.listen, sockets).await?;
    let peer_listener = server::bind(settings.peer_listen, sockets).await?;
    let tasks = tokio::task::LocalSet::new();
    tasks
        .run_until(async move {
            tokio::task::spawn_local(server::serve(listener, calls, licensed, requests_most));
            let (results, mut replies) = mpsc::unbounded_channel::<Input>();
            let peers = settings.peers.len();
            tokio::task::spawn_local(peer::listen(peer_listener, peers * 4, results.clone()));
            let client = client::Client::new(&settings, results);
            let mut tick = tokio::time::interval(TICK);
            tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let driver = Driver {
                node: RefCell::new(Node::new(config)),
                waiting: RefCell::default(),
                started: Instant::now(),
                client: Rc::new(client),
                peers: peer::Peers::new(&settings, requests_most),
            };
            let mut next_request: RequestId = 0;
            let mut retired = None;
            loop {
                // A fixed order, so that the same events give the same run.
                tokio::select! {
                    biased;
                    _ = tick.tick() => {
                        if asked_to_end.load(Ordering::Relaxed) {
                            let at = *retired.get_or_insert_with(|| {
                                driver.step(Input::Shutdown);
                                Instant::now()
                            });
                            if at.elapsed() > RETIRES {
                                return Ok(());
                            }
                        }
                        driver.step(Input::Tick);
                    }
                    Some(input) = replies.recv() => driver.step(input),
                    Some(call) = incoming.recv() => {
                        next_request += 1;
                        driver.waiting.borrow_mut().insert(next_request, call.answer);
                        driver.step((call.make)(next_request));
                    }
                }
            }
        })
        .await
}

struct Driver {
    node: RefCell<Node>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
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
            // Time is looked at again: the process may have stood still meanwhile.
            let late = clock.now < until && self.started.elapsed() >= until;
            let output = match late {
                true => output.after_term_expired(),
                false => Ok(output),
            };
            let output = match output {
                Ok(output) => output,
                Err(input) => {
                    self.client.tell(*input);
                    continue;
                }
            };
            match output {
                Output::Answer { request, answer } => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&request) {
                        // The asker may have gone; nobody else needs the answer.
                        let _ = waiting.send(answer);
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
