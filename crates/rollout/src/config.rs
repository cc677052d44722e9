//! The rollout file: soak time, rate of rewriting old records, and features held back.

use std::{collections::BTreeSet, time::Duration};

use serde::Deserialize;

use crate::generation::{Feature, Generation, OLDEST};

/// Reason why a rollout file is rejected.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ConfigError {
    /// The file does not parse; the message names the line.
    #[error("rollout: {0}")]
    Parse(String),
    /// A value is out of range, or names something unknown.
    #[error("rollout: `{field}`: {message}")]
    Field {
        /// The field.
        field: &'static str,
        /// Description of the error.
        message: String,
    },
}

/// Settings of a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Time for which all nodes must support a generation before it is written.
    pub soak: Duration,
    /// Fraction of the state service's change rate that rewriting old records may use.
    pub migration_share: f64,
    /// Features that are not activated.
    pub held_features: BTreeSet<String>,
    /// Newest generation that the process supports, to emulate an older build in tests of a
    /// rollout.
    pub max_generation: Option<Generation>,
    /// Whether the cluster moves to the newest generation without an order.
    pub automatic: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    soak_s: f64,
    #[serde(default = "default_migration_share")]
    migration_share: f64,
    #[serde(default)]
    hold: BTreeSet<String>,
    reads_most: Option<Generation>,
    #[serde(default = "default_automatic")]
    automatic: bool,
}

fn default_migration_share() -> f64 {
    0.1
}

fn default_automatic() -> bool {
    true
}

const MAX_SOAK_S: f64 = 30.0 * 86_400.0;

impl Config {
    /// Parses and checks the file; `features` are those that this build knows.
    pub fn parse(text: &str, features: &[Feature]) -> Result<Self, ConfigError> {
        let file: File = kiteyard_toml_file::parse(text)
            .map_err(|error| ConfigError::Parse(error.to_string()))?;
        let fail = |field, message: String| Err(ConfigError::Field { field, message });
        if !(0.0..=MAX_SOAK_S).contains(&file.soak_s) {
            return fail("soak_s", format!("must be 0 to {MAX_SOAK_S} seconds"));
        }
        if !(0.0..=0.5).contains(&file.migration_share) {
            return fail("migration_share", "must be 0 to 0.5".into());
        }
        let known = |name: &String| features.iter().any(|f| f.name == name);
        if let Some(name) = file.hold.iter().find(|name| !known(name)) {
            let names: Vec<&str> = features.iter().map(|f| f.name).collect();
            let message = format!(
                "unknown feature {name}; known features: {}",
                names.join(", ")
            );
            return fail("hold", message);
        }
        let newest = features.iter().map(|f| f.since).max().unwrap_or(OLDEST);
        if file
            .reads_most
            .is_some_and(|most| !(OLDEST..=newest).contains(&most))
        {
            return fail("reads_most", format!("must be {OLDEST} to {newest}"));
        }
        Ok(Self {
            max_generation: file.reads_most,
            soak: Duration::from_secs_f64(file.soak_s),
            migration_share: file.migration_share,
            held_features: file.hold,
            automatic: file.automatic,
        })
    }

    /// Returns the newest generation that may be moved to: below the first feature held back.
    pub fn held_to(&self, features: &[Feature]) -> Option<Generation> {
        let held = features
            .iter()
            .filter(|f| self.held_features.contains(f.name));
        held.map(|f| f.since - 1).min()
    }
}
