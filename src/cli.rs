//! Command-line flags and environment variables.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
};

use clap::Parser;

use crate::{
    core::{config::Options, rollout::FEATURES},
    settings,
};

/// A cluster scheduler with priorities, preemption and nominations.
#[derive(Debug, Parser)]
#[command(name = "kiteyard", version)]
pub struct Cli {
    /// Settings file of the platform (JSON)
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,

    /// Licence configuration (TOML); without it, `licences` of submissions are ignored
    #[arg(long, value_name = "FILE")]
    pub licences: Option<PathBuf>,

    /// Rollout configuration for new state formats (TOML); without it, none is enabled
    #[arg(long, value_name = "FILE")]
    pub rollout: Option<PathBuf>,

    /// Disruption budgets by team (TOML); without it, machines can't be drained
    #[arg(long, value_name = "FILE")]
    pub maintenance: Option<PathBuf>,

    /// Validate the settings file and the other given files, and exit
    #[arg(long)]
    pub check: bool,

    /// Log level on standard error: error, info or debug
    #[arg(long, env = "LOG_LEVEL", default_value = "info", value_name = "LEVEL")]
    pub log_level: tracing::Level,

    /// Idle time after which a machine is released, as a multiple of the boot time of its type
    #[arg(long, env = "KITEYARD_IDLE_BOOTS", default_value_t = 2.0, value_name = "TIMES", value_parser = parse_multiple)]
    pub idle_boots: f64,

    /// Grace period in seconds for preempted tasks
    #[arg(long, env = "KITEYARD_GRACE_S", default_value_t = 10.0, value_name = "SECONDS", value_parser = parse_seconds)]
    pub grace_s: f64,

    /// Tasks of one service that may be stopping at a time; more violate its disruption budget
    #[arg(
        long,
        env = "KITEYARD_DISRUPTION_BUDGET",
        default_value_t = 1,
        value_name = "TASKS"
    )]
    pub disruption_budget: u32,

    /// Seconds after which a waiting gang reserves free capacity against jobs of equal priority
    #[arg(long, env = "KITEYARD_GATHER_AFTER_S", default_value_t = 60.0, value_name = "SECONDS", value_parser = parse_seconds)]
    pub gather_after_s: f64,
}

fn parse_multiple(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(value) if (0.0..=1000.0).contains(&value) => Ok(value),
        _ => Err("expected a number between 0 and 1000".into()),
    }
}

fn parse_seconds(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(value) if (0.0..=86_400.0).contains(&value) => Ok(value),
        _ => Err("expected seconds between 0 and 86400".into()),
    }
}

/// Loads an optional configuration file.
fn load_config<T, E: std::fmt::Display>(
    path: Option<&Path>,
    name: &str,
    parse: impl Fn(&str) -> Result<T, E>,
) -> Result<Option<Arc<T>>, String> {
    let Some(path) = path else { return Ok(None) };
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("cannot read {name} {}: {error}", path.display()))?;
    let config = parse(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(Some(Arc::new(config)))
}

impl Cli {
    /// Loads the licence configuration.
    pub fn licences(&self) -> Result<Option<Arc<kiteyard_licences::config::Config>>, String> {
        let parse = kiteyard_licences::config::Config::parse;
        load_config(self.licences.as_deref(), "licences", parse)
    }

    /// Loads the rollout configuration.
    pub fn rollout(&self) -> Result<Option<Arc<kiteyard_rollout::config::Config>>, String> {
        let parse = |text: &str| kiteyard_rollout::config::Config::parse(text, FEATURES);
        load_config(self.rollout.as_deref(), "rollout", parse)
    }

    /// Loads the disruption budgets.
    pub fn maintenance(&self) -> Result<Option<Arc<kiteyard_maintenance::config::Config>>, String> {
        let disruption_budget = self.disruption_budget;
        let parse =
            |text: &str| kiteyard_maintenance::config::Config::parse(text, disruption_budget);
        load_config(self.maintenance.as_deref(), "maintenance", parse)
    }

    pub fn options(&self) -> Options {
        Options {
            licences: None,
            rollout: None,
            maintenance: None,
            incarnation: 0,
            idle_boots: self.idle_boots,
            grace: settings::seconds(self.grace_s),
            disruption_budget: self.disruption_budget,
            gather_after: settings::seconds(self.gather_after_s),
        }
    }
}
