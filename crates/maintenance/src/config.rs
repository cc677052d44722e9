//! The operators' file: budgets of disruption by team.

use std::{collections::BTreeMap, time::Duration};

use serde::Deserialize;

/// Why a maintenance file is rejected.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ConfigError {
    /// Not a file of this form; the message names the line.
    #[error("maintenance: {0}")]
    Form(String),
    /// A value is out of its range.
    #[error("maintenance: `{field}`: {message}")]
    Field {
        /// The field, with the table that it is in.
        field: String,
        /// What is wrong with it.
        message: String,
    },
}

/// What a team can bear.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// Replicas of one service that may be down at a time: so many, and no more than this
    /// share of them where it is above zero.
    pub tasks: u32,
    /// The largest share of a service's replicas that may be down; 0: no limit by share.
    pub share: f64,
    /// While replicas are down by themselves and fewer than this share of the team's are
    /// up, none is stopped.
    pub floor: f64,
    /// Tasks that may be stopped within the window, and seconds of work lost.
    pub in_window: Option<u32>,
    /// Tasks that may be stopped within the window; none: any number.
    pub lost: Option<Duration>,
    /// Work that may be lost within the window; none: any amount.
    pub window: Duration,
}

/// The disruption budgets of all teams.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The budget of a team that has none of its own.
    pub default: Budget,
    /// Budgets by team.
    pub teams: BTreeMap<String, Budget>,
    /// What is down by itself counts in a breach as well.
    pub counts_failures: bool,
}

impl Config {
    /// Without a file: so many replicas of a service at a time, and nothing else.
    pub fn plain(tasks: u32) -> Self {
        Self {
            default: Budget {
                tasks,
                share: 0.0,
                floor: 0.0,
                in_window: None,
                lost: None,
                window: WINDOW,
            },
            teams: BTreeMap::new(),
            counts_failures: false,
        }
    }

    /// The longest window of any budget: what was stopped earlier counts nowhere.
    pub(crate) fn longest_window(&self) -> Duration {
        let teams = self.teams.values().map(|budget| budget.window);
        teams.fold(self.default.window, Duration::max)
    }
}

const WINDOW: Duration = Duration::from_secs(600);
const WINDOW_MOST: f64 = 7.0 * 86_400.0;

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

/// So many, or a share such as "5%".
#[derive(Deserialize, Clone)]
#[serde(untagged)]
enum MaxDown {
    Tasks(u32),
    Share(String),
}

impl Config {
    /// Reads the file; `tasks` is what a service may have down where it does not say.
    pub fn parse(text: &str, tasks: u32) -> Result<Self, ConfigError> {
        let file: File = kiteyard_toml_file::parse(text)
            .map_err(|wrong| ConfigError::Form(wrong.to_string()))?;
        let plain = Self::plain(tasks).default;
        let default = file.budget.check("budget", &plain)?;
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
    /// What is not said is as in `base`.
    fn check(self, name: &str, base: &Budget) -> Result<Budget, ConfigError> {
        let fail = |field: &str, message: &str| {
            Err(ConfigError::Field {
                field: format!("{name}.{field}"),
                message: message.to_owned(),
            })
        };
        let mut budget = base.clone();
        match self.max_down {
            Some(MaxDown::Tasks(tasks)) => (budget.tasks, budget.share) = (tasks, 0.0),
            Some(MaxDown::Share(text)) => {
                let percent = text.strip_suffix('%').and_then(|n| n.trim().parse().ok());
                match percent {
                    Some(percent) if (0.0..=100.0).contains(&percent) => {
                        let tasks = if percent > 0.0 { u32::MAX } else { 0 };
                        (budget.tasks, budget.share) = (tasks, percent / 100.0);
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
            budget.floor = floor;
        }
        if let Some(window) = self.max_in_s {
            if !(window > 0.0 && window <= WINDOW_MOST) {
                return fail("max_in_s", "must be above 0, and a week at most");
            }
            budget.window = Duration::from_secs_f64(window);
        }
        if let Some(lost) = self.max_lost_s {
            if !(0.0..=1e9).contains(&lost) {
                return fail("max_lost_s", "must be 0 seconds or more");
            }
            budget.lost = Some(Duration::from_secs_f64(lost));
        }
        budget.in_window = self.max_tasks.or(budget.in_window);
        Ok(budget)
    }
}
