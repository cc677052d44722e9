//! The state service lowers its write limits during a run: nothing is lost, no rule is broken, work
//! continues, and there is no storm of requests.

use kiteyard::core::store::ASSIGNMENTS_PREFIX;

use crate::{
    faults::{Fault, WITHIN_LEASE},
    seeds,
    sim::{AnnouncedLimits, Defect, Event, MEDIUM, NODES, Scale, World, ms},
    state::WriteLimits,
};

const SECOND_MS: u64 = 1000;

/// Values as large as a leader writes at the default limits.
const LARGE_VALUES: Scale = Scale {
    value_kb: 16.0,
    machines: 120,
    max_machines: 140,
    jobs: 90,
    team_limit: 400.0,
    ..MEDIUM
};

const NEXT_LIMITS: AnnouncedLimits = AnnouncedLimits {
    write_rps: 40.0,
    value_kb: 1.0,
    txn_ops: 5,
};

const VALUE_BYTES: usize = (NEXT_LIMITS.value_kb * 1024.0) as usize;

/// More requests per second than this are a storm: the write budget before the limits drop, and the
/// other requests of 60 workers, three nodes and their users.
const MAX_REQUESTS_PER_SECOND: u32 = 160;

fn drop_limits_at(world: &mut World, at: u64) {
    world.state.set_limits(WriteLimits {
        from: ms(at),
        value_bytes: VALUE_BYTES,
        txn_ops: NEXT_LIMITS.txn_ops,
        changes_per_s: NEXT_LIMITS.write_rps,
    });
}

/// Runs to the end; tasks must start and jobs finish after the limits drop, too.
fn assert_work_continues(mut world: World, dropped_at: u64, context: &str) -> World {
    let duration = world.scale.duration;
    world.scale.duration = ms(dropped_at + 5 * SECOND_MS);
    world.run();
    let (starts, finished) = (world.observer.starts, world.observer.finished);
    world.scale.duration = duration;
    world.run();
    world.observer.assert_no_violations(context);
    let more = (
        world.observer.starts - starts,
        world.observer.finished - finished,
    );
    assert!(
        more.0 > 10 && more.1 > 2,
        "{context}: only {more:?} starts and finished jobs after the limits dropped"
    );
    let busiest = world.state.max_requests_per_second(ms(dropped_at));
    assert!(
        busiest < MAX_REQUESTS_PER_SECOND,
        "{context}: {busiest} requests in one second"
    );
    world
}

#[test]
fn announced_limits_may_drop_at_any_time() {
    for seed in seeds(4) {
        let scale = Scale {
            announced: Some(NEXT_LIMITS),
            ..LARGE_VALUES
        };
        let dropped_at = 15 * SECOND_MS + seed % 7 * 4 * SECOND_MS;
        for fault in [Fault::LeaderCrash, Fault::LateWrites, Fault::AllCrash] {
            let mut world = World::with_scale(scale, seed, Defect::None).with_quick_restarts();
            drop_limits_at(&mut world, dropped_at);
            let world = world.with_fault(dropped_at + SECOND_MS, fault, WITHIN_LEASE);
            let context = format!("seed {seed}, {fault:?}");
            let world = assert_work_continues(world, dropped_at, &context);
            assert_eq!(world.state.rejected(), 0, "{context}");
        }
    }
}

/// Large values written under the old limits are read and split under the new ones.
#[test]
fn large_shards_are_split_once_lower_limits_are_announced() {
    for seed in seeds(4) {
        let dropped_at = 50 * SECOND_MS;
        for fault in [Fault::LeaderCrash, Fault::LateWrites, Fault::AllCrash] {
            let mut world =
                World::with_scale(LARGE_VALUES, seed, Defect::None).with_quick_restarts();
            drop_limits_at(&mut world, dropped_at);
            world.push(ms(20 * SECOND_MS), Event::AnnounceLimits(NEXT_LIMITS));
            for node in 0..NODES {
                world.push(ms((21 + 5 * node as u64) * SECOND_MS), Event::Crash(node));
            }
            for at in [22 * SECOND_MS, 28 * SECOND_MS, 33 * SECOND_MS] {
                world = world.with_fault(at, fault, WITHIN_LEASE);
            }
            let context = format!("seed {seed}, {fault:?}");
            let duration = std::mem::replace(&mut world.scale.duration, ms(20 * SECOND_MS));
            world.run();
            let before = world.state.largest_value(ASSIGNMENTS_PREFIX);
            assert!(before > VALUE_BYTES, "{context}: only {before} bytes");
            world.scale.duration = duration;
            let world = assert_work_continues(world, dropped_at, &context);
            let largest = world.state.largest_value(ASSIGNMENTS_PREFIX);
            assert!(
                largest <= VALUE_BYTES,
                "{context}: a shard of {largest} bytes"
            );
            assert_eq!(world.state.rejected(), 0, "{context}");
        }
    }
}

/// Limits that no settings announce: rejected writes are split, and nothing is retried unchanged.
#[test]
fn unannounced_limits_are_learnt() {
    for seed in seeds(4) {
        let dropped_at = 25 * SECOND_MS;
        for fault in [Fault::LeaderCrash, Fault::LateWrites] {
            let mut world =
                World::with_scale(LARGE_VALUES, seed, Defect::None).with_quick_restarts();
            drop_limits_at(&mut world, dropped_at);
            let world = world.with_fault(dropped_at + 3 * SECOND_MS, fault, WITHIN_LEASE);
            let context = format!("seed {seed}, {fault:?}");
            let world = assert_work_continues(world, dropped_at, &context);
            let rejected = world.state.rejected();
            assert!(
                (1..100).contains(&rejected),
                "{context}: {rejected} rejected writes"
            );
        }
    }
}
