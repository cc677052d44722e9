//! A node's part in rolling out a change of the stored state: announcing its abilities, refusing
//! to act on records that it can't read, handling operators' orders and, as the leader, advancing
//! the cluster's generation.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_rollout::{
    generation::{Ability, Feature, OLDEST, Order, Stage},
    state_machine::{ClusterView, NodeAnnouncement, NodeState, Output as Step, StateMachine},
    status::{NodeStatus, Status},
};
use tracing::{error, info};

use super::{
    Answer, Node, Purpose, RETRY_DELAY, RequestId,
    drain::DRAINS,
    migrate::Migration,
    partitioned_zones::PARTITIONED_ZONES_FEATURE,
    store::{
        GENERATION_KEY, LEADER_KEY, ORDERS_KEY, StateReply, StateRequest, if_version, node_key, put,
    },
    terminal_states::PACKED_TERMINAL_STATES,
};

/// All changes of the stored state that this build supports.
pub const FEATURES: &[Feature] = &[PACKED_TERMINAL_STATES, PARTITIONED_ZONES_FEATURE, DRAINS];

/// Feature name of jobs that depend on others. The feature has no generation of its own, since the
/// records of all other jobs keep their form. A build without it can't read such a job, and a node
/// with that build does not lead.
pub const JOB_DEPENDENCIES: &str = "job-dependencies";

/// Operator's request to a node.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    Status,
    Order(Order),
    /// Transfers the leadership to another node.
    StepDown,
}

#[derive(Debug, Default)]
pub struct Rollout {
    /// State machine of the generation, or `None` if rollouts are off.
    state_machine: Option<StateMachine>,
    /// Revision of this process's own record; 0 if it is not stored yet.
    announced_revision: u64,
    announcing: bool,
    announce_retry_at: Duration,
    /// Whether the write of a new generation record is in flight.
    step_in_flight: bool,
    next_step_at: Duration,
    /// Reason why this node does not act, as last logged.
    logged_refusal: Option<String>,
    /// Time until which this node does not claim the leadership, after it gave it up.
    claim_blocked_until: Duration,
    /// Last key outside the watched prefix whose value could not be parsed.
    last_unreadable_key: Option<String>,
    is_shutting_down: bool,
    pub(super) migration: Migration,
}

/// Interval at which the leader checks whether the generation can advance.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

impl Rollout {
    pub fn new(config: Option<&kiteyard_rollout::config::Config>) -> Self {
        Self {
            state_machine: config.map(|config| StateMachine::new(config.clone(), FEATURES)),
            ..Self::default()
        }
    }
}

/// Returns the abilities of this process: those of its build, within the operators' limits.
pub fn ability(config: Option<&kiteyard_rollout::config::Config>) -> Ability {
    let newest = FEATURES.iter().map(|f| f.since).max().unwrap_or(OLDEST);
    let most = config
        .and_then(|config| config.max_generation)
        .unwrap_or(newest);
    let supported = FEATURES.iter().filter(|f| f.since <= most);
    let names = supported.map(|f| f.name).chain([JOB_DEPENDENCIES]);
    Ability {
        build: option_env!("KITEYARD_BUILD")
            .unwrap_or(env!("CARGO_PKG_VERSION"))
            .to_owned(),
        least: OLDEST,
        most,
        features: names.map(str::to_owned).collect(),
        held_to: config.and_then(|config| config.held_to(FEATURES)),
    }
}

impl Node {
    /// Returns whether the stored records are of a generation that is unknown or that this
    /// process can't read. If so, it can't verify anything about jobs.
    pub(super) fn cannot_read_state(&self) -> bool {
        !self
            .cache
            .generation
            .0
            .is_supported_by(&self.config.ability)
            || self.cache.unreadable.contains_key(GENERATION_KEY)
    }

    /// Returns the reason why this node accepts no requests and does not lead, if there is one.
    pub(super) fn refusal_reason(&self) -> Option<String> {
        if let Some(key) = self.cache.unreadable.keys().next() {
            return Some(format!("{key} can't be read; a newer build is needed"));
        }
        let cluster = &self.cache.generation.0;
        let needs = cluster.required_generation();
        let ability = &self.config.ability;
        (!cluster.is_supported_by(ability)).then(|| {
            let (least, most) = (ability.least, ability.most);
            format!("generation {needs} is in use, and this build reads {least} to {most}")
        })
    }

    /// Returns whether the stored records and the process's state allow a claim of the leadership.
    pub(super) fn may_claim(&self) -> bool {
        !self.rollout.is_shutting_down
            && self.now() >= self.rollout.claim_blocked_until
            && self.refusal_reason().is_none()
    }

    pub(super) fn accepts_requests(&self) -> bool {
        !self.rollout.is_shutting_down && self.refusal_reason().is_none()
    }

    /// Returns whether every node announced support for job dependencies. While rollouts are off
    /// nodes announce nothing, and operators have to ensure it.
    pub(super) fn all_support_dependencies(&self) -> bool {
        let gone = &self.cache.orders.0.gone;
        let mut nodes = self.configured_nodes().filter(|node| !gone.contains(*node));
        let supports = |node: &String| {
            let ability = self.cache.nodes.get(node).and_then(|(a, _)| a.as_ref());
            ability.is_some_and(|a| a.features.iter().any(|name| name == JOB_DEPENDENCIES))
        };
        self.rollout.state_machine.is_none() || nodes.all(supports)
    }

    /// Logs a key outside the watched prefix whose value can't be parsed, unless it was the last
    /// one logged.
    pub(super) fn report_unreadable(&mut self, key: &str) {
        if self.rollout.last_unreadable_key.as_deref() != Some(key) {
            error!(key, "a record can't be read; a newer build is needed");
            self.rollout.last_unreadable_key = Some(key.to_owned());
        }
    }

    /// Gives up a failover that found a record it can't parse. The record may say that a task is
    /// running, so starting tasks is unsafe. Another node may be able to parse it.
    pub(super) fn abort_failover(&mut self, key: &str) {
        self.report_unreadable(key);
        self.step_down("a stored record can't be read");
    }

    /// Transfers the leadership to a successor, or only gives it up if a previous leader may still
    /// act. This node does not claim it again for the duration of a leader's lease, since workers
    /// keep reporting here until they have found the next leader.
    fn step_down(&mut self, why: &str) {
        self.rollout.claim_blocked_until = self.now() + self.config.leader_ttl;
        let to = match self.has_previous_leader_stopped() {
            true => self.successor(),
            false => None,
        };
        self.transfer_leadership(to, why);
    }

    /// Returns the node that should lead next: of those that the state service answers and that
    /// can read the stored records, the one that most machines reach.
    fn successor(&self) -> Option<String> {
        let (nodes, now) = (&self.membership.nodes, self.now());
        let can_lead = |node: &String| {
            let announced = self.cache.nodes.get(node);
            let ability = announced.and_then(|(ability, _)| ability.as_ref());
            ability.is_none_or(|ability| self.cache.generation.0.is_supported_by(ability))
        };
        nodes.best_peer_among(now, can_lead).map(|(node, _)| node)
    }

    pub(super) fn drive_rollout(&mut self) {
        if !self.cache.loaded {
            return;
        }
        let reason = self.refusal_reason();
        if reason != self.rollout.logged_refusal {
            match &reason {
                Some(why) => error!(why, "serving no requests and not leading"),
                None => info!("serving requests again"),
            }
            self.rollout.logged_refusal = reason;
        }
        if self.rollout.logged_refusal.is_some() && self.claim().is_some() {
            self.step_down("this node can't read the stored state");
        }
        if self.rollout.state_machine.is_none() {
            return;
        }
        self.announce();
        let now = self.now();
        if now < self.rollout.next_step_at || self.rollout.step_in_flight || !self.is_leader() {
            return;
        }
        self.rollout.next_step_at = now + STEP_INTERVAL;
        let Some(claim) = self.cluster.as_ref().map(|cluster| cluster.claim) else {
            return;
        };
        let view = self.rollout_view();
        let before = view.cluster;
        let steps = match &mut self.rollout.state_machine {
            Some(machine) => machine.step(now, &view),
            None => return,
        };
        for step in steps {
            match step {
                Step::SoakStarted => info!(generation = before.to, "soak period started"),
                Step::SoakRestarted(why) => {
                    info!(generation = before.to, why, "soak period restarted");
                }
                Step::Store {
                    cluster,
                    why,
                    nodes,
                } => {
                    info!(from = before.from, to = cluster.to, stage = %cluster.stage, why, "storing the next step of the cluster's generation");
                    self.rollout.step_in_flight = true;
                    let mut conditions = vec![
                        if_version(LEADER_KEY, claim),
                        if_version(GENERATION_KEY, view.revision),
                    ];
                    let records = nodes.iter();
                    conditions.extend(
                        records.map(|(node, revision)| if_version(node_key(node), *revision)),
                    );
                    self.call(
                        Purpose::StoreGeneration,
                        StateRequest::Txn {
                            conditions,
                            changes: vec![put(GENERATION_KEY, &cluster)],
                        },
                    );
                }
            }
        }
    }

    /// Stores this process's abilities once, when it starts. This makes a step fail that relied on
    /// the abilities of the node's previous process.
    fn announce(&mut self) {
        let (now, node) = (self.now(), self.config.node.clone());
        let stored = self.cache.nodes.get(&node).map_or(0, |(_, at)| *at);
        let rollout = &mut self.rollout;
        if rollout.announced_revision > 0
            && self.cache.cursor >= rollout.announced_revision
            && stored != rollout.announced_revision
        {
            // A late write of the previous process replaced this one's record.
            rollout.announced_revision = 0;
        }
        if rollout.announced_revision > 0 || rollout.announcing || now < rollout.announce_retry_at {
            return;
        }
        rollout.announcing = true;
        let key = node_key(&node);
        let conditions = vec![if_version(&key, stored)];
        let changes = vec![put(key, &self.config.ability)];
        self.call(
            Purpose::Announce,
            StateRequest::Txn {
                conditions,
                changes,
            },
        );
    }

    pub(super) fn announced(&mut self, reply: &StateReply) {
        self.rollout.announcing = false;
        self.rollout.announce_retry_at = self.now() + RETRY_DELAY;
        if let StateReply::Committed { revision } = reply {
            self.rollout.announced_revision = *revision;
        }
    }

    /// Returns the rollout state of this process for its heartbeats, once its record is stored.
    pub(super) fn announced_state(&self) -> Option<NodeAnnouncement> {
        let started = self.rollout.announced_revision;
        (started > 0).then_some(NodeAnnouncement {
            started,
            knows: self.cache.generation.1,
        })
    }

    pub(super) fn generation_stored(&mut self, reply: &StateReply) {
        self.rollout.step_in_flight = false;
        // Waits for the watch to deliver the record; before that, the next check would store the
        // same step again.
        let wait = match reply {
            StateReply::Committed { .. } => RETRY_DELAY,
            _ => RETRY_DELAY * 3,
        };
        self.rollout.next_step_at = self.now() + wait;
    }

    /// Returns whether no record is left of the features that the written generation lacks.
    fn has_no_newer_records(&self) -> bool {
        let written = self.cache.generation.0.written_generation();
        let has_no_partitions = written >= PARTITIONED_ZONES_FEATURE.since
            || self.cache.partitioned_zones.0.zones.is_empty();
        has_no_partitions && (written >= DRAINS.since || self.cache.drains.0.machines.is_empty())
    }

    fn configured_nodes(&self) -> impl Iterator<Item = &String> {
        self.config.peers.iter().chain([&self.config.node])
    }

    fn rollout_view(&self) -> ClusterView {
        let now = self.now();
        let (cluster, revision) = self.cache.generation;
        let node_state = |node: &String| {
            let (ability, record_revision) = match self.cache.nodes.get(node) {
                Some((ability, record_revision)) => (ability.clone(), *record_revision),
                None => (None, 0),
            };
            let announcement = match *node == self.config.node {
                true => self.announced_state(),
                false => self.membership.nodes.announced_state(node, now),
            };
            let state = NodeState {
                ability,
                record_revision,
                announcement,
            };
            (node.clone(), state)
        };
        ClusterView {
            cluster,
            revision,
            orders: self.cache.orders.0.clone(),
            nodes: self
                .configured_nodes()
                .map(node_state)
                .collect::<BTreeMap<_, _>>(),
            no_old_records: self.rollout.migration.is_finished(revision)
                && self.has_no_newer_records(),
        }
    }

    pub(super) fn handle_rollout_action(&mut self, request: RequestId, action: RolloutAction) {
        match action {
            RolloutAction::Status => {
                let status = Box::new(self.rollout_status());
                self.answer(request, Answer::Rollout(status));
            }
            _ if self.rollout.state_machine.is_none() => {
                let why = "rollouts are off: start the nodes with --rollout FILE";
                self.answer(request, Answer::Impossible(why.into()));
            }
            RolloutAction::Order(order) => self.handle_rollout_order(request, &order),
            RolloutAction::StepDown if self.claim().is_none() => {
                let status = Box::new(self.rollout_status());
                self.answer(request, Answer::Rollout(status));
            }
            RolloutAction::StepDown
                if !self.has_previous_leader_stopped() || self.successor().is_none() =>
            {
                let retry = self.config.leader_term;
                self.answer(request, Answer::Later { retry });
            }
            RolloutAction::StepDown => {
                self.step_down("an operator requested a step-down");
                let status = Box::new(self.rollout_status());
                self.answer(request, Answer::Rollout(status));
            }
        }
    }

    /// Prepares the end of the process: it accepts no more requests and transfers the
    /// leadership.
    pub(super) fn begin_shutdown(&mut self) {
        self.rollout.is_shutting_down = true;
        if self.claim().is_some() && self.has_previous_leader_stopped() {
            self.step_down("the process is shutting down");
        }
    }

    fn handle_rollout_order(&mut self, request: RequestId, order: &Order) {
        if let Some(why) = self.order_error(order) {
            self.answer(request, Answer::Impossible(why));
            return;
        }
        if !self.cache.loaded || self.refusal_reason().is_some() {
            let retry = Duration::from_secs(1);
            self.answer(request, Answer::Later { retry });
            return;
        }
        let (mut orders, revision) = self.cache.orders.clone();
        let config = self.config.options.rollout.as_ref();
        match (order, config) {
            // Without automatic rollouts, the newest generation has to be an explicit target.
            (Order::Newest, Some(config)) if !config.automatic => {
                let newest = ability(None).most;
                let newest = config.held_to(FEATURES).unwrap_or(newest);
                orders.apply(&Order::Target(newest));
            }
            (order, _) => orders.apply(order),
        }
        self.call(
            Purpose::Order { request },
            StateRequest::Txn {
                conditions: vec![if_version(ORDERS_KEY, revision)],
                changes: vec![put(ORDERS_KEY, &orders)],
            },
        );
    }

    /// Returns the reason why an order is invalid, if it is.
    fn order_error(&self, order: &Order) -> Option<String> {
        match order {
            Order::Forget(node) if !self.configured_nodes().any(|known| known == node) => {
                let nodes: Vec<&str> = self.configured_nodes().map(String::as_str).collect();
                Some(format!("no node {node}, there are: {}", nodes.join(", ")))
            }
            Order::Forget(node) if self.is_alive(node) => {
                Some(format!("{node} is running: stop it before it is forgotten"))
            }
            Order::Target(target) => {
                let (oldest, newest) = (OLDEST, ability(None).most);
                if !(oldest..=newest).contains(target) {
                    return Some(format!("generation: must be {oldest} to {newest}"));
                }
                let cluster = self.cache.generation.0;
                let newest_in_use = cluster.from.max(cluster.written_generation());
                let mut removed = FEATURES
                    .iter()
                    .filter(|f| *target < f.since && f.since <= newest_in_use);
                let irreversible = removed.find(|f| !f.is_reversible)?;
                Some(format!("{} can't be downgraded", irreversible.name))
            }
            _ => None,
        }
    }

    fn is_alive(&self, node: &str) -> bool {
        node == self.config.node || self.membership.nodes.is_alive(node, self.now())
    }

    pub(super) fn order_stored(&mut self, request: RequestId, reply: &StateReply) {
        let answer = match reply {
            StateReply::Committed { .. } => Answer::Rollout(Box::new(self.rollout_status())),
            _ => Answer::Later {
                retry: Duration::from_secs(1),
            },
        };
        self.answer(request, answer);
    }

    /// Estimates the seconds until the present stage ends, if possible: the rest of the soak, or
    /// the time to rewrite the records found so far at the configured share of the change rate.
    fn estimated_remaining_s(&self, soaked: Duration) -> Option<f64> {
        let config = self.config.options.rollout.as_ref()?;
        match self.cache.generation.0.stage {
            Stage::Settled => None,
            Stage::Prepared | Stage::Soaking => {
                Some(config.soak.saturating_sub(soaked).as_secs_f64())
            }
            Stage::Active | Stage::Migrating => {
                let remaining = self.rollout.migration.remaining()? as f64;
                let rate = self.config.write_rate * config.migration_share;
                (rate > 0.0).then(|| remaining / rate)
            }
        }
    }

    fn rollout_status(&self) -> Status {
        let now = self.now();
        let cluster = self.cache.generation.0;
        let orders = &self.cache.orders.0;
        let leader = self.cache.leader.as_ref().map(|(record, _)| &record.node);
        let nodes = self.configured_nodes().map(|node| {
            let announced = self.cache.nodes.get(node);
            let ability = announced.and_then(|(ability, _)| ability.clone());
            NodeStatus {
                node: node.clone(),
                zone: self.config.zones.get(node).cloned().unwrap_or_default(),
                leads: leader == Some(node),
                here: self.is_alive(node),
                gone: orders.gone.contains(node),
                least: ability.as_ref().map_or(OLDEST, |a| a.least),
                most: ability.as_ref().map_or(OLDEST, |a| a.most),
                features: ability.as_ref().map_or(Vec::new(), |a| a.features.clone()),
                build: ability.map(|a| a.build),
            }
        });
        let mut nodes: Vec<NodeStatus> = nodes.collect();
        nodes.sort_by(|a, b| a.node.cmp(&b.node));
        let leads = self.cluster.is_some() && self.is_leader();
        let machine = self.rollout.state_machine.as_ref().filter(|_| leads);
        let millis = |time: Duration| time.as_millis() as u64;
        let reachability = self.cluster.as_ref().map(|cluster| &cluster.reachability);
        Status {
            node: self.config.node.clone(),
            enabled: self.rollout.state_machine.is_some(),
            from: cluster.from,
            to: cluster.to,
            stage: cluster.stage,
            paused: orders.paused,
            target: orders.target,
            gone: orders.gone.clone(),
            nodes,
            soaked_ms: machine.map(|m| millis(m.soak_elapsed(now))),
            soak_ms: self.config.options.rollout.as_ref().map(|c| millis(c.soak)),
            held: machine.map(|m| m.blocker.to_string()),
            migrated: machine.map(|_| self.rollout.migration.total_rewritten()),
            left: machine.and_then(|_| self.rollout.migration.remaining()),
            estimate_s: machine.and_then(|m| self.estimated_remaining_s(m.soak_elapsed(now))),
            refuses: self.refusal_reason(),
            clear: reachability
                .filter(|_| leads)
                .map(|o| !o.is_uncertain && !o.is_isolated && o.partitioned_zones.is_empty()),
        }
    }
}
