//! The simulated world around the cores: time, events and the nodes' processes.

mod cloud;
mod config;
mod defects;
mod network;
mod pipelines;
mod random_faults;
mod requests;
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
    blocked_reports::BlockedReports, combined_faults::CombinedFaults,
    controller_downtime::ControllerDowntime, duplicate_attempts::DuplicateAttempts,
    failover_answers::FailoverAnswers, faults::Fault, late_commands::LateCommands,
    liveness::Liveness, network_faults::NetworkFaults, new_machines::NewMachines,
    observer::Observer, old_reports::OldReports, repeated_commands::RepeatedCommands,
    rollout::RolloutState, scarcity::Scarcity, state::StateStore,
};

pub use defects::Defect;
pub use network::LinkPartition;
pub use pipelines::CancelledStage;
pub use scale::{AnnouncedLimits, LARGE, LICENSED, LONG, MEDIUM, SMALL, Scale};
pub use users::Job;
pub use workers::{Worker, WorkerMessage};

use config::settings;
use pipelines::Pipelines;
pub use requests::RequestCounts;
use requests::Requests;
use users::UserAction;

pub const NODES: usize = 3;
pub const ZONES: [&str; 3] = ["a", "b", "c"];
pub const CPUS: f64 = 8.0;
/// Wall clocks of nodes differ by less than the first value, in steps of the second (milliseconds).
const MAX_CLOCK_SKEW_MS: u64 = 450;
const CLOCK_SKEW_STEP_MS: u64 = 200;

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[derive(Debug)]
pub enum Event {
    Tick(usize),
    NodeInput(usize, u64, Input),
    StateCall(usize, u64, CallId, StateRequest),
    CloudCall(usize, u64, CallId, CloudRequest),
    WorkerMessage(String, WorkerMessage),
    WorkerTick(String),
    Answered(usize, u64, RequestId, Answer),
    UserPoll(usize),
    /// A poll by a user at the given node.
    UserPollAt(usize, usize),
    /// A user request of the given kind at the given node.
    UserRequest(usize, usize, UserAction),
    /// Users submit jobs that can never run.
    UnrunnableJobs,
    /// A job of a pipeline is submitted, if its turn has come.
    SubmitStage(usize),
    /// A submission that depends on a job that was never submitted.
    SubmitUnknownDependency(usize),
    RandomFault,
    Restart(usize),
    /// A message for whatever process runs on the node at that time.
    Message(usize, Input),
    /// The outputs that a process had decided on before it froze are sent.
    DelayedOutputs(usize, u64, Vec<Output>),
    OutageStarted,
    OutageEnded,
    Crash(usize),
    /// Processes that start later read these announced limits.
    AnnounceLimits(AnnouncedLimits),
    InjectFault(Fault, Duration),
    /// The node's process crashes and restarts with support for that generation.
    Upgrade(usize, u32),
    RolloutOrder(Order),
    /// The node's process stops, and is not restarted.
    Stop(usize),
    /// The node's process restarts with a build from before generations.
    RestartOldBuild(usize),
    /// The leader receives a request to step down.
    StepDown,
    /// A drain of these machines is requested until it is accepted.
    Drain(Vec<String>),
}

enum Requester {
    Worker(String, u64),
    User(usize, UserAction, Option<JobState>),
    /// A job that can never run, and the number of its reason.
    Unrunnable(usize, JobId),
    /// A submission that depends on a job that was never submitted.
    UnknownDependency(usize),
}

pub struct World {
    pub scale: Scale,
    pub now: Duration,
    pub rng: StdRng,
    pub defect: Defect,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    pub steps: u64,
    pub nodes: Vec<Option<Node>>,
    pub epochs: Vec<u64>,
    /// Restart delay of a crashed process in milliseconds.
    restart_delay_ms: std::ops::Range<u64>,
    process_started: Vec<Duration>,
    clock_rates: Vec<f64>,
    pending_requests: HashMap<(usize, u64, RequestId), Requester>,
    pub next_request: RequestId,
    pub state: StateStore,
    watches: Vec<(usize, u64, CallId, StateRequest, Duration)>,
    pub outage: bool,
    pub refused_until: Vec<Duration>,
    /// Nodes refuse connections from their peers until then.
    pub peers_refuse_until: Duration,
    /// The state service answers slowly until then.
    pub state_slow_until: Duration,
    /// Nothing from these nodes reaches the state service until the given times.
    pub state_unreachable_until: Vec<Duration>,
    /// These nodes are frozen until the given times.
    frozen_until: Vec<Duration>,
    pub pending_freezes: Vec<Option<Duration>>,
    /// These nodes and all workers cannot reach each other until the given times.
    pub workers_unreachable_until: Vec<Duration>,
    cloud_unavailable_until: Duration,
    pub workers: BTreeMap<String, Worker>,
    booting: BTreeMap<String, (usize, bool, Duration)>,
    provisioned: HashMap<String, Vec<Arc<str>>>,
    next_machine: u64,
    pub jobs: Vec<Job>,
    pub completed_tasks: BTreeSet<TaskId>,
    pub partitions: Vec<LinkPartition>,
    pub observer: Observer,
    pub rollout: RolloutState,
    pub network_faults: NetworkFaults,
    pub combined_faults: CombinedFaults,
    pub liveness: Liveness,
    pub blocked_reports: BlockedReports,
    pub old_reports: OldReports,
    pub duplicate_attempts: DuplicateAttempts,
    pub failover_answers: FailoverAnswers,
    pub late_commands: LateCommands,
    pub repeated_commands: RepeatedCommands,
    pub new_machines: NewMachines,
    pub controller_downtime: ControllerDowntime,
    pub scarcity: Scarcity,
    pub requests: Requests,
    pub pipelines: Pipelines,
}

impl World {
    pub fn new(seed: u64, defect: Defect) -> Self {
        Self::with_scale(SMALL, seed, defect)
    }

    pub fn with_scale(scale: Scale, seed: u64, defect: Defect) -> Self {
        let mut world = Self {
            scale,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            defect,
            events: BTreeMap::new(),
            next_event: 0,
            steps: 0,
            nodes: (0..NODES).map(|_| None).collect(),
            epochs: vec![0; NODES],
            restart_delay_ms: 1500..5000,
            process_started: vec![Duration::ZERO; NODES],
            clock_rates: vec![1.0; NODES],
            pending_requests: HashMap::new(),
            next_request: 0,
            state: StateStore::default(),
            watches: Vec::new(),
            outage: false,
            refused_until: vec![Duration::ZERO; NODES],
            peers_refuse_until: Duration::ZERO,
            state_slow_until: Duration::ZERO,
            state_unreachable_until: vec![Duration::ZERO; NODES],
            frozen_until: vec![Duration::ZERO; NODES],
            pending_freezes: vec![None; NODES],
            workers_unreachable_until: vec![Duration::ZERO; NODES],
            cloud_unavailable_until: Duration::ZERO,
            workers: BTreeMap::new(),
            booting: BTreeMap::new(),
            provisioned: HashMap::new(),
            next_machine: 0,
            jobs: Vec::new(),
            completed_tasks: BTreeSet::new(),
            partitions: Vec::new(),
            rollout: RolloutState::default(),
            network_faults: NetworkFaults::default(),
            combined_faults: CombinedFaults::default(),
            liveness: Liveness::default(),
            blocked_reports: BlockedReports::default(),
            old_reports: OldReports::default(),
            duplicate_attempts: DuplicateAttempts::default(),
            failover_answers: FailoverAnswers::default(),
            late_commands: LateCommands::default(),
            repeated_commands: RepeatedCommands::default(),
            new_machines: NewMachines::default(),
            controller_downtime: ControllerDowntime::default(),
            scarcity: Scarcity::default(),
            requests: Requests::default(),
            pipelines: Pipelines::default(),
            observer: Observer::new(scale.cancel, "red", scale.team_limit, scale.seats),
        };
        if scale.second_team_limit > 0.0 {
            world.observer.set_limit("blue", scale.second_team_limit);
        }
        for node in 0..NODES {
            world.restart(node);
        }
        for i in 0..scale.machines {
            world.provision_machine(i % 3, false, ms(1));
        }
        for i in 0..scale.jobs {
            let job = world.make_job(i);
            world.jobs.push(job);
            let at = ms(world
                .rng
                .random_range(100..scale.duration.as_millis() as u64 * 11 / 15));
            world.push(at, Event::UserPoll(i));
        }
        if defect == Defect::DeletesClaimEarly {
            for at in [20_000, 55_000, 90_000] {
                world = world.with_fault(at, Fault::ClaimDeletedEarly, Duration::from_secs(15));
            }
        }
        for _ in 0..scale.random_faults {
            let at = ms(world.rng.random_range(8_000..120_000));
            world.push(at, Event::RandomFault);
        }
        world
    }

    /// Makes crashed processes restart within 500 ms.
    pub fn with_quick_restarts(mut self) -> Self {
        self.restart_delay_ms = 0..500;
        self
    }

    /// Injects a fault at a time in milliseconds.
    pub fn with_fault(mut self, at: u64, fault: Fault, duration: Duration) -> Self {
        self.push(ms(at), Event::InjectFault(fault, duration));
        self
    }

    pub fn run(&mut self) {
        while let Some((&key, _)) = self.events.first_key_value() {
            if key.0 > self.scale.duration {
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
        let extra = u32::from(self.defect == Defect::MoreSeats);
        let seats = self.scale.seats * (1 + extra);
        let file = format!("[licence.solver]\nseats = {seats}\n");
        let licences = kiteyard_licences::config::Config::parse(&file).expect("valid config file");
        let options = Options {
            licences: (seats > 0).then(|| Arc::new(licences)),
            rollout: self.rollout.config.clone(),
            maintenance: self.rollout.maintenance.clone(),
            incarnation: self.epochs[node] as u32 + 1,
            ..Options::default()
        };
        let mut config = Config::new(&settings, options);
        config.ability.most = self.rollout.supported_generation[node];
        match self.defect {
            Defect::IgnoresWorkerLeases => config.worker_lease_bound = ms(1200),
            Defect::CountsRenewalFromAnswer => config.leader_term += ms(12_000),
            Defect::IgnoresTeamLimits => {
                for team in config.teams.values_mut() {
                    team.cpus_max = 0.0;
                }
            }
            _ => {}
        }
        self.nodes[node] = Some(Node::new(config));
        self.frozen_until[node] = Duration::ZERO;
        self.pending_freezes[node] = None;
        self.epochs[node] += 1;
        self.process_started[node] = self.now;
        self.clock_rates[node] = 1.0 + self.rng.random_range(0..5) as f64 * 1e-4;
        self.push(self.now, Event::Tick(node));
    }

    pub fn step(&mut self, node: usize, input: Input) {
        let elapsed = (self.now - self.process_started[node]).mul_f64(self.clock_rates[node]);
        let epoch = self.epochs[node];
        let clock = Clock {
            now: elapsed,
            wall_ms: self.now.as_millis() as u64
                + CLOCK_SKEW_STEP_MS * (node as u64 + epoch) % MAX_CLOCK_SKEW_MS,
        };
        let Some(core) = &mut self.nodes[node] else {
            return;
        };
        let outputs = core.step(clock, input);
        self.check_starts(node, &outputs);
        self.count_failover_answers(node, &outputs);
        if let Some(freeze) = self.pending_freezes[node].take_if(|_| !outputs.is_empty()) {
            // The node freezes after it has decided, and resumes as if nothing had happened.
            let until = self.now + freeze;
            self.frozen_until[node] = until;
            self.push(until, Event::DelayedOutputs(node, epoch, outputs));
            return;
        }
        for output in outputs {
            self.send_output(node, epoch, output);
        }
    }

    fn send_output(&mut self, node: usize, epoch: u64, output: Output) {
        let output = self.tampered_answer(output);
        self.check_cordons(&output);
        self.deliver_held_reports(node, &output);
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
                let at = if let Some(extra) = self.acceptance_delay(&request) {
                    now + extra
                } else if let Some(extra) = self.failover_read_delay(&request) {
                    now + extra
                } else if late {
                    now + delay + ms(4000)
                } else {
                    now + delay
                };
                self.duplicate_state_request(&request);
                // The sender gets no answer to a request that is applied late.
                let (at, to) = match self.late_apply_time(&request) {
                    Some(at) => (at, 0),
                    None => (at, epoch),
                };
                self.push(at, Event::StateCall(node, to, call, request));
                let reply = StateReply::Unclear;
                self.push(
                    now + timeout,
                    Event::NodeInput(node, epoch, Input::State { call, reply }),
                );
            }
            Output::Cloud { call, request } => {
                self.duplicate_cloud_request(&request);
                self.push(now + delay, Event::CloudCall(node, epoch, call, request));
                let reply = CloudReply::Unclear;
                let at = now + Duration::from_secs(5);
                self.push(
                    at,
                    Event::NodeInput(node, epoch, Input::Cloud { call, reply }),
                );
            }
            Output::Direct { call, direct } => {
                let reply = DirectReply::Unclear;
                let failed = Event::NodeInput(node, epoch, Input::Direct { call, reply });
                let name = direct.machine.to_string();
                let zone = self.workers.get(&name).map(|w| w.zone);
                let zone = zone.filter(|_| !self.is_silenced(&name));
                match zone.and_then(|zone| self.worker_path(node, zone)) {
                    Some(at) => {
                        let late = self.late_command_delay();
                        // The sender gets no answer to a command that is executed late.
                        let to = if late.is_some() { 0 } else { epoch };
                        let at = at + late.unwrap_or_else(|| self.command_delay());
                        self.push(
                            at,
                            Event::WorkerMessage(name, WorkerMessage::Do(node, to, call, direct)),
                        );
                        self.push(now + Duration::from_secs(1), failed);
                    }
                    None => self.push(now + delay, failed),
                }
            }
            Output::Peer { to, message } => {
                let message = self.tampered_peer_message(node, message);
                let to: usize = to[1..].parse().expect("node name");
                if self.now >= self.peers_refuse_until
                    && !self.are_isolated(node, to)
                    && let Some(at) = self.path(node, to)
                {
                    let from = format!("n{node}");
                    let input = Input::Peer { from, message };
                    self.push(at, Event::Message(to, input));
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::Tick(node) | Event::NodeInput(node, ..) | Event::Message(node, _) = event
            && self.frozen_until[node] > self.now
        {
            self.push(self.frozen_until[node], event);
            return;
        }
        match event {
            Event::DelayedOutputs(node, epoch, outputs) => {
                for output in outputs {
                    // Users have given up by now; workers decide for themselves.
                    let is_user = |requester: &Requester| matches!(requester, Requester::User(..));
                    if let Output::Answer { request, .. } = &output
                        && self
                            .pending_requests
                            .get(&(node, epoch, *request))
                            .is_some_and(is_user)
                    {
                        continue;
                    }
                    if self.epochs[node] == epoch {
                        self.send_output(node, epoch, output);
                    }
                }
            }
            Event::Tick(node) => {
                if self.nodes[node].is_some() {
                    self.step(node, Input::Tick);
                    self.push(self.now + ms(50), Event::Tick(node));
                }
                self.observer.check_cancelled(self.now);
                self.check_queued_jobs();
                self.track_placement();
                self.check_waiting_jobs();
            }
            Event::NodeInput(node, epoch, input) => {
                if self.epochs[node] == epoch && !self.answer_for_claimant(node, &input) {
                    self.step(node, input);
                }
            }
            Event::Message(node, input) => self.step(node, input),
            Event::StateCall(node, epoch, call, request) => {
                self.handle_state_call(node, epoch, call, request)
            }
            Event::CloudCall(node, epoch, call, request) => {
                let reply = self.cloud(request);
                let at = self.now + self.delay() + ms(100);
                self.push(
                    at,
                    Event::NodeInput(node, epoch, Input::Cloud { call, reply }),
                );
            }
            Event::WorkerMessage(name, message) => self.handle_worker_message(name, message),
            Event::WorkerTick(name) => self.worker_tick(&name),
            Event::Answered(node, epoch, request, answer) => {
                if let Some(requester) = self.pending_requests.remove(&(node, epoch, request)) {
                    self.handle_answer(node, requester, answer);
                }
            }
            Event::UserPoll(i) => {
                let next_poll = self.now + ms(self.rng.random_range(1200..4000));
                self.push(next_poll, Event::UserPoll(i));
                let node = self.choose_node(i);
                self.poll_job(i, node);
            }
            Event::UserPollAt(i, node) => self.poll_job(i, node),
            Event::UserRequest(i, node, action) => self.send_user_request(i, node, action),
            Event::UnrunnableJobs => self.submit_unrunnable_jobs(),
            Event::SubmitStage(number) => self.submit_stage(number),
            Event::SubmitUnknownDependency(number) => self.submit_unknown_dependency(number),
            Event::RandomFault => self.inject_random_fault(),
            Event::Restart(node) => self.restart(node),
            Event::Crash(node) => self.crash(node),
            Event::AnnounceLimits(limits) => self.scale.announced = Some(limits),
            Event::InjectFault(fault, duration) => self.inject_fault(fault, duration),
            Event::Upgrade(node, supported) => {
                self.rollout.supported_generation[node] = supported;
                self.crash(node);
            }
            Event::RolloutOrder(order) => self.send_order(order),
            Event::Stop(node) => {
                self.nodes[node] = None;
                self.epochs[node] += 1;
            }
            Event::RestartOldBuild(node) => {
                self.rollout.old_build[node] = true;
                self.rollout.supported_generation[node] = 1;
                self.crash(node);
            }
            Event::Drain(machines) => self.drain(machines),
            Event::StepDown => {
                let node = self.leading();
                self.rollout.step_down_node = Some(node);
                let (request, action) = (u64::MAX, RolloutAction::StepDown);
                self.step(node, Input::Rollout { request, action });
            }
            Event::OutageStarted => self.outage = true,
            Event::OutageEnded => {
                self.outage = false;
                self.state.extend_leases(self.now);
            }
        }
    }

    pub fn crash(&mut self, node: usize) {
        if self.nodes[node].take().is_some() {
            self.epochs[node] += 1;
            let restart_at = self.now + ms(self.rng.random_range(self.restart_delay_ms.clone()));
            self.push(restart_at, Event::Restart(node));
        }
    }
}
