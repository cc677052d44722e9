//! Direct commands that were executed and answered, and copies of them that arrive once more.

use std::{collections::BTreeSet, ops::Range, time::Duration};

use kiteyard::core::{
    CallId,
    cluster::DirectCommands,
    job::TaskId,
    machine::{AttemptKey, Command},
};
use rand::RngExt;

use crate::{
    draining::drained_world,
    faults::Fault,
    seeds,
    sim::{Defect, Event, MEDIUM, Scale, WorkerMessage, World, ms},
};

/// Times in milliseconds from a command until its copy arrives: from under a second to several worker
/// leases, and to more than the time allowed for a cancellation.
const COPY_DELAYS_MS: [Range<u64>; 3] = [200..900, 900..5_000, 5_000..25_000];
/// Shift in milliseconds of all faults of a scenario, by its number in the sweep.
const SHIFT_STEP_MS: u64 = 370;

const SCALE: Scale = Scale {
    duration: Duration::from_secs(60),
    ..MEDIUM
};

#[derive(Default)]
pub struct RepeatedCommands {
    /// Half of all executed commands are copied until then.
    until: Duration,
    delays_ms: Range<u64>,
    /// Attempts that each machine was told to forget.
    forgotten: BTreeSet<(String, AttemptKey)>,
    /// Copies that would start an attempt which their machine has forgotten.
    pub with_forgotten_attempts: u64,
    /// Such copies of a job whose user knows that it is cancelled.
    pub of_cancelled_jobs: u64,
}

impl World {
    pub fn repeat_commands(&mut self, until: Duration) {
        self.repeated_commands.until = until;
    }

    /// Delivers a copy of a command that was executed and answered; nobody waits for the answer.
    pub fn repeat_command(
        &mut self,
        name: &str,
        node: usize,
        call: CallId,
        direct: DirectCommands,
    ) {
        if self.now >= self.repeated_commands.until || !self.rng.random_bool(0.5) {
            return;
        }
        let delay = self
            .rng
            .random_range(self.repeated_commands.delays_ms.clone());
        let copy = WorkerMessage::Do(node, 0, call, direct);
        self.push(
            self.now + ms(delay),
            Event::WorkerMessage(name.to_owned(), copy),
        );
    }

    /// Counts a command that arrives for the worker's current session, if a start in it is of an
    /// attempt that the worker has forgotten.
    pub fn count_repeated_command(&mut self, name: &str, direct: &DirectCommands) {
        let starts = direct.commands.iter().filter_map(|command| match command {
            Command::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        let revivable: Vec<AttemptKey> =
            starts.filter(|key| self.has_forgotten(name, key)).collect();
        let is_cancelled = |key: &AttemptKey| self.observer.is_cancelled(&key.0.job);
        let counts = &mut self.repeated_commands;
        counts.with_forgotten_attempts += u64::from(!revivable.is_empty());
        counts.of_cancelled_jobs += u64::from(revivable.iter().any(is_cancelled));
    }

    fn has_forgotten(&self, name: &str, key: &AttemptKey) -> bool {
        let forgotten = &self.repeated_commands.forgotten;
        forgotten.contains(&(name.to_owned(), key.clone()))
    }

    pub fn record_forgotten(&mut self, name: &str, key: AttemptKey) {
        let forgotten = &mut self.repeated_commands.forgotten;
        forgotten.insert((name.to_owned(), key));
    }

    /// Checks a start that a machine executes: it must not have forgotten the attempt.
    pub fn check_executed_start(&mut self, name: &str, task: &TaskId, attempt: u64) {
        if self.has_forgotten(name, &(task.clone(), attempt)) {
            let detail = format!("{task} attempt {attempt} on {name}");
            self.observer.report_violation(self.now, "revived", detail);
        }
        self.observer.record_start_command(&task.job);
    }
}

/// A fault, with its time and its duration in milliseconds.
type TimedFault = (Fault, u64, u64);

struct Scenario {
    name: &'static str,
    faults: &'static [TimedFault],
}

/// Processes that crash, and machines that hang for 600 ms, are back within a second.
const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "no other fault",
        faults: &[],
    },
    Scenario {
        name: "leaders that end",
        faults: &[
            (Fault::LeaderCrash, 17_000, 0),
            (Fault::AllCrash, 26_000, 0),
            (Fault::LeaderCrash, 33_000, 0),
        ],
    },
    Scenario {
        name: "leaders that are deposed",
        faults: &[
            (Fault::LeaderFreezes, 15_000, 9_000),
            (Fault::LeaderIsolated, 29_000, 8_000),
            (Fault::RollingRestart, 40_000, 2_000),
        ],
    },
    Scenario {
        name: "machines that hang within their lease and beyond it",
        faults: &[
            (Fault::MachinesHang, 16_000, 600),
            (Fault::MachinesHang, 22_000, 5_600),
            (Fault::MachinesHang, 31_000, 600),
        ],
    },
    Scenario {
        name: "cancellations",
        faults: &[
            (Fault::CancelBurst, 16_000, 0),
            (Fault::CancelAndHang, 24_000, 600),
            (Fault::LeaderCrash, 24_500, 0),
            (Fault::CancelBurst, 32_000, 0),
        ],
    },
    Scenario {
        name: "commands that are held up and not answered",
        faults: &[
            (Fault::LateCommands, 15_000, 25_000),
            (Fault::LeaderCrash, 28_000, 0),
        ],
    },
];

fn with_repeats(mut world: World, delays_ms: Range<u64>) -> World {
    world.repeated_commands.delays_ms = delays_ms;
    world
        .with_quick_restarts()
        .with_fault(10_000, Fault::RepeatedCommands, ms(45_000))
        .with_fault(12_000, Fault::MachinesFail, ms(30_000))
}

fn world(faults: &[TimedFault], delays_ms: Range<u64>, seed: u64, defect: Defect) -> World {
    let mut world = with_repeats(World::with_scale(SCALE, seed, defect), delays_ms);
    let shift = SHIFT_STEP_MS * (seed % 8);
    for (fault, at, duration) in faults {
        world = world.with_fault(at + shift, *fault, ms(*duration));
    }
    world.run();
    world
}

#[test]
fn a_repeated_start_does_not_revive_a_forgotten_attempt() {
    for seed in seeds(3) {
        let (mut copies, mut of_cancelled_jobs) = (0, 0);
        for Scenario { name, faults } in SCENARIOS {
            for delays_ms in COPY_DELAYS_MS {
                let context = format!("{name}, copies after {delays_ms:?} ms, seed {seed}");
                let world = world(faults, delays_ms, seed, Defect::None);
                world.observer.assert_no_violations(&context);
                assert!(world.observer.finished > 4, "{context}");
                copies += world.repeated_commands.with_forgotten_attempts;
                of_cancelled_jobs += world.repeated_commands.of_cancelled_jobs;
            }
        }
        assert!(copies > 200, "seed {seed}: {copies} copies");
        assert!(of_cancelled_jobs > 10, "seed {seed}: {of_cancelled_jobs}");
    }
}

#[test]
fn a_repeated_start_does_not_revive_a_drained_task() {
    for seed in seeds(2) {
        for delays_ms in COPY_DELAYS_MS {
            let context = format!("copies after {delays_ms:?} ms, seed {seed}");
            let world = drained_world(MEDIUM, seed, 16, Defect::None);
            let mut world = with_repeats(world, delays_ms);
            world = world.with_fault(24_000 + SHIFT_STEP_MS * seed, Fault::LeaderCrash, ms(0));
            world.run();
            world.observer.assert_no_violations(&context);
            assert!(
                world.repeated_commands.with_forgotten_attempts > 10,
                "{context}"
            );
        }
    }
}

/// Shows that the observer detects a machine on which an attempt is started again.
#[test]
fn a_worker_that_executes_a_start_from_before_the_attempt_was_forgotten_is_caught() {
    let caught = |seed| {
        let defect = Defect::AcceptsEarlierTokensOfLeader;
        world(&[], COPY_DELAYS_MS[1].clone(), seed, defect)
            .observer
            .has_broken("revived")
    };
    assert!((0..4).any(caught));
}
