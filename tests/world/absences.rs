//! Controllers that are unavailable: all of them, a zone with its workers and controller, or all
//! but one after a handover in both directions.

use std::time::Duration;

use kiteyard::core::store::{Change, LEADER_KEY};
use rand::RngExt;

use crate::{
    cases::Case,
    seeds,
    sim::{Event, LONG, MEDIUM, NODES, SMALL, Sabotage, Scale, World, ms},
};

/// Progress of a handover to another node and back, after which all nodes stop.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum HandingOver {
    #[default]
    None,
    /// The first leader was asked to step down at this time.
    Over(Duration),
    /// The second leader was asked to step down as well.
    Back(Duration),
}

#[derive(Default)]
pub struct Absences {
    handing_over: HandingOver,
    /// Time from the first handover to the stop of all nodes, for each run of the fault.
    handed_back: Vec<Duration>,
    /// Downtime of the other nodes after the next stop of all.
    away: Duration,
}

impl World {
    /// Stops all processes and restarts them after a time longer than any lease.
    pub fn all_away(&mut self, lasts: Duration) {
        for node in 0..NODES {
            self.push(self.now, Event::End(node));
            let late = ms(self.rng.random_range(0..1_500));
            self.push(self.now + lasts + late, Event::Restart(node));
        }
    }

    /// Makes the leader step down, and the next one as soon as it has claimed; all nodes stop at
    /// the claim after that, and one restarts within a second.
    pub fn hand_over_and_back(&mut self, away: Duration) {
        self.absences.away = away;
        self.absences.handing_over = HandingOver::Over(self.now);
        self.push(self.now, Event::StepDown);
    }

    pub fn absences_meet_claim(&mut self, changes: &[Change]) {
        let claims = |c: &Change| matches!(c, Change::Put { key, .. } if key == LEADER_KEY);
        if !changes.iter().any(claims) {
            return;
        }
        match self.absences.handing_over {
            HandingOver::None => {}
            HandingOver::Over(from) => {
                self.absences.handing_over = HandingOver::Back(from);
                // A node can step down only after it has learned that it leads.
                for again in 1..25 {
                    self.push(self.now + ms(again * 120), Event::StepDown);
                }
            }
            HandingOver::Back(from) => {
                self.absences.handing_over = HandingOver::None;
                self.absences.handed_back.push(self.now - from);
                let end = self.now + ms(self.rng.random_range(0..60));
                let first = self.rng.random_range(0..NODES);
                for node in 0..NODES {
                    self.push(end, Event::End(node));
                    let back = match node == first {
                        true => ms(self.rng.random_range(50..900)),
                        false => self.absences.away,
                    };
                    self.push(end + back, Event::Restart(node));
                }
            }
        }
    }
}

fn world(scale: Scale, seed: u64, sabotage: Sabotage, troubles: &[(u64, Case, u64)]) -> World {
    let mut world = World::sized(scale, seed, sabotage);
    // Operators can ask a leader to step down only where rollouts are enabled.
    if troubles.iter().any(|t| t.1 == Case::HandOverAndBack) {
        world = world.rolling("4");
    }
    for (at, case, lasts) in troubles {
        world = world.with(*at, *case, ms(*lasts));
    }
    world.run();
    world
}

fn holds(troubles: &[(u64, Case, u64)]) {
    for seed in seeds(2) {
        let mut finished = 0;
        for scale in [MEDIUM, LONG] {
            let mut world = world(scale, seed, Sabotage::None, troubles);
            world.observer.ends(world.now, Duration::from_secs(20));
            let what = format!("seed {seed}, {troubles:?}");
            assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
            finished += world.observer.finished;
        }
        assert!(finished > 3, "seed {seed}: {finished} finished");
    }
}

fn caught(scale: Scale, sabotage: Sabotage, troubles: &[(u64, Case, u64)], rule: &str) {
    let broken = |seed| world(scale, seed, sabotage, troubles).observer.broken();
    let hit = (0..8).any(|seed| broken(seed).iter().any(|b| b.starts_with(rule)));
    assert!(hit, "{sabotage:?} was not caught as {rule}");
}

/// Longer than a lease of 5 s, a leader term of about 14 s, and `cancel_s`.
const ALL_AWAY: [(u64, Case, u64); 2] = [
    (18_000, Case::AllAway, 7_000),
    (40_000, Case::AllAway, 22_000),
];

#[test]
fn rules_hold_while_all_controllers_are_away_for_longer_than_a_lease() {
    holds(&ALL_AWAY);
    holds(&[
        (18_000, Case::CancelAndHang, 4_000),
        (18_400, Case::AllAway, 8_000),
    ]);
}

/// Answers given before the downtime survive only in the state service.
#[test]
fn ends_that_only_processes_remember_are_caught() {
    caught(
        SMALL.quiet(30),
        Sabotage::ForgetEnds,
        &ALL_AWAY,
        "forgotten",
    );
}

const ZONE_CUT: [(u64, Case, u64); 2] = [
    (18_000, Case::ZoneCut, 12_000),
    (45_000, Case::LeaderZoneCut, 12_000),
];

#[test]
fn rules_hold_while_a_zone_is_cut_off_for_longer_than_a_lease() {
    holds(&ZONE_CUT);
    holds(&[
        (18_000, Case::ZoneCut, 25_000),
        (20_000, Case::CancelAndHang, 4_000),
    ]);
}

/// Guards against a follower that answers reports. The controller in the partitioned zone does not
/// lead; its answers would renew leases that the leader outside the zone considers expired.
#[test]
fn a_follower_that_renews_leases_is_caught() {
    caught(LONG, Sabotage::FollowersRenew, &ZONE_CUT, "ran_twice");
}

const HANDED_BACK: [(u64, Case, u64); 3] = [
    (16_000, Case::HandOverAndBack, 8_000),
    (34_000, Case::HandOverAndBack, 4_000),
    (50_000, Case::HandOverAndBack, 8_000),
];

#[test]
fn rules_hold_where_leaders_hand_over_and_back_and_one_returns() {
    holds(&HANDED_BACK);
    for seed in seeds(2) {
        let world = world(LONG, seed, Sabotage::None, &HANDED_BACK);
        let handed_back = &world.absences.handed_back;
        assert!(handed_back.len() > 1, "seed {seed}: {handed_back:?}");
        let quick = handed_back.iter().filter(|took| **took < ms(1_000));
        assert!(quick.count() > 0, "seed {seed}: {handed_back:?}");
    }
}

/// The node that restarts alone learns only from the assignment index which jobs an unresponsive
/// machine may hold.
#[test]
fn a_roster_that_names_no_jobs_is_caught_after_handing_over_and_back() {
    let mut troubles = HANDED_BACK.to_vec();
    troubles.push((15_500, Case::Deaf, 12_000));
    troubles.push((15_500, Case::Hang, 4_500));
    caught(LONG, Sabotage::RosterWithoutJobs, &troubles, "ran_twice");
}
