//! When a service can't be reached, and how long its answers take.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A time in which every request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Counted from the start of the service.
    pub at_s: f64,
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
    pub latency: Duration,
    pub outages: Vec<Outage>,
}

impl Availability {
    pub fn is_out(&self, now: Duration) -> bool {
        self.outages.iter().any(|outage| outage.covers(now))
    }
}
