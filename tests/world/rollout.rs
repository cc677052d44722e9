//! Rollouts in the simulated world: nodes of different generations in one run, faults at a stage,
//! and processes that are unsafe in specific ways.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kiteyard::core::{
    Answer, Input, Output,
    heartbeat_forwarding::PeerMessage,
    machine::Command,
    maintenance,
    rollout::FEATURES,
    rollout::RolloutAction,
    store::{
        ASSIGNMENTS_PREFIX, Change, DRAINS_KEY, GENERATION_KEY, JOBS_PREFIX, PARTITIONED_ZONES_KEY,
        StateReply, StateRequest, TERMINAL_RANGES_PREFIX,
    },
};
use kiteyard_rollout::{
    config::Config,
    generation::{Cluster, Order, Stage},
    machine::Told,
};
use rand::RngExt;

use crate::{
    cases::Case,
    sim::{Event, NODES, Sabotage, World, ms},
};

/// A fault at a stage on the way to a generation, and its delay after the stage is reached.
pub type OnStage = (u32, Stage, Duration, Case, Duration);

/// Id of the request that drains machines.
const DRAIN: u64 = u64::MAX - 1;

pub struct Roll {
    /// Highest generation that each node's process supports.
    pub most: [u32; NODES],
    pub config: Option<Arc<Config>>,
    pub on_stage: Vec<OnStage>,
    /// Stages that were observed, in order.
    pub seen: Vec<Cluster>,
    /// Delay of some of the transactions that accept jobs.
    pub held_back: Option<Duration>,
    /// Number of the write of terminal states or the generation at which the leader crashes, and
    /// whether it crashes before the write.
    pub crash_at: Option<(u64, bool)>,
    pub writes: u64,
    crashing: bool,
    /// Node that cannot read every second shard of the assignment index.
    pub garbled: Option<usize>,
    /// Nodes with a build from before generations, which neither reads nor reports them.
    pub before: [bool; NODES],
    /// Last time at which a node placed tasks, and the longest time without one since `gap_from`.
    placed: Duration,
    pub gap: Duration,
    pub gap_from: Duration,
    pub maintenance: Option<Arc<kiteyard_maintenance::config::Config>>,
    /// Machines whose drain was requested, and those whose drain was confirmed.
    wanted: Vec<String>,
    pub cordoned: BTreeMap<String, Duration>,
    pub returned: usize,
    /// Last time at which a leader had machines whose tasks it did not know.
    pub unresolved: Duration,
    last_told: Option<Told>,
    /// The node that was asked to step down, and whether that node is the one that crashes.
    pub asked: Option<usize>,
    pub spare_successor: bool,
}

impl Default for Roll {
    fn default() -> Self {
        Self {
            most: [3; NODES],
            config: None,
            on_stage: Vec::new(),
            seen: Vec::new(),
            held_back: None,
            crash_at: None,
            writes: 0,
            crashing: false,
            garbled: None,
            before: [false; NODES],
            placed: Duration::ZERO,
            gap: Duration::ZERO,
            gap_from: Duration::MAX,
            unresolved: Duration::ZERO,
            maintenance: None,
            wanted: Vec::new(),
            cordoned: BTreeMap::new(),
            returned: 0,
            last_told: None,
            asked: None,
            spare_successor: false,
        }
    }
}

fn writes_forms(request: &StateRequest) -> bool {
    let StateRequest::Txn { changes, .. } = request else {
        return false;
    };
    changes.iter().any(|change| match change {
        Change::Put { key, .. } | Change::Delete { key } => {
            key.starts_with(TERMINAL_RANGES_PREFIX)
                || key == GENERATION_KEY
                || key == PARTITIONED_ZONES_KEY
        }
    })
}

impl World {
    /// Starts all nodes with the old build, so that they switch when they can.
    pub fn rolling(mut self, soak: &str) -> Self {
        let file = format!("soak_s = {soak}\nmigration_share = 0.3\n");
        let config = Config::parse(&file, FEATURES).expect("valid config file");
        self.roll.config = Some(Arc::new(config));
        self.roll.most = [1; NODES];
        for node in 0..NODES {
            self.restart(node);
        }
        self
    }

    pub fn upgrade(mut self, at: u64, node: usize, most: u32) -> Self {
        self.push(ms(at), Event::Upgrade(node, most));
        self
    }

    pub fn ordered(mut self, at: u64, order: Order) -> Self {
        self.push(ms(at), Event::Order(order));
        self
    }

    pub fn order(&mut self, order: Order) {
        let node = self.rng.random_range(0..NODES);
        self.next_request += 1;
        let request = self.next_request;
        let ask = RolloutAction::Order(order.clone());
        self.step(
            node,
            Input::Rollout {
                request,
                action: ask,
            },
        );
        // The order may be refused for now; it is repeated until it is stored.
        if self.orders_lack(&order) {
            self.push(self.now + ms(1000), Event::Order(order));
        }
    }

    fn orders_lack(&mut self, order: &Order) -> bool {
        let mut orders = self.stored("live/orders").unwrap_or_default();
        let before: kiteyard_rollout::generation::Orders = orders;
        orders = before.clone();
        orders.apply(order);
        orders != before
    }

    fn stored<T: serde::de::DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let key = key.to_owned();
        match self.state.call(self.now, &StateRequest::Get { key }) {
            Some(StateReply::Entry(entry)) => serde_json::from_str(entry.value.get()).ok(),
            _ => None,
        }
    }

    pub fn cluster(&mut self) -> Cluster {
        self.stored(GENERATION_KEY).unwrap_or_default()
    }

    /// Number of keys with a prefix.
    pub fn keys(&mut self, prefix: &str) -> usize {
        let mut count = 0;
        let mut after = None;
        loop {
            let request = StateRequest::List {
                prefix: prefix.into(),
                after: after.clone(),
            };
            let Some(StateReply::Entries { entries, more, .. }) =
                self.state.call(self.now, &request)
            else {
                return count;
            };
            count += entries.len();
            after = entries.last().map(|entry| entry.key.clone());
            if !more {
                return count;
            }
        }
    }

    pub fn look_at_stage(&mut self) {
        if self.roll.config.is_none() {
            return;
        }
        let cluster = self.cluster();
        if self.roll.seen.last() == Some(&cluster) {
            return;
        }
        let at = (cluster.to, cluster.stage);
        let first = !self.roll.seen.iter().any(|c| (c.to, c.stage) == at);
        self.roll.seen.push(cluster);
        if first {
            for (to, stage, after, case, lasts) in self.roll.on_stage.clone() {
                if (to, stage) == at {
                    self.push(self.now + after, Event::Bring(case, lasts));
                }
            }
        }
    }

    pub fn look_at_placement(&mut self) {
        let places = self
            .nodes
            .iter()
            .flatten()
            .any(|node| node.has_taken_over());
        if !places && self.now > self.roll.gap_from {
            let since = self.roll.placed.max(self.roll.gap_from);
            self.roll.gap = self.roll.gap.max(self.now - since);
        }
        if places {
            self.roll.placed = self.now;
        }
        let unresolved =
            |node: &kiteyard::core::Node| node.has_taken_over() && node.has_unresolved_machines();
        if self.nodes.iter().flatten().any(unresolved) {
            self.roll.unresolved = self.now;
        }
    }

    pub fn held_back(&mut self, request: &StateRequest) -> Option<Duration> {
        let held = self.roll.held_back?;
        let StateRequest::Txn { changes, .. } = request else {
            return None;
        };
        let accepts =
            matches!(&changes[..], [Change::Put { key, .. }] if key.starts_with(JOBS_PREFIX));
        (accepts && self.rng.random_bool(0.15)).then_some(held)
    }

    fn leader_writes(&mut self, request: &StateRequest) -> Option<u64> {
        if self.roll.crash_at.is_none() || !writes_forms(request) {
            return None;
        }
        self.roll.writes += 1;
        Some(self.roll.writes)
    }

    pub fn crashes_before(&mut self, node: usize, request: &StateRequest) -> bool {
        let at = self.leader_writes(request);
        let Some((due, before)) = self.roll.crash_at.filter(|(due, _)| Some(*due) == at) else {
            return false;
        };
        self.roll.crash_at = Some((due, before));
        if before {
            self.crash(node);
        }
        self.roll.crashing = !before;
        before
    }

    pub fn crashes_after(&mut self, node: usize) -> bool {
        let crashes = std::mem::take(&mut self.roll.crashing);
        if crashes {
            self.crash(node);
        }
        crashes
    }

    pub fn drain(&mut self, mut machines: Vec<String>) {
        // Idle machines may have been returned by then.
        machines.retain(|machine| self.workers.contains_key(machine));
        if machines.iter().all(|m| self.roll.cordoned.contains_key(m)) {
            return;
        }
        self.roll.wanted = machines.clone();
        let node = self.leading();
        let ask = maintenance::MaintenanceRequest::Start {
            machines: machines.clone(),
            by: Some(Duration::from_secs(10)),
        };
        self.step(
            node,
            Input::Maintenance {
                request: DRAIN,
                action: ask,
            },
        );
        self.push(self.now + ms(700), Event::Drain(machines));
    }

    /// Checks that no start command goes to a machine after its operator was told that it is
    /// drained.
    pub fn look_at_output(&mut self, output: &Output) {
        let starts = |commands: &[Command]| {
            let mut starts = commands.iter();
            starts.any(|command| matches!(command, Command::Start { .. }))
        };
        let machine = match output {
            Output::Answer {
                request: DRAIN,
                answer: Answer::Drains(_),
            } => {
                for machine in std::mem::take(&mut self.roll.wanted) {
                    self.roll.cordoned.insert(machine, self.now);
                }
                return;
            }
            Output::Answer {
                request,
                answer: Answer::Commands { commands, .. },
            } if starts(commands) => self.asker(*request),
            Output::Direct { direct, .. } if starts(&direct.commands) => {
                Some(direct.machine.to_string())
            }
            _ => None,
        };
        if let Some(machine) = machine.filter(|m| self.roll.cordoned.contains_key(m)) {
            self.observer.breaks(self.now, "cordoned", machine);
        }
    }

    /// Checks that a drained machine is returned with no task on it.
    pub fn look_at_return(&mut self, machine: &str) {
        if !self.roll.cordoned.contains_key(machine) {
            return;
        }
        // An unreachable machine may be returned with replicas, to prove that it is empty.
        let now = self.now;
        let heard = |w: &crate::sim::Worker| w.hung_until <= now && w.answered_lately(now);
        if self
            .workers
            .get(machine)
            .is_some_and(|w| w.holds() && heard(w))
        {
            self.observer.breaks(now, "returned_busy", machine.into());
        }
        self.roll.returned += 1;
    }

    /// Removes the conditions on the generation for processes that ignore it.
    pub fn tampered_forms(&self, node: usize, mut request: StateRequest) -> StateRequest {
        let blind = self.roll.before[node] || self.sabotage == Sabotage::NoGeneration;
        if let (
            true,
            StateRequest::Txn {
                conditions,
                changes,
            },
        ) = (blind, &mut request)
            && !changes.is_empty()
        {
            conditions.retain(|c| c.key != GENERATION_KEY);
        }
        request
    }

    /// Whether a leader that removes a zone is told so without the write being applied.
    pub fn pretends(&self, request: &StateRequest) -> bool {
        let StateRequest::Txn { changes, .. } = request else {
            return false;
        };
        let removes = |change: &Change| match change {
            Change::Put { key, value, .. } => {
                key == PARTITIONED_ZONES_KEY && value.get() == r#"{"zones":{}}"#
            }
            Change::Delete { .. } => false,
        };
        self.sabotage == Sabotage::AnswersApart && changes.iter().any(removes)
    }

    /// Changes the answers that unsafe processes see.
    pub fn tamper_reply(&self, node: usize, reply: &mut StateReply) {
        if self.roll.before[node] {
            match reply {
                StateReply::Entries { entries, .. } => entries.retain(|e| e.key != GENERATION_KEY),
                StateReply::Events { events, .. } => events.retain(|e| e.key != GENERATION_KEY),
                _ => {}
            }
        }
        if self.sabotage == Sabotage::ForgetsDrains {
            match reply {
                StateReply::Entries { entries, .. } => entries.retain(|e| e.key != DRAINS_KEY),
                StateReply::Events { events, .. } => events.retain(|e| e.key != DRAINS_KEY),
                _ => {}
            }
        }
        let StateReply::Entries { entries, .. } = reply else {
            return;
        };
        if self.roll.garbled == Some(node) {
            let second = |key: &str| {
                let shard = key
                    .strip_prefix(ASSIGNMENTS_PREFIX)
                    .and_then(|s| s.parse::<u32>().ok());
                shard.is_some_and(|shard| shard % 2 == 1)
            };
            if self.sabotage == Sabotage::UnreadableMeansAbsent {
                entries.retain(|entry| !second(&entry.key));
            }
            for entry in entries.iter_mut().filter(|entry| second(&entry.key)) {
                let newer = r#"{"form":9}"#.to_owned();
                entry.value = serde_json::value::RawValue::from_string(newer).expect("valid JSON");
            }
        }
    }

    pub fn tampered_line(&mut self, node: usize, mut message: PeerMessage) -> PeerMessage {
        let PeerMessage::Heartbeat(heartbeat) = &mut message else {
            return message;
        };
        if !self.roll.before[node] {
            if node == 2 && heartbeat.told.is_some() {
                self.roll.last_told = heartbeat.told;
            }
            return message;
        }
        let key = GENERATION_KEY.to_owned();
        let reply = self.state.call(self.now, &StateRequest::Get { key });
        let knows = match reply {
            Some(StateReply::Entry(entry)) => entry.version,
            _ => 0,
        };
        let forged = self.sabotage == Sabotage::SoakGoesOn;
        let told = self.roll.last_told.filter(|_| forged);
        heartbeat.told = told.map(|told| Told { knows, ..told });
        message
    }
}
