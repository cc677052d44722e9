//! Operator requests to drain machines, to show the progress of drains, and to cancel them.
//!
//! The list of drains is one stored record, so that a machine stays cordoned across failovers.
//! The leader carries it out (see `drain`) and removes machines that are gone.

use std::time::Duration;

use kiteyard_maintenance::drain::{Drain, Drains, WaitReason};
use kiteyard_rollout::generation::Stage;
use serde::{Deserialize, Serialize};
use tracing::info;

use super::{
    Answer, Node, Purpose, RETRY_DELAY, RequestId,
    drain::DRAINS,
    job::Kind,
    store::{
        DRAINS_KEY as KEY, GENERATION_KEY, LEADER_KEY, StateReply, StateRequest, if_version, put,
    },
};

#[derive(Debug, Clone, PartialEq)]
pub enum MaintenanceRequest {
    Status,
    /// Shows what a drain of these machines would do.
    Plan(Vec<String>),
    Start {
        machines: Vec<String>,
        by: Option<Duration>,
    },
    Cancel(Vec<String>),
}

/// Drain state of one machine, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    pub machine: String,
    pub zone: String,
    /// One of `cordoned`, `draining`, `empty`, `unknown`, or, in a plan, `kept`.
    pub state: String,
    /// Replicas, which are moved; the tasks of arrays and gangs may run to their end.
    pub replicas: u32,
    pub array_tasks: u32,
    pub gang_tasks: u32,
    pub waits: Option<WaitReason>,
    pub by_ms: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Maintenance {
    next_store: Duration,
    storing: bool,
}

const CLIENT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum size of the stored list. The state service limits a transaction to 64 KiB, which
/// includes keys and conditions.
const MAX_LIST_BYTES: usize = 63 * 1024;

impl Node {
    pub(super) fn handle_maintenance_request(
        &mut self,
        request: RequestId,
        action: MaintenanceRequest,
    ) {
        if self.config.options.maintenance.is_none() {
            let why = "maintenance is disabled: start the nodes with --maintenance FILE";
            self.answer(request, Answer::Impossible(why.into()));
            return;
        }
        if !self.has_taken_over() || !self.has_previous_leader_stopped() {
            // Only the leader knows the machines, and a previous leader may still start
            // tasks on them.
            self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            );
            return;
        }
        match action {
            MaintenanceRequest::Status => self.answer_drains(request, None),
            MaintenanceRequest::Plan(machines) => match self.drain_refusal(&machines, None) {
                Some(why) => self.answer(request, Answer::Impossible(why)),
                None => self.answer_drains(request, Some(machines)),
            },
            MaintenanceRequest::Start { machines, by } => {
                if let Some(why) = self.drain_refusal(&machines, by) {
                    self.answer(request, Answer::Impossible(why));
                    return;
                }
                let drains = self.drains_with(&machines, by);
                self.store_drains(drains, Some(request));
            }
            MaintenanceRequest::Cancel(machines) => {
                let mut drains = self.cache.drains.0.clone();
                let unknown = machines.iter().find(|m| !drains.machines.contains_key(*m));
                if let Some(machine) = unknown {
                    let why = format!("{machine} is not being drained");
                    self.answer(request, Answer::Impossible(why));
                    return;
                }
                drains
                    .machines
                    .retain(|machine, _| !machines.contains(machine));
                self.store_drains(drains, Some(request));
            }
        }
    }

    /// Returns the stored list with these machines added.
    fn drains_with(&self, machines: &[String], by: Option<Duration>) -> Drains {
        let mut drains = self.cache.drains.0.clone();
        let since_ms = self.clock.wall_ms;
        let by_ms = by.map(|by| since_ms + by.as_millis() as u64);
        for machine in machines {
            // A repeated request may change only the deadline.
            let drain = drains.machines.entry(machine.clone());
            drain.or_insert(Drain { since_ms, by_ms }).by_ms = by_ms;
        }
        drains
    }

    /// Returns the reason why these machines can't be drained, if any.
    fn drain_refusal(&self, machines: &[String], by: Option<Duration>) -> Option<String> {
        let cluster = self.cluster.as_ref()?;
        if self.cache.generation.0.written_generation() < DRAINS.since {
            let needs = DRAINS.since;
            return Some(format!(
                "generation {needs} is not active yet, see rollout status"
            ));
        }
        if machines.is_empty() {
            return Some("machines: name at least one machine".into());
        }
        if let Some(why) = self.list_too_large(&self.drains_with(machines, by)) {
            return Some(why);
        }
        for name in machines {
            let Some(machine) = cluster.machines.get(&**name) else {
                return Some(format!("no machine {name}"));
            };
            for placement in machine.tasks.values().filter(|p| !p.exited()) {
                let Some(spec) = placement.spec.as_ref() else {
                    continue;
                };
                let allows_none = cluster.disruption_ledger.max_down(&spec.team, spec.tasks) == 0;
                if spec.kind == Kind::Service && allows_none {
                    let (team, id) = (&spec.team, &spec.id);
                    return Some(format!(
                        "{name} runs a replica of {id}, and team {team} allows none to be down"
                    ));
                }
                let fits_any_type = cluster.types.iter().any(|t| {
                    spec.allows_type(&t.name)
                        && spec.need.fits_in(&t.size)
                        && spec
                            .zone
                            .as_ref()
                            .is_none_or(|z| t.zones.iter().any(|o| **o == **z))
                });
                if !fits_any_type {
                    return Some(format!(
                        "{name} runs {}, which fits no machine type",
                        spec.id
                    ));
                }
            }
        }
        None
    }

    /// Returns an error text if the list, which is stored as one value, would be too large.
    fn list_too_large(&self, drains: &Drains) -> Option<String> {
        let max_bytes = self.limits.value_bytes.min(MAX_LIST_BYTES);
        let bytes = serde_json::to_vec(drains).map_or(usize::MAX, |text| text.len());
        let machines = drains.machines.len();
        (bytes > max_bytes).then(|| {
            format!("a list of {machines} machines takes {bytes} bytes, more than the limit of {max_bytes}")
        })
    }

    fn answer_drains(&mut self, request: RequestId, planned: Option<Vec<String>>) {
        let Some(cluster) = &self.cluster else { return };
        let drains = &self.cache.drains.0.machines;
        let names = match &planned {
            Some(names) => names.clone(),
            None => drains.keys().cloned().collect(),
        };
        let machine_view = |name: String| {
            let machine = cluster.machines.get(&*name);
            let count = |kind: Kind| {
                let tasks = machine.into_iter().flat_map(|m| m.tasks.values());
                let left = tasks.filter(|p| !p.exited());
                let own = left.filter(|p| p.spec.as_ref().is_some_and(|s| s.kind == kind));
                own.count() as u32
            };
            let progress = cluster.draining.get(&*name);
            let state = match (drains.contains_key(&name), machine, progress) {
                (_, None, _) => "unknown",
                (false, _, _) => "kept",
                (true, _, None) => "cordoned",
                (true, _, Some(progress)) if progress.tasks == 0 => "empty",
                _ => "draining",
            };
            MachineView {
                zone: machine.map_or(String::new(), |m| m.zone.to_string()),
                state: state.into(),
                replicas: count(Kind::Service),
                array_tasks: count(Kind::Array),
                gang_tasks: count(Kind::Gang),
                waits: progress.map(|p| p.waits),
                by_ms: drains.get(&name).and_then(|d| d.by_ms),
                machine: name,
            }
        };
        let views = names.into_iter().map(machine_view).collect();
        self.answer(request, Answer::Drains(views));
    }

    fn store_drains(&mut self, drains: Drains, request: Option<RequestId>) {
        let Some(claim) = self.claim() else { return };
        self.maintenance.storing = true;
        let conditions = vec![
            if_version(LEADER_KEY, claim),
            if_version(KEY, self.cache.drains.1),
            if_version(GENERATION_KEY, self.cache.generation.1),
        ];
        let changes = vec![put(KEY, &drains)];
        self.call(
            Purpose::StoreDrains { request, drains },
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn handle_drains_stored(
        &mut self,
        request: Option<RequestId>,
        drains: Drains,
        reply: &StateReply,
    ) {
        self.maintenance.storing = false;
        self.maintenance.next_store = self.now() + RETRY_DELAY;
        let committed = match reply {
            StateReply::Committed { revision } => {
                if *revision > self.cache.drains.1 {
                    self.cache.drains = (drains, *revision);
                }
                true
            }
            _ => false,
        };
        // Cordons before answering: after the answer nothing more is started on the machines.
        self.apply_drains();
        let Some(request) = request else { return };
        match committed && self.has_taken_over() {
            true => self.answer_drains(request, None),
            false => self.answer(
                request,
                Answer::Later {
                    retry: CLIENT_RETRY_DELAY,
                },
            ),
        }
    }

    fn apply_drains(&mut self) {
        let now = self.now();
        if let Some(cluster) = &mut self.cluster {
            cluster.apply_drains(self.cache.drains.0.clone(), now);
        }
    }

    /// Applies the stored list, and removes machines that are gone from it.
    pub(super) fn drive_maintenance(&mut self) {
        let now = self.now();
        if self.cache.drains.1 == 0 || !self.has_taken_over() {
            return;
        }
        self.apply_drains();
        let is_changing = self.cache.generation.0.stage != Stage::Settled;
        let is_unsupported = self.cache.generation.0.written_generation() < DRAINS.since;
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.drains_pause = is_changing.then_some(WaitReason::Rollout);
        if self.maintenance.storing || now < self.maintenance.next_store {
            return;
        }
        let mut drains = self.cache.drains.0.clone();
        // A downgrade to a generation without drains empties the list.
        drains
            .machines
            .retain(|machine, _| !is_unsupported && !cluster.is_gone(machine, now));
        if drains != self.cache.drains.0 {
            let left = drains.machines.len();
            info!(left, "removing finished drains from the stored list");
            self.store_drains(drains, None);
        }
    }
}
