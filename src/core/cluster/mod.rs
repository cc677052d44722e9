//! The leader's cluster state: its jobs and machines, and the location of each task.
//!
//! This module defines the state, builds it at a failover, and adds and removes jobs and machines.
//! `reports` processes worker reports, `attempts` decides which reported attempt holds a task's
//! slot, `placement` changes task placements, and `leases` handles expired leases.
//!
//! A task whose start was sent counts as gone from its machine only after one of these events: a
//! newer report that the start can't have overtaken, a new session of the worker, the end of the
//! worker's lease, confirmed by a verification of the claim, or the release of the machine. Until
//! then the task may still run there and must not be started elsewhere.

mod attempts;
mod command_log;
mod leases;
mod placement;
mod reports;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tracing::{info, warn};

pub use super::active_job::{Job, Slot};
use super::{
    admission::StartRate,
    assignment_index::{AssignmentIndex, ShardRecord},
    attempt_numbers::AttemptNumbers,
    config::Config,
    drain::DrainProgress,
    fencing,
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
use attempts::DisplacedAttempts;
use command_log::CommandCounts;
use kiteyard_maintenance::{
    drain::{Drains, WaitReason},
    ledger::Ledger,
};
use kiteyard_recovery::worker_leases::WorkerLeases;

/// State of one leader, built at its failover and dropped with its claim.
pub struct ClusterState {
    pub(super) config: Arc<Config>,
    /// Number of the claim that this leader holds.
    pub(super) claim: u64,
    /// Initial token of machines under this leader, higher than any token of earlier claims.
    pub token: u64,
    /// Machine types that the cloud rents.
    pub(super) types: Arc<Vec<MachineType>>,
    /// Active jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Rented machines with their known and possible tasks.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Attempts of placed tasks that do not hold their task's slot.
    displaced_attempts: DisplacedAttempts,
    /// Jobs with waiting tasks, in scheduling order.
    pub queue: Queue,
    /// Machines being rented and released.
    pub(super) provisioning: Provisioning,
    /// Times by which the leases of the workers have expired.
    pub(super) worker_leases: WorkerLeases,
    /// Latest time at which the claim is known to have been valid.
    pub claim_verified_at: Duration,
    /// Numbers for new attempts, see `next_attempt`.
    pub attempt_numbers: AttemptNumbers,
    /// Whether the lack of attempt numbers was logged.
    attempt_numbers_ran_out: bool,
    /// Earliest time of the next scheduling pass.
    pub(super) next_pass: Duration,
    /// Earliest time of the next round of periodic work.
    pub(super) next_round: Duration,
    /// Time at which the first parked job is retried.
    pub(super) next_retry: Option<Duration>,
    /// Counters since this leader took over.
    pub(super) counts: Counts,
    /// Counters of direct commands.
    pub(super) command_counts: CommandCounts,
    /// Time at which the counters are logged next.
    pub(super) next_log: Duration,
    /// Unix time in milliseconds.
    pub wall_ms: u64,
    /// Deviation of run times from their estimates by job class, as a logarithm.
    pub runtime_corrections: HashMap<Arc<str>, f64>,
    /// Stored index of the jobs that each machine may run.
    pub assignment_index: AssignmentIndex,
    /// Ledger of counted licences, if any are configured.
    pub(super) licence_ledger: Option<kiteyard_licences::ledger::Ledger>,
    /// Reachability of zones by their silent machines, and the zones to be probed.
    pub reachability: Reachability,
    /// Ledger of voluntary disruptions.
    pub(super) disruption_ledger: Ledger,
    /// Drains that operators requested, and their progress by machine.
    pub(super) drains: Drains,
    pub(super) draining: BTreeMap<MachineId, DrainProgress>,
    /// Reason why draining is paused, as set by the node and as last logged.
    pub(super) drains_pause: Option<WaitReason>,
    pub(super) logged_drains_pause: Option<WaitReason>,
    /// Time of this leader's failover, and the state of its reconciliation.
    pub(super) leading_since: Duration,
    pub(super) reconciler: Reconciler,
    /// Zones whose machines must not be sent starts.
    pub(super) start_blocked_zones: BTreeSet<Arc<str>>,
    pub(super) zones_to_probe: BTreeSet<Arc<str>>,
    /// Released machines that the node has yet to forget.
    pub(super) released_machines: Vec<MachineId>,
    /// Rate at which tasks start.
    pub(super) start_rate: StartRate,
    /// Statistics of usual job arrivals.
    pub(super) arrivals: Arrivals,
    /// Highest priority whose jobs are not placed for now, see `priority_to_close`.
    pub(super) closed_priority: Option<super::job::Priority>,
    /// Handover data of machines that have not reported yet.
    pub(super) pending_handover: HandoverSnapshot,
    /// Keys of stored results of finished jobs, to be deleted.
    pub(super) obsolete_keys: Vec<String>,
}

/// Contents of the state service as read by a failover.
pub struct StoredClusterState<'a> {
    /// Jobs that are neither done nor cancelled.
    pub jobs: &'a BTreeMap<JobId, LiveJob>,
    /// Stored results by job; may include finished jobs.
    pub progress: BTreeMap<JobId, Results>,
    /// Shards of the assignment index, each with its number and revision.
    pub assignment_index: Vec<(u32, ShardRecord, u64)>,
    /// Leases of the workers, including those renewed during the failover.
    pub worker_leases: WorkerLeases,
}

/// Commands to be sent directly to one worker.
#[derive(Debug, Clone)]
pub struct DirectCommands {
    pub machine: MachineId,
    /// Address on which the worker listens.
    pub addr: std::net::SocketAddr,
    /// Token under which the commands are valid.
    pub token: u64,
    /// Worker session for which the commands are meant.
    pub session: u64,
    /// Commands in the order of execution.
    pub commands: Vec<Command>,
}

/// Counters that are logged periodically.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Tasks placed on machines.
    pub starts: u64,
    /// Tasks preempted for other jobs.
    pub victims: u64,
    /// Machines nominated for waiting tasks.
    pub nominations: u64,
    /// Nominations that were withdrawn.
    pub cleared: u64,
    /// Machines whose lease expired.
    pub lost: u64,
}

impl ClusterState {
    /// Builds the state from the stored contents that a failover read.
    pub fn new(
        config: Arc<Config>,
        claim: u64,
        types: Arc<Vec<MachineType>>,
        stored: StoredClusterState<'_>,
        now: Duration,
    ) -> Self {
        let StoredClusterState {
            jobs,
            progress,
            assignment_index,
            worker_leases,
        } = stored;
        let mut cluster = Self::empty(config, claim, types, worker_leases, now);
        cluster.licence_ledger = cluster.new_licence_ledger(now);
        for (shard, record, version) in assignment_index {
            cluster.load_shard(shard, &record, version, now);
        }
        cluster.load_jobs(jobs, progress);
        info!(
            claim,
            token = cluster.token,
            jobs = cluster.jobs.len(),
            machines = cluster.machines.len(),
            "failover complete"
        );
        cluster
    }

    /// Builds a state without jobs and machines.
    fn empty(
        config: Arc<Config>,
        claim: u64,
        types: Arc<Vec<MachineType>>,
        worker_leases: WorkerLeases,
        now: Duration,
    ) -> Self {
        Self {
            claim,
            token: fencing::first_token(claim),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            displaced_attempts: DisplacedAttempts::default(),
            queue: Queue::default(),
            provisioning: Provisioning::new(format!("{}-{claim}", config.node)),
            worker_leases,
            start_blocked_zones: BTreeSet::new(),
            disruption_ledger: Ledger::new(config.budgets()),
            drains: Drains::default(),
            draining: BTreeMap::new(),
            drains_pause: None,
            logged_drains_pause: None,
            leading_since: now,
            reconciler: Reconciler::new(&config, now),
            claim_verified_at: Duration::ZERO,
            attempt_numbers: AttemptNumbers::new(claim),
            attempt_numbers_ran_out: false,
            next_pass: Duration::ZERO,
            next_round: Duration::ZERO,
            next_retry: None,
            counts: Counts::default(),
            command_counts: CommandCounts::default(),
            next_log: Duration::ZERO,
            wall_ms: 0,
            runtime_corrections: HashMap::new(),
            assignment_index: AssignmentIndex::new(config.max_value_bytes),
            licence_ledger: None,
            reachability: Reachability::default(),
            zones_to_probe: BTreeSet::new(),
            released_machines: Vec::new(),
            start_rate: StartRate::new(config.report_interval),
            arrivals: Arrivals::default(),
            closed_priority: None,
            pending_handover: HandoverSnapshot::default(),
            obsolete_keys: Vec::new(),
            types,
            config,
        }
    }

    /// Adds the active jobs and discards stored results of all others.
    fn load_jobs(
        &mut self,
        jobs: &BTreeMap<JobId, LiveJob>,
        mut progress: BTreeMap<JobId, Results>,
    ) {
        for (id, job) in jobs {
            let saved = progress.remove(id).unwrap_or_default();
            self.add_job(id, job, saved);
        }
        for (id, results) in progress {
            self.discard_results(&id, &results);
        }
    }

    fn new_machine(
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

    /// Returns the machine with this id, adding it if it is unknown.
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
                self.new_machine(id.clone(), machine_type.clone(), zone.clone(), spot, now);
            self.restore_machine(&mut machine);
            self.machines.insert(id.clone(), machine);
        }
        self.machines.get_mut(id).expect("just inserted")
    }

    /// Returns an attempt number that no other start of any leader has, or `None` if such numbers
    /// have run out until the state service's revision advances.
    pub fn next_attempt(&mut self) -> Option<u64> {
        let number = self.attempt_numbers.take();
        if number.is_none() && !self.attempt_numbers_ran_out {
            self.attempt_numbers_ran_out = true;
            warn!("attempt numbers have run out: starts wait for a change in the state service");
        }
        number
    }

    /// Records a revision that was read from the state service while the claim was valid.
    pub fn record_revision(&mut self, revision: u64) {
        if self.attempt_numbers.record_revision(revision) {
            self.attempt_numbers_ran_out = false;
            self.requeue();
        }
    }

    /// Adds an active job with its stored results, unless it is already present.
    pub fn add_job(&mut self, id: &JobId, live: &LiveJob, saved: impl Into<Results>) {
        if self.jobs.contains_key(id) {
            return;
        }
        let job = Job::new(live, saved.into());
        self.arrivals.record(&job.spec, job.accepted_ms);
        self.queue.push(id, &job);
        self.jobs.insert(id.clone(), job);
        self.request_pass();
    }

    /// Removes a finished or cancelled job and stops its remaining tasks.
    pub fn remove_job(&mut self, id: &JobId, now: Duration) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        self.discard_results(id, &job.saved);
        self.queue.remove(id);
        self.displaced_attempts.remove_job(id);
        for machine in self.machines.values_mut() {
            machine.tasks.retain(|(task, _), placement| {
                if task.job != *id {
                    return true;
                }
                placement.is_orphaned = true;
                placement.stop = Some(Stop::new(Duration::ZERO, now));
                placement.phase != Phase::Decided
            });
        }
        self.requeue();
    }

    /// Schedules the stored results of a job for deletion.
    fn discard_results(&mut self, id: &JobId, saved: &Results) {
        for chunk in saved.chunks() {
            self.obsolete_keys.push(progress_key(id, chunk));
        }
    }

    /// Removes a released machine together with its tasks.
    pub fn remove_machine(&mut self, id: &MachineId, now: Duration) {
        self.end_session(id, now);
        if let Some(machine) = self.machines.remove(id) {
            self.worker_leases.remove(id);
            self.released_machines.push(id.clone());
            self.assignment_index.remove_machine(&machine);
        }
    }

    /// Requests a scheduling pass.
    pub fn request_pass(&mut self) {
        self.queue.pass_requested = true;
    }

    /// Unparks all jobs and requests a pass; called when a task ends or a machine changes.
    pub fn requeue(&mut self) {
        self.queue.unpark(&self.jobs);
        self.request_pass();
    }

    /// Returns whether any machine may hold unknown tasks.
    pub fn has_unresolved_machines(&self) -> bool {
        self.machines.values().any(|m| m.unresolved)
    }

    /// Returns the numbers of done and running tasks of a job, for display.
    pub fn job_counts(&self, id: &JobId) -> Option<(u32, u32)> {
        let job = self.jobs.get(id)?;
        Some((job.done_count, job.running))
    }
}
