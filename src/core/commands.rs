//! Commands to workers, sent with the answers to their reports or directly.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use super::{
    cluster::{ClusterState, DirectCommands},
    job::Kind,
    machine::{
        Command, DirectReply, ExitReason, MAX_COMMANDS_PER_ANSWER, MachineId, MachineState, Phase,
        Stop, TaskPhase, WorkerReport,
    },
};
use tracing::debug;

/// Maximum number of machines contacted at a time after a failover.
const MAX_CONTACTS_IN_FLIGHT: usize = 128;
/// Maximum number of machines of one zone probed at a time.
const MAX_PROBES_PER_ZONE: usize = 4;

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
        let is_unreported = machine.session == 0;
        let (executed, report) = match reply {
            DirectReply::Executed(report) => (true, report),
            DirectReply::Refused(report) => (false, report),
            DirectReply::Unclear => {
                // The commands may still be executed, until the worker sees a higher token.
                if !direct.commands.is_empty() {
                    machine.token += 1;
                    self.command_counts.raised_tokens += 1;
                }
                machine.commands_unanswered = true;
                machine.direct_retry_at = now + self.config.report_interval * 2;
                return;
            }
        };
        if !executed {
            machine.direct_retry_at = now + self.config.report_interval;
        }
        if is_unreported {
            // The worker has another session or leader, but its current address is known now.
            machine.last_known_worker = Some((report.addr, report.session));
            if !executed || report.session != direct.session {
                return;
            }
            self.record_direct_heartbeat(&direct.machine, &report, now);
        }
        let Some(machine) = self.machines.get_mut(&direct.machine) else {
            return;
        };
        if machine.session != direct.session || report.session != machine.session {
            return;
        }
        for placement in machine.tasks.values_mut() {
            if let Phase::Sent {
                seq,
                direct_token: sent,
            } = &mut placement.phase
                && *sent == Some(direct.token)
            {
                // The command has ended: the report lists the tasks that it started.
                *sent = None;
                if !executed && *seq == 0 {
                    placement.phase = Phase::Decided;
                }
            }
        }
        if report.seq <= machine.content_seq || report.token >> 16 > self.claim {
            return;
        }
        machine.content_seq = report.seq;
        machine.heard_at = Some(now);
        machine.commands_unanswered = false;
        if report.token >= self.token && !machine.fenced {
            machine.fenced = true;
            machine.unresolved = false;
            self.worker_leases.record_token_seen(&direct.machine, now);
            self.request_pass();
        }
        let id = direct.machine.clone();
        self.apply_report(&id, &report, false, now);
        self.requeue();
    }

    /// Returns all commands for the worker in order: stops come before starts, to free resources.
    pub(super) fn commands(&mut self, id: &MachineId, seq: Option<u64>) -> Vec<Command> {
        let machine = self.machines.get_mut(id).expect("known machine");
        let starts_blocked = self.start_blocked_zones.contains(&machine.zone)
            || self.drains.machines.contains_key(&**id);
        let (mut stops_and_forgets, mut starts) = (Vec::new(), Vec::new());
        for ((task, attempt), placement) in &mut machine.tasks {
            let (task, attempt) = (task.clone(), *attempt);
            match (placement.phase, placement.stop) {
                (Phase::Seen(TaskPhase::Exited(reason)), _) => {
                    // A result must be stored before the worker forgets it.
                    let is_stored = match self.jobs.get(&task.job) {
                        Some(job) if reason == ExitReason::Done => {
                            job.spec.kind == Kind::Service || job.saved.contains(task.index)
                        }
                        _ => true,
                    };
                    let is_start_acknowledged = placement.start_sent_seq == 0
                        || placement.start_sent_seq < machine.report_seq;
                    if is_stored && is_start_acknowledged {
                        stops_and_forgets.push(Command::Forget { task, attempt });
                    }
                }
                (Phase::Decided | Phase::Sent { .. }, None)
                    if machine.fenced
                        && !starts_blocked
                        && machine.assignment.jobs.contains(&task.job) =>
                {
                    let (last_seq, direct_token) = match placement.phase {
                        Phase::Sent { seq, direct_token } => (seq, direct_token),
                        _ => (0, None),
                    };
                    if let Some(seq) = seq {
                        placement.start_sent_seq = seq;
                    }
                    placement.phase = match seq {
                        Some(seq) => Phase::Sent { seq, direct_token },
                        None => Phase::Sent {
                            seq: last_seq,
                            direct_token: Some(machine.token),
                        },
                    };
                    starts.push(Command::Start { task, attempt });
                }
                (Phase::Seen(_), Some(stop)) => {
                    stops_and_forgets.push(Command::Stop {
                        task,
                        attempt,
                        grace: stop.grace,
                    });
                    placement.stop = Some(Stop { sent: true, ..stop });
                }
                _ => {}
            }
        }
        stops_and_forgets.extend(starts);
        stops_and_forgets.truncate(MAX_COMMANDS_PER_ANSWER);
        stops_and_forgets
    }
}
