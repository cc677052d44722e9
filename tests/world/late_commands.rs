//! Direct commands that are delayed, unanswered, and executed on arrival if token and session still
//! match; and bursts of cancellations whose machines hang.

use std::time::Duration;

use rand::RngExt;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, Event, LONG, MEDIUM, NODES, Scale, World, ms},
};

/// Maximum number of machines with tasks of a burst's jobs that hang.
const MAX_HUNG_MACHINES: usize = 8;

#[derive(Default)]
pub struct LateCommands {
    /// A third of all direct commands is delayed until then.
    until: Duration,
    /// Commands that arrived after their worker had seen a later claim.
    pub after_newer_leader: u64,
    /// Commands that arrived after their session had ended.
    pub after_session: u64,
    /// Machines that hung with a cancelled task on them.
    pub hung_with_cancelled: usize,
}

impl World {
    pub fn delay_commands(&mut self, until: Duration) {
        self.late_commands.until = until;
    }

    /// Returns the delay of a direct command, if it is delayed and thus unanswered.
    pub fn late_command_delay(&mut self) -> Option<Duration> {
        let late = self.now < self.late_commands.until && self.rng.random_range(0..3) == 0;
        late.then(|| ms(self.rng.random_range(2_000..16_000)))
    }

    /// Counts a direct command that arrives at a worker which has seen this token and session.
    pub fn count_late_command(&mut self, token: (u64, u64), session: (u64, u64)) {
        let ((sent_token, seen_token), (sent_session, seen_session)) = (token, session);
        self.late_commands.after_newer_leader += u64::from(sent_token >> 16 < seen_token >> 16);
        self.late_commands.after_session += u64::from(sent_session < seen_session);
    }

    /// Cancels most running jobs within 200 ms, and makes some machines with their tasks hang.
    pub fn cancel_and_hang(&mut self, hang: Duration) {
        let mut cancelled = Vec::new();
        for job in self.running_jobs() {
            if self.rng.random_bool(0.7) {
                let at = self.now + ms(self.rng.random_range(0..200));
                self.withdraw(job, self.now);
                for again in [0, 300, 1_200] {
                    let node = self.rng.random_range(0..NODES);
                    self.push(at + ms(again), Event::UserPollAt(job, node));
                }
                cancelled.push(job);
            }
        }
        let until = self.now + hang;
        let names = self.machines_of(&cancelled);
        for name in names.into_iter().take(MAX_HUNG_MACHINES) {
            self.hang(&name, until);
            self.late_commands.hung_with_cancelled += 1;
        }
    }
}

/// Delays commands while machines hang beyond their lease, or cannot report and so miss a newer
/// token, and while leaders crash or are deposed.
fn world(scale: Scale, seed: u64, defect: Defect) -> World {
    let mut world = World::with_scale(scale, seed, defect).with_quick_restarts();
    for (at, fault, seconds) in [
        (12_000, Fault::LateCommands, 50),
        (14_000, Fault::ReportsBlocked, 25),
        (16_000, Fault::LeaderCrash, 0),
        (20_000, Fault::MachinesHang, 6),
        (24_000, Fault::LeaderFreezes, 9),
        (38_000, Fault::LeaderIsolated, 8),
        (40_000, Fault::MachinesHang, 4),
        (50_000, Fault::AllCrash, 0),
    ] {
        world = world.with_fault(at, fault, Duration::from_secs(seconds));
    }
    world.run();
    world
}

#[test]
fn rules_hold_when_commands_arrive_after_a_newer_leaders_or_their_session() {
    for seed in seeds(2) {
        let (mut deposed, mut after_session, mut finished) = (0, 0, 0);
        for scale in [MEDIUM, LONG] {
            let world = world(scale, seed, Defect::None);
            let context = format!("seed {seed}");
            world.observer.assert_no_violations(&context);
            finished += world.observer.finished;
            deposed += world.late_commands.after_newer_leader;
            after_session += world.late_commands.after_session;
        }
        assert!(finished > 8, "seed {seed}: {finished} finished");
        assert!(
            deposed > 4,
            "seed {seed}: {deposed} commands arrived after a newer leader's"
        );
        assert!(
            after_session > 4,
            "seed {seed}: {after_session} commands arrived after their session"
        );
    }
}

fn assert_caught(defect: Defect) {
    let violations = |scale, seed| world(scale, seed, defect).observer.violations();
    let ran_twice = |scale, seed| {
        violations(scale, seed)
            .iter()
            .any(|v| v.starts_with("ran_twice"))
    };
    let caught = (0..8).any(|seed| ran_twice(MEDIUM, seed) || ran_twice(LONG, seed));
    assert!(caught, "{defect:?} was not caught");
}

#[test]
fn a_command_of_a_former_leader_that_is_executed_is_caught() {
    assert_caught(Defect::AcceptsOldTokens);
}

/// Two bursts of cancellations of long tasks, whose machines hang within their lease and beyond
/// it, and a leader that crashes.
fn burst_world(seed: u64, defect: Defect) -> World {
    let mut world = World::with_scale(LONG, seed, defect).with_quick_restarts();
    for (at, fault, hang) in [
        (20_000, Fault::CancelAndHang, 4_000),
        (21_000, Fault::LeaderCrash, 0),
        (40_000, Fault::CancelAndHang, 9_000),
    ] {
        world = world.with_fault(at, fault, ms(hang));
    }
    world.run();
    let hung = world.late_commands.hung_with_cancelled;
    assert!(hung > 8, "seed {seed}: {hung} machines hung");
    world
}

#[test]
fn cancelled_tasks_stop_in_time_when_their_machines_hang() {
    for seed in seeds(4) {
        let violations = burst_world(seed, Defect::None).observer.violations();
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_cancelled_task_that_continues_after_its_machine_hung_is_caught() {
    let caught = |seed| {
        let violations = burst_world(seed, Defect::HungMachinesIgnoreStop)
            .observer
            .violations();
        violations.iter().any(|v| v.starts_with("ran_cancelled"))
    };
    assert!((0..6).any(caught));
}
