//! Counted licences in the leader's cluster state: one more limit, beside a team's.
//!
//! A seat is in use from the decision to start a task until the same proof that lets it
//! start elsewhere. So who holds seats is no book of its own: each pass tells the ledger
//! what the placements hold and what unresponsive machines may hold after a failover, and the
//! ledger adds what it alone knows, such as seats that come back late.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_licences::ledger::{Attempt, Input, Ledger, Needs};
use serde::{Deserialize, Serialize};

use super::{
    cluster::ClusterState,
    job::{JobSpec, TaskId},
};

fn times(needs: &BTreeMap<String, u32>, count: u32) -> Needs {
    let times = |seats: &u32| seats.saturating_mul(count);
    needs.iter().map(|(l, n)| (l.clone(), times(n))).collect()
}

fn named(task: &TaskId, attempt: u64) -> Attempt {
    Attempt {
        task: task.to_string(),
        attempt,
    }
}

/// How one licence stands, for users.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LicenceView {
    pub name: String,
    pub seats: u32,
    pub in_use: u32,
    /// Their tasks are gone, and they come back soon.
    pub lingering: u32,
    /// Unresponsive machines may hold them.
    pub maybe: u32,
    pub elsewhere: u32,
    /// Seats that waiting tasks want.
    pub waiting: u64,
    pub teams: BTreeMap<String, u32>,
}

/// What unresponsive machines may hold goes by one name.
const SILENT: &str = "silent";

impl ClusterState {
    pub fn licence_view(&self) -> Vec<LicenceView> {
        let Some(ledger) = &self.licence_ledger else {
            return Vec::new();
        };
        let view = ledger.licences().filter_map(|name| {
            let standing = ledger.seat_counts(name)?;
            let wants = self.jobs.values().filter_map(|job| {
                let each = job.spec.licences.get(name)?;
                Some(u64::from(*each) * u64::from(job.waiting_count()))
            });
            Some(LicenceView {
                name: name.to_owned(),
                seats: standing.seats,
                in_use: standing.held,
                lingering: standing.lingering,
                maybe: standing.possibly_held.min(standing.seats),
                elsewhere: standing.elsewhere,
                waiting: wants.sum(),
                teams: ledger.seats_by_team(name),
            })
        });
        view.collect()
    }

    pub(super) fn new_ledger(&self, now: Duration) -> Option<Ledger> {
        let config = self.config.options.licences.as_ref()?;
        Some(Ledger::after_failover((**config).clone(), now))
    }

    /// Tells the ledger who holds seats now.
    pub(super) fn count_seats(&mut self, now: Duration) {
        let Some(ledger) = &mut self.licence_ledger else {
            return;
        };
        let mut held = BTreeMap::new();
        let mut maybe = Needs::new();
        let mut unknown = false;
        for machine in self.machines.values() {
            for ((task, attempt), p) in machine.tasks.iter().filter(|(_, p)| !p.exited()) {
                match &p.spec {
                    Some(spec) if spec.licences.is_empty() => {}
                    Some(spec) => {
                        let holder = (spec.team.to_string(), spec.licences.clone());
                        held.insert(named(task, *attempt), holder);
                    }
                    None => unknown = true,
                }
            }
            if !machine.unresolved {
                continue;
            }
            for id in machine.assignment.may_list() {
                let Some(job) = self.jobs.get(id) else {
                    // It may have been anything.
                    unknown = true;
                    continue;
                };
                let hidden = job
                    .unplaced_count()
                    .min(job.spec.need.times_in(&machine.size));
                for (licence, seats) in times(&job.spec.licences, hidden) {
                    *maybe.entry(licence).or_insert(0) += seats;
                }
            }
        }
        if unknown {
            for licence in ledger.licences() {
                maybe.insert(licence.to_owned(), u32::MAX / 4);
            }
        }
        ledger.step(now, Input::Holders(held));
        let machine = SILENT.to_owned();
        let needs = maybe;
        ledger.step(now, Input::MayHold { machine, needs });
    }

    /// How many more tasks of the job have seats, those put aside that are held for jobs
    /// of at least its priority by their nominations.
    pub(super) fn seats_for(&self, spec: &JobSpec, now: Duration) -> u32 {
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
            let held = nominated.map(|job| {
                let each = job.spec.licences.get(licence).copied().unwrap_or(0);
                each.saturating_mul(job.nominations.len() as u32)
            });
            free.saturating_sub(held.fold(0, u32::saturating_add)) / seats
        });
        fits.min().unwrap_or(u32::MAX)
    }

    /// The task is about to be started there.
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
            attempts: vec![named(task, attempt)],
            needs: spec.licences.clone(),
        };
        ledger.step(now, take);
    }
}
