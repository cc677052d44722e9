//! What workers are told: with the answers to their reports, or straight away.

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

/// Machines that are called at a time after a failover.
const CONTACTED_MOST: usize = 128;
/// Machines of one zone that are asked at a time whether they answer.
const PROBED_PER_ZONE: usize = 4;

/// Commands in one answer at most: it stays under the protocol's limit for one line.
const COMMANDS_MOST: usize = 400;

impl Node {
    /// While it takes over, a worker's lease is kept alive, and its tasks of jobs that are
    /// over are stopped: a lease that is renewed without that would carry cancelled tasks
    /// through one failover after the other. Other commands come later, and the report is
    /// not counted as heard.
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
    /// Commands that need not wait for the next report. A worker that does not
    /// know this leader's token yet gets it at once, and its tasks become known.
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
                let silent = m.heard_at.is_none() || silence > self.config.report_interval * 2;
                (!silent && (!m.fenced || m.urgent()))
                    || self.should_probe(m, now)
                    || machines_to_probe.contains(&m.id)
            })
            .map(|m| m.id.clone())
            .collect();
        let due = due.into_iter().chain(machines_to_contact);
        due.filter_map(|id| self.direct(id)).collect()
    }

    /// Some machines of each zone that is heard no more, to learn whether they answer.
    fn machines_to_probe(&self, now: Duration) -> BTreeSet<MachineId> {
        let mut machines_to_probe = BTreeSet::new();
        for zone in &self.zones_to_probe {
            let machines = self.machines.values().filter(|m| m.zone == *zone);
            let known = machines.filter(|m| m.standing == Standing::Up && m.addr.is_some());
            let under_way = known.clone().filter(|m| m.direct).count();
            let idle = known.filter(|m| !m.direct && now >= m.direct_retry);
            // Those heard last answer most likely.
            let mut idle: Vec<_> = idle.map(|m| (Reverse(m.heard_at), &m.id)).collect();
            idle.sort();
            let more = PROBED_PER_ZONE.saturating_sub(under_way);
            machines_to_probe.extend(idle.into_iter().take(more).map(|(_, id)| id.clone()));
        }
        machines_to_probe
    }

    /// After a failover, machines that may hold tasks and have not reported yet: asked
    /// where the previous leader found them, they need not come by themselves first.
    fn machines_to_contact(&self, now: Duration) -> Vec<MachineId> {
        let not_heard = self.machines.values().filter(|m| m.session == 0);
        let not_heard = not_heard.filter(|m| m.unresolved && m.last_known_worker.is_some());
        let under_way = not_heard.clone().filter(|m| m.direct).count();
        let idle = not_heard.filter(|m| !m.direct && now >= m.direct_retry);
        let more = CONTACTED_MOST.saturating_sub(under_way);
        idle.map(|m| m.id.clone()).take(more).collect()
    }

    /// A machine that was called has answered. It has seen this leader's token, so
    /// nothing that a former one sent can begin there any more, and this is what it
    /// holds. Its lease began with its last answered report, or with its session, which
    /// may be a new one: before this answer in any case, and not sooner than that is known.
    fn record_direct_heartbeat(&mut self, id: &MachineId, report: &WorkerReport, now: Duration) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        debug!(machine = %id, "direct heartbeat");
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
                // It may still be executed, until the worker sees a higher token.
                if !direct.commands.is_empty() {
                    machine.token += 1;
                }
                machine.commands_unanswered = true;
                machine.direct_retry = now + self.config.report_interval * 2;
                return;
            }
        };
        if !executed {
            machine.direct_retry = now + self.config.report_interval;
        }
        if not_heard {
            // Another session, or another leader: where it is now is known at least.
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
                // It is over: what was executed is in the list.
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

    /// Everything the worker should do now, in order: room is made before it is used.
    pub(super) fn commands(&mut self, id: &MachineId, seq: Option<u64>) -> Vec<Command> {
        let machine = self.machines.get_mut(id).expect("known machine");
        let withheld =
            self.withheld.contains(&machine.zone) || self.drains.machines.contains_key(&**id);
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
                        && !withheld
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
