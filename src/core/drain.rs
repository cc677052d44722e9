//! Drains machines on behalf of operators, and provides the replica counts for the ledger of
//! voluntary disruptions.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_maintenance::{
    drain::{self, Task, WaitReason},
    ledger::Replicas,
};
use kiteyard_rollout::generation::Feature;
use tracing::info;

use super::{
    cluster::ClusterState,
    job::{JobId, Kind},
    machine::{AttemptKey, MachineId, MachineState, Phase, Placement, TaskPhase},
};

pub const DRAINS: Feature = Feature {
    name: "drains",
    since: 4,
    is_reversible: true,
    forms: &["live/drains"],
};

/// Progress of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainProgress {
    pub tasks: u32,
    pub waits: WaitReason,
}

impl ClusterState {
    /// Returns the replica counts of one service for the ledger.
    pub(super) fn replica_counts(&self, id: &JobId) -> Replicas {
        let wanted = self.jobs.get(id).map_or(0, |job| job.spec.tasks);
        let mut replicas = Replicas {
            wanted,
            ..Replicas::default()
        };
        let placements = self.machines.values().flat_map(|m| &m.tasks);
        let own = placements.filter(|((task, _), _)| task.job == *id);
        own.for_each(|(_, placement)| count_replica(&mut replicas, placement));
        replicas
    }

    /// Updates the ledger with the replica counts of all services, and returns them.
    pub(super) fn observe_services(&mut self) -> BTreeMap<JobId, Replicas> {
        let services = self.jobs.iter();
        let services = services.filter(|(_, job)| job.spec.kind == Kind::Service);
        let mut counts_by_service: BTreeMap<JobId, Replicas> = services
            .map(|(id, job)| {
                let wanted = job.spec.tasks;
                (
                    id.clone(),
                    Replicas {
                        wanted,
                        ..Replicas::default()
                    },
                )
            })
            .collect();
        for ((task, _), placement) in self.machines.values().flat_map(|m| &m.tasks) {
            if let Some(replicas) = counts_by_service.get_mut(&task.job) {
                count_replica(replicas, placement);
            }
        }
        let jobs = &self.jobs;
        let counts = counts_by_service
            .iter()
            .map(|(id, s)| (&*jobs[id].spec.team, *s));
        self.disruption_ledger.observe(counts);
        counts_by_service
    }

    /// Returns whether the machine is cordoned: no new tasks are placed on it.
    pub(super) fn is_cordoned(&self, id: &str) -> bool {
        !self.drains.machines.is_empty() && self.drains.machines.contains_key(id)
    }

    /// Applies a changed list of drains. Tasks that were placed on a newly cordoned machine but
    /// not sent are released, and nominations to it are dropped.
    pub fn apply_drains(&mut self, drains: drain::Drains, now: Duration) {
        if drains == self.drains {
            return;
        }
        let newly_cordoned = drains.machines.keys();
        let newly_cordoned: Vec<MachineId> = newly_cordoned
            .filter(|id| !self.drains.machines.contains_key(*id))
            .map(|id| MachineId::from(id.as_str()))
            .collect();
        self.drains = drains;
        for id in newly_cordoned {
            for job in self.jobs.values_mut() {
                job.nominations.retain(|machine| *machine != id);
            }
            let Some(machine) = self.machines.get(&id) else {
                continue;
            };
            info!(machine = %id, tasks = machine.tasks.len(), "machine cordoned for a drain");
            let unsent = machine.tasks.iter();
            let unsent = unsent.filter(|(_, p)| p.phase == Phase::Decided);
            let unsent: Vec<AttemptKey> = unsent.map(|(key, _)| key.clone()).collect();
            for key in unsent {
                self.stop_task(&id, &key, Duration::ZERO, now);
            }
        }
        self.requeue();
    }

    /// Returns whether a drained machine has been released or never existed.
    pub(super) fn is_gone(&self, id: &str, now: Duration) -> bool {
        let is_known = self.machines.contains_key(id);
        // After a failover the cloud's list may show machines that the assignment index lacks.
        !is_known && now > self.leading_since + self.config.list_lag * 3
    }

    /// Advances all drains.
    pub(super) fn advance_drains(&mut self, now: Duration) {
        if self.drains.machines.is_empty() {
            self.draining.clear();
            return;
        }
        let pause = self.drains_pause.or_else(|| {
            let is_reachable =
                !self.reachability.is_uncertain && self.reachability.partitioned_zones.is_empty();
            (!is_reachable || self.has_unresolved_machines()).then_some(WaitReason::Outlook)
        });
        if pause != self.logged_drains_pause {
            match &pause {
                Some(why) => info!(?why, "drains paused"),
                None => info!("drains resumed"),
            }
            self.logged_drains_pause = pause;
        }
        let services = self.observe_services();
        let mut draining = BTreeMap::new();
        for (name, order) in self.drains.machines.clone() {
            let id = MachineId::from(name.as_str());
            let Some(machine) = self.machines.get(&id) else {
                continue;
            };
            let mut tasks = self.remaining_tasks(&id, &services, now);
            let remaining_count = tasks.len() as u32;
            let is_overdue = order.by_ms.is_some_and(|by| self.wall_ms >= by);
            let (stop, waits) = match pause {
                Some(why) if remaining_count > 0 => (Vec::new(), why),
                _ => drain::step(now, is_overdue, &mut tasks, &mut self.disruption_ledger),
            };
            let is_empty = machine.tasks.is_empty() && !machine.unresolved;
            let can_release =
                is_empty && matches!(machine.state, MachineState::Up | MachineState::Booting);
            if can_release && pause.is_none() {
                info!(machine = %id, why = "drained", "machine marked for release");
                let machine = self.machines.get_mut(&id).expect("known machine");
                machine.state = MachineState::Leaving;
            }
            for key in stop {
                info!(task = %key.0, machine = %id, "stopping task on draining machine");
                self.stop_task(&id, &key, self.config.options.grace, now);
            }
            draining.insert(
                id,
                DrainProgress {
                    tasks: remaining_count,
                    waits,
                },
            );
        }
        self.draining = draining;
    }

    /// Returns the tasks left on a draining machine, replicas last.
    fn remaining_tasks(
        &self,
        id: &MachineId,
        services: &BTreeMap<JobId, Replicas>,
        now: Duration,
    ) -> Vec<Task<AttemptKey>> {
        let placements = self.machines[id].tasks.iter();
        let remaining = placements.filter(|(_, p)| !p.exited() && !p.is_orphaned);
        let mut tasks: Vec<Task<AttemptKey>> = remaining
            .filter_map(|(key, placement)| {
                let spec = placement.spec.as_ref()?;
                let kind = match spec.kind {
                    Kind::Array => drain::Kind::Array,
                    Kind::Gang => drain::Kind::Gang,
                    Kind::Service => drain::Kind::Replica,
                };
                Some(Task {
                    key: key.clone(),
                    team: spec.team.to_string(),
                    kind,
                    stopping: placement.stopping(),
                    service: services.get(&key.0.job).copied(),
                    has_capacity_elsewhere: self.has_capacity_elsewhere(id, placement, now),
                    lost_work: unsaved_run_time(placement, now),
                })
            })
            .collect();
        tasks.sort_by_key(|task| task.kind == drain::Kind::Replica);
        tasks
    }

    /// Returns whether a task could start on another machine now. The image does not matter: a
    /// fetch is better than a drain that never completes.
    fn has_capacity_elsewhere(&self, id: &MachineId, placement: &Placement, now: Duration) -> bool {
        let Some(spec) = &placement.spec else {
            return false;
        };
        let mut others = self.machines.values().filter(|m| m.id != *id);
        others.any(|m| {
            self.usable(m, now)
                && spec.allows_type(&m.machine_type)
                && spec.allows_placement(&m.zone, m.spot)
                && spec.need.fits_in(&m.free())
        })
    }
}

fn count_replica(replicas: &mut Replicas, placement: &Placement) {
    if !placement.exited() {
        let is_running = placement.phase == Phase::Seen(TaskPhase::Running);
        replicas.stopping += u32::from(placement.stopping());
        replicas.up += u32::from(is_running && !placement.stopping());
    }
}

/// Returns the run time that a stop would lose, at most one checkpoint interval.
fn unsaved_run_time(placement: &Placement, now: Duration) -> Duration {
    let Some(spec) = placement.spec.as_ref().filter(|s| s.kind != Kind::Service) else {
        return Duration::ZERO;
    };
    let since = placement.running_since.unwrap_or(now);
    let run_time = now.saturating_sub(since);
    match spec.checkpoint_s > 0.0 {
        true => run_time.min(crate::settings::seconds(spec.checkpoint_s)),
        false => run_time,
    }
}
