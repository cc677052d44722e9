//! Outages and latency of a service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Period in which every request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Start of the outage, in seconds since the start of the service.
    pub at_s: f64,
    /// Length of the outage, in seconds.
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
    /// Delay of each response.
    pub latency: Duration,
    /// Periods in which every request is refused.
    pub outages: Vec<Outage>,
}

impl Availability {
    /// Returns whether an outage covers `now`, the time since the start.
    pub fn in_outage(&self, now: Duration) -> bool {
        self.outages.iter().any(|outage| outage.covers(now))
    }
}
