//! Configuration of a run: fleet, teams, load, faults, limits and duration.

use std::{path::PathBuf, time::Duration};

use kiteyard_stand_ins::availability::Outage;
use serde::{Deserialize, Serialize};

/// Error in a configuration file, described in one line.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ConfigError {
    /// The file can't be parsed; the message names the line.
    #[error("{0}")]
    Syntax(String),
    /// A value is out of its range.
    #[error("`{field}`: {message}")]
    Field {
        /// Name of the field.
        field: String,
        /// Description of the error.
        message: String,
    },
}

/// Configuration of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the run, and of the files of its results.
    pub name: String,
    /// Seed of all random numbers.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Path of the controllers' program.
    #[serde(default = "default_binary")]
    pub binary: PathBuf,
    /// Duration of the phases of the run.
    pub duration: DurationConfig,
    /// Controllers.
    pub controllers: ControllersConfig,
    /// Machines and their workers.
    pub fleet: FleetConfig,
    /// Teams and their quotas.
    pub teams: TeamsConfig,
    /// Load of the users.
    pub load: LoadConfig,
    /// State service.
    pub state: StateConfig,
    /// Cloud.
    pub cloud: CloudConfig,
    /// Faults injected during the run.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

fn default_seed() -> u64 {
    1
}

fn default_binary() -> PathBuf {
    "target/release/kiteyard".into()
}

/// Duration of the phases of a run. Faults and the peak are timed from when a controller is
/// ready; outages from the start of their service, some seconds before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DurationConfig {
    /// Warm-up before the measurement, in seconds.
    pub warmup_s: f64,
    /// Duration of the measurement, in seconds.
    pub measured_s: f64,
    /// Time for jobs to finish after the last submission, in seconds.
    pub drain_s: f64,
}

/// Controllers, and the resources named in their settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllersConfig {
    /// Number of controllers.
    pub count: usize,
    /// Share of one core given in the controllers' settings; nothing enforces it.
    pub cpu_share: f64,
    /// Sockets that each may use, as given in the settings.
    pub sockets: usize,
    /// Memory that each may use, in MB, as given in the settings.
    pub memory_mb: f64,
    /// Delay before a killed controller is restarted, in seconds.
    #[serde(default = "default_restart_s")]
    pub restart_s: f64,
}

fn default_restart_s() -> f64 {
    4.0
}

/// Fleet of hollow workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Number of workers.
    pub workers: usize,
    /// Zones that the workers are spread over.
    pub zones: Vec<String>,
    /// CPUs of each machine.
    pub cpus: f64,
    /// Memory of each machine, in GB.
    pub mem_gb: f64,
    /// Nominal boot time of a machine, in seconds.
    pub boot_s: f64,
    /// Image download rate of a machine, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Interval between reports, in seconds.
    pub report_s: f64,
    /// Length of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Time within which tasks of a cancelled job must end, in seconds.
    pub cancel_s: f64,
}

/// Teams, all with the same quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamsConfig {
    /// Number of teams.
    pub count: usize,
    /// Guarantee of each team, as a share of the fleet's CPUs.
    pub guarantee_share: f64,
    /// Limit of each team, as a share of the fleet's CPUs.
    pub limit_share: f64,
}

/// Load of the users.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadConfig {
    /// Task starts per second and worker that the submitted jobs require.
    pub starts_per_worker_s: f64,
    /// Mean number of tasks of a job, geometrically distributed.
    pub tasks_per_job: f64,
    /// Median run time of a task, in seconds, log-normally distributed.
    pub run_s: f64,
    /// Sigma of the distribution of run times.
    pub run_sigma: f64,
    /// Urgent jobs per second, of one task each, independent of the size of the fleet.
    pub urgent_jobs_per_s: f64,
    /// Median run time of an urgent task, in seconds.
    pub urgent_run_s: f64,
    /// Number of images that the jobs use.
    pub images: usize,
    /// Size of each image, in GB.
    pub image_gb: f64,
    /// Period with more arrivals, if any.
    #[serde(default)]
    pub peak: Option<Peak>,
}

/// Period with more arrivals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peak {
    /// Start, in seconds.
    pub at_s: f64,
    /// Length, in seconds.
    pub for_s: f64,
    /// Factor of the arrival rate.
    pub times: f64,
}

/// Limits, latency and outages of the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateConfig {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction.
    pub txn_ops: usize,
    /// Delay of each response, in milliseconds.
    pub latency_ms: f64,
    /// Periods in which every request is refused.
    #[serde(default, rename = "outage")]
    pub outages: Vec<Outage>,
}

/// Limits, latency and outages of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudConfig {
    /// Requests per second.
    pub rps: f64,
    /// Lag of the list of machines given in the controllers' settings, in seconds.
    pub list_lag_s: f64,
    /// Delay of each response, in milliseconds.
    pub latency_ms: f64,
    /// Periods in which every request is refused.
    #[serde(default, rename = "outage")]
    pub outages: Vec<Outage>,
}

/// Fault injected during the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A controller's process is killed and restarted.
    ControllerRestart {
        /// Time of the fault, in seconds.
        at_s: f64,
        /// Index of the controller.
        controller: usize,
    },
    /// Machines stop without notice; the cloud lists them as failed.
    MachinesFail {
        /// Time of the fault, in seconds.
        at_s: f64,
        /// Number of machines.
        count: usize,
    },
}

impl Fault {
    /// Returns the time of the fault.
    pub fn at(&self) -> Duration {
        match self {
            Self::ControllerRestart { at_s, .. } | Self::MachinesFail { at_s, .. } => {
                Duration::from_secs_f64(*at_s)
            }
        }
    }
}

const MAX_CONTROLLERS: usize = 49;
const MAX_WORKERS: usize = 20_000;
const MAX_TEAMS: usize = 1_000;
const MAX_DURATION_S: f64 = 7_200.0;
const MAX_NAME_LEN: usize = 64;
/// Upper bound of all amounts, above any that a run on one machine can use.
const MAX_AMOUNT: f64 = 1e6;

impl Config {
    /// Parses and checks the text of a file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let config: Self = kiteyard_toml_file::parse(text)
            .map_err(|error| ConfigError::Syntax(error.to_string()))?;
        config.check()?;
        Ok(config)
    }

    /// Returns the same cell with another fleet size; quotas and load scale with it.
    pub fn with_workers(&self, workers: usize) -> Result<Self, ConfigError> {
        let mut config = self.clone();
        config.fleet.workers = workers;
        config.check()?;
        Ok(config)
    }

    /// Returns the same cell with another load.
    pub fn with_starts_per_worker(&self, starts_per_worker_s: f64) -> Result<Self, ConfigError> {
        let mut config = self.clone();
        config.load.starts_per_worker_s = starts_per_worker_s;
        config.check()?;
        Ok(config)
    }

    /// Returns the total CPUs of all machines.
    pub fn fleet_cpus(&self) -> f64 {
        self.fleet.workers as f64 * self.fleet.cpus
    }

    /// Returns the CPU limit of each team.
    pub fn team_limit_cpus(&self) -> f64 {
        self.fleet_cpus() * self.teams.limit_share
    }

    /// Returns the time during which users submit jobs.
    pub fn submission_time(&self) -> Duration {
        Duration::from_secs_f64(self.duration.warmup_s + self.duration.measured_s)
    }

    fn check(&self) -> Result<(), ConfigError> {
        self.check_name()?;
        self.check_counts()?;
        self.check_positive()?;
        self.check_shares()?;
        self.check_outages()?;
        self.check_faults()
    }

    fn check_name(&self) -> Result<(), ConfigError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        let length = 1..=MAX_NAME_LEN;
        if !length.contains(&self.name.len()) || !self.name.chars().all(is_allowed) {
            return field_error(
                "name",
                "must have 1 to 64 letters, digits, dashes or underscores",
            );
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), ConfigError> {
        for (field, value, max) in [
            ("controllers.count", self.controllers.count, MAX_CONTROLLERS),
            ("fleet.workers", self.fleet.workers, MAX_WORKERS),
            ("teams.count", self.teams.count, MAX_TEAMS),
            ("load.images", self.load.images, MAX_TEAMS),
        ] {
            if !(1..=max).contains(&value) {
                return field_error(field, format!("must be 1 to {max}"));
            }
        }
        if self.fleet.zones.is_empty() || self.fleet.zones.iter().any(String::is_empty) {
            return field_error("fleet.zones", "must name at least one zone");
        }
        Ok(())
    }

    fn check_positive(&self) -> Result<(), ConfigError> {
        for (field, value) in [
            ("duration.measured_s", self.duration.measured_s),
            ("controllers.cpu_share", self.controllers.cpu_share),
            ("controllers.memory_mb", self.controllers.memory_mb),
            ("fleet.cpus", self.fleet.cpus),
            ("fleet.mem_gb", self.fleet.mem_gb),
            ("fleet.fetch_gb_per_s", self.fleet.fetch_gb_per_s),
            ("fleet.report_s", self.fleet.report_s),
            ("fleet.lease_s", self.fleet.lease_s),
            ("fleet.cancel_s", self.fleet.cancel_s),
            ("load.tasks_per_job", self.load.tasks_per_job),
            ("load.run_s", self.load.run_s),
            ("load.urgent_run_s", self.load.urgent_run_s),
            ("state.rps", self.state.rps),
            ("state.write_rps", self.state.write_rps),
            ("state.value_kb", self.state.value_kb),
            ("cloud.rps", self.cloud.rps),
        ] {
            if !(value > 0.0 && value < MAX_AMOUNT) {
                return field_error(field, "must be above 0");
            }
        }
        for (field, value) in [
            ("duration.warmup_s", self.duration.warmup_s),
            ("duration.drain_s", self.duration.drain_s),
            ("controllers.restart_s", self.controllers.restart_s),
            ("fleet.boot_s", self.fleet.boot_s),
            ("load.starts_per_worker_s", self.load.starts_per_worker_s),
            ("load.run_sigma", self.load.run_sigma),
            ("load.urgent_jobs_per_s", self.load.urgent_jobs_per_s),
            ("load.image_gb", self.load.image_gb),
            ("state.latency_ms", self.state.latency_ms),
            ("cloud.latency_ms", self.cloud.latency_ms),
            ("cloud.list_lag_s", self.cloud.list_lag_s),
        ] {
            if !(0.0..MAX_AMOUNT).contains(&value) {
                return field_error(field, "must be 0 or more");
            }
        }
        let duration = &self.duration;
        if duration.warmup_s + duration.measured_s + duration.drain_s > MAX_DURATION_S {
            let message = format!("the sum of all three must be {MAX_DURATION_S} s at most");
            return field_error("duration", message);
        }
        if self.load.tasks_per_job < 1.0 {
            return field_error("load.tasks_per_job", "must be 1 or more");
        }
        if self.fleet.lease_s < 2.0 * self.fleet.report_s {
            return field_error("fleet.lease_s", "must be twice `fleet.report_s` or more");
        }
        Ok(())
    }

    fn check_shares(&self) -> Result<(), ConfigError> {
        let teams = &self.teams;
        if !(0.0..=1.0).contains(&teams.guarantee_share) {
            return field_error("teams.guarantee_share", "must be 0 to 1");
        }
        if !(teams.limit_share > 0.0 && teams.limit_share <= 1.0) {
            return field_error("teams.limit_share", "must be above 0, and 1 at most");
        }
        if teams.limit_share < teams.guarantee_share {
            return field_error("teams.limit_share", "is less than `teams.guarantee_share`");
        }
        if self.team_limit_cpus() < 1.0 {
            return field_error("teams.limit_share", "leaves a team less than one CPU");
        }
        if let Some(peak) = &self.load.peak {
            let is_valid = peak.at_s >= 0.0 && peak.for_s > 0.0 && peak.times > 0.0;
            if !is_valid || peak.at_s + peak.for_s > self.submission_time().as_secs_f64() {
                return field_error(
                    "load.peak",
                    "must lie within the warm-up and the measurement",
                );
            }
        }
        Ok(())
    }

    fn check_outages(&self) -> Result<(), ConfigError> {
        for (field, outages) in [
            ("state.outage", &self.state.outages),
            ("cloud.outage", &self.cloud.outages),
        ] {
            let is_valid = |outage: &Outage| outage.at_s >= 0.0 && outage.for_s > 0.0;
            if !outages.iter().all(is_valid) {
                return field_error(field, "`at_s` must be 0 or more, `for_s` above 0");
            }
        }
        Ok(())
    }

    fn check_faults(&self) -> Result<(), ConfigError> {
        let end = self.submission_time().as_secs_f64();
        for fault in &self.faults {
            let at_s = match fault {
                Fault::ControllerRestart { at_s, controller } => {
                    if *controller >= self.controllers.count {
                        return field_error("fault.controller", "there is no such controller");
                    }
                    at_s
                }
                Fault::MachinesFail { at_s, count } => {
                    if !(1..=self.fleet.workers).contains(count) {
                        return field_error("fault.count", "must be 1 to `fleet.workers`");
                    }
                    at_s
                }
            };
            if !(0.0..=end).contains(at_s) {
                let message = "must lie within the warm-up and the measurement";
                return field_error("fault.at_s", message);
            }
        }
        Ok(())
    }
}

fn field_error(field: &str, message: impl Into<String>) -> Result<(), ConfigError> {
    Err(ConfigError::Field {
        field: field.to_owned(),
        message: message.into(),
    })
}
