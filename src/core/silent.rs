//! Machines that fall silent with replicas on them: proving them empty by
//! returning them, before the worker's lease is over.
//!
//! A machine that hangs takes its replicas with it, and they may start elsewhere
//! only when its lease is over or it is gone. Once the cloud has confirmed its
//! return it is gone. A machine that is only cut off goes on working, though, and
//! then many fall silent at once: only a few at a time are given up like this.

use std::{collections::HashMap, time::Duration};

use tracing::info;

use super::{
    job::Kind,
    leader::Leader,
    machine::{Machine, MachineId, Standing},
};

/// Of all machines, and of those of one zone, at most one in so many is given up;
/// one always may be.
const ONE_IN: usize = 10;
const ONE_IN_ZONE: usize = 4;

impl Machine {
    /// Something runs here that has to run all the time.
    fn serves(&self) -> bool {
        self.tasks.values().any(|p| {
            let endless = p.spec.as_ref().is_some_and(|s| s.kind != Kind::Array);
            endless && !p.foreign && !p.exited() && !p.stopping()
        })
    }

    fn unheard(&self, time: Duration, now: Duration) -> bool {
        self.standing == Standing::Up
            && self.fenced
            && self.heard_at.is_some_and(|at| now > at + time)
    }
}

impl Leader {
    /// The machine missed a report: it is asked whether it still answers.
    pub(super) fn doubtful(&self, machine: &Machine, now: Duration) -> bool {
        machine.unheard(self.config.report * 3 / 2, now) && !machine.mute && machine.serves()
    }

    /// Machines to be returned, as a proof that nothing runs there any more.
    pub(super) fn plan_reclaims(&mut self, now: Duration) -> Vec<MachineId> {
        // One that does not know that it still leads may be the one cut off.
        if now > self.proven + self.config.renew_every * 2 {
            return Vec::new();
        }
        let (mut up, mut silent) = (0, 0);
        let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
        for machine in self.machines.values() {
            if machine.standing != Standing::Up {
                continue;
            }
            let quiet = machine.unheard(self.config.report * 2, now);
            let zone = zones.entry(&machine.zone).or_default();
            *zone = (zone.0 + 1, zone.1 + usize::from(quiet));
            up += 1;
            silent += usize::from(quiet);
        }
        if silent > (up / ONE_IN).max(1) {
            return Vec::new();
        }
        let silence = (self.config.report * 2).max(self.config.worker_lease_bound / 3);
        let go: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.unheard(silence, now) && m.mute && m.serves())
            .filter(|m| {
                let (up, silent) = zones[&*m.zone];
                silent <= (up / ONE_IN_ZONE).max(1)
            })
            .map(|m| m.id.clone())
            .collect();
        for machine in &go {
            info!(%machine, "silent with replicas: returned to prove it empty");
        }
        go
    }
}
