//! The state service lowers its write limits during a run: nothing is lost, no rule is broken, work
//! continues, and there is no storm of requests.

use kiteyard::core::store::ASSIGNMENTS_PREFIX;

use crate::{
    cases::{Case, WITHIN_LEASE},
    seeds,
    sim::{Announced, Event, MEDIUM, NODES, Sabotage, Scale, World, ms},
    state::Limits,
};

const S: u64 = 1000;

/// Values as large as a leader writes at the default limits.
const WIDE: Scale = Scale {
    value_kb: 16.0,
    machines: 120,
    machines_most: 140,
    jobs: 90,
    team_limit: 400.0,
    ..MEDIUM
};

const NEXT: Announced = Announced {
    write_rps: 40.0,
    value_kb: 1.0,
    txn_ops: 5,
};

const VALUE_BYTES: usize = (NEXT.value_kb * 1024.0) as usize;

/// More requests per second than this are a storm: the write budget before the limits drop, and the
/// other requests of 60 workers, three nodes and their users.
const STORM: u32 = 160;

fn falls(world: &mut World, at: u64) {
    world.state.limit(Limits {
        from: ms(at),
        value_bytes: VALUE_BYTES,
        txn_ops: NEXT.txn_ops,
        changes_per_s: NEXT.write_rps,
    });
}

/// Runs to the end; tasks must start and jobs finish after the limits drop, too.
fn goes_on_after(mut world: World, fall: u64, what: &str) -> World {
    let length = world.scale.length;
    world.scale.length = ms(fall + 5 * S);
    world.run();
    let (starts, finished) = (world.observer.starts, world.observer.finished);
    world.scale.length = length;
    world.run();
    assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
    let more = (
        world.observer.starts - starts,
        world.observer.finished - finished,
    );
    assert!(
        more.0 > 10 && more.1 > 2,
        "{what}: only {more:?} starts and finished jobs after the limits dropped"
    );
    let busiest = world.state.busiest_second(ms(fall));
    assert!(busiest < STORM, "{what}: {busiest} requests in one second");
    world
}

#[test]
fn announced_limits_may_fall_at_any_moment() {
    for seed in seeds(4) {
        let scale = Scale {
            announced: Some(NEXT),
            ..WIDE
        };
        let fall = 15 * S + seed % 7 * 4 * S;
        for case in [Case::LeaderEnds, Case::LateWrites, Case::AllEnd] {
            let mut world = World::sized(scale, seed, Sabotage::None).quick();
            falls(&mut world, fall);
            let world = world.with(fall + S, case, WITHIN_LEASE);
            let what = format!("seed {seed}, {case:?}");
            let world = goes_on_after(world, fall, &what);
            assert_eq!(world.state.rejected(), 0, "{what}");
        }
    }
}

/// Large values written under the old limits are read and split under the new ones.
#[test]
fn large_shards_are_split_once_lower_limits_are_announced() {
    for seed in seeds(4) {
        let fall = 50 * S;
        for case in [Case::LeaderEnds, Case::LateWrites, Case::AllEnd] {
            let mut world = World::sized(WIDE, seed, Sabotage::None).quick();
            falls(&mut world, fall);
            world.push(ms(20 * S), Event::Announce(NEXT));
            for node in 0..NODES {
                world.push(ms((21 + 5 * node as u64) * S), Event::Crash(node));
            }
            for at in [22 * S, 28 * S, 33 * S] {
                world = world.with(at, case, WITHIN_LEASE);
            }
            let what = format!("seed {seed}, {case:?}");
            let length = std::mem::replace(&mut world.scale.length, ms(20 * S));
            world.run();
            let before = world.state.largest_value(ASSIGNMENTS_PREFIX);
            assert!(before > VALUE_BYTES, "{what}: only {before} bytes");
            world.scale.length = length;
            let world = goes_on_after(world, fall, &what);
            let largest = world.state.largest_value(ASSIGNMENTS_PREFIX);
            assert!(largest <= VALUE_BYTES, "{what}: a shard of {largest} bytes");
            assert_eq!(world.state.rejected(), 0, "{what}");
        }
    }
}

/// Limits that no settings announce: rejected writes are split, and nothing is retried unchanged.
#[test]
fn limits_that_nobody_announced_are_learnt() {
    for seed in seeds(4) {
        let fall = 25 * S;
        for case in [Case::LeaderEnds, Case::LateWrites] {
            let mut world = World::sized(WIDE, seed, Sabotage::None).quick();
            falls(&mut world, fall);
            let world = world.with(fall + 3 * S, case, WITHIN_LEASE);
            let what = format!("seed {seed}, {case:?}");
            let world = goes_on_after(world, fall, &what);
            let rejected = world.state.rejected();
            assert!(
                (1..100).contains(&rejected),
                "{what}: {rejected} rejected writes"
            );
        }
    }
}
