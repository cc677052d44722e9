//! The maintenance file: disruption budgets by team.

use std::{collections::BTreeMap, time::Duration};

use serde::Deserialize;

/// Reason why a maintenance file is rejected.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ConfigError {
    /// The file does not parse; the message names the line.
    #[error("maintenance: {0}")]
    Parse(String),
    /// A value is out of range.
    #[error("maintenance: `{field}`: {message}")]
    Field {
        /// The field, with its table.
        field: String,
        /// Description of the error.
        message: String,
    },
}

/// The disruption budget of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// Maximum number of replicas of one service that may be down at a time.
    pub max_down: u32,
    /// Maximum share of a service's replicas that may be down; 0: no limit by share.
    pub max_down_share: f64,
    /// Share of the team's replicas below which none is stopped while any is down by failure.
    pub min_up_share: f64,
    /// Maximum number of tasks stopped within the window; `None`: no limit.
    pub max_stops: Option<u32>,
    /// Maximum work lost within the window; `None`: no limit.
    pub max_lost_work: Option<Duration>,
    /// Length of the window.
    pub window: Duration,
}

/// The disruption budgets of all teams.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Budget of teams without one of their own.
    pub default: Budget,
    /// Budgets by team.
    pub teams: BTreeMap<String, Budget>,
    /// Whether replicas that are down by failure count in a breach.
    pub counts_failures: bool,
}

impl Config {
    /// Returns the configuration without a file, which limits only the replicas of a service that
    /// are down at a time.
    pub fn without_file(max_down: u32) -> Self {
        Self {
            default: Budget {
                max_down,
                max_down_share: 0.0,
                min_up_share: 0.0,
                max_stops: None,
                max_lost_work: None,
                window: DEFAULT_WINDOW,
            },
            teams: BTreeMap::new(),
            counts_failures: false,
        }
    }

    /// Returns the longest window of any budget; earlier stops don't count.
    pub(crate) fn longest_window(&self) -> Duration {
        let teams = self.teams.values().map(|budget| budget.window);
        teams.fold(self.default.window, Duration::max)
    }
}

const DEFAULT_WINDOW: Duration = Duration::from_secs(600);
const MAX_WINDOW_S: f64 = 7.0 * 86_400.0;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    budget: Entry,
    #[serde(default)]
    team: BTreeMap<String, Entry>,
}

#[derive(Deserialize, Default, Clone)]
#[serde(deny_unknown_fields)]
struct Entry {
    max_down: Option<MaxDown>,
    floor: Option<f64>,
    max_in_s: Option<f64>,
    max_tasks: Option<u32>,
    max_lost_s: Option<f64>,
}

/// A number of tasks, or a share such as "5%".
#[derive(Deserialize, Clone)]
#[serde(untagged)]
enum MaxDown {
    Tasks(u32),
    Share(String),
}

impl Config {
    /// Parses and checks the file; `max_down` is the default number of replicas that may be down.
    pub fn parse(text: &str, max_down: u32) -> Result<Self, ConfigError> {
        let file: File = kiteyard_toml_file::parse(text)
            .map_err(|error| ConfigError::Parse(error.to_string()))?;
        let base = Self::without_file(max_down).default;
        let default = file.budget.check("budget", &base)?;
        let mut teams = BTreeMap::new();
        for (team, entry) in file.team {
            let budget = entry.check(&format!("team.{team}"), &default)?;
            teams.insert(team, budget);
        }
        Ok(Self {
            default,
            teams,
            counts_failures: true,
        })
    }
}

impl Entry {
    /// Checks an entry; fields that are not set are taken from `base`.
    fn check(self, name: &str, base: &Budget) -> Result<Budget, ConfigError> {
        let fail = |field: &str, message: &str| {
            Err(ConfigError::Field {
                field: format!("{name}.{field}"),
                message: message.to_owned(),
            })
        };
        let mut budget = base.clone();
        match self.max_down {
            Some(MaxDown::Tasks(tasks)) => (budget.max_down, budget.max_down_share) = (tasks, 0.0),
            Some(MaxDown::Share(text)) => {
                let percent = text.strip_suffix('%').and_then(|n| n.trim().parse().ok());
                match percent {
                    Some(percent) if (0.0..=100.0).contains(&percent) => {
                        let tasks = if percent > 0.0 { u32::MAX } else { 0 };
                        (budget.max_down, budget.max_down_share) = (tasks, percent / 100.0);
                    }
                    _ => {
                        return fail(
                            "max_down",
                            "must be a number of tasks, or \"0%\" to \"100%\"",
                        );
                    }
                }
            }
            None => {}
        }
        if let Some(floor) = self.floor {
            if !(0.0..=1.0).contains(&floor) {
                return fail("floor", "must be 0 to 1");
            }
            budget.min_up_share = floor;
        }
        if let Some(window) = self.max_in_s {
            if !(window > 0.0 && window <= MAX_WINDOW_S) {
                return fail(
                    "max_in_s",
                    "must be above 0 and at most 604800 seconds (a week)",
                );
            }
            budget.window = Duration::from_secs_f64(window);
        }
        if let Some(lost) = self.max_lost_s {
            if !(0.0..=1e9).contains(&lost) {
                return fail("max_lost_s", "must be 0 seconds or more");
            }
            budget.max_lost_work = Some(Duration::from_secs_f64(lost));
        }
        budget.max_stops = self.max_tasks.or(budget.max_stops);
        Ok(budget)
    }
}
