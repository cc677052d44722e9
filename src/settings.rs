//! The platform's settings file, parsed and validated.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;

/// Error of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("cannot read settings {path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[error("settings field `{field}`: {message}")]
    Field { field: String, message: String },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    #[serde(rename = "label")]
    pub node: String,
    #[serde(rename = "site", default)]
    pub zone: String,
    #[serde(rename = "api_addr")]
    pub listen: SocketAddr,
    #[serde(rename = "cluster_listen")]
    pub peer_listen: SocketAddr,
    #[serde(rename = "known", default)]
    pub peers: Vec<PeerAddress>,
    #[serde(rename = "outside")]
    pub services: Services,
    pub params: Params,
}

#[derive(Debug, Clone, Deserialize)]
pub struct PeerAddress {
    #[serde(rename = "label")]
    pub node: String,
    #[serde(rename = "site", default)]
    pub zone: String,
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub resources: Resources,
    /// Maximum error of the wall clock.
    #[serde(default = "default_time_bound_ms")]
    pub time_bound_ms: f64,
}

/// Conservative default: clocks that may be far off.
fn default_time_bound_ms() -> f64 {
    60_000.0
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// Service level objective of a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub within_s: f64,
    #[serde(default)]
    pub share: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// Maximum relative drift between monotonic clocks.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Safety margin on a time span that two processes measure.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(300);
/// Part of the cancellation time beyond a leader's term and a worker's lease, during which
/// unanswered direct commands to a worker become void.
const CANCEL_MARGIN: Duration = Duration::from_secs(3);
/// Minimum TTL of a leader's lease; a shorter one would expire during slow responses.
const MIN_LEADER_TTL: Duration = Duration::from_secs(2);

impl Workers {
    /// Returns an upper bound of the time from the last answer to a worker to the end of its lease.
    pub fn lease_bound(&self) -> Duration {
        seconds(self.lease_s * (1.0 + 2.0 * MAX_CLOCK_DRIFT)) + CLOCK_MARGIN
    }

    /// Returns the time for which a leader may miss cancellations: afterwards, its workers' leases
    /// must expire within the rest of the cancellation time.
    pub fn max_cancellation_lag(&self) -> Duration {
        let left = seconds(self.cancel_s).saturating_sub(self.lease_bound());
        left.saturating_sub(CANCEL_MARGIN)
    }
}

/// Minimum number of changes that a transaction must allow.
pub const MIN_TXN_OPS: usize = 4;

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that the service will change to at some time, without notice; those that are
    /// not given stay as they are.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Future limits of the state service.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the value size that is allowed both now and later.
    pub fn lowest_value_kb(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        next.map_or(self.value_kb, |next| next.min(self.value_kb))
    }

    /// Returns the number of changes per transaction that is allowed both now and later.
    pub fn lowest_txn_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        next.map_or(self.txn_ops, |next| next.min(self.txn_ops))
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Share of one core.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    pub sockets: usize,
}

/// Conservative default: a small node.
fn default_cpu_share() -> f64 {
    0.1
}

impl Settings {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let json = &mut serde_json::Deserializer::from_str(text);
        let settings: Self =
            serde_path_to_error::deserialize(json).map_err(|error| SettingsError::Field {
                field: error.path().to_string(),
                message: error.inner().to_string(),
            })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let fail = |field: &str, message: &str| {
            Err(SettingsError::Field {
                field: field.into(),
                message: message.into(),
            })
        };
        if self.node.is_empty() || self.node.len() > 64 || self.node.contains(char::is_whitespace) {
            return fail("label", "must have 1 to 64 characters and no spaces");
        }
        let params = &self.params;
        if params.zones.is_empty() {
            return fail("params.zones", "must name at least one zone");
        }
        for team in &params.teams {
            for value in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !(0.0..1e9).contains(&value) {
                    return fail("params.teams", "amounts must be zero or more");
                }
            }
        }
        let workers = &params.workers;
        let next = params.state.next.clone().unwrap_or_default();
        for (field, value) in [
            ("params.workers.report_s", workers.report_s),
            ("params.workers.lease_s", workers.lease_s),
            ("params.workers.gang_wait_s", workers.gang_wait_s),
            ("params.workers.gang_peer_s", workers.gang_peer_s),
            ("params.workers.cancel_s", workers.cancel_s),
            ("params.state.rps", params.state.rps),
            ("params.state.write_rps", params.state.write_rps),
            ("params.state.value_kb", params.state.value_kb),
            (
                "params.state.next.write_rps",
                next.write_rps.unwrap_or(params.state.write_rps),
            ),
            (
                "params.state.next.value_kb",
                next.value_kb.unwrap_or(params.state.value_kb),
            ),
            ("params.cloud.rps", params.cloud.rps),
            ("params.resources.cpu_share", params.resources.cpu_share),
        ] {
            if !(value > 0.0 && value < 1e6) {
                return fail(field, "must be greater than zero");
            }
        }
        if workers.max_cancellation_lag() < MIN_LEADER_TTL {
            let min = workers.lease_bound() + CANCEL_MARGIN + MIN_LEADER_TTL;
            let message = format!(
                "must be at least {:.1} s with `lease_s` = {}: within it, the term of a leader \
                 that misses a cancellation and then its workers' leases must end",
                min.as_secs_f64(),
                workers.lease_s
            );
            return fail("params.workers.cancel_s", &message);
        }
        if !(0.0..1e6).contains(&params.cloud.list_lag_s) {
            return fail("params.cloud.list_lag_s", "must be zero or more");
        }
        if !(0.0..1e9).contains(&params.time_bound_ms) {
            return fail("params.time_bound_ms", "must be zero or more");
        }
        if params.state.txn_ops < MIN_TXN_OPS {
            return fail("params.state.txn_ops", "must be at least 4");
        }
        if next.txn_ops.is_some_and(|ops| ops < MIN_TXN_OPS) {
            return fail("params.state.next.txn_ops", "must be at least 4");
        }
        if params.resources.sockets < 64 {
            return fail("params.resources.sockets", "must be at least 64");
        }
        Ok(())
    }

    pub fn node_count(&self) -> usize {
        self.peers.len() + 1
    }
}

/// Converts seconds from a settings field or message; invalid durations become zero.
pub fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
