//! Old reports: copies that are kept and reach every controller as the next leader starts, and
//! reports that are held back until a new leader has acted.

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
    /// A quarter of all reports is copied for the next leader until then.
    kept_until: Duration,
    kept: Vec<WorkerReport>,
    /// A twelfth of all reports is held back until then.
    held_until: Duration,
    /// Reports held back, each with the claim that was current when it was sent.
    held: Vec<(u64, WorkerReport)>,
    /// Newest committed claim.
    claim: u64,
    /// Copies that reached a node within a second after a claim.
    pub met_claim: u64,
    /// Held reports that reached a leader which had begun to start tasks.
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

    /// Handles a report that a worker sends; returns whether it is held back.
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

    /// Delivers the kept copies to every node after a claim, as the leader starts.
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

    /// Delivers the reports held back under a former claim, once the new leader starts tasks.
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

/// Leaders change four times, once with a crash of all nodes, while reports are old.
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
            assert!(
                met(&world) > 10,
                "{what}: {} old reports delivered",
                met(&world)
            );
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

/// The new leader would consider a machine empty because of a report from before its last start
/// command.
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
