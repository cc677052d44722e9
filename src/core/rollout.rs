//! A node's part in rolling out a change of the stored state: what it says of itself, what
//! it does when it can't read what is stored, operators' orders, and, where it leads, the
//! steps of the cluster's generation.

use std::{collections::BTreeMap, time::Duration};

use kiteyard_rollout::{
    generation::{Ability, Feature, OLDEST, Order, Stage},
    state_machine::{ClusterView, NodeAnnouncement, NodeState, Output as Step, StateMachine},
    status::{NodeStatus, Status},
};
use tracing::{error, info};

use super::{
    Answer, BACK_OFF, Node, Purpose, RequestId,
    drain::DRAINS,
    migrate::Migration,
    partitioned_zones::PARTITIONED_ZONES_FEATURE,
    store::{GENERATION, LEADER, ORDERS, StateReply, StateRequest, node_key, put, when},
    terminal_states::PACKED_TERMINAL_STATES,
};

/// All changes of the stored state that this build knows.
pub const FEATURES: &[Feature] = &[PACKED_TERMINAL_STATES, PARTITIONED_ZONES_FEATURE, DRAINS];

/// Jobs that need others: no generation of its own, since the records of all other jobs keep
/// their form. A build that does not know it can't read such a job and stays a standby.
pub const JOB_DEPENDENCIES: &str = "job-dependencies";

/// What operators ask of a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    Status,
    Order(Order),
    /// Gives the leadership away.
    StepDown,
}

#[derive(Debug, Default)]
pub struct Rollout {
    /// Where rollouts are on.
    machine: Option<StateMachine>,
    /// The revision of this process's own record; 0: it is not stored yet.
    started: u64,
    announcing: bool,
    retry: Duration,
    /// A step of the generation is on its way.
    storing: bool,
    next: Duration,
    /// Why this node does not act, as it was logged.
    refused: Option<String>,
    /// It gave the leadership away by itself, and until then does not claim it.
    blocked: Duration,
    /// The last key that could not be read where it is not watched.
    unread: Option<String>,
    /// The process is about to end.
    retiring: bool,
    pub(super) migration: Migration,
}

/// How often the leader looks whether the generation can move.
const LOOK_EVERY: Duration = Duration::from_millis(250);

impl Rollout {
    pub fn new(config: Option<&kiteyard_rollout::config::Config>) -> Self {
        Self {
            machine: config.map(|config| StateMachine::new(config.clone(), FEATURES)),
            ..Self::default()
        }
    }
}

/// What this process is able to: what its build is, less what its operators hold back.
pub fn ability(config: Option<&kiteyard_rollout::config::Config>) -> Ability {
    let newest = FEATURES.iter().map(|f| f.since).max().unwrap_or(OLDEST);
    let most = config
        .and_then(|config| config.max_generation)
        .unwrap_or(newest);
    let able = FEATURES.iter().filter(|f| f.since <= most);
    let names = able.map(|f| f.name).chain([JOB_DEPENDENCIES]);
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
    /// The stored forms are of a generation that this process can't read, or that it
    /// can't tell: it can prove nothing about jobs.
    pub(super) fn cannot_read_state(&self) -> bool {
        !self.cache.cluster.0.is_supported_by(&self.config.ability)
            || self.cache.unreadable.contains_key(GENERATION)
    }

    /// Why this node takes no requests and does not lead, if so.
    pub(super) fn refusal_reason(&self) -> Option<String> {
        if let Some(key) = self.cache.unreadable.keys().next() {
            return Some(format!("{key} can't be read, a newer build is needed"));
        }
        let cluster = &self.cache.cluster.0;
        let needs = cluster.required_generation();
        let ability = &self.config.ability;
        (!cluster.is_supported_by(ability)).then(|| {
            let (least, most) = (ability.least, ability.most);
            format!("generation {needs} is in use, and this build reads {least} to {most}")
        })
    }

    /// Whether this node may claim the leadership, as far as stored forms go.
    pub(super) fn may_claim(&self) -> bool {
        !self.rollout.retiring
            && self.now() >= self.rollout.blocked
            && self.refusal_reason().is_none()
    }

    pub(super) fn accepts_requests(&self) -> bool {
        !self.rollout.retiring && self.refusal_reason().is_none()
    }

    /// Every node said that it knows jobs that need others. Where rollouts are off nobody says
    /// anything, and operators answer for it.
    pub(super) fn all_know_dependencies(&self) -> bool {
        let gone = &self.cache.orders.0.gone;
        let mut nodes = self.configured().filter(|node| !gone.contains(*node));
        let knows = |node: &String| {
            let ability = self.cache.nodes.get(node).and_then(|(a, _)| a.as_ref());
            ability.is_some_and(|a| a.features.iter().any(|name| name == JOB_DEPENDENCIES))
        };
        self.rollout.machine.is_none() || nodes.all(knows)
    }

    /// A record outside of what is watched can't be read.
    pub(super) fn report_unreadable(&mut self, key: &str) {
        if self.rollout.unread.as_deref() != Some(key) {
            error!(key, "a record can't be read, a newer build is needed");
            self.rollout.unread = Some(key.to_owned());
        }
    }

    /// The failover found a record that it can't read: what it says may be that a task
    /// runs, so nobody starts anything here. Another node may be able to.
    pub(super) fn abort_failover(&mut self, key: &str) {
        self.report_unreadable(key);
        self.step_down("a stored record can't be read");
    }

    /// Hands over, or where a previous leader may still act, only leaves the place. For a
    /// leader's lease it does not take it again: workers go on coming here until they
    /// have found the next one.
    fn step_down(&mut self, why: &str) {
        self.rollout.blocked = self.now() + self.config.leader_ttl;
        let to = match self.has_previous_leader_stopped() {
            true => self.successor(),
            false => None,
        };
        self.transfer_leadership(to, why);
    }

    /// The node that should lead next: one that is served and able to, and of those
    /// the one that hears most workers.
    fn successor(&self) -> Option<String> {
        let (nodes, now) = (&self.membership.nodes, self.now());
        let able = |node: &String| {
            let told = self.cache.nodes.get(node);
            let ability = told.and_then(|(ability, _)| ability.as_ref());
            ability.is_none_or(|ability| self.cache.cluster.0.is_supported_by(ability))
        };
        nodes.best_peer_of(now, able).map(|(node, _)| node)
    }

    pub(super) fn drive_rollout(&mut self) {
        if !self.cache.loaded {
            return;
        }
        let refuses = self.refusal_reason();
        if refuses != self.rollout.refused {
            match &refuses {
                Some(why) => error!(why, "refuses"),
                None => info!("serves again"),
            }
            self.rollout.refused = refuses;
        }
        if self.rollout.refused.is_some() && self.claim().is_some() {
            self.step_down("it can't read what is stored");
        }
        if self.rollout.machine.is_none() {
            return;
        }
        self.announce();
        let now = self.now();
        if now < self.rollout.next || self.rollout.storing || !self.is_leader() {
            return;
        }
        self.rollout.next = now + LOOK_EVERY;
        let Some(claim) = self.cluster.as_ref().map(|cluster| cluster.claim) else {
            return;
        };
        let view = self.rollout_view();
        let before = view.cluster;
        let steps = match &mut self.rollout.machine {
            Some(machine) => machine.step(now, &view),
            None => return,
        };
        for step in steps {
            match step {
                Step::SoakStarted => info!(generation = before.to, "soak begins"),
                Step::SoakRestarted(why) => {
                    info!(generation = before.to, why, "soak begins again");
                }
                Step::Store {
                    cluster,
                    why,
                    nodes,
                } => {
                    info!(from = before.from, to = cluster.to, stage = %cluster.stage, why, "generation");
                    self.rollout.storing = true;
                    let mut conditions = vec![when(LEADER, claim), when(GENERATION, view.revision)];
                    let seen = nodes.iter();
                    conditions.extend(seen.map(|(node, at)| when(node_key(node), *at)));
                    self.call(
                        Purpose::StoreGeneration,
                        StateRequest::Txn {
                            conditions,
                            changes: vec![put(GENERATION, &cluster)],
                        },
                    );
                }
            }
        }
    }

    /// Says in the state service what this process is able to: once, when it starts, so
    /// that a step which counted on the process before it fails.
    fn announce(&mut self) {
        let (now, node) = (self.now(), self.config.node.clone());
        let stored = self.cache.nodes.get(&node).map_or(0, |(_, at)| *at);
        let rollout = &mut self.rollout;
        if rollout.started > 0 && self.cache.cursor >= rollout.started && stored != rollout.started
        {
            // A write of the process before came late.
            rollout.started = 0;
        }
        if rollout.started > 0 || rollout.announcing || now < rollout.retry {
            return;
        }
        rollout.announcing = true;
        let key = node_key(&node);
        let conditions = vec![when(&key, stored)];
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
        self.rollout.retry = self.now() + BACK_OFF;
        if let StateReply::Committed { revision } = reply {
            self.rollout.started = *revision;
        }
    }

    /// What a heartbeat tells of this process.
    pub(super) fn told(&self) -> Option<NodeAnnouncement> {
        let started = self.rollout.started;
        (started > 0).then_some(NodeAnnouncement {
            started,
            knows: self.cache.cluster.1,
        })
    }

    pub(super) fn generation_stored(&mut self, reply: &StateReply) {
        self.rollout.storing = false;
        // The watch brings it; until then the next look would ask for the same again.
        let wait = match reply {
            StateReply::Committed { .. } => BACK_OFF,
            _ => BACK_OFF * 3,
        };
        self.rollout.next = self.now() + wait;
    }

    /// No record is left of what a generation that is being left has stored.
    fn nothing_left(&self) -> bool {
        let written = self.cache.cluster.0.written_generation();
        let no_zones = written >= PARTITIONED_ZONES_FEATURE.since
            || self.cache.partitioned_zones.0.zones.is_empty();
        no_zones && (written >= DRAINS.since || self.cache.drains.0.machines.is_empty())
    }

    fn configured(&self) -> impl Iterator<Item = &String> {
        self.config.peers.iter().chain([&self.config.node])
    }

    fn rollout_view(&self) -> ClusterView {
        let now = self.now();
        let (cluster, revision) = self.cache.cluster;
        let seen = |node: &String| {
            let (ability, started) = match self.cache.nodes.get(node) {
                Some((ability, started)) => (ability.clone(), *started),
                None => (None, 0),
            };
            let told = match *node == self.config.node {
                true => self.told(),
                false => self.membership.nodes.told(node, now),
            };
            let seen = NodeState {
                ability,
                record_revision: started,
                announcement: told,
            };
            (node.clone(), seen)
        };
        ClusterView {
            cluster,
            revision,
            orders: self.cache.orders.0.clone(),
            nodes: self.configured().map(seen).collect::<BTreeMap<_, _>>(),
            no_old_records: self.rollout.migration.clean(revision) && self.nothing_left(),
        }
    }

    pub(super) fn rollout_asked(&mut self, request: RequestId, ask: Ask) {
        match ask {
            Ask::Status => {
                let status = Box::new(self.rollout_status());
                self.answer(request, Answer::Rollout(status));
            }
            _ if self.rollout.machine.is_none() => {
                let why = "rollouts are off: start the nodes with --rollout FILE";
                self.answer(request, Answer::Impossible(why.into()));
            }
            Ask::Order(order) => self.ordered(request, &order),
            Ask::StepDown if self.claim().is_none() => {
                let status = Box::new(self.rollout_status());
                self.answer(request, Answer::Rollout(status));
            }
            Ask::StepDown if !self.has_previous_leader_stopped() || self.successor().is_none() => {
                let retry = self.config.leader_term;
                self.answer(request, Answer::Later { retry });
            }
            Ask::StepDown => {
                self.step_down("an operator asked it to step down");
                let status = Box::new(self.rollout_status());
                self.answer(request, Answer::Rollout(status));
            }
        }
    }

    /// The process is about to end: it takes no more requests and gives the leadership
    /// away first.
    pub(super) fn retire(&mut self) {
        self.rollout.retiring = true;
        if self.claim().is_some() && self.has_previous_leader_stopped() {
            self.step_down("it is about to end");
        }
    }

    fn ordered(&mut self, request: RequestId, order: &Order) {
        if let Some(why) = self.objection(order) {
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
            // By hand, the newest has to be named.
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
                conditions: vec![when(ORDERS, revision)],
                changes: vec![put(ORDERS, &orders)],
            },
        );
    }

    /// What is wrong with an order, if anything.
    fn objection(&self, order: &Order) -> Option<String> {
        match order {
            Order::Forget(node) if !self.configured().any(|known| known == node) => {
                let nodes: Vec<&str> = self.configured().map(String::as_str).collect();
                Some(format!("no node {node}, there are: {}", nodes.join(", ")))
            }
            Order::Forget(node) if self.is_alive(node) => {
                Some(format!("{node} is here: end it before it is forgotten"))
            }
            Order::Target(target) => {
                let (oldest, newest) = (OLDEST, ability(None).most);
                if !(oldest..=newest).contains(target) {
                    return Some(format!("generation: must be {oldest} to {newest}"));
                }
                let cluster = self.cache.cluster.0;
                let now = cluster.from.max(cluster.written_generation());
                let mut left = FEATURES
                    .iter()
                    .filter(|f| *target < f.since && f.since <= now);
                let stuck = left.find(|f| !f.is_reversible)?;
                Some(format!("{} has no way back", stuck.name))
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

    /// Seconds to the end of what is under way, as far as that can be told: the rest of the
    /// soak, or of the records found so far at the share that the file allows.
    fn rest_of_the_move(&self, soaked: Duration) -> Option<f64> {
        let config = self.config.options.rollout.as_ref()?;
        match self.cache.cluster.0.stage {
            Stage::Settled => None,
            Stage::Prepared | Stage::Soaking => {
                Some(config.soak.saturating_sub(soaked).as_secs_f64())
            }
            Stage::Active | Stage::Migrating => {
                let left = self.rollout.migration.left()? as f64;
                let rate = self.config.writes * config.migration_share;
                (rate > 0.0).then(|| left / rate)
            }
        }
    }

    fn rollout_status(&self) -> Status {
        let now = self.now();
        let cluster = self.cache.cluster.0;
        let orders = &self.cache.orders.0;
        let leader = self.cache.leader.as_ref().map(|(record, _)| &record.node);
        let nodes = self.configured().map(|node| {
            let told = self.cache.nodes.get(node);
            let ability = told.and_then(|(ability, _)| ability.clone());
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
        let machine = self.rollout.machine.as_ref().filter(|_| leads);
        let millis = |time: Duration| time.as_millis() as u64;
        let reachability = self.cluster.as_ref().map(|cluster| &cluster.reachability);
        Status {
            node: self.config.node.clone(),
            enabled: self.rollout.machine.is_some(),
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
            migrated: machine.map(|_| self.rollout.migration.moved()),
            left: machine.and_then(|_| self.rollout.migration.left()),
            estimate_s: machine.and_then(|m| self.rest_of_the_move(m.soak_elapsed(now))),
            refuses: self.refusal_reason(),
            clear: reachability
                .filter(|_| leads)
                .map(|o| !o.is_uncertain && !o.is_isolated && o.partitioned_zones.is_empty()),
        }
    }
}
