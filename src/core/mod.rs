//! The service as a state machine: inputs go in, and what to send, write and
//! answer comes out. Nothing here reads a clock or touches a socket.

pub mod active_job;
pub mod admission;
pub mod assignment_index;
mod calls;
mod capacity_snapshot;
pub mod cluster;
pub mod commands;
pub mod config;
pub mod consolidation;
pub mod deadline_ordering;
pub mod dependencies;
pub mod drain;
pub mod election;
pub mod failures;
pub mod handover;
pub mod heartbeat;
pub mod heartbeat_forwarding;
pub mod image_locality;
pub mod images;
pub mod job;
pub mod licences;
pub mod limits;
pub mod machine;
pub mod maintenance;
pub mod membership;
mod message;
pub mod migrate;
pub mod partitioned_zones;
pub mod peer_message;
pub mod provisioning;
pub mod queue;
pub mod reconciliation;
pub mod results;
pub mod rollout;
mod scale_out;
pub mod scheduling;
pub mod state_cache;
pub mod store;
pub mod stored_heartbeat;
pub mod terminal_states;
pub mod unresponsive;
pub mod user_requests;
mod watch;
pub mod write_queue;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tracing::warn;

use calls::{Call, Purpose};
use cluster::{ClusterState, Direct};
use config::Config;
use election::Election;
use heartbeat_forwarding::ForwardedHeartbeats;
use job::{JobId, TerminalRecord};
use machine::{DirectReply, MachineType, WorkerReport};
use membership::{Membership, reachability::HeartbeatPath};
use provisioning::{CloudReply, CloudRequest};
use state_cache::StateCache;
use store::{StateReply, StateRequest};
use user_requests::{Question, UserRequests};

pub use message::{Answer, CallId, Clock, INTERNAL, Input, Output, RequestId};

const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
const WATCH_WAIT: Duration = Duration::from_secs(10);
const BACK_OFF: Duration = Duration::from_millis(300);
/// The least time between two rounds of what the leader does by itself.
const ROUND: Duration = Duration::from_millis(20);
/// Final states kept in memory, so that polls for them need no request.
const TERMINAL_CACHE_MOST: usize = 4096;

/// What a round of the leader has found to be done by others.
struct RoundWork {
    /// Something waits for a fresh proof of the claim.
    needs_proof: bool,
    directs: Vec<Direct>,
    cloud: Option<CloudRequest>,
}

/// Schedules what waits, where that is due.
fn run_due_pass(cluster: &mut ClusterState, now: Duration) {
    if cluster.queue.pass_requested && now >= cluster.next_pass {
        cluster.run_pass(now);
    }
}

/// One controller node.
pub struct Node {
    config: Arc<Config>,
    clock: Clock,
    out: Vec<Output>,
    next_call: CallId,
    calls: HashMap<CallId, Call>,
    limits: limits::WriteLimits,
    cache: StateCache,
    loading: bool,
    retry_load: Duration,
    watching: bool,
    retry_watch: Duration,
    user_requests: UserRequests,
    terminal_cache: HashMap<JobId, TerminalRecord>,
    terminal_cache_order: VecDeque<JobId>,
    election: Election,
    cluster: Option<ClusterState>,
    types_call: bool,
    retry_types: Duration,
    write_queue: write_queue::WriteQueue,
    rollout: rollout::Rollout,
    partitioned_zones: partitioned_zones::PartitionedZones,
    maintenance: maintenance::Maintenance,
    dependencies: dependencies::Dependencies,
    /// Terminal states of jobs by range, where they are stored so.
    ranges: terminal_states::TerminalRanges,
    forwarded: ForwardedHeartbeats,
    heartbeats: heartbeat::Heartbeats,
    heartbeat_writer: stored_heartbeat::HeartbeatWriter,
    membership: Membership,
    /// What the leader told for the next one.
    handover: handover::HandoverSnapshot,
    next_handover: Duration,
}

impl Node {
    pub fn new(config: Config) -> Self {
        let config = Arc::new(config);
        Self {
            write_queue: write_queue::WriteQueue::new(&config),
            limits: limits::WriteLimits::new(&config),
            rollout: rollout::Rollout::new(config.options.rollout.as_deref()),
            partitioned_zones: partitioned_zones::PartitionedZones::default(),
            maintenance: maintenance::Maintenance::default(),
            dependencies: dependencies::Dependencies::default(),
            ranges: terminal_states::TerminalRanges::default(),
            forwarded: ForwardedHeartbeats::new(config.options.incarnation),
            heartbeats: heartbeat::Heartbeats::default(),
            heartbeat_writer: stored_heartbeat::HeartbeatWriter::default(),
            membership: Membership::new(config.report, config.worker_lease_bound),
            config,
            clock: Clock {
                now: Duration::ZERO,
                wall_ms: 0,
            },
            out: Vec::new(),
            next_call: 0,
            calls: HashMap::new(),
            cache: StateCache::default(),
            loading: false,
            retry_load: Duration::ZERO,
            watching: false,
            retry_watch: Duration::ZERO,
            user_requests: UserRequests::default(),
            terminal_cache: HashMap::new(),
            terminal_cache_order: VecDeque::new(),
            election: Election::default(),
            cluster: None,
            handover: handover::HandoverSnapshot::default(),
            next_handover: Duration::ZERO,
            types_call: false,
            retry_types: Duration::ZERO,
        }
    }

    /// Takes one input and returns everything that follows from it.
    pub fn step(&mut self, clock: Clock, input: Input) -> Vec<Output> {
        self.clock = clock;
        match input {
            Input::Submit { request, spec } => self.submit(request, spec),
            Input::Status { request, id } => self.queue_question(request, id, Question::Status),
            Input::Withdraw { request, id } => self.queue_question(request, id, Question::Withdraw),
            Input::Ready { request } => self.answer(request, Answer::Ready(self.is_ready())),
            Input::Licences { request } => self.licences(request),
            Input::Rollout { request, ask } => self.rollout_asked(request, ask),
            Input::Maintenance { request, ask } => self.handle_maintenance_request(request, ask),
            Input::Retire => self.retire(),
            Input::Report { request, report } => self.report(request, report),
            Input::State { call, reply } => self.state_service_answered(call, reply),
            Input::Cloud { call, reply } => self.cloud_answered(call, reply),
            Input::Direct { call, reply } => self.worker_answered(call, reply),
            Input::Peer { from, message } => self.peer_message(from, message),
            Input::Tick => {}
        }
        self.drive();
        std::mem::take(&mut self.out)
    }

    /// It leads and has taken over.
    pub fn places(&self) -> bool {
        self.cluster.is_some() && self.is_leader()
    }

    /// There are machines whose tasks it does not know yet.
    pub fn unresolved(&self) -> bool {
        self.cluster.as_ref().is_some_and(ClusterState::unresolved)
    }

    /// Until then what a step has decided as the leader may go out.
    pub fn may_act_until(&self) -> Duration {
        self.election.may_act_until()
    }

    fn is_ready(&self) -> bool {
        self.cache.loaded
            && self.cache.types.is_some()
            && !self.is_refused_alone()
            && self.accepts_requests()
    }

    fn now(&self) -> Duration {
        self.clock.now
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        if request == INTERNAL {
            return;
        }
        self.out.push(Output::Answer { request, answer });
    }

    /// Whatever is due now.
    fn drive(&mut self) {
        self.drive_watch();
        self.drive_types();
        self.drive_heartbeats();
        self.drive_rollout();
        self.drive_election();
        self.drive_stored_heartbeat();
        self.drive_partitions();
        self.drive_maintenance();
        self.drive_dependencies();
        self.drive_proofs();
        self.drive_forwarding();
        self.drive_handover();
        self.drive_leader();
    }

    /// What a leader does by itself once it has taken over.
    fn drive_leader(&mut self) {
        let now = self.now();
        if !self.is_leader() {
            return;
        }
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.wall_ms = self.clock.wall_ms;
        // A round looks at every machine, and reports come by the hundred a second: it is
        // done for all that came meanwhile.
        if now >= cluster.next_round {
            self.run_leader_round();
        } else if self.write_queue.has_news {
            // Writes do not wait for the round, or the larger the fleet the fewer would
            // go out.
            self.drive_write_queue();
        }
    }

    fn run_leader_round(&mut self) {
        let proven = self.proven();
        self.schedule_next_round();
        self.update_reachability();
        let Some(work) = self.plan_leader_round(proven) else {
            return;
        };
        for direct in work.directs {
            self.call_worker(direct);
        }
        if let Some(request) = work.cloud {
            self.call_cloud(request);
        }
        if work.needs_proof {
            self.expedite_proof();
        }
        self.drive_write_queue();
    }

    /// The larger the fleet, the longer the pause between two rounds.
    fn schedule_next_round(&mut self) {
        let now = self.now();
        if let Some(cluster) = &mut self.cluster {
            let pause = self.config.round_per_machine * cluster.machines.len() as u32;
            cluster.next_round = now + ROUND + pause;
        }
    }

    /// Decides what is to be sent; none where this node has just stopped leading.
    fn plan_leader_round(&mut self, proven: Duration) -> Option<RoundWork> {
        let now = self.now();
        let cluster = self.cluster.as_mut()?;
        cluster.proven = proven;
        cluster.tick(now);
        let needs_proof = cluster.needs_proof(now);
        run_due_pass(cluster, now);
        Some(RoundWork {
            needs_proof,
            directs: cluster.direct_commands(now),
            cloud: cluster.cloud_work(now),
        })
    }

    fn direct_reply(&mut self, direct: &Direct, reply: DirectReply) {
        let now = self.now();
        match &reply {
            DirectReply::Executed(report) | DirectReply::Refused(report) => {
                self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Reply);
            }
            DirectReply::Unclear => self.membership.detector.record_unanswered(&direct.machine),
        }
        if let Some(cluster) = &mut self.cluster
            && direct.token >> 16 == cluster.claim
        {
            cluster.direct_reply(direct, reply, now);
        }
    }

    /// Machine types are stored, so that a restart in a cloud outage can judge jobs.
    fn drive_types(&mut self) {
        let now = self.now();
        if self.cache.loaded
            && self.cache.types.is_none()
            && !self.cache.unreadable.contains_key(store::TYPES)
            && !self.types_call
            && now >= self.retry_types
        {
            self.types_call = true;
            self.call_cloud(CloudRequest::Types);
        }
    }

    /// Stores the machine types; where they are too large for that, this process keeps them.
    fn store_types(&mut self, types: &[MachineType]) {
        let (bytes, most) = (store::encoded_len(&types), self.limits.value_bytes);
        if bytes > most {
            warn!(bytes, most, "machine types are not stored: too large");
            self.cache.types = Some(Arc::new(types.to_vec()));
            return;
        }
        let request = StateRequest::Txn {
            conditions: vec![store::when(store::TYPES, 0)],
            changes: vec![store::put(store::TYPES, &types)],
        };
        self.call(Purpose::StoreTypes, request);
    }

    fn cloud_reply(&mut self, request: &CloudRequest, reply: CloudReply) {
        let now = self.now();
        if let CloudRequest::Types = request {
            self.types_call = false;
            self.retry_types = now + Duration::from_secs(2);
            if let (CloudReply::Types(types), None) = (&reply, &self.cache.types) {
                self.store_types(types);
            }
        }
        if let Some(cluster) = &mut self.cluster
            && let Some(next) = cluster.cloud_reply(request, reply, now)
        {
            self.call_cloud(next);
        }
    }

    fn state_service_answered(&mut self, call: CallId, reply: StateReply) {
        if let Some(call) = self.calls.remove(&call) {
            self.note_write_reply(call.write.as_ref(), &reply);
            self.state_reply(call.purpose, reply);
        }
    }

    fn cloud_answered(&mut self, call: CallId, reply: CloudReply) {
        if let Some(Purpose::Cloud(request)) = self.purpose_of(call) {
            self.cloud_reply(&request, reply);
        }
    }

    fn worker_answered(&mut self, call: CallId, reply: DirectReply) {
        if let Some(Purpose::Direct(direct)) = self.purpose_of(call) {
            self.direct_reply(&direct, reply);
        }
    }

    /// Hands an answer of the state service to whatever asked for it.
    fn state_reply(&mut self, purpose: Purpose, reply: StateReply) {
        self.state_answered(&reply);
        match purpose {
            Purpose::Load { after } => self.loaded(after, reply),
            Purpose::Watch => self.watch_answered(reply),
            Purpose::Sync => self.sync_answered(reply),
            Purpose::Grant => self.granted(reply),
            Purpose::Renew { sent } => self.renewed(sent, reply),
            Purpose::Verify {
                claim,
                renewed,
                asked,
            } => self.verified(claim, renewed, asked, reply),
            Purpose::Claim { lease, sent, prior } => self.claimed(lease, sent, prior, reply),
            Purpose::Probe => self.probed(&reply),
            Purpose::StoredHeartbeat => self.heartbeat_stored(),
            Purpose::StoreSettledClaim => self.settled_claim_stored(),
            Purpose::RemoveLeaderKey { claim } => self.leader_key_removed(claim, &reply),
            Purpose::Accept {
                request,
                spec,
                accepted_ms,
                tries,
            } => self.accepted(request, spec, accepted_ms, tries, reply),
            Purpose::Cancel { request, id, ends } => self.cancelled(request, id, ends, reply),
            Purpose::ReadTerminalState(read) => self.terminal_state_read(*read, reply),
            Purpose::ReadNeed(check) => self.need_read(*check, &reply),
            Purpose::ReadRange { request, id, then } => {
                self.range_read(request, id, then, &reply);
            }
            Purpose::Announce => self.announced(&reply),
            Purpose::StoreGeneration => self.generation_stored(&reply),
            Purpose::Order { request } => self.order_stored(request, &reply),
            Purpose::Migrate(about, asked) => self.migrated(about, asked, reply),
            Purpose::StoreDrains { request, drains } => {
                self.handle_drains_stored(request, drains, &reply);
            }
            Purpose::StorePartitions { claim, record } => self.zones_stored(claim, record, &reply),
            Purpose::Failover(loading) => self.failover_reply(loading, reply),
            Purpose::QueuedWrite(write) => self.write_answered(write, reply),
            Purpose::StoreTypes | Purpose::Cloud(_) | Purpose::Direct(_) => {}
        }
    }

    fn watch_answered(&mut self, reply: StateReply) {
        self.watching = false;
        // Each change ends the watch of every node, and all of them ask again: with many
        // small jobs that alone was more than the state service takes, and submissions were
        // refused. Events gather, but for the leader: what it learns late starts late.
        let pause = match (self.take_events(reply), self.is_leader()) {
            (false, _) => BACK_OFF,
            (true, true) => Duration::ZERO,
            (true, false) => self.config.watch_every,
        };
        self.retry_watch = self.now() + pause;
    }

    fn sync_answered(&mut self, reply: StateReply) {
        let proven = self.take_events(reply);
        self.synced(proven);
    }

    fn cache_terminal_state(&mut self, id: JobId, record: TerminalRecord) {
        self.record_end_in_graph(&id, record);
        if self.terminal_cache.insert(id.clone(), record).is_none() {
            self.terminal_cache_order.push_back(id);
            if self.terminal_cache_order.len() > TERMINAL_CACHE_MOST
                && let Some(oldest) = self.terminal_cache_order.pop_front()
            {
                self.terminal_cache.remove(&oldest);
            }
        }
    }

    /// What the leader answers to a report, whichever way it came; none where
    /// this node does not lead.
    fn answer_as_leader(&mut self, report: &WorkerReport) -> Option<Answer> {
        let answer = self.answer_report(report);
        if let Some(Answer::Commands { .. }) = answer {
            self.record_zone_answer(&report.zone);
        }
        answer
    }

    fn answer_report(&mut self, report: &WorkerReport) -> Option<Answer> {
        let now = self.now();
        if !self.is_leader() {
            return None;
        }
        let Some(cluster) = &mut self.cluster else {
            return self.keep_lease_alive(report);
        };
        if report.token >> 16 > cluster.claim {
            // Somebody with a later claim has commanded it.
            self.drop_leadership("a worker knows a higher token");
            return None;
        }
        run_due_pass(cluster, now);
        Some(match cluster.report(report, now) {
            Some((token, commands)) => Answer::Commands { token, commands },
            None => Answer::Redirect(None),
        })
    }
}
