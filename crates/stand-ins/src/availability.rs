//! When a service can't be reached, and how long its answers take.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A time in which every request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Counted from the start of the service.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
}

impl Outage {
    fn covers(&self, now: Duration) -> bool {
        let now = now.as_secs_f64();
        self.at_s <= now && now < self.at_s + self.for_s
    }
}

/// Latency and outages of one service.
#[derive(Debug, Clone, Default)]
pub struct Availability {
    /// How long each answer is held back.
    pub latency: Duration,
    /// When nothing is answered.
    pub outages: Vec<Outage>,
}

impl Availability {
    /// Whether an outage covers this time since the start.
    pub fn is_out(&self, now: Duration) -> bool {
        self.outages.iter().any(|outage| outage.covers(now))
    }
}
