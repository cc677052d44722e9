//! Controllers that are unavailable: all of them, a zone with its workers and controller, or all
//! but one after a handover in both directions.

use std::time::Duration;

use kiteyard::core::store::{Change, LEADER_KEY};
use rand::RngExt;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, Event, LONG, MEDIUM, NODES, SMALL, Scale, World, ms},
};

/// Progress of a handover to another node and back, after which all nodes stop.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum HandoverProgress {
    #[default]
    None,
    /// The first leader received a request to step down at this time.
    FirstRequested(Duration),
    /// The second leader received one as well; the time is that of the first request.
    SecondRequested(Duration),
}

#[derive(Default)]
pub struct ControllerDowntime {
    handover: HandoverProgress,
    /// Time from the first request to step down to the second claim, for each run of the fault.
    handed_back: Vec<Duration>,
    /// Downtime of the other nodes after the next stop of all.
    downtime: Duration,
}

impl World {
    /// Stops all processes and restarts them after a time longer than any lease.
    pub fn stop_all(&mut self, duration: Duration) {
        for node in 0..NODES {
            self.push(self.now, Event::Stop(node));
            let late = ms(self.rng.random_range(0..1_500));
            self.push(self.now + duration + late, Event::Restart(node));
        }
    }

    /// Makes the leader step down, and the next one as soon as it has claimed; all nodes stop at
    /// the claim after that, and one restarts within a second.
    pub fn hand_over_and_back(&mut self, downtime: Duration) {
        self.controller_downtime.downtime = downtime;
        self.controller_downtime.handover = HandoverProgress::FirstRequested(self.now);
        self.push(self.now, Event::StepDown);
    }

    pub fn advance_handover(&mut self, changes: &[Change]) {
        let claims = |c: &Change| matches!(c, Change::Put { key, .. } if key == LEADER_KEY);
        if !changes.iter().any(claims) {
            return;
        }
        match self.controller_downtime.handover {
            HandoverProgress::None => {}
            HandoverProgress::FirstRequested(from) => {
                self.controller_downtime.handover = HandoverProgress::SecondRequested(from);
                // A node can step down only after it has learned that it leads.
                for again in 1..25 {
                    self.push(self.now + ms(again * 120), Event::StepDown);
                }
            }
            HandoverProgress::SecondRequested(from) => {
                self.controller_downtime.handover = HandoverProgress::None;
                self.controller_downtime.handed_back.push(self.now - from);
                let end = self.now + ms(self.rng.random_range(0..60));
                let first = self.rng.random_range(0..NODES);
                for node in 0..NODES {
                    self.push(end, Event::Stop(node));
                    let restart_delay = match node == first {
                        true => ms(self.rng.random_range(50..900)),
                        false => self.controller_downtime.downtime,
                    };
                    self.push(end + restart_delay, Event::Restart(node));
                }
            }
        }
    }
}

fn world(scale: Scale, seed: u64, defect: Defect, faults: &[(u64, Fault, u64)]) -> World {
    let mut world = World::with_scale(scale, seed, defect);
    // Operators can request a step-down only where rollouts are enabled.
    if faults.iter().any(|fault| fault.1 == Fault::HandOverAndBack) {
        world = world.with_rollout("4");
    }
    for (at, fault, duration) in faults {
        world = world.with_fault(*at, *fault, ms(*duration));
    }
    world.run();
    world
}

fn assert_rules_hold(faults: &[(u64, Fault, u64)]) {
    for seed in seeds(2) {
        let mut finished = 0;
        for scale in [MEDIUM, LONG] {
            let mut world = world(scale, seed, Defect::None, faults);
            world
                .observer
                .check_answered(world.now, Duration::from_secs(20));
            let context = format!("seed {seed}, {faults:?}");
            world.observer.assert_no_violations(&context);
            finished += world.observer.finished;
        }
        assert!(finished > 3, "seed {seed}: {finished} finished");
    }
}

fn assert_caught(scale: Scale, defect: Defect, faults: &[(u64, Fault, u64)], rule: &str) {
    let violations = |seed| world(scale, seed, defect, faults).observer.violations();
    let caught = (0..8).any(|seed| violations(seed).iter().any(|v| v.starts_with(rule)));
    assert!(caught, "{defect:?} was not caught as {rule}");
}

/// Longer than a lease of 5 s, a leader term of about 14 s, and `cancel_s`.
const ALL_DOWN: [(u64, Fault, u64); 2] = [
    (18_000, Fault::AllDown, 7_000),
    (40_000, Fault::AllDown, 22_000),
];

#[test]
fn rules_hold_while_all_controllers_are_down_for_longer_than_a_lease() {
    assert_rules_hold(&ALL_DOWN);
    assert_rules_hold(&[
        (18_000, Fault::CancelAndHang, 4_000),
        (18_400, Fault::AllDown, 8_000),
    ]);
}

/// Answers given before the downtime survive only in the state service.
#[test]
fn terminal_states_kept_only_in_memory_are_caught() {
    assert_caught(
        SMALL.quiet(30),
        Defect::LosesTerminalStates,
        &ALL_DOWN,
        "forgotten",
    );
}

const ZONE_CUT: [(u64, Fault, u64); 2] = [
    (18_000, Fault::ZoneCut, 12_000),
    (45_000, Fault::LeaderZoneCut, 12_000),
];

#[test]
fn rules_hold_while_a_zone_is_partitioned_for_longer_than_a_lease() {
    assert_rules_hold(&ZONE_CUT);
    assert_rules_hold(&[
        (18_000, Fault::ZoneCut, 25_000),
        (20_000, Fault::CancelAndHang, 4_000),
    ]);
}

/// Guards against a follower that answers reports. The controller in the partitioned zone does not
/// lead; its answers would renew leases that the leader outside the zone considers expired.
#[test]
fn a_follower_that_renews_leases_is_caught() {
    assert_caught(LONG, Defect::FollowersRenew, &ZONE_CUT, "ran_twice");
}

const HANDED_BACK: [(u64, Fault, u64); 3] = [
    (16_000, Fault::HandOverAndBack, 8_000),
    (34_000, Fault::HandOverAndBack, 4_000),
    (50_000, Fault::HandOverAndBack, 8_000),
];

#[test]
fn rules_hold_when_leaders_hand_over_and_back_and_one_returns() {
    assert_rules_hold(&HANDED_BACK);
    for seed in seeds(2) {
        let world = world(LONG, seed, Defect::None, &HANDED_BACK);
        let handed_back = &world.controller_downtime.handed_back;
        assert!(handed_back.len() > 1, "seed {seed}: {handed_back:?}");
        let quick = handed_back.iter().filter(|took| **took < ms(1_000));
        assert!(quick.count() > 0, "seed {seed}: {handed_back:?}");
    }
}

/// The node that restarts alone learns only from the assignment index which jobs an unresponsive
/// machine may hold.
#[test]
fn an_assignment_index_without_jobs_is_caught_after_handovers() {
    let mut faults = HANDED_BACK.to_vec();
    faults.push((15_500, Fault::DeliveryBlocked, 12_000));
    faults.push((15_500, Fault::MachinesHang, 4_500));
    assert_caught(LONG, Defect::AssignmentsWithoutJobs, &faults, "ran_twice");
}
