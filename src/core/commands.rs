//! Commands to workers, sent with the answers to their reports or directly.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use super::{
    cluster::{ClusterState, DirectCommands},
    fencing,
    job::{Kind, TaskId},
    machine::{
        Command, DirectReply, ExitReason, MAX_COMMANDS_PER_ANSWER, Machine, MachineId,
        MachineState, Phase, Placement, Stop, TaskPhase, WorkerReport,
    },
};
use tracing::{debug, warn};

/// Maximum number of machines contacted at a time after a failover.
const MAX_CONTACTS_IN_FLIGHT: usize = 128;
/// Maximum number of machines of one zone probed at a time.
const MAX_PROBES_PER_ZONE: usize = 4;

/// Why a worker's token is raised.
#[derive(Debug, Clone, Copy)]
enum RaiseReason {
    /// Direct commands got no answer and may be executed late.
    UnansweredCommands,
    /// The worker forgets attempts whose starts were sent directly.
    ForgottenAttempts,
}

impl Machine {
    /// Records that direct commands under this token were answered: the report in the answer lists
    /// the tasks that they started.
    fn end_direct_starts(&mut self, token: u64, executed: bool) {
        for placement in self.tasks.values_mut() {
            let Phase::Sent { seq, direct_token } = &mut placement.phase else {
                continue;
            };
            if *direct_token != Some(token) {
                continue;
            }
            *direct_token = None;
            if !executed && *seq == 0 {
                placement.phase = Phase::Decided;
            }
        }
    }
}

impl ClusterState {
    /// Returns commands that can't wait for the next report. A worker that does not know this
    /// leader's token yet is sent it at once, and its reply reveals its tasks.
    pub fn direct_commands(&mut self, now: Duration) -> Vec<DirectCommands> {
        let machines_to_probe = self.machines_to_probe(now);
        let machines_to_contact = self.machines_to_contact(now);
        let due: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| !m.direct_in_flight && now >= m.direct_retry_at)
            .filter(|m| matches!(m.state, MachineState::Up | MachineState::Leaving))
            .filter(|m| {
                let silence = now.saturating_sub(m.heard_at.unwrap_or_default());
                let is_silent = m.heard_at.is_none() || silence > self.config.report_interval * 2;
                (!is_silent && (!m.fenced || m.has_urgent_command()))
                    || self.should_probe(m, now)
                    || machines_to_probe.contains(&m.id)
            })
            .map(|m| m.id.clone())
            .collect();
        let due = due.into_iter().chain(machines_to_contact);
        due.filter_map(|id| self.build_direct_commands(id))
            .collect()
    }

    /// Selects machines to probe in each zone without reports, to find out whether they answer.
    fn machines_to_probe(&self, now: Duration) -> BTreeSet<MachineId> {
        let mut machines_to_probe = BTreeSet::new();
        for zone in &self.zones_to_probe {
            let machines = self.machines.values().filter(|m| m.zone == *zone);
            let known = machines.filter(|m| m.state == MachineState::Up && m.addr.is_some());
            let in_flight = known.clone().filter(|m| m.direct_in_flight).count();
            let idle = known.filter(|m| !m.direct_in_flight && now >= m.direct_retry_at);
            // Machines that were heard last are the most likely to answer.
            let mut idle: Vec<_> = idle.map(|m| (Reverse(m.heard_at), &m.id)).collect();
            idle.sort();
            let remaining = MAX_PROBES_PER_ZONE.saturating_sub(in_flight);
            machines_to_probe.extend(idle.into_iter().take(remaining).map(|(_, id)| id.clone()));
        }
        machines_to_probe
    }

    /// Returns machines that may hold tasks and have not reported since the failover. They are
    /// contacted at the address known to the previous leader instead of waiting for their reports.
    fn machines_to_contact(&self, now: Duration) -> Vec<MachineId> {
        let unreported = self.machines.values().filter(|m| m.session == 0);
        let unreported = unreported.filter(|m| m.unresolved && m.last_known_worker.is_some());
        let in_flight = unreported.clone().filter(|m| m.direct_in_flight).count();
        let idle = unreported.filter(|m| !m.direct_in_flight && now >= m.direct_retry_at);
        let remaining = MAX_CONTACTS_IN_FLIGHT.saturating_sub(in_flight);
        idle.map(|m| m.id.clone()).take(remaining).collect()
    }

    /// Records the answer of a contacted machine. It has seen this leader's token, so no start sent
    /// by a previous leader can take effect there, and the answer lists all its tasks. Its lease
    /// began with its last answered report or with its session, which may be a new one: before this
    /// answer in any case, so counting from now is safe.
    fn record_direct_heartbeat(&mut self, id: &MachineId, report: &WorkerReport, now: Duration) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        debug!(machine = %id, "machine answered direct commands for the first time");
        machine.addr = Some(report.addr);
        machine.session = report.session;
        self.worker_leases.record_renewal(id, now);
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
        }
    }

    fn build_direct_commands(&mut self, id: MachineId) -> Option<DirectCommands> {
        let machine = &self.machines[&id];
        let (addr, session) = match machine.addr {
            Some(addr) => (addr, machine.session),
            None => machine.last_known_worker?,
        };
        let commands = self.commands(&id, None);
        let machine = self.machines.get_mut(&id)?;
        machine.direct_in_flight = true;
        let direct = DirectCommands {
            addr,
            token: machine.token,
            session,
            machine: id,
            commands,
        };
        self.command_counts.record_sent(&direct);
        Some(direct)
    }

    /// Applies the outcome of direct commands.
    pub fn apply_direct_reply(
        &mut self,
        direct: &DirectCommands,
        reply: DirectReply,
        now: Duration,
    ) {
        let Some(machine) = self.machines.get_mut(&direct.machine) else {
            return;
        };
        machine.direct_in_flight = false;
        self.command_counts.record_reply(direct, &reply);
        match reply {
            DirectReply::Executed(report) => self.direct_answered(direct, &report, true, now),
            DirectReply::Refused(report) => {
                machine.direct_retry_at = now + self.config.report_interval;
                self.direct_answered(direct, &report, false, now);
            }
            DirectReply::Unclear => self.direct_unanswered(direct, now),
        }
    }

    fn direct_unanswered(&mut self, direct: &DirectCommands, now: Duration) {
        let machine = self
            .machines
            .get_mut(&direct.machine)
            .expect("known machine");
        machine.commands_unanswered = true;
        machine.direct_retry_at = now + self.config.report_interval * 2;
        // The commands may still be executed, until the worker sees a higher token.
        if !direct.commands.is_empty() {
            self.raise_token(&direct.machine, RaiseReason::UnansweredCommands);
        }
    }

    /// Applies the report in the answer to direct commands.
    fn direct_answered(
        &mut self,
        direct: &DirectCommands,
        report: &WorkerReport,
        executed: bool,
        now: Duration,
    ) {
        let id = &direct.machine;
        let machine = self.machines.get_mut(id).expect("known machine");
        if machine.session == 0 {
            // The worker has another session or leader, but its current address is known now.
            machine.last_known_worker = Some((report.addr, report.session));
            if !executed || report.session != direct.session {
                return;
            }
            self.record_direct_heartbeat(id, report, now);
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.session != direct.session || report.session != machine.session {
            return;
        }
        machine.end_direct_starts(direct.token, executed);
        if report.seq <= machine.content_seq || fencing::claim_of(report.token) > self.claim {
            return;
        }
        machine.content_seq = report.seq;
        machine.heard_at = Some(now);
        machine.commands_unanswered = false;
        if report.token >= self.token && !machine.fenced {
            machine.fenced = true;
            machine.unresolved = false;
            self.worker_leases.record_token_seen(id, now);
            self.request_pass();
        }
        self.apply_report(id, report, false, now);
        self.requeue();
    }

    /// Returns all commands for the worker, stops and forgets before starts, to free resources. They
    /// belong under the worker's token as it is afterwards. `answered_report` is the report that
    /// they answer; without one they are sent directly.
    pub(super) fn commands(
        &mut self,
        id: &MachineId,
        answered_report: Option<u64>,
    ) -> Vec<Command> {
        let mut commands = self.stops(id);
        commands.extend(self.forgets(id));
        commands.extend(self.starts(id, answered_report));
        commands.truncate(MAX_COMMANDS_PER_ANSWER);
        commands
    }

    fn stops(&mut self, id: &MachineId) -> Vec<Command> {
        let machine = self.machines.get_mut(id).expect("known machine");
        let mut stops = Vec::new();
        for ((task, attempt), placement) in &mut machine.tasks {
            let (Phase::Seen(phase), Some(stop)) = (placement.phase, placement.stop) else {
                continue;
            };
            if phase.exited() {
                continue;
            }
            stops.push(Command::Stop {
                task: task.clone(),
                attempt: *attempt,
                grace: stop.grace,
            });
            placement.stop = Some(Stop { sent: true, ..stop });
        }
        stops
    }

    /// Returns the commands to forget exited attempts, and raises the worker's token as far as that
    /// is needed to void the direct copies of their starts.
    fn forgets(&mut self, id: &MachineId) -> Vec<Command> {
        let machine = &self.machines[id];
        let mut voiding_token = machine.token;
        let mut forgets = Vec::new();
        for ((task, attempt), placement) in &machine.tasks {
            let copies = &placement.start_copies;
            if !self.is_end_recorded(task, placement)
                || copies.answer_may_arrive(machine.report_seq)
            {
                continue;
            }
            let Some(token) = copies.voiding_token(machine.token) else {
                continue;
            };
            voiding_token = voiding_token.max(token);
            forgets.push(Command::Forget {
                task: task.clone(),
                attempt: *attempt,
            });
        }
        if voiding_token > machine.token {
            self.raise_token(id, RaiseReason::ForgottenAttempts);
        }
        forgets
    }

    /// Returns whether the attempt has exited, and its result is stored if it has one.
    fn is_end_recorded(&self, task: &TaskId, placement: &Placement) -> bool {
        let Phase::Seen(TaskPhase::Exited(reason)) = placement.phase else {
            return false;
        };
        match self.jobs.get(&task.job) {
            Some(job) if reason == ExitReason::Done => {
                job.spec.kind == Kind::Service || job.saved.contains(task.index)
            }
            _ => true,
        }
    }

    fn starts(&mut self, id: &MachineId, answered_report: Option<u64>) -> Vec<Command> {
        let machine = self.machines.get_mut(id).expect("known machine");
        let is_blocked = self.start_blocked_zones.contains(&machine.zone)
            || self.drains.machines.contains_key(&**id);
        let is_allowed = answered_report.is_some() || fencing::allows_direct_start(machine.token);
        if is_blocked || !is_allowed || !machine.fenced {
            return Vec::new();
        }
        let mut starts = Vec::new();
        for ((task, attempt), placement) in &mut machine.tasks {
            let (last_seq, last_token) = match placement.phase {
                Phase::Decided => (0, None),
                Phase::Sent { seq, direct_token } => (seq, direct_token),
                Phase::Seen(_) => continue,
            };
            if placement.stop.is_some() || !machine.assignment.jobs.contains(&task.job) {
                continue;
            }
            let (seq, direct_token) = match answered_report {
                Some(seq) => {
                    placement.start_copies.record_answer(seq);
                    (seq, last_token)
                }
                None => {
                    placement.start_copies.record_direct(machine.token);
                    (last_seq, Some(machine.token))
                }
            };
            placement.phase = Phase::Sent { seq, direct_token };
            starts.push(Command::Start {
                task: task.clone(),
                attempt: *attempt,
            });
        }
        starts
    }

    /// Raises the token of one worker. Under the last token of a claim, which remains, starts go
    /// with answers to reports only.
    fn raise_token(&mut self, id: &MachineId, reason: RaiseReason) {
        let machine = self.machines.get_mut(id).expect("known machine");
        let Some(token) = fencing::raised(machine.token) else {
            return;
        };
        debug!(machine = %id, from = machine.token, to = token, ?reason, "raising a worker's token");
        machine.token = token;
        self.command_counts.raised_tokens += 1;
        if !fencing::allows_direct_start(token) {
            warn!(
                machine = %id,
                token,
                "last fencing token of a worker: starts wait for its reports until another claim"
            );
        }
    }
}
