//! The simulated world around the cores: time, events and the nodes' processes.

mod cloud;
mod config;
mod network;
mod pipelines;
mod random_troubles;
mod requests;
mod sabotage;
mod scale;
mod state_service;
mod users;
mod workers;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard::core::{
    Answer, CallId, Clock, Input, Node, Output, RequestId,
    config::{Config, Options},
    job::{JobId, JobState, TaskId},
    machine::DirectReply,
    provisioning::{CloudReply, CloudRequest},
    rollout::RolloutAction,
    store::{StateReply, StateRequest},
};
use kiteyard_rollout::generation::Order;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    absences::Absences, between::Between, cases::Case, late_commands::LateCommands,
    liveness::Liveness, meetings::Meetings, mute::Mute, new_machines::NewMachines,
    observer::Observer, old_reports::OldReports, rollout::Roll, scarcity::Scarcity, state::State,
};

pub use network::Cut;
pub use pipelines::CancelledStage;
pub use sabotage::Sabotage;
pub use scale::{Announced, LARGE, LICENSED, LONG, MEDIUM, SMALL, Scale};
pub use users::Job;
pub use workers::{ToWorker, Worker};

use config::settings;
use pipelines::Pipelines;
pub use requests::Met;
use requests::Requests;
use users::Asking;

pub const NODES: usize = 3;
pub const ZONES: [&str; 3] = ["a", "b", "c"];
pub const CPUS: f64 = 8.0;
/// Wall clocks of nodes differ by less than the first value, in steps of the second (milliseconds).
const WALL_MOST: u64 = 450;
const WALL_OFF: u64 = 200;

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[derive(Debug)]
pub enum Event {
    Tick(usize),
    ToNode(usize, u64, Input),
    AtState(usize, u64, CallId, StateRequest),
    AtCloud(usize, u64, CallId, CloudRequest),
    AtWorker(String, ToWorker),
    WorkerTick(String),
    Answered(usize, u64, RequestId, Answer),
    User(usize),
    /// A poll by a user at the given node.
    UserAt(usize, usize),
    /// A user request of the given kind at the given node.
    Ask(usize, usize, Asking),
    /// Users submit jobs that can never run.
    Odd,
    /// A job of a pipeline is submitted, if its turn has come.
    Stage(usize),
    /// A submission that depends on a job that was never submitted.
    UnknownNeed(usize),
    Trouble,
    Restart(usize),
    /// A message for whatever process runs on the node at that time.
    Line(usize, Input),
    /// The outputs that a process had decided on before it froze are sent.
    Outputs(usize, u64, Vec<Output>),
    OutageBegins,
    OutageEnds,
    Crash(usize),
    /// Processes that start from now on read these announced limits.
    Announce(Announced),
    Bring(Case, Duration),
    /// The node's process crashes and restarts with support for that generation.
    Upgrade(usize, u32),
    Order(Order),
    /// The node's process stops, and is not restarted.
    End(usize),
    /// The node's process restarts with a build from before generations.
    Older(usize),
    /// The leader is asked to hand over.
    StepDown,
    /// A drain of these machines is requested until it is accepted.
    Drain(Vec<String>),
}

enum Asker {
    Worker(String, u64),
    User(usize, Asking, Option<JobState>),
    /// A job that can never run, and the number of its reason.
    Odd(usize, JobId),
    /// A submission that depends on a job that was never submitted.
    UnknownNeed(usize),
}

pub struct World {
    pub scale: Scale,
    pub now: Duration,
    pub rng: StdRng,
    pub sabotage: Sabotage,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    pub steps: u64,
    pub nodes: Vec<Option<Node>>,
    pub epochs: Vec<u64>,
    /// Restart delay of a crashed process in milliseconds.
    back: std::ops::Range<u64>,
    started: Vec<Duration>,
    paces: Vec<f64>,
    asked: HashMap<(usize, u64, RequestId), Asker>,
    pub next_request: RequestId,
    pub state: State,
    watches: Vec<(usize, u64, CallId, StateRequest, Duration)>,
    pub outage: bool,
    pub refused: Vec<Duration>,
    /// Nodes refuse connections from their peers until then.
    pub peers_apart: Duration,
    /// The state service answers slowly until then.
    pub slow_until: Duration,
    /// Nothing from these nodes reaches the state service until the given times.
    pub unreached: Vec<Duration>,
    /// These nodes are frozen until the given times.
    frozen: Vec<Duration>,
    pub freezes: Vec<Option<Duration>>,
    /// These nodes and all workers cannot reach each other until the given times.
    pub workers_apart: Vec<Duration>,
    cloud_away: Duration,
    pub workers: BTreeMap<String, Worker>,
    booting: BTreeMap<String, (usize, bool, Duration)>,
    rentals: HashMap<String, Vec<Arc<str>>>,
    next_machine: u64,
    pub jobs: Vec<Job>,
    pub results: BTreeSet<TaskId>,
    pub cuts: Vec<Cut>,
    pub observer: Observer,
    pub roll: Roll,
    pub between: Between,
    pub meetings: Meetings,
    pub liveness: Liveness,
    pub mute: Mute,
    pub old_reports: OldReports,
    pub late_commands: LateCommands,
    pub new_machines: NewMachines,
    pub absences: Absences,
    pub scarcity: Scarcity,
    pub requests: Requests,
    pub pipelines: Pipelines,
}

impl World {
    pub fn new(seed: u64, sabotage: Sabotage) -> Self {
        Self::sized(SMALL, seed, sabotage)
    }

    pub fn sized(scale: Scale, seed: u64, sabotage: Sabotage) -> Self {
        let mut world = Self {
            scale,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            sabotage,
            events: BTreeMap::new(),
            next_event: 0,
            steps: 0,
            nodes: (0..NODES).map(|_| None).collect(),
            epochs: vec![0; NODES],
            back: 1500..5000,
            started: vec![Duration::ZERO; NODES],
            paces: vec![1.0; NODES],
            asked: HashMap::new(),
            next_request: 0,
            state: State::default(),
            watches: Vec::new(),
            outage: false,
            refused: vec![Duration::ZERO; NODES],
            peers_apart: Duration::ZERO,
            slow_until: Duration::ZERO,
            unreached: vec![Duration::ZERO; NODES],
            frozen: vec![Duration::ZERO; NODES],
            freezes: vec![None; NODES],
            workers_apart: vec![Duration::ZERO; NODES],
            cloud_away: Duration::ZERO,
            workers: BTreeMap::new(),
            booting: BTreeMap::new(),
            rentals: HashMap::new(),
            next_machine: 0,
            jobs: Vec::new(),
            results: BTreeSet::new(),
            cuts: Vec::new(),
            roll: Roll::default(),
            between: Between::default(),
            meetings: Meetings::default(),
            liveness: Liveness::default(),
            mute: Mute::default(),
            old_reports: OldReports::default(),
            late_commands: LateCommands::default(),
            new_machines: NewMachines::default(),
            absences: Absences::default(),
            scarcity: Scarcity::default(),
            requests: Requests::default(),
            pipelines: Pipelines::default(),
            observer: Observer::new(scale.cancel, "red", scale.team_limit, scale.seats),
        };
        if scale.second_limit > 0.0 {
            world.observer.limits("blue", scale.second_limit);
        }
        for node in 0..NODES {
            world.restart(node);
        }
        for i in 0..scale.machines {
            world.rent(i % 3, false, ms(1));
        }
        for i in 0..scale.jobs {
            let job = world.make_job(i);
            world.jobs.push(job);
            let at = ms(world
                .rng
                .random_range(100..scale.length.as_millis() as u64 * 11 / 15));
            world.push(at, Event::User(i));
        }
        if sabotage == Sabotage::VacatesEarly {
            for at in [20_000, 55_000, 90_000] {
                world = world.with(at, Case::VacatedEarly, Duration::from_secs(15));
            }
        }
        for _ in 0..scale.troubles {
            let at = ms(world.rng.random_range(8_000..120_000));
            world.push(at, Event::Trouble);
        }
        world
    }

    /// Makes crashed processes restart within 500 ms.
    pub fn quick(mut self) -> Self {
        self.back = 0..500;
        self
    }

    /// Injects a fault at a time in milliseconds.
    pub fn with(mut self, at: u64, case: Case, lasts: Duration) -> Self {
        self.push(ms(at), Event::Bring(case, lasts));
        self
    }

    pub fn run(&mut self) {
        while let Some((&key, _)) = self.events.first_key_value() {
            if key.0 > self.scale.length {
                break;
            }
            let event = self.events.remove(&key).expect("event at this key");
            self.now = key.0;
            self.steps += 1;
            self.handle(event);
        }
    }

    pub fn push(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .insert((at.max(self.now), self.next_event), event);
    }

    pub fn restart(&mut self, node: usize) {
        let settings = settings(node, &self.scale);
        let more = u32::from(self.sabotage == Sabotage::MoreSeats);
        let seats = self.scale.seats * (1 + more);
        let file = format!("[licence.solver]\nseats = {seats}\n");
        let licences = kiteyard_licences::config::Config::parse(&file).expect("valid config file");
        let options = Options {
            licences: (seats > 0).then(|| Arc::new(licences)),
            rollout: self.roll.config.clone(),
            maintenance: self.roll.maintenance.clone(),
            incarnation: self.epochs[node] as u32 + 1,
            ..Options::default()
        };
        let mut config = Config::new(&settings, options);
        config.ability.most = self.roll.most[node];
        match self.sabotage {
            Sabotage::NoWorkerLease => config.worker_lease_bound = ms(1200),
            Sabotage::BelievesLateRenewals => config.leader_term += ms(12_000),
            Sabotage::NoTeamLimit => {
                for team in config.teams.values_mut() {
                    team.cpus_max = 0.0;
                }
            }
            _ => {}
        }
        self.nodes[node] = Some(Node::new(config));
        self.frozen[node] = Duration::ZERO;
        self.freezes[node] = None;
        self.epochs[node] += 1;
        self.started[node] = self.now;
        self.paces[node] = 1.0 + self.rng.random_range(0..5) as f64 * 1e-4;
        self.push(self.now, Event::Tick(node));
    }

    pub fn step(&mut self, node: usize, input: Input) {
        let passed = (self.now - self.started[node]).mul_f64(self.paces[node]);
        let epoch = self.epochs[node];
        let clock = Clock {
            now: passed,
            wall_ms: self.now.as_millis() as u64 + WALL_OFF * (node as u64 + epoch) % WALL_MOST,
        };
        let Some(core) = &mut self.nodes[node] else {
            return;
        };
        let outputs = core.step(clock, input);
        self.check_starts(node, &outputs);
        if let Some(freeze) = self.freezes[node].take_if(|_| !outputs.is_empty()) {
            // The node freezes after it has decided, and resumes as if nothing had happened.
            let until = self.now + freeze;
            self.frozen[node] = until;
            self.push(until, Event::Outputs(node, epoch, outputs));
            return;
        }
        for output in outputs {
            self.output(node, epoch, output);
        }
    }

    fn output(&mut self, node: usize, epoch: u64, output: Output) {
        let output = self.tampered_answer(output);
        self.look_at_output(&output);
        self.old_reports_meet_action(node, &output);
        let delay = self.delay();
        let now = self.now;
        match output {
            Output::Answer { request, answer } => {
                self.push(now + delay, Event::Answered(node, epoch, request, answer));
            }
            Output::State {
                call,
                request,
                timeout,
            } => {
                // One in 300 requests is applied long after its sender has given up.
                let late = self.rng.random_range(0..300) == 0;
                let at = if let Some(held) = self.held_back(&request) {
                    now + held
                } else if late {
                    now + delay + ms(4000)
                } else {
                    now + delay
                };
                self.copy_state(&request);
                // The sender gets no answer to a request that is applied late.
                let (at, to) = match self.carried_out_late(&request) {
                    Some(at) => (at, 0),
                    None => (at, epoch),
                };
                self.push(at, Event::AtState(node, to, call, request));
                let reply = StateReply::Unclear;
                self.push(
                    now + timeout,
                    Event::ToNode(node, epoch, Input::State { call, reply }),
                );
            }
            Output::Cloud { call, request } => {
                self.copy_cloud(&request);
                self.push(now + delay, Event::AtCloud(node, epoch, call, request));
                let reply = CloudReply::Unclear;
                let at = now + Duration::from_secs(5);
                self.push(at, Event::ToNode(node, epoch, Input::Cloud { call, reply }));
            }
            Output::Direct { call, direct } => {
                let reply = DirectReply::Unclear;
                let failed = Event::ToNode(node, epoch, Input::Direct { call, reply });
                let name = direct.machine.to_string();
                let zone = self.workers.get(&name).map(|w| w.zone);
                match zone.and_then(|zone| self.worker_path(node, zone)) {
                    Some(at) => {
                        let late = self.late_command();
                        // The sender gets no answer to a command that is executed late.
                        let to = if late.is_some() { 0 } else { epoch };
                        let at = at + late.unwrap_or_else(|| self.held_up());
                        self.push(
                            at,
                            Event::AtWorker(name, ToWorker::Do(node, to, call, direct)),
                        );
                        self.push(now + Duration::from_secs(1), failed);
                    }
                    None => self.push(now + delay, failed),
                }
            }
            Output::Peer { to, message } => {
                let message = self.tampered_line(node, message);
                let to: usize = to[1..].parse().expect("node name");
                if self.now >= self.peers_apart
                    && !self.loses_peers(node, to)
                    && let Some(at) = self.path(node, to)
                {
                    let from = format!("n{node}");
                    let input = Input::Peer { from, message };
                    self.push(at, Event::Line(to, input));
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::Tick(node) | Event::ToNode(node, ..) | Event::Line(node, _) = event
            && self.frozen[node] > self.now
        {
            self.push(self.frozen[node], event);
            return;
        }
        match event {
            Event::Outputs(node, epoch, outputs) => {
                for output in outputs {
                    // Users have given up by now; workers decide for themselves.
                    let gone = |a: &Asker| matches!(a, Asker::User(..));
                    if let Output::Answer { request, .. } = &output
                        && self.asked.get(&(node, epoch, *request)).is_some_and(gone)
                    {
                        continue;
                    }
                    if self.epochs[node] == epoch {
                        self.output(node, epoch, output);
                    }
                }
            }
            Event::Tick(node) => {
                if self.nodes[node].is_some() {
                    self.step(node, Input::Tick);
                    self.push(self.now + ms(50), Event::Tick(node));
                }
                self.observer.tick(self.now);
                self.look_for_lost();
                self.look_at_placement();
                self.look_for_waiting();
            }
            Event::ToNode(node, epoch, input) => {
                if self.epochs[node] == epoch {
                    self.step(node, input);
                }
            }
            Event::Line(node, input) => self.step(node, input),
            Event::AtState(node, epoch, call, request) => self.at_state(node, epoch, call, request),
            Event::AtCloud(node, epoch, call, request) => {
                let reply = self.cloud(request);
                let at = self.now + self.delay() + ms(100);
                self.push(at, Event::ToNode(node, epoch, Input::Cloud { call, reply }));
            }
            Event::AtWorker(name, message) => self.at_worker(name, message),
            Event::WorkerTick(name) => self.worker_tick(&name),
            Event::Answered(node, epoch, request, answer) => {
                if let Some(asker) = self.asked.remove(&(node, epoch, request)) {
                    self.answered(node, asker, answer);
                }
            }
            Event::User(i) => {
                let again = self.now + ms(self.rng.random_range(1200..4000));
                self.push(again, Event::User(i));
                let node = self.asked_node(i);
                self.user(i, node);
            }
            Event::UserAt(i, node) => self.user(i, node),
            Event::Ask(i, node, asking) => self.ask(i, node, asking),
            Event::Odd => self.send_odd(),
            Event::Stage(number) => self.stage(number),
            Event::UnknownNeed(number) => self.send_unknown_need(number),
            Event::Trouble => self.trouble(),
            Event::Restart(node) => self.restart(node),
            Event::Crash(node) => self.crash(node),
            Event::Announce(limits) => self.scale.announced = Some(limits),
            Event::Bring(case, lasts) => self.bring(case, lasts),
            Event::Upgrade(node, most) => {
                self.roll.most[node] = most;
                self.crash(node);
            }
            Event::Order(order) => self.order(order),
            Event::End(node) => {
                self.nodes[node] = None;
                self.epochs[node] += 1;
            }
            Event::Older(node) => {
                self.roll.before[node] = true;
                self.roll.most[node] = 1;
                self.crash(node);
            }
            Event::Drain(machines) => self.drain(machines),
            Event::StepDown => {
                let node = self.leading();
                self.roll.asked = Some(node);
                let (request, ask) = (u64::MAX, RolloutAction::StepDown);
                self.step(
                    node,
                    Input::Rollout {
                        request,
                        action: ask,
                    },
                );
            }
            Event::OutageBegins => self.outage = true,
            Event::OutageEnds => {
                self.outage = false;
                self.state.outage_over(self.now);
            }
        }
    }

    pub fn crash(&mut self, node: usize) {
        if self.nodes[node].take().is_some() {
            self.epochs[node] += 1;
            let back = self.now + ms(self.rng.random_range(self.back.clone()));
            self.push(back, Event::Restart(node));
        }
    }
}
