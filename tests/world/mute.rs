//! Mute machines: they cannot open a connection to any controller, while direct commands and their
//! answers pass. They look alive, but their leases are not renewed.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    cases::Case,
    seeds,
    sim::{LONG, MEDIUM, Sabotage, Scale, World},
};

#[derive(Default)]
pub struct Mute {
    /// Interval in which these machines cannot connect to a controller.
    machines: BTreeMap<String, (Duration, Duration)>,
    /// Direct commands that reached a mute machine.
    pub commands: u64,
    /// Starts on machines that had been mute for longer than their lease.
    pub starts_after_lease: u64,
}

impl Mute {
    pub fn silence(&mut self, names: Vec<String>, now: Duration, until: Duration) {
        let spells = names.into_iter().map(|name| (name, (now, until)));
        self.machines.extend(spells);
    }

    /// Time for which the machine has been mute, if it is.
    fn lasted(&self, name: &str, now: Duration) -> Option<Duration> {
        let (from, until) = self.machines.get(name)?;
        (*until > now).then(|| now - *from)
    }

    pub fn is_mute(&self, name: &str, now: Duration) -> bool {
        self.lasted(name, now).is_some()
    }

    pub fn commanded(&mut self, name: &str, now: Duration) {
        self.commands += u64::from(self.is_mute(name, now));
    }

    pub fn start_executed(&mut self, name: &str, now: Duration, lease: Duration) {
        let late = self.lasted(name, now).is_some_and(|lasted| lasted > lease);
        self.starts_after_lease += u64::from(late);
    }
}

/// A third of the machines is mute for eight leases, and leaders change within each lease.
fn mute_world(scale: Scale, seed: u64, sabotage: Sabotage) -> World {
    let mut world = World::sized(scale, seed, sabotage).quick();
    world = world.with(15_000, Case::Mute, Duration::from_secs(40));
    for at in [18_000, 22_500, 26_000, 30_500, 34_000, 38_500, 43_000] {
        world = world.with(at, Case::LeaderEnds, Duration::ZERO);
    }
    world.run();
    world
}

#[test]
fn rules_hold_while_machines_reach_no_controller_and_leaders_change() {
    for seed in seeds(2) {
        let (mut finished, mut commands) = (0, 0);
        for scale in [MEDIUM, LONG] {
            let world = mute_world(scale, seed, Sabotage::None);
            let what = format!("seed {seed}");
            assert_eq!(world.observer.broken(), Vec::<String>::new(), "{what}");
            finished += world.observer.finished;
            commands += world.mute.commands;
        }
        assert!(finished > 8, "seed {seed}: {finished} finished");
        assert!(
            commands > 10,
            "seed {seed}: {commands} commands reached mute machines"
        );
    }
}

/// A machine that answers commands but is not renewed is lost when its lease ends, not when it
/// falls silent.
#[test]
fn a_mute_machine_that_is_lost_before_its_lease_is_over_is_caught() {
    let broken = |seed| {
        let world = mute_world(LONG, seed, Sabotage::NoWorkerLease);
        world.observer.broken()
    };
    let caught = |seed| broken(seed).iter().any(|b| b.starts_with("ran_twice"));
    assert!((0..6).any(caught));
}
