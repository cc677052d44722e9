//! Counted licences in the leader's cluster state: a limit in addition to the team limits.
//!
//! A seat is in use from the placement of a task until the task is proven gone and may start
//! elsewhere. Seat holders are therefore not tracked separately: each pass gives the ledger the
//! seats of all placements, and those that unresponsive machines may hold after a failover. The
//! ledger adds what only it knows, such as seats that are returned late.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_licences::ledger::{Attempt, Input, Ledger, Needs};
use serde::{Deserialize, Serialize};

use super::{
    cluster::ClusterState,
    job::{JobSpec, TaskId},
};

fn multiply_needs(needs: &BTreeMap<String, u32>, count: u32) -> Needs {
    let times = |seats: &u32| seats.saturating_mul(count);
    needs.iter().map(|(l, n)| (l.clone(), times(n))).collect()
}

fn attempt_of(task: &TaskId, attempt: u64) -> Attempt {
    Attempt {
        task: task.to_string(),
        attempt,
    }
}

/// Seat counts of one licence, as shown to users.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LicenceView {
    pub name: String,
    pub seats: u32,
    pub in_use: u32,
    /// Seats of exited tasks that the licence server has not returned yet.
    pub lingering: u32,
    /// Seats that unresponsive machines may hold.
    pub maybe: u32,
    pub elsewhere: u32,
    /// Seats that waiting tasks need.
    pub waiting: u64,
    pub teams: BTreeMap<String, u32>,
}

/// Machine name under which the ledger counts the seats that unresponsive machines may hold.
const UNRESOLVED_MACHINES: &str = "silent";

impl ClusterState {
    pub fn licence_view(&self) -> Vec<LicenceView> {
        let Some(ledger) = &self.licence_ledger else {
            return Vec::new();
        };
        let views = ledger.licences().filter_map(|name| {
            let standing = ledger.seat_counts(name)?;
            let wanted = self.jobs.values().filter_map(|job| {
                let seats_per_task = job.spec.licences.get(name)?;
                Some(u64::from(*seats_per_task) * u64::from(job.waiting_count()))
            });
            Some(LicenceView {
                name: name.to_owned(),
                seats: standing.seats,
                in_use: standing.held,
                lingering: standing.lingering,
                maybe: standing.possibly_held.min(standing.seats),
                elsewhere: standing.elsewhere,
                waiting: wanted.sum(),
                teams: ledger.seats_by_team(name),
            })
        });
        views.collect()
    }

    pub(super) fn new_licence_ledger(&self, now: Duration) -> Option<Ledger> {
        let config = self.config.options.licences.as_ref()?;
        Some(Ledger::after_failover((**config).clone(), now))
    }

    /// Updates the ledger with the current seat holders.
    pub(super) fn update_seat_holders(&mut self, now: Duration) {
        let Some(ledger) = &mut self.licence_ledger else {
            return;
        };
        let mut holders = BTreeMap::new();
        let mut maybe = Needs::new();
        let mut has_unknown_holders = false;
        for machine in self.machines.values() {
            for ((task, attempt), p) in machine.tasks.iter().filter(|(_, p)| !p.exited()) {
                match &p.spec {
                    Some(spec) if spec.licences.is_empty() => {}
                    Some(spec) => {
                        let holder = (spec.team.to_string(), spec.licences.clone());
                        holders.insert(attempt_of(task, *attempt), holder);
                    }
                    None => has_unknown_holders = true,
                }
            }
            if !machine.unresolved {
                continue;
            }
            for id in machine.assignment.possible_jobs() {
                let Some(job) = self.jobs.get(id) else {
                    // The job is no longer known, so it may hold seats of any licence.
                    has_unknown_holders = true;
                    continue;
                };
                let possible_tasks = job
                    .unplaced_count()
                    .min(job.spec.need.count_fitting(&machine.size));
                for (licence, seats) in multiply_needs(&job.spec.licences, possible_tasks) {
                    *maybe.entry(licence).or_insert(0) += seats;
                }
            }
        }
        if has_unknown_holders {
            for licence in ledger.licences() {
                maybe.insert(licence.to_owned(), u32::MAX / 4);
            }
        }
        ledger.step(now, Input::Holders(holders));
        let machine = UNRESOLVED_MACHINES.to_owned();
        let needs = maybe;
        ledger.step(now, Input::MayHold { machine, needs });
    }

    /// Returns the number of further tasks of the job for which the free seats suffice. Seats for
    /// nominations of other jobs of equal or higher priority do not count as free.
    pub(super) fn tasks_within_seats(&self, spec: &JobSpec, now: Duration) -> u32 {
        let (Some(ledger), false) = (&self.licence_ledger, spec.licences.is_empty()) else {
            return u32::MAX;
        };
        let fits = spec.licences.iter().map(|(licence, seats)| {
            let free = ledger.free_seats(licence, &spec.team, now).unwrap_or(0);
            let nominated = self.jobs.values().filter(|job| {
                job.spec.id != spec.id
                    && job.spec.priority >= spec.priority
                    && !job.nominations.is_empty()
            });
            let reserved_seats = nominated.map(|job| {
                let seats_per_task = job.spec.licences.get(licence).copied().unwrap_or(0);
                seats_per_task.saturating_mul(job.nominations.len() as u32)
            });
            free.saturating_sub(reserved_seats.fold(0, u32::saturating_add)) / seats
        });
        fits.min().unwrap_or(u32::MAX)
    }

    /// Takes the seats for a task that is about to be placed.
    pub(super) fn take_seats(
        &mut self,
        spec: &JobSpec,
        task: &TaskId,
        attempt: u64,
        now: Duration,
    ) {
        let (Some(ledger), false) = (&mut self.licence_ledger, spec.licences.is_empty()) else {
            return;
        };
        let take = Input::Take {
            team: spec.team.to_string(),
            attempts: vec![attempt_of(task, attempt)],
            needs: spec.licences.clone(),
        };
        ledger.step(now, take);
    }
}
