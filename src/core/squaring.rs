//! The start of a leader in its book: who of the stored machines is heard, what waits for
//! the rest, and what becomes of tasks that it did not start.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard_recovery::{
    squaring::{Count, Input, Output, Patience, Squaring},
    verdict::{Book, Reported, Verdict, verdict},
};
use tracing::info;

use super::{
    config::Config,
    job::{JobSpec, TaskId},
    leader::{Leader, Slot},
    machine::{Machine, Standing, TaskPhase, Why},
    pulse::WORKER_RETRY,
};

/// Orders that wait while the leader begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Order {
    Preempt,
    Rent,
}

#[derive(Debug)]
pub struct Start {
    squaring: Squaring,
    /// What was held back since that was logged last.
    held: BTreeMap<Order, u32>,
    next_log: Duration,
}

impl Start {
    pub fn new(config: &Config, now: Duration) -> Self {
        // A worker whose node is gone tries the next one, and reports at least that often.
        let patience = Patience {
            most: config.report * 5 / 4 + WORKER_RETRY,
            quiet: config.report / 4,
        };
        Self {
            squaring: Squaring::new(patience, now),
            held: BTreeMap::new(),
            next_log: now,
        }
    }
}

impl Leader {
    /// Takes in how far the stored machines are heard.
    pub(super) fn square(&mut self, now: Duration) {
        if !self.start.squaring.hears_any() {
            return;
        }
        let mut counts: BTreeMap<Arc<str>, Count> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.entry.stored) {
            let count = counts.entry(machine.zone.clone()).or_insert_with(|| Count {
                cut: !self.reaches(&machine.zone),
                ..Count::default()
            });
            count.stored += 1;
            count.silent += usize::from(awaited(machine));
        }
        let outputs = self.start.squaring.step(now, Input::Heard(counts));
        self.squared(outputs);
        if now >= self.start.next_log && !self.start.held.is_empty() {
            let held = std::mem::take(&mut self.start.held);
            let (first, room) = (held.get(&Order::Preempt), held.get(&Order::Rent));
            info!(preemptions = first, rentals = room, "orders held");
            self.start.next_log = now + Duration::from_secs(1);
        }
    }

    /// Machines were lost in one look. Most of them: this leader was away, not they. Their
    /// workers are back once they try again, and what went to the first few to come would
    /// fetch images that others have.
    pub(super) fn lost_at_once(&mut self, lost: usize, now: Duration) {
        if lost == 0 {
            return;
        }
        let lives = |m: &&Machine| matches!(m.standing, Standing::Up | Standing::Leaving);
        if lost > self.machines.values().filter(lives).count() {
            self.next_pass = now + WORKER_RETRY * 6 / 5;
        }
        self.requeue();
    }

    /// The cloud's list was read whole.
    pub(super) fn squares_list(&mut self, now: Duration) {
        let outputs = self.start.squaring.step(now, Input::Listed);
        self.squared(outputs);
    }

    fn squared(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Stage {
                    zone,
                    stage,
                    heard,
                    stored,
                } => info!(%zone, ?stage, heard, of = stored, "squaring"),
                Output::Squared { after } => info!(?after, "squared"),
                Output::Listed => {}
            }
            // What was held back may go on.
            self.requeue();
        }
    }

    /// A machine that is about to be heard may have room for a task of the job: nobody is
    /// stopped and nothing is rented for it yet.
    pub(super) fn room_may_come(&mut self, spec: &JobSpec, order: Order) -> bool {
        let squaring = &self.start.squaring;
        let comes = squaring.hears_any()
            && self.machines.values().any(|m| {
                awaited(m)
                    && squaring.hearing(&m.zone)
                    && spec.allows_type(&m.machine_type)
                    && spec.allows_place(&m.zone, m.spot)
                    && spec.need.fits_in(&m.size)
            });
        if comes {
            *self.start.held.entry(order).or_insert(0) += 1;
        }
        comes
    }

    /// What a former leader rented may not be known yet.
    pub(super) fn unlisted(&self, now: Duration) -> bool {
        self.start.squaring.unlisted(now)
    }

    /// What becomes of a task that this leader did not start.
    pub(super) fn verdict(&self, task: &TaskId, phase: TaskPhase) -> Verdict {
        let job = self.jobs.get(&task.job);
        let slot = job.and_then(|job| job.slots.get(task.index as usize));
        let book = match slot {
            None => Book::Unknown,
            Some(Slot::Waiting) => Book::Waiting,
            Some(Slot::On(_)) => Book::Elsewhere,
            Some(Slot::Done) => Book::Done,
        };
        let reported = match phase {
            TaskPhase::Exited(Why::Done) => Reported::Completed,
            phase if phase.exited() => Reported::Ended,
            _ => Reported::Alive,
        };
        verdict(book, reported)
    }
}

/// Not heard, nor given up on.
fn awaited(machine: &Machine) -> bool {
    machine.unresolved && !machine.mute && !machine.listed_failed
}
