//! Who is alive: what this node knows of the other nodes and of the machines, and
//! what their silence means.
//!
//! One state machine without requests of its own: it is told what was heard, when and
//! by which way, and says what to make of it. It decides about service only. That no
//! task runs twice rests on the claim, on tokens and on leases, whatever is said here.

pub mod accrual;
pub mod attention;
pub mod nodes;
pub mod sight;

use std::time::Duration;

use nodes::Nodes;
use sight::Sight;

#[derive(Debug)]
pub struct Members {
    pub nodes: Nodes,
    pub sight: Sight,
    /// This node gave the leadership away because it heard nobody, and when.
    gave_up: Option<Duration>,
    /// Since when it leads.
    led_since: Duration,
}

impl Members {
    pub fn new(report: Duration, worker_lease: Duration) -> Self {
        Self {
            nodes: Nodes::new(worker_lease),
            sight: Sight::new(report, worker_lease),
            gave_up: None,
            led_since: Duration::ZERO,
        }
    }

    /// This node leads from now on: who reports to it changes.
    pub fn leads_now(&mut self, now: Duration) {
        self.sight.begin();
        self.led_since = now;
        self.gave_up = None;
    }

    pub fn led_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.led_since)
    }

    pub fn gives_up(&mut self, now: Duration) {
        self.sight.begin();
        self.gave_up = Some(now);
    }

    /// A worker came to this node by itself.
    pub fn worker_came(&mut self) {
        self.gave_up = None;
    }

    /// A node that just gave up does not lead again before it hears workers, unless
    /// nobody else has for so long.
    pub fn may_lead(&self, now: Duration, patience: Duration) -> bool {
        self.gave_up.is_none_or(|at| now > at + patience)
    }
}
