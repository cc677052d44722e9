//! Rollouts of a new storage format under other faults.

use std::time::Duration;

use kiteyard::core::store::{TERMINAL_RANGES_PREFIX, TERMINAL_STATES_PREFIX};
use kiteyard_rollout::generation::{ClusterGeneration, Order, Stage};

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, Event, NODES, SMALL, Scale, World, ms},
};

/// Many small jobs, so that there are terminal states to rewrite, and no random faults.
const ROLLOUT_SCALE: Scale = SMALL.quiet(40);

const NEW_GENERATION: ClusterGeneration = ClusterGeneration {
    from: 2,
    to: 2,
    stage: Stage::Settled,
};
const SECOND_MS: u64 = 1000;

fn world(seed: u64, defect: Defect) -> World {
    World::with_scale(ROLLOUT_SCALE, seed, defect).with_rollout("4")
}

/// Upgrades all three nodes, 6 s apart.
fn upgraded(mut world: World, order: [usize; NODES]) -> World {
    for (turn, node) in order.into_iter().enumerate() {
        world = world.with_upgrade(30 * SECOND_MS + 6 * SECOND_MS * turn as u64, node, 2);
    }
    world
}

fn run_to(mut world: World, end: ClusterGeneration, context: &str) -> World {
    world.run();
    world.observer.assert_no_violations(context);
    assert!(
        world.observer.finished > 6,
        "{context}: too few jobs finished"
    );
    assert_eq!(
        world.cluster(),
        end,
        "{context}: {:?}",
        world.rollout.seen_stages
    );
    let (single, packed) = (
        world.count_keys(TERMINAL_STATES_PREFIX),
        world.count_keys(TERMINAL_RANGES_PREFIX),
    );
    match end.from {
        1 => assert_eq!((packed, single > 6), (0, true), "{context}"),
        _ => assert_eq!((single, packed > 0), (0, true), "{context}"),
    }
    world
}

const NODE_ORDERS: [[usize; NODES]; 6] = [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
];

#[test]
fn an_upgrade_in_any_node_order_and_its_downgrade_end_settled() {
    for seed in seeds(1) {
        for order in NODE_ORDERS {
            let context = format!("seed {seed}, {order:?}");
            run_to(
                upgraded(world(seed, Defect::None), order),
                NEW_GENERATION,
                &context,
            );
            let downgraded = upgraded(world(seed, Defect::None), order);
            let downgraded = downgraded.with_order(90 * SECOND_MS, Order::Target(1));
            run_to(
                downgraded,
                ClusterGeneration::default(),
                &format!("{context} and back"),
            );
        }
    }
}

/// With one node on the old build, the cluster does not switch, whatever the other nodes support.
#[test]
fn an_old_or_stopped_node_blocks_the_switch_until_it_is_forgotten() {
    let two_upgraded = || {
        let world = world(3, Defect::None);
        world
            .with_upgrade(20 * SECOND_MS, 0, 2)
            .with_upgrade(26 * SECOND_MS, 1, 2)
    };
    run_to(
        two_upgraded(),
        ClusterGeneration::default(),
        "one node is old",
    );
    let mut one_stopped = two_upgraded();
    one_stopped.rollout.stage_faults.clear();
    one_stopped.push(ms(32 * SECOND_MS), Event::Stop(2));
    let mut one_stopped = run_to(
        one_stopped,
        ClusterGeneration::default(),
        "one node is stopped",
    );
    assert!(one_stopped.nodes[2].is_none() && one_stopped.count_keys("live/node/") == NODES);
    let mut one_forgotten = two_upgraded().with_order(60 * SECOND_MS, Order::Forget("n2".into()));
    one_forgotten.push(ms(32 * SECOND_MS), Event::Stop(2));
    // It restarts with the old build after the switch, and is refused.
    one_forgotten.push(ms(100 * SECOND_MS), Event::Restart(2));
    run_to(
        one_forgotten,
        NEW_GENERATION,
        "forgotten, and restarted with the old build",
    );
}

const STAGES: [Stage; 4] = [
    Stage::Prepared,
    Stage::Soaking,
    Stage::Active,
    Stage::Migrating,
];
/// Faults at a stage, and their duration in seconds.
const FAULTS: [(Fault, u64); 11] = [
    (Fault::LeaderCrash, 0),
    (Fault::AllCrash, 0),
    (Fault::ZoneCut, 15),
    (Fault::StateOutage, 12),
    (Fault::StateSlow, 15),
    (Fault::LeaderFreezes, 9),
    (Fault::LeaderFreezes, 40),
    (Fault::PeersRefuse, 15),
    (Fault::OldBuildReturns, 12),
    (Fault::Downgrade, 0),
    (Fault::RollingRestart, 4),
];

fn run_with_faults(seed: u64, to: u32, stage: Stage, faults: &[(Fault, u64)]) {
    let mut world = world(seed, Defect::None);
    for (turn, node) in [2, 0, 1].into_iter().enumerate() {
        world = world.with_upgrade(30 * SECOND_MS + 6 * SECOND_MS * turn as u64, node, to);
    }
    world.rollout.acceptance_delay = Some(Duration::from_secs(25));
    for (number, (fault, seconds)) in faults.iter().enumerate() {
        let after = ms(20 + 3000 * number as u64);
        let duration = Duration::from_secs(*seconds);
        world
            .rollout
            .stage_faults
            .push((to, stage, after, *fault, duration));
    }
    world.run();
    let context = format!(
        "seed {seed}, to {to}, {stage}, {faults:?}: {:?}",
        world.rollout.seen_stages
    );
    world.observer.assert_no_violations(&context);
    assert!(
        world.observer.finished > 6,
        "{context}: too few jobs finished"
    );
    let is_downgraded = faults.iter().any(|(fault, _)| *fault == Fault::Downgrade);
    let (end, single) = (world.cluster(), world.count_keys(TERMINAL_STATES_PREFIX));
    match is_downgraded {
        true => assert!(end.to == 1, "{context}: {end:?}"),
        false => assert_eq!(
            (end, single),
            (ClusterGeneration::settled(to), 0),
            "{context}"
        ),
    }
}

#[test]
fn rules_hold_with_a_fault_at_each_stage() {
    for seed in seeds(1) {
        for stage in STAGES {
            for fault in FAULTS {
                for to in [2, 3] {
                    run_with_faults(seed, to, stage, &[fault]);
                }
            }
        }
    }
}

#[test]
fn rules_hold_with_two_faults_at_each_stage() {
    for seed in seeds(1) {
        for stage in STAGES {
            for (at, first) in FAULTS.iter().enumerate() {
                for second in &FAULTS[at + 1..] {
                    run_with_faults(seed, 2, stage, &[*first, *second]);
                }
            }
        }
    }
}

/// The leader crashes at every write of the new format, just before or just after the write.
#[test]
fn a_leader_may_crash_at_any_write_of_the_switch() {
    let upgraded = || {
        upgraded(world(1, Defect::None), [0, 1, 2]).with_order(100 * SECOND_MS, Order::Target(1))
    };
    let mut whole = upgraded();
    whole.rollout.crash_at_write = Some((u64::MAX, true));
    let writes = run_to(whole, ClusterGeneration::default(), "undisturbed")
        .rollout
        .write_count;
    assert!(writes > 20, "only {writes} writes");
    for at in 1..=writes {
        for before in [true, false] {
            let mut world = upgraded();
            world.rollout.crash_at_write = Some((at, before));
            world.run();
            let context = format!(
                "write {at}, before {before}: {:?}",
                world.rollout.seen_stages
            );
            world.observer.assert_no_violations(&context);
            assert_eq!(world.cluster().to, 1, "{context}");
        }
    }
}

#[test]
fn a_node_that_cannot_read_the_assignment_index_does_not_take_over() {
    for seed in seeds(2) {
        let mut world = World::with_scale(crate::sim::MEDIUM, seed, Defect::None);
        world.rollout.unreadable_shards_node = Some(0);
        let world = world.with_fault(
            20 * SECOND_MS,
            Fault::RollingRestart,
            Duration::from_secs(5),
        );
        let mut world = world.with_fault(45 * SECOND_MS, Fault::AllCrash, Duration::ZERO);
        world.run();
        world
            .observer
            .assert_no_violations(format_args!("seed {seed}"));
        assert!(world.observer.finished > 8, "seed {seed}");
    }
}

/// A leader that is about to be restarted hands over first.
#[test]
fn a_planned_restart_interrupts_placement_for_less_than_a_second() {
    let gap = |planned: bool, seed| {
        let mut world = world(seed, Defect::None);
        world.rollout.measure_gap_from = ms(29_500);
        if planned {
            world.push(ms(30 * SECOND_MS), Event::StepDown);
        }
        let world = world.with_fault(30 * SECOND_MS + 900, Fault::LeaderCrash, Duration::ZERO);
        let mut world = world;
        // The successor does not crash.
        world.rollout.spare_successor = planned;
        world.run();
        world
            .observer
            .assert_no_violations(format_args!("seed {seed}"));
        world.rollout.placement_gap
    };
    for seed in seeds(4) {
        let (planned, unplanned) = (gap(true, seed), gap(false, seed));
        assert!(planned < Duration::from_secs(1), "seed {seed}: {planned:?}");
        assert!(unplanned > planned, "seed {seed}: {unplanned:?}");
    }
}

/// Asserts that a core or process that is unsafe in one way breaks one of the rules.
fn assert_caught(defect: Defect, rules: &[&str], arrange: impl Fn(u64) -> World) {
    let violations_of = |seed| {
        let mut world = arrange(seed);
        world.run();
        world.observer.violations()
    };
    let breaks_rule = |violations: Vec<String>| {
        violations
            .iter()
            .any(|v| rules.iter().any(|r| v.starts_with(r)))
    };
    let caught = (0..30).position(|seed| breaks_rule(violations_of(seed)));
    assert!(caught.is_some(), "{defect:?} was not caught as {rules:?}");
}

const LOSS_RULES: [&str; 3] = ["forgotten", "went_back", "ran_twice"];

#[test]
fn a_write_that_does_not_depend_on_the_generation_is_caught() {
    assert_caught(Defect::IgnoresGeneration, &LOSS_RULES, |seed| {
        let mut world = upgraded(world(seed, Defect::IgnoresGeneration), [0, 1, 2]);
        world.rollout.acceptance_delay = Some(Duration::from_secs(25));
        world
    });
}

#[test]
fn a_switch_by_majority_is_caught() {
    assert_caught(Defect::SwitchesByMajority, &LOSS_RULES, |seed| {
        let mut world = upgraded(world(seed, Defect::SwitchesByMajority), [0, 1, 2]);
        world.rollout.old_build[2] = true;
        world.push(ms(20 * SECOND_MS), Event::Stop(2));
        let mut world = world.with_order(50 * SECOND_MS, Order::Forget("n2".into()));
        world.push(ms(60 * SECOND_MS), Event::Restart(2));
        world
    });
}

#[test]
fn a_soak_that_is_not_restarted_is_caught() {
    assert_caught(Defect::SoakNotRestarted, &LOSS_RULES, |seed| {
        let mut world = upgraded(world(seed, Defect::SoakNotRestarted), [0, 1, 2]);
        world.push(ms(48 * SECOND_MS), Event::RestartOldBuild(2));
        world
    });
}

#[test]
fn unreadable_values_treated_as_absent_are_caught() {
    assert_caught(Defect::UnreadableMeansAbsent, &["ran_twice"], |seed| {
        let mut world = World::with_scale(crate::sim::MEDIUM, seed, Defect::UnreadableMeansAbsent);
        world.rollout.unreadable_shards_node = Some(seed as usize % NODES);
        let partition = (Fault::LeaderLosesWorkers, Duration::from_secs(15));
        let world = world.with_fault(20 * SECOND_MS, partition.0, partition.1);
        world.with_fault(
            24 * SECOND_MS,
            Fault::LeaderLosesZone,
            Duration::from_secs(15),
        )
    });
}

/// 40 machines, with this generation from the start.
fn world_with_generation(seed: u64, generation: u32, defect: Defect) -> World {
    let mut world = World::with_scale(crate::sim::MEDIUM, seed, defect).with_rollout("1");
    world.rollout.supported_generation = [generation; NODES];
    for node in 0..NODES {
        world.restart(node);
    }
    world
}

/// A leader that crashes while a zone is partitioned has stored the time of the partition for its
/// successor.
#[test]
fn a_successor_during_a_partition_does_not_wait_a_whole_lease_again() {
    let waits = |seed, generation| {
        let world = world_with_generation(seed, generation, Defect::None);
        let world = world.with_fault(30 * SECOND_MS, Fault::ZoneCut, Duration::from_secs(20));
        let mut world = world.with_fault(33 * SECOND_MS + 500, Fault::LeaderCrash, Duration::ZERO);
        world.run();
        world
            .observer
            .assert_no_violations(format_args!("seed {seed}"));
        assert!(world.observer.finished > 8, "seed {seed}");
        world.rollout.last_unresolved
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
fn rules_hold_when_zones_stored_as_partitioned_return() {
    let faults_on_return = [
        (Fault::LeaderCrash, 0),
        (Fault::AllCrash, 0),
        (Fault::StateOutage, 6),
        (Fault::LeaderFreezes, 4),
        (Fault::LeaderLosesWorkers, 6),
        (Fault::LeaderLosesZone, 6),
        (Fault::PeersRefuse, 10),
        (Fault::Downgrade, 0),
    ];
    for seed in seeds(2) {
        for (fault, seconds) in faults_on_return {
            // Within a worker's lease, at its end, and long after it.
            for cut in [2600, 4500, 12_000] {
                let world = world_with_generation(seed, 3, Defect::None);
                let world = world.with_fault(30 * SECOND_MS, Fault::LeaderLosesZone, ms(cut));
                let duration = Duration::from_secs(seconds);
                let mut world = world.with_fault(32 * SECOND_MS + 300, fault, duration);
                world.run();
                let context = format!("seed {seed}, {fault:?}, cut for {cut} ms");
                world.observer.assert_no_violations(&context);
                assert!(
                    world.observer.finished > 8,
                    "{context}: too few jobs finished"
                );
            }
        }
    }
}

#[test]
fn a_leader_that_answers_a_zone_stored_as_partitioned_is_caught() {
    assert_caught(Defect::AnswersPartitionedZones, &["ran_twice"], |seed| {
        let world = world_with_generation(seed, 3, Defect::AnswersPartitionedZones);
        let world = world.with_fault(30 * SECOND_MS, Fault::LeaderLosesZone, ms(4000));
        // The zone is answered again, and then partitioned from the next leader too.
        let world = world.with_fault(37 * SECOND_MS, Fault::ZoneCut, Duration::from_secs(20));
        world.with_fault(37 * SECOND_MS + 200, Fault::LeaderCrash, Duration::ZERO)
    });
}

/// All random faults of the small world while the nodes are upgraded and the cluster is downgraded
/// again.
#[test]
fn rules_hold_during_an_upgrade_under_mixed_faults() {
    for seed in seeds(8) {
        let mut world = World::with_scale(SMALL, 5000 + seed, Defect::None).with_rollout("4");
        for (turn, node) in NODE_ORDERS[seed as usize % NODE_ORDERS.len()]
            .into_iter()
            .enumerate()
        {
            world = world.with_upgrade(20 * SECOND_MS + 6 * SECOND_MS * turn as u64, node, 4);
        }
        let mut world = world.with_order(100 * SECOND_MS, Order::Target(1));
        world.rollout.acceptance_delay = Some(Duration::from_secs(25));
        world.run();
        let context = format!("seed {seed}: {:?}", world.rollout.seen_stages);
        world.observer.assert_no_violations(&context);
        assert!(
            world.observer.finished > 3,
            "{context}: too few jobs finished"
        );
    }
}
