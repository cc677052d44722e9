//! The service as a state machine: inputs go in, and what to send, write and
//! answer comes out. Nothing here reads a clock or touches a socket.

pub mod apart;
pub mod book;
pub mod commands;
pub mod config;
pub mod drain;
pub mod drains;
pub mod failures;
pub mod finals;
pub mod fleet;
pub mod flow;
pub mod front;
pub mod hints;
pub mod images;
pub mod job;
pub mod lead;
pub mod leader;
pub mod machine;
pub mod maintenance;
pub mod members;
pub mod migrate;
pub mod mirror;
pub mod near;
pub mod order;
pub mod pulse;
pub mod queue;
pub mod relay;
mod rent;
pub mod results;
pub mod rollout;
mod room;
pub mod roster;
pub mod saves;
pub mod sched;
pub mod seats;
pub mod signs;
pub mod silent;
pub mod squaring;
pub mod store;
mod watching;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use config::Config;
use fleet::{CloudReply, CloudRequest};
use front::{Front, Question};
use job::{FinalRecord, JobId, JobSpec, JobState};
use lead::Lead;
use leader::{Direct, Leader};
use machine::{Command, DirectReply, WorkerReport};
use members::{Members, sight::Way};
use mirror::Mirror;
use relay::{PeerMessage, Relays};
use seats::LicenceView;
use store::{StateReply, StateRequest};

/// Time as a step sees it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Steady time since the process began.
    pub now: Duration,
    /// The time of day, in milliseconds.
    pub wall_ms: u64,
}

/// Names a request that waits for its answer.
pub type RequestId = u64;
/// Names a call to another service.
pub type CallId = u64;

#[derive(Debug)]
pub enum Input {
    Submit {
        request: RequestId,
        spec: Arc<JobSpec>,
    },
    Status {
        request: RequestId,
        id: JobId,
    },
    Withdraw {
        request: RequestId,
        id: JobId,
    },
    Ready {
        request: RequestId,
    },
    Licences {
        request: RequestId,
    },
    Rollout {
        request: RequestId,
        ask: rollout::Ask,
    },
    Maintenance {
        request: RequestId,
        ask: maintenance::Ask,
    },
    /// The process is about to end.
    Retire,
    Report {
        request: RequestId,
        report: WorkerReport,
    },
    State {
        call: CallId,
        reply: StateReply,
    },
    Cloud {
        call: CallId,
        reply: CloudReply,
    },
    Direct {
        call: CallId,
        reply: DirectReply,
    },
    Peer {
        from: String,
        message: PeerMessage,
    },
    Tick,
}

#[derive(Debug)]
pub enum Output {
    Answer {
        request: RequestId,
        answer: Answer,
    },
    State {
        call: CallId,
        request: StateRequest,
        timeout: Duration,
    },
    Cloud {
        call: CallId,
        request: CloudRequest,
    },
    /// Commands straight to a worker.
    Direct {
        call: CallId,
        direct: Direct,
    },
    Peer {
        to: String,
        message: PeerMessage,
    },
}

impl Output {
    /// What becomes of this when the leader's term was over before it could go out:
    /// it may be sent all the same, changed, or turns into news for the node.
    ///
    /// A process that stood still in the middle of a step goes on as if no time had
    /// passed. Writes depend on the claim and may go out; commands may not.
    pub fn withheld(self) -> Result<Output, Box<Input>> {
        match self {
            Output::Answer {
                request,
                answer: Answer::Commands { .. },
            } => Ok(Output::Answer {
                request,
                answer: Answer::Redirect(None),
            }),
            Output::Peer {
                to,
                message: PeerMessage::Reported { relay, .. },
            } => Ok(Output::Peer {
                to,
                message: PeerMessage::Reported {
                    relay,
                    answer: None,
                },
            }),
            Output::Direct { call, .. } => Err(Box::new(Input::Direct {
                call,
                reply: DirectReply::Unclear,
            })),
            other => Ok(other),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Accepted(JobId),
    /// Known already: its state now.
    Known(JobId, JobState),
    Status(JobId, JobState, u32, u32),
    NotFound,
    /// It can never run.
    Impossible(String),
    /// Undecidable now.
    Later {
        retry: Duration,
    },
    Ready(bool),
    /// How licences stand, and how old that is where this node does not lead.
    Licences(Vec<LicenceView>, Option<Duration>),
    Rollout(Box<kiteyard_rollout::view::Status>),
    Drains(Vec<maintenance::MachineView>),
    Commands {
        token: u64,
        commands: Vec<Command>,
    },
    /// Another node leads, or none is known.
    Redirect(Option<String>),
}

/// Why a call was made.
#[derive(Debug)]
enum Purpose {
    Load {
        after: bool,
    },
    Watch,
    Sync,
    Grant,
    Renew {
        sent: Duration,
    },
    /// Proves the claim and the copy after a renewal that was asked for at `renewed`.
    Verify {
        claim: u64,
        renewed: Duration,
        asked: Duration,
    },
    Claim {
        lease: u64,
        sent: Duration,
        former: lead::Former,
    },
    Probe,
    Sign,
    Settle,
    Vacate {
        claim: u64,
    },
    Accept {
        request: RequestId,
        spec: Arc<JobSpec>,
        accepted_ms: u64,
        tries: u8,
    },
    Cancel {
        request: RequestId,
        id: JobId,
        ends: Option<(finals::Range, finals::Ends)>,
    },
    ReadFinal(Box<front::FinalRead>),
    ReadRange {
        request: RequestId,
        id: JobId,
        then: front::Pending,
    },
    Announce,
    StoreGeneration,
    Order {
        request: RequestId,
    },
    Migrate((u64, u64), migrate::Asked),
    StoreDrains {
        request: Option<RequestId>,
        drains: kiteyard_maintenance::drain::Drains,
    },
    StoreApart {
        claim: u64,
        record: apart::ApartRecord,
    },
    TakeOver(lead::Loading),
    Save(saves::Save),
    StoreTypes,
    Cloud(CloudRequest),
    Direct(Direct),
}

const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
const WATCH_WAIT: Duration = Duration::from_secs(10);
const BACK_OFF: Duration = Duration::from_millis(300);
/// The least time between two rounds of what the leader does by itself.
const ROUND: Duration = Duration::from_millis(20);
/// Final states kept in memory, so that polls for them need no request.
const FINALS_KEPT: usize = 4096;

/// One controller node.
pub struct Node {
    config: Arc<Config>,
    clock: Clock,
    out: Vec<Output>,
    next_call: CallId,
    calls: HashMap<CallId, Purpose>,
    mirror: Mirror,
    loading: bool,
    retry_load: Duration,
    watching: bool,
    retry_watch: Duration,
    front: Front,
    finals: HashMap<JobId, FinalRecord>,
    finals_order: VecDeque<JobId>,
    lead: Lead,
    leader: Option<Leader>,
    types_call: bool,
    retry_types: Duration,
    saves: saves::Saves,
    rollout: rollout::Rollout,
    apart: apart::Apart,
    maintenance: maintenance::Maintenance,
    /// Ends of jobs by range, where they are stored so.
    ranges: finals::Ranges,
    relays: Relays,
    pulses: pulse::Pulses,
    signs: signs::Signs,
    members: Members,
    /// What the leader told for the next one.
    hints: hints::Hints,
    next_hints: Duration,
}

impl Node {
    pub fn new(config: Config) -> Self {
        let config = Arc::new(config);
        Self {
            saves: saves::Saves::new(&config),
            rollout: rollout::Rollout::new(config.options.rollout.as_deref()),
            apart: apart::Apart::default(),
            maintenance: maintenance::Maintenance::default(),
            ranges: finals::Ranges::default(),
            relays: Relays::new(config.options.incarnation),
            pulses: pulse::Pulses::default(),
            signs: signs::Signs::default(),
            members: Members::new(config.report, config.worker_lease_bound),
            config,
            clock: Clock {
                now: Duration::ZERO,
                wall_ms: 0,
            },
            out: Vec::new(),
            next_call: 0,
            calls: HashMap::new(),
            mirror: Mirror::default(),
            loading: false,
            retry_load: Duration::ZERO,
            watching: false,
            retry_watch: Duration::ZERO,
            front: Front::default(),
            finals: HashMap::new(),
            finals_order: VecDeque::new(),
            lead: Lead::default(),
            leader: None,
            hints: hints::Hints::default(),
            next_hints: Duration::ZERO,
            types_call: false,
            retry_types: Duration::ZERO,
        }
    }

    /// Takes one input and returns everything that follows from it.
    pub fn step(&mut self, clock: Clock, input: Input) -> Vec<Output> {
        self.clock = clock;
        match input {
            Input::Submit { request, spec } => self.submit(request, spec),
            Input::Status { request, id } => self.ask(request, id, Question::Status),
            Input::Withdraw { request, id } => self.ask(request, id, Question::Withdraw),
            Input::Ready { request } => {
                let ready = self.mirror.loaded
                    && self.mirror.types.is_some()
                    && !self.left_alone()
                    && self.fit_for_requests();
                self.answer(request, Answer::Ready(ready));
            }
            Input::Licences { request } => self.licences(request),
            Input::Rollout { request, ask } => self.rollout_asked(request, ask),
            Input::Maintenance { request, ask } => self.maintenance_asked(request, ask),
            Input::Retire => self.retire(),
            Input::Report { request, report } => self.report(request, report),
            Input::State { call, reply } => {
                if let Some(purpose) = self.calls.remove(&call) {
                    self.state_reply(purpose, reply);
                }
            }
            Input::Cloud { call, reply } => {
                if let Some(Purpose::Cloud(request)) = self.calls.remove(&call) {
                    self.cloud_reply(&request, reply);
                }
            }
            Input::Direct { call, reply } => {
                if let Some(Purpose::Direct(direct)) = self.calls.remove(&call) {
                    self.direct_reply(&direct, reply);
                }
            }
            Input::Peer { from, message } => self.peer_message(from, message),
            Input::Tick => {}
        }
        self.pump();
        std::mem::take(&mut self.out)
    }

    /// It leads and has taken over.
    pub fn places(&self) -> bool {
        self.leader.is_some() && self.leads()
    }

    /// There are machines whose tasks it does not know yet.
    pub fn unresolved(&self) -> bool {
        self.leader.as_ref().is_some_and(Leader::unresolved)
    }

    /// Until then what a step has decided as the leader may go out.
    pub fn acts_until(&self) -> Duration {
        self.lead.acts_until()
    }

    fn now(&self) -> Duration {
        self.clock.now
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        self.out.push(Output::Answer { request, answer });
    }

    fn call(&mut self, purpose: Purpose, request: StateRequest) {
        let timeout = match &request {
            StateRequest::Watch { wait, .. } => *wait + STATE_TIMEOUT,
            _ => STATE_TIMEOUT,
        };
        self.call_within(timeout, purpose, request);
    }

    fn call_within(&mut self, timeout: Duration, purpose: Purpose, request: StateRequest) {
        self.next_call += 1;
        self.calls.insert(self.next_call, purpose);
        self.out.push(Output::State {
            call: self.next_call,
            request,
            timeout,
        });
    }

    fn call_cloud(&mut self, request: CloudRequest) {
        self.next_call += 1;
        self.calls
            .insert(self.next_call, Purpose::Cloud(request.clone()));
        self.out.push(Output::Cloud {
            call: self.next_call,
            request,
        });
    }

    /// Whatever is due now.
    fn pump(&mut self) {
        self.pump_mirror();
        self.pump_types();
        self.pump_pulses();
        self.pump_rollout();
        self.pump_lead();
        self.pump_signs();
        self.pump_apart();
        self.pump_maintenance();
        self.pump_polls();
        self.pump_relays();
        self.pump_hints();
        let now = self.now();
        if !self.leads() {
            return;
        }
        let proven = self.proven();
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.wall_ms = self.clock.wall_ms;
        // What follows looks at every machine, and reports come by the hundred a
        // second: it is done for all that came meanwhile.
        if now < leader.next_round {
            // Writes do not wait for the round, or the larger the fleet the fewer
            // would go out.
            if self.saves.woken {
                self.pump_saves();
            }
            return;
        }
        leader.next_round =
            now + ROUND + self.config.round_per_machine * leader.machines.len() as u32;
        self.pump_outlook();
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.proven = proven;
        leader.tick(now);
        let wants_proof = leader.wants_proof(now);
        if leader.queue.dirty && now >= leader.next_pass {
            leader.pass(now);
        }
        let directs = leader.direct_commands(now);
        let cloud = leader.cloud_work(now);
        for direct in directs {
            self.next_call += 1;
            let call = self.next_call;
            self.calls.insert(call, Purpose::Direct(direct.clone()));
            self.out.push(Output::Direct { call, direct });
        }
        if let Some(request) = cloud {
            self.call_cloud(request);
        }
        if wants_proof {
            self.hurry_proof();
        }
        self.pump_saves();
    }

    fn direct_reply(&mut self, direct: &Direct, reply: DirectReply) {
        let now = self.now();
        match &reply {
            DirectReply::Executed(report) | DirectReply::Refused(report) => {
                self.machine_heard(&report.machine, &report.zone, Way::Answer);
            }
            DirectReply::Unclear => self.members.sight.unanswered(&direct.machine),
        }
        if let Some(leader) = &mut self.leader
            && direct.token >> 16 == leader.claim
        {
            leader.direct_reply(direct, reply, now);
        }
    }

    /// Machine types are stored, so that a restart in a cloud outage can judge jobs.
    fn pump_types(&mut self) {
        let now = self.now();
        if self.mirror.loaded
            && self.mirror.types.is_none()
            && !self.mirror.unreadable.contains_key(store::TYPES)
            && !self.types_call
            && now >= self.retry_types
        {
            self.types_call = true;
            self.call_cloud(CloudRequest::Types);
        }
    }

    fn cloud_reply(&mut self, request: &CloudRequest, reply: CloudReply) {
        let now = self.now();
        if let CloudRequest::Types = request {
            self.types_call = false;
            self.retry_types = now + Duration::from_secs(2);
            if let (CloudReply::Types(types), None) = (&reply, &self.mirror.types) {
                let changes = vec![store::put(store::TYPES, types)];
                let conditions = vec![store::when(store::TYPES, 0)];
                self.call(
                    Purpose::StoreTypes,
                    StateRequest::Txn {
                        conditions,
                        changes,
                    },
                );
            }
        }
        if let Some(leader) = &mut self.leader
            && let Some(next) = leader.cloud_reply(request, reply, now)
        {
            self.call_cloud(next);
        }
    }

    fn state_reply(&mut self, purpose: Purpose, reply: StateReply) {
        let now = self.now();
        self.state_answered(&reply);
        match purpose {
            Purpose::Load { after } => self.loaded(after, reply),
            Purpose::Watch => {
                self.watching = false;
                // Each change ends the watch of every node, and all of them ask
                // again: with many small jobs that alone was more than the state
                // service takes, and submissions were refused. Events gather, but for the
                // leader: what it learns late starts late.
                let pause = match (self.take_events(reply), self.leads()) {
                    (false, _) => BACK_OFF,
                    (true, true) => Duration::ZERO,
                    (true, false) => self.config.watch_every,
                };
                self.retry_watch = now + pause;
            }
            Purpose::Sync => {
                let proven = self.take_events(reply);
                self.synced(proven);
            }
            Purpose::Grant => self.granted(reply),
            Purpose::Renew { sent } => self.renewed(sent, reply),
            Purpose::Verify {
                claim,
                renewed,
                asked,
            } => self.verified(claim, renewed, asked, reply),
            Purpose::Claim {
                lease,
                sent,
                former,
            } => self.claimed(lease, sent, former, reply),
            Purpose::Probe => self.probed(&reply),
            Purpose::Sign => self.signed(),
            Purpose::Settle => self.settled(),
            Purpose::Vacate { claim } => self.vacated(claim, &reply),
            Purpose::Accept {
                request,
                spec,
                accepted_ms,
                tries,
            } => self.accepted(request, spec, accepted_ms, tries, reply),
            Purpose::Cancel { request, id, ends } => self.cancelled(request, id, ends, reply),
            Purpose::ReadFinal(read) => self.final_read(*read, reply),
            Purpose::ReadRange { request, id, then } => {
                self.range_read(request, id, then, &reply);
            }
            Purpose::Announce => self.announced(&reply),
            Purpose::StoreGeneration => self.generation_stored(&reply),
            Purpose::Order { request } => self.order_stored(request, &reply),
            Purpose::Migrate(about, asked) => self.migrated(about, asked, reply),
            Purpose::StoreDrains { request, drains } => {
                self.drains_stored(request, drains, &reply);
            }
            Purpose::StoreApart { claim, record } => self.apart_stored(claim, record, &reply),
            Purpose::TakeOver(loading) => self.take_over_reply(loading, reply),
            Purpose::Save(save) => self.saved(save, reply),
            Purpose::StoreTypes => {}
            Purpose::Cloud(_) | Purpose::Direct(_) => {}
        }
    }

    fn keep_final(&mut self, id: JobId, record: FinalRecord) {
        if self.finals.insert(id.clone(), record).is_none() {
            self.finals_order.push_back(id);
            if self.finals_order.len() > FINALS_KEPT
                && let Some(oldest) = self.finals_order.pop_front()
            {
                self.finals.remove(&oldest);
            }
        }
    }

    /// What the leader answers to a report, whichever way it came; none where
    /// this node does not lead.
    fn lead_report(&mut self, report: &WorkerReport) -> Option<Answer> {
        let answer = self.answer_report(report);
        if let Some(Answer::Commands { .. }) = answer {
            self.zone_answered(&report.zone);
        }
        answer
    }

    fn answer_report(&mut self, report: &WorkerReport) -> Option<Answer> {
        let now = self.now();
        if !self.leads() {
            return None;
        }
        let Some(leader) = &mut self.leader else {
            return self.keep_alive(report);
        };
        if report.token >> 16 > leader.claim {
            // Somebody with a later claim has commanded it.
            self.drop_leader("a worker knows a higher token");
            return None;
        }
        if leader.queue.dirty && now >= leader.next_pass {
            leader.pass(now);
        }
        Some(match leader.report(report, now) {
            Some((token, commands)) => Answer::Commands { token, commands },
            None => Answer::Redirect(None),
        })
    }
}
