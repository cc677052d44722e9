//! The leader's cluster state, its jobs and machines: where each task is or may be.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tracing::{debug, info};

pub use super::active_job::{Job, Slot};
use super::{
    admission::StartRate,
    assignment_index::{AssignmentIndex, ShardRecord},
    config::Config,
    drain::Progress,
    handover::HandoverSnapshot,
    job::{JobId, Kind, TaskId},
    machine::{
        Command, ExitReason, Machine, MachineId, MachineType, Phase, Placement, Standing, Stop,
        TaskPhase, WorkerReport,
    },
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
    drain::{Drains, Waits},
    ledger::Ledger,
};
use kiteyard_recovery::adoption::AdoptionDecision;

/// The picture of one leader, built at its failover and dropped with its claim.
pub struct ClusterState {
    pub config: Arc<Config>,
    pub claim: u64,
    pub token: u64,
    pub types: Arc<Vec<MachineType>>,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<MachineId, Machine>,
    pub queue: Queue,
    pub provisioning: Provisioning,
    /// Until then an unresponsive machine may hold tasks that a previous leader started.
    pub resolve_by: Duration,
    /// The claim is known to have stood at this time.
    pub proven: Duration,
    attempts: u64,
    pub next_pass: Duration,
    pub next_round: Duration,
    /// When the first parked job is to be tried again.
    pub(super) next_retry: Option<Duration>,
    pub counts: Counts,
    pub(super) next_log: Duration,
    /// The time of day.
    pub wall_ms: u64,
    /// How far run times of a class are from their estimates, as a logarithm.
    pub runtime_corrections: HashMap<Arc<str>, f64>,
    pub assignment_index: AssignmentIndex,
    /// Counted licences, if there are any.
    pub licence_ledger: Option<kiteyard_licences::ledger::Ledger>,
    /// What the silence of machines means, and the zones where somebody is to be asked.
    pub reachability: Reachability,
    /// What may be taken down on purpose.
    pub(super) ledger: Ledger,
    /// Machines that operators want emptied, and how far they are.
    pub(super) drains: Drains,
    pub(super) draining: BTreeMap<MachineId, Progress>,
    /// Why nothing is emptied now: by the node, and as it was logged.
    pub(super) drains_pause: Option<Waits>,
    pub(super) drains_paused: Option<Waits>,
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
    pub start_rate: StartRate,
    /// What usually comes.
    pub(super) arrivals: Arrivals,
    /// What is let in no more, see `priority_to_close`.
    pub(super) closed_priority: Option<super::job::Priority>,
    /// What the previous leader told of machines not met yet.
    pub(super) pending_handover: HandoverSnapshot,
    /// Stored results of jobs that are over.
    pub garbage: Vec<String>,
}

/// What a failover found in the state service.
pub struct StoredClusterState<'a> {
    pub jobs: &'a BTreeMap<JobId, LiveJob>,
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
    pub machine: MachineId,
    pub addr: std::net::SocketAddr,
    pub token: u64,
    pub session: u64,
    pub commands: Vec<Command>,
}

/// Counters that the log shows now and then.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub starts: u64,
    pub victims: u64,
    pub nominations: u64,
    pub cleared: u64,
    pub lost: u64,
}

impl ClusterState {
    pub fn new(
        config: Arc<Config>,
        claim: u64,
        types: Arc<Vec<MachineType>>,
        found: StoredClusterState<'_>,
        now: Duration,
    ) -> Self {
        let StoredClusterState {
            jobs: live,
            mut progress,
            assignment_index,
            resolve_by,
            zone_lease_ends,
        } = found;
        let mut cluster = Self {
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
        };
        cluster.licence_ledger = cluster.new_ledger(now);
        for (shard, record, version) in assignment_index {
            cluster.load_shard(shard, &record, version, now);
        }
        for (id, job) in live {
            let done = progress.remove(id).unwrap_or_default();
            cluster.add_job(id, job, done);
        }
        for (id, set) in progress {
            cluster.discard_results(&id, &set);
        }
        info!(
            claim,
            jobs = cluster.jobs.len(),
            machines = cluster.machines.len(),
            "failover complete"
        );
        cluster
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

    pub fn unresolved(&self) -> bool {
        self.machines.values().any(|m| m.unresolved)
    }

    /// Takes in a report and says what to answer, or none where it came too late.
    pub fn report(&mut self, report: &WorkerReport, now: Duration) -> Option<(u64, Vec<Command>)> {
        let id = report.machine.clone();
        if self.provisioning.was_returned(&id) {
            // It is gone: this was held back on its way, and nobody waits for an answer.
            debug!(machine = %id, "report of a machine that was returned");
            return None;
        }
        let token = self.token;
        self.ensure_machine(&id, &report.machine_type, &report.zone, report.spot, now);
        let before = self.availability(&id, now);
        let machine = self.machines.get_mut(&id)?;
        // A report of a session that is over, or older than one seen already,
        // was held back on its way; nobody waits for its answer.
        let late = report.session <= machine.dead_session
            || report.session < machine.session
            || (report.session == machine.session && report.seq <= machine.report_seq);
        if late {
            debug!(machine = %id, report.session, report.seq, "late report");
            return None;
        }
        let new_session = report.session > machine.session;
        if new_session {
            machine.session = report.session;
            machine.report_seq = 0;
            machine.content_seq = 0;
        }
        machine.addr = Some(report.addr);
        machine.heard_at = Some(now);
        machine.commands_unanswered = false;
        machine.answered_at = Some(now);
        if matches!(machine.standing, Standing::Booting | Standing::Lost) {
            info!(machine = %id, kind = %machine.machine_type, zone = %machine.zone, "machine up");
            machine.standing = Standing::Up;
            machine.idle_since = now;
        }
        // Only a worker that knows this leader's token has answered after the
        // claim: an older report could have been overtaken by a start.
        machine.fenced = report.token >= token;
        machine.unresolved &= !machine.fenced;
        if let Some(notice) = report.notice_s
            && machine.notice_at.is_none()
        {
            let notice = crate::settings::seconds(notice);
            info!(machine = %id, ?notice, "spot notice");
            machine.notice_at = Some(now + notice);
        }
        if new_session {
            let tasks = self.machines[&id].tasks.len();
            if tasks > 0 {
                info!(machine = %id, tasks, "worker's lease ran out");
            }
            self.end_session(&id, now);
        }
        let machine = self.machines.get_mut(&id)?;
        machine.report_seq = report.seq;
        // A direct command's answer may have brought newer news already.
        if report.seq > machine.content_seq {
            machine.content_seq = report.seq;
            self.apply_report(&id, report, true, now);
        }
        if self.availability(&id, now) != before {
            self.requeue();
        }
        let machine = self.machines.get_mut(&id)?;
        // While a direct command is under way nothing else is ordered, so that
        // the two can't be executed in the wrong order.
        let commands = match machine.direct {
            true => Vec::new(),
            false => self.commands(&id, Some(report.seq)),
        };
        Some((self.machines[&id].token, commands))
    }

    /// A new session has none of the tasks of the one before.
    fn end_session(&mut self, id: &MachineId, now: Duration) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let gone = std::mem::take(&mut machine.tasks);
        machine.idle_since = now;
        for ((task, _), placement) in gone {
            // One that exited was counted then. Counting it again would free a
            // task that runs elsewhere by now, and it would be started twice.
            if !placement.exited() {
                self.placement_ended(id, &task, &placement, None, now);
            }
        }
    }

    /// The worker's list of tasks against what is known of the machine.
    pub(super) fn apply_report(
        &mut self,
        id: &MachineId,
        report: &WorkerReport,
        regular: bool,
        now: Duration,
    ) {
        // Most of a report repeats the one before.
        let machine = &self.machines[id];
        let news: Vec<((TaskId, u64), TaskPhase)> = report
            .tasks
            .iter()
            .map(|reported| ((reported.task.clone(), reported.attempt), reported.phase))
            .filter(|(key, phase)| {
                let known = machine.tasks.get(key);
                known.is_none_or(|placement| placement.phase != Phase::Seen(*phase))
            })
            .collect();
        for (key, phase) in news {
            self.apply_task_report(id, key, phase, now);
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // All that was reported is known now. Mostly there is nothing else.
        if machine.tasks.len() <= report.tasks.len() {
            return;
        }
        let listed: BTreeSet<(&TaskId, u64)> = report
            .tasks
            .iter()
            .map(|reported| (&reported.task, reported.attempt))
            .collect();
        let gone: Vec<_> = machine
            .tasks
            .iter()
            .filter(|(key, placement)| {
                !listed.contains(&(&key.0, key.1))
                    && match placement.phase {
                        Phase::Decided => false,
                        Phase::Sent { seq, direct } => {
                            regular
                                && report.seq > seq
                                && direct.is_none_or(|token| report.token > token)
                        }
                        Phase::Seen(_) => true,
                    }
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            let machine = self.machines.get_mut(id).expect("still there");
            let placement = machine.tasks.remove(&key).expect("just listed");
            if !machine.busy() {
                machine.idle_since = now;
            }
            if !placement.exited() {
                self.placement_ended(id, &key.0, &placement, None, now);
            }
        }
    }

    fn apply_task_report(
        &mut self,
        id: &MachineId,
        key: (TaskId, u64),
        phase: TaskPhase,
        now: Duration,
    ) {
        let adopted = !self.machines[id].tasks.contains_key(&key);
        if adopted {
            self.adopt(id, &key, phase, now);
        }
        let machine = self.machines.get_mut(id).expect("known machine");
        let placement = machine.tasks.get_mut(&key).expect("adopted");
        let before = placement.phase;
        if matches!(before, Phase::Sent { .. }) && !adopted {
            self.start_rate.started(now);
        }
        // Listed twice in one report, it has ended but once.
        if before == Phase::Seen(phase) {
            return;
        }
        placement.phase = Phase::Seen(phase);
        // One that ran before this leader saw it has run for nobody knows how long:
        // counted from now, the estimates would look too long.
        if phase == TaskPhase::Running && !adopted {
            placement.running_since = Some(now);
        }
        let placement = placement.clone();
        let has_image = phase.on_machine() || matches!(phase, TaskPhase::Exited(ExitReason::Done));
        if has_image && let Some(spec) = &placement.spec {
            self.image_seen(id, spec, now);
        }
        if phase == TaskPhase::Waiting {
            self.has_gathered(id, &key, now);
        }
        let ran = matches!(before, Phase::Seen(TaskPhase::Running));
        if !placement.foreign
            && let Some(job) = self.jobs.get_mut(&key.0.job)
        {
            if phase == TaskPhase::Running {
                job.running += 1;
            } else if ran {
                job.running -= 1;
            }
        }
        if let TaskPhase::Exited(why) = phase {
            if let (ExitReason::Done, Some(since)) = (why, placement.running_since) {
                self.record_run_time(&key.0.job, now - since);
            }
            let machine = self.machines.get_mut(id).expect("known machine");
            if !machine.busy() {
                machine.idle_since = now;
            }
            self.placement_ended(
                id,
                &key.0,
                &Placement {
                    phase: Phase::Seen(TaskPhase::Waiting),
                    ..placement
                },
                Some(why),
                now,
            );
        }
    }

    /// A task in a report that this leader did not start: one that a former
    /// leader started, or one that has no business there.
    fn adopt(&mut self, id: &MachineId, key: &(TaskId, u64), phase: TaskPhase, now: Duration) {
        let decision = self.decide_adoption(&key.0, phase);
        let ours = decision == AdoptionDecision::Adopt;
        let job = self.jobs.get_mut(&key.0.job);
        let spec = job.as_ref().map(|job| job.spec.clone());
        if let (Some(job), true) = (job, ours) {
            job.slots[key.0.index as usize] = Slot::On(id.clone());
            job.placed += 1;
        }
        let machine = self.machines.get_mut(id).expect("known machine");
        let stop = (!ours).then_some(Stop::new(Duration::ZERO, now));
        machine.tasks.insert(
            key.clone(),
            Placement {
                phase: Phase::Sent {
                    seq: 0,
                    direct: None,
                },
                need: spec.as_ref().map_or(machine.size, |spec| spec.need),
                spec,
                since: now,
                running_since: None,
                stop,
                foreign: !ours,
                offered: 0,
            },
        );
        if decision == AdoptionDecision::Finish {
            self.finish(&key.0, now);
        }
    }

    /// A placement has come to its end; `why` is none where it just went.
    fn placement_ended(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        placement: &Placement,
        why: Option<ExitReason>,
        now: Duration,
    ) {
        self.queue.dirty = true;
        if why == Some(ExitReason::Done) {
            if !placement.foreign {
                self.release_slot(id, task, placement);
            }
            self.finish(task, now);
        } else if !placement.foreign {
            self.release_slot(id, task, placement);
            self.failed(id, task, why, now);
        }
        self.requeue();
    }

    /// The task waits again, provided that it is on this machine and no other.
    fn release_slot(&mut self, id: &MachineId, task: &TaskId, placement: &Placement) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let slot = &mut job.slots[task.index as usize];
        if matches!(slot, Slot::On(machine) if machine == id) {
            *slot = Slot::Waiting;
            job.placed -= 1;
            job.waiting.push(task.index);
            if placement.phase == Phase::Seen(TaskPhase::Running) {
                job.running -= 1;
            }
            self.queue.push(&task.job, job);
        }
    }

    fn finish(&mut self, task: &TaskId, now: Duration) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // Replicas run until their job is cancelled.
        if job.spec.kind == Kind::Service || task.index >= job.spec.tasks {
            return;
        }
        let all = match job.spec.kind {
            Kind::Gang => 0..job.spec.tasks,
            _ => task.index..task.index + 1,
        };
        for index in all {
            if job.done.contains(index) {
                continue;
            }
            job.done.insert(index);
            job.done_count += 1;
            job.unsaved_since.get_or_insert(now);
            match &job.slots[index as usize] {
                Slot::On(_) => job.placed -= 1,
                Slot::Waiting | Slot::Done => {}
            }
            let slot = std::mem::replace(&mut job.slots[index as usize], Slot::Done);
            if let Slot::On(machine) = slot
                && let Some(machine) = self.machines.get_mut(&machine)
            {
                // Nothing of a done task is needed any more.
                for ((t, _), p) in &mut machine.tasks {
                    if t.job == task.job && t.index == index && !p.exited() {
                        if p.phase == Phase::Seen(TaskPhase::Running) {
                            job.running -= 1;
                        }
                        p.foreign = true;
                        p.stop.get_or_insert(Stop::new(Duration::ZERO, now));
                    }
                }
            }
        }
    }

    /// Stops what is left of a gang; it starts again once all of it is gone.
    pub fn break_gang(&mut self, id: &JobId, grace: Duration, now: Duration) {
        let mut unsent = Vec::new();
        for machine in self.machines.values_mut() {
            machine.tasks.retain(|(task, _), p| {
                if task.job != *id || p.foreign || p.exited() {
                    return true;
                }
                if p.phase == Phase::Decided {
                    unsent.push((machine.id.clone(), task.clone(), p.clone()));
                    return false;
                }
                p.stop.get_or_insert(Stop::new(grace, now));
                true
            });
        }
        for (machine, task, placement) in unsent {
            self.release_slot(&machine, &task, &placement);
        }
    }

    /// Tells a task to stop. One that was never sent is just not started.
    pub fn stop(&mut self, id: &MachineId, key: &(TaskId, u64), grace: Duration, now: Duration) {
        let gang = self
            .jobs
            .get(&key.0.job)
            .is_some_and(|job| job.spec.kind == Kind::Gang);
        if gang {
            self.break_gang(&key.0.job.clone(), grace, now);
            return;
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(placement) = machine.tasks.get_mut(key) else {
            return;
        };
        if placement.phase == Phase::Decided {
            let placement = machine.tasks.remove(key).expect("just seen");
            self.release_slot(id, &key.0, &placement);
            self.requeue();
        } else if placement.stop.is_none() {
            placement.stop = Some(Stop::new(grace, now));
        }
    }

    /// Puts a waiting task on a machine.
    pub fn place(&mut self, id: &MachineId, task: TaskId, attempt: u64, now: Duration) {
        let job = self.jobs.get_mut(&task.job).expect("job of a waiting task");
        job.slots[task.index as usize] = Slot::On(id.clone());
        job.placed += 1;
        // One nomination fewer is needed: the one of this machine, if there is one.
        if let Some(at) = job.nominations.iter().position(|m| m == id) {
            job.nominations.remove(at);
        }
        let waiting = job.waiting_count() as usize;
        job.nominations.truncate(waiting);
        let machine = self.machines.get_mut(id).expect("known machine");
        debug!(task = %task, machine = %id, attempt, "place");
        self.counts.starts += 1;
        machine.tasks.insert(
            (task, attempt),
            Placement {
                phase: Phase::Decided,
                need: job.spec.need,
                spec: Some(job.spec.clone()),
                since: now,
                running_since: None,
                stop: None,
                foreign: false,
                offered: 0,
            },
        );
    }

    /// What time brings: leases that are over, and unresponsive machines proven empty.
    ///
    /// A lease ends only if no other leader has answered the worker meanwhile. One
    /// that has taken this one's place can have done so from its claim on; so the
    /// time that counts is not now, but when this claim was last known to stand.
    pub fn tick(&mut self, now: Duration) {
        self.log_counts(now);
        self.reconcile(now);
        // Where nothing else happens, nothing else would bring it back to the heap.
        if self.next_retry.take_if(|at| now >= *at).is_some() {
            self.requeue();
        }
        let proven = self.proven;
        let lost: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Up || m.standing == Standing::Leaving)
            .filter(|m| m.session > m.dead_session)
            .filter(|m| self.lease_end(m).is_some_and(|at| proven > at))
            .map(|m| m.id.clone())
            .collect();
        for id in &lost {
            let machine = self.machines.get_mut(id).expect("just listed");
            machine.dead_session = machine.session;
            machine.fenced = false;
            // Heard once under this claim, so its lease was counted from then.
            machine.unresolved = false;
            if machine.standing == Standing::Up {
                machine.standing = Standing::Lost;
            }
            self.counts.lost += 1;
            info!(machine = %id, tasks = machine.tasks.len(), "machine lost");
            self.end_session(id, now);
        }
        self.delay_after_mass_loss(lost.len(), now);
        let unresolved = self.machines.values().filter(|m| m.unresolved);
        let empty = unresolved.filter(|m| proven > self.resolved_by(m));
        let empty: Vec<MachineId> = empty.map(|m| m.id.clone()).collect();
        if empty.is_empty() {
            return;
        }
        for id in empty {
            info!(machine = %id, "unresponsive machine proven empty");
            let machine = self.machines.get_mut(&id).expect("just listed");
            machine.unresolved = false;
            if machine.standing == Standing::Booting {
                machine.standing = Standing::Lost;
            }
        }
        self.requeue();
    }

    /// By then a machine whose tasks are not known is empty, if it stays silent: one that
    /// this leader answered, a lease after that.
    fn resolved_by(&self, machine: &Machine) -> Duration {
        let zone = self.zone_lease_ends.get(&machine.zone).copied();
        let unmet = zone.map_or(self.resolve_by, |over| over.min(self.resolve_by));
        self.lease_end(machine).unwrap_or(unmet)
    }

    /// When the lease of a worker that stays silent is over. One that has not seen
    /// this leader's token may have been answered by a previous leader until that
    /// one stopped: an answer to a report that was held back proves nothing.
    fn lease_end(&self, machine: &Machine) -> Option<Duration> {
        let over = machine.answered_at? + self.config.worker_lease_bound;
        Some(match machine.fenced {
            true => over,
            false => over.max(self.resolve_by),
        })
    }

    /// A lease would be over if the claim were known to stand still.
    pub fn needs_proof(&self, now: Duration) -> bool {
        let over = |end: Duration| now > end && self.proven <= end;
        self.machines.values().any(|m| {
            let lost = matches!(m.standing, Standing::Up | Standing::Leaving)
                && m.session > m.dead_session
                && self.lease_end(m).is_some_and(over);
            lost || (m.unresolved && over(self.resolved_by(m)))
        })
    }

    /// Done and running tasks of a job, for display.
    pub fn job_counts(&self, id: &JobId) -> Option<(u32, u32)> {
        let job = self.jobs.get(id)?;
        Some((job.done_count, job.running))
    }
}
