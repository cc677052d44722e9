//! Machines with blocked reports: they cannot open a connection to any controller, while direct
//! commands and their answers pass. They look alive, but their leases are not renewed.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, LONG, MEDIUM, Scale, World},
};

#[derive(Default)]
pub struct BlockedReports {
    /// Interval in which these machines cannot connect to a controller.
    machines: BTreeMap<String, (Duration, Duration)>,
    /// Direct commands that reached a machine with blocked reports.
    pub commands: u64,
    /// Starts on machines whose reports had been blocked for longer than their lease.
    pub starts_after_lease: u64,
}

impl BlockedReports {
    pub fn block(&mut self, names: Vec<String>, now: Duration, until: Duration) {
        let intervals = names.into_iter().map(|name| (name, (now, until)));
        self.machines.extend(intervals);
    }

    /// Time for which the machine's reports have been blocked, if they are.
    fn blocked_for(&self, name: &str, now: Duration) -> Option<Duration> {
        let (from, until) = self.machines.get(name)?;
        (*until > now).then(|| now - *from)
    }

    pub fn is_blocked(&self, name: &str, now: Duration) -> bool {
        self.blocked_for(name, now).is_some()
    }

    pub fn count_command(&mut self, name: &str, now: Duration) {
        self.commands += u64::from(self.is_blocked(name, now));
    }

    pub fn count_start(&mut self, name: &str, now: Duration, lease: Duration) {
        let late = self
            .blocked_for(name, now)
            .is_some_and(|blocked_for| blocked_for > lease);
        self.starts_after_lease += u64::from(late);
    }
}

/// A third of the machines cannot report for eight leases, and leaders change within each lease.
fn blocked_world(scale: Scale, seed: u64, defect: Defect) -> World {
    let mut world = World::with_scale(scale, seed, defect).with_quick_restarts();
    world = world.with_fault(15_000, Fault::ReportsBlocked, Duration::from_secs(40));
    for at in [18_000, 22_500, 26_000, 30_500, 34_000, 38_500, 43_000] {
        world = world.with_fault(at, Fault::LeaderCrash, Duration::ZERO);
    }
    world.run();
    world
}

#[test]
fn rules_hold_while_machines_reach_no_controller_and_leaders_change() {
    for seed in seeds(2) {
        let (mut finished, mut commands) = (0, 0);
        for scale in [MEDIUM, LONG] {
            let world = blocked_world(scale, seed, Defect::None);
            let context = format!("seed {seed}");
            world.observer.assert_no_violations(&context);
            finished += world.observer.finished;
            commands += world.blocked_reports.commands;
        }
        assert!(finished > 8, "seed {seed}: {finished} finished");
        assert!(
            commands > 10,
            "seed {seed}: {commands} commands reached machines with blocked reports"
        );
    }
}

/// A machine that answers commands but is not renewed is lost when its lease ends, not when it
/// falls silent.
#[test]
fn a_machine_with_blocked_reports_lost_before_its_lease_ends_is_caught() {
    let violations = |seed| {
        let world = blocked_world(LONG, seed, Defect::IgnoresWorkerLeases);
        world.observer.violations()
    };
    let caught = |seed| violations(seed).iter().any(|v| v.starts_with("ran_twice"));
    assert!((0..6).any(caught));
}
