//! What workers are told: with the answers to their reports, or straight away.

use std::time::Duration;

use super::{
    job::Kind,
    leader::{Direct, Leader},
    machine::{Command, DirectReply, MachineId, Phase, Standing, Stop, TaskPhase, Why},
};

impl Leader {
    /// Commands that need not wait for the next report. A worker that does not
    /// know this leader's token yet gets it at once, and its tasks become known.
    pub fn direct_commands(&mut self, now: Duration) -> Vec<Direct> {
        let due: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| !m.direct && now >= m.direct_retry)
            .filter(|m| matches!(m.standing, Standing::Up | Standing::Leaving))
            .filter(|m| {
                let silence = now.saturating_sub(m.heard_at.unwrap_or_default());
                let silent = m.heard_at.is_none() || silence > self.config.report * 2;
                (!silent && (!m.fenced || m.urgent())) || self.doubtful(m, now)
            })
            .map(|m| m.id.clone())
            .collect();
        due.into_iter().filter_map(|id| self.direct(id)).collect()
    }

    fn direct(&mut self, id: MachineId) -> Option<Direct> {
        let addr = self.machines[&id].addr?;
        let commands = self.commands(&id, None);
        let machine = self.machines.get_mut(&id)?;
        machine.direct = true;
        Some(Direct {
            addr,
            token: machine.token,
            session: machine.session,
            machine: id,
            commands,
        })
    }

    pub fn direct_reply(&mut self, direct: &Direct, reply: DirectReply, now: Duration) {
        let Some(machine) = self.machines.get_mut(&direct.machine) else {
            return;
        };
        machine.direct = false;
        let (executed, report) = match reply {
            DirectReply::Executed(report) => (true, report),
            DirectReply::Refused(report) => (false, report),
            DirectReply::Unclear => {
                // It may still be executed, until the worker sees a higher token.
                if !direct.commands.is_empty() {
                    machine.token += 1;
                }
                machine.mute = true;
                machine.direct_retry = now + self.config.report * 2;
                return;
            }
        };
        if !executed {
            machine.direct_retry = now + self.config.report;
        }
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
        machine.mute = false;
        if report.token >= self.token && !machine.fenced {
            machine.fenced = true;
            machine.unresolved = false;
            self.wake();
        }
        let id = direct.machine.clone();
        self.take_in(&id, &report, false, now);
        self.requeue();
    }

    /// Everything the worker should do now, in order: room is made before it is used.
    pub(super) fn commands(&mut self, id: &MachineId, seq: Option<u64>) -> Vec<Command> {
        let machine = self.machines.get_mut(id).expect("known machine");
        let (mut ends, mut starts) = (Vec::new(), Vec::new());
        for ((task, attempt), placement) in &mut machine.tasks {
            let (task, attempt) = (task.clone(), *attempt);
            match (placement.phase, placement.stop) {
                (Phase::Seen(TaskPhase::Exited(why)), _) => {
                    // A result must be stored before the worker forgets it.
                    let stored = match self.jobs.get(&task.job) {
                        Some(job) if why == Why::Done => {
                            job.spec.kind == Kind::Service || job.saved.contains(task.index)
                        }
                        _ => true,
                    };
                    if stored {
                        ends.push(Command::Forget { task, attempt });
                    }
                }
                (Phase::Decided | Phase::Sent { .. }, None)
                    if machine.fenced && machine.entry.jobs.contains(&task.job) =>
                {
                    let (last, direct) = match placement.phase {
                        Phase::Sent { seq, direct } => (seq, direct),
                        _ => (0, None),
                    };
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
        // The answer stays under the protocol's limit for one line.
        ends.truncate(400);
        ends
    }
}
