//! The service as a state machine: it takes inputs and returns what to send, write and answer.
//! Nothing here reads a clock or uses a socket.

pub mod active_job;
pub mod admission;
pub mod assignment_index;
pub mod attempt_numbers;
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
pub mod fencing;
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
use cluster::{ClusterState, DirectCommands};
use config::Config;
use election::Election;
use heartbeat_forwarding::ForwardedReports;
use job::{JobId, TerminalRecord};
use machine::{DirectReply, MachineType, WorkerReport};
use membership::{Membership, reachability::HeartbeatPath};
use provisioning::{CloudReply, CloudRequest};
use state_cache::StateCache;
use store::{StateReply, StateRequest};
use user_requests::{JobQuery, UserRequests};

pub use message::{Answer, CallId, Clock, INTERNAL, Input, Output, RequestId};

/// Timeout of a request to the state service. For a watch, its wait is added.
const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which the state service answers a watch without events.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Delay before a failed request to the state service is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Minimum time between two periodic rounds of the leader.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of terminal states kept in memory, so that polls for them need no request.
const MAX_CACHED_TERMINAL_STATES: usize = 4096;

/// Requests that result from a round of the leader.
struct RoundWork {
    /// Whether a decision waits for a new verification of the claim.
    needs_verification: bool,
    direct_commands: Vec<DirectCommands>,
    cloud_request: Option<CloudRequest>,
}

/// Runs a scheduling pass if one is due.
fn run_due_pass(cluster: &mut ClusterState, now: Duration) {
    if cluster.queue.pass_requested && now >= cluster.next_pass {
        cluster.run_pass(now);
    }
}

/// Controller node: its state cache, its role and everything that waits for an answer.
pub struct Node {
    config: Arc<Config>,
    clock: Clock,
    outputs: Vec<Output>,
    last_call: CallId,
    calls: HashMap<CallId, Call>,
    limits: limits::WriteLimits,
    cache: StateCache,
    loading: bool,
    load_retry_at: Duration,
    watching: bool,
    watch_retry_at: Duration,
    user_requests: UserRequests,
    terminal_cache: HashMap<JobId, TerminalRecord>,
    terminal_cache_order: VecDeque<JobId>,
    election: Election,
    cluster: Option<ClusterState>,
    types_requested: bool,
    types_retry_at: Duration,
    write_queue: write_queue::WriteQueue,
    rollout: rollout::Rollout,
    partitioned_zones: partitioned_zones::PartitionedZones,
    maintenance: maintenance::Maintenance,
    dependencies: dependencies::Dependencies,
    /// Terminal states of jobs by range, if they are stored that way.
    ranges: terminal_states::TerminalRanges,
    forwarded: ForwardedReports,
    heartbeats: heartbeat::Heartbeats,
    heartbeat_writer: stored_heartbeat::HeartbeatWriter,
    membership: Membership,
    /// Snapshot that the leader sent for its successor.
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
            forwarded: ForwardedReports::new(config.options.incarnation),
            heartbeats: heartbeat::Heartbeats::default(),
            heartbeat_writer: stored_heartbeat::HeartbeatWriter::default(),
            membership: Membership::new(config.report_interval, config.worker_lease_bound),
            config,
            clock: Clock {
                now: Duration::ZERO,
                wall_ms: 0,
            },
            outputs: Vec::new(),
            last_call: 0,
            calls: HashMap::new(),
            cache: StateCache::default(),
            loading: false,
            load_retry_at: Duration::ZERO,
            watching: false,
            watch_retry_at: Duration::ZERO,
            user_requests: UserRequests::default(),
            terminal_cache: HashMap::new(),
            terminal_cache_order: VecDeque::new(),
            election: Election::default(),
            cluster: None,
            handover: handover::HandoverSnapshot::default(),
            next_handover: Duration::ZERO,
            types_requested: false,
            types_retry_at: Duration::ZERO,
        }
    }

    /// Handles one input and returns the resulting outputs.
    pub fn step(&mut self, clock: Clock, input: Input) -> Vec<Output> {
        self.clock = clock;
        match input {
            Input::Submit { request, spec } => self.submit(request, spec),
            Input::Status { request, id } => self.queue_query(request, id, JobQuery::Status),
            Input::Withdraw { request, id } => self.queue_query(request, id, JobQuery::Withdraw),
            Input::Ready { request } => self.answer(request, Answer::Ready(self.is_ready())),
            Input::Licences { request } => self.answer_licences(request),
            Input::Rollout { request, action } => self.handle_rollout_action(request, action),
            Input::Maintenance { request, action } => {
                self.handle_maintenance_request(request, action)
            }
            Input::Shutdown => self.begin_shutdown(),
            Input::Report { request, report } => self.report_received(request, report),
            Input::State { call, reply } => self.state_service_answered(call, reply),
            Input::Cloud { call, reply } => self.cloud_answered(call, reply),
            Input::Direct { call, reply } => self.worker_answered(call, reply),
            Input::Peer { from, message } => self.peer_message_received(from, message),
            Input::Tick => {}
        }
        self.drive();
        std::mem::take(&mut self.outputs)
    }

    /// Returns whether this node leads and has completed the failover.
    pub fn has_taken_over(&self) -> bool {
        self.cluster.is_some() && self.is_leader()
    }

    /// Returns whether there are machines whose tasks are not known yet.
    pub fn has_unresolved_machines(&self) -> bool {
        self.cluster
            .as_ref()
            .is_some_and(ClusterState::has_unresolved_machines)
    }

    /// Time until which outputs that a step decided as the leader may be sent.
    pub fn may_act_until(&self) -> Duration {
        self.election.may_act_until()
    }

    fn is_ready(&self) -> bool {
        self.cache.loaded
            && self.cache.machine_types.is_some()
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
        self.outputs.push(Output::Answer { request, answer });
    }

    /// Runs everything that is due now.
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
        self.drive_sync();
        self.drive_forwarding();
        self.drive_handover();
        self.drive_leader();
    }

    /// Runs the leader's periodic work once the failover is complete.
    fn drive_leader(&mut self) {
        let now = self.now();
        if !self.is_leader() {
            return;
        }
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.wall_ms = self.clock.wall_ms;
        // A round visits every machine, and hundreds of reports arrive each second, so one
        // round serves all reports since the last one.
        if now >= cluster.next_round {
            self.run_leader_round();
        } else if self.write_queue.has_new_replies {
            // Writes do not wait for the round: rounds are rarer in a larger fleet, and fewer
            // writes would be sent.
            self.drive_write_queue();
        }
    }

    fn run_leader_round(&mut self) {
        let verified_at = self.claim_verified_at();
        self.schedule_next_round();
        self.update_reachability();
        let Some(work) = self.plan_leader_round(verified_at) else {
            return;
        };
        for direct in work.direct_commands {
            self.call_worker(direct);
        }
        if let Some(request) = work.cloud_request {
            self.call_cloud(request);
        }
        if work.needs_verification {
            self.expedite_verification();
        }
        self.drive_write_queue();
    }

    /// Schedules the next round. The pause grows with the number of machines.
    fn schedule_next_round(&mut self) {
        let now = self.now();
        if let Some(cluster) = &mut self.cluster {
            let pause = self.config.round_pause_per_machine * cluster.machines.len() as u32;
            cluster.next_round = now + MIN_ROUND_INTERVAL + pause;
        }
    }

    /// Plans a round. Returns `None` if this node has just stopped leading.
    fn plan_leader_round(&mut self, verified_at: Duration) -> Option<RoundWork> {
        let now = self.now();
        let cluster = self.cluster.as_mut()?;
        cluster.claim_verified_at = verified_at;
        cluster.record_revision(self.cache.cursor);
        cluster.tick(now);
        let needs_verification = cluster.needs_claim_verification(now);
        run_due_pass(cluster, now);
        Some(RoundWork {
            needs_verification,
            direct_commands: cluster.direct_commands(now),
            cloud_request: cluster.due_cloud_request(now),
        })
    }

    fn direct_reply(&mut self, direct: &DirectCommands, reply: DirectReply) {
        let now = self.now();
        match &reply {
            DirectReply::Executed(report) | DirectReply::Refused(report) => {
                self.record_heartbeat(&report.machine, &report.zone, HeartbeatPath::Reply);
            }
            DirectReply::Unclear => self.membership.detector.record_unanswered(&direct.machine),
        }
        if let Some(cluster) = &mut self.cluster
            && fencing::claim_of(direct.token) == cluster.claim
        {
            cluster.apply_direct_reply(direct, reply, now);
        }
    }

    /// Fetches the machine types if none are stored. They are stored so that a node restarted in
    /// a cloud outage can decide whether a job can run.
    fn drive_types(&mut self) {
        let now = self.now();
        if self.cache.loaded
            && self.cache.machine_types.is_none()
            && !self.cache.unreadable.contains_key(store::MACHINE_TYPES_KEY)
            && !self.types_requested
            && now >= self.types_retry_at
        {
            self.types_requested = true;
            self.call_cloud(CloudRequest::Types);
        }
    }

    /// Stores the machine types, or keeps them in this process only if they are too large.
    fn store_types(&mut self, types: &[MachineType]) {
        let (bytes, most) = (store::encoded_len(&types), self.limits.value_bytes);
        if bytes > most {
            warn!(
                bytes,
                most, "machine types exceed the value limit and are kept in memory only"
            );
            self.cache.machine_types = Some(Arc::new(types.to_vec()));
            return;
        }
        let request = StateRequest::Txn {
            conditions: vec![store::if_version(store::MACHINE_TYPES_KEY, 0)],
            changes: vec![store::put(store::MACHINE_TYPES_KEY, &types)],
        };
        self.call(Purpose::StoreTypes, request);
    }

    fn cloud_reply(&mut self, request: &CloudRequest, reply: CloudReply) {
        let now = self.now();
        if let CloudRequest::Types = request {
            self.types_requested = false;
            self.types_retry_at = now + Duration::from_secs(2);
            if let (CloudReply::Types(types), None) = (&reply, &self.cache.machine_types) {
                self.store_types(types);
            }
        }
        if let Some(cluster) = &mut self.cluster
            && let Some(next) = cluster.apply_cloud_reply(request, reply, now)
        {
            self.call_cloud(next);
        }
    }

    fn state_service_answered(&mut self, call: CallId, reply: StateReply) {
        if let Some(call) = self.calls.remove(&call) {
            self.update_write_limits(call.write_size.as_ref(), &reply);
            self.state_reply(call.purpose, reply);
        }
    }

    fn cloud_answered(&mut self, call: CallId, reply: CloudReply) {
        if let Some(Purpose::Cloud(request)) = self.take_purpose(call) {
            self.cloud_reply(&request, reply);
        }
    }

    fn worker_answered(&mut self, call: CallId, reply: DirectReply) {
        if let Some(Purpose::Direct(direct)) = self.take_purpose(call) {
            self.direct_reply(&direct, reply);
        }
    }

    /// Passes a reply of the state service to the code that sent the request.
    fn state_reply(&mut self, purpose: Purpose, reply: StateReply) {
        self.record_state_reply(&reply);
        match purpose {
            Purpose::Load { is_next_page } => self.load_answered(is_next_page, reply),
            Purpose::Watch => self.watch_answered(reply),
            Purpose::Sync => self.sync_answered(reply),
            Purpose::Grant => self.grant_answered(reply),
            Purpose::Renew { sent } => self.renewal_answered(sent, reply),
            Purpose::Verify {
                claim,
                renewal_sent,
                sent,
            } => self.verification_answered(claim, renewal_sent, sent, reply),
            Purpose::Claim {
                lease,
                sent,
                previous,
            } => self.claim_answered(lease, sent, previous, reply),
            Purpose::Probe => self.probe_answered(&reply),
            Purpose::StoredHeartbeat => self.heartbeat_write_answered(),
            Purpose::StoreSettledClaim => self.settled_claim_answered(),
            Purpose::RemoveLeaderKey { claim } => self.key_removal_answered(claim, &reply),
            Purpose::Accept {
                request,
                spec,
                accepted_ms,
                attempts,
            } => self.accepted(request, spec, accepted_ms, attempts, reply),
            Purpose::Cancel {
                request,
                id,
                states,
            } => self.cancelled(request, id, states, reply),
            Purpose::ReadTerminalState(read) => self.terminal_state_read(*read, reply),
            Purpose::ReadDependency(check) => self.dependency_read(*check, &reply),
            Purpose::ReadRange { request, id, then } => {
                self.range_read(request, id, then, &reply);
            }
            Purpose::Announce => self.announced(&reply),
            Purpose::StoreGeneration => self.generation_stored(&reply),
            Purpose::Order { request } => self.order_stored(request, &reply),
            Purpose::Migrate(scope, request) => self.migration_answered(scope, request, reply),
            Purpose::StoreDrains { request, drains } => {
                self.handle_drains_stored(request, drains, &reply);
            }
            Purpose::StorePartitions { claim, record } => {
                self.partitioned_zones_answered(claim, record, &reply)
            }
            Purpose::Failover(read) => self.failover_read_answered(read, reply),
            Purpose::QueuedWrite(write) => self.write_answered(write, reply),
            Purpose::StoreTypes | Purpose::Cloud(_) | Purpose::Direct(_) => {}
        }
    }

    fn watch_answered(&mut self, reply: StateReply) {
        self.watching = false;
        // Each change ends the watch of every node, and each node sends another one. With many
        // small jobs, these alone exceeded the state service's request limit, and submissions
        // were refused. So followers pause to batch events. The leader does not, since a delay
        // would postpone the start of jobs.
        let pause = match (self.apply_watch_reply(reply), self.is_leader()) {
            (false, _) => RETRY_DELAY,
            (true, true) => Duration::ZERO,
            (true, false) => self.config.watch_interval,
        };
        self.watch_retry_at = self.now() + pause;
    }

    fn sync_answered(&mut self, reply: StateReply) {
        let is_current = self.apply_watch_reply(reply);
        self.synced(is_current);
    }

    fn cache_terminal_state(&mut self, id: JobId, record: TerminalRecord) {
        self.record_end_in_graph(&id, record);
        if self.terminal_cache.insert(id.clone(), record).is_none() {
            self.terminal_cache_order.push_back(id);
            if self.terminal_cache_order.len() > MAX_CACHED_TERMINAL_STATES
                && let Some(oldest) = self.terminal_cache_order.pop_front()
            {
                self.terminal_cache.remove(&oldest);
            }
        }
    }

    /// Answers a report, whether it was received directly or forwarded. Returns `None` if this
    /// node does not lead.
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
            return self.answer_during_failover(report);
        };
        if fencing::claim_of(report.token) > cluster.claim {
            // The worker has received commands under a later claim.
            self.drop_leadership("a worker knows a higher token");
            return None;
        }
        run_due_pass(cluster, now);
        Some(match cluster.process_report(report, now) {
            Some((token, commands)) => Answer::Commands { token, commands },
            None => Answer::Redirect(None),
        })
    }
}
