//! Machines that run their tasks slower than others.
//!
//! The tasks of one array are alike, so their run times are compared with one
//! another and never with their owner's estimate. The first to end are the short
//! ones: nothing is compared before half of those started have ended. One slow
//! machine makes every array late that has a task there, so arrays leave it, and
//! it is returned once it is idle. Services do not mind and may stay.

use std::time::Duration;

use tracing::info;

use super::{
    job::{Kind, TaskId},
    leader::{Job, Leader},
    machine::{Machine, MachineId, Phase, Standing, TaskPhase},
};

/// Run times of an array's tasks, as the mean of their logarithms.
#[derive(Debug, Default)]
pub struct Runs {
    count: u32,
    sum: f64,
}

/// How a machine's pace compares with others.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    /// Recent factors by which tasks took longer than usual, as a logarithm.
    recent: f64,
    /// The last factor seen that was not usual.
    factor: f64,
    /// Arrays stay away until then.
    slow_until: Duration,
}

/// How much one task counts.
const WEIGHT: f64 = 0.45;
/// A machine is slow when its tasks take so many times as long as others.
const SLOW: f64 = 1.5;
/// A task that has run so many times as long as others ran is overdue.
const OVERDUE: f64 = 2.0;
/// Moving a task pays if it would take that much longer to stay than to start again.
const GAIN: f64 = 1.3;
/// After this time a slow machine is given another chance.
const PROBATION: Duration = Duration::from_secs(60);
/// If more than one machine in so many looked slow, the comparison would be wrong.
const ONE_IN: usize = 5;

impl Pace {
    pub fn slow(&self, now: Duration) -> bool {
        now < self.slow_until
    }

    /// Takes in a task's factor; says whether the machine has just become slow.
    fn observe(&mut self, factor: f64, now: Duration) -> bool {
        let log = factor.clamp(0.25, 8.0).ln();
        self.recent += (log - self.recent) * WEIGHT;
        if factor > SLOW {
            self.factor = factor;
        }
        if self.recent < SLOW.ln() {
            return false;
        }
        let news = !self.slow(now);
        self.slow_until = now + PROBATION;
        if news {
            // Another chance starts from nothing.
            self.recent = 0.0;
        }
        news
    }
}

impl Job {
    /// How long a task of this array takes, once enough of them have ended.
    fn usual(&self) -> Option<f64> {
        let enough = self.runs.count >= 5 && self.runs.count >= self.placed;
        (enough && self.spec.kind == Kind::Array)
            .then(|| (self.runs.sum / f64::from(self.runs.count)).exp())
    }
}

impl Leader {
    /// A task has completed on a machine.
    pub(super) fn compare(&mut self, id: &MachineId, task: &TaskId, ran: Duration, now: Duration) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let ran = ran.as_secs_f64().max(0.1);
        let usual = job.usual();
        job.runs.count += 1;
        job.runs.sum += ran.ln();
        if let Some(usual) = usual {
            self.observe(id, ran / usual, now);
        }
    }

    fn observe(&mut self, id: &MachineId, factor: f64, now: Duration) {
        let (slow, all) = self
            .machines
            .values()
            .filter(|m| m.standing == Standing::Up)
            .fold((0, 0), |(slow, all), m| {
                (slow + usize::from(m.pace.slow(now)), all + 1)
            });
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if (slow + 1) * ONE_IN <= all.max(ONE_IN) && machine.pace.observe(factor, now) {
            info!(machine = %id, factor, "slow machine");
        }
    }

    /// Tasks that are overdue speak against their machine; those on slow machines
    /// start again elsewhere where that is sooner.
    pub(super) fn leave_slow_machines(&mut self, now: Duration) {
        let mut overdue: Vec<(MachineId, (TaskId, u64), f64)> = Vec::new();
        for machine in self.machines.values() {
            for (key, ran, usual) in self.comparable(machine, now) {
                let factor = ran / usual;
                if factor > OVERDUE && !machine.tasks[&key].overdue {
                    overdue.push((machine.id.clone(), key, factor));
                }
            }
        }
        for (id, key, factor) in overdue {
            if let Some(machine) = self.machines.get_mut(&id)
                && let Some(placement) = machine.tasks.get_mut(&key)
            {
                placement.overdue = true;
                self.observe(&id, factor, now);
            }
        }
        let mut moves: Vec<(MachineId, (TaskId, u64))> = Vec::new();
        for machine in self.machines.values().filter(|m| m.pace.slow(now)) {
            for (key, ran, usual) in self.comparable(machine, now) {
                // What has taken so long already may take as long again.
                let whole = (machine.pace.factor * usual).max(2.0 * ran);
                if whole - ran > GAIN * usual {
                    moves.push((machine.id.clone(), key));
                }
            }
        }
        for (id, key) in moves {
            info!(task = %key.0, machine = %id, "leaves a slow machine");
            self.stop(&id, &key, Duration::ZERO, now);
        }
    }

    /// Running tasks of arrays with how long they have run, and how long is usual.
    fn comparable(
        &self,
        machine: &Machine,
        now: Duration,
    ) -> impl Iterator<Item = ((TaskId, u64), f64, f64)> {
        machine.tasks.iter().filter_map(move |(key, p)| {
            let running = p.phase == Phase::Seen(TaskPhase::Running);
            if !running || p.stopping() || p.foreign {
                return None;
            }
            let usual = self.jobs.get(&key.0.job)?.usual()?;
            let ran = now.saturating_sub(p.running_since?).as_secs_f64();
            Some((key.clone(), ran, usual))
        })
    }
}
