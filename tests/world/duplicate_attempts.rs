//! A new leader that learns of several attempts of one task: from copies of reports that are older
//! than its claim, and from the machines themselves. Of these attempts one may be alive.

use std::time::Duration;

use kiteyard::core::job::TaskId;

use crate::{
    faults::Fault,
    seeds,
    sim::{Defect, Event, LONG, Scale, World, ms},
};

const SCALE: Scale = Scale {
    duration: Duration::from_secs(50),
    ..LONG
};

/// Times in milliseconds from the claim until the copies arrive.
const COPY_DELAYS_MS: [u64; 2] = [20, 150];
/// Times in milliseconds from the claim until a third of the machines receive nothing, kills of
/// their tasks included.
const DEAF_DELAYS_MS: [u64; 3] = [400, 800, 1_100];
/// Times in milliseconds from the claim until the hung machines resume, with a new session and
/// without the tasks that the copies list.
const RESUME_DELAYS_MS: [u64; 4] = [400, 800, 1_300, 2_500];
const DEAFNESS: Duration = Duration::from_secs(7);
/// The last report of each machine before its hang is copied.
const HANG_AT_MS: u64 = 16_000;
/// By then the tasks of the hung machines have started again elsewhere.
const CRASH_AT_MS: u64 = 25_000;

/// Times from the claim.
#[derive(Debug, Clone, Copy, Default)]
struct Instant {
    copy_delay: Duration,
    deaf_delay: Duration,
    resume_delay: Duration,
}

fn instants() -> Vec<Instant> {
    let mut instants = Vec::new();
    for copy_delay in COPY_DELAYS_MS.map(ms) {
        for deaf_delay in DEAF_DELAYS_MS.map(ms) {
            for resume_delay in RESUME_DELAYS_MS.map(ms) {
                instants.push(Instant {
                    copy_delay,
                    deaf_delay,
                    resume_delay,
                });
            }
        }
    }
    instants
}

#[derive(Default)]
pub struct DuplicateAttempts {
    hung: Vec<String>,
    instant: Instant,
    /// Claims after which hung machines resumed.
    pub resumed_after_claim: u64,
}

impl World {
    /// Makes a third of the machines hang: until some time after the next claim, or `until` if
    /// there is none.
    pub fn hang_past_claim(&mut self, until: Duration) {
        let names = self.workers.keys().skip(1).step_by(3);
        let names: Vec<String> = names.cloned().collect();
        for name in &names {
            self.hang(name, until);
        }
        self.duplicate_attempts.hung = names;
    }

    pub fn resume_after_claim(&mut self) {
        let hung = std::mem::take(&mut self.duplicate_attempts.hung);
        if hung.is_empty() {
            return;
        }
        self.duplicate_attempts.resumed_after_claim += 1;
        let instant = self.duplicate_attempts.instant;
        for name in hung {
            self.hang(&name, self.now + instant.resume_delay);
        }
        let deaf = Event::InjectFault(Fault::DeliveryBlocked, DEAFNESS);
        self.push(self.now + instant.deaf_delay, deaf);
    }

    /// With `Defect::SecondAttemptsUnreported`, whether a report omits an attempt because a copy
    /// has listed an older one of the same task.
    pub fn hides_attempt(&self, task: &TaskId, attempt: u64) -> bool {
        self.defect == Defect::SecondAttemptsUnreported
            && self
                .old_reports
                .copied_attempt(task)
                .is_some_and(|copied| copied < attempt)
    }
}

fn world(instant: Instant, seed: u64, defect: Defect) -> World {
    let mut world = World::with_scale(SCALE, seed, defect).with_quick_restarts();
    world.duplicate_attempts.instant = instant;
    world.old_reports.last_copy_delay = Some(instant.copy_delay);
    for (at, fault, duration) in [
        (HANG_AT_MS - 2_000, Fault::ReplayedReports, 2_000),
        (HANG_AT_MS, Fault::MachinesHangPastClaim, 20_000),
        (CRASH_AT_MS - 100, Fault::LateCommands, 8_000),
        (CRASH_AT_MS, Fault::AllCrash, 0),
    ] {
        world = world.with_fault(at, fault, ms(duration));
    }
    world.run();
    world
}

/// A leader adopted a task from a copy of an old report, took the attempt that really ran for a
/// duplicate to be stopped, and started the task a third time once the machine of the copy turned
/// out to be empty, while the kill of the second attempt was delayed.
#[test]
fn a_task_does_not_start_while_another_attempt_may_be_alive() {
    for seed in seeds(6) {
        let mut copies = 0;
        for instant in instants() {
            let world = world(instant, seed, Defect::None);
            world
                .observer
                .assert_no_violations(format_args!("{instant:?}, seed {seed}"));
            assert_eq!(world.duplicate_attempts.resumed_after_claim, 1);
            copies += world.old_reports.copies_after_claim;
        }
        assert!(copies > 100, "seed {seed}: {copies} copies");
    }
}

#[test]
fn a_leader_that_disregards_a_second_attempt_is_caught() {
    let ran_twice = |instant: Instant, seed: u64| {
        world(instant, seed, Defect::SecondAttemptsUnreported)
            .observer
            .has_broken("ran_twice")
    };
    let caught = |seed| instants().into_iter().any(|at| ran_twice(at, seed));
    assert!((0..4).any(caught));
}
