//! Rollouts of a new storage format under other faults.

use std::time::Duration;

use kiteyard::core::store::{TERMINAL_RANGES_PREFIX, TERMINAL_STATES_PREFIX};
use kiteyard_rollout::generation::{Cluster, Order, Stage};

use crate::{
    cases::Case,
    seeds,
    sim::{Event, NODES, SMALL, Sabotage, Scale, World, ms},
};

/// Many small jobs, so that there are terminal states to rewrite, and no random faults.
const ROLLED: Scale = SMALL.quiet(40);

const NEW: Cluster = Cluster {
    from: 2,
    to: 2,
    stage: Stage::Settled,
};
const S: u64 = 1000;

fn world(seed: u64, sabotage: Sabotage) -> World {
    World::sized(ROLLED, seed, sabotage).rolling("4")
}

/// Upgrades all three nodes, 6 s apart.
fn rolled(mut world: World, order: [usize; NODES]) -> World {
    for (turn, node) in order.into_iter().enumerate() {
        world = world.upgrade(30 * S + 6 * S * turn as u64, node, 2);
    }
    world
}

fn run_to(mut world: World, end: Cluster, what: &str) -> World {
    world.run();
    assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
    assert!(world.observer.finished > 6, "{what}: too few jobs finished");
    assert_eq!(world.cluster(), end, "{what}: {:?}", world.roll.seen);
    let (alone, packed) = (
        world.keys(TERMINAL_STATES_PREFIX),
        world.keys(TERMINAL_RANGES_PREFIX),
    );
    match end.from {
        1 => assert_eq!((packed, alone > 6), (0, true), "{what}"),
        _ => assert_eq!((alone, packed > 0), (0, true), "{what}"),
    }
    world
}

const ORDERS: [[usize; NODES]; 6] = [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
];

#[test]
fn a_roll_in_any_order_of_nodes_ends_settled_and_so_does_the_way_back() {
    for seed in seeds(1) {
        for order in ORDERS {
            let what = format!("seed {seed}, {order:?}");
            run_to(rolled(world(seed, Sabotage::None), order), NEW, &what);
            let back = rolled(world(seed, Sabotage::None), order);
            let back = back.ordered(90 * S, Order::Target(1));
            run_to(back, Cluster::default(), &format!("{what} and back"));
        }
    }
}

/// With one node on the old build, the cluster does not switch, whatever the other nodes support.
#[test]
fn a_node_that_is_old_or_away_holds_the_switch_until_it_is_forgotten() {
    let two = || {
        let world = world(3, Sabotage::None);
        world.upgrade(20 * S, 0, 2).upgrade(26 * S, 1, 2)
    };
    run_to(two(), Cluster::default(), "one node is old");
    let mut away = two();
    away.roll.on_stage.clear();
    away.push(ms(32 * S), Event::End(2));
    let mut away = run_to(away, Cluster::default(), "one node is stopped");
    assert!(away.nodes[2].is_none() && away.keys("live/node/") == NODES);
    let mut gone = two().ordered(60 * S, Order::Forget("n2".into()));
    gone.push(ms(32 * S), Event::End(2));
    // It restarts with the old build after the switch, and is refused.
    gone.push(ms(100 * S), Event::Restart(2));
    run_to(gone, NEW, "forgotten, and restarted with the old build");
}

const STAGES: [Stage; 4] = [
    Stage::Prepared,
    Stage::Soaking,
    Stage::Active,
    Stage::Migrating,
];
/// Faults at a stage, and their duration in seconds.
const TROUBLES: [(Case, u64); 11] = [
    (Case::LeaderEnds, 0),
    (Case::AllEnd, 0),
    (Case::ZoneCut, 15),
    (Case::Outage, 12),
    (Case::StateSlow, 15),
    (Case::Stands, 9),
    (Case::Stands, 40),
    (Case::PeersRefuse, 15),
    (Case::OldAgain, 12),
    (Case::GoBack, 0),
    (Case::Roll, 4),
];

fn troubled(seed: u64, to: u32, stage: Stage, troubles: &[(Case, u64)]) {
    let mut world = world(seed, Sabotage::None);
    for (turn, node) in [2, 0, 1].into_iter().enumerate() {
        world = world.upgrade(30 * S + 6 * S * turn as u64, node, to);
    }
    world.roll.held_back = Some(Duration::from_secs(25));
    for (number, (case, seconds)) in troubles.iter().enumerate() {
        let after = ms(20 + 3000 * number as u64);
        let lasts = Duration::from_secs(*seconds);
        world.roll.on_stage.push((to, stage, after, *case, lasts));
    }
    world.run();
    let what = format!(
        "seed {seed}, to {to}, {stage}, {troubles:?}: {:?}",
        world.roll.seen
    );
    assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
    assert!(world.observer.finished > 6, "{what}: too few jobs finished");
    let back = troubles.iter().any(|(case, _)| *case == Case::GoBack);
    let (end, alone) = (world.cluster(), world.keys(TERMINAL_STATES_PREFIX));
    match back {
        true => assert!(end.to == 1, "{what}: {end:?}"),
        false => assert_eq!((end, alone), (Cluster::settled(to), 0), "{what}"),
    }
}

#[test]
fn rules_hold_with_a_trouble_at_each_stage() {
    for seed in seeds(1) {
        for stage in STAGES {
            for trouble in TROUBLES {
                for to in [2, 3] {
                    troubled(seed, to, stage, &[trouble]);
                }
            }
        }
    }
}

#[test]
fn rules_hold_with_two_troubles_at_each_stage() {
    for seed in seeds(1) {
        for stage in STAGES {
            for (at, first) in TROUBLES.iter().enumerate() {
                for second in &TROUBLES[at + 1..] {
                    troubled(seed, 2, stage, &[*first, *second]);
                }
            }
        }
    }
}

/// The leader crashes at every write of the new format, just before and just after it.
#[test]
fn a_leader_may_end_at_any_write_of_the_switch() {
    let rolled = || rolled(world(1, Sabotage::None), [0, 1, 2]).ordered(100 * S, Order::Target(1));
    let mut whole = rolled();
    whole.roll.crash_at = Some((u64::MAX, true));
    let writes = run_to(whole, Cluster::default(), "undisturbed").roll.writes;
    assert!(writes > 20, "only {writes} writes");
    for at in 1..=writes {
        for before in [true, false] {
            let mut world = rolled();
            world.roll.crash_at = Some((at, before));
            world.run();
            let what = format!("write {at}, before {before}: {:?}", world.roll.seen);
            assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
            assert_eq!(world.cluster().to, 1, "{what}");
        }
    }
}

#[test]
fn a_node_that_cannot_read_the_roster_takes_nothing_over() {
    for seed in seeds(2) {
        let mut world = World::sized(crate::sim::MEDIUM, seed, Sabotage::None);
        world.roll.garbled = Some(0);
        let world = world.with(20 * S, Case::Roll, Duration::from_secs(5));
        let mut world = world.with(45 * S, Case::AllEnd, Duration::ZERO);
        world.run();
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "seed {seed}");
        assert!(world.observer.finished > 8, "seed {seed}");
    }
}

/// A leader that is about to be restarted hands over first.
#[test]
fn a_planned_restart_leaves_a_second_without_placement_at_most() {
    let gap = |planned: bool, seed| {
        let mut world = world(seed, Sabotage::None);
        world.roll.gap_from = ms(29_500);
        if planned {
            world.push(ms(30 * S), Event::StepDown);
        }
        let world = world.with(30 * S + 900, Case::LeaderEnds, Duration::ZERO);
        let mut world = world;
        // The successor does not crash.
        world.roll.spare_successor = planned;
        world.run();
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "seed {seed}");
        world.roll.gap
    };
    for seed in seeds(4) {
        let (planned, unplanned) = (gap(true, seed), gap(false, seed));
        assert!(planned < Duration::from_secs(1), "seed {seed}: {planned:?}");
        assert!(unplanned > planned, "seed {seed}: {unplanned:?}");
    }
}

/// Asserts that a core or process that is unsafe in one way breaks one of the rules.
fn caught(sabotage: Sabotage, rules: &[&str], arrange: impl Fn(u64) -> World) {
    let breaks = |seed| {
        let mut world = arrange(seed);
        world.run();
        world.observer.broken()
    };
    let hit = |broken: Vec<String>| {
        broken
            .iter()
            .any(|b| rules.iter().any(|r| b.starts_with(r)))
    };
    let found = (0..30).position(|seed| hit(breaks(seed)));
    assert!(found.is_some(), "{sabotage:?} was not caught as {rules:?}");
}

const LOST: [&str; 3] = ["forgotten", "went_back", "ran_twice"];

#[test]
fn a_write_that_does_not_depend_on_the_generation_is_caught() {
    caught(Sabotage::NoGeneration, &LOST, |seed| {
        let mut world = rolled(world(seed, Sabotage::NoGeneration), [0, 1, 2]);
        world.roll.held_back = Some(Duration::from_secs(25));
        world
    });
}

#[test]
fn a_switch_by_majority_is_caught() {
    caught(Sabotage::Majority, &LOST, |seed| {
        let mut world = rolled(world(seed, Sabotage::Majority), [0, 1, 2]);
        world.roll.before[2] = true;
        world.push(ms(20 * S), Event::End(2));
        let mut world = world.ordered(50 * S, Order::Forget("n2".into()));
        world.push(ms(60 * S), Event::Restart(2));
        world
    });
}

#[test]
fn a_soak_that_is_not_begun_again_is_caught() {
    caught(Sabotage::SoakGoesOn, &LOST, |seed| {
        let mut world = rolled(world(seed, Sabotage::SoakGoesOn), [0, 1, 2]);
        world.push(ms(48 * S), Event::Older(2));
        world
    });
}

#[test]
fn what_cannot_be_read_taken_for_absent_is_caught() {
    caught(Sabotage::UnreadableMeansAbsent, &["ran_twice"], |seed| {
        let mut world = World::sized(crate::sim::MEDIUM, seed, Sabotage::UnreadableMeansAbsent);
        world.roll.garbled = Some(seed as usize % NODES);
        let blind = (Case::Blind, Duration::from_secs(15));
        let world = world.with(20 * S, blind.0, blind.1);
        world.with(24 * S, Case::BlindToZone, Duration::from_secs(15))
    });
}

/// 40 machines, with this generation from the start.
fn zoned(seed: u64, generation: u32, sabotage: Sabotage) -> World {
    let mut world = World::sized(crate::sim::MEDIUM, seed, sabotage).rolling("1");
    world.roll.most = [generation; NODES];
    for node in 0..NODES {
        world.restart(node);
    }
    world
}

/// A leader that crashes while a zone is partitioned leaves its successor the time of the
/// partition.
#[test]
fn a_successor_inside_a_cut_does_not_wait_a_whole_lease_again() {
    let waits = |seed, generation| {
        let world = zoned(seed, generation, Sabotage::None);
        let world = world.with(30 * S, Case::ZoneCut, Duration::from_secs(20));
        let mut world = world.with(33 * S + 500, Case::LeaderEnds, Duration::ZERO);
        world.run();
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "seed {seed}");
        assert!(world.observer.finished > 8, "seed {seed}");
        world.roll.unresolved
    };
    let (mut before, mut after) = (Duration::ZERO, Duration::ZERO);
    for seed in seeds(6) {
        before += waits(seed, 2);
        after += waits(seed, 3);
    }
    let sooner = before.saturating_sub(after);
    assert!(sooner > Duration::from_secs(3), "{before:?} and {after:?}");
}

#[test]
fn rules_hold_when_zones_that_were_stored_as_apart_come_back() {
    let comes_back = [
        (Case::LeaderEnds, 0),
        (Case::AllEnd, 0),
        (Case::Outage, 6),
        (Case::Stands, 4),
        (Case::Blind, 6),
        (Case::BlindToZone, 6),
        (Case::PeersRefuse, 10),
        (Case::GoBack, 0),
    ];
    for seed in seeds(2) {
        for (case, seconds) in comes_back {
            // Within a worker's lease, at its end, and long after it.
            for cut in [2600, 4500, 12_000] {
                let world = zoned(seed, 3, Sabotage::None);
                let world = world.with(30 * S, Case::BlindToZone, ms(cut));
                let lasts = Duration::from_secs(seconds);
                let mut world = world.with(32 * S + 300, case, lasts);
                world.run();
                let what = format!("seed {seed}, {case:?}, cut for {cut} ms");
                assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
                assert!(world.observer.finished > 8, "{what}: too few jobs finished");
            }
        }
    }
}

#[test]
fn a_leader_that_answers_a_zone_that_is_stored_as_apart_is_caught() {
    caught(Sabotage::AnswersApart, &["ran_twice"], |seed| {
        let world = zoned(seed, 3, Sabotage::AnswersApart);
        let world = world.with(30 * S, Case::BlindToZone, ms(4000));
        // The zone is answered again, and then partitioned from the next leader too.
        let world = world.with(37 * S, Case::ZoneCut, Duration::from_secs(20));
        world.with(37 * S + 200, Case::LeaderEnds, Duration::ZERO)
    });
}

/// All random faults of the small world while the nodes are upgraded and the cluster is downgraded
/// again.
#[test]
fn rules_hold_in_a_roll_under_mixed_troubles() {
    for seed in seeds(8) {
        let mut world = World::sized(SMALL, 5000 + seed, Sabotage::None).rolling("4");
        for (turn, node) in ORDERS[seed as usize % ORDERS.len()].into_iter().enumerate() {
            world = world.upgrade(20 * S + 6 * S * turn as u64, node, 4);
        }
        let mut world = world.ordered(100 * S, Order::Target(1));
        world.roll.held_back = Some(Duration::from_secs(25));
        world.run();
        let what = format!("seed {seed}: {:?}", world.roll.seen);
        assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
        assert!(world.observer.finished > 3, "{what}: too few jobs finished");
    }
}
