//! Takes in the reports of workers: adopts tasks that a previous leader started, and notes
//! how tasks went on and ended.
//!
//! Only a report that is newer than all that were seen of its session counts, and a task that
//! is missing in it is gone only if the report can't have been overtaken by the task's start.
//! A task is never freed twice for one end, since by the second it may run elsewhere.

use std::{collections::BTreeSet, time::Duration};

use tracing::{debug, info};

use super::{ClusterState, Slot};
use crate::core::{
    job::TaskId,
    machine::{
        AttemptKey, Command, ExitReason, Machine, MachineId, Phase, Placement, Standing, Stop,
        TaskPhase, WorkerReport,
    },
};
use kiteyard_recovery::adoption::AdoptionDecision;

impl ClusterState {
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
        if machine.is_late(report) {
            debug!(machine = %id, report.session, report.seq, "late report");
            return None;
        }
        let new_session = report.session > machine.session;
        if new_session {
            machine.begin_session(report.session);
        }
        machine.heard_from(report, token, now);
        machine.take_spot_notice(report, now);
        if new_session {
            self.end_former_session(&id, now);
        }
        self.apply_regular_report(&id, report, now);
        if self.availability(&id, now) != before {
            self.requeue();
        }
        self.answer(&id, report.seq)
    }

    /// The token and the commands that answer a machine's report.
    fn answer(&mut self, id: &MachineId, seq: u64) -> Option<(u64, Vec<Command>)> {
        // While a direct command is under way nothing else is ordered, so that
        // the two can't be executed in the wrong order.
        let commands = match self.machines.get(id)?.direct {
            true => Vec::new(),
            false => self.commands(id, Some(seq)),
        };
        Some((self.machines[id].token, commands))
    }

    /// The worker has begun a new session, which it does when its lease has run out.
    fn end_former_session(&mut self, id: &MachineId, now: Duration) {
        let tasks = self.machines[id].tasks.len();
        if tasks > 0 {
            info!(machine = %id, tasks, "worker's lease ran out");
        }
        self.end_session(id, now);
    }

    /// Takes in the tasks of a report that came in the usual way, unless newer ones are known.
    fn apply_regular_report(&mut self, id: &MachineId, report: &WorkerReport, now: Duration) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.report_seq = report.seq;
        // A direct command's answer may have brought newer news already.
        if report.seq > machine.content_seq {
            machine.content_seq = report.seq;
            self.apply_report(id, report, true, now);
        }
    }

    /// A new session has none of the tasks of the one before.
    pub(super) fn end_session(&mut self, id: &MachineId, now: Duration) {
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
    pub(in crate::core) fn apply_report(
        &mut self,
        id: &MachineId,
        report: &WorkerReport,
        regular: bool,
        now: Duration,
    ) {
        for (key, phase) in changed_phases(&self.machines[id], report) {
            self.apply_task_report(id, key, phase, now);
        }
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        for key in missing_tasks(machine, report, regular) {
            self.remove_missing(id, &key, now);
        }
    }

    /// A task that a report shows to be gone.
    fn remove_missing(&mut self, id: &MachineId, key: &AttemptKey, now: Duration) {
        let machine = self.machines.get_mut(id).expect("still there");
        let placement = machine.tasks.remove(key).expect("just listed");
        if !machine.busy() {
            machine.idle_since = now;
        }
        if !placement.exited() {
            self.placement_ended(id, &key.0, &placement, None, now);
        }
    }

    /// One task of a report, whose phase is not the one known before.
    fn apply_task_report(
        &mut self,
        id: &MachineId,
        key: AttemptKey,
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
            self.start_rate.record_start(now);
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
        self.count_running(&key.0, &placement, before, phase);
        if let TaskPhase::Exited(reason) = phase {
            self.task_exited(id, &key.0, placement, reason, now);
        }
    }

    /// Keeps the number of a job's running tasks.
    fn count_running(
        &mut self,
        task: &TaskId,
        placement: &Placement,
        before: Phase,
        phase: TaskPhase,
    ) {
        if placement.foreign {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if phase == TaskPhase::Running {
            job.running += 1;
        } else if before == Phase::Seen(TaskPhase::Running) {
            job.running -= 1;
        }
    }

    /// A task was reported as exited. Its placement stays until the worker forgets it.
    fn task_exited(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        placement: Placement,
        reason: ExitReason,
        now: Duration,
    ) {
        if let (ExitReason::Done, Some(since)) = (reason, placement.running_since) {
            self.record_run_time(&task.job, now - since);
        }
        let machine = self.machines.get_mut(id).expect("known machine");
        if !machine.busy() {
            machine.idle_since = now;
        }
        // `count_running` took it off the running ones; freeing its slot must not do so again.
        let placement = Placement {
            phase: Phase::Seen(TaskPhase::Waiting),
            ..placement
        };
        self.placement_ended(id, task, &placement, Some(reason), now);
    }

    /// A task in a report that this leader did not start: one that a former
    /// leader started, or one that has no business there.
    fn adopt(&mut self, id: &MachineId, key: &AttemptKey, phase: TaskPhase, now: Duration) {
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

    /// A placement has come to its end; `reason` is none where it just went.
    fn placement_ended(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        placement: &Placement,
        reason: Option<ExitReason>,
        now: Duration,
    ) {
        self.queue.pass_requested = true;
        if reason == Some(ExitReason::Done) {
            if !placement.foreign {
                self.release_slot(id, task, placement);
            }
            self.finish(task, now);
        } else if !placement.foreign {
            self.release_slot(id, task, placement);
            self.failed(id, task, reason, now);
        }
        self.requeue();
    }
}

impl Machine {
    /// A report of a session that is over, or older than one seen already, was held back
    /// on its way; nobody waits for its answer.
    fn is_late(&self, report: &WorkerReport) -> bool {
        report.session <= self.dead_session
            || report.session < self.session
            || (report.session == self.session && report.seq <= self.report_seq)
    }

    fn begin_session(&mut self, session: u64) {
        self.session = session;
        self.report_seq = 0;
        self.content_seq = 0;
    }

    /// Notes the contact, and whether the worker knows the leader's token.
    fn heard_from(&mut self, report: &WorkerReport, token: u64, now: Duration) {
        self.addr = Some(report.addr);
        self.heard_at = Some(now);
        self.commands_unanswered = false;
        self.answered_at = Some(now);
        if matches!(self.standing, Standing::Booting | Standing::Lost) {
            info!(machine = %self.id, kind = %self.machine_type, zone = %self.zone, "machine up");
            self.standing = Standing::Up;
            self.idle_since = now;
        }
        // Only a worker that knows this leader's token has answered after the
        // claim: an older report could have been overtaken by a start.
        self.fenced = report.token >= token;
        self.unresolved &= !self.fenced;
    }

    /// The first notice that the cloud takes the machine back counts.
    fn take_spot_notice(&mut self, report: &WorkerReport, now: Duration) {
        if let Some(notice) = report.notice_s
            && self.notice_at.is_none()
        {
            let notice = crate::settings::seconds(notice);
            info!(machine = %self.id, ?notice, "spot notice");
            self.notice_at = Some(now + notice);
        }
    }
}

/// The tasks of a report whose phase is new; most of a report repeats the one before.
fn changed_phases(machine: &Machine, report: &WorkerReport) -> Vec<(AttemptKey, TaskPhase)> {
    report
        .tasks
        .iter()
        .map(|reported| ((reported.task.clone(), reported.attempt), reported.phase))
        .filter(|(key, phase)| {
            let known = machine.tasks.get(key);
            known.is_none_or(|placement| placement.phase != Phase::Seen(*phase))
        })
        .collect()
}

/// Tasks that are gone from the machine: the report would list them otherwise.
fn missing_tasks(machine: &Machine, report: &WorkerReport, regular: bool) -> Vec<AttemptKey> {
    // All that was reported is known now. Mostly there is nothing else.
    if machine.tasks.len() <= report.tasks.len() {
        return Vec::new();
    }
    let listed: BTreeSet<(&TaskId, u64)> = report
        .tasks
        .iter()
        .map(|reported| (&reported.task, reported.attempt))
        .collect();
    machine
        .tasks
        .iter()
        .filter(|(key, _)| !listed.contains(&(&key.0, key.1)))
        .filter(|(_, placement)| would_be_listed(placement, report, regular))
        .map(|(key, _)| key.clone())
        .collect()
}

/// A task still on the machine would be in the report: its start can't have overtaken it.
fn would_be_listed(placement: &Placement, report: &WorkerReport, regular: bool) -> bool {
    match placement.phase {
        Phase::Decided => false,
        Phase::Sent { seq, direct } => {
            regular && report.seq > seq && direct.is_none_or(|token| report.token > token)
        }
        Phase::Seen(_) => true,
    }
}
