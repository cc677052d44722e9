//! What the core needs of the settings, in its own terms.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard_rollout::generation::Ability;

use crate::settings::{DRIFT, MARGIN, Settings, Team, seconds};

/// Of the requests that the state service takes, all nodes' proofs together use
/// one in so many, and so do the followers' watches.
const PROOF_SHARE: f64 = 6.0;
const WATCH_SHARE: f64 = 5.0;
/// Of the changes that the state service takes, the leader plans with so many.
const WRITE_SHARE: f64 = 0.9;
/// A round looks at every machine. It takes the same part of the processor however
/// many there are: for each this time of a whole core, and a larger share of one
/// allows for more rounds.
const ROUND_PER_MACHINE: Duration = Duration::from_micros(18);
/// A leader's lease lasts no longer, however much time a cancellation has.
const TTL_MOST: Duration = Duration::from_secs(30);

/// Machines of a fleet that may all report to one node at once, on however small a box.
const FLEET_LEAST: usize = 4096;
/// Tasks that reports which wait at a node may list in all: they take memory, which a box
/// with more sockets has more of.
const WAITING_TASKS_LEAST: usize = 20_000;
const WAITING_TASKS_PER_SOCKET: usize = 10;

/// Choices of the operators.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long a machine may be idle, in times of what another takes to boot.
    pub idle_boots: f64,
    pub grace: Duration,
    pub disruption_budget: u32,
    /// A gang that has waited for so long keeps what room there is for it from its equals.
    pub gather_after: Duration,
    /// Licences with counted seats, if there are any.
    pub licences: Option<Arc<kiteyard_licences::config::Config>>,
    /// How changes of the stored state are rolled out, if they are.
    pub rollout: Option<Arc<kiteyard_rollout::config::Config>>,
    /// Budgets of disruption, where machines may be emptied.
    pub maintenance: Option<Arc<kiteyard_maintenance::config::Config>>,
    /// A number that no other process of this node has, as far as chance goes.
    pub incarnation: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            idle_boots: 2.0,
            grace: Duration::from_secs(10),
            disruption_budget: 1,
            gather_after: Duration::from_secs(60),
            licences: None,
            rollout: None,
            maintenance: None,
            incarnation: 0,
        }
    }
}

#[derive(Debug)]
pub struct Config {
    pub node: String,
    pub nodes: usize,
    pub peers: Vec<String>,
    /// Where the nodes are.
    pub zones: BTreeMap<String, String>,
    /// The stored forms that this process reads and writes.
    pub ability: Ability,
    pub teams: HashMap<Arc<str>, Team>,
    pub objectives: Vec<crate::settings::Objective>,
    pub report: Duration,
    pub gang_wait: Duration,
    /// By then a worker's lease is over, counted from when it was last answered.
    pub worker_lease_bound: Duration,
    /// How long the leader's own lease lasts.
    pub leader_ttl: Duration,
    /// How long the leader may act, counted from when it asked for the renewal.
    pub leader_term: Duration,
    pub renew_every: Duration,
    /// What each machine adds to the time between two of the leader's rounds.
    pub round_per_machine: Duration,
    /// A leader that was not heard for so long is missed. A process that ended is
    /// mostly back by then and knows more than any other node; in the time that is
    /// left of a worker's lease another one has to take over and answer it.
    pub leader_silence_limit: Duration,
    /// Least time between two requests that prove this node's cache.
    pub sync_every: Duration,
    /// Least time between two watches of a follower; the leader's follow at once.
    pub watch_every: Duration,
    /// Changes a second for everything, users' submissions first.
    pub writes: f64,
    /// The same once the state service's limits have fallen, where that is to come.
    pub writes_next: Option<f64>,
    /// Changes in a transaction, now and once the limits have fallen.
    pub txn_ops: usize,
    /// Bytes that a stored value may have, now and once the limits have fallen.
    pub value_most: usize,
    pub cloud_every: Duration,
    pub list_lag: Duration,
    /// The time of day may be off by so much.
    pub wall_error: Duration,
    /// Requests that wait for an answer at a time. Each has a connection, so the sockets
    /// bound them on a small box.
    pub requests_most: usize,
    /// Tasks that all reports which wait for a leader, or for their zone, may list.
    pub waiting_tasks_most: usize,
    pub options: Options,
}

impl Config {
    /// What may be taken down on purpose.
    pub fn budgets(&self) -> kiteyard_maintenance::config::Config {
        match &self.options.maintenance {
            Some(config) => (**config).clone(),
            None => {
                kiteyard_maintenance::config::Config::without_file(self.options.disruption_budget)
            }
        }
    }

    pub fn new(settings: &Settings, options: Options) -> Self {
        let params = &settings.params;
        let workers = &params.workers;
        let nodes = settings.nodes();
        let next_writes = params.state.next.as_ref().and_then(|next| next.write_rps);
        let leader_ttl = workers.left_to_cancel().min(TTL_MOST);
        Self {
            node: settings.node.clone(),
            nodes,
            peers: settings.peers.iter().map(|p| p.node.clone()).collect(),
            zones: settings
                .peers
                .iter()
                .map(|p| (p.node.clone(), p.zone.clone()))
                .chain([(settings.node.clone(), settings.zone.clone())])
                .collect(),
            ability: super::rollout::ability(options.rollout.as_deref()),
            teams: params
                .teams
                .iter()
                .map(|t| (Arc::from(t.name.as_str()), t.clone()))
                .collect(),
            objectives: params.objectives.clone(),
            report: seconds(workers.report_s),
            gang_wait: seconds(workers.gang_wait_s),
            worker_lease_bound: workers.lease_bound(),
            leader_ttl,
            leader_term: leader_ttl.mul_f64(1.0 - 2.0 * DRIFT).saturating_sub(MARGIN),
            leader_silence_limit: super::heartbeat::leader_silence_limit(seconds(workers.lease_s)),
            round_per_machine: ROUND_PER_MACHINE
                .div_f64(params.resources.cpu_share.clamp(0.05, 1.0)),
            renew_every: (leader_ttl / 8).min(Duration::from_millis(1500)),
            sync_every: seconds(PROOF_SHARE * nodes as f64 / params.state.rps),
            watch_every: seconds(WATCH_SHARE * nodes as f64 / params.state.rps),
            writes: params.state.write_rps * WRITE_SHARE,
            writes_next: next_writes.map(|rate| rate * WRITE_SHARE),
            txn_ops: params.state.lowest_txn_ops(),
            value_most: (params.state.lowest_value_kb() * 1024.0) as usize,
            // Nearly all calls are the leader's; the rest is for lists of types.
            cloud_every: seconds(1.25 / params.cloud.rps),
            wall_error: seconds(params.time_bound_ms / 1000.0),
            list_lag: seconds(params.cloud.list_lag_s),
            requests_most: params.resources.sockets.max(FLEET_LEAST),
            waiting_tasks_most: (params.resources.sockets * WAITING_TASKS_PER_SOCKET)
                .max(WAITING_TASKS_LEAST),
            options,
        }
    }
}
