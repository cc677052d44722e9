//! Direct commands that are delayed, unanswered, and executed once if token and session still
//! match; and bursts of cancellations whose machines hang.

use std::time::Duration;

use rand::RngExt;

use crate::{
    cases::Case,
    seeds,
    sim::{Event, LONG, MEDIUM, NODES, Sabotage, Scale, World, ms},
};

/// Maximum number of machines with tasks of a burst's jobs that hang.
const HANGING_MOST: usize = 8;

#[derive(Default)]
pub struct LateCommands {
    /// A third of all direct commands is delayed until then.
    until: Duration,
    /// Commands that arrived after their worker had seen a later claim.
    pub after_newer_leader: u64,
    /// Commands that arrived after their session was over.
    pub after_session: u64,
    /// Machines that hung with a cancelled task on them.
    pub hung_with_cancelled: usize,
}

impl World {
    pub fn delay_commands(&mut self, until: Duration) {
        self.late_commands.until = until;
    }

    /// Returns the delay of a direct command, if it is delayed and thus unanswered.
    pub fn late_command(&mut self) -> Option<Duration> {
        let late = self.now < self.late_commands.until && self.rng.random_range(0..3) == 0;
        late.then(|| ms(self.rng.random_range(2_000..16_000)))
    }

    /// Counts a direct command that arrives at a worker which has seen this token and session.
    pub fn command_arrives(&mut self, token: (u64, u64), session: (u64, u64)) {
        let ((sent, seen), (meant, lives)) = (token, session);
        self.late_commands.after_newer_leader += u64::from(sent >> 16 < seen >> 16);
        self.late_commands.after_session += u64::from(meant < lives);
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
                    self.push(at + ms(again), Event::UserAt(job, node));
                }
                cancelled.push(job);
            }
        }
        let until = self.now + hang;
        let names = self.machines_of(&cancelled);
        for name in names.into_iter().take(HANGING_MOST) {
            self.hang(&name, until);
            self.late_commands.hung_with_cancelled += 1;
        }
    }
}

/// Delays commands while machines hang beyond their lease or learn of a newer token by no report,
/// and while leaders crash or are deposed.
fn world(scale: Scale, seed: u64, sabotage: Sabotage) -> World {
    let mut world = World::sized(scale, seed, sabotage).quick();
    for (at, case, seconds) in [
        (12_000, Case::LateCommands, 50),
        (14_000, Case::Mute, 25),
        (16_000, Case::LeaderEnds, 0),
        (20_000, Case::Hang, 6),
        (24_000, Case::Stands, 9),
        (38_000, Case::LeaderApart, 8),
        (40_000, Case::Hang, 4),
        (50_000, Case::AllEnd, 0),
    ] {
        world = world.with(at, case, Duration::from_secs(seconds));
    }
    world.run();
    world
}

#[test]
fn rules_hold_where_commands_come_after_a_newer_leaders_or_their_session() {
    for seed in seeds(2) {
        let (mut deposed, mut over, mut finished) = (0, 0, 0);
        for scale in [MEDIUM, LONG] {
            let world = world(scale, seed, Sabotage::None);
            let what = format!("seed {seed}");
            assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
            finished += world.observer.finished;
            deposed += world.late_commands.after_newer_leader;
            over += world.late_commands.after_session;
        }
        assert!(finished > 8, "seed {seed}: {finished} finished");
        assert!(
            deposed > 4,
            "seed {seed}: {deposed} commands arrived after a newer leader's"
        );
        assert!(
            over > 4,
            "seed {seed}: {over} commands arrived after their session"
        );
    }
}

fn caught(sabotage: Sabotage) {
    let broken = |scale, seed| world(scale, seed, sabotage).observer.broken();
    let twice = |scale, seed| {
        broken(scale, seed)
            .iter()
            .any(|b| b.starts_with("ran_twice"))
    };
    let caught = (0..8).any(|seed| twice(MEDIUM, seed) || twice(LONG, seed));
    assert!(caught, "{sabotage:?} was not caught");
}

#[test]
fn a_command_of_a_former_leader_that_is_carried_out_is_caught() {
    caught(Sabotage::OldTokensCount);
}

/// Two bursts of cancellations over long tasks, whose machines hang within their lease and beyond
/// it, and a leader that crashes.
fn burst(seed: u64, sabotage: Sabotage) -> World {
    let mut world = World::sized(LONG, seed, sabotage).quick();
    for (at, case, hang) in [
        (20_000, Case::CancelAndHang, 4_000),
        (21_000, Case::LeaderEnds, 0),
        (40_000, Case::CancelAndHang, 9_000),
    ] {
        world = world.with(at, case, ms(hang));
    }
    world.run();
    let hung = world.late_commands.hung_with_cancelled;
    assert!(hung > 8, "seed {seed}: {hung} machines hung");
    world
}

#[test]
fn cancelled_tasks_are_gone_in_time_where_their_machines_hang() {
    for seed in seeds(4) {
        let broken = burst(seed, Sabotage::None).observer.broken();
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_cancelled_task_that_goes_on_after_its_machine_hung_is_caught() {
    let caught = |seed| {
        let broken = burst(seed, Sabotage::SparesHung).observer.broken();
        broken.iter().any(|b| b.starts_with("ran_cancelled"))
    };
    assert!((0..6).any(caught));
}
