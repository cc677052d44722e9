//! The licences file: licences, their seats and the shares of teams.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Deserialize;

/// Reason why a licences file is rejected.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ConfigError {
    /// The file does not parse; the message names the line.
    #[error("licences: {0}")]
    Parse(String),
    /// A value is out of range.
    #[error("licences: `{licence}.{field}`: {message}")]
    Field {
        /// Name of the licence.
        licence: String,
        /// Field of the licence.
        field: String,
        /// Description of the error.
        message: String,
    },
}

/// A licence.
#[derive(Debug, Clone, PartialEq)]
pub struct Licence {
    /// Total number of seats.
    pub seats: u32,
    /// Time for which a seat stays in use after its task is proven to have ended: licence counters
    /// release seats late.
    pub linger: Duration,
    /// Reserved and maximum seats by team.
    pub teams: BTreeMap<String, Share>,
    /// Address of its licence counter, if it has one.
    pub counter: Option<SocketAddr>,
}

/// A team's share of a licence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Seats reserved for the team.
    #[serde(default)]
    pub least: u32,
    /// Maximum number of seats of the team; `None`: no limit of its own.
    pub most: Option<u32>,
}

impl Licence {
    /// Returns the number of seats that a team could hold if no other team held any.
    pub fn max_seats_for(&self, team: &str) -> u32 {
        let others = self.teams.iter().filter(|(other, _)| *other != team);
        let reserved: u32 = others.map(|(_, share)| share.least).sum();
        let most = self.teams.get(team).and_then(|share| share.most);
        most.unwrap_or(u32::MAX)
            .min(self.seats.saturating_sub(reserved))
    }
}

/// All licences by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// The licences by name.
    pub licences: BTreeMap<String, Licence>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    licence: BTreeMap<String, Entry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    seats: u32,
    #[serde(default)]
    linger_s: f64,
    counter: Option<SocketAddr>,
    #[serde(default)]
    team: BTreeMap<String, Share>,
}

const MAX_NAME_LEN: usize = 64;
const MAX_SEATS: u32 = 1_000_000;
const MAX_LINGER_S: f64 = 86_400.0;

impl Config {
    /// Parses and checks a licences file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: File = kiteyard_toml_file::parse(text)
            .map_err(|error| ConfigError::Parse(error.to_string()))?;
        let mut licences = BTreeMap::new();
        for (name, entry) in file.licence {
            let licence = entry.check(&name)?;
            licences.insert(name, licence);
        }
        Ok(Self { licences })
    }
}

impl Entry {
    fn check(self, name: &str) -> Result<Licence, ConfigError> {
        let fail = |field: &str, message: String| {
            Err(ConfigError::Field {
                licence: name.to_owned(),
                field: field.to_owned(),
                message,
            })
        };
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > MAX_NAME_LEN || !name.chars().all(is_allowed) {
            let message = "must be 1 to 64 letters, digits, dots, dashes or underscores";
            return fail("name", message.into());
        }
        if self.seats > MAX_SEATS {
            return fail("seats", format!("must be at most {MAX_SEATS}"));
        }
        if !(0.0..=MAX_LINGER_S).contains(&self.linger_s) {
            return fail("linger_s", format!("must be 0 to {MAX_LINGER_S} seconds"));
        }
        let mut reserved: u64 = 0;
        for (team, share) in &self.team {
            reserved += u64::from(share.least);
            if share.most.is_some_and(|most| most < share.least) {
                return fail(
                    &format!("team.{team}.most"),
                    "must be at least `least`".into(),
                );
            }
        }
        if reserved > u64::from(self.seats) {
            let message = format!(
                "{reserved} seats are reserved for teams, of {} in all",
                self.seats
            );
            return fail("team", message);
        }
        Ok(Licence {
            seats: self.seats,
            linger: Duration::from_secs_f64(self.linger_s),
            teams: self.team,
            counter: self.counter,
        })
    }
}
