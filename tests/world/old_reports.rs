//! Old reports: copies that are kept and reach every controller as the next leader starts, and
//! reports that are held back until a new leader has acted.

use std::{collections::BTreeMap, time::Duration};

use kiteyard::core::{
    Answer, Input, Output,
    job::TaskId,
    machine::{Command, WorkerReport},
    store::{Change, LEADER_KEY},
};
use rand::RngExt;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, Event, LONG, MEDIUM, NODES, Scale, World, ms},
};

#[derive(Default)]
pub struct OldReports {
    /// A quarter of all reports is copied for the next leader until then.
    kept_until: Duration,
    /// If set, the last report of each machine is copied instead, and its copy reaches every node
    /// this long after the claim.
    pub last_copy_delay: Option<Duration>,
    kept: Vec<WorkerReport>,
    /// Attempts that delivered copies list as alive.
    copied_attempts: BTreeMap<TaskId, u64>,
    /// A twelfth of all reports is held back until then.
    held_until: Duration,
    /// Reports held back, each with the claim that was current when it was sent.
    held: Vec<(u64, WorkerReport)>,
    /// Newest committed claim.
    claim: u64,
    /// Copies that reached a node within a second after a claim.
    pub copies_after_claim: u64,
    /// Held reports that reached a leader which had begun to start tasks.
    pub held_after_action: u64,
}

fn starts(commands: &[Command]) -> bool {
    let mut commands = commands.iter();
    commands.any(|command| matches!(command, Command::Start { .. }))
}

impl OldReports {
    /// Returns the attempt of a task that a delivered copy lists as alive.
    pub fn copied_attempt(&self, task: &TaskId) -> Option<u64> {
        self.copied_attempts.get(task).copied()
    }
}

impl World {
    pub fn keep_reports(&mut self, until: Duration) {
        self.old_reports.kept_until = until;
    }

    pub fn hold_reports(&mut self, until: Duration) {
        self.old_reports.held_until = until;
    }

    fn deliver_old_report(&mut self, node: usize, at: Duration, mut report: WorkerReport) {
        match self.defect {
            Defect::AcceptsDuplicateReports => report.seq += 20,
            Defect::OldReportsCarryNewToken => report.token = self.old_reports.claim << 16,
            _ => {}
        }
        self.next_request += 1;
        let request = self.next_request;
        self.push(at, Event::Message(node, Input::Report { request, report }));
    }

    /// Handles a report that a worker sends; returns whether it is held back.
    pub fn intercept_report(&mut self, report: &WorkerReport) -> bool {
        if self.now < self.old_reports.kept_until {
            self.keep_copy(report);
        }
        let is_held = self.now < self.old_reports.held_until && self.rng.random_range(0..12) == 0;
        if is_held {
            let claim = self.old_reports.claim;
            self.old_reports.held.push((claim, report.clone()));
        }
        is_held
    }

    fn keep_copy(&mut self, report: &WorkerReport) {
        let kept = &mut self.old_reports.kept;
        if self.old_reports.last_copy_delay.is_some() {
            kept.retain(|copy| copy.machine != report.machine);
            kept.push(report.clone());
        } else if self.rng.random_range(0..4) == 0 {
            kept.push(report.clone());
        }
    }

    /// Delivers the kept copies to every node after a claim, as the leader starts.
    pub fn deliver_kept_reports(&mut self, changes: &[Change], claim: u64) {
        let claims = |c: &Change| matches!(c, Change::Put { key, .. } if key == LEADER_KEY);
        if !changes.iter().any(claims) {
            return;
        }
        self.old_reports.claim = claim;
        for report in std::mem::take(&mut self.old_reports.kept) {
            let alive = report.tasks.iter().filter(|task| !task.phase.exited());
            let alive = alive.map(|task| (task.task.clone(), task.attempt));
            self.old_reports.copied_attempts.extend(alive);
            for node in 0..NODES {
                let delay = match self.old_reports.last_copy_delay {
                    Some(delay) => delay + ms(self.rng.random_range(1..30)),
                    None => ms(self.rng.random_range(1..900)),
                };
                let at = self.now + delay;
                self.deliver_old_report(node, at, report.clone());
                self.old_reports.copies_after_claim += 1;
            }
        }
    }

    /// Delivers the reports held back under a former claim, once the new leader starts tasks.
    pub fn deliver_held_reports(&mut self, node: usize, output: &Output) {
        let token = match output {
            Output::Answer {
                answer: Answer::Commands { token, commands },
                ..
            } if starts(commands) => *token,
            Output::Direct { direct, .. } if starts(&direct.commands) => direct.token,
            _ => return,
        };
        let claim = token >> 16;
        let held = std::mem::take(&mut self.old_reports.held);
        let (due, held): (Vec<_>, Vec<_>) = held.into_iter().partition(|(sent, _)| *sent < claim);
        self.old_reports.held = held;
        for (_, report) in due {
            let at = self.now + ms(self.rng.random_range(20..2_000));
            self.deliver_old_report(node, at, report);
            self.old_reports.held_after_action += 1;
        }
    }
}

/// Leaders change four times, once with a crash of all nodes, while old reports arrive.
fn world(scale: Scale, seed: u64, fault: Fault, defect: Defect) -> World {
    let mut world = World::with_scale(scale, seed, defect).with_quick_restarts();
    world = world.with_fault(12_000, fault, Duration::from_secs(45));
    for (at, leader_fault) in [
        (18_000, Fault::LeaderCrash),
        (27_000, Fault::LeaderFreezes),
        (41_000, Fault::AllCrash),
        (50_000, Fault::LeaderCrash),
    ] {
        world = world.with_fault(at, leader_fault, Duration::from_secs(9));
    }
    world.run();
    world
}

fn assert_rules_hold(fault: Fault, delivered: fn(&World) -> u64) {
    for seed in seeds(2) {
        let mut finished = 0;
        for scale in [MEDIUM, LONG] {
            let world = world(scale, seed, fault, Defect::None);
            let context = format!("{fault:?}, seed {seed}");
            world.observer.assert_no_violations(&context);
            assert!(
                delivered(&world) > 10,
                "{context}: {} old reports delivered",
                delivered(&world)
            );
            finished += world.observer.finished;
        }
        assert!(finished > 8, "seed {seed}: {finished} finished");
    }
}

#[test]
fn rules_hold_when_old_reports_reach_every_node_as_a_leader_starts() {
    assert_rules_hold(Fault::ReplayedReports, |world| {
        world.old_reports.copies_after_claim
    });
}

#[test]
fn rules_hold_when_reports_arrive_after_a_new_leader_has_acted() {
    assert_rules_hold(Fault::HeldReports, |world| {
        world.old_reports.held_after_action
    });
}

fn assert_caught(fault: Fault, defect: Defect) {
    let violations = |scale, seed| world(scale, seed, fault, defect).observer.violations();
    let ran_twice = |scale, seed| {
        violations(scale, seed)
            .iter()
            .any(|v| v.starts_with("ran_twice"))
    };
    let caught = (0..8).any(|seed| ran_twice(MEDIUM, seed) || ran_twice(LONG, seed));
    assert!(caught, "{defect:?} was not caught with {fault:?}");
}

/// The new leader would consider a machine empty because of a report from before its last start
/// command.
#[test]
fn an_old_report_that_counts_as_fenced_by_the_new_leader_is_caught() {
    assert_caught(Fault::ReplayedReports, Defect::OldReportsCarryNewToken);
    assert_caught(Fault::HeldReports, Defect::OldReportsCarryNewToken);
}

#[test]
fn an_old_report_that_counts_as_the_newest_is_caught() {
    assert_caught(Fault::ReplayedReports, Defect::AcceptsDuplicateReports);
    assert_caught(Fault::HeldReports, Defect::AcceptsDuplicateReports);
}
