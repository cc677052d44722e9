//! What operators ask of a node about machines: emptying them, how far that is, and not to.
//!
//! The list is one stored record, so that a machine stays cordoned through any change of
//! the leader. The leader carries it out (`drain`) and strikes off what is gone.

use std::time::Duration;

use kiteyard_maintenance::drain::{Drain, Drains, WaitReason};
use kiteyard_rollout::generation::Stage;
use serde::{Deserialize, Serialize};
use tracing::info;

use super::{
    Answer, BACK_OFF, Node, Purpose, RequestId,
    drain::DRAINS,
    job::Kind,
    store::{DRAINS as KEY, GENERATION, LEADER, StateReply, StateRequest, put, when},
};

#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    Status,
    /// Says what starting would do.
    Plan(Vec<String>),
    Start {
        machines: Vec<String>,
        by: Option<Duration>,
    },
    Cancel(Vec<String>),
}

/// One machine in an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineView {
    pub machine: String,
    pub zone: String,
    /// cordoned, draining, empty or unknown; for a plan, kept.
    pub state: String,
    /// Replicas that move, array tasks and gang tasks that are let end.
    pub replicas: u32,
    pub array_tasks: u32,
    pub gang_tasks: u32,
    pub waits: Option<WaitReason>,
    pub by_ms: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Maintenance {
    retry: Duration,
    storing: bool,
}

const RETRY: Duration = Duration::from_secs(1);
/// A change of the state service has 64 KiB at most; its keys and conditions are in it.
const TRANSACTION_BYTES: usize = 63 * 1024;

impl Node {
    pub(super) fn maintenance_asked(&mut self, request: RequestId, ask: Ask) {
        if self.config.options.maintenance.is_none() {
            let why = "maintenance is off: start the nodes with --maintenance FILE";
            self.answer(request, Answer::Impossible(why.into()));
            return;
        }
        if !self.places() || !self.has_previous_leader_stopped() {
            // Only the leader knows the machines, and one before it may still start
            // something there.
            self.answer(request, Answer::Later { retry: RETRY });
            return;
        }
        match ask {
            Ask::Status => self.answer_drains(request, None),
            Ask::Plan(machines) => match self.objection_to_drain(&machines, None) {
                Some(why) => self.answer(request, Answer::Impossible(why)),
                None => self.answer_drains(request, Some(machines)),
            },
            Ask::Start { machines, by } => {
                if let Some(why) = self.objection_to_drain(&machines, by) {
                    self.answer(request, Answer::Impossible(why));
                    return;
                }
                let drains = self.drains_with(&machines, by);
                self.store_drains(drains, Some(request));
            }
            Ask::Cancel(machines) => {
                let mut drains = self.cache.drains.0.clone();
                let unknown = machines.iter().find(|m| !drains.machines.contains_key(*m));
                if let Some(machine) = unknown {
                    let why = format!("{machine} is not being emptied");
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

    /// The stored list with these machines.
    fn drains_with(&self, machines: &[String], by: Option<Duration>) -> Drains {
        let mut drains = self.cache.drains.0.clone();
        let since_ms = self.clock.wall_ms;
        let by_ms = by.map(|by| since_ms + by.as_millis() as u64);
        for machine in machines {
            // Asked for again, only its time may change.
            let drain = drains.machines.entry(machine.clone());
            drain.or_insert(Drain { since_ms, by_ms }).by_ms = by_ms;
        }
        drains
    }

    /// What is in the way of emptying these machines, said when it is asked for.
    fn objection_to_drain(&self, machines: &[String], by: Option<Duration>) -> Option<String> {
        let cluster = self.cluster.as_ref()?;
        if self.cache.cluster.0.written_generation() < DRAINS.since {
            let needs = DRAINS.since;
            return Some(format!(
                "generation {needs} is not in use, see rollout status"
            ));
        }
        if machines.is_empty() {
            return Some("machines: name one at least".into());
        }
        if let Some(why) = self.too_long(&self.drains_with(machines, by)) {
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
                let none = cluster.ledger.max_down(&spec.team, spec.tasks) == 0;
                if spec.kind == Kind::Service && none {
                    let (team, id) = (&spec.team, &spec.id);
                    return Some(format!(
                        "{name} has a replica of {id}, and team {team} allows none to be down"
                    ));
                }
                let elsewhere = cluster.types.iter().any(|t| {
                    spec.allows_type(&t.name)
                        && spec.need.fits_in(&t.size)
                        && spec
                            .zone
                            .as_ref()
                            .is_none_or(|z| t.zones.iter().any(|o| **o == **z))
                });
                if !elsewhere {
                    return Some(format!(
                        "{name} runs {}, which fits no other machine",
                        spec.id
                    ));
                }
            }
        }
        None
    }

    /// The whole list is one value of the state service.
    fn too_long(&self, drains: &Drains) -> Option<String> {
        let most = self.limits.value_bytes.min(TRANSACTION_BYTES);
        let bytes = serde_json::to_vec(drains).map_or(usize::MAX, |text| text.len());
        let machines = drains.machines.len();
        (bytes > most).then(|| {
            format!("{machines} machines take {bytes} bytes, and the state service stores {most}")
        })
    }

    fn answer_drains(&mut self, request: RequestId, planned: Option<Vec<String>>) {
        let Some(cluster) = &self.cluster else { return };
        let drains = &self.cache.drains.0.machines;
        let names = match &planned {
            Some(names) => names.clone(),
            None => drains.keys().cloned().collect(),
        };
        let view = |name: String| {
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
        let views = names.into_iter().map(view).collect();
        self.answer(request, Answer::Drains(views));
    }

    fn store_drains(&mut self, drains: Drains, request: Option<RequestId>) {
        let Some(claim) = self.claim() else { return };
        self.maintenance.storing = true;
        let conditions = vec![
            when(LEADER, claim),
            when(KEY, self.cache.drains.1),
            when(GENERATION, self.cache.cluster.1),
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

    pub(super) fn drains_stored(
        &mut self,
        request: Option<RequestId>,
        drains: Drains,
        reply: &StateReply,
    ) {
        self.maintenance.storing = false;
        self.maintenance.retry = self.now() + BACK_OFF;
        let committed = match reply {
            StateReply::Committed { revision } => {
                if *revision > self.cache.drains.1 {
                    self.cache.drains = (drains, *revision);
                }
                true
            }
            _ => false,
        };
        // Nothing is started there from this answer on.
        self.cordon();
        let Some(request) = request else { return };
        match committed && self.places() {
            true => self.answer_drains(request, None),
            false => self.answer(request, Answer::Later { retry: RETRY }),
        }
    }

    fn cordon(&mut self) {
        let now = self.now();
        if let Some(cluster) = &mut self.cluster {
            cluster.cordon(self.cache.drains.0.clone(), now);
        }
    }

    /// Follows the stored list, and strikes off machines that are gone.
    pub(super) fn drive_maintenance(&mut self) {
        let now = self.now();
        if self.cache.drains.1 == 0 || !self.places() {
            return;
        }
        self.cordon();
        let moves = self.cache.cluster.0.stage != Stage::Settled;
        let off = self.cache.cluster.0.written_generation() < DRAINS.since;
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.drains_pause = moves.then_some(WaitReason::Rollout);
        if self.maintenance.storing || now < self.maintenance.retry {
            return;
        }
        let mut drains = self.cache.drains.0.clone();
        // Going back to a generation that knows no list leaves none behind.
        drains
            .machines
            .retain(|machine, _| !off && !cluster.is_gone(machine, now));
        if drains != self.cache.drains.0 {
            let left = drains.machines.len();
            info!(left, "machines drained");
            self.store_drains(drains, None);
        }
    }
}
