//! Consolidation: empties expensive machines that are kept only for a few replicas.
//!
//! Replicas run for minutes and end one by one. After a load peak the remaining ones are
//! spread over many machines, and each keeps a whole machine rented. When no job waits, the
//! most expensive underused machine is emptied: its replicas restart on machines that have
//! capacity and their image, and the machine is released.

use std::{collections::HashMap, time::Duration};

use kiteyard_maintenance::ledger::{Replicas, StopRequest};
use tracing::info;

use super::{
    cluster::ClusterState,
    job::{JobId, Kind},
    machine::{AttemptKey, Machine, MachineId, MachineState, Phase, TaskPhase},
};

/// A machine is underused if at most `1 / UNDERUSED_DIVISOR` of it is in use.
const UNDERUSED_DIVISOR: f64 = 4.0;
/// Minimum age of a replica before it is moved.
const MIN_REPLICA_AGE: Duration = Duration::from_secs(30);

impl ClusterState {
    /// Starts emptying a machine, or continues with one, as the disruption budgets allow.
    pub(super) fn plan_consolidation(&mut self, now: Duration) {
        let draining = self
            .machines
            .values()
            .find(|m| m.state == MachineState::Leaving && m.busy())
            .map(|m| m.id.clone());
        let id = match draining {
            Some(id) => id,
            None => {
                if now < self.provisioning.next_consolidation {
                    return;
                }
                self.provisioning.next_consolidation = now + Duration::from_secs(1);
                if self.has_unresolved_machines()
                    || self.jobs.values().any(|j| j.waiting_count() > 0)
                {
                    self.provisioning.last_waiting_at = now;
                    return;
                }
                let Some(id) = self.underused_machine(now) else {
                    return;
                };
                info!(machine = %id, why = "underused", "machine marked for release");
                let machine = self.machines.get_mut(&id).expect("known machine");
                machine.state = MachineState::Leaving;
                id
            }
        };
        self.move_replicas(&id, now);
    }

    /// Returns the most expensive underused machine that runs only settled replicas, all of which
    /// fit on other machines now.
    fn underused_machine(&self, now: Duration) -> Option<MachineId> {
        let candidates = self
            .machines
            .values()
            .filter(|m| self.usable(m, now) && !m.direct_in_flight)
            // New jobs may need the machine, so it is kept as long as an idle one.
            .filter(|m| now > self.provisioning.last_waiting_at + self.idle_time(&m.machine_type))
            .filter(|m| {
                let used = m.size.minus(&m.free());
                m.busy() && used.dominant_share_of(&m.size) * UNDERUSED_DIVISOR <= 1.0
            })
            .filter(|m| {
                m.tasks.values().filter(|p| !p.exited()).all(|p| {
                    let is_replica = p.spec.as_ref().is_some_and(|s| s.kind == Kind::Service);
                    is_replica
                        && p.phase == Phase::Seen(TaskPhase::Running)
                        && !p.stopping()
                        && now > p.since + MIN_REPLICA_AGE
                })
            })
            .filter(|m| self.fits_elsewhere(m, now));
        let price = |m: &Machine| self.price(&m.machine_type, m.spot);
        candidates
            .max_by(|a, b| price(a).total_cmp(&price(b)))
            .map(|m| m.id.clone())
    }

    /// Returns whether other busy machines have capacity and the images for all tasks of the
    /// machine.
    fn fits_elsewhere(&self, machine: &Machine, now: Duration) -> bool {
        let mut free_capacity: Vec<_> = self
            .machines
            .values()
            .filter(|m| m.id != machine.id && m.busy() && self.usable(m, now))
            .map(|m| (m, m.free()))
            .collect();
        machine.tasks.values().filter(|p| !p.exited()).all(|p| {
            let Some(spec) = &p.spec else { return false };
            let target = free_capacity.iter_mut().find(|(m, free)| {
                // A move within the zone can't violate a zone constraint of the service.
                (m.zone == machine.zone || !(spec.one_zone || spec.spread))
                    && spec.allows_type(&m.machine_type)
                    && spec.allows_placement(&m.zone, m.spot)
                    && m.has_image(&spec.image)
                    && spec.need.fits_in(free)
            });
            target
                .map(|(_, free)| *free = free.minus(&spec.need))
                .is_some()
        })
    }

    /// Stops the replicas on a machine being emptied, as far as the disruption budgets allow.
    fn move_replicas(&mut self, id: &MachineId, now: Duration) {
        let services = self.observe_services();
        let running: Vec<AttemptKey> = self.machines[id]
            .tasks
            .iter()
            .filter(|(_, p)| !p.exited() && !p.stopping() && !p.is_orphaned)
            .map(|(key, _)| key.clone())
            .collect();
        let mut stopped_by_service: HashMap<JobId, u32> = HashMap::new();
        for key in running {
            let (Some(job), Some(counts)) = (self.jobs.get(&key.0.job), services.get(&key.0.job))
            else {
                continue;
            };
            let stopped = stopped_by_service.entry(key.0.job.clone()).or_insert(0);
            let service = Replicas {
                up: counts.up.saturating_sub(*stopped),
                stopping: counts.stopping + *stopped,
                ..*counts
            };
            let team = job.spec.team.clone();
            let request = StopRequest {
                team: &team,
                service: Some(service),
                lost_work: Duration::ZERO,
            };
            if self.disruption_ledger.check(now, &request).is_ok() {
                self.disruption_ledger.record_stop(now, &request);
                *stopped += 1;
                self.stop_task(id, &key, self.config.options.grace, now);
            }
        }
    }
}
