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
    generation::{ClusterGeneration, Order, Stage},
    state_machine::NodeAnnouncement,
};
use rand::RngExt;

use crate::{
    faults::Fault,
    sim::{Defect, Event, NODES, World, ms},
};

/// A fault at a stage on the way to a generation, and its delay after the stage is reached.
pub type StageFault = (u32, Stage, Duration, Fault, Duration);

/// Id of the request that drains machines.
const DRAIN_REQUEST: u64 = u64::MAX - 1;

pub struct RolloutState {
    /// Highest generation that each node's process supports.
    pub supported_generation: [u32; NODES],
    pub config: Option<Arc<Config>>,
    pub stage_faults: Vec<StageFault>,
    /// Stages that were observed, in order.
    pub seen_stages: Vec<ClusterGeneration>,
    /// Delay of some of the transactions that accept jobs.
    pub acceptance_delay: Option<Duration>,
    /// Number of the write of terminal states or the generation at which the leader crashes, and
    /// whether it crashes before the write.
    pub crash_at_write: Option<(u64, bool)>,
    pub write_count: u64,
    crash_after_write: bool,
    /// Node that cannot read every second shard of the assignment index.
    pub unreadable_shards_node: Option<usize>,
    /// Nodes with a build from before generations, which neither reads nor reports them.
    pub old_build: [bool; NODES],
    /// Last time at which a node placed tasks, and the longest time without one since
    /// `measure_gap_from`.
    last_placement: Duration,
    pub placement_gap: Duration,
    pub measure_gap_from: Duration,
    pub maintenance: Option<Arc<kiteyard_maintenance::config::Config>>,
    /// Machines whose drain was requested, and those whose drain was confirmed.
    requested_drains: Vec<String>,
    pub cordoned: BTreeMap<String, Duration>,
    pub returned: usize,
    /// Last time at which a leader had machines whose tasks it did not know.
    pub last_unresolved: Duration,
    last_announcement: Option<NodeAnnouncement>,
    /// Node that received a request to step down.
    pub step_down_node: Option<usize>,
    /// Whether that node crashes instead of its successor.
    pub spare_successor: bool,
}

impl Default for RolloutState {
    fn default() -> Self {
        Self {
            supported_generation: [3; NODES],
            config: None,
            stage_faults: Vec::new(),
            seen_stages: Vec::new(),
            acceptance_delay: None,
            crash_at_write: None,
            write_count: 0,
            crash_after_write: false,
            unreadable_shards_node: None,
            old_build: [false; NODES],
            last_placement: Duration::ZERO,
            placement_gap: Duration::ZERO,
            measure_gap_from: Duration::MAX,
            last_unresolved: Duration::ZERO,
            maintenance: None,
            requested_drains: Vec::new(),
            cordoned: BTreeMap::new(),
            returned: 0,
            last_announcement: None,
            step_down_node: None,
            spare_successor: false,
        }
    }
}

fn writes_generation_data(request: &StateRequest) -> bool {
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
    pub fn with_rollout(mut self, soak: &str) -> Self {
        let file = format!("soak_s = {soak}\nmigration_share = 0.3\n");
        let config = Config::parse(&file, FEATURES).expect("valid config file");
        self.rollout.config = Some(Arc::new(config));
        self.rollout.supported_generation = [1; NODES];
        for node in 0..NODES {
            self.restart(node);
        }
        self
    }

    pub fn with_upgrade(mut self, at: u64, node: usize, supported: u32) -> Self {
        self.push(ms(at), Event::Upgrade(node, supported));
        self
    }

    pub fn with_order(mut self, at: u64, order: Order) -> Self {
        self.push(ms(at), Event::RolloutOrder(order));
        self
    }

    pub fn send_order(&mut self, order: Order) {
        let node = self.rng.random_range(0..NODES);
        self.next_request += 1;
        let request = self.next_request;
        let action = RolloutAction::Order(order.clone());
        self.step(node, Input::Rollout { request, action });
        // The order may be refused for now; it is repeated until it is stored.
        if self.is_order_missing(&order) {
            self.push(self.now + ms(1000), Event::RolloutOrder(order));
        }
    }

    fn is_order_missing(&mut self, order: &Order) -> bool {
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

    pub fn cluster(&mut self) -> ClusterGeneration {
        self.stored(GENERATION_KEY).unwrap_or_default()
    }

    /// Number of keys with a prefix.
    pub fn count_keys(&mut self, prefix: &str) -> usize {
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

    pub fn track_stage(&mut self) {
        if self.rollout.config.is_none() {
            return;
        }
        let cluster = self.cluster();
        if self.rollout.seen_stages.last() == Some(&cluster) {
            return;
        }
        let at = (cluster.to, cluster.stage);
        let first = !self
            .rollout
            .seen_stages
            .iter()
            .any(|c| (c.to, c.stage) == at);
        self.rollout.seen_stages.push(cluster);
        if first {
            for (to, stage, after, fault, duration) in self.rollout.stage_faults.clone() {
                if (to, stage) == at {
                    self.push(self.now + after, Event::InjectFault(fault, duration));
                }
            }
        }
    }

    pub fn track_placement(&mut self) {
        let places = self
            .nodes
            .iter()
            .flatten()
            .any(|node| node.has_taken_over());
        if !places && self.now > self.rollout.measure_gap_from {
            let since = self
                .rollout
                .last_placement
                .max(self.rollout.measure_gap_from);
            self.rollout.placement_gap = self.rollout.placement_gap.max(self.now - since);
        }
        if places {
            self.rollout.last_placement = self.now;
        }
        let unresolved =
            |node: &kiteyard::core::Node| node.has_taken_over() && node.has_unresolved_machines();
        if self.nodes.iter().flatten().any(unresolved) {
            self.rollout.last_unresolved = self.now;
        }
    }

    pub fn acceptance_delay(&mut self, request: &StateRequest) -> Option<Duration> {
        let delay = self.rollout.acceptance_delay?;
        let StateRequest::Txn { changes, .. } = request else {
            return None;
        };
        let accepts =
            matches!(&changes[..], [Change::Put { key, .. }] if key.starts_with(JOBS_PREFIX));
        (accepts && self.rng.random_bool(0.15)).then_some(delay)
    }

    fn count_write(&mut self, request: &StateRequest) -> Option<u64> {
        if self.rollout.crash_at_write.is_none() || !writes_generation_data(request) {
            return None;
        }
        self.rollout.write_count += 1;
        Some(self.rollout.write_count)
    }

    pub fn crashes_before(&mut self, node: usize, request: &StateRequest) -> bool {
        let at = self.count_write(request);
        let Some((due, before)) = self
            .rollout
            .crash_at_write
            .filter(|(due, _)| Some(*due) == at)
        else {
            return false;
        };
        self.rollout.crash_at_write = Some((due, before));
        if before {
            self.crash(node);
        }
        self.rollout.crash_after_write = !before;
        before
    }

    pub fn crashes_after(&mut self, node: usize) -> bool {
        let crashes = std::mem::take(&mut self.rollout.crash_after_write);
        if crashes {
            self.crash(node);
        }
        crashes
    }

    pub fn drain(&mut self, mut machines: Vec<String>) {
        // Idle machines may have been returned by then.
        machines.retain(|machine| self.workers.contains_key(machine));
        if machines
            .iter()
            .all(|m| self.rollout.cordoned.contains_key(m))
        {
            return;
        }
        self.rollout.requested_drains = machines.clone();
        let node = self.leading();
        let action = maintenance::MaintenanceRequest::Start {
            machines: machines.clone(),
            by: Some(Duration::from_secs(10)),
        };
        self.step(
            node,
            Input::Maintenance {
                request: DRAIN_REQUEST,
                action,
            },
        );
        self.push(self.now + ms(700), Event::Drain(machines));
    }

    /// Checks that no start command goes to a machine after its drain was confirmed to the
    /// operator.
    pub fn check_cordons(&mut self, output: &Output) {
        let starts = |commands: &[Command]| {
            let mut starts = commands.iter();
            starts.any(|command| matches!(command, Command::Start { .. }))
        };
        let machine = match output {
            Output::Answer {
                request: DRAIN_REQUEST,
                answer: Answer::Drains(_),
            } => {
                for machine in std::mem::take(&mut self.rollout.requested_drains) {
                    self.rollout.cordoned.insert(machine, self.now);
                }
                return;
            }
            Output::Answer {
                request,
                answer: Answer::Commands { commands, .. },
            } if starts(commands) => self.requesting_worker(*request),
            Output::Direct { direct, .. } if starts(&direct.commands) => {
                Some(direct.machine.to_string())
            }
            _ => None,
        };
        if let Some(machine) = machine.filter(|m| self.rollout.cordoned.contains_key(m)) {
            self.observer
                .report_violation(self.now, "cordoned", machine);
        }
    }

    /// Checks that a drained machine is returned with no task on it.
    pub fn check_return(&mut self, machine: &str) {
        if !self.rollout.cordoned.contains_key(machine) {
            return;
        }
        // An unreachable machine may be returned with replicas, to prove that it is empty.
        let now = self.now;
        let is_reachable = |w: &crate::sim::Worker| w.hung_until <= now && w.has_recent_answer(now);
        if self
            .workers
            .get(machine)
            .is_some_and(|w| w.has_started_task() && is_reachable(w))
        {
            self.observer
                .report_violation(now, "returned_busy", machine.into());
        }
        self.rollout.returned += 1;
    }

    /// Removes the conditions on the generation for processes that ignore it.
    pub fn without_generation_conditions(
        &self,
        node: usize,
        mut request: StateRequest,
    ) -> StateRequest {
        let ignores_generation =
            self.rollout.old_build[node] || self.defect == Defect::IgnoresGeneration;
        if let (
            true,
            StateRequest::Txn {
                conditions,
                changes,
            },
        ) = (ignores_generation, &mut request)
            && !changes.is_empty()
        {
            conditions.retain(|c| c.key != GENERATION_KEY);
        }
        request
    }

    /// Whether the removal of a zone is confirmed to the leader without the write being applied.
    pub fn fakes_zone_removal(&self, request: &StateRequest) -> bool {
        let StateRequest::Txn { changes, .. } = request else {
            return false;
        };
        let removes = |change: &Change| match change {
            Change::Put { key, value, .. } => {
                key == PARTITIONED_ZONES_KEY && value.get() == r#"{"zones":{}}"#
            }
            Change::Delete { .. } => false,
        };
        self.defect == Defect::AnswersPartitionedZones && changes.iter().any(removes)
    }

    /// Changes the answers that unsafe processes see.
    pub fn tamper_reply(&self, node: usize, reply: &mut StateReply) {
        if self.rollout.old_build[node] {
            match reply {
                StateReply::Entries { entries, .. } => entries.retain(|e| e.key != GENERATION_KEY),
                StateReply::Events { events, .. } => events.retain(|e| e.key != GENERATION_KEY),
                _ => {}
            }
        }
        if self.defect == Defect::ForgetsDrains {
            match reply {
                StateReply::Entries { entries, .. } => entries.retain(|e| e.key != DRAINS_KEY),
                StateReply::Events { events, .. } => events.retain(|e| e.key != DRAINS_KEY),
                _ => {}
            }
        }
        let StateReply::Entries { entries, .. } = reply else {
            return;
        };
        if self.rollout.unreadable_shards_node == Some(node) {
            let is_odd_shard = |key: &str| {
                let shard = key
                    .strip_prefix(ASSIGNMENTS_PREFIX)
                    .and_then(|s| s.parse::<u32>().ok());
                shard.is_some_and(|shard| shard % 2 == 1)
            };
            if self.defect == Defect::UnreadableMeansAbsent {
                entries.retain(|entry| !is_odd_shard(&entry.key));
            }
            for entry in entries.iter_mut().filter(|entry| is_odd_shard(&entry.key)) {
                let newer = r#"{"form":9}"#.to_owned();
                entry.value = serde_json::value::RawValue::from_string(newer).expect("valid JSON");
            }
        }
    }

    pub fn tampered_peer_message(&mut self, node: usize, mut message: PeerMessage) -> PeerMessage {
        let PeerMessage::Heartbeat(heartbeat) = &mut message else {
            return message;
        };
        if !self.rollout.old_build[node] {
            if node == 2 && heartbeat.announced_state.is_some() {
                self.rollout.last_announcement = heartbeat.announced_state;
            }
            return message;
        }
        let key = GENERATION_KEY.to_owned();
        let reply = self.state.call(self.now, &StateRequest::Get { key });
        let knows = match reply {
            Some(StateReply::Entry(entry)) => entry.version,
            _ => 0,
        };
        let repeats_last_announcement = self.defect == Defect::SoakNotRestarted;
        let announcement = self
            .rollout
            .last_announcement
            .filter(|_| repeats_last_announcement);
        heartbeat.announced_state = announcement.map(|last| NodeAnnouncement { knows, ..last });
        message
    }
}
