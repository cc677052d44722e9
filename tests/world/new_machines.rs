//! New machines that boot within two seconds and get work at once, while writes are delayed and the
//! leader crashes.

use std::time::Duration;

use rand::RngExt;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, Event, SMALL, Scale, World, ms},
};

/// Time after its boot for which a machine is new.
const MAX_NEW_MACHINE_AGE: Duration = ms(3_000);
/// Minimum time between two crashes of the leader.
const MIN_CRASH_INTERVAL: Duration = ms(7_000);

#[derive(Default)]
pub struct NewMachines {
    /// Machines boot within two seconds until then, and the leader crashes as they get work.
    until: Duration,
    next_crash: Duration,
    /// Boot time of each machine that booted so quickly.
    booted: std::collections::BTreeMap<String, Duration>,
    /// Number of leaders that crashed just as a new machine got work.
    pub leader_crashes: u64,
}

impl World {
    /// Removes every second machine, so that new ones are provisioned.
    pub fn boot_new_machines(&mut self, until: Duration) {
        self.new_machines.until = until;
        self.delay_writes(until);
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

    pub fn record_boot(&mut self, name: &str) {
        if self.now < self.new_machines.until {
            self.new_machines.booted.insert(name.to_owned(), self.now);
        }
    }

    /// Crashes the leader if the machine on which a start was executed is new.
    pub fn crash_leader_on_start(&mut self, name: &str) {
        let new = self.new_machines.booted.get(name);
        let new = new.is_some_and(|booted| self.now < *booted + MAX_NEW_MACHINE_AGE);
        if !new || self.now < self.new_machines.next_crash {
            return;
        }
        self.new_machines.next_crash = self.now + MIN_CRASH_INTERVAL;
        self.new_machines.leader_crashes += 1;
        let leader = self.leading();
        let crash_at = self.now + ms(self.rng.random_range(0..400));
        self.push(crash_at, Event::Crash(leader));
        // Half of these machines hang, so that they do not report to the next leader at first.
        if self.rng.random_bool(0.5) {
            self.hang(name, self.now + ms(4_500));
        }
    }
}

const FEW_MACHINES: Scale = Scale {
    machines: 8,
    max_machines: 16,
    jobs: 40,
    duration_factor: 4,
    ..SMALL.quiet(40)
};

fn world(seed: u64, defect: Defect) -> World {
    let mut world = World::with_scale(FEW_MACHINES, seed, defect).with_quick_restarts();
    for at in [20_000, 45_000, 70_000] {
        world = world.with_fault(at, Fault::NewMachines, Duration::from_secs(18));
        world = world.with_fault(at, Fault::StateSlow, Duration::from_secs(12));
    }
    world.run();
    world
}

#[test]
fn rules_hold_when_new_machines_get_work_while_writes_lag_and_leaders_crash() {
    let mut crashes = 0;
    for seed in seeds(6) {
        let world = world(seed, Defect::None);
        let violations = world.observer.violations();
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        crashes += world.new_machines.leader_crashes;
    }
    assert!(
        crashes >= seeds(6).end,
        "{crashes} leaders crashed as a new machine got work"
    );
}

/// The next leader knows only from the assignment index which tasks a silent new machine may hold.
#[test]
fn an_assignment_index_without_jobs_is_caught_on_new_machines() {
    let violations = |seed| {
        world(seed, Defect::AssignmentsWithoutJobs)
            .observer
            .violations()
    };
    let caught = |seed| violations(seed).iter().any(|v| v.starts_with("ran_twice"));
    assert!((0..12).any(caught));
}
