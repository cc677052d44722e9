//! Who is alive: what this node knows of the other nodes and of the machines, and
//! what their silence means.
//!
//! One state machine without requests of its own: it is told what was heard, when and
//! by which way, and says what to make of it. It decides about service only. That no
//! task runs twice rests on the claim, on tokens and on leases, whatever is said here.

pub mod attention;
pub mod nodes;
pub mod phi_accrual;
pub mod reachability;

use std::time::Duration;

use nodes::Nodes;
use reachability::FailureDetector;

#[derive(Debug)]
pub struct Membership {
    pub nodes: Nodes,
    pub detector: FailureDetector,
    /// This node gave the leadership away because it heard nobody, and when.
    stepped_down_at: Option<Duration>,
    /// Since when it leads.
    leading_since: Duration,
}

impl Membership {
    pub fn new(report: Duration, worker_lease: Duration) -> Self {
        Self {
            nodes: Nodes::new(worker_lease),
            detector: FailureDetector::new(report, worker_lease),
            stepped_down_at: None,
            leading_since: Duration::ZERO,
        }
    }

    /// This node leads from now on: who reports to it changes.
    pub fn begin_leading(&mut self, now: Duration) {
        self.detector.reset();
        self.leading_since = now;
        self.stepped_down_at = None;
    }

    pub fn leading_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.leading_since)
    }

    pub fn record_step_down(&mut self, now: Duration) {
        self.detector.reset();
        self.stepped_down_at = Some(now);
    }

    /// A worker came to this node by itself.
    pub fn record_worker_arrival(&mut self) {
        self.stepped_down_at = None;
    }

    /// A node that just gave up does not lead again before it hears workers, unless
    /// nobody else has for so long.
    pub fn may_campaign(&self, now: Duration, patience: Duration) -> bool {
        self.stepped_down_at.is_none_or(|at| now > at + patience)
    }
}
