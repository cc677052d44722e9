//! New machines that boot within two seconds and get work at once, while writes are delayed and the
//! leader crashes.

use std::time::Duration;

use rand::RngExt;

use crate::{
    cases::Case,
    seeds,
    sim::{Event, SMALL, Sabotage, Scale, World, ms},
};

/// Time after its boot for which a machine is new.
const NEW_FOR: Duration = ms(3_000);
/// Minimum time between two crashes of the leader.
const ENDS_APART: Duration = ms(7_000);

#[derive(Default)]
pub struct NewMachines {
    /// Machines boot within two seconds until then, and the leader crashes as they get work.
    until: Duration,
    next_end: Duration,
    /// Boot time of each machine that booted so quickly.
    up: std::collections::BTreeMap<String, Duration>,
    /// Number of leaders that crashed just as a new machine got work.
    pub met: u64,
}

impl World {
    /// Removes every second machine, so that new ones are provisioned.
    pub fn new_machines(&mut self, until: Duration) {
        self.new_machines.until = until;
        self.late_writes(until);
        let names: Vec<String> = self.workers.keys().step_by(2).cloned().collect();
        for name in names {
            self.remove_machine(&name);
        }
    }

    pub fn boot_time(&mut self) -> Duration {
        match self.now < self.new_machines.until {
            true => ms(self.rng.random_range(100..2_000)),
            false => ms(self.rng.random_range(500..6_000)),
        }
    }

    pub fn machine_up(&mut self, name: &str) {
        if self.now < self.new_machines.until {
            self.new_machines.up.insert(name.to_owned(), self.now);
        }
    }

    /// Crashes the leader if the machine on which a start was executed is new.
    pub fn start_on_machine(&mut self, name: &str) {
        let new = self.new_machines.up.get(name);
        let new = new.is_some_and(|up| self.now < *up + NEW_FOR);
        if !new || self.now < self.new_machines.next_end {
            return;
        }
        self.new_machines.next_end = self.now + ENDS_APART;
        self.new_machines.met += 1;
        let leader = self.leading();
        let end = self.now + ms(self.rng.random_range(0..400));
        self.push(end, Event::Crash(leader));
        // The next leader does not hear from half of these machines at once.
        if self.rng.random_bool(0.5) {
            self.hang(name, self.now + ms(4_500));
        }
    }
}

const FEW: Scale = Scale {
    machines: 8,
    machines_most: 16,
    jobs: 40,
    longer: 4,
    ..SMALL.quiet(40)
};

fn world(seed: u64, sabotage: Sabotage) -> World {
    let mut world = World::sized(FEW, seed, sabotage).quick();
    for at in [20_000, 45_000, 70_000] {
        world = world.with(at, Case::NewMachines, Duration::from_secs(18));
        world = world.with(at, Case::StateSlow, Duration::from_secs(12));
    }
    world.run();
    world
}

#[test]
fn rules_hold_where_new_machines_get_work_while_writes_lag_and_leaders_end() {
    let mut met = 0;
    for seed in seeds(6) {
        let world = world(seed, Sabotage::None);
        let broken = world.observer.broken();
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
        met += world.new_machines.met;
    }
    assert!(
        met >= seeds(6).end,
        "{met} leaders crashed as a new machine got work"
    );
}

/// The next leader knows only from the assignment index which tasks a silent new machine may hold.
#[test]
fn a_roster_that_names_no_jobs_is_caught_on_new_machines() {
    let broken = |seed| world(seed, Sabotage::RosterWithoutJobs).observer.broken();
    let caught = |seed| broken(seed).iter().any(|b| b.starts_with("ran_twice"));
    assert!((0..12).any(caught));
}
