//! Emptying dear machines that are kept for a few replicas only.
//!
//! Replicas run for minutes and end one by one. What is left of them is spread
//! over machines that were rented for a rush, and each keeps a whole one. When
//! nothing waits, the machine that is used least is emptied: its replicas start
//! anew where there is room and their image, and it is returned.

use std::{collections::HashMap, time::Duration};

use kiteyard_maintenance::ledger::{Replicas, StopRequest};
use tracing::info;

use super::{
    cluster::ClusterState,
    job::{JobId, Kind},
    machine::{AttemptKey, Machine, MachineId, Phase, Standing, TaskPhase},
};

/// A machine is worth emptying when it is used for less than one part in so many.
const USED_ONE_IN: f64 = 4.0;
/// A replica that started less than this ago stays where it is.
const SETTLED: Duration = Duration::from_secs(30);

impl ClusterState {
    /// Begins to empty a machine, or goes on with one, as the ledger of disruption allows.
    pub(super) fn plan_consolidation(&mut self, now: Duration) {
        let draining = self
            .machines
            .values()
            .find(|m| m.standing == Standing::Leaving && m.busy())
            .map(|m| m.id.clone());
        let id = match draining {
            Some(id) => id,
            None => {
                if now < self.provisioning.next_consolidation {
                    return;
                }
                self.provisioning.next_consolidation = now + Duration::from_secs(1);
                if self.unresolved() || self.jobs.values().any(|j| j.waiting_count() > 0) {
                    self.provisioning.waited_at = now;
                    return;
                }
                let Some(id) = self.underused_machine(now) else {
                    return;
                };
                info!(machine = %id, why = "hardly used", "leaving");
                let machine = self.machines.get_mut(&id).expect("just seen");
                machine.standing = Standing::Leaving;
                id
            }
        };
        self.move_replicas(&id, now);
    }

    /// The dearest machine with a few settled replicas and nothing else, all of
    /// which others can take at once.
    fn underused_machine(&self, now: Duration) -> Option<MachineId> {
        let dear = self
            .machines
            .values()
            .filter(|m| self.usable(m, now) && !m.direct)
            // What comes next may need it: it is kept as long as an idle one.
            .filter(|m| now > self.provisioning.waited_at + self.idle_time(&m.machine_type))
            .filter(|m| {
                let used = m.size.minus(&m.free());
                m.busy() && used.share_of(&m.size) * USED_ONE_IN <= 1.0
            })
            .filter(|m| {
                m.tasks.values().filter(|p| !p.exited()).all(|p| {
                    let replica = p.spec.as_ref().is_some_and(|s| s.kind == Kind::Service);
                    replica
                        && p.phase == Phase::Seen(TaskPhase::Running)
                        && !p.stopping()
                        && now > p.since + SETTLED
                })
            })
            .filter(|m| self.fits_elsewhere(m, now));
        let price = |m: &Machine| self.price(&m.machine_type, m.spot);
        dear.max_by(|a, b| price(a).total_cmp(&price(b)))
            .map(|m| m.id.clone())
    }

    /// Whether other machines that are kept anyway have room for what runs here,
    /// and the images of it.
    fn fits_elsewhere(&self, machine: &Machine, now: Duration) -> bool {
        let mut rooms: Vec<_> = self
            .machines
            .values()
            .filter(|m| m.id != machine.id && m.busy() && self.usable(m, now))
            .map(|m| (m, m.free()))
            .collect();
        machine.tasks.values().filter(|p| !p.exited()).all(|p| {
            let Some(spec) = &p.spec else { return false };
            let room = rooms.iter_mut().find(|(m, free)| {
                // Within its zone a replica breaks no rule of where the others are.
                (m.zone == machine.zone || !(spec.one_zone || spec.spread))
                    && spec.allows_type(&m.machine_type)
                    && spec.allows_place(&m.zone, m.spot)
                    && m.has_image(&spec.image)
                    && spec.need.fits_in(free)
            });
            room.map(|(_, free)| *free = free.minus(&spec.need))
                .is_some()
        })
    }

    /// Stops replicas on a machine that is to go, as far as the ledger allows.
    fn move_replicas(&mut self, id: &MachineId, now: Duration) {
        let services = self.observe_services();
        let running: Vec<AttemptKey> = self.machines[id]
            .tasks
            .iter()
            .filter(|(_, p)| !p.exited() && !p.stopping() && !p.foreign)
            .map(|(key, _)| key.clone())
            .collect();
        let mut moved: HashMap<JobId, u32> = HashMap::new();
        for key in running {
            let (Some(job), Some(standing)) = (self.jobs.get(&key.0.job), services.get(&key.0.job))
            else {
                continue;
            };
            let stops = moved.entry(key.0.job.clone()).or_insert(0);
            let service = Replicas {
                up: standing.up.saturating_sub(*stops),
                stopping: standing.stopping + *stops,
                ..*standing
            };
            let team = job.spec.team.clone();
            let ask = StopRequest {
                team: &team,
                service: Some(service),
                lost_work: Duration::ZERO,
            };
            if self.ledger.check(now, &ask).is_ok() {
                self.ledger.record_stop(now, &ask);
                *stops += 1;
                self.stop(id, &key, self.config.options.grace, now);
            }
        }
    }
}
