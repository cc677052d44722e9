//! Old reports: copies that are kept and reach every controller as the next leader begins,
//! and reports that are held back until a new leader has acted.

use std::time::Duration;

use kiteyard::core::{
    Answer, Input, Output,
    machine::{Command, WorkerReport},
    store::{Change, LEADER_KEY},
};
use rand::RngExt;

use crate::{
    cases::Case,
    seeds,
    sim::{Event, LONG, MEDIUM, NODES, Sabotage, Scale, World, ms},
};

#[derive(Default)]
pub struct OldReports {
    /// Until then a part of all reports is copied, for the next leader.
    kept_until: Duration,
    kept: Vec<WorkerReport>,
    /// Until then a part of all reports is held back.
    held_until: Duration,
    /// Each with the claim that stood when it was sent.
    held: Vec<(u64, WorkerReport)>,
    /// The newest claim that was committed.
    claim: u64,
    /// Copies that came to a node within a second after a claim.
    pub met_claim: u64,
    /// Held reports that came to a leader which had begun to start tasks.
    pub met_action: u64,
}

fn starts(commands: &[Command]) -> bool {
    let mut commands = commands.iter();
    commands.any(|command| matches!(command, Command::Start { .. }))
}

impl World {
    pub fn keep_copies(&mut self, until: Duration) {
        self.old_reports.kept_until = until;
    }

    pub fn hold_reports(&mut self, until: Duration) {
        self.old_reports.held_until = until;
    }

    fn old_report(&mut self, node: usize, at: Duration, mut report: WorkerReport) {
        match self.sabotage {
            Sabotage::BelievesCopies => report.seq += 20,
            Sabotage::CopiesShowNewToken => report.token = self.old_reports.claim << 16,
            _ => {}
        }
        self.next_request += 1;
        let request = self.next_request;
        self.push(at, Event::Line(node, Input::Report { request, report }));
    }

    /// A worker sends a report: says whether it is held back.
    pub fn report_sent(&mut self, report: &WorkerReport) -> bool {
        if self.now < self.old_reports.kept_until && self.rng.random_range(0..4) == 0 {
            self.old_reports.kept.push(report.clone());
        }
        let holds = self.now < self.old_reports.held_until && self.rng.random_range(0..12) == 0;
        if holds {
            let claim = self.old_reports.claim;
            self.old_reports.held.push((claim, report.clone()));
        }
        holds
    }

    /// A claim was committed: what was kept reaches every node as the leader begins.
    pub fn old_reports_meet_claim(&mut self, changes: &[Change], claim: u64) {
        let claims = |c: &Change| matches!(c, Change::Put { key, .. } if key == LEADER_KEY);
        if !changes.iter().any(claims) {
            return;
        }
        self.old_reports.claim = claim;
        for report in std::mem::take(&mut self.old_reports.kept) {
            for node in 0..NODES {
                let at = self.now + ms(self.rng.random_range(1..900));
                self.old_report(node, at, report.clone());
                self.old_reports.met_claim += 1;
            }
        }
    }

    /// A leader starts tasks: what was held back under a former claim comes to it now.
    pub fn old_reports_meet_action(&mut self, node: usize, output: &Output) {
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
            self.old_report(node, at, report);
            self.old_reports.met_action += 1;
        }
    }
}

/// Leaders change four times, once with all nodes ending, while reports are old.
fn world(scale: Scale, seed: u64, case: Case, sabotage: Sabotage) -> World {
    let mut world = World::sized(scale, seed, sabotage).quick();
    world = world.with(12_000, case, Duration::from_secs(45));
    for (at, ends) in [
        (18_000, Case::LeaderEnds),
        (27_000, Case::Stands),
        (41_000, Case::AllEnd),
        (50_000, Case::LeaderEnds),
    ] {
        world = world.with(at, ends, Duration::from_secs(9));
    }
    world.run();
    world
}

fn holds(case: Case, met: fn(&World) -> u64) {
    for seed in seeds(2) {
        let mut finished = 0;
        for scale in [MEDIUM, LONG] {
            let world = world(scale, seed, case, Sabotage::None);
            let what = format!("{case:?}, seed {seed}");
            assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
            assert!(met(&world) > 10, "{what}: {} met", met(&world));
            finished += world.observer.finished;
        }
        assert!(finished > 8, "seed {seed}: {finished} finished");
    }
}

#[test]
fn rules_hold_where_copies_reach_every_node_as_a_leader_begins() {
    holds(Case::KeptCopies, |world| world.old_reports.met_claim);
}

#[test]
fn rules_hold_where_reports_come_after_a_new_leader_has_acted() {
    holds(Case::HeldReports, |world| world.old_reports.met_action);
}

fn caught(case: Case, sabotage: Sabotage) {
    let broken = |scale, seed| world(scale, seed, case, sabotage).observer.broken();
    let twice = |scale, seed| {
        broken(scale, seed)
            .iter()
            .any(|b| b.starts_with("ran_twice"))
    };
    let caught = (0..8).any(|seed| twice(MEDIUM, seed) || twice(LONG, seed));
    assert!(caught, "{sabotage:?} was not caught with {case:?}");
}

/// A machine would be taken for empty by what it reported before it was last told to start.
#[test]
fn an_old_report_that_counts_as_fenced_by_the_new_leader_is_caught() {
    caught(Case::KeptCopies, Sabotage::CopiesShowNewToken);
    caught(Case::HeldReports, Sabotage::CopiesShowNewToken);
}

#[test]
fn an_old_report_that_counts_as_the_newest_is_caught() {
    caught(Case::KeptCopies, Sabotage::BelievesCopies);
    caught(Case::HeldReports, Sabotage::BelievesCopies);
}
