//! Commands to workers, sent with the answers to their reports or directly.

use std::{cmp::Reverse, collections::BTreeSet, time::Duration};

use super::{
    Answer, Node,
    cluster::{ClusterState, Direct},
    job::Kind,
    machine::{
        Command, DirectReply, ExitReason, MachineId, Phase, Standing, Stop, TaskPhase, WorkerReport,
    },
};
use tracing::debug;

/// Maximum number of machines contacted at a time after a failover.
const CONTACTED_MOST: usize = 128;
/// Maximum number of machines of one zone probed at a time.
const PROBED_PER_ZONE: usize = 4;

/// Maximum number of commands in one answer, which keeps it below the protocol's line limit.
const COMMANDS_MOST: usize = 400;

impl Node {
    /// Renews a worker's lease during a failover and stops its tasks of finished jobs: a lease
    /// renewed without that would carry cancelled tasks through successive failovers. Other
    /// commands come later, and the report does not count as heard.
    pub(super) fn keep_lease_alive(&self, report: &WorkerReport) -> Option<Answer> {
        let token = self.election.token()?;
        let over = |job| !self.cache.jobs.contains_key(job) && !self.cache.is_unreadable(job);
        let left = report.tasks.iter().filter(|t| !t.phase.exited());
        let commands = left.filter(|t| over(&t.task.job)).take(COMMANDS_MOST);
        let commands = commands.map(|t| Command::Stop {
            task: t.task.clone(),
            attempt: t.attempt,
            grace: Duration::ZERO,
        });
        (report.token >> 16 <= token >> 16).then(|| Answer::Commands {
            token,
            commands: commands.collect(),
        })
    }
}

impl ClusterState {
    /// Returns commands that can't wait for the next report. A worker that does not know this
    /// leader's token yet is sent it at once, and its reply reveals its tasks.
    pub fn direct_commands(&mut self, now: Duration) -> Vec<Direct> {
        let machines_to_probe = self.machines_to_probe(now);
        let machines_to_contact = self.machines_to_contact(now);
        let due: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| !m.direct && now >= m.direct_retry)
            .filter(|m| matches!(m.standing, Standing::Up | Standing::Leaving))
            .filter(|m| {
                let silence = now.saturating_sub(m.heard_at.unwrap_or_default());
                let silent = m.heard_at.is_none() || silence > self.config.report * 2;
                (!silent && (!m.fenced || m.urgent()))
                    || self.should_probe(m, now)
                    || machines_to_probe.contains(&m.id)
            })
            .map(|m| m.id.clone())
            .collect();
        let due = due.into_iter().chain(machines_to_contact);
        due.filter_map(|id| self.direct(id)).collect()
    }

    /// Selects machines of each zone without reports, to find out whether they answer.
    fn machines_to_probe(&self, now: Duration) -> BTreeSet<MachineId> {
        let mut machines_to_probe = BTreeSet::new();
        for zone in &self.zones_to_probe {
            let machines = self.machines.values().filter(|m| m.zone == *zone);
            let known = machines.filter(|m| m.standing == Standing::Up && m.addr.is_some());
            let under_way = known.clone().filter(|m| m.direct).count();
            let idle = known.filter(|m| !m.direct && now >= m.direct_retry);
            // Those heard last are the most likely to answer.
            let mut idle: Vec<_> = idle.map(|m| (Reverse(m.heard_at), &m.id)).collect();
            idle.sort();
            let more = PROBED_PER_ZONE.saturating_sub(under_way);
            machines_to_probe.extend(idle.into_iter().take(more).map(|(_, id)| id.clone()));
        }
        machines_to_probe
    }

    /// Returns machines that may hold tasks and have not reported since the failover. They are
    /// contacted at the address known to the previous leader instead of waiting for their reports.
    fn machines_to_contact(&self, now: Duration) -> Vec<MachineId> {
        let not_heard = self.machines.values().filter(|m| m.session == 0);
        let not_heard = not_heard.filter(|m| m.unresolved && m.last_known_worker.is_some());
        let under_way = not_heard.clone().filter(|m| m.direct).count();
        let idle = not_heard.filter(|m| !m.direct && now >= m.direct_retry);
        let more = CONTACTED_MOST.saturating_sub(under_way);
        idle.map(|m| m.id.clone()).take(more).collect()
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
        machine.answered_at = Some(now);
        if machine.standing == Standing::Booting {
            machine.standing = Standing::Up;
        }
    }

    fn direct(&mut self, id: MachineId) -> Option<Direct> {
        let machine = &self.machines[&id];
        let (addr, session) = match machine.addr {
            Some(addr) => (addr, machine.session),
            None => machine.last_known_worker?,
        };
        let commands = self.commands(&id, None);
        let machine = self.machines.get_mut(&id)?;
        machine.direct = true;
        Some(Direct {
            addr,
            token: machine.token,
            session,
            machine: id,
            commands,
        })
    }

    pub fn direct_reply(&mut self, direct: &Direct, reply: DirectReply, now: Duration) {
        let Some(machine) = self.machines.get_mut(&direct.machine) else {
            return;
        };
        machine.direct = false;
        let not_heard = machine.session == 0;
        let (executed, report) = match reply {
            DirectReply::Executed(report) => (true, report),
            DirectReply::Refused(report) => (false, report),
            DirectReply::Unclear => {
                // The commands may still be executed, until the worker sees a higher token.
                if !direct.commands.is_empty() {
                    machine.token += 1;
                }
                machine.commands_unanswered = true;
                machine.direct_retry = now + self.config.report * 2;
                return;
            }
        };
        if !executed {
            machine.direct_retry = now + self.config.report;
        }
        if not_heard {
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
            if let Phase::Sent { seq, direct: sent } = &mut placement.phase
                && *sent == Some(direct.token)
            {
                // The command is over: the report lists the tasks that it started.
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
        let (mut ends, mut starts) = (Vec::new(), Vec::new());
        for ((task, attempt), placement) in &mut machine.tasks {
            let (task, attempt) = (task.clone(), *attempt);
            match (placement.phase, placement.stop) {
                (Phase::Seen(TaskPhase::Exited(why)), _) => {
                    // A result must be stored before the worker forgets it.
                    let stored = match self.jobs.get(&task.job) {
                        Some(job) if why == ExitReason::Done => {
                            job.spec.kind == Kind::Service || job.saved.contains(task.index)
                        }
                        _ => true,
                    };
                    let settled = placement.offered == 0 || placement.offered < machine.report_seq;
                    if stored && settled {
                        ends.push(Command::Forget { task, attempt });
                    }
                }
                (Phase::Decided | Phase::Sent { .. }, None)
                    if machine.fenced
                        && !starts_blocked
                        && machine.assignment.jobs.contains(&task.job) =>
                {
                    let (last, direct) = match placement.phase {
                        Phase::Sent { seq, direct } => (seq, direct),
                        _ => (0, None),
                    };
                    if let Some(seq) = seq {
                        placement.offered = seq;
                    }
                    placement.phase = match seq {
                        Some(seq) => Phase::Sent { seq, direct },
                        None => Phase::Sent {
                            seq: last,
                            direct: Some(machine.token),
                        },
                    };
                    starts.push(Command::Start { task, attempt });
                }
                (Phase::Seen(_), Some(stop)) => {
                    ends.push(Command::Stop {
                        task,
                        attempt,
                        grace: stop.grace,
                    });
                    placement.stop = Some(Stop { sent: true, ..stop });
                }
                _ => {}
            }
        }
        ends.extend(starts);
        ends.truncate(COMMANDS_MOST);
        ends
    }
}
