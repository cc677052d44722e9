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
        Command, ExitReason, MachineId, Phase, Placement, Standing, Stop, TaskPhase, WorkerReport,
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
}
