//! Configuration of the core, derived from the settings and the command-line options.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use kiteyard_rollout::generation::Ability;

use crate::settings::{CLOCK_MARGIN, MAX_CLOCK_DRIFT, Settings, Team, seconds};

/// Divisors of the state service's request rate: the cache syncs of all nodes together use one
/// request in six, and the followers' watches one in five.
const SYNC_RATE_DIVISOR: f64 = 6.0;
const WATCH_RATE_DIVISOR: f64 = 5.0;
/// Share of the state service's change rate that the leader plans with.
const WRITE_SHARE: f64 = 0.9;
/// Pause between two leader rounds per machine, on a whole core; longer with a smaller CPU share.
/// A round visits every machine, so this keeps its CPU usage independent of the fleet's size.
const ROUND_PAUSE_PER_MACHINE: Duration = Duration::from_micros(18);
/// Maximum duration of a leader's lease, even if cancellations may take longer.
const MAX_LEADER_TTL: Duration = Duration::from_secs(30);

/// Lower bound of the limit on waiting requests: all machines of a fleet may report to one node at
/// the same time, even on a small host.
const MIN_WAITING_REQUESTS: usize = 4096;
/// Limit on the tasks listed in all waiting reports of a node: the larger of a minimum and a number
/// per socket. The tasks take memory, and a host that allows more sockets has more of it.
const MIN_WAITING_TASKS: usize = 20_000;
const WAITING_TASKS_PER_SOCKET: usize = 10;

/// Operators' options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum idle time of a machine, as a multiple of the boot time.
    pub idle_boots: f64,
    pub grace: Duration,
    pub disruption_budget: u32,
    /// Waiting time after which a gang reserves free capacity ahead of jobs of the same priority.
    pub gather_after: Duration,
    /// Licences with counted seats, if any are configured.
    pub licences: Option<Arc<kiteyard_licences::config::Config>>,
    /// Rollouts of changes of the stored state, if enabled.
    pub rollout: Option<Arc<kiteyard_rollout::config::Config>>,
    /// Disruption budgets, if machines may be drained.
    pub maintenance: Option<Arc<kiteyard_maintenance::config::Config>>,
    /// Random number that distinguishes this process from others of the same node.
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
    pub node_count: usize,
    pub peers: Vec<String>,
    /// Zone of each node.
    pub zones: BTreeMap<String, String>,
    /// Generations of stored records that this process reads and writes.
    pub ability: Ability,
    pub teams: HashMap<Arc<str>, Team>,
    pub objectives: Vec<crate::settings::Objective>,
    pub report_interval: Duration,
    pub gang_wait: Duration,
    /// Time after the last answer to a worker by which its lease has expired in any case.
    pub worker_lease_bound: Duration,
    /// Duration of the leader's own lease.
    pub leader_ttl: Duration,
    /// Time for which the leader may act after it sent a renewal.
    pub leader_term: Duration,
    pub renew_interval: Duration,
    /// Time that each machine adds to the pause between two leader rounds.
    pub round_pause_per_machine: Duration,
    /// Time without a heartbeat after which the leader is considered failed. A restarted process is
    /// usually back before that, and has more state than any other node. The rest of a worker's
    /// lease must be long enough for another node to take over and answer the worker.
    pub leader_silence_limit: Duration,
    /// Minimum time between two requests that verify that this node's cache is current.
    pub sync_interval: Duration,
    /// Minimum time between two watches of a follower. The leader does not pause between watches.
    pub watch_interval: Duration,
    /// Rate of all writes in changes per second; users' submissions take precedence.
    pub write_rate: f64,
    /// The same after the announced reduction of the state service's limits, if there is one.
    pub announced_write_rate: Option<f64>,
    /// Maximum changes per transaction, within present and announced limits.
    pub max_txn_ops: usize,
    /// Maximum size of a stored value in bytes, within present and announced limits.
    pub max_value_bytes: usize,
    pub cloud_request_interval: Duration,
    pub list_lag: Duration,
    /// Maximum error of the wall clock.
    pub max_wall_clock_error: Duration,
    /// Maximum number of requests waiting for an answer. Each one has a connection, so on a small
    /// host the sockets are the limit.
    pub max_waiting_requests: usize,
    /// Maximum number of tasks listed in all reports that wait for a leader or for their zone.
    pub max_waiting_tasks: usize,
    pub options: Options,
}

impl Config {
    /// Disruption budgets for voluntary disruptions.
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
        let node_count = settings.node_count();
        let announced_rps = params.state.next.as_ref().and_then(|next| next.write_rps);
        let leader_ttl = workers.max_cancellation_lag().min(MAX_LEADER_TTL);
        Self {
            node: settings.node.clone(),
            node_count,
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
            report_interval: seconds(workers.report_s),
            gang_wait: seconds(workers.gang_wait_s),
            worker_lease_bound: workers.lease_bound(),
            leader_ttl,
            leader_term: leader_ttl
                .mul_f64(1.0 - 2.0 * MAX_CLOCK_DRIFT)
                .saturating_sub(CLOCK_MARGIN),
            leader_silence_limit: super::heartbeat::leader_silence_limit(seconds(workers.lease_s)),
            round_pause_per_machine: ROUND_PAUSE_PER_MACHINE
                .div_f64(params.resources.cpu_share.clamp(0.05, 1.0)),
            renew_interval: (leader_ttl / 8).min(Duration::from_millis(1500)),
            sync_interval: seconds(SYNC_RATE_DIVISOR * node_count as f64 / params.state.rps),
            watch_interval: seconds(WATCH_RATE_DIVISOR * node_count as f64 / params.state.rps),
            write_rate: params.state.write_rps * WRITE_SHARE,
            announced_write_rate: announced_rps.map(|rate| rate * WRITE_SHARE),
            max_txn_ops: params.state.lowest_txn_ops(),
            max_value_bytes: (params.state.lowest_value_kb() * 1024.0) as usize,
            // Nearly all calls are the leader's. The rest is for lists of machine types.
            cloud_request_interval: seconds(1.25 / params.cloud.rps),
            max_wall_clock_error: seconds(params.time_bound_ms / 1000.0),
            list_lag: seconds(params.cloud.list_lag_s),
            max_waiting_requests: params.resources.sockets.max(MIN_WAITING_REQUESTS),
            max_waiting_tasks: (params.resources.sockets * WAITING_TASKS_PER_SOCKET)
                .max(MIN_WAITING_TASKS),
            options,
        }
    }
}
