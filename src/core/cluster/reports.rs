//! Processes worker reports: adopts tasks that a previous leader started, and records the progress
//! and ends of tasks.
//!
//! A report counts only if it is newer than all others seen of its session, and a task missing from
//! it is gone only if the report can't have been overtaken by the task's start. The end of an
//! attempt never releases its task twice, since the task may already run elsewhere.

use std::{collections::BTreeSet, time::Duration};

use tracing::{debug, info};

use super::{ClusterState, command_log::log_answer};
use crate::core::{
    job::TaskId,
    machine::{
        AttemptKey, Command, ExitReason, Machine, MachineId, MachineState, Phase, Placement,
        TaskPhase, WorkerReport,
    },
};

impl ClusterState {
    /// Processes a report and returns the token and commands of its answer, or none if it is late.
    pub fn process_report(
        &mut self,
        report: &WorkerReport,
        now: Duration,
    ) -> Option<(u64, Vec<Command>)> {
        let id = report.machine.clone();
        if self.provisioning.was_released(&id) {
            // The machine no longer exists: the report was delayed, and no worker waits for its
            // answer.
            debug!(machine = %id, "ignoring report of a released machine");
            return None;
        }
        let token = self.token;
        self.ensure_machine(&id, &report.machine_type, &report.zone, report.spot, now);
        let before = self.availability(&id, now);
        let machine = self.machines.get_mut(&id)?;
        if machine.is_late(report) {
            debug!(machine = %id, report.session, report.seq, "ignoring late report");
            return None;
        }
        let is_new_session = report.session > machine.session;
        if is_new_session {
            machine.begin_session(report.session);
        }
        machine.record_contact(report, token, now);
        machine.record_spot_notice(report, now);
        if is_new_session {
            self.end_former_session(&id, now);
        }
        self.apply_regular_report(&id, report, now);
        if self.availability(&id, now) != before {
            self.requeue();
        }
        self.answer_report(&id, report.seq, now)
    }

    /// Returns the token and the commands that answer a machine's report, and records that the
    /// answer renews its lease.
    fn answer_report(
        &mut self,
        id: &MachineId,
        seq: u64,
        now: Duration,
    ) -> Option<(u64, Vec<Command>)> {
        self.worker_leases.record_renewal(id, now);
        // While a direct command is in flight no other commands are sent, since the two could be
        // executed in the wrong order.
        let commands = match self.machines.get(id)?.direct_in_flight {
            true => Vec::new(),
            false => self.commands(id, Some(seq)),
        };
        let token = self.machines[id].token;
        log_answer(id, seq, token, &commands);
        Some((token, commands))
    }

    /// Ends the previous session of a worker, which begins a new one when its lease has expired.
    fn end_former_session(&mut self, id: &MachineId, now: Duration) {
        let tasks = self.machines[id].tasks.len();
        if tasks > 0 {
            info!(
                machine = %id,
                tasks,
                "worker lease expired; ending the tasks of its former session"
            );
        }
        self.end_session(id, now);
    }

    /// Applies the task list of a regular report, unless newer contents are known.
    fn apply_regular_report(&mut self, id: &MachineId, report: &WorkerReport, now: Duration) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.report_seq = report.seq;
        // The reply to a direct command may have brought newer contents.
        if report.seq > machine.content_seq {
            machine.content_seq = report.seq;
            self.apply_report(id, report, true, now);
        }
    }

    /// Ends a session with all of its tasks; a new session has none of them.
    pub(super) fn end_session(&mut self, id: &MachineId, now: Duration) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let ended_tasks = std::mem::take(&mut machine.tasks);
        machine.idle_since = now;
        for ((task, _), placement) in ended_tasks {
            // The end of an exited task was counted when it exited. Counting it again would release
            // a task that may run elsewhere by now, and start it twice.
            if !placement.exited() {
                self.placement_ended(id, &task, &placement, None, now);
            }
        }
    }

    /// Compares the worker's task list with the known tasks of the machine.
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

    /// Removes a task that a report shows to be gone.
    fn remove_missing(&mut self, id: &MachineId, key: &AttemptKey, now: Duration) {
        let machine = self.machines.get_mut(id).expect("known machine");
        let placement = machine.tasks.remove(key).expect("known task");
        if !machine.busy() {
            machine.idle_since = now;
        }
        if !placement.exited() {
            self.placement_ended(id, &key.0, &placement, None, now);
        }
    }

    /// Applies a reported task phase that differs from the known one.
    fn apply_task_report(
        &mut self,
        id: &MachineId,
        key: AttemptKey,
        phase: TaskPhase,
        now: Duration,
    ) {
        let is_adopted = !self.machines[id].tasks.contains_key(&key);
        if is_adopted {
            self.adopt_attempt(id, &key, phase, now);
        }
        let machine = self.machines.get_mut(id).expect("known machine");
        let placement = machine.tasks.get_mut(&key).expect("adopted task");
        let before = placement.phase;
        if matches!(before, Phase::Sent { .. }) && !is_adopted {
            self.start_rate.record_start(now);
        }
        // A task that one report lists twice has ended only once.
        if before == Phase::Seen(phase) {
            return;
        }
        placement.phase = Phase::Seen(phase);
        // The start time of an adopted running task is unknown: counted from now, its run time
        // would be too short and estimates would look too long.
        if phase == TaskPhase::Running && !is_adopted {
            placement.running_since = Some(now);
        }
        let placement = placement.clone();
        let has_image = phase.has_image() || matches!(phase, TaskPhase::Exited(ExitReason::Done));
        if has_image && let Some(spec) = &placement.spec {
            self.record_image(id, spec, now);
        }
        if phase == TaskPhase::Waiting {
            self.stop_after_fetch(id, &key, now);
        }
        self.update_running_count(&key.0, &placement, before, phase);
        if let TaskPhase::Exited(reason) = phase {
            self.task_exited(id, &key.0, placement, reason, now);
        }
    }

    /// Updates the number of a job's running tasks.
    fn update_running_count(
        &mut self,
        task: &TaskId,
        placement: &Placement,
        before: Phase,
        phase: TaskPhase,
    ) {
        if placement.is_orphaned {
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

    /// Processes a task's reported exit. Its placement stays until the worker forgets it.
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
        // `update_running_count` has already decremented the running count; releasing the slot must
        // not do so again.
        let placement = Placement {
            phase: Phase::Seen(TaskPhase::Waiting),
            ..placement
        };
        self.placement_ended(id, task, &placement, Some(reason), now);
    }

    /// Processes the end of a placement; `reason` is none if the task just disappeared.
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
            if !placement.is_orphaned {
                self.release_slot(id, task, placement);
            }
            self.finish_task(task, now);
        } else if !placement.is_orphaned {
            self.release_slot(id, task, placement);
            self.task_failed(id, task, reason, now);
        }
        self.requeue();
    }
}

impl Machine {
    /// Returns whether a report belongs to an expired session or is older than one already seen: it
    /// was delayed, and no worker waits for its answer.
    fn is_late(&self, report: &WorkerReport) -> bool {
        report.session <= self.expired_session
            || report.session < self.session
            || (report.session == self.session && report.seq <= self.report_seq)
    }

    fn begin_session(&mut self, session: u64) {
        self.session = session;
        self.report_seq = 0;
        self.content_seq = 0;
    }

    /// Records the contact, and whether the worker knows the leader's token.
    fn record_contact(&mut self, report: &WorkerReport, token: u64, now: Duration) {
        self.addr = Some(report.addr);
        self.heard_at = Some(now);
        self.commands_unanswered = false;
        if matches!(self.state, MachineState::Booting | MachineState::Lost) {
            info!(
                machine = %self.id,
                kind = %self.machine_type,
                zone = %self.zone,
                "machine is up"
            );
            self.state = MachineState::Up;
            self.idle_since = now;
        }
        // Only a worker that knows this leader's token has answered after the claim: an older
        // report could have been overtaken by a start.
        self.fenced = report.token >= token;
        self.unresolved &= !self.fenced;
    }

    /// Records the first notice that the cloud reclaims the machine.
    fn record_spot_notice(&mut self, report: &WorkerReport, now: Duration) {
        if let Some(notice) = report.notice_s
            && self.notice_at.is_none()
        {
            let notice = crate::settings::seconds(notice);
            info!(machine = %self.id, ?notice, "received spot termination notice");
            self.notice_at = Some(now + notice);
        }
    }
}

/// Returns the tasks of a report whose phase is new; most of a report repeats the previous one.
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

/// Returns tasks that are gone from the machine, since the report would list them otherwise.
fn missing_tasks(machine: &Machine, report: &WorkerReport, regular: bool) -> Vec<AttemptKey> {
    // All reported tasks are known by now, and usually there are no others.
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

/// Returns whether the report would list the task if it were still on the machine, that is, whether
/// its start can't have overtaken the report.
fn would_be_listed(placement: &Placement, report: &WorkerReport, regular: bool) -> bool {
    match placement.phase {
        Phase::Decided => false,
        Phase::Sent { seq, direct_token } => {
            regular && report.seq > seq && direct_token.is_none_or(|token| report.token > token)
        }
        Phase::Seen(_) => true,
    }
}
