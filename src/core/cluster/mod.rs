//! The leader's cluster state, its jobs and machines: where each task is or may be.
//!
//! This module owns the state itself: how a failover builds it, and how jobs and machines
//! are added and removed. `reports` takes in what workers report, `placement` changes where
//! tasks are to run, and `leases` ends what time ends.
//!
//! None of them may take a task that was sent for gone from its machine before one of these: a
//! newer report that can't have been overtaken by its start, a new session of the worker, the
//! end of the worker's lease as proven by the claim, or the return of the machine. Until then
//! the task may still run there, and must not be started elsewhere.

mod leases;
mod placement;
mod reports;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tracing::info;

pub use super::active_job::{Job, Slot};
use super::{
    admission::StartRate,
    assignment_index::{AssignmentIndex, ShardRecord},
    config::Config,
    drain::Progress,
    handover::HandoverSnapshot,
    job::JobId,
    machine::{Command, Machine, MachineId, MachineType, Phase, Stop},
    membership::reachability::Reachability,
    provisioning::Provisioning,
    queue::Queue,
    reconciliation::Reconciler,
    results::Results,
    scale_out::arrivals::Arrivals,
    state_cache::LiveJob,
    store::progress_key,
};
use kiteyard_maintenance::{
    drain::{Drains, WaitReason},
    ledger::Ledger,
};

/// The picture of one leader, built at its failover and dropped with its claim.
pub struct ClusterState {
    /// Settings of the node.
    pub(super) config: Arc<Config>,
    /// Number of the claim that this leader leads by.
    pub(super) claim: u64,
    /// The token that machines begin with under this leader, higher than any of earlier claims.
    pub token: u64,
    /// Machine types that the cloud rents.
    pub(super) types: Arc<Vec<MachineType>>,
    /// Active jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines that are rented, and what is or may be on them.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Jobs with waiting tasks, in the order in which they are tried.
    pub queue: Queue,
    /// Machines being rented and returned.
    pub(super) provisioning: Provisioning,
    /// Until then an unresponsive machine may hold tasks that a previous leader started.
    pub(super) resolve_by: Duration,
    /// The claim is known to have stood at this time.
    pub proven: Duration,
    /// The last number given to a start, see `next_attempt`.
    attempts: u64,
    /// No scheduling pass before this time.
    pub(super) next_pass: Duration,
    /// No round of periodic work before this time.
    pub(super) next_round: Duration,
    /// When the first parked job is to be tried again.
    pub(super) next_retry: Option<Duration>,
    /// What was counted since this leader took over.
    pub(super) counts: Counts,
    /// When the log shows them next.
    pub(super) next_log: Duration,
    /// The time of day.
    pub wall_ms: u64,
    /// How far run times of a class are from their estimates, as a logarithm.
    pub runtime_corrections: HashMap<Arc<str>, f64>,
    /// Which jobs each machine may run, as stored.
    pub assignment_index: AssignmentIndex,
    /// Counted licences, if there are any.
    pub(super) licence_ledger: Option<kiteyard_licences::ledger::Ledger>,
    /// What the silence of machines means, and the zones where somebody is to be asked.
    pub reachability: Reachability,
    /// What may be taken down on purpose.
    pub(super) ledger: Ledger,
    /// Machines that operators want emptied, and how far they are.
    pub(super) drains: Drains,
    pub(super) draining: BTreeMap<MachineId, Progress>,
    /// Why nothing is emptied now: by the node, and as it was logged.
    pub(super) drains_pause: Option<WaitReason>,
    pub(super) drains_paused: Option<WaitReason>,
    /// When it took over, and how far it is with that.
    pub(super) leading_since: Duration,
    pub(super) reconciler: Reconciler,
    /// Zones where nobody may be sent a start.
    pub(super) withheld: BTreeSet<Arc<str>>,
    /// When the leases of zones are over that a previous leader left unanswered.
    zone_lease_ends: BTreeMap<Arc<str>, Duration>,
    pub(super) zones_to_probe: BTreeSet<Arc<str>>,
    /// Machines that were returned, for the node to forget.
    pub(super) returned_machines: Vec<MachineId>,
    /// How fast tasks start.
    pub(super) start_rate: StartRate,
    /// What usually comes.
    pub(super) arrivals: Arrivals,
    /// What is let in no more, see `priority_to_close`.
    pub(super) closed_priority: Option<super::job::Priority>,
    /// What the previous leader told of machines not met yet.
    pub(super) pending_handover: HandoverSnapshot,
    /// Stored results of jobs that are over.
    pub(super) garbage: Vec<String>,
}

/// What a failover found in the state service.
pub struct StoredClusterState<'a> {
    /// Jobs that are neither done nor cancelled.
    pub jobs: &'a BTreeMap<JobId, LiveJob>,
    /// Stored results by job; some may be of jobs that are over.
    pub progress: BTreeMap<JobId, Results>,
    /// The assignment index's shards, each with its number and revision.
    pub assignment_index: Vec<(u32, ShardRecord, u64)>,
    /// By then every lease that a previous leader kept alive is over.
    pub resolve_by: Duration,
    /// The same for zones that nobody has answered for a while.
    pub zone_lease_ends: BTreeMap<Arc<str>, Duration>,
}

/// Commands for one worker, to be sent straight to it.
#[derive(Debug, Clone)]
pub struct Direct {
    /// The worker's machine.
    pub machine: MachineId,
    /// Where the worker listens.
    pub addr: std::net::SocketAddr,
    /// The token that the commands are valid under.
    pub token: u64,
    /// The worker's session that they are meant for.
    pub session: u64,
    /// What the worker is to do, in this order.
    pub commands: Vec<Command>,
}

/// Counters that the log shows now and then.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Tasks placed on machines.
    pub starts: u64,
    /// Tasks stopped for others of a higher priority.
    pub victims: u64,
    /// Machines held for waiting tasks.
    pub nominations: u64,
    /// Nominations given up again.
    pub cleared: u64,
    /// Machines whose lease ended.
    pub lost: u64,
}

impl ClusterState {
    /// Builds the state from what a failover found stored.
    pub fn new(
        config: Arc<Config>,
        claim: u64,
        types: Arc<Vec<MachineType>>,
        found: StoredClusterState<'_>,
        now: Duration,
    ) -> Self {
        let StoredClusterState {
            jobs,
            progress,
            assignment_index,
            resolve_by,
            zone_lease_ends,
        } = found;
        let mut cluster = Self::empty(config, claim, types, resolve_by, zone_lease_ends, now);
        cluster.licence_ledger = cluster.new_ledger(now);
        for (shard, record, version) in assignment_index {
            cluster.load_shard(shard, &record, version, now);
        }
        cluster.load_jobs(jobs, progress);
        info!(
            claim,
            jobs = cluster.jobs.len(),
            machines = cluster.machines.len(),
            "failover complete"
        );
        cluster
    }

    /// Without jobs and machines.
    fn empty(
        config: Arc<Config>,
        claim: u64,
        types: Arc<Vec<MachineType>>,
        resolve_by: Duration,
        zone_lease_ends: BTreeMap<Arc<str>, Duration>,
        now: Duration,
    ) -> Self {
        Self {
            claim,
            token: claim << 16,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            queue: Queue::default(),
            provisioning: Provisioning::new(format!("{}-{claim}", config.node)),
            resolve_by,
            zone_lease_ends,
            withheld: BTreeSet::new(),
            ledger: Ledger::new(config.budgets()),
            drains: Drains::default(),
            draining: BTreeMap::new(),
            drains_pause: None,
            drains_paused: None,
            leading_since: now,
            reconciler: Reconciler::new(&config, now),
            proven: Duration::ZERO,
            attempts: claim << 24,
            next_pass: Duration::ZERO,
            next_round: Duration::ZERO,
            next_retry: None,
            counts: Counts::default(),
            next_log: Duration::ZERO,
            wall_ms: 0,
            runtime_corrections: HashMap::new(),
            assignment_index: AssignmentIndex::new(config.value_most),
            licence_ledger: None,
            reachability: Reachability::default(),
            zones_to_probe: BTreeSet::new(),
            returned_machines: Vec::new(),
            start_rate: StartRate::new(config.report),
            arrivals: Arrivals::default(),
            closed_priority: None,
            pending_handover: HandoverSnapshot::default(),
            garbage: Vec::new(),
            types,
            config,
        }
    }

    /// Adds the jobs that were found; results of others are of no more use.
    fn load_jobs(
        &mut self,
        jobs: &BTreeMap<JobId, LiveJob>,
        mut progress: BTreeMap<JobId, Results>,
    ) {
        for (id, job) in jobs {
            let done = progress.remove(id).unwrap_or_default();
            self.add_job(id, job, done);
        }
        for (id, results) in progress {
            self.discard_results(&id, &results);
        }
    }

    fn machine(
        &self,
        id: MachineId,
        machine_type: Arc<str>,
        zone: Arc<str>,
        spot: bool,
        now: Duration,
    ) -> Machine {
        let size = self
            .types
            .iter()
            .find(|t| t.name == machine_type)
            .map(|t| t.size)
            .unwrap_or_default();
        let mut machine = Machine::new(id, machine_type, zone, spot, size, now);
        machine.token = self.token;
        machine
    }

    /// The machine of this name, added if it is not known yet.
    pub fn ensure_machine(
        &mut self,
        id: &MachineId,
        machine_type: &Arc<str>,
        zone: &Arc<str>,
        spot: bool,
        now: Duration,
    ) -> &mut Machine {
        if !self.machines.contains_key(id) {
            let mut machine =
                self.machine(id.clone(), machine_type.clone(), zone.clone(), spot, now);
            self.restore_machine(&mut machine);
            self.machines.insert(id.clone(), machine);
        }
        self.machines.get_mut(id).expect("just inserted")
    }

    /// A number that no other start of any leader has.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.attempts
    }

    /// Adds an active job with its stored results, unless it is there already.
    pub fn add_job(&mut self, id: &JobId, live: &LiveJob, saved: impl Into<Results>) {
        if self.jobs.contains_key(id) {
            return;
        }
        let job = Job::new(live, saved.into());
        self.arrivals.came(&job.spec, job.accepted_ms);
        self.queue.push(id, &job);
        self.jobs.insert(id.clone(), job);
        self.request_pass();
    }

    /// The job is done or cancelled: whatever is left of it stops.
    pub fn remove_job(&mut self, id: &JobId, now: Duration) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        self.discard_results(id, &job.saved);
        self.queue.remove(id);
        for machine in self.machines.values_mut() {
            machine.tasks.retain(|(task, _), placement| {
                if task.job != *id {
                    return true;
                }
                placement.foreign = true;
                placement.stop = Some(Stop::new(Duration::ZERO, now));
                placement.phase != Phase::Decided
            });
        }
        self.requeue();
    }

    /// What is stored of a job's results is of no more use.
    fn discard_results(&mut self, id: &JobId, saved: &Results) {
        for chunk in saved.chunks() {
            self.garbage.push(progress_key(id, chunk));
        }
    }

    /// The machine was returned, with all that was on it.
    pub fn machine_gone(&mut self, id: &MachineId, now: Duration) {
        self.end_session(id, now);
        if let Some(machine) = self.machines.remove(id) {
            self.returned_machines.push(id.clone());
            self.assignment_index.remove_machine(&machine);
        }
    }

    /// Asks for a scheduling pass soon.
    pub fn request_pass(&mut self) {
        self.queue.dirty = true;
    }

    /// Any end of a task, and any change of machines, gives the parked another chance.
    pub fn requeue(&mut self) {
        self.queue.unpark(&self.jobs);
        self.request_pass();
    }

    /// Whether any machine may hold tasks that are not known.
    pub fn unresolved(&self) -> bool {
        self.machines.values().any(|m| m.unresolved)
    }

    /// Done and running tasks of a job, for display.
    pub fn job_counts(&self, id: &JobId) -> Option<(u32, u32)> {
        let job = self.jobs.get(id)?;
        Some((job.done_count, job.running))
    }
}
