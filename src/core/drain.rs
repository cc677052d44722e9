//! Emptying machines that operators asked to be emptied, and the ledger that every
//! voluntary stop asks.

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
    machine::{AttemptKey, MachineId, Phase, Placement, Standing, TaskPhase},
};

pub const DRAINS: Feature = Feature {
    name: "drains",
    since: 4,
    is_reversible: true,
    forms: &["live/drains"],
};

/// How a machine that is to be emptied stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    pub tasks: u32,
    pub waits: WaitReason,
}

impl ClusterState {
    /// A service as the ledger counts it.
    pub(super) fn standing(&self, id: &JobId) -> Replicas {
        let wanted = self.jobs.get(id).map_or(0, |job| job.spec.tasks);
        let mut replicas = Replicas {
            wanted,
            ..Replicas::default()
        };
        let placements = self.machines.values().flat_map(|m| &m.tasks);
        let own = placements.filter(|((task, _), _)| task.job == *id);
        own.for_each(|(_, placement)| count(&mut replicas, placement));
        replicas
    }

    /// All services by team, told to the ledger before it is asked.
    pub(super) fn observe_services(&mut self) -> BTreeMap<JobId, Replicas> {
        let services = self.jobs.iter();
        let services = services.filter(|(_, job)| job.spec.kind == Kind::Service);
        let mut all: BTreeMap<JobId, Replicas> = services
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
            if let Some(replicas) = all.get_mut(&task.job) {
                count(replicas, placement);
            }
        }
        let jobs = &self.jobs;
        let told = all.iter().map(|(id, s)| (&*jobs[id].spec.team, *s));
        self.ledger.observe(told);
        all
    }

    /// Nothing new comes to a machine that is to be emptied.
    pub(super) fn cordoned(&self, id: &str) -> bool {
        !self.drains.machines.is_empty() && self.drains.machines.contains_key(id)
    }

    /// The operators' list has changed. What was only decided for a machine goes elsewhere,
    /// and it is held for nobody any more.
    pub fn cordon(&mut self, drains: drain::Drains, now: Duration) {
        if drains == self.drains {
            return;
        }
        let new = drains.machines.keys();
        let new: Vec<MachineId> = new
            .filter(|id| !self.drains.machines.contains_key(*id))
            .map(|id| MachineId::from(id.as_str()))
            .collect();
        self.drains = drains;
        for id in new {
            for job in self.jobs.values_mut() {
                job.nominations.retain(|machine| *machine != id);
            }
            let Some(machine) = self.machines.get(&id) else {
                continue;
            };
            info!(machine = %id, tasks = machine.tasks.len(), "cordoned");
            let decided = machine.tasks.iter();
            let decided = decided.filter(|(_, p)| p.phase == Phase::Decided);
            let decided: Vec<AttemptKey> = decided.map(|(key, _)| key.clone()).collect();
            for key in decided {
                self.stop(&id, &key, Duration::ZERO, now);
            }
        }
        self.requeue();
    }

    /// A machine that was to be emptied has been returned, or never was there.
    pub(super) fn is_gone(&self, id: &str, now: Duration) -> bool {
        let known = self.machines.contains_key(id);
        // After a failover the cloud's list shows what the assignment index does not.
        !known && now > self.leading_since + self.config.list_lag * 3
    }

    /// Goes on with the machines that are to be emptied.
    pub(super) fn plan_drains(&mut self, now: Duration) {
        if self.drains.machines.is_empty() {
            self.draining.clear();
            return;
        }
        let pause = self.drains_pause.or_else(|| {
            let clear =
                !self.reachability.is_uncertain && self.reachability.partitioned_zones.is_empty();
            (!clear || self.unresolved()).then_some(WaitReason::Outlook)
        });
        if pause != self.drains_paused {
            match &pause {
                Some(why) => info!(?why, "maintenance paused"),
                None => info!("maintenance goes on"),
            }
            self.drains_paused = pause;
        }
        let services = self.observe_services();
        let mut draining = BTreeMap::new();
        for (name, ordered) in self.drains.machines.clone() {
            let id = MachineId::from(name.as_str());
            let Some(machine) = self.machines.get(&id) else {
                continue;
            };
            let mut tasks = self.tasks_to_move(&id, &services, now);
            let left = tasks.len() as u32;
            let over = ordered.by_ms.is_some_and(|by| self.wall_ms >= by);
            let (stop, waits) = match pause {
                Some(why) if left > 0 => (Vec::new(), why),
                _ => drain::step(now, over, &mut tasks, &mut self.ledger),
            };
            let empty = machine.tasks.is_empty() && !machine.unresolved;
            let leaves = empty && matches!(machine.standing, Standing::Up | Standing::Booting);
            if leaves && pause.is_none() {
                info!(machine = %id, why = "drained", "leaving");
                let machine = self.machines.get_mut(&id).expect("just seen");
                machine.standing = Standing::Leaving;
            }
            for key in stop {
                info!(task = %key.0, machine = %id, "moved");
                self.stop(&id, &key, self.config.options.grace, now);
            }
            draining.insert(id, Progress { tasks: left, waits });
        }
        self.draining = draining;
    }

    /// What is on a machine that is to be emptied, replicas last.
    fn tasks_to_move(
        &self,
        id: &MachineId,
        services: &BTreeMap<JobId, Replicas>,
        now: Duration,
    ) -> Vec<Task<AttemptKey>> {
        let placements = self.machines[id].tasks.iter();
        let left = placements.filter(|(_, p)| !p.exited() && !p.foreign);
        let mut tasks: Vec<Task<AttemptKey>> = left
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
                    has_room: self.has_room_elsewhere(id, placement, now),
                    lost_work: work_lost(placement, now),
                })
            })
            .collect();
        tasks.sort_by_key(|task| task.kind == drain::Kind::Replica);
        tasks
    }

    /// Whether a task could start on some other machine now. Where its image is, is not
    /// asked: a fetch is shorter than a machine that is never emptied.
    fn has_room_elsewhere(&self, id: &MachineId, placement: &Placement, now: Duration) -> bool {
        let Some(spec) = &placement.spec else {
            return false;
        };
        let mut others = self.machines.values().filter(|m| m.id != *id);
        others.any(|m| {
            self.usable(m, now)
                && spec.allows_type(&m.machine_type)
                && spec.allows_place(&m.zone, m.spot)
                && spec.need.fits_in(&m.free())
        })
    }
}

fn count(replicas: &mut Replicas, placement: &Placement) {
    if !placement.exited() {
        let runs = placement.phase == Phase::Seen(TaskPhase::Running);
        replicas.stopping += u32::from(placement.stopping());
        replicas.up += u32::from(runs && !placement.stopping());
    }
}

/// Run time that is not saved: since the last checkpoint at most.
fn work_lost(placement: &Placement, now: Duration) -> Duration {
    let Some(spec) = placement.spec.as_ref().filter(|s| s.kind != Kind::Service) else {
        return Duration::ZERO;
    };
    let since = placement.running_since.unwrap_or(now);
    let ran = now.saturating_sub(since);
    match spec.checkpoint_s > 0.0 {
        true => ran.min(crate::settings::seconds(spec.checkpoint_s)),
        false => ran,
    }
}
